#ifndef REVIEW_COMMON_2_RECORD_HPP_
#define REVIEW_COMMON_2_RECORD_HPP_

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "base/clock.h"

namespace review {

// Writes what was sent, answered and run to record.txt, with the seconds since
// the start.
class Record {
 public:
  explicit Record(const std::string& folder)
      : out_(folder + "/record.txt"), began_(knapweedstile::MonotonicNow()) {}

  double Seconds(knapweedstile::TimePoint at) const {
    return knapweedstile::ToSeconds(at - began_);
  }
  void Line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ",
                  Seconds(knapweedstile::MonotonicNow()));
    out_ << time << text << '\n' << std::flush;
  }

 private:
  std::ofstream out_;
  knapweedstile::TimePoint began_;
};

// Whether the disruption is played.
inline bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace review

#endif  // REVIEW_COMMON_2_RECORD_HPP_
