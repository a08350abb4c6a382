// Online beside endless batch on one engine: what callers and batch receive
// under each way of sharing. A small discrete-event model of an engine drives
// the same Gate as the sidecar does. Prints tables; see docs/design/sharing.md.
//
// The engine works in iterations. A stream is admitted, and a cancelled one
// leaves, only between two iterations. Each iteration gives every decoding
// stream one token and computes some prompt tokens of the others.

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/rng.h"
#include "base/time.h"
#include "decide/gate.h"
#include "decide/gate_settings.h"
#include "decide/sharing_policy.h"

namespace knapweedstile::decide {
namespace {

struct EngineModel {
  std::string name;
  uint32_t slots = 8;
  double iteration = 0.025;          // seconds
  double per_stream = 0;             // added to an iteration for each stream
  double per_prompt_token = 0;       // added for each prompt token computed
  uint32_t prompt_per_stream = 125;  // prompt tokens of a stream an iteration
  uint32_t prompt_budget = 1000;     // of all streams an iteration
  double cancel_lag = 0.010;         // until the engine has seen a cancellation
  double start_lag = 0.001;
};

// Four minutes alone on the engine.
constexpr uint32_t kLongOutput = 10000;

struct Traffic {
  std::string name;
  uint64_t seed = 1;
  double seconds = 1800;
  double rate = 0.6;        // online requests a second, between bursts
  double burst_rate = 4.0;  // and in bursts
  double burst_every = 40;  // seconds on average
  double burst_length = 6;
  bool batch = true;
  double long_share = 0;  // of batch items: those of kLongOutput tokens
  double patience = 0;    // first token after this is late; 0: never
};

struct Arrival {
  double at = 0;
  uint32_t prompt = 0;
  uint32_t output = 0;
};

double Exponential(Rng& rng, double mean) {
  return -mean * std::log(1 - UniformUnit(rng));
}

uint32_t Between(Rng& rng, uint32_t low, uint32_t high) {
  return low + static_cast<uint32_t>(UniformBelow(rng, high - low + 1));
}

// The online traffic depends on the seed only, so that every policy meets the
// same requests.
std::vector<Arrival> MakeOnline(const Traffic& traffic) {
  Rng rng(traffic.seed);
  std::vector<Arrival> arrivals;
  double now = 0;
  double burst_from = Exponential(rng, traffic.burst_every);
  while (now < traffic.seconds) {
    const bool burst = now >= burst_from;
    now += Exponential(rng, 1 / (burst ? traffic.burst_rate : traffic.rate));
    if (now > burst_from + traffic.burst_length) {
      burst_from = now + Exponential(rng, traffic.burst_every);
    }
    arrivals.push_back({now, Between(rng, 100, 900),
                        1 + static_cast<uint32_t>(Exponential(rng, 80))});
  }
  return arrivals;
}

// What drives the engine: a Gate, or nothing at all.
template <typename C>
concept Controller = requires(C controller, TimePoint now,
                              const RequestInfo& info,
                              std::vector<GateAction>& actions, RequestId id) {
  controller.OnArrival(now, info, actions);
  controller.OnOutput(now, id, 1U);
  controller.OnEnded(now, id, actions);
  controller.OnTick(now, actions);
  { controller.NextWake() } -> std::same_as<TimePoint>;
};

// Baseline: every request goes into the engine as it arrives.
struct NoGate {
  void OnArrival(TimePoint /*now*/, const RequestInfo& info,
                 std::vector<GateAction>& actions) {
    actions.emplace_back(StartAction{info.id});
  }
  void OnOutput(TimePoint /*now*/, RequestId /*id*/, uint32_t /*tokens*/) {}
  void OnEnded(TimePoint /*now*/, RequestId /*id*/,
               std::vector<GateAction>& /*actions*/) {}
  void OnTick(TimePoint /*now*/, std::vector<GateAction>& /*actions*/) {}
  TimePoint NextWake() const { return kNever; }
};

struct Result {
  std::vector<double> first_token;  // seconds, of online requests
  std::vector<double>
      short_item_took;  // seconds, from the gate's door to its end
  std::vector<double> refused_after;  // seconds, of online requests
  uint64_t batch_items = 0;
  uint64_t batch_tokens = 0;       // produced and kept
  uint64_t recomputed_tokens = 0;  // context computed again after parking
  uint64_t parks = 0;
  uint64_t yields = 0;
  double batch_useful = 0;  // slot seconds
  double batch_wasted = 0;  // slot seconds
  // Changes of the number of online streams in the engine.
  std::vector<std::pair<double, uint32_t>> online_levels;
  uint64_t decisions = 0;
  double decision_seconds = 0;
};

template <Controller C>
class Simulation {
 public:
  Simulation(const EngineModel& model, const Traffic& traffic, C& controller)
      : model_(model),
        traffic_(traffic),
        controller_(controller),
        online_(MakeOnline(traffic)),
        rng_(traffic.seed + 1000) {}

