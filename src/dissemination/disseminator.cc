#include "dissemination/disseminator.h"

#include <algorithm>

#include "dissemination/sync_sources.h"

namespace elderkeel::dissemination {
namespace {
constexpr size_t kFanOut = 4;                // of the node that an update starts from in a zone
constexpr size_t kRelayFanOut = 2;           // of a node that has it from another
constexpr base::Millis kFetchEveryMs = 250;  // before something is asked for again
constexpr base::Millis kMaxFetchEveryMs = 8000;
constexpr base::Millis kOwnZoneFirstMs = 300;   // that the own zone has to get what is large
constexpr base::Millis kReplyTimeoutMs = 2000;  // an answer older than this vouches for nothing
constexpr size_t kMinLinkBytesPerMs = 250;      // bytes a millisecond: 2 Mbit/s
constexpr size_t kEndpointBytes = 64;           // that one endpoint takes in an update, about
constexpr base::Millis kResendAfterMs = 500;    // something large is not sent twice in so long
constexpr size_t kReliableSources = 3;  // nearest peers that are asked over connections, if need be

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
  digest_at_ = now + options_.digest_every;
  std::vector<const membership::Node*> near, all = membership_->ReachableOthers();
  for (const membership::Node* node : all) {
    if (node->zone == membership_->self().zone) near.push_back(node);
  }
  bool far = near.empty() || random_.Below(static_cast<uint64_t>(options_.in_zone_share)) == 0;
  const auto& from = far ? all : near;
  if (from.empty()) return;
  Digest digest = OwnDigest(now);
  digest.answer = true;
  out_.digests.emplace_back(from[random_.Below(from.size())]->address(), digest);
}

std::vector<const membership::Node*> Disseminator::ZonePeers() const {
  std::vector<const membership::Node*> neighbours;
  const membership::Node& self = membership_->self();
  for (const auto& [id, node] : membership_->nodes()) {
    if (node.zone == self.zone && id != self.id && node.state != membership::State::kLeft) {
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

void Disseminator::RequestSync(base::Millis now) {
  std::map<base::Address, bool> targets;  // and whether over a connection
  auto ask = [&](SyncSchedule* schedule, base::Millis known_at,
                 const std::optional<base::Address>& voucher) {
    if (!schedule->Due(now, known_at)) return;
    std::vector<base::Address> sources = SyncSources(*membership_, options_.seeds, voucher);
    bool retrying = schedule->retrying();
    size_t near = std::min(sources.size(), kReliableSources);
    for (const base::Address& to : schedule->Next(now, sources)) {
      bool is_near = std::find(sources.begin(), sources.begin() + static_cast<long>(near), to) !=
                     sources.begin() + static_cast<long>(near);
      targets[to] |= retrying && is_near;
    }
  };
  ask(&log_schedule_, KnownAt(log_), leader_);
  ask(&endpoints_schedule_, KnownAt(endpoints_freshness_), reader_);
  for (const auto& [to, reliable] : targets) {
    out_.sync_requests.push_back(
        {to, {now, OwnVersions(), OwnEndpointVersion(), exact_, reliable}});
  }
}

bool Disseminator::LacksEndpoints(const PeerState& peer) const {
  if (!has_endpoints()) return peer.has_endpoints || OwnEndpointVersion().Lacks(peer.endpoints);
  // A later reader's list is asked for once, whenever it was read: it says what it succeeds.
  bool offered = peer.endpoints == not_known_newer_;
  if (!HasOwnReading() && peer.endpoints.epoch > endpoints_.epoch && !offered) return true;
  return IsNewerList(peer.endpoints, peer.endpoints_read_at);
}

bool Disseminator::Lacks(const PeerState& peer) const {
  return !OwnVersions().Covers(peer.versions) || LacksEndpoints(peer);
}

size_t Disseminator::EndpointsBytes() const { return endpoints_.servers.size() * kEndpointBytes; }

// Whoever has this very list knows when the platform was last read for it. By an answer alone,
// which counts from the question: a message that nobody asked for may have been long on its way.
void Disseminator::NoteReadAt(const EndpointVersion& endpoints, base::Millis read_at) {
  if (!exact_) return;
  bool same = endpoints.epoch == endpoints_.epoch && endpoints.sequence == endpoints_.sequence;
  if (same && has_endpoints()) read_at_ = std::max(read_at_, read_at);
}

// Bytes between zones are dear, and what is large comes to a zone once: the own zone, if a
// controller is there, is given a moment to get it and the time to hand it on.
bool Disseminator::MayAsk(base::Millis now, const base::Address& from, const SyncReply& reply,
                          const PeerState& peer) {
  if (lacking_since_ < 0) lacking_since_ = now;
  size_t bytes = 0;
  if (reply.versions.revision > OwnVersions().revision) bytes += reply.document_bytes;
  if (LacksEndpoints(peer)) bytes += reply.endpoints_bytes;
  base::Millis patience = kOwnZoneFirstMs + TransferTime(bytes);
  if (!InOtherZone(from) || now - lacking_since_ >= patience) return true;
  std::vector<const membership::Node*> near = ZonePeers();
  return std::none_of(near.begin(), near.end(), [](const membership::Node* node) {
    return node->program == membership::Program::kController && node->reachable();
  });
}

bool Disseminator::MayFetch(base::Millis now, Fetch* fetch, size_t bytes) {
  if (now < fetch->again_at) return false;
  fetch->gap =
      std::min(std::max({fetch->gap * 2, kFetchEveryMs, TransferTime(bytes)}), kMaxFetchEveryMs);
  fetch->again_at = now + fetch->gap;
  return true;
}

void Disseminator::RequestMissing(base::Millis now, const base::Address& from,
                                  const PeerState& peer) {
  Versions own = OwnVersions();
  size_t document = std::max(document_bytes_, document_.MaxBytes());
  bool config =
      peer.versions.revision > own.revision && MayFetch(now, &fetch_configuration_, document);
  bool endpoints = LacksEndpoints(peer) && MayFetch(now, &fetch_endpoints_, EndpointsBytes());
  bool lacks_other =
      peer.versions.zone_drains > own.zone_drains || peer.versions.rollouts > own.rollouts;
  bool other = lacks_other && MayFetch(now, &fetch_other_, 0);
  if (!config && !endpoints && !other) return;
  // What is not wanted now is named as held in a version that nobody is beyond.
  PullRequest pull{INT64_MAX, UINT64_MAX, UINT64_MAX, UINT64_MAX, UINT64_MAX, exact_};
  if (config) pull.revision = own.revision;
  if (endpoints) {
    pull.epoch = endpoints_.epoch;
    pull.sequence = endpoints_.sequence;
    pull.asked_at = now;
  }
  if (other) {
    pull.zone_drains = own.zone_drains;
    pull.rollouts = own.rollouts;
  }
  out_.pulls.emplace_back(from, pull);
}

bool Disseminator::SendMissing(base::Millis now, const base::Address& to, const PeerState& peer,
                               bool exact, int64_t asked_at) {
  bool all = true;
  // Before the list: a node that knows of servers must know which of them it may send to.
  if (peer.versions.rollouts < rollouts_.version()) out_.rollouts.push_back({to, {rollouts_}});
  if (peer.versions.revision < OwnVersions().revision) {
    all &= SendConfiguration(now, to, peer.versions.revision, false);
  }
  if (has_endpoints() && endpoints_.NewerThan(peer.endpoints.epoch, peer.endpoints.sequence)) {
    all &= SendEndpoints(now, to, {peer.endpoints, exact, false, asked_at});
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
  bool sent_all = SendMissing(now, from, peer, true, EndpointUpdate::kUnasked);
  RequestMissing(now, from, peer);
  // What is too large to be sent unasked is asked for by a peer that sees this node's digest.
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
  SendMissing(now, from, peer, request.exact, request.asked_at);
  bool sent = out_.updates() != queued;
  SyncReply reply;
  reply.asked_at = request.asked_at;
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
                 reply.platform_age_ms >= 0 ? reply.asked_at - reply.platform_age_ms : -1};
  if (!Lacks(peer)) {
    lacking_since_ = -1;
  } else if (MayAsk(now, from, reply, peer)) {
    RequestMissing(now, from, peer);
  }
  if (reply.asked_at > now || now - reply.asked_at > kReplyTimeoutMs) return;
  if (reply.age_ms >= 0) {
    log_.Claim(reply.asked_at - reply.age_ms, reply.versions, OwnVersions());
    log_schedule_.Answered(now, from, KnownAt(log_));
  }
  // One that names an earlier reader than is known here has missed that it was replaced.
  if (reply.endpoints_age_ms >= 0 && reply.endpoints.epoch >= endpoints_.epoch) {
    endpoints_freshness_.Claim(reply.asked_at - reply.endpoints_age_ms, reply.endpoints,
                               VerifiableEndpointVersion());
    endpoints_schedule_.Answered(now, from, KnownAt(endpoints_freshness_));
  }
  if (reply.platform_age_ms >= 0) {
    NoteReadAt(reply.endpoints, reply.asked_at - reply.platform_age_ms);
  }
}

void Disseminator::VouchForLog(base::Millis as_of) {
  log_.Claim(as_of, OwnVersions(), OwnVersions());
}

void Disseminator::VouchForEndpoints(base::Millis now) {
  endpoints_freshness_.Claim(now, OwnEndpointVersion(), VerifiableEndpointVersion());
}

void Disseminator::SetVouchers(std::optional<base::Address> leader,
                               std::optional<base::Address> reader) {
  leader_ = std::move(leader);
  reader_ = std::move(reader);
}

void Disseminator::OnPullRequest(base::Millis now, const base::Address& from,
                                 const PullRequest& pull) {
  if (rollouts_.version() > pull.rollouts) out_.rollouts.push_back({from, {rollouts_}});
  if (OwnVersions().revision > pull.revision) SendConfiguration(now, from, pull.revision, true);
  bool truer = exact_ && !pull.exact && pull.epoch == endpoints_.epoch &&
               pull.sequence == endpoints_.sequence;
  if (has_endpoints() &&
      (endpoints_.NewerThan(pull.epoch, pull.sequence) || truer || pull.epoch == 0)) {
    SendEndpoints(now, from, {{pull.epoch, pull.sequence}, pull.exact, true, pull.asked_at});
  }
  if (drained_zones_.version() > pull.zone_drains)
    out_.zone_drains.push_back({from, {drained_zones_}});
}

bool Disseminator::RecentlySent(base::Millis now, const base::Address& to, uint64_t what) {
  Sent& sent = sent_[to];
  if (sent.what == what && now - sent.at < kResendAfterMs) return true;
  sent = {now, what};
  return false;
}

bool Disseminator::InOtherZone(const base::Address& from) const {
  const membership::Node* node = membership_->Find(from);
  return node && node->zone != membership_->self().zone;
}

std::vector<const membership::Node*> Disseminator::ForwardTargets(bool origin, size_t near_count) {
  const std::string& zone = membership_->self().zone;
  std::vector<const membership::Node*> near;
  std::map<std::string, std::vector<const membership::Node*>> far, far_core;
  for (const membership::Node* node : membership_->ReachableOthers()) {
    if (node->zone == zone) {
      near.push_back(node);
    } else if (origin) {
      far[node->zone].push_back(node);
      if (node->durable) far_core[node->zone].push_back(node);
    }
  }
  std::vector<const membership::Node*> audience;
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
  bool origin = from == nullptr && topic == Topic::kEndpoints && endpoints_.epoch > 0;
  bool first_here = from == nullptr || InOtherZone(*from);
  Digest announce = OwnDigest(now);
  for (const membership::Node* node : ForwardTargets(origin, first_here ? kFanOut : kRelayFanOut)) {
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
    if (!sent) out_.digests.emplace_back(node->address(), announce);
  }
}

void Disseminator::OnNodeReachable(base::Millis now, const membership::Node& node) {
  // By those that kept a hint; what it missed it then asks for, once.
  if (missed_updates_.erase(node.id) == 0) return;
  out_.digests.emplace_back(node.address(), OwnDigest(now));
}

void Disseminator::OnNodeUnreachable(const membership::Node& node) {
  if (node.state == membership::State::kLeft) return;
  for (const membership::Node* watcher : membership_->MonitorsOf(node.id)) {
    if (watcher->id == membership_->self().id) missed_updates_.insert(node.id);
  }
}

}  // namespace elderkeel::dissemination
