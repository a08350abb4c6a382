#include <algorithm>
#include <bit>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/rng.h"
#include "serving/crashing_parts.h"

namespace knapweedstile::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);
constexpr milliseconds kStep{10};
constexpr milliseconds kReportInterval{250};
constexpr milliseconds kMaxReportDelay{300};
constexpr milliseconds kContact{3000};
constexpr seconds kQuietTime{2};  // before the first crash
constexpr uint64_t kGuilty = 66;
constexpr uint64_t kParts = 3;
// One in 2^kRarest prompts has the rarest part at a given place.
constexpr int kRarest = 7;

struct Settings {
  uint64_t seed = 1;
  size_t gateways = 3;
  size_t servers = 6;
  double sound_per_s = 25;
  double guilty_per_s = 0;
  size_t items = 2;                // batch items that run on each server
  bool waves = false;              // two series, half to all servers each
  double other_crashes_per_s = 0;  // of single servers
  bool restart = false;            // of one gateway, in the middle of the waves
};

struct Outcome {
  int crashes_by_guilty = 0;
  int late = 0;  // guilty requests sent after the bound
  // Of sound parts that did not run on all servers of a wave: nothing tells the
  // others from guilty ones.
  int quarantined = 0;
  int sound_rejected = 0;
};

// Gateways, servers, requests and batch items in steps of 10 ms, and waves in
// which many servers crash at one moment. Reports between gateways are delayed.
class Waves {
 public:
  explicit Waves(const Settings& settings)
      : settings_(settings), rng_(settings.seed), servers_(settings.servers) {
    for (size_t i = 0; i < settings.gateways; ++i)
      gateways_.emplace_back(settings.seed * 1000 + i);
    for (Server& server : servers_) server.process = NextProcess();
    if (settings.waves) PlanWaves();
  }

  Outcome Run(seconds time) {
    for (const TimePoint until = now_ + time; now_ < until; now_ += kStep) {
      if (Happens(settings_.sound_per_s)) Arrive(SoundPrompt());
      if (now_ >= kNow + kQuietTime) Crashes();
      for (Server& server : servers_) Advance(server);
      Exchange();
      for (CrashingParts& gateway : gateways_) {
        for (const uint64_t part : gateway.Update(now_)) {
          outcome_.quarantined += IsWronglyAccused(part);
        }
      }
    }
    return outcome_;
  }

 private:
  struct Running {
    std::vector<uint64_t> parts;
    size_t gateway = 0;
    uint64_t id = 0;
    TimePoint sent_at;
    TimePoint ends_at;
  };
  struct Server {
    ServerProcessId process;
    TimePoint down_until;
    std::vector<Running> running;
  };
  struct Datagram {
    TimePoint arrives_at;
    size_t to = 0;
    std::vector<CrashingPartReport> parts;
    std::vector<ServerEnd> ends;
  };

  bool Happens(double per_s) { return UniformUnit(rng_) < per_s * 0.01; }
  milliseconds Between(int64_t least, int64_t most) {
    return milliseconds(
        least + static_cast<int64_t>(UniformBelow(rng_, most - least + 1)));
  }
  ServerProcessId NextProcess() { return ServerProcessId(++last_id_); }

  void PlanWaves() {
    for (int series = 0; series < 2; ++series) {
      TimePoint at = kNow + kQuietTime + Between(0, 4000);
      const uint64_t count = 2 + UniformBelow(rng_, 5);
      for (uint64_t i = 0; i < count; ++i) {
        waves_.push_back(at);
        at += Between(800, 3000);
      }
    }
  }

  // Each prompt has a part of its own besides.
  std::vector<uint64_t> SoundPrompt() {
    std::vector<uint64_t> parts;
    const uint64_t count = UniformBelow(rng_, kParts + 1);
    for (uint64_t place = 1; place <= count; ++place) {
      const int rarity = std::countr_zero(rng_() | (uint64_t{1} << kRarest));
      parts.push_back(place * 100 + static_cast<uint64_t>(rarity));
    }
    return parts;
  }

  void Crashes() {
    if (Happens(settings_.guilty_per_s)) Arrive({100, kGuilty});
    const bool wave = std::any_of(
        waves_.begin(), waves_.end(),
        [this](TimePoint at) { return at > now_ - kStep && at <= now_; });
    if (wave) CrashHalfToAll();
    if (Happens(settings_.other_crashes_per_s))
      Crash(servers_[UniformBelow(rng_, servers_.size())]);
  }

  void CrashHalfToAll() {
    const size_t half = servers_.size() / 2;
    const size_t count = half + UniformBelow(rng_, servers_.size() - half + 1);
    const size_t first = UniformBelow(rng_, servers_.size());
    std::map<uint64_t, std::set<size_t>> servers_by_part;
    std::vector<size_t> up;
    for (size_t i = 0; i < count; ++i) {
      const size_t server = (first + i) % servers_.size();
      if (servers_[server].down_until > now_) continue;
      up.push_back(server);
      for (const Running& r : servers_[server].running) {
        for (const uint64_t part : r.parts)
          servers_by_part[part].insert(server);
      }
    }
    for (const size_t server : up) Crash(servers_[server]);
    for (const auto& [part, on] : servers_by_part) {
      if (up.size() >= half && on.size() == up.size()) on_all_.insert(part);
    }
    if (std::exchange(settings_.restart, false))
      gateways_[0] = CrashingParts(settings_.seed);
  }

  bool IsWronglyAccused(uint64_t part) const {
    return part != kGuilty && !on_all_.contains(part);
  }

