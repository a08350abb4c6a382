#include "serving/job_table.h"

#include <catch2/catch.hpp>
#include <map>

#include "base/rng.h"

namespace knapweedstile::serving {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);

BatchJob MakeJob(const std::string& id, int items, seconds due) {
  BatchJob job;
  job.id = id;
  job.route = "summaries";
  for (int i = 0; i < items; ++i) {
    job.items.push_back({.id = id + std::to_string(i), .tokens = 10});
  }
  job.due_at = kNow + due;
  return job;
}

std::vector<ItemResult> ResultOf(const std::string& item) {
  return {{.item = item, .output = "text of " + item}};
}

std::string NextJob(const JobTable& table) {
  const auto item = table.NextItem(
      kNow, kNow + seconds(4), [](const BatchJob&) { return true; },
      [](const BatchItem&) { return true; });
  return item ? item->job : "";
}

}  // namespace

// After an outage more jobs wait than there are slots. Running the oldest
// first, which is overdue already, would make each of them late in turn.
TEST_CASE("jobs that can still meet their deadline precede overdue ones") {
  JobTable table;
  table.AddJob(MakeJob("overdue", 1, seconds(1)));
  table.AddJob(MakeJob("later", 1, seconds(15)));
  table.AddJob(MakeJob("soon", 1, seconds(8)));
  CHECK(NextJob(table) == "soon");
  table.SetRunning({"soon", 0});
  CHECK(NextJob(table) == "later");
  table.SetRunning({"later", 0});
  CHECK(NextJob(table) == "overdue");
}

TEST_CASE("waiting items are counted by whether they may be started") {
  JobTable table;
  table.AddJob(MakeJob("own", 4, seconds(8)));
  table.AddJob(MakeJob("other", 2, seconds(8)));
  table.AddJob(MakeJob("ended", 2, seconds(8)));
  table.EndJob("ended");
  table.SetRunning({"own", 0});
  table.SetWaiting({"own", 1}, kNow + seconds(1));
  table.SetFinished({"own", 2}, ItemState::kCompleted);
  const auto is_own = [](const BatchJob& job) { return job.id != "other"; };
  CHECK(table.CountWaiting(kNow, is_own).ready == 1);
  CHECK(table.CountWaiting(kNow, is_own).paused == 1);
  CHECK(table.CountWaiting(kNow + seconds(1), is_own).ready == 2);
}

TEST_CASE("segments received early wait for the missing ones") {
  JobTable table;
  CHECK_FALSE(table.AddSegment("a", 1, ResultOf("a1")));
  table.AddJob(MakeJob("a", 3, seconds(9)));
  CHECK(table.Find("a")->results.empty());
  CHECK(table.AddSegment("a", 0, ResultOf("a0")));
  REQUIRE(table.Find("a")->results.size() == 2);
  CHECK(table.Find("a")->results[1].item == "a1");
  // The same segment again: it arrives both by push and by watch.
  CHECK(table.AddSegment("a", 1, ResultOf("a1")));
  CHECK(table.Find("a")->results.size() == 2);
  CHECK(table.WaitingTokens({"summaries", ""}) == 10);
}

TEST_CASE("an end received before its job takes effect") {
  JobTable table;
  table.EndJob("a");
  table.AddJob(MakeJob("a", 3, seconds(9)));
  CHECK_FALSE(table.Find("a")->open());
  CHECK(NextJob(table).empty());
}

TEST_CASE("an item committed by another gateway is not committed again") {
  JobTable table;
  table.AddJob(MakeJob("a", 2, seconds(9)));
  table.SetFinished({"a", 0}, ItemState::kCompleted);
  table.SetFinished({"a", 1}, ItemState::kCompleted);
  REQUIRE(table.UncommittedResults("a").size() == 2);
  table.AddSegment("a", 0, ResultOf("a0"));
  REQUIRE(table.UncommittedResults("a").size() == 1);
  CHECK(table.UncommittedResults("a").front().item == "a1");
  // The own run ends late.
  table.SetFinished({"a", 0}, ItemState::kCompleted);
  CHECK(table.UncommittedResults("a").size() == 1);
}

