#include "controller/controller.h"

#include <algorithm>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::controller {
namespace {

constexpr base::Millis kTickMs = 50;
constexpr base::Millis kBeginMs = 20;
constexpr base::Millis kJoinEveryMs = 400;
constexpr base::Millis kHolderPatienceMs = 1000;
constexpr base::Millis kLeaveMs = 800;
constexpr size_t kMaxControlBody = 16u << 20;

}  // namespace

namespace {

consensus::MemberId FounderId(const base::Address& address) {
  return base::Hash(address.ToString(), 7) | 1;
}

}  // namespace

Controller::Controller(base::Loop* loop, base::Settings settings, std::string settings_path)
    : loop_(loop),
      settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      assignment_(kHolderPatienceMs),
      boot_id_(base::RandomSeed() | 1) {}

consensus::Replica::Options Controller::ReplicaOptions(std::vector<base::Address> founders) const {
  consensus::Replica::Options options;
  options.self.ip = settings_.ip;
  options.self.port = settings_.ControllerPort();
  options.self.id = FounderId(options.self.address());
  options.self.control = settings_.control.ToString();
  options.self.zone = settings_.zone;
  options.bootstrap = settings_.bootstrap;
  options.data_dir = settings_.data_dir;
  options.timing.heartbeat_interval = settings_.raft_heartbeat_ms;
  options.timing.election_timeout = settings_.election_ms;
  options.tolerance.machines = static_cast<size_t>(settings_.tolerance_machines);
  options.tolerance.zones = static_cast<size_t>(settings_.tolerance_zones);
  options.tolerance.regions = static_cast<size_t>(settings_.tolerance_regions);
  options.regions = settings_.zones;
  std::vector<std::string> names;
  for (const base::Address& seed : settings_.seeds) names.push_back(seed.ToString());
  for (const base::Address& founder : founders) {
    consensus::Member member;
    member.ip = founder.ip;
    member.port = settings_.ControllerPort();
    member.id = FounderId(member.address());
    member.control = founder.ToString();
    if (const membership::Node* node = peers_->members().Find(member.address()))
      member.zone = node->zone;
    options.founders.push_back(member);
  }
  std::sort(options.founders.begin(), options.founders.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  std::sort(names.begin(), names.end());
  std::string all;
  for (const std::string& name : names) all += name + ",";
  options.cluster = base::Hash(all) | 1;
  return options;
}

// The founders are those of the seeds that have a disk, or all if none has: a vote that a loss of
// power forgets is no vote. All seeds are up at the first start, and whether a machine has a disk
// does not change, so every founder comes to the same list. Any other process joins.
bool Controller::Begin() {
  if (replica_->started()) return true;
  bool seed = std::find(settings_.seeds.begin(), settings_.seeds.end(), settings_.control) !=
              settings_.seeds.end();
  if (settings_.bootstrap && seed && !consensus::Replica::HasStore(settings_.data_dir)) {
    std::vector<base::Address> durable, all = settings_.seeds;
    for (const base::Address& address : all) {
      const membership::Node* node =
          peers_->members().Find({address.ip, settings_.ControllerPort()});
      if (!node) return false;
      if (node->durable) durable.push_back(address);
    }
    replica_->Start(ReplicaOptions(durable.empty() ? all : durable));
  } else {
    replica_->Start(ReplicaOptions({}));
  }
  for (const auto& [id, node] : peers_->members().nodes()) replica_->SetZone(node.ip, node.zone);
  return true;
}

bool Controller::HasZone(const std::string& zone) const {
  if (settings_.zones.count(zone)) return true;
  for (const discovery::Server& server : peers_->disseminator().endpoints().servers) {
    if (server.zone == zone) return true;
  }
  return false;
}

bool Controller::Idle() const {
  return settings_.data_dir.empty() && peers_->members().NearestDurable(true).has_value();
}

void Controller::SendOn(wire::HttpServer::Ticket ticket, const std::string& target) {
  auto to = peers_->members().NearestDurable(false);
  wire::Message answer = wire::OwnAnswer(to ? 307 : 503, "this controller has no part in the log");
  if (to) {
    // All controllers take the operator at the same port.
    answer.headers.push_back(
        {"Location", "http://" + to->ip + ":" + std::to_string(settings_.control.port) + target});
  } else {
    answer.headers.push_back({"Retry-After", "0.3"});
  }
  control_->Answer(ticket, answer);
}

base::Status Controller::Start() {
  dissemination::Peers::Hooks hooks;
  hooks.other = [this](const base::Address& from, wire::Kind kind, std::string_view payload) {
    OnMessage(from, kind, payload);
  };
  hooks.node_changed = [this](const membership::Node& node) {
    if (replica_) replica_->SetZone(node.ip, node.zone);
    Note("node." + std::string(membership::StateName(node.state)), node.address().ToString());
  };
  peers_ = std::make_unique<dissemination::Peers>(loop_, settings_,
                                                  membership::Program::kController, hooks);

  consensus::Replica::Callbacks log;
  log.send = [this](const base::Address& to, const consensus::Message& message) {
    peers_->mesh().Send(to, wire::Kind::kConsensus, message);
  };
  log.apply = [this](const consensus::Entry& entry) { Applied(entry); };
  log.all_applied = [this] {
    if (!state_.configuration.empty()) peers_->Commit(state_.configuration);
    peers_->Commit(state_.drained_zones);
    AdoptRollouts(base::SteadyMillis());
  };
  log.install = [this](const consensus::Snapshot& snapshot) {
    ControlState state;
    if (!snapshot.state.empty()) {
      if (auto decoded = ControlState::Read(snapshot.state)) {
        state = std::move(*decoded);
      } else {
        base::Warn("snapshot.decode_failed", {{"index", snapshot.index}});
      }
    }
    state_ = std::move(state);
    if (!state_.configuration.empty()) peers_->Commit(state_.configuration);
    peers_->Commit(state_.drained_zones);
    AdoptRollouts(base::SteadyMillis());
  };
  log.encode_state = [this] { return wire::Encode(state_); };
  log.read_finished = [this](uint64_t token, bool ok) { ReadDone(token, ok); };
  log.role_changed = [this] { RoleChanged(); };
  log.store_changed = [this](const std::string& event, const std::string& reason) {
    Note(event, reason);
  };
  operator_ = std::make_unique<configuration::OperatorApi>(
      this, &state_.configuration, &state_.drained_zones, &state_.rollouts,
      [this](uint64_t ticket, const wire::Message& answer) { control_->Answer(ticket, answer); });
  wire::HttpServer::Options server;
  server.limits = [] {
    wire::Limits limits;
    limits.body_bytes = kMaxControlBody;
    return limits;
  };
  server.notice_sleep = true;
  server.max_connections = 256;
  control_ = std::make_unique<wire::HttpServer>(
      loop_, server, [this](wire::HttpServer::Ticket ticket, wire::Message&& request) {
        OnRequest(ticket, std::move(request));
      });
  control_->OnGone([this](wire::HttpServer::Ticket ticket) { operator_->OnCallerGone(ticket); });
  platform_ = std::make_unique<discovery::PlatformClient>(loop_, settings_.platform);
  replica_ = std::make_unique<consensus::Replica>(loop_, std::move(log));
  auto started = peers_->Start();
  if (!started) return started;
  rollout::Observer::Options observer;
  observer.self = peers_->members().self().id;
  observer.boot_id = boot_id_;
  observer.canary_share = rollout::CanaryPolicy({settings_.canary_share}).CanaryShare();
  observer_ = std::make_unique<rollout::Observer>(observer);
  Begin();
  begin_.Repeat(loop_, kBeginMs, [this] {
    if (Begin()) begin_.Cancel();
  });
  if (settings_.directory.port != 0) {
    directory::Directory::Options resolution;
    resolution.ttl_most_s = std::max<int64_t>(1, static_cast<int64_t>(settings_.ttl_max_s));
    resolution.ttl_s =
        std::min(resolution.ttl_s, std::max<int64_t>(1, static_cast<int64_t>(settings_.ttl_max_s)));
    directory_ = std::make_unique<directory::Directory>(resolution, &peers_->members(),
                                                        base::RandomSeed(), base::SteadyMillis());
    wire::HttpServer::Options directory_options;
    directory_options.limits = [] { return wire::Limits(); };
    directory_options.max_connections = static_cast<size_t>(settings_.max_fds / 4);
    directory_server_ = std::make_unique<wire::HttpServer>(
        loop_, directory_options, [this](wire::HttpServer::Ticket ticket, wire::Message&& request) {
          directory_server_->Answer(ticket, directory_->Answer(base::SteadyMillis(), request));
        });
    auto serving = directory_server_->Listen(settings_.directory);
    if (!serving) return serving;
  }
  auto listening = control_->Listen(settings_.control);
  if (!listening) return listening;
  watch_ = std::make_unique<lifecycle::SettingsWatcher>(
      loop_, settings_path_, [this](const base::Settings& taken) {
        base::SetLogLevel(base::ParseLogLevel(taken.log_level, base::LogLevel::kInfo));
        settings_.poll_ms = taken.poll_ms;
        settings_.seeds = taken.seeds;
      });
  loop_->OnSignal(SIGTERM, [this] { Terminate(); });
  tick_.Repeat(loop_, kTickMs, [this] { Tick(); });
  base::Info("controller.started", {{"node", settings_.node_name},
                                    {"control", settings_.control.ToString()},
                                    {"version", ELDERKEEL_VERSION}});
  return {};
}

void Controller::Note(std::string what, std::string detail) {
  journal_.Append({base::SteadyMillis(), std::move(what), std::move(detail)});
}

std::optional<std::string> Controller::leader_control() const {
  auto leader = replica_->raft().LeaderInContact(base::SteadyMillis());
  if (!leader || leader->control.empty()) return std::nullopt;
  return leader->control;
}

void Controller::OnRequest(wire::HttpServer::Ticket ticket, wire::Message&& request) {
  base::Millis now = base::SteadyMillis();
  if (configuration::IsOperatorPath(request.Path())) {
    if (Idle() || !replica_->store_error().empty()) {
      SendOn(ticket, request.target);
      return;
    }
    if (!replica_->running()) {
      control_->Answer(ticket, wire::OwnAnswer(503, "this controller has only just started"));
      return;
    }
    operator_->OnRequest(now, ticket, request);
  } else if (request.Path() == "/elderkeel/rollout-report") {
    AnswerRollouts(ticket, request);
  } else if (request.Path() == "/elderkeel/status") {
    if (request.method == "GET") {
      diagnosis::Question how;
      how.about = diagnosis::Question::About::kNode;
      Ask(ticket, how);
    } else {
      control_->Answer(ticket, wire::OwnAnswer(405, "GET only"));
    }
  } else if (request.Path() == "/elderkeel/diagnose" || request.Path() == "/elderkeel/failures") {
    size_t query = request.target.find('?');
    std::string_view text =
        query == std::string::npos ? "" : std::string_view(request.target).substr(query + 1);
    Diagnose(ticket, request.Path() == "/elderkeel/failures"
                         ? diagnosis::Question::ParseFailures(text)
                         : diagnosis::Question::Parse(text));
  } else {
    control_->Answer(ticket, wire::OwnAnswer(404, "no such path"));
  }
}

void Controller::OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload) {
  base::Millis now = base::SteadyMillis();
  if (!replica_->running() && kind != wire::Kind::kQueryReply) return;
  switch (kind) {
    case wire::Kind::kConsensus:
      if (auto m = wire::Decode<consensus::Message>(payload)) replica_->Receive(*m, from);
      break;
    case wire::Kind::kJoin: {
      auto member = wire::Decode<consensus::Member>(payload);
      if (!member) break;
      // A log on disks takes in nobody who has none.
      const membership::Node* node = peers_->members().Find(member->address());
      if (!settings_.data_dir.empty() && (!node || !node->durable)) break;
      if (is_leader()) {
        replica_->AddLearner(*member);
      } else if (auto leader = replica_->raft().leader();
                 leader && leader->address() != from && leader->address() != member->address()) {
        peers_->mesh().Send(leader->address(), wire::Kind::kJoin, *member);
      }
      break;
    }
    case wire::Kind::kConfirm:
      if (auto m = wire::Decode<dissemination::Confirm>(payload)) OnConfirm(from, *m);
      break;
    case wire::Kind::kQueryReply:
      if (auto m = wire::Decode<diagnosis::Reply>(payload)) {
        for (Asking& asking : inquiries_) asking.inquiry.Take(from.ToString(), *m);
        FinishInquiries(now);
      }
      break;
    case wire::Kind::kResign: {
      auto m = wire::Decode<singleton::Resignation>(payload);
      if (!m || !is_leader()) break;
      if (auto named = assignment_.OnResignation(now, state_.catalog_reader, Candidates(now), *m)) {
        replica_->Propose(MakeCommand(Command::Kind::kCatalogReader, *named));
      }
      break;
    }
    case wire::Kind::kProxyReport:
      if (auto m = wire::Decode<rollout::ProxyReport>(payload)) OnProxyReport(from, *m);
      break;
    case wire::Kind::kVote:
      if (auto m = wire::Decode<rollout::Vote>(payload)) coordinator_.OnVote(now, *m);
      break;
    default:
      break;
  }
}