  void Arrive(std::vector<uint64_t> parts) {
    const size_t index = UniformBelow(rng_, gateways_.size());
    CrashingParts& gateway = gateways_[index];
    const bool guilty =
        std::find(parts.begin(), parts.end(), kGuilty) != parts.end();
    const auto quarantined = gateway.FindQuarantined(parts);
    if (quarantined && !gateway.MayTry(parts, now_)) {
      gateway.OnRejected(*quarantined, now_);
      outcome_.sound_rejected += IsWronglyAccused(*quarantined);
      return;
    }
    std::vector<Server*> up;
    for (Server& server : servers_) {
      if (server.down_until <= now_) up.push_back(&server);
    }
    if (up.empty()) return;
    if (guilty && outcome_.crashes_by_guilty >= 5 &&
        now_ > fifth_at_ + kContact)
      ++outcome_.late;
    if (quarantined) gateway.OnTrialSent(parts, now_);
    const milliseconds duration =
        guilty ? milliseconds(80)
               : (UniformBelow(rng_, 2) == 0 ? Between(30, 100)
                                             : Between(1500, 2200));
    up[UniformBelow(rng_, up.size())]->running.push_back(
        {std::move(parts), index, ++last_id_, now_, now_ + duration});
  }

  void Advance(Server& server) {
    const auto ended = [this](const Running& r) { return r.ends_at <= now_; };
    const bool crashes = std::any_of(
        server.running.begin(), server.running.end(), [&](const Running& r) {
          return ended(r) && std::find(r.parts.begin(), r.parts.end(),
                                       kGuilty) != r.parts.end();
        });
    if (crashes) {
      if (++outcome_.crashes_by_guilty == 5) fifth_at_ = now_;
      return Crash(server);
    }
    std::erase_if(server.running, [&](const Running& r) {
      if (!ended(r)) return false;
      gateways_[r.gateway].OnAnswered(r.parts, now_);
      return true;
    });
  }

  void Crash(Server& server) {
    if (server.down_until > now_) return;
    for (const Running& r : server.running) {
      gateways_[r.gateway].OnCrash(r.parts, {.process = server.process,
                                             .request = r.id,
                                             .sent_at = r.sent_at,
                                             .ended_at = now_});
    }
    for (size_t i = 0; i < settings_.items; ++i) {
      gateways_[UniformBelow(rng_, gateways_.size())].OnServerEnded(
          server.process, now_);
    }
    server = {.process = NextProcess(),
              .down_until = now_ + Between(200, 1500)};
  }

  void Exchange() {
    std::erase_if(datagrams_, [this](const Datagram& datagram) {
      if (datagram.arrives_at > now_) return false;
      for (const auto& report : datagram.parts)
        gateways_[datagram.to].Merge(report, now_);
      gateways_[datagram.to].MergeEnds(datagram.ends);
      return true;
    });
    if (now_ < report_at_) return;
    report_at_ = now_ + kReportInterval;
    for (size_t from = 0; from < gateways_.size(); ++from) {
      const auto parts = gateways_[from].Report(now_);
      const auto ends = gateways_[from].ReportEnds();
      for (size_t to = 0; to < gateways_.size(); ++to) {
        if (to == from) continue;
        const TimePoint arrives_at = now_ + Between(1, kMaxReportDelay.count());
        datagrams_.push_back({arrives_at, to, parts, ends});
      }
    }
  }

  Settings settings_;
  Rng rng_;
  TimePoint now_ = kNow;
  TimePoint report_at_ = kNow;
  TimePoint fifth_at_{};
  uint64_t last_id_ = 1000;
  std::vector<CrashingParts> gateways_;
  std::vector<Server> servers_;
  std::vector<TimePoint> waves_;
  std::set<uint64_t> on_all_;  // parts that all servers of a wave ran
  std::deque<Datagram> datagrams_;
  Outcome outcome_;
};

}  // namespace

// Guards against sound parts that are quarantined because a few requests with
// them ran on some of the servers that crash together again and again.
TEST_CASE("waves of crashes accuse no part that few of the servers ran") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    for (const size_t servers : {6, 9, 30}) {
      for (const bool restart : {false, true}) {
        CAPTURE(seed, servers, restart);
        const Outcome outcome = Waves({.seed = seed,
                                       .servers = servers,
                                       .waves = true,
                                       .restart = restart})
                                    .Run(seconds(40));
        CHECK(outcome.quarantined == 0);
        CHECK(outcome.sound_rejected == 0);
      }
    }
  }
}

// Guards against a part that crashes servers and is never quarantined, because
// other servers crash beside those.
TEST_CASE("a guilty part is quarantined while other servers crash") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    for (const double guilty_per_s : {1.0, 4.0, 25.0}) {
      for (const double other_crashes_per_s : {0.0, 0.5, 2.0}) {
        for (const auto& [servers, waves] :
             std::vector<std::pair<size_t, bool>>{
                 {3, false}, {9, false}, {9, true}}) {
          CAPTURE(seed, guilty_per_s, servers, other_crashes_per_s, waves);
          const Outcome outcome =
              Waves({.seed = seed,
                     .servers = servers,
                     .guilty_per_s = guilty_per_s,
                     .waves = waves,
                     .other_crashes_per_s = other_crashes_per_s})
                  .Run(seconds(30));
          CHECK(outcome.crashes_by_guilty >= 1);
          CHECK(outcome.late <= 3);
        }
      }
    }
  }
}

}  // namespace knapweedstile::serving
