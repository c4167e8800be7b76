#include "controller/controller.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "base/log.h"
#include "base/random.h"
#include "controller/status_writer.h"
#include "lifecycle/shutdown_schedule.h"

namespace elderkeel::controller {
namespace {

constexpr base::Millis kTickIntervalMs = 50;
constexpr base::Millis kReplicaStartIntervalMs = 20;
constexpr base::Millis kJoinIntervalMs = 400;
// Before leadership is transferred, so that the entry that assigns another catalog reader is sent.
constexpr base::Millis kRoleHandOverMs = 150;
// After leadership was transferred, so that another controller can take over.
constexpr base::Millis kLeadershipHandOverMs = 800;
constexpr size_t kMaxControlBodyBytes = 16u << 20;
constexpr size_t kMaxControlConnections = 256;
constexpr const char* kRetryAfterS = "0.3";
constexpr const char* kShuttingDown = "this controller is shutting down";

// The id of an initial voter, which every controller derives from its address; never 0, which
// stands for no member.
consensus::MemberId FounderId(const base::Address& address) {
  return base::Hash(address.ToString(), 7) | 1;
}

// The id of the cluster. The initial voters derive the same id without exchanging a message: it is
// a hash of the sorted addresses of the seeds.
uint64_t ClusterId(const std::vector<base::Address>& seeds) {
  std::vector<std::string> names;
  names.reserve(seeds.size());
  for (const base::Address& seed : seeds) names.push_back(seed.ToString());
  std::sort(names.begin(), names.end());
  std::string all;
  for (const std::string& name : names) all += name + ",";
  return base::Hash(all) | 1;
}

// The part of a request's target after `separator`; empty if the target does not contain it.
std::string_view TargetAfter(const http::Message& request, std::string_view separator) {
  std::string_view target = request.target;
  size_t found = target.find(separator);
  return found == std::string_view::npos ? "" : target.substr(found + separator.size());
}

http::Message Redirect(const char* reason, const std::string& address, const std::string& target) {
  http::Message answer = http::OwnAnswer(307, reason);
  answer.headers.push_back({"Location", "http://" + address + target});
  return answer;
}

http::Message Unavailable(const char* reason) {
  http::Message answer = http::OwnAnswer(503, reason);
  answer.headers.push_back({"Retry-After", kRetryAfterS});
  return answer;
}

}  // namespace

Controller::Controller(base::Loop* loop, base::Settings settings, std::string settings_path)
    : loop_(loop),
      settings_path_(std::move(settings_path)),
      context_(loop, std::move(settings), base::RandomSeed() | 1),
      catalog_poller_(&context_),
      freshness_confirmer_(&context_, &catalog_poller_),
      confirmations_(&context_) {}

base::Status Controller::Start() {
  MakeNode();
  MakeReplica();
  MakeOperatorApi();
  base::Status started = context_.node->Start();
  if (!started) return started;
  rollouts_ = std::make_unique<RolloutManager>(&context_);
  StartReplica();
  start_timer_.Repeat(loop_, kReplicaStartIntervalMs, [this] {
    if (StartReplica()) start_timer_.Cancel();
  });
  started = StartDirectory();
  if (!started) return started;
  started = control_server_->Listen(context_.settings.control);
  if (!started) return started;
  context_.node->WatchSettings(settings_path_, [this](const base::Settings& settings) {
    context_.settings.poll_ms = settings.poll_ms;
    context_.settings.seeds = settings.seeds;
  });
  loop_->OnSignal(SIGTERM, [this] { Terminate(); });
  tick_timer_.Repeat(loop_, kTickIntervalMs, [this] { Tick(); });
  base::Info("controller.started", {{"node", context_.settings.node_name},
                                    {"control", context_.settings.control.ToString()},
                                    {"version", ELDERKEEL_VERSION}});
  return {};
}

void Controller::MakeNode() {
  cluster::ClusterNode::Callbacks callbacks;
  callbacks.message = [this](const base::Address& from, transport::MessageKind kind,
                             std::string_view payload) { OnMessage(from, kind, payload); };
  callbacks.node_changed = [this](const membership::Node& node) {
    if (context_.replica) context_.replica->SetZone(node.ip, node.zone);
    context_.RecordEvent("node." + std::string(membership::StateName(node.state)),
                         node.address().ToString());
  };
  context_.node = std::make_unique<cluster::ClusterNode>(
      loop_, context_.settings, membership::Program::kController, std::move(callbacks));
}

void Controller::MakeReplica() {
  consensus::Replica::Callbacks callbacks;
  callbacks.send = [this](const base::Address& to, const consensus::Message& message) {
    context_.node->mesh().Send(to, transport::MessageKind::kConsensus, message);
  };
  callbacks.apply = [this](const consensus::Entry& entry) { OnApplied(entry); };
  callbacks.all_applied = [this] { PublishState(); };
  callbacks.install = [this](const consensus::Snapshot& snapshot) {
    OnSnapshotInstalled(snapshot);
  };
  callbacks.encode_state = [this] { return transport::Encode(context_.state); };
  callbacks.read_finished = [this](uint64_t token, bool confirmed) {
    OnReadFinished(token, confirmed);
  };
  callbacks.role_changed = [this] { OnRoleChanged(); };
  callbacks.store_changed = [this](const std::string& event, const std::string& reason) {
    context_.RecordEvent(event, reason);
  };
  context_.replica = std::make_unique<consensus::Replica>(loop_, std::move(callbacks));
}

void Controller::MakeOperatorApi() {
  auto answer = [this](uint64_t ticket, const http::Message& message) {
    control_server_->Respond(ticket, message);
  };
  const ControlState& state = context_.state;
  operator_api_ = std::make_unique<configuration::OperatorApi>(
      this, &state.configuration, &state.drained_zones, &state.rollouts, answer);
  diagnosis_ = std::make_unique<DiagnosisService>(
      &context_,
      [this](const diagnosis::FleetQuery& nodes) {
        return WriteStatus(context_, nodes, base::SteadyMillis());
      },
      answer);
  http::HttpServer::Options options;
  options.limits = [] {
    http::Limits limits;
    limits.body_bytes = kMaxControlBodyBytes;
    return limits;
  };
  options.detect_suspension = true;
  options.max_connections = kMaxControlConnections;
  control_server_ = std::make_unique<http::HttpServer>(
      loop_, options,
      [this](Ticket ticket, http::Message&& request) { OnRequest(ticket, std::move(request)); });
  control_server_->OnClientClosed(
      [this](Ticket ticket) { operator_api_->OnCallerDisconnected(ticket); });
}

base::Status Controller::StartDirectory() {
  const base::Settings& settings = context_.settings;
  if (settings.directory.port == 0) return {};
  directory::Directory::Options options;
  auto max_ttl_s = std::max<int64_t>(1, static_cast<int64_t>(settings.ttl_max_s));
  options.other_region_ttl_s = max_ttl_s;
  options.ttl_s = std::min(options.ttl_s, max_ttl_s);
  directory_ = std::make_unique<directory::Directory>(options, &context_.node->membership(),
                                                      base::RandomSeed(), base::SteadyMillis());
  http::HttpServer::Options server_options;
  server_options.limits = [] { return http::Limits(); };
  server_options.max_connections = static_cast<size_t>(settings.max_fds / 4);
  directory_server_ = std::make_unique<http::HttpServer>(
      loop_, server_options, [this](Ticket ticket, http::Message&& request) {
        directory_server_->Respond(ticket, directory_->Answer(base::SteadyMillis(), request));
      });
  return directory_server_->Listen(settings.directory);
}

// --- the log ---

consensus::Replica::Options Controller::ReplicaOptions(
    const std::vector<base::Address>& initial_voters) const {
  const base::Settings& settings = context_.settings;
  consensus::Replica::Options options;
  options.self.ip = settings.ip;
  options.self.port = settings.ControllerPort();
  options.self.id = FounderId(options.self.address());
  options.self.control = settings.control.ToString();
  options.self.zone = settings.zone;
  options.bootstrap = settings.bootstrap;
  options.data_dir = settings.data_dir;
  options.timing.heartbeat_interval = settings.raft_heartbeat_ms;
  options.timing.election_timeout = settings.election_ms;
  options.tolerance.machines = static_cast<size_t>(settings.tolerance_machines);
  options.tolerance.zones = static_cast<size_t>(settings.tolerance_zones);
  options.tolerance.regions = static_cast<size_t>(settings.tolerance_regions);
  options.regions = settings.zones;
  options.cluster = ClusterId(settings.seeds);
  for (const base::Address& initial_voter : initial_voters) {
    consensus::Member member;
    member.ip = initial_voter.ip;
    member.port = settings.ControllerPort();
    member.id = FounderId(member.address());
    member.control = initial_voter.ToString();
    const membership::Node* node = context_.node->membership().Find(member.address());
    if (node) member.zone = node->zone;
    options.initial_voters.push_back(member);
  }
  std::sort(options.initial_voters.begin(), options.initial_voters.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return options;
}

// The initial voters are the seeds that have a disk, or all seeds if none has one: a voter that
// forgets its vote in a power loss could vote twice in one term. All seeds are up at the first
// start of the cluster, and whether a machine has a disk does not change, so every seed computes
// the same list. Returns none while membership has not discovered every seed.
std::optional<std::vector<base::Address>> Controller::InitialVoters() const {
  const base::Settings& settings = context_.settings;
  std::vector<base::Address> durable;
  for (const base::Address& seed : settings.seeds) {
    const membership::Node* node =
        context_.node->membership().Find({seed.ip, settings.ControllerPort()});
    if (!node) return std::nullopt;
    if (node->durable) durable.push_back(seed);
  }
  return durable.empty() ? settings.seeds : durable;
}

// Starts the replica unless that must wait for InitialVoters(); returns whether it has started. A
// process that is not an initial voter joins the log through RequestMembership().
bool Controller::StartReplica() {
  if (context_.replica->started()) return true;
  const base::Settings& settings = context_.settings;
  bool is_seed = std::find(settings.seeds.begin(), settings.seeds.end(), settings.control) !=
                 settings.seeds.end();
  bool bootstraps =
      settings.bootstrap && is_seed && !consensus::Replica::HasStore(settings.data_dir);
  std::vector<base::Address> initial_voters;
  if (bootstraps) {
    auto voters = InitialVoters();
    if (!voters) return false;
    initial_voters = std::move(*voters);
  }
  context_.replica->Start(ReplicaOptions(initial_voters));
  for (const auto& [id, node] : context_.node->membership().nodes()) {
    context_.replica->SetZone(node.ip, node.zone);
  }
  return true;
}

std::optional<std::string> Controller::leader_control_address() const {
  auto leader = context_.replica->raft().LeaderInContact(base::SteadyMillis());
  if (!leader || leader->control.empty()) return std::nullopt;
  return leader->control;
}

std::optional<uint64_t> Controller::Propose(const configuration::Change& change) {
  return context_.replica->Propose(MakeCommand(Command::Kind::kConfiguration, change));
}

std::optional<uint64_t> Controller::Propose(const zone_drain::DrainOrder& order) {
  return context_.replica->Propose(MakeCommand(Command::Kind::kZoneDrain, order));
}

std::optional<uint64_t> Controller::Propose(const rollout::RolloutOrder& order) {
  return rollouts_->Propose(order);
}

bool Controller::HasZone(const std::string& zone) const {
  if (context_.settings.zones.count(zone)) return true;
  const auto& servers = context_.node->disseminator().endpoints().servers;
  return std::any_of(servers.begin(), servers.end(),
                     [&zone](const discovery::Server& server) { return server.zone == zone; });
}

bool Controller::HasService(const std::string& service) const {
  return context_.state.configuration.document().HasService(service);
}

void Controller::OnApplied(const consensus::Entry& entry) {
  base::Millis now = base::SteadyMillis();
  const ControlState& state = context_.state;
  switch (context_.state.Apply(entry.data)) {
    case ControlState::Effect::kConfiguration:
      base::Info("configuration.committed", {{"revision", state.configuration.revision()},
                                             {"index", entry.index},
                                             {"term", entry.term}});
      context_.RecordEvent("configuration.committed",
                           std::to_string(state.configuration.revision()));
      break;
    case ControlState::Effect::kCatalogReader:
      base::Info("catalog_reader.assigned", {{"owner", state.catalog_reader.owner},
                                             {"epoch", state.catalog_reader.epoch},
                                             {"self", catalog_poller_.IsReader()}});
      context_.RecordEvent("catalog_reader.assigned", std::to_string(state.catalog_reader.owner));
      catalog_poller_.OnAssigned(now);
      break;
    case ControlState::Effect::kZoneDrain:
      OnZoneDrainsChanged();
      break;
    case ControlState::Effect::kRollout:
      rollouts_->OnStateChanged(now);
      break;
    case ControlState::Effect::kNone:
      break;
  }
  operator_api_->OnApplied(base::SteadyMillis(), entry.index);
}

void Controller::OnZoneDrainsChanged() {
  const zone_drain::DrainedZones& drained = context_.state.drained_zones;
  std::string zones;
  for (const std::string& zone : drained.zones()) zones += (zones.empty() ? "" : ",") + zone;
  base::Info("zone_drain.changed", {{"version", drained.version()}, {"zones", zones}});
  context_.RecordEvent("zone_drain.changed", zones.empty() ? "no zone" : zones);
}

void Controller::OnSnapshotInstalled(const consensus::Snapshot& snapshot) {
  ControlState state;
  if (!snapshot.state.empty()) {
    if (auto decoded = ControlState::Decode(snapshot.state)) {
      state = std::move(*decoded);
    } else {
      base::Warn("snapshot.decode_failed", {{"index", snapshot.index}});
    }
  }
  context_.state = std::move(state);
  PublishState();
}

void Controller::PublishState() {
  const ControlState& state = context_.state;
  if (!state.configuration.empty()) context_.node->Commit(state.configuration);
  context_.node->Commit(state.drained_zones);
  rollouts_->OnStateChanged(base::SteadyMillis());
}

void Controller::OnReadFinished(uint64_t token, bool confirmed) {
  if (token >= configuration::OperatorApi::kFirstToken) {
    operator_api_->OnReadFinished(base::SteadyMillis(), token, confirmed);
  } else if (!freshness_confirmer_.OnReadFinished(token, confirmed)) {
    confirmations_.OnReadFinished(token, confirmed);
  }
}

void Controller::OnRoleChanged() {
  const consensus::RaftNode& raft = context_.replica->raft();
  auto leader = raft.leader();
  const char* role = consensus::RoleName(raft.role());
  base::Info("role.changed", {{"role", role},
                              {"term", raft.term()},
                              {"leader", leader ? leader->address().ToString() : "none"}});
  context_.RecordEvent("role." + std::string(role), std::to_string(raft.term()));
  if (!raft.is_leader()) catalog_poller_.OnLeadershipLost();
  operator_api_->OnRoleChanged();
}

// Asks all known controllers to admit this one to the log, while it is not in contact with a
// leader.
void Controller::RequestMembership(base::Millis now) {
  if (context_.stopping || is_leader() || now < next_join_at_ || context_.IsExcludedFromLog())
    return;
  if (!context_.replica->store_error().empty()) return;
  if (context_.IsInContactWithLeader(now)) return;
  next_join_at_ = now + kJoinIntervalMs;
  for (const base::Address& address : context_.node->ControllersToContact()) {
    context_.node->mesh().Send(address, transport::MessageKind::kJoin, context_.replica->self());
  }
}

void Controller::OnJoin(const base::Address& from, const consensus::Member& member) {
  // Where the log is stored on disks, a controller without one is not admitted.
  const membership::Node* node = context_.node->membership().Find(member.address());
  if (!context_.settings.data_dir.empty() && (!node || !node->durable)) return;
  if (is_leader()) {
    context_.replica->AddLearner(member);
    return;
  }
  auto leader = context_.replica->raft().leader();
  if (leader && leader->address() != from && leader->address() != member.address()) {
    context_.node->mesh().Send(leader->address(), transport::MessageKind::kJoin, member);
  }
}

// --- requests over HTTP ---

void Controller::OnRequest(Ticket ticket, http::Message&& request) {
  if (rejecting_) {
    control_server_->Respond(ticket, Unavailable(kShuttingDown));
    return;
  }
  std::string_view path = request.Path();
  if (configuration::IsOperatorPath(path)) {
    OnOperatorRequest(ticket, request);
  } else if (path == "/elderkeel/rollout-report") {
    OnRolloutReportRequest(ticket, request);
  } else if (path == "/elderkeel/status") {
    OnStatusRequest(ticket, request);
  } else if (path == "/elderkeel/diagnose" || path == "/elderkeel/failures") {
    OnDiagnosisRequest(ticket, request);
  } else {
    control_server_->Respond(ticket, http::OwnAnswer(404, "no such path"));
  }
}

void Controller::OnOperatorRequest(Ticket ticket, const http::Message& request) {
  if (context_.IsExcludedFromLog() || !context_.replica->store_error().empty()) {
    RedirectToDurable(ticket, request.target);
  } else if (!context_.replica->running()) {
    control_server_->Respond(
        ticket,
        http::OwnAnswer(
            503, "this controller is still starting: its replica of the log is not running"));
  } else {
    operator_api_->OnRequest(base::SteadyMillis(), ticket, request);
  }
}

void Controller::RedirectToDurable(Ticket ticket, const std::string& target) {
  const char* reason =
      "this controller takes no part in the log: it has no disk, or its store is not open";
  auto durable = context_.node->membership().NearestDurable(false);
  if (!durable) {
    control_server_->Respond(ticket, Unavailable(reason));
    return;
  }
  // All controllers use the same control port.
  base::Address control{durable->ip, context_.settings.control.port};
  control_server_->Respond(ticket, Redirect(reason, control.ToString(), target));
}

// Only the leader holds the votes. Another controller redirects to it or, if it has no contact with
// a leader, answers from its own copy of the log's state.
void Controller::OnRolloutReportRequest(Ticket ticket, const http::Message& request) {
  if (request.method != "GET") {
    control_server_->Respond(ticket, http::OwnAnswer(405, "GET only"));
    return;
  }
  if (context_.IsExcludedFromLog() || !context_.replica->store_error().empty()) {
    RedirectToDurable(ticket, request.target);
    return;
  }
  auto leader = context_.replica->running() ? leader_control_address() : std::nullopt;
  if (!is_leader() && leader) {
    control_server_->Respond(
        ticket, Redirect("this controller is not the leader: see the Location header", *leader,
                         request.target));
    return;
  }
  base::Millis now = base::SteadyMillis();
  http::Message answer;
  answer.status = 200;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body =
      WriteRollouts(context_, rollouts_->coordinator(), TargetAfter(request, "?service="), now);
  if (answer.body.empty()) {
    answer = is_leader() && context_.IsInContactWithLeader(now)
                 ? http::OwnAnswer(404, "no roll-out of this service was ordered")
                 : Unavailable(
                       "no leader with a quorum is known, and this controller's log has no "
                       "roll-out of this service");
  }
  control_server_->Respond(ticket, answer);
}

void Controller::OnStatusRequest(Ticket ticket, const http::Message& request) {
  if (request.method != "GET") {
    control_server_->Respond(ticket, http::OwnAnswer(405, "GET only"));
    return;
  }
  diagnosis::Question question;
  question.about = diagnosis::Question::About::kNode;
  diagnosis_->Ask(ticket, question);
}

void Controller::OnDiagnosisRequest(Ticket ticket, const http::Message& request) {
  std::string_view query = TargetAfter(request, "?");
  auto question = request.Path() == "/elderkeel/failures"
                      ? diagnosis::Question::ParseFailures(query)
                      : diagnosis::Question::Parse(query);
  if (question) {
    diagnosis_->Ask(ticket, *question);
  } else {
    control_server_->Respond(ticket, http::OwnAnswer(400, question.error().reason));
  }
}

// --- messages and time ---

void Controller::OnMessage(const base::Address& from, transport::MessageKind kind,
                           std::string_view payload) {
  if (kind == transport::MessageKind::kQueryReply) {
    if (auto reply = transport::Decode<diagnosis::Reply>(payload))
      diagnosis_->OnReply(from, *reply);
    return;
  }
  if (!context_.replica->running()) return;
  base::Millis now = base::SteadyMillis();
  switch (kind) {
    case transport::MessageKind::kConsensus:
      if (auto message = transport::Decode<consensus::Message>(payload)) {
        context_.replica->Receive(*message, from);
      }
      break;
    case transport::MessageKind::kJoin:
      if (auto member = transport::Decode<consensus::Member>(payload)) OnJoin(from, *member);
      break;
    case transport::MessageKind::kConfirm:
      if (auto confirm = transport::Decode<dissemination::ConfirmRequest>(payload)) {
        confirmations_.OnConfirm(from, *confirm);
      }
      break;
    case transport::MessageKind::kResign:
      if (auto resignation = transport::Decode<singleton::Resignation>(payload)) {
        catalog_poller_.OnResignation(now, *resignation);
      }
      break;
    case transport::MessageKind::kProxyReport:
      if (auto report = transport::Decode<rollout::ProxyReport>(payload)) {
        rollouts_->OnProxyReport(from, *report);
      }
      break;
    case transport::MessageKind::kVote:
      if (auto vote = transport::Decode<rollout::Vote>(payload)) rollouts_->OnVote(now, *vote);
      break;
    default:
      break;
  }
}

void Controller::Tick() {
  base::Millis now = base::SteadyMillis();
  diagnosis_->Tick(now);
  if (!context_.replica->running()) return;
  operator_api_->Tick(now);
  RequestMembership(now);
  if (is_leader() && !context_.stopping) {
    catalog_poller_.ReviewAssignment(now);
    rollouts_->Review(now);
  }
  rollouts_->SendVotes(now);
  catalog_poller_.Tick(now);
  freshness_confirmer_.Tick(now);
}

// --- shutdown ---

void Controller::Terminate() {
  if (context_.stopping) return;
  base::Millis now = base::SteadyMillis();
  base::Info("controller.stopping");
  bool is_reader = catalog_poller_.IsReader();
  if (is_reader) catalog_poller_.Resign(now, "leaving");
  context_.stopping = true;
  if (directory_server_) directory_server_->SetDraining(true);
  stop_timer_.Start(loop_, is_reader && is_leader() ? kRoleHandOverMs : 0, [this, now] {
    if (context_.replica->running()) {
      context_.replica->Leave();
      context_.replica->TransferLeadership();
    }
    context_.node->Leave();
    control_server_->SetDraining(true);
    base::Millis wait = std::min(kLeadershipHandOverMs, context_.settings.GraceMs() / 2);
    stop_timer_.Start(loop_, wait, [this, now] { StopWhenDeparted(now); });
  });
}

// Stops the event loop once this member may leave the log and all requests are answered. Shortly
// before the end of the grace time it stops in any case, since the platform would kill the process
// then. What only this member has stored is not lost if a process starts with the same disk later.
void Controller::StopWhenDeparted(base::Millis since) {
  lifecycle::ShutdownSchedule schedule(context_.settings.GraceMs(), 0);
  base::Millis waited = base::SteadyMillis() - since;
  bool departed = !context_.replica->running() || context_.IsExcludedFromLog() ||
                  context_.replica->raft().may_stop();
  rejecting_ = departed || waited >= schedule.last_sixth;
  if (waited >= schedule.fail_unanswered_at)
    control_server_->RespondToAll(Unavailable(kShuttingDown));
  bool answered =
      control_server_->busy() == 0 && (!directory_server_ || directory_server_->busy() == 0);
  bool may_stop = (departed || waited >= schedule.fail_unanswered_at) && answered;
  if (!may_stop && waited < schedule.exit_at) {
    stop_timer_.Start(loop_, std::min(kTickIntervalMs, schedule.exit_at - waited),
                      [this, since] { StopWhenDeparted(since); });
    return;
  }
  base::Info("controller.stopped", {{"departed", departed}, {"waited_ms", waited}});
  loop_->Stop();
}

}  // namespace elderkeel::controller
