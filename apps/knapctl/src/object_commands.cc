#include "object_commands.h"

#include <fmt/core.h>

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "arguments.h"
#include "command_line.h"
#include "label_edit.h"
#include "object_document.h"
#include "object_store.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

std::string ReadText(const std::string& file) {
  if (file == "-") {
    return {std::istreambuf_iterator<char>(std::cin), {}};
  }
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

void PrintConflict(const ObjectDocument& document,
                   const ObjectResponse& current) {
  PrintError(fmt::format(
      "{}/{}: has changed since it was read; nothing was overwritten\n"
      "present: {}\nyours:   {}\n"
      "Merge the current version into your file, or apply with its version.",
      document.kind, document.name,
      RenderDocument(document.kind, document.name, current.version,
                     current.value),
      RenderDocument(document.kind, document.name, document.version.value_or(0),
                     document.value)));
}

ExitCode ApplyOne(const ObjectStore& store, const ObjectDocument& document) {
  const ObjectResponse current = store.Read(document.kind, document.name);
  if (current.code == ExitCode::kUnavailable) {
    PrintError("platform: " + current.message);
    return current.code;
  }
  if (current.code == ExitCode::kOk && current.value == document.value) {
    fmt::print("{}/{} unchanged version={}\n", document.kind, document.name,
               current.version);
    return ExitCode::kOk;
  }
  const ObjectResponse write =
      store.Write(document.kind, document.name, document.version.value_or(0),
                  document.value);
  if (write.code == ExitCode::kConflict) {
    PrintConflict(document, store.Read(document.kind, document.name));
  } else if (write.code != ExitCode::kOk) {
    PrintError(
        fmt::format("{}/{}: {}", document.kind, document.name, write.message));
  } else {
    fmt::print("{}/{} applied version={}\n", document.kind, document.name,
               write.version);
  }
  return write.code;
}

}  // namespace

ExitCode RunApply(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl apply",
      "Creates or changes objects from a JSON file. A file without \"version\" "
      "creates; with it, it changes that version only.",
      line.arguments, [](cxxopts::Options& options) {
        options.add_options()("f,file", "file, or - for standard input",
                              cxxopts::value<std::string>());
      });
  if (!parsed.result) return parsed.code;
  const cxxopts::ParseResult& arguments = *parsed.result;
  if (arguments.count("file") == 0) return ExitCode::kUsage;
  std::vector<std::string> errors;
  const auto documents =
      ParseDocuments(ReadText(arguments["file"].as<std::string>()), &errors);
  // All documents are validated before any is written.
  for (const ObjectDocument& document : documents) {
    for (const std::string& error : Validate(document)) {
      errors.push_back(document.kind + "/" + document.name + ": " + error);
    }
  }
  for (const std::string& error : errors) PrintError(error);
  if (!errors.empty()) return ExitCode::kInvalid;
  const ObjectStore store(line.platform);
  ExitCode result = ExitCode::kOk;
  for (const ObjectDocument& document : documents) {
    const ExitCode code = ApplyOne(store, document);
    if (code != ExitCode::kOk) result = code;
  }
  return result;
}

ExitCode RunGet(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl get",
      "KIND [NAME]: shows objects; -o json prints the input format of apply.",
      line.arguments, [](cxxopts::Options&) {});
  if (!parsed.result) return parsed.code;
  const std::vector<std::string>& positional = parsed.result->unmatched();
  if (positional.empty()) return ExitCode::kUsage;
  const std::string& kind = positional[0];
  const ObjectStore store(line.platform);
  std::vector<ListedObject> objects;
  if (positional.size() > 1) {
    const std::string& name = positional[1];
    const ObjectResponse response = store.Read(kind, name);
    if (response.code != ExitCode::kOk) {
      PrintError(fmt::format("{}/{}: {}", kind, name, response.message));
      return response.code;
    }
    objects.push_back({name, response.version, response.value});
  } else if (const ExitCode code = store.List(kind, &objects);
             code != ExitCode::kOk) {
    PrintError("the objects API at --platform does not respond");
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
  table.AddRow({"KIND", "NAME", "VERSION", "VALUE"});
  for (const ListedObject& object : objects) {
    table.AddRow(
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
  const ParsedArguments parsed = ParseArguments(
      "knapctl label",
      "KIND NAME K=V... K-...: sets and removes labels.\n"
      "KIND --select K=V,... K=V...: the same on every object that has the "
      "selected labels.",
      line.arguments, [](cxxopts::Options& options) {
        options.add_options()("select", "labels to select by",
                              cxxopts::value<std::vector<std::string>>());
      });
  if (!parsed.result) return parsed.code;
  const cxxopts::ParseResult& arguments = *parsed.result;
  const std::vector<std::string>& positional = arguments.unmatched();
  if (positional.size() < 2) return ExitCode::kUsage;
  const std::string& kind = positional[0];
  const bool by_selector = arguments.count("select") != 0;
  const auto first_edit = positional.begin() + (by_selector ? 1 : 2);
  const auto edits = ParseLabelEdits({first_edit, positional.end()});
  if (!edits || edits->empty()) return ExitCode::kUsage;
  const ObjectStore store(line.platform);
  if (!by_selector) return LabelOne(store, kind, positional[1], *edits);

  const auto selector =
      ParseLabelEdits(arguments["select"].as<std::vector<std::string>>());
  if (!selector) return ExitCode::kUsage;
  std::vector<ListedObject> objects;
  if (const ExitCode code = store.List(kind, &objects); code != ExitCode::kOk) {
    return code;
  }
  ExitCode result = ExitCode::kOk;
  for (const ListedObject& object : objects) {
    if (!HasLabels(object.value, *selector)) continue;
    const ExitCode code = LabelOne(store, kind, object.name, *edits);
    if (code != ExitCode::kOk) result = code;
  }
  return result;
}

ExitCode RunDelete(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl delete", "KIND NAME: deletes an object.", line.arguments,
      [](cxxopts::Options& options) {
        options.add_options()("if-version", "delete only this version",
                              cxxopts::value<uint64_t>());
      });
  if (!parsed.result) return parsed.code;
  const cxxopts::ParseResult& arguments = *parsed.result;
  if (arguments.unmatched().size() != 2) return ExitCode::kUsage;
  const std::string& kind = arguments.unmatched()[0];
  const std::string& name = arguments.unmatched()[1];
  const ObjectStore store(line.platform);
  const ObjectResponse current = store.Read(kind, name);
  if (current.code != ExitCode::kOk) {
    PrintError(fmt::format("{}/{}: {}", kind, name, current.message));
    return current.code;
  }
  const uint64_t version = arguments.count("if-version") != 0
                               ? arguments["if-version"].as<uint64_t>()
                               : current.version;
  const ObjectResponse deletion = store.Delete(kind, name, version);
  if (deletion.code == ExitCode::kOk) {
    fmt::print("{}/{} deleted version={}\n", kind, name, version);
  } else {
    PrintError(fmt::format("{}/{}: {}; current version {}", kind, name,
                           deletion.message, current.version));
  }
  return deletion.code;
}

}  // namespace knapweedstile::ctl
