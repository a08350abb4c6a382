#include "jobs/claim_record.h"

#include <algorithm>
#include <boost/json.hpp>

#include "json_fields.h"

namespace knapweedstile::jobs {

namespace json = boost::json;

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr unsigned kDigitBits = 4;
constexpr unsigned kDigitMask = 0xf;

// Values of the store are text; bodies may hold any bytes.
std::string ToHex(std::string_view bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex += kDigits[byte >> kDigitBits];
    hex += kDigits[byte & kDigitMask];
  }
  return hex;
}

std::string FromHex(std::string_view hex) {
  std::string bytes;
  bytes.reserve(hex.size() / 2);
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    const size_t high = kDigits.find(hex[i]);
    const size_t low = kDigits.find(hex[i + 1]);
    bytes += static_cast<char>((high << kDigitBits) | low);
  }
  return bytes;
}

bool IsPlainText(std::string_view text) {
  constexpr char kFirstPrintable = ' ';
  constexpr char kLastPrintable = '~';
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= kFirstPrintable && c <= kLastPrintable) || c == '\n' ||
           c == '\r' || c == '\t';
  });
}

json::object ToJson(const ClaimAnswer& answer) {
  json::array headers;
  for (const auto& [name, value] : answer.headers) {
    if (!IsPlainText(name) || !IsPlainText(value)) continue;
    headers.emplace_back(json::array{name, value});
  }
  json::object object;
  object["status"] = answer.status;
  object["headers"] = std::move(headers);
  if (!answer.body_kept) {
    object["body_kept"] = false;
  } else if (IsPlainText(answer.body)) {
    object["body"] = answer.body;
  } else {
    object["body_hex"] = ToHex(answer.body);
  }
  return object;
}

void ReadHeaders(const json::object& object, ClaimAnswer& answer) {
  const json::value* headers = object.if_contains("headers");
  if (headers == nullptr || !headers->is_array()) return;
  for (const json::value& header : headers->get_array()) {
    if (!header.is_array() || header.get_array().size() != 2) continue;
    const json::value& name = header.get_array()[0];
    const json::value& value = header.get_array()[1];
    if (!name.is_string() || !value.is_string()) continue;
    answer.headers.emplace_back(name.get_string(), value.get_string());
  }
}

ClaimAnswer AnswerFromJson(const json::object& object) {
  ClaimAnswer answer;
  answer.status = static_cast<unsigned>(UintAt(object, "status"));
  answer.body_kept = !object.contains("body_kept");
  answer.body = object.contains("body_hex")
                    ? FromHex(TextAt(object, "body_hex"))
                    : TextAt(object, "body");
  ReadHeaders(object, answer);
  return answer;
}

}  // namespace

std::string Encode(const ClaimRecord& record) {
  json::object object;
  object["workspace"] = record.workspace;
  object["key"] = record.key;
  object["request_hash"] = record.request_hash;
  object["state"] = NameOf(record.state);
  object["writer"] = record.writer;
  if (record.state == ClaimState::kDone) {
    object["answer"] = ToJson(record.answer);
  }
  return json::serialize(object);
}

std::optional<ClaimRecord> DecodeClaimRecord(std::string_view value) {
  const auto object = ParseObject(value);
  if (!object) return std::nullopt;
  const auto state = ParseEnum<ClaimState>(TextAt(*object, "state"));
  if (!state) return std::nullopt;
  ClaimRecord record;
  record.workspace = TextAt(*object, "workspace");
  record.key = TextAt(*object, "key");
  record.request_hash = TextAt(*object, "request_hash");
  record.state = *state;
  record.writer = TextAt(*object, "writer");
  if (const json::object* answer = ObjectAt(*object, "answer")) {
    record.answer = AnswerFromJson(*answer);
  }
  return record;
}

}  // namespace knapweedstile::jobs
