// What batch jobs cost the platform and their owner: calls, bytes, processor
// time and memory, measured over the in-memory platform on a simulated clock,
// and added up for the size that the system is designed for. Prints tables; the
// figures feed docs/CAPACITY.md.

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "jobs/job_reader.h"
#include "jobs/job_submission.h"
#include "jobs/shard_owner.h"
#include "platform/memory_platform.h"

namespace knapweedstile::jobs {
namespace {

using platform::CallCounts;
using platform::MemoryPlatform;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kPromptBytes = 300;
constexpr size_t kResponseBytes = 1000;
constexpr uint64_t kSeed = 20261202;

// The size to design for.
constexpr double kItemsADay = 54e6;
constexpr double kJobsADay = 64e3;
constexpr uint32_t kShards = 256;
constexpr double kSecondsADay = 86400;
constexpr double kItemSeconds = 13;  // one item at its backend server

std::string JobBody(uint32_t items) {
  const std::string prompt(kPromptBytes, 'p');
  std::string body;
  for (uint32_t i = 0; i < items; ++i) {
    body += fmt::format(
        R"({{"custom_id":"c{}","body":{{"model":"m","prompt":"{}"}}}})"
        "\n",
        i, prompt);
  }
  return body;
}

std::string Response() {
  return fmt::format(R"({{"text":"{}"}})", std::string(kResponseBytes, 'r'));
}

// Processor time of this thread: other programs of the machine do not count.
std::chrono::nanoseconds ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Adds up the processor time spent inside the modules.
class Stopwatch {
 public:
  template <typename Work>
  auto Time(Work work) {
    const auto begin = ThreadTime();
    if constexpr (std::is_void_v<decltype(work())>) {
      work();
      Add(ThreadTime() - begin);
    } else {
      auto result = work();
      Add(ThreadTime() - begin);
      return result;
    }
  }
  double Micros() const {
    return std::chrono::duration<double, std::micro>(total_).count();
  }
  // The longest single piece of work: how long it holds its thread up.
  double LongestMillis() const {
    return std::chrono::duration<double, std::milli>(longest_).count();
  }

 private:
  void Add(std::chrono::nanoseconds span) {
    total_ += span;
    longest_ = std::max(longest_, span);
  }

  std::chrono::nanoseconds total_{};
  std::chrono::nanoseconds longest_{};
};

size_t HeapBytes() { return mallinfo2().uordblks; }

// One platform with the owners of one shard, on a simulated clock.
class World {
 public:
  explicit World(const ShardOwnerSettings& settings) : settings_(settings) {}

  ShardOwner& AddOwner(const std::string& name) {
    owners_.push_back(
        std::make_unique<ShardOwner>(settings_, 0, name, 1, kSeed));
    owners_.back()->SetCandidate(true, now);
    return *owners_.back();
  }

  void RemoveOwners() { owners_.clear(); }

  SubmitResult Submit(const std::string& key, std::string body) {
    SubmissionSettings submission;
    submission.shard_count = 1;
    JobSubmission machine(submission,
                          {"ws", key, std::move(body), 1, 0, kNever}, kSeed);
    submitting.Time([&] { machine.Start(now); });
    while (!machine.finished()) {
      submitting.Time([&] { machine.Tick(now); });
      for (const auto& call : machine.TakeCalls()) {
        const auto answer = store.Execute(call);
        submitting.Time([&] { machine.OnAnswer(answer, now); });
      }
    }
    return machine.result();
  }

  // Lets the clock go on and makes the owners' calls.
  void Step(Duration span) {
    now += span;
    for (const auto& owner : owners_) {
      owning.Time([&] { owner->Tick(now); });
      Serve(*owner);
    }
  }
  void Serve(ShardOwner& owner) {
    for (;;) {
      const auto calls = owner.TakeCalls();
      if (calls.empty()) return;
      for (const auto& call : calls) {
        const auto answer = store.Execute(call);
        owning.Time([&] { owner.OnAnswer(answer, now); });
      }
    }
  }

  MemoryPlatform store;
  TimePoint now = TimePoint(seconds(1000));
  Stopwatch submitting;
  Stopwatch owning;

