#include "base/json_text_field.h"

#include <catch2/catch.hpp>

namespace knapweedstile {

TEST_CASE("the text of a field is found") {
  const auto find = [](std::string_view document) {
    return FindJsonTextField(document, "model");
  };
  CHECK(find(R"({"model":"m"})") == "m");
  CHECK(find(R"({"a":{"model":"x"},"b":[{"model":"y"}],"model":"m"})") == "m");
  CHECK(find(R"({"model":"first","model":"last"})") == "last");
  CHECK(find(R"({"mod\u0065l":"a\nb"})") == "a\nb");
  CHECK(find(R"({"model":["x"]})").empty());
  CHECK(find(R"({"model":{"model":"x"}})").empty());
  CHECK(find(R"({"model":1,"models":"x"})").empty());
  CHECK(find(R"([{"model":"x"}])").empty());
  CHECK(find(R"({"model":"m")").empty());
  CHECK(find(R"({"model":"m"} x)").empty());
  CHECK(find(R"({"model":"m"} )") == "m");
  CHECK(find("").empty());
}

// Guards against documents that take many times their bytes.
TEST_CASE("the text of a field is found in a wide document") {
  std::string document = R"({"prompt":[0)";
  while (document.size() < (4 << 20)) document += ",0";
  CHECK(FindJsonTextField(document + R"(],"model":"m"})", "model") == "m");
}

}  // namespace knapweedstile
