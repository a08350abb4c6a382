#include "label_edit.h"

#include <fmt/core.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "object_document.h"
#include "object_store.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

namespace json = boost::json;

// Writes attempted before giving up on conflicts with concurrent edits.
constexpr int kMaxAttempts = 8;

json::object ParseStored(const std::string& value) {
  boost::system::error_code error;
  json::value parsed = json::parse(value, error);
  return error || !parsed.is_object() ? json::object() : parsed.get_object();
}

std::optional<std::string> FindLabel(const json::object& stored,
                                     const std::string& key) {
  const json::value* labels = stored.if_contains("labels");
  if (labels == nullptr || !labels->is_object()) return std::nullopt;
  const json::value* label = labels->get_object().if_contains(key);
  if (label == nullptr || !label->is_string()) return std::nullopt;
  return std::string(label->get_string());
}

std::string ApplyEdits(json::object stored, const LabelEdits& edits) {
  if (!stored.contains("labels")) stored["labels"] = json::object();
  json::object& labels = stored["labels"].as_object();
  for (const auto& [key, value] : edits) {
    if (value) {
      labels[key] = *value;
    } else {
      labels.erase(key);
    }
  }
  return json::serialize(stored);
}

// Returns the first edited label whose value differs between the versions.
std::optional<std::string> FindConflict(const json::object& before,
                                        const json::object& now,
                                        const LabelEdits& edits) {
  for (const auto& [key, value] : edits) {
    if (FindLabel(before, key) != FindLabel(now, key)) return key;
  }
  return std::nullopt;
}

}  // namespace

std::optional<LabelEdits> ParseLabelEdits(
    const std::vector<std::string>& arguments) {
  LabelEdits edits;
  for (const std::string& argument : arguments) {
    const size_t equals = argument.find('=');
    if (equals != std::string::npos && equals > 0) {
      edits[argument.substr(0, equals)] = argument.substr(equals + 1);
    } else if (argument.size() > 1 && argument.back() == '-') {
      edits[argument.substr(0, argument.size() - 1)] = std::nullopt;
    } else {
      return std::nullopt;
    }
  }
  return edits;
}

bool HasLabels(const std::string& value, const LabelEdits& wanted) {
  const json::object stored = ParseStored(value);
  for (const auto& [key, label] : wanted) {
    if (FindLabel(stored, key) != label) return false;
  }
  return true;
}

ExitCode EditLabels(const ObjectStore& store, const std::string& kind,
                    const std::string& name, const LabelEdits& edits,
                    uint64_t* version) {
  ObjectResponse current = store.Read(kind, name);
  if (current.code != ExitCode::kOk) {
    PrintError(fmt::format("{}/{}: {}", kind, name, current.message));
    return current.code;
  }
  const json::object before = ParseStored(current.value);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const ObjectResponse written =
        store.Write(kind, name, current.version,
                    ApplyEdits(ParseStored(current.value), edits));
    if (written.code == ExitCode::kOk) {
      *version = written.version;
      return ExitCode::kOk;
    }
    if (written.code != ExitCode::kConflict) {
      PrintError(fmt::format("{}/{}: {}", kind, name, written.message));
      return written.code;
    }
    current = store.Read(kind, name);
    if (current.code != ExitCode::kOk) return current.code;
    if (const auto label =
            FindConflict(before, ParseStored(current.value), edits)) {
      PrintError(fmt::format(
          "{}/{}: label {} was changed concurrently\n"
          "present: {}\nyours:   {}",
          kind, name, *label,
          RenderDocument(kind, name, current.version, current.value),
          ApplyEdits(before, edits)));
      return ExitCode::kConflict;
    }
  }
  PrintError(fmt::format("{}/{}: too many concurrent changes", kind, name));
  return ExitCode::kConflict;
}

}  // namespace knapweedstile::ctl
