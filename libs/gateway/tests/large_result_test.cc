#include "batch/large_result.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <vector>

#include "batch/job_records.h"
#include "batch/large_result_index.h"
#include "batch/large_result_reader.h"
#include "platform/store_request.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {
namespace {

using platform::StoreAnswer;
using platform::StoreOutcome;
using serving::ItemResult;

// All bytes, some of them often.
std::string MixedBytes(size_t size) {
  std::string text;
  for (size_t i = 0; i < size; ++i) text += static_cast<char>(i * 7 % 256);
  return text;
}

LargeResult LargeOf(const std::string& output, size_t part_bytes) {
  return {.item = "a-1",
          .output = DivideOutput(output, part_bytes),
          .part_bytes = part_bytes};
}

std::vector<ItemResult> Decode(const std::string& segment) {
  return boost::leaf::try_handle_all([&] { return DecodeSegment(segment); },
                                     [] { return std::vector<ItemResult>(); });
}

// A job whose first segment lists a large result, and the store's parts.
struct Table {
  static constexpr size_t kPartBytes = 1000;
  serving::JobTable jobs;
  std::map<std::string, std::string> parts;
  std::vector<std::pair<std::string, std::function<void(StoreAnswer&&)>>> calls;
  LargeResultReader reader{
      jobs,
      [this](const std::string& name, std::function<void(StoreAnswer&&)> done) {
        calls.emplace_back(name, std::move(done));
      }};

  void AddJob(const std::string& id) {
    serving::BatchJob job{.id = id};
    job.items.push_back({.id = "a-1"});
    jobs.AddJob(std::move(job));
  }
  // Returns the answer to a read of the segment.
  StoreAnswer AddLarge(const std::string& id, const std::string& output) {
    const LargeResult large = LargeOf(output, kPartBytes);
    for (uint32_t i = 0; i < large.output.parts; ++i) {
      parts[PartName(id, large.output.hash, i)] =
          EncodePart(output.substr(i * kPartBytes, kPartBytes));
    }
    const std::string value = EncodeLargeResult(large);
    jobs.AddSegment(id, 0, Decode(value));
    return {.outcome = StoreOutcome::kOk,
            .objects = {{.name = SegmentName(id, 0), .value = value}}};
  }
  void AnswerAll() {
    while (!calls.empty()) {
      auto [name, done] = std::move(calls.front());
      calls.erase(calls.begin());
      const auto part = parts.find(name);
      if (part == parts.end()) {
        done({.outcome = StoreOutcome::kNotFound});
        continue;
      }
      done({.outcome = StoreOutcome::kOk,
            .objects = {{.name = name, .value = part->second}}});
    }
  }
  StoreOutcome Read(StoreAnswer answer) {
    StoreOutcome outcome = StoreOutcome::kConflict;
    reader.Complete(std::move(answer), [&](const StoreAnswer& completed) {
      outcome = completed.outcome;
    });
    AnswerAll();
    return outcome;
  }
};

}  // namespace

// Guards against a result that is measured without its escapes and exceeds the
// store's limit.
TEST_CASE("the encoded size of a result includes its escapes") {
  const std::string empty = EncodeSegment({});
  for (int byte = 0; byte < 256; ++byte) {
    const ItemResult result{
        .item = "a\"1", .output = std::string(100, static_cast<char>(byte))};
    const size_t encoded = EncodeSegment({result}).size() - empty.size();
    CHECK(EncodedSize(result) >= encoded);
    CHECK(EncodedSize(result) <= encoded + 1);  // a comma
  }
}

// Guards against parts that the store refuses or that do not give the output.
TEST_CASE("parts of any bytes fit into a value and give the output") {
  const std::string output = MixedBytes(2 * kMaxPartBytes + 1);
  const LargeResult large = LargeOf(output, kMaxPartBytes);
  REQUIRE(large.output.parts == 3);
  std::string read;
  for (uint32_t i = 0; i < large.output.parts; ++i) {
    const std::string value =
        EncodePart(output.substr(i * kMaxPartBytes, kMaxPartBytes));
    CHECK(value.size() < platform::kMaxValueBytes);
    read += DecodePart(value).value_or("");
  }
  CHECK(read == output);
  CHECK(Matches(large, read));
  CHECK_FALSE(Matches(large, read.substr(1)));
  CHECK_FALSE(DecodePart("{}"));
  CHECK_FALSE(DecodePart("["));
}

