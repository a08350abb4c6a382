#include "online_traffic.h"

#include <fmt/format.h>

#include <iterator>
#include <utility>

#include "prompt_parts.h"
#include "soak_workspaces.h"

namespace knapweedstile::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortBudget{1000};
constexpr milliseconds kLongBudget{5000};
// Callers wait this much longer than the budget that they send.
constexpr milliseconds kCallerGrace{3000};
// One in kRequestsPerHangUp requests may be cancelled before its response is
// complete.
constexpr uint64_t kRequestsPerHangUp = 25;
constexpr uint64_t kMaxHangUpDelayMs = 400;  // after sending

constexpr uint64_t kKindShares = 20;
// Of kKeyShares requests, one has an unknown key, kChangingShares have a key
// that is added and revoked during the run, and the others have a permanent
// key.
constexpr uint64_t kKeyShares = 20;
constexpr uint64_t kChangingShares = 5;

// Mostly streams, as in production deployments.
OnlineKind DrawKind(Rng& rng) {
  const uint64_t draw = UniformBelow(rng, kKindShares);
  if (draw < 7) return OnlineKind::kQuery;
  if (draw < 11) return OnlineKind::kReply;
  if (draw < 14) return OnlineKind::kPing;
  if (draw < 17) return OnlineKind::kBook;
  return OnlineKind::kExtra;
}

int CountEvents(const std::string& text) {
  int count = 0;
  for (size_t at = text.find("\n\n"); at != std::string::npos;
       at = text.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

std::string TargetOf(const OnlineRequest& request) {
  switch (request.kind) {
    case OnlineKind::kQuery:
      return "/query/" + request.id;
    case OnlineKind::kReply:
      return "/reply/" + request.id;
    case OnlineKind::kPing:
      return "/ping/" + request.id;
    case OnlineKind::kBook:
      return "/book/" + request.id;
    case OnlineKind::kExtra:
      return "/" + request.route + "/" + request.id;
  }
  return "/";
}

}  // namespace

OnlineTraffic::OnlineTraffic(SoakSite& site, uint64_t seed, int per_second)
    : site_(site),
      rng_(seed),
      key_rng_(seed),
      return_rng_(seed),
      prompt_rng_(seed),
      per_second_(per_second) {}

void OnlineTraffic::Run(TimePoint now) {
  Collect(now);
  if (next_at_ == TimePoint{}) next_at_ = next_hot_at_ = now;
  while (next_at_ <= now) {
    Send(DrawKind(rng_), site_.PickGateway(rng_), false, now, PickKey());
    next_at_ += FromSeconds(1.0 / per_second_);
  }
  while (next_hot_at_ <= now) {
    Send(OnlineKind::kPing, site_.PickGateway(key_rng_), true, now, kHotKey);
    next_hot_at_ += FromSeconds(1.0 / kHotRequestsPerSecond);
  }
}

void OnlineTraffic::Probe(const std::string& gateway, TimePoint now) {
  for (const OnlineKind kind : {OnlineKind::kQuery, OnlineKind::kReply,
                                OnlineKind::kPing, OnlineKind::kBook}) {
    Send(kind, gateway, true, now, kUsualKey);
  }
}

std::string OnlineTraffic::PickKey() {
  const uint64_t draw = UniformBelow(key_rng_, kKeyShares);
  if (draw == 0) return kWrongKey;
  if (draw <= kChangingShares) return site_.PickChangingKey(key_rng_);
  return kUsualKey;
}

void OnlineTraffic::Send(OnlineKind kind, const std::string& gateway,
                         bool patient, TimePoint now, const std::string& key) {
  OnlineRequest request{.id = fmt::format("r{}", ++last_request_),
                        .kind = kind,
                        .gateway = gateway,
                        .process_start = site_.StartsOf(gateway),
                        .sent_at = now};
  if (kind == OnlineKind::kExtra) request.route = site_.PickExtraRoute(rng_);
  request.target = TargetOf(request);
  const bool short_budget = !patient && UniformBelow(rng_, 4) == 0;
  request.budget = short_budget ? kShortBudget : kLongBudget;
  auto sent = site_.site().OnlineRequest(
      gateway, request.unary() ? "GET" : "POST", request.target, request.id,
      request.budget.count());
  request.body = sent.body;
  request.prompt = DrawSharedParts(prompt_rng_) + PartOf(request.id);
  request.key = key;
  Begin(std::move(sent), std::move(request), patient, now);
}

void OnlineTraffic::Begin(http::ClientRequest&& sent, OnlineRequest&& request,
                          bool patient, TimePoint now) {
  sent.headers.Add("Authorization", "Bearer " + request.key);
  sent.headers.Add(kPromptHeader, request.prompt);
  // A forged workspace header that the gateway must ignore.
  sent.headers.Add("Tenant", kHotWorkspace);
  sent.stream_body = !request.unary();
  sent.deadline = now + request.budget + kCallerGrace;
  OpenRequest open{.index = requests_.size()};
  if (!patient && UniformBelow(rng_, kRequestsPerHangUp) == 0) {
    open.cancel_at = now + milliseconds(UniformBelow(rng_, kMaxHangUpDelayMs));
  }
  open_.emplace(site_.site().caller().Begin(std::move(sent)), open);
  requests_.push_back(std::move(request));
}

void OnlineTraffic::Resume(const OnlineRequest& broken, TimePoint now) {
  const int events = CountEvents(broken.end.body);
  const bool returns = broken.kind == OnlineKind::kReply && events > 0 &&
                       events < SoakSite::kEvents &&
                       (!broken.complete() || broken.cancelled());
  if (!returns) return;
  OnlineRequest request{.id = fmt::format("r{}", ++last_request_),
                        .kind = broken.kind,
                        .gateway = site_.PickGateway(return_rng_),
                        .target = broken.target,
                        .body = broken.body,
                        .prompt = broken.prompt,
                        .key = broken.key,
                        .after_event = broken.after_event + events,
                        .budget = kLongBudget,
                        .sent_at = now};
  request.resumes = broken.continues() ? broken.resumes : broken.id;
  request.process_start = site_.StartsOf(request.gateway);
  auto sent =
      site_.site().OnlineRequest(request.gateway, "POST", request.target,
                                 request.id, request.budget.count());
  sent.body = request.body;
  sent.headers.Add("Last-Event-Id", std::to_string(request.after_event));
  sent.headers.Add("Resumes", request.resumes);
  Begin(std::move(sent), std::move(request), /*patient=*/true, now);
}

void OnlineTraffic::Collect(TimePoint now) {
  harness::Caller& caller = site_.site().caller();
  std::vector<size_t> ended;
  for (auto at = open_.begin(); at != open_.end();) {
    OnlineRequest& request = requests_[at->second.index];
    const harness::Answer& answer = caller.answer(at->first);
    const bool hangs_up = at->second.cancel_at <= now;
    if (!answer.end && !hangs_up) {
      ++at;
      continue;
    }
    request.ended_at = now;
    if (answer.end) {
      request.end = *answer.end;
      if (answer.head) {
        request.end.status = answer.head->status;
        request.end.headers = answer.head->headers;
      }
      request.end.body += answer.streamed;
    } else {
      request.end.body = answer.streamed;
      caller.Cancel(at->first);
      request.cancelled_at = now;
    }
    ended.push_back(at->second.index);
    at = open_.erase(at);
  }
  for (const size_t index : ended) {
    const OnlineRequest broken = requests_[index];
    Resume(broken, now);
  }
}

}  // namespace knapweedstile::soak