// Two gateways own the same jobs, run the same items and race for each
// segment's number, and receive records late and in any order. No item may be
// listed twice, no position may change, and both must end with the same list.
TEST_CASE("two owners of the same jobs list each item once") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Rng rng(seed);
    std::map<uint32_t, std::vector<ItemResult>> store;
    JobTable tables[2];
    std::vector<uint32_t> unread[2];
    constexpr int kItems = 8;
    for (JobTable& table : tables)
      table.AddJob(MakeJob("a", kItems, seconds(9)));
    const auto read_one = [&](int gateway) {
      if (unread[gateway].empty()) return;
      const size_t at = UniformBelow(rng, unread[gateway].size());
      const uint32_t number = unread[gateway][at];
      unread[gateway].erase(unread[gateway].begin() +
                            static_cast<ptrdiff_t>(at));
      auto copy = store.at(number);
      tables[gateway].AddSegment("a", number, std::move(copy));
    };
    const auto commit = [&](int gateway) {
      auto results = tables[gateway].UncommittedResults("a");
      if (results.empty()) return;
      const uint32_t number = tables[gateway].Find("a")->segments;
      if (!store.contains(number)) {
        store[number] = results;
        unread[1 - gateway].push_back(number);
      }
      // The own write, or the record read after a conflict.
      auto copy = store.at(number);
      tables[gateway].AddSegment("a", number, std::move(copy));
    };
    for (int step = 0; step < 400; ++step) {
      const int gateway = static_cast<int>(UniformBelow(rng, 2));
      const uint64_t action = UniformBelow(rng, 4);
      if (action == 0) read_one(gateway);
      if (action == 1) commit(gateway);
      if (action >= 2) {
        const auto item = static_cast<uint32_t>(UniformBelow(rng, kItems));
        tables[gateway].SetFinished({"a", item}, ItemState::kCompleted);
      }
    }
    for (int gateway = 0; gateway < 2; ++gateway) {
      while (!unread[gateway].empty()) read_one(gateway);
    }
    std::map<std::string, int> listed;
    for (const auto& [number, results] : store) {
      for (const ItemResult& result : results) ++listed[result.item];
    }
    CHECK(listed.size() == kItems);
    for (const auto& [item, times] : listed) CHECK(times == 1);
    const auto& first = tables[0].Find("a")->results;
    const auto& second = tables[1].Find("a")->results;
    REQUIRE(first.size() == second.size());
    for (size_t i = 0; i < first.size(); ++i) {
      CHECK(first[i].item == second[i].item);
    }
  }
}

// A gateway is killed, or stops for an upgrade, while its items have been
// running for seconds. The gateway that takes them over resumes from the last
// published progress instead of restarting them.
TEST_CASE("another gateway resumes an item from its published progress") {
  JobTable first;
  JobTable second;
  first.AddJob(MakeJob("j", 2, seconds(18)));
  second.AddJob(MakeJob("j", 2, seconds(18)));
  ItemProgress& progress = first.Find("j")->progress[0];
  progress.phase = ItemPhase::kRunning;
  progress.last_event = 20;
  progress.output = "twenty events";
  CHECK(first.TakeProgressUpdates(32, 1000).empty());
  auto updates = first.TakeProgressUpdates(16, 1000);
  REQUIRE(updates.size() == 1);
  CHECK(first.TakeProgressUpdates(1, 1000).empty());
  second.MergeProgress(std::move(updates[0]));
  const ItemProgress& known = second.Find("j")->progress[0];
  CHECK(known.last_event == 20);
  CHECK(known.output == "twenty events");
  // It is not published again.
  CHECK(second.TakeProgressUpdates(1, 1000).empty());
  // An older update, or one for an item that runs here, changes nothing.
  second.MergeProgress(
      {.job = "j", .item = "j0", .last_event = 10, .output = "ten"});
  CHECK(known.last_event == 20);
  second.SetRunning({"j", 0});
  second.MergeProgress(
      {.job = "j", .item = "j0", .last_event = 30, .output = "thirty"});
  CHECK(known.last_event == 20);
  second.MergeProgress({.job = "other", .item = "j0", .last_event = 9});
}

