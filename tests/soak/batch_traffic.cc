#include "batch_traffic.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <utility>

#include "batch_limits.h"
#include "prompt_parts.h"

namespace knapweedstile::soak {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kJobInterval{1200};
constexpr milliseconds kReadInterval{120};
constexpr milliseconds kRetryDelay{700};
constexpr milliseconds kCallTimeout{4000};
constexpr uint64_t kMaxItemsPerJob = 9;
// Readers that compare gateways read this often, for the longest time between
// two reads of the store by a gateway, and a little longer.
constexpr milliseconds kComparisonInterval{500};
constexpr milliseconds kComparisonTime{12000};
// A caller retries the submission or end of a job for this long.
constexpr std::chrono::seconds kSubmitPeriod{9};
// One in kReadsPerEnd reads ends the job instead; one in kItemsPerFailingItem
// items cannot be completed.
constexpr uint64_t kReadsPerEnd = 25;
constexpr uint64_t kItemsPerFailingItem = 12;
// After this time, every gateway must have a job's records.
constexpr milliseconds kPropagationTime{1500};

std::string Base64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string coded(base64::encoded_size(text.size()), '\0');
  coded.resize(base64::encode(coded.data(), text.data(), text.size()));
  return coded;
}

bool RejectsJob(unsigned status) { return status == 429 || status == 503; }

// Whether the name of the object contains the job's id.
bool Names(std::string_view object, std::string_view job) {
  const size_t at = object.find(job);
  if (at == std::string_view::npos) return false;
  const size_t end = at + job.size();
  return end == object.size() || object[end] == '.';
}

ItemKind DrawKind(Rng& rng) {
  if (UniformBelow(rng, kItemsPerFailingItem) != 0) return ItemKind::kNormal;
  return UniformBelow(rng, 2) == 0 ? ItemKind::kUnprocessable
                                   : ItemKind::kFailing;
}

}  // namespace

BatchTraffic::BatchTraffic(SoakSite& site, uint64_t seed, Findings& findings)
    : site_(site),
      rng_(seed),
      prompt_rng_(seed),
      size_rng_(seed),
      findings_(findings) {}

void BatchTraffic::Begin(Call&& call, http::ClientRequest&& request,
                         TimePoint now) {
  call.sent_at = now;
  request.deadline = now + kCallTimeout;
  request.headers.Add("Authorization", std::string("Bearer ") + kUsualKey);
  open_.emplace(site_.site().caller().Begin(std::move(request)),
                std::move(call));
}

void BatchTraffic::Run(TimePoint now) {
  Collect(now);
  RetryDueSubmissions(now);
  RunComparisons(now);
  if (submitting_ && next_job_at_ <= now) {
    NewJob(now);
    next_job_at_ = now + kJobInterval;
  }
  if (next_read_at_ > now) return;
  next_read_at_ = now + kReadInterval;
  BatchRecord* job = PickAcceptedJob();
  if (!job) return;
  if (UniformBelow(rng_, 8) == 0) RequestBody(*job, now);
  if (submitting_ && !job->end_requested() &&
      UniformBelow(rng_, kReadsPerEnd) == 0) {
    return End(*job, now);
  }
  const bool from_start = UniformBelow(rng_, 4) == 0;
  const size_t position = from_start
                              ? UniformBelow(rng_, job->results.size() + 1)
                              : job->results.size();
  Read(*job, site_.PickGateway(rng_), position, now);
}

BatchRecord* BatchTraffic::PickAcceptedJob() {
  std::vector<BatchRecord*> accepted;
  for (auto& [id, job] : jobs_) {
    if (job.accepted()) accepted.push_back(&job);
  }
  if (accepted.empty()) return nullptr;
  return accepted[UniformBelow(rng_, accepted.size())];
}

void BatchTraffic::NewJob(TimePoint now) {
  BatchRecord job{.id = fmt::format("job{}", ++last_job_),
                  .shared_parts = DrawSharedParts(prompt_rng_),
                  .first_sent_at = now};
  job.shared_parts += PartOf(job.id) + ",";
  const uint64_t count = 1 + UniformBelow(rng_, kMaxItemsPerJob);
  for (uint64_t i = 0; i < count; ++i) {
    job.items.push_back({.id = fmt::format("{}-{}", job.id, i),
                         .kind = DrawKind(rng_),
                         .sizes = DrawItemSizes(size_rng_)});
  }
  job.tokens = count * kTokensPerItem;
  Submit(jobs_.emplace(job.id, job).first->second, now);
}

