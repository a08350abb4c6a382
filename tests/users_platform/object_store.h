#ifndef KNAPWEEDSTILE_USERS_SITE_OBJECT_STORE_H_
#define KNAPWEEDSTILE_USERS_SITE_OBJECT_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "http/server.h"

namespace knapweedstile::users_site {

// Stand-in of the users' object store: kinds, revisions, pages, watches, and
// the faults that the real store shows. Runs on the test's io_context.
class ObjectStore {
 public:
  enum class Health {
    kHealthy,
    kUnavailable,   // 503: the call had no effect
    kUnresponsive,  // calls get no response
  };

  explicit ObjectStore(boost::asio::io_context& io);

  const std::string& address() const noexcept { return address_; }

  // Writes by operators and backend servers.
  void Put(const std::string& kind, const std::string& name,
           const boost::json::value& spec);
  void Remove(const std::string& kind, const std::string& name);

  // Faults.
  void SetHealth(Health health);
  // A second address of the same store, whose calls can be rejected separately.
  const std::string& second_address() const noexcept { return second_address_; }
  // Whether calls at the second address are rejected with 503 from now on.
  void RejectAtSecondAddress(bool rejects) { rejects_at_second_ = rejects; }
  // The next `count` writes take effect, but their connections are aborted
  // before the response.
  void LoseAnswers(int count) { lost_responses_ = count; }
  // The connections of the next `count` writes are aborted; each write runs
  // after `delay` and takes effect if its conditions hold then.
  void DelayWrites(int count, std::chrono::milliseconds delay) {
    delayed_writes_ = count;
    write_delay_ = delay;
  }
  // Decides the fate of a single write, by the object's name and the request's
  // `Host`: one for which it returns a delay runs after that, and its
  // connection is aborted.
  std::function<std::optional<std::chrono::milliseconds>(
      const std::string& name, std::string_view host)>
      write_fate;
  // The next `count` creations of objects whose names begin with `prefix` get
  // no response, and no end of their connections; each runs after `delay`.
  void HoldCreations(const std::string& prefix, int count,
                     std::chrono::milliseconds delay) {
    held_prefix_ = prefix;
    held_creations_ = count;
    write_delay_ = delay;
  }
  // Creations that HoldCreations() still waits for.
  int held_creations() const noexcept { return held_creations_; }
  // Lists contain the state at the time of the request and are sent after this
  // delay, like pages of a large kind over a slow link.
  void DelayLists(std::chrono::milliseconds delay) { list_delay_ = delay; }
  // The history of changes is dropped when it is this old.
  void RetainHistory(std::chrono::milliseconds retention) {
    history_retention_ = retention;
  }
  // Watches receive no changes from now on.
  void SuspendWatches() { watches_suspended_ = true; }
  // Aborts all watches and drops the history, so that changes made while
  // watches were suspended are only visible in a new list.
  void DropHistory();

  // State for the checks of tests.
  size_t Count(const std::string& kind, const std::string& prefix) const;
  std::vector<std::string> Names(const std::string& kind) const;
  boost::json::value Status(const std::string& kind,
                            const std::string& name) const;
  boost::json::value Spec(const std::string& kind,
                          const std::string& name) const;
  // Whether the spec of any object of the kind contains the text.
  bool ContainsText(const std::string& kind, const std::string& text) const;
  int writes() const noexcept { return writes_; }
  // Writes that were rejected because the value exceeds the store's limit.
  int oversized_writes() const noexcept { return oversized_writes_; }
  // JSON strings that responses contain as the text they are mapped to, which
  // may be anything.
  std::map<std::string, std::string> raw_texts;
  // Largest value that the store accepts.
  size_t max_value_bytes = 1 << 20;

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
    TimePoint made_at{};
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
  void PerformWrite(const http::RequestEvent& request, const std::string& kind,
                    std::string name, bool status);
  bool IsHeld(const http::RequestEvent& request);
  bool DelayWrite(const http::RequestEvent& request, const std::string& kind,
                  const std::string& name, bool status);
  void RespondJson(ExchangeId exchange, unsigned status,
                   const boost::json::value& body);
  void RespondToWrite(ExchangeId exchange, const std::string& kind,
                      const std::string& name, unsigned status);
  void RecordChange(const std::string& kind, const std::string& name,
                    bool deleted);
  void DropOldHistory();
  void NotifyWatches();
  bool RespondToWatch(const Watch& watch, bool allow_empty);
  boost::json::object ToJson(const std::string& name,
                             const Object& object) const;

  boost::asio::io_context& io_;
  http::Server server_;
  // Serves the second address.
  http::Server second_server_;
  std::string address_;
  std::string second_address_;
  bool rejects_at_second_ = false;
  Health health_ = Health::kHealthy;
  bool watches_suspended_ = false;
  int lost_responses_ = 0;
  int delayed_writes_ = 0;
  std::string held_prefix_;
  int held_creations_ = 0;
  std::chrono::milliseconds write_delay_{0};
  std::chrono::milliseconds list_delay_{0};
  int writes_ = 0;
  int oversized_writes_ = 0;
  uint64_t revision_ = 10;
  uint64_t oldest_revision_ = 10;  // older history has been dropped
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Change> history_;
  Duration history_retention_ = Duration::max();
  std::list<Watch> watches_;
};

}  // namespace knapweedstile::users_site

#endif  // KNAPWEEDSTILE_USERS_SITE_OBJECT_STORE_H_
