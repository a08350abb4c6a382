#include "serving/event_stream_reader.h"

#include <charconv>

namespace knapweedstile::serving {
namespace {

std::string_view WithoutCarriageReturn(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

// Returns the value if `line` is of that field, without the optional space
// after the colon; nullopt otherwise.
std::optional<std::string_view> FieldValue(std::string_view line,
                                           std::string_view field) {
  if (!line.starts_with(field)) return std::nullopt;
  line.remove_prefix(field.size());
  if (!line.starts_with(':')) return std::nullopt;
  line.remove_prefix(1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

void ParseField(std::string_view line, StreamEvent& event, bool& has_data) {
  if (const auto id = FieldValue(line, "id")) {
    uint64_t number = 0;
    const auto parsed =
        std::from_chars(id->data(), id->data() + id->size(), number);
    if (parsed.ec == std::errc() && parsed.ptr == id->data() + id->size()) {
      event.id = number;
    }
  } else if (const auto data = FieldValue(line, "data")) {
    if (has_data) event.data += '\n';
    event.data += *data;
    has_data = true;
  }
}

}  // namespace

size_t EventStreamReader::CompleteEventLength() const {
  size_t at = offset_;
  while (true) {
    const size_t end = buffer_.find('\n', at);
    if (end == std::string::npos) return 0;
    const std::string_view text = buffer_;
    const std::string_view line =
        WithoutCarriageReturn(text.substr(at, end - at));
    at = end + 1;
    if (line.empty()) return at - offset_;
  }
}

std::optional<StreamEvent> EventStreamReader::Next() {
  const size_t length = CompleteEventLength();
  if (length == 0) {
    buffer_.erase(0, offset_);
    offset_ = 0;
    return std::nullopt;
  }
  StreamEvent event;
  const std::string_view text = buffer_;
  event.raw = text.substr(offset_, length);
  offset_ += length;
  bool has_data = false;
  size_t at = 0;
  while (at < event.raw.size()) {
    const size_t end = event.raw.find('\n', at);
    ParseField(WithoutCarriageReturn(event.raw.substr(at, end - at)), event,
               has_data);
    at = end + 1;
  }
  return event;
}

void EventStreamReader::Reset() {
  buffer_.clear();
  offset_ = 0;
}

}  // namespace knapweedstile::serving
