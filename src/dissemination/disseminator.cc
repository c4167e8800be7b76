#include "dissemination/disseminator.h"

#include <algorithm>

#include "dissemination/sync_sources.h"

namespace elderkeel::dissemination {
namespace {
constexpr size_t kOriginFanOut = 4;  // of the first node of a zone that has an update
constexpr size_t kRelayFanOut = 2;   // of a node that received it from its own zone
constexpr base::Millis kMinFetchIntervalMs = 250;
constexpr base::Millis kMaxFetchIntervalMs = 8000;
constexpr base::Millis kOwnZoneGraceMs = 300;   // for large state to reach the own zone
constexpr base::Millis kReplyTimeoutMs = 2000;  // an older reply is no evidence of freshness
constexpr size_t kMinLinkBytesPerMs = 250;      // 2 Mbit/s
constexpr size_t kApproxEndpointBytes = 64;     // size of one endpoint in an update
constexpr base::Millis kResendAfterMs = 500;    // before a large update is sent to a peer again
constexpr size_t kReliableSources = 3;          // nearest peers; retries to them use connections

SyncSchedule::Options ScheduleOptions(const Disseminator::Options& options) {
  SyncSchedule::Options schedule;
  schedule.max_age = options.max_age;
  return schedule;
}

base::Millis TransferTime(size_t bytes) {
  return static_cast<base::Millis>(bytes / kMinLinkBytesPerMs);
}

int32_t Narrow(base::Millis age) {
  return static_cast<int32_t>(std::min<base::Millis>(age, INT32_MAX));
}
}  // namespace

Disseminator::Disseminator(Options options, const membership::Membership* members, base::Millis now)
    : options_(std::move(options)),
      membership_(members),
      random_(options_.seed),
      started_at_(now),
      digest_at_(now),
      log_schedule_(ScheduleOptions(options_), now),
      endpoints_schedule_(ScheduleOptions(options_), now) {}

Disseminator::Effects Disseminator::TakeEffects() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

Versions Disseminator::OwnVersions() const {
  return {document_rejected_ ? 0 : revision_, drained_zones_.version(), rollouts_.version()};
}

Digest Disseminator::OwnDigest(base::Millis now) const {
  Versions own = OwnVersions();
  Digest digest;
  digest.revision = own.revision;
  digest.epoch = endpoints_.epoch;
  digest.sequence = endpoints_.sequence;
  digest.zone_drains = own.zone_drains;
  digest.rollouts = own.rollouts;
  digest.endpoints_read_age_ms = Narrow(SharedReadAge(now));
  return digest;
}

base::Millis Disseminator::DueAt() const {
  return std::min({digest_at_, log_schedule_.DueAt(KnownAt(log_)),
                   endpoints_schedule_.DueAt(KnownAt(endpoints_freshness_))});
}

void Disseminator::Tick(base::Millis now) {
  RequestSync(now);
  if (now < digest_at_) return;
  digest_at_ = now + options_.digest_interval;
  std::vector<const membership::Node*> in_zone, all = membership_->ReachableOthers();
  for (const membership::Node* node : all) {
    if (node->zone == membership_->self().zone) in_zone.push_back(node);
  }
  bool cross_zone =
      in_zone.empty() || random_.Below(static_cast<uint64_t>(options_.cross_zone_one_in)) == 0;
  const auto& candidates = cross_zone ? all : in_zone;
  if (candidates.empty()) return;
  Digest digest = OwnDigest(now);
  digest.answer = true;
  out_.digests.emplace_back(candidates[random_.Below(candidates.size())]->address(), digest);
}

std::vector<const membership::Node*> Disseminator::ZonePeers() const {
  std::vector<const membership::Node*> peers;
  const membership::Node& self = membership_->self();
  for (const auto& [id, node] : membership_->nodes()) {
    if (node.zone == self.zone && id != self.id && node.state != membership::State::kLeft) {
      peers.push_back(&node);
    }
  }
  return peers;
}

// A claim counts before the state that it names has arrived, so that a transfer in progress is not
// requested from further peers. Once the claim is newer than the verified state by more than
// `max_age`, it no longer counts: otherwise a peer that claims newer state and never delivers it
// would keep this node from asking others.
template <class Version>
base::Millis Disseminator::KnownAt(const Freshness<Version>& freshness) const {
  bool delivered = freshness.claimed_at() - freshness.verified_at() <= options_.max_age;
  return delivered ? freshness.claimed_at() : freshness.verified_at();
}

void Disseminator::RequestSync(base::Millis now) {
  std::map<base::Address, bool> targets;  // value: whether to use a connection
  auto ask = [&](SyncSchedule* schedule, base::Millis known_at,
                 const std::optional<base::Address>& authority) {
    if (!schedule->Due(now, known_at)) return;
    std::vector<base::Address> sources = SyncSources(*membership_, options_.seeds, authority);
    bool retrying = schedule->retrying();
    size_t near = std::min(sources.size(), kReliableSources);
    for (const base::Address& to : schedule->NextPeers(now, sources)) {
      bool is_near = std::find(sources.begin(), sources.begin() + static_cast<long>(near), to) !=
                     sources.begin() + static_cast<long>(near);
      targets[to] |= retrying && is_near;
    }
  };
  ask(&log_schedule_, KnownAt(log_), leader_);
  ask(&endpoints_schedule_, KnownAt(endpoints_freshness_), reader_);
  for (const auto& [to, reliable] : targets) {
    out_.sync_requests.push_back(
        {to, {now, OwnVersions(), OwnEndpointVersion(), unmodified_, reliable}});
  }
}

bool Disseminator::IsBehindOnEndpoints(const PeerState& peer) const {
  if (!has_endpoints()) {
    return peer.has_endpoints || OwnEndpointVersion().IsOlderThan(peer.endpoints);
  }
  // A later reader's list is requested once, whenever it was read: only the update itself shows
  // which list it succeeds, and so whether it is newer.
  bool declined = peer.endpoints == declined_;
  if (!HasOwnReading() && peer.endpoints.epoch > endpoints_.epoch && !declined) return true;
  return IsNewerList(peer.endpoints, peer.endpoints_read_at);
}

bool Disseminator::IsBehind(const PeerState& peer) const {
  return !OwnVersions().Covers(peer.versions) || IsBehindOnEndpoints(peer);
}

size_t Disseminator::EndpointsBytes() const {
  return endpoints_.servers.size() * kApproxEndpointBytes;
}

// A peer that has the same list may have it from a later read of the platform. Only replies count,
// since their age is measured from the request: an unsolicited message may have been in transit for
// an unknown time, and would make the list look younger than it is.
void Disseminator::NoteReadAt(const EndpointVersion& endpoints, base::Millis read_at) {
  if (!unmodified_) return;
  bool same = endpoints.epoch == endpoints_.epoch && endpoints.sequence == endpoints_.sequence;
  if (same && has_endpoints()) read_at_ = std::max(read_at_, read_at);
}

// Traffic between zones is expensive, so large state is to enter a zone only once: while the own
// zone has a reachable controller, other zones are asked only after a grace period plus the time
// that the transfer takes.
bool Disseminator::MayRequestFrom(base::Millis now, const base::Address& from,
                                  const SyncReply& reply, const PeerState& peer) {
  if (behind_since_ < 0) behind_since_ = now;
  size_t bytes = 0;
  if (reply.versions.revision > OwnVersions().revision) bytes += reply.document_bytes;
  if (IsBehindOnEndpoints(peer)) bytes += reply.endpoints_bytes;
  base::Millis grace = kOwnZoneGraceMs + TransferTime(bytes);
  if (!InOtherZone(from) || now - behind_since_ >= grace) return true;
  std::vector<const membership::Node*> peers = ZonePeers();
  return std::none_of(peers.begin(), peers.end(), [](const membership::Node* node) {
    return node->program == membership::Program::kController && node->reachable();
  });
}

bool Disseminator::MayFetch(base::Millis now, Fetch* fetch, size_t bytes) {
  if (now < fetch->next_at) return false;
  fetch->back_off =
      std::min(std::max({fetch->back_off * 2, kMinFetchIntervalMs, TransferTime(bytes)}),
               kMaxFetchIntervalMs);
  fetch->next_at = now + fetch->back_off;
  return true;
}

void Disseminator::RequestMissing(base::Millis now, const base::Address& from,
                                  const PeerState& peer) {
  Versions own = OwnVersions();
  size_t document = std::max(document_bytes_, document_.MaxBytes());
  bool config =
      peer.versions.revision > own.revision && MayFetch(now, &fetch_configuration_, document);
  bool endpoints = IsBehindOnEndpoints(peer) && MayFetch(now, &fetch_endpoints_, EndpointsBytes());
  bool lacks_other =
      peer.versions.zone_drains > own.zone_drains || peer.versions.rollouts > own.rollouts;
  bool other = lacks_other && MayFetch(now, &fetch_other_, 0);
  if (!config && !endpoints && !other) return;
  // The maximum version excludes the state that is not requested now: no peer has anything newer.
  PullRequest pull{INT64_MAX, UINT64_MAX, UINT64_MAX, UINT64_MAX, UINT64_MAX, unmodified_};
  if (config) pull.revision = own.revision;
  if (endpoints) {
    pull.epoch = endpoints_.epoch;
    pull.sequence = endpoints_.sequence;
    pull.requested_at = now;
  }
  if (other) {
    pull.zone_drains = own.zone_drains;
    pull.rollouts = own.rollouts;
  }
  out_.pulls.emplace_back(from, pull);
}

bool Disseminator::SendMissing(base::Millis now, const base::Address& to, const PeerState& peer,
                               bool unmodified, int64_t requested_at) {
  bool all = true;
  // The roll-outs go before the list: a node that has servers must also have the versions in force,
  // which determine the servers that it may send requests to.
  if (peer.versions.rollouts < rollouts_.version()) out_.rollouts.push_back({to, {rollouts_}});
  if (peer.versions.revision < OwnVersions().revision) {
    all &= SendConfiguration(now, to, peer.versions.revision, false);
  }
  if (has_endpoints() && endpoints_.IsNewerThan(peer.endpoints.epoch, peer.endpoints.sequence)) {
    all &= SendEndpoints(now, to, {peer.endpoints, unmodified, false, requested_at});
  }
  if (peer.versions.zone_drains < drained_zones_.version())
    out_.zone_drains.push_back({to, {drained_zones_}});
  return all;
}

void Disseminator::OnDigest(base::Millis now, const base::Address& from, const Digest& digest) {
  PeerState peer{{digest.revision, digest.zone_drains, digest.rollouts},
                 {digest.epoch, digest.sequence},
                 digest.endpoints_read_age_ms >= 0,
                 digest.endpoints_read_age_ms >= 0 ? now - digest.endpoints_read_age_ms : -1};
  bool sent_all = SendMissing(now, from, peer, true, EndpointUpdate::kUnsolicited);
  RequestMissing(now, from, peer);
  // The peer requests what was too large to be sent unsolicited once it receives this node's
  // digest.
  if (digest.answer || !sent_all) {
    Digest own = OwnDigest(now);
    own.reliable = digest.reliable;
    out_.digests.emplace_back(from, own);
  }
}

void Disseminator::OnSyncRequest(base::Millis now, const base::Address& from,
                                 const SyncRequest& request) {
  PeerState peer{request.versions, request.endpoints, request.endpoints.epoch > 0};
  size_t queued = out_.updates();
  SendMissing(now, from, peer, request.unmodified, request.requested_at);
  bool sent = out_.updates() != queued;
  SyncReply reply;
  reply.requested_at = request.requested_at;
  reply.versions = OwnVersions();
  reply.age_ms = Narrow(log_.age(now));
  reply.endpoints = OwnEndpointVersion();
  reply.endpoints_age_ms = Narrow(endpoints_freshness_.age(now));
  reply.platform_age_ms = Narrow(SharedReadAge(now));
  reply.endpoints_bytes = static_cast<uint32_t>(EndpointsBytes());
  reply.document_bytes = static_cast<uint32_t>(std::min<size_t>(document_.MaxBytes(), UINT32_MAX));
  out_.sync_replies.push_back({from, reply, sent || request.reliable});
  RequestMissing(now, from, peer);
}

void Disseminator::OnSyncReply(base::Millis now, const base::Address& from,
                               const SyncReply& reply) {
  document_bytes_ = reply.document_bytes;
  PeerState peer{reply.versions, reply.endpoints, reply.platform_age_ms >= 0,
                 reply.platform_age_ms >= 0 ? reply.requested_at - reply.platform_age_ms : -1};
  if (!IsBehind(peer)) {
    behind_since_ = -1;
  } else if (MayRequestFrom(now, from, reply, peer)) {
    RequestMissing(now, from, peer);
  }
  if (reply.requested_at > now || now - reply.requested_at > kReplyTimeoutMs) return;
  if (reply.age_ms >= 0) {
    log_.Claim(reply.requested_at - reply.age_ms, reply.versions, OwnVersions());
    log_schedule_.OnAnswer(now, from, KnownAt(log_));
  }
  // A peer that names an earlier reader than this node's has not yet learned that the reader was
  // replaced; its claim must not count.
  if (reply.endpoints_age_ms >= 0 && reply.endpoints.epoch >= endpoints_.epoch) {
    endpoints_freshness_.Claim(reply.requested_at - reply.endpoints_age_ms, reply.endpoints,
                               VerifiableEndpointVersion());
    endpoints_schedule_.OnAnswer(now, from, KnownAt(endpoints_freshness_));
  }
  if (reply.platform_age_ms >= 0) {
    NoteReadAt(reply.endpoints, reply.requested_at - reply.platform_age_ms);
  }
}

void Disseminator::ConfirmLogCurrent(base::Millis as_of) {
  log_.Claim(as_of, OwnVersions(), OwnVersions());
}

void Disseminator::ConfirmEndpointsCurrent(base::Millis now) {
  endpoints_freshness_.Claim(now, OwnEndpointVersion(), VerifiableEndpointVersion());
}

void Disseminator::SetAuthorities(std::optional<base::Address> leader,
                                  std::optional<base::Address> reader) {
  leader_ = std::move(leader);
  reader_ = std::move(reader);
}

void Disseminator::OnPullRequest(base::Millis now, const base::Address& from,
                                 const PullRequest& pull) {
  if (rollouts_.version() > pull.rollouts) out_.rollouts.push_back({from, {rollouts_}});
  if (OwnVersions().revision > pull.revision) SendConfiguration(now, from, pull.revision, true);
  bool only_copy_is_unmodified = unmodified_ && !pull.unmodified &&
                                 pull.epoch == endpoints_.epoch &&
                                 pull.sequence == endpoints_.sequence;
  if (has_endpoints() && (endpoints_.IsNewerThan(pull.epoch, pull.sequence) ||
                          only_copy_is_unmodified || pull.epoch == 0)) {
    SendEndpoints(now, from,
                  {{pull.epoch, pull.sequence}, pull.unmodified, true, pull.requested_at});
  }
  if (drained_zones_.version() > pull.zone_drains)
    out_.zone_drains.push_back({from, {drained_zones_}});
}

bool Disseminator::RecentlySent(base::Millis now, const base::Address& to, uint64_t update_id) {
  Sent& sent = sent_[to];
  if (sent.update_id == update_id && now - sent.at < kResendAfterMs) return true;
  sent = {now, update_id};
  return false;
}

bool Disseminator::InOtherZone(const base::Address& from) const {
  const membership::Node* node = membership_->Find(from);
  return node && node->zone != membership_->self().zone;
}

std::vector<const membership::Node*> Disseminator::ForwardTargets(bool origin, size_t near_count) {
  const std::string& zone = membership_->self().zone;
  std::vector<const membership::Node*> near;
  std::map<std::string, std::vector<const membership::Node*>> other_zones, durable;
  for (const membership::Node* node : membership_->ReachableOthers()) {
    if (node->zone == zone) {
      near.push_back(node);
    } else if (origin) {
      other_zones[node->zone].push_back(node);
      if (node->durable) durable[node->zone].push_back(node);
    }
  }
  std::vector<const membership::Node*> targets;
  while (!near.empty() && targets.size() < near_count) {
    size_t pick = random_.Below(near.size());
    targets.push_back(near[pick]);
    near.erase(near.begin() + static_cast<long>(pick));
  }
  // A durable node, that is a controller with a disk, is preferred as a zone's relay, since its
  // machine has the better link.
  for (auto& [name, nodes] : other_zones) {
    auto durable_nodes = durable.find(name);
    const auto& candidates = durable_nodes == durable.end() ? nodes : durable_nodes->second;
    targets.push_back(candidates[random_.Below(candidates.size())]);
  }
  return targets;
}

void Disseminator::Forward(base::Millis now, Topic topic, const base::Address* from) {
  bool origin = from == nullptr && topic == Topic::kEndpoints && endpoints_.epoch > 0;
  bool first_in_zone = from == nullptr || InOtherZone(*from);
  Digest announcement = OwnDigest(now);
  for (const membership::Node* node :
       ForwardTargets(origin, first_in_zone ? kOriginFanOut : kRelayFanOut)) {
    if (from && node->address() == *from) continue;
    bool sent = true;
    switch (topic) {
      case Topic::kConfiguration:
        sent = SendConfiguration(now, node->address(), configuration_base(), false);
        break;
      case Topic::kEndpoints:
        sent = !history_.empty() &&
               SendEndpoints(now, node->address(),
                             {{history_.back().epoch, history_.back().sequence}, true});
        break;
      case Topic::kZoneDrain:
        out_.zone_drains.push_back({node->address(), {drained_zones_}});
        break;
      case Topic::kRollouts:
        out_.rollouts.push_back({node->address(), {rollouts_}});
        break;
    }
    if (!sent) out_.digests.emplace_back(node->address(), announcement);
  }
}

void Disseminator::OnNodeReachable(base::Millis now, const membership::Node& node) {
  // Only monitors that noted missed updates send a digest; the node then requests once what it
  // lacks.
  if (missed_updates_.erase(node.id) == 0) return;
  out_.digests.emplace_back(node.address(), OwnDigest(now));
}

void Disseminator::OnNodeUnreachable(const membership::Node& node) {
  if (node.state == membership::State::kLeft) return;
  for (const membership::Node* monitor : membership_->MonitorsOf(node.id)) {
    if (monitor->id == membership_->self().id) missed_updates_.insert(node.id);
  }
}

}  // namespace elderkeel::dissemination
