#include "request_runner.h"

#include <type_traits>

#include "base/clock.h"
#include "decide/entry_settings.h"
#include "observe/timeline.h"

namespace knapweedstile::node {
namespace {

using decide::AttemptOutcome;

// An attempt and its stream have the same number.
StreamId StreamOf(AttemptId attempt) { return StreamId(attempt.value()); }
AttemptId AttemptOf(StreamId stream) { return AttemptId(stream.value()); }
PeerId PeerOf(BackendServerId id) { return PeerId(id.value()); }

uint64_t BudgetMillis(TimePoint deadline, TimePoint now) {
  if (deadline == kNever) return 0;
  // Zero means "none" on the wire; a deadline that has passed is one.
  return std::max<int64_t>(1, ToMillis(Remaining(deadline, now)));
}

}  // namespace

RequestRunner::RequestRunner(const decide::EntrySettings& settings,
                             uint64_t seed, observe::Timeline& timeline,
                             WireSink send)
    : scheduler_(settings, seed), timeline_(timeline), send_(std::move(send)) {}

void RequestRunner::Submit(TimePoint now, decide::RequestInfo info,
                           pb::RunRequest message) {
  Request request{std::move(message), info.deadline, info.due, {}};
  requests_.emplace(info.id, std::move(request));
  Record("request_arrived", info.id, {}, info.target);
  scheduler_.OnArrival(now, std::move(info), actions_);
  Perform(now);
}

void RequestRunner::Cancel(TimePoint now, RequestId request) {
  if (requests_.find(request) == requests_.end()) return;
  Record("request_cancelled", request, {}, "");
  scheduler_.OnCancel(now, request, actions_);
  requests_.erase(request);
  failure_messages_.erase(request);
  Perform(now);
}

void RequestRunner::OnStreamEvent(TimePoint now, wire::StreamEvent&& event) {
  const AttemptId id = AttemptOf(event.stream);
  const auto attempt = attempts_.find(id);
  if (attempt == attempts_.end()) return;
  const RequestId request = attempt->second.request;
  const BackendServerId server = attempt->second.backend_server;
  if (event.event.has_load()) OnLoad(now, server, event.event.load());
  switch (event.event.kind_case()) {
    case pb::RunEvent::kStarted:
      Record("attempt_started", request, id, "");
      break;
    case pb::RunEvent::kOutput:
      OnOutput(now, id, request, server,
               std::move(*event.event.mutable_output()));
      break;
    case pb::RunEvent::kFinished:
      OnFinished(now, id, std::move(*event.event.mutable_finished()));
      break;
    case pb::RunEvent::kRefused: {
      const auto wait =
          std::chrono::milliseconds(event.event.refused().retry_after_ms());
      EndAttempt(now, id, AttemptOutcome::kRefused, now + wait);
      break;
    }
    case pb::RunEvent::kYielded:
      EndAttempt(now, id, AttemptOutcome::kYielded);
      break;
    case pb::RunEvent::kFailed: {
      const pb::Failed& failed = event.event.failed();
      failure_messages_[request] = failed.message();
      EndAttempt(now, id,
                 ParseEnum<AttemptOutcome>(failed.outcome())
                     .value_or(AttemptOutcome::kUnknown));
      break;
    }
    case pb::RunEvent::KIND_NOT_SET:
      break;
  }
}

void RequestRunner::OnStreamClosed(TimePoint now,
                                   const wire::StreamClosedEvent& event) {
  EndAttempt(now, AttemptOf(event.stream),
             event.loss == wire::StreamLoss::kNotSent
                 ? AttemptOutcome::kNotSent
                 : AttemptOutcome::kUnknown);
}

void RequestRunner::OnBackendServerUp(TimePoint now, BackendServerId id,
                                      std::vector<std::string> targets,
                                      std::string availability_zone) {
  scheduler_.OnBackendServerUp(now, id, std::move(targets),
                               std::move(availability_zone), actions_);
  Perform(now);
}

void RequestRunner::OnBackendServerLeaving(TimePoint now, BackendServerId id) {
  scheduler_.OnBackendServerLeaving(now, id);
}

void RequestRunner::OnBackendServerDown(TimePoint now, BackendServerId id) {
  scheduler_.OnBackendServerDown(now, id);
}

void RequestRunner::OnLoad(TimePoint now, BackendServerId id,
                           const pb::Load& load) {
  decide::LoadReport report;
  report.measured_at = now - std::chrono::milliseconds(load.age_ms());
  report.slots = load.slots();
  report.online_running = load.online_running();
  report.online_waiting = load.online_waiting();
  report.batch_running = load.batch_running();
  report.batch_waiting = load.batch_waiting();
  scheduler_.OnLoad(now, id, report, actions_);
  Perform(now);
}

void RequestRunner::OnQuarantined(TimePoint now, uint64_t fingerprint,
                                  TimePoint until) {
  scheduler_.OnQuarantined(now, fingerprint, until);
}

void RequestRunner::OnTick(TimePoint now) {
  scheduler_.OnTick(now, actions_);
  Perform(now);
}

void RequestRunner::Perform(TimePoint now) {
  // Performing an action gives the scheduler no event, so the list is final.
  const std::vector<decide::EntryAction> actions = std::exchange(actions_, {});
  for (const decide::EntryAction& action : actions) {
    std::visit(
        [&](const auto& typed) {
          using Action = std::decay_t<decltype(typed)>;
          if constexpr (std::is_same_v<Action, decide::DispatchAction>) {
            Dispatch(now, typed);
          } else if constexpr (std::is_same_v<Action,
                                              decide::CancelAttemptAction>) {
            CancelAttempt(typed.attempt);
          } else if constexpr (std::is_same_v<Action, decide::RefuseAction>) {
            Refuse(typed);
          } else {
            FailRequest(typed);
          }
        },
        action);
  }
}

void RequestRunner::Dispatch(TimePoint now,
                             const decide::DispatchAction& action) {
  const auto found = requests_.find(action.request);
  if (found == requests_.end()) return;
  attempts_[action.attempt] = {action.request, action.backend_server};
  pb::RunRequest message = found->second.message;
  message.set_attempt(action.attempt.value());
  message.set_budget_ms(BudgetMillis(found->second.deadline, now));
  message.set_due_ms(BudgetMillis(found->second.due, now));
  Record("attempt_dispatched", action.request, action.attempt,
         std::to_string(action.backend_server.value()));
  send_(wire::OpenStreamCommand{PeerOf(action.backend_server),
                                StreamOf(action.attempt), std::move(message)});
}

void RequestRunner::CancelAttempt(AttemptId attempt) {
  if (attempts_.erase(attempt) == 0) return;
  send_(wire::CancelStreamCommand{StreamOf(attempt)});
}

void RequestRunner::Refuse(const decide::RefuseAction& action) {
  if (!requests_.contains(action.request)) return;
  Record("request_refused", action.request, {},
         std::string(NameOf(action.refusal.reason)));
  requests_.erase(action.request);
  failure_messages_.erase(action.request);
  events_.push_back(RequestRefusedEvent{action.request, action.refusal});
}

void RequestRunner::FailRequest(const decide::FailAction& action) {
  if (!requests_.contains(action.request)) return;
  Record("request_failed", action.request, {},
         std::string(NameOf(action.outcome)));
  requests_.erase(action.request);
  std::string message;
  if (auto node = failure_messages_.extract(action.request)) {
    message = std::move(node.mapped());
  }
  events_.push_back(
      RequestFailedEvent{action.request, action.outcome, std::move(message)});
}

void RequestRunner::OnOutput(TimePoint now, AttemptId id, RequestId request,
                             BackendServerId server, pb::Output&& output) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  if (!found->second.winner) {
    found->second.winner = id;
    Record("first_output", request, id, "");
    scheduler_.OnFirstOutput(now, id, actions_);
    Perform(now);
  }
  // A hedge that lost the race may still have output on its way.
  if (found->second.winner != id) return;
  events_.push_back(RequestOutputEvent{
      request, server, std::move(*output.mutable_data()), output.tokens()});
}