  Result Run() {
    while (now_ < traffic_.seconds) {
      if (traffic_.batch) FeedBatch();
      const double arrival =
          next_online_ < online_.size() ? online_[next_online_].at : 1e18;
      const double wake = Seconds(controller_.NextWake());
      const double boundary = NextBoundary();
      now_ = std::max(now_, std::min({arrival, wake, boundary}));
      if (arrival <= now_) {
        ArriveOnline();
      } else if (wake <= now_) {
        Act([&](auto& a) { controller_.OnTick(Time(), a); });
      } else {
        Boundary();
      }
    }
    return std::move(result_);
  }

 private:
  // Batch items in the gate for each slot: enough that it never runs dry.
  static constexpr size_t kBatchFed = 3;

  struct Request {
    RequestInfo info;
    double arrived = 0;
    uint32_t produced = 0;
    bool answered = false;
    bool has_run = false;
  };

  // One sending of a request to the engine.
  struct Stream {
    RequestId id;
    bool batch = false;
    double from = 0;  // in the engine
    uint32_t prompt_left = 0;
    bool resumed = false;
    bool emits = false;  // in the present iteration
    double cancel_from = 1e18;
  };

  static double Seconds(TimePoint t) {
    return t == kNever ? 1e18 : ToSeconds(t.time_since_epoch());
  }
  // Rounded, so that a wake time of the gate comes back as it was.
  TimePoint Time() const {
    return TimePoint{std::chrono::nanoseconds{std::llround(now_ * 1e9)}};
  }

  void FeedBatch() {
    while (batch_in_ < kBatchFed * model_.slots) {
      Request request;
      if (!given_back_.empty()) {
        request = given_back_.front();
        given_back_.pop_front();
      } else {
        request.info.traffic_class = TrafficClass::kBatch;
        request.info.prompt_tokens = Between(rng_, 100, 900);
        const bool is_long = UniformUnit(rng_) < traffic_.long_share;
        request.info.max_tokens =
            is_long ? kLongOutput : Between(rng_, 50, 550);
        request.arrived = now_;
      }
      ++batch_in_;
      Arrive(std::move(request));
    }
  }

  void ArriveOnline() {
    const Arrival& arrival = online_[next_online_++];
    Request request;
    request.info.prompt_tokens = arrival.prompt;
    request.info.max_tokens = arrival.output;
    request.arrived = now_;
    if (traffic_.patience > 0) {
      request.info.deadline = Time() + FromSeconds(traffic_.patience);
    }
    Arrive(std::move(request));
  }

  void Arrive(Request request) {
    request.info.id = RequestId{next_id_++};
    const RequestInfo info = request.info;
    requests_.emplace(info.id, std::move(request));
    Act([&](auto& a) { controller_.OnArrival(Time(), info, a); });
  }

  template <typename Event>
  void Act(Event event) {
    std::vector<GateAction> actions;
    const auto before = std::chrono::steady_clock::now();
    event(actions);
    result_.decision_seconds +=
        ToSeconds(std::chrono::steady_clock::now() - before);
    ++result_.decisions;
    for (const GateAction& action : actions) {
      std::visit([&](const auto& a) { Apply(a); }, action);
    }
  }

