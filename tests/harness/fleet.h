#ifndef KNAPWEEDSTILE_HARNESS_FLEET_H_
#define KNAPWEEDSTILE_HARNESS_FLEET_H_

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/ledger.h"
#include "harness/process.h"

namespace knapweedstile::harness {

inline constexpr char kModel[] = "hundehaus-llm";
inline constexpr char kService[] = "empfang-app";

// A small fleet of real processes: the platform's stand-in, entries, and
// backend servers each with its sidecar. Names are those of the VMs.
class Fleet {
 public:
  struct EngineOptions {
    int slots = 4;
    int token_ms = 5;
    std::vector<std::string> flags;  // further ones of standin_engine
    bool behind_proxy = false;       // a fault proxy before the sidecar
  };

  Fleet();

  // Commands; each returns when the process listens and is in the VM list.
  void AddEngine(const std::string& name, const EngineOptions& options);
  void AddService(const std::string& name, int delay_ms = 0);
  // `settings`: further TOML.
  void AddEntry(const std::string& name, const std::string& settings = {});
  void PutObject(const std::string& kind, const std::string& name,
                 const std::string& json);
  // The VM list shows the VM as leaving; its processes are told nothing.
  void MarkLeaving(const std::string& name);
  // Starts the backend server again at its address after it has ended.
  void RestartBackendServer(const std::string& name);
  // Orders the platform's stand-in (POST /control).
  void OrderPlatform(const std::string& order);
  // Puts `fault` on the connections to the engine's sidecar.
  void Strike(const std::string& engine, const std::string& fault);
  // Waits until every entry has every sidecar in; false at the limit.
  bool WaitUntilReady();
  // The ledger reads what all backend servers ran.
  void ReadRunLogs(Ledger& ledger) const;

  // Queries.
  Caller& caller() noexcept { return caller_; }
  Process& sidecar(const std::string& name) { return *processes_.at(name); }
  Process& entry(const std::string& name) { return *processes_.at(name); }
  Process& backend_server(const std::string& name) {
    return *processes_.at("backend-" + name);
  }
  // Where callers of entry `name` connect.
  const std::string& callers(const std::string& name) const {
    return callers_.at(name);
  }
  std::vector<std::string> callers() const;
  const std::string& platform() const noexcept { return platform_; }
  const std::string& admin(const std::string& name) const {
    return admin_.at(name);
  }
  std::string run_log(const std::string& name) const;
  // How often the backend server has begun a request.
  int Starts(const std::string& name) const;
  // Requests that the backend server has begun and not ended by its run log.
  int InFlight(const std::string& name) const;
  // GET /fault of the proxy before the engine's sidecar.
  std::string FaultCounts(const std::string& engine);

 private:
  Process& Start(const std::string& name, Program program,
                 const std::vector<std::string>& arguments);
  void StartBackendServer(const std::string& name, Program program,
                          std::vector<std::string> arguments);
  void StartSidecar(const std::string& name, const std::string& kind,
                    const std::string& target, int slots, bool behind_proxy);
  void StartNode(const std::string& name, const std::string& role,
                 const std::string& settings);
  void PutVm(const std::string& name, const std::string& address,
             const std::string& role, const std::string& target);
  void WriteVm(const std::string& name);

  ScratchFolder folder_;
  Caller caller_;
  std::map<std::string, std::unique_ptr<Process>> processes_;
  std::string platform_;
  std::map<std::string, boost::json::object> vms_;
  std::map<std::string, std::string> callers_;
  std::map<std::string, std::string> admin_;
  std::map<std::string, std::string> proxies_;  // control addresses
  struct Command {
    Program program;
    std::vector<std::string> arguments;
  };
  std::map<std::string, Command> commands_;  // of the backend servers
  std::vector<std::string> backend_servers_;
};

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_FLEET_H_