void BatchTraffic::SubmitBurst(int jobs, TimePoint now) {
  for (int i = 0; i < jobs; ++i) NewJob(now);
}

void BatchTraffic::Submit(const BatchRecord& job, TimePoint now) {
  json::array items;
  for (const ItemRecord& item : job.items) {
    json::object headers = {
        {"Model", "m"}, {kPromptHeader, job.shared_parts + PartOf(item.id)}};
    items.push_back(json::object{{"id", item.id},
                                 {"path", kItemPrefix + item.id},
                                 {"headers", std::move(headers)},
                                 {"body", Base64(BodyOf(item))},
                                 {"tokens", kTokensPerItem}});
  }
  const std::string gateway = site_.PickGateway(rng_);
  auto request = site_.site().OnlineRequest(gateway, "POST", "/summaries/new",
                                            job.id, 4000);
  request.body = json::serialize(json::object{{"items", std::move(items)}});
  Begin({.kind = CallKind::kSubmit, .job = job.id, .gateway = gateway},
        std::move(request), now);
}

void BatchTraffic::Read(const BatchRecord& job, const std::string& gateway,
                        size_t position, TimePoint now) {
  const bool waits = UniformBelow(rng_, 2) == 0;
  Read({.job = job.id, .gateway = gateway, .position = position}, waits, now);
}

void BatchTraffic::Read(Call&& call, bool waits, TimePoint now) {
  http::ClientRequest request;
  request.address = site_.site().caller_address(call.gateway);
  request.target = fmt::format("/-/lots/{}?after={}", call.job, call.position);
  request.headers.Add("Host", users_site::kHost);
  if (waits) request.headers.Add("Poll-Wait", "500");
  Begin(std::move(call), std::move(request), now);
}

std::string BatchTraffic::OpenJobNamedIn(std::string_view object) const {
  for (const auto& [id, job] : jobs_) {
    if (job.accepted() && !job.end_requested() && Names(object, id)) return id;
  }
  return {};
}

void BatchTraffic::EndJob(const std::string& job, TimePoint now) {
  BatchRecord& record = jobs_.at(job);
  if (!record.end_requested()) End(record, now);
}

void BatchTraffic::CompareGateways(const std::string& job, TimePoint from) {
  compared_[job].until = from + kComparisonTime;
}

void BatchTraffic::RunComparisons(TimePoint now) {
  if (now < next_comparison_at_) return;
  next_comparison_at_ = now + kComparisonInterval;
  std::erase_if(compared_, [&](const auto& element) {
    return element.second.until <= now;
  });
  for (auto& [job, comparison] : compared_) {
    for (const std::string& gateway : site_.gateways()) {
      Read({.job = job,
            .gateway = gateway,
            .position = comparison.next[gateway],
            .compares = true},
           /*waits=*/false, now);
    }
  }
}

void BatchTraffic::ReadAll(const std::string& gateway, TimePoint now) {
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted()) continue;
    Read({.job = id, .gateway = gateway, .follows = true}, /*waits=*/false,
         now);
  }
}

void BatchTraffic::RequestBody(const BatchRecord& job, TimePoint now) {
  const ItemRecord& item = job.items[UniformBelow(rng_, job.items.size())];
  const std::string gateway = site_.PickGateway(rng_);
  http::ClientRequest request;
  request.address = site_.site().caller_address(gateway);
  request.target = fmt::format("/-/items/{}?id={}", job.id, item.id);
  request.headers.Add("Host", users_site::kHost);
  Begin({.kind = CallKind::kBody,
         .job = job.id,
         .gateway = gateway,
         .item = item.id},
        std::move(request), now);
}

