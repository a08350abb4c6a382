// Stands in for a model engine.

#include "engine.h"
#include "program.h"

namespace knapweedstile::standins {
namespace {

int Serve(const cxxopts::ParseResult& flags) {
  EngineSettings settings;
  settings.slots = flags["slots"].as<size_t>();
  settings.token_time = std::chrono::microseconds(
      static_cast<int64_t>(flags["token-ms"].as<double>() * 1000));
  settings.prefill_per_token =
      std::chrono::microseconds(flags["prefill-us-per-token"].as<int>());
  settings.cache_blocks = flags["cache-blocks"].as<size_t>();
  settings.load_lag = std::chrono::milliseconds(flags["load-lag-ms"].as<int>());
  for (const auto& model : flags["models"].as<std::vector<std::string>>()) {
    if (!model.empty()) settings.models.insert(model);
  }
  settings.check_fence = flags["check-fence"].as<bool>();
  settings.crash_word = flags["crash-word"].as<std::string>();
  settings.run_log = flags["run-log"].as<std::string>();
  StandIn process("engine");
  Engine engine(process, settings);
  if (!process.Announce("address", flags["listen"].as<std::string>())) return 1;
  return process.Run([&](const auto& request) { engine.OnRequest(request); },
                     [&](auto exchange) { engine.OnDisconnect(exchange); });
}

}  // namespace
}  // namespace knapweedstile::standins

int main(int argc, char** argv) {
  cxxopts::Options options("standin_engine");
  options.add_options()  //
      ("slots", "streams in one batch",
       cxxopts::value<size_t>()->default_value("8"))  //
      ("token-ms", "time of one step of the batch",
       cxxopts::value<double>()->default_value("20"))  //
      ("prefill-us-per-token", "time for a prompt token that is not cached",
       cxxopts::value<int>()->default_value("100"))  //
      ("cache-blocks", "prefix cache, in blocks of 16 words",
       cxxopts::value<size_t>()->default_value("4096"))  //
      ("load-lag-ms", "age of what load reports say",
       cxxopts::value<int>()->default_value("200"))  //
      ("models", "models loaded, by comma; none: answers for any",
       cxxopts::value<std::vector<std::string>>()->default_value(""))  //
      ("check-fence", "refuse orders with an old fencing number")      //
      ("crash-word", "a prompt with this word ends the process",
       cxxopts::value<std::string>()->default_value(""))  //
      ("run-log", "file for what ran",
       cxxopts::value<std::string>()->default_value(""));
  return knapweedstile::standins::RunProgram(options, argc, argv,
                                             knapweedstile::standins::Serve);
}
