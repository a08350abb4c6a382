// The largest boarding chain and a stranger share one entry. With
// require_workspace set, a request under a name that is no object in force is
// refused: otherwise anybody takes a share of the fleet under a made-up name.

#include <catch2/catch.hpp>

#include "harness/completion.h"
#include "harness/fleet.h"

namespace knapweedstile::harness {

TEST_CASE("a workspace that is not in force is refused when one is required") {
  Fleet fleet;
  fleet.AddEngine("engine-1", {});
  fleet.PutObject("workspace", "pfotenplatz",
                  R"({"labels":{},"spec":{"weight":10}})");
  fleet.AddEntry("entry-1", "[callers]\nrequire_workspace = true\n");
  REQUIRE(fleet.WaitUntilReady());
  const auto status_for = [&](const std::string& workspace) {
    http::ClientRequest request{
        .address = fleet.callers("entry-1"),
        .method = "POST",
        .target = "/v1/completions",
        .body = CompletionBody(kModel, "a b", 2, false)};
    request.headers.Add("X-Workspace", workspace);
    return fleet.caller().Call(std::move(request)).status;
  };
  REQUIRE(fleet.caller().RunUntil(
      [&] { return status_for("pfotenplatz") == 200; }));
  const unsigned unknown = status_for("nobody");
  CHECK((unknown == 401 || unknown == 403));
}

}  // namespace knapweedstile::harness