void Controller::OnConfirm(const base::Address& from, const dissemination::Confirm& confirm) {
  if (HasCommittedInTerm() && confirms_.size() < 1024) {
    uint64_t token = next_token_++;
    confirms_[token] = {from, confirm.nonce};
    if (replica_->ConfirmRead(token)) return;
    confirms_.erase(token);
  }
  dissemination::ConfirmReply reply;
  reply.nonce = confirm.nonce;
  if (auto leader = replica_->raft().LeaderInContact(base::SteadyMillis());
      leader && !is_leader()) {
    reply.leader_ip = leader->ip;
    reply.leader_port = leader->port;
  } else if (auto neighbour = peers_->members().NearestDurable(false); neighbour && !is_leader()) {
    reply.leader_ip = neighbour->ip;
    reply.leader_port = neighbour->port;
  }
  peers_->mesh().Send(from, wire::Kind::kConfirmReply, reply);
}

void Controller::ReadDone(uint64_t token, bool confirmed) {
  if (token >= configuration::OperatorApi::kFirstToken) {
    operator_->OnReadFinished(base::SteadyMillis(), token, confirmed);
    return;
  }
  if (token == vouch_token_) {
    vouch_token_ = 0;
    if (confirmed) peers_->VouchForLog(vouch_asked_at_);
    return;
  }
  auto at = confirms_.find(token);
  if (at == confirms_.end()) return;
  dissemination::ConfirmReply reply;
  reply.nonce = at->second.nonce;
  if (confirmed) {
    reply.confirmed = true;
    reply.versions = {state_.configuration.revision(), state_.drained_zones.version(),
                      state_.rollouts.version()};
  }
  peers_->mesh().Send(at->second.from, wire::Kind::kConfirmReply, reply);
  confirms_.erase(at);
}

