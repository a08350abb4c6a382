#include "serving/quota_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr uint64_t kLimit = 1200000;
constexpr uint64_t kJob = 5200;  // ten items
const QuotaScope kScope{.route = "r", .workspace = "w"};

struct Load {
  size_t entries = 1;
  int jobs_a_step = 1;  // every ten milliseconds
  uint64_t waiting = 0;
  milliseconds delay{5};  // until an entry's job is known and acknowledged
  // One entry hears nothing and is not heard, the others hear each other.
  bool one_is_cut_off = false;
};

// What has been accepted in all after a second, while nothing is finished.
class Replay {
 public:
  Replay(const Load& load, bool by_own_view_only)
      : load_(load), by_own_view_only_(by_own_view_only) {}

  uint64_t Run() {
    std::vector<QuotaLimiter> guards(load_.entries);
    for (int step = 0; step < 100; ++step) {
      const TimePoint now = kNow + milliseconds(step * 10);
      for (size_t entry = 0; entry < load_.entries; ++entry) {
        guards[entry].OnAcknowledged(HeardOf(entry, now), now);
      }
      for (int job = 0; job < load_.jobs_a_step; ++job) {
        const size_t entry = static_cast<size_t>(job) % load_.entries;
        Submit(entry, guards[entry], now);
      }
    }
    return load_.waiting + accepted_.size() * kJob;
  }

 private:
  struct Accepted {
    TimePoint at{};
    size_t entry = 0;
    uint64_t number = 0;
  };

  bool CutOff(size_t entry) const { return load_.one_is_cut_off && entry == 0; }
  bool Knows(size_t entry, const Accepted& job, TimePoint now) const {
    if (job.entry == entry) return true;
    return !CutOff(entry) && !CutOff(job.entry) && job.at + load_.delay <= now;
  }
  uint64_t HeardOf(size_t entry, TimePoint now) const {
    if (load_.one_is_cut_off) return 0;  // by the one that is cut off
    uint64_t heard = 0;
    for (const Accepted& job : accepted_) {
      const bool known = job.entry == entry && job.at + load_.delay <= now;
      if (known) heard = std::max(heard, job.number);
    }
    return heard;
  }
  void Submit(size_t entry, QuotaLimiter& guard, TimePoint now) {
    uint64_t waiting = load_.waiting;
    uint64_t number = 1;
    for (const Accepted& job : accepted_) {
      if (Knows(entry, job, now)) waiting += kJob;
      if (job.entry == entry) ++number;
    }
    const bool fits = by_own_view_only_
                          ? waiting + kJob <= kLimit
                          : guard.Check(kScope, waiting, kJob, kLimit,
                                        load_.entries) == QuotaVerdict::kAccept;
    if (!fits) return;
    const std::string job = "job-" + std::to_string(accepted_.size());
    guard.Reserve(job, kScope, kJob);
    guard.OnRecordWritten(job, number);
    accepted_.push_back({now, entry, number});
  }

  Load load_;
  bool by_own_view_only_;
  std::vector<Accepted> accepted_;
};

uint64_t AcceptedOf(const Load& load) { return Replay(load, false).Run(); }

constexpr auto kMost = static_cast<uint64_t>(kLimit * 1.1);

}  // namespace

// A customer hands in its whole night's work at once: hundreds of jobs in the
// same moment at all entries, with the limit nearly reached. Each entry counts
// what it knows and accepts; together they accept far more than is allowed.
TEST_CASE("a burst at all entries stays within the limit and its tolerance") {
  for (const size_t entries : {2, 5, 21}) {
    CAPTURE(entries);
    const Load nearly_full{.entries = entries,
                           .jobs_a_step = 40 * static_cast<int>(entries),
                           .waiting = kLimit * 8 / 10,
                           .delay = milliseconds(30)};
    CHECK(Replay(nearly_full, true).Run() > kMost);
    CHECK(AcceptedOf(nearly_full) <= kMost);
    Load empty = nearly_full;
    empty.waiting = 0;
    empty.delay = milliseconds(100);
    CHECK(AcceptedOf(empty) <= kMost);
  }
}

// The VMs are busy and entries hear of each other's jobs after one or two
// seconds instead of some milliseconds. A guard that takes it for granted that
// others have heard gives the limit away several times.
TEST_CASE("however late others hear, the limit and its tolerance hold") {
  for (const size_t entries : {2, 5, 21}) {
    for (const int delay : {150, 400, 2000}) {
      CAPTURE(entries, delay);
      CHECK(AcceptedOf({.entries = entries,
                        .jobs_a_step = 10 * static_cast<int>(entries),
                        .waiting = kLimit * 9 / 10,
                        .delay = milliseconds(delay)}) <= kMost);
    }
  }
}

// One entry is cut off from the others but still reaches the store and its
// callers. Neither side hears of the other's jobs while both accept.
TEST_CASE("an entry that is cut off does not break the limit") {
  for (const size_t entries : {2, 5, 21}) {
    CAPTURE(entries);
    CHECK(AcceptedOf({.entries = entries,
                      .jobs_a_step = 10 * static_cast<int>(entries),
                      .waiting = kLimit * 9 / 10,
                      .one_is_cut_off = true}) <= kMost);
  }
}

TEST_CASE("what is left is given away in the end, not held back") {
  for (const size_t entries : {1, 5, 21}) {
    CAPTURE(entries);
    CHECK(AcceptedOf(
              {.entries = entries, .jobs_a_step = 42, .waiting = kLimit / 2}) >
          kLimit - 2 * kJob);
  }
}

TEST_CASE("a single job is not refused for the entries that might compete") {
  const QuotaLimiter guard;
  CHECK(guard.Check(kScope, kLimit - kJob, kJob, kLimit, 18) ==
        QuotaVerdict::kAccept);
  CHECK(guard.Check(kScope, kLimit - kJob + 1, kJob, kLimit, 18) ==
        QuotaVerdict::kOverLimit);
  // Even one that is larger than an entry's share of everything.
  CHECK(guard.Check(kScope, 0, kLimit, kLimit, 18) == QuotaVerdict::kAccept);
}

// A write to the store gets no answer: the job may be there. It counts against
// the share until every entry has read the store.
TEST_CASE("a job that may have been written is not forgotten") {
  QuotaLimiter guard;
  guard.Reserve("job-a", kScope, kLimit / 2);
  guard.OnWriteUncertain("job-a", kNow + milliseconds(100));
  guard.OnAcknowledged(100, kNow);
  CHECK(guard.Check(kScope, 0, kJob, kLimit, 2) == QuotaVerdict::kAwaitPeers);
  guard.OnAcknowledged(100, kNow + milliseconds(100));
  CHECK(guard.Check(kScope, 0, kJob, kLimit, 2) == QuotaVerdict::kAccept);
}

}  // namespace knapweedstile::serving
