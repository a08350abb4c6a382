#ifndef KNAPWEEDSTILE_USERS_SITE_SITE_H_
#define KNAPWEEDSTILE_USERS_SITE_SITE_H_

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/process.h"
#include "harness/scratch_folder.h"
#include "users_platform/model_server.h"
#include "users_platform/object_store.h"

namespace knapweedstile::users_site {

inline constexpr char kHost[] = "pets.example";
// A service of engines besides "llm", without servers unless a test adds them.
inline constexpr char kSecondService[] = "llm-next";

// A small deployment on loopback: the object store and the backend servers run
// inside the test, the gateways are real processes that read settings made from
// the deployment's own template.
class Site {
 public:
  Site();

  // Result retention of gateways that are started from now on.
  int retention_s = 120;
  // Memory and descriptors that the platform grants to gateways that are
  // started from now on.
  int memory_mb = 260;
  int max_descriptors = 4100;
  // Interval of the servers' heartbeats, for gateways that are started from now
  // on.
  int heartbeat_ms = 400;

  // Returns the address that clients of the listening address of `who`
  // ("store/GATEWAY", "server/INSTANCE", "callers/GATEWAY") are given; a test
  // can put a proxy in between. Set before anything is added.
  std::function<std::string(const std::string& who, const std::string& address)>
      interpose = [](const std::string&, const std::string& address) {
        return address;
      };
  // Availability zones of gateways that are started from now on.
  std::function<std::string(const std::string& name)> zone_of =
      [](const std::string&) { return std::string("zone-a"); };
  // Additional environment of gateways that are started from now on.
  std::function<std::map<std::string, std::string>(const std::string& name)>
      environment = [](const std::string&) {
        return std::map<std::string, std::string>();
      };

  // Software version of servers that are added from now on.
  std::string software = "v1";

  ModelServer& AddServer(const std::string& service,
                         const std::string& instance, int slots = 4);
  void MarkDraining(const ModelServer& server);
  void RemoveServer(const ModelServer& server);
  // Replaces the server process by a new one at the same address, without
  // registering the new one.
  void RestartServer(ModelServer& server, const std::string& instance);
  // The process of the server ends; a new one with another name registers half
  // a second later.
  void CrashServer(ModelServer& server);
  void MarkReady(const ModelServer& server);
  // Registers the server as a new process with the same name and address.
  void RegisterNewProcess(const ModelServer& server);
  // Writes the configuration with all routes. Each call needs a higher version.
  void Configure(int version, const boost::json::object& changes = {});
  // Workspaces in configurations from now on, in the form of the users'
  // platform; nullopt omits the list.
  std::optional<boost::json::array> workspaces;
  // Limit on the header size of requests in configurations from now on.
  int max_header_bytes = 4096;
  // Limit on the body size of requests in configurations from now on.
  int max_body_bytes = 100000;
  // Names of routes without API key check in configurations from now on.
  std::set<std::string> public_routes;
  // Lines added to [workspaces] in the settings of gateways that are started
  // from now on.
  std::string workspace_settings;
  // Lines added at the end of the settings of gateways that are started from
  // now on.
  std::string further_settings;
  // Whether configurations contain the routes of the native API.
  bool native_api = false;
  // Additional stream routes in configurations from now on.
  std::vector<std::string> extra_routes;
  // Division of the routes of service "llm" in configurations from now on, in
  // the form of the users' platform; empty leaves them to that service.
  boost::json::array backends;
  // Whether gateways that are started from now on use the second address of the
  // store.
  bool use_second_store_address = false;

  // Starts the gateway without waiting until it is ready.
  void StartGateway(const std::string& name);
  // Starts the gateway again with the same addresses and settings.
  void RestartGateway(const std::string& name);
  // Starts the gateway and waits until it is ready.
  void AddGateway(const std::string& name);
  void StartStore(const std::string& name);

  ObjectStore& store() noexcept { return store_; }
  harness::Caller& caller() noexcept { return caller_; }
  harness::Process& process(const std::string& name) {
    return *processes_.at(name);
  }
  bool Ready(const std::string& gateway);
  const std::string& admin_address(const std::string& gateway) const {
    return admin_addresses_.at(gateway);
  }
  const std::string& caller_address(const std::string& gateway) const {
    return caller_addresses_.at(gateway);
  }
  // Where other gateways call this one.
  const std::string& peer_address(const std::string& gateway) const {
    return peer_addresses_.at(gateway);
  }
  std::string Metrics(const std::string& gateway);
  std::string Status(const std::string& gateway);
  // Runs knapctl while the stand-ins keep working; returns its output and
  // errors.
  std::string RunKnapctl(const std::vector<std::string>& arguments,
                         int* exit_code);
  // Path of a file in this deployment's scratch folder.
  std::string File(const std::string& name) const { return folder_.File(name); }

  // Requests as callers send them.
  http::ClientRequest OnlineRequest(const std::string& gateway,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& id,
                                    int64_t budget_ms = 5000) const;
  http::ClientRequest JobRequest(const std::string& gateway,
                                 const std::string& id, int items,
                                 int tokens = 100) const;
  // Sends and waits; the events of a streamed response are in `body`.
  http::EndEvent Call(http::ClientRequest&& request);
  http::EndEvent Results(const std::string& gateway, const std::string& job,
                         int after = 0, int wait_ms = 0);
  http::EndEvent EndJob(const std::string& gateway, const std::string& job);
  // Polls until the job has `count` results or the wait times out; returns the
  // last page.
  boost::json::object WaitForResults(const std::string& gateway,
                                     const std::string& job, size_t count);

 private:
  uint16_t FreePort();
  void StartProcess(const std::string& name);
  std::string WriteSettings(const std::string& name);
  void PutServer(const ModelServer& server, const std::string& service,
                 int slots, const std::string& state);

  harness::ScratchFolder folder_;
  harness::Caller caller_;
  ObjectStore store_;
  std::vector<std::unique_ptr<ModelServer>> servers_;
  struct Registration {
    std::string service;
    int slots = 0;
  };
  std::map<std::string, Registration> registrations_;
  std::map<std::string, uint64_t> started_ms_;  // by instance, Unix time
  std::map<std::string, std::unique_ptr<harness::Process>> processes_;
  std::map<std::string, std::string> caller_addresses_;  // after `interpose`
  std::map<std::string, std::string> admin_addresses_;
  std::map<std::string, std::string> peer_addresses_;
  std::map<std::string, int> start_counts_;
  int last_port_ = 0;
  int command_count_ = 0;
};

}  // namespace knapweedstile::users_site

#endif  // KNAPWEEDSTILE_USERS_SITE_SITE_H_
