// Log replication of a RaftNode: the leader appends entries, replicates them by AppendEntries and
// commits them once enough replicas are synced.
#include <algorithm>
#include <utility>

#include "consensus/raft_node.h"

namespace elderkeel::consensus {
namespace {
constexpr size_t kMaxEntriesPerMessage = 64;
constexpr size_t kEntryOverheadBytes = 64;  // approximate encoded size of an entry without its data
}  // namespace

Index RaftNode::Append(EntryKind kind, std::string data) {
  AppendEntry(Entry{term(), log_.last_index() + 1, kind, std::move(data)});
  if (kind == EntryKind::kVoters) {
    ReloadVoters();
    TrackVoters();
  }
  return log_.last_index();
}

void RaftNode::AppendEntry(Entry entry) {
  WriteRequest& write = CurrentWrite();
  write.entries.push_back(entry);
  pending_writes_.SetDurableOnFinish(write.sequence, entry.index);
  log_.Append(std::move(entry));
}

// Removes entries of an earlier leader that conflict with the current leader's; they were never
// committed.
void RaftNode::TruncateLog(Index from) {
  WriteRequest& write = CurrentWrite();
  if (write.truncate_from == 0 || from < write.truncate_from) write.truncate_from = from;
  auto& unwritten = write.entries;
  unwritten.erase(std::remove_if(unwritten.begin(), unwritten.end(),
                                 [from](const Entry& entry) { return entry.index >= from; }),
                  unwritten.end());
  log_.TruncateFrom(from);
  pending_writes_.OnTruncated(from - 1);
}

std::optional<Index> RaftNode::Propose(base::Millis now, std::string command) {
  AdvanceClock(now);
  if (!HasCommittedInTerm() || storage_failed_) return std::nullopt;
  Index index = Append(EntryKind::kCommand, std::move(command));
  Broadcast(now);
  return index;
}

void RaftNode::Broadcast(base::Millis now) {
  heartbeat_at_ = now + timing_.heartbeat_interval;
  for (auto& [id, peer] : progress_) SendAppendEntries(now, &peer, true);
}

void RaftNode::SendAppendEntries(base::Millis now, PeerProgress* peer, bool heartbeat) {
  if (peer->state_lost) {
    if (heartbeat) SendStateLost(peer);
    return;
  }
  Index previous = peer->next_index - 1;
  bool compacted = previous != log_.snapshot().index && !log_.Find(previous);
  if (peer->snapshot || compacted) {
    SendSnapshot(now, peer, heartbeat);
    return;
  }
  Message message = MakeMessage(MessageType::kAppendEntries, peer->member.id);
  message.index = previous;
  message.log_term = log_.TermAt(previous);
  message.commit = commit_index_;
  size_t bytes = 0;
  for (Index index = peer->next_index; index <= log_.last_index(); ++index) {
    const Entry* entry = log_.Find(index);
    if (!entry || message.entries.size() >= kMaxEntriesPerMessage) break;
    size_t size = entry->data.size() + kEntryOverheadBytes;
    if (!peer->window.HasRoom(bytes, size)) break;
    bytes += size;
    message.entries.push_back(*entry);
  }
  if (message.entries.empty() && !heartbeat) return;
  message.round = ++round_;
  if (bytes > 0) peer->window.OnSent(now, message.round, bytes);
  peer->next_index += message.entries.size();
  Send(peer->member.address(), std::move(message), SendWhen::kNow);
}

void RaftNode::SendStateLost(PeerProgress* peer) {
  Message message = MakeMessage(MessageType::kStateLost, peer->member.id);
  message.index = peer->match_index;
  message.round = ++round_;
  Send(peer->member.address(), std::move(message), SendWhen::kNow);
}

// A late or duplicate message doesn't show that the leader is in contact now: only a message that
// is newer than all received from this leader counts.
void RaftNode::RecordLeaderContact(base::Millis now, const Message& message,
                                   const base::Address& from) {
  if (message.round <= last_leader_round_ && last_leader_round_ > 0) return;
  last_leader_round_ = message.round;
  if (role_ != Role::kFollower || leader_id_ != message.from) {
    BecomeFollower(now, message.term, message.from);
  }
  no_leader_contact_yet_ = false;
  last_leader_contact_ = now;
  leader_address_ = from;
  ResetElectionTimer(now);
}

PeerProgress* RaftNode::RecordPeerContact(base::Millis now, const Message& message, bool* newest) {
  if (!is_leader()) return nullptr;
  auto found = progress_.find(message.from);
  if (found == progress_.end() || found->second.state_lost) return nullptr;
  PeerProgress& peer = found->second;
  peer.last_contact = now;
  *newest = message.round > peer.last_reply_round;
  peer.last_reply_round = std::max(peer.last_reply_round, message.round);
  peer.window.OnReply(now, message.round, timing_.heartbeat_interval);
  return &peer;
}

bool RaftNode::ContactedWithin(base::Millis now, MemberId id, base::Millis span) const {
  if (id == self_.id) return true;
  auto peer = progress_.find(id);
  return peer != progress_.end() && !peer->second.state_lost &&
         now - peer->second.last_contact < span;
}

void RaftNode::OnAppendEntries(base::Millis now, const Message& message,
                               const base::Address& from) {
  RecordLeaderContact(now, message, from);
  Message reply = MakeMessage(MessageType::kAppendEntriesReply, message.from);
  reply.round = message.round;
  if (!log_.Matches(message.index, message.log_term)) {
    reply.granted = false;
    reply.index = std::min(log_.last_index(), message.index > 0 ? message.index - 1 : 0);
    Send(from, std::move(reply), SendWhen::kWritesFinished);
    return;
  }
  AppendFromLeader(message.entries);
  Index sent = message.entries.empty() ? message.index : message.entries.back().index;
  Index covered = std::min(log_.snapshot().index, message.index + message.entries.size());
  Index matched = std::max(sent, covered);
  CommitTo(std::min(message.commit, matched));
  reply.granted = true;
  reply.index = matched;
  Send(from, std::move(reply), SendWhen::kWritesFinished);
}

void RaftNode::AppendFromLeader(const std::vector<Entry>& entries) {
  bool voters_changed = false;
  for (const Entry& entry : entries) {
    if (entry.index <= log_.snapshot().index) continue;
    if (entry.index <= log_.last_index()) {
      if (log_.TermAt(entry.index) == entry.term) continue;
      TruncateLog(entry.index);
      voters_changed = true;
    }
    AppendEntry(entry);
    voters_changed |= entry.kind == EntryKind::kVoters;
  }
  if (voters_changed) ReloadVoters();
}

void RaftNode::OnAppendEntriesReply(base::Millis now, const Message& message) {
  bool newest = false;
  PeerProgress* peer = RecordPeerContact(now, message, &newest);
  if (!peer) return;
  if (!message.granted) {
    OnRejected(now, message, newest, peer);
    AdvanceReads();
    return;
  }
  if (message.index > peer->match_index) {
    peer->match_index = std::min(message.index, log_.last_index());
    peer->acknowledged_round = round_;
    peer->next_index = std::max(peer->next_index, peer->match_index + 1);
    if (peer->snapshot && peer->match_index >= peer->snapshot->index) {
      peer->snapshot.reset();
      peer->window.Clear();
    }
    AdvanceCommit(now);
    if (!is_leader()) return;
    auto found = progress_.find(message.from);
    if (found == progress_.end()) return;
    peer = &found->second;
  }
  SendAppendEntries(now, peer, false);
  AdvanceReads();
}

// `message.index` is the last entry that the member may share with this leader. Acknowledged
// entries are synced, so a rejection below them is either older than the acknowledgement, or the
// member has lost them.
void RaftNode::OnRejected(base::Millis now, const Message& message, bool newest,
                          PeerProgress* peer) {
  if (message.index < peer->match_index) {
    if (message.round <= peer->acknowledged_round) return;
    peer->state_lost = true;
    peer->last_reply_round = 0;  // so that it doesn't confirm reads either
    effects_.state_lost.push_back(peer->member);
    SendAppendEntries(now, peer, true);
    return;
  }
  bool current = newest && message.round > peer->rewound_round;
  if (peer->snapshot || !current || message.index + 1 >= peer->next_index) return;
  peer->next_index = message.index + 1;
  RecordRewind(peer);
  SendAppendEntries(now, peer, true);
}

// Messages sent from here on start at the decreased position, so that rejections of earlier
// messages can be ignored.
void RaftNode::RecordRewind(PeerProgress* peer) {
  peer->rewound_round = round_;
  peer->window.Clear();
}

// The leader has detected that this member lacks entries that it had acknowledged. Its recorded
// votes may be lost as well, so it must not take part under this id again, and its store is
// discarded.
void RaftNode::OnStateLost() {
  storage_failed_ = true;
  pending_writes_.DropDeferred();
  effects_.discard_store = true;
}

Index RaftNode::DurableIndexOf(const Member& voter) const {
  if (voter.id == self_.id) return pending_writes_.durable_index();
  auto peer = progress_.find(voter.id);
  return peer == progress_.end() || peer->second.state_lost ? 0 : peer->second.match_index;
}

bool RaftNode::HasEnoughReplicas(Index index) const {
  ReplicaCount replicas(tolerance_);
  for (const Member& voter : voters_) {
    std::string zone = ZoneOf(voter);
    replicas.AddVoter(zone, RegionOf(zone), DurableIndexOf(voter) >= index);
  }
  return replicas.IsEnough();
}

void RaftNode::AdvanceCommit(base::Millis now) {
  std::vector<Index> durable;
  for (const Member& voter : voters_) durable.push_back(DurableIndexOf(voter));
  if (durable.empty()) return;
  std::sort(durable.begin(), durable.end(), std::greater<>());
  // Finds the highest index that a majority holds and that has enough replicas.
  size_t rank = Majority() - 1;
  while (rank < durable.size() && !HasEnoughReplicas(durable[rank])) ++rank;
  if (rank == durable.size()) return;
  Index index = durable[rank];
  if (index <= commit_index_ || log_.TermAt(index) != term()) return;
  bool first_in_term = log_.TermAt(commit_index_) != term();
  commit_index_ = index;
  ApplyCommitted();
  if (first_in_term) effects_.role_changed = true;
  if (!IsVoter(self_.id) && log_.LastVotersIndex() <= commit_index_) {
    // The entry that removes this member from the voters is committed, so it must step down.
    TransferLeadership(now);
    BecomeFollower(now, term(), 0);
    return;
  }
  Broadcast(now);  // sends the commit index to the followers at once
}

void RaftNode::CommitTo(Index index) {
  if (index <= commit_index_) return;
  commit_index_ = index;
  if (partial_snapshot_ && partial_snapshot_->snapshot.index <= commit_index_)
    partial_snapshot_.reset();
  ApplyCommitted();
}

void RaftNode::ApplyCommitted() {
  while (applied_index_ < commit_index_) {
    const Entry* entry = log_.Find(applied_index_ + 1);
    if (!entry) break;
    ++applied_index_;
    effects_.committed.push_back(*entry);
  }
}

}  // namespace elderkeel::consensus
