#include "cluster/cluster_node.h"

#include <algorithm>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::cluster {
namespace {

using dissemination::Digest;
using dissemination::Disseminator;
using membership::Membership;
using membership::Program;

constexpr base::Millis kTickIntervalMs = 50;  // ticks are at multiples of this
constexpr size_t kMaxDatagramBytes = 1300;    // more could be fragmented on the way

uint16_t PortOf(const base::Settings& settings, Program program) {
  return program == Program::kController ? settings.ControllerPort() : settings.ProxyPort();
}

Membership::Options MembershipOptions(const base::Settings& settings, Program program) {
  Membership::Options options;
  membership::Node& self = options.self;
  self.ip = settings.ip;
  self.port = PortOf(settings, program);
  self.id = base::Hash(self.address().ToString());
  self.program = program;
  self.zone = settings.zone;
  self.boot_id = base::RandomSeed();
  self.client_port = program == Program::kProxy ? settings.front.port : 0;
  self.durable = program == Program::kController && !settings.data_dir.empty();
  options.regions = settings.zones;
  options.heartbeat_interval = settings.heartbeat_ms;
  options.seed = base::RandomSeed();
  return options;
}

std::vector<base::Address> SeedNodes(const base::Settings& settings, Program program) {
  std::vector<base::Address> seeds;
  for (const base::Address& seed : settings.seeds) {
    base::Address node{seed.ip, settings.ControllerPort()};
    bool self = node.ip == settings.ip && program == Program::kController;
    if (!self) seeds.push_back(node);
  }
  return seeds;
}

// `max_age` is set so that a node's state is out of date for at most half of the time that the
// platform allows; docs/dissemination.md adds up the delays that lead to that bound.
Disseminator::Options DisseminatorOptions(const base::Settings& settings, Program program) {
  Disseminator::Options options;
  base::Millis bound = settings.PropagationMs();
  options.max_age = program == Program::kController ? bound / 3 : bound * 3 / 5;
  options.seeds = SeedNodes(settings, program);
  options.seed = base::RandomSeed();
  options.digest_interval = settings.digest_ms;
  return options;
}

}  // namespace

