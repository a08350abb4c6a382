#ifndef KNAPWEEDSTILE_STANDINS_ENGINE_H_
#define KNAPWEEDSTILE_STANDINS_ENGINE_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lagged.h"
#include "prefix_cache.h"
#include "run_log.h"
#include "stand_in.h"

namespace knapweedstile::standins {

struct EngineSettings {
  size_t slots = 8;
  std::chrono::microseconds token_time{20000};
  std::chrono::microseconds prefill_per_token{100};
  std::chrono::milliseconds load_lag{200};
  size_t cache_blocks = 4096;
  bool check_fence = false;
  std::set<std::string> models;  // empty: any
  std::string crash_word;
  std::string run_log;
};

// A model engine: continuous batching, no priorities, requests beyond the slots
// wait in the order of their arrival (docs/design/protocols.md). One step of
// the batch gives every stream that is past its prefill its next token.
//
// `completion_tokens` counts the whole answer, a resumed part included.
class Engine {
 public:
  Engine(StandIn& process, const EngineSettings& settings);

  void OnRequest(const http::RequestEvent& request);
  void OnDisconnect(ExchangeId exchange);

 private:
  struct Stream {
    std::string request;  // X-Request-Id
    std::string model;
    std::vector<std::string> prompt;
    std::vector<std::string> answer;
    size_t next = 0;  // index into answer
    bool chat = false;
    bool streamed = false;
    bool cut_short = false;  // by max_tokens
    bool crash = false;
    TimePoint prefilled_at;
  };
  struct Load {
    size_t running = 0;
    size_t waiting = 0;
    size_t kv_permille = 0;
  };

  void Completions(const http::RequestEvent& request, bool chat);
  void Order(const http::RequestEvent& request);
  void Control(const http::RequestEvent& request);
  void ReportLoad(ExchangeId exchange);

  void AdmitWaiting();
  void ScheduleStep();
  void Step();
  // Sends the next token; true when it was the last.
  bool EmitToken(ExchangeId exchange, Stream& stream);
  void EmitEvent(ExchangeId exchange, const Stream& stream,
                 const std::string& text, bool last);
  void AnswerWhole(ExchangeId exchange, const Stream& stream);
  void UpdateLoad();
  void LogRun(const char* event, const Stream& stream);

  StandIn& process_;
  EngineSettings settings_;
  RunLog log_;
  PrefixCache cache_;
  Lagged<Load> load_;
  boost::asio::steady_timer step_timer_;
  bool stepping_ = false;
  TimePoint frozen_until_ = TimePoint::min();
  int64_t highest_fence_ = 0;
  std::string role_;
  std::unordered_map<ExchangeId, Stream> running_;
  std::deque<std::pair<ExchangeId, Stream>> waiting_;
};

}  // namespace knapweedstile::standins

#endif  // KNAPWEEDSTILE_STANDINS_ENGINE_H_
