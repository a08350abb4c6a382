#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_MIRRORS_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_MIRRORS_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/store_answer.h"
#include "store/kind_mirror.h"

namespace knapweedstile::gateway {

class StoreCalls;

// Mirrors the record kinds that this gateway holds, with one interface for all.
class RecordMirrors {
 public:
  struct Handlers {
    std::function<void(std::vector<platform::StoredObject>&&)> listed;
    std::function<void(platform::StoredObject&&)> changed;
    // See KindMirror::Handlers.
    std::function<void(const std::string& kind,
                       const std::set<std::string>& names, TimePoint began)>
        list_completed;
    // Everything that existed at `began` has been read, for all kinds.
    std::function<void(TimePoint began)> read_completed;
  };

  RecordMirrors(boost::asio::io_context& io, StoreCalls& store,
                std::chrono::milliseconds history, Handlers handlers);

  // Follows exactly these kinds from now on and drops responses for all others.
  void Follow(const std::vector<std::string>& kinds);
  // Each calls the KindMirror function of the same name for all kinds.
  void SkipPause();
  void RenewWatch();
  void ReadAgain();
  void OnStoreRegained();

  // Whether Follow() was called and all kinds are caught up.
  bool caught_up() const;

 private:
  struct Followed {
    std::unique_ptr<KindMirror> mirror;
    TimePoint read_began{};
  };

  // Whether every kind was read completely at least once.
  bool listed() const;
  void OnRead(const std::string& kind, TimePoint began);
  void ReportRead();

  boost::asio::io_context& io_;
  StoreCalls& store_;
  std::chrono::milliseconds history_;
  Handlers handlers_;
  bool following_ = false;
  std::map<std::string, Followed> mirrors_;  // by kind
  // Kept because calls in flight refer to them.
  std::vector<std::unique_ptr<KindMirror>> stopped_mirrors_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_MIRRORS_H_
