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

constexpr base::Millis kTickMs = 50;
constexpr size_t kDatagramBytes = 1300;  // that one datagram carries without being split on its way

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
  self.front = program == Program::kProxy ? settings.front.port : 0;
  self.durable = program == Program::kController && !settings.data_dir.empty();
  options.regions = settings.zones;
  options.heartbeat = settings.heartbeat_ms;
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

// A node is out of date for half of the time that the platform allows at most. The sum that this
// follows from stands in docs/dissemination.md.
Disseminator::Options DisseminatorOptions(const base::Settings& settings, Program program) {
  Disseminator::Options options;
  base::Millis bound = settings.PropagationMs();
  options.max_age = program == Program::kController ? bound / 3 : bound * 3 / 5;
  options.seeds = SeedNodes(settings, program);
  options.seed = base::RandomSeed();
  options.digest_every = settings.digest_ms;
  return options;
}

}  // namespace

ClusterNode::ClusterNode(base::Loop* loop, const base::Settings& settings, Program program,
                         Callbacks callbacks)
    : loop_(loop),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      mesh_(loop, {settings.ip, PortOf(settings, program)},
            [this](const base::Address& from, transport::Kind kind, std::string_view payload) {
              OnMessage(from, kind, payload);
            }),
      membership_(MembershipOptions(settings, program), SeedNodes(settings, program),
                  base::SteadyMillis()),
      disseminator_(DisseminatorOptions(settings, program), &membership_, base::SteadyMillis()) {}

base::Status ClusterNode::Start() {
  base::Status listening = mesh_.Listen();
  if (listening) Tick();
  return listening;
}

void ClusterNode::WatchSettings(const std::string& path,
                                lifecycle::SettingsWatcher::Changed changed) {
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
  Pump();
}

void ClusterNode::ScheduleTick() {
  base::Millis now = base::SteadyMillis();
  base::Millis due = std::min(membership_.DueAt(), disseminator_.DueAt());
  base::Millis wait = base::UntilMultiple(now, std::max<base::Millis>(due - now, 1), kTickMs);
  if (next_tick_at_ != 0 && next_tick_at_ <= now + wait) return;
  next_tick_at_ = now + wait;
  tick_timer_.Start(loop_, wait, [this] { Tick(); });
}

void ClusterNode::Leave() {
  membership_.Leave(base::SteadyMillis());
  Pump();
}

void ClusterNode::Commit(const configuration::ConfigurationState& state) {
  disseminator_.Commit(base::SteadyMillis(), state);
  Pump();
}

void ClusterNode::Commit(const zone_drain::DrainedZones& drained_zones) {
  disseminator_.Commit(drained_zones);
  Pump();
}

void ClusterNode::Commit(const rollout::Rollouts& rollouts) {
  disseminator_.Commit(rollouts);
  Pump();
}

void ClusterNode::OnRolloutVersion(const base::Address& from, uint64_t version) {
  disseminator_.OnRolloutVersion(base::SteadyMillis(), from, version);
  Pump();
}

bool ClusterNode::Publish(base::Millis asked_at, discovery::EndpointSnapshot endpoints) {
  bool taken = disseminator_.Publish(base::SteadyMillis(), asked_at, std::move(endpoints));
  Pump();
  return taken;
}

void ClusterNode::ConfirmEndpoints(base::Millis asked_at, uint64_t epoch) {
  disseminator_.Confirm(base::SteadyMillis(), asked_at, epoch);
  Pump();
}

void ClusterNode::VouchForLog(base::Millis as_of) {
  disseminator_.VouchForLog(as_of);
  Pump();
}

void ClusterNode::VouchForEndpoints() { disseminator_.VouchForEndpoints(base::SteadyMillis()); }

void ClusterNode::SetVouchers(std::optional<base::Address> leader,
                              std::optional<base::Address> reader) {
  disseminator_.SetVouchers(std::move(leader), std::move(reader));
}

void ClusterNode::RejectConfiguration() { disseminator_.RejectConfiguration(); }

bool ClusterNode::AdoptOwnReading(discovery::Reading reading) {
  bool adopted = disseminator_.AdoptOwnReading(reading.asked_at, std::move(reading.servers));
  Pump();
  return adopted;
}

void ClusterNode::RequestDigest(const base::Address& to) {
  Digest digest = disseminator_.OwnDigest(base::SteadyMillis());
  digest.answer = true;
  SendDigest(to, std::move(digest));
}

void ClusterNode::SetReady(bool ready) {
  membership_.SetReady(ready);
  Pump();
}

