#ifndef KNAPWEEDSTILE_SERVING_FLEET_MODEL_H_
#define KNAPWEEDSTILE_SERVING_FLEET_MODEL_H_

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/rng.h"
#include "serving/slot_scheduler.h"

namespace knapweedstile::serving {

// Simulates gateways with one scheduler each in front of backend servers that
// admit requests in order of arrival. Gateways receive each other's usage with
// a delay; online traffic moves in steps, batch items fill the free slots and
// hold them for seconds. The result is what callers experience: the time until
// a request runs.
class FleetModel {
 public:
  struct Settings {
    uint64_t seed = 1;
    int gateways = 8;
    int servers = 16;
    int zones = 3;
    uint32_t slots = 8;
    double online_seconds = 0.74;
    double batch_seconds = 4.8;
    // Online requests per second in the valley and at the peak.
    double valley_rate = 30;
    double peak_rate = 165;
    double valley_seconds = 3.0;
    double peak_seconds = 2.2;
    bool batch = true;  // unlimited supply of items
    double withdraw_seconds = 0.09;
    bool preempt_batch = true;  // where online requests wait
    // Seconds between the reports of a gateway, and until they are received.
    double report_interval = 0.008;
    double report_delay = 0.01;
    // Each zone is a cell: its gateways report changes at its servers at this
    // interval, and at all others four times a second.
    bool cells = false;
    double run_seconds = 30;
    double objective_seconds = 0.3;
    SlotSchedulerSettings scheduler;
    // Uses the server with the fewest requests known to the gateway instead of
    // the scheduler.
    bool least_used_rule = false;
    // Factors on the durations by server, repeated; empty: all equal.
    std::vector<double> slowness;
    // The first servers fail this share of their online requests, at once.
    int failing_servers = 0;
    double failing_share = 0.3;
    bool learns_pace = false;
  };
  struct Outcome {
    int online = 0;
    int late = 0;  // waited longer than half the objective
    int rejected = 0;
    int failed = 0;
    double batch_slot_seconds = 0;
    double mean_wait = 0;
    double mean_response = 0;  // from sending to the end, of served requests
  };

  explicit FleetModel(const Settings& settings)
      : settings_(settings), rng_(settings.seed), servers_(settings.servers) {
    for (int e = 0; e < settings.gateways; ++e) {
      schedulers_.push_back(std::make_unique<SlotScheduler>(
          settings.scheduler, Zone(e), settings.seed + e));
      if (settings.cells) {
        schedulers_[e]->SetCell({.availability_zone = Zone(e)},
                                settings.gateways / settings.zones);
      }
      for (int s = 0; s < settings.servers; ++s) {
        schedulers_[e]->Upsert({.instance = Name(s),
                                .service = "llm",
                                .address = "a",
                                .availability_zone = Zone(s),
                                .slots = settings.slots});
      }
    }
  }

  Outcome Run() {
    double next_arrival = 0;
    double next_report = 0;
    double next_full_report = 0;
    for (now_ = 0; now_ < settings_.run_seconds; now_ += kStep) {
      while (!events_.empty() && events_.top().at <= now_) {
        const Event event = events_.top();
        events_.pop();
        Finish(event);
      }
      for (auto& scheduler : schedulers_) scheduler->pace().Update(Now());
      if (now_ >= next_report) {
        SendReports(!settings_.cells);
        next_report = now_ + settings_.report_interval;
      }
      if (settings_.cells && now_ >= next_full_report) {
        SendReports(true);
        next_full_report = now_ + kFullReportInterval;
      }
      while (next_arrival <= now_) {
        Arrive();
        next_arrival += -std::log(1 - UniformUnit(rng_)) / Rate();
      }
      if (settings_.batch) StartBatch();
      if (settings_.batch && settings_.preempt_batch) PreemptBatch();
    }
    if (outcome_.online > 0) outcome_.mean_wait /= outcome_.online;
    if (served_ > 0) outcome_.mean_response /= served_;
    return outcome_;
  }

 private:
  static constexpr double kStep = 0.001;
  static constexpr double kFullReportInterval = 0.25;
  static constexpr double kFailureSeconds = 0.03;

  struct Request {
    int gateway = 0;
    bool online = true;
    double sent_at = 0;
    double began_at = -1;
    bool cancelled = false;
    bool fails = false;
  };
  struct Server {
    std::vector<std::shared_ptr<Request>> running;
    std::deque<std::shared_ptr<Request>> queue;
  };
  struct Event {
    double at;
    int server;
    std::shared_ptr<Request> request;
    bool operator<(const Event& other) const { return at > other.at; }
  };
  struct Message {
    double at;
    int from;
    bool full;
    UsageByProcess usage;
    std::vector<ServerObservation> observations;
  };

