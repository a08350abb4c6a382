#ifndef KNAPWEEDSTILE_GATEWAY_BATCH_RUNNER_H_
#define KNAPWEEDSTILE_GATEWAY_BATCH_RUNNER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/time.h"
#include "http/client_event.h"
#include "observe/metrics.h"
#include "observe/timeline.h"
#include "servers/attempt_pace.h"
#include "servers/server_connections.h"
#include "serving/crashing_parts.h"
#include "serving/event_stream_reader.h"
#include "serving/item_ref.h"
#include "serving/item_result.h"
#include "serving/job_table.h"
#include "serving/route_table.h"
#include "serving/slot_scheduler.h"

namespace knapweedstile::gateway {

// Runs the items of batch jobs on slots that online requests do not use. A run
// is one attempt to execute an item on a backend server. batch_answers.cc
// defines the members that handle the servers' responses and end a run.
class BatchRunner {
 public:
  struct Callbacks {
    // Whether this gateway starts items of the job.
    std::function<bool(const serving::BatchJob&)> owns;
    // Whether this gateway uses a configuration that is not older than the
    // job's acceptance.
    std::function<bool(const serving::BatchJob&)> has_configuration_of;
    // Number of gateways that run batch items, including this one.
    std::function<size_t()> gateway_count;
    // Whether a peer is running the item now.
    std::function<bool(uint64_t item_hash)> runs_on_peer;
    std::function<void(const std::string& job)> item_finished;
    std::function<void()> usage_changed;
    // Whether items start only where they would otherwise be late.
    std::function<bool()> holds_starts;
    // Backend servers that operators' policies exclude for items of the route.
    std::function<std::vector<BackendServerId>(const serving::Route& route,
                                               const std::string& service)>
        excluded_servers;
  };

  BatchRunner(ServerConnections& connections, serving::SlotScheduler& scheduler,
              serving::CrashingParts& crashing_parts, serving::JobTable& jobs,
              const serving::RouteTable& routes, observe::Metrics& metrics,
              observe::Timeline& timeline, uint64_t seed, Callbacks callbacks);

  // Starts items while there is capacity, and ends runs that have stalled or
  // are no longer needed. Called every 20 ms and after events that may let an
  // item start. Does not block.
  void Run(TimePoint now);
  // Preempts items that block waiting online requests. Called every 20 ms.
  void PreemptBlockingItems(TimePoint now);
  // Preempts the running item with the latest due time on the backend server;
  // its output so far is kept.
  void PreemptItem(BackendServerId server);
  // The process behind `previous_server` has terminated, and all runs on it
  // with it.
  void OnServerRestarted(BackendServerId previous_server);
  // Ends all runs so that peers can resume the items; the output so far is
  // kept.
  void EndAll();

  // Hashes of the ids of the running items, for peers.
  std::vector<uint64_t> RunningItemHashes() const;
  size_t running() const noexcept { return runs_.size(); }

 private:
  struct ItemRun {
    serving::ItemRef item;
    std::string item_id;
    std::string route;
    uint64_t item_hash = 0;
    std::vector<uint64_t> prompt_parts;  // cleared by a complete response
    BackendServerId server;
    std::string service;         // of the server
    std::string software;        // its version
    uint64_t configuration = 0;  // version in force at the start
    ExchangeId exchange;
    TimePoint started_at;
    TimePoint stalls_at;  // stalled if no event arrives before then
    unsigned status = 0;
    http::HeaderList head;
    bool received_event = false;
    AttemptPace pace;
    serving::EventStreamReader reader;
  };
  // kHandled: the item was started, waits for its route, or failed without one.
  enum class StartResult { kHandled, kNoCapacity };
  // Number of items that may still be started before start_window_ends_at_, by
  // service.
  using StartBudgets = std::map<std::string, uint32_t, std::less<>>;

  StartResult Start(const serving::ItemRef& ref, TimePoint now);
  void WaitForRoute(const serving::ItemRef& item, TimePoint now);
  // Places a run of the item; `continues`: servers that can continue its output
  // take requests. Zero if there is no capacity.
  BackendServerId Place(const serving::ItemRef& item,
                        const serving::Route& route, bool continues,
                        TimePoint now);
  // At that service only, and at that software version unless it is empty.
  BackendServerId PlaceAt(const std::string& service, std::string_view software,
                          const serving::BatchJob& job,
                          const serving::Route& route, TimePoint now);
  // Whether servers that take requests can continue the item's output.
  bool CanContinue(const serving::ItemProgress& progress,
                   const serving::Route& route) const;
  void OnClientEvent(http::ClientEvent&& event);
  void OnHead(ItemRun& run, http::HeadEvent&& event);
  void OnBody(ItemRun& run, std::string_view data);
  bool ReadEvents(ItemRun& run);
  void OnEnd(ItemRun& run, const http::EndEvent& event);
  // Handles a response that was received completely, of any status.
  void OnComplete(ItemRun& run);
  void OnErrorResponse(ItemRun& run);
  // Handles a run that ended without a complete response.
  void OnAttemptBroken(ItemRun& run, std::string_view reason);
  // What is left of the service's budget in the current window.
  uint32_t& BudgetOf(const std::string& service, TimePoint now);
  void WithdrawQueuedRuns(TimePoint now);
  void EndStalledRuns(TimePoint now);
  void EndUnneededRuns();
  void GiveUpExpired(TimePoint now);
  void Finish(ItemRun& run, serving::ItemState state);
  void Requeue(ItemRun& run, Duration pause, std::string_view reason);
  void RemoveRun(ItemRun& run);
  void RecordRun(const ItemRun& run, std::string_view end);
  serving::ItemProgress& Progress(const ItemRun& run);

  serving::SlotScheduler& scheduler_;
  serving::CrashingParts& crashing_parts_;
  serving::JobTable& jobs_;
  const serving::RouteTable& routes_;
  observe::Metrics& metrics_;
  observe::Timeline& timeline_;
  Callbacks callbacks_;
  Rng rng_;
  StartBudgets start_budgets_;
  TimePoint start_window_ends_at_{};
  std::unordered_map<ExchangeId, ItemRun> runs_;
  ServerConnections& connections_;
  ServerConnections::EventSink sink_;  // receives this object's events
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_BATCH_RUNNER_H_
