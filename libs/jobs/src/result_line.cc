#include "jobs/result_line.h"

#include <boost/json.hpp>

namespace knapweedstile::jobs {

namespace json = boost::json;

namespace {

constexpr unsigned char kLastAscii = 0x7f;

// Text that the store can hold: its values are UTF-8. Bytes of a response that
// is not are replaced, since one of them would make the whole segment, with the
// results of other jobs, unreadable.
std::string StorableText(std::string_view text) {
  json::error_code ec;
  json::parse(json::serialize(json::string(text)), ec);
  std::string storable(text);
  if (!ec) return storable;
  for (char& c : storable) {
    if (static_cast<unsigned char>(c) > kLastAscii) c = '?';
  }
  return storable;
}

json::object Begin(uint32_t index, std::string_view custom_id,
                   std::string_view status) {
  json::object line;
  line["index"] = index;
  line["custom_id"] = custom_id;
  line["status"] = status;
  return line;
}

}  // namespace

std::string CompletedLine(uint32_t index, std::string_view custom_id,
                          std::string_view response, uint32_t attempts) {
  json::object line = Begin(index, custom_id, "completed");
  json::error_code ec;
  json::value parsed = json::parse(response, ec);
  line["response"] =
      ec ? json::value(StorableText(response)) : std::move(parsed);
  line["attempts"] = attempts;
  return json::serialize(line);
}

std::string FailedLine(uint32_t index, std::string_view custom_id,
                       std::string_view code, std::string_view message,
                       uint32_t attempts) {
  json::object line = Begin(index, custom_id, "failed");
  json::object error;
  error["code"] = code;
  error["message"] = StorableText(message);
  line["error"] = std::move(error);
  line["attempts"] = attempts;
  return json::serialize(line);
}

std::string CancelledLine(uint32_t index, std::string_view custom_id) {
  json::object line = Begin(index, custom_id, "cancelled");
  line["attempts"] = 0;
  return json::serialize(line);
}

}  // namespace knapweedstile::jobs
