#include "dissemination/peers.h"

#include <algorithm>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::dissemination {
namespace {

constexpr base::Millis kTickMs = 50;
constexpr size_t kDatagramBytes = 1300;

uint16_t PortOf(const base::Settings& settings, membership::Program program) {
  return program == membership::Program::kController ? settings.ControllerPort()
                                                     : settings.ProxyPort();
}

membership::Membership::Options MemberOptions(const base::Settings& settings,
                                              membership::Program program) {
  membership::Membership::Options options;
  membership::Node& self = options.self;
  self.ip = settings.ip;
  self.port = PortOf(settings, program);
  self.id = base::Hash(self.address().ToString());
  self.program = program;
  self.zone = settings.zone;
  self.boot_id = base::RandomSeed();
  self.front = program == membership::Program::kProxy ? settings.front.port : 0;
  self.durable = program == membership::Program::kController && !settings.data_dir.empty();
  options.regions = settings.zones;
  options.heartbeat = settings.heartbeat_ms;
  options.seed = base::RandomSeed();
  return options;
}

std::vector<base::Address> SeedNodes(const base::Settings& settings, membership::Program program) {
  std::vector<base::Address> seeds;
  for (const base::Address& seed : settings.seeds) {
    base::Address node{seed.ip, settings.ControllerPort()};
    if (node.ip != settings.ip || program != membership::Program::kController)
      seeds.push_back(node);
  }
  return seeds;
}

// A node is out of date for half of the time that the platform allows at most. The sum that this
// follows from stands in docs/dissemination.md.
Disseminator::Options DisseminatorOptions(const base::Settings& settings,
                                          membership::Program program) {
  Disseminator::Options options;
  base::Millis bound = settings.PropagationMs();
  options.max_age = program == membership::Program::kController ? bound / 3 : bound * 3 / 5;
  options.seeds = SeedNodes(settings, program);
  options.seed = base::RandomSeed();
  options.digest_every = settings.digest_ms;
  return options;
}

}  // namespace

Peers::Peers(base::Loop* loop, const base::Settings& settings, membership::Program program,
             Hooks hooks)
    : loop_(loop),
      settings_(settings),
      hooks_(std::move(hooks)),
      mesh_(loop, {settings.ip, PortOf(settings, program)},
            [this](const base::Address& from, wire::Kind kind, std::string_view payload) {
              OnMessage(from, kind, payload);
            }),
      members_(MemberOptions(settings, program), SeedNodes(settings, program),
               base::SteadyMillis()),
      disseminator_(DisseminatorOptions(settings, program), &members_, base::SteadyMillis()) {}

base::Status Peers::Start() {
  auto listening = mesh_.Listen();
  if (!listening) return listening;
  Tick();
  return {};
}

void Peers::Tick() {
  base::Millis now = base::SteadyMillis();
  members_.Tick(now);
  disseminator_.Tick(now);
  tick_at_ = 0;
  Pump();
}

void Peers::Schedule() {
  base::Millis now = base::SteadyMillis();
  base::Millis due = std::min(members_.DueAt(), disseminator_.DueAt());
  base::Millis wait = base::UntilMultiple(now, std::max<base::Millis>(due - now, 1), kTickMs);
  if (tick_at_ != 0 && tick_at_ <= now + wait) return;
  tick_at_ = now + wait;
  tick_.Start(loop_, wait, [this] { Tick(); });
}

void Peers::Leave() {
  members_.Leave(base::SteadyMillis());
  Pump();
}

void Peers::Commit(const configuration::ConfigurationState& state) {
  disseminator_.Commit(base::SteadyMillis(), state);
  Pump();
}
void Peers::Commit(const zone_drain::DrainedZones& drained_zones) {
  disseminator_.Commit(drained_zones);
  Pump();
}
void Peers::Commit(const rollout::Rollouts& rollouts) {
  disseminator_.Commit(rollouts);
  Pump();
}
void Peers::NoteRolloutVersion(const base::Address& from, uint64_t version) {
  disseminator_.OnRolloutVersion(base::SteadyMillis(), from, version);
  Pump();
}
void Peers::AskDigest(const base::Address& to) {
  Digest digest = disseminator_.OwnDigest(base::SteadyMillis());
  digest.answer = true;
  SendDigest(to, std::move(digest));
}
void Peers::SetReady(bool ready) {
  members_.SetReady(ready);
  Pump();
}
void Peers::VouchForLog(base::Millis as_of) {
  disseminator_.VouchForLog(as_of);
  Pump();
}
void Peers::VouchForEndpoints() { disseminator_.VouchForEndpoints(base::SteadyMillis()); }
void Peers::SetVouchers(std::optional<base::Address> leader, std::optional<base::Address> reader) {
  disseminator_.SetVouchers(std::move(leader), std::move(reader));
}
void Peers::RejectConfiguration() { disseminator_.RejectConfiguration(); }
bool Peers::Publish(discovery::EndpointSnapshot endpoints) {
  bool taken = disseminator_.Publish(base::SteadyMillis(), std::move(endpoints));
  Pump();
  return taken;
}
void Peers::Confirm(uint64_t epoch) {
  disseminator_.Confirm(base::SteadyMillis(), epoch);
  Pump();
}
void Peers::AdoptOwnReading(std::vector<discovery::Server> servers) {
  disseminator_.AdoptOwnReading(base::SteadyMillis(), std::move(servers));
  Pump();
}

