#include "fleet/config_spread.h"

#include <algorithm>
#include <utility>

namespace knapweedstile::fleet {
namespace {

// Doublings of the wait after a failed watch; enough to reach its bound.
constexpr uint32_t kMostDoublings = 10;
// When nothing is due: how late a lost event can be noticed.
constexpr Duration kIdleWake = std::chrono::seconds(1);

}  // namespace

ConfigSpread::ConfigSpread(const SpreadSettings& settings, SpreadSelf self,
                           uint64_t seed, TimePoint now)
    : settings_(settings),
      self_(std::move(self)),
      started_(now),
      rng_(seed),
      tree_(settings_, self_.name, self_.availability_zone),
      reached_last_(now) {}

bool ConfigSpread::RestoreCache(std::string_view bytes) {
  cached_ = store_.Restore(bytes);
  return cached_;
}

void ConfigSpread::OnView(TimePoint now, const std::vector<EntryView>& entries,
                          std::vector<SpreadAction>& actions) {
  view_known_ = true;
  tree_.SetView(entries);
  sample_ = tree_.Sample(settings_.ready_peers);
  Reconsider(now, actions);
}

void ConfigSpread::OnPeerUp(TimePoint now, PeerId peer, const pb::Hello& hello,
                            std::vector<SpreadAction>& actions) {
  Peer& up = peers_[peer];
  up = Peer();
  up.name = hello.node();
  up.entry = hello.role() == pb::ROLE_ENTRY;
  Reconsider(now, actions);
}

void ConfigSpread::OnPeerDown(TimePoint now, PeerId peer,
                              std::vector<SpreadAction>& actions) {
  peers_.erase(peer);
  if (pull_ && pull_->peer == peer) pull_.reset();
  Reconsider(now, actions);
}

void ConfigSpread::OnHeartbeat(TimePoint now, PeerId peer,
                               const pb::Heartbeat& heartbeat,
                               std::vector<SpreadAction>& actions) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return;
  found->second.revision = heartbeat.config_revision();
  found->second.digest = heartbeat.config_digest();
  found->second.ready = heartbeat.config_ready();
  MaybePull(now, actions);
  UpdateReady(now, actions);
}

void ConfigSpread::OnRequest(PeerId peer, const pb::ConfigRequest& request,
                             std::vector<SpreadAction>& actions) const {
  std::vector<pb::ConfigDelta> parts = store_.ChangesSince(
      request.since(), request.full(), settings_.part_bytes);
  for (pb::ConfigDelta& part : parts) {
    part.set_token(request.token());
    SendConfigAction send{peer, {}};
    *send.control.mutable_config_delta() = std::move(part);
    actions.emplace_back(std::move(send));
  }
}

void ConfigSpread::OnDelta(TimePoint now, PeerId peer,
                           const pb::ConfigDelta& delta,
                           std::vector<SpreadAction>& actions) {
  // Failure guarded against: the end of an answer that was given up would pass
  // for the whole of the next one, and changes would be missing.
  if (!pull_ || pull_->peer != peer || pull_->token != delta.token()) return;
  pull_->deadline = now + settings_.pull_timeout;
  pull_->since = delta.since();
  pull_->all = delta.full();
  for (const pb::ConfigObject& object : delta.objects()) {
    pull_->objects.push_back({object.kind(), object.name(), object.revision(),
                              object.deleted(), object.value()});
  }
  if (!delta.more()) FinishPull(now, delta.revision(), actions);
}

void ConfigSpread::FinishPull(TimePoint now, uint64_t revision,
                              std::vector<SpreadAction>& actions) {
  Pull pull = std::move(*pull_);
  pull_.reset();
  Report(pull.all ? store_.AdoptAll(std::move(pull.objects), revision)
                  : store_.Adopt(std::move(pull.objects), pull.since, revision),
         actions);
  const auto peer = peers_.find(pull.peer);
  // A peer that announces what it does not give would be asked for ever.
  const bool short_of =
      peer != peers_.end() && peer->second.revision > store_.revision();
  if (short_of) peer->second.avoid_until = now + settings_.avoid_peer;
  MaybePull(now, actions);
  UpdateReady(now, actions);
}

