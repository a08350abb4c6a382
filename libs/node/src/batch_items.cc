#include "batch_items.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "entry_fleet.h"
#include "jobs/item_failure.h"
#include "jobs/job_id.h"
#include "observe/metrics.h"
#include "request_runner.h"
#include "traffic_route.h"

namespace knapweedstile::node {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServerError = 500;
constexpr unsigned kTooManyRequests = 429;
constexpr TokenLimits kLimits{256, 32768};

TimePoint DueAt(int64_t due_ms, TimePoint now) {
  if (due_ms == 0) return kNever;
  constexpr int64_t kNanosPerMilli = 1'000'000;
  const int64_t left = due_ms - WallClockNanos() / kNanosPerMilli;
  return now + std::chrono::milliseconds(std::max<int64_t>(1, left));
}

CompletionApi ApiOf(std::string_view body) {
  // The item says by its fields which of the two calls it is; the parser
  // reports a body that is neither.
  return body.find("\"messages\"") != std::string_view::npos
             ? CompletionApi::kChatCompletions
             : CompletionApi::kCompletions;
}

}  // namespace

BatchItems::BatchItems(ShardSet& shards, RequestRunner& runner,
                       const EntryFleet& fleet, observe::Metrics& metrics)
    : shards_(shards), runner_(runner), fleet_(fleet), metrics_(metrics) {
  metrics_.DeclareCounter("knap_batch_items_total",
                          "Batch items by policy and how an attempt ended.",
                          {"policy", "end"});
}

void BatchItems::Fill(TimePoint now,
                      const std::function<RequestId()>& next_id) {
  StopCancelled(now);
  const jobs::LaneHasRoom has_room = [this, now](const jobs::Lane& lane) {
    return HasRoom(now, lane);
  };
  while (auto item = shards_.NextItem(now, has_room)) {
    Take(now, std::move(*item), next_id());
  }
}

// Items of a model that no VM offers are taken too, to end with their own
// error: they would otherwise keep their job open for ever.
bool BatchItems::HasRoom(TimePoint now, const jobs::Lane& lane) const {
  const TrafficRoute route =
      fleet_.policies().RouteOf(lane.workspace, lane.model);
  return runner_.BatchRoom(route.pool) > 0 ||
         fleet_.KnownMissing(now, lane.model);
}

void BatchItems::Take(TimePoint now, ShardSet::Item&& item, RequestId id) {
  jobs::ItemWork& work = item.work;
  const CompletionApi api = ApiOf(work.body);
  auto parsed = ParseCompletion(api, work.body, kLimits);
  if (const auto* error = std::get_if<ApiError>(&parsed)) {
    FailForGood(now, item.shard, work.ticket, error->code, error->message);
    return;
  }
  const auto& completion = std::get<CompletionRequest>(parsed);
  if (fleet_.KnownMissing(now, completion.model)) {
    FailForGood(now, item.shard, work.ticket, "model_not_found",
                "no backend server offers the model " + completion.model);
    return;
  }
  const TrafficRoute route =
      fleet_.policies().RouteOf(work.workspace, completion.model);
  BatchItem batch;
  batch.shard = item.shard;
  batch.ticket = work.ticket;
  batch.policy = route.policy;
  batch.submitted_at = now;
  batch.answer.api = api;
  batch.answer.request_id =
      jobs::ToString(work.job) + "/" + std::to_string(work.index);
  batch.answer.model = completion.model;
  batch.answer.text = work.partial.text;
  batch.answer.completion_tokens = work.partial.tokens;

  decide::RequestInfo info;
  info.id = id;
  info.traffic_class = TrafficClass::kBatch;
  info.workspace = work.workspace;
  info.caller = jobs::ToString(work.job);
  info.target = route.pool;
  info.workspace_weight = route.workspace_weight;
  info.prefix_hashes = completion.prefix_hashes;
  info.prompt_tokens = completion.prompt_tokens;
  info.max_tokens = completion.max_tokens;
  info.due = DueAt(work.due_ms, now);
  info.fingerprint = completion.fingerprint;
  pb::RunRequest message;
  message.set_request_id(batch.answer.request_id);
  message.set_traffic_class(pb::TRAFFIC_CLASS_BATCH);
  message.set_workspace(work.workspace);
  message.set_caller(info.caller);
  message.set_target(route.target);
  message.set_path(std::string(NameOf(api)));
  message.set_body(std::move(work.body));
  message.set_prompt_tokens(completion.prompt_tokens);
  message.set_max_tokens(completion.max_tokens);
  message.set_fingerprint(completion.fingerprint);
  message.set_idempotent(true);
  message.set_resume_text(work.partial.text);
  message.set_resume_tokens(work.partial.tokens);
  items_.emplace(id, std::move(batch));
  runner_.Submit(now, std::move(info), std::move(message));
}