  void Apply(const StartAction& action) {
    Request& request = requests_.at(action.request);
    const bool batch = request.info.traffic_class == TrafficClass::kBatch;
    const uint32_t context = request.info.prompt_tokens + request.produced;
    Stream stream{.id = action.request,
                  .batch = batch,
                  .from = now_ + model_.start_lag,
                  .prompt_left = context,
                  .resumed = request.has_run};
    if (request.has_run) result_.recomputed_tokens += context;
    request.has_run = true;
    waiting_.push_back(stream);
  }
  void Apply(const ParkAction& action) {
    ++result_.parks;
    Cancel(action.request);
  }
  void Apply(const YieldAction& action) {
    ++result_.yields;
    Cancel(action.request);
    --batch_in_;
    given_back_.push_back(requests_.at(action.request));
    requests_.erase(action.request);
  }
  void Apply(const GateRefuseAction& action) {
    const Request& request = requests_.at(action.request);
    result_.refused_after.push_back(now_ - request.arrived);
    requests_.erase(action.request);
  }

  void Cancel(RequestId id) {
    std::erase_if(waiting_, [&](const Stream& s) { return s.id == id; });
    for (Stream& stream : running_) {
      if (stream.id == id) {
        stream.cancel_from =
            std::min(stream.cancel_from, now_ + model_.cancel_lag);
      }
    }
  }

  // The end of the present iteration, or when an idle engine gets work.
  double NextBoundary() const {
    if (!running_.empty()) return iteration_end_;
    return waiting_.empty() ? 1e18 : std::max(now_, waiting_.front().from);
  }

  void Boundary() {
    if (!running_.empty()) FinishIteration();
    std::erase_if(running_,
                  [&](const Stream& s) { return s.cancel_from <= now_; });
    while (running_.size() < model_.slots && !waiting_.empty() &&
           waiting_.front().from <= now_) {
      running_.push_back(waiting_.front());
      waiting_.pop_front();
    }
    NoteOnline();
    StartIteration();
  }

  void StartIteration() {
    uint32_t budget = model_.prompt_budget;
    uint32_t computed = 0;
    for (Stream& stream : running_) {
      const uint32_t part =
          std::min({stream.prompt_left, model_.prompt_per_stream, budget});
      stream.emits = stream.prompt_left == part;
      stream.prompt_left -= part;
      budget -= part;
      computed += part;
    }
    const double length =
        model_.iteration +
        model_.per_stream * static_cast<double>(running_.size()) +
        model_.per_prompt_token * computed;
    iteration_length_ = length;
    iteration_end_ = now_ + length;
  }

  void FinishIteration() {
    std::vector<RequestId> ended;
    for (const Stream& stream : running_) {
      const bool lost = stream.cancel_from < 1e18;
      if (stream.batch) Account(stream, lost);
      if (!stream.emits || lost) continue;
      if (Emit(stream)) ended.push_back(stream.id);
    }
    std::erase_if(running_, [&](const Stream& s) {
      return s.cancel_from >= 1e18 &&
             std::find(ended.begin(), ended.end(), s.id) != ended.end();
    });
    for (const RequestId id : ended) End(id);
  }

  void Account(const Stream& stream, bool lost) {
    const bool again = stream.resumed && !stream.emits;
    (lost || again ? result_.batch_wasted : result_.batch_useful) +=
        iteration_length_;
  }

  // True when that was the last token.
  bool Emit(const Stream& stream) {
    Request& request = requests_.at(stream.id);
    ++request.produced;
    if (stream.batch) {
      ++result_.batch_tokens;
    } else if (!request.answered) {
      request.answered = true;
      result_.first_token.push_back(now_ - request.arrived);
    }
    controller_.OnOutput(Time(), stream.id, 1);
    return request.produced >= request.info.max_tokens;
  }

  void End(RequestId id) {
    const Request& request = requests_.at(id);
    if (request.info.traffic_class == TrafficClass::kBatch) {
      --batch_in_;
      ++result_.batch_items;
      if (request.info.max_tokens != kLongOutput) {
        result_.short_item_took.push_back(now_ - request.arrived);
      }
    }
    requests_.erase(id);
    Act([&](auto& a) { controller_.OnEnded(Time(), id, a); });
  }

  void NoteOnline() {
    const auto level = static_cast<uint32_t>(
        std::count_if(running_.begin(), running_.end(),
                      [](const Stream& s) { return !s.batch; }));
    if (result_.online_levels.empty() ||
        result_.online_levels.back().second != level) {
      result_.online_levels.emplace_back(now_, level);
    }
  }