// A gateway crashes and restarts before its jobs are taken over. The progress
// that it had published must be sent back to it, also while it still reads its
// records.
TEST_CASE("a restarted gateway receives the progress it had published") {
  JobTable standby;
  BatchJob job = MakeJob("j", 2, seconds(18));
  job.creator = "entry-1";
  standby.AddJob(BatchJob(job));
  standby.MergeProgress(
      {.job = "j", .item = "j1", .last_event = 40, .output = "40"});
  REQUIRE(standby.TakeProgressUpdates(16, 1000).empty());
  standby.RepublishProgress("entry-2");
  REQUIRE(standby.TakeProgressUpdates(16, 1000).empty());
  standby.RepublishProgress("entry-1");
  auto updates = standby.TakeProgressUpdates(16, 1000);
  REQUIRE(updates.size() == 1);
  JobTable restarted;
  restarted.MergeProgress(std::move(updates[0]));
  restarted.AddJob(std::move(job));
  CHECK(restarted.Find("j")->progress[1].last_event == 40);
  CHECK(restarted.Find("j")->progress[1].output == "40");
}

// Guards against an output with a hole: an update continues the previous one,
// which the receiver may have missed.
TEST_CASE("progress is sent in parts that the receiver joins") {
  JobTable owner;
  JobTable standby;
  owner.AddJob(MakeJob("j", 1, seconds(18)));
  standby.AddJob(MakeJob("j", 1, seconds(18)));
  ItemProgress& own = owner.Find("j")->progress[0];
  const auto advance = [&](uint64_t event, const std::string& data) {
    own.output += own.output.empty() ? data : "\n" + data;
    own.last_event = event;
    auto updates = owner.TakeProgressUpdates(1, 1000);
    REQUIRE(updates.size() == 1);
    return updates[0];
  };
  const ItemProgress& received = standby.Find("j")->progress[0];
  CHECK(standby.MergeProgress(advance(1, "one")) == ProgressOutcome::kApplied);
  const ProgressUpdate second = advance(2, "two");
  CHECK(second.output == "\ntwo");
  CHECK(standby.MergeProgress(ProgressUpdate(second)) ==
        ProgressOutcome::kApplied);
  CHECK(standby.MergeProgress(ProgressUpdate(second)) ==
        ProgressOutcome::kApplied);
  CHECK(received.output == "one\ntwo");
  advance(3, "three");  // lost
  CHECK(standby.MergeProgress(advance(4, "four")) ==
        ProgressOutcome::kNotKnown);
  CHECK(received.last_event == 2);
  owner.RepublishItem("j", "j0");
  CHECK(standby.MergeProgress(advance(5, "five")) == ProgressOutcome::kApplied);
  CHECK(received.output == own.output);
  CHECK(received.last_event == 5);
  owner.ForgetPublishedOutputs();
  CHECK(owner.TakeProgressUpdates(1, 1000).empty());
  CHECK(advance(6, "six").output == own.output);
}

// Guards against an output that is joined from two runs of an item, whose
// events have the same numbers.
TEST_CASE("progress of another run is not appended") {
  JobTable former;   // runs the item first
  JobTable later;    // runs it anew
  JobTable standby;  // has the progress of the first run
  for (JobTable* table : {&former, &later, &standby}) {
    table->AddJob(MakeJob("j", 1, seconds(18)));
  }
  const auto advance = [](JobTable& table, uint64_t to,
                          const std::string& run) {
    ItemProgress& progress = table.Find("j")->progress[0];
    for (uint64_t i = progress.last_event.value_or(0) + 1; i <= to; ++i) {
      if (i > 1) progress.output += '\n';
      progress.output += std::to_string(i) + run;
    }
    progress.last_event = to;
    auto updates = table.TakeProgressUpdates(1, 1000);
    REQUIRE(updates.size() == 1);
    return updates[0];
  };
  const ItemProgress& received = standby.Find("j")->progress[0];
  CHECK(standby.MergeProgress(advance(former, 4, "a")) ==
        ProgressOutcome::kApplied);
  // The update is dropped, as that of the first run is ahead of it, or as far.
  CHECK(standby.MergeProgress(advance(later, 2, "b")) ==
        ProgressOutcome::kDeclined);
  CHECK(standby.MergeProgress(advance(later, 4, "b")) ==
        ProgressOutcome::kDeclined);
  CHECK(standby.MergeProgress(advance(later, 6, "b")) ==
        ProgressOutcome::kNotKnown);
  CHECK(received.output == former.Find("j")->progress[0].output);
  later.RepublishItem("j", "j0");
  CHECK(standby.MergeProgress(advance(later, 7, "b")) ==
        ProgressOutcome::kApplied);
  CHECK(received.output == later.Find("j")->progress[0].output);
  // The first run, which another gateway continues, cannot be appended either.
  CHECK(standby.MergeProgress(advance(former, 7, "a")) ==
        ProgressOutcome::kDeclined);
  CHECK(standby.MergeProgress(advance(former, 8, "a")) ==
        ProgressOutcome::kNotKnown);
  CHECK(received.output == later.Find("j")->progress[0].output);
}

