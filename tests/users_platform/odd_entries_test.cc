#include <catch2/catch.hpp>
#include <regex>

#include "users_platform/site.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr char kRecords[] = "knapweedstile";
constexpr char kMembers[] = "knapweedstile-members";
constexpr char kOdd[] = "replaced by an odd text";

std::string Nested(size_t depth, const std::string& open,
                   const std::string& close) {
  std::string text;
  for (size_t i = 0; i < depth; ++i) text += open;
  text += "1";
  for (size_t i = 0; i < depth; ++i) text += close;
  return text;
}

// A registration with one odd field.
std::string Registration(const std::string& field, const std::string& value) {
  return R"({"service":"app","zone":"zone-a","version":"v1","slots":1,)"
         R"("state":"ready","address":"127.0.0.1:1",")" +
         field + "\":" + value + "}";
}

// Specs that another client may have written.
std::vector<std::string> OddSpecs() {
  return {Nested(1100, "[", "]"),
          Nested(200000, "[", "]"),
          Nested(5000, R"({"a":)", "}"),
          R"("\ud800")",
          "\"\x01\"",
          "1e400",
          std::string(5000, '9'),
          Registration("slots", "1e400"),
          Registration("slots", "-1"),
          Registration("slots", Nested(3000, "[", "]")),
          Registration("address", "\"127.0.0.1:70000\""),
          Registration("address", "\"127.0.0.1:-1\""),
          Registration("address", R"("127.0.0.1:99999999999999999999")"),
          Registration("born", std::string(400, '9')),
          Registration("zone", R"("\udc00")")};
}

struct TwoGateways {
  Site site;
  int servers = 0;

  TwoGateways() { site.Configure(2); }
  void Start() {
    site.AddGateway("entry-1");
    site.AddGateway("entry-2");
  }
  void PutOdd(const std::string& kind, const std::string& name,
              const std::string& text) {
    site.store().raw_texts[kOdd] = text;
    site.store().Put(kind, name, json::string(kOdd));
  }
  // Whether both gateways learn of a server that registers now.
  void CheckServersAreFollowed() {
    ModelServer& server =
        site.AddServer("app", "sound-" + std::to_string(++servers));
    for (const char* gateway : {"entry-1", "entry-2"}) {
      CAPTURE(gateway);
      CHECK(site.caller().RunUntil([&] {
        site.Call(site.OnlineRequest(gateway, "GET", "/ping/",
                                     "r" + std::to_string(++requests)));
        return std::any_of(
            server.runs().begin(), server.runs().end(),
            [](const auto& run) { return run.request_id.starts_with("r"); });
      }));
      CHECK(site.process(gateway).running());
    }
    site.RemoveServer(server);
  }
  double Metric(const std::string& gateway, const std::string& name) {
    const std::string text = site.Metrics(gateway);
    std::smatch found;
    const std::regex line("(^|\n)" + name + " ([0-9.e+]+)");
    return std::regex_search(text, found, line) ? std::stod(found[2]) : -1;
  }
  int requests = 0;
};

}  // namespace

// Guards against one registration that hides all others, or ends processes.
TEST_CASE("a registration that can't be read keeps no other from being used") {
  for (const std::string& spec : OddSpecs()) {
    CAPTURE(spec.size(), spec.substr(0, 40));
    TwoGateways fleet;
    fleet.Start();
    fleet.CheckServersAreFollowed();
    fleet.PutOdd("servers", "odd", spec);
    fleet.CheckServersAreFollowed();
    // Started afterwards, a gateway lists the odd registration.
    fleet.site.AddGateway("entry-3");
    CHECK(fleet.Metric("entry-3", "knap_configuration_version") == 2);
    fleet.CheckServersAreFollowed();
  }
}

// Guards against a list that is requested again without a pause.
TEST_CASE("an answer of the store that can't be read is no loss of the store") {
  TwoGateways fleet;
  fleet.Start();
  fleet.CheckServersAreFollowed();
  fleet.PutOdd("servers", "odd", "1,}");
  fleet.site.caller().RunFor(milliseconds(1000));
  const double calls = fleet.Metric("entry-1", "knap_store_calls");
  fleet.site.caller().RunFor(milliseconds(4000));
  CHECK(fleet.Metric("entry-1", "knap_store_calls") - calls < 40);
  CHECK(fleet.Metric("entry-1", "knap_store_available") == 1);
  fleet.site.store().Remove("servers", "odd");
  fleet.CheckServersAreFollowed();
}

// Guards against records of any other kind that hide all others of their kind.
TEST_CASE("odd records of other kinds keep no other from being used") {
  for (const std::string& text :
       {Nested(200000, "[", "]"), std::string(R"({"a":"\ud800"})")}) {
    TwoGateways fleet;
    ModelServer& server = fleet.site.AddServer("llm", "i-1");
    for (const char* name : {"node.odd", "claim.1.0.zone-a", "odd"})
      fleet.PutOdd(kMembers, name, text);
    for (const char* name :
         {"job.odd", "segment.odd.0", "end.odd", "large.odd.1.2", "odd"})
      fleet.PutOdd(kRecords, name, text);
    fleet.PutOdd("knapweedstile-objects", "odd", text);
    fleet.Start();
    CHECK(fleet.Metric("entry-1", "knap_store_objects_unreadable") > 0);
    CHECK(
        fleet.site.Call(fleet.site.JobRequest("entry-1", "job-a", 2)).status ==
        202);
    for (const char* gateway : {"entry-1", "entry-2"}) {
      CHECK(fleet.site.WaitForResults(gateway, "job-a", 2)
                .at("results")
                .as_array()
                .size() == 2);
    }
    CHECK(server.runs().size() == 2);
    // A configuration that can't be read leaves the one before in force.
    fleet.PutOdd("config", "main", text);
    fleet.site.caller().RunFor(milliseconds(1500));
    CHECK(fleet.Metric("entry-2", "knap_configuration_version") == 2);
    fleet.site.Configure(4);
    CHECK(fleet.site.caller().RunUntil([&] {
      return fleet.Metric("entry-2", "knap_configuration_version") == 4;
    }));
    fleet.CheckServersAreFollowed();
  }
}

}  // namespace knapweedstile::users_site
