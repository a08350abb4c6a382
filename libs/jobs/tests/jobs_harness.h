#ifndef KNAPWEEDSTILE_JOBS_JOBS_HARNESS_H_
#define KNAPWEEDSTILE_JOBS_JOBS_HARNESS_H_

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/rng.h"
#include "jobs/job_cancellation.h"
#include "jobs/job_reader.h"
#include "jobs/job_submission.h"
#include "jobs/result_segment.h"
#include "jobs/shard_head.h"
#include "jobs/shard_owner.h"
#include "jobs/store_names.h"
#include "platform/memory_platform.h"

namespace knapweedstile::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Chances in a thousand of what may happen to one call or item.
struct Faults {
  uint32_t lose_request = 0;
  uint32_t lose_answer = 0;
  uint32_t late_call = 0;  // arrives after its deadline, and takes effect
  uint32_t throttle = 0;
  uint32_t crash_item = 0;
  uint32_t yield_item = 0;
  uint32_t refuse_item = 0;
  uint32_t late_result = 0;  // a failed attempt's answer arrives after all
};

// A process that may own shards.
struct Owner {
  std::string name;
  uint64_t incarnation = 0;
  std::vector<std::unique_ptr<ShardOwner>> shards;
  std::vector<TimePoint> wake;
  std::set<std::pair<uint32_t, uint64_t>> running;  // shard and ticket
  uint32_t capacity = 24;                           // items at once
  bool alive = true;
  TimePoint paused_until;
  std::vector<std::function<void()>> held_back;  // while paused
};

// Several owners over one in-memory platform on a simulated clock, with faults
// between them, and the invariants that must hold at every write.
class Harness {
 public:
  explicit Harness(uint64_t seed, uint32_t shards = 4) : rng_(seed) {
    submission.shard_count = shards;
  }

  // To be set before owners start.
  ShardOwnerSettings settings;
  SubmissionSettings submission;
  Faults faults;
  platform::MemoryPlatform store;

  TimePoint now() const { return now_; }

  static std::string Items(uint32_t count, const std::string& tag = "i") {
    std::string body;
    for (uint32_t i = 0; i < count; ++i) {
      body += fmt::format(
          R"({{"custom_id":"{}{}","body":{{"model":"m","prompt":"say {}"}}}})"
          "\n",
          tag, i, i);
    }
    return body;
  }

  // --- Owners.

  Owner& StartOwner(const std::string& name) {
    owners_.push_back(std::make_unique<Owner>());
    Owner& owner = *owners_.back();
    owner.name = name;
    owner.incarnation = ++incarnations_;
    for (uint32_t s = 0; s < submission.shard_count; ++s) {
      owner.shards.push_back(std::make_unique<ShardOwner>(
          settings, s, name, owner.incarnation, rng_()));
      owner.shards.back()->SetCandidate(true, now_);
      owner.wake.push_back(now_);
    }
    return owner;
  }
  void Crash(Owner& owner) { owner.alive = false; }
  void Pause(Owner& owner, Duration span) { owner.paused_until = now_ + span; }
  void OutageFor(Duration span) { outage_until_ = now_ + span; }
  void SetItemFaults(uint32_t crash, uint32_t yield) {
    faults.crash_item = crash;
    faults.yield_item = yield;
  }
  // Items with this index crash whatever runs them.
  void SetPoison(uint32_t index) { poison_ = index; }