std::vector<base::Address> Peers::Controllers() const {
  std::vector<base::Address> near, far;
  for (const membership::Node* node : members_.ReachableOthers()) {
    if (node->program != membership::Program::kController) continue;
    (node->zone == settings_.zone ? near : far).push_back(node->address());
  }
  near.insert(near.end(), far.begin(), far.end());
  // Those without a disk have no part in the log where others have one; they come last.
  std::stable_partition(near.begin(), near.end(), [this](const base::Address& address) {
    const membership::Node* node = members_.Find(address);
    return node && node->durable;
  });
  for (const base::Address& seed : settings_.seeds) {
    base::Address address{seed.ip, settings_.ControllerPort()};
    bool known = false;
    for (const base::Address& a : near) known |= a == address;
    if (!known) near.push_back(address);
  }
  return near;
}

void Peers::OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload) {
  base::Millis now = base::SteadyMillis();
  // A frame that is whole and yet can't be read comes from a peer of another make.
  auto take = [&](auto message, auto use) {
    auto read = wire::Decode<decltype(message)>(payload);
    if (read) {
      use(*read);
    } else {
      base::Warn("message.dropped",
                 base::Error{base::ErrorCode::kProtocolError, "dissemination.read", from.ToString(),
                             "can't be read"});
    }
  };
  switch (kind) {
    case wire::Kind::kHeartbeat:
      take(membership::Heartbeat(), [&](const auto& m) { members_.OnHeartbeat(now, from, m); });
      break;
    case wire::Kind::kMembershipUpdate:
      take(membership::MembershipUpdate(),
           [&](const auto& m) { members_.OnMembershipUpdate(now, from, m); });
      break;
    case wire::Kind::kPartDigests:
      take(membership::PartDigests(), [&](const auto& m) { members_.OnPartDigests(now, from, m); });
      break;
    case wire::Kind::kSummary:
      take(membership::MembershipSummary(),
           [&](const auto& m) { members_.OnSummary(now, from, m); });
      break;
    case wire::Kind::kZoneDrainUpdate:
      take(ZoneDrainUpdate(),
           [&](const auto& m) { disseminator_.OnZoneDrainUpdate(now, from, m); });
      break;
    case wire::Kind::kRolloutUpdate:
      take(RolloutUpdate(), [&](const auto& m) { disseminator_.OnRolloutUpdate(now, from, m); });
      break;
    case wire::Kind::kDigest:
      take(Digest(), [&](const auto& m) {
        // Levelling takes two: what is told back is what was here before the other's was heard.
        if (m.answer && hooks_.load_report) reply_report_ = {from, hooks_.load_report()};
        if (hooks_.load_report_received && !m.load.empty()) hooks_.load_report_received(m.load);
        disseminator_.OnDigest(now, from, m);
      });
      break;
    case wire::Kind::kPullRequest:
      take(PullRequest(), [&](const auto& m) { disseminator_.OnPullRequest(now, from, m); });
      break;
    case wire::Kind::kSyncRequest:
      take(SyncRequest(), [&](const auto& m) { disseminator_.OnSyncRequest(now, from, m); });
      break;
    case wire::Kind::kSyncReply:
      take(SyncReply(), [&](const auto& m) { disseminator_.OnSyncReply(now, from, m); });
      break;
    case wire::Kind::kConfigurationUpdate:
      take(ConfigurationUpdate(),
           [&](const auto& m) { disseminator_.OnConfigurationUpdate(now, from, m); });
      break;
    case wire::Kind::kEndpointUpdate:
      take(EndpointUpdate(), [&](const auto& m) { disseminator_.OnEndpointUpdate(now, from, m); });
      break;
    default:
      if (hooks_.other) hooks_.other(from, kind, payload);
      break;
  }
  Pump();
}

