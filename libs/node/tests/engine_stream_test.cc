#include "engine_stream.h"

#include <catch2/catch.hpp>

namespace knapweedstile::node {

constexpr std::string_view kAnswer =
    "data: {\"choices\":[{\"text\":\"one \",\"finish_reason\":null}]}\n\n"
    ": comment\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"two \"}}]}\n\n"
    "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"
    "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n"
    "data: [DONE]\n\n";

TEST_CASE("an engine's answer is whole however its bytes are cut") {
  for (size_t piece = 1; piece < kAnswer.size(); ++piece) {
    EngineStream stream;
    std::string text;
    for (size_t at = 0; at < kAnswer.size(); at += piece) {
      text += stream.Feed(kAnswer.substr(at, piece));
    }
    REQUIRE(text == "one two ");
    REQUIRE(stream.tokens() == 2);
    REQUIRE(stream.finish_reason() == "stop");
    REQUIRE(stream.prompt_tokens() == 7);
    REQUIRE_FALSE(stream.broken());
  }
}

TEST_CASE("an answer without its last event is not finished") {
  EngineStream stream;
  stream.Feed(kAnswer.substr(0, 100));
  REQUIRE_FALSE(stream.finished());
}

TEST_CASE("an event that is no choice breaks the stream") {
  EngineStream stream;
  stream.Feed("data: {\"error\":1}\n\n");
  REQUIRE(stream.broken());
}

TEST_CASE("the engine's body streams and resumes") {
  REQUIRE(EngineBody(R"({"model":"m"})", "", 0) ==
          R"({"model":"m","stream":true})");
  REQUIRE(EngineBody(R"({"model":"m"})", "a b ", 2) ==
          R"({"model":"m","stream":true,"resume_text":"a b ",)"
          R"("resume_tokens":2})");
  REQUIRE(EngineBody("[", "", 0).empty());
}

}  // namespace knapweedstile::node