// Items of jobs that were cancelled, or of a shard that was lost.
void BatchItems::StopCancelled(TimePoint now) {
  for (const ShardSet::Stop& stop : shards_.TakeStops()) {
    const auto found =
        std::find_if(items_.begin(), items_.end(), [&](const auto& entry) {
          return entry.second.shard == stop.shard &&
                 entry.second.ticket == stop.ticket;
        });
    if (found == items_.end()) continue;
    metrics_.Add("knap_batch_items_total", {found->second.policy, "stopped"});
    runner_.Cancel(now, found->first);
    items_.erase(found);
  }
}

bool BatchItems::OnEvent(TimePoint now, const RequestEvent& event) {
  const RequestId id =
      std::visit([](const auto& typed) { return typed.request; }, event);
  const auto found = items_.find(id);
  if (found == items_.end()) return false;
  BatchItem& item = found->second;
  if (const auto* output = std::get_if<RequestOutputEvent>(&event)) {
    OnOutput(now, item, *output);
    return true;
  }
  if (const auto* finished = std::get_if<RequestFinishedEvent>(&event)) {
    OnFinished(now, item, finished->finished);
  } else if (const auto* refused = std::get_if<RequestRefusedEvent>(&event)) {
    OnRefused(now, item, refused->refusal);
  } else if (const auto* failed = std::get_if<RequestFailedEvent>(&event)) {
    OnFailed(now, item, *failed);
  } else {
    metrics_.Add("knap_batch_items_total", {item.policy, "yielded"});
    shards_.owner(item.shard)
        .OnItemYielded(item.ticket,
                       {item.answer.text, item.answer.completion_tokens}, now);
  }
  const uint32_t shard = item.shard;
  items_.erase(found);
  shards_.Pump(shard);
  return true;
}

void BatchItems::OnOutput(TimePoint now, BatchItem& item,
                          const RequestOutputEvent& event) {
  if (event.tokens > 0) {
    const bool first = item.last_output_at == TimePoint();
    if (first) item.policy = fleet_.PolicyOf(item.policy, event.server);
    metrics_.Observe(
        first ? "knap_ttft_seconds" : "knap_inter_token_seconds",
        ToSeconds(now - (first ? item.submitted_at : item.last_output_at)),
        {item.policy, std::string(NameOf(TrafficClass::kBatch))});
    item.last_output_at = now;
  }
  item.answer.text += event.data;
  item.answer.completion_tokens += event.tokens;
}

void BatchItems::OnFinished(TimePoint now, BatchItem& item,
                            const pb::Finished& finished) {
  if (finished.status() == kOk) {
    item.answer.finish_reason = finished.finish_reason();
    item.answer.prompt_tokens = finished.prompt_tokens();
    item.answer.completion_tokens = finished.completion_tokens();
    metrics_.Add("knap_batch_items_total", {item.policy, "done"});
    shards_.owner(item.shard)
        .OnItemDone(item.ticket, RenderAnswer(item.answer), now);
    return;
  }
  const bool for_good =
      finished.status() < kServerError && finished.status() != kTooManyRequests;
  metrics_.Add("knap_batch_items_total", {item.policy, "error"});
  jobs::ItemFailure failure;
  failure.kind = for_good ? jobs::ItemFailureKind::kPermanent
                          : jobs::ItemFailureKind::kAttempt;
  failure.code = "backend_server_error";
  failure.message =
      "the backend server answered " + std::to_string(finished.status());
  shards_.owner(item.shard).OnItemFailed(item.ticket, std::move(failure), now);
}

void BatchItems::OnRefused(TimePoint now, const BatchItem& item,
                           const decide::Refusal& refusal) {
  metrics_.Add("knap_batch_items_total",
               {item.policy, std::string(NameOf(refusal.reason))});
  if (refusal.reason == decide::RefusalReason::kQuarantined) {
    FailForGood(now, item.shard, item.ticket,
                std::string(NameOf(refusal.reason)),
                "this item has made backend servers crash");
    return;
  }
  shards_.owner(item.shard)
      .OnItemRefused(item.ticket, refusal.come_back_at, now);
}

void BatchItems::OnFailed(TimePoint now, const BatchItem& item,
                          const RequestFailedEvent& event) {
  metrics_.Add("knap_batch_items_total",
               {item.policy, std::string(NameOf(event.outcome))});
  jobs::ItemFailure failure;
  failure.kind = jobs::ItemFailureKind::kAttempt;
  failure.code = NameOf(event.outcome);
  failure.message = event.message;
  failure.partial = {item.answer.text, item.answer.completion_tokens};
  shards_.owner(item.shard).OnItemFailed(item.ticket, std::move(failure), now);
}

void BatchItems::FailForGood(TimePoint now, uint32_t shard,
                             jobs::ItemTicket ticket, std::string code,
                             std::string message) {
  jobs::ItemFailure failure;
  failure.kind = jobs::ItemFailureKind::kPermanent;
  failure.code = std::move(code);
  failure.message = std::move(message);
  shards_.owner(shard).OnItemFailed(ticket, std::move(failure), now);
  shards_.Pump(shard);
}

}  // namespace knapweedstile::node