// What fits a datagram needs no connection to a node that may be gone.
void Peers::SendSmall(const base::Address& to, wire::Kind kind, const std::string& bytes) {
  if (bytes.size() > kDatagramBytes || !mesh_.SendDatagram(to, kind, std::string_view(bytes))) {
    mesh_.Send(to, kind, std::string_view(bytes));
  }
}

void Peers::SendDigest(const base::Address& to, Digest digest) {
  if (digest.answer) {
    if (hooks_.load_report) digest.load = hooks_.load_report();
  } else if (to == reply_report_.first) {
    digest.load = std::move(reply_report_.second);
    reply_report_ = {};
  }
  if (digest.reliable || !mesh_.SendDatagram(to, wire::Kind::kDigest, digest)) {
    mesh_.Send(to, wire::Kind::kDigest, digest);
  }
}

void Peers::Pump() {
  if (pumping_) return;
  pumping_ = true;
  base::Millis now = base::SteadyMillis();
  for (;;) {
    membership::Membership::Effects membership = members_.Take();
    for (const membership::Node& node : membership.changed) {
      base::Debug("node.changed", {{"node", node.address().ToString()},
                                   {"state", membership::StateName(node.state)},
                                   {"incarnation", node.incarnation}});
      if (node.state == membership::State::kAlive) disseminator_.OnNodeReachable(now, node);
      if (!node.reachable()) disseminator_.OnNodeUnreachable(node);
      if (hooks_.node_changed) hooks_.node_changed(node);
    }
    Disseminator::Effects effects = disseminator_.Take();
    for (auto& [to, m] : membership.heartbeats) mesh_.SendDatagram(to, wire::Kind::kHeartbeat, m);
    for (auto& [to, m] : membership.tables) {
      // What a process says of itself, a refutation above all, must not be lost on a full link.
      bool own = std::any_of(m.nodes.begin(), m.nodes.end(), [this](const membership::Node& node) {
        return node.id == members_.self().id;
      });
      std::string bytes = wire::Encode(m);
      if (own && members_.self().incarnation > 1) {
        mesh_.Send(to, wire::Kind::kMembershipUpdate, std::string_view(bytes));
      } else {
        SendSmall(to, wire::Kind::kMembershipUpdate, bytes);
      }
    }
    for (auto& [to, m] : membership.sums) mesh_.SendDatagram(to, wire::Kind::kPartDigests, m);
    for (auto& [to, m] : membership.summaries) SendSmall(to, wire::Kind::kSummary, wire::Encode(m));
    for (auto& [to, m] : effects.digests) SendDigest(to, std::move(m));
    for (auto& [to, m] : effects.pulls) mesh_.Send(to, wire::Kind::kPullRequest, m);
    auto send = [this](const base::Address& to, wire::Kind kind, const auto& message) {
      if (!mesh_.Send(to, kind, message)) disseminator_.OnSendFailed(to);
    };
    for (auto& [to, m] : effects.rollouts) send(to, wire::Kind::kRolloutUpdate, m);
    for (auto& [to, m] : effects.configuration_updates)
      send(to, wire::Kind::kConfigurationUpdate, m);
    for (auto& [to, m] : effects.endpoint_updates) send(to, wire::Kind::kEndpointUpdate, m);
    for (auto& [to, m] : effects.zone_drains) send(to, wire::Kind::kZoneDrainUpdate, m);
    for (auto& [to, m] : effects.sync_requests)
      SendSync(to, wire::Kind::kSyncRequest, m, m.reliable);
    for (auto& reply : effects.sync_replies) {
      SendSync(reply.to, wire::Kind::kSyncReply, reply.reply, reply.follows);
    }
    if (effects.rollouts_adopted && hooks_.rollouts_adopted) hooks_.rollouts_adopted();
    if (effects.configuration_adopted && hooks_.configuration_adopted)
      hooks_.configuration_adopted();
    if (effects.endpoints_adopted && hooks_.endpoints_adopted) hooks_.endpoints_adopted();
    if (effects.zone_drains_adopted && hooks_.zone_drains_adopted) hooks_.zone_drains_adopted();
    if (membership.empty() && effects.empty()) break;
  }
  pumping_ = false;
  Schedule();
}

}  // namespace elderkeel::dissemination