void ConfigSpread::Report(std::vector<platform::StoredObject> adopted,
                          std::vector<SpreadAction>& actions) {
  if (adopted.empty()) return;
  actions.emplace_back(AdoptedAction{std::move(adopted)});
}

void ConfigSpread::OnTick(TimePoint now, std::vector<SpreadAction>& actions) {
  Reconsider(now, actions);
}

void ConfigSpread::Reconsider(TimePoint now,
                              std::vector<SpreadAction>& actions) {
  if (pull_ && now >= pull_->deadline) AbandonPull(now);
  if (self_.entry) {
    UpdateNeighbours(now, actions);
    UpdateIsolation(now);
  }
  MaybePull(now, actions);
  MaybeWatch(now, actions);
  UpdateReady(now, actions);
}

bool ConfigSpread::Connected(const std::string& name) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return peer.second.name == name;
  });
}

// Failure guarded against: parents or relays are gone while the VM list still
// shows them, and this node would hear of no change until the list catches up.
// Whom it does not reach counts as absent for a while, so that the ranks below
// move up; if none of lower rank is left, this node is a relay.
void ConfigSpread::ExcludeUnreached(TimePoint now) {
  for (const std::string& name : wanted_) {
    Neighbour& neighbour = neighbours_[name];
    if (Connected(name)) {
      neighbour.wanted_since = now;
      continue;
    }
    const bool late =
        now - neighbour.wanted_since >= settings_.neighbour_timeout;
    if (late && now >= neighbour.excluded_until) {
      neighbour.excluded_until = now + settings_.neighbour_retry;
    }
  }
}

void ConfigSpread::UpdateNeighbours(TimePoint now,
                                    std::vector<SpreadAction>& actions) {
  ExcludeUnreached(now);
  const auto excluded = [this, now](const std::string& name) {
    const auto found = neighbours_.find(name);
    return found != neighbours_.end() && now < found->second.excluded_until;
  };
  relay_ = tree_.IsRelay(excluded);
  std::vector<std::string> wanted = tree_.Neighbours(excluded);
  if (!ready_) {
    // Several peers, to learn the highest revision before serving.
    wanted.insert(wanted.end(), sample_.begin(), sample_.end());
  }
  const bool all_connected =
      std::all_of(wanted.begin(), wanted.end(),
                  [this](const std::string& n) { return Connected(n); });
  if (!all_connected) {
    // A connection that works is kept until the better one stands.
    std::copy_if(wanted_.begin(), wanted_.end(), std::back_inserter(wanted),
                 [this](const std::string& n) { return Connected(n); });
  }
  std::sort(wanted.begin(), wanted.end());
  wanted.erase(std::unique(wanted.begin(), wanted.end()), wanted.end());
  if (wanted == wanted_) return;
  for (const std::string& name : wanted) {
    if (!std::binary_search(wanted_.begin(), wanted_.end(), name)) {
      neighbours_[name].wanted_since = now;
    }
  }
  wanted_ = std::move(wanted);
  std::erase_if(neighbours_, [&](const auto& item) {
    return now >= item.second.excluded_until &&
           !std::binary_search(wanted_.begin(), wanted_.end(), item.first);
  });
  actions.emplace_back(NeighboursAction{wanted_});
}

void ConfigSpread::UpdateIsolation(TimePoint now) {
  const bool reached =
      std::any_of(peers_.begin(), peers_.end(),
                  [](const auto& peer) { return peer.second.entry; });
  if (reached) reached_last_ = now;
  isolated_ = now - reached_last_ >= settings_.isolated_after;
}

bool ConfigSpread::MayWatch(TimePoint now) const {
  if (!self_.entry || watching_ || now < next_watch_) return false;
  if (!relay_ && !isolated_) return false;
  // With no state at all, peers go first: a list from the platform has a new
  // floor, and everybody below would ask for the whole state.
  const bool empty = store_.revision() == 0 && !platform_answered_;
  const bool alone = view_known_ && tree_.others() == 0;
  return !empty || alone || now >= started_ + settings_.list_after;
}

