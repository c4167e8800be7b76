// SimulatedCluster: the operator's calls, and the documents that they send.
#include <algorithm>
#include <utility>

#include "simulation/simulation.h"

namespace elderkeel::simulation {

bool SimulatedCluster::Change() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->raft && nodes_[i]->raft->HasCommittedInTerm() && ChangeAt(i)) return true;
  }
  return false;
}

bool SimulatedCluster::ChangeAt(size_t i) {
  Node* n = nodes_[i].get();
  if (!n->up || n->frozen || !n->raft || !n->raft->HasCommittedInTerm()) return false;
  int64_t current = n->state.configuration.revision();
  int64_t revision = std::max(current, next_revision_) + 1 + static_cast<int64_t>(random_.Below(3));
  next_revision_ = revision;
  configuration::Change change;
  change.if_match = current;
  change.patch = options_.routes > 0 && current > 0;
  change.body = ChangeBody(revision, change.patch);
  last_change_ = change;
  auto index = n->raft->Propose(
      now, controller::MakeCommand(controller::Command::Kind::kConfiguration, change));
  if (index) pending_changes_[{n, n->boot_id, *index}] = {revision, current};
  return index.has_value();
}

bool SimulatedCluster::Submit(const configuration::Change& change) {
  for (auto& n : nodes_) {
    if (!n->up || n->frozen || !n->raft || !n->raft->HasCommittedInTerm()) continue;
    return n->raft
        ->Propose(now, controller::MakeCommand(controller::Command::Kind::kConfiguration, change))
        .has_value();
  }
  return false;
}

bool SimulatedCluster::DrainZone(const std::string& zone, bool drain) {
  for (auto& n : nodes_) {
    if (!n->up || n->frozen || !n->raft || !n->raft->HasCommittedInTerm()) continue;
    auto index =
        n->raft->Propose(now, controller::MakeCommand(controller::Command::Kind::kZoneDrain,
                                                      zone_drain::DrainOrder{zone, drain}));
    if (index) pending_drains_[{n.get(), n->boot_id, *index}] = {zone, drain};
    drained_zones_.erase(zone);  // either state may be in force until this order is acknowledged
    return index.has_value();
  }
  return false;
}

bool SimulatedCluster::OrderRollout(int64_t time_limit_ms) {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = *nodes_[i];
    if (!n.up || n.frozen || !n.raft || !n.raft->HasCommittedInTerm()) continue;
    rollout::Step step;
    step.kind = rollout::Step::Kind::kOrder;
    step.order = {"s", "v2", time_limit_ms};
    step.observers = rollout::ChooseObservers("s", ObserverCandidates(n));
    traffic.time_limit_ms = time_limit_ms;
    return Propose(n, step);
  }
  return false;
}

std::string SimulatedCluster::RouteJson(int route) {
  std::string name = std::to_string(route);
  return R"({"label":"r)" + name + R"(","host":"h.example","path-prefix":"/p)" + name +
         R"(/","variant":"idempotent","timeout-ms":)" + std::to_string(500 + random_.Below(500)) +
         R"(,"target-latency-ms":300,"priority":1,"target":"s","max-attempts":2})";
}

std::string SimulatedCluster::ChangeBody(int64_t revision, bool patch) {
  std::string head = R"({"revision":)" + std::to_string(revision);
  if (options_.routes == 0) {
    return head + R"(,"by":")" + std::to_string(random_.Next()) +
           R"(","route-list":[],"service-list":[]})";
  }
  if (patch) {
    int route = static_cast<int>(random_.Below(static_cast<uint64_t>(options_.routes)));
    return head + R"(,"upsert":{"route-list":[)" + RouteJson(route) + "]}}";
  }
  std::string routes;
  for (int i = 0; i < options_.routes; ++i) routes += (i ? "," : "") + RouteJson(i);
  return head + R"(,"route-list":[)" + routes +
         R"(],"service-list":[{"label":"s","health-path":"/health","max-conns":10,)" +
         R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)" +
         R"("max-body-bytes":1000000,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

bool SimulatedCluster::Propose(Node& n, const rollout::Step& step) {
  return n.raft->Propose(now, controller::MakeCommand(controller::Command::Kind::kRollout, step))
      .has_value();
}

}  // namespace elderkeel::simulation
