#include "harness/ledger.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>

#include "harness/completion.h"
#include "harness/scratch_folder.h"

namespace knapweedstile::harness {
namespace {

namespace json = boost::json;

json::object ObjectIn(const std::string& text) {
  json::error_code ec;
  json::value value = json::parse(text, ec);
  return !ec && value.is_object() ? value.as_object() : json::object();
}

std::string TextOf(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value && value->is_string() ? std::string(value->as_string()) : "";
}

bool SaysNotRun(const std::string& body) {
  const json::object answer = ObjectIn(body);
  const json::value* error = answer.if_contains("error");
  if (!error || !error->is_object()) return false;
  const json::value* not_run = error->as_object().if_contains("not_run");
  return not_run && not_run->is_bool() && not_run->as_bool();
}

}  // namespace

void Ledger::Sent(const std::string& request, const std::string& prompt,
                  int max_tokens) {
  requests_[request] = {.text = ExpectedText(prompt, max_tokens)};
}

void Ledger::Answered(const std::string& request, const std::string& text) {
  Expectation& expected = requests_[request];
  ++expected.ends;
  ++answered_;
  if (Joined(text) != expected.text) {
    Fault("request " + request + " got another or a partial answer: " + text);
  }
}

void Ledger::Failed(const std::string& request, const http::EndEvent& end) {
  ++requests_[request].ends;
  ++failed_;
  if (SaysNotRun(end.body)) not_run_.insert(request);
}

void Ledger::SentOnce(const std::string& request) { once_.insert(request); }

void Ledger::AcceptedItem(const std::string& job, const std::string& custom_id,
                          const std::string& prompt, int max_tokens) {
  items_[job + "/" + custom_id] = {.text = ExpectedText(prompt, max_tokens)};
}

void Ledger::AcceptedHopelessItem(const std::string& job,
                                  const std::string& custom_id) {
  items_[job + "/" + custom_id] = {.hopeless = true};
}

void Ledger::ItemResult(const std::string& job, const std::string& line) {
  const json::object result = ObjectIn(line);
  const std::string key = job + "/" + TextOf(result, "custom_id");
  const auto found = items_.find(key);
  if (found == items_.end()) return Fault("a result for no item: " + line);
  Expectation& expected = found->second;
  ++expected.ends;
  const bool completed = TextOf(result, "status") == "completed";
  if (completed == expected.hopeless) {
    return Fault("item " + key + " ended wrongly: " + line);
  }
  if (!completed) return;
  const json::value* response = result.if_contains("response");
  const std::string text =
      response ? FromJson(json::serialize(*response)).text : "";
  if (Joined(text) != expected.text) {
    Fault("item " + key + " has another or a partial answer: " + line);
  }
}

void Ledger::ReadRunLog(const std::string& path) {
  std::istringstream lines(ReadFile(path));
  for (std::string line; std::getline(lines, line);) {
    const json::object entry = ObjectIn(line);
    const std::string event = TextOf(entry, "event");
    if (event != "start" && event != "call") continue;
    ++runs_[TextOf(entry, "request")];
    const std::string key = TextOf(entry, "key");
    if (!key.empty()) ++runs_[key];
  }
}

std::vector<std::string> Ledger::Faults() const {
  std::vector<std::string> faults = faults_;
  const auto ends_once = [&](const char* what, const Expectations& all) {
    for (const auto& [name, expected] : all) {
      if (expected.ends == 1) continue;
      faults.push_back(std::string(what) + " " + name + " ended " +
                       std::to_string(expected.ends) + " times");
    }
  };
  ends_once("request", requests_);
  ends_once("item", items_);
  for (const std::string& request : not_run_) {
    if (RunsOf(request) > 0) {
      faults.push_back("request " + request +
                       " was refused as not run and ran");
    }
  }
  for (const std::string& request : once_) {
    if (RunsOf(request) > 1) {
      faults.push_back("call " + request + " ran " +
                       std::to_string(RunsOf(request)) + " times");
    }
  }
  return faults;
}

size_t Ledger::RunsOf(const std::string& request) const {
  const auto found = runs_.find(request);
  return found == runs_.end() ? 0 : found->second;
}

}  // namespace knapweedstile::harness
