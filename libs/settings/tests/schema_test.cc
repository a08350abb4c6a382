#include "settings/schema.h"

#include <catch2/catch.hpp>

#include "base/log.h"

namespace knapweedstile::settings {

struct Example {
  std::string name;
  std::string listen = "127.0.0.1:0";
  std::chrono::milliseconds period{500};
  uint32_t slots = 8;
  LogLevel level = LogLevel::kInfo;
  std::vector<std::string> platform;
};

Schema Bind(Example* example) {
  Schema schema;
  schema.Text("node.name", "Name of the VM.", &example->name,
              Presence::kRequired);
  schema.Address("node.listen", "Listener.", &example->listen);
  schema.Millis("wire.period", "Period.", &example->period, 10, 60000);
  schema.Integer("gate.slots", "requests", "Slots.", &example->slots, 1, 4096);
  schema.Choice("log.level", "Least level.", &example->level);
  schema.AddressList("platform.addresses", "Servers.", &example->platform);
  return schema;
}

TEST_CASE("a valid file sets every field") {
  Example example;
  const auto errors = Bind(&example).LoadText(
      "[node]\nname = \"vm-1\"\nlisten = \"127.0.0.1:80\"\n"
      "[wire]\nperiod = 250\n[gate]\nslots = 3\n[log]\nlevel = \"debug\"\n"
      "[platform]\naddresses = [\"127.0.0.1:1\", \"[::1]:2\"]\n",
      "node.toml");
  REQUIRE(errors.empty());
  REQUIRE(example.name == "vm-1");
  REQUIRE(example.period == std::chrono::milliseconds(250));
  REQUIRE(example.slots == 3);
  REQUIRE(example.level == LogLevel::kDebug);
  REQUIRE(example.platform.size() == 2);
}

TEST_CASE("each error names file, line, key, value and what is allowed") {
  Example example;
  const auto errors = Bind(&example).LoadText(
      "[node]\nlisten = \"nowhere\"\n[gate]\nslots = 0\nslot = 3\n", "n.toml");
  REQUIRE(errors.size() == 4);
  REQUIRE(errors[0].ToString() ==
          "n.toml:2: node.listen: \"nowhere\" is not allowed; allowed: "
          "\"IP:PORT\"");
  REQUIRE(errors[1].ToString() ==
          "n.toml:4: gate.slots: 0 is not allowed; allowed: a whole number "
          "from 1 to 4096");
  REQUIRE(errors[2].key == "gate.slot");
  REQUIRE(errors[3].ToString() ==
          "n.toml: node.name: is absent; allowed: any text that is not empty");
}

TEST_CASE("invalid TOML is reported as one error with its line") {
  Example example;
  const auto errors = Bind(&example).LoadText("[node\n", "n.toml");
  REQUIRE(errors.size() == 1);
  REQUIRE(errors[0].line == 1);
}

TEST_CASE("the reference lists every key with its default") {
  Example example;
  const std::string page = Bind(&example).Reference();
  REQUIRE(page.find("| `node.name` | text | any text that is not empty | "
                    "required |") != std::string::npos);
  REQUIRE(page.find("| `wire.period` | ms | a whole number from 10 to 60000 | "
                    "`500` |") != std::string::npos);
}

}  // namespace knapweedstile::settings
