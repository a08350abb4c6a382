#include "load/load_run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "http/client.h"
#include "response_reader.h"

namespace knapweedstile::load {
namespace {

namespace json = boost::json;

constexpr unsigned kOkStatus = 200;
constexpr std::chrono::milliseconds kProgressPeriod{100};

// One request in flight.
struct Call {
  uint32_t arrival = 0;
  ResponseReader reader{true};
  unsigned status = 0;
  std::optional<TimePoint> first_token_at;
};

std::string RequestBody(const Arrival& arrival, const std::string& model) {
  json::object body{{"model", model},
                    {"max_tokens", arrival.max_tokens},
                    {"stream", arrival.stream}};
  if (arrival.kind == ArrivalKind::kChat) {
    body["messages"] = json::array{
        json::object{{"role", "user"}, {"content", arrival.prompt}}};
  } else {
    body["prompt"] = arrival.prompt;
  }
  return json::serialize(body);
}

}  // namespace

class LoadRun::Impl {
 public:
  Impl(const LoadTargets& targets, std::vector<Arrival> plan)
      : targets_(targets),
        plan_(std::move(plan)),
        outcomes_(plan_.size()),
        client_(io_, http::ClientSettings(),
                [this](http::ClientEvent&& event) { OnEvent(event); }),
        arrival_timer_(io_),
        progress_timer_(io_) {}

  std::vector<CallOutcome> Run(const Progress& progress) {
    started_at_ = MonotonicNow();
    progress_ = progress;
    for (size_t i = 0; i < plan_.size(); ++i) {
      outcomes_[i].arrival = static_cast<uint32_t>(i);
      outcomes_[i].planned_at = plan_[i].at;
      outcomes_[i].streamed =
          plan_[i].stream && plan_[i].kind != ArrivalKind::kService;
    }
    const Duration last = plan_.empty() ? Duration() : plan_.back().at;
    deadline_ = started_at_ + last + targets_.response_timeout;
    ScheduleNextArrival();
    ScheduleProgress();
    io_.run();
    for (CallOutcome& outcome : outcomes_) {
      if (outcome.ended_after == Duration()) {
        outcome.ended_after =
            last + targets_.response_timeout - outcome.planned_at;
      }
    }
    return outcomes_;
  }

  TimePoint started_at() const { return started_at_; }

