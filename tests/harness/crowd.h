#ifndef KNAPWEEDSTILE_HARNESS_CROWD_H_
#define KNAPWEEDSTILE_HARNESS_CROWD_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace knapweedstile::harness {

// What each connection of a crowd does. "NUMBER" in `pieces` stands for the
// number of the connection.
struct CrowdScript {
  std::vector<std::string> pieces;  // sent one after the other, with a pause
  std::string unit;                 // then sent again and again
  uint64_t max_bytes = 0;           // of units, for each connection
  bool reads = true;                // false: never reads
  bool closes = false;              // after the last byte
};

// Raw TCP connections to one address, on the test's own thread. Bytes, not
// requests: they may break the protocol in any way.
class Crowd {
 public:
  Crowd(boost::asio::io_context& io, const std::string& address, int count,
        const CrowdScript& script);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Whether each connection was closed or refused, or has sent everything.
  bool Done() const;
  // Changes with each byte sent or received and each connection closed.
  uint64_t progress() const noexcept;
  // What was received on the connection, up to a limit.
  const std::string& received(int connection) const;
  int closed() const noexcept;

 private:
  class Connection;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_CROWD_H_
