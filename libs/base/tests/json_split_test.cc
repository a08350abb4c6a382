#include "base/json_split.h"

#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile {

TEST_CASE("a JSON object is split into the texts of its members") {
  const auto members = SplitJsonObject(
      R"( { "a" : [1, {"b": "}]"}] ,"c":"\"x,", "d":-1e400,"a":null } )");
  REQUIRE(members);
  REQUIRE(members->size() == 4);
  CHECK((*members)[0].value == R"([1, {"b": "}]"}])");
  CHECK((*members)[1].value == R"("\"x,")");
  CHECK((*members)[2].value == "-1e400");
  CHECK((*members)[3].name == "a");
  CHECK((*members)[3].value == "null");
  CHECK(SplitJsonObject("{}")->empty());
}

TEST_CASE("a JSON array is split into the texts of its elements") {
  CHECK(*SplitJsonArray(R"([1 , {"a":[]},"x",[ ]])") ==
        std::vector<std::string_view>{"1", R"({"a":[]})", "\"x\"", "[ ]"});
  CHECK(SplitJsonArray(" [ ] ")->empty());
}

// Guards against one element that makes all others unreadable.
TEST_CASE("elements that no parser takes are split from the others") {
  const std::string deep =
      std::string(1000000, '[') + std::string(1000000, ']');
  for (const std::string& odd :
       {deep, std::string(R"("\ud800")"), std::string("\"\x01\""),
        std::string("nonsense")}) {
    const std::string document = "[1," + odd + ",2]";
    const auto elements = SplitJsonArray(document);
    REQUIRE(elements);
    CHECK(elements->size() == 3);
    CHECK(elements->at(1) == odd);
    CHECK(elements->back() == "2");
  }
}

TEST_CASE("a document that is cut or has another form is not split") {
  for (const char* text :
       {"", " ", "1", "\"a\"", "{", "{\"a\"", "{\"a\":", "{\"a\":1",
        "{\"a\":1,", "{\"a\":1,}", "{a:1}", "{\"a\":}", "{\"a\":1}}",
        "{\"a\":\"x}", "{\"a\":[}", "{\"a\" 1}", "{\"a\\", "[]"}) {
    CAPTURE(text);
    CHECK_FALSE(SplitJsonObject(text));
  }
  for (const char* text : {"", "[", "[1", "[1,", "[1,]", "[,1]", "[1]]", "{}",
                           "[\"a]", "[[1]", "[1}", "[1,{\"a\":1,2]"}) {
    CAPTURE(text);
    CHECK_FALSE(SplitJsonArray(text));
  }
}

}  // namespace knapweedstile