  void Step() {
    now_ += milliseconds(5);
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    for (size_t i = 0; i < owners_.size(); ++i) Turn(*owners_[i]);
  }
  void RunFor(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end;) Step();
  }
  template <typename Done>
  void RunUntil(Done done) {
    const TimePoint end = now_ + seconds(900);
    for (uint32_t step = 0; !done(); ++step) {
      for (int i = 0; i < 20; ++i) Step();
      REQUIRE(now_ < end);
    }
  }

  // --- Callers.

  // Through the faulty transport, as a caller who resends until told.
  SubmitResult SubmitUntilTold(const std::string& workspace,
                               const std::string& key,
                               const std::string& body) {
    for (;;) {
      auto machine = std::make_shared<JobSubmission>(
          submission,
          SubmitRequest{workspace, key, body, 1, 0, now_ + seconds(20)},
          rng_());
      machine->Start(now_);
      while (!machine->finished()) {
        SendCallsOf(machine);
        Step();
        machine->Tick(now_);
      }
      const SubmitOutcome outcome = machine->result().outcome;
      if (outcome != SubmitOutcome::kUnknown &&
          outcome != SubmitOutcome::kUnavailable) {
        return machine->result();
      }
    }
  }
  // Without faults and at once.
  SubmitResult Submit(const std::string& workspace, const std::string& key,
                      const std::string& body, int64_t due_ms = 0) {
    JobSubmission machine(submission,
                          {workspace, key, body, 1, due_ms, now_ + seconds(20)},
                          rng_());
    Drive(machine);
    return machine.result();
  }
  JobReadResult Read(const JobId& id, uint64_t after, uint32_t limit) {
    JobReader machine({id, after, limit, now_ + seconds(5)}, rng_());
    Drive(machine);
    return machine.result();
  }
  CancelOutcome Cancel(const JobId& id, const std::string& workspace = "") {
    JobCancellation machine(id, now_ + seconds(5), rng_(), workspace);
    Drive(machine);
    return machine.outcome();
  }
  bool Settled(const JobId& id) { return IsFinal(Read(id, 0, 0).status.state); }

  // --- What the ledger says.

  uint32_t runs_of(const JobId& id, uint32_t index) const {
    const auto it = runs_.find({id.hash, index});
    return it == runs_.end() ? 0 : it->second;
  }
  // Items handed out by a process after another took the shard over.
  uint32_t stale_hand_outs() const { return stale_hand_outs_; }
  // Breaches of what every write of a head must keep, described.
  const std::vector<std::string>& breaches() const { return breaches_; }

  // Compares all results of a finished job with its items: how many indexes
  // have no line, or more than one, or a line of another item.
  uint32_t WrongItems(const JobId& id, uint32_t total) {
    std::vector<uint32_t> seen(total);
    uint32_t wrong = 0;
    std::optional<uint64_t> after = 0;
    while (after) {
      const JobReadResult page = Read(id, *after, 1000);
      if (page.outcome != JobReadOutcome::kOk) return total;
      for (const std::string& line : page.lines) wrong += Count(line, seen);
      after = page.next_after;
    }
    for (const uint32_t count : seen) wrong += count == 1 ? 0 : 1;
    return wrong;
  }

  // --- Transport.

  template <typename Machine>
  void SendCallsOf(const std::shared_ptr<Machine>& machine) {
    for (auto& call : machine->TakeCalls()) {
      Transport(std::move(call), [this, machine](platform::StoreAnswer&& a) {
        machine->OnAnswer(a, now_);
      });
    }
  }

  // Carries a call to the platform and its answer back, with faults on the way.
  void Transport(platform::StoreRequest&& call,
                 std::function<void(platform::StoreAnswer&&)> sink) {
    platform::StoreAnswer lost;
    lost.token = call.token;
    if (now_ < outage_until_) {
      lost.outcome = platform::StoreOutcome::kNotSent;
      return Answer(now_ + Delay(20), std::move(lost), std::move(sink));
    }
    if (Chance(faults.throttle)) {
      lost.outcome = platform::StoreOutcome::kThrottled;
      return Answer(now_ + Delay(20), std::move(lost), std::move(sink));
    }
    const TimePoint deadline = call.deadline;
    if (Chance(faults.lose_request)) {
      return Answer(deadline, std::move(lost), std::move(sink));
    }
    if (Chance(faults.late_call)) {
      At(deadline + Delay(20000), [this, call] { Perform(call); });
      return Answer(deadline, std::move(lost), std::move(sink));
    }
    const bool lose = Chance(faults.lose_answer);
    At(now_ + Delay(20),
       [this, call, lost, lose, deadline, sink = std::move(sink)]() mutable {
         platform::StoreAnswer answer = Perform(call);
         if (lose) return Answer(deadline, std::move(lost), std::move(sink));
         Answer(now_ + Delay(20), std::move(answer), std::move(sink));
       });
  }
  Rng& rng() { return rng_; }
  bool Chance(uint32_t permille) {
    return permille > 0 && UniformBelow(rng_, 1000) < permille;
  }

 private:
  static uint32_t Count(const std::string& line, std::vector<uint32_t>& seen) {
    uint32_t index = 0;
    if (sscanf(line.c_str(), R"({"index":%u,)", &index) != 1) return 1;
    if (index >= seen.size()) return 1;
    ++seen[index];
    const bool completed = line.find(R"("completed")") != std::string::npos;
    const std::string own = fmt::format(R"("said {}")", index);
    return completed && line.find(own) == std::string::npos ? 1 : 0;
  }

  Duration Delay(uint32_t most_ms) {
    return milliseconds(1 + UniformBelow(rng_, most_ms));
  }
  void At(TimePoint when, std::function<void()> event) {
    events_.emplace(when, std::move(event));
  }

  template <typename Machine>
  void Drive(Machine& machine) {
    machine.Start(now_);
    while (!machine.finished()) {
      auto calls = machine.TakeCalls();
      for (const auto& call : calls) {
        machine.OnAnswer(store.Execute(call), now_);
      }
      if (calls.empty()) machine.Tick(std::max(now_, machine.next_wakeup()));
    }
  }
  void Answer(TimePoint when, platform::StoreAnswer&& answer,
              std::function<void(platform::StoreAnswer&&)> sink) {
    At(when, [answer = std::move(answer), sink = std::move(sink)]() mutable {
      sink(std::move(answer));
    });
  }

  platform::StoreAnswer Perform(const platform::StoreRequest& call) {
    platform::StoreAnswer answer = store.Execute(call);
    const auto* write = std::get_if<platform::WriteRequest>(&call.call);
    if (write != nullptr && write->kind == kShardKind &&
        answer.outcome == platform::StoreOutcome::kOk) {
      CheckHead(write->name, write->value);
    }
    return answer;
  }

  // Invariants of every head that was written: the fence never falls and rises
  // with each new holder; committed items stay committed; each has one line.
  void CheckHead(const std::string& name, const std::string& value) {
    const ShardHead head = DecodeShardHead(value).value();
    ShardHead& last = heads_[name];
    const auto holder = [](const ShardHead& h) {
      return std::pair(h.lease.holder, h.lease.incarnation);
    };
    if (head.lease.fence < last.lease.fence) Breach(name, "the fence fell");
    if (head.lease.fence == last.lease.fence && !head.lease.holder.empty() &&
        holder(head) != holder(last)) {
      Breach(name, "two holders have one fence");
    }
    for (const auto& [hash, progress] : head.jobs) {
      uint32_t lines = 0;
      for (const ResultSegmentRef& ref : progress.results) lines += ref.count;
      if (lines != progress.done.size()) Breach(name, "an item twice");
      const auto before = last.jobs.find(hash);
      if (before == last.jobs.end()) continue;
      for (const auto& [first, end] : before->second.done.Ranges()) {
        if (progress.done.FirstAbsent(first) <= end) {
          Breach(name, "a committed item is gone");
        }
      }
    }
    last = head;
  }
  void Breach(const std::string& shard, const std::string& what) {
    breaches_.push_back(shard + ": " + what);
  }

  // --- One turn of a process.

  void Turn(Owner& owner) {
    if (!owner.alive || now_ < owner.paused_until) return;
    for (const auto& event : std::exchange(owner.held_back, {})) event();
    for (uint32_t s = 0; s < owner.shards.size(); ++s) {
      ShardOwner& shard = *owner.shards[s];
      HandOut(owner, s);
      if (now_ >= owner.wake[s]) shard.Tick(now_);
      Collect(owner, s);
    }
  }
  void Collect(Owner& owner, uint32_t s) {
    ShardOwner& shard = *owner.shards[s];
    for (auto& call : shard.TakeCalls()) {
      Transport(std::move(call), [this, &owner, s](platform::StoreAnswer&& a) {
        Deliver(owner, [this, &owner, s, a = std::move(a)] {
          owner.shards[s]->OnAnswer(a, now_);
          Collect(owner, s);
        });
      });
    }
    for (const ItemTicket ticket : shard.TakeStops()) {
      owner.running.erase({s, ticket.value()});
    }
    owner.wake[s] = shard.next_wakeup(now_);
  }
  void Deliver(Owner& owner, std::function<void()> event) {
    if (!owner.alive) return;
    if (now_ < owner.paused_until) {
      owner.held_back.push_back(std::move(event));
    } else {
      event();
    }
  }
  void HandOut(Owner& owner, uint32_t s) {
    while (owner.running.size() < owner.capacity) {
      auto item = owner.shards[s]->NextItem(now_);
      if (!item) return;
      const auto* head = store.Find(kShardKind, ShardName(s));
      if (DecodeShardHead(head->value)->lease.fence != item->fence) {
        ++stale_hand_outs_;
      }
      ++runs_[{item->job.hash, item->index}];
      owner.running.emplace(s, item->ticket.value());
      At(now_ + Delay(200), [this, &owner, s, work = *item] {
        Deliver(owner, [this, &owner, s, work] { EndItem(owner, s, work); });
      });
    }
  }
  void EndItem(Owner& owner, uint32_t s, const ItemWork& work) {
    ShardOwner& shard = *owner.shards[s];
    owner.running.erase({s, work.ticket.value()});
    const std::string answer = fmt::format(R"("said {}")", work.index);
    if (work.index == poison_ || Chance(faults.crash_item)) {
      shard.OnItemFailed(work.ticket,
                         {ItemFailureKind::kAttempt, "crashed", "gone", {}},
                         now_);
      if (Chance(faults.late_result)) {
        shard.OnItemDone(work.ticket, answer, now_);
      }
    } else if (Chance(faults.yield_item)) {
      shard.OnItemYielded(work.ticket, {"part", 1}, now_);
    } else if (Chance(faults.refuse_item)) {
      shard.OnItemRefused(work.ticket, now_ + Delay(300), now_);
    } else {
      shard.OnItemDone(work.ticket, answer, now_);
    }
    owner.wake[s] = now_;
  }

  Rng rng_;
  TimePoint now_ = TimePoint(seconds(1000));
  TimePoint outage_until_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Owner>> owners_;
  uint64_t incarnations_ = 0;
  uint32_t poison_ = UINT32_MAX;
  std::map<std::string, ShardHead> heads_;
  std::vector<std::string> breaches_;
  std::map<std::pair<std::string, uint32_t>, uint32_t> runs_;
  uint32_t stale_hand_outs_ = 0;
};

}  // namespace knapweedstile::jobs

#endif  // KNAPWEEDSTILE_JOBS_JOBS_HARNESS_H_
