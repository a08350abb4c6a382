#include "users_platform/model_server.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <sstream>
#include <utility>

#include "base/clock.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;

constexpr char kListen[] = "127.0.0.1:0";

// Ends the stream of a completion.
constexpr char kDoneEvent[] = "data: [DONE]\n\n";

// The first `max_tokens` words of the prompt, or of the first message.
std::vector<std::string> PromptWords(const std::string& body) {
  json::error_code ec;
  const json::value parsed = json::parse(body, ec);
  if (ec) return {};
  const json::value* prompt = parsed.find_pointer("/prompt", ec);
  if (!prompt) prompt = parsed.find_pointer("/messages/0/content", ec);
  const json::value* max_tokens = parsed.find_pointer("/max_tokens", ec);
  if (!prompt || !max_tokens) return {};
  std::istringstream text{std::string(prompt->as_string())};
  std::vector<std::string> words;
  const auto limit = max_tokens->to_number<size_t>();
  for (std::string word; words.size() < limit && text >> word;) {
    words.push_back(word);
  }
  return words;
}

http::HeaderList RejectionHeaders(const std::string& request_id) {
  http::HeaderList headers;
  headers.Add("Request-Id", request_id);
  return headers;
}

bool ConsumeOne(int& count) {
  if (count == 0) return false;
  --count;
  return true;
}

}  // namespace

ModelServer::ModelServer(boost::asio::io_context& io, std::string instance)
    : io_(io),
      server_(io, {},
              [this](http::ServerEvent&& event) {
                return OnEvent(std::move(event));
              }),
      instance_(std::move(instance)) {
  const uint16_t port = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<uint16_t> {
        return server_.Listen(kListen);
      },
      [] { return uint16_t{0}; });
  address_ = "127.0.0.1:" + std::to_string(port);
}

bool ModelServer::OnEvent(http::ServerEvent&& event) {
  if (const auto* disconnect = std::get_if<http::DisconnectEvent>(&event)) {
    const auto stream = streams_.find(disconnect->exchange);
    if (stream != streams_.end()) {
      runs_[stream->second.run].cancelled = true;
      EndStream(disconnect->exchange);
    }
    return true;
  }
  OnRequest(std::get<http::RequestEvent>(event));
  return true;
}

http::HeaderList ModelServer::ResponseHeaders(
    const std::string& request_id) const {
  http::HeaderList headers;
  headers.Add("Request-Id", request_id);
  headers.Add("Response-Signature", "signed-by-" + instance_);
  return headers;
}

bool ModelServer::RespondWithFault(const http::RequestEvent& request) {
  const std::string id(request.headers.Find("Request-Id"));
  const auto respond = [&](unsigned status, http::HeaderList headers) {
    server_.Execute(http::RespondCommand{.exchange = request.exchange,
                                         .status = status,
                                         .headers = std::move(headers),
                                         .body = "body"});
    return true;
  };
  const std::string_view expected = request.headers.Find("Expect-Instance");
  if (address_reused || (!expected.empty() && expected != instance_)) {
    return respond(421, RejectionHeaders(id));
  }
  if (queued_.size() >= kMaxQueuedStreams || ConsumeOne(reject_next)) {
    http::HeaderList headers = RejectionHeaders(id);
    headers.Add("Not-Executed", "1");
    return respond(503, std::move(headers));
  }
  runs_.push_back({.request_id = id,
                   .target = request.target,
                   .body = request.body,
                   .headers = request.headers,
                   .instance = instance_,
                   .software = software,
                   .started_at = MonotonicNow()});
  if (!crash_body.empty() && request.body == crash_body) {
    server_.Execute(http::AbortCommand{request.exchange});
    return true;
  }
  const auto is = [&](const std::string& body) {
    return !body.empty() && request.body == body;
  };
  if (is(failing_body) || ConsumeOne(fail_next)) {
    runs_.back().status = 500;
    return respond(500, ResponseHeaders(id));
  }
  if (is(unprocessable_body) || ConsumeOne(unprocessable_next)) {
    runs_.back().status = 422;
    return respond(422, ResponseHeaders(id));
  }
  if (ConsumeOne(wrong_id_next))
    return respond(200, ResponseHeaders("another"));
  if (ConsumeOne(unsigned_next)) {
    http::HeaderList headers;
    headers.Add("Request-Id", id);
    return respond(200, std::move(headers));
  }
  return false;
}

void ModelServer::OnRequest(const http::RequestEvent& request) {
  if (RespondWithFault(request)) return;
  if (unstreamed_posts || request.method == "GET") {
    server_.Execute(http::RespondCommand{
        .exchange = request.exchange,
        .status = 200,
        .headers = ResponseHeaders(runs_.back().request_id),
        .body = WithRequestId("plain answer", runs_.back())});
    runs_.back().complete = true;
    return;
  }
  QueueStream(request);
}

