#include "peers/reader_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace knapweedstile::gateway {
namespace {

double OneCore(const std::string& /*gateway*/) { return 1; }

std::vector<std::string> Choose(std::vector<std::string> gateways) {
  return ChooseReaders(std::move(gateways), kReadersPerCell, OneCore);
}

}  // namespace

TEST_CASE("gateways that see the same candidates choose the same readers") {
  const auto readers = Choose({"a", "b", "c", "d"});
  CHECK(readers.size() == kReadersPerCell);
  CHECK(readers == Choose({"d", "b", "a", "c"}));
}

// A reader stalls or is partitioned. The reader that followed the store beside
// it must continue.
TEST_CASE("losing a reader keeps the other one") {
  const std::vector<std::string> gateways = {"a", "b", "c", "d"};
  const auto readers = Choose(gateways);
  std::vector<std::string> remaining = gateways;
  std::erase(remaining, readers[0]);
  CHECK(Choose(remaining)[0] == readers[1]);
}

TEST_CASE("a gateway without live peers reads for itself") {
  CHECK(Choose({"a"}) == std::vector<std::string>{"a"});
  CHECK(Choose({}).empty());
}

// Guards against choosing small VMs to forward store updates to a whole cell.
TEST_CASE("gateways with more cores read for the others") {
  const auto cores = [](const std::string& gateway) {
    return gateway == "c" || gateway == "d" ? 1.0 : 0.09;
  };
  auto readers = ChooseReaders({"a", "b", "c", "d"}, 2, cores);
  std::sort(readers.begin(), readers.end());
  CHECK(readers == std::vector<std::string>{"c", "d"});
  CHECK(ChooseReaders({"a", "b", "d"}, 1, cores).front() == "d");
}

}  // namespace knapweedstile::gateway