void BatchTraffic::End(BatchRecord& job, TimePoint now) {
  if (!job.end_requested()) job.end_requested_at = now;
  const std::string gateway = site_.PickGateway(rng_);
  http::ClientRequest request;
  request.address = site_.site().caller_address(gateway);
  request.method = "DELETE";
  request.target = "/-/lots/" + job.id;
  request.headers.Add("Host", users_site::kHost);
  Begin({.kind = CallKind::kEnd, .job = job.id, .gateway = gateway},
        std::move(request), now);
}

void BatchTraffic::RetryDueSubmissions(TimePoint now) {
  while (!retries_.empty() && retries_.begin()->first <= now) {
    BatchRecord& job = jobs_.at(retries_.extract(retries_.begin()).mapped());
    if (job.accepted()) continue;
    if (now > job.first_sent_at + kSubmitPeriod) {
      job.given_up = true;
      continue;
    }
    Submit(job, now);
  }
}

void BatchTraffic::Collect(TimePoint now) {
  harness::Caller& caller = site_.site().caller();
  std::vector<std::pair<Call, http::EndEvent>> ended;
  std::erase_if(open_, [&](const auto& element) {
    const harness::Answer& answer = caller.answer(element.first);
    if (!answer.end) return false;
    ended.emplace_back(element.second, *answer.end);
    return true;
  });
  for (const auto& [call, end] : ended) OnCallEnd(call, end, now);
}

void BatchTraffic::OnCallEnd(const Call& call, const http::EndEvent& end,
                             TimePoint now) {
  BatchRecord& job = jobs_.at(call.job);
  switch (call.kind) {
    case CallKind::kSubmit:
      return OnSubmitResponse(call, job, end, now);
    case CallKind::kRead:
      return OnReadResponse(call, job, end, now);
    case CallKind::kBody:
      return OnBodyResponse(call, job, end, now);
    case CallKind::kEnd:
      return OnEndResponse(job, end, now);
  }
}

void BatchTraffic::OnSubmitResponse(const Call& call, BatchRecord& job,
                                    const http::EndEvent& end, TimePoint now) {
  const bool complete = end.outcome == http::ClientOutcome::kComplete;
  if (complete && end.status == 202) {
    if (!job.accepted()) {
      job.accepted_at = now;
      CheckQuota(job, call.sent_at);
    }
    return;
  }
  findings_.Check("a proper job is not denied",
                  !complete || end.status >= 500 || RejectsJob(end.status),
                  fmt::format("{}: {}", job.id, end.status));
  const bool not_sent = end.outcome == http::ClientOutcome::kNotSent;
  if (!not_sent && !(complete && RejectsJob(end.status))) {
    job.maybe_accepted = true;
  }
  retries_.emplace(now + kRetryDelay, job.id);
}

// Counts items of accepted jobs for which no backend server has completed a run
// or returned a status. Items that wait for a retry are not counted, so this is
// a lower bound.
void BatchTraffic::CheckQuota(const BatchRecord& accepted, TimePoint sent_at) {
  const RunIndex runs = site_.Runs();
  uint64_t waiting = 0;
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted() || job.end_requested()) continue;
    for (const ItemRecord& item : job.items) {
      const auto& item_runs = runs.Of(item.id);
      const bool done = std::any_of(
          item_runs.begin(), item_runs.end(),
          [&](const auto* run) { return run->complete || run->status != 0; });
      if (!done) waiting += kTokensPerItem;
    }
  }
  const auto most =
      static_cast<uint64_t>(kMaxWaitingTokens * (1 + kQuotaOverage));
  findings_.Check("accepted tokens stay within the quota", waiting <= most,
                  fmt::format("{} tokens waiting when {} was accepted, {} ms "
                              "after it was sent",
                              waiting, accepted.id,
                              ToMillis(accepted.accepted_at - sent_at)));
}

void BatchTraffic::OnReadResponse(const Call& call, BatchRecord& job,
                                  const http::EndEvent& end, TimePoint now) {
  if (end.outcome != http::ClientOutcome::kComplete) return;
  const bool settled = call.sent_at > job.accepted_at + kPropagationTime;
  const bool must_be_found = settled && site_.fault_windows().FaultFree(
                                            call.gateway, call.sent_at, now);
  if (must_be_found) {
    findings_.Check("an accepted job is found", end.status != 404,
                    fmt::format("{} at {}", job.id, call.gateway));
  }
  if (end.status != 200) return;
  json::error_code ec;
  const json::value page = json::parse(end.body, ec);
  findings_.Check("a page of results can be read", !ec && page.is_object(),
                  job.id + ": " + end.body);
  if (!ec && page.is_object()) RecordPage(call, job, page.get_object(), now);
}

