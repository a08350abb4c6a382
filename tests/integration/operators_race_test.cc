// Two operators edit the same policy at the same moment, each from the version
// that both have just read. Were the later one to win silently, the first would
// believe an edit in force that no node has. Meanwhile a relay is killed, and
// no node may go back to an older revision while the others catch up.

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "harness/fleet.h"
#include "harness/process.h"
#include "harness/scratch_folder.h"

namespace knapweedstile::harness {
namespace {

constexpr int kRounds = 8;
constexpr int kConflict = 3;

boost::json::object StatusOf(Fleet& fleet, const std::string& node) {
  const http::EndEvent end = fleet.caller().Get(fleet.admin(node), "/status");
  boost::system::error_code error;
  boost::json::value value = boost::json::parse(end.body, error);
  return error || !value.is_object() ? boost::json::object()
                                     : value.get_object();
}

// One operator: a file with the whole policy, and the command that applies it.
class Operator {
 public:
  Operator(const ScratchFolder& folder, std::string name,
           const std::string& platform)
      : folder_(folder), name_(std::move(name)), platform_(platform) {}

  void Begin(int round, int priority, uint64_t version) {
    const std::string id = name_ + "-" + std::to_string(round);
    const std::string file = folder_.File(id + ".json");
    std::ofstream(file) << R"({"kind":"policy","name":"p","version":)"
                        << version << R"(,"labels":{"by":")" << name_
                        << R"("},"spec":{"priority":)" << priority << "}}";
    process_ = std::make_unique<Process>(
        folder_, id, Program::kControl,
        std::vector<std::string>{"--platform", platform_, "apply", "-f", file});
  }
  int End() {
    REQUIRE(process_->WaitForEnd());
    return process_->exit_code();
  }
  std::string errors() const { return process_->errors(); }

 private:
  const ScratchFolder& folder_;
  std::string name_;
  const std::string& platform_;
  std::unique_ptr<Process> process_;
};

uint64_t PolicyVersion(Fleet& fleet) {
  const http::EndEvent end =
      fleet.caller().Get(fleet.platform(), "/v1/objects/policy/p");
  return boost::json::parse(end.body).at("version").to_number<uint64_t>();
}

}  // namespace

TEST_CASE("of two operators' edits one wins, and no node ever goes back") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {});
  fleet.AddEngine("engine-2", {});
  fleet.AddEntry("entry-1");
  fleet.AddEntry("entry-2");
  fleet.AddEntry("entry-3");
  fleet.PutObject("policy", "p", R"({"labels":{},"spec":{"priority":1}})");
  REQUIRE(fleet.WaitUntilReady());

  std::vector<std::string> nodes{"entry-1", "entry-2", "entry-3", "engine-1",
                                 "engine-2"};
  std::map<std::string, uint64_t> revisions;
  const auto look = [&] {
    for (const std::string& node : nodes) {
      const boost::json::object status = StatusOf(fleet, node);
      if (status.empty()) continue;
      const auto revision = status.at("config_revision").to_number<uint64_t>();
      REQUIRE(revision >= revisions[node]);
      revisions[node] = revision;
    }
  };

  const ScratchFolder folder;
  Operator first(folder, "first", fleet.platform());
  Operator second(folder, "second", fleet.platform());
  int conflicts = 0;
  for (int round = 0; round < kRounds; ++round) {
    const uint64_t base = PolicyVersion(fleet);
    first.Begin(round, 10 + round, base);
    second.Begin(round, 50 + round, base);
    look();
    const int a = first.End();
    const int b = second.End();
    REQUIRE(std::min(a, b) == 0);
    REQUIRE(std::max(a, b) == kConflict);
    ++conflicts;
    // The loser is shown both versions.
    const std::string shown = a == 0 ? second.errors() : first.errors();
    CHECK(shown.find("present: ") != std::string::npos);
    CHECK(shown.find("yours:   ") != std::string::npos);
    if (round == kRounds / 2) {
      fleet.entry("entry-1").Kill();
      nodes.erase(nodes.begin());
    }
    look();
  }
  CHECK(conflicts == kRounds);

  const uint64_t last = PolicyVersion(fleet);
  REQUIRE(fleet.caller().RunUntil([&] {
    look();
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return revisions[node] >= last;
    });
  }));
  const std::string digest(
      StatusOf(fleet, nodes.front()).at("config_digest").as_string());
  for (const std::string& node : nodes) {
    CHECK(StatusOf(fleet, node).at("config_digest").as_string() == digest);
  }
}

}  // namespace knapweedstile::harness
