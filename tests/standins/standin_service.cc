// Stands in for a plain service: answers what it was asked, after a delay.

#include <boost/json/object.hpp>

#include "program.h"
#include "run_log.h"
#include "stand_in.h"

namespace knapweedstile::standins {
namespace {

struct ServiceSettings {
  std::string listen;
  std::string name;
  std::string run_log;
  std::chrono::milliseconds delay{0};
};

int Serve(const cxxopts::ParseResult& flags) {
  const ServiceSettings settings{
      .listen = flags["listen"].as<std::string>(),
      .name = flags["name"].as<std::string>(),
      .run_log = flags["run-log"].as<std::string>(),
      .delay = std::chrono::milliseconds(flags["delay-ms"].as<int>())};
  StandIn process(settings.name);
  RunLog log(settings.run_log);
  uint64_t calls = 0;
  if (!process.Announce("address", settings.listen)) return 1;
  return process.Run([&](const http::RequestEvent& request) {
    ++calls;
    log.Append({{"event", "call"},
                {"request", request.headers.Find("X-Request-Id")},
                {"key", request.headers.Find("Idempotency-Key")},
                {"method", request.method},
                {"path", request.target}});
    boost::json::object answer{{"service", settings.name},
                               {"method", request.method},
                               {"path", request.target},
                               {"body", request.body},
                               {"calls", calls}};
    process.After(settings.delay, [&process, answer = std::move(answer),
                                   exchange = request.exchange] {
      process.RespondJson(exchange, 200, answer);
    });
  });
}

}  // namespace
}  // namespace knapweedstile::standins

int main(int argc, char** argv) {
  cxxopts::Options options("standin_service");
  options.add_options()  //
      ("name", "said in every answer",
       cxxopts::value<std::string>()->default_value("service"))  //
      ("delay-ms", "before each answer",
       cxxopts::value<int>()->default_value("0"))  //
      ("run-log", "file for the calls that ran",
       cxxopts::value<std::string>()->default_value(""));
  return knapweedstile::standins::RunProgram(options, argc, argv,
                                             knapweedstile::standins::Serve);
}