TEST_CASE("progress that is not applied is not reported as applied") {
  JobTable table;
  table.AddJob(MakeJob("j", 1, seconds(18)));
  const ProgressUpdate whole{
      .job = "j", .item = "j0", .last_event = 2, .output = "one\ntwo"};
  table.SetRunning({"j", 0});
  CHECK(table.MergeProgress(ProgressUpdate(whole)) ==
        ProgressOutcome::kDeclined);
  table.SetWaiting({"j", 0}, {});
  CHECK(table.MergeProgress(ProgressUpdate(whole)) ==
        ProgressOutcome::kApplied);
  ProgressUpdate older = whole;
  older.last_event = 1;
  older.output = "one";
  CHECK(table.MergeProgress(ProgressUpdate(older)) ==
        ProgressOutcome::kApplied);
  older.output = "1";
  CHECK(table.MergeProgress(ProgressUpdate(older)) ==
        ProgressOutcome::kDeclined);
  // Gateways of older versions send no hash.
  CHECK(table.MergeProgress({.job = "j",
                             .item = "j0",
                             .last_event = 3,
                             .after_event = 2,
                             .output = "\nthree"}) ==
        ProgressOutcome::kNotKnown);
  table.SetFinished({"j", 0}, ItemState::kCompleted);
  CHECK(table.MergeProgress(ProgressUpdate(whole)) ==
        ProgressOutcome::kDeclined);
}

TEST_CASE("progress updates are bounded in bytes; the rest follows later") {
  JobTable table;
  table.AddJob(MakeJob("j", 3, seconds(18)));
  for (ItemProgress& progress : table.Find("j")->progress) {
    progress.last_event = 5;
    progress.output = std::string(600, 'x');
  }
  CHECK(table.TakeProgressUpdates(1, 1000).size() == 1);
  CHECK(table.TakeProgressUpdates(1, 1300).size() == 2);
  CHECK(table.TakeProgressUpdates(1, 1300).empty());
}

// A gateway reads its records again every few seconds. It must not decode known
// segments again, also while an earlier one is missing.
TEST_CASE("a known segment is distinguished from a new one") {
  JobTable table;
  CHECK_FALSE(table.HasSegment("a", 0));
  table.AddSegment("a", 1, ResultOf("a1"));
  CHECK(table.HasSegment("a", 1));
  CHECK_FALSE(table.HasSegment("a", 0));
  table.AddJob(MakeJob("a", 3, seconds(9)));
  table.AddSegment("a", 0, ResultOf("a0"));
  CHECK(table.HasSegment("a", 0));
  CHECK(table.HasSegment("a", 1));
  CHECK_FALSE(table.HasSegment("a", 2));
}

