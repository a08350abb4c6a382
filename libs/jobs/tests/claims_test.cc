// At most one run of a call that must not be repeated.

#include "jobs/claims.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "jobs_harness.h"

namespace knapweedstile::jobs {

namespace {

// One sending through some entry.
struct Sending {
  std::shared_ptr<Claim> claim;
  bool dispatched = false;
  bool entry_died = false;
  TimePoint ends_at = kNever;  // of the run at the backend server
};

// Callers that resend one keyed call through several entries, with a backend
// server that counts its runs.
class ClaimRun {
 public:
  ClaimRun(uint64_t seed, const ClaimSettings& settings)
      : harness_(seed), settings_(settings) {
    harness_.faults = {150, 150, 100, 50};
  }

  void Go(int sendings) {
    for (int i = 0; i < sendings; ++i) {
      Send();
      harness_.RunFor(milliseconds(UniformBelow(harness_.rng(), 4000)));
      Turn();
    }
    for (int i = 0; i < 20000; ++i) {
      harness_.Step();
      Turn();
    }
  }

  uint32_t runs() const { return runs_; }
  uint32_t answered() const { return answered_; }
  uint32_t wrong_replays() const { return wrong_replays_; }
  uint32_t verdicts(ClaimVerdict verdict) const {
    const auto it = verdicts_.find(verdict);
    return it == verdicts_.end() ? 0 : it->second;
  }

 private:
  void Send() {
    ClaimRequest request{"ws", "key", "hash",
                         "entry/" + std::to_string(sendings_.size()),
                         harness_.now() + seconds(6)};
    Sending sending;
    sending.claim =
        std::make_shared<Claim>(settings_, request, harness_.rng()());
    sending.claim->Start(harness_.now());
    sendings_.push_back(std::move(sending));
  }
  void Turn() {
    for (Sending& sending : sendings_) {
      if (sending.entry_died) continue;
      harness_.SendCallsOf(sending.claim);
      sending.claim->Tick(harness_.now());
      if (sending.claim->verdict() && !sending.dispatched) Judge(sending);
      if (harness_.now() >= sending.ends_at) End(sending);
      // A process may die at any point; what it had dispatched runs on.
      if (harness_.Chance(1) && harness_.Chance(100)) sending.entry_died = true;
    }
  }
  void Judge(Sending& sending) {
    sending.dispatched = true;
    const ClaimVerdict verdict = *sending.claim->verdict();
    ++verdicts_[verdict];
    if (verdict == ClaimVerdict::kReplay) {
      const ClaimAnswer& replay = sending.claim->replay();
      if (replay.status != 200 || replay.body != "\x01ran") ++wrong_replays_;
    }
    if (verdict != ClaimVerdict::kDispatch) return;
    // One in four is refused by the sidecar before its server saw it.
    if (harness_.Chance(250)) {
      sending.claim->OnNotRun(harness_.now());
    } else {
      ++runs_;
      sending.ends_at = harness_.now() + milliseconds(300);
    }
  }
  void End(Sending& sending) {
    sending.ends_at = kNever;
    if (harness_.Chance(200)) {
      sending.claim->OnOutcomeUnknown();
      return;
    }
    ++answered_;
    sending.claim->OnAnswered({200, {{"X", "y"}}, "\x01ran", true},
                              harness_.now());
  }

  Harness harness_;
  ClaimSettings settings_;
  std::deque<Sending> sendings_;
  std::map<ClaimVerdict, uint32_t> verdicts_;
  uint32_t runs_ = 0;
  uint32_t answered_ = 0;
  uint32_t wrong_replays_ = 0;
};

uint32_t MostRuns(const ClaimSettings& settings, uint64_t seeds) {
  uint32_t most = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    ClaimRun run(seed, settings);
    run.Go(12);
    most = std::max(most, run.runs());
  }
  return most;
}

}  // namespace

