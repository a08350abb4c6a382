// A fleet of 130 gateways in four zones, divided into cells, runs batch jobs.
// Then one machine is added in each of three zones. Clients go on reading the
// jobs at all gateways, and end some of them.
//
// Rules: a position of a batch job that was read is there at every machine in
// touch a second later (LOST), and no item runs that reaches an engine over
// three seconds after the end of its batch job was acknowledged (UNASKED).

#include <boost/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "users_platform/site.h"

namespace json = boost::json;
using knapweedstile::ExchangeId;
using knapweedstile::http::ClientOutcome;
using knapweedstile::http::ClientRequest;
using knapweedstile::users_site::kHost;
using knapweedstile::users_site::ModelServer;
using knapweedstile::users_site::Site;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Gateways of each zone, and those that are added there.
struct Zone {
  const char* name;
  int gateways;
  int added;
};
constexpr Zone kZones[] = {
    {"zone-a", 39, 1}, {"zone-b", 39, 1}, {"zone-c", 39, 1}, {"zone-d", 13, 0}};
constexpr int kJobs = 12;
constexpr int kItems = 10;
// Bounds of the site: settle_ms, cancel_ms, contact_ms.
constexpr milliseconds kSettle{1000};
constexpr milliseconds kCancel{3000};
constexpr milliseconds kContact{3000};

const Clock::time_point g_start = Clock::now();
std::ofstream g_record;

template <typename... Parts>
void Record(const Parts&... parts) {
  g_record.precision(3);
  g_record << std::fixed
           << std::chrono::duration<double>(Clock::now() - g_start).count();
  ((g_record << ' ' << parts), ...);
  g_record << std::endl;
}

std::string Name(const Zone& zone, int number) {
  return std::string(zone.name) + "-front-" + std::to_string(number);
}

class Case {
 public:
  int Run(bool trouble) {
    for (int i = 1; i <= 4; ++i) {
      engines_.push_back(
          &site_.AddServer("llm", "engine-" + std::to_string(i), 8));
      engines_.back()->slots = 8;
      engines_.back()->events = 40;
      engines_.back()->event_interval = milliseconds(250);
    }
    // No limit on waiting tokens, as in further/LATER.md.
    site_.Configure(1, json::object{{"max_count", 0}});
    site_.zone_of = [](const std::string& name) { return name.substr(0, 6); };
    std::vector<std::string> names;
    for (const Zone& zone : kZones) {
      for (int i = 1; i <= zone.gateways; ++i) names.push_back(Name(zone, i));
    }
    if (!StartGateways(names)) return 2;
    Play(seconds(10));
    if (!SubmitJobs()) return 2;
    reading_ = true;
    Play(seconds(5));
    if (broken_reads_ > 0) return 2;
    if (trouble) {
      std::vector<std::string> added;
      for (const Zone& zone : kZones) {
        for (int i = 1; i <= zone.added; ++i) {
          added.push_back(Name(zone, zone.gateways + i));
        }
      }
      if (!StartGateways(added)) return 2;
    }
    // From here on, only machines are judged that are up for this long.
    Play(seconds(20));
    EndJobs();
    Play(seconds(24));
    Record("layout in the store:",
           json::serialize(
               site_.store().Spec("knapweedstile-members", "layout")));
    const int late_items = CountLateItems();
    Record("reads answered with 200:", good_reads_, "of them with nothing at a",
           "position that was read before:", broken_reads_);
    Record("items that reached an engine over", kCancel.count(),
           "ms after the end of their job:", late_items);
    std::cout << "reads " << good_reads_ << ", broken " << broken_reads_
              << ", items after the end " << late_items << '\n';
    return broken_reads_ > 0 || late_items > 0 ? 1 : 0;
  }

 private:
  struct Job {
    std::string id;
    // By position: when it was first read.
    std::vector<Clock::time_point> read_at;
    std::optional<Clock::time_point> ended_at;
    bool ending = false;
    std::set<uint64_t> ends;
  };
  struct Read {
    size_t job = 0;
    std::string gateway;
    size_t position = 0;
    Clock::time_point sent_at;
  };

  bool StartGateways(const std::vector<std::string>& names) {
    for (const std::string& name : names) site_.StartGateway(name);
    Record("started", names.size(), "gateways");
    const auto started_at = Clock::now();
    std::set<std::string> waiting(names.begin(), names.end());
    while (!waiting.empty() && Clock::now() < started_at + seconds(30)) {
      const std::set<std::string> asked = waiting;
      for (const std::string& name : asked) {
        if (site_.Ready(name)) waiting.erase(name);
      }
      Play(milliseconds(100));
    }
    Record("not ready:", waiting.size());
    for (const std::string& name : names) {
      gateways_.push_back(name);
      judged_from_[name] = Clock::now() + kContact;
    }
    return waiting.empty();
  }

  bool SubmitJobs() {
    for (int i = 0; i < kJobs; ++i) {
      const std::string id = "job" + std::to_string(i + 1);
      unsigned status = 0;
      for (int attempt = 0; attempt < 5 && status != 202; ++attempt) {
        const std::string& gateway = gateways_[rng_() % gateways_.size()];
        status = site_.Call(site_.JobRequest(gateway, id, kItems, 540)).status;
        Record("submitted", id, "to", gateway, "answered", status);
        if (status != 202) site_.caller().RunFor(milliseconds(500));
      }
      if (status != 202) return false;
      jobs_.push_back({.id = id});
    }
    return true;
  }