 private:
  ShardOwnerSettings settings_;
  std::vector<std::unique_ptr<ShardOwner>> owners_;
};

ShardOwnerSettings DesignSettings() {
  ShardOwnerSettings settings;
  settings.flush_every = seconds(4);
  return settings;
}

void PrintSubmission() {
  fmt::print("\nSubmission of one job ({} B prompts)\n", kPromptBytes);
  fmt::print("{:>8} {:>8} {:>8} {:>12} {:>10} {:>14}\n", "items", "writes",
             "reads", "bytes/item", "us/item", "longest ms");
  for (const uint32_t items : {100U, 843U, 130000U}) {
    World world(DesignSettings());
    world.Submit("k", JobBody(items));
    const CallCounts& counts = world.store.counts();
    fmt::print("{:>8} {:>8} {:>8} {:>12.0f} {:>10.2f} {:>14.2f}\n", items,
               counts.writes, counts.reads,
               static_cast<double>(counts.bytes_written) / items,
               world.submitting.Micros() / items,
               world.submitting.LongestMillis());
  }
}

// Runs one job as fast as its items come, `per_step` every 10 ms.
void PrintCommit(uint32_t items, uint32_t per_step) {
  World world(DesignSettings());
  const SubmitResult job = world.Submit("k", JobBody(items));
  const std::string response = Response();
  world.store.ResetCounts();
  ShardOwner& owner = world.AddOwner("vm-1");
  uint64_t done = 0;
  while (owner.stats().finished_jobs == 0) {
    world.Step(milliseconds(10));
    for (uint32_t i = 0; i < per_step; ++i) {
      auto item = world.owning.Time([&] { return owner.NextItem(world.now); });
      if (!item) break;
      world.owning.Time(
          [&] { owner.OnItemDone(item->ticket, response, world.now); });
      ++done;
    }
  }
  const CallCounts& counts = world.store.counts();
  const double thousands = items / 1000.0;
  fmt::print("{:>8} {:>9} {:>12.1f} {:>12.1f} {:>12.0f} {:>10.2f} {:>12.2f}\n",
             items, per_step * 100,
             static_cast<double>(counts.writes) / thousands,
             static_cast<double>(counts.reads + counts.lists) / thousands,
             static_cast<double>(counts.bytes_written) / items,
             world.owning.Micros() / items, world.owning.LongestMillis());
}

void PrintCommits() {
  fmt::print("\nRunning one job alone ({} B responses), calls for 1000 items\n",
             kResponseBytes);
  fmt::print("{:>8} {:>9} {:>12} {:>12} {:>12} {:>10} {:>12}\n", "items",
             "items/s", "writes/1000", "reads/1000", "bytes/item", "us/item",
             "longest ms");
  for (const uint32_t rate : {1U, 10U}) {
    for (const uint32_t items : {100U, 843U, 130000U}) PrintCommit(items, rate);
  }
}

void PrintMemory() {
  fmt::print("\nMemory of an owner (no item handed out)\n");
  fmt::print("{:>8} {:>10} {:>14} {:>14}\n", "jobs", "items/job", "bytes/job",
             "bytes/item");
  for (const auto& [jobs, items] :
       {std::pair(200U, 100U), {200U, 843U}, {4U, 130000U}}) {
    ShardOwnerSettings settings = DesignSettings();
    settings.max_input_bytes = 0;  // input is bounded apart: max_input_bytes
    World world(settings);
    const std::string body = JobBody(items);
    for (uint32_t i = 0; i < jobs; ++i) world.Submit(std::to_string(i), body);
    const size_t before = HeapBytes();
    ShardOwner& owner = world.AddOwner("vm-1");
    for (int i = 0; i < 300; ++i) world.Step(milliseconds(100));
    const auto held =
        static_cast<double>(HeapBytes() - before - owner.held_input_bytes());
    fmt::print("{:>8} {:>10} {:>14.0f} {:>14.3f}\n", jobs, items, held / jobs,
               held / jobs / items);
  }
}

// What it takes until a new owner hands out the first item, after the old one
// was lost without a word.
void PrintTakeover() {
  fmt::print("\nTakeover of a shard after its owner was lost\n");
  fmt::print("{:>10} {:>12} {:>8} {:>8} {:>12}\n", "open jobs", "seconds idle",
             "reads", "writes", "bytes read");
  for (const uint32_t jobs : {1U, 50U, 250U}) {
    World world(DesignSettings());
    const std::string body = JobBody(100);
    for (uint32_t i = 0; i < jobs; ++i) world.Submit(std::to_string(i), body);
    ShardOwner& lost = world.AddOwner("vm-1");
    for (int i = 0; i < 200; ++i) world.Step(milliseconds(100));
    while (lost.NextItem(world.now)) {
    }
    world.RemoveOwners();
    world.store.ResetCounts();
    ShardOwner& next = world.AddOwner("vm-2");
    const TimePoint begin = world.now;
    while (!next.NextItem(world.now)) world.Step(milliseconds(10));
    const CallCounts& counts = world.store.counts();
    fmt::print("{:>10} {:>12.1f} {:>8} {:>8} {:>12}\n", jobs,
               ToSeconds(world.now - begin), counts.reads + counts.lists,
               counts.writes, counts.bytes_read);
  }
}

// Items that are at their backend servers, oldest first.
struct Running {
  ItemTicket ticket;
  TimePoint ends_at;
};

// One of 256 shards at the size to design for, with the holder and two
// candidates, for two hours of the day. `at_once`: all the day's jobs were
// submitted before, as in the evening.
void PrintDesignLoad(bool at_once) {
  constexpr double kJobEverySeconds = kSecondsADay / (kJobsADay / kShards);
  constexpr double kHours = 2;
  constexpr double kRun = kHours * 3600;
  const auto items = static_cast<uint32_t>(kItemsADay / kJobsADay);
  const auto slots = static_cast<size_t>(kItemsADay / kSecondsADay / kShards *
                                         kItemSeconds * 1.2);
  World world(DesignSettings());
  const std::string body = JobBody(items);
  const std::string response = Response();
  ShardOwner& owner = world.AddOwner("vm-1");
  world.Step(milliseconds(10));
  world.AddOwner("vm-2");
  world.AddOwner("vm-3");
  std::deque<Running> running;
  const TimePoint begin = world.now;
  const double job_every = at_once ? 0 : kJobEverySeconds;
  const auto most_submitted = static_cast<uint32_t>(kJobsADay / kShards);
  double next_job = 0;
  uint32_t jobs = 0;
  size_t most_jobs = 0;
  size_t most_head = 0;
  while (ToSeconds(world.now - begin) < kRun) {
    if (jobs < most_submitted && ToSeconds(world.now - begin) >= next_job) {
      world.Submit(std::to_string(jobs++), body);
      next_job += job_every;
    }
    while (!running.empty() && running.front().ends_at <= world.now) {
      owner.OnItemDone(running.front().ticket, response, world.now);
      running.pop_front();
    }
    while (running.size() < slots) {
      const auto item = owner.NextItem(world.now);
      if (!item) break;
      running.push_back({item->ticket, world.now + FromSeconds(kItemSeconds)});
    }
    world.Step(milliseconds(50));
    most_jobs = std::max(most_jobs, owner.open_jobs());
    most_head = std::max(most_head, owner.lease().head_bytes());
  }
  const CallCounts& counts = world.store.counts();
  const auto all = [&](uint64_t calls) {
    return static_cast<double>(calls) / kRun * kShards;
  };
  fmt::print(
      "\n{} shards, {:.0f} M items and {:.0f} k jobs a day{}, 2 candidates a "
      "shard, commits every 4 s\n(one shard run for {} h of simulated time: {} "
      "jobs, {} items committed, at most {} open)\n",
      kShards, kItemsADay / 1e6, kJobsADay / 1e3,
      at_once ? ", all submitted at once" : "", kHours, jobs,
      owner.stats().committed, most_jobs);
  fmt::print("{:<34} {:>10.1f}  of several hundred\n", "writes a second",
             all(counts.writes + counts.deletes));
  fmt::print("{:<34} {:>10.1f}  of about 2000\n", "reads and lists a second",
             all(counts.reads + counts.lists));
  fmt::print("{:<34} {:>10.2f}\n", "megabytes written a second",
             all(counts.bytes_written) / 1e6);
  fmt::print("{:<34} {:>10.2f}\n", "megabytes read a second",
             all(counts.bytes_read) / 1e6);
  fmt::print("{:<34} {:>10}\n", "largest head, bytes", most_head);
  fmt::print("{:<34} {:>10.4f}\n", "processor of an owner, % of a core",
             world.owning.Micros() / 1e6 / kRun * 100);
  fmt::print("{:<34} {:>10.2f}\n", "longest piece of work, ms",
             world.owning.LongestMillis());
}

}  // namespace
}  // namespace knapweedstile::jobs

int main() {
  knapweedstile::jobs::PrintSubmission();
  knapweedstile::jobs::PrintCommits();
  knapweedstile::jobs::PrintMemory();
  knapweedstile::jobs::PrintTakeover();
  knapweedstile::jobs::PrintDesignLoad(false);
  knapweedstile::jobs::PrintDesignLoad(true);
  return 0;
}
