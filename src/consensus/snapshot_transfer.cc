// Snapshot transfer of a RaftNode: the leader sends a snapshot in chunks to a member that needs
// entries which are compacted away; the member assembles and installs it (Raft, section 7).
#include <algorithm>
#include <utility>

#include "consensus/raft_node.h"

namespace elderkeel::consensus {
namespace {
constexpr size_t kChunkBytes = 64u << 10;
constexpr uint64_t kMaxStateBytes = 32u << 20;  // chunks of a larger snapshot are ignored
}  // namespace

// Sends chunks of the snapshot as far as the window allows. If the window is full or all bytes were
// sent, a heartbeat is an empty chunk at the current offset; the member rejects it if bytes before
// that offset are missing.
void RaftNode::SendSnapshot(base::Millis now, PeerProgress* peer, bool heartbeat) {
  SelectSnapshot(now, peer);
  const Snapshot& snapshot = *peer->snapshot;
  for (;;) {
    size_t size = std::min(kChunkBytes, snapshot.state.size() - peer->snapshot_offset);
    if (!peer->window.HasRoom(0, size)) size = 0;
    if (size == 0 && !heartbeat) return;
    Message message = MakeMessage(MessageType::kInstallSnapshot, peer->member.id);
    message.round = ++round_;
    message.commit = commit_index_;
    message.offset = peer->snapshot_offset;
    message.total = snapshot.state.size();
    message.snapshot = {{snapshot.index, snapshot.term, snapshot.voters,
                         snapshot.state.substr(peer->snapshot_offset, size)}};
    if (size > 0) peer->window.OnSent(now, message.round, size);
    peer->snapshot_offset += size;
    heartbeat = false;
    Send(peer->member.address(), std::move(message), SendWhen::kNow);
  }
}

// Selects the snapshot to send to a peer. A transfer in progress continues with its snapshot,
// unless the peer is out of contact: then the entries after that snapshot are not kept for it, and
// it gets the newest one. Peers that need the same snapshot share one copy.
void RaftNode::SelectSnapshot(base::Millis now, PeerProgress* peer) {
  Index newest = log_.snapshot().index;
  if (peer->snapshot && peer->snapshot->index != newest &&
      !ContactedWithin(now, peer->member.id, timing_.election_timeout * 2)) {
    peer->snapshot.reset();
  }
  if (peer->snapshot) return;
  for (const auto& [id, other] : progress_) {
    if (other.snapshot && other.snapshot->index == newest) peer->snapshot = other.snapshot;
  }
  if (!peer->snapshot) peer->snapshot = std::make_shared<const Snapshot>(log_.snapshot());
  peer->snapshot_offset = 0;
  peer->window.Clear();
}

void RaftNode::OnInstallSnapshotReply(base::Millis now, const Message& message) {
  bool newest = false;
  PeerProgress* peer = RecordPeerContact(now, message, &newest);
  if (!peer) return;
  bool in_progress = peer->snapshot && message.index == peer->snapshot->index &&
                     message.offset <= peer->snapshot->state.size();
  if (in_progress) {
    if (message.granted) {
      peer->snapshot_offset = std::max<size_t>(peer->snapshot_offset, message.offset);
    } else if (newest && message.round > peer->rewound_round) {
      peer->snapshot_offset = message.offset;
      RecordRewind(peer);
    }
    SendAppendEntries(now, peer, false);
  }
  AdvanceReads();
}

void RaftNode::OnInstallSnapshot(base::Millis now, const Message& message,
                                 const base::Address& from) {
  if (message.snapshot.empty()) return;
  RecordLeaderContact(now, message, from);
  const Snapshot& chunk = message.snapshot[0];
  if (chunk.index > commit_index_ && log_.Find(chunk.index) &&
      log_.TermAt(chunk.index) == chunk.term) {
    // The log leads to the same state. It is kept, since this member may have acknowledged entries
    // after the snapshot.
    CommitTo(chunk.index);
  }
  if (chunk.index > commit_index_) {
    ChunkResult result = AddChunk(message);
    if (result == ChunkResult::kIgnored) return;
    if (result != ChunkResult::kComplete) {
      Message reply = MakeMessage(MessageType::kInstallSnapshotReply, message.from);
      reply.granted = result == ChunkResult::kAccepted;
      reply.index = chunk.index;
      reply.offset = partial_snapshot_->snapshot.state.size();
      reply.round = message.round;
      Send(from, std::move(reply), SendWhen::kWritesFinished);
      return;
    }
    Snapshot complete = std::move(partial_snapshot_->snapshot);
    partial_snapshot_.reset();
    InstallSnapshot(std::move(complete));
  }
  Message reply = MakeMessage(MessageType::kAppendEntriesReply, message.from);
  reply.granted = true;
  reply.index = std::max(log_.snapshot().index, commit_index_);
  reply.round = message.round;
  Send(from, std::move(reply), SendWhen::kWritesFinished);
}

// Adds a chunk to the snapshot that is being received. A chunk of a newer snapshot, or of a leader
// of another term, begins a new one. A chunk beyond the total size is ignored, as is a snapshot
// that is too large.
RaftNode::ChunkResult RaftNode::AddChunk(const Message& message) {
  const Snapshot& chunk = message.snapshot[0];
  bool in_progress = partial_snapshot_ && partial_snapshot_->leader_term == message.term;
  // A late chunk of an older snapshot.
  if (in_progress && partial_snapshot_->snapshot.index > chunk.index) return ChunkResult::kIgnored;
  if (message.total > kMaxStateBytes || message.offset + chunk.state.size() > message.total) {
    return ChunkResult::kIgnored;
  }
  if (!in_progress || partial_snapshot_->snapshot.index < chunk.index) {
    partial_snapshot_ = PartialSnapshot{message.term, {chunk.index, chunk.term, chunk.voters, ""}};
  }
  std::string& state = partial_snapshot_->snapshot.state;
  if (message.offset > state.size()) return ChunkResult::kGap;
  if (message.offset + chunk.state.size() > state.size()) {
    state.append(chunk.state, state.size() - message.offset);
  }
  return state.size() < message.total ? ChunkResult::kAccepted : ChunkResult::kComplete;
}

void RaftNode::InstallSnapshot(Snapshot snapshot) {
  log_.Install(std::move(snapshot));
  commit_index_ = applied_index_ = log_.snapshot().index;
  WriteRequest& write = CurrentWrite();
  write.entries.clear();
  write.truncate_from = 1;
  write.snapshot = {log_.snapshot()};
  pending_writes_.OnReplaced(log_.snapshot().index);
  ReloadVoters();
  effects_.committed.clear();  // the snapshot includes these entries
  effects_.installed.push_back(log_.snapshot());
}

}  // namespace elderkeel::consensus
