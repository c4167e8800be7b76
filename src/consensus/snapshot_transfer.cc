// Sending a snapshot in parts to a member that needs entries which are compacted away, and taking a
// leader's snapshot (Raft, section 7).
#include <algorithm>
#include <utility>

#include "consensus/raft_node.h"

namespace elderkeel::consensus {
namespace {
constexpr size_t kPartBytes = 64u << 10;
constexpr uint64_t kMaxStateBytes = 32u << 20;  // of a snapshot that is taken
}  // namespace

// Parts of the snapshot as far as the window reaches. A heartbeat is a part without bytes, placed
// after what was sent: the member says if anything before it is missing.
void RaftNode::SendSnapshot(base::Millis now, PeerProgress* peer, bool heartbeat) {
  ChooseSnapshot(now, peer);
  const Snapshot& snapshot = *peer->snapshot;
  for (;;) {
    size_t size = std::min(kPartBytes, snapshot.state.size() - peer->snapshot_offset);
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

// The snapshot that is under way goes on, unless the member is silent: then nothing is kept for it,
// and the newest serves it best. Members that need the same one share it.
void RaftNode::ChooseSnapshot(base::Millis now, PeerProgress* peer) {
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
  bool under_way = peer->snapshot && message.index == peer->snapshot->index &&
                   message.offset <= peer->snapshot->state.size();
  if (under_way) {
    if (message.granted) {
      peer->snapshot_offset = std::max<size_t>(peer->snapshot_offset, message.offset);
    } else if (newest && message.round > peer->rewound_round) {
      peer->snapshot_offset = message.offset;
      Rewind(peer);
    }
    SendAppendEntries(now, peer, false);
  }
  AdvanceReads();
}

void RaftNode::OnInstallSnapshot(base::Millis now, const Message& message,
                                 const base::Address& from) {
  if (message.snapshot.empty()) return;
  RecordLeaderContact(now, message, from);
  const Snapshot& part = message.snapshot[0];
  if (part.index > commit_index_ && log_.Find(part.index) && log_.TermAt(part.index) == part.term) {
    // The log leads to the same state, and what it holds after that may have been acknowledged.
    CommitTo(part.index);
  }
  if (part.index > commit_index_) {
    Part taken = TakePart(message);
    if (taken == Part::kIgnored) return;
    if (taken != Part::kLast) {
      Message reply = MakeMessage(MessageType::kInstallSnapshotReply, message.from);
      reply.granted = taken == Part::kTaken;
      reply.index = part.index;
      reply.offset = incoming_->snapshot.state.size();
      reply.round = message.round;
      Send(from, std::move(reply), SendWhen::kWritesFinished);
      return;
    }
    Snapshot complete = std::move(incoming_->snapshot);
    incoming_.reset();
    InstallSnapshot(std::move(complete));
  }
  Message reply = MakeMessage(MessageType::kAppendEntriesReply, message.from);
  reply.granted = true;
  reply.index = std::max(log_.snapshot().index, commit_index_);
  reply.round = message.round;
  Send(from, std::move(reply), SendWhen::kWritesFinished);
}

// Adds a part to the snapshot that is being received, if it continues it.
RaftNode::Part RaftNode::TakePart(const Message& message) {
  const Snapshot& part = message.snapshot[0];
  bool under_way = incoming_ && incoming_->leader_term == message.term;
  if (under_way && incoming_->snapshot.index > part.index) return Part::kIgnored;  // an older one
  if (message.total > kMaxStateBytes || message.offset + part.state.size() > message.total) {
    return Part::kIgnored;
  }
  if (!under_way || incoming_->snapshot.index < part.index) {
    incoming_ = PartialSnapshot{message.term, {part.index, part.term, part.voters, ""}};
  }
  std::string& state = incoming_->snapshot.state;
  if (message.offset > state.size()) return Part::kMisplaced;
  if (message.offset + part.state.size() > state.size()) {
    state.append(part.state, state.size() - message.offset);
  }
  return state.size() < message.total ? Part::kTaken : Part::kLast;
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
  effects_.committed.clear();
  effects_.installed.push_back(log_.snapshot());
}

}  // namespace elderkeel::consensus