  static std::string Name(int server) { return "i-" + std::to_string(server); }
  std::string Zone(int index) const {
    return "zone-" + std::to_string(index % settings_.zones);
  }
  TimePoint Now() const { return TimePoint{} + FromSeconds(1000 + now_); }
  double Rate() const {
    const double cycle = settings_.valley_seconds + settings_.peak_seconds;
    const double at = std::fmod(now_, cycle);
    return at < settings_.valley_seconds ? settings_.valley_rate
                                         : settings_.peak_rate;
  }

  int Index(int gateway, BackendServerId id) const {
    return std::stoi(schedulers_[gateway]->Record(id)->instance.substr(2));
  }

  void SendReports(bool full) {
    for (int e = 0; e < settings_.gateways; ++e) {
      messages_.push_back({now_ + settings_.report_delay, e, full,
                           schedulers_[e]->OwnUsage(),
                           schedulers_[e]->pace().TakeObservations(Now())});
    }
    Deliver();
  }

  void Deliver() {
    while (!messages_.empty() && messages_.front().at <= now_) {
      const Message& message = messages_.front();
      for (int e = 0; e < settings_.gateways; ++e) {
        if (e != message.from) Deliver(message, e);
      }
      messages_.pop_front();
    }
  }

  void Deliver(const Message& message, int gateway) {
    const std::string from = std::to_string(message.from);
    if (!message.observations.empty()) {
      schedulers_[gateway]->pace().SetPeerObservations(
          from, message.observations, Now());
    }
    if (message.full) {
      return schedulers_[gateway]->SetPeerUsage(from, message.usage, Now());
    }
    UsageByProcess cell_usage;
    for (int s = gateway % settings_.zones; s < settings_.servers;
         s += settings_.zones) {
      const ServerProcessId process = ProcessOf({.instance = Name(s)});
      const auto usage = message.usage.find(process);
      cell_usage[process] =
          usage == message.usage.end() ? ServerUsage() : usage->second;
    }
    schedulers_[gateway]->UpdatePeerUsage(from, cell_usage, Now());
  }

  BackendServerId LeastUsed(int gateway) {
    BackendServerId best;
    for (int s = 0; s < settings_.servers; ++s) {
      const BackendServerId id = schedulers_[gateway]->Find(Name(s));
      if (!best || schedulers_[gateway]->UsageOf(id).total() <
                       schedulers_[gateway]->UsageOf(best).total()) {
        best = id;
      }
    }
    return best;
  }

  void Arrive() {
    const int gateway =
        static_cast<int>(UniformBelow(rng_, settings_.gateways));
    ++outcome_.online;
    if (settings_.least_used_rule) {
      return Send(gateway, LeastUsed(gateway), true);
    }
    const Placement placement = schedulers_[gateway]->PlaceOnline(
        "llm", FromSeconds(settings_.objective_seconds), {}, Now());
    if (placement.outcome != PlacementOutcome::kPlaced) {
      ++outcome_.rejected;
      return;
    }
    if (placement.preempts_batch) {
      const int owner = placement.preempted_peer.empty()
                            ? gateway
                            : std::stoi(placement.preempted_peer);
      CancelBatch(owner, Index(gateway, placement.server));
    }
    Send(gateway, placement.server, true);
  }

  void StartBatch() {
    for (int gateway = 0; gateway < settings_.gateways; ++gateway) {
      const double phase = 0.025 * gateway / settings_.gateways;
      if (std::fmod(now_ + phase, 0.025) >= kStep) continue;
      WithdrawQueued(gateway);
      uint32_t budget =
          schedulers_[gateway]->BatchBudget("llm", settings_.gateways, Now());
      while (budget-- > 0) {
        const BackendServerId id =
            schedulers_[gateway]->PlaceBatch("llm", {}, Now());
        if (!id) break;
        Send(gateway, id, false);
      }
    }
  }

  void PreemptBatch() {
    constexpr double kEvery = 0.02;
    for (int gateway = 0; gateway < settings_.gateways; ++gateway) {
      const double phase = kEvery * gateway / settings_.gateways;
      if (std::fmod(now_ + phase, kEvery) >= kStep) continue;
      for (const BackendServerId id :
           schedulers_[gateway]->ServersToPreempt(Now())) {
        CancelBatch(gateway, Index(gateway, id));
      }
    }
  }

