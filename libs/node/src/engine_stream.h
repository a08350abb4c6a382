#ifndef KNAPWEEDSTILE_NODE_ENGINE_STREAM_H_
#define KNAPWEEDSTILE_NODE_ENGINE_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile::node {

// Reads the server-sent events of a model engine's answer, in pieces as they
// arrive. Pure: bytes in, text and counts out.
class EngineStream {
 public:
  // Takes the next bytes; returns the text that became whole, and adds its
  // tokens to tokens().
  std::string Feed(std::string_view bytes);

  // Tokens of the text returned so far.
  uint32_t tokens() const noexcept { return tokens_; }
  // The engine has said why it stopped: the answer is whole.
  bool finished() const noexcept { return !finish_reason_.empty(); }
  const std::string& finish_reason() const noexcept { return finish_reason_; }
  uint32_t prompt_tokens() const noexcept { return prompt_tokens_; }
  // An event that is not of the expected form was seen; the answer cannot be
  // trusted to be whole.
  bool broken() const noexcept { return broken_; }

 private:
  void TakeEvent(std::string_view data, std::string& text);

  std::string partial_;  // bytes after the last whole event
  std::string finish_reason_;
  uint32_t tokens_ = 0;
  uint32_t prompt_tokens_ = 0;
  bool broken_ = false;
};

// The body sent to the engine: the caller's, streaming, and going on after
// `resume_text` when there is some. Empty when `body` is not a JSON object.
std::string EngineBody(std::string_view body, std::string_view resume_text,
                       uint32_t resume_tokens);

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_ENGINE_STREAM_H_
