#include "base/bounded_json.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile {

TEST_CASE("a document within the limit is parsed") {
  const std::string text = R"({"a":[1,2.5,"x",null,true,{"b":"c"}]})";
  const auto parsed = ParseBoundedJson(text);
  REQUIRE(parsed);
  CHECK(boost::json::serialize(*parsed) ==
        R"({"a":[1,2.5E0,"x",null,true,{"b":"c"}]})");
  const std::string large = '"' + std::string(4 << 20, 'a') + '"';
  CHECK(ParseBoundedJson(large));
}

TEST_CASE("a malformed or incomplete document is not parsed") {
  for (const char* text : {"", "{", "[1,", "{} {}", "\"a", "nul", "[1]]"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseBoundedJson(text));
  }
}

// Guards against documents that take many times their bytes.
TEST_CASE("a document beyond the limit is not parsed") {
  for (const std::string unit : {"0", "[]", R"({"":0})", "\"a\""}) {
    CAPTURE(unit);
    std::string text = "[" + unit;
    while (text.size() < (4 << 20)) text += "," + unit;
    CHECK_FALSE(ParseBoundedJson(text + "]"));
  }
  constexpr size_t kFewBytes = 100;
  CHECK_FALSE(ParseBoundedJson('"' + std::string(1000, 'a') + '"', kFewBytes));
}

}  // namespace knapweedstile
