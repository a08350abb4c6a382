#ifndef KNAPWEEDSTILE_GATEWAY_RECORD_MIRRORS_H_
#define KNAPWEEDSTILE_GATEWAY_RECORD_MIRRORS_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/store_answer.h"
#include "store/kind_mirror.h"

namespace knapweedstile::gateway {

class StoreCalls;

// Follows the kinds of records that this gateway holds as if they were one.
class RecordMirrors {
 public:
  struct Handlers {
    std::function<void(std::vector<platform::StoredObject>&&)> listed;
    std::function<void(platform::StoredObject&&)> changed;
    // What existed at `began` is known, of all kinds.
    std::function<void(TimePoint began)> read_completed;
  };

  RecordMirrors(boost::asio::io_context& io, StoreCalls& store,
                std::chrono::milliseconds history, Handlers handlers);

  // From now on exactly these; the others' answers are dropped.
  void Follow(const std::vector<std::string>& kinds);
  // Each does what KindMirror's command of that name does, for all kinds.
  void SkipPause();
  void RenewWatch();
  void ReadAgain();
  void OnStoreRegained();

  // Whether kinds were ever named, and all of them are caught up with.
  bool caught_up() const;

 private:
  struct Followed {
    std::unique_ptr<KindMirror> mirror;
    TimePoint read_began{};
  };

  void OnRead(const std::string& kind, TimePoint began);
  void ReportRead();

  boost::asio::io_context& io_;
  StoreCalls& store_;
  std::chrono::milliseconds history_;
  Handlers handlers_;
  bool following_ = false;
  std::map<std::string, Followed> mirrors_;  // by kind
  // Calls in flight refer to their mirrors.
  std::vector<std::unique_ptr<KindMirror>> stopped_mirrors_;
};

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_RECORD_MIRRORS_H_
