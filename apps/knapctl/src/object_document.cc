#include "object_document.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <utility>

#include "objects/catalog.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

std::optional<ObjectDocument> ParseOne(const json::value& value,
                                       std::vector<std::string>* errors) {
  const json::object* fields = value.if_object();
  if (fields == nullptr) {
    errors->push_back("a document must be a JSON object");
    return std::nullopt;
  }
  ObjectDocument document;
  json::object stored;
  for (const auto& field : *fields) {
    const std::string_view key = field.key();
    if (key == "kind" && field.value().is_string()) {
      document.kind = field.value().get_string();
    } else if (key == "name" && field.value().is_string()) {
      document.name = field.value().get_string();
    } else if (key == "version" && field.value().is_int64()) {
      document.version = static_cast<uint64_t>(field.value().get_int64());
    } else if (key == "labels" || key == "spec") {
      stored[key] = field.value();
    } else {
      errors->push_back(std::string(key) +
                        ": not allowed; allowed: kind, name, version "
                        "(integer), labels, spec");
    }
  }
  if (document.kind.empty() || document.name.empty()) {
    errors->push_back("kind and name must be non-empty strings");
  }
  if (!stored.contains("labels")) stored["labels"] = json::object();
  document.value = json::serialize(stored);
  return document;
}

}  // namespace

std::vector<ObjectDocument> ParseDocuments(std::string_view text,
                                           std::vector<std::string>* errors) {
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error) {
    errors->push_back("invalid JSON: " + error.message());
    return {};
  }
  std::vector<ObjectDocument> documents;
  const auto append = [&](const json::value& element) {
    if (auto document = ParseOne(element, errors)) {
      documents.push_back(std::move(*document));
    }
  };
  if (const json::array* list = value.if_array()) {
    for (const json::value& element : *list) append(element);
  } else {
    append(value);
  }
  return documents;
}

std::vector<std::string> Validate(const ObjectDocument& document) {
  // The same validation as in every gateway, so that a document that passes
  // here is accepted there.
  objects::Catalog catalog;
  const objects::ApplyResult result =
      catalog.Apply(document.kind, document.name, 1, document.value, false);
  std::vector<std::string> errors;
  if (result.outcome == objects::ApplyOutcome::kIgnored) {
    errors.push_back("kind: " + document.kind +
                     " is not allowed; allowed: policy, placement, engine, "
                     "service, workspace");
  }
  if (!result.errors.empty()) {
    errors.push_back(objects::Describe(result.errors));
  }
  return errors;
}

std::string RenderDocument(const std::string& kind, const std::string& name,
                           uint64_t version, const std::string& value) {
  boost::system::error_code error;
  json::value stored = json::parse(value, error);
  json::object document{{"kind", kind}, {"name", name}, {"version", version}};
  if (!error && stored.is_object()) {
    for (auto& field : stored.get_object()) {
      document[field.key()] = std::move(field.value());
    }
  } else {
    document["value"] = value;
  }
  return json::serialize(document);
}

}  // namespace knapweedstile::ctl
