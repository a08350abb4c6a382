#include "store/stored_object_json.h"

#include <boost/json.hpp>

namespace knapweedstile::gateway {

namespace json = boost::json;

json::array ToJson(const std::vector<platform::StoredObject>& objects) {
  json::array list;
  for (const platform::StoredObject& object : objects) {
    list.push_back(json::object{{"kind", object.kind},
                                {"name", object.name},
                                {"version", object.version},
                                {"deleted", object.deleted},
                                {"value", object.value}});
  }
  return list;
}

std::vector<platform::StoredObject> ObjectsFromJson(const json::array& list) {
  std::vector<platform::StoredObject> objects;
  for (const json::value& element : list) {
    const json::object& stored = element.as_object();
    objects.push_back({.kind = std::string(stored.at("kind").as_string()),
                       .name = std::string(stored.at("name").as_string()),
                       .version = stored.at("version").to_number<uint64_t>(),
                       .deleted = stored.at("deleted").as_bool(),
                       .value = std::string(stored.at("value").as_string())});
  }
  return objects;
}

}  // namespace knapweedstile::gateway
