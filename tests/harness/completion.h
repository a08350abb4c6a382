#ifndef KNAPWEEDSTILE_HARNESS_COMPLETION_H_
#define KNAPWEEDSTILE_HARNESS_COMPLETION_H_

#include <string>

namespace knapweedstile::harness {

// A model's answer as a caller reads it.
struct Completion {
  std::string text;
  std::string finish_reason;  // empty while unfinished
  bool done = false;          // streamed: `[DONE]` has come
};

// From the server-sent events received so far.
Completion FromEvents(const std::string& events);
// From a whole JSON answer; `finish_reason` is empty when it is none.
Completion FromJson(const std::string& body);

// What the stand-in engine answers to `prompt`, words joined by one space.
std::string ExpectedText(const std::string& prompt, int max_tokens);
// `text` with its words joined by one space, for comparison.
std::string Joined(const std::string& text);

// A request body for /v1/completions.
std::string CompletionBody(const std::string& model, const std::string& prompt,
                           int max_tokens, bool stream);

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_COMPLETION_H_
