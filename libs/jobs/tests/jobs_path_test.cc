// The path of a job from its submission to its results, without faults.

#include <catch2/catch.hpp>
#include <set>

#include "jobs/item_line.h"
#include "jobs/result_line.h"
#include "jobs/store_names.h"
#include "jobs_harness.h"

namespace knapweedstile::jobs {

TEST_CASE("a job is accepted, run, committed and read") {
  Harness harness(1);
  const SubmitResult accepted = harness.Submit("ws", "key", Harness::Items(5));
  REQUIRE(accepted.outcome == SubmitOutcome::kAccepted);
  Owner& owner = harness.StartOwner("vm-1");
  harness.RunUntil([&] { return harness.Settled(accepted.id); });
  const JobReadResult read = harness.Read(accepted.id, 0, 100);
  REQUIRE(read.status.state == JobState::kCompleted);
  REQUIRE(read.status.completed == 5);
  REQUIRE(read.lines.size() == 5);
  REQUIRE_FALSE(read.next_after);
  REQUIRE(owner.shards[accepted.id.shard]->open_jobs() == 0);
}

TEST_CASE("a resend finds the same job, another body under the key does not") {
  Harness harness(2);
  const SubmitResult first = harness.Submit("ws", "key", Harness::Items(3));
  const SubmitResult again = harness.Submit("ws", "key", Harness::Items(3));
  REQUIRE(again.outcome == SubmitOutcome::kResent);
  REQUIRE(again.id == first.id);
  REQUIRE(harness.Submit("ws", "key", Harness::Items(4)).outcome ==
          SubmitOutcome::kConflict);
  REQUIRE(harness.Submit("other", "key", Harness::Items(3)).outcome ==
          SubmitOutcome::kAccepted);
  REQUIRE(harness.Submit("ws", "none", " \n\r\n").outcome ==
          SubmitOutcome::kInvalid);
}

// Story: one line in the middle of a job is broken JSON, another has no prompt.
// Their items end with an error of their own; the caller gets the results of
// all the others.
TEST_CASE("a malformed line fails its own item and holds nothing up") {
  Harness harness(3);
  std::string body = Harness::Items(2);
  body += "{broken\n";
  body += R"({"custom_id":"no-prompt","body":{"model":"m"}})";
  body += "\n\"\xff\xfe\"\n" + Harness::Items(2);
  const SubmitResult accepted = harness.Submit("ws", "key", body);
  harness.StartOwner("vm-1");
  harness.RunUntil([&] { return harness.Settled(accepted.id); });
  const JobReadResult read = harness.Read(accepted.id, 0, 100);
  REQUIRE(read.status.completed == 4);
  REQUIRE(read.status.failed == 3);
  bool named = false;
  for (const std::string& line : read.lines) {
    named = named || line.find("no-prompt") != std::string::npos;
  }
  REQUIRE(named);
}

// Story: an item crashes every engine that runs it. Its caller must get an
// error for this one item after a few attempts and the results of the rest.
TEST_CASE("an item that can never be done fails after bounded attempts") {
  Harness harness(4);
  const SubmitResult accepted = harness.Submit("ws", "key", Harness::Items(9));
  harness.SetItemFaults(0, 0);
  harness.SetPoison(4);
  harness.StartOwner("vm-1");
  harness.RunUntil([&] { return harness.Settled(accepted.id); });
  REQUIRE(harness.Read(accepted.id, 0, 0).status.failed == 1);
  REQUIRE(harness.runs_of(accepted.id, 4) == ShardOwnerSettings{}.max_attempts);
}

TEST_CASE("a cancelled job stops and its results stay readable") {
  Harness harness(5);
  const SubmitResult accepted =
      harness.Submit("ws", "key", Harness::Items(3000));
  Owner& owner = harness.StartOwner("vm-1");
  harness.RunUntil(
      [&] { return harness.Read(accepted.id, 0, 0).status.completed > 50; });
  REQUIRE(harness.Cancel(accepted.id, "other") == CancelOutcome::kNotFound);
  REQUIRE(harness.Cancel(accepted.id, "ws") == CancelOutcome::kCancelling);
  harness.RunUntil([&] { return harness.Settled(accepted.id); });
  REQUIRE(owner.running.empty());
  const JobStatus status = harness.Read(accepted.id, 0, 0).status;
  REQUIRE(status.state == JobState::kCancelled);
  REQUIRE(status.cancelled > 0);
  REQUIRE(status.completed + status.failed + status.cancelled == 3000);
  std::set<std::string> lines;
  std::optional<uint64_t> after = 0;
  while (after) {
    const JobReadResult page = harness.Read(accepted.id, *after, 700);
    lines.insert(page.lines.begin(), page.lines.end());
    after = page.next_after;
  }
  REQUIRE(lines.size() == 3000);
}

TEST_CASE("items go out by due time, then in turn between workspaces") {
  Harness harness(6, 1);
  constexpr int64_t kHourMs = 3'600'000;
  harness.Submit("late", "a", Harness::Items(20), 2 * kHourMs);
  harness.Submit("ws-1", "b", Harness::Items(20), kHourMs);
  harness.Submit("ws-1", "c", Harness::Items(20), kHourMs);
  harness.Submit("ws-2", "d", Harness::Items(20), kHourMs);
  Owner& owner = harness.StartOwner("vm-1");
  owner.capacity = 0;
  harness.RunFor(std::chrono::seconds(2));
  std::vector<std::string> order;
  while (auto item = owner.shards[0]->NextItem(harness.now())) {
    order.push_back(item->workspace);
  }
  REQUIRE(order.size() == 80);
  REQUIRE(std::count(order.begin(), order.begin() + 40, "ws-2") == 20);
  REQUIRE(std::count(order.begin() + 60, order.end(), "late") == 20);
}

// Story: jobs that are due tomorrow hold all the input memory of a shard, and a
// manifest comes in that must be done before the border closes.
TEST_CASE("an urgent job gets input memory from a later one") {
  Harness harness(11, 1);
  harness.settings.max_active_jobs = 1;
  constexpr int64_t kHourMs = 3'600'000;
  harness.Submit("ws", "late", Harness::Items(200, "late"), 24 * kHourMs);
  Owner& owner = harness.StartOwner("vm-1");
  owner.capacity = 0;
  harness.RunFor(seconds(1));
  const auto next = [&] {
    const auto item = owner.shards[0]->NextItem(harness.now());
    return item ? item->custom_id : "none";
  };
  REQUIRE(next() == "late0");
  harness.Submit("ws", "soon", Harness::Items(2, "soon"), kHourMs);
  harness.RunFor(seconds(5));
  REQUIRE(next() == "soon0");
  REQUIRE(next() == "soon1");
  // The late one goes on where it was, as soon as its input is read again.
  harness.RunFor(milliseconds(100));
  REQUIRE(next() == "late1");
}

// Story: the engines of one model are full for an hour, those of another idle.
// A job for each stands in one shard; the second must get its items out.
TEST_CASE("a full model does not hold up the items of another") {
  Harness harness(7, 1);
  std::string other = Harness::Items(30);
  for (size_t at = 0; (at = other.find("\"m\"", at)) != std::string::npos;) {
    other.replace(at, 3, "\"n\"");
  }
  harness.Submit("ws", "a", Harness::Items(30));
  harness.Submit("ws", "b", other);
  Owner& owner = harness.StartOwner("vm-1");
  owner.capacity = 0;
  harness.RunFor(seconds(2));
  ShardOwner& shard = *owner.shards[0];
  // Items of both came back and wait, ahead of everything.
  for (int i = 0; i < 20; ++i) {
    const auto item = shard.NextItem(harness.now());
    shard.OnItemRefused(item->ticket, harness.now(), harness.now());
  }
  const auto only_n = [](const Lane& lane) { return lane.model == "n"; };
  int found = 0;
  while (shard.NextItem(harness.now(), only_n)) ++found;
  REQUIRE(found == 30);
  found = 0;
  while (shard.NextItem(harness.now())) ++found;
  REQUIRE(found == 30);
}

TEST_CASE("ids, lines and names survive a round trip") {
  const JobId id = MakeJobId("ws", "key", 256);
  REQUIRE(ParseJobId(ToString(id)) == id);
  REQUIRE_FALSE(ParseJobId("7-abc"));
  REQUIRE_FALSE(ParseJobId(""));
  REQUIRE(MakeJobId("a", "bc", 256) != MakeJobId("ab", "c", 256));
  const ItemLine line = DecodeItemLine(CanonicalLine(
      R"({"custom_id":"é","body":{"model":"m","prompt":"x"},"z":1})"));
  REQUIRE(line.custom_id == "é");
  REQUIRE(line.body == R"({"model":"m","prompt":"x"})");
  REQUIRE(CompletedLine(1, "c", "\xff\n", 1).find('\n') == std::string::npos);
}

}  // namespace knapweedstile::jobs