std::string ModelServer::WithRequestId(const std::string& text,
                                       const Run& run) const {
  return name_requests ? text + " of " + run.request_id : text;
}

void ModelServer::Restart(std::string instance) {
  queued_.clear();
  running_ = 0;
  for (const auto& [exchange, stream] : std::exchange(streams_, {})) {
    runs_[stream.run].ended_at = MonotonicNow();
    server_.Execute(http::AbortCommand{exchange});
  }
  instance_ = std::move(instance);
}

void ModelServer::QueueStream(const http::RequestEvent& request) {
  const std::string_view after = request.headers.Find("Last-Event-Id");
  Run& run = runs_.back();
  if (!after.empty()) run.first_event = std::stoull(std::string(after)) + 1;
  Stream& stream = streams_[request.exchange];
  stream.run = runs_.size() - 1;
  stream.next = run.first_event;
  if (completions) stream.words = PromptWords(request.body);
  stream.timer = std::make_unique<boost::asio::steady_timer>(io_);
  queued_.push_back(request.exchange);
  if (slots == 0 || running_ < slots) StartInSlot(request.exchange);
}

// Moves the stream from the queue into a slot.
void ModelServer::StartInSlot(ExchangeId exchange) {
  std::erase(queued_, exchange);
  ++running_;
  boost::asio::steady_timer& timer = *streams_.at(exchange).timer;
  timer.expires_after(first_byte_delay);
  timer.async_wait([this, exchange](const boost::system::error_code& ec) {
    if (!ec) StartStream(exchange);
  });
}

void ModelServer::EndStream(ExchangeId exchange) {
  const auto stream = streams_.find(exchange);
  if (stream == streams_.end()) return;
  runs_[stream->second.run].ended_at = MonotonicNow();
  streams_.erase(stream);
  if (std::erase(queued_, exchange) > 0) return;
  --running_;
  if (!queued_.empty()) StartInSlot(queued_.front());
}

std::string ModelServer::EventData(const Stream& stream) const {
  if (event_data) return event_data(runs_[stream.run].target, stream.next);
  if (!completions) {
    const Run& run = runs_[stream.run];
    const std::string version = name_requests ? " at " + run.software : "";
    return WithRequestId("word " + std::to_string(stream.next), run) + version +
           (event_padding ? event_padding(run.body) : "");
  }
  return json::serialize(json::object{
      {"choices",
       json::array{json::object{{"text", stream.words[stream.next - 1] + " "},
                                {"finish_reason", nullptr}}}}});
}

void ModelServer::StartStream(ExchangeId exchange) {
  const auto stream = streams_.find(exchange);
  if (stream == streams_.end()) return;
  http::HeaderList headers =
      ResponseHeaders(runs_[stream->second.run].request_id);
  headers.Add("Content-Type", "text/event-stream");
  server_.Execute(http::BeginStreamCommand{
      .exchange = exchange, .status = 200, .headers = std::move(headers)});
  SendEvent(exchange);
}

void ModelServer::SendPartialEvent(ExchangeId exchange,
                                   const std::string& number) {
  server_.Execute(
      http::StreamChunkCommand{.exchange = exchange, .data = "id: " + number});
}

bool ModelServer::Crashes(const Run& run) const {
  const std::string prompt(run.headers.Find("Prompt-Prefix"));
  const size_t last = prompt.rfind(',');
  return !crash_part.empty() && last != std::string::npos &&
         prompt.substr(0, last).find(crash_part + ":") != std::string::npos;
}

void ModelServer::SendEvent(ExchangeId exchange) {
  const auto found = streams_.find(exchange);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  Run& run = runs_[stream.run];
  const uint64_t last =
      completions ? stream.words.size() : static_cast<uint64_t>(events);
  if (stream.next > last) {
    run.complete = true;
    EndStream(exchange);
    server_.Execute(
        http::StreamChunkCommand{.exchange = exchange,
                                 .data = completions ? kDoneEvent : "",
                                 .last = true});
    return;
  }
  const std::string number = std::to_string(stream.next);
  server_.Execute(http::StreamChunkCommand{
      .exchange = exchange,
      .data = "id: " + number + "\ndata: " + EventData(stream) + "\n\n"});
  ++stream.next;
  if (break_after > 0 &&
      stream.next == static_cast<uint64_t>(break_after) + 1) {
    break_after = 0;
    SendPartialEvent(exchange, number);
    EndStream(exchange);
    server_.Execute(http::AbortCommand{exchange});
    return;
  }
  if (Crashes(run)) {
    SendPartialEvent(exchange, number);
    boost::asio::post(io_, on_crash);
    return;
  }
  stream.timer->expires_after(event_interval);
  stream.timer->async_wait(
      [this, exchange](const boost::system::error_code& ec) {
        if (!ec) SendEvent(exchange);
      });
}

}  // namespace knapweedstile::users_site