ClusterNode::ClusterNode(base::Loop* loop, const base::Settings& settings, Program program,
                         Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      mesh_(loop, {settings.ip, PortOf(settings, program)},
            [this](const base::Address& from, transport::MessageKind kind,
                   std::string_view payload) { OnMessage(from, kind, payload); }),
      membership_(MembershipOptions(settings, program), SeedNodes(settings, program),
                  base::SteadyMillis()),
      disseminator_(DisseminatorOptions(settings, program), &membership_, base::SteadyMillis()) {}

base::Status ClusterNode::Start() {
  base::Status listening = mesh_.Listen();
  if (listening) Tick();
  return listening;
}

void ClusterNode::WatchSettings(const std::string& path,
                                lifecycle::SettingsWatcher::OnChange changed) {
  settings_watcher_ = std::make_unique<lifecycle::SettingsWatcher>(
      loop_, path, [changed = std::move(changed)](const base::Settings& settings) {
        base::SetLogLevel(base::ParseLogLevel(settings.log_level, base::LogLevel::kInfo));
        changed(settings);
      });
}

void ClusterNode::Tick() {
  base::Millis now = base::SteadyMillis();
  membership_.Tick(now);
  disseminator_.Tick(now);
  next_tick_at_ = 0;
  CarryOutEffects();
}

void ClusterNode::ScheduleTick() {
  base::Millis now = base::SteadyMillis();
  base::Millis due = std::min(membership_.DueAt(), disseminator_.DueAt());
  base::Millis wait =
      base::UntilMultiple(now, std::max<base::Millis>(due - now, 1), kTickIntervalMs);
  if (next_tick_at_ != 0 && next_tick_at_ <= now + wait) return;
  next_tick_at_ = now + wait;
  tick_timer_.Start(loop_, wait, [this] { Tick(); });
}

void ClusterNode::Leave() {
  membership_.Leave(base::SteadyMillis());
  CarryOutEffects();
}

void ClusterNode::Commit(const configuration::ConfigurationState& state) {
  disseminator_.Commit(base::SteadyMillis(), state);
  CarryOutEffects();
}

void ClusterNode::Commit(const zone_drain::DrainedZones& drained_zones) {
  disseminator_.Commit(drained_zones);
  CarryOutEffects();
}

void ClusterNode::Commit(const rollout::Rollouts& rollouts) {
  disseminator_.Commit(rollouts);
  CarryOutEffects();
}

void ClusterNode::OnRolloutVersion(const base::Address& from, uint64_t version) {
  disseminator_.OnRolloutVersion(base::SteadyMillis(), from, version);
  CarryOutEffects();
}

bool ClusterNode::Publish(base::Millis requested_at, discovery::EndpointSnapshot endpoints) {
  bool accepted = disseminator_.Publish(base::SteadyMillis(), requested_at, std::move(endpoints));
  CarryOutEffects();
  return accepted;
}

void ClusterNode::ConfirmEndpoints(base::Millis requested_at, uint64_t epoch) {
  disseminator_.ConfirmListUnchanged(base::SteadyMillis(), requested_at, epoch);
  CarryOutEffects();
}

void ClusterNode::ConfirmLogCurrent(base::Millis as_of) {
  disseminator_.ConfirmLogCurrent(as_of);
  CarryOutEffects();
}

void ClusterNode::ConfirmEndpointsCurrent() {
  disseminator_.ConfirmEndpointsCurrent(base::SteadyMillis());
}

void ClusterNode::SetAuthorities(std::optional<base::Address> leader,
                                 std::optional<base::Address> reader) {
  disseminator_.SetAuthorities(std::move(leader), std::move(reader));
}

void ClusterNode::RejectConfiguration() { disseminator_.RejectConfiguration(); }

bool ClusterNode::AdoptOwnReading(discovery::Reading reading) {
  bool adopted = disseminator_.AdoptOwnReading(reading.requested_at, std::move(reading.servers));
  CarryOutEffects();
  return adopted;
}

void ClusterNode::RequestDigest(const base::Address& to) {
  Digest digest = disseminator_.OwnDigest(base::SteadyMillis());
  digest.answer = true;
  SendDigest(to, std::move(digest));
}

void ClusterNode::SetReady(bool ready) {
  membership_.SetReady(ready);
  CarryOutEffects();
}

std::vector<base::Address> ClusterNode::ControllersToContact() const {
  std::vector<base::Address> controllers, in_other_zones;
  for (const membership::Node* node : membership_.ReachableOthers()) {
    if (node->program != Program::kController) continue;
    (node->zone == settings_.zone ? controllers : in_other_zones).push_back(node->address());
  }
  controllers.insert(controllers.end(), in_other_zones.begin(), in_other_zones.end());
  // Where some controllers have a disk, those without one do not take part in the log.
  std::stable_partition(controllers.begin(), controllers.end(),
                        [this](const base::Address& address) {
                          const membership::Node* node = membership_.Find(address);
                          return node && node->durable;
                        });
  for (const base::Address& seed : settings_.seeds) {
    base::Address address{seed.ip, settings_.ControllerPort()};
    bool known = std::find(controllers.begin(), controllers.end(), address) != controllers.end();
    if (!known) controllers.push_back(address);
  }
  return controllers;
}

// --- receiving ---

template <class Message, class Handler>
void ClusterNode::DecodeAndHandle(const base::Address& from, std::string_view payload,
                                  Handler handler) {
  if (auto message = transport::Decode<Message>(payload)) {
    handler(*message);
    return;
  }
  // The frame's checksum is correct, so the payload is not damaged: the peer runs another version
  // of the program.
  base::Warn("message.dropped",
             base::Error{base::ErrorCode::kProtocolError, "dissemination.read", from.ToString(),
                         "the message can't be decoded; the peer may run an incompatible version"});
}

void ClusterNode::OnMessage(const base::Address& from, transport::MessageKind kind,
                            std::string_view payload) {
  base::Millis now = base::SteadyMillis();
  bool handled = OnMembershipMessage(now, from, kind, payload) ||
                 OnDisseminationMessage(now, from, kind, payload);
  if (!handled && callbacks_.message) callbacks_.message(from, kind, payload);
  CarryOutEffects();
}

bool ClusterNode::OnMembershipMessage(base::Millis now, const base::Address& from,
                                      transport::MessageKind kind, std::string_view payload) {
  switch (kind) {
    case transport::MessageKind::kHeartbeat:
      DecodeAndHandle<membership::Heartbeat>(
          from, payload, [&](const auto& message) { membership_.OnHeartbeat(now, from, message); });
      return true;
    case transport::MessageKind::kMembershipUpdate:
      DecodeAndHandle<membership::MembershipUpdate>(from, payload, [&](const auto& message) {
        membership_.OnMembershipUpdate(now, from, message);
      });
      return true;
    case transport::MessageKind::kPartDigests:
      DecodeAndHandle<membership::PartDigests>(from, payload, [&](const auto& message) {
        membership_.OnPartDigests(now, from, message);
      });
      return true;
    case transport::MessageKind::kSummary:
      DecodeAndHandle<membership::MembershipSummary>(
          from, payload, [&](const auto& message) { membership_.OnSummary(now, from, message); });
      return true;
    default:
      return false;
  }
}

bool ClusterNode::OnDisseminationMessage(base::Millis now, const base::Address& from,
                                         transport::MessageKind kind, std::string_view payload) {
  switch (kind) {
    case transport::MessageKind::kDigest:
      DecodeAndHandle<Digest>(from, payload,
                              [&](const auto& message) { OnDigest(now, from, message); });
      return true;
    case transport::MessageKind::kPullRequest:
      DecodeAndHandle<dissemination::PullRequest>(from, payload, [&](const auto& message) {
        disseminator_.OnPullRequest(now, from, message);
      });
      return true;
    case transport::MessageKind::kSyncRequest:
      DecodeAndHandle<dissemination::SyncRequest>(from, payload, [&](const auto& message) {
        disseminator_.OnSyncRequest(now, from, message);
      });
      return true;
    case transport::MessageKind::kSyncReply:
      DecodeAndHandle<dissemination::SyncReply>(from, payload, [&](const auto& message) {
        disseminator_.OnSyncReply(now, from, message);
      });
      return true;
    case transport::MessageKind::kConfigurationUpdate:
      DecodeAndHandle<dissemination::ConfigurationUpdate>(from, payload, [&](const auto& message) {
        disseminator_.OnConfigurationUpdate(now, from, message);
      });
      return true;
    case transport::MessageKind::kEndpointUpdate:
      DecodeAndHandle<dissemination::EndpointUpdate>(from, payload, [&](const auto& message) {
        disseminator_.OnEndpointUpdate(now, from, message);
      });
      return true;
    case transport::MessageKind::kZoneDrainUpdate:
      DecodeAndHandle<dissemination::ZoneDrainUpdate>(from, payload, [&](const auto& message) {
        disseminator_.OnZoneDrainUpdate(now, from, message);
      });
      return true;
    case transport::MessageKind::kRolloutUpdate:
      DecodeAndHandle<dissemination::RolloutUpdate>(from, payload, [&](const auto& message) {
        disseminator_.OnRolloutUpdate(now, from, message);
      });
      return true;
    default:
      return false;
  }
}

void ClusterNode::OnDigest(base::Millis now, const base::Address& from, const Digest& digest) {
  // Both sides average their reports from before the exchange, so the report to send back is taken
  // before the peer's is merged.
  if (digest.answer && callbacks_.load_report) reply_report_ = {from, callbacks_.load_report()};
  if (callbacks_.load_report_received && !digest.load.empty()) {
    callbacks_.load_report_received(digest.load);
  }
  disseminator_.OnDigest(now, from, digest);
}

// --- sending ---

void ClusterNode::SendDatagramOrStream(const base::Address& to, transport::MessageKind kind,
                                       const std::string& bytes) {
  bool sent =
      bytes.size() <= kMaxDatagramBytes && mesh_.SendDatagram(to, kind, std::string_view(bytes));
  if (!sent) mesh_.Send(to, kind, std::string_view(bytes));
}

template <class Message>
void ClusterNode::SendUpdate(const base::Address& to, transport::MessageKind kind,
                             const Message& message) {
  if (!mesh_.Send(to, kind, message)) disseminator_.OnSendFailed(to);
}

template <class Message>
void ClusterNode::SendSync(const base::Address& to, transport::MessageKind kind,
                           const Message& message, bool reliable) {
  if (reliable || !mesh_.SendDatagram(to, kind, message)) mesh_.Send(to, kind, message);
}

void ClusterNode::SendDigest(const base::Address& to, Digest digest) {
  if (digest.answer) {
    if (callbacks_.load_report) digest.load = callbacks_.load_report();
  } else if (to == reply_report_.first) {
    digest.load = std::move(reply_report_.second);
    reply_report_ = {};
  }
  SendSync(to, transport::MessageKind::kDigest, digest, digest.reliable);
}

void ClusterNode::SendMembershipUpdate(const base::Address& to,
                                       const membership::MembershipUpdate& update) {
  // This process's own record with a raised incarnation may refute a suspicion. It is sent over a
  // connection: a datagram can be lost on a congested link, and the process would be declared dead.
  const membership::Node& self = membership_.self();
  bool own = std::any_of(update.nodes.begin(), update.nodes.end(),
                         [&self](const membership::Node& node) { return node.id == self.id; });
  std::string bytes = transport::Encode(update);
  if (own && self.incarnation > 1) {
    mesh_.Send(to, transport::MessageKind::kMembershipUpdate, std::string_view(bytes));
  } else {
    SendDatagramOrStream(to, transport::MessageKind::kMembershipUpdate, bytes);
  }
}

void ClusterNode::SendMembership(const Membership::Effects& effects) {
  for (const auto& [to, heartbeat] : effects.heartbeats) {
    mesh_.SendDatagram(to, transport::MessageKind::kHeartbeat, heartbeat);
  }
  for (const auto& [to, update] : effects.updates) SendMembershipUpdate(to, update);
  for (const auto& [to, digests] : effects.part_digests) {
    mesh_.SendDatagram(to, transport::MessageKind::kPartDigests, digests);
  }
  for (const auto& [to, summary] : effects.summaries) {
    SendDatagramOrStream(to, transport::MessageKind::kSummary, transport::Encode(summary));
  }
}

void ClusterNode::SendUpdates(Disseminator::Effects* effects) {
  for (auto& [to, digest] : effects->digests) SendDigest(to, std::move(digest));
  for (const auto& [to, pull] : effects->pulls)
    mesh_.Send(to, transport::MessageKind::kPullRequest, pull);
  // Roll-outs go before endpoints: a node that has the servers without the roll-outs could send
  // requests to versions that may not receive them.
  for (const auto& [to, update] : effects->rollouts) {
    SendUpdate(to, transport::MessageKind::kRolloutUpdate, update);
  }
  for (const auto& [to, update] : effects->configuration_updates) {
    SendUpdate(to, transport::MessageKind::kConfigurationUpdate, update);
  }
  for (const auto& [to, update] : effects->endpoint_updates) {
    SendUpdate(to, transport::MessageKind::kEndpointUpdate, update);
  }
  for (const auto& [to, update] : effects->zone_drains) {
    SendUpdate(to, transport::MessageKind::kZoneDrainUpdate, update);
  }
  for (const auto& [to, request] : effects->sync_requests) {
    SendSync(to, transport::MessageKind::kSyncRequest, request, request.reliable);
  }
  for (const auto& reply : effects->sync_replies) {
    SendSync(reply.to, transport::MessageKind::kSyncReply, reply.reply, reply.over_connection);
  }
}

void ClusterNode::ReportAdopted(const Disseminator::Effects& effects) {
  if (effects.rollouts_adopted && callbacks_.rollouts_adopted) callbacks_.rollouts_adopted();
  if (effects.configuration_adopted && callbacks_.configuration_adopted) {
    callbacks_.configuration_adopted();
  }
  if (effects.endpoints_adopted) {
    const discovery::EndpointSnapshot& endpoints = disseminator_.endpoints();
    const auto& from = effects.endpoints_sender;
    base::Debug("endpoints.adopted",
                {{"epoch", endpoints.epoch},
                 {"sequence", endpoints.sequence},
                 {"read_age_ms", disseminator_.endpoints_read_age(base::SteadyMillis())},
                 {"from", from ? from->ToString() : "self"}});
    if (callbacks_.endpoints_adopted) callbacks_.endpoints_adopted();
  }
  if (effects.zone_drains_adopted && callbacks_.zone_drains_adopted) {
    callbacks_.zone_drains_adopted();
  }
}

void ClusterNode::OnNodeChanged(base::Millis now, const membership::Node& node) {
  base::Debug("node.changed", {{"node", node.address().ToString()},
                               {"state", membership::StateName(node.state)},
                               {"incarnation", node.incarnation}});
  if (node.state == membership::State::kAlive) disseminator_.OnNodeReachable(now, node);
  if (!node.reachable()) disseminator_.OnNodeUnreachable(node);
  if (callbacks_.node_changed) callbacks_.node_changed(node);
}

void ClusterNode::CarryOutEffects() {
  // Callbacks may call this object again; the loop below carries out the effects of such calls.
  if (carrying_out_effects_) return;
  carrying_out_effects_ = true;
  base::Millis now = base::SteadyMillis();
  for (;;) {
    Membership::Effects membership = membership_.TakeEffects();
    for (const membership::Node& node : membership.changed) OnNodeChanged(now, node);
    Disseminator::Effects updates = disseminator_.TakeEffects();
    if (membership.empty() && updates.empty()) break;
    SendMembership(membership);
    SendUpdates(&updates);
    ReportAdopted(updates);
  }
  carrying_out_effects_ = false;
  ScheduleTick();
}

}  // namespace elderkeel::cluster
