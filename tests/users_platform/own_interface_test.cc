#include <openssl/sha.h>

#include <catch2/catch.hpp>
#include <fstream>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;

// Two gateways with the routes of the native API, which follows the OpenAI API.
struct NativeApiFleet {
  Site site;
  ModelServer& first;
  ModelServer& second;

  NativeApiFleet()
      : first(site.AddServer("llm", "i-1")),
        second(site.AddServer("llm", "i-2")) {
    site.native_api = true;
    first.completions = second.completions = true;
    site.Configure(2);
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }

  http::ClientRequest Request(const std::string& gateway,
                              const std::string& method,
                              const std::string& target,
                              const std::string& body = {}) const {
    http::ClientRequest request{.address = site.caller_address(gateway),
                                .method = method,
                                .target = target,
                                .body = body};
    request.headers.Add("Host", kHost);
    return request;
  }
  http::EndEvent Call(const std::string& gateway, const std::string& method,
                      const std::string& target, const std::string& body = {}) {
    return site.Call(Request(gateway, method, target, body));
  }
  // Submits a job of two items; returns its id.
  std::string SubmitJob(const std::string& gateway, const std::string& key) {
    auto request = Request(gateway, "POST", "/v1/batches", kTwoItems);
    request.headers.Add("Idempotency-Key", key);
    const auto end = site.Call(std::move(request));
    REQUIRE(end.status == 202);
    return std::string(json::parse(end.body).as_object().at("id").as_string());
  }
  bool WaitForState(const std::string& gateway, const std::string& id,
                    const std::string& state) {
    return site.caller().RunUntil([&] {
      const auto end = Call(gateway, "GET", "/v1/batches/" + id);
      return end.status == 200 &&
             end.body.find("\"state\":\"" + state) != std::string::npos;
    });
  }
  size_t Runs() const { return first.runs().size() + second.runs().size(); }

  static constexpr char kPrompt[] =
      R"({"model":"m","prompt":"open nights in May","max_tokens":3})";
  static constexpr char kTwoItems[] =
      R"({"custom_id":"a","body":{"prompt":"one two three","max_tokens":2}}
{"custom_id":"b","body":{"prompt":"four five","max_tokens":9}}
)";
};

}  // namespace

