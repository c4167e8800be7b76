// The controller's part in roll-outs: orders, steps, votes of its watcher.
#include "base/log.h"
#include "controller/controller.h"

namespace elderkeel::controller {
namespace {
constexpr base::Millis kVersionsEveryMs = 500;
}  // namespace

std::optional<uint64_t> Controller::Propose(const rollout::RolloutOrder& order) {
  rollout::Step step;
  step.kind = rollout::Step::Kind::kOrder;
  step.order = order;
  step.observers = rollout::ChooseObservers(order.service, ObserverCandidates());
  return replica_->Propose(MakeCommand(Command::Kind::kRollout, step));
}

// Controllers that have a part in the log watch, since they hear the leader.
std::vector<rollout::Candidate> Controller::ObserverCandidates() const {
  std::vector<rollout::Candidate> durable, all;
  auto add = [&](const membership::Node& node) {
    if (node.program != membership::Program::kController || node.state != membership::State::kAlive)
      return;
    all.push_back({node.id, node.zone});
    if (node.durable) durable.push_back(all.back());
  };
  for (const auto& [id, node] : peers_->members().nodes()) add(node);
  return durable.empty() ? all : durable;
}

void Controller::AdoptRollouts(base::Millis now) {
  coordinator_.Adopt(now, state_.rollouts);
  observer_->Adopt(state_.rollouts);
  for (const auto& [service, rollout] : state_.rollouts.rollouts()) {
    std::string state =
        std::string(rollout::StageName(rollout.stage)) + " " + rollout.order.version;
    std::string& told = logged_stages_[service];
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
  if (!HasCommittedInTerm() || !settings_.VersionsByOrder()) return;
  std::vector<rollout::Step> steps;
  if (state_.rollouts.Active())
    steps = coordinator_.Review(now, state_.rollouts, ObserverCandidates());
  for (rollout::Step& step : steps) {
    // ObserverCandidates know routes by their keys alone; who reads the reason knows them by their
    // labels.
    for (const std::string& label : state_.configuration.document().RouteLabels()) {
      std::string key = "route " + std::to_string(rollout::RouteKey(label)) + ":";
      size_t at = step.reason.find(key);
      if (at != std::string::npos) step.reason.replace(at, key.size(), "route " + label + ":");
    }
    replica_->Propose(MakeCommand(Command::Kind::kRollout, step));
  }
  const discovery::EndpointSnapshot& endpoints = peers_->disseminator().endpoints();
  if (endpoints.epoch == 0 || now < versions_at_) return;
  versions_at_ = now + kVersionsEveryMs;
  rollout::Step found;
  found.found = rollout::DetectVersions(state_.rollouts, endpoints);
  if (!found.found.empty()) replica_->Propose(MakeCommand(Command::Kind::kRollout, found));
}

void Controller::OnProxyReport(const base::Address& from, const rollout::ProxyReport& report) {
  base::Millis now = base::SteadyMillis();
  if (!observer_->OnProxyReport(now, report) || !report.wants_renewal || !HearsLeader(now)) return;
  peers_->mesh().SendDatagram(from, wire::Kind::kLeaseRenewal,
                              rollout::LeaseRenewal{report.number, state_.rollouts.version()});
}

void Controller::SendVotes(base::Millis now) {
  std::vector<rollout::Observer::KnownProxy> proxies;
  for (const auto& [id, node] : peers_->members().nodes()) {
    if (node.program != membership::Program::kProxy || node.state == membership::State::kLeft)
      continue;
    proxies.push_back({id, node.reachable()});
  }
  for (const rollout::Vote& vote : observer_->Tick(now, proxies)) {
    if (is_leader()) {
      coordinator_.OnVote(now, vote);
    } else if (auto leader = replica_->raft().leader()) {
      peers_->mesh().Send(leader->address(), wire::Kind::kVote, vote);
    }
  }
}

// The leader has the votes; another controller sends on to it, or without one tells what its own
// log has.
void Controller::AnswerRollouts(wire::HttpServer::Ticket ticket, const wire::Message& request) {
  if (request.method != "GET") {
    control_->Answer(ticket, wire::OwnAnswer(405, "GET only"));
    return;
  }
  if (Idle() || !replica_->store_error().empty()) return SendOn(ticket, request.target);
  auto leader = replica_->running() ? leader_control() : std::nullopt;
  if (!is_leader() && leader) {
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
  if (answer.body.empty() && is_leader() && HearsLeader(base::SteadyMillis())) {
    answer = wire::OwnAnswer(404, "no roll-out of this service was ordered");
  } else if (answer.body.empty()) {
    answer = wire::OwnAnswer(503, "no leader is known, and here none was ordered");
    answer.headers.push_back({"Retry-After", "0.3"});
  }
  control_->Answer(ticket, answer);
}

}  // namespace elderkeel::controller
