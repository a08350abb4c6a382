#ifndef KNAPWEEDSTILE_OBJECTS_FIELD_READER_H_
#define KNAPWEEDSTILE_OBJECTS_FIELD_READER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "objects/field_error.h"
#include "objects/labels.h"
#include "objects/selector.h"

namespace knapweedstile::objects {

// Reads the fields of one JSON object and collects an error for each invalid
// field and for each field that was not read.
class FieldReader {
 public:
  FieldReader(const boost::json::object& object, std::string path,
              FieldErrors& errors)
      : object_(object), path_(std::move(path)), errors_(errors) {}

  // Each leaves `out` unchanged if the field is absent.
  void Text(std::string_view name, std::string& out);
  void Int(std::string_view name, int64_t min, int64_t max, int64_t& out);
  void Real(std::string_view name, double min, double max, double& out);
  void TextList(std::string_view name, std::vector<std::string>& out);
  void LabelMap(std::string_view name, Labels& out);
  void ReadSelector(std::string_view name, Selector& out);
  // Reads the conditions of a selector whose fields are those of this object.
  void ReadSelectorFields(Selector& out);
  // A reader for the nested object; none if it is absent or not an object.
  std::optional<FieldReader> Child(std::string_view name);

  // Adds an error if the field is absent.
  void Require(std::string_view name);
  // Adds an error for the field's value.
  void Reject(std::string_view name, std::string allowed);
  // Adds an error for each field that was not read; to be called last.
  void RejectUnknownFields();

  std::string PathOf(std::string_view name) const;

 private:
  const boost::json::object* FindObject(std::string_view name);
  const boost::json::value* FindField(std::string_view name);
  void TextListAt(const boost::json::value& value, const std::string& path,
                  std::vector<std::string>& out);
  void ValueLists(std::string_view name, Selector::ValueLists& out);
  void AddError(const std::string& path, const boost::json::value* seen,
                std::string allowed);

  const boost::json::object& object_;
  std::string path_;
  FieldErrors& errors_;
  std::set<std::string, std::less<>> known_fields_;
};

}  // namespace knapweedstile::objects

#endif  // KNAPWEEDSTILE_OBJECTS_FIELD_READER_H_