 private:
  void ScheduleNextArrival() {
    if (next_arrival_ == plan_.size()) return;
    arrival_timer_.expires_at(started_at_ + plan_[next_arrival_].at);
    arrival_timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      while (next_arrival_ < plan_.size() &&
             started_at_ + plan_[next_arrival_].at <= MonotonicNow()) {
        Send(static_cast<uint32_t>(next_arrival_++));
      }
      ScheduleNextArrival();
    });
  }

  void ScheduleProgress() {
    progress_timer_.expires_after(kProgressPeriod);
    progress_timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      const TimePoint now = MonotonicNow();
      if (progress_) progress_(finished_calls_, now - started_at_);
      if (now >= deadline_) {
        io_.stop();
      } else if (finished_calls_ < plan_.size()) {
        ScheduleProgress();
      } else {
        client_.Close();
        io_.stop();
      }
    });
  }

  void Send(uint32_t index) {
    const Arrival& arrival = plan_[index];
    const ExchangeId id(index + 1);
    http::ClientRequest request;
    request.exchange = id;
    request.address = targets_.gateways[index % targets_.gateways.size()];
    request.method = "POST";
    request.stream_body = true;
    request.headers.Add(
        "Host", targets_.host.empty() ? request.address : targets_.host);
    request.headers.Add("X-Workspace", arrival.workspace);
    const auto key = targets_.workspace_keys.find(arrival.workspace);
    if (key != targets_.workspace_keys.end()) {
      request.headers.Add("Authorization", "Bearer " + key->second);
    }
    if (arrival.kind == ArrivalKind::kService) {
      request.target = targets_.service_path;
      request.body = arrival.prompt;
    } else {
      request.target = arrival.kind == ArrivalKind::kChat
                           ? "/v1/chat/completions"
                           : "/v1/completions";
      request.headers.Add("Content-Type", "application/json");
      request.body = RequestBody(arrival, targets_.model);
    }
    calls_.emplace(id, Call{index, ResponseReader(arrival.stream), 0, {}});
    client_.Send(std::move(request));
  }

  void OnEvent(const http::ClientEvent& event) {
    const ExchangeId id = std::visit(
        [](const auto& typed_event) { return typed_event.exchange; }, event);
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    Call& call = found->second;
    if (const auto* head = std::get_if<http::HeadEvent>(&event)) {
      call.status = head->status;
    } else if (const auto* body = std::get_if<http::BodyEvent>(&event)) {
      OnBody(id, call, body->data);
    } else if (const auto* end = std::get_if<http::EndEvent>(&event)) {
      if (call.status == 0) call.status = end->status;
      call.reader.Finish();
      Finish(id, ResultOf(call, *end));
    }
  }

  void OnBody(ExchangeId id, Call& call, const std::string& data) {
    call.reader.Feed(data);
    if (!call.first_token_at && call.reader.content_chunks() > 0) {
      call.first_token_at = MonotonicNow();
      if (plan_[call.arrival].disconnects) {
        client_.Cancel(id);
        Finish(id, CallResult::kDisconnected);
      }
    }
  }

  CallResult ResultOf(const Call& call, const http::EndEvent& end) const {
    if (end.outcome != http::ClientOutcome::kComplete)
      return CallResult::kNoResponse;
    if (!call.reader.error_code().empty()) {
      return call.reader.not_run() ? CallResult::kRejected : CallResult::kError;
    }
    if (call.status != kOkStatus) return CallResult::kError;
    const Arrival& arrival = plan_[call.arrival];
    if (arrival.kind == ArrivalKind::kService) return CallResult::kComplete;
    if (!call.reader.complete()) return CallResult::kInvalid;
    const bool matches = !targets_.verify_responses ||
                         call.reader.text() == ExpectedResponse(arrival);
    return matches ? CallResult::kComplete : CallResult::kInvalid;
  }

  void Finish(ExchangeId id, CallResult result) {
    const auto found = calls_.find(id);
    const Call& call = found->second;
    CallOutcome& outcome = outcomes_[call.arrival];
    const TimePoint planned = started_at_ + outcome.planned_at;
    const TimePoint now = MonotonicNow();
    outcome.result = result;
    outcome.status = call.status;
    outcome.error_code = call.reader.error_code();
    outcome.first_token_after = call.first_token_at.value_or(now) - planned;
    outcome.ended_after = now - planned;
    outcome.tokens = call.reader.content_chunks();
    ++finished_calls_;
    calls_.erase(found);
  }

  LoadTargets targets_;
  std::vector<Arrival> plan_;
  std::vector<CallOutcome> outcomes_;
  boost::asio::io_context io_{1};
  http::Client client_;
  boost::asio::steady_timer arrival_timer_;
  boost::asio::steady_timer progress_timer_;
  std::unordered_map<ExchangeId, Call> calls_;
  Progress progress_;
  TimePoint started_at_;
  TimePoint deadline_;
  size_t next_arrival_ = 0;
  size_t finished_calls_ = 0;
};

LoadRun::LoadRun(const LoadTargets& targets, std::vector<Arrival> plan)
    : impl_(std::make_unique<Impl>(targets, std::move(plan))) {}
LoadRun::~LoadRun() = default;

std::vector<CallOutcome> LoadRun::Run(const Progress& progress) {
  return impl_->Run(progress);
}

TimePoint LoadRun::started_at() const { return impl_->started_at(); }

}  // namespace knapweedstile::load
