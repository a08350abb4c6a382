#include "peers/peer_state.h"

#include <algorithm>

#include "base/clock.h"
#include "proto/peer_state.pb.h"

namespace knapweedstile::gateway {
namespace {

// Returns false if the parallel lists differ in length.
bool ReadUsage(const wire::PeerStateMessage& message, PeerState& state) {
  const int count = message.usage_process_size();
  if (message.usage_online_size() != count ||
      message.usage_batch_size() != count) {
    return false;
  }
  for (int i = 0; i < count; ++i) {
    state.usage[serving::ServerProcessId(message.usage_process(i))] = {
        message.usage_online(i), message.usage_batch(i)};
  }
  return true;
}

constexpr double kSlownessSteps = 1000;

void WriteObservations(
    const std::vector<serving::ServerObservation>& observations,
    wire::PeerStateMessage& message) {
  for (const serving::ServerObservation& observation : observations) {
    wire::ObservationMessage& written = *message.add_observations();
    written.set_process(observation.process.value());
    written.set_slowness(
        static_cast<uint32_t>(observation.slowness * kSlownessSteps));
    written.set_attempts(observation.attempts);
    written.set_failures(observation.failures);
  }
}

void ReadObservations(const wire::PeerStateMessage& message, PeerState& state) {
  for (const wire::ObservationMessage& read : message.observations()) {
    state.observations.push_back(
        {.process = serving::ServerProcessId(read.process()),
         .slowness = read.slowness() / kSlownessSteps,
         .attempts = read.attempts(),
         .failures = std::min(read.failures(), read.attempts())});
  }
}

// Times further away are not believed.
constexpr int64_t kMaxTrialMillis = 3'600'000;

uint32_t MillisBetween(TimePoint from, TimePoint to) {
  return static_cast<uint32_t>(std::max<int64_t>(0, ToMillis(to - from)));
}

void WriteCrashingParts(const std::vector<serving::CrashingPartReport>& reports,
                        wire::PeerStateMessage& message) {
  const TimePoint now = MonotonicNow();
  for (const serving::CrashingPartReport& report : reports) {
    wire::CrashingPartMessage& written = *message.add_crashing_parts();
    written.set_part(report.part);
    written.set_position(report.position);
    for (const serving::ServerCrash& crash : report.crashes) {
      written.add_process(crash.process.value());
      written.add_request(crash.request);
      written.add_sent_millis_ago(MillisBetween(crash.sent_at, now));
      written.add_ended_millis_ago(MillisBetween(crash.ended_at, now));
    }
    if (report.cleared_at) {
      written.set_cleared_millis_ago(MillisBetween(*report.cleared_at, now) +
                                     1);
    }
    if (report.quarantined_until) {
      written.set_quarantine_millis_left(
          MillisBetween(now, *report.quarantined_until));
    }
    if (report.next_trial_at)
      written.set_trial_in_millis(ToMillis(*report.next_trial_at - now));
    written.set_failed_trials(report.failed_trials);
  }
}

// Returns false if the parallel lists differ in length.
bool ReadCrashingParts(const wire::PeerStateMessage& message,
                       PeerState& state) {
  const TimePoint now = MonotonicNow();
  const auto ago = [now](uint32_t millis) {
    return now - std::chrono::milliseconds(millis);
  };
  for (const wire::CrashingPartMessage& read : message.crashing_parts()) {
    serving::CrashingPartReport report{.part = read.part(),
                                       .position = read.position()};
    const int count = read.process_size();
    if (read.request_size() != count || read.sent_millis_ago_size() != count ||
        read.ended_millis_ago_size() != count) {
      return false;
    }
    for (int i = 0; i < count; ++i) {
      report.crashes.push_back(
          {.process = serving::ServerProcessId(read.process(i)),
           .request = read.request(i),
           .sent_at = ago(read.sent_millis_ago(i)),
           .ended_at = ago(read.ended_millis_ago(i))});
    }
    if (read.cleared_millis_ago() != 0)
      report.cleared_at = ago(read.cleared_millis_ago() - 1);
    if (read.quarantine_millis_left() != 0) {
      report.quarantined_until =
          now + std::chrono::milliseconds(read.quarantine_millis_left());
    }
    if (read.has_trial_in_millis()) {
      const int64_t millis =
          std::clamp(read.trial_in_millis(), -kMaxTrialMillis, kMaxTrialMillis);
      report.next_trial_at = now + std::chrono::milliseconds(millis);
    }
    report.failed_trials = read.failed_trials();
    state.crashing_parts.push_back(std::move(report));
  }
  return true;
}

void WriteServerEnds(const std::vector<serving::ServerEnd>& ends,
                     wire::PeerStateMessage& message) {
  const TimePoint now = MonotonicNow();
  for (const serving::ServerEnd& end : ends) {
    message.add_ended_process(end.process.value());
    message.add_process_ended_millis_ago(MillisBetween(end.ended_at, now));
  }
}

// Returns false if the parallel lists differ in length.
bool ReadServerEnds(const wire::PeerStateMessage& message, PeerState& state) {
  const TimePoint now = MonotonicNow();
  const int count = message.ended_process_size();
  if (message.process_ended_millis_ago_size() != count) return false;
  for (int i = 0; i < count; ++i) {
    const std::chrono::milliseconds ago(message.process_ended_millis_ago(i));
    state.server_ends.push_back(
        {.process = serving::ServerProcessId(message.ended_process(i)),
         .ended_at = now - ago});
  }
  return true;
}

void WriteRate(const workspaces::RateReport& rate, wire::RateMessage& message) {
  message.set_uptime_millis(static_cast<uint64_t>(ToMillis(rate.uptime)));
  message.set_entries(rate.fleet_size);
  for (const workspaces::AdmittedCount& count : rate.admitted) {
    message.add_workspace(count.workspace);
    for (const uint32_t in_span : count.in_spans) message.add_in_spans(in_span);
  }
  for (const workspaces::PreviousProcessCount& former :
       rate.previous_processes) {
    message.add_former_entry(former.gateway);
    message.add_former_workspace(former.workspace);
    message.add_former_in_window(former.in_window);
  }
  for (const workspaces::GatewayHash gateway : rate.unreachable) {
    message.add_unreachable(gateway);
  }
}

// Returns false if the parallel lists differ in length.
bool ReadRate(const wire::RateMessage& message, workspaces::RateReport& rate) {
  rate.uptime = std::chrono::milliseconds(message.uptime_millis());
  rate.fleet_size = message.entries();
  constexpr int kSpans = workspaces::kRateSpans;
  const int count = message.workspace_size();
  const int former = message.former_entry_size();
  if (message.in_spans_size() != count * kSpans ||
      message.former_workspace_size() != former ||
      message.former_in_window_size() != former) {
    return false;
  }
  for (int i = 0; i < count; ++i) {
    workspaces::AdmittedCount admitted{.workspace = message.workspace(i)};
    for (int span = 0; span < kSpans; ++span) {
      admitted.in_spans[span] = message.in_spans(i * kSpans + span);
    }
    rate.admitted.push_back(admitted);
  }
  for (int i = 0; i < former; ++i) {
    rate.previous_processes.push_back({message.former_entry(i),
                                       message.former_workspace(i),
                                       message.former_in_window(i)});
  }
  rate.unreachable.assign(message.unreachable().begin(),
                          message.unreachable().end());
  return true;
}

constexpr double kHeadroomSteps = 1000;

// Zero stands for "unknown", so one is added.
uint32_t EncodeHeadroom(double headroom) {
  const double share = std::clamp(headroom, 0.0, 1.0);
  return static_cast<uint32_t>(share * kHeadroomSteps) + 1;
}

std::optional<double> DecodeHeadroom(uint32_t encoded) {
  if (encoded == 0) return std::nullopt;
  return std::min(1.0, (encoded - 1) / kHeadroomSteps);
}

}  // namespace

std::string EncodePeerState(const PeerState& state) {
  wire::PeerStateMessage message;
  message.set_entry(state.gateway);
  message.set_availability_zone(state.availability_zone);
  message.set_start(state.start);
  message.set_sequence(state.sequence);
  message.set_draining(state.draining);
  message.set_starts_no_items(state.starts_no_items);
  message.set_store_available(state.store_available);
  message.set_store_regained_millis_ago(state.store_regained_millis_ago);
  message.set_records(state.records);
  message.set_configuration(state.configuration);
  message.set_servers_revision(state.servers_revision);
  message.set_partial(state.partial);
  message.set_summary(state.summary);
  message.set_members_revision(state.members_revision);
  message.set_takes_outlines(state.takes_outlines);
  if (state.headroom) message.set_headroom(EncodeHeadroom(*state.headroom));
  for (const auto& [process, counts] : state.usage) {
    message.add_usage_process(process.value());
    message.add_usage_online(counts.online);
    message.add_usage_batch(counts.batch);
  }
  for (const uint64_t item : state.running_items) {
    message.add_running_items(item);
  }
  for (const serving::CrashCount& count : state.crashes) {
    wire::CrashCountMessage& crash = *message.add_crashes();
    crash.set_fingerprint(count.fingerprint);
    crash.set_breaks(count.breaks);
  }
  WriteCrashingParts(state.crashing_parts, message);
  WriteServerEnds(state.server_ends, message);
  WriteObservations(state.observations, message);
  for (const auto& [gateway, count] : state.filled) {
    wire::FilledMessage& filled = *message.add_filled();
    filled.set_entry(gateway);
    filled.set_start(count.start);
    filled.set_count(count.count);
  }
  for (const auto& [service, in_spans] : state.returns) {
    wire::ReturnsMessage& returns = *message.add_returns();
    returns.set_service(service);
    returns.mutable_in_spans()->Add(in_spans.begin(), in_spans.end());
  }
  WriteRate(state.rate, *message.mutable_rate());
  message.set_yield_instance(state.yield_instance);
  return message.SerializeAsString();
}

std::optional<PeerState> DecodePeerState(std::string_view datagram) {
  wire::PeerStateMessage message;
  const int size = static_cast<int>(datagram.size());
  if (!message.ParseFromArray(datagram.data(), size)) return std::nullopt;
  // Bytes from an unrelated sender may parse as an empty message.
  if (message.entry().empty()) return std::nullopt;
  PeerState state{
      .gateway = message.entry(),
      .availability_zone = message.availability_zone(),
      .start = message.start(),
      .sequence = message.sequence(),
      .draining = message.draining(),
      .starts_no_items = message.starts_no_items(),
      .store_available = message.store_available(),
      .store_regained_millis_ago = message.store_regained_millis_ago(),
      .records = message.records(),
      .configuration = message.configuration(),
      .servers_revision = message.servers_revision(),
      .members_revision = message.members_revision(),
      .headroom = DecodeHeadroom(message.headroom()),
      .takes_outlines = message.takes_outlines(),
      .partial = message.partial(),
      .summary = message.summary(),
      .yield_instance = message.yield_instance()};
  if (!ReadUsage(message, state)) return std::nullopt;
  if (!ReadRate(message.rate(), state.rate)) return std::nullopt;
  if (!ReadCrashingParts(message, state)) return std::nullopt;
  if (!ReadServerEnds(message, state)) return std::nullopt;
  state.running_items.assign(message.running_items().begin(),
                             message.running_items().end());
  for (const wire::CrashCountMessage& crash : message.crashes()) {
    state.crashes.push_back({crash.fingerprint(), crash.breaks()});
  }
  ReadObservations(message, state);
  for (const wire::ReturnsMessage& returns : message.returns()) {
    state.returns[returns.service()].assign(returns.in_spans().begin(),
                                            returns.in_spans().end());
  }
  for (const wire::FilledMessage& filled : message.filled()) {
    state.filled[filled.entry()] = {filled.start(), filled.count()};
  }
  return state;
}

}  // namespace knapweedstile::gateway