void ConfigSpread::MaybeWatch(TimePoint now,
                              std::vector<SpreadAction>& actions) {
  if (!MayWatch(now)) return;
  const bool continued = !watched_.empty();
  if (!continued) {
    position_ = relist_ ? 0 : std::max(position_, store_.revision());
    watch_since_ = position_;
  }
  watching_ = true;
  // The first answer is wanted at once, also from an empty platform.
  const bool at_once = !platform_answered_ || watch_since_ == 0;
  actions.emplace_back(
      WatchAction{position_, at_once ? now : now + settings_.watch_wait});
}

void ConfigSpread::OnWatchAnswer(TimePoint now, WatchAnswer&& answer,
                                 std::vector<SpreadAction>& actions) {
  if (!watching_) return;
  watching_ = false;
  if (!answer.ok) {
    next_watch_ = now + std::max(answer.retry_after, RetryWait());
    ++watch_failures_;
    return;
  }
  watch_failures_ = 0;
  const Duration gap =
      relay_ ? settings_.watch_gap : settings_.isolated_watch_gap;
  next_watch_ = answer.more ? now : now + gap;
  position_ = answer.revision;
  TakeWatched(std::move(answer), actions);
  Reconsider(now, actions);
}

void ConfigSpread::TakeWatched(WatchAnswer&& answer,
                               std::vector<SpreadAction>& actions) {
  watched_.insert(watched_.end(),
                  std::make_move_iterator(answer.objects.begin()),
                  std::make_move_iterator(answer.objects.end()));
  if (answer.more) return;
  std::vector<platform::StoredObject> objects = std::move(watched_);
  watched_.clear();
  platform_answered_ = true;
  if (watch_since_ == 0) {
    relist_ = false;
    TakeListed(std::move(objects), answer.revision, actions);
    return;
  }
  uint64_t revision = 0;
  for (const auto& object : objects) {
    revision = std::max(revision, object.version);
  }
  // Between the store's revision and the position nothing of the configuration
  // has changed, or the watch had told.
  const uint64_t since = std::min(watch_since_, store_.revision());
  Report(store_.Adopt(std::move(objects), since, revision), actions);
}

void ConfigSpread::TakeListed(std::vector<platform::StoredObject> objects,
                              uint64_t revision,
                              std::vector<SpreadAction>& actions) {
  // Pages are taken at different times: an object of an early one may have
  // been deleted in a later one. By rising version, the last one counts.
  std::map<std::pair<std::string, std::string>, platform::StoredObject> last;
  for (auto& object : objects) {
    last[{object.kind, object.name}] = std::move(object);
  }
  std::vector<platform::StoredObject> listed;
  for (auto& [key, object] : last) {
    if (!object.deleted) listed.push_back(std::move(object));
  }
  // A list that confirms the present state moves nothing: a higher floor would
  // make the nodes below take the whole state in vain.
  const bool same = ConfigStore::DigestOf(listed) == store_.digest();
  if (same && store_.revision() != 0) return;
  Report(store_.AdoptAll(std::move(listed), revision), actions);
}

Duration ConfigSpread::RetryWait() {
  const uint32_t doublings = std::min(watch_failures_, kMostDoublings);
  const Duration ceiling =
      std::min<Duration>(settings_.watch_retry_first * (1 << doublings),
                         settings_.watch_retry_most);
  // Half of it random: all relays see the platform come back at once.
  return ceiling / 2 + FromSeconds(ToSeconds(ceiling) / 2 * UniformUnit(rng_));
}

void ConfigSpread::MaybePull(TimePoint now,
                             std::vector<SpreadAction>& actions) {
  if (pull_) return;
  if (const auto peer = PeerAhead(now)) {
    StartPull(now, *peer, false, actions);
    return;
  }
  if (now < next_repair_) return;
  if (const auto peer = PeerForRepair(now)) {
    next_repair_ = now + settings_.repair_gap;
    // A relay takes the truth from where it is kept.
    if (relay_) {
      relist_ = true;
    } else {
      StartPull(now, *peer, true, actions);
    }
  }
}

