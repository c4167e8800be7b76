#include "controller/rollout_manager.h"

#include "base/log.h"
#include "rollout/canary_policy.h"

namespace elderkeel::controller {
namespace {

constexpr base::Millis kVersionDetectionIntervalMs = 500;

rollout::Observer::Options ObserverOptions(const Context& context) {
  rollout::Observer::Options options;
  options.self = context.node->membership().self().id;
  options.boot_id = context.boot_id;
  rollout::CanaryPolicy::Options policy;
  policy.share = context.settings.canary_share;
  options.canary_share = rollout::CanaryPolicy(policy).CanaryShare();
  return options;
}

}  // namespace

RolloutManager::RolloutManager(Context* context)
    : context_(context),
      coordinator_(rollout::RolloutCoordinator::Options()),
      observer_(ObserverOptions(*context)) {}

std::optional<uint64_t> RolloutManager::Propose(const rollout::RolloutOrder& order) {
  rollout::Step step;
  step.kind = rollout::Step::Kind::kOrder;
  step.order = order;
  step.observers = rollout::ChooseObservers(order.service, ObserverCandidates());
  return context_->replica->Propose(MakeCommand(Command::Kind::kRollout, step));
}

// Controllers with a disk are preferred: they take part in the log, so they are in contact with the
// leader. Without any, all controllers that are alive are candidates.
std::vector<rollout::Candidate> RolloutManager::ObserverCandidates() const {
  std::vector<rollout::Candidate> durable, all;
  for (const auto& [id, node] : context_->node->membership().nodes()) {
    bool alive = node.state == membership::State::kAlive;
    if (node.program != membership::Program::kController || !alive) continue;
    all.push_back({node.id, node.zone});
    if (node.durable) durable.push_back(all.back());
  }
  return durable.empty() ? all : durable;
}

void RolloutManager::OnStateChanged(base::Millis now) {
  coordinator_.Adopt(now, context_->state.rollouts);
  observer_.Adopt(context_->state.rollouts);
  LogStages();
  context_->node->Commit(context_->state.rollouts);
}

void RolloutManager::LogStages() {
  for (const auto& [service, rollout] : context_->state.rollouts.rollouts()) {
    const char* stage = rollout::StageName(rollout.stage);
    std::string state = std::string(stage) + " " + rollout.order.version;
    std::string& logged = logged_stages_[service];
    if (logged == state) continue;
    logged = state;
    base::Info("rollout.stage", {{"service", service},
                                 {"version", rollout.order.version},
                                 {"from", rollout.previous_version},
                                 {"stage", stage},
                                 {"reason", rollout.reason},
                                 {"elapsed_ms", rollout.elapsed_ms}});
    context_->RecordEvent("rollout." + std::string(stage), service + " " + rollout.order.version);
  }
}

// Observers identify routes by their keys only; replaces these by the labels that operators use.
std::string RolloutManager::WithRouteLabels(std::string reason) const {
  for (const std::string& label : context_->state.configuration.document().RouteLabels()) {
    std::string key = "route " + std::to_string(rollout::RouteKey(label)) + ":";
    size_t found = reason.find(key);
    if (found != std::string::npos) reason.replace(found, key.size(), "route " + label + ":");
  }
  return reason;
}

void RolloutManager::Review(base::Millis now) {
  if (!context_->HasCommittedInTerm() || !context_->settings.VersionsByOrder()) return;
  const rollout::Rollouts& rollouts = context_->state.rollouts;
  std::vector<rollout::Step> steps;
  if (rollouts.Active()) steps = coordinator_.Review(now, rollouts, ObserverCandidates());
  for (rollout::Step& step : steps) {
    step.reason = WithRouteLabels(std::move(step.reason));
    context_->replica->Propose(MakeCommand(Command::Kind::kRollout, step));
  }
  ProposeDetectedVersions(now);
}

void RolloutManager::ProposeDetectedVersions(base::Millis now) {
  const discovery::EndpointSnapshot& endpoints = context_->node->disseminator().endpoints();
  if (endpoints.epoch == 0 || now < next_detection_at_) return;
  next_detection_at_ = now + kVersionDetectionIntervalMs;
  rollout::Step step;
  step.detected = rollout::DetectVersions(context_->state.rollouts, endpoints);
  if (step.detected.empty()) return;
  context_->replica->Propose(MakeCommand(Command::Kind::kRollout, step));
}

void RolloutManager::OnProxyReport(const base::Address& from, const rollout::ProxyReport& report) {
  base::Millis now = base::SteadyMillis();
  bool observed = observer_.OnProxyReport(now, report);
  if (!observed || !report.wants_renewal || !context_->IsInContactWithLeader(now)) return;
  rollout::LeaseRenewal renewal{report.number, context_->state.rollouts.version(),
                                report.reported_at};
  context_->node->mesh().SendDatagram(from, transport::MessageKind::kLeaseRenewal, renewal);
}

void RolloutManager::SendVotes(base::Millis now) {
  if (!observer_.active()) return;
  std::vector<rollout::Observer::KnownProxy> proxies;
  for (const auto& [id, node] : context_->node->membership().nodes()) {
    bool left = node.state == membership::State::kLeft;
    if (node.program != membership::Program::kProxy || left) continue;
    proxies.push_back({id, node.reachable()});
  }
  for (const rollout::Vote& vote : observer_.Tick(now, proxies)) {
    if (context_->IsLeader()) {
      coordinator_.OnVote(now, vote);
    } else if (auto leader = context_->replica->raft().leader()) {
      context_->node->mesh().Send(leader->address(), transport::MessageKind::kVote, vote);
    }
  }
}

}  // namespace elderkeel::controller
