#ifndef KNAPWEEDSTILE_LOAD_LOAD_RUN_H_
#define KNAPWEEDSTILE_LOAD_LOAD_RUN_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "load/arrival.h"
#include "load/call_outcome.h"

namespace knapweedstile::load {

// Where and how a run sends its requests.
struct LoadTargets {
  std::vector<std::string> gateways;  // callers' addresses, used in turn
  std::string model;
  std::string service_path;
  // API keys by workspace; a workspace without a key is only named.
  std::map<std::string, std::string> workspace_keys;
  std::string host;  // of the routes; empty: gateway address
  // How long to wait for responses after the last arrival.
  Duration response_timeout = std::chrono::seconds(30);
  // Whether responses must equal ExpectedResponse, that of a simulated engine.
  bool verify_responses = true;
};

// Sends a plan open loop and records the outcome of each request.
class LoadRun {
 public:
  // Called about ten times a second on the thread of Run, with the number of
  // finished requests and the time since the start.
  using Progress = std::function<void(size_t finished, Duration since_start)>;

  LoadRun(const LoadTargets& targets, std::vector<Arrival> plan);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  // Blocks until every request has finished or the response timeout is over.
  // Returns the outcomes in the order of the plan.
  std::vector<CallOutcome> Run(const Progress& progress = {});
  // Start time of Run.
  TimePoint started_at() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_LOAD_RUN_H_
