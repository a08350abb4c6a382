#include "batch/large_result.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include "base/hash.h"

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;
using serving::ItemState;

std::optional<json::object> ParseObject(std::string_view text) {
  json::error_code ec;
  json::value parsed = json::parse({text.data(), text.size()}, ec);
  if (ec || !parsed.is_object()) return std::nullopt;
  return std::move(parsed.get_object());
}

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  return field && field->is_string() ? std::string(field->get_string())
                                     : std::string();
}

uint64_t CountOf(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  if (!field || !field->is_int64() || field->get_int64() < 0) return 0;
  return static_cast<uint64_t>(field->get_int64());
}

// Length of the text as a JSON string, without quotes.
size_t EscapedSize(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr size_t kEscapedControl = 6;  // \u0001
  size_t size = 0;
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < kFirstPrintable) {
      size += c == '\n' || c == '\t' || c == '\r' || c == '\b' || c == '\f'
                  ? 2
                  : kEscapedControl;
    } else {
      size += c == '"' || c == '\\' ? 2 : 1;
    }
  }
  return size;
}

}  // namespace

StoredOutput DivideOutput(std::string_view output, size_t part_bytes) {
  return {.hash = ToHex(HashCombine(Hash64(output), part_bytes)),
          .parts = static_cast<uint32_t>((output.size() + part_bytes - 1) /
                                         part_bytes),
          .bytes = output.size()};
}

std::string EncodeLargeResult(const LargeResult& result) {
  return json::serialize(json::object{
      {"large",
       json::object{{"item", result.item},
                    {"state", NameOf(result.state)},
                    {"hash", result.output.hash},
                    {"parts", int64_t{result.output.parts}},
                    {"bytes", static_cast<int64_t>(result.output.bytes)},
                    {"part_bytes", static_cast<int64_t>(result.part_bytes)}}}});
}

std::optional<LargeResult> DecodeLargeResult(std::string_view segment) {
  // Most segments list results and are longer.
  constexpr std::string_view kBegin = R"({"large":)";
  if (!segment.starts_with(kBegin)) return std::nullopt;
  const auto object = ParseObject(segment);
  const json::value* field = object ? object->if_contains("large") : nullptr;
  if (!field || !field->is_object()) return std::nullopt;
  const json::object& large = field->get_object();
  const auto state = ParseEnum<ItemState>(TextOf(large, "state"));
  if (!state) return std::nullopt;
  LargeResult result{
      .item = TextOf(large, "item"),
      .state = *state,
      .output = {.hash = TextOf(large, "hash"),
                 .parts = static_cast<uint32_t>(CountOf(large, "parts")),
                 .bytes = CountOf(large, "bytes")},
      .part_bytes = CountOf(large, "part_bytes")};
  const bool valid = !result.item.empty() && !result.output.hash.empty() &&
                     result.output.parts > 0 && result.part_bytes > 0;
  return valid ? std::optional(std::move(result)) : std::nullopt;
}

std::string EncodePart(std::string_view bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return json::serialize(json::object{{"part", text}});
}

std::optional<std::string> DecodePart(std::string_view value) {
  const auto object = ParseObject(value);
  if (!object) return std::nullopt;
  const std::string text = TextOf(*object, "part");
  if (text.empty()) return std::nullopt;
  std::string bytes(base64::decoded_size(text.size()) + 3, '\0');
  const auto [written, read] =
      base64::decode(bytes.data(), text.data(), text.size());
  bytes.resize(written);
  return bytes;
}

bool Matches(const LargeResult& result, std::string_view output) {
  const StoredOutput divided = DivideOutput(output, result.part_bytes);
  return divided.hash == result.output.hash &&
         divided.parts == result.output.parts &&
         divided.bytes == result.output.bytes;
}

size_t EncodedSize(const serving::ItemResult& result) {
  constexpr std::string_view kFields =
      R"({"item":"","state":"completed","output":""},)";
  return kFields.size() + EscapedSize(result.item) + EscapedSize(result.output);
}

}  // namespace knapweedstile::gateway
