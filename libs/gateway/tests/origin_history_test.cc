#include "online/origin_history.h"

#include <catch2/catch.hpp>

namespace knapweedstile::gateway {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
const OriginName kOld{"llm", "v1"};
const OriginName kNew{"llm", "v2"};
const OriginName kUnknown;

}  // namespace

TEST_CASE("origins are decoded as they were encoded") {
  const RouteOrigins origins = {
      {"drafts", {kOld, kNew}}, {"chat", {kUnknown}}, {"none", {}}};
  CHECK(DecodeRouteOrigins(EncodeRouteOrigins(origins)) == origins);
  for (const char* text : {"", "[]", "{}", R"({"origins":{"drafts":1}})",
                           R"({"origins":{"drafts":["v1"]}})",
                           R"({"origins":{"drafts":[["llm"]]}})"}) {
    CHECK_FALSE(DecodeRouteOrigins(text));
  }
}

// Guards against a stream that is taken to have begun at the version that is
// left, while one that began at the previous version may still be resumed.
TEST_CASE("a version that leaves is recorded as long as its streams may last") {
  OriginHistory history;
  RouteOrigins recorded = {{"drafts", {kOld}}};
  const RouteOrigins in_service = {{"drafts", {kNew}}};
  recorded = history.Next(recorded, in_service, kNow);
  CHECK(recorded.at("drafts") == std::set<OriginName>{kOld, kNew});
  recorded = history.Next(recorded, in_service, kNow + seconds(59));
  CHECK(recorded.at("drafts") == std::set<OriginName>{kOld, kNew});
  recorded = history.Next(recorded, in_service, kNow + seconds(60));
  CHECK(recorded == in_service);
}

// Guards against a version that expires although it has served meanwhile.
TEST_CASE("a version that returns is kept from its next absence on") {
  OriginHistory history;
  const RouteOrigins both = {{"drafts", {kOld, kNew}}};
  const RouteOrigins in_service = {{"drafts", {kNew}}};
  CHECK(history.Next(both, in_service, kNow) == both);
  CHECK(history.Next(both, both, kNow + seconds(30)) == both);
  CHECK(history.Next(both, in_service, kNow + seconds(61)) == both);
  CHECK(history.Next(both, in_service, kNow + seconds(121)) == in_service);
}

// Guards against a first record, written late because the store was away, that
// lacks a version whose streams may still be resumed.
TEST_CASE("the first record has the versions that left before it") {
  OriginHistory history;
  history.AddUnrecorded({{"drafts", {kOld}}});
  history.AddUnrecorded({{"drafts", {kNew}}});
  const RouteOrigins recorded = history.First();
  CHECK(recorded.at("drafts") == std::set<OriginName>{kOld, kNew});
  const RouteOrigins in_service = {{"drafts", {kNew}}};
  CHECK(history.Next(recorded, in_service, kNow) == recorded);
  CHECK(history.Next(recorded, in_service, kNow + seconds(60)) == in_service);
}

// Guards against a route whose earlier streams are taken for those of its only
// version: nobody recorded where they began.
TEST_CASE("a route that is not recorded may have had other versions") {
  OriginHistory history;
  const RouteOrigins in_service = {{"drafts", {kNew}}};
  const RouteOrigins unsure = {{"drafts", {kUnknown, kNew}}};
  CHECK(history.Next({}, in_service, kNow) == unsure);
  CHECK(history.Next(unsure, in_service, kNow) == unsure);
  CHECK(history.Next(unsure, in_service, kNow + seconds(60)) == in_service);
}

}  // namespace knapweedstile::gateway
