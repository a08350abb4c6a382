// Stands in for the weight store: a few rate-limited downloads at a time.

#include <algorithm>
#include <unordered_map>

#include "base/clock.h"
#include "program.h"
#include "stand_in.h"
#include "target.h"

namespace knapweedstile::standins {
namespace {

struct WeightsSettings {
  std::string listen;
  uint64_t bytes_per_s = 0;
  uint64_t model_bytes = 0;
  size_t concurrent = 0;
};

// `GET /weights/MODEL`: the model's bytes at a limited rate, 429 when as many
// downloads as allowed are under way.
class WeightStore {
 public:
  WeightStore(StandIn& process, const WeightsSettings& settings)
      : process_(process), settings_(settings) {}

  void OnRequest(const http::RequestEvent& request) {
    const Target target = ParseTarget(request.target);
    if (target.segments.size() != 2 || target.segments[0] != "weights") {
      return process_.RespondError(request.exchange, 404, "no such path");
    }
    if (left_.size() >= settings_.concurrent) {
      http::HeaderList headers;
      headers.Add("Retry-After", "1");
      return process_.RespondError(request.exchange, 429, "too many downloads",
                                   std::move(headers));
    }
    left_[request.exchange] = settings_.model_bytes;
    process_.server().Execute(
        http::BeginStreamCommand{.exchange = request.exchange});
    SendSome(request.exchange);
  }

  void OnDisconnect(ExchangeId exchange) { left_.erase(exchange); }

 private:
  static constexpr std::chrono::milliseconds kInterval{20};

  void SendSome(ExchangeId exchange) {
    const auto found = left_.find(exchange);
    if (found == left_.end()) return;
    const uint64_t share =
        std::max<uint64_t>(settings_.bytes_per_s * kInterval.count() / 1000, 1);
    const uint64_t count = std::min(share, found->second);
    found->second -= count;
    const bool last = found->second == 0;
    if (last) left_.erase(found);
    process_.server().Execute(http::StreamChunkCommand{
        .exchange = exchange, .data = std::string(count, 'w'), .last = last});
    if (!last)
      process_.After(kInterval, [this, exchange] { SendSome(exchange); });
  }

  StandIn& process_;
  WeightsSettings settings_;
  std::unordered_map<ExchangeId, uint64_t> left_;  // bytes not yet sent
};

int Serve(const cxxopts::ParseResult& flags) {
  const WeightsSettings settings{
      .listen = flags["listen"].as<std::string>(),
      .bytes_per_s = flags["bytes-per-s"].as<uint64_t>(),
      .model_bytes = flags["model-bytes"].as<uint64_t>(),
      .concurrent = flags["concurrent"].as<size_t>()};
  StandIn process("weights");
  WeightStore store(process, settings);
  if (!process.Announce("address", settings.listen)) return 1;
  return process.Run(
      [&](const http::RequestEvent& request) { store.OnRequest(request); },
      [&](ExchangeId exchange) { store.OnDisconnect(exchange); });
}

}  // namespace
}  // namespace knapweedstile::standins

int main(int argc, char** argv) {
  cxxopts::Options options("standin_weights");
  options.add_options()  //
      ("bytes-per-s", "rate of one download",
       cxxopts::value<uint64_t>()->default_value("10000000"))  //
      ("model-bytes", "size of every model",
       cxxopts::value<uint64_t>()->default_value("1000000"))  //
      ("concurrent", "downloads at one time, 429 beyond",
       cxxopts::value<size_t>()->default_value("2"));
  return knapweedstile::standins::RunProgram(options, argc, argv,
                                             knapweedstile::standins::Serve);
}
