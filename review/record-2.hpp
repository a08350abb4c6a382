#ifndef REVIEW_RECORD_2_HPP_
#define REVIEW_RECORD_2_HPP_

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "base/clock.h"

namespace review {

// Writes what was sent, answered and run to a file, record.txt in the folder of
// the case, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& file)
      : out_(file), began_(knapweedstile::MonotonicNow()) {}

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

#endif  // REVIEW_RECORD_2_HPP_