// Story: a front desk confirms a booking; the confirmation hangs, so the client
// sends it again and again, through whichever entry the balancer picks. Writes
// and answers of the platform get lost or come late, entries die. Two
// confirmations would bill the owner twice.
TEST_CASE("of any number of resends under one key one runs") {
  uint32_t dispatched = 0;
  uint32_t replayed = 0;
  uint32_t unknown = 0;
  uint32_t not_run = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    ClaimRun run(seed, ClaimSettings{});
    run.Go(12);
    CAPTURE(seed);
    REQUIRE(run.runs() <= 1);
    REQUIRE(run.wrong_replays() == 0);
    if (run.answered() == 0) {
      REQUIRE(run.verdicts(ClaimVerdict::kReplay) == 0);
    }
    dispatched += run.verdicts(ClaimVerdict::kDispatch);
    replayed += run.verdicts(ClaimVerdict::kReplay);
    unknown += run.verdicts(ClaimVerdict::kOutcomeUnknown);
    not_run += run.verdicts(ClaimVerdict::kNotRun);
  }
  // Each way out was taken, so the run says something about each.
  REQUIRE(dispatched > 30);
  REQUIRE(replayed > 30);
  REQUIRE(unknown > 10);
  REQUIRE(not_run > 0);
}

// The long form, for nightly runs: jobs_tests "[nightly]".
TEST_CASE("of any number of resends one runs, over many seeds", "[.nightly]") {
  for (uint64_t seed = 1000; seed < 4000; ++seed) {
    ClaimRun run(seed, ClaimSettings{});
    run.Go(12);
    CAPTURE(seed);
    CHECK(run.runs() <= 1);
    CHECK(run.wrong_replays() == 0);
  }
}

TEST_CASE("without the guards of a claim a call runs twice") {
  ClaimSettings no_writer;
  no_writer.compare_writer = false;
  REQUIRE(MostRuns(no_writer, 40) > 1);
  ClaimSettings no_respect;
  no_respect.respect_other_claims = false;
  REQUIRE(MostRuns(no_respect, 40) > 1);
}

// Story: an entry dispatched a call and died. Nobody knows whether it ran. A
// resend hours later must hear exactly that, not "not run", and not run it.
TEST_CASE("a claim whose holder is gone stays unknown") {
  Harness harness(1);
  const auto send = [&](const std::string& writer, const std::string& hash) {
    Claim claim({}, {"ws", "key", hash, writer, harness.now() + seconds(5)}, 1);
    claim.Start(harness.now());
    while (!claim.verdict()) {
      for (const auto& call : claim.TakeCalls()) {
        claim.OnAnswer(harness.store.Execute(call), harness.now());
      }
    }
    return *claim.verdict();
  };
  REQUIRE(send("first", "h") == ClaimVerdict::kDispatch);
  harness.RunFor(seconds(100));
  REQUIRE(send("second", "h") == ClaimVerdict::kOutcomeUnknown);
  REQUIRE(send("third", "other") == ClaimVerdict::kKeyReused);
}

// Story: the claim's write is cut off and the caller's deadline passes. The
// caller is told "not run", truly. The write arrives after all; if it then held
// the key, no resend could ever run.
TEST_CASE("a claim that was given up does not block the key") {
  Harness harness(1);
  const TimePoint now = harness.now();
  Claim claim({}, {"ws", "key", "h", "first", now + seconds(1)}, 1);
  claim.Start(now);
  const auto late = claim.TakeCalls();
  claim.Tick(now + seconds(1));
  REQUIRE(claim.verdict() == ClaimVerdict::kNotRun);
  REQUIRE_FALSE(claim.finished());
  harness.store.Execute(late[0]);
  for (int i = 0; i < 10 && !claim.finished(); ++i) {
    for (const auto& call : claim.TakeCalls()) {
      claim.OnAnswer(harness.store.Execute(call), now + seconds(1));
    }
  }
  REQUIRE(claim.finished());
  const auto* object = harness.store.Find(kClaimKind, ClaimName("ws", "key"));
  REQUIRE(DecodeClaimRecord(object->value)->state == ClaimState::kReleased);
}

TEST_CASE("any answer survives the store") {
  const bool held =
      rc::check("decode undoes encode", [](const std::string& body) {
        ClaimRecord record{"ws", "k", "h", ClaimState::kDone, "w", {}};
        record.answer = {201, {{"Content-Type", "x/y"}}, body, true};
        const auto decoded = DecodeClaimRecord(Encode(record));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->answer.body == body);
        RC_ASSERT(decoded->answer.headers == record.answer.headers);
      });
  REQUIRE(held);
}

}  // namespace knapweedstile::jobs
