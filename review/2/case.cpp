// A fleet of 126 gateways accepts batch jobs and completes them. Then machines
// are added to the system. Afterwards every gateway is asked for the results.
//
// Rule: an accepted batch job is never answered with 404 by a machine in touch,
// and what was read of it can be read again (LOST).

#include <boost/json.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
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

namespace {

constexpr int kGateways = 126;
constexpr int kAdded = 3;
constexpr int kJobs = 6;
constexpr int kItems = 10;

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

std::string Number(int number) {
  const std::string text = std::to_string(number);
  return std::string(3 - text.size(), '0') + text;
}

class Case {
 public:
  bool Start() {
    for (int i = 1; i <= 3; ++i) {
      ModelServer& server =
          site_.AddServer("llm", "engine-" + std::to_string(i), 8);
      server.events = 20;
      server.event_interval = std::chrono::milliseconds(5);
    }
    site_.Configure(1);
    const char* zones[] = {"zone-a", "zone-b", "zone-c"};
    site_.zone_of = [zones](const std::string& name) {
      return std::string(zones[std::stoi(name.substr(name.size() - 3)) % 3]);
    };
    std::vector<std::string> names;
    for (int i = 1; i <= kGateways; ++i) names.push_back("front-" + Number(i));
    return StartGateways(names);
  }

  bool StartGateways(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      site_.StartGateway(name);
      gateways_.push_back(name);
    }
    Record("started", names.size(), "gateways,", gateways_.size(), "in all");
    const auto give_up = Clock::now() + std::chrono::seconds(40);
    std::set<std::string> waiting(names.begin(), names.end());
    while (!waiting.empty() && Clock::now() < give_up) {
      const std::set<std::string> asked = waiting;
      for (const std::string& name : asked) {
        if (site_.Ready(name)) waiting.erase(name);
      }
      site_.caller().RunFor(std::chrono::milliseconds(200));
    }
    Record("not ready:", waiting.size());
    return waiting.empty();
  }

  void Wait(int seconds) {
    site_.caller().RunFor(std::chrono::seconds(seconds));
  }

  bool SubmitJobs() {
    for (int i = 0; i < kJobs; ++i) {
      const std::string job = "job" + std::to_string(i + 1);
      const std::string& gateway = gateways_[i * 20];
      unsigned status = 0;
      for (int attempt = 0; attempt < 5 && status != 202; ++attempt) {
        status =
            site_.Call(site_.JobRequest(gateway, job, kItems, 540)).status;
        Record("submitted", job, "to", gateway, "answered", status);
        if (status != 202) site_.caller().RunFor(std::chrono::seconds(1));
      }
      if (status != 202) return false;
      jobs_.push_back(job);
    }
    for (const std::string& job : jobs_) {
      const json::object page =
          site_.WaitForResults(gateways_.front(), job, kItems);
      if (!page.contains("results") ||
          page.at("results").as_array().size() != kItems) {
        return false;
      }
      results_[job] = json::serialize(page.at("results"));
      Record("read", job, "whole at", gateways_.front());
    }
    return true;
  }

  // Reads all jobs at all gateways, and again after each 503 or broken call, as
  // clients do. Returns the number of pairs of a gateway and a job that broke
  // the rule.
  int ReadAll(int seconds) {
    struct Pair {
      std::string gateway;
      std::string job;
      unsigned last = 0;
      int asked = 0;
    };
    std::vector<Pair> open;
    for (const std::string& gateway : gateways_) {
      for (const std::string& job : jobs_) open.push_back({gateway, job});
    }
    int broken = 0;
    std::map<std::string, int> counts;
    const auto give_up = Clock::now() + std::chrono::seconds(seconds);
    while (!open.empty() && Clock::now() < give_up) {
      std::vector<Pair> again;
      for (size_t begin = 0; begin < open.size(); begin += 32) {
        const size_t end = std::min(open.size(), begin + 32);
        std::map<size_t, ExchangeId> sent;
        for (size_t i = begin; i < end; ++i) {
          ClientRequest request;
          request.address = site_.caller_address(open[i].gateway);
          request.target = "/-/lots/" + open[i].job + "?after=0";
          request.headers.Add("Host", kHost);
          sent[i] = site_.caller().Begin(std::move(request));
        }
        for (const auto& [i, exchange] : sent) {
          site_.caller().RunUntilEnd(exchange);
          const auto& answer = *site_.caller().answer(exchange).end;
          Pair& pair = open[i];
          ++pair.asked;
          pair.last = answer.outcome == ClientOutcome::kComplete
                          ? answer.status
                          : 0;
          if (pair.last == 404 || pair.last == 410) {
            ++broken;
            ++counts["answered " + std::to_string(pair.last)];
            Record("BROKEN LOST", pair.gateway, "answers", pair.last, "for",
                   pair.job);
          } else if (pair.last == 200) {
            const json::value page = json::parse(answer.body);
            const auto& list = page.at("results").as_array();
            if (json::serialize(list) == results_.at(pair.job)) {
              ++counts["whole"];
            } else {
              ++broken;
              ++counts["other results than were read before"];
              Record("BROKEN LOST", pair.gateway, "gives", list.size(),
                     "results for", pair.job);
            }
          } else {
            again.push_back(pair);
          }
        }
      }
      open = std::move(again);
      site_.caller().RunFor(std::chrono::milliseconds(500));
    }
    for (const Pair& pair : open) {
      ++broken;
      ++counts["never answered with results"];
      Record("BROKEN LOST", pair.gateway, "answered", pair.last, "for",
             pair.job, "at all of", pair.asked, "reads");
    }
    for (const auto& [what, count] : counts) Record("reads:", what, count);
    return broken;
  }


  int Run(bool trouble) {
    if (!Start()) return 2;
    Wait(4);
    if (!SubmitJobs()) return 2;
    if (ReadAll(10) > 0) return 2;
    if (trouble) {
      std::vector<std::string> added;
      for (int i = 1; i <= kAdded; ++i) {
        added.push_back("front-" + Number(kGateways + i));
      }
      StartGateways(added);
    }
    Wait(14);
    const int broken = ReadAll(15);
    std::cout << "pairs of a gateway and a job: " << gateways_.size() * kJobs
              << ", broken " << broken << '\n';
    return broken > 0 ? 1 : 0;
  }

 private:
  Site site_;
  std::vector<std::string> gateways_;
  std::vector<std::string> jobs_;
  std::map<std::string, std::string> results_;
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