void Controller::Applied(const consensus::Entry& entry) {
  switch (state_.Apply(entry.data)) {
    case ControlState::Effect::kConfiguration:
      base::Info("configuration.committed", {{"revision", state_.configuration.revision()},
                                             {"index", entry.index},
                                             {"term", entry.term}});
      Note("configuration.committed", std::to_string(state_.configuration.revision()));
      break;
    case ControlState::Effect::kCatalogReader:
      base::Info("catalog_reader.assigned", {{"owner", state_.catalog_reader.owner},
                                             {"epoch", state_.catalog_reader.epoch},
                                             {"self", IsCatalogReader()}});
      Note("catalog_reader.assigned", std::to_string(state_.catalog_reader.owner));
      assignment_.Clear();
      read_ok_at_ = base::SteadyMillis();
      poll_at_ = 0;
      WatchPlatform(base::SteadyMillis());
      break;
    case ControlState::Effect::kZoneDrain: {
      std::string zones;
      for (const std::string& zone : state_.drained_zones.zones())
        zones += (zones.empty() ? "" : ",") + zone;
      base::Info("zone_drain.changed",
                 {{"version", state_.drained_zones.version()}, {"zones", zones}});
      Note("zone_drain.changed", zones.empty() ? "no zone" : zones);
      break;
    }
    case ControlState::Effect::kRollout:
      AdoptRollouts(base::SteadyMillis());
      break;
    case ControlState::Effect::kNone:
      break;
  }
  operator_->OnApplied(base::SteadyMillis(), entry.index);
}

