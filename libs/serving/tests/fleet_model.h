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

// Entries with a slot board each before backend servers that admit in order of
// arrival, in simulated time. Entries hear of each other's usage after a delay;
// online traffic moves in steps, batch items fill what is left and hold a slot
// for seconds. Judged by what callers receive: how long until a request runs.
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
    // Online requests a second in the valley and at the peak.
    double valley_rate = 30;
    double peak_rate = 165;
    double valley_seconds = 3.0;
    double peak_seconds = 2.2;
    bool batch = true;  // an endless supply of items
    double withdraw_seconds = 0.09;
    bool preempt_batch = true;  // items leave where online requests wait
    // An entry tells its usage this often, and it is known this much later.
    double report_interval = 0.008;
    double report_delay = 0.01;
    // Each zone is a cell: its entries are told of its servers as above, and of
    // all others four times a second.
    bool cells = false;
    double run_seconds = 30;
    double objective_seconds = 0.3;
    SlotSchedulerSettings scheduler;
    // Instead of the board's rule: the least used server as the entry sees it.
    bool least_used_rule = false;
  };
  struct Outcome {
    int online = 0;
    int late = 0;  // waited for longer than half the objective
    int rejected = 0;
    double batch_slot_seconds = 0;
    double mean_wait = 0;
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
    double next_share = 0;
    double next_whole = 0;
    for (now_ = 0; now_ < settings_.run_seconds; now_ += kStep) {
      while (!events_.empty() && events_.top().at <= now_) {
        const Event event = events_.top();
        events_.pop();
        Finish(event);
      }
      if (now_ >= next_share) {
        SendReports(!settings_.cells);
        next_share = now_ + settings_.report_interval;
      }
      if (settings_.cells && now_ >= next_whole) {
        SendReports(true);
        next_whole = now_ + kFullReportInterval;
      }
      while (next_arrival <= now_) {
        Arrive();
        next_arrival += -std::log(1 - UniformUnit(rng_)) / Rate();
      }
      if (settings_.batch) StartBatch();
      if (settings_.batch && settings_.preempt_batch) PreemptBatch();
    }
    if (outcome_.online > 0) outcome_.mean_wait /= outcome_.online;
    return outcome_;
  }

 private:
  static constexpr double kStep = 0.001;
  static constexpr double kFullReportInterval = 0.25;

  struct Request {
    int gateway = 0;
    bool online = true;
    double sent_at = 0;
    double began_at = -1;
    bool cancelled = false;
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

  int Index(int entry, BackendServerId id) const {
    return std::stoi(schedulers_[entry]->Record(id)->instance.substr(2));
  }

  void SendReports(bool whole) {
    for (int e = 0; e < settings_.gateways; ++e) {
      messages_.push_back({now_ + settings_.report_delay, e, whole,
                           schedulers_[e]->OwnUsage()});
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

  void Deliver(const Message& message, int entry) {
    const std::string from = std::to_string(message.from);
    if (message.full) {
      return schedulers_[entry]->SetPeerUsage(from, message.usage, Now());
    }
    UsageByProcess of_cell;
    for (int s = entry % settings_.zones; s < settings_.servers;
         s += settings_.zones) {
      const ServerProcessId process = ProcessOf({.instance = Name(s)});
      const auto usage = message.usage.find(process);
      of_cell[process] =
          usage == message.usage.end() ? ServerUsage() : usage->second;
    }
    schedulers_[entry]->UpdatePeerUsage(from, of_cell, Now());
  }

  BackendServerId LeastUsed(int entry) {
    BackendServerId best;
    for (int s = 0; s < settings_.servers; ++s) {
      const BackendServerId id = schedulers_[entry]->Find(Name(s));
      if (!best || schedulers_[entry]->UsageOf(id).total() <
                       schedulers_[entry]->UsageOf(best).total()) {
        best = id;
      }
    }
    return best;
  }

  void Arrive() {
    const int entry = static_cast<int>(UniformBelow(rng_, settings_.gateways));
    ++outcome_.online;
    if (settings_.least_used_rule) {
      return Send(entry, LeastUsed(entry), true);
    }
    const Placement placement = schedulers_[entry]->PlaceOnline(
        "llm", FromSeconds(settings_.objective_seconds), {}, Now());
    if (placement.outcome != PlacementOutcome::kPlaced) {
      ++outcome_.rejected;
      return;
    }
    if (placement.preempts_batch) {
      const int owner = placement.preempted_peer.empty()
                            ? entry
                            : std::stoi(placement.preempted_peer);
      CancelBatch(owner, Index(entry, placement.server));
    }
    Send(entry, placement.server, true);
  }

  void StartBatch() {
    for (int entry = 0; entry < settings_.gateways; ++entry) {
      const double phase = 0.025 * entry / settings_.gateways;
      if (std::fmod(now_ + phase, 0.025) >= kStep) continue;
      WithdrawQueued(entry);
      uint32_t budget =
          schedulers_[entry]->BatchBudget("llm", settings_.gateways, Now());
      while (budget-- > 0) {
        const BackendServerId id =
            schedulers_[entry]->PlaceBatch("llm", {}, Now());
        if (!id) break;
        Send(entry, id, false);
      }
    }
  }

  void PreemptBatch() {
    constexpr double kEvery = 0.02;
    for (int entry = 0; entry < settings_.gateways; ++entry) {
      const double phase = kEvery * entry / settings_.gateways;
      if (std::fmod(now_ + phase, kEvery) >= kStep) continue;
      for (const BackendServerId id :
           schedulers_[entry]->ServersToPreempt(Now())) {
        CancelBatch(entry, Index(entry, id));
      }
    }
  }

  // Items that wait in a server's queue are taken back after a while.
  void WithdrawQueued(int entry) {
    for (int index = 0; index < settings_.servers; ++index) {
      for (const auto& request : servers_[index].queue) {
        if (request->online || request->cancelled ||
            request->gateway != entry ||
            now_ - request->sent_at < settings_.withdraw_seconds) {
          continue;
        }
        request->cancelled = true;
        schedulers_[entry]->OnRequestEnded(
            schedulers_[entry]->Find(Name(index)), TrafficClass::kBatch);
        break;
      }
    }
  }

  void Send(int entry, BackendServerId id, bool online) {
    auto request = std::make_shared<Request>(
        Request{.gateway = entry, .online = online, .sent_at = now_});
    schedulers_[entry]->OnRequestStarted(
        id, online ? TrafficClass::kOnline : TrafficClass::kBatch);
    const int server = Index(entry, id);
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
      const double mean =
          request->online ? settings_.online_seconds : settings_.batch_seconds;
      events_.push(
          {now_ + mean * (0.7 + 0.6 * UniformUnit(rng_)), index, request});
    }
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
      schedulers_[event.request->gateway]->ObserveDuration(
          schedulers_[event.request->gateway]->Find(Name(event.server)),
          FromSeconds(now_ - event.request->sent_at));
    }
    Leave(event.server, event.request);
  }

  void CancelBatch(int entry, int index) {
    Server& server = servers_[index];
    for (const auto& request : server.running) {
      if (request->online || request->gateway != entry) continue;
      const auto kept = request;
      kept->cancelled = true;
      return Leave(index, kept);
    }
    for (const auto& request : server.queue) {
      if (request->online || request->gateway != entry || request->cancelled) {
        continue;
      }
      request->cancelled = true;
      schedulers_[entry]->OnRequestEnded(schedulers_[entry]->Find(Name(index)),
                                         TrafficClass::kBatch);
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
};

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_FLEET_MODEL_H_
