// What callers receive under load, with the entry's decisions and without them:
// one table a scenario, min/median/max over the seeds. Simulated time, except
// for the cost of a decision. Usage: entry_bench [scenario...]

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "decide/subset.h"
#include "entry_fleet_model.h"

namespace knapweedstile::decide {
namespace {

constexpr uint64_t kSeeds = 5;
// Servers 20, slots 8, 100 tokens at 50 a second after 0.1 s of prompt.
constexpr double kCapacity = 20 * 8 / 2.1;

// One figure of one run.
struct Figure {
  std::string name;
  double value = 0;
};
using Figures = std::vector<Figure>;
using Run = std::function<Figures(const ModelSettings&, uint64_t seed)>;

struct Variant {
  std::string name;
  EntryRules rules;
};

EntryRules NoRules() {
  EntryRules rules;
  rules.fair_queue = false;
  rules.cost_fairness = false;
  rules.headroom = false;
  rules.deadline_refusal = false;
  rules.least_outstanding = false;
  rules.prefix_affinity = false;
  rules.slow_server_ejection = false;
  rules.retry_budget = false;
  rules.hedges = false;
  rules.quarantine = false;
  return rules;
}

Variant Without(std::string name, bool EntryRules::*rule) {
  EntryRules rules;
  rules.*rule = false;
  return {std::move(name), rules};
}

Variant Ours() { return {"ours", EntryRules()}; }
Variant Baseline() { return {"baseline", NoRules()}; }

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const double place = share * static_cast<double>(values.size() - 1);
  const auto index = static_cast<size_t>(std::lround(place));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

using Filter = std::function<bool(const ModelAnswer&)>;

// The usual figures over the calls that pass the filter.
Figures Received(const std::vector<ModelAnswer>& answers, double seconds,
                 const Filter& filter) {
  std::vector<double> first;
  std::vector<double> refused;
  double good = 0;
  double calls = 0;
  double failed = 0;
  for (const ModelAnswer& a : answers) {
    if (!filter(a)) continue;
    ++calls;
    good += a.InTime();
    failed += a.failed.has_value();
    if (a.done && a.first_output) first.push_back(*a.first_output - a.arrived);
    if (a.refused) refused.push_back(*a.refused - a.arrived);
  }
  return {{"good/s", good / seconds},
          {"p50 ms", 1000 * Percentile(first, 0.50)},
          {"p95 ms", 1000 * Percentile(first, 0.95)},
          {"p99 ms", 1000 * Percentile(first, 0.99)},
          {"refused %",
           100 * static_cast<double>(refused.size()) / std::max(calls, 1.0)},
          {"refused after ms", 1000 * Percentile(refused, 0.5)},
          {"failed %", 100 * failed / std::max(calls, 1.0)}};
}

bool All(const ModelAnswer&) { return true; }

void Print(std::string_view scenario, const std::vector<Variant>& variants,
           const ModelSettings& base, const Run& run) {
  fmt::print("\n{}\n", scenario);
  std::fflush(stdout);
  bool header = true;
  for (const Variant& variant : variants) {
    std::vector<Figures> runs;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ModelSettings settings = base;
      settings.entry.rules = variant.rules;
      runs.push_back(run(settings, seed));
    }
    if (header) {
      fmt::print("{:<20}", "");
      for (const Figure& f : runs[0]) fmt::print(" {:>21}", f.name);
      fmt::print("\n");
      header = false;
    }
    fmt::print("{:<20}", variant.name);
    for (size_t i = 0; i < runs[0].size(); ++i) {
      std::vector<double> values;
      values.reserve(runs.size());
      for (const Figures& figures : runs) values.push_back(figures[i].value);
      std::sort(values.begin(), values.end());
      fmt::print(" {:>21}",
                 fmt::format("{:.4g}/{:.4g}/{:.4g}", values.front(),
                             values[values.size() / 2], values.back()));
    }
    fmt::print("\n");
  }
}

ModelSettings Fleet() {
  ModelSettings settings;
  settings.entries = 3;
  return settings;
}

// 20 to 180 tokens, 100 on average: with equal lengths round robin would look
// better than it is.
uint32_t AnyLength(EntryFleetModel& model) {
  return static_cast<uint32_t>(20 + UniformBelow(model.rng(), 161));
}

ModelCall FromOneOf(EntryFleetModel& model, size_t callers) {
  ModelCall call;
  call.caller = fmt::format("caller-{}", UniformBelow(model.rng(), callers));
  call.max_tokens = AnyLength(model);
  return call;
}

void Overload() {
  struct Case {
    double load;
    double deadline_seconds;
  };
  for (const Case c : {Case{1, 10}, Case{2, 10}, Case{1, 3}, Case{2, 3}}) {
    Print(
        fmt::format("overload: {}x of the capacity for 120 s, deadlines {} s",
                    c.load, c.deadline_seconds),
        {Baseline(),
         Without("no deadline refusal", &EntryRules::deadline_refusal), Ours()},
        Fleet(), [c](const ModelSettings& settings, uint64_t seed) {
          EntryFleetModel model(settings, seed);
          model.Load(c.load * kCapacity, 120, [&] {
            ModelCall call = FromOneOf(model, 50);
            call.deadline_seconds = c.deadline_seconds;
            return call;
          });
          model.Run(200);
          return Received(model.answers(), 120, All);
        });
  }
}

void Recovery() {
  Print("recovery: 0.6x, 60 s of 2x, then 0.6x; calls after the overload",
        {Baseline(), Ours()}, Fleet(),
        [](const ModelSettings& settings, uint64_t seed) {
          EntryFleetModel model(settings, seed);
          const auto make = [&] { return FromOneOf(model, 50); };
          model.Load(0.6 * kCapacity, 180, make);
          model.After(60, [&] { model.Load(1.4 * kCapacity, 120, make); });
          model.Run(260);
          return Received(model.answers(), 60, [](const ModelAnswer& a) {
            return a.arrived >= 120;
          });
        });
}

void Burst() {
  Print("burst: 0.5x, at 30 s 5 s of 4x; all calls of the burst",
        {Baseline(), Ours()}, Fleet(),
        [](const ModelSettings& settings, uint64_t seed) {
          EntryFleetModel model(settings, seed);
          const auto make = [&] { return FromOneOf(model, 50); };
          model.Load(0.5 * kCapacity, 60, make);
          model.After(30, [&] { model.Load(3.5 * kCapacity, 35, make); });
          model.Run(120);
          return Received(model.answers(), 5, [](const ModelAnswer& a) {
            return a.arrived >= 30 && a.arrived < 35;
          });
        });
}

void HotCaller() {
  for (const double hot : {0.0, 1.3}) {
    Print(fmt::format("hot caller: 20 callers ask for 0.4x together, one for "
                      "{}x; the 20",
                      hot),
          {Baseline(), Without("no fair queue", &EntryRules::fair_queue),
           Without("no headroom", &EntryRules::headroom), Ours()},
          Fleet(), [hot](const ModelSettings& settings, uint64_t seed) {
            EntryFleetModel model(settings, seed);
            model.Load(0.4 * kCapacity, 120,
                       [&] { return FromOneOf(model, 20); });
            if (hot > 0) {
              model.Load(hot * kCapacity, 120, [] {
                ModelCall call;
                call.caller = "hot";
                return call;
              });
            }
            model.Run(200);
            Figures figures = Received(
                model.answers(), 120,
                [](const ModelAnswer& a) { return a.call.caller != "hot"; });
            double of_hot = 0;
            for (const ModelAnswer& a : model.answers()) {
              of_hot += a.call.caller == "hot" && a.InTime();
            }
            figures.push_back({"hot good/s", of_hot / 120});
            return figures;
          });
  }
}

void Fairness() {
  Print("fairness: 4 workspaces ask for 0.5x each; max/min served",
        {Baseline(), Ours()}, Fleet(),
        [](const ModelSettings& settings, uint64_t seed) {
          EntryFleetModel model(settings, seed);
          std::vector<double> served(4);
          size_t turn = 0;
          model.Load(2 * kCapacity, 120, [&] {
            ModelCall call;
            call.workspace = fmt::format("workspace-{}", turn++ % 4);
            call.max_tokens = AnyLength(model);
            return call;
          });
          model.Run(200);
          for (const ModelAnswer& a : model.answers()) {
            if (a.InTime()) ++served[a.call.workspace.back() - '0'];
          }
          const auto [least, most] =
              std::minmax_element(served.begin(), served.end());
          return Figures{{"max/min", *most / *least}};
        });
}

void HotKey() {
  Print("hot key: 0.7x, 40% of the prompts share one prefix, 200 more prefixes",
        {Baseline(), Without("no affinity", &EntryRules::prefix_affinity),
         Without("no bound", &EntryRules::bounded_affinity), Ours()},
        Fleet(), [](const ModelSettings& settings, uint64_t seed) {
          EntryFleetModel model(settings, seed);
          model.Load(0.7 * kCapacity, 120, [&] {
            ModelCall call = FromOneOf(model, 50);
            call.prompt_tokens = 2000;
            call.prefix = UniformUnit(model.rng()) < 0.4
                              ? 1
                              : 2 + UniformBelow(model.rng(), 200);
            return call;
          });
          model.Run(200);
          Figures figures = Received(model.answers(), 120, All);
          figures.push_back(
              {"cached %", 100 * static_cast<double>(model.cache_hits()) /
                               static_cast<double>(model.starts())});
          return figures;
        });
}

void SlowServer() {
  for (const double speed : {1.0, 0.1, 0.0}) {
    Print(fmt::format("slow server: 0.6x, one of 20 at {}x speed from 30 s; "
                      "calls from then on",
                      speed),
          {Baseline(),
           Without("no ejection", &EntryRules::slow_server_ejection), Ours()},
          Fleet(), [speed](const ModelSettings& settings, uint64_t seed) {
            EntryFleetModel model(settings, seed);
            model.Load(0.6 * kCapacity, 180,
                       [&] { return FromOneOf(model, 50); });
            model.After(30, [&] { model.set_speed(3, speed); });
            model.Run(300);
            return Received(model.answers(), 150, [](const ModelAnswer& a) {
              return a.arrived >= 30;
            });
          });
  }
}

void LongAmongShort() {
  for (const double short_load : {0.5, 1.5}) {
    Print(fmt::format("long among short: one caller asks for 1.2x in calls of "
                      "1000 tokens, 20 for {}x in short ones; the short ones",
                      short_load),
          {Baseline(), Without("count, not cost", &EntryRules::cost_fairness),
           Without("no headroom", &EntryRules::headroom), Ours()},
          Fleet(), [short_load](const ModelSettings& settings, uint64_t seed) {
            EntryFleetModel model(settings, seed);
            model.Load(short_load * kCapacity, 120,
                       [&] { return FromOneOf(model, 20); });
            model.Load(0.125 * kCapacity, 120, [] {
              ModelCall call;
              call.caller = "long";
              call.max_tokens = 1000;
              return call;
            });
            model.Run(260);
            const auto is_short = [](const ModelAnswer& a) {
              return a.call.caller != "long";
            };
            Figures figures = Received(model.answers(), 120, is_short);
            double of_long = 0;
            for (const ModelAnswer& a : model.answers()) {
              of_long += !is_short(a) && a.InTime();
            }
            figures.push_back({"long good/s", of_long / 120});
            return figures;
          });
  }
}

// Clients that come back after a refusal, up to four times, as they were told
// or, impatient, a tenth of a second later.
void RetryStorm() {
  Print(
      "retry storm: 0.7x, half of the servers out from 30 s to 50 s, clients "
      "try 5 times; calls from 60 s",
      {Baseline(), Without("no retry budget", &EntryRules::retry_budget),
       Ours()},
      Fleet(), [](const ModelSettings& settings, uint64_t seed) {
        EntryFleetModel model(settings, seed);
        std::vector<int> tries;
        model.set_on_final([&](size_t index) {
          tries.resize(model.answers().size());
          const ModelAnswer answer = model.answers()[index];
          if (answer.done || tries[index] >= 4) return;
          const double after = answer.refused && UniformUnit(model.rng()) < 0.5
                                   ? answer.come_back_at - model.now()
                                   : 0.1;
          const int next = tries[index] + 1;
          model.After(std::max(after, 0.0), [&model, &tries, answer, next] {
            const size_t again = model.Send(0, answer.call);
            tries.resize(std::max(tries.size(), again + 1));
            tries[again] = next;
          });
        });
        model.Load(0.7 * kCapacity, 120, [&] { return FromOneOf(model, 50); });
        model.After(30, [&] {
          for (size_t i = 0; i < 10; ++i) {
            model.Down(i, AttemptOutcome::kUnknown);
          }
        });
        model.After(50, [&] {
          for (size_t i = 0; i < 10; ++i) model.Up(i);
        });
        model.Run(200);
        Figures figures =
            Received(model.answers(), 60, [](const ModelAnswer& a) {
              return a.arrived >= 60 && a.arrived < 120;
            });
        figures.push_back(
            {"sent per answer", static_cast<double>(model.dispatches()) /
                                    static_cast<double>(model.starts())});
        return figures;
      });
}

void ManyEntries() {
  for (const size_t entries : {20, 60}) {
    ModelSettings fleet = Fleet();
    fleet.entries = entries;
    fleet.report_every = 1;
    Print(
        fmt::format("many entries: {} of them at 0.85x, heartbeats of 1 s",
                    entries),
        {Baseline(), Without("least of all", &EntryRules::two_choices), Ours()},
        fleet, [](const ModelSettings& settings, uint64_t seed) {
          EntryFleetModel model(settings, seed);
          model.Load(0.85 * kCapacity, 120,
                     [&] { return FromOneOf(model, 50); });
          model.Run(200);
          return Received(model.answers(), 120, All);
        });
  }
}

void ComesAndGoes() {
  Print("comes and goes: 0.7x, server 3 down for 2 s of every 8 s",
        {Baseline(), Without("least of all", &EntryRules::two_choices), Ours()},
        Fleet(), [](const ModelSettings& settings, uint64_t seed) {
          EntryFleetModel model(settings, seed);
          model.Load(0.7 * kCapacity, 120,
                     [&] { return FromOneOf(model, 50); });
          for (double t = 8; t < 120; t += 8) {
            model.After(t, [&] { model.Down(3, AttemptOutcome::kUnknown); });
            model.After(t + 2, [&] { model.Up(3); });
          }
          model.Run(200);
          return Received(model.answers(), 120, All);
        });
}

void Poison() {
  Print(
      "poison: 0.5x, one call crashes its server, resent every 0.5 s through "
      "every entry in turn",
      {Baseline(), Without("no quarantine", &EntryRules::quarantine), Ours()},
      Fleet(), [](const ModelSettings& base, uint64_t seed) {
        ModelSettings settings = base;
        settings.poison = 666;
        EntryFleetModel model(settings, seed);
        model.Load(0.5 * kCapacity, 60, [&] {
          ModelCall call = FromOneOf(model, 50);
          call.fingerprint = 1000 + model.answers().size();
          return call;
        });
        for (int i = 0; i < 60; ++i) {
          model.After(10 + 0.5 * i, [&model, i] {
            ModelCall call;
            call.fingerprint = 666;
            model.Send(static_cast<size_t>(i) % 3, call);
          });
        }
        model.Run(120);
        Figures figures = Received(
            model.answers(), 60,
            [](const ModelAnswer& a) { return a.call.fingerprint != 666; });
        figures.push_back(
            {"servers lost", static_cast<double>(model.crashes())});
        return figures;
      });
}

std::vector<std::string> Names(std::string_view prefix, size_t count) {
  std::vector<std::string> names(count);
  for (size_t i = 0; i < count; ++i) names[i] = fmt::format("{}-{}", prefix, i);
  return names;
}

// Wall-clock cost of arrival, dispatch, first output and end together, with
// half of the slots taken.
void DecisionCost() {
  fmt::print("\ncost of a decision (arrival, first output or end)\n");
  fmt::print("{:<12} {:>10} {:>14} {:>14}\n", "engines", "subset", "least ns",
             "median ns");
  for (const size_t engines : {10, 100, 1000, 10000}) {
    const auto names = Names("engine", engines);
    const std::vector<std::string_view> views(names.begin(), names.end());
    const auto entry_names =
        Names("entry", std::max<size_t>(3, engines * 32 / 100));
    const std::vector<std::string_view> entry_views(entry_names.begin(),
                                                    entry_names.end());
    const auto subset = SubsetOf(entry_views[0], entry_views, views);
    EntrySettings settings;
    EntryScheduler scheduler(settings, 1);
    std::vector<EntryAction> actions;
    TimePoint now = TimePoint(std::chrono::hours(1));
    for (const size_t i : subset) {
      scheduler.OnBackendServerUp(now, BackendServerId(i + 1), {"llm"}, "a",
                                  actions);
    }
    now += std::chrono::minutes(1);
    for (const size_t i : subset) {
      LoadReport report{.measured_at = now, .slots = 8};
      scheduler.OnLoad(now, BackendServerId(i + 1), report, actions);
    }
    std::deque<AttemptId> running;
    constexpr int kRequests = 200000;
    constexpr int kRound = 10000;
    constexpr int kDecisions = 3;
    const size_t half = subset.size() * 4;
    Rng rng(1);
    std::vector<double> rounds;  // nanoseconds a decision
    auto begin = std::chrono::steady_clock::now();
    for (int i = 1; i <= kRequests; ++i) {
      if (i % kRound == 0) {
        const auto end = std::chrono::steady_clock::now();
        const std::chrono::duration<double, std::nano> round = end - begin;
        rounds.push_back(round.count() / kRound / kDecisions);
        begin = end;
      }
      now += std::chrono::microseconds(100);
      if (i % 2048 == 0) {
        for (const size_t s : subset) {
          LoadReport report{
              .measured_at = now, .slots = 8, .online_running = 4};
          scheduler.OnLoad(now, BackendServerId(s + 1), report, actions);
        }
      }
      RequestInfo info;
      info.id = RequestId(static_cast<uint64_t>(i));
      info.workspace = "kennels";
      info.caller = "caller";
      info.target = "llm";
      info.prefix_hashes = {UniformBelow(rng, 100), rng()};
      info.max_tokens = 100;
      info.deadline = now + std::chrono::seconds(10);
      actions.clear();
      scheduler.OnArrival(now, std::move(info), actions);
      for (const EntryAction& action : actions) {
        const auto* dispatch = std::get_if<DispatchAction>(&action);
        if (dispatch == nullptr) continue;
        running.push_back(dispatch->attempt);
        scheduler.OnFirstOutput(now, dispatch->attempt, actions);
        break;
      }
      if (running.size() <= half) continue;
      scheduler.OnAttemptEnded(now, running.front(), AttemptOutcome::kDone, now,
                               actions);
      running.pop_front();
    }
    std::sort(rounds.begin(), rounds.end());
    fmt::print("{:<12} {:>10} {:>14.0f} {:>14.0f}\n", engines, subset.size(),
               rounds.front(), rounds[rounds.size() / 2]);
  }
}

void Subsets() {
  fmt::print("\nsubsets: 3,200 entries, 10,000 engines, size 64\n");
  const auto entries = Names("entry", 3200);
  const auto engines = Names("engine", 10000);
  const std::vector<std::string_view> entry_views(entries.begin(),
                                                  entries.end());
  const std::vector<std::string_view> views(engines.begin(), engines.end());
  std::vector<size_t> known_by(engines.size());
  size_t least = engines.size();
  size_t most = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (const std::string_view entry : entry_views) {
    const auto subset = SubsetOf(entry, entry_views, views);
    least = std::min(least, subset.size());
    most = std::max(most, subset.size());
    for (const size_t i : subset) ++known_by[i];
  }
  const double millis = std::chrono::duration<double, std::milli>(
                            std::chrono::steady_clock::now() - begin)
                            .count() /
                        3200;
  const auto [low, high] =
      std::minmax_element(known_by.begin(), known_by.end());
  fmt::print(
      "entries that know an engine: {} to {}; engines an entry knows: "
      "{} to {}; {:.1f} ms to compute one\n",
      *low, *high, least, most, millis);
  const auto before = SubsetOf(entry_views[0], entry_views, views);
  const std::vector<std::string_view> fewer(views.begin(), views.end() - 100);
  const std::vector<std::string_view> fewer_entries(entry_views.begin(),
                                                    entry_views.end() - 32);
  const auto moved = [&](const std::vector<size_t>& after) {
    std::vector<size_t> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(),
                          after.end(), std::back_inserter(kept));
    return before.size() + after.size() - 2 * kept.size();
  };
  fmt::print(
      "of {} connections of one entry, changed when 1% of the engines "
      "leave: {}, when 1% of the entries leave: {}\n",
      before.size(), moved(SubsetOf(entry_views[0], entry_views, fewer)),
      moved(SubsetOf(entry_views[0], fewer_entries, views)));
}

struct Scenario {
  std::string_view name;
  void (*run)();
};

constexpr Scenario kScenarios[] = {{"overload", Overload},
                                   {"recovery", Recovery},
                                   {"burst", Burst},
                                   {"hot_caller", HotCaller},
                                   {"fairness", Fairness},
                                   {"hot_key", HotKey},
                                   {"slow_server", SlowServer},
                                   {"long", LongAmongShort},
                                   {"retry_storm", RetryStorm},
                                   {"comes_and_goes", ComesAndGoes},
                                   {"poison", Poison},
                                   {"many_entries", ManyEntries},
                                   {"cost", DecisionCost},
                                   {"subsets", Subsets}};

}  // namespace
}  // namespace knapweedstile::decide

int main(int argc, char** argv) {
  const std::vector<std::string_view> wanted(argv + 1, argv + argc);
  for (const auto& scenario : knapweedstile::decide::kScenarios) {
    const bool run = wanted.empty() || std::find(wanted.begin(), wanted.end(),
                                                 scenario.name) != wanted.end();
    if (run) scenario.run();
    std::fflush(stdout);
  }
  return 0;
}
