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

std::string NextJob(const JobTable& book) {
  const auto item = book.NextItem(
      kNow, kNow + seconds(4), [](const BatchJob&) { return true; },
      [](const BatchItem&) { return true; });
  return item ? item->job : "";
}

}  // namespace

// After an outage more jobs wait than there is room for. Working on the oldest
// first, which is late already, would make each of them late in turn.
TEST_CASE("jobs that can still be in time go before overdue ones") {
  JobTable book;
  book.AddJob(MakeJob("overdue", 1, seconds(1)));
  book.AddJob(MakeJob("later", 1, seconds(15)));
  book.AddJob(MakeJob("soon", 1, seconds(8)));
  CHECK(NextJob(book) == "soon");
  book.SetRunning({"soon", 0});
  CHECK(NextJob(book) == "later");
  book.SetRunning({"later", 0});
  CHECK(NextJob(book) == "overdue");
}

TEST_CASE("segments that come early wait for those before them") {
  JobTable book;
  CHECK_FALSE(book.AddSegment("a", 1, ResultOf("a1")));
  book.AddJob(MakeJob("a", 3, seconds(9)));
  CHECK(book.Find("a")->results.empty());
  CHECK(book.AddSegment("a", 0, ResultOf("a0")));
  REQUIRE(book.Find("a")->results.size() == 2);
  CHECK(book.Find("a")->results[1].item == "a1");
  // The same segment again, as pushes and watches both bring it.
  CHECK(book.AddSegment("a", 1, ResultOf("a1")));
  CHECK(book.Find("a")->results.size() == 2);
  CHECK(book.WaitingTokens({"summaries", ""}) == 10);
}

TEST_CASE("an end that comes before its job holds") {
  JobTable book;
  book.EndJob("a");
  book.AddJob(MakeJob("a", 3, seconds(9)));
  CHECK_FALSE(book.Find("a")->open());
  CHECK(NextJob(book).empty());
}

TEST_CASE("an item that another entry committed is not committed again") {
  JobTable book;
  book.AddJob(MakeJob("a", 2, seconds(9)));
  book.SetFinished({"a", 0}, ItemState::kCompleted);
  book.SetFinished({"a", 1}, ItemState::kCompleted);
  REQUIRE(book.UncommittedResults("a").size() == 2);
  book.AddSegment("a", 0, ResultOf("a0"));
  REQUIRE(book.UncommittedResults("a").size() == 1);
  CHECK(book.UncommittedResults("a").front().item == "a1");
  // Its own late run ends afterwards.
  book.SetFinished({"a", 0}, ItemState::kCompleted);
  CHECK(book.UncommittedResults("a").size() == 1);
}

// Two entries believe that they own the same jobs, run the same items, and race
// for each segment's number; records reach each of them late and in any order.
// Whatever happens, no item is listed twice, positions never change, and both
// end with the same list.
TEST_CASE("two owners of the same jobs list each item once") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Rng rng(seed);
    std::map<uint32_t, std::vector<ItemResult>> store;
    JobTable books[2];
    std::vector<uint32_t> unread[2];
    constexpr int kItems = 8;
    for (JobTable& book : books) book.AddJob(MakeJob("a", kItems, seconds(9)));
    const auto read_one = [&](int who) {
      if (unread[who].empty()) return;
      const size_t at = UniformBelow(rng, unread[who].size());
      const uint32_t number = unread[who][at];
      unread[who].erase(unread[who].begin() + static_cast<ptrdiff_t>(at));
      auto copy = store.at(number);
      books[who].AddSegment("a", number, std::move(copy));
    };
    const auto commit = [&](int who) {
      auto results = books[who].UncommittedResults("a");
      if (results.empty()) return;
      const uint32_t number = books[who].Find("a")->segments;
      if (!store.contains(number)) {
        store[number] = results;
        unread[1 - who].push_back(number);
      }
      // Its own write, or what the read after a conflict shows.
      auto copy = store.at(number);
      books[who].AddSegment("a", number, std::move(copy));
    };
    for (int step = 0; step < 400; ++step) {
      const int who = static_cast<int>(UniformBelow(rng, 2));
      const uint64_t action = UniformBelow(rng, 4);
      if (action == 0) read_one(who);
      if (action == 1) commit(who);
      if (action >= 2) {
        const auto item = static_cast<uint32_t>(UniformBelow(rng, kItems));
        books[who].SetFinished({"a", item}, ItemState::kCompleted);
      }
    }
    for (int who = 0; who < 2; ++who) {
      while (!unread[who].empty()) read_one(who);
    }
    std::map<std::string, int> listed;
    for (const auto& [number, results] : store) {
      for (const ItemResult& result : results) ++listed[result.item];
    }
    CHECK(listed.size() == kItems);
    for (const auto& [item, times] : listed) CHECK(times == 1);
    const auto& first = books[0].Find("a")->results;
    const auto& second = books[1].Find("a")->results;
    REQUIRE(first.size() == second.size());
    for (size_t i = 0; i < first.size(); ++i) {
      CHECK(first[i].item == second[i].item);
    }
  }
}

