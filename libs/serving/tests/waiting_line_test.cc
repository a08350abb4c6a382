#include "serving/waiting_line.h"

#include <catch2/catch.hpp>

#include "serving/patience.h"

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);

}  // namespace

TEST_CASE("who has to leave first is served first") {
  WaitingLine line;
  CHECK(line.Join("llm", ExchangeId(1), kNow + milliseconds(900), 3));
  CHECK(line.Join("llm", ExchangeId(2), kNow + milliseconds(300), 3));
  CHECK(line.Join("llm", ExchangeId(3), kNow + milliseconds(300), 3));
  CHECK(line.TakeNext("llm") == ExchangeId(2));
  line.Leave(ExchangeId(3));
  CHECK(line.TakeNext("llm") == ExchangeId(1));
  CHECK_FALSE(line.TakeNext("llm"));
  CHECK(line.Services().empty());
}

// More callers return than the slots can serve before they give up. Those that
// would wait in vain must be told at once.
TEST_CASE("a full line takes nobody") {
  WaitingLine line;
  CHECK(line.Join("llm", ExchangeId(1), kNow, 1));
  CHECK_FALSE(line.Join("llm", ExchangeId(2), kNow, 1));
  CHECK(line.Join("app", ExchangeId(3), kNow, 1));
  CHECK(line.size() == 2);
}

TEST_CASE("nobody waits beyond its time") {
  WaitingLine line;
  CHECK(line.Join("llm", ExchangeId(1), kNow + milliseconds(100), 9));
  CHECK(line.Join("llm", ExchangeId(2), kNow + milliseconds(200), 9));
  CHECK(line.TakeExpired(kNow).empty());
  CHECK(line.TakeExpired(kNow + milliseconds(100)) ==
        std::vector<ExchangeId>{ExchangeId(1)});
  CHECK(line.TakeNext("llm") == ExchangeId(2));
}

// Callers of a route wait for five seconds; one that comes with four was turned
// away before. A single caller with a minute must not make all others look so.
TEST_CASE("callers that return are known by the time that they have left") {
  Patience patience;
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(patience.IsShort("r", milliseconds(5000)));
  }
  CHECK(patience.IsShort("r", milliseconds(4100)));
  CHECK_FALSE(patience.IsShort("other", milliseconds(4100)));
  CHECK_FALSE(patience.IsShort("r", milliseconds(60000)));
  for (int i = 0; i < 2600; ++i) patience.IsShort("r", milliseconds(5000));
  CHECK_FALSE(patience.IsShort("r", milliseconds(5000)));
}

}  // namespace knapweedstile::serving
