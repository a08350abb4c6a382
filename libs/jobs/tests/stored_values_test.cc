// What is stored can be read back, and no damaged or hostile text harms its
// reader.

#include <rapidcheck.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "jobs/item_line.h"
#include "jobs/job_record.h"
#include "jobs/result_line.h"
#include "jobs/result_segment.h"
#include "jobs/shard_head.h"

namespace knapweedstile::jobs {

namespace {

JobProgress AnyProgress() {
  JobProgress progress;
  progress.done = ItemSet(*rc::gen::inRange<uint32_t>(1, 700));
  for (const uint32_t index : *rc::gen::container<std::vector<uint32_t>>(
           rc::gen::inRange<uint32_t>(0, 700))) {
    progress.done.Insert(index);
  }
  uint64_t sequence = 0;
  for (const uint32_t step : *rc::gen::container<std::vector<uint32_t>>(
           rc::gen::inRange<uint32_t>(1, 90))) {
    progress.results.push_back({sequence / 100, sequence += step, step});
  }
  progress.attempts[3] = *rc::gen::inRange<uint32_t>(1, 9);
  progress.failed = progress.done.size() / 2;
  progress.closed = *rc::gen::arbitrary<bool>();
  return progress;
}

bool Same(const JobProgress& a, const JobProgress& b) {
  return a.done == b.done && a.failed == b.failed && a.results == b.results &&
         a.attempts == b.attempts && a.closed == b.closed;
}

// A stored value with one byte changed or cut off.
std::string Damaged(std::string value) {
  if (value.empty()) return value;
  const auto at = *rc::gen::inRange<size_t>(0, value.size());
  if (*rc::gen::arbitrary<bool>()) {
    value.resize(at);
  } else {
    value[at] = *rc::gen::arbitrary<char>();
  }
  return value;
}

bool IsJson(std::string_view text) {
  boost::json::error_code ec;
  boost::json::parse(text, ec);
  return !ec;
}

}  // namespace

TEST_CASE("a head and a job object survive the store") {
  REQUIRE(rc::check("decode undoes encode", [] {
    ShardHead head;
    head.lease = {*rc::gen::arbitrary<uint64_t>(), "vm", 4, "w"};
    head.jobs["a"] = AnyProgress();
    head.jobs["b"] = AnyProgress();
    const auto read = DecodeShardHead(Encode(head));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->lease.fence == head.lease.fence);
    RC_ASSERT(Same(read->jobs.at("a"), head.jobs.at("a")));
    RC_ASSERT(Same(read->jobs.at("b"), head.jobs.at("b")));
    JobRecord record;
    record.state = JobState::kCancelled;
    record.inputs = {{0, 5}, {5, 7}};
    record.progress = AnyProgress();
    const auto job = DecodeJobRecord(Encode(record));
    RC_ASSERT(job.has_value());
    RC_ASSERT(job->inputs == record.inputs);
    RC_ASSERT(Same(job->progress, record.progress));
  }));
}

TEST_CASE("damaged values are refused or read, never more") {
  REQUIRE(rc::check("no damage harms the reader", [] {
    ShardHead head;
    head.jobs["a"] = AnyProgress();
    DecodeShardHead(Damaged(Encode(head)));
    JobRecord record;
    record.state = JobState::kCompleted;
    record.progress = AnyProgress();
    DecodeJobRecord(Damaged(Encode(record)));
    LinesOfJob(Damaged(EncodeResultSegment({{"a", {"x", "y"}}})), "a");
  }));
  REQUIRE_FALSE(DecodeShardHead(R"({"jobs":{"a":{"total":4000000000}}})"));
}

TEST_CASE("any line of a caller becomes one item") {
  REQUIRE(rc::check("a line stays one line of JSON", [](std::string line) {
    if (*rc::gen::arbitrary<bool>()) {
      line = Damaged(R"({"custom_id":"c","body":{"model":"m","prompt":"p"}})");
    }
    const std::string kept = CanonicalLine(line);
    RC_ASSERT(kept.find('\n') == std::string::npos);
    RC_ASSERT(IsJson(kept));
    const ItemLine item = DecodeItemLine(kept);
    RC_ASSERT(item.body.empty() != item.error.empty());
  }));
}

TEST_CASE("any response becomes one line that the store can hold") {
  REQUIRE(rc::check("a result is a line of JSON", [](const std::string& text) {
    for (const std::string& line : {CompletedLine(1, "c", text, 1),
                                    FailedLine(1, "c", "code", text, 1)}) {
      RC_ASSERT(line.find('\n') == std::string::npos);
      RC_ASSERT(IsJson(line));
    }
  }));
}

}  // namespace knapweedstile::jobs
