#ifndef KNAPWEEDSTILE_GATEWAY_STORE_STORED_OBJECT_JSON_H_
#define KNAPWEEDSTILE_GATEWAY_STORE_STORED_OBJECT_JSON_H_

#include <boost/json/array.hpp>
#include <vector>

#include "platform/store_answer.h"

namespace knapweedstile::gateway {

// JSON form in which gateways exchange store objects.
boost::json::array ToJson(const std::vector<platform::StoredObject>& objects);
// Throws std::exception if a field is missing or of another type.
std::vector<platform::StoredObject> ObjectsFromJson(
    const boost::json::array& list);

}  // namespace knapweedstile::gateway

#endif  // KNAPWEEDSTILE_GATEWAY_STORE_STORED_OBJECT_JSON_H_
