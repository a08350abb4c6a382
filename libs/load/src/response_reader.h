#ifndef KNAPWEEDSTILE_LOAD_RESPONSE_READER_H_
#define KNAPWEEDSTILE_LOAD_RESPONSE_READER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedstile::load {

// Parses an OpenAI-compatible response, streamed or not, as a client would. It
// verifies the gateway and therefore shares no code with the gateway's parser.
class ResponseReader {
 public:
  explicit ResponseReader(bool stream) : stream_(stream) {}

  // Adds the next bytes of the body.
  void Feed(std::string_view bytes);
  // Call once at the end of the body.
  void Finish();

  const std::string& text() const noexcept { return text_; }
  uint32_t content_chunks() const noexcept { return content_chunks_; }
  bool complete() const noexcept { return complete_; }
  const std::string& error_code() const noexcept { return error_code_; }
  bool not_run() const noexcept { return not_run_; }

 private:
  void ParseDocument(std::string_view document);

  bool stream_;
  std::string buffer_;
  std::string text_;
  std::string error_code_;
  uint32_t content_chunks_ = 0;
  bool complete_ = false;
  bool not_run_ = false;
};

}  // namespace knapweedstile::load

#endif  // KNAPWEEDSTILE_LOAD_RESPONSE_READER_H_
