#include "controller/controller.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::controller {
namespace {

constexpr base::Millis kTickMs = 50;
constexpr base::Millis kBeginMs = 20;
constexpr base::Millis kJoinEveryMs = 400;
constexpr base::Millis kHolderPatienceMs = 1000;
constexpr base::Millis kPlatformPatienceMs = 3000;
constexpr base::Millis kResignGapMs = 5000;
constexpr base::Millis kClaimEveryMs = 200;
constexpr base::Millis kVouchPatienceMs = 1000;  // with a majority that does not answer
constexpr base::Millis kLeaveMs = 800;
constexpr size_t kMaxInquiries = 16;
constexpr base::Millis kInquiryMs = 1500;
constexpr base::Millis kVersionsEveryMs = 500;
constexpr size_t kMaxControlBody = 16u << 20;

}  // namespace

// A JSON document as it is written.
struct Controller::JsonText {
  using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
  rapidjson::StringBuffer buffer;
  Writer writer{buffer};

  void Text(const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.c_str());
  }
  void Number(const char* key, int64_t value) {
    writer.Key(key);
    writer.Int64(value);
  }
  std::string Take() const { return {buffer.GetString(), buffer.GetSize()}; }
};

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
      life_(base::SystemSeed() | 1) {}

consensus::Replica::Options Controller::ReplicaOptions(std::vector<base::Address> founders) const {
  consensus::Replica::Options options;
  options.self.ip = settings_.ip;
  options.self.port = settings_.ControllerPort();
  options.self.id = FounderId(options.self.address());
  options.self.control = settings_.control.ToString();
  options.self.zone = settings_.zone;
  options.bootstrap = settings_.bootstrap;
  options.data_dir = settings_.data_dir;
  options.timing.heartbeat = settings_.raft_heartbeat_ms;
  options.timing.election = settings_.election_ms;
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
    if (const ring::Node* node = peers_->members().Find(member.address())) member.zone = node->zone;
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
  if (replica_->begun()) return true;
  bool seed = std::find(settings_.seeds.begin(), settings_.seeds.end(), settings_.control) !=
              settings_.seeds.end();
  if (settings_.bootstrap && seed && !consensus::Replica::HasStore(settings_.data_dir)) {
    std::vector<base::Address> durable, all = settings_.seeds;
    for (const base::Address& address : all) {
      const ring::Node* node = peers_->members().Find({address.ip, settings_.ControllerPort()});
      if (!node) return false;
      if (node->durable) durable.push_back(address);
    }
    replica_->SetOptions(ReplicaOptions(durable.empty() ? all : durable));
  } else {
    replica_->SetOptions(ReplicaOptions({}));
  }
  replica_->Start();
  for (const auto& [id, node] : peers_->members().nodes()) replica_->NoteZone(node.ip, node.zone);
  return true;
}

