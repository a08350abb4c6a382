#include "job_commands.h"

#include <fmt/core.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "arguments.h"
#include "batch_api.h"
#include "command_line.h"
#include "output.h"

namespace knapweedstile::ctl {
namespace {

constexpr std::chrono::milliseconds kPollInterval{500};

std::string ReadText(const std::string& file) {
  if (file == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream), {}};
}

void PrintJob(const CommandLine& line, const JobStatus& job) {
  if (line.json) {
    fmt::print(
        "{{\"id\":\"{}\",\"state\":\"{}\",\"total\":{},\"completed\":{},"
        "\"failed\":{},\"cancelled\":{}}}\n",
        job.id, job.state, job.total, job.completed, job.failed, job.cancelled);
  } else {
    fmt::print("id={} state={} total={} completed={} failed={} cancelled={}\n",
               job.id, job.state, job.total, job.completed, job.failed,
               job.cancelled);
  }
}

// Polls until the job has finished; stores its last status in `job`.
ExitCode WaitForJob(const BatchApi& api, JobStatus* job) {
  ProgressBar bar("job");
  for (;;) {
    const ExitCode code = api.Status(job->id, job);
    if (code != ExitCode::kOk || job->IsFinished()) return code;
    const uint64_t finished = job->completed + job->failed + job->cancelled;
    bar.Update(static_cast<double>(finished) / static_cast<double>(job->total),
               fmt::format("{}/{} items", finished, job->total));
    std::this_thread::sleep_for(kPollInterval);
  }
}

ExitCode Submit(const CommandLine& line,
                const cxxopts::ParseResult& arguments) {
  if (arguments.count("file") == 0) {
    PrintError("--file is missing");
    return ExitCode::kUsage;
  }
  const BatchApi api(line);
  JobStatus job;
  ExitCode code = api.Submit(
      ReadText(arguments["file"].as<std::string>()),
      arguments.count("key") != 0 ? arguments["key"].as<std::string>() : "",
      &job);
  if (code == ExitCode::kOk && arguments.count("wait") != 0) {
    code = WaitForJob(api, &job);
  }
  if (code == ExitCode::kOk) PrintJob(line, job);
  return code;
}

ExitCode Status(const CommandLine& line, const std::string& id, bool wait) {
  const BatchApi api(line);
  JobStatus job;
  job.id = id;
  const ExitCode code = wait ? WaitForJob(api, &job) : api.Status(id, &job);
  if (code == ExitCode::kOk) PrintJob(line, job);
  return code;
}

ExitCode PrintResults(const BatchApi& api, const std::string& id) {
  uint64_t after = 0;
  for (;;) {
    std::string lines;
    uint64_t next = 0;
    const ExitCode code = api.Results(id, after, &lines, &next);
    if (code != ExitCode::kOk) return code;
    fmt::print("{}", lines);
    // A running job always has a next page; an empty one means that there are
    // no more results yet.
    if (next == 0 || lines.empty()) return code;
    after = next;
  }
}

ExitCode Results(const CommandLine& line, const std::string& id) {
  const BatchApi api(line);
  for (const std::string& job_id : SplitJobIds(id)) {
    const ExitCode code = PrintResults(api, job_id);
    if (code != ExitCode::kOk) return code;
  }
  return ExitCode::kOk;
}

}  // namespace

ExitCode RunJob(const CommandLine& line) {
  const ParsedArguments parsed = ParseArguments(
      "knapctl job",
      "submit --file F [--key K] [--wait]\n"
      "status ID [--wait]\nresults ID\ncancel ID",
      line.arguments, [](cxxopts::Options& options) {
        options.add_options()("file", "JSON lines, or - for standard input",
                              cxxopts::value<std::string>())(
            "key", "idempotency key: resubmitting with it yields the same job",
            cxxopts::value<std::string>())("wait",
                                           "wait until the job has finished");
      });
  if (!parsed.result) return parsed.code;
  const std::vector<std::string>& positional = parsed.result->unmatched();
  const std::string verb = positional.empty() ? "" : positional[0];
  if (verb == "submit") return Submit(line, *parsed.result);
  if (positional.size() == 2 && verb == "status") {
    return Status(line, positional[1], parsed.result->count("wait") != 0);
  }
  if (positional.size() == 2 && verb == "results")
    return Results(line, positional[1]);
  if (positional.size() == 2 && verb == "cancel") {
    const ExitCode code = BatchApi(line).Cancel(positional[1]);
    if (code == ExitCode::kOk) fmt::print("id={} cancelling\n", positional[1]);
    return code;
  }
  PrintError("usage: knapctl job submit|status|results|cancel; see --help");
  return ExitCode::kUsage;
}

}  // namespace knapweedstile::ctl