// Replays the records of a job at a gateway that does not hold it: outlines
// count, order and end the job, and full records complete them later, in any
// order. Guards against outputs that are taken for empty ones.
TEST_CASE("an outline is completed by the full records") {
  JobTable table;
  BatchJob outline = MakeJob("a", 4, seconds(9));
  outline.has_bodies = false;
  BatchJob full = MakeJob("a", 4, seconds(9));
  full.items[2].body = "prompt";
  const auto outline_of = [](const std::string& item) {
    return std::vector<ItemResult>{{.item = item, .has_output = false}};
  };
  table.AddSegment("a", 1, outline_of("a1"));
  table.AddJob(std::move(outline));
  const BatchJob& job = *table.Find("a");
  CHECK_FALSE(job.has_bodies);
  table.AddSegment("a", 0, ResultOf("a0"));
  table.AddSegment("a", 2, outline_of("a2"));
  table.AddSegment("a", 3,
                   {{.item = "a3", .state = ItemState::kFailed, .output = ""}});
  CHECK(job.complete());
  CHECK(table.WaitingTokens({.route = "summaries"}) == 0);
  CHECK_FALSE(job.MissingSegment(0));
  CHECK(job.MissingSegment(1) == 1);
  CHECK(job.MissingSegment(2) == 2);
  CHECK_FALSE(job.MissingSegment(3));
  CHECK(table.HasSegment("a", 1));
  CHECK_FALSE(table.HasFullSegment("a", 1));
  table.AddSegment("a", 2, ResultOf("a2"));
  table.AddSegment("a", 2, outline_of("a2"));
  table.AddSegment("a", 1, ResultOf("a1"));
  CHECK_FALSE(job.MissingSegment(0));
  CHECK(job.results[1].output == "text of a1");
  CHECK(job.results[2].output == "text of a2");
  table.AddJob(std::move(full));
  CHECK(job.has_bodies);
  CHECK(job.items[2].body == "prompt");
  CHECK(job.results.size() == 4);
}

// Guards against an output that joins the events of two software versions when
// a gateway that is behind gets an update from one that began the item again.
TEST_CASE("an update of another software version does not continue an output") {
  JobTable table;
  table.AddJob(MakeJob("a", 1, seconds(15)));
  const ItemProgress& progress = table.Find("a")->progress[0];
  CHECK(table.MergeProgress({.job = "a",
                             .item = "a0",
                             .last_event = 2,
                             .software = "v1",
                             .output = "one\ntwo"}) ==
        ProgressOutcome::kApplied);
  CHECK(progress.software == "v1");
  CHECK(table.MergeProgress({.job = "a",
                             .item = "a0",
                             .last_event = 3,
                             .after_event = 2,
                             .software = "v2",
                             .output = "\nthree"}) ==
        ProgressOutcome::kNotKnown);
  CHECK(progress.output == "one\ntwo");
  CHECK(table.MergeProgress({.job = "a",
                             .item = "a0",
                             .last_event = 3,
                             .software = "v2",
                             .output = "1\n2\n3"}) ==
        ProgressOutcome::kApplied);
  CHECK(progress.output == "1\n2\n3");
  CHECK(progress.software == "v2");
  table.ForgetOutput({"a", 0});
  CHECK(progress.output.empty());
  CHECK_FALSE(progress.last_event);
  CHECK(progress.software.empty());
}

// Guards against memory that is counted once and never given back.
TEST_CASE("the memory of jobs follows their items and results") {
  JobTable table;
  CHECK(table.bytes() == 0);
  BatchJob job = MakeJob("a", 2, seconds(5));
  job.items[0].body = std::string(10'000, 'x');
  BatchJob outline = MakeJob("b", 2, seconds(5));
  outline.has_bodies = false;
  table.AddJob(std::move(job));
  const uint64_t one = table.bytes();
  CHECK(one > 10'000);
  table.AddJob(std::move(outline));
  const uint64_t two = table.bytes();
  CHECK(two > one);
  BatchJob full = MakeJob("b", 2, seconds(5));
  full.items[1].body = std::string(20'000, 'x');
  table.AddJob(std::move(full));
  CHECK(table.bytes() == two + 20'000);
  table.AddSegment("a", 0, {{.item = "a0", .output = std::string(5'000, 'y')}});
  CHECK(table.bytes() > two + 25'000);
  table.RemoveJob("a");
  table.RemoveJob("b");
  CHECK(table.bytes() == 0);
}

}  // namespace knapweedstile::serving
