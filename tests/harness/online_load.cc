#include "harness/online_load.h"

#include <utility>

#include "harness/completion.h"
#include "harness/fleet.h"

namespace knapweedstile::harness {
namespace {

// The end of a stream says why it ended.
std::string Tail(const std::string& text) {
  constexpr size_t kShown = 400;
  return text.size() <= kShown ? text : text.substr(text.size() - kShown);
}

}  // namespace

std::string PromptOf(const std::string& name, int count) {
  std::string prompt;
  for (int i = 0; i < count; ++i) {
    prompt += name + "-" + std::to_string(i) + " ";
  }
  return prompt;
}

OnlineLoad::OnlineLoad(Caller& caller, Ledger& ledger,
                       std::vector<std::string> entries, size_t in_flight,
                       int words)
    : caller_(caller),
      ledger_(ledger),
      entries_(std::move(entries)),
      most_in_flight_(in_flight),
      words_(words) {}

bool OnlineLoad::RunUntil(const std::function<bool()>& done) {
  return caller_.RunUntil([&] {
    Collect();
    while (in_flight_.size() < most_in_flight_) Begin();
    return done();
  });
}

bool OnlineLoad::Finish() {
  return caller_.RunUntil([this] {
    Collect();
    return in_flight_.empty();
  });
}

void OnlineLoad::UseEntries(std::vector<std::string> entries) {
  entries_ = std::move(entries);
}

void OnlineLoad::Begin() {
  Sent sent{.request = "online-" + std::to_string(count_),
            .stream = count_ % 2 == 0};
  const std::string prompt = PromptOf(sent.request, words_);
  http::ClientRequest request{
      .address = entries_[count_ % entries_.size()],
      .method = "POST",
      .target = "/v1/completions",
      .body = CompletionBody(kModel, prompt, words_, sent.stream),
      .stream_body = sent.stream};
  request.headers.Add("X-Request-Id", sent.request);
  // The verdicts are on truth, not on speed.
  request.headers.Add("X-Deadline-Ms", "60000");
  ledger_.Sent(sent.request, prompt, words_);
  sent.exchange = caller_.Begin(std::move(request));
  in_flight_.push_back(std::move(sent));
  ++count_;
}

void OnlineLoad::Collect() {
  std::erase_if(in_flight_, [this](const Sent& sent) {
    const Answer& answer = caller_.answer(sent.exchange);
    if (!answer.end) return false;
    Judge(sent, answer);
    return true;
  });
}

void OnlineLoad::Judge(const Sent& sent, const Answer& answer) {
  const http::EndEvent& end = *answer.end;
  const Completion completion =
      sent.stream ? FromEvents(answer.streamed) : FromJson(end.body);
  const bool whole = end.outcome == http::ClientOutcome::kComplete &&
                     end.status == 200 && completion.done &&
                     !completion.finish_reason.empty() &&
                     completion.finish_reason != "error";
  if (whole) return ledger_.Answered(sent.request, completion.text);
  http::EndEvent failure = end;
  if (sent.stream) failure.body = answer.streamed;
  ledger_.Failed(sent.request, failure);
  failures_.push_back(sent.request + ": " + std::string(NameOf(end.outcome)) +
                      " " + std::to_string(end.status) + " " + end.message +
                      " " + Tail(failure.body));
}

}  // namespace knapweedstile::harness
