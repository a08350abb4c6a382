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

// Conflicts with others' edits before the command gives up.
constexpr int kMaxTries = 8;

json::object Stored(const std::string& value) {
  boost::system::error_code error;
  json::value parsed = json::parse(value, error);
  return error || !parsed.is_object() ? json::object() : parsed.get_object();
}

std::optional<std::string> LabelOf(const json::object& stored,
                                   const std::string& key) {
  const json::value* labels = stored.if_contains("labels");
  if (labels == nullptr || !labels->is_object()) return std::nullopt;
  const json::value* label = labels->get_object().if_contains(key);
  if (label == nullptr || !label->is_string()) return std::nullopt;
  return std::string(label->get_string());
}

std::string Edited(json::object stored, const LabelEdits& edits) {
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

// The first label among the edited ones that is no longer what it was.
std::optional<std::string> Clash(const json::object& before,
                                 const json::object& now,
                                 const LabelEdits& edits) {
  for (const auto& [key, value] : edits) {
    if (LabelOf(before, key) != LabelOf(now, key)) return key;
  }
  return std::nullopt;
}

}  // namespace

std::optional<LabelEdits> ParseLabelEdits(
    const std::vector<std::string>& words) {
  LabelEdits edits;
  for (const std::string& word : words) {
    const size_t equals = word.find('=');
    if (equals != std::string::npos && equals > 0) {
      edits[word.substr(0, equals)] = word.substr(equals + 1);
    } else if (word.size() > 1 && word.back() == '-') {
      edits[word.substr(0, word.size() - 1)] = std::nullopt;
    } else {
      return std::nullopt;
    }
  }
  return edits;
}

bool HasLabels(const std::string& value, const LabelEdits& wanted) {
  const json::object stored = Stored(value);
  for (const auto& [key, label] : wanted) {
    if (LabelOf(stored, key) != label) return false;
  }
  return true;
}

ExitCode EditLabels(const ObjectStore& store, const std::string& kind,
                    const std::string& name, const LabelEdits& edits,
                    uint64_t* version) {
  ObjectAnswer present = store.Read(kind, name);
  if (present.code != ExitCode::kOk) {
    Complain(fmt::format("{}/{}: {}", kind, name, present.message));
    return present.code;
  }
  const json::object before = Stored(present.value);
  for (int tries = 0; tries < kMaxTries; ++tries) {
    const ObjectAnswer written = store.Write(
        kind, name, present.version, Edited(Stored(present.value), edits));
    if (written.code == ExitCode::kOk) {
      *version = written.version;
      return ExitCode::kOk;
    }
    if (written.code != ExitCode::kConflict) {
      Complain(fmt::format("{}/{}: {}", kind, name, written.message));
      return written.code;
    }
    present = store.Read(kind, name);
    if (present.code != ExitCode::kOk) return present.code;
    if (const auto label = Clash(before, Stored(present.value), edits)) {
      Complain(fmt::format(
          "{}/{}: label {} was changed by somebody else meanwhile\n"
          "present: {}\nyours:   {}",
          kind, name, *label,
          RenderDocument(kind, name, present.version, present.value),
          Edited(before, edits)));
      return ExitCode::kConflict;
    }
  }
  Complain(fmt::format("{}/{}: too many changes by others", kind, name));
  return ExitCode::kConflict;
}

}  // namespace knapweedstile::ctl