  // Cancels items that have waited in a server's queue for `withdraw_seconds`.
  void WithdrawQueued(int gateway) {
    for (int index = 0; index < settings_.servers; ++index) {
      for (const auto& request : servers_[index].queue) {
        if (request->online || request->cancelled ||
            request->gateway != gateway ||
            now_ - request->sent_at < settings_.withdraw_seconds) {
          continue;
        }
        request->cancelled = true;
        schedulers_[gateway]->OnRequestEnded(
            schedulers_[gateway]->Find(Name(index)), TrafficClass::kBatch);
        break;
      }
    }
  }

  void Send(int gateway, BackendServerId id, bool online) {
    auto request = std::make_shared<Request>(
        Request{.gateway = gateway, .online = online, .sent_at = now_});
    schedulers_[gateway]->OnRequestStarted(
        id, online ? TrafficClass::kOnline : TrafficClass::kBatch);
    const int server = Index(gateway, id);
    servers_[server].queue.push_back(std::move(request));
    Admit(server);
  }

  void Admit(int index) {
    Server& server = servers_[index];
    while (server.running.size() < settings_.slots && !server.queue.empty()) {
      auto request = server.queue.front();
      server.queue.pop_front();
      if (request->cancelled) continue;
      request->began_at = now_;
      server.running.push_back(request);
      const double wait = now_ - request->sent_at;
      if (request->online) {
        outcome_.mean_wait += wait;
        if (wait > settings_.objective_seconds / 2) ++outcome_.late;
      }
      const double mean = (request->online ? settings_.online_seconds
                                           : settings_.batch_seconds) *
                          Slowness(index);
      double duration = mean * (0.7 + 0.6 * UniformUnit(rng_));
      if (request->online && index < settings_.failing_servers) {
        request->fails = UniformUnit(rng_) < settings_.failing_share;
        if (request->fails) duration = kFailureSeconds;
      }
      events_.push({now_ + duration, index, request});
    }
  }

  double Slowness(int index) const {
    const auto& slowness = settings_.slowness;
    return slowness.empty() ? 1 : slowness[index % slowness.size()];
  }

  // What a gateway learns from the end of an online request.
  void Learn(const Event& event, BackendServerId id) {
    SlotScheduler& scheduler = *schedulers_[event.request->gateway];
    if (event.request->fails) return scheduler.OnAttemptFailed(id, Now());
    scheduler.OnAttemptServed(id, Now());
    const Duration time = FromSeconds(now_ - event.request->began_at);
    scheduler.ObservePace(id, {.step = PaceStep::kResponse, .time = time});
  }

  void Leave(int index, const std::shared_ptr<Request>& request) {
    schedulers_[request->gateway]->OnRequestEnded(
        schedulers_[request->gateway]->Find(Name(index)),
        request->online ? TrafficClass::kOnline : TrafficClass::kBatch);
    if (!request->online && request->began_at >= 0) {
      outcome_.batch_slot_seconds += now_ - request->began_at;
    }
    std::erase(servers_[index].running, request);
    Admit(index);
  }

  void Finish(const Event& event) {
    if (event.request->cancelled) return;
    if (event.request->online) {
      const Duration age = FromSeconds(now_ - event.request->sent_at);
      const BackendServerId id =
          schedulers_[event.request->gateway]->Find(Name(event.server));
      schedulers_[event.request->gateway]->ObserveDuration(id, age);
      if (settings_.learns_pace) Learn(event, id);
      if (event.request->fails) ++outcome_.failed;
      if (!event.request->fails) {
        ++served_;
        outcome_.mean_response += ToSeconds(age);
      }
    }
    Leave(event.server, event.request);
  }

  void CancelBatch(int gateway, int index) {
    Server& server = servers_[index];
    for (const auto& request : server.running) {
      if (request->online || request->gateway != gateway) continue;
      const auto kept = request;
      kept->cancelled = true;
      return Leave(index, kept);
    }
    for (const auto& request : server.queue) {
      if (request->online || request->gateway != gateway ||
          request->cancelled) {
        continue;
      }
      request->cancelled = true;
      schedulers_[gateway]->OnRequestEnded(
          schedulers_[gateway]->Find(Name(index)), TrafficClass::kBatch);
      return;
    }
  }

  Settings settings_;
  Rng rng_;
  double now_ = 0;
  std::vector<std::unique_ptr<SlotScheduler>> schedulers_;
  std::vector<Server> servers_;
  std::priority_queue<Event> events_;
  std::deque<Message> messages_;
  Outcome outcome_;
  int served_ = 0;
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_FLEET_MODEL_H_
