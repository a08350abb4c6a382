#ifndef KNAPWEEDSTILE_SOAK_RUN_INDEX_H_
#define KNAPWEEDSTILE_SOAK_RUN_INDEX_H_

#include <map>
#include <string>
#include <vector>

#include "users_platform/model_server.h"

namespace knapweedstile::soak {

// Runs on all backend servers, by request id.
class RunIndex {
 public:
  using Run = users_site::ModelServer::Run;

  void Add(const users_site::ModelServer& server) {
    for (const Run& run : server.runs()) runs_[run.request_id].push_back(&run);
  }
  const std::vector<const Run*>& Of(const std::string& id) const {
    static const std::vector<const Run*> kNone;
    const auto found = runs_.find(id);
    return found == runs_.end() ? kNone : found->second;
  }
  const std::map<std::string, std::vector<const Run*>>& all() const noexcept {
    return runs_;
  }

 private:
  std::map<std::string, std::vector<const Run*>> runs_;
};

}  // namespace knapweedstile::soak

#endif  // KNAPWEEDSTILE_SOAK_RUN_INDEX_H_
