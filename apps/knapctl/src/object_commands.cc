#include "object_commands.h"

#include <fmt/core.h>

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "command_line.h"
#include "label_edit.h"
#include "object_document.h"
#include "object_store.h"
#include "output.h"
#include "words.h"

namespace knapweedstile::ctl {
namespace {

std::string ReadText(const std::string& file) {
  if (file == "-") {
    return {std::istreambuf_iterator<char>(std::cin), {}};
  }
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

void ShowConflict(const ObjectDocument& document, const ObjectAnswer& present) {
  Complain(fmt::format(
      "{}/{}: was changed by somebody else; nothing was overwritten\n"
      "present: {}\nyours:   {}\n"
      "Take the present version into your file, or apply with its version.",
      document.kind, document.name,
      RenderDocument(document.kind, document.name, present.version,
                     present.value),
      RenderDocument(document.kind, document.name, document.version.value_or(0),
                     document.value)));
}

ExitCode ApplyOne(const ObjectStore& store, const ObjectDocument& document) {
  const ObjectAnswer present = store.Read(document.kind, document.name);
  if (present.code == ExitCode::kUnavailable) {
    Complain("platform: " + present.message);
    return present.code;
  }
  if (present.code == ExitCode::kOk && present.value == document.value) {
    fmt::print("{}/{} unchanged version={}\n", document.kind, document.name,
               present.version);
    return ExitCode::kOk;
  }
  const ObjectAnswer written =
      store.Write(document.kind, document.name, document.version.value_or(0),
                  document.value);
  if (written.code == ExitCode::kConflict) {
    ShowConflict(document, store.Read(document.kind, document.name));
  } else if (written.code != ExitCode::kOk) {
    Complain(fmt::format("{}/{}: {}", document.kind, document.name,
                         written.message));
  } else {
    fmt::print("{}/{} applied version={}\n", document.kind, document.name,
               written.version);
  }
  return written.code;
}

}  // namespace

ExitCode RunApply(const CommandLine& line) {
  const ParsedWords parsed = ParseWords(
      "knapctl apply",
      "Creates or changes objects from a JSON file. A file without \"version\" "
      "creates; with it, it changes that version only.",
      line.words, [](cxxopts::Options& options) {
        options.add_options()("f,file", "file, or - for standard input",
                              cxxopts::value<std::string>());
      });
  if (!parsed.result) return parsed.code;
  const cxxopts::ParseResult& words = *parsed.result;
  if (words.count("file") == 0) return ExitCode::kUsage;
  std::vector<std::string> complaints;
  const auto documents =
      ParseDocuments(ReadText(words["file"].as<std::string>()), &complaints);
  // All are checked before any is written.
  for (const ObjectDocument& document : documents) {
    for (const std::string& complaint : Validate(document)) {
      complaints.push_back(document.kind + "/" + document.name + ": " +
                           complaint);
    }
  }
  for (const std::string& complaint : complaints) Complain(complaint);
  if (!complaints.empty()) return ExitCode::kInvalid;
  const ObjectStore store(line.platform);
  ExitCode worst = ExitCode::kOk;
  for (const ObjectDocument& document : documents) {
    const ExitCode code = ApplyOne(store, document);
    if (code != ExitCode::kOk) worst = code;
  }
  return worst;
}

ExitCode RunGet(const CommandLine& line) {
  const ParsedWords parsed =
      ParseWords("knapctl get",
                 "KIND [NAME]: shows objects; -o json gives what apply takes.",
                 line.words, [](cxxopts::Options&) {});
  if (!parsed.result) return parsed.code;
  const std::vector<std::string>& free = parsed.result->unmatched();
  if (free.empty()) return ExitCode::kUsage;
  const std::string& kind = free[0];
  const ObjectStore store(line.platform);
  std::vector<ListedObject> objects;
  if (free.size() > 1) {
    const std::string& name = free[1];
    const ObjectAnswer answer = store.Read(kind, name);
    if (answer.code != ExitCode::kOk) {
      Complain(fmt::format("{}/{}: {}", kind, name, answer.message));
      return answer.code;
    }
    objects.push_back({name, answer.version, answer.value});
  } else if (const ExitCode code = store.List(kind, &objects);
             code != ExitCode::kOk) {
    Complain("the platform does not answer");
    return code;
  }
  if (line.json) {
    std::string text;
    for (const ListedObject& object : objects) {
      text += text.empty() ? "" : ",\n";
      text += RenderDocument(kind, object.name, object.version, object.value);
    }
    fmt::print("[{}]\n", text);
    return ExitCode::kOk;
  }
  TextTable table;
  table.Add({"KIND", "NAME", "VERSION", "VALUE"});
  for (const ListedObject& object : objects) {
    table.Add(
        {kind, object.name, std::to_string(object.version), object.value});
  }
  fmt::print("{}", table.Render());
  return ExitCode::kOk;
}

namespace {

ExitCode LabelOne(const ObjectStore& store, const std::string& kind,
                  const std::string& name, const LabelEdits& edits) {
  uint64_t version = 0;
  const ExitCode code = EditLabels(store, kind, name, edits, &version);
  if (code == ExitCode::kOk) {
    fmt::print("{}/{} labelled version={}\n", kind, name, version);
  }
  return code;
}

}  // namespace

ExitCode RunLabel(const CommandLine& line) {
  const ParsedWords parsed = ParseWords(
      "knapctl label",
      "KIND NAME K=V... K-...: sets and takes off labels.\n"
      "KIND --select K=V,... K=V...: the same on every object that carries the "
      "selected labels.",
      line.words, [](cxxopts::Options& options) {
        options.add_options()("select", "labels to select by",
                              cxxopts::value<std::vector<std::string>>());
      });
  if (!parsed.result) return parsed.code;
  const cxxopts::ParseResult& words = *parsed.result;
  const std::vector<std::string>& free = words.unmatched();
  if (free.size() < 2) return ExitCode::kUsage;
  const std::string& kind = free[0];
  const bool select = words.count("select") != 0;
  const auto first_edit = free.begin() + (select ? 1 : 2);
  const auto edits = ParseLabelEdits({first_edit, free.end()});
  if (!edits || edits->empty()) return ExitCode::kUsage;
  const ObjectStore store(line.platform);
  if (!select) return LabelOne(store, kind, free[1], *edits);

  const auto wanted =
      ParseLabelEdits(words["select"].as<std::vector<std::string>>());
  if (!wanted) return ExitCode::kUsage;
  std::vector<ListedObject> objects;
  if (const ExitCode code = store.List(kind, &objects); code != ExitCode::kOk) {
    return code;
  }
  ExitCode worst = ExitCode::kOk;
  for (const ListedObject& object : objects) {
    if (!HasLabels(object.value, *wanted)) continue;
    const ExitCode code = LabelOne(store, kind, object.name, *edits);
    if (code != ExitCode::kOk) worst = code;
  }
  return worst;
}

ExitCode RunDelete(const CommandLine& line) {
  const ParsedWords parsed =
      ParseWords("knapctl delete", "KIND NAME: deletes an object.", line.words,
                 [](cxxopts::Options& options) {
                   options.add_options()("if-version", "only this version",
                                         cxxopts::value<uint64_t>());
                 });
  if (!parsed.result) return parsed.code;
  const cxxopts::ParseResult& words = *parsed.result;
  if (words.unmatched().size() != 2) return ExitCode::kUsage;
  const std::string& kind = words.unmatched()[0];
  const std::string& name = words.unmatched()[1];
  const ObjectStore store(line.platform);
  const ObjectAnswer present = store.Read(kind, name);
  if (present.code != ExitCode::kOk) {
    Complain(fmt::format("{}/{}: {}", kind, name, present.message));
    return present.code;
  }
  const uint64_t version = words.count("if-version") != 0
                               ? words["if-version"].as<uint64_t>()
                               : present.version;
  const ObjectAnswer deleted = store.Delete(kind, name, version);
  if (deleted.code == ExitCode::kOk) {
    fmt::print("{}/{} deleted version={}\n", kind, name, version);
  } else {
    Complain(fmt::format("{}/{}: {}; present version {}", kind, name,
                         deleted.message, present.version));
  }
  return deleted.code;
}

}  // namespace knapweedstile::ctl
