#include "harness/batch_job.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>
#include <utility>

#include "harness/fleet.h"

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

std::string TextIn(const std::string& body, const char* key) {
  json::error_code ec;
  const json::value value = json::parse(body, ec);
  if (ec || !value.is_object()) return {};
  const json::value* member = value.as_object().if_contains(key);
  return member && member->is_string() ? std::string(member->as_string()) : "";
}

bool IsAccepted(const http::EndEvent& end) {
  return end.status == 200 || end.status == 202;
}

bool IsFinal(const http::EndEvent& end) {
  return end.outcome == http::ClientOutcome::kComplete && end.status < 500 &&
         end.status != 429;
}

}  // namespace

BatchJob::BatchJob(Caller& caller, Ledger& ledger, std::string key)
    : caller_(caller), ledger_(ledger), key_(std::move(key)) {}

void BatchJob::AddItem(const std::string& custom_id, const std::string& prompt,
                       int max_tokens) {
  body_ += json::serialize(json::object{{"custom_id", custom_id},
                                        {"body",
                                         {{"model", kModel},
                                          {"prompt", prompt},
                                          {"max_tokens", max_tokens}}}}) +
           "\n";
  items_.push_back({custom_id, prompt, max_tokens});
}

void BatchJob::AddHopelessItem(const std::string& custom_id,
                               const std::string& prompt) {
  AddItem(custom_id, prompt, 1000);
  items_.back().hopeless = true;
}

void BatchJob::AddMalformedLine(const std::string& line) {
  body_ += line + "\n";
  items_.push_back({.custom_id = TextIn(line, "custom_id"), .hopeless = true});
}

http::EndEvent BatchJob::Send(const std::string& entry) {
  http::ClientRequest request{.address = entry,
                              .method = "POST",
                              .target = "/v1/batches",
                              .body = body_};
  request.headers.Add("Idempotency-Key", key_);
  return caller_.Call(std::move(request));
}

bool BatchJob::Submit(const std::string& entry) {
  http::EndEvent end;
  const bool final = caller_.RunUntil([&] {
    end = Send(entry);
    return IsFinal(end);
  });
  if (!final || !IsAccepted(end)) return false;
  id_ = TextIn(end.body, "id");
  Owe();
  return !id_.empty();
}

void BatchJob::Owe() {
  for (const Item& item : items_) {
    if (item.hopeless) {
      ledger_.AcceptedHopelessItem(key_, item.custom_id);
    } else {
      ledger_.AcceptedItem(key_, item.custom_id, item.prompt, item.max_tokens);
    }
  }
}

std::string BatchJob::State(const std::string& entry) {
  return TextIn(caller_.Get(entry, "/v1/batches/" + id_).body, "state");
}

bool BatchJob::WaitForState(const std::string& entry,
                            const std::string& state) {
  return caller_.RunUntil([&] { return State(entry) == state; });
}

bool BatchJob::ReadResults(const std::string& entry) {
  std::string after = "0";
  while (!after.empty()) {
    const http::EndEvent page = caller_.Get(
        entry, "/v1/batches/" + id_ + "/results?limit=7&after=" + after);
    if (page.status != 200) return false;
    std::istringstream lines(page.body);
    for (std::string line; std::getline(lines, line);) {
      ledger_.ItemResult(key_, line);
      ++results_;
    }
    after = page.headers.Find("X-Next-After");
  }
  return true;
}

}  // namespace knapweedstile::harness
