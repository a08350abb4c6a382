#include "peers/configuration_link.h"

#include <boost/json.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "peers/peer_client_settings.h"
#include "store/stored_object_json.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

constexpr char kTarget[] = "/configuration";
// Changes reach most gateways by their readers within some ten milliseconds.
constexpr std::chrono::milliseconds kExpectedDelay{300};
// A peer responds within milliseconds, unless it is cut off or stands still.
constexpr std::chrono::milliseconds kNextAttempt{250};
// A configuration of hundreds of kilobytes takes most of a second on the link
// of a small VM.
constexpr std::chrono::milliseconds kTimeout{2000};
// On a link that is full of batch and streams packets wait for seconds.
constexpr std::chrono::milliseconds kPatientTimeout{6000};
constexpr std::chrono::milliseconds kPatientConnectTimeout{3000};
// More transfers at once would slow each other down on such a link.
constexpr size_t kMaxAttemptsAtOnce = 3;
// Gateways send their state several times a second.
constexpr std::chrono::milliseconds kAdvertisementLifetime{1500};

http::ClientSettings PatientClientSettings() {
  http::ClientSettings settings = PeerClientSettings();
  settings.connect_timeout = kPatientConnectTimeout;
  settings.unacknowledged_timeout = kPatientTimeout;
  return settings;
}

}  // namespace

ConfigurationLink::ConfigurationLink(boost::asio::io_context& io, uint64_t seed,
                                     Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      rng_(seed),
      client_(io, PeerClientSettings(),
              [this](http::ClientEvent&& event) {
                OnEvent(std::move(event), /*patient=*/false);
              }),
      patient_client_(io, PatientClientSettings(),
                      [this](http::ClientEvent&& event) {
                        OnEvent(std::move(event), /*patient=*/true);
                      }) {}

bool ConfigurationLink::IsTarget(std::string_view target) {
  return target == kTarget;
}

void ConfigurationLink::OnAdvertised(const std::string& gateway,
                                     uint64_t version, TimePoint now) {
  advertised_[gateway] = {version, now};
}

std::string ConfigurationLink::ChooseSource(uint64_t version) {
  std::vector<std::string> sources;
  std::vector<std::string> asked_before;
  for (const auto& [gateway, advertisement] : advertised_) {
    if (advertisement.version <= version) continue;
    (asked_.contains(gateway) ? asked_before : sources).push_back(gateway);
  }
  if (sources.empty()) {
    asked_.clear();
    sources = std::move(asked_before);
  }
  if (sources.empty()) return {};
  return sources[UniformBelow(rng_, sources.size())];
}

void ConfigurationLink::Run(uint64_t version, TimePoint now) {
  std::erase_if(advertised_, [now](const auto& element) {
    return now - element.second.received_at > kAdvertisementLifetime;
  });
  const std::string source = ChooseSource(version);
  if (source.empty()) {
    ask_at_ = kNever;
    attempt_failed_ = false;
    return;
  }
  if (ask_at_ == kNever) ask_at_ = now + kExpectedDelay;
  if (now < ask_at_) return;
  const bool patient = attempt_failed_ && pending_patient_.empty();
  if (!patient && pending_.size() >= kMaxAttemptsAtOnce) return;
  ask_at_ = now + kNextAttempt;
  asked_.insert(source);
  Ask(source, patient, now);
}

void ConfigurationLink::Ask(const std::string& gateway, bool patient,
                            TimePoint now) {
  const std::string address = callbacks_.address_of(gateway);
  if (address.empty()) return;
  const ExchangeId exchange(++last_exchange_);
  (patient ? pending_patient_ : pending_).emplace(exchange, gateway);
  http::ClientRequest request{
      .exchange = exchange,
      .address = address,
      .method = "GET",
      .target = kTarget,
      .deadline = now + (patient ? kPatientTimeout : kTimeout)};
  request.headers.Add("Host", address);
  (patient ? patient_client_ : client_).Send(std::move(request));
}

void ConfigurationLink::OnEvent(http::ClientEvent&& event, bool patient) {
  const auto* end = std::get_if<http::EndEvent>(&event);
  if (!end) return;
  Pending& pending = patient ? pending_patient_ : pending_;
  const auto asked = pending.extract(end->exchange);
  const std::string gateway = asked.empty() ? "-" : asked.mapped();
  if (end->outcome != http::ClientOutcome::kComplete) {
    attempt_failed_ = true;
    return LogInfo("configuration_not_fetched",
                   {{"entry", gateway},
                    {"patient", patient},
                    {"outcome", NameOf(end->outcome)},
                    {"reason", end->message}});
  }
  json::error_code ec;
  const json::value parsed = json::parse(end->body, ec);
  // Boost.JSON throws on a missing field or one of another type. Gateways of
  // older versions respond with an empty object.
  try {
    if (ec) throw boost::system::system_error(ec);
    for (const platform::StoredObject& object :
         ObjectsFromJson(parsed.as_object().at("objects").as_array()))
      callbacks_.received(object);
  } catch (const std::exception& error) {
    LogInfo(
        "configuration_not_fetched",
        {{"entry", gateway}, {"outcome", "invalid"}, {"reason", error.what()}});
  }
}

std::string ConfigurationLink::Response() const {
  std::vector<platform::StoredObject> objects;
  if (!in_force_.value.empty()) objects.push_back(in_force_);
  return json::serialize(json::object{{"objects", ToJson(objects)}});
}

}  // namespace knapweedstile::gateway