void Controller::RoleChanged() {
  const consensus::RaftNode& m = replica_->raft();
  auto leader = m.leader();
  base::Info("role.changed", {{"role", consensus::RoleName(m.role())},
                              {"term", m.term()},
                              {"leader", leader ? leader->address().ToString() : "none"}});
  Note("role." + std::string(consensus::RoleName(m.role())), std::to_string(m.term()));
  if (!is_leader()) assignment_.Clear();
  operator_->OnRoleChanged();
}

void Controller::Tick() {
  base::Millis now = base::SteadyMillis();
  FinishInquiries(now);
  if (!replica_->running()) return;
  operator_->Tick(now);
  SeekMembership(now);
  if (is_leader() && !leaving_) {
    ReviewCatalogReader(now);
    ReviewRollouts(now);
  }
  if (observer_->active()) SendVotes(now);
  WatchPlatform(now);
  Vouch(now);
}

bool Controller::HasService(const std::string& service) const {
  return state_.configuration.document().HasService(service);
}

bool Controller::HearsLeader(base::Millis now) const {
  const consensus::RaftNode& m = replica_->raft();
  return is_leader() ? HasCommittedInTerm() && m.LeaderInContact(now)
                     : m.last_leader_contact() != 0 &&
                           now - m.last_leader_contact() < settings_.election_ms * 2;
}

