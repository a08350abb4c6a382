#include "peers/gateway_registration.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "peers/member_records.h"
#include "platform/store_request.h"
#include "store/store_calls.h"

namespace knapweedstile::gateway {
namespace {

constexpr std::chrono::milliseconds kWriteTimeout{2000};
constexpr std::chrono::milliseconds kRetryInterval{500};

}  // namespace

GatewayRegistration::GatewayRegistration(boost::asio::io_context& io,
                                         StoreCalls& store, std::string gateway,
                                         const cluster::Member& own)
    : io_(io),
      store_(store),
      gateway_(std::move(gateway)),
      value_(EncodeMember(own)) {}

void GatewayRegistration::Register(uint64_t version, const std::string& value) {
  if (std::exchange(started_, true)) return;
  if (version == 0 || value != value_) Write(version);
}

void GatewayRegistration::Write(uint64_t version) {
  store_.Call(
      platform::WriteRequest{.kind = kMemberKind,
                             .name = MemberRecordName(gateway_),
                             .if_version = version,
                             .value = value_},
      MonotonicNow() + kWriteTimeout,
      [this, version](platform::StoreAnswer&& answer) {
        if (answer.outcome == platform::StoreOutcome::kOk) return;
        LogWarning("registration_failed",
                   {{"outcome", NameOf(answer.outcome)}});
        const uint64_t current_version =
            answer.version != 0 ? answer.version : version;
        auto timer =
            std::make_shared<boost::asio::steady_timer>(io_, kRetryInterval);
        timer->async_wait([this, timer, current_version](const auto& ec) {
          if (!ec) Write(current_version);
        });
      });
}

}  // namespace knapweedstile::gateway