  const EngineModel& model_;
  const Traffic traffic_;
  C& controller_;
  const std::vector<Arrival> online_;
  Rng rng_;
  size_t next_online_ = 0;
  uint64_t next_id_ = 1;
  double now_ = 0;
  double iteration_end_ = 0;
  double iteration_length_ = 0;
  size_t batch_in_ = 0;
  std::unordered_map<RequestId, Request> requests_;
  std::deque<Request> given_back_;
  std::deque<Stream> waiting_;  // in the engine, in order of arrival
  std::vector<Stream> running_;
  Result result_;
};

double Percentile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto at =
      static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<int64_t>(at),
                   values.end());
  return values[at];
}

struct Idle {
  double seconds = 0;      // slot seconds without online
  double clairvoyant = 0;  // of these, usable by a scheduler that knows when
                           // each gap ends and pays one resume in each
};

// From the run without batch: a slot's gaps are the times when fewer online
// streams run than its rank.
Idle IdleOf(const EngineModel& model, const Traffic& traffic,
            const Result& alone) {
  // A resumed stream's mean context: half of its output and its prompt.
  constexpr double kMeanContext = 500 + 150;
  const double resume =
      std::ceil(kMeanContext / model.prompt_per_stream) * model.iteration;
  Idle idle;
  for (uint32_t slot = 0; slot < model.slots; ++slot) {
    double gap_from = 0;
    bool in_gap = true;
    const auto close = [&](double at) {
      idle.seconds += at - gap_from;
      idle.clairvoyant += std::max(0.0, at - gap_from - resume);
    };
    for (const auto& [at, level] : alone.online_levels) {
      if (in_gap && level > slot) close(at);
      if (!in_gap && level <= slot) gap_from = at;
      in_gap = level <= slot;
    }
    if (in_gap) close(traffic.seconds);
  }
  return idle;
}

struct Variant {
  std::string name;
  bool gate = true;
  SharingPolicy policy;
  GateRules rules;
};

Result RunVariant(const EngineModel& model, const Traffic& traffic,
                  const Variant& variant) {
  if (!variant.gate) {
    NoGate none;
    return Simulation<NoGate>(model, traffic, none).Run();
  }
  const GateSettings settings{.slots = model.slots,
                              .online_waiting = 4 * model.slots,
                              .batch_waiting = 4 * model.slots,
                              .rules = variant.rules};
  Gate gate(settings, traffic.seed);
  std::vector<GateAction> actions;
  gate.OnPolicy(TimePoint(), variant.policy, actions);
  return Simulation<Gate>(model, traffic, gate).Run();
}

