#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "gateway.h"
#include "platform/store_request.h"

// The gateway's records in the store: jobs, results, ends and addresses, and
// which entry is in charge of a job.
namespace knapweedstile::gateway {
namespace {

// After a start, for the other entries' usage to arrive.
constexpr std::chrono::milliseconds kLearnUsage{600};
// Before jobs of other entries are taken over, those have time to be heard.
constexpr std::chrono::milliseconds kTakeoverAfterStart{1600};
constexpr std::chrono::milliseconds kRegisterTimeout{2000};
constexpr int64_t kNanosPerMilli = 1000000;

// By rendezvous hashing: the same for all who see the same entries.
std::string HighestOf(const std::string& job,
                      const std::vector<std::string>& entries) {
  if (entries.empty()) return {};
  const uint64_t seed = Hash64(job);
  return *std::max_element(entries.begin(), entries.end(),
                           [seed](const std::string& a, const std::string& b) {
                             return Hash64(a, seed) < Hash64(b, seed);
                           });
}

}  // namespace

void Gateway::OnOwnListed(std::vector<platform::StoredObject>&& objects) {
  uint64_t own_version = 0;
  const std::string own_name = NodeName(settings_.name);
  for (platform::StoredObject& object : objects) {
    if (object.name == own_name) own_version = object.version;
    OnOwnObject(std::move(object));
  }
  if (!registered_) Register(own_version);
  UpdateRateMembers();
  RunBatch(MonotonicNow());
}

void Gateway::OnOwnObject(platform::StoredObject&& object) {
  const RecordName name = ParseRecordName(object.name);
  switch (name.type) {
    case RecordType::kJob:
      return object.deleted ? book_.Forget(name.id) : AddJob(name.id, object);
    case RecordType::kSegment:
      if (!object.deleted) AddSegment(name, object);
      return;
    case RecordType::kEnd:
      if (object.deleted) return;
      book_.EndJob(name.id);
      return batch_.OnProgress(name.id);
    case RecordType::kNode:
      if (object.deleted) return ForgetEntry(name.id);
      if (name.id != settings_.name) sync_.Expect(name.id, MonotonicNow());
      peers_.SetAddress(name.id, DecodeNode(object.value));
      return UpdateRateMembers();
    case RecordType::kUnknown:
      return LogWarning("record_unknown", {{"name", object.name}});
  }
}

void Gateway::ForgetEntry(const std::string& entry) {
  peers_.RemoveAddress(entry);
  sync_.Forget(entry);
  rate_.Leave(Hash64(entry));
}

void Gateway::AddJob(const std::string& id,
                     const platform::StoredObject& object) {
  if (book_.Find(id)) return;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(job, DecodeJob(id, object.value, MonotonicNow(),
                                       WallClockNanos() / kNanosPerMilli));
        book_.AddJob(std::move(job));
        return {};
      },
      [&](const Error& error) {
        LogError("job_undecodable", {{"job", id}, {"reason", error.message}});
      },
      [] {});
}

// Most records that a read of the store brings were pushed before. Without
// decoding them again 58 entries took 84 to 156 processor seconds on four
// played days, 99 to 160 with it.
void Gateway::AddSegment(const RecordName& name,
                         const platform::StoredObject& object) {
  if (book_.HasSegment(name.id, name.segment)) return;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(results, DecodeSegment(object.value));
        book_.AddSegment(name.id, name.segment, std::move(results));
        batch_.OnProgress(name.id);
        return {};
      },
      [&](const Error& error) {
        LogError("segment_invalid",
                 {{"name", object.name}, {"reason", error.message}});
      },
      [] {});
}

uint64_t Gateway::PushRecord(const OwnRecord& record) {
  push_.Push(record, peers_.LiveAddresses());
  return push_.count();
}

void Gateway::OnRecordsHeard() {
  if (!writer_.awaits_others()) return;
  writer_.OnHeard(push_.HeardBy(peers_.LiveAddresses()), MonotonicNow());
}

// Tells the other entries where this one takes datagrams.
void Gateway::Register(uint64_t version) {
  if (std::exchange(registering_, true)) return;
  const std::string address =
      fmt::format("{}:{}", settings_.ip, settings_.peer_port);
  store_.Call(platform::WriteRequest{.kind = kOwnKind,
                                     .name = NodeName(settings_.name),
                                     .if_version = version,
                                     .value = EncodeNode(address)},
              MonotonicNow() + kRegisterTimeout,
              [this, version](platform::StoreAnswer&& answer) {
                registering_ = false;
                if (answer.outcome == platform::StoreOutcome::kOk) {
                  registered_ = true;
                  return;
                }
                LogWarning("registration_failed",
                           {{"outcome", NameOf(answer.outcome)}});
                const uint64_t present =
                    answer.version != 0 ? answer.version : version;
                auto timer = std::make_shared<boost::asio::steady_timer>(
                    io_, kRegisterTimeout / 4);
                timer->async_wait([this, timer, present](const auto& ec) {
                  if (!ec) Register(present);
                });
              });
}

// The entry that accepted a job runs it while it lives; then, by a hash that
// all agree on, one of those that live. Two views may differ for a moment: an
// item may then run twice, but its result is committed once.
bool Gateway::Owns(const serving::BatchJob& job) const {
  if (stop_began_at_ != kNever || !knows_ends_) return false;
  // Until the others have told what they use, every slot looks free.
  if (MonotonicNow() < started_at_ + kLearnUsage) return false;
  if (job.creator == settings_.name) return true;
  if (MonotonicNow() < started_at_ + kTakeoverAfterStart) return false;
  if (peers_.Works(job.creator)) return false;
  return ChosenOf(job.id) == settings_.name;
}

std::string Gateway::ChosenOf(const std::string& job) const {
  std::vector<std::string> entries = peers_.WorkingEntries();
  entries.push_back(settings_.name);
  return HighestOf(job, entries);
}

// The entry that accepted it, if that is another one and lives.
std::string Gateway::SuccessorOf(const std::string& job) const {
  const std::vector<std::string> entries = peers_.WorkingEntries();
  const serving::BatchJob* known = book_.Find(job);
  const bool creator_lives =
      known && std::find(entries.begin(), entries.end(), known->creator) !=
                   entries.end();
  return creator_lives ? known->creator : HighestOf(job, entries);
}

// Failure guarded against: an entry that crashes is back within a second and
// goes on with its own jobs, but how far their items had come stands in other
// entries' memory; it begins them anew and makes them late. Those others tell
// it as soon as they hear of its new process.
void Gateway::OnPeerStarted(const std::string& entry) {
  book_.Retell(entry);
  shared_progress_at_ = TimePoint{};
}

bool Gateway::Collects(const std::string& job) const {
  if (stop_began_at_ != kNever) return false;
  return ChosenOf(job) == settings_.name;
}

}  // namespace knapweedstile::gateway