std::vector<base::Address> ClusterNode::Controllers() const {
  std::vector<base::Address> controllers, far;
  for (const membership::Node* node : membership_.ReachableOthers()) {
    if (node->program != Program::kController) continue;
    (node->zone == settings_.zone ? controllers : far).push_back(node->address());
  }
  controllers.insert(controllers.end(), far.begin(), far.end());
  // Those without a disk have no part in the log where others have one.
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

// --- received ---

template <class Message, class Use>
void ClusterNode::Decoded(const base::Address& from, std::string_view payload, Use use) {
  if (auto message = transport::Decode<Message>(payload)) {
    use(*message);
    return;
  }
  // A frame whose checksum holds and yet can't be decoded comes from another version of the
  // program.
  base::Warn("message.dropped", base::Error{base::ErrorCode::kProtocolError, "dissemination.read",
                                            from.ToString(), "can't be read"});
}

void ClusterNode::OnMessage(const base::Address& from, transport::Kind kind,
                            std::string_view payload) {
  base::Millis now = base::SteadyMillis();
  bool handled = OnMembershipMessage(now, from, kind, payload) ||
                 OnDisseminationMessage(now, from, kind, payload);
  if (!handled && callbacks_.message) callbacks_.message(from, kind, payload);
  Pump();
}

bool ClusterNode::OnMembershipMessage(base::Millis now, const base::Address& from,
                                      transport::Kind kind, std::string_view payload) {
  switch (kind) {
    case transport::Kind::kHeartbeat:
      Decoded<membership::Heartbeat>(
          from, payload, [&](const auto& message) { membership_.OnHeartbeat(now, from, message); });
      return true;
    case transport::Kind::kMembershipUpdate:
      Decoded<membership::MembershipUpdate>(from, payload, [&](const auto& message) {
        membership_.OnMembershipUpdate(now, from, message);
      });
      return true;
    case transport::Kind::kPartDigests:
      Decoded<membership::PartDigests>(from, payload, [&](const auto& message) {
        membership_.OnPartDigests(now, from, message);
      });
      return true;
    case transport::Kind::kSummary:
      Decoded<membership::MembershipSummary>(
          from, payload, [&](const auto& message) { membership_.OnSummary(now, from, message); });
      return true;
    default:
      return false;
  }
}

bool ClusterNode::OnDisseminationMessage(base::Millis now, const base::Address& from,
                                         transport::Kind kind, std::string_view payload) {
  switch (kind) {
    case transport::Kind::kDigest:
      Decoded<Digest>(from, payload, [&](const auto& message) { OnDigest(now, from, message); });
      return true;
    case transport::Kind::kPullRequest:
      Decoded<dissemination::PullRequest>(from, payload, [&](const auto& message) {
        disseminator_.OnPullRequest(now, from, message);
      });
      return true;
    case transport::Kind::kSyncRequest:
      Decoded<dissemination::SyncRequest>(from, payload, [&](const auto& message) {
        disseminator_.OnSyncRequest(now, from, message);
      });
      return true;
    case transport::Kind::kSyncReply:
      Decoded<dissemination::SyncReply>(from, payload, [&](const auto& message) {
        disseminator_.OnSyncReply(now, from, message);
      });
      return true;
    case transport::Kind::kConfigurationUpdate:
      Decoded<dissemination::ConfigurationUpdate>(from, payload, [&](const auto& message) {
        disseminator_.OnConfigurationUpdate(now, from, message);
      });
      return true;
    case transport::Kind::kEndpointUpdate:
      Decoded<dissemination::EndpointUpdate>(from, payload, [&](const auto& message) {
        disseminator_.OnEndpointUpdate(now, from, message);
      });
      return true;
    case transport::Kind::kZoneDrainUpdate:
      Decoded<dissemination::ZoneDrainUpdate>(from, payload, [&](const auto& message) {
        disseminator_.OnZoneDrainUpdate(now, from, message);
      });
      return true;
    case transport::Kind::kRolloutUpdate:
      Decoded<dissemination::RolloutUpdate>(from, payload, [&](const auto& message) {
        disseminator_.OnRolloutUpdate(now, from, message);
      });
      return true;
    default:
      return false;
  }
}

void ClusterNode::OnDigest(base::Millis now, const base::Address& from, const Digest& digest) {
  // Averaging takes two: what goes back is what was here before the other's report was merged.
  if (digest.answer && callbacks_.load_report) reply_report_ = {from, callbacks_.load_report()};
  if (callbacks_.load_report_received && !digest.load.empty()) {
    callbacks_.load_report_received(digest.load);
  }
  disseminator_.OnDigest(now, from, digest);
}

// --- sent ---

void ClusterNode::SendSmall(const base::Address& to, transport::Kind kind,
                            const std::string& bytes) {
  bool sent =
      bytes.size() <= kDatagramBytes && mesh_.SendDatagram(to, kind, std::string_view(bytes));
  if (!sent) mesh_.Send(to, kind, std::string_view(bytes));
}

template <class Message>
void ClusterNode::SendUpdate(const base::Address& to, transport::Kind kind,
                             const Message& message) {
  if (!mesh_.Send(to, kind, message)) disseminator_.OnSendFailed(to);
}

template <class Message>
void ClusterNode::SendSync(const base::Address& to, transport::Kind kind, const Message& message,
                           bool reliable) {
  if (reliable || !mesh_.SendDatagram(to, kind, message)) mesh_.Send(to, kind, message);
}

void ClusterNode::SendDigest(const base::Address& to, Digest digest) {
  if (digest.answer) {
    if (callbacks_.load_report) digest.load = callbacks_.load_report();
  } else if (to == reply_report_.first) {
    digest.load = std::move(reply_report_.second);
    reply_report_ = {};
  }
  SendSync(to, transport::Kind::kDigest, digest, digest.reliable);
}

void ClusterNode::SendMembershipUpdate(const base::Address& to,
                                       const membership::MembershipUpdate& update) {
  // What a process says of itself, a refutation above all, must not be lost on a full link.
  const membership::Node& self = membership_.self();
  bool own = std::any_of(update.nodes.begin(), update.nodes.end(),
                         [&self](const membership::Node& node) { return node.id == self.id; });
  std::string bytes = transport::Encode(update);
  if (own && self.incarnation > 1) {
    mesh_.Send(to, transport::Kind::kMembershipUpdate, std::string_view(bytes));
  } else {
    SendSmall(to, transport::Kind::kMembershipUpdate, bytes);
  }
}

void ClusterNode::SendMembership(const Membership::Effects& effects) {
  for (const auto& [to, heartbeat] : effects.heartbeats) {
    mesh_.SendDatagram(to, transport::Kind::kHeartbeat, heartbeat);
  }
  for (const auto& [to, update] : effects.updates) SendMembershipUpdate(to, update);
  for (const auto& [to, digests] : effects.part_digests) {
    mesh_.SendDatagram(to, transport::Kind::kPartDigests, digests);
  }
  for (const auto& [to, summary] : effects.summaries) {
    SendSmall(to, transport::Kind::kSummary, transport::Encode(summary));
  }
}

void ClusterNode::SendUpdates(Disseminator::Effects* effects) {
  for (auto& [to, digest] : effects->digests) SendDigest(to, std::move(digest));
  for (const auto& [to, pull] : effects->pulls) mesh_.Send(to, transport::Kind::kPullRequest, pull);
  // Versions before endpoints: a node that knows of servers must know which it may send to.
  for (const auto& [to, update] : effects->rollouts) {
    SendUpdate(to, transport::Kind::kRolloutUpdate, update);
  }
  for (const auto& [to, update] : effects->configuration_updates) {
    SendUpdate(to, transport::Kind::kConfigurationUpdate, update);
  }
  for (const auto& [to, update] : effects->endpoint_updates) {
    SendUpdate(to, transport::Kind::kEndpointUpdate, update);
  }
  for (const auto& [to, update] : effects->zone_drains) {
    SendUpdate(to, transport::Kind::kZoneDrainUpdate, update);
  }
  for (const auto& [to, request] : effects->sync_requests) {
    SendSync(to, transport::Kind::kSyncRequest, request, request.reliable);
  }
  for (const auto& reply : effects->sync_replies) {
    SendSync(reply.to, transport::Kind::kSyncReply, reply.reply, reply.follows);
  }
}

void ClusterNode::ReportAdopted(const Disseminator::Effects& effects) {
  if (effects.rollouts_adopted && callbacks_.rollouts_adopted) callbacks_.rollouts_adopted();
  if (effects.configuration_adopted && callbacks_.configuration_adopted) {
    callbacks_.configuration_adopted();
  }
  if (effects.endpoints_adopted) {
    const discovery::EndpointSnapshot& endpoints = disseminator_.endpoints();
    const auto& from = effects.endpoints_from;
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

void ClusterNode::Pump() {
  if (pumping_) return;  // callbacks may call in; the outer loop takes what they caused
  pumping_ = true;
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
  pumping_ = false;
  ScheduleTick();
}

}  // namespace elderkeel::cluster