// A controller that no leader speaks to asks to be taken in, wherever it can.
void Controller::SeekMembership(base::Millis now) {
  if (leaving_ || is_leader() || now < join_at_ || Idle()) return;
  if (!replica_->store_error().empty()) return;
  if (HearsLeader(now)) return;
  join_at_ = now + kJoinEveryMs;
  for (const base::Address& address : peers_->Controllers()) {
    peers_->mesh().Send(address, wire::Kind::kJoin, replica_->self());
  }
}

void Controller::Terminate() {
  if (leaving_) return;
  base::Millis now = base::SteadyMillis();
  base::Info("controller.stopping");
  if (IsCatalogReader()) Resign(now, "leaving");
  leaving_ = true;
  if (directory_server_) directory_server_->SetLeaving(true);
  // The duty's entry goes out before leadership does.
  leave_.Start(loop_, IsCatalogReader() && is_leader() ? 150 : 0, [this, now] {
    if (replica_->running()) {
      replica_->Leave();
      replica_->TransferLeadership();
    }
    peers_->Leave();
    control_->SetLeaving(true);
    leave_.Start(loop_, kLeaveMs, [this, now] { End(now); });
  });
}

// Ends once what this member holds is elsewhere. At the bound it ends all the same: the platform
// would kill it, and its disk may well come back.
void Controller::End(base::Millis since) {
  base::Millis waited = base::SteadyMillis() - since;
  bool may_stop = !replica_->running() || Idle() || replica_->raft().may_stop();
  if (!may_stop && waited < settings_.grace_s * 1000 - kLeaveMs) {
    leave_.Start(loop_, kTickMs, [this, since] { End(since); });
    return;
  }
  base::Info("controller.stopped", {{"departed", may_stop}, {"waited_ms", waited}});
  loop_->Stop();
}

}  // namespace elderkeel::controller
