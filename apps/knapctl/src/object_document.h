#ifndef KNAPWEEDSTILE_KNAPCTL_OBJECT_DOCUMENT_H_
#define KNAPWEEDSTILE_KNAPCTL_OBJECT_DOCUMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::ctl {

// An object as operators write it to a file and read it from `get -o json`:
// {"kind", "name", "version", "labels", "spec"}. The version is the one that
// was read; an edit is refused when it has moved on.
struct ObjectDocument {
  std::string kind;
  std::string name;
  std::optional<uint64_t> version;
  std::string value;  // as stored: {"labels","spec"}
};

// One document, or a list of them. Complaints name what is wrong.
std::vector<ObjectDocument> ParseDocuments(
    std::string_view text, std::vector<std::string>* complaints);

// Why the value is not valid for its kind; empty when it is.
std::vector<std::string> Validate(const ObjectDocument& document);

std::string RenderDocument(const std::string& kind, const std::string& name,
                           uint64_t version, const std::string& value);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_OBJECT_DOCUMENT_H_