void BatchTraffic::RecordPage(const Call& call, BatchRecord& job,
                              const json::object& page, TimePoint now) {
  const auto& results = page.at("results").as_array();
  findings_.Check("a page counts right",
                  page.at("total").to_number<size_t>() == job.items.size() &&
                      page.at("next_token").to_number<size_t>() ==
                          call.position + results.size(),
                  job.id + ": " + json::serialize(page));
  size_t position = call.position;
  for (const json::value& element : results) {
    const json::object& result = element.as_object();
    const json::value* output = result.if_contains("output");
    ReadResult read{.item = std::string(result.at("id").as_string()),
                    .state = std::string(result.at("state").as_string()),
                    .output = output && output->is_string()
                                  ? std::string(output->as_string())
                                  : std::string(),
                    .read_at = now};
    const auto [known, is_new] = job.results.try_emplace(position, read);
    findings_.Check("a position keeps its result",
                    is_new || (known->second.item == read.item &&
                               known->second.state == read.state &&
                               known->second.output == read.output),
                    fmt::format("{} position {}: {} then {}", job.id, position,
                                known->second.item, read.item));
    ++position;
  }
  if (call.follows && !results.empty() && position < job.items.size()) {
    Read({.job = job.id,
          .gateway = call.gateway,
          .position = position,
          .follows = true},
         /*waits=*/false, now);
  }
  const auto compared = compared_.find(job.id);
  if (call.compares && compared != compared_.end()) {
    size_t& next = compared->second.next[call.gateway];
    next = std::max(next, position);
  }
  // A result that was read at one gateway must be readable at every gateway
  // after kPropagationTime.
  const auto known = job.results.find(call.position);
  const bool settled = known != job.results.end() &&
                       call.sent_at > known->second.read_at + kPropagationTime;
  if (!settled ||
      !site_.fault_windows().FaultFree(call.gateway, call.sent_at, now)) {
    return;
  }
  findings_.Check(
      "a result that was read stays readable", !results.empty(),
      fmt::format("{} position {} at {}", job.id, call.position, call.gateway));
}

void BatchTraffic::OnBodyResponse(const Call& call, const BatchRecord& job,
                                  const http::EndEvent& end, TimePoint now) {
  if (end.outcome != http::ClientOutcome::kComplete) return;
  const auto item =
      std::find_if(job.items.begin(), job.items.end(),
                   [&](const auto& known) { return known.id == call.item; });
  if (end.status == 200) {
    findings_.Check("a body comes back unchanged", end.body == BodyOf(*item),
                    call.item);
  }
  const RunIndex all_runs = site_.Runs();
  const auto& runs = all_runs.Of(call.item);
  const bool may_be_gone = job.end_requested() ||
                           std::any_of(runs.begin(), runs.end(), [](auto* run) {
                             return run->complete || run->status != 0;
                           });
  const bool settled = call.sent_at > job.accepted_at + kPropagationTime;
  if (may_be_gone || !settled || now > job.first_sent_at + kItemLifetime ||
      !site_.fault_windows().FaultFree(call.gateway, call.sent_at, now)) {
    return;
  }
  findings_.Check("a waiting item's body is found", end.status != 404,
                  call.item + " at " + call.gateway);
}

void BatchTraffic::OnEndResponse(BatchRecord& job, const http::EndEvent& end,
                                 TimePoint now) {
  const bool acknowledged =
      end.outcome == http::ClientOutcome::kComplete && end.status == 200;
  if (acknowledged) {
    job.ended_at = std::min(job.ended_at, now);
    return;
  }
  if (now < job.end_requested_at + kSubmitPeriod) End(job, now);
}

bool BatchTraffic::AllListed() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const auto& element) {
    const BatchRecord& job = element.second;
    return !job.accepted() || job.end_requested() ||
           job.results.size() == job.items.size();
  });
}

}  // namespace knapweedstile::soak
