#include "client_impl.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <charconv>
#include <utility>

#include "base/clock.h"
#include "endpoint.h"
#include "framing_limits.h"
#include "message_text.h"
#include "response_head.h"

namespace knapweedstile::http {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

constexpr size_t kReadBytes = 64 << 10;
// Of a head, and of what the parser keeps of the framing of a body: the line of
// a chunk, with its extensions, or the trailer fields.
constexpr uint32_t kMaxHeaderBytes = 64 << 10;
// Interim responses and responses to other requests, each, that may precede the
// response.
constexpr uint32_t kMaxPrecedingResponses = 32;

bool IsInformational(unsigned status) noexcept { return status / 100 == 1; }

// Sets keep-alive probes, which detect an unreachable peer on a connection that
// waits, and TCP_USER_TIMEOUT, which detects it while bytes are unacknowledged.
void SetSilenceTimeout(asio::ip::tcp::socket& socket,
                       std::chrono::milliseconds timeout) {
  if (timeout.count() == 0) return;
  constexpr int kProbes = 2;
  const int seconds = std::max<int>(
      1, static_cast<int>(timeout.count() / 1000 / (kProbes + 1)));
  const int millis = static_cast<int>(timeout.count());
  const int fd = socket.native_handle();
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof(millis));
}

// Half of the idle timeout that the server announces in Keep-Alive: a request
// that is sent while the server closes the connection would be lost.
Duration IdleLimitFromKeepAlive(const beast_http::fields& fields) {
  const auto field = fields[beast_http::field::keep_alive];
  const std::string_view text(field.data(), field.size());
  constexpr std::string_view kTimeout = "timeout=";
  const size_t position = text.find(kTimeout);
  if (position == std::string_view::npos) return Duration::max();
  uint32_t seconds = 0;
  std::from_chars(text.data() + position + kTimeout.size(),
                  text.data() + text.size(), seconds);
  return std::chrono::milliseconds(500) * seconds;
}

}  // namespace

Client::Impl::Impl(asio::io_context& io, const ClientSettings& settings,
                   EventSink sink)
    : io_(io),
      settings_(settings),
      sink_(std::move(sink)),
      scratch_(kReadBytes, '\0') {}

