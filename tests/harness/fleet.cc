#include "harness/fleet.h"

#include <fmt/format.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

constexpr int kServiceSlots = 8;
constexpr char kZone[] = "bern-a";

// Short periods, so that tests of failures do not wait long; no verdict rests
// on them.
constexpr char kNodeSettings[] = R"([node]
name = "{}"
availability_zone = "{}"
drain_notice = 300
heartbeat_period = 200
silence_limit = 1000
)";
constexpr char kEntrySettings[] = R"([platform]
addresses = ["{}"]
vm_list_period = 200
[batch]
shards = 4
lease_term = 3000
flush_every = 200
poll_jobs_every = 300
)";

struct EventCounts {
  int starts = 0;
  int ends = 0;  // cancelled ones too
};

EventCounts CountEvents(const std::string& run_log) {
  EventCounts counts;
  std::istringstream lines(run_log);
  for (std::string line; std::getline(lines, line);) {
    const bool start = line.find(R"("event":"start")") != std::string::npos;
    ++(start ? counts.starts : counts.ends);
  }
  return counts;
}

// How many of `entry`'s backend servers are in, by its status page.
size_t InCount(const http::EndEvent& status) {
  size_t in = 0;
  json::error_code ec;
  const json::value page = json::parse(status.body, ec);
  if (ec || !page.is_object()) return 0;
  const json::value* servers = page.as_object().if_contains("backend_servers");
  if (!servers || !servers->is_array()) return 0;
  for (const json::value& server : servers->as_array()) {
    const json::value* state = server.as_object().if_contains("state");
    if (state && *state == "in") ++in;
  }
  return in;
}

}  // namespace

Fleet::Fleet() {
  platform_ = Start("platform", Program::kPlatform,
                    {"--log=" + folder_.File("history")})
                  .WaitForValue("address");
}

Process& Fleet::Start(const std::string& name, Program program,
                      const std::vector<std::string>& arguments) {
  auto& process = processes_[name];
  process = std::make_unique<Process>(folder_, name, program, arguments);
  return *process;
}

void Fleet::AddEngine(const std::string& name, const EngineOptions& options) {
  std::vector<std::string> flags = options.flags;
  flags.push_back(fmt::format("--slots={}", options.slots));
  flags.push_back(fmt::format("--token-ms={}", options.token_ms));
  flags.push_back("--run-log=" + run_log(name));
  StartBackendServer(name, Program::kEngine, std::move(flags));
  StartSidecar(name, "model_engine", kModel, options.slots,
               options.behind_proxy);
}

void Fleet::AddService(const std::string& name, int delay_ms) {
  StartBackendServer(
      name, Program::kService,
      {std::string("--name=") + kService,
       fmt::format("--delay-ms={}", delay_ms), "--run-log=" + run_log(name)});
  StartSidecar(name, "plain_service", kService, kServiceSlots, false);
}

void Fleet::StartBackendServer(const std::string& name, Program program,
                               std::vector<std::string> arguments) {
  const std::string address =
      Start("backend-" + name, program, arguments).WaitForValue("address");
  arguments.push_back("--listen=" + address);
  commands_[name] = {program, std::move(arguments)};
}

void Fleet::RestartBackendServer(const std::string& name) {
  const Command& command = commands_.at(name);
  Start("backend-" + name, command.program, command.arguments)
      .WaitForValue("address");
}

void Fleet::OrderPlatform(const std::string& order) {
  const http::EndEvent end = caller_.Post(platform_, "/control", order);
  if (end.status != 200) throw std::runtime_error("platform: " + end.body);
}

void Fleet::StartSidecar(const std::string& name, const std::string& kind,
                         const std::string& target, int slots,
                         bool behind_proxy) {
  backend_servers_.push_back(name);
  const std::string address = backend_server(name).WaitForValue("address");
  StartNode(name, "sidecar",
            fmt::format("[backend_server]\nkind = \"{}\"\ntarget = \"{}\"\n"
                        "address = \"{}\"\n[gate]\nslots = {}\n",
                        kind, target, address, slots));
  std::string fleet = sidecar(name).WaitForValue("fleet");
  if (behind_proxy) {
    Process& proxy =
        Start("proxy-" + name, Program::kFaultProxy, {"--to=" + fleet});
    fleet = proxy.WaitForValue("address");
    proxies_[name] = proxy.WaitForValue("control");
  }
  PutVm(name, fleet, "sidecar", target);
}

void Fleet::AddEntry(const std::string& name, const std::string& settings) {
  StartNode(name, "entry", fmt::format(kEntrySettings, platform_) + settings);
  callers_[name] = entry(name).WaitForValue("callers");
  PutVm(name, entry(name).WaitForValue("fleet"), "entry", "");
}

void Fleet::StartNode(const std::string& name, const std::string& role,
                      const std::string& settings) {
  const std::string path = folder_.File(name + ".toml");
  std::ofstream(path) << fmt::format(kNodeSettings, name, kZone) << settings;
  Process& process = Start(name, Program::kNode, {role, "--config", path});
  admin_[name] = process.WaitForValue("admin");
  if (admin_[name].empty()) {
    throw std::runtime_error(name + " did not start: " + process.errors());
  }
}

void Fleet::PutVm(const std::string& name, const std::string& address,
                  const std::string& role, const std::string& target) {
  vms_[name] = {{"address", address},
                {"availability_zone", kZone},
                {"role", role},
                {"target", target},
                {"state", "live"}};
  WriteVm(name);
}

void Fleet::WriteVm(const std::string& name) {
  caller_.Put(platform_, "/v1/vms/" + name, json::serialize(vms_.at(name)));
}

void Fleet::MarkLeaving(const std::string& name) {
  vms_.at(name)["state"] = "leaving";
  WriteVm(name);
}

void Fleet::PutObject(const std::string& kind, const std::string& name,
                      const std::string& json) {
  const std::string path = "/v1/objects/" + kind + "/" + name;
  const http::EndEvent put =
      caller_.Put(platform_, path + "?if_version=0", json);
  if (put.status != 200) throw std::runtime_error(path + ": " + put.body);
}

void Fleet::Strike(const std::string& engine, const std::string& fault) {
  const http::EndEvent end = caller_.Post(proxies_.at(engine), "/fault", fault);
  if (end.status != 200) throw std::runtime_error("fault: " + end.body);
}

bool Fleet::WaitUntilReady() {
  for (const auto& [name, address] : callers_) {
    const bool ready = caller_.GetUntil(
        admin(name), "/status", [this](const http::EndEvent& status) {
          return InCount(status) == backend_servers_.size();
        });
    if (!ready) return false;
  }
  return true;
}

void Fleet::ReadRunLogs(Ledger& ledger) const {
  for (const std::string& name : backend_servers_) {
    ledger.ReadRunLog(run_log(name));
  }
}

std::vector<std::string> Fleet::callers() const {
  std::vector<std::string> addresses;
  for (const auto& [name, address] : callers_) addresses.push_back(address);
  return addresses;
}

std::string Fleet::run_log(const std::string& name) const {
  return folder_.File(name + ".runs");
}

int Fleet::Starts(const std::string& name) const {
  return CountEvents(ReadFile(run_log(name))).starts;
}

int Fleet::InFlight(const std::string& name) const {
  const EventCounts counts = CountEvents(ReadFile(run_log(name)));
  return counts.starts - counts.ends;
}

std::string Fleet::FaultCounts(const std::string& engine) {
  return caller_.Get(proxies_.at(engine), "/fault").body;
}

}  // namespace knapweedstile::harness
