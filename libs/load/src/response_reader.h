#ifndef KNAPWEEDSTILE_LOAD_ANSWER_READER_H_
#define KNAPWEEDSTILE_LOAD_ANSWER_READER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile::load {

// Reads an OpenAI-compatible answer, streamed or whole, as a caller's client
// would. Written apart from the product's own reader, since it judges it.
class AnswerReader {
 public:
  explicit AnswerReader(bool stream) : stream_(stream) {}

  void Feed(std::string_view bytes);
  // Call once the body has ended.
  void End();

  const std::string& text() const noexcept { return text_; }
  uint32_t pieces() const noexcept { return pieces_; }
  bool whole() const noexcept { return whole_; }
  const std::string& error_code() const noexcept { return error_code_; }
  bool not_run() const noexcept { return not_run_; }

 private:
  void TakeDocument(std::string_view document);

  bool stream_;
  std::string buffer_;
  std::string text_;
  std::string error_code_;
  uint32_t pieces_ = 0;
  bool whole_ = false;
  bool not_run_ = false;
};

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_ANSWER_READER_H_