// A gateway is killed, or stops for an upgrade, with items that have been
// running for seconds. Who takes them over has been told how far they were and
// goes on from there, instead of running them again from their start.
TEST_CASE("another entry goes on with an item where it was told of it") {
  JobTable first;
  JobTable second;
  first.AddJob(MakeJob("j", 2, seconds(18)));
  second.AddJob(MakeJob("j", 2, seconds(18)));
  ItemProgress& progress = first.Find("j")->progress[0];
  progress.phase = ItemPhase::kRunning;
  progress.last_event = 20;
  progress.output = "twenty events";
  CHECK(first.TakeProgressUpdates(32, 1000).empty());
  auto notes = first.TakeProgressUpdates(16, 1000);
  REQUIRE(notes.size() == 1);
  CHECK(first.TakeProgressUpdates(1, 1000).empty());
  second.MergeProgress(std::move(notes[0]));
  const ItemProgress& known = second.Find("j")->progress[0];
  CHECK(known.last_event == 20);
  CHECK(known.output == "twenty events");
  // It is not told on and on.
  CHECK(second.TakeProgressUpdates(1, 1000).empty());
  // An older note, and one for an item that runs here, change nothing.
  second.MergeProgress(
      {.job = "j", .item = "j0", .last_event = 10, .output = "ten"});
  CHECK(known.last_event == 20);
  second.SetRunning({"j", 0});
  second.MergeProgress(
      {.job = "j", .item = "j0", .last_event = 30, .output = "thirty"});
  CHECK(known.last_event == 20);
  second.MergeProgress({.job = "other", .item = "j0", .last_event = 9});
}

// An entry crashes and is back before its jobs are taken over. What it had told
// of its items must come back to it, also while it still reads its records.
TEST_CASE("an entry that has lost its memory is told what it had told") {
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
  auto notes = standby.TakeProgressUpdates(16, 1000);
  REQUIRE(notes.size() == 1);
  JobTable restarted;
  restarted.MergeProgress(std::move(notes[0]));
  restarted.AddJob(std::move(job));
  CHECK(restarted.Find("j")->progress[1].last_event == 40);
  CHECK(restarted.Find("j")->progress[1].output == "40");
}

TEST_CASE("notes are bounded in bytes and come with the next call") {
  JobTable book;
  book.AddJob(MakeJob("j", 3, seconds(18)));
  for (ItemProgress& progress : book.Find("j")->progress) {
    progress.last_event = 5;
    progress.output = std::string(600, 'x');
  }
  CHECK(book.TakeProgressUpdates(1, 1000).size() == 1);
  CHECK(book.TakeProgressUpdates(1, 1300).size() == 2);
  CHECK(book.TakeProgressUpdates(1, 1300).empty());
}

// An entry reads its records again every few seconds; those that it knows are
// not to be decoded once more, also while an earlier one is missing.
TEST_CASE("a segment that is known is told from a new one") {
  JobTable book;
  CHECK_FALSE(book.HasSegment("a", 0));
  book.AddSegment("a", 1, ResultOf("a1"));
  CHECK(book.HasSegment("a", 1));
  CHECK_FALSE(book.HasSegment("a", 0));
  book.AddJob(MakeJob("a", 3, seconds(9)));
  book.AddSegment("a", 0, ResultOf("a0"));
  CHECK(book.HasSegment("a", 0));
  CHECK(book.HasSegment("a", 1));
  CHECK_FALSE(book.HasSegment("a", 2));
}

}  // namespace knapweedstile::serving
