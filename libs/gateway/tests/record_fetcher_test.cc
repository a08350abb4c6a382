#include "batch/record_fetcher.h"

#include <catch2/catch.hpp>
#include <optional>

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;
using std::chrono::milliseconds;

constexpr milliseconds kPass{20};  // between two passes over the jobs

// A store that answers at once with `outcome`, or not at all if there is none.
struct Fixture {
  bool reachable = true;
  bool job_known = true;
  std::optional<StoreOutcome> outcome = StoreOutcome::kOk;
  size_t reads = 0;
  size_t applied = 0;
  RecordFetcher::AnswerCallback unanswered;
  TimePoint now{std::chrono::seconds(100)};
  RecordFetcher fetcher{
      {.store_reachable = [this] { return reachable; },
       .read =
           [this](const std::string& name, TimePoint,
                  RecordFetcher::AnswerCallback done) {
             ++reads;
             unanswered = std::move(done);
             if (outcome) Answer(name, *outcome);
           },
       .apply = [this](const platform::StoredObject&) { ++applied; },
       .job_known = [this](const std::string&) { return job_known; }}};

  void Answer(const std::string& name, StoreOutcome with) {
    StoreAnswer answer{.outcome = with};
    if (with == StoreOutcome::kOk) answer.objects.push_back({.name = name});
    auto done = std::move(unanswered);
    done(answer, now);
  }
  // Asks for the record on every pass for the given time.
  void AskFor(const std::string& name, Duration time) {
    for (const TimePoint end = now + time; now < end; now += kPass) {
      fetcher.FetchInBackground(name, now);
    }
  }
};

}  // namespace

// Guards against a flood of calls to a store that refuses them quickly.
TEST_CASE("a refused record is read four times a second") {
  Fixture fixture;
  fixture.outcome = StoreOutcome::kThrottled;
  fixture.AskFor("job.a", std::chrono::seconds(2));
  CHECK(fixture.reads >= 6);
  CHECK(fixture.reads <= 8);
}

// Guards against endless reads of a record that was deleted.
TEST_CASE("a record that does not exist is seldom read again") {
  Fixture fixture;
  fixture.outcome = StoreOutcome::kNotFound;
  fixture.AskFor("job.a", std::chrono::seconds(4));
  CHECK(fixture.reads == 1);
  fixture.AskFor("job.a", std::chrono::seconds(4));
  CHECK(fixture.reads == 2);
}

// Guards against endless reads of a record that cannot be decoded.
TEST_CASE("a record that changed nothing is seldom read again") {
  Fixture fixture;
  fixture.AskFor("job.a", std::chrono::seconds(4));
  CHECK(fixture.reads == 1);
  CHECK(fixture.applied == 1);
}

// Guards against calls that are known to fail.
TEST_CASE("no record is read in the background while no store is reachable") {
  Fixture fixture;
  fixture.reachable = false;
  fixture.AskFor("job.a", std::chrono::seconds(1));
  CHECK(fixture.reads == 0);
  fixture.reachable = true;
  fixture.AskFor("job.a", kPass);
  CHECK(fixture.applied == 1);
}

// Guards against a job that returns after its deletion was seen: an answer that
// is older than the deletion arrives after it.
TEST_CASE("a late answer does not bring a deleted job back") {
  Fixture fixture;
  fixture.outcome.reset();
  fixture.AskFor("job.a", kPass);
  fixture.job_known = false;
  fixture.Answer("job.a", StoreOutcome::kOk);
  CHECK(fixture.reads == 1);
  CHECK(fixture.applied == 0);
}

// Guards against a caller who waits for a pause after a failed read.
TEST_CASE("a caller's read shares a call and does not wait for a pause") {
  Fixture fixture;
  fixture.outcome = StoreOutcome::kThrottled;
  fixture.AskFor("job.a", kPass);
  fixture.outcome.reset();
  size_t answers = 0;
  for (int caller = 0; caller < 3; ++caller) {
    fixture.fetcher.Fetch("job.a", fixture.now, [&](bool read) {
      if (read) ++answers;
    });
  }
  fixture.AskFor("job.a", std::chrono::seconds(1));
  CHECK(fixture.reads == 2);
  fixture.Answer("job.a", StoreOutcome::kOk);
  CHECK(answers == 3);
}

}  // namespace knapweedstile::gateway