// Lowest, median and highest over the seeds.
std::string Spread(std::vector<double> values, int digits) {
  std::sort(values.begin(), values.end());
  return fmt::format("{:.{}f}/{:.{}f}/{:.{}f}", values.front(), digits,
                     values[values.size() / 2], digits, values.back(), digits);
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void PrintModel(const EngineModel& model, const std::vector<Variant>& variants,
                uint64_t seeds, Traffic traffic) {
  std::vector<Result> alone;
  std::vector<Idle> idle;
  std::vector<double> p99;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    traffic.seed = seed;
    traffic.batch = false;
    alone.push_back(
        RunVariant(model, traffic, {.name = "alone", .gate = true}));
    idle.push_back(IdleOf(model, traffic, alone.back()));
    p99.push_back(1000 * Percentile(alone.back().first_token, 0.99));
  }
  std::vector<double> idle_share;
  idle_share.reserve(idle.size());
  for (const Idle& one : idle) {
    idle_share.push_back(one.seconds / (model.slots * traffic.seconds));
  }
  fmt::print(
      "\nengine model: {}; {} ({} seeds of {} s, min/median/max over seeds)\n"
      "without batch: p99 TTFT {} ms, idle share of slots {}\n",
      model.name, traffic.name, seeds, traffic.seconds, Spread(p99, 0),
      Spread(idle_share, 2));
  fmt::print(
      "{:<28} {:>6} {:>6} {:>16} {:>16} {:>8} {:>8} {:>9} {:>9} {:>8} {:>6}\n",
      "policy", "p50 x", "p95 x", "p99 x", "batch/clairv.", "of idle",
      "items/s", "recomp.%", "wasted %", "parks/m", "ns/dec");
  for (const Variant& variant : variants) {
    std::vector<double> ratio50;
    std::vector<double> ratio95;
    std::vector<double> ratio99;
    std::vector<double> of_clairvoyant;
    std::vector<double> of_idle;
    std::vector<double> items;
    std::vector<double> recomputed;
    std::vector<double> wasted;
    std::vector<double> parks;
    std::vector<double> cost;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      traffic.seed = seed;
      traffic.batch = true;
      const Result result = RunVariant(model, traffic, variant);
      const Result& base = alone[seed - 1];
      const auto ratio = [&](double quantile) {
        return Percentile(result.first_token, quantile) /
               Percentile(base.first_token, quantile);
      };
      ratio50.push_back(ratio(0.50));
      ratio95.push_back(ratio(0.95));
      ratio99.push_back(ratio(0.99));
      of_clairvoyant.push_back(result.batch_useful /
                               idle[seed - 1].clairvoyant);
      of_idle.push_back(result.batch_useful / idle[seed - 1].seconds);
      items.push_back(static_cast<double>(result.batch_items) /
                      traffic.seconds);
      recomputed.push_back(
          100 * static_cast<double>(result.recomputed_tokens) /
          static_cast<double>(result.recomputed_tokens + result.batch_tokens));
      wasted.push_back(100 * result.batch_wasted /
                       (result.batch_wasted + result.batch_useful));
      parks.push_back(static_cast<double>(result.parks) * 60 / traffic.seconds);
      cost.push_back(1e9 * result.decision_seconds /
                     static_cast<double>(result.decisions));
    }
    fmt::print(
        "{:<28} {:>6.2f} {:>6.2f} {:>16} {:>16} {:>8.2f} {:>8.2f} {:>9.1f} "
        "{:>9.1f} "
        "{:>8.1f} {:>6.0f}\n",
        variant.name, Median(ratio50), Median(ratio95), Spread(ratio99, 2),
        Spread(of_clairvoyant, 2), Median(of_idle), Median(items),
        Median(recomputed), Median(wasted), Median(parks), Median(cost));
  }
}

std::vector<Variant> MakeVariants() {
  const SharingPolicy share{.kind = SharingKind::kStaticShare};
  const SharingPolicy cancel{.kind = SharingKind::kPriorityCancel};
  const SharingPolicy reserve{.kind = SharingKind::kArrivalReserve};
  SharingPolicy narrow = reserve;
  narrow.reserve_sigma_percent = 100;
  GateRules partition;
  partition.preempt_batch = false;
  GateRules no_delay;
  no_delay.return_delay = false;
  GateRules no_pace;
  no_pace.pace_batch = false;
  return {
      {.name = "no gate (FIFO)", .gate = false},
      {.name = "share 250, no cancel", .policy = share, .rules = partition},
      {.name = "static_share 250", .policy = share},
      {.name = "priority_cancel", .policy = cancel},
      {.name = "priority_cancel, no delay",
       .policy = cancel,
       .rules = no_delay},
      {.name = "priority_cancel, no pace", .policy = cancel, .rules = no_pace},
      {.name = "arrival_reserve 1 sigma", .policy = narrow},
      {.name = "arrival_reserve 2 sigma", .policy = reserve},
  };
}

// Online alone at once and twice what the slots can serve, each request to be
// begun within two seconds.
void PrintOverload(const EngineModel& model, uint64_t seeds) {
  // Four iterations for the mean prompt and eighty for the mean answer.
  const double capacity = model.slots / (84 * model.iteration);
  GateRules wait;
  wait.refuse_late = false;
  const std::vector<Variant> variants = {
      {.name = "no gate (FIFO)", .gate = false},
      {.name = "gate, no early refusal", .rules = wait},
      {.name = "gate"}};
  fmt::print(
      "\noverload: answers begun in time a second, {} seeds\n"
      "{:<28} {:>16} {:>16} {:>8} {:>12} {:>12}\n",
      seeds, "", "at 1x", "at 2x", "2x/1x", "refused p50", "refused p99");
  for (const Variant& variant : variants) {
    std::vector<double> once;
    std::vector<double> twice;
    std::vector<double> refused_after;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      for (const double load : {1.0, 2.0}) {
        const Traffic traffic{.seed = seed,
                              .seconds = 600,
                              .rate = load * capacity,
                              .burst_rate = load * capacity,
                              .batch = false,
                              .patience = 2};
        const Result result = RunVariant(model, traffic, variant);
        const auto in_time =
            std::count_if(result.first_token.begin(), result.first_token.end(),
                          [&](double t) { return t <= traffic.patience; });
        (load == 1.0 ? once : twice)
            .push_back(static_cast<double>(in_time) / traffic.seconds);
        refused_after.insert(refused_after.end(), result.refused_after.begin(),
                             result.refused_after.end());
      }
    }
    fmt::print("{:<28} {:>16} {:>16} {:>8.2f} {:>9.0f} ms {:>9.0f} ms\n",
               variant.name, Spread(once, 2), Spread(twice, 2),
               Median(twice) / Median(once),
               1000 * Percentile(refused_after, 0.50),
               1000 * Percentile(refused_after, 0.99));
  }
}

