#include "decide/subset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace knapweedstile::decide {
namespace {

std::vector<std::string> Names(const char* prefix, size_t count) {
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i)
    names.push_back(prefix + std::to_string(i));
  return names;
}

std::vector<std::string_view> Views(const std::vector<std::string>& names) {
  return {names.begin(), names.end()};
}

TEST_CASE("a small fleet is known to every entry") {
  const auto servers = Names("engine-", 20);
  REQUIRE(SubsetOf("entry-0", {"entry-0", "entry-1"}, Views(servers)).size() ==
          20);
}

// With 320 entries and 1,000 engines some engines would be known to two or
// three entries and others to forty if each entry drew its own at random.
TEST_CASE("every engine is known to as many entries, within one") {
  const auto entries = Names("entry-", 320);
  const auto servers = Names("engine-", 1000);
  std::vector<size_t> known_by(servers.size());
  for (const auto& entry : entries) {
    for (const size_t i : SubsetOf(entry, Views(entries), Views(servers))) {
      ++known_by[i];
    }
  }
  const auto [low, high] =
      std::minmax_element(known_by.begin(), known_by.end());
  REQUIRE(*high - *low <= 1);
  REQUIRE(*low >= 20);
}

TEST_CASE("a node that comes or goes moves little") {
  const auto entries = Names("entry-", 320);
  const auto servers = Names("engine-", 1000);
  const auto before = SubsetOf("entry-7", Views(entries), Views(servers));
  const auto changes = [&](const std::vector<size_t>& after) {
    std::vector<size_t> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(),
                          after.end(), std::back_inserter(kept));
    return before.size() + after.size() - 2 * kept.size();
  };
  const auto more_servers = Names("engine-", 1001);
  REQUIRE(changes(SubsetOf("entry-7", Views(entries), Views(more_servers))) <=
          2);
  const auto fewer_entries = Names("entry-", 319);
  REQUIRE(changes(SubsetOf("entry-7", Views(fewer_entries), Views(servers))) <=
          2);
}

}  // namespace
}  // namespace knapweedstile::decide
