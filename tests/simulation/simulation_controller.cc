// SimulatedCluster: the work of a controller around its Raft node, and the confirmation of proxies.
#include <algorithm>
#include <utility>

#include "simulation/simulation.h"

namespace elderkeel::simulation {

void SimulatedCluster::AskConfirmation(size_t i) {
  Node& n = *nodes_[i];
  dissemination::Versions held{n.disseminator->revision(),
                               n.disseminator->drained_zones().version(),
                               n.disseminator->rollouts().version()};
  if (n.confirmed_at >= 0) return;
  if (n.confirmation->IsCurrent(now, held)) {
    n.confirmed_at = now;
    // The question is at most a second old, so the confirmed state includes every change that was
    // acknowledged before that.
    auto known = acknowledged_at_.upper_bound(now - 1000);
    if (known != acknowledged_at_.begin() && held.revision < std::prev(known)->second) {
      Fail(n.address.ip + " accepted an outdated configuration as confirmed");
    }
    return;
  }
  if (now % 100 != 0) return;
  const Address& to = nodes_[n.asked++ % static_cast<size_t>(options_.controllers)]->address;
  Send(i, to, n.confirmation->NewRequest(now));
}

void SimulatedCluster::OnConfirm(size_t i, const Address& from,
                                 const dissemination::ConfirmRequest& confirm) {
  Node& n = *nodes_[i];
  uint64_t token = ++last_id_;
  n.pending_confirms[token] = {from, confirm.nonce};
  if (n.raft->ConfirmRead(now, token)) return;
  AnswerConfirm(i, token, false);
}

void SimulatedCluster::AnswerConfirm(size_t i, uint64_t token, bool confirmed) {
  Node& n = *nodes_[i];
  auto at = n.pending_confirms.find(token);
  if (at == n.pending_confirms.end()) return;
  dissemination::ConfirmReply reply;
  reply.nonce = at->second.second;
  reply.confirmed = confirmed;
  if (confirmed) {
    reply.versions = {n.state.configuration.revision(), n.state.drained_zones.version(),
                      n.state.rollouts.version()};
  } else if (auto leader = n.raft->LeaderInContact(now); leader && !n.raft->is_leader()) {
    reply.leader_ip = leader->ip;
    reply.leader_port = leader->port;
  }
  Send(i, at->second.first, reply);
  n.pending_confirms.erase(at);
}

void SimulatedCluster::FinishWrites(size_t i) {
  Node& n = *nodes_[i];
  while (!n.pending_writes.empty() && n.pending_writes.front().first <= now &&
         now >= n.disk_hangs_until) {
    consensus::WriteRequest write = std::move(n.pending_writes.front().second);
    n.pending_writes.erase(n.pending_writes.begin());
    Store(&n, write);
    n.raft->OnWriteFinished(now, write.sequence, true);
    Pump(i);
  }
}

void SimulatedCluster::Store(Node* node, const consensus::WriteRequest& write) {
  Node& n = *node;
  n.disk.empty = false;
  if (write.hard_state_changed) n.disk.hard_state = write.hard_state;
  if (!write.snapshot.empty()) n.disk.snapshot = write.snapshot[0];
  auto& log = n.disk.entries;
  auto drop = [&](auto keep) {
    std::vector<consensus::Entry> kept;
    for (auto& e : log) {
      if (keep(e)) kept.push_back(std::move(e));
    }
    log = std::move(kept);
  };
  if (write.drop_through) drop([&](const auto& e) { return e.index > write.drop_through; });
  if (write.truncate_from) drop([&](const auto& e) { return e.index < write.truncate_from; });
  log.insert(log.end(), write.entries.begin(), write.entries.end());
  if (write.commit && random_.Below(2)) n.disk.commit = write.commit;  // not synced, may be lost
}

std::vector<singleton::Candidate> SimulatedCluster::Candidates(const Node& n) {
  std::vector<singleton::Candidate> candidates;
  for (const auto& v : n.raft->voters()) {
    Millis last_contact_at = n.raft->LastContact(v.id);
    candidates.push_back(
        {v.id, last_contact_at < 0 ? INT64_MAX : now - last_contact_at, v.id == n.raft->self().id});
  }
  return candidates;
}

void SimulatedCluster::ProposeAssignment(Node& n,
                                         const std::optional<singleton::Assignment>& assignment) {
  if (assignment)
    n.raft->Propose(
        now, controller::MakeCommand(controller::Command::Kind::kCatalogReader, *assignment));
}

void SimulatedCluster::OnResignation(size_t i, const singleton::Resignation& r) {
  Node& n = *nodes_[i];
  if (n.raft->HasCommittedInTerm())
    ProposeAssignment(n,
                      n.assignment->OnResignation(now, n.state.catalog_reader, Candidates(n), r));
}

void SimulatedCluster::UpdateAuthorities(Node& n) {
  std::optional<Address> leader, reader;
  if (auto member = n.raft->leader(); member && !n.raft->is_leader()) {
    leader = member->address();
  }
  bool reads = n.state.catalog_reader.owner == n.raft->self().id;
  for (const auto& voter : n.raft->voters()) {
    if (voter.id == n.state.catalog_reader.owner && !reads) reader = voter.address();
  }
  n.disseminator->SetAuthorities(leader, reader);
  if (!n.raft->HasCommittedInTerm()) n.heartbeat_reads.clear();
  if (n.raft->HasCommittedInTerm() && n.heartbeat_reads.empty()) {
    n.heartbeat_reads[++last_id_] = now;
    if (!n.raft->ConfirmReadByHeartbeat(now, last_id_)) n.heartbeat_reads.clear();
  }
  Millis log_age = n.disseminator->log_age(now);
  bool published = n.sequence > 0 && n.reader_epoch == n.state.catalog_reader.epoch;
  if (reads && n.state.catalog_reader.boot_id == n.boot_id && published && log_age >= 0 &&
      log_age <= 1000) {
    n.disseminator->ConfirmEndpointsCurrent(now);
  }
}

void SimulatedCluster::TickController(size_t i) {
  Node& n = *nodes_[i];
  TickRollouts(i);
  if (n.raft->HasCommittedInTerm())
    ProposeAssignment(n, n.assignment->Review(now, n.state.catalog_reader, Candidates(n)));
  UpdateAuthorities(n);
  bool reporting = n.raft->last_leader_contact() && now - n.raft->last_leader_contact() < 1200;
  if (!n.raft->is_leader() && !reporting && now >= n.join_at) {
    n.join_at = now + 400;
    for (int k = 0; k < options_.controllers; ++k) {
      if (nodes_[k].get() != &n) Send(i, nodes_[k]->address, n.raft->self());
    }
  }
  if (n.state.catalog_reader.owner != n.raft->self().id) return;
  if (n.state.catalog_reader.boot_id != n.boot_id) {
    if (now < n.claim_at) return;
    n.claim_at = now + 200;
    singleton::Resignation claim{n.state.catalog_reader.epoch, n.raft->self().id, n.boot_id};
    if (n.raft->is_leader()) {
      OnResignation(i, claim);
    } else if (auto leader = n.raft->leader()) {
      Send(i, leader->address(), claim);
    }
    return;
  }
  if (now < n.poll_at) return;
  n.poll_at = now + 500;
  if (n.reader_epoch != n.state.catalog_reader.epoch) n.sequence = 0;
  n.reader_epoch = n.state.catalog_reader.epoch;
  discovery::Server server;
  server.id = "list-" + std::to_string(list_version_);
  if (n.sequence && n.disseminator->endpoints().servers.size() == 1 &&
      n.disseminator->endpoints().servers[0].id == server.id) {
    n.disseminator->ConfirmListUnchanged(now, now, n.reader_epoch);
  } else {
    n.disseminator->Publish(now, now, {n.reader_epoch, ++n.sequence, {server}});
  }
}

void SimulatedCluster::TraceEffects(size_t i, const consensus::RaftNode::Effects& e) {
  if (!options_.trace) return;
  for (const auto& write : e.writes) {
    Trace(i, 100,
          std::to_string(write.sequence) + "," + std::to_string(write.commit) + "," +
              std::to_string(write.truncate_from) + "," + std::to_string(write.drop_through));
    if (write.hard_state_changed) Trace(i, 101, transport::Encode(write.hard_state));
    for (const auto& entry : write.entries) Trace(i, 102, transport::Encode(entry));
    for (const auto& snapshot : write.snapshot) Trace(i, 103, transport::Encode(snapshot));
  }
  for (const auto& entry : e.committed) Trace(i, 104, transport::Encode(entry));
  for (const auto& snapshot : e.installed) Trace(i, 105, transport::Encode(snapshot));
  for (uint64_t token : e.confirmed_reads) Trace(i, 106, std::to_string(token));
  for (uint64_t token : e.failed_reads) Trace(i, 107, std::to_string(token));
  if (e.role_changed) Trace(i, 108, std::to_string(static_cast<int>(RoleOf(i))));
}

void SimulatedCluster::PumpRaft(size_t i) {
  Node& n = *nodes_[i];
  for (;;) {
    consensus::RaftNode::Effects e = n.raft->TakeEffects();
    // No simulated disk loses synced data while a node keeps its identity, so no node may report
    // the loss of state.
    if (!e.state_lost.empty() || e.discard_store)
      Fail(n.address.ip + " reports lost state or discards its store");
    if (e.messages.empty() && e.writes.empty() && e.committed.empty() && e.installed.empty() &&
        e.confirmed_reads.empty() && e.failed_reads.empty() && !e.role_changed) {
      break;
    }
    TraceEffects(i, e);
    for (auto& write : e.writes)
      n.pending_writes.push_back(
          {now + 2 + static_cast<Millis>(random_.Below(20)), std::move(write)});
    for (auto& out : e.messages) Send(i, out.to, out.message);
    for (const auto& snapshot : e.installed) {
      n.state = controller::ControlState();
      if (!snapshot.state.empty())
        n.state = *transport::Decode<controller::ControlState>(snapshot.state);
    }
    for (const auto& entry : e.committed) {
      uint64_t digest = base::Hash(entry.data, entry.term * 8 + static_cast<uint64_t>(entry.kind));
      auto [at, added] = committed_digests_.emplace(entry.index, digest);
      if (!added && at->second != digest)
        Fail(n.address.ip + " committed another entry at " + std::to_string(entry.index));
      if (entry.kind == consensus::EntryKind::kCommand) {
        n.state.Apply(entry.data);
        if (hooks.applied) hooks.applied(i, entry);
        if (listener_) listener_->OnApplied(i, entry.index);
      }
      auto sent = pending_changes_.find({&n, n.boot_id, entry.index});
      if (sent != pending_changes_.end()) {
        if (n.raft->is_leader() && n.state.configuration.revision() == sent->second.first) {
          acknowledged_ = std::max(acknowledged_, sent->second.first);
          acknowledged_at_[now] = acknowledged_;
          auto [at, added] = acknowledged_by_base_.emplace(sent->second.second, sent->second.first);
          if (!added && at->second != sent->second.first) {
            Fail("two changes built on " + std::to_string(sent->second.second) +
                 " were both acknowledged");
          }
        }
        pending_changes_.erase(sent);
      }
      auto ordered = pending_drains_.find({&n, n.boot_id, entry.index});
      if (ordered != pending_drains_.end()) {
        if (n.raft->is_leader()) drained_zones_[ordered->second.first] = ordered->second.second;
        pending_drains_.erase(ordered);
      }
    }
    if (!n.state.configuration.empty()) {
      CheckConfigurationDigest(n.state.configuration.revision(),
                               base::Hash(n.state.configuration.text()), n.address.ip);
      n.disseminator->Commit(now, n.state.configuration);
    }
    n.disseminator->Commit(n.state.drained_zones);
    AdoptRollouts(n);
    if (e.role_changed && hooks.role_changed) hooks.role_changed(i);
    for (bool ok : {false, true}) {
      for (uint64_t token : ok ? e.confirmed_reads : e.failed_reads) {
        if (n.pending_confirms.count(token)) {
          AnswerConfirm(i, token, ok);
        } else if (n.heartbeat_reads.count(token)) {
          if (ok) n.disseminator->ConfirmLogCurrent(n.heartbeat_reads[token]);
          n.heartbeat_reads.erase(token);
        } else if (hooks.read_done) {
          hooks.read_done(i, token, ok);
        }
      }
    }
    if (listener_) listener_->OnEffects(i, e);
    if (n.raft->log_size() > 24) n.raft->Compact(n.raft->commit(), transport::Encode(n.state));
  }
  if (n.raft->is_leader()) {
    auto [at, added] = leaders_.emplace(n.raft->term(), n.raft->self().id);
    if (!added && at->second != n.raft->self().id)
      Fail("two leaders in term " + std::to_string(n.raft->term()));
  }
}

}  // namespace elderkeel::simulation