std::optional<PeerId> ConfigSpread::PeerAhead(TimePoint now) {
  std::optional<PeerId> best;
  uint64_t highest = store_.revision();
  uint64_t ties = 0;
  for (const auto& [id, peer] : peers_) {
    if (peer.revision <= store_.revision() || now < peer.avoid_until) continue;
    if (peer.revision < highest) continue;
    ties = peer.revision > highest ? 1 : ties + 1;
    highest = peer.revision;
    // One of those with the highest, each as likely: spreads the load.
    if (UniformBelow(rng_, ties) == 0) best = id;
  }
  return best;
}

std::optional<PeerId> ConfigSpread::PeerForRepair(TimePoint now) {
  for (const auto& [id, peer] : peers_) {
    const bool differs =
        peer.revision == store_.revision() && peer.digest != store_.digest();
    if (differs && now >= peer.avoid_until && (relay_ || Upstream(peer))) {
      return id;
    }
  }
  return std::nullopt;
}

// Repairs go from the platform down: were both ends to take the other's state,
// they would only exchange them.
bool ConfigSpread::Upstream(const Peer& peer) const {
  if (!peer.entry) return false;
  if (!self_.entry) return true;
  return std::binary_search(wanted_.begin(), wanted_.end(), peer.name);
}

void ConfigSpread::StartPull(TimePoint now, PeerId peer, bool all,
                             std::vector<SpreadAction>& actions) {
  pull_ = Pull{
      peer, ++last_token_, now + settings_.pull_timeout, store_.revision(), all,
      {}};
  SendConfigAction send{peer, {}};
  pb::ConfigRequest& request = *send.control.mutable_config_request();
  request.set_since(store_.revision());
  request.set_full(all);
  request.set_token(last_token_);
  actions.emplace_back(std::move(send));
}

void ConfigSpread::AbandonPull(TimePoint now) {
  const auto peer = peers_.find(pull_->peer);
  if (peer != peers_.end()) {
    peer->second.avoid_until = now + settings_.avoid_peer;
  }
  pull_.reset();
}

void ConfigSpread::UpdateReady(TimePoint now,
                               std::vector<SpreadAction>& actions) {
  if (ready_) return;
  const bool by_cache = cached_ && now >= started_ + settings_.alone_after;
  if (!platform_answered_ && !ReadyByPeers(now) && !by_cache) return;
  ready_ = true;
  actions.emplace_back(ReadyAction{});
}

// Failure guarded against: a node that starts while the platform is out meets
// a peer that is behind, serves an old configuration and so takes it back for
// its callers.
bool ConfigSpread::ReadyByPeers(TimePoint now) const {
  uint32_t count = 0;
  uint64_t highest = 0;
  for (const auto& [id, peer] : peers_) {
    if (!peer.ready) continue;
    ++count;
    highest = std::max(highest, peer.revision);
  }
  const bool waited = now >= started_ + settings_.start_wait;
  const bool enough = count >= settings_.ready_peers || (waited && count > 0);
  return enough && store_.revision() >= highest;
}

void ConfigSpread::Announce(pb::Heartbeat& heartbeat) const {
  heartbeat.set_config_revision(store_.revision());
  heartbeat.set_config_digest(store_.digest());
  heartbeat.set_config_ready(ready_);
}

TimePoint ConfigSpread::NextWake(TimePoint now) const {
  TimePoint wake = now + kIdleWake;
  if (pull_) wake = std::min(wake, pull_->deadline);
  // Only a node that watches, and only a time to come: a time that has passed
  // would make the thread spin instead of sleep.
  const bool watches = self_.entry && !watching_ && (relay_ || isolated_);
  if (watches && next_watch_ > now) wake = std::min(wake, next_watch_);
  return wake;
}

}  // namespace knapweedstile::fleet