Client::Impl::Connection* Client::Impl::Find(ClientConnectionId id) noexcept {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

auto Client::Impl::MakeHandler(ClientConnectionId id, Member member) {
  return [weak = std::weak_ptr<Impl*>(self_), id,
          member](const error_code& ec = {}) {
    const auto self = weak.lock();
    if (!self || ec == asio::error::operation_aborted) return;
    Impl& impl = **self;
    if (Connection* connection = impl.Find(id)) (impl.*member)(*connection);
  };
}

void Client::Impl::Send(ClientRequest&& request) {
  Connection* connection = AcquireIdle(request);
  const bool reused = connection != nullptr;
  if (!reused) connection = &CreateConnection(request.address);
  const bool sendable = IsSendable(request);
  PrepareExchange(*connection, std::move(request));
  if (!sendable) {
    connection->phase = ClientPhase::kFailed;
    asio::post(io_, MakeHandler(connection->id, &Impl::ReportUnsendable));
  } else if (reused) {
    BeginExchange(*connection);
  } else {
    Connect(*connection);
  }
}

void Client::Impl::PrepareExchange(Connection& connection,
                                   ClientRequest&& request) {
  connection.exchange = request.exchange;
  connection.request_deadline = request.deadline;
  connection.stream_body = request.stream_body;
  connection.head_request = request.method == "HEAD";
  connection.head_delivered = false;
  connection.any_written = connection.write_failed = false;
  connection.echoed_field = request.echoed_field;
  connection.echoed_value = request.headers.Find(request.echoed_field);
  connection.skipped_responses = connection.interim_responses = 0;
  connection.received_bytes = connection.body_bytes = 0;
  connection.discarded_bytes = 0;
  connection.out = RequestHead(request);
  connection.out += request.body;
  connection.out_offset = 0;
  connection.input.Clear();
  ResetParser(connection);
  exchanges_[request.exchange] = connection.id;
}

void Client::Impl::ResetParser(Connection& connection) {
  connection.head_valid = connection.identified = connection.skipping = false;
  connection.parser.emplace();
  connection.parser->eager(true);
  connection.parser->header_limit(kMaxHeaderBytes);
  connection.parser->body_limit(connection.stream_body
                                    ? settings_.max_stream_bytes
                                    : settings_.max_response_bytes);
  connection.parser->skip(connection.head_request);
}

Client::Impl::Connection* Client::Impl::AcquireIdle(
    const ClientRequest& request) {
  const auto found = idle_.find(request.address);
  if (found == idle_.end()) return nullptr;
  const std::string_view id = request.headers.Find(request.echoed_field);
  while (!found->second.empty()) {
    Connection* connection = Find(found->second.back());
    found->second.pop_back();
    if (!connection) continue;
    // A connection that the server has closed is readable.
    error_code ec;
    connection->socket.receive(asio::buffer(scratch_, 1),
                               asio::socket_base::message_peek, ec);
    // A late copy of the previous response could not be told from the response
    // to a request with the same id.
    const bool distinct = id.empty() || id != connection->echoed_value;
    if (ec == asio::error::would_block && distinct) return connection;
    connections_.erase(connection->id);
  }
  idle_.erase(found);
  return nullptr;
}

Client::Impl::Connection& Client::Impl::CreateConnection(
    const std::string& address) {
  if (connections_.size() >= settings_.max_connections) CloseOneIdle();
  const ClientConnectionId id(++last_connection_);
  Connection& connection =
      *connections_.emplace(id, std::make_unique<Connection>(id, io_))
           .first->second;
  connection.address = address;
  return connection;
}

void Client::Impl::CloseOneIdle() {
  const Connection* longest = nullptr;
  for (const auto& [address, pool] : idle_) {
    for (const ClientConnectionId id : pool) {
      const Connection* connection = Find(id);
      const auto idle_since = [](const Connection& c) {
        return c.deadline - c.idle_limit;
      };
      if (connection &&
          (!longest || idle_since(*connection) < idle_since(*longest))) {
        longest = connection;
      }
    }
  }
  if (longest) Erase(*Find(longest->id));
}

void Client::Impl::Connect(Connection& connection) {
  const auto endpoint = ParseEndpoint(connection.address);
  error_code ec;
  if (endpoint) connection.socket.open(endpoint->protocol(), ec);
  if (!endpoint || ec) {
    connection.phase = ClientPhase::kFailed;
    connection.failure =
        endpoint ? ec.message() : "the address is not of the form IP:PORT";
    asio::post(io_, MakeHandler(connection.id, &Impl::ReportFailure));
    return;
  }
  connection.phase = ClientPhase::kConnecting;
  SetDeadline(connection,
              std::min(MonotonicNow() + Duration(settings_.connect_timeout),
                       connection.request_deadline));
  connection.socket.async_connect(
      *endpoint, [weak = std::weak_ptr<Impl*>(self_),
                  id = connection.id](const error_code& result) {
        const auto self = weak.lock();
        Connection* found = self ? (*self)->Find(id) : nullptr;
        if (!found) return;
        if (result)
          return (*self)->Fail(*found, result.message(), ClientOutcome::kLost);
        (*self)->OnConnected(*found);
      });
}

void Client::Impl::OnConnected(Connection& connection) {
  error_code ec;
  connection.socket.non_blocking(true, ec);
  connection.socket.set_option(asio::ip::tcp::no_delay(true), ec);
  connection.socket.set_option(asio::socket_base::keep_alive(true), ec);
  SetSilenceTimeout(connection.socket, settings_.unacknowledged_timeout);
  BeginExchange(connection);
}

void Client::Impl::BeginExchange(Connection& connection) {
  connection.phase = ClientPhase::kExchange;
  SetDeadline(connection, connection.request_deadline);
  WaitReadable(connection);
  WaitWritable(connection);
}

void Client::Impl::WaitReadable(Connection& connection) {
  if (std::exchange(connection.read_pending, true)) return;
  connection.socket.async_wait(asio::socket_base::wait_read,
                               MakeHandler(connection.id, &Impl::OnReadable));
}

void Client::Impl::WaitWritable(Connection& connection) {
  if (std::exchange(connection.write_pending, true)) return;
  connection.socket.async_wait(asio::socket_base::wait_write,
                               MakeHandler(connection.id, &Impl::OnWritable));
}

void Client::Impl::OnWritable(Connection& connection) {
  connection.write_pending = false;
  if (connection.phase == ClientPhase::kExchange) Write(connection);
}

void Client::Impl::Write(Connection& connection) {
  while (connection.out_offset < connection.out.size()) {
    error_code ec;
    const size_t count = connection.socket.write_some(
        asio::buffer(connection.out) + connection.out_offset, ec);
    connection.out_offset += count;
    if (count > 0) connection.any_written = true;
    if (ec == asio::error::would_block) return WaitWritable(connection);
    // The server may respond before it has read the full request (413), so a
    // write error after the first bytes is left to the read side. The socket
    // reports an error only once, so that side may find an end of file instead.
    if (ec) {
      connection.write_failed = connection.any_written;
      if (connection.any_written) return;
      return Fail(connection, ec.message(), ClientOutcome::kLost);
    }
  }
  std::string().swap(connection.out);
  connection.out_offset = 0;
}

void Client::Impl::OnReadable(Connection& connection) {
  connection.read_pending = false;
  const ClientConnectionId id = connection.id;
  error_code ec;
  const size_t count = connection.socket.read_some(asio::buffer(scratch_), ec);
  if (ec && ec != asio::error::would_block) {
    if (ec == asio::error::eof) return OnEof(connection);
    return Fail(connection, ec.message(), ClientOutcome::kLost);
  }
  if (connection.phase == ClientPhase::kIdle && count > 0) {
    // Bytes without a request: the connection is out of sync.
    return Erase(connection);
  }
  connection.input.Append(std::string_view{scratch_}.substr(0, count));
  Parse(connection);
  LimitBuffered();
  if (Connection* current = Find(id)) WaitReadable(*current);
}

void Client::Impl::OnEof(Connection& connection) {
  if (connection.phase != ClientPhase::kExchange) return Erase(connection);
  error_code ec;
  const bool body_until_eof = connection.parser->is_header_done() &&
                              connection.parser->need_eof() &&
                              !connection.write_failed;
  if (body_until_eof) connection.parser->put_eof(ec);
  if (body_until_eof && !ec) return Complete(connection);
  Fail(connection,
       "the server closed the connection before the response was complete",
       ClientOutcome::kLost);
}

void Client::Impl::Parse(Connection& connection) {
  while (connection.phase == ClientPhase::kExchange &&
         !connection.input.empty()) {
    auto& parser = *connection.parser;
    error_code ec;
    const size_t used = connection.input.Feed(parser, ec);
    connection.received_bytes += used;
    if (parser.is_header_done() && !connection.head_valid) {
      const std::string_view fault = FaultOfHead(parser.get());
      if (!fault.empty()) return FailInvalid(connection, fault);
      connection.head_valid = true;
    }
    if (ec && ec != beast_http::error::need_more) {
      return FailInvalid(connection, ec.message());
    }
    const bool interim =
        parser.is_header_done() && IsInformational(parser.get().result_int());
    if (interim) ++connection.interim_responses;
    if (parser.is_header_done() && !interim) IdentifyResponse(connection);
    CountBody(connection);
    const std::string_view exceeded = ExceededLimit(connection);
    if (!exceeded.empty()) {
      return FailInvalid(connection, exceeded);
    }
    if (interim) {
      ResetParser(connection);
      continue;
    }
    if (connection.skipping) {
      if (!DiscardResponse(connection) || used == 0) return;
      continue;
    }
    if (parser.is_header_done() && !DeliverHead(connection)) return;
    if (!DeliverBody(connection)) return;
    if (parser.is_done()) return Complete(connection);
    if (used == 0) return;
  }
}

void Client::Impl::CountBody(Connection& connection) {
  const uint64_t size = connection.parser->get().body().size();
  const bool kept = !connection.stream_body && !connection.skipping;
  // A body that is kept is counted from its start each time.
  connection.body_bytes += size - (kept ? connection.buffered_bytes : 0);
  if (connection.skipping) connection.discarded_bytes += size;
  CountBuffered(connection, kept ? size : 0);
}

void Client::Impl::CountBuffered(Connection& connection, uint64_t bytes) {
  buffered_bytes_ += bytes - connection.buffered_bytes;
  connection.buffered_bytes = bytes;
}

std::string_view Client::Impl::ExceededLimit(
    const Connection& connection) const {
  const auto& parser = *connection.parser;
  if (!parser.is_done() && connection.input.size() > kMaxHeaderBytes) {
    return "the framing of the body is too long";
  }
  if (connection.interim_responses > kMaxPrecedingResponses) {
    return "too many interim responses";
  }
  if (connection.skipped_responses > kMaxPrecedingResponses) {
    return "too many responses to other requests";
  }
  if (connection.discarded_bytes > settings_.max_response_bytes) {
    return "too many bytes of responses to other requests";
  }
  if (IsFramingExcessive(connection.received_bytes, connection.body_bytes)) {
    return "too many bytes between those of the body";
  }
  const bool error = parser.is_header_done() && !connection.skipping &&
                     parser.get().result_int() / 100 != 2;
  if (error && connection.body_bytes - connection.discarded_bytes >
                   settings_.max_error_bytes) {
    return "the body of an error is too long";
  }
  return {};
}

void Client::Impl::LimitBuffered() {
  while (buffered_bytes_ > settings_.max_buffered_bytes) {
    const auto largest = std::max_element(
        connections_.begin(), connections_.end(),
        [](const auto& a, const auto& b) {
          return a.second->buffered_bytes < b.second->buffered_bytes;
        });
    FailInvalid(*largest->second, "no space for its body");
  }
}

void Client::Impl::IdentifyResponse(Connection& connection) {
  if (std::exchange(connection.identified, true)) return;
  if (connection.echoed_value.empty()) return;
  const auto& message = connection.parser->get();
  const auto field = message.find(connection.echoed_field);
  if (field == message.end()) return;
  connection.skipping = field->value() != connection.echoed_value;
  if (connection.skipping) ++connection.skipped_responses;
}

bool Client::Impl::DiscardResponse(Connection& connection) {
  auto& parser = *connection.parser;
  if (parser.need_eof()) {
    Fail(connection, "a response to another request has no length",
         ClientOutcome::kLost);
    return false;
  }
  parser.get().body().clear();
  if (parser.is_done()) ResetParser(connection);
  return true;
}

bool Client::Impl::DeliverHead(Connection& connection) {
  if (!connection.stream_body || connection.head_delivered) return true;
  connection.head_delivered = true;
  const ClientConnectionId id = connection.id;
  const ExchangeId exchange = connection.exchange;
  const auto& message = connection.parser->get();
  sink_(HeadEvent{.exchange = exchange,
                  .status = message.result_int(),
                  .headers = ToHeaderList(message)});
  Connection* current = Find(id);
  return current && current->exchange == exchange;
}

bool Client::Impl::DeliverBody(Connection& connection) {
  if (!connection.stream_body) return true;
  std::string data = std::exchange(connection.parser->get().body(), {});
  if (data.empty()) return true;
  const ClientConnectionId id = connection.id;
  const ExchangeId exchange = connection.exchange;
  sink_(BodyEvent{.exchange = exchange, .data = std::move(data)});
  Connection* current = Find(id);
  return current && current->exchange == exchange;
}

void Client::Impl::Complete(Connection& connection) {
  CountBuffered(connection, 0);
  auto message = connection.parser->release();
  EndEvent event{.exchange = connection.exchange,
                 .outcome = ClientOutcome::kComplete,
                 .status = message.result_int(),
                 .headers = ToHeaderList(message),
                 .body = std::move(message.body()),
                 .skipped_responses = connection.skipped_responses};
  // After a response that was not this request's, more may follow.
  const bool in_step =
      connection.skipped_responses == 0 &&
      message[connection.echoed_field] == connection.echoed_value;
  const bool reusable = message.keep_alive() && connection.out.empty() &&
                        connection.input.empty() && in_step;
  connection.idle_limit = std::min<Duration>(settings_.idle_timeout,
                                             IdleLimitFromKeepAlive(message));
  exchanges_.erase(connection.exchange);
  if (reusable) {
    Release(connection);
  } else {
    connections_.erase(connection.id);
  }
  sink_(std::move(event));
}

void Client::Impl::Release(Connection& connection) {
  auto& pool = idle_[connection.address];
  if (pool.size() >= settings_.max_idle_per_address) {
    connections_.erase(connection.id);
    return;
  }
  connection.exchange = ExchangeId();
  connection.parser.reset();
  connection.phase = ClientPhase::kIdle;
  pool.push_back(connection.id);
  SetDeadline(connection, MonotonicNow() + connection.idle_limit);
}

void Client::Impl::Fail(Connection& connection, std::string message,
                        ClientOutcome cause) {
  if (!connection.exchange) return Erase(connection);
  EndEvent event{.exchange = connection.exchange,
                 .outcome = ClientOutcome::kNotSent,
                 .message = std::move(message),
                 .skipped_responses = connection.skipped_responses};
  if (connection.any_written) {
    event.outcome = cause;
    if (connection.head_valid && !connection.skipping) {
      event.status = connection.parser->get().result_int();
      event.headers = ToHeaderList(connection.parser->get());
    }
  }
  Erase(connection);
  sink_(std::move(event));
}

void Client::Impl::FailInvalid(Connection& connection,
                               std::string_view reason) {
  Fail(connection,
       "invalid response from " + connection.address + ": " +
           std::string(reason),
       ClientOutcome::kInvalid);
}

void Client::Impl::ReportFailure(Connection& connection) {
  Fail(connection, std::move(connection.failure), ClientOutcome::kNotSent);
}

void Client::Impl::ReportUnsendable(Connection& connection) {
  EndEvent event{.exchange = connection.exchange,
                 .outcome = ClientOutcome::kUnsendable,
                 .message =
                     "method, target or a header field is too long or "
                     "contains invalid characters"};
  Erase(connection);
  sink_(std::move(event));
}

void Client::Impl::Erase(Connection& connection) {
  CountBuffered(connection, 0);
  exchanges_.erase(connection.exchange);
  if (connection.phase == ClientPhase::kIdle) {
    const auto pool = idle_.find(connection.address);
    if (pool != idle_.end()) {
      std::erase(pool->second, connection.id);
      if (pool->second.empty()) idle_.erase(pool);
    }
  }
  connections_.erase(connection.id);
}

void Client::Impl::Cancel(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) return;
  if (Connection* connection = Find(found->second)) Erase(*connection);
}

