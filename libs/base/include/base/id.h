#ifndef KNAPWEEDSTILE_BASE_ID_H_
#define KNAPWEEDSTILE_BASE_ID_H_

#include <compare>
#include <cstdint>
#include <functional>

namespace knapweedstile {

// A typed handle to an object that one manager owns. Ids of different kinds do
// not convert to each other. An id cannot dangle: the lookup of an object that
// was removed finds nothing. Zero means "no object".
template <typename Tag>
class Id {
 public:
  constexpr Id() noexcept = default;
  constexpr explicit Id(uint64_t value) noexcept : value_(value) {}

  constexpr uint64_t value() const noexcept { return value_; }
  constexpr explicit operator bool() const noexcept { return value_ != 0; }
  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const Id&) const noexcept = default;

 private:
  uint64_t value_ = 0;
};

// A caller's request, or one dispatched batch item.
using RequestId = Id<struct RequestTag>;
// One attempt to run a request on one backend server.
using AttemptId = Id<struct AttemptTag>;
// A backend server, as seen by one node.
using BackendServerId = Id<struct BackendServerTag>;
// A connection to another process of the system.
using PeerId = Id<struct PeerTag>;
// A stream on such a connection.
using StreamId = Id<struct StreamTag>;
// One HTTP request and its response, on the client or server side.
using ExchangeId = Id<struct ExchangeTag>;

}  // namespace knapweedstile

template <typename Tag>
struct std::hash<knapweedstile::Id<Tag>> {
  size_t operator()(knapweedstile::Id<Tag> id) const noexcept {
    return std::hash<uint64_t>()(id.value());
  }
};

#endif  // KNAPWEEDSTILE_BASE_ID_H_
