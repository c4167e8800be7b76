// SimulatedCluster: roll-outs, and the proxies' traffic that they shift to the new version.
#include <algorithm>
#include <utility>

#include "simulation/simulation.h"

namespace elderkeel::simulation {

std::vector<rollout::Candidate> SimulatedCluster::ObserverCandidates(const Node& n) const {
  std::vector<rollout::Candidate> found;
  for (const auto& [id, node] : n.members->nodes()) {
    if (node.durable && node.state == membership::State::kAlive) found.push_back({id, node.zone});
  }
  return found;
}

void SimulatedCluster::Serve(size_t i) {
  Node& n = *nodes_[i];
  for (size_t k = 0; k < n.in_flight.size();) {
    Node::InFlightRequest request = n.in_flight[k];
    if (request.ends > now) {
      ++k;
      continue;
    }
    n.in_flight.erase(n.in_flight.begin() + static_cast<long>(k));
    bool failed = request.new_version ? options_.new_fails(random_, now - traffic.ordered_at)
                                      : random_.Unit() < options_.old_fails;
    if (request.new_version && failed && ++traffic.failed_answers == 50)
      traffic.fiftieth_failure_at = now;
    n.policy->CountOutcome(
        now, {"s", request.new_version ? "v2" : "v1", std::to_string(request.server), "r",
              failed ? rollout::CanaryPolicy::Outcome::kFailed
                     : rollout::CanaryPolicy::Outcome::kComplete,
              true, random_.Unit() < 0.05});
  }
  bool ordered = traffic.ordered_at >= 0;
  bool in_term = ordered && now < traffic.ordered_at + traffic.time_limit_ms;
  bool listed = ordered && now > traffic.ordered_at + 1200;  // the endpoint list has new servers
  for (double due = options_.requests; random_.Unit() < due; due -= 1) {
    n.policy->CountRequest("s");
    traffic.requests += in_term;
    rollout::VersionPolicy rule = n.policy->RuleOf(now, "s");
    bool secondary = n.policy->TakesSecondary(now, "s", random_.Next());
    bool to_new_version = listed && (secondary ? rule.secondary : rule.primary) == "v2";
    n.in_flight.push_back(
        {now + 20 + static_cast<Millis>(random_.Below(40)), to_new_version, random_.Below(12)});
    if (!to_new_version) continue;
    n.policy->CountAttempt("s", "v2");
    traffic.sent_to_new += in_term;
    traffic.last_sent_at = now;
  }
  if (!n.policy->active() || now < n.report_at) return;
  n.report_at = now + (n.policy->IsShifting() ? 100 : 250);
  rollout::ProxyReport report = n.policy->MakeReport(now, "s");
  report.node = n.members->self().id;
  report.boot_id = n.boot_id;
  report.wants_renewal = true;
  report.old_in_flight = static_cast<uint32_t>(n.old_in_flight());
  report.new_in_flight = static_cast<uint32_t>(n.in_flight.size()) - report.old_in_flight;
  for (uint64_t observer : n.policy->RolloutOf("s")->observers) {
    auto node = n.members->nodes().find(observer);
    if (node != n.members->nodes().end()) Send(i, node->second.address(), report);
  }
}

void SimulatedCluster::AdoptRollouts(Node& n) {
  n.coordinator->Adopt(now, n.state.rollouts);
  n.observer->Adopt(n.state.rollouts);
  n.disseminator->Commit(n.state.rollouts);
  const rollout::Rollout* rollout = n.state.rollouts.NewestOf("s");
  if (!rollout || !n.raft->HasCommittedInTerm()) return;
  if (traffic.ordered_at < 0) traffic.ordered_at = now;
  if (traffic.ended_at >= 0 && rollout->stage != traffic.stage) {
    Fail("a roll-out that had ended went on");
  }
  traffic.stage = rollout->stage;
  if (!rollout::IsFinal(rollout->stage) || traffic.ended_at >= 0) return;
  traffic.ended_at = now;
  // The old servers are stopped now, so no reachable proxy may have requests in flight to them or
  // send them new ones.
  if (rollout->stage != rollout::Stage::kCompleted) return;
  for (auto& other : nodes_) {
    if (other->controller || !other->up || other->frozen || !cuts_.empty()) continue;
    if (!other->policy->RolloutOf("s") && other->policy->RuleOf(now, "s").primary != "v2") continue;
    if (other->old_in_flight() > 0)
      Fail(other->address.ip + " has requests in flight to stopped servers");
    if (other->policy->RuleOf(now, "s").primary != "v2") {
      Fail(other->address.ip + " sends to stopped servers");
    }
  }
}

void SimulatedCluster::TickRollouts(size_t i) {
  Node& n = *nodes_[i];
  if (n.raft->HasCommittedInTerm()) {
    for (const auto& step : n.coordinator->Review(now, n.state.rollouts, ObserverCandidates(n))) {
      Propose(n, step);
    }
    if (options_.requests > 0 && n.state.rollouts.InForce("s").empty()) {
      rollout::Step found;
      found.detected = {{"s", "v1"}};
      Propose(n, found);
    }
  }
  if (!n.observer->active()) return;
  std::vector<rollout::Observer::KnownProxy> proxies;
  for (const auto& [id, node] : n.members->nodes()) {
    if (node.program == membership::Program::kProxy && node.state != membership::State::kLeft) {
      proxies.push_back({id, node.reachable()});
    }
  }
  for (const auto& vote : n.observer->Tick(now, proxies)) {
    if (n.raft->is_leader()) {
      n.coordinator->OnVote(now, vote);
    } else if (auto leader = n.raft->leader()) {
      Send(i, leader->address(), vote);
    }
  }
}

}  // namespace elderkeel::simulation
