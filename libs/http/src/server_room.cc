#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "server_impl.h"

// The part of Server::Impl that decides who gives way when connections hold too
// much memory or are too many.
namespace knapweedstile::http {
namespace {

// Estimates of what a connection, a request and a header field take beside
// their bytes, in the parser and in whoever executes the request.
constexpr uint64_t kConnectionBytes = 1 << 10;
constexpr uint64_t kRequestBytes = 4 << 10;
constexpr uint64_t kFieldBytes = 96;
// Copies of a request that is executed: the caller's and the one that is sent
// on, with its header fields in further forms.
constexpr uint64_t kBodyCopies = 2;
constexpr uint64_t kHeaderCopies = 4;
// A caller that was served may use its connection again for at least this long.
constexpr std::chrono::seconds kMinIdleTime{1};

uint64_t FieldCount(const ServerConnection::Parser& parser) {
  const auto& fields = parser.get().base();
  return static_cast<uint64_t>(std::distance(fields.begin(), fields.end()));
}

bool IsReading(const ServerConnection& connection) noexcept {
  return connection.phase == ServerPhase::kHeader ||
         connection.phase == ServerPhase::kBody;
}

// Whether the caller could reduce what its connection holds, by sending the
// rest of a request or by reading the response.
bool WaitsForCaller(const ServerConnection& connection) noexcept {
  return IsReading(connection) || connection.unsent() > 0 ||
         connection.input.size() > ServerConnection::kMaxReadAhead;
}

// Bytes times the time since the caller has last made progress.
double Burden(const ServerConnection& connection, TimePoint now) noexcept {
  constexpr double kMinSeconds = 0.001;
  return static_cast<double>(connection.held_bytes) *
         (kMinSeconds + ToSeconds(now - connection.progress_at));
}

// In which order connections give way to new ones: first those that end anyway,
// then those that were never served.
enum class PlaceClass { kEnding, kNeverServed, kUnused, kNotReading, kInUse };

PlaceClass PlaceClassOf(const ServerConnection& connection, TimePoint now) {
  if (connection.phase == ServerPhase::kLingering) return PlaceClass::kEnding;
  const bool waits =
      connection.phase == ServerPhase::kIdle || IsReading(connection);
  if (waits && !connection.served) return PlaceClass::kNeverServed;
  const bool recent = now - connection.progress_at < kMinIdleTime;
  if (recent) return PlaceClass::kInUse;
  if (waits) return PlaceClass::kUnused;
  return connection.unsent() > 0 ? PlaceClass::kNotReading : PlaceClass::kInUse;
}

}  // namespace

void Server::Impl::UpdateHeld(Connection& connection) {
  uint64_t bytes = kConnectionBytes + connection.request_bytes +
                   connection.input.capacity() + connection.out.capacity();
  if (connection.parser) {
    bytes += connection.parser->get().body().capacity();
  }
  held_bytes_ += bytes - std::exchange(connection.held_bytes, bytes);
}

void Server::Impl::CountHeader(Connection& connection) {
  connection.header_bytes =
      connection.received_bytes - connection.parser->get().body().size();
  connection.request_bytes =
      FieldCount(*connection.parser) * kFieldBytes + connection.header_bytes;
}

uint64_t Server::Impl::ExecutionBytes(const Connection& connection) {
  const auto& parser = *connection.parser;
  return kRequestBytes + FieldCount(parser) * kFieldBytes +
         connection.header_bytes * kHeaderCopies +
         parser.get().body().size() * kBodyCopies;
}

bool Server::Impl::MakeRoom(uint64_t needed, ServerConnectionId except) {
  const uint64_t limit = settings_.max_held_bytes;
  if (held_bytes_ + needed <= limit) return true;
  const TimePoint now = MonotonicNow();
  std::vector<std::pair<double, ServerConnectionId>> candidates;
  for (const auto& [id, connection] : connections_) {
    if (id != except && WaitsForCaller(*connection)) {
      candidates.emplace_back(Burden(*connection, now), id);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  // A single request may need more than the limit.
  const bool keeps_last = !except && exchanges_.empty();
  const size_t kept = keeps_last ? 1 : 0;
  while (held_bytes_ + needed > limit && candidates.size() > kept) {
    if (Connection* connection = Find(candidates.back().second)) {
      GiveWay(*connection, "memory");
    }
    candidates.pop_back();
  }
  PostDisconnects();
  return held_bytes_ + needed <= limit;
}

bool Server::Impl::MakePlace() {
  const TimePoint now = MonotonicNow();
  using Order = std::tuple<PlaceClass, TimePoint, ServerConnectionId>;
  std::optional<Order> first;
  for (const auto& [id, connection] : connections_) {
    const PlaceClass place = PlaceClassOf(*connection, now);
    if (place == PlaceClass::kInUse) continue;
    const Order order{place, connection->progress_at, id};
    if (!first || order < *first) first = order;
  }
  if (!first) return false;
  GiveWay(*Find(std::get<ServerConnectionId>(*first)), "connections");
  PostDisconnects();
  return true;
}

// A caller whose request is incomplete learns that it was not executed; any
// other one can only be disconnected.
void Server::Impl::GiveWay(Connection& connection, std::string_view cause) {
  const bool idle = connection.phase == ServerPhase::kIdle ||
                    connection.phase == ServerPhase::kLingering;
  if (!idle) {
    ++gave_way_;
    LogWarning("connection_gives_way", {{"cause", cause},
                                        {"held_bytes", connection.held_bytes},
                                        {"all_held_bytes", held_bytes_},
                                        {"connections", connections_.size()}});
  }
  if (IsReading(connection)) {
    return Reject(connection, 503, "overloaded",
                  "the server needs the room that this request takes");
  }
  const bool response_open = connection.phase == ServerPhase::kPending ||
                             connection.phase == ServerPhase::kStreaming;
  if (response_open) disconnects_.push_back(connection.exchange);
  Erase(connection);
}

// Not at once: the sink may be the caller of this server.
void Server::Impl::PostDisconnects() {
  if (disconnects_.empty()) return;
  boost::asio::post(io_, [weak = std::weak_ptr<Impl*>(self_)] {
    if (const auto self = weak.lock()) (*self)->DeliverDisconnects();
  });
}

}  // namespace knapweedstile::http
