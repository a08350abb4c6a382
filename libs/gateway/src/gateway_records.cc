#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/job_records.h"
#include "gateway.h"

// The gateway's records in the store: jobs, results and ends of jobs.
namespace knapweedstile::gateway {

uint64_t Gateway::PushRecord(const StoreRecord& record) {
  found_records_.OnPushed(record.name);
  const auto addresses = peers_.LiveAddresses();
  const RecordName name = ParseRecordName(record.name);
  const serving::BatchJob* job = jobs_.Find(name.id);
  std::optional<std::string> outline;
  if (job && !job->second_holder.empty()) {
    if (name.type == RecordType::kJob) outline = OutlineOfJob(record.value);
    if (name.type == RecordType::kSegment) {
      outline = OutlineOfSegment(record.value);
    }
  }
  if (outline) {
    std::vector<std::string> in_full = ownership_.LiveHoldersOf(*job);
    for (const auto& [peer, address] : addresses) {
      if (!peers_.TakesOutlines(peer)) in_full.push_back(peer);
    }
    record_push_.Push(record, {record.name, std::move(*outline), true},
                      addresses, in_full);
  } else {
    record_push_.Push(record, addresses);
  }
  return record_push_.count();
}

// What this gateway only missed, the others have: each of them finds out by
// itself what it misses.
void Gateway::OnRecordFound(const platform::StoredObject& object) {
  const TimePoint now = MonotonicNow();
  if (sync_tracker_.MissesPushes(now)) return;
  found_records_.OnFound({object.name, object.value}, now);
}

void Gateway::PushFoundRecords(TimePoint now) {
  for (const StoreRecord& record : found_records_.TakeDue(now)) {
    // It was deleted meanwhile, or its job has not been read yet.
    if (!jobs_.Find(ParseRecordName(record.name).id)) continue;
    LogInfo("record_found", {{"name", record.name}});
    metrics_.Add("knap_records_found_total");
    PushRecord(record);
  }
}

bool Gateway::RunsItemsOf(const serving::BatchJob& job) {
  const TimePoint now = MonotonicNow();
  if (!fleet_.HoldsJob(job.id) && !fleet_.layout().cells.empty()) return false;
  if (!ownership_.Owns(job, now)) return false;
  if (job.has_bodies) return true;
  record_fetcher_.FetchInBackground(JobName(job.id), now);
  return false;
}

// Guards against running a job that was accepted under a newer configuration by
// an older one: this gateway was suspended or cut off while it changed.
bool Gateway::HasConfigurationOf(const serving::BatchJob& job) {
  if (job.configuration > routes_.version) {
    follower_.OnConfigurationNamed(job.configuration, MonotonicNow());
    return false;
  }
  return job.received_at < follower_.configuration_unconfirmed_since();
}

cluster::HolderPair Gateway::ChooseHolders(const std::string& job) const {
  std::vector<cluster::HolderCandidate> candidates;
  const std::map<std::string, std::string> zones = peers_.Zones();
  for (const std::string& peer : peers_.ActivePeers()) {
    candidates.push_back({.name = peer,
                          .availability_zone = zones.at(peer),
                          .processor_share = fleet_.ProcessorShareOf(peer),
                          .headroom = peers_.HeadroomOf(peer).value_or(1),
                          .takes_outlines = peers_.TakesOutlines(peer),
                          .starts_items = peers_.StartsItems(peer)});
  }
  if (stop_began_at_ == kNever) {
    candidates.push_back({.name = settings_.name,
                          .availability_zone = settings_.availability_zone,
                          .processor_share = settings_.processor_share,
                          .headroom = OwnState().headroom.value_or(1),
                          .starts_items = !hands_jobs_over_});
  }
  return cluster::JobHolders(std::move(candidates))
      .Choose(job, settings_.availability_zone);
}

std::vector<std::string> Gateway::AddressesOfHolders(
    const std::string& job) const {
  std::vector<std::string> found;
  const serving::BatchJob* known = jobs_.Find(job);
  if (!known) return found;
  std::vector<std::string> holders = ownership_.LiveHoldersOf(*known);
  // One in this zone has the results some milliseconds after the owner.
  const auto zones = peers_.Zones();
  std::stable_partition(holders.begin(), holders.end(),
                        [&](const std::string& holder) {
                          const auto zone = zones.find(holder);
                          return zone != zones.end() &&
                                 zone->second == settings_.availability_zone;
                        });
  const auto addresses = peers_.LiveAddresses();
  for (const std::string& holder : holders) {
    const auto address = addresses.find(holder);
    if (address != addresses.end()) found.push_back(address->second);
  }
  return found;
}

void Gateway::OnRecordsAcknowledged() {
  if (!writer_.awaits_acknowledgement()) return;
  writer_.OnAcknowledged(record_push_.AcknowledgedBy(peers_.LiveAddresses()),
                         MonotonicNow());
}

// Guards against a gateway that crashes, restarts within a second and resumes
// its jobs, but restarts their items from the beginning because their progress
// is only in its peers' memory. Peers resend it when they detect the new
// process.
void Gateway::OnPeerStarted(const std::string& gateway) {
  jobs_.RepublishProgress(gateway);
  progress_sent_at_ = TimePoint{};
}

}  // namespace knapweedstile::gateway
