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

struct LoadTargets {
  std::vector<std::string> entries;  // callers' addresses, taken in turn
  std::string model;
  std::string service_path;
  // Keys of workspaces, by name; one that has none is only named.
  std::map<std::string, std::string> workspace_keys;
  std::string host;  // of the routes; empty: the entry's address
  // How long after the last arrival an answer is waited for.
  Duration patience = std::chrono::seconds(30);
  // Whether the answers are those of a stand-in engine, and so can be checked
  // word by word.
  bool check_answers = true;
};

// Sends a plan open loop and records what each caller received. Blocks until
// all is answered or the patience is over.
class LoadRun {
 public:
  // Called about ten times a second on the running thread, with the calls ended
  // so far and the time since the start.
  using Progress = std::function<void(size_t ended, Duration since_start)>;

  LoadRun(const LoadTargets& targets, std::vector<Arrival> plan);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  // In the order of the plan.
  std::vector<CallOutcome> Run(const Progress& progress = {});
  // When Run began.
  TimePoint started_at() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_LOAD_RUN_H_