// One batch item in fifty runs for minutes; the others for ten seconds.
void PrintLong(const EngineModel& model, uint64_t seeds) {
  GateRules no_turns;
  no_turns.take_turns = false;
  const std::vector<Variant> variants = {
      {.name = "no turns", .rules = no_turns}, {.name = "turns"}};
  fmt::print(
      "\nlong batch items among short ones: seconds of a short item\n"
      "{:<12} {:>16} {:>16} {:>16} {:>10}\n",
      "", "p50", "p99", "items/s", "wasted %");
  for (const Variant& variant : variants) {
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> items;
    std::vector<double> wasted;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      const Traffic traffic{.seed = seed, .burst_rate = 2, .long_share = 0.02};
      const Result result = RunVariant(model, traffic, variant);
      p50.push_back(Percentile(result.short_item_took, 0.50));
      p99.push_back(Percentile(result.short_item_took, 0.99));
      items.push_back(static_cast<double>(result.short_item_took.size()) /
                      traffic.seconds);
      wasted.push_back(100 * result.batch_wasted /
                       (result.batch_wasted + result.batch_useful));
    }
    fmt::print("{:<12} {:>16} {:>16} {:>16} {:>10.1f}\n", variant.name,
               Spread(p50, 1), Spread(p99, 1), Spread(items, 2),
               Median(wasted));
  }
}

void PrintCost(const EngineModel& model) {
  fmt::print("\ncost of a decision, online and batch, queues of 4 x slots\n");
  for (const uint32_t slots : {8U, 32U, 128U}) {
    EngineModel larger = model;
    larger.slots = slots;
    const double scale = slots / 8.0;
    const Traffic traffic{
        .seconds = 300, .rate = 0.6 * scale, .burst_rate = 4.0 * scale};
    const Result result = RunVariant(larger, traffic, {.name = "cost"});
    fmt::print(
        "{:>4} slots {:>6.0f} ns\n", slots,
        1e9 * result.decision_seconds / static_cast<double>(result.decisions));
  }
}

}  // namespace

// usage: gate_bench [SEEDS [SECONDS]]
int Main(const std::vector<std::string>& args) {
  const uint64_t seeds = args.empty() ? 9 : std::stoull(args[0]);
  Traffic within{.name = "bursts within the slots", .burst_rate = 2.0};
  if (args.size() > 1) within.seconds = std::stod(args[1]);
  Traffic beyond = within;
  beyond.name = "bursts beyond the slots";
  beyond.burst_rate = 4.0;
  const EngineModel apart{.name = "slots do not slow each other"};
  const EngineModel shared{.name = "streams share the engine's time",
                           .iteration = 0.015,
                           .per_stream = 0.00125,
                           .per_prompt_token = 0.0001,
                           .prompt_per_stream = 256,
                           .prompt_budget = 256};
  EngineModel prompts = shared;
  prompts.name = "prompts share the engine's time, decoding does not";
  prompts.per_stream = 0;
  const std::vector<const EngineModel*> models = {&apart, &prompts, &shared};
  for (const EngineModel* model : models) {
    for (const Traffic* traffic : {&within, &beyond}) {
      PrintModel(*model, MakeVariants(), seeds, *traffic);
    }
  }
  PrintOverload(apart, seeds);
  PrintLong(apart, seeds);
  PrintCost(apart);
  return 0;
}

}  // namespace knapweedstile::decide

int main(int argc, char** argv) {
  return knapweedstile::decide::Main({argv + 1, argv + argc});
}