TEST_CASE("a completion is streamed under the caller's request id") {
  NativeApiFleet fleet;
  auto request = fleet.Request("entry-1", "POST", "/v1/completions",
                               NativeApiFleet::kPrompt);
  request.headers.Add("X-Request-Id", "mine");
  const auto end = fleet.site.Call(std::move(request));
  CHECK(end.status == 200);
  CHECK(end.headers.Find("X-Request-Id") == "mine");
  CHECK(end.body.find("open ") != std::string::npos);
  CHECK(end.body.find("in ") != std::string::npos);
  CHECK(end.body.find("May") == std::string::npos);
  CHECK(end.body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("each request without an id is assigned a unique one") {
  NativeApiFleet fleet;
  const auto send = [&](const std::string& gateway) {
    const auto end =
        fleet.Call(gateway, "POST", "/v1/completions", NativeApiFleet::kPrompt);
    CHECK(end.status == 200);
    return std::string(end.headers.Find("X-Request-Id"));
  };
  const std::string first = send("entry-1");
  CHECK_FALSE(first.empty());
  CHECK(send("entry-1") != first);
  CHECK(send("entry-2") != first);
}

// Guards against running a batch job twice when its caller believes it lost and
// submits it again to another gateway. Every gateway must return the same
// results.
TEST_CASE("a native batch job runs once and is readable at every gateway") {
  NativeApiFleet fleet;
  const std::string id = fleet.SubmitJob("entry-1", "night-1");
  CHECK(fleet.SubmitJob("entry-2", "night-1") == id);
  REQUIRE(fleet.WaitForState("entry-2", id, "completed"));
  CHECK(fleet.Runs() == 2);
  const std::string target = "/v1/batches/" + id + "/results?after=0";
  REQUIRE(fleet.WaitForState("entry-1", id, "completed"));
  const auto results = fleet.Call("entry-1", "GET", target);
  CHECK(results.status == 200);
  CHECK(results.body.find(R"("text":"one two ")") != std::string::npos);
  CHECK(results.body.find(R"("text":"four five ")") != std::string::npos);
  CHECK(results.headers.Find("X-Job-State") == "completed");
  CHECK(results.headers.Find("X-Next-After").empty());
  CHECK(fleet.Call("entry-2", "GET", target).body == results.body);
}

TEST_CASE("a cancelled job is reported as cancelled and stops") {
  NativeApiFleet fleet;
  fleet.first.first_byte_delay = fleet.second.first_byte_delay =
      std::chrono::hours(1);
  const std::string id = fleet.SubmitJob("entry-1", "night-2");
  REQUIRE(fleet.site.caller().RunUntil([&] { return fleet.Runs() == 2; }));
  CHECK(fleet.Call("entry-2", "POST", "/v1/batches/" + id + "/cancel").status ==
        202);
  REQUIRE(fleet.WaitForState("entry-1", id, "cancelled"));
  CHECK(fleet.site.caller().RunUntil([&] {
    return fleet.first.runs().empty() || fleet.first.runs().back().cancelled;
  }));
}

TEST_CASE("malformed and unknown jobs get their error responses") {
  NativeApiFleet fleet;
  const auto broken = fleet.Call("entry-1", "POST", "/v1/batches", "{\"a\":");
  CHECK(broken.status == 400);
  CHECK(broken.body.find("\"not_run\":true") != std::string::npos);
  CHECK(fleet.site.caller().RunUntil([&] {
    return fleet.Call("entry-1", "GET", "/v1/batches/none").status == 404;
  }));
}

// Guards against an item whose result is listed at two positions.
TEST_CASE("a native job that names an item twice is rejected") {
  NativeApiFleet fleet;
  const std::string line =
      R"({"custom_id":"a","body":{"prompt":"one","max_tokens":2}})";
  const auto end =
      fleet.Call("entry-1", "POST", "/v1/batches", line + "\n" + line + "\n");
  CHECK(end.status == 400);
  CHECK(end.body.find("\"not_run\":true") != std::string::npos);
  CHECK(fleet.Runs() == 0);
}

// Guards against requests that name a workspace without its key, and against
// requests of a workspace for a model that it may not use. Both are rejected
// before anything runs.
TEST_CASE("a workspace requires its key and is restricted to its models") {
  NativeApiFleet fleet;
  // SHA-256 of "secret".
  constexpr char kWorkspaceObject[] =
      R"([{"kind":"workspace","name":"chain","labels":{},"spec":{"models":["m"],
      "key_sha256":["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}}])";
  const std::string file = fleet.site.File("workspace.json");
  std::ofstream(file) << kWorkspaceObject;
  int code = 0;
  fleet.site.RunKnapctl(
      {"apply", "-f", file, "--platform", fleet.site.admin_address("entry-1")},
      &code);
  REQUIRE(code == 0);
  const auto send = [&](const std::string& authorization,
                        const std::string& body) {
    auto request = fleet.Request("entry-1", "POST", "/v1/completions", body);
    request.headers.Add("X-Workspace", "chain");
    if (!authorization.empty()) {
      request.headers.Add("Authorization", authorization);
    }
    return fleet.site.Call(std::move(request)).status;
  };
  CHECK(fleet.site.caller().RunUntil(
      [&] { return send("", NativeApiFleet::kPrompt) == 401; }));
  CHECK(send("Bearer wrong", NativeApiFleet::kPrompt) == 401);
  const size_t runs = fleet.Runs();
  CHECK(send("Bearer secret", R"({"model":"other","prompt":"a"})") == 403);
  CHECK(fleet.Runs() == runs);
  CHECK(send("Bearer secret", NativeApiFleet::kPrompt) == 200);

  // The same applies to its jobs, which other callers cannot read.
  const auto send_batch =
      [&](const std::string& authorization, const std::string& method,
          const std::string& target, const std::string& body) {
        auto request = fleet.Request("entry-1", method, target, body);
        request.headers.Add("Idempotency-Key", "night");
        if (!authorization.empty()) {
          request.headers.Add("X-Workspace", "chain");
          request.headers.Add("Authorization", authorization);
        }
        return fleet.site.Call(std::move(request));
      };
  constexpr char kAllowedModel[] =
      R"({"custom_id":"a","body":{"model":"m","prompt":"one","max_tokens":1}})";
  constexpr char kDisallowedModel[] =
      R"({"custom_id":"a","body":{"model":"x","prompt":"one","max_tokens":1}})";
  CHECK(
      send_batch("Bearer wrong", "POST", "/v1/batches", kAllowedModel).status ==
      401);
  CHECK(send_batch("Bearer secret", "POST", "/v1/batches", kDisallowedModel)
            .status == 400);
  const auto accepted =
      send_batch("Bearer secret", "POST", "/v1/batches", kAllowedModel);
  REQUIRE(accepted.status == 202);
  const std::string job =
      "/v1/batches/" +
      std::string(json::parse(accepted.body).at("id").as_string());
  CHECK(send_batch("Bearer secret", "GET", job, "").status == 200);
  CHECK(fleet.site.caller().RunUntil(
      [&] { return send_batch("", "GET", job, "").status == 404; }));
  CHECK(send_batch("", "POST", job + "/cancel", "").status == 404);
  CHECK(
      send_batch("Bearer secret", "GET", job, "").body.find("cancelled\":0") !=
      std::string::npos);
}

// The id of a failed request must be enough to find the server that caused the
// failure in the logs.
TEST_CASE("knapctl explain finds the cause of a failed request by its id") {
  NativeApiFleet fleet;
  ModelServer& plain = fleet.site.AddServer("app", "i-3");
  plain.wrong_id_next = 1;
  REQUIRE(fleet.site.caller().RunUntil([&] {
    return fleet.site
               .Call(
                   fleet.site.OnlineRequest("entry-1", "GET", "/book/1", "b1"))
               .status == 502;
  }));
  int code = 0;
  const std::string text =
      fleet.site.RunKnapctl({"explain", "b1", fleet.site.File("entry-1.out"),
                             fleet.site.File("entry-2.out")},
                            &code);
  CHECK(code == 0);
  CHECK(text.find("* time=") != std::string::npos);
  CHECK(text.find("event=attempt_broken") != std::string::npos);
  CHECK(text.find("reason=foreign_answer") != std::string::npos);
  CHECK(text.find("server=" + plain.address()) != std::string::npos);
  CHECK(text.find("event=server_changed") != std::string::npos);
  fleet.site.RunKnapctl({"explain", "nobody", fleet.site.File("entry-1.out")},
                        &code);
  CHECK(code == 4);
}

TEST_CASE("the timeline contains requests and runs of items") {
  NativeApiFleet fleet;
  const std::string id = fleet.SubmitJob("entry-1", "night-3");
  REQUIRE(fleet.WaitForState("entry-1", id, "completed"));
  fleet.Call("entry-1", "POST", "/v1/completions", NativeApiFleet::kPrompt);
  int code = 0;
  const std::string text =
      fleet.site.RunKnapctl({"timeline", "--request", id + "-a", "--admin",
                             fleet.site.admin_address("entry-1"), "--admin",
                             fleet.site.admin_address("entry-2")},
                            &code);
  CHECK(code == 0);
  CHECK(text.find("item_run") != std::string::npos);
}

}  // namespace knapweedstile::users_site
