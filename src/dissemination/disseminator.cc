#include "dissemination/disseminator.h"

#include <algorithm>
#include <tuple>

namespace elderkeel::dissemination {
namespace {
constexpr size_t kFanOut = 4;            // of the node that an update starts from in a zone
constexpr size_t kRelayFanOut = 2;       // of a node that heard it from another
constexpr base::Millis kFetchGap = 250;  // before something is asked for again
constexpr base::Millis kLongestFetchGap = 8000;
constexpr base::Millis kReplyPatience = 2000;  // an answer older than this vouches for nothing
constexpr size_t kSlowestLink = 250;           // bytes a millisecond: 2 Mbit/s
constexpr size_t kServerBytes = 64;            // that one endpoint takes in an update, about
constexpr base::Millis kResendAfter = 500;     // something large is not sent twice in so long
constexpr size_t kSmall = 4096;                // bytes that may be sent to a peer unasked
constexpr size_t kSmallServers = 48;           // changed servers that may be sent unasked
constexpr size_t kHistory = 64;                // steps of the list that are remembered
constexpr size_t kTouchedLimit = 2048;         // servers that all these steps may name
constexpr size_t kPatches = 64;                // of the configuration that are remembered
constexpr size_t kPatchesBytes = 64 << 10;     // that they may have together
constexpr size_t kReliableSources = 3;  // nearest peers that are asked over connections, if need be

SyncSchedule::Options ScheduleOptions(const Disseminator::Options& options) {
  SyncSchedule::Options schedule;
  schedule.max_age = options.max_age;
  return schedule;
}

int32_t Narrow(base::Millis age) {
  return static_cast<int32_t>(std::min<base::Millis>(age, INT32_MAX));
}
}  // namespace

Disseminator::Disseminator(Options options, const ring::Membership* members, base::Millis now)
    : options_(std::move(options)),
      members_(members),
      random_(options_.seed),
      digest_at_(now),
      log_schedule_(ScheduleOptions(options_)),
      endpoints_schedule_(ScheduleOptions(options_)) {}

Disseminator::Effects Disseminator::Take() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

Versions Disseminator::Held() const {
  return {document_rejected_ ? 0 : revision_, orders_.version(), rollouts_.version()};
}

Digest Disseminator::OwnDigest(base::Millis now) const {
  Versions held = Held();
  Digest digest;
  digest.revision = held.revision;
  digest.epoch = catalog_.epoch;
  digest.sequence = catalog_.sequence;
  digest.evacuation = held.evacuation;
  digest.rollouts = held.rollouts;
  digest.catalog_age_ms = Narrow(catalog_age(now));
  return digest;
}

base::Millis Disseminator::DueAt() const {
  return std::min({digest_at_, log_schedule_.DueAt(KnownAt(log_)),
                   endpoints_schedule_.DueAt(KnownAt(endpoints_))});
}

void Disseminator::Tick(base::Millis now) {
  RequestSync(now);
  if (now < digest_at_) return;
  digest_at_ = now + options_.digest_every;
  std::vector<const ring::Node*> near, all = members_->Others();
  for (const ring::Node* node : all) {
    if (node->zone == members_->self().zone) near.push_back(node);
  }
  bool far = near.empty() || random_.Below(static_cast<uint64_t>(options_.in_zone_share)) == 0;
  const auto& from = far ? all : near;
  if (from.empty()) return;
  Digest digest = OwnDigest(now);
  digest.answer = true;
  out_.digests.push_back({from[random_.Below(from.size())]->address(), digest});
}

std::vector<const ring::Node*> Disseminator::ZonePeers() const {
  std::vector<const ring::Node*> neighbours;
  const ring::Node& self = members_->self();
  for (const auto& [id, node] : members_->nodes()) {
    if (node.zone == self.zone && id != self.id && node.state != ring::State::kLeft) {
      neighbours.push_back(&node);
    }
  }
  return neighbours;
}

// A peer's claim of which nothing has come for so long is no reason to wait for that peer.
template <class Version>
base::Millis Disseminator::KnownAt(const Freshness<Version>& freshness) const {
  bool delivered = freshness.claimed_at() - freshness.verified_at() <= options_.max_age;
  return delivered ? freshness.claimed_at() : freshness.verified_at();
}

std::vector<base::Address> Disseminator::SyncSources(
    const std::optional<base::Address>& voucher) const {
  const ring::Node& self = members_->self();
  struct Source {
    bool dead;
    int distance;
    bool volatile_state;
    uint64_t place;  // clockwise from this node, so that not all ask the same one
    base::Address address;
    bool operator<(const Source& other) const {
      return std::tie(dead, distance, volatile_state, place) <
             std::tie(other.dead, other.distance, other.volatile_state, other.place);
    }
  };
  std::vector<Source> controllers;
  for (const auto& [id, node] : members_->nodes()) {
    bool asked = node.program == ring::Program::kController && id != self.id;
    if (!asked || node.state == ring::State::kLeft) continue;
    bool region = members_->RegionOf(node.zone) == members_->RegionOf(self.zone);
    int distance = node.zone == self.zone ? 0 : region ? 1 : 2;
    controllers.push_back(
        {!node.reachable(), distance, !node.durable, id - self.id, node.address()});
  }
  std::sort(controllers.begin(), controllers.end());
  std::vector<base::Address> sources;
  auto add = [&](const base::Address& address) {
    bool known = std::find(sources.begin(), sources.end(), address) != sources.end();
    if (!known && address != self.address()) sources.push_back(address);
  };
  if (voucher) add(*voucher);
  for (const Source& source : controllers) add(source.address);
  for (const base::Address& seed : options_.seeds) add(seed);
  return sources;
}

void Disseminator::RequestSync(base::Millis now) {
  std::map<base::Address, bool> targets;  // and whether over a connection
  auto ask = [&](SyncSchedule* schedule, base::Millis known_at,
                 const std::optional<base::Address>& voucher) {
    if (!schedule->Due(now, known_at)) return;
    std::vector<base::Address> sources = SyncSources(voucher);
    bool retrying = schedule->retrying();
    size_t near = std::min(sources.size(), kReliableSources);
    for (const base::Address& to : schedule->Next(now, sources)) {
      bool is_near = std::find(sources.begin(), sources.begin() + static_cast<long>(near), to) !=
                     sources.begin() + static_cast<long>(near);
      targets[to] |= retrying && is_near;
    }
  };
  ask(&log_schedule_, KnownAt(log_), leader_);
  ask(&endpoints_schedule_, KnownAt(endpoints_), reader_);
  for (const auto& [to, reliable] : targets) {
    out_.sync_requests.push_back({to, {now, Held(), HeldEndpoints(), exact_, reliable}});
  }
}

bool Disseminator::Lacks(const PeerState& peer) const {
  return !Held().Covers(peer.versions) || HeldEndpoints().Lacks(peer.endpoints) ||
         (peer.has_catalog && !has_catalog());
}

bool Disseminator::MayFetch(base::Millis now, Fetch* fetch, size_t bytes) {
  if (now < fetch->again_at) return false;
  base::Millis transfer = static_cast<base::Millis>(bytes / kSlowestLink);
  fetch->gap = std::min(std::max({fetch->gap * 2, kFetchGap, transfer}), kLongestFetchGap);
  fetch->again_at = now + fetch->gap;
  return true;
}

void Disseminator::RequestMissing(base::Millis now, const base::Address& from,
                                  const PeerState& peer) {
  Versions held = Held();
  size_t document = std::max(document_bytes_, document_.SizeAtMost());
  bool config = peer.versions.revision > held.revision && MayFetch(now, &fetch_config_, document);
  bool lacks_catalog =
      HeldEndpoints().Lacks(peer.endpoints) || (peer.has_catalog && !has_catalog());
  bool catalog =
      lacks_catalog && MayFetch(now, &fetch_catalog_, catalog_.servers.size() * kServerBytes);
  bool lacks_other =
      peer.versions.evacuation > held.evacuation || peer.versions.rollouts > held.rollouts;
  bool other = lacks_other && MayFetch(now, &fetch_other_, 0);
  if (!config && !catalog && !other) return;
  // What is not wanted now is named as held in a version that nobody is beyond.
  PullRequest pull{INT64_MAX, UINT64_MAX, UINT64_MAX, UINT64_MAX, UINT64_MAX, exact_};
  if (config) pull.revision = held.revision;
  if (catalog) {
    pull.epoch = catalog_.epoch;
    pull.sequence = catalog_.sequence;
  }
  if (other) {
    pull.evacuation = held.evacuation;
    pull.rollouts = held.rollouts;
  }
  out_.pulls.push_back({from, pull});
}

bool Disseminator::SendMissing(base::Millis now, const base::Address& to, const PeerState& peer,
                               bool exact) {
  bool all = true;
  // Before the list: a node that knows of servers must know which of them it may send to.
  if (peer.versions.rollouts < rollouts_.version()) out_.rollouts.push_back({to, {rollouts_}});
  if (peer.versions.revision < Held().revision) {
    all &= SendConfig(now, to, peer.versions.revision, false);
  }
  if (has_catalog() && catalog_.NewerThan(peer.endpoints.epoch, peer.endpoints.sequence)) {
    all &= SendCatalog(now, to, peer.endpoints.epoch, peer.endpoints.sequence, exact, false);
  }
  if (peer.versions.evacuation < orders_.version()) out_.evacuations.push_back({to, {orders_}});
  return all;
}

void Disseminator::OnDigest(base::Millis now, const base::Address& from, const Digest& digest) {
  if (digest.epoch == catalog_.epoch && digest.sequence == catalog_.sequence && has_catalog() &&
      digest.catalog_age_ms >= 0) {
    read_at_ = std::max(read_at_, now - digest.catalog_age_ms);
  }
  PeerState peer{{digest.revision, digest.evacuation, digest.rollouts},
                 {digest.epoch, digest.sequence},
                 digest.catalog_age_ms >= 0};
  bool lacks = Lacks(peer);
  bool sent_all = SendMissing(now, from, peer, true);
  if (lacks) RequestMissing(now, from, peer);
  // What is too large to be sent unasked is asked for by a peer that sees this node's digest.
  if (digest.answer || !sent_all) {
    Digest own = OwnDigest(now);
    own.reliable = digest.reliable;
    out_.digests.push_back({from, own});
  }
}

void Disseminator::OnSyncRequest(base::Millis now, const base::Address& from,
                                 const SyncRequest& request) {
  PeerState peer{request.versions, request.endpoints, request.endpoints.epoch > 0};
  size_t queued =
      out_.configs.size() + out_.catalogs.size() + out_.evacuations.size() + out_.rollouts.size();
  SendMissing(now, from, peer, request.exact);
  bool sent = queued != out_.configs.size() + out_.catalogs.size() + out_.evacuations.size() +
                            out_.rollouts.size();
  SyncReply reply;
  reply.asked_at = request.asked_at;
  reply.versions = Held();
  reply.age_ms = Narrow(log_.age(now));
  reply.endpoints = HeldEndpoints();
  reply.endpoints_age_ms = Narrow(endpoints_.age(now));
  reply.platform_age_ms = Narrow(catalog_age(now));
  reply.document_bytes =
      static_cast<uint32_t>(std::min<size_t>(document_.SizeAtMost(), UINT32_MAX));
  out_.sync_replies.push_back({from, reply, sent || request.reliable});
  if (Lacks(peer)) RequestMissing(now, from, peer);
}

void Disseminator::OnSyncReply(base::Millis now, const base::Address& from,
                               const SyncReply& reply) {
  document_bytes_ = reply.document_bytes;
  PeerState peer{reply.versions, reply.endpoints, reply.platform_age_ms >= 0};
  if (Lacks(peer)) RequestMissing(now, from, peer);
  if (reply.asked_at > now || now - reply.asked_at > kReplyPatience) return;
  if (reply.age_ms >= 0) {
    log_.Claim(reply.asked_at - reply.age_ms, reply.versions, Held());
    log_schedule_.Answered(now, from, KnownAt(log_));
  }
  // One that names an earlier reader than is known here has missed that it was replaced.
  if (reply.endpoints_age_ms >= 0 && reply.endpoints.epoch >= catalog_.epoch) {
    endpoints_.Claim(reply.asked_at - reply.endpoints_age_ms, reply.endpoints, HeldEndpoints());
    endpoints_schedule_.Answered(now, from, KnownAt(endpoints_));
  }
  bool same = reply.endpoints.epoch == catalog_.epoch &&
              reply.endpoints.sequence == catalog_.sequence && has_catalog();
  if (same && reply.platform_age_ms >= 0) {
    read_at_ = std::max(read_at_, reply.asked_at - reply.platform_age_ms);
  }
}

void Disseminator::VouchForLog(base::Millis as_of) { log_.Claim(as_of, Held(), Held()); }

void Disseminator::VouchForEndpoints(base::Millis now) {
  endpoints_.Claim(now, HeldEndpoints(), HeldEndpoints());
}

void Disseminator::SetVouchers(std::optional<base::Address> leader,
                               std::optional<base::Address> reader) {
  leader_ = std::move(leader);
  reader_ = std::move(reader);
}

void Disseminator::RejectConfiguration() {
  document_rejected_ = true;
  patches_.clear();
  patches_bytes_ = 0;
}

void Disseminator::OnPull(base::Millis now, const base::Address& from, const PullRequest& pull) {
  if (rollouts_.version() > pull.rollouts) out_.rollouts.push_back({from, {rollouts_}});
  if (Held().revision > pull.revision) SendConfig(now, from, pull.revision, true);
  bool truer =
      exact_ && !pull.exact && pull.epoch == catalog_.epoch && pull.sequence == catalog_.sequence;
  if (has_catalog() &&
      (catalog_.NewerThan(pull.epoch, pull.sequence) || truer || pull.epoch == 0)) {
    SendCatalog(now, from, pull.epoch, pull.sequence, pull.exact, true);
  }
  if (orders_.version() > pull.evacuation) out_.evacuations.push_back({from, {orders_}});
}

bool Disseminator::RecentlySent(base::Millis now, const base::Address& to, uint64_t what) {
  Sent& sent = sent_[to];
  if (sent.what == what && now - sent.at < kResendAfter) return true;
  sent = {now, what};
  return false;
}

size_t Disseminator::PatchesFrom(int64_t revision) const {
  size_t bytes = 0;
  for (size_t first = patches_.size(); first-- > 0;) {
    bytes += patches_[first].body.size();
    if (bytes > document_.SizeAtMost()) break;
    if (patches_[first].base == revision) return first;
  }
  return patches_.size();
}

bool Disseminator::SendConfig(base::Millis now, const base::Address& to, int64_t peer_has,
                              bool asked) {
  if (Held().revision == 0) return true;
  size_t first = PatchesFrom(peer_has);
  bool whole = first == patches_.size();
  size_t bytes = whole ? document_.SizeAtMost() : 0;
  for (size_t i = first; i < patches_.size(); ++i) bytes += patches_[i].body.size();
  if (bytes > kSmall) {
    if (!asked) return false;
    if (RecentlySent(now, to, static_cast<uint64_t>(revision_) * 2)) return true;
  }
  if (whole) out_.configs.push_back({to, ConfigurationUpdate{revision_, 0, document_.text()}});
  for (size_t i = first; i < patches_.size(); ++i) {
    const Patch& patch = patches_[i];
    out_.configs.push_back({to, ConfigurationUpdate{patch.revision, patch.base, patch.body}});
  }
  return true;
}

void Disseminator::KeepPatch(Patch patch) {
  patches_bytes_ += patch.body.size();
  patches_.push_back(std::move(patch));
  while (patches_.size() > 1 && (patches_.size() > kPatches || patches_bytes_ > kPatchesBytes)) {
    patches_bytes_ -= patches_.front().body.size();
    patches_.pop_front();
  }
}

const std::string& Disseminator::config_patch() const {
  static const std::string none;
  return patches_.empty() ? none : patches_.back().body;
}

void Disseminator::LogAdvanced() { log_.Advance(Held()); }

bool Disseminator::SendCatalog(base::Millis now, const base::Address& to, uint64_t epoch,
                               uint64_t sequence, bool exact, bool asked) {
  EndpointUpdate update;
  update.epoch = catalog_.epoch;
  update.sequence = catalog_.sequence;
  update.exact = exact_;
  update.age_ms = static_cast<int32_t>(std::min<base::Millis>(catalog_age(now), INT32_MAX));
  // The steps from what the peer has, if they are remembered.
  size_t first = history_.size();
  for (size_t i = history_.size(); exact && exact_ && i-- > 0;) {
    if (history_[i].epoch == epoch && history_[i].sequence == sequence) {
      first = i;
      break;
    }
  }
  if (first < history_.size()) {
    update.whole = false;
    update.base_epoch = epoch;
    update.base_sequence = sequence;
    std::set<std::string> touched;
    for (size_t i = first; i < history_.size(); ++i) {
      touched.insert(history_[i].touched.begin(), history_[i].touched.end());
    }
    for (const std::string& id : touched) {
      auto at = std::lower_bound(
          catalog_.servers.begin(), catalog_.servers.end(), id,
          [](const catalog::Server& server, const std::string& want) { return server.id < want; });
      if (at != catalog_.servers.end() && at->id == id) {
        update.servers.push_back(*at);
      } else {
        update.gone.push_back(id);
      }
    }
  } else if (!asked && catalog_.servers.size() > kSmallServers) {
    return false;  // before the whole list is copied
  } else {
    update.servers = catalog_.servers;
  }
  if (update.servers.size() + update.gone.size() > kSmallServers) {
    if (!asked) return false;
    if (RecentlySent(now, to, catalog_.epoch << 32 | catalog_.sequence << 1 | 1)) return true;
  }
  for (catalog::Server& server : update.servers) {
    server.warmup_left_ms = static_cast<int32_t>(std::max<base::Millis>(0, server.warm_at - now));
  }
  out_.catalogs.push_back({to, std::move(update)});
  return true;
}

bool Disseminator::InOtherZone(const base::Address& from) const {
  const ring::Node* node = members_->Find(from);
  return node && node->zone != members_->self().zone;
}

std::vector<const ring::Node*> Disseminator::ForwardTargets(bool origin, size_t near_count) {
  const std::string& zone = members_->self().zone;
  std::vector<const ring::Node*> near;
  std::map<std::string, std::vector<const ring::Node*>> far, far_core;
  for (const ring::Node* node : members_->Others()) {
    if (node->zone == zone) {
      near.push_back(node);
    } else if (origin) {
      far[node->zone].push_back(node);
      if (node->durable) far_core[node->zone].push_back(node);
    }
  }
  std::vector<const ring::Node*> audience;
  while (!near.empty() && audience.size() < near_count) {
    size_t pick = random_.Below(near.size());
    audience.push_back(near[pick]);
    near.erase(near.begin() + static_cast<long>(pick));
  }
  // A zone's relay is a machine of the core, where one is in sight: it has the better link.
  for (auto& [name, nodes] : far) {
    auto core = far_core.find(name);
    const auto& from = core == far_core.end() ? nodes : core->second;
    audience.push_back(from[random_.Below(from.size())]);
  }
  return audience;
}

void Disseminator::Forward(base::Millis now, Topic topic, const base::Address* from) {
  bool origin = from == nullptr && topic == Topic::kCatalog && catalog_.epoch > 0;
  bool first_here = from == nullptr || InOtherZone(*from);
  Digest announce = OwnDigest(now);
  for (const ring::Node* node : ForwardTargets(origin, first_here ? kFanOut : kRelayFanOut)) {
    if (from && node->address() == *from) continue;
    bool sent = true;
    switch (topic) {
      case Topic::kConfiguration:
        sent = SendConfig(now, node->address(), config_base(), false);
        break;
      case Topic::kCatalog:
        sent = !history_.empty() && SendCatalog(now, node->address(), history_.back().epoch,
                                                history_.back().sequence, true, false);
        break;
      case Topic::kEvacuation:
        out_.evacuations.push_back({node->address(), {orders_}});
        break;
      case Topic::kRollouts:
        out_.rollouts.push_back({node->address(), {rollouts_}});
        break;
    }
    if (!sent) out_.digests.push_back({node->address(), announce});
  }
}

void Disseminator::OnConfig(base::Millis now, const base::Address& from,
                            const ConfigurationUpdate& update) {
  // One that was rejected here may come once more.
  if (update.revision < revision_ || update.revision <= Held().revision) return;
  if (update.base != 0 && update.base != Held().revision) {
    RequestMissing(now, from, PeerState{{update.revision, 0, 0}, {}, false});
    return;
  }
  if (update.base != 0) {
    // What a controller applied was checked there; it is checked no second time.
    if (document_.empty() || !document_.Patch(update.body).empty()) {
      RejectConfiguration();
      RequestMissing(now, from, PeerState{{update.revision, 0, 0}, {}, false});
      return;
    }
    KeepPatch({update.base, update.revision, update.body});
  } else {
    document_ = configuration::IndexedDocument(update.body);
    patches_.clear();
    patches_bytes_ = 0;
  }
  document_rejected_ = false;
  revision_ = update.revision;
  fetch_config_ = Fetch();
  out_.config_adopted = true;
  LogAdvanced();
  Forward(now, Topic::kConfiguration, &from);
}

void Disseminator::Commit(base::Millis now, const configuration::Register& state) {
  if (state.revision() <= revision_) return;
  bool patch = state.base() != 0 && !state.patch().empty();
  // Its own document follows the patch as a proxy's does: taking the other one's text would cost as
  // much as the text is long.
  bool follows = patch && state.base() == revision_ && !document_.empty() &&
                 document_.Patch(state.patch()).empty();
  if (!follows) {
    document_ = state.document();
    patches_.clear();
    patches_bytes_ = 0;
  }
  revision_ = state.revision();
  document_rejected_ = false;
  if (patch) KeepPatch({state.base(), state.revision(), state.patch()});
  fetch_config_ = Fetch();
  out_.config_adopted = true;
  LogAdvanced();
  // Every controller applies the log by itself; one of a zone tells all of it.
  if (!members_->FirstOfZone()) {
    Forward(now, Topic::kConfiguration, nullptr);
    return;
  }
  for (const ring::Node* node : ZonePeers()) {
    if (node->program == ring::Program::kProxy) {
      SendConfig(now, node->address(), config_base(), true);
    }
  }
}

void Disseminator::Commit(const evacuation::Orders& orders) {
  if (orders.version() <= orders_.version()) return;
  orders_ = orders;
  out_.evacuation_adopted = true;
  fetch_other_ = Fetch();
  LogAdvanced();
  for (const ring::Node* node : ZonePeers()) {
    out_.evacuations.push_back({node->address(), {orders_}});
  }
}

void Disseminator::OnEvacuation(base::Millis now, const base::Address& from,
                                const ZoneDrainUpdate& update) {
  if (update.orders.version() <= orders_.version()) return;
  orders_ = update.orders;
  out_.evacuation_adopted = true;
  fetch_other_ = Fetch();
  LogAdvanced();
  Forward(now, Topic::kEvacuation, &from);
}

// Every controller tells its own zone; each of its nodes passes it on once.
void Disseminator::Commit(const rollout::Rollouts& rollouts) {
  if (rollouts.version() <= rollouts_.version()) return;
  rollouts_ = rollouts;
  out_.rollouts_adopted = true;
  fetch_other_ = Fetch();
  LogAdvanced();
  for (const ring::Node* node : ZonePeers()) {
    if (node->program == ring::Program::kProxy) {
      out_.rollouts.push_back({node->address(), {rollouts_}});
    }
  }
}

void Disseminator::OnRollouts(base::Millis now, const base::Address& from,
                              const RolloutUpdate& update) {
  if (update.rollouts.version() <= rollouts_.version()) return;
  rollouts_ = update.rollouts;
  out_.rollouts_adopted = true;
  fetch_other_ = Fetch();
  LogAdvanced();
  Forward(now, Topic::kRollouts, &from);
}

void Disseminator::OnRolloutVersion(base::Millis now, const base::Address& from, uint64_t version) {
  if (version > rollouts_.version())
    RequestMissing(now, from, PeerState{{0, 0, version}, {}, false});
}

// Takes another list in place of this one, and remembers the step if both are exact.
void Disseminator::Replace(catalog::Catalog catalog, bool exact) {
  if (exact && exact_ && has_catalog()) {
    history_.push_back({catalog_.epoch, catalog_.sequence,
                        catalog::Differences(catalog_.servers, catalog.servers)});
    size_t touched = 0;
    for (const Step& step : history_) touched += step.touched.size();
    while (!history_.empty() && (history_.size() > kHistory || touched > kTouchedLimit)) {
      touched -= history_.front().touched.size();
      history_.pop_front();
    }
  } else {
    history_.clear();
  }
  catalog_ = std::move(catalog);
  exact_ = exact;
  fetch_catalog_ = Fetch();
  out_.catalog_adopted = true;
  endpoints_.Advance(HeldEndpoints());
}

bool Disseminator::Publish(base::Millis now, catalog::Catalog catalog) {
  if (has_catalog() && !catalog.NewerThan(catalog_.epoch, catalog_.sequence)) return false;
  bool vouched = catalog.epoch > 0;
  Replace(std::move(catalog), vouched);
  read_at_ = now;
  Forward(now, Topic::kCatalog, nullptr);
  if (vouched) return true;
  for (const ring::Node* node : members_->Others()) {
    if (node->zone == members_->self().zone) SendCatalog(now, node->address(), 0, 0, false, true);
  }
  return true;
}

void Disseminator::Confirm(base::Millis now, uint64_t epoch) {
  if (epoch != catalog_.epoch) return;
  read_at_ = now;
  // One node of each other zone hears what the newest is: a message that was lost on its way there
  // would else wait for a digest exchange that happens to cross zones.
  for (const ring::Node* node : ForwardTargets(true, 0)) {
    out_.digests.push_back({node->address(), OwnDigest(now)});
  }
}

void Disseminator::AdoptOwnReading(base::Millis now, std::vector<catalog::Server> servers) {
  if (has_catalog() && catalog::SameServers(catalog_.servers, servers)) {
    read_at_ = now;
    return;
  }
  Replace({catalog_.epoch, catalog_.sequence, std::move(servers)}, false);
  read_at_ = now;
}

void Disseminator::OnCatalog(base::Millis now, const base::Address& from,
                             const EndpointUpdate& update) {
  catalog::Catalog offered{update.epoch, update.sequence, {}};
  bool newer = offered.NewerThan(catalog_.epoch, catalog_.sequence);
  // The holder's own words replace a reading that this node made for itself meanwhile.
  bool truer = update.exact && !exact_ && update.whole && update.epoch == catalog_.epoch &&
               update.sequence == catalog_.sequence;
  if (!newer && !truer && has_catalog()) return;
  auto anchored = [now](catalog::Server server) {
    server.Anchor(now);
    return server;
  };
  if (update.whole) {
    for (const catalog::Server& server : update.servers)
      offered.servers.push_back(anchored(server));
  } else {
    if (!has_catalog() || !exact_ || update.base_epoch != catalog_.epoch ||
        update.base_sequence != catalog_.sequence) {
      RequestMissing(now, from, PeerState{{}, {update.epoch, update.sequence}, true});
      return;
    }
    std::map<std::string, catalog::Server> changed;
    for (const catalog::Server& server : update.servers) changed[server.id] = anchored(server);
    std::set<std::string> gone(update.gone.begin(), update.gone.end());
    for (const catalog::Server& server : catalog_.servers) {
      if (gone.count(server.id)) continue;
      changed.emplace(server.id, server);  // keeps what changed
    }
    for (auto& [id, server] : changed) offered.servers.push_back(std::move(server));
  }
  Replace(std::move(offered), update.exact);
  read_at_ = now - std::max<int32_t>(0, update.age_ms);
  Forward(now, Topic::kCatalog, &from);
}

void Disseminator::OnHeard(base::Millis now, const ring::Node& node) {
  // By those that kept a hint; what it missed it then asks for, once.
  if (hints_.erase(node.id) == 0) return;
  out_.digests.push_back({node.address(), OwnDigest(now)});
}

void Disseminator::OnLost(const ring::Node& node) {
  if (node.state == ring::State::kLeft) return;
  for (const ring::Node* watcher : members_->WatchersOf(node.id)) {
    if (watcher->id == members_->self().id) hints_.insert(node.id);
  }
}

}  // namespace elderkeel::dissemination
