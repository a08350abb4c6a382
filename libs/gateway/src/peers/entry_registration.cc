#include "peers/entry_registration.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

constexpr std::chrono::milliseconds kWriteTimeout{2000};
constexpr std::chrono::milliseconds kRetryPause{500};

}  // namespace

EntryRegistration::EntryRegistration(boost::asio::io_context& io,
                                     StoreCalls& store, std::string entry,
                                     std::string address)
    : io_(io),
      store_(store),
      entry_(std::move(entry)),
      address_(std::move(address)) {}

void EntryRegistration::Register(uint64_t version) {
  if (!std::exchange(begun_, true)) Write(version);
}

void EntryRegistration::Write(uint64_t version) {
  store_.Call(platform::WriteRequest{.kind = kOwnKind,
                                     .name = NodeName(entry_),
                                     .if_version = version,
                                     .value = EncodeNode(address_)},
              MonotonicNow() + kWriteTimeout,
              [this, version](platform::StoreAnswer&& answer) {
                if (answer.outcome == platform::StoreOutcome::kOk) return;
                LogWarning("registration_failed",
                           {{"outcome", NameOf(answer.outcome)}});
                const uint64_t present =
                    answer.version != 0 ? answer.version : version;
                auto timer = std::make_shared<boost::asio::steady_timer>(
                    io_, kRetryPause);
                timer->async_wait([this, timer, present](const auto& ec) {
                  if (!ec) Write(present);
                });
              });
}

}  // namespace knapweedstile::gateway
