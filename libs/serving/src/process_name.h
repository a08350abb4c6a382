#ifndef KNAPWEEDSTILE_SERVING_PROCESS_NAME_H_
#define KNAPWEEDSTILE_SERVING_PROCESS_NAME_H_

#include <string>

#include "serving/server_record.h"

namespace knapweedstile::serving {

// What entries call a backend server's process among each other: an entry that
// still counts requests at a former process must not fill the new one's slots.
inline std::string ProcessName(const ServerRecord& record) {
  if (record.start == 0) return record.instance;
  return record.instance + '@' + std::to_string(record.start);
}

inline std::string InstanceOf(const std::string& process) {
  return process.substr(0, process.rfind('@'));
}

}  // namespace knapweedstile::serving

#endif  // KNAPWEEDSTILE_SERVING_PROCESS_NAME_H_
