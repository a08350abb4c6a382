#include "openai_api.h"

#include <catch2/catch.hpp>

namespace knapweedstile::node {

constexpr TokenLimits kLimits{16, 100};

ApiError ErrorFor(std::string_view body) {
  const auto parsed =
      ParseCompletion(CompletionApi::kCompletions, body, kLimits);
  REQUIRE(std::holds_alternative<ApiError>(parsed));
  return std::get<ApiError>(parsed);
}

TEST_CASE("a completion request is read") {
  const auto parsed = ParseCompletion(
      CompletionApi::kCompletions,
      R"({"model":"m","prompt":"one two  three","stream":true})", kLimits);
  const auto& request = std::get<CompletionRequest>(parsed);
  REQUIRE(request.model == "m");
  REQUIRE(request.stream);
  REQUIRE(request.max_tokens == 16);
  REQUIRE(request.prompt_tokens == 3);
  REQUIRE(request.prefix_hashes.empty());
}

TEST_CASE("two prompts with a long common start share their first hashes") {
  const std::string common(300, 'a');
  const auto read = [&](const std::string& tail) {
    return std::get<CompletionRequest>(ParseCompletion(
        CompletionApi::kChatCompletions,
        R"({"model":"m","messages":[{"role":"user","content":")" + common +
            tail + "\"}]}",
        kLimits));
  };
  const auto a = read("x");
  const auto b = read("y");
  REQUIRE(a.prefix_hashes.size() == 2);
  REQUIRE(a.prefix_hashes == b.prefix_hashes);
  REQUIRE(a.fingerprint != b.fingerprint);
}

TEST_CASE("a wrong request names its field") {
  REQUIRE(ErrorFor("{").code == "invalid_json");
  REQUIRE(ErrorFor("[]").code == "invalid_json");
  REQUIRE(ErrorFor(R"({"prompt":"x"})").param == "model");
  REQUIRE(ErrorFor(R"({"model":"m","prompt":["x"]})").param == "prompt");
  const ApiError tokens =
      ErrorFor(R"({"model":"m","prompt":"x","max_tokens":101})");
  REQUIRE(tokens.param == "max_tokens");
  REQUIRE(tokens.status == 400);
  REQUIRE(tokens.truth == RunTruth::kNotRun);
}

TEST_CASE("answers and errors have the OpenAI shape") {
  CompletionAnswer answer;
  answer.request_id = "r1";
  answer.model = "m";
  answer.text = "one two";
  answer.finish_reason = "stop";
  answer.completion_tokens = 2;
  REQUIRE(RenderAnswer(answer).find(R"("text":"one two")") !=
          std::string::npos);
  REQUIRE(RenderStreamEnd(answer).ends_with("data: [DONE]\n\n"));
  ApiError error{429, "overloaded",      "queue_full", "full",
                 "",  RunTruth::kNotRun, 1500};
  const std::string text = RenderError(error, "r1");
  REQUIRE(text.find(R"("not_run":true)") != std::string::npos);
  REQUIRE(text.find(R"("retry_after_ms":1500)") != std::string::npos);
}

}  // namespace knapweedstile::node