void Client::Impl::CloseIdle() {
  for (const auto& [address, pool] : idle_) {
    for (const ClientConnectionId id : pool) connections_.erase(id);
  }
  idle_.clear();
}

void Client::Impl::CloseIdle(const std::string& address) {
  const auto pool = idle_.extract(address);
  if (pool.empty()) return;
  for (const ClientConnectionId id : pool.mapped()) connections_.erase(id);
}

void Client::Impl::SetDeadline(Connection& connection, TimePoint deadline) {
  connection.deadline = deadline;
  // An earlier expiry is kept: OnTimer() then re-arms the timer.
  if (deadline < connection.timer_at) ArmTimer(connection);
}

void Client::Impl::ArmTimer(Connection& connection) {
  connection.timer_at = connection.deadline;
  connection.timer.expires_at(connection.deadline);
  connection.timer.async_wait(MakeHandler(connection.id, &Impl::OnTimer));
}

void Client::Impl::OnTimer(Connection& connection) {
  connection.timer_at = kNever;
  if (connection.deadline == kNever) return;
  if (MonotonicNow() < connection.deadline) return ArmTimer(connection);
  const bool connecting = connection.phase == ClientPhase::kConnecting;
  Fail(connection, connecting ? "connect timeout" : "deadline",
       ClientOutcome::kDeadline);
}

}  // namespace knapweedstile::http
