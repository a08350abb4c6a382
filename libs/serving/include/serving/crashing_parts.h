#ifndef KNAPWEEDSTILE_SERVING_CRASHING_PARTS_H_
#define KNAPWEEDSTILE_SERVING_CRASHING_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "serving/crashing_part_report.h"
#include "serving/server_end.h"
#include "serving/server_ends.h"
#include "serving/usage_by_process.h"

namespace knapweedstile::serving {

// Finds the parts of prompts that crash each backend server that answers on
// them, and quarantines requests that contain one.
//
// Guards against requests of which no two are alike but that share such a part:
// CrashTracker counts by request. A crash breaks all requests of the server,
// and sound requests share their other parts with the guilty ones, so a count
// of crashes alone would quarantine a part that every request of a route has.
// What tells them apart is that no request with a guilty part is ever answered
// completely. Of the parts that are left, the one that is in almost as many
// crashes as any other and comes last in the prompt is taken; crashes that it
// explains count for no other. While all servers are down nothing is answered,
// and a sound part may be taken: it is cleared once another part explains its
// crashes as well.
//
// Servers that end at the same moment have a common cause unless the part
// explains nearly all of them; for a part that has been answered, all of them.
// A guilty part explains all ends of its moment, but for the few servers that
// end beside it.
//
// Crashes under items of batch jobs are no evidence, but show which servers
// ended at a moment, and items with a quarantined part are run: an accepted
// item is owed whatever happened to its servers. Their answers count like any
// other.
//
// A quarantined part is tried again by a single request at growing pauses,
// since refused requests cannot show that it is sound. The time of the next
// trial and the number of failed ones are merged over all gateways; each adds a
// delay of its own, so that they rarely try at the same moment.
//
// Evidence is merged over all gateways. Pure logic: no I/O, no clock, no
// threads; the caller passes the time.
class CrashingParts {
 public:
  // `seed` differs between gateways.
  explicit CrashingParts(uint64_t seed = 0) : seed_(seed) {}

  // Commands: requests of this gateway. `parts` are the parts of a prompt that
  // other requests may share, in order.
  void OnCrash(std::span<const uint64_t> parts, const ServerCrash& crash);
  void OnAnswered(std::span<const uint64_t> parts, TimePoint now);
  // A server's process ended under an item.
  void OnServerEnded(ServerProcessId process, TimePoint now);
  // The process has responded to a request sent at that time: crashes assumed
  // before were only lost connections.
  void OnServerResponded(ServerProcessId process, TimePoint sent_at);
  // A request was rejected because of the part.
  void OnRejected(uint64_t part, TimePoint now);
  // A request was sent although its quarantined parts are, to try them.
  void OnTrialSent(std::span<const uint64_t> parts, TimePoint now);
  void Merge(const CrashingPartReport& report, TimePoint now);
  void MergeEnds(std::span<const ServerEnd> ends);
  // Returns the parts that are quarantined from now on. Does nothing if called
  // again within a tenth of a second.
  std::vector<uint64_t> Update(TimePoint now);

  // Queries.
  // The first of the parts that is quarantined, if any.
  std::optional<uint64_t> FindQuarantined(
      std::span<const uint64_t> parts) const;
  // Whether a request with these parts, some of them quarantined, may be sent
  // to try them.
  bool MayTry(std::span<const uint64_t> parts, TimePoint now) const;
  // From when on that is so at this gateway.
  TimePoint NextTrialAt(std::span<const uint64_t> parts) const;
  // For the peers, the most incriminating first.
  std::vector<CrashingPartReport> Report(TimePoint now) const;
  std::vector<ServerEnd> ReportEnds() const { return ends_.Report(); }
  size_t quarantined() const;
  // Server processes that have ended lately, as far as known.
  size_t ended_processes() const { return ends_.Processes().size(); }

 private:
  struct Evidence {
    ServerCrash crash;
    bool own = false;  // observed by this gateway
  };
  struct Part {
    uint32_t position = 0;
    std::vector<Evidence> crashes;  // one per process
    TimePoint cleared_at{};
    TimePoint quarantined_until{};
    TimePoint implicated_until{};  // answers are reported until then
    TimePoint expires_at{};
    // While it is quarantined.
    TimePoint next_trial_at{};
    uint32_t failed_trials = 0;
    TimePoint trial_sent_at = kNever;  // by this gateway
    TimePoint trial_crashed_at{};      // that trial; unset once it is counted

    bool quarantined() const noexcept {
      return quarantined_until != TimePoint{};
    }
  };
  using Processes = std::set<ServerProcessId>;

  void AddEnd(const ServerEnd& end, bool own);
  void AddCrash(Part& part, const ServerCrash& crash, bool own);
  // The part crashes no server, as of that time.
  static void Clear(Part& part, TimePoint at);
  static void Release(Part& part);
  // Whether answers outweigh the crashes that are known.
  static bool IsCleared(const Part& part);
  static void MergeTrials(Part& part, const CrashingPartReport& report,
                          TimePoint now);
  TimePoint TrialDueAt(uint64_t id, const Part& part) const;
  // Counts a trial that has crashed its server.
  void CountFailedTrial(Part& part, TimePoint now) const;
  // Whether many servers that did not run the part ended at that moment too.
  bool HasCommonCause(const Part& part, TimePoint at) const;
  // The crashes that accuse the part.
  std::vector<ServerCrash> Unexplained(const Part& part,
                                       const Processes& explained) const;
  static Processes ProcessesOf(const Part& part);
  // The part that explains most of what `explained` does not; null if that does
  // not prove anything.
  Part* MostIncriminated(const Processes& explained, TimePoint now);
  void Quarantine(Part& part, TimePoint now);

  uint64_t seed_;
  std::unordered_map<uint64_t, Part> parts_;
  ServerEnds ends_;
  // Processes in `ends_` and in the evidence.
  std::unordered_set<ServerProcessId> crashed_;
  TimePoint next_update_at_{};
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_CRASHING_PARTS_H_