  // Every second job is ended, at a gateway drawn by lot; again after each
  // answer other than 200.
  void EndJobs() {
    for (size_t i = 0; i < jobs_.size(); i += 2) jobs_[i].ending = true;
  }

  void Play(Clock::duration time) {
    const auto until = Clock::now() + time;
    while (Clock::now() < until) {
      site_.caller().RunFor(milliseconds(5));
      if (reading_) Collect();
      if (reading_ && Clock::now() >= next_) {
        next_ = Clock::now() + milliseconds(100);
        for (size_t job = 0; job < jobs_.size(); ++job) {
          SendRead(job);
          if (jobs_[job].ending) SendEnd(jobs_[job]);
        }
      }
    }
  }

  void SendRead(size_t index) {
    const Job& job = jobs_[index];
    Read read{.job = index,
              .gateway = gateways_[rng_() % gateways_.size()],
              .position = rng_() % (job.read_at.size() + 1),
              .sent_at = Clock::now()};
    // Mostly the newest results, as clients do.
    if (rng_() % 2 == 0) read.position = job.read_at.size();
    ClientRequest request;
    request.address = site_.caller_address(read.gateway);
    request.target =
        "/-/lots/" + job.id + "?after=" + std::to_string(read.position);
    request.headers.Add("Host", kHost);
    reads_[site_.caller().Begin(std::move(request)).value()] = read;
  }

  void SendEnd(Job& job) {
    if (!job.ends.empty()) return;
    const std::string& gateway = gateways_[rng_() % gateways_.size()];
    ClientRequest request;
    request.address = site_.caller_address(gateway);
    request.method = "DELETE";
    request.target = "/-/lots/" + job.id;
    request.headers.Add("Host", kHost);
    job.ends.insert(site_.caller().Begin(std::move(request)).value());
    Record("ends", job.id, "at", gateway);
  }

  void Collect() {
    for (Job& job : jobs_) {
      for (auto at = job.ends.begin(); at != job.ends.end();) {
        const auto& answer = site_.caller().answer(ExchangeId(*at));
        if (!answer.end) {
          ++at;
          continue;
        }
        const bool ok = answer.end->outcome == ClientOutcome::kComplete &&
                        answer.end->status == 200;
        Record("end of", job.id, "answered", answer.end->status);
        if (ok) {
          job.ending = false;
          job.ended_at = Clock::now();
        }
        at = job.ends.erase(at);
      }
    }
    for (auto at = reads_.begin(); at != reads_.end();) {
      const auto& answer = site_.caller().answer(ExchangeId(at->first));
      if (!answer.end) {
        ++at;
        continue;
      }
      const bool ok = answer.end->outcome == ClientOutcome::kComplete &&
                      answer.end->status == 200;
      if (ok) Check(at->second, answer.end->body);
      at = reads_.erase(at);
    }
  }

  void Check(const Read& read, const std::string& body) {
    ++good_reads_;
    Job& job = jobs_[read.job];
    const size_t count = json::parse(body).at("results").as_array().size();
    const size_t known = read.position + count;
    const auto now = Clock::now();
    if (known > job.read_at.size()) {
      Record("read", job.id, "up to position", known, "at", read.gateway);
      job.read_at.resize(known, now);
    }
    if (count > 0 || read.position >= job.read_at.size()) return;
    if (read.sent_at < job.read_at[read.position] + kSettle) return;
    if (read.sent_at < judged_from_[read.gateway]) return;
    ++broken_reads_;
    const double before =
        std::chrono::duration<double>(read.sent_at -
                                      job.read_at[read.position])
            .count();
    Record("BROKEN LOST", read.gateway, "has nothing at position",
           read.position, "of", job.id, "which was read", before,
           "s before the read was sent");
  }

  int CountLateItems() {
    int late = 0;
    for (const Job& job : jobs_) {
      if (!job.ended_at) continue;
      for (const ModelServer* engine : engines_) {
        for (const auto& run : engine->runs()) {
          if (!run.request_id.starts_with(job.id + "-")) continue;
          const auto after = run.started_at - *job.ended_at;
          if (after <= kCancel) continue;
          ++late;
          Record("BROKEN UNASKED", run.request_id, "reached", run.instance,
                 std::chrono::duration<double>(after).count(),
                 "s after the end of its job");
        }
      }
    }
    return late;
  }

  Site site_;
  std::mt19937_64 rng_{11};
  std::vector<ModelServer*> engines_;
  std::vector<std::string> gateways_;
  std::map<std::string, Clock::time_point> judged_from_;
  std::vector<Job> jobs_;
  std::map<uint64_t, Read> reads_;
  Clock::time_point next_{};
  bool reading_ = false;
  int good_reads_ = 0;
  int broken_reads_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  g_record.open(argv[1]);
  const char* trouble = std::getenv("TROUBLE");
  try {
    Case review;
    return review.Run(!trouble || std::string(trouble) != "0");
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
