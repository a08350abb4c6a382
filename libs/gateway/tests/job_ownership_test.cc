#include "batch/job_ownership.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "peers/peer_link.h"
#include "serving/job_table.h"

namespace knapweedstile::gateway {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr TimePoint kLater = kStart + seconds(60);

udp::endpoint FreePort(boost::asio::io_context& io) {
  return udp::socket(io, {boost::asio::ip::address_v4::loopback(), 0})
      .local_endpoint();
}

// A gateway, "b-1", that owns no jobs itself, and its peers.
struct Fixture {
  boost::asio::io_context io;
  serving::JobTable jobs;
  std::vector<std::string> started;  // peers that need all progress
  PeerLink peers{
      io,
      "b-1",
      1,
      {.state_received = [](const PeerState&) {},
       .peer_started =
           [this](const std::string& peer) { started.push_back(peer); },
       .membership_changed = [] {},
       .is_peer = [](const std::string&, const std::string&) { return true; }}};
  JobOwnership ownership{"b-1", kStart, peers, jobs};
  udp::endpoint address = FreePort(io);
  udp::socket sender{io, udp::v4()};
  uint64_t sequence = 0;
  serving::BatchJob job;

  Fixture() {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_CHECK(
              peers.Listen(address.address().to_string(), address.port()));
          return {};
        },
        [] { FAIL("no port"); });
    job.id = "job-a";
    job.creator = "a-1";
    job.second_holder = "b-1";
    ownership.SetEndRecordsLoaded(true, kStart);
  }
  void Report(const std::string& gateway, bool starts_no_items) {
    const std::string datagram =
        EncodePeerState({.gateway = gateway,
                         .start = 1,
                         .sequence = ++sequence,
                         .starts_no_items = starts_no_items});
    sender.send_to(boost::asio::buffer(datagram), address);
    const bool expected = !starts_no_items;
    const auto is_known = [&] {
      return peers.IsActivePeer(gateway) &&
             peers.StartsItems(gateway) == expected;
    };
    for (int tries = 0; tries < 100 && !is_known(); ++tries)
      io.run_for(milliseconds(10));
    REQUIRE(peers.IsActivePeer(gateway));
    REQUIRE(peers.StartsItems(gateway) == expected);
  }
};

}  // namespace

// Guards against a job that nobody runs, because its owner is live for its
// peers but can't start items.
TEST_CASE("the second holder runs the jobs of an owner that starts no items") {
  Fixture fixture;
  fixture.Report("a-1", false);
  CHECK_FALSE(fixture.ownership.Owns(fixture.job, kLater));
  fixture.Report("a-1", true);
  CHECK(fixture.ownership.Owns(fixture.job, kLater));
  // Able again, it gets the progress of its items.
  fixture.started.clear();
  fixture.Report("a-1", false);
  CHECK_FALSE(fixture.ownership.Owns(fixture.job, kLater));
  CHECK(fixture.started == std::vector<std::string>{"a-1"});
}

TEST_CASE("a job goes to another gateway if both of its holders start none") {
  Fixture fixture;
  fixture.job.second_holder = "a-2";
  fixture.Report("a-1", true);
  fixture.Report("a-2", false);
  CHECK_FALSE(fixture.ownership.Owns(fixture.job, kLater));
  fixture.Report("a-2", true);
  CHECK(fixture.ownership.Owns(fixture.job, kLater));
  CHECK(fixture.ownership.LiveHoldersOf(fixture.job) ==
        std::vector<std::string>{"a-1", "a-2"});
}

// Guards against progress that is sent to a gateway that will not go on with
// it.
TEST_CASE("a gateway that starts no items is no successor") {
  Fixture fixture;
  fixture.job.creator = "b-1";
  fixture.job.second_holder = "a-1";
  fixture.jobs.AddJob(serving::BatchJob(fixture.job));
  fixture.Report("a-1", false);
  fixture.Report("a-2", false);
  CHECK(fixture.ownership.SuccessorOf("job-a") == "a-1");
  fixture.Report("a-1", true);
  CHECK(fixture.ownership.SuccessorOf("job-a") == "a-2");
  fixture.Report("a-2", true);
  CHECK_FALSE(fixture.ownership.SuccessorOf("job-a").empty());
}

// Guards against items that run twice: a gateway leaves its jobs to its peers
// only if it can't run them for long, and takes them back only after its peers
// have heard of it.
TEST_CASE("a gateway hands its jobs over, and takes them back with a pause") {
  Fixture fixture;
  fixture.job.creator = "b-1";
  JobOwnership& ownership = fixture.ownership;
  CHECK(ownership.Owns(fixture.job, kLater));
  ownership.SetEndRecordsLoaded(false, kLater);
  CHECK_FALSE(ownership.Owns(fixture.job, kLater));
  // For a short time: nothing is handed over, and it goes on at once.
  CHECK_FALSE(ownership.HandsOver(kLater + seconds(1)));
  ownership.SetEndRecordsLoaded(true, kLater + seconds(1));
  CHECK(ownership.Owns(fixture.job, kLater + seconds(1)));
  ownership.SetEndRecordsLoaded(false, kLater + seconds(2));
  CHECK(ownership.HandsOver(kLater + seconds(6)));
  const TimePoint able_at = kLater + seconds(6);
  ownership.SetEndRecordsLoaded(true, able_at);
  CHECK_FALSE(ownership.HandsOver(able_at));
  // Peers report every quarter of a second.
  CHECK_FALSE(ownership.Owns(fixture.job, able_at + milliseconds(250)));
  CHECK(ownership.Owns(fixture.job, able_at + seconds(1)));
}

}  // namespace knapweedstile::gateway
