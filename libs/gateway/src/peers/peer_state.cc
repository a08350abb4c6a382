#include "peers/peer_state.h"

#include <boost/json.hpp>

namespace knapweedstile::gateway {
namespace {

namespace json = boost::json;

bool ReadUsage(const json::object& object, PeerState& state) {
  const json::value* field = object.if_contains("usage");
  if (!field || !field->is_object()) return false;
  for (const auto& [instance, counts] : field->get_object()) {
    const json::array* pair = counts.if_array();
    if (!pair || pair->size() != 2) return false;
    state.usage[std::string(instance)] = {pair->at(0).to_number<uint32_t>(),
                                          pair->at(1).to_number<uint32_t>()};
  }
  return true;
}

std::optional<PeerState> Read(const json::object& object) {
  PeerState state;
  state.entry = std::string(object.at("entry").as_string());
  state.start = object.at("start").to_number<uint64_t>();
  state.sequence = object.at("sequence").to_number<uint64_t>();
  state.draining = object.at("draining").as_bool();
  state.store_available = object.at("store").as_bool();
  state.partial = object.at("partial").as_bool();
  state.records = object.at("records").to_number<uint64_t>();
  state.configuration = object.at("configuration").to_number<uint64_t>();
  state.servers_revision = object.at("servers").to_number<uint64_t>();
  if (const json::value* instance = object.if_contains("yield")) {
    state.yield_instance = std::string(instance->as_string());
  }
  if (!ReadUsage(object, state)) return std::nullopt;
  for (const json::value& item : object.at("items").as_array()) {
    state.running_items.push_back(item.to_number<uint64_t>());
  }
  for (const json::value& entry : object.at("crashes").as_array()) {
    const json::array& pair = entry.as_array();
    state.crashes.push_back(
        {pair.at(0).to_number<uint64_t>(), pair.at(1).to_number<uint32_t>()});
  }
  for (const auto& [entry, count] : object.at("filled").as_object()) {
    const json::array& pair = count.as_array();
    state.filled[std::string(entry)] = {pair.at(0).to_number<uint64_t>(),
                                        pair.at(1).to_number<uint64_t>()};
  }
  return state;
}

}  // namespace

std::string EncodePeerState(const PeerState& state) {
  json::object usage;
  for (const auto& [instance, counts] : state.usage) {
    usage[instance] = json::array{counts.online, counts.batch};
  }
  json::array items;
  for (const uint64_t item : state.running_items) items.push_back(item);
  json::array crashes;
  for (const serving::CrashCount& count : state.crashes) {
    crashes.push_back(json::array{count.fingerprint, count.breaks});
  }
  json::object filled;
  for (const auto& [entry, count] : state.filled) {
    filled[entry] = json::array{count.start, count.count};
  }
  json::object object = {{"entry", state.entry},
                         {"filled", std::move(filled)},
                         {"crashes", std::move(crashes)},
                         {"start", state.start},
                         {"sequence", state.sequence},
                         {"draining", state.draining},
                         {"store", state.store_available},
                         {"partial", state.partial},
                         {"records", state.records},
                         {"configuration", state.configuration},
                         {"servers", state.servers_revision},
                         {"usage", std::move(usage)},
                         {"items", std::move(items)}};
  if (!state.yield_instance.empty()) object["yield"] = state.yield_instance;
  return json::serialize(object);
}

std::optional<PeerState> DecodePeerState(std::string_view datagram) {
  json::error_code ec;
  const json::value parsed =
      json::parse({datagram.data(), datagram.size()}, ec);
  if (ec || !parsed.is_object()) return std::nullopt;
  // The library reports a missing or mistyped field by an exception.
  try {
    return Read(parsed.get_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace knapweedstile::gateway
