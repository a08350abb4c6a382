#include "engine.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>
#include <utility>

#include "base/clock.h"
#include "target.h"

namespace knapweedstile::standins {
namespace {

namespace json = boost::json;

constexpr int64_t kDefaultMaxTokens = 256;
constexpr int kCrashExitCode = 139;

std::vector<std::string> Words(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

// The texts of a chat's messages in order; empty when there is no valid one.
std::vector<std::string> MessageTexts(const json::object& body) {
  std::vector<std::string> texts;
  const json::value* messages = body.if_contains("messages");
  if (!messages || !messages->is_array()) return texts;
  for (const json::value& message : messages->as_array()) {
    if (message.is_object()) {
      texts.push_back(StringOr(message.as_object(), "content"));
    }
  }
  return texts;
}

}  // namespace

Engine::Engine(StandIn& process, const EngineSettings& settings)
    : process_(process),
      settings_(settings),
      log_(settings.run_log),
      cache_(settings.cache_blocks),
      load_(settings.load_lag),
      step_timer_(process.io()) {}

void Engine::OnRequest(const http::RequestEvent& request) {
  const Target target = ParseTarget(request.target);
  if (target.Is("/v1/completions")) return Completions(request, false);
  if (target.Is("/v1/chat/completions")) return Completions(request, true);
  if (target.Is("/control/load")) return ReportLoad(request.exchange);
  if (target.Is("/control/orders")) return Order(request);
  if (target.Is("/control")) return Control(request);
  if (target.Is("/health")) {
    return process_.RespondJson(request.exchange, 200, json::object());
  }
  process_.RespondError(request.exchange, 404, "no such path");
}

void Engine::OnDisconnect(ExchangeId exchange) {
  if (const auto found = running_.find(exchange); found != running_.end()) {
    LogRun("cancel", found->second);
    running_.erase(found);
  }
  std::erase_if(waiting_, [&](const auto& entry) {
    if (entry.first != exchange) return false;
    LogRun("cancel", entry.second);
    return true;
  });
  AdmitWaiting();
}

void Engine::Completions(const http::RequestEvent& request, bool chat) {
  const json::object body = ParseObject(request.body);
  const std::vector<std::string> texts =
      chat ? MessageTexts(body)
           : std::vector<std::string>{StringOr(body, "prompt")};
  if (texts.empty() || StringOr(body, "model").empty()) {
    return process_.RespondError(request.exchange, 400, "malformed request");
  }
  Stream stream{.request = std::string(request.headers.Find("X-Request-Id")),
                .model = StringOr(body, "model"),
                .answer = Words(texts.back()),
                .chat = chat};
  if (!settings_.models.empty() && !settings_.models.contains(stream.model)) {
    return process_.RespondError(request.exchange, 404, "model not loaded");
  }
  for (const std::string& text : texts) {
    for (std::string& word : Words(text)) {
      stream.crash = stream.crash || word == settings_.crash_word;
      stream.prompt.push_back(std::move(word));
    }
  }
  const size_t limit =
      std::max<int64_t>(IntOr(body, "max_tokens", kDefaultMaxTokens), 0);
  stream.cut_short = stream.answer.size() > limit;
  if (stream.cut_short) stream.answer.resize(limit);
  const int64_t resumed =
      IntOr(body, "resume_tokens",
            static_cast<int64_t>(Words(StringOr(body, "resume_text")).size()));
  stream.next = std::clamp<size_t>(resumed, 0, stream.answer.size());
  const json::value* streamed = body.if_contains("stream");
  stream.streamed = streamed && streamed->is_bool() && streamed->as_bool();
  LogRun("start", stream);
  if (stream.streamed) {
    http::HeaderList headers;
    headers.Add("Content-Type", "text/event-stream");
    process_.server().Execute(http::BeginStreamCommand{
        .exchange = request.exchange, .headers = std::move(headers)});
  }
  waiting_.emplace_back(request.exchange, std::move(stream));
  AdmitWaiting();
}

void Engine::Order(const http::RequestEvent& request) {
  const json::object body = ParseObject(request.body);
  const std::string order = StringOr(body, "order");
  const std::string model = StringOr(body, "model");
  const int64_t fence = IntOr(body, "fence", 0);
  const bool taken = !settings_.check_fence || fence >= highest_fence_;
  log_.Append({{"event", "order"},
               {"order", order},
               {"model", model},
               {"fence", fence},
               {"taken", taken}});
  if (!taken) {
    return process_.RespondJson(request.exchange, 409,
                                {{"fence", highest_fence_}});
  }
  highest_fence_ = std::max(highest_fence_, fence);
  if (order == "load_model") settings_.models.insert(model);
  if (order == "unload_model") settings_.models.erase(model);
  if (order == "set_role") role_ = StringOr(body, "role");
  process_.RespondJson(request.exchange, 200, {{"fence", highest_fence_}});
}

void Engine::Control(const http::RequestEvent& request) {
  const json::object body = ParseObject(request.body);
  settings_.token_time = std::chrono::milliseconds(
      IntOr(body, "token_ms", ToMillis(settings_.token_time)));
  if (const int64_t freeze = IntOr(body, "freeze_ms", 0); freeze > 0) {
    frozen_until_ = MonotonicNow() + std::chrono::milliseconds(freeze);
  }
  process_.RespondJson(request.exchange, 200, json::object());
}

void Engine::ReportLoad(ExchangeId exchange) {
  UpdateLoad();
  const Load& load = load_.SeenAt(MonotonicNow());
  process_.RespondJson(exchange, 200,
                       {{"slots", settings_.slots},
                        {"running", load.running},
                        {"waiting", load.waiting},
                        {"kv_used_permille", load.kv_permille}});
}

void Engine::AdmitWaiting() {
  while (!waiting_.empty() && running_.size() < settings_.slots) {
    auto [exchange, stream] = std::move(waiting_.front());
    waiting_.pop_front();
    // The kernel's connections end with the process, as in a real crash.
    if (stream.crash) ::_exit(kCrashExitCode);
    const size_t cached = cache_.Use(stream.prompt);
    const size_t tokens = stream.prompt.size() - cached + stream.next;
    stream.prefilled_at = MonotonicNow() + settings_.prefill_per_token * tokens;
    running_.emplace(exchange, std::move(stream));
  }
  UpdateLoad();
  ScheduleStep();
}

void Engine::ScheduleStep() {
  if (stepping_ || running_.empty()) return;
  stepping_ = true;
  step_timer_.expires_at(
      std::max(MonotonicNow() + settings_.token_time, frozen_until_));
  step_timer_.async_wait([this](const auto& ec) {
    if (ec) return;
    stepping_ = false;
    Step();
  });
}

void Engine::Step() {
  const TimePoint now = MonotonicNow();
  if (now >= frozen_until_) {
    for (auto it = running_.begin(); it != running_.end();) {
      const bool ended =
          it->second.prefilled_at <= now && EmitToken(it->first, it->second);
      it = ended ? running_.erase(it) : std::next(it);
    }
  }
  AdmitWaiting();
}

bool Engine::EmitToken(ExchangeId exchange, Stream& stream) {
  const bool any = stream.next < stream.answer.size();
  const std::string text = any ? stream.answer[stream.next++] + " " : "";
  const bool last = stream.next >= stream.answer.size();
  if (stream.streamed) EmitEvent(exchange, stream, text, last);
  if (!last) return false;
  if (!stream.streamed) AnswerWhole(exchange, stream);
  LogRun("end", stream);
  return true;
}

void Engine::EmitEvent(ExchangeId exchange, const Stream& stream,
                       const std::string& text, bool last) {
  json::object choice{{"index", 0}};
  if (stream.chat) {
    choice["delta"] = json::object{{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = nullptr;
  if (last) choice["finish_reason"] = stream.cut_short ? "length" : "stop";
  json::object event{{"model", stream.model},
                     {"choices", json::array{std::move(choice)}}};
  if (last) {
    event["usage"] = {{"prompt_tokens", stream.prompt.size()},
                      {"completion_tokens", stream.next}};
  }
  std::string data = "data: " + json::serialize(event) + "\n\n";
  if (last) data += "data: [DONE]\n\n";
  process_.server().Execute(http::StreamChunkCommand{
      .exchange = exchange, .data = std::move(data), .last = last});
}

void Engine::AnswerWhole(ExchangeId exchange, const Stream& stream) {
  std::string text;
  for (const std::string& word : stream.answer) text += word + " ";
  json::object choice{{"index", 0},
                      {"finish_reason", stream.cut_short ? "length" : "stop"}};
  if (stream.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  process_.RespondJson(exchange, 200,
                       {{"model", stream.model},
                        {"choices", json::array{std::move(choice)}},
                        {"usage",
                         {{"prompt_tokens", stream.prompt.size()},
                          {"completion_tokens", stream.next}}}});
}

void Engine::UpdateLoad() {
  size_t words = cache_.blocks() * PrefixCache::kBlockWords;
  for (const auto& [exchange, stream] : running_) words += stream.next;
  const size_t memory =
      std::max<size_t>(cache_.max_blocks() * PrefixCache::kBlockWords, 1);
  load_.Set(MonotonicNow(),
            {.running = running_.size(),
             .waiting = waiting_.size(),
             .kv_permille = std::min<size_t>(words * 1000 / memory, 1000)});
}

void Engine::LogRun(const char* event, const Stream& stream) {
  log_.Append(
      {{"event", event}, {"request", stream.request}, {"tokens", stream.next}});
}

}  // namespace knapweedstile::standins
