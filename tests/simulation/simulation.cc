// SimulatedCluster: construction, the simulated clock, and the work of each step.
#include "simulation/simulation.h"

#include <algorithm>
#include <utility>

namespace elderkeel::simulation {

void SimulatedCluster::SetListener(Listener* listener) {
  listener_ = listener;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->up) listener_->OnStarted(i);
  }
}

SimulatedCluster::SimulatedCluster(Options options) : options_(options), random_(options.seed) {
  options_.controllers += options.spare_controllers;
  for (int i = 0; i < options_.controllers + options.proxies; ++i) {
    auto node = std::make_unique<Node>();
    node->controller = i < options_.controllers;
    node->zone = std::string(1, static_cast<char>('a' + i % options.zones));
    node->address = {"10.0.0." + std::to_string(i + 1), 7200};
    by_address_[node->address] = nodes_.size();
    nodes_.push_back(std::move(node));
  }
  for (int i = 0; i < std::min(3, options.controllers); ++i) {
    consensus::Member m;
    m.id = 100 + static_cast<uint64_t>(i);
    m.ip = nodes_[i]->address.ip;
    m.port = 7200;
    initial_voters_.push_back(m);
  }
  for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
    if (i < options.controllers || i >= options_.controllers) Start(static_cast<size_t>(i), true);
  }
}

void SimulatedCluster::Fail(const std::string& what) {
  if (fault.empty()) fault = "at " + std::to_string(now) + ": " + what;
}

void SimulatedCluster::Trace(size_t node, uint64_t kind, std::string_view bytes) {
  if (!options_.trace) return;
  trace_digest_ = base::Hash(bytes, base::Random(trace_digest_ + static_cast<uint64_t>(now) * 31 +
                                                 node * 1009 + kind * 65537)
                                        .Next());
}

void SimulatedCluster::Step() {
  while (!packets_.empty() && packets_.top().at <= now) {
    Packet p = packets_.top();
    packets_.pop();
    if (cuts_.count({std::min(p.from, p.to), std::max(p.from, p.to)})) continue;
    if (one_way_cuts_.count({p.from, p.to})) continue;
    Node& n = *nodes_[p.to];
    if (!n.up) continue;
    if (n.frozen) {
      p.at = now + 10;  // stays in the kernel's socket buffer
      packets_.push(std::move(p));
      continue;
    }
    Deliver(p.to, nodes_[p.from]->address, p.body);
    Pump(p.to);
  }
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = *nodes_[i];
    if (!n.up || n.frozen) continue;
    FinishWrites(i);
    if (now % 50 == 0) {
      n.members->Tick(now);
      n.disseminator->Tick(now);
    }
    if (n.controller) {
      n.raft->Tick(now);
      if (now % 50 == 0) TickController(i);
    }
    if (!n.controller && options_.requests > 0) Serve(i);
    if (!n.controller && options_.confirm) AskConfirmation(i);
    Pump(i);
    if (n.shutdown_deadline && (n.raft->may_stop() || now >= n.shutdown_deadline)) Crash(i);
  }
  if (listener_) listener_->OnStep();
}

void SimulatedCluster::PumpNode(size_t i) {
  Node& n = *nodes_[i];
  auto membership = n.members->TakeEffects();
  for (const auto& node : membership.changed) {
    if (node.state == membership::State::kAlive) n.disseminator->OnNodeReachable(now, node);
    if (!node.reachable()) n.disseminator->OnNodeUnreachable(node);
  }
  for (const auto& node : membership.changed) Trace(i, 110, transport::Encode(node));
  for (auto& [to, m] : membership.heartbeats) Send(i, to, m);
  for (auto& [to, m] : membership.updates) Send(i, to, m);
  for (auto& [to, m] : membership.part_digests) Send(i, to, m);
  for (auto& [to, m] : membership.summaries) Send(i, to, m);
  if (n.controller) PumpRaft(i);
  auto effects = n.disseminator->TakeEffects();
  for (auto& [to, m] : effects.digests) Send(i, to, m);
  for (auto& [to, m] : effects.pulls) Send(i, to, m);
  for (auto& [to, m] : effects.sync_requests) Send(i, to, m);
  for (auto& reply : effects.sync_replies) Send(i, reply.to, reply.reply, !reply.over_connection);
  for (auto& [to, m] : effects.configuration_updates) Send(i, to, m);
  for (auto& [to, m] : effects.endpoint_updates) Send(i, to, m);
  for (auto& [to, m] : effects.zone_drains) Send(i, to, m);
  for (auto& [to, m] : effects.rollouts) Send(i, to, m);
  if (effects.rollouts_adopted) n.policy->Adopt(now, n.disseminator->rollouts());
  if (options_.trace && !effects.empty()) {
    Trace(i, 111,
          std::to_string(n.disseminator->revision()) + "," +
              std::to_string(n.disseminator->drained_zones().version()) + "," +
              std::to_string(n.disseminator->rollouts().version()) + "," +
              std::to_string(n.disseminator->endpoints().epoch) + "," +
              std::to_string(n.disseminator->endpoints().sequence) + "," +
              std::to_string(n.disseminator->log_age(now)));
  }
  CheckFreshness(n);
  if (n.disseminator->revision() < n.adopted_revision)
    Fail(n.address.ip + " went back to an older configuration");
  bool adopted = n.adopted_revision != n.disseminator->revision();
  n.adopted_revision = n.disseminator->revision();
  const discovery::EndpointSnapshot& c = n.disseminator->endpoints();
  if (std::tie(c.epoch, c.sequence) < std::tie(n.adopted_epoch, n.adopted_sequence)) {
    Fail(n.address.ip + " went back to an older list");
  }
  n.adopted_epoch = c.epoch;
  n.adopted_sequence = c.sequence;
  if (adopted)
    CheckConfigurationDigest(n.adopted_revision, base::Hash(n.disseminator->configuration_text()),
                             n.address.ip);
}

}  // namespace elderkeel::simulation
