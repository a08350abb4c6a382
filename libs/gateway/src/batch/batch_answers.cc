#include <algorithm>
#include <array>
#include <utility>

#include "base/clock.h"
#include "base/log.h"
#include "batch/batch_runner.h"
#include "servers/attempt_end.h"
#include "users_platform/request_headers.h"

// Handling of the backend servers' responses to runs of batch items.
namespace knapweedstile::gateway {
namespace {

using serving::ItemRef;
using serving::ItemState;
using users_platform::DecodeAnswer;
using users_platform::ServerAnswer;

constexpr unsigned kUnprocessable = 422;
constexpr unsigned kServerError = 500;

constexpr std::chrono::milliseconds kNotExecutedPause{50};
constexpr std::chrono::milliseconds kFailedPause{100};
// Indexed by the number of consecutive runs that broke before the first event.
// An item is owed however many servers crashed under it: the longest pause
// spares a fleet that is down, and is short against the time until the item is
// due.
constexpr std::array<std::chrono::milliseconds, 4> kBrokenAttemptPauses = {
    std::chrono::milliseconds(50), std::chrono::milliseconds(100),
    std::chrono::milliseconds(400), std::chrono::milliseconds(3000)};
// After the first event, events arrive every 30 ms.
constexpr std::chrono::milliseconds kNextEventTimeout{2000};

}  // namespace

serving::ItemProgress& BatchRunner::Progress(const ItemRun& run) {
  return jobs_.Find(run.item.job)->progress[run.item.index];
}

void BatchRunner::OnClientEvent(http::ClientEvent&& event) {
  const ExchangeId exchange =
      std::visit([](const auto& e) { return e.exchange; }, event);
  const auto found = runs_.find(exchange);
  if (found == runs_.end()) return;
  ItemRun& run = found->second;
  if (auto* head = std::get_if<http::HeadEvent>(&event)) {
    OnHead(run, std::move(*head));
  } else if (const auto* body = std::get_if<http::BodyEvent>(&event)) {
    OnBody(run, body->data);
  } else {
    OnEnd(run, std::get<http::EndEvent>(event));
  }
}

void BatchRunner::OnHead(ItemRun& run, http::HeadEvent&& event) {
  const ServerAnswer answer = DecodeAnswer(event.status, event.headers);
  const bool unsigned_output = answer.ok() && !answer.signed_answer;
  if (answer.request_id != run.item_id || unsigned_output) {
    connections_.Cancel(run.exchange);
    return OnAttemptBroken(run, kForeignAnswer);
  }
  run.status = event.status;
  run.head = std::move(event.headers);
}

void BatchRunner::OnBody(ItemRun& run, std::string_view data) {
  if (run.status / 100 != 2) return;
  run.reader.Append(data);
  const bool in_order = ReadEvents(run);
  if (in_order && !run.reader.IsMalformed()) return;
  connections_.Cancel(run.exchange);
  OnAttemptBroken(run, in_order ? kMalformedStream : "event_out_of_order");
}

bool BatchRunner::ReadEvents(ItemRun& run) {
  serving::ItemProgress& progress = Progress(run);
  size_t count = 0;
  while (auto event = run.reader.Next()) {
    if (!event->id) continue;
    if (progress.last_event && *event->id != *progress.last_event + 1) {
      return false;
    }
    if (progress.last_event) {
      progress.output += '\n';
    } else {
      progress.service = run.service;
      progress.software = run.software;
    }
    progress.output += event->data;
    progress.last_event = event->id;
    progress.breaks = 0;
    run.received_event = true;
    run.stalls_at = MonotonicNow() + kNextEventTimeout;
    ++count;
  }
  if (count == 0) return true;
  const TimePoint now = MonotonicNow();
  const auto sample = run.pace.OnEvents(count, now);
  if (sample) scheduler_.ObservePace(run.server, *sample);
  return true;
}

void BatchRunner::OnEnd(ItemRun& run, const http::EndEvent& event) {
  if (event.outcome == http::ClientOutcome::kNotSent) {
    scheduler_.MarkUnreachable(run.server, MonotonicNow());
    scheduler_.OnAttemptFailed(run.server, MonotonicNow());
    return Requeue(run, kNotExecutedPause, "unreachable");
  }
  if (event.outcome == http::ClientOutcome::kUnsendable) {
    LogWarning("item_given_up", {{"job", run.item.job},
                                 {"item", run.item_id},
                                 {"cause", NameOf(event.outcome)}});
    return Finish(run, ItemState::kFailed);
  }
  if (event.outcome != http::ClientOutcome::kComplete) {
    return OnAttemptBroken(run, NameOf(event.outcome));
  }
  OnComplete(run);
}

void BatchRunner::OnComplete(ItemRun& run) {
  const ServerAnswer answer = DecodeAnswer(run.status, run.head);
  if (answer.not_executed) {
    if (answer.wrong_instance) {
      scheduler_.MarkUnreachable(run.server, MonotonicNow());
    } else {
      scheduler_.MarkFull(run.server, MonotonicNow());
    }
    return Requeue(run, kNotExecutedPause, "not_executed");
  }
  if (!answer.ok()) return OnErrorResponse(run);
  if (EndsEarly(run.head, run.reader, run.received_event))
    return OnAttemptBroken(run, kPartialEvent);
  scheduler_.MarkReachable(run.server);
  scheduler_.OnAttemptServed(run.server, MonotonicNow());
  crashing_parts_.OnAnswered(run.prompt_parts, MonotonicNow());
  Finish(run, ItemState::kCompleted);
}

void BatchRunner::OnErrorResponse(ItemRun& run) {
  serving::ItemProgress& progress = Progress(run);
  LogWarning("item_failed", {{"job", run.item.job},
                             {"item", run.item_id},
                             {"status", run.status},
                             {"failures", progress.failures}});
  if (run.status == kUnprocessable) {
    scheduler_.OnAttemptServed(run.server, MonotonicNow());
    return Finish(run, ItemState::kFailed);
  }
  scheduler_.OnAttemptFailed(run.server, MonotonicNow());
  if (run.status == kServerError) ++progress.failures;
  const serving::Route* route = routes_.FindByName(run.route);
  const uint32_t attempts = route ? route->max_attempts : 1;
  if (progress.failures >= attempts) return Finish(run, ItemState::kFailed);
  Requeue(run, kFailedPause, "server_error");
}

// Guards against items that reach a fleet that is down again and again. Their
// runs break before the first event; from the third on, the pauses are seconds.
void BatchRunner::OnAttemptBroken(ItemRun& run, std::string_view reason) {
  serving::ItemProgress& progress = Progress(run);
  const TimePoint now = MonotonicNow();
  scheduler_.OnAttemptFailed(run.server, now);
  if (IsCrash(reason))
    crashing_parts_.OnServerEnded(scheduler_.Process(run.server), now);
  if (!run.received_event) ++progress.breaks;
  const size_t step =
      std::min<size_t>(progress.breaks, kBrokenAttemptPauses.size() - 1);
  Requeue(run, kBrokenAttemptPauses[step], reason);
}

void BatchRunner::Finish(ItemRun& run, ItemState state) {
  const ItemRef item = run.item;
  const Duration age = MonotonicNow() - run.started_at;
  LogInfo("item_done", {{"job", item.job},
                        {"item", run.item_id},
                        {"state", NameOf(state)},
                        {"age_ms", ToMillis(age)}});
  metrics_.Add("knap_items_total",
               {std::string(NameOf(state)),
                std::string(scheduler_.SharingPolicyName(run.server))});
  RecordRun(run, NameOf(state));
  RemoveRun(run);
  jobs_.SetFinished(item, state);
  callbacks_.item_finished(item.job);
}

void BatchRunner::Requeue(ItemRun& run, Duration pause,
                          std::string_view reason) {
  const ItemRef item = run.item;
  const serving::ServerRecord* record = scheduler_.Record(run.server);
  LogInfo("item_requeued",
          {{"job", item.job},
           {"item", run.item_id},
           {"reason", reason},
           {"server", record ? record->address : "-"},
           {"software", record ? record->software : "-"},
           {"after_event", Progress(run).last_event.value_or(0)},
           {"pause_ms", ToMillis(pause)}});
  metrics_.Add("knap_items_requeued_total", {std::string(reason)});
  RecordRun(run, reason);
  RemoveRun(run);
  jobs_.SetWaiting(item, MonotonicNow() + pause);
}

void BatchRunner::RecordRun(const ItemRun& run, std::string_view end) {
  const serving::ServerRecord* record = scheduler_.Record(run.server);
  const Duration duration = MonotonicNow() - run.started_at;
  timeline_.Record(
      {.wall_clock_nanos = WallClockNanos(),
       .duration_nanos = ToNanos(duration),
       .name = "item_run",
       .request = run.item_id,
       .args = {{"job", run.item.job},
                {"end", std::string(end)},
                {"configuration", std::to_string(run.configuration)},
                {"server", record ? record->address : "-"}}});
}

void BatchRunner::RemoveRun(ItemRun& run) {
  scheduler_.OnRequestEnded(run.server, TrafficClass::kBatch);
  runs_.erase(run.exchange);
  callbacks_.usage_changed();
}

}  // namespace knapweedstile::gateway
