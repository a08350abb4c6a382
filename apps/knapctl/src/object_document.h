#ifndef KNAPWEEDSTILE_KNAPCTL_OBJECT_DOCUMENT_H_
#define KNAPWEEDSTILE_KNAPCTL_OBJECT_DOCUMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::ctl {

// An object in the format of files and of `get -o json`:
// {"kind", "name", "version", "labels", "spec"}. The version is the one that
// was read; a write is rejected if the stored version differs.
struct ObjectDocument {
  std::string kind;
  std::string name;
  std::optional<uint64_t> version;
  std::string value;  // as stored: {"labels","spec"}
};

// Parses one document or an array of documents. Appends a message to `errors`
// for each error.
std::vector<ObjectDocument> ParseDocuments(std::string_view text,
                                           std::vector<std::string>* errors);

// Returns the errors of the value for its kind; empty if it is valid.
std::vector<std::string> Validate(const ObjectDocument& document);

// Formats a stored object as a document.
std::string RenderDocument(const std::string& kind, const std::string& name,
                           uint64_t version, const std::string& value);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_OBJECT_DOCUMENT_H_
