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
                                       std::vector<std::string>* complaints) {
  const json::object* fields = value.if_object();
  if (fields == nullptr) {
    complaints->push_back("a document is not an object");
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
      complaints->push_back(std::string(key) +
                            ": not allowed here; allowed: kind, name, version "
                            "(whole number), labels, spec");
    }
  }
  if (document.kind.empty() || document.name.empty()) {
    complaints->push_back("kind and name must be texts that are not empty");
  }
  if (!stored.contains("labels")) stored["labels"] = json::object();
  document.value = json::serialize(stored);
  return document;
}

}  // namespace

std::vector<ObjectDocument> ParseDocuments(
    std::string_view text, std::vector<std::string>* complaints) {
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error) {
    complaints->push_back("not JSON: " + error.message());
    return {};
  }
  std::vector<ObjectDocument> documents;
  const auto take = [&](const json::value& one) {
    if (auto document = ParseOne(one, complaints)) {
      documents.push_back(std::move(*document));
    }
  };
  if (const json::array* list = value.if_array()) {
    for (const json::value& one : *list) take(one);
  } else {
    take(value);
  }
  return documents;
}

std::vector<std::string> Validate(const ObjectDocument& document) {
  // The same check as every node's, so what passes here is accepted there.
  objects::Catalog catalog;
  const objects::ApplyResult result =
      catalog.Apply(document.kind, document.name, 1, document.value, false);
  std::vector<std::string> complaints;
  if (result.outcome == objects::ApplyOutcome::kIgnored) {
    complaints.push_back("kind: " + document.kind +
                         " is not allowed; allowed: policy, placement, engine, "
                         "service, workspace");
  }
  if (!result.errors.empty()) {
    complaints.push_back(objects::Describe(result.errors));
  }
  return complaints;
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
