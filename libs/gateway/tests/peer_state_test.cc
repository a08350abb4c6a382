#include "peers/peer_state.h"

#include <catch2/catch.hpp>
#include <cstdlib>

#include "base/clock.h"

namespace knapweedstile::gateway {
namespace {

PeerState MakeState() {
  return {
      .gateway = "entry-1",
      .availability_zone = "zone-a",
      .start = 1700000000123456789,
      .sequence = 7,
      .draining = true,
      .starts_no_items = true,
      .store_available = true,
      .store_regained_millis_ago = 900,
      .records = 12,
      .configuration = 40,
      .servers_revision = 99,
      .members_revision = 98,
      .takes_outlines = true,
      .usage = {{serving::ServerProcessId(~0ULL), {3, 1}},
                {serving::ServerProcessId(5), {0, 2}}},
      .running_items = {1, ~0ULL},
      .crashes = {{.fingerprint = 8, .breaks = 2}},
      .crashing_parts =
          {{.part = ~0ULL,
            .position = 1,
            .crashes = {{.process = serving::ServerProcessId(6),
                         .request = 9,
                         .sent_at = MonotonicNow() - std::chrono::seconds(3),
                         .ended_at = MonotonicNow() - std::chrono::seconds(2)}},
            .quarantined_until = MonotonicNow() + std::chrono::seconds(60)}},
      .server_ends = {{.process = serving::ServerProcessId(~0ULL),
                       .ended_at = MonotonicNow() - std::chrono::seconds(5)}},
      .observations = {{.process = serving::ServerProcessId(~0ULL),
                        .slowness = 1.5,
                        .attempts = 12,
                        .failures = 3}},
      .filled = {{"entry-2", {.start = 4, .count = 6}}},
      .returns = {{77, {0, 3, 1}}},
      .yield_instance = "i-1"};
}

}  // namespace

TEST_CASE("a decoded state equals the encoded one") {
  const PeerState sent = MakeState();
  const auto received = DecodePeerState(EncodePeerState(sent));
  REQUIRE(received);
  CHECK(received->gateway == sent.gateway);
  CHECK(received->availability_zone == sent.availability_zone);
  CHECK(received->start == sent.start);
  CHECK(received->sequence == sent.sequence);
  CHECK(received->draining);
  CHECK(received->starts_no_items);
  CHECK(received->store_available);
  CHECK_FALSE(received->partial);
  CHECK(received->store_regained_millis_ago == 900);
  CHECK(received->records == sent.records);
  CHECK(received->configuration == sent.configuration);
  CHECK(received->servers_revision == sent.servers_revision);
  CHECK(received->members_revision == sent.members_revision);
  CHECK(received->takes_outlines);
  CHECK(received->usage == sent.usage);
  CHECK(received->running_items == sent.running_items);
  REQUIRE(received->crashes.size() == 1);
  CHECK(received->crashes[0].fingerprint == 8);
  CHECK(received->crashes[0].breaks == 2);
  REQUIRE(received->crashing_parts.size() == 1);
  const auto& part = received->crashing_parts[0];
  CHECK(part.part == ~0ULL);
  CHECK(part.position == 1);
  REQUIRE(part.crashes.size() == 1);
  CHECK(part.crashes[0].process == serving::ServerProcessId(6));
  CHECK(part.crashes[0].request == 9);
  const Duration run = part.crashes[0].ended_at - part.crashes[0].sent_at;
  CHECK(std::abs(ToMillis(run) - 1000) <= 2);
  CHECK_FALSE(part.cleared_at);
  CHECK(part.quarantined_until > MonotonicNow() + std::chrono::seconds(50));
  REQUIRE(received->server_ends.size() == 1);
  const auto& end = received->server_ends[0];
  CHECK(end.process == serving::ServerProcessId(~0ULL));
  const Duration since_end = MonotonicNow() - end.ended_at;
  CHECK(std::abs(ToMillis(since_end) - 5000) <= 100);
  REQUIRE(received->observations.size() == 1);
  CHECK(received->observations[0].process == sent.observations[0].process);
  CHECK(received->observations[0].slowness == 1.5);
  CHECK(received->observations[0].attempts == 12);
  CHECK(received->observations[0].failures == 3);
  CHECK(received->filled.at("entry-2").start == 4);
  CHECK(received->filled.at("entry-2").count == 6);
  CHECK(received->returns == sent.returns);
  CHECK(received->yield_instance == "i-1");
}

// Guards against datagrams from unrelated senders and truncated ones: they must
// neither terminate the process nor change the state.
TEST_CASE("invalid bytes are not decoded as a state") {
  const std::string full = EncodePeerState(MakeState());
  for (size_t size = 0; size < full.size(); ++size) {
    const auto truncated = DecodePeerState(full.substr(0, size));
    // Protobuf has no end marker: a message cut between two fields is a valid
    // shorter message.
    if (truncated) CHECK(truncated->gateway == "entry-1");
  }
  CHECK_FALSE(DecodePeerState(""));
  CHECK_FALSE(DecodePeerState("{\"entry\":\"entry-1\"}"));
  CHECK_FALSE(DecodePeerState(std::string(2000, '\xff')));
}

// Guards against a trial that is due and is put off by each report of it.
TEST_CASE("the time of a part's trial is decoded, also when it is past") {
  PeerState state{.gateway = "entry-1"};
  const TimePoint now = MonotonicNow();
  state.crashing_parts = {
      {.part = 1,
       .quarantined_until = now + std::chrono::seconds(60),
       .next_trial_at = now - std::chrono::seconds(9),
       .failed_trials = 2},
      {.part = 2,
       .quarantined_until = now + std::chrono::seconds(60),
       .next_trial_at = now + std::chrono::seconds(20)},
      {.part = 3, .quarantined_until = now + std::chrono::seconds(60)}};
  const auto received = DecodePeerState(EncodePeerState(state));
  REQUIRE(received);
  const auto& parts = received->crashing_parts;
  REQUIRE(parts.size() == 3);
  const auto millis_after = [now](const auto& part) {
    return ToMillis(part.next_trial_at.value_or(kNever) - now);
  };
  CHECK(std::abs(millis_after(parts[0]) + 9000) <= 100);
  CHECK(parts[0].failed_trials == 2);
  CHECK(std::abs(millis_after(parts[1]) - 20000) <= 100);
  CHECK(parts[1].failed_trials == 0);
  CHECK_FALSE(parts[2].next_trial_at);
}

TEST_CASE("the admitted requests of workspaces are decoded") {
  PeerState state{.gateway = "entry-1"};
  state.rate.uptime = std::chrono::milliseconds(4200);
  state.rate.fleet_size = 23;
  state.rate.admitted = {{7, {5, 9, 13, 20, 24}}, {9, {0, 0, 0, 0, 1}}};
  state.rate.previous_processes = {{3, 7, 12}};
  state.rate.unreachable = {11};
  const auto read = DecodePeerState(EncodePeerState(state));
  REQUIRE(read);
  CHECK(read->rate.uptime == state.rate.uptime);
  CHECK(read->rate.fleet_size == 23);
  REQUIRE(read->rate.admitted.size() == 2);
  CHECK(read->rate.admitted[0].workspace == 7);
  CHECK(read->rate.admitted[0].in_spans == state.rate.admitted[0].in_spans);
  CHECK(read->rate.admitted[1].in_window() == 1);
  REQUIRE(read->rate.previous_processes.size() == 1);
  CHECK(read->rate.previous_processes[0].gateway == 3);
  CHECK(read->rate.previous_processes[0].in_window == 12);
  CHECK(read->rate.unreachable == state.rate.unreachable);
}

}  // namespace knapweedstile::gateway