void RequestRunner::EndAttempt(TimePoint now, AttemptId id,
                               AttemptOutcome outcome, TimePoint come_back_at) {
  const auto attempt = attempts_.find(id);
  if (attempt == attempts_.end()) return;
  const RequestId request = attempt->second.request;
  attempts_.erase(attempt);
  Record("attempt_ended", request, id, std::string(NameOf(outcome)));
  scheduler_.OnAttemptEnded(now, id, outcome, come_back_at, actions_);
  if (outcome == AttemptOutcome::kYielded && requests_.erase(request) != 0) {
    events_.push_back(RequestYieldedEvent{request});
  }
  Perform(now);
}

void RequestRunner::OnFinished(TimePoint now, AttemptId id,
                               pb::Finished&& finished) {
  const RequestId request = attempts_[id].request;
  const auto found = requests_.find(request);
  const bool counts = found != requests_.end() &&
                      (!found->second.winner || found->second.winner == id);
  EndAttempt(now, id, AttemptOutcome::kDone);
  if (!counts || !requests_.contains(request)) return;
  Record("request_finished", request, id, std::to_string(finished.status()));
  requests_.erase(request);
  failure_messages_.erase(request);
  events_.push_back(RequestFinishedEvent{request, std::move(finished)});
}

void RequestRunner::Record(const char* name, RequestId request,
                           AttemptId attempt, std::string detail) {
  const auto found = requests_.find(request);
  observe::TimelineEvent event;
  event.wall_clock_nanos = WallClockNanos();
  event.name = name;
  if (found != requests_.end()) {
    event.request = found->second.message.request_id();
  }
  if (attempt)
    event.args.emplace_back("attempt", std::to_string(attempt.value()));
  if (!detail.empty()) event.args.emplace_back("detail", std::move(detail));
  timeline_.Record(std::move(event));
}

}  // namespace knapweedstile::node
