#include "harness/ledger.h"

#include <catch2/catch.hpp>
#include <fstream>

#include "harness/scratch_folder.h"

namespace knapweedstile::harness {
namespace {

constexpr char kItemDone[] =
    R"({"index":0,"custom_id":"i","status":"completed",)"
    R"("response":{"choices":[{"text":"a b ","finish_reason":"stop"}]}})";

}  // namespace

TEST_CASE("ledger: nothing is wrong with whole answers, once each") {
  Ledger ledger;
  ledger.Sent("r", "a b c", 2);
  ledger.Answered("r", "a b ");
  ledger.AcceptedItem("j", "i", "a b", 9);
  ledger.ItemResult("j", kItemDone);
  ledger.AcceptedHopelessItem("j", "bad");
  ledger.ItemResult("j", R"({"custom_id":"bad","status":"failed"})");
  CHECK(ledger.Faults().empty());
}

TEST_CASE("ledger: each kind of broken promise is found") {
  const ScratchFolder folder;
  std::ofstream(folder.File("runs"))
      << R"({"event":"start","request":"refused"})"
      << "\n"
      << R"({"event":"call","request":"x","key":"booking"})"
      << "\n"
      << R"({"event":"call","request":"y","key":"booking"})"
      << "\n";
  const auto faults_of = [&](auto what) {
    Ledger ledger;
    what(ledger);
    ledger.ReadRunLog(folder.File("runs"));
    return ledger.Faults().size();
  };
  CHECK(faults_of([](Ledger& l) { l.Sent("lost", "a", 1); }) == 1);
  CHECK(faults_of([](Ledger& l) {
          l.Sent("foreign", "a", 1);
          l.Answered("foreign", "b");
        }) == 1);
  CHECK(faults_of([](Ledger& l) {
          l.Sent("refused", "a", 1);
          l.Failed("refused", {.body = R"({"error":{"not_run":true}})"});
        }) == 1);
  CHECK(faults_of([](Ledger& l) { l.SentOnce("booking"); }) == 1);
  CHECK(faults_of([](Ledger& l) { l.AcceptedItem("j", "i", "a", 1); }) == 1);
  CHECK(faults_of([](Ledger& l) {
          l.AcceptedItem("j", "i", "a b", 9);
          l.ItemResult("j", kItemDone);
          l.ItemResult("j", kItemDone);
        }) == 1);
  CHECK(faults_of([](Ledger& l) { l.ItemResult("j", kItemDone); }) == 1);
}

}  // namespace knapweedstile::harness