bool Controller::HasZone(const std::string& zone) const {
  if (settings_.zones.count(zone)) return true;
  for (const catalog::Server& server : peers_->disseminator().catalog().servers) {
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

base::Result<bool> Controller::Start() {
  dissemination::Peers::Hooks hooks;
  hooks.other = [this](const base::Address& from, wire::Kind kind, std::string_view payload) {
    OnMessage(from, kind, payload);
  };
  hooks.node_changed = [this](const ring::Node& node) {
    if (replica_) replica_->NoteZone(node.ip, node.zone);
    Note("node." + std::string(ring::StateName(node.state)), node.address().ToString());
  };
  peers_ =
      std::make_unique<dissemination::Peers>(loop_, settings_, ring::Program::kController, hooks);

  consensus::Replica::Hooks log;
  log.send = [this](const base::Address& to, const consensus::Message& message) {
    peers_->mesh().Send(to, wire::Kind::kConsensus, message);
  };
  log.apply = [this](const consensus::Entry& entry) { Applied(entry); };
  log.caught_up = [this] {
    if (!state_.configuration.empty()) peers_->Commit(state_.configuration);
    peers_->Commit(state_.orders);
    AdoptRollouts(base::SteadyMillis());
  };
  log.install = [this](const consensus::Snapshot& snapshot) {
    ControlState state;
    if (!snapshot.state.empty()) {
      if (auto decoded = ControlState::Read(snapshot.state)) {
        state = std::move(*decoded);
      } else {
        base::Warn("snapshot.unread", {{"index", snapshot.index}});
      }
    }
    state_ = std::move(state);
    if (!state_.configuration.empty()) peers_->Commit(state_.configuration);
    peers_->Commit(state_.orders);
    AdoptRollouts(base::SteadyMillis());
  };
  log.snapshot_state = [this] { return wire::Encode(state_); };
  log.read_done = [this](uint64_t token, bool ok) { ReadDone(token, ok); };
  log.role_changed = [this] { RoleChanged(); };
  log.store_changed = [this](const std::string& event, const std::string& reason) {
    Note(event, reason);
  };
  operator_ = std::make_unique<configuration::OperatorApi>(
      this, &state_.configuration, &state_.orders, &state_.rollouts,
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
  control_->OnGone([this](wire::HttpServer::Ticket ticket) { operator_->Gone(ticket); });
  platform_ = std::make_unique<catalog::Platform>(loop_, settings_.platform);
  replica_ = std::make_unique<consensus::Replica>(loop_, std::move(log));
  auto started = peers_->Start();
  if (!started) return started;
  rollout::Watcher::Options watcher;
  watcher.self = peers_->members().self().id;
  watcher.life = life_;
  watcher.canary_share = rollout::Gate({settings_.canary_share}).CanaryShare();
  watcher_ = std::make_unique<rollout::Watcher>(watcher);
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
                                                        base::SystemSeed(), base::SteadyMillis());
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
  watch_ = std::make_unique<readiness::SettingsWatch>(
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
  return true;
}

void Controller::Note(std::string what, std::string detail) {
  journal_.Append({base::SteadyMillis(), std::move(what), std::move(detail)});
}

std::optional<std::string> Controller::leader_control() const {
  auto leader = replica_->machine().LeaderInTouch(base::SteadyMillis());
  if (!leader || leader->control.empty()) return std::nullopt;
  return leader->control;
}

void Controller::OnRequest(wire::HttpServer::Ticket ticket, wire::Message&& request) {
  base::Millis now = base::SteadyMillis();
  if (configuration::OperatorApi::Owns(request.Path())) {
    if (Idle() || !replica_->store_reason().empty()) {
      SendOn(ticket, request.target);
      return;
    }
    if (!replica_->started()) {
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
  if (!replica_->started() && kind != wire::Kind::kQueryReply) return;
  switch (kind) {
    case wire::Kind::kConsensus:
      if (auto m = wire::Decode<consensus::Message>(payload)) replica_->Receive(*m, from);
      break;
    case wire::Kind::kJoin: {
      auto member = wire::Decode<consensus::Member>(payload);
      if (!member) break;
      // A log on disks takes in nobody who has none.
      const ring::Node* node = peers_->members().Find(member->address());
      if (!settings_.data_dir.empty() && (!node || !node->durable)) break;
      if (leading()) {
        replica_->Join(*member);
      } else if (auto leader = replica_->machine().leader();
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
      auto m = wire::Decode<duty::Resignation>(payload);
      if (!m || !leading()) break;
      if (auto named = assignment_.Resigned(now, state_.duty, Candidates(now), *m)) {
        replica_->Propose(MakeCommand(Command::Kind::kDuty, *named));
      }
      break;
    }
    case wire::Kind::kTally:
      if (auto m = wire::Decode<rollout::Tally>(payload)) OnTally(from, *m);
      break;
    case wire::Kind::kVote:
      if (auto m = wire::Decode<rollout::Vote>(payload)) conductor_.OnVote(now, *m);
      break;
    default:
      break;
  }
}

void Controller::OnConfirm(const base::Address& from, const dissemination::Confirm& confirm) {
  if (settled() && confirms_.size() < 1024) {
    uint64_t token = next_token_++;
    confirms_[token] = {from, confirm.nonce};
    if (replica_->Read(token)) return;
    confirms_.erase(token);
  }
  dissemination::ConfirmReply reply;
  reply.nonce = confirm.nonce;
  if (auto leader = replica_->machine().LeaderInTouch(base::SteadyMillis()); leader && !leading()) {
    reply.leader_ip = leader->ip;
    reply.leader_port = leader->port;
  } else if (auto neighbour = peers_->members().NearestDurable(false); neighbour && !leading()) {
    reply.leader_ip = neighbour->ip;
    reply.leader_port = neighbour->port;
  }
  peers_->mesh().Send(from, wire::Kind::kConfirmReply, reply);
}

void Controller::ReadDone(uint64_t token, bool confirmed) {
  if (token >= configuration::OperatorApi::kFirstToken) {
    operator_->ReadDone(base::SteadyMillis(), token, confirmed);
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
    reply.versions = {state_.configuration.revision(), state_.orders.version(),
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
    case ControlState::Effect::kDuty:
      base::Info(
          "duty.named",
          {{"holder", state_.duty.holder}, {"epoch", state_.duty.epoch}, {"here", HoldsDuty()}});
      Note("duty.named", std::to_string(state_.duty.holder));
      assignment_.Clear();
      read_ok_at_ = base::SteadyMillis();
      poll_at_ = 0;
      WatchPlatform(base::SteadyMillis());
      break;
    case ControlState::Effect::kEvacuation: {
      std::string zones;
      for (const std::string& zone : state_.orders.zones())
        zones += (zones.empty() ? "" : ",") + zone;
      base::Info("evacuation.changed", {{"version", state_.orders.version()}, {"zones", zones}});
      Note("evacuation.changed", zones.empty() ? "no zone" : zones);
      break;
    }
    case ControlState::Effect::kRollout:
      AdoptRollouts(base::SteadyMillis());
      break;
    case ControlState::Effect::kNone:
      break;
  }
  operator_->Applied(base::SteadyMillis(), entry.index);
}

void Controller::RoleChanged() {
  const consensus::Machine& m = replica_->machine();
  auto leader = m.leader();
  base::Info("role.changed", {{"role", consensus::RoleName(m.role())},
                              {"term", m.term()},
                              {"leader", leader ? leader->address().ToString() : "none"}});
  Note("role." + std::string(consensus::RoleName(m.role())), std::to_string(m.term()));
  if (!leading()) assignment_.Clear();
  operator_->RoleChanged(base::SteadyMillis());
}

bool Controller::HoldsDuty() const {
  return replica_->started() && state_.duty.holder != 0 &&
         state_.duty.holder == replica_->self().id;
}

std::vector<duty::Candidate> Controller::Candidates(base::Millis now) const {
  const consensus::Machine& m = replica_->machine();
  std::vector<duty::Candidate> candidates;
  for (const consensus::Member& v : m.voters()) {
    base::Millis heard = m.LastHeard(v.id);
    candidates.push_back({v.id, heard < 0 ? INT64_MAX : now - heard, v.id == m.self().id});
  }
  return candidates;
}

void Controller::Tick() {
  base::Millis now = base::SteadyMillis();
  FinishInquiries(now);
  if (!replica_->started()) return;
  operator_->Tick(now);
  SeekMembership(now);
  if (leading() && !leaving_) {
    ReviewDuty(now);
    ReviewRollouts(now);
  }
  if (watcher_->active()) TellVotes(now);
  WatchPlatform(now);
  Vouch(now);
}

// Where the freshness of the whole fleet comes from: the leader knows by a majority that nothing
// was committed without it, the reader of the list that it is still the one.
void Controller::Vouch(base::Millis now) {
  const consensus::Machine& machine = replica_->machine();
  std::optional<base::Address> leader, reader;
  if (auto member = machine.leader(); member && !leading()) leader = member->address();
  for (const consensus::Member& voter : machine.voters()) {
    if (voter.id == state_.duty.holder && !HoldsDuty()) reader = voter.address();
  }
  peers_->SetVouchers(leader, reader);
  bool lost = vouch_token_ != 0 && now - vouch_asked_at_ > kVouchPatienceMs;
  if (!settled() || lost) vouch_token_ = 0;
  if (settled() && vouch_token_ == 0) {
    vouch_token_ = next_token_++;
    vouch_asked_at_ = now;
    if (!replica_->ReadByHeartbeat(vouch_token_)) vouch_token_ = 0;
  }
  base::Millis log_age = peers_->disseminator().log_age(now);
  bool published = sequence_ > 0 && watched_epoch_ == state_.duty.epoch;
  if (HoldsDuty() && state_.duty.life == life_ && published && log_age >= 0 &&
      log_age <= kHolderPatienceMs) {
    peers_->VouchForEndpoints();
  }
}

bool Controller::HasService(const std::string& service) const {
  return state_.configuration.document().HasService(service);
}

std::optional<uint64_t> Controller::Propose(const rollout::Order& order) {
  rollout::Step step;
  step.kind = rollout::Step::Kind::kOrder;
  step.order = order;
  step.watchers = rollout::NameWatchers(order.service, Watchers());
  return replica_->Propose(MakeCommand(Command::Kind::kRollout, step));
}

// Controllers that have a part in the log watch, since they hear the leader.
std::vector<rollout::Candidate> Controller::Watchers() const {
  std::vector<rollout::Candidate> durable, all;
  auto add = [&](const ring::Node& node) {
    if (node.program != ring::Program::kController || node.state != ring::State::kAlive) return;
    all.push_back({node.id, node.zone});
    if (node.durable) durable.push_back(all.back());
  };
  for (const auto& [id, node] : peers_->members().nodes()) add(node);
  return durable.empty() ? all : durable;
}

void Controller::AdoptRollouts(base::Millis now) {
  conductor_.Adopt(now, state_.rollouts);
  watcher_->Adopt(state_.rollouts);
  for (const auto& [service, rollout] : state_.rollouts.rollouts()) {
    std::string state =
        std::string(rollout::StageName(rollout.stage)) + " " + rollout.order.version;
    std::string& told = rollouts_told_[service];
    if (told == state) continue;
    told = state;
    base::Info("rollout.stage", {{"service", service},
                                 {"version", rollout.order.version},
                                 {"from", rollout.from},
                                 {"stage", rollout::StageName(rollout.stage)},
                                 {"reason", rollout.reason},
                                 {"elapsed_ms", rollout.elapsed_ms}});
    Note("rollout." + std::string(rollout::StageName(rollout.stage)),
         service + " " + rollout.order.version);
  }
  peers_->Commit(state_.rollouts);
}

void Controller::ReviewRollouts(base::Millis now) {
  if (!settled() || !settings_.VersionsByOrder()) return;
  std::vector<rollout::Step> steps;
  if (state_.rollouts.Active()) steps = conductor_.Review(now, state_.rollouts, Watchers());
  for (rollout::Step& step : steps) {
    // Watchers know routes by their keys alone; who reads the reason knows them by their labels.
    for (const std::string& label : state_.configuration.document().RouteLabels()) {
      std::string key = "route " + std::to_string(rollout::RouteKey(label)) + ":";
      size_t at = step.reason.find(key);
      if (at != std::string::npos) step.reason.replace(at, key.size(), "route " + label + ":");
    }
    replica_->Propose(MakeCommand(Command::Kind::kRollout, step));
  }
  const catalog::Catalog& catalog = peers_->disseminator().catalog();
  if (catalog.epoch == 0 || now < versions_at_) return;
  versions_at_ = now + kVersionsEveryMs;
  rollout::Step found;
  found.found = rollout::FindVersions(state_.rollouts, catalog);
  if (!found.found.empty()) replica_->Propose(MakeCommand(Command::Kind::kRollout, found));
}

bool Controller::HearsLeader(base::Millis now) const {
  const consensus::Machine& m = replica_->machine();
  return leading() ? settled() && m.LeaderInTouch(now)
                   : m.leader_heard() != 0 && now - m.leader_heard() < settings_.election_ms * 2;
}

void Controller::OnTally(const base::Address& from, const rollout::Tally& tally) {
  base::Millis now = base::SteadyMillis();
  if (!watcher_->OnTally(now, tally) || !tally.asks || !HearsLeader(now)) return;
  peers_->mesh().SendDatagram(from, wire::Kind::kTouch,
                              rollout::Touch{tally.number, state_.rollouts.version()});
}

void Controller::TellVotes(base::Millis now) {
  std::vector<rollout::Watcher::InSight> proxies;
  for (const auto& [id, node] : peers_->members().nodes()) {
    if (node.program != ring::Program::kProxy || node.state == ring::State::kLeft) continue;
    proxies.push_back({id, node.reachable()});
  }
  for (const rollout::Vote& vote : watcher_->Tick(now, proxies)) {
    if (leading()) {
      conductor_.OnVote(now, vote);
    } else if (auto leader = replica_->machine().leader()) {
      peers_->mesh().Send(leader->address(), wire::Kind::kVote, vote);
    }
  }
}

// A controller that no leader speaks to asks to be taken in, wherever it can.
void Controller::SeekMembership(base::Millis now) {
  if (leaving_ || leading() || now < join_at_ || Idle()) return;
  if (!replica_->store_reason().empty()) return;
  if (HearsLeader(now)) return;
  join_at_ = now + kJoinEveryMs;
  for (const base::Address& address : peers_->Controllers()) {
    peers_->mesh().Send(address, wire::Kind::kJoin, replica_->self());
  }
}

void Controller::ReviewDuty(base::Millis now) {
  if (!settled()) return;
  if (auto named = assignment_.Review(now, state_.duty, Candidates(now))) {
    replica_->Propose(MakeCommand(Command::Kind::kDuty, *named));
  }
}

void Controller::Resign(base::Millis now, const char* why) {
  resigned_at_ = now;
  duty::Resignation resignation;
  resignation.epoch = state_.duty.epoch;
  // The leader knows best who is heard; a holder that is not the leader leaves the choice to it.
  base::Info("duty.resigned", {{"epoch", resignation.epoch}, {"reason", why}});
  TellLeader(now, resignation);
}

void Controller::TellLeader(base::Millis now, const duty::Resignation& resignation) {
  if (leading()) {
    if (auto named = assignment_.Resigned(now, state_.duty, Candidates(now), resignation)) {
      replica_->Propose(MakeCommand(Command::Kind::kDuty, *named));
    }
  } else if (auto leader = replica_->machine().leader()) {
    peers_->mesh().Send(leader->address(), wire::Kind::kResign, resignation);
  }
}

void Controller::WatchPlatform(base::Millis now) {
  if (leaving_ || platform_->busy() || Idle()) return;
  if (!peers_->disseminator().has_catalog() && now >= poll_at_) {
    // Nobody has told this node of any list, as after a loss of the whole fleet. Its zone need not
    // wait for a holder: a reading without an epoch gives way to the first one that has one.
    poll_at_ = now + settings_.PollMs();
    platform_->Read([this](base::Result<std::vector<catalog::Server>> read) {
      if (!read) {
        base::Warn("catalog.unread", read.error());
      } else if (!peers_->disseminator().has_catalog()) {
        base::Info("catalog.first_reading", {{"servers", read->size()}});
        peers_->Publish({0, 1, std::move(*read)});
      }
      poll_at_ = 0;
    });
    return;
  }
  if (!HoldsDuty()) return;
  if (state_.duty.life != life_) {
    if (now - claimed_at_ < kClaimEveryMs) return;
    claimed_at_ = now;
    TellLeader(now, {state_.duty.epoch, replica_->self().id, life_});
    return;
  }
  if (watched_epoch_ != state_.duty.epoch) {
    watched_epoch_ = state_.duty.epoch;
    sequence_ = 0;
    read_ok_at_ = now;
  }
  if (now - read_ok_at_ > kPlatformPatienceMs && now - resigned_at_ > kResignGapMs &&
      replica_->machine().voters().size() > 1) {
    Resign(now, "the platform can't be read");
  }
  if (now < poll_at_) return;
  poll_at_ = now + settings_.PollMs();
  platform_->Read([this](base::Result<std::vector<catalog::Server>> read) {
    if (!read) {
      base::Warn("catalog.unread", read.error());
      return;  // what was last read stays; nobody is removed
    }
    base::Millis now = base::SteadyMillis();
    read_ok_at_ = now;
    if (!HoldsDuty() || watched_epoch_ != state_.duty.epoch) return;
    if (sequence_ > 0 && catalog::SameServers(servers_, *read)) {
      peers_->Confirm(watched_epoch_);
      return;
    }
    servers_ = std::move(*read);
    ++sequence_;
    base::Info("catalog.changed",
               {{"epoch", watched_epoch_}, {"sequence", sequence_}, {"servers", servers_.size()}});
    if (!peers_->Publish({watched_epoch_, sequence_, servers_})) {
      base::Info("catalog.overtaken", {{"epoch", watched_epoch_}});
    }
  });
}

void Controller::Terminate() {
  if (leaving_) return;
  base::Millis now = base::SteadyMillis();
  base::Info("controller.leaving");
  if (HoldsDuty()) Resign(now, "leaving");
  leaving_ = true;
  if (directory_server_) directory_server_->SetLeaving(true);
  // The duty's entry goes out before leadership does.
  leave_.Start(loop_, HoldsDuty() && leading() ? 150 : 0, [this, now] {
    if (replica_->started()) {
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
  bool departed = !replica_->started() || Idle() || replica_->machine().departed();
  if (!departed && waited < settings_.grace_s * 1000 - kLeaveMs) {
    leave_.Start(loop_, kTickMs, [this, since] { End(since); });
    return;
  }
  base::Info("controller.left", {{"departed", departed}, {"waited_ms", waited}});
  loop_->Stop();
}

// Asks every proxy in sight for its records. It needs no majority: whoever does not answer is
// named.
void Controller::Diagnose(wire::HttpServer::Ticket ticket,
                          const base::Result<diagnosis::Question>& question) {
  if (!question) {
    control_->Answer(ticket, wire::OwnAnswer(400, question.error().reason));
    return;
  }
  Ask(ticket, *question);
}

void Controller::Ask(wire::HttpServer::Ticket ticket, const diagnosis::Question& question) {
  if (!replica_->begun()) {
    control_->Answer(ticket, wire::OwnAnswer(503, "this controller has only just started"));
    return;
  }
  if (inquiries_.size() >= kMaxInquiries) {
    control_->Answer(ticket, wire::OwnAnswer(503, "too many questions at once"));
    return;
  }
  std::vector<diagnosis::Target> targets;
  // The dead are asked too, after the others: a suspicion may be wrong, and if they are silent the
  // answer says so.
  for (bool reachable : {true, false}) {
    for (const auto& [id, node] : peers_->members().nodes()) {
      if (node.program != ring::Program::kProxy || node.state == ring::State::kLeft) continue;
      if (!question.zone.empty() && node.zone != question.zone) continue;
      if (node.reachable() == reachable) {
        targets.push_back({node.address().ToString(), node.zone});
      }
    }
  }
  inquiries_.push_back({ticket, diagnosis::Inquiry(next_token_++, question, std::move(targets),
                                                   base::SteadyMillis() + kInquiryMs)});
  FinishInquiries(base::SteadyMillis());
}

void Controller::FinishInquiries(base::Millis now) {
  for (size_t i = 0; i < inquiries_.size();) {
    if (!inquiries_[i].inquiry.Done(now)) {
      for (const std::string& address : inquiries_[i].inquiry.Next(now)) {
        if (auto to = base::ParseAddress(address)) {
          peers_->mesh().Send(*to, wire::Kind::kQuery, inquiries_[i].inquiry.query());
        }
      }
      ++i;
      continue;
    }
    wire::Message answer;
    answer.status = 200;
    answer.headers.push_back({"Content-Type", "application/json"});
    const diagnosis::Inquiry& inquiry = inquiries_[i].inquiry;
    answer.body = inquiry.about() == diagnosis::Question::About::kNode ? StatusJson(inquiry)
                                                                       : inquiry.Report();
    control_->Answer(inquiries_[i].ticket, answer);
    inquiries_.erase(inquiries_.begin() + static_cast<long>(i));
  }
}

// The leader has the votes; another controller sends on to it, or without one tells what its own
// log has.
void Controller::AnswerRollouts(wire::HttpServer::Ticket ticket, const wire::Message& request) {
  if (request.method != "GET") {
    control_->Answer(ticket, wire::OwnAnswer(405, "GET only"));
    return;
  }
  if (Idle() || !replica_->store_reason().empty()) return SendOn(ticket, request.target);
  auto leader = replica_->started() ? leader_control() : std::nullopt;
  if (!leading() && leader) {
    wire::Message answer = wire::OwnAnswer(307, "the leader is elsewhere");
    answer.headers.push_back({"Location", "http://" + *leader + request.target});
    control_->Answer(ticket, answer);
    return;
  }
  size_t query = request.target.find("?service=");
  wire::Message answer;
  answer.status = 200;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = RolloutsJson(
      query == std::string::npos ? "" : std::string_view(request.target).substr(query + 9));
  if (answer.body.empty() && leading() && HearsLeader(base::SteadyMillis())) {
    answer = wire::OwnAnswer(404, "no roll-out of this service was ordered");
  } else if (answer.body.empty()) {
    answer = wire::OwnAnswer(503, "no leader is known, and here none was ordered");
    answer.headers.push_back({"Retry-After", "0.3"});
  }
  control_->Answer(ticket, answer);
}

std::string Controller::RolloutsJson(std::string_view service) const {
  base::Millis now = base::SteadyMillis();
  const rollout::Rollouts& state = state_.rollouts;
  if (!service.empty() && !state.Of(std::string(service))) return "";
  JsonText json;
  JsonText::Writer& w = json.writer;
  auto text = [&](const char* key, const std::string& value) { json.Text(key, value); };
  auto number = [&](const char* key, int64_t value) { json.Number(key, value); };
  auto address = [&](uint64_t id) {
    auto at = peers_->members().nodes().find(id);
    return at == peers_->members().nodes().end() ? "unknown" : at->second.address().ToString();
  };
  std::map<uint32_t, std::string> labels;
  for (const std::string& label : state_.configuration.document().RouteLabels()) {
    labels[rollout::RouteKey(label)] = label;
  }
  auto counts = [&](const char* key, const rollout::Counts& c) {
    w.Key(key);
    w.StartObject();
    number("answers", c.answers);
    number("failed", c.failed);
    number("broken-off", c.broken);
    number("timed", c.timed);
    number("late", c.late);
    w.EndObject();
  };
  w.StartObject();
  text("node", settings_.node_name);
  w.Key("settled");
  w.Bool(leading() && HearsLeader(now));
  w.Key("by-order");
  w.Bool(settings_.VersionsByOrder());
  w.Key("in-force");
  w.StartObject();
  for (const auto& [name, version] : state.in_force()) {
    if (service.empty() || name == service) text(name.c_str(), version);
  }
  w.EndObject();
  w.Key("rollouts");
  w.StartArray();
  for (const auto& [name, rollout] : state.rollouts()) {
    if (!service.empty() && name != service) continue;
    bool ended = rollout::Ended(rollout.stage);
    w.StartObject();
    text("service", name);
    text("version", rollout.order.version);
    text("from", rollout.from.empty() ? "unknown" : rollout.from);
    text("status", rollout::StatusWord(rollout.stage));
    text("stage", rollout::StageName(rollout.stage));
    text("reason", rollout.reason);
    number("number", static_cast<int64_t>(rollout.number));
    number("over-ms", rollout.order.over_ms);
    number("elapsed-ms", ended ? rollout.elapsed_ms : conductor_.Age(now, rollout));
    w.Key("watchers");
    w.StartArray();
    for (uint64_t watcher : rollout.watchers) {
      w.StartObject();
      text("address", address(watcher));
      auto told = conductor_.VotesOn(rollout.number).find(watcher);
      bool known = told != conductor_.VotesOn(rollout.number).end();
      text("vote", known ? rollout::OpinionName(told->second.vote.opinion) : "unknown");
      if (known) {
        const rollout::Vote& vote = told->second.vote;
        number("ago-ms", now - told->second.at);
        text("why", vote.why);
        number("proxies-heard", vote.heard);
        number("proxies-in-sight", vote.in_sight);
        number("requests", static_cast<int64_t>(vote.requests));
        number("sent-to-new", static_cast<int64_t>(vote.exposed));
        number("not-confirmed", vote.unmoved);
        number("not-heard", vote.unheard);
        w.Key("missing");
        w.StartArray();
        for (uint64_t id : vote.missing) w.String(address(id).c_str());
        w.EndArray();
        w.Key("routes");
        w.StartArray();
        for (const rollout::Row& row : vote.rows) {
          w.StartObject();
          text("route", labels.count(row.route) ? labels[row.route] : std::to_string(row.route));
          counts("old", row.old_version);
          counts("new", row.new_version);
          w.EndObject();
        }
        w.EndArray();
      }
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return json.Take();
}

// What the log's machine knows.
void Controller::WriteLog(JsonText* json) const {
  base::Millis now = base::SteadyMillis();
  const consensus::Machine& m = replica_->machine();
  JsonText::Writer& w = json->writer;
  auto text = [&](const char* key, const std::string& value) { json->Text(key, value); };
  auto number = [&](const char* key, int64_t value) { json->Number(key, value); };
  text("role", consensus::RoleName(m.role()));
  number("term", static_cast<int64_t>(m.term()));
  number("commit", static_cast<int64_t>(m.commit()));
  auto leader = m.leader();
  w.Key("leader");
  if (leader) {
    w.String(leader->address().ToString().c_str());
  } else {
    w.Null();
  }
  w.Key("settled");
  bool heard = HearsLeader(now);
  w.Bool(heard);
  if (!heard) text("unknown", "no majority is heard: what follows is this controller's own view");
  w.Key("voters");
  w.StartArray();
  for (const consensus::Member& v : m.voters()) {
    w.StartObject();
    text("address", v.address().ToString());
    text("control", v.control);
    if (leading()) number("silent-ms", m.LastHeard(v.id) < 0 ? -1 : now - m.LastHeard(v.id));
    w.EndObject();
  }
  w.EndArray();
}

std::string Controller::StatusJson(const diagnosis::Inquiry& nodes) const {
  base::Millis now = base::SteadyMillis();
  JsonText json;
  JsonText::Writer& w = json.writer;
  auto text = [&](const char* key, const std::string& value) { json.Text(key, value); };
  auto number = [&](const char* key, int64_t value) { json.Number(key, value); };
  w.StartObject();
  text("node", settings_.node_name);
  w.Key("store");
  w.StartObject();
  text("state", consensus::StoreStateName(replica_->store_state()));
  text("reason", replica_->store_reason());
  w.EndObject();
  if (replica_->started()) WriteLog(&json);
  number("revision", state_.configuration.revision());
  w.Key("evacuation");
  w.StartObject();
  number("version", static_cast<int64_t>(peers_->disseminator().orders().version()));
  w.Key("zones");
  w.StartArray();
  for (const std::string& zone : peers_->disseminator().orders().zones()) w.String(zone.c_str());
  w.EndArray();
  w.EndObject();
  w.Key("rollouts");
  w.StartArray();
  for (const auto& [service, rollout] : state_.rollouts.rollouts()) {
    w.StartObject();
    text("service", service);
    text("version", rollout.order.version);
    text("stage", rollout::StageName(rollout.stage));
    text("reason", rollout.reason);
    w.EndObject();
  }
  w.EndArray();
  w.Key("duty");
  w.StartObject();
  number("epoch", static_cast<int64_t>(state_.duty.epoch));
  w.Key("holder");
  std::string holder;
  std::vector<consensus::Member> voters;
  if (replica_->started()) voters = replica_->machine().voters();
  for (const consensus::Member& v : voters) {
    if (v.id == state_.duty.holder) holder = v.address().ToString();
  }
  if (holder.empty()) {
    w.Null();
  } else {
    w.String(holder.c_str());
  }
  w.EndObject();
  w.Key("catalog");
  w.StartObject();
  number("epoch", static_cast<int64_t>(peers_->disseminator().catalog().epoch));
  number("sequence", static_cast<int64_t>(peers_->disseminator().catalog().sequence));
  number("servers", static_cast<int64_t>(peers_->disseminator().catalog().servers.size()));
  number("age-ms", peers_->disseminator().catalog_age(now));
  number("verified-ms", peers_->disseminator().endpoints_age(now));
  w.EndObject();
  w.Key("nodes");
  w.StartArray();
  for (const auto& [id, node] : peers_->members().nodes()) {
    w.StartObject();
    text("address", node.address().ToString());
    text("program", node.program == ring::Program::kProxy ? "proxy" : "controller");
    text("zone", node.zone);
    text("state", ring::StateName(node.state));
    if (node.program == ring::Program::kProxy) {
      const diagnosis::Reply* reply = nodes.Of(node.address().ToString());
      // What a silent node serves by is not known, whatever was heard before.
      std::string line = reply && !reply->lines.empty() ? reply->lines[0] : "";
      text("revision", line.empty() ? "unknown" : diagnosis::ValueOf(line, "revision"));
      text("ready", line.empty() ? "unknown" : diagnosis::ValueOf(line, "ready"));
      text("state-line", line);
    }
    w.EndObject();
  }
  w.EndArray();
  w.Key("events");
  w.StartArray();
  for (const Event& event : journal_.recent()) {
    w.StartObject();
    number("ago-ms", now - event.at);
    text("event", event.what);
    text("detail", event.detail);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return json.Take();
}

}  // namespace elderkeel::controller
