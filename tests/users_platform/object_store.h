#ifndef KNAPWEEDSTILE_USERS_SITE_OBJECT_STORE_H_
#define KNAPWEEDSTILE_USERS_SITE_OBJECT_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/server.h"

namespace knapweedstile::users_site {

// Stand-in of the users' object store: kinds, revisions, pages, watches, and
// the faults that it shows. Lives on the test's io_context.
class ObjectStore {
 public:
  enum class Health {
    kGood,
    kBusy,    // 503: nothing was done
    kSilent,  // calls are taken and never answered
  };

  explicit ObjectStore(boost::asio::io_context& io);

  const std::string& address() const noexcept { return address_; }

  // What operators and backend servers do.
  void Put(const std::string& kind, const std::string& name,
           const boost::json::value& spec);
  void Remove(const std::string& kind, const std::string& name);

  // Faults.
  void SetHealth(Health health);
  // Turns away calls whose connections come to this address; empty: none.
  const std::string& second_address() const noexcept { return second_address_; }
  // Calls at the second address are answered 503 from now on.
  void TurnAwaySecond(bool away) { second_away_ = away; }
  // The next `count` writes take effect, but their connections are cut.
  void LoseAnswers(int count) { lose_answers_ = count; }
  // The next `count` writes get no answer and take effect this much later, if
  // their conditions hold then.
  void RunLate(int count, std::chrono::milliseconds later) {
    run_late_ = count;
    later_ = later;
  }
  // Lists hold what there was when they were asked for and are answered this
  // much later, as pages of a large kind over a slow link are.
  void DelayLists(std::chrono::milliseconds delay) { list_delay_ = delay; }
  // Watches hear nothing from now on, and what they miss is not kept.
  void SilenceWatches() { watches_silent_ = true; }
  // Ends the silence: watches are cut and the history is gone.
  void ForgetHistory();

  // What a test looks at.
  size_t Count(const std::string& kind, const std::string& prefix) const;
  boost::json::value Status(const std::string& kind,
                            const std::string& name) const;
  // Whether any object of the kind holds the text.
  bool Holds(const std::string& kind, const std::string& text) const;
  int writes() const noexcept { return writes_; }

 private:
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    boost::json::value spec;
    boost::json::value status;
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool deleted = false;
  };
  struct Watch {
    ExchangeId exchange;
    std::string kind;
    uint64_t after = 0;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  bool OnEvent(http::ServerEvent&& event);
  bool OnSecondEvent(http::ServerEvent&& event);
  void Respond(http::RespondCommand&& command);
  void Abort(ExchangeId exchange);
  void OnRequest(const http::RequestEvent& request);
  void Read(ExchangeId exchange, const std::string& kind,
            const std::string& name);
  void List(ExchangeId exchange, const std::string& kind,
            const std::string& after);
  void BeginWatch(ExchangeId exchange, const std::string& kind, uint64_t after,
                  int64_t wait_ms);
  void Write(const http::RequestEvent& request, const std::string& kind,
             std::string name, bool status);
  bool WriteLate(const http::RequestEvent& request, const std::string& kind,
                 const std::string& name, bool status);
  void Answer(ExchangeId exchange, unsigned status,
              const boost::json::value& body);
  void AnswerWrite(ExchangeId exchange, const std::string& kind,
                   const std::string& name, unsigned status);
  void Changed(const std::string& kind, const std::string& name, bool deleted);
  void WakeWatches();
  bool AnswerWatch(const Watch& watch, bool even_empty);
  boost::json::object ToJson(const std::string& name,
                             const Object& object) const;

  boost::asio::io_context& io_;
  http::Server server_;
  // The same store at another address, for the gateways that it turns away.
  http::Server second_server_;
  std::string address_;
  std::string second_address_;
  bool second_away_ = false;
  Health health_ = Health::kGood;
  bool watches_silent_ = false;
  int lose_answers_ = 0;
  int run_late_ = 0;
  std::chrono::milliseconds later_{0};
  std::chrono::milliseconds list_delay_{0};
  int writes_ = 0;
  uint64_t revision_ = 10;
  uint64_t oldest_ = 10;  // history before it is gone
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Change> history_;
  std::list<Watch> watches_;
};

}  // namespace knapweedstile::users_site

#endif  // KNAPWEEDSTILE_USERS_SITE_OBJECT_STORE_H_
