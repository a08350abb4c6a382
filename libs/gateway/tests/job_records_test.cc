#include "batch/job_records.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

namespace knapweedstile::gateway {
namespace {

constexpr char kSubmission[] =
    R"({"items":[{"id":"j-1","path":"/summaries/1","headers":{"Model":"m"},)"
    R"("body":"aGVsbG8=","tokens":70}]})";

std::optional<serving::BatchJob> Decode(const std::string& value) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<serving::BatchJob>> {
        BOOST_LEAF_AUTO(job, DecodeJob("j", value, TimePoint{}, 0));
        return job;
      },
      [] { return std::optional<serving::BatchJob>(); });
}

JobRecord MakeRecord() {
  return {.creator = "entry-1", .route = "r", .submission = kSubmission};
}

}  // namespace

// Guards against a gateway that waits for a second holder of a job which an
// earlier version has stored.
TEST_CASE("a stored job without a second holder is held by every gateway") {
  const std::string value = EncodeJob(MakeRecord());
  CHECK(value.find("second") == std::string::npos);
  const auto job = Decode(value);
  REQUIRE(job);
  CHECK(job->creator == "entry-1");
  CHECK(job->second_holder.empty());
  CHECK(job->has_bodies);
}

// Guards against items that run by a configuration older than the acceptance at
// gateways that know the job in outline.
TEST_CASE("a stored job and its outline name the version at the acceptance") {
  JobRecord record = MakeRecord();
  record.configuration = 9;
  const std::string value = EncodeJob(record);
  REQUIRE(Decode(value));
  CHECK(Decode(value)->configuration == 9);
  const auto outline = OutlineOfJob(value);
  REQUIRE(outline);
  CHECK(Decode(*outline)->configuration == 9);
}

// Guards against an accepted job of an earlier version that cannot be read.
TEST_CASE("a stored job that names an item twice is read") {
  JobRecord record = MakeRecord();
  const std::string item = record.submission.substr(
      record.submission.find('['), record.submission.rfind(']'));
  const std::string one = item.substr(1, item.rfind(']') - 1);
  record.submission = "{\"items\":[" + one + "," + one + "]}";
  const auto job = Decode(EncodeJob(record));
  REQUIRE(job);
  CHECK(job->items.size() == 2);
  CHECK(OutlineOfJob(EncodeJob(record)));
}

TEST_CASE("an outline has all of a job's record but bodies and headers") {
  JobRecord record = MakeRecord();
  record.second = "entry-2";
  const auto outline = OutlineOfJob(EncodeJob(record));
  REQUIRE(outline);
  const auto job = Decode(*outline);
  REQUIRE(job);
  CHECK(job->second_holder == "entry-2");
  CHECK(job->items[0].id == "j-1");
  CHECK(job->items[0].target == "/summaries/1");
  CHECK(job->items[0].tokens == 70);
  CHECK(job->items[0].body.empty());
  CHECK(job->items[0].headers.fields().empty());
  CHECK_FALSE(OutlineOfJob("{}"));
}

TEST_CASE("an outline of results marks the outputs that are elsewhere") {
  const std::string value =
      EncodeSegment({{.item = "a", .output = "text"},
                     {.item = "b", .state = serving::ItemState::kFailed}});
  const auto outline = OutlineOfSegment(value);
  REQUIRE(outline);
  CHECK(outline->find("text") == std::string::npos);
  auto results = boost::leaf::try_handle_all(
      [&] { return DecodeSegment(*outline); },
      [] { return std::vector<serving::ItemResult>(); });
  REQUIRE(results.size() == 2);
  MarkOutline(results);
  CHECK_FALSE(results[0].has_output);
  CHECK(results[1].has_output);
  CHECK_FALSE(OutlineOfSegment("{}"));
}

}  // namespace knapweedstile::gateway
