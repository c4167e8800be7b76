// SimulatedCluster: starts, stops and faults of nodes and links.
#include <algorithm>
#include <utility>

#include "simulation/simulation.h"

namespace elderkeel::simulation {

void SimulatedCluster::Start(size_t i, bool first) {
  Node& n = *nodes_[i];
  if (n.up) return;
  n.up = true;
  n.frozen = false;
  n.shutdown_deadline = 0;
  n.boot_id = random_.Next() | 1;
  n.adopted_revision = 0;
  n.adopted_epoch = n.adopted_sequence = 0;
  membership::Membership::Options member;
  member.self.ip = n.address.ip;
  member.self.port = n.address.port;
  member.self.id = base::Hash(n.address.ToString());
  member.self.zone = n.zone;
  member.self.boot_id = n.boot_id;
  member.self.durable = n.controller;
  member.self.program =
      n.controller ? membership::Program::kController : membership::Program::kProxy;
  member.seed = random_.Next();
  member.regions = options_.regions;
  std::vector<Address> seeds;
  for (int k = 0; k < std::min(3, options_.controllers); ++k) {
    if (nodes_[k].get() != &n) seeds.push_back(nodes_[k]->address);
  }
  n.members = std::make_unique<membership::Membership>(member, seeds, now);
  dissemination::Disseminator::Options disseminator;
  disseminator.seed = random_.Next();
  disseminator.max_age = n.controller ? 500 : 900;
  disseminator.seeds = seeds;
  n.disseminator =
      std::make_unique<dissemination::Disseminator>(disseminator, n.members.get(), now);
  n.in_flight.clear();
  n.confirmation = std::make_unique<dissemination::Confirmation>(n.boot_id);
  n.confirmed_at = -1;
  n.pending_confirms.clear();
  n.heartbeat_reads.clear();
  n.policy = std::make_unique<rollout::CanaryPolicy>(rollout::CanaryPolicy::Options{});
  n.coordinator =
      std::make_unique<rollout::RolloutCoordinator>(rollout::RolloutCoordinator::Options());
  rollout::Observer::Options observer;
  observer.self = member.self.id;
  observer.boot_id = n.boot_id;
  n.observer = std::make_unique<rollout::Observer>(observer);
  if (!n.controller) return;
  n.state = controller::ControlState();
  n.assignment = std::make_unique<singleton::Assigner>(1000);
  n.reader_epoch = n.sequence = 0;
  n.poll_at = n.claim_at = n.join_at = 0;
  consensus::RaftNode::Options raft;
  raft.self.ip = n.address.ip;
  raft.self.port = n.address.port;
  raft.self.zone = n.zone;
  raft.seed = random_.Next();
  raft.tolerance = options_.tolerance;
  raft.regions = options_.regions;
  if (first && i < initial_voters_.size()) {
    raft.self.id = initial_voters_[i].id;
    raft.initial_voters = initial_voters_;
    raft.cluster = 77;
  } else {
    raft.self.id = random_.Next() | 1;
  }
  n.raft = std::make_unique<consensus::RaftNode>(raft, n.disk, now);
  for (auto& other : nodes_) n.raft->SetZone(other->address.ip, other->zone);
  if (listener_) listener_->OnStarted(i);
}

void SimulatedCluster::Crash(size_t i) {
  Node& n = *nodes_[i];
  if (n.up && listener_) listener_->OnCrashed(i);
  n.up = false;
  n.pending_writes.clear();  // writes that weren't synced are lost
  n.raft.reset();
  n.disseminator.reset();
  n.members.reset();
}

void SimulatedCluster::Leave(size_t i) {
  Node& n = *nodes_[i];
  if (!n.up || n.frozen || n.shutdown_deadline) return;
  n.members->Leave(now);
  if (n.raft) {
    n.raft->Leave();
    n.raft->TransferLeadership(now);
    n.shutdown_deadline = now + 5000;
  }
  Pump(i);
  if (!n.raft) Crash(i);
}

void SimulatedCluster::LosePower(size_t i) {
  Node& n = *nodes_[i];
  size_t kept = random_.Below(3) == 0 ? 0 : random_.Below(n.pending_writes.size() + 1);
  for (size_t k = 0; k < kept; ++k) Store(&n, n.pending_writes[k].second);
  Crash(i);
}

void SimulatedCluster::Wipe(size_t i) {
  Crash(i);
  nodes_[i]->disk = consensus::RestoredState();
}

void SimulatedCluster::Cut(size_t a, size_t b, bool cut) {
  if (cut) {
    cuts_.insert({std::min(a, b), std::max(a, b)});
  } else {
    cuts_.erase({std::min(a, b), std::max(a, b)});
  }
}

void SimulatedCluster::CutOneWay(size_t from, size_t to, bool cut) {
  if (cut) {
    one_way_cuts_.insert({from, to});
  } else {
    one_way_cuts_.erase({from, to});
  }
}

void SimulatedCluster::Isolate(size_t i, bool cut) {
  for (size_t k = 0; k < nodes_.size(); ++k) {
    if (k != i) Cut(i, k, cut);
  }
}

void SimulatedCluster::LoseDatagrams(size_t i, bool lose) {
  if (lose) {
    datagrams_lost_.insert(i);
  } else {
    datagrams_lost_.erase(i);
  }
}

void SimulatedCluster::LoseConnection(size_t from, size_t to, bool lose) {
  if (lose) {
    connections_lost_.insert({from, to});
  } else {
    connections_lost_.erase({from, to});
  }
}

void SimulatedCluster::HealAll() {
  cuts_.clear();
  one_way_cuts_.clear();
  datagrams_lost_.clear();
  connections_lost_.clear();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Freeze(i, false);
    nodes_[i]->disk_hangs_until = 0;
    if (nodes_[i]->shutdown_deadline)
      Crash(i);  // ends the shutdown, so that Start() restarts it now
    Start(i);
  }
}

}  // namespace elderkeel::simulation
