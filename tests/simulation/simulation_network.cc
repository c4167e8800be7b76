// SimulatedCluster: the simulated network between the nodes.
#include <algorithm>
#include <utility>

#include "simulation/simulation.h"

namespace elderkeel::simulation {

void SimulatedCluster::ResetByteCounts() {
  for (auto& n : nodes_) n->bytes = 0;
}

bool SimulatedCluster::ByDatagram(const Body& body) {
  if (auto* digest = std::get_if<dissemination::Digest>(&body)) return !digest->reliable;
  if (auto* request = std::get_if<dissemination::SyncRequest>(&body)) return !request->reliable;
  return std::holds_alternative<membership::Heartbeat>(body) ||
         std::holds_alternative<membership::PartDigests>(body) ||
         std::holds_alternative<membership::MembershipUpdate>(body) ||
         std::holds_alternative<membership::MembershipSummary>(body);
}

void SimulatedCluster::Send(size_t from, const Address& to, Body body) {
  bool datagram = ByDatagram(body);
  Send(from, to, std::move(body), datagram);
}

void SimulatedCluster::Send(size_t from, const Address& to, Body body, bool datagram) {
  auto at = by_address_.find(to);
  if (at == by_address_.end()) return;
  ++messages_;
  if (options_.trace) {
    std::string bytes = std::visit([](const auto& m) { return transport::Encode(m); }, body);
    Trace(from, body.index(), bytes);
    Trace(at->second, datagram, {});
  }
  if (options_.count_bytes && !std::holds_alternative<consensus::Message>(body)) {
    nodes_[from]->bytes +=
        std::visit([](const auto& m) { return transport::Encode(m).size(); }, body);
  }
  if (random_.Below(100) < static_cast<uint64_t>(options_.loss_percent)) return;
  if (datagram && (datagrams_lost_.count(from) || datagrams_lost_.count(at->second))) return;
  if (!datagram && connections_lost_.count({from, at->second})) return;
  packets_.push({now + 1 + static_cast<Millis>(random_.Below(15)), ++last_id_, from, at->second,
                 std::move(body)});
}

void SimulatedCluster::Deliver(size_t i, const Address& from, const Body& body) {
  Node& n = *nodes_[i];
  if (auto* m = std::get_if<membership::Heartbeat>(&body)) n.members->OnHeartbeat(now, from, *m);
  if (auto* m = std::get_if<membership::MembershipUpdate>(&body))
    n.members->OnMembershipUpdate(now, from, *m);
  if (auto* m = std::get_if<membership::PartDigests>(&body))
    n.members->OnPartDigests(now, from, *m);
  if (auto* m = std::get_if<membership::MembershipSummary>(&body))
    n.members->OnSummary(now, from, *m);
  if (auto* m = std::get_if<dissemination::ZoneDrainUpdate>(&body))
    n.disseminator->OnZoneDrainUpdate(now, from, *m);
  if (auto* m = std::get_if<dissemination::Digest>(&body)) n.disseminator->OnDigest(now, from, *m);
  if (auto* m = std::get_if<dissemination::SyncRequest>(&body)) {
    n.disseminator->OnSyncRequest(now, from, *m);
  }
  if (auto* m = std::get_if<dissemination::SyncReply>(&body)) {
    n.disseminator->OnSyncReply(now, from, *m);
  }
  if (auto* m = std::get_if<dissemination::PullRequest>(&body))
    n.disseminator->OnPullRequest(now, from, *m);
  if (auto* m = std::get_if<dissemination::ConfigurationUpdate>(&body))
    n.disseminator->OnConfigurationUpdate(now, from, *m);
  if (auto* m = std::get_if<dissemination::EndpointUpdate>(&body))
    n.disseminator->OnEndpointUpdate(now, from, *m);
  if (auto* m = std::get_if<dissemination::RolloutUpdate>(&body))
    n.disseminator->OnRolloutUpdate(now, from, *m);
  if (auto* m = std::get_if<rollout::LeaseRenewal>(&body)) {
    n.policy->OnLeaseRenewal(now, *m);
    n.disseminator->OnRolloutVersion(now, from, m->version);
  }
  if (auto* m = std::get_if<dissemination::ConfirmReply>(&body); m && !n.controller) {
    if (auto leader = n.confirmation->OnReply(now, *m)) {
      Send(i, *leader, dissemination::ConfirmRequest{m->nonce});
    }
  }
  if (!n.controller) return;
  if (auto* m = std::get_if<dissemination::ConfirmRequest>(&body)) OnConfirm(i, from, *m);
  if (auto* m = std::get_if<rollout::ProxyReport>(&body)) {
    bool reporting = n.raft->HasCommittedInTerm() ||
                     (n.raft->last_leader_contact() && now - n.raft->last_leader_contact() < 1200);
    if (n.observer->OnProxyReport(now, *m) && m->wants_renewal && reporting) {
      Send(i, from, rollout::LeaseRenewal{m->number, n.state.rollouts.version(), m->reported_at});
    }
  }
  if (auto* m = std::get_if<rollout::Vote>(&body)) n.coordinator->OnVote(now, *m);
  if (auto* m = std::get_if<consensus::Message>(&body)) n.raft->Receive(now, *m, from);
  if (auto* m = std::get_if<consensus::Member>(&body)) {
    if (n.raft->is_leader()) {
      n.raft->AddLearner(now, *m);
    } else if (auto leader = n.raft->leader(); leader && leader->address() != from) {
      Send(i, leader->address(), *m);
    }
  }
  if (auto* m = std::get_if<singleton::Resignation>(&body)) OnResignation(i, *m);
}

}  // namespace elderkeel::simulation
