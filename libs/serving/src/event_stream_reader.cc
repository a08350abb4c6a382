#include "serving/event_stream_reader.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace knapweedstile::serving {
namespace {

constexpr size_t kMaxFieldNameBytes = 64;
constexpr size_t kKeptBytes = 16 << 10;
// The fields that have a meaning in any event stream.
constexpr std::array<std::string_view, 4> kStandardFields = {"data", "id",
                                                             "event", "retry"};

bool IsStandardField(std::string_view name) {
  return std::find(kStandardFields.begin(), kStandardFields.end(), name) !=
         kStandardFields.end();
}

bool IsFieldName(std::string_view name) {
  return name.size() <= kMaxFieldNameBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

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

// Sets all but the raw bytes.
StreamEvent ParseBlock(std::string_view block) {
  StreamEvent event;
  bool has_data = false;
  size_t at = 0;
  while (at < block.size()) {
    const size_t end = block.find('\n', at);
    ParseField(WithoutCarriageReturn(block.substr(at, end - at)), event,
               has_data);
    at = end + 1;
  }
  return event;
}

}  // namespace

// Accepts comments, standard fields, and other fields that have a colon.
bool EventStreamReader::AcceptLine(std::string_view line) {
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  const bool known = colon == 0 || IsStandardField(name);
  has_lines_ = true;
  has_known_field_ = has_known_field_ || known;
  return known || (colon != std::string_view::npos && IsFieldName(name));
}

void EventStreamReader::CheckIncompleteLine() {
  const std::string_view text = buffer_;
  std::string_view start = text.substr(line_, kMaxFieldNameBytes + 1);
  const size_t colon = start.find(':');
  if (colon == std::string_view::npos) start = WithoutCarriageReturn(start);
  malformed_ = !IsFieldName(start.substr(0, colon)) ||
               buffer_.size() - block_ > kMaxEventBytes;
}

size_t EventStreamReader::ScanBlock() {
  const std::string_view text = buffer_;
  while (!malformed_) {
    const size_t end = text.find('\n', scanned_);
    if (end == std::string_view::npos) {
      scanned_ = text.size();
      CheckIncompleteLine();
      return 0;
    }
    const std::string_view line =
        WithoutCarriageReturn(text.substr(line_, end - line_));
    line_ = scanned_ = end + 1;
    if (!line.empty()) {
      malformed_ = !AcceptLine(line);
      continue;
    }
    const size_t length = line_ - block_;
    malformed_ = (has_lines_ && !has_known_field_) || length > kMaxEventBytes;
    has_lines_ = has_known_field_ = false;
    if (!malformed_) return length;
  }
  return 0;
}

std::optional<StreamEvent> EventStreamReader::Next() {
  while (const size_t length = ScanBlock()) {
    const std::string_view text = buffer_;
    StreamEvent event = ParseBlock(text.substr(block_, length));
    block_ += length;
    numbered_ = numbered_ || event.id;
    if (event.id || (!numbered_ && !event.data.empty())) {
      event.raw = text.substr(offset_, block_ - offset_);
      offset_ = block_;
      return event;
    }
    malformed_ = block_ - offset_ > kMaxEventBytes;
  }
  buffer_.erase(0, offset_);
  // Streams are many and mostly idle: a large event leaves no buffer behind.
  if (buffer_.size() < kKeptBytes && buffer_.capacity() > kKeptBytes)
    buffer_.shrink_to_fit();
  for (size_t* at : {&block_, &line_, &scanned_}) *at -= offset_;
  offset_ = 0;
  return std::nullopt;
}

}  // namespace knapweedstile::serving
