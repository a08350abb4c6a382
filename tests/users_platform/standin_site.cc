// Stand-in of a users' deployment without gateways: an object store with a
// configuration, model servers that echo completions, and a plain service.

#include <fmt/core.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <memory>
#include <vector>

#include "users_platform/model_server.h"
#include "users_platform/object_store.h"

namespace knapweedstile::users_site {
namespace {

namespace json = boost::json;

constexpr int kExitUsage = 2;

json::object Route(const std::string& host, const std::string& name,
                   const std::string& prefix, const std::string& kind,
                   const std::string& service) {
  return {{"name", name},
          {"host", host},
          {"path_prefix", prefix},
          {"kind", kind},
          {"service", service},
          {"timeout_ms", 20000},
          {"target_latency_ms", 500},
          {"max_attempts", 2},
          {"resumable", kind == "stream"},
          {"priority", 0},
          {"completion_target_ms", 600000},
          {"queue_ttl_s", 1200},
          {"max_count", 0}};
}

void Configure(ObjectStore& store, const std::string& host) {
  store.Put(
      "config", "main",
      json::object{
          {"version", 1},
          {"routes",
           json::array{
               Route(host, "completions", "/v1/", "stream", "hundehaus-llm"),
               Route(host, "batches", "/v1/batches/", "batch", "hundehaus-llm"),
               Route(host, "front-desk", "/empfang/", "idempotent",
                     "empfang-app")}},
          {"services", json::array{json::object{{"name", "hundehaus-llm"}},
                                   json::object{{"name", "empfang-app"}}}},
          {"limits", json::object{{"max_header_bytes", 16384},
                                  {"max_body_bytes", 4194304},
                                  {"header_timeout_ms", 2000},
                                  {"idle_timeout_ms", 30000}}}});
}

void Register(ObjectStore& store, const ModelServer& server,
              const std::string& service, int slots, int number) {
  const std::string zones[] = {"bern-a", "bern-b", "olten-c"};
  store.Put("servers", server.instance(),
            json::object{{"service", service},
                         {"address", server.address()},
                         {"zone", zones[number % 3]},
                         {"version", "v1"},
                         {"slots", slots},
                         {"state", "ready"},
                         {"sequence", 1}});
  fmt::print("server={} service={} address={}\n", server.instance(), service,
             server.address());
}

int Serve(const cxxopts::ParseResult& flags) {
  boost::asio::io_context io(1);
  ObjectStore store(io);
  Configure(store, flags["host"].as<std::string>());
  std::vector<std::unique_ptr<ModelServer>> servers;
  const int slots = flags["slots"].as<int>();
  for (int i = 0; i < flags["servers"].as<int>(); ++i) {
    auto& server = servers.emplace_back(
        std::make_unique<ModelServer>(io, fmt::format("engine-{}", i + 1)));
    server->slots = slots;
    server->completions = true;
    server->event_pause =
        std::chrono::milliseconds(flags["token-ms"].as<int>());
    Register(store, *server, "hundehaus-llm", slots, i);
  }
  auto& plain =
      servers.emplace_back(std::make_unique<ModelServer>(io, "service-1"));
  plain->unstreamed_posts = true;
  Register(store, *plain, "empfang-app", slots, 0);
  fmt::print("store={}\n", store.address());
  std::fflush(stdout);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace knapweedstile::users_site

int main(int argc, char** argv) {
  cxxopts::Options options("standin_site");
  options.add_options()("servers", "number of model servers",
                        cxxopts::value<int>()->default_value("3"))(
      "slots", "concurrent requests on each model server",
      cxxopts::value<int>()->default_value("8"))(
      "token-ms", "milliseconds between two events of a stream",
      cxxopts::value<int>()->default_value("10"))(
      "host", "host name of the routes",
      cxxopts::value<std::string>()->default_value("pets.example"))(
      "help", "this text");
  // cxxopts reports usage errors by exceptions.
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      fmt::print("{}", options.help());
      return 0;
    }
    return knapweedstile::users_site::Serve(flags);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return knapweedstile::users_site::kExitUsage;
  }
}
