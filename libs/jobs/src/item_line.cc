#include "jobs/item_line.h"

#include <boost/json.hpp>

#include "json_fields.h"

namespace knapweedstile::jobs {

namespace json = boost::json;

namespace {

constexpr size_t kMaxCustomIdBytes = 512;

std::string ErrorLine(std::string_view custom_id, std::string_view error) {
  json::object line;
  line["custom_id"] = custom_id;
  line["error"] = error;
  return json::serialize(line);
}

bool HasPrompt(const json::object& body) {
  const json::value* prompt = body.if_contains("prompt");
  const json::value* messages = body.if_contains("messages");
  return (prompt != nullptr && prompt->is_string()) ||
         (messages != nullptr && messages->is_array());
}

bool HasValidMaxTokens(const json::object& body) {
  const json::value* max_tokens = body.if_contains("max_tokens");
  return max_tokens == nullptr || UintOf(*max_tokens) > 0;
}

// Why the line is no item; empty when it is one.
std::string_view FaultOf(const json::object& line) {
  const json::value* custom_id = line.if_contains("custom_id");
  if (custom_id == nullptr || !custom_id->is_string()) {
    return "custom_id: must be a string";
  }
  if (custom_id->get_string().size() > kMaxCustomIdBytes) {
    return "custom_id: too long";
  }
  const json::object* body = ObjectAt(line, "body");
  if (body == nullptr) return "body: must be an object";
  if (TextAt(*body, "model").empty()) return "body.model: must be a string";
  if (!HasPrompt(*body)) {
    return "body: must have prompt (a string) or messages (a list)";
  }
  if (!HasValidMaxTokens(*body)) {
    return "body.max_tokens: must be a whole number above zero";
  }
  return {};
}

}  // namespace

std::string CanonicalLine(std::string_view line) {
  if (line.size() > kMaxItemBytes) return ErrorLine("", "the line is too long");
  const auto parsed = ParseObject(line);
  if (!parsed) return ErrorLine("", "the line is not a JSON object");
  const std::string_view fault = FaultOf(*parsed);
  if (!fault.empty()) {
    std::string custom_id = TextAt(*parsed, "custom_id");
    if (custom_id.size() > kMaxCustomIdBytes) custom_id.clear();
    return ErrorLine(custom_id, fault);
  }
  json::object kept;
  kept["custom_id"] = parsed->at("custom_id");
  kept["body"] = parsed->at("body");
  return json::serialize(kept);
}

ItemLine DecodeItemLine(std::string_view line) {
  const auto parsed = ParseObject(line);
  ItemLine item;
  if (!parsed) {
    item.error = "the stored line cannot be read";
    return item;
  }
  item.custom_id = TextAt(*parsed, "custom_id");
  item.error = TextAt(*parsed, "error");
  if (const json::object* body = ObjectAt(*parsed, "body")) {
    item.body = json::serialize(*body);
    item.model = TextAt(*body, "model");
  } else if (item.error.empty()) {
    item.error = "the stored line cannot be read";
  }
  return item;
}

}  // namespace knapweedstile::jobs
