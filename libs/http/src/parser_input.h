#ifndef KNAPWEEDSTILE_HTTP_PARSER_INPUT_H_
#define KNAPWEEDSTILE_HTTP_PARSER_INPUT_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace knapweedstile::http {

// The bytes that were received on a connection and that its parser has not
// consumed yet.
class ParserInput {
 public:
  void Append(std::string_view bytes) { bytes_.append(bytes); }
  // Discards the bytes; the next ones belong to a new message.
  void Clear() {
    std::string().swap(bytes_);
    unparsable_size_ = 0;
  }

  void ShrinkToFit() {
    if (bytes_.capacity() > bytes_.size() + kKeptCapacity)
      bytes_.shrink_to_fit();
  }

  // Passes the bytes to the Beast parser; returns how many it consumed. The
  // error is `need_more` if it needs further bytes than these.
  template <typename Parser>
  size_t Feed(Parser& parser, boost::system::error_code& ec);

  bool empty() const noexcept { return bytes_.empty(); }
  size_t size() const noexcept { return bytes_.size(); }
  size_t capacity() const noexcept { return bytes_.capacity(); }

 private:
  // Beast requires that many bytes when it is called again at the end of a
  // chunked body; no body ends with fewer.
  static constexpr size_t kMinLastChunkBytes = 5;
  static constexpr size_t kKeptCapacity = 4 << 10;

  std::string bytes_;
  size_t unparsable_size_ = 0;  // that many bytes are too few
};

template <typename Parser>
size_t ParserInput::Feed(Parser& parser, boost::system::error_code& ec) {
  using boost::beast::http::error;
  if (bytes_.size() <= unparsable_size_) {
    ec = error::need_more;
    return 0;
  }
  const size_t used = parser.put(boost::asio::buffer(bytes_), ec);
  bytes_.erase(0, used);
  if (bytes_.empty()) ShrinkToFit();
  unparsable_size_ = 0;
  if (ec == error::need_more) {
    const size_t least = parser.is_header_done() ? kMinLastChunkBytes - 1 : 0;
    unparsable_size_ = std::max(bytes_.size(), least);
  }
  return used;
}

}  // namespace knapweedstile::http

#endif  // KNAPWEEDSTILE_HTTP_PARSER_INPUT_H_