// Guards against an empty output of a result whose output is stored in parts.
TEST_CASE("a large result is decoded and outlined without an output") {
  const LargeResult large = LargeOf(MixedBytes(5000), 1000);
  const std::string segment = EncodeLargeResult(large);
  const auto decoded = DecodeLargeResult(segment);
  REQUIRE(decoded);
  CHECK(decoded->item == "a-1");
  CHECK(decoded->output.parts == 5);
  CHECK(decoded->output.hash == large.output.hash);
  CHECK(OutlineOfSegment(segment) == segment);
  // What a gateway that does not know large results takes for a segment.
  CHECK(segment.find("results") == std::string::npos);
  auto results = Decode(segment);
  REQUIRE(results.size() == 1);
  MarkOutline(results);
  CHECK_FALSE(results[0].has_output);
  CHECK(results[0].in_parts);
  CHECK_FALSE(DecodeLargeResult(EncodeSegment({{.item = "a"}})));
  CHECK_FALSE(DecodeLargeResult(R"({"large":{"item":"a"}})"));
  CHECK(Decode(R"({"large":{"item":"a"}})").empty());
}

// Guards against parts that stay in the store for ever, and against names of
// jobs with dots.
TEST_CASE("a marker names all parts of a large result") {
  LargeResultIndex index;
  const std::string marker = MarkerName("a.b", "0f", 2);
  index.Add("a.b", marker);
  const RecordName name = ParseRecordName(marker);
  CHECK(name.type == RecordType::kMarker);
  CHECK(name.id == "a.b");
  CHECK(index.Take("a.b") == std::vector<std::string>{PartName("a.b", "0f", 0),
                                                      PartName("a.b", "0f", 1),
                                                      marker});
  CHECK(index.jobs().empty());
  const RecordName part = ParseRecordName(PartName("a.b", "0f", 1));
  CHECK(part.type == RecordType::kPart);
  CHECK(part.id == "a.b");
  CHECK(ParseRecordName("large.").type == RecordType::kUnknown);
  CHECK(ParseRecordName("large.a").type == RecordType::kUnknown);
}

TEST_CASE("an output is read from its parts") {
  Table table;
  table.AddJob("a");
  const std::string output = MixedBytes(2500);
  const StoreAnswer answer = table.AddLarge("a", output);
  REQUIRE(table.jobs.Find("a")->MissingSegment(0) == 0);
  CHECK(table.jobs.Find("a")->InParts(0));
  CHECK(table.Read(answer) == StoreOutcome::kOk);
  CHECK_FALSE(table.jobs.Find("a")->MissingSegment(0));
  CHECK(table.jobs.Find("a")->results[0].output == output);
}

// Guards against wrong outputs made of missing, damaged or foreign parts.
TEST_CASE("an output with a missing or wrong part is not read") {
  Table table;
  table.AddJob("a");
  const StoreAnswer answer = table.AddLarge("a", MixedBytes(2500));
  const auto sound = table.parts;
  const std::string first = table.parts.begin()->first;
  SECTION("missing") { table.parts.erase(first); }
  SECTION("damaged") { table.parts[first] = "{}"; }
  SECTION("foreign") {
    table.parts[first] = EncodePart(std::string(Table::kPartBytes, 'x'));
  }
  SECTION("longer") { table.parts[first] = EncodePart(std::string(3000, 'x')); }
  CHECK(table.Read(answer) == StoreOutcome::kUnknown);
  CHECK(table.jobs.Find("a")->MissingSegment(0) == 0);
  table.parts = sound;
  CHECK(table.Read(answer) == StoreOutcome::kOk);
}

// Guards against outputs of many megabytes that fill the memory of a small VM.
TEST_CASE("the oldest outputs that were read are dropped") {
  constexpr size_t kMaxKept = 16 << 20;
  constexpr size_t kOutput = 3 << 20;
  Table table;
  std::vector<StoreAnswer> answers;
  for (int i = 0; i < 8; ++i) {
    const std::string job = "a" + std::to_string(i);
    table.AddJob(job);
    answers.push_back(table.AddLarge(job, std::string(kOutput, 'x')));
    CHECK(table.Read(answers.back()) == StoreOutcome::kOk);
  }
  size_t kept = 0;
  for (const auto& [id, job] : table.jobs.jobs()) {
    kept += job.results[0].output.size();
  }
  CHECK(kept <= kMaxKept);
  CHECK(kept >= kOutput);
  CHECK(table.jobs.Find("a0")->MissingSegment(0) == 0);
  CHECK(table.Read(answers[0]) == StoreOutcome::kOk);
  CHECK(table.jobs.Find("a0")->results[0].output.size() == kOutput);
}

// Guards against memory that grows with the number of readers.
TEST_CASE("only some outputs are read at a time") {
  Table table;
  std::vector<StoreOutcome> outcomes;
  for (int i = 0; i < 5; ++i) {
    const std::string job = "a" + std::to_string(i);
    table.AddJob(job);
    table.reader.Complete(
        table.AddLarge(job, MixedBytes(2500)),
        [&](const StoreAnswer& answer) { outcomes.push_back(answer.outcome); });
  }
  CHECK(outcomes == std::vector(3, StoreOutcome::kThrottled));
  table.AnswerAll();
  CHECK(outcomes.size() == 5);
  CHECK(outcomes.back() == StoreOutcome::kOk);
}

}  // namespace knapweedstile::gateway
