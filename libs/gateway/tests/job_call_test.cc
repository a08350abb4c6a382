#include "batch/job_call.h"

#include <catch2/catch.hpp>
#include <string>

namespace knapweedstile::gateway {

// Guards against a caller who receives the compressed bytes of a forwarded
// response, or the bytes of a response that is damaged.
TEST_CASE("a large response to a forwarded call is packed and unpacked") {
  std::string page;
  for (int i = 0; i < 500; ++i) page += "word " + std::to_string(i % 7);
  http::RespondCommand response{.status = 200, .body = page};
  PackResponse(response);
  CHECK(response.body.size() * 4 < page.size());
  http::EndEvent received{
      .status = 200, .headers = response.headers, .body = response.body};
  CHECK(UnpackResponse(received));
  CHECK(received.body == page);
  received.body = "damaged";
  CHECK_FALSE(UnpackResponse(received));
  http::RespondCommand small{.status = 200, .body = "{}"};
  PackResponse(small);
  CHECK(small.body == "{}");
  CHECK(small.headers.Find(kPackedHeader).empty());
}

}  // namespace knapweedstile::gateway
