// Cutting the log by a snapshot, and installing a leader's.
#include <algorithm>

#include "consensus/raft_node.h"
#include "wire/frame.h"

namespace elderkeel::consensus {
namespace {
constexpr size_t kCompactAfter = 96;            // entries in memory before the log is cut
constexpr size_t kCompactAfterBytes = 1 << 20;  // after the snapshot, or twice its own if more
constexpr Index kTail = 32;  // entries kept behind a snapshot, for members that are a little late
constexpr size_t kTailBytes = 1 << 20;  // of these, or as many as the snapshot has if more
constexpr size_t kChunk = 64u << 10;
constexpr uint64_t kMaxState = 32u << 20;  // of a snapshot that is taken in
constexpr size_t kMaxKeptEntries = 512;    // for members that are being caught up
constexpr size_t kMaxKeptBytes = 4u << 20;
}  // namespace

// Parts of the snapshot as far as the window reaches. A heartbeat is a part without bytes, placed
// after what was sent: the member says if anything before it is missing.
void RaftNode::SendSnapshot(base::Millis now, Progress* p, bool heartbeat_interval) {
  if (p->sending && p->sending->index != snapshot_.index &&
      !ContactedWithin(now, p->member.id, timing_.election_timeout * 2)) {
    p->sending.reset();  // nothing is kept for one that is silent: the newest serves it best
  }
  if (!p->sending) {
    for (const auto& [id, other] : progress_) {
      if (other.sending && other.sending->index == snapshot_.index) p->sending = other.sending;
    }
    if (!p->sending) p->sending = std::make_shared<const Snapshot>(snapshot_);
    p->offset = 0;
    p->in_flight.clear();
  }
  const Snapshot& snapshot = *p->sending;
  size_t in_flight = 0;
  for (const Flight& flight : p->in_flight) in_flight += flight.bytes;
  for (;;) {
    size_t size = std::min(kChunk, snapshot.state.size() - p->offset);
    if (in_flight > 0 && in_flight + size > p->window) size = 0;
    if (size == 0 && !heartbeat_interval) return;
    Message m = Make(MessageType::kInstallSnapshot, p->member.id);
    m.round = ++round_;
    m.commit = commit_;
    m.offset = p->offset;
    m.total = snapshot.state.size();
    m.snapshot = {
        {snapshot.index, snapshot.term, snapshot.voters, snapshot.state.substr(p->offset, size)}};
    if (size > 0) p->in_flight.push_back({m.round, size, now});
    in_flight += size;
    p->offset += size;
    heartbeat_interval = false;
    Post(p->member.address(), std::move(m), false);
  }
}

void RaftNode::OnInstallSnapshotReply(base::Millis now, const Message& m) {
  bool newest = false;
  Progress* p = RecordPeerContact(now, m, &newest);
  if (!p) return;
  if (p->sending && m.index == p->sending->index && m.offset <= p->sending->state.size()) {
    if (m.granted) {
      p->offset = std::max<size_t>(p->offset, m.offset);
    } else if (newest && m.round > p->rewound_round) {
      p->offset = m.offset;
      Rewind(p);
    }
    SendAppendEntries(now, p, false);
  }
  AdvanceReads();
}

void RaftNode::Install(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  log_.clear();
  commit_ = applied_ = durable_index_ = snapshot_.index;
  WriteRequest& write = Write();
  write.entries.clear();
  write.truncate_from = 1;
  write.snapshot = {snapshot_};
  write_covers_.clear();
  ReloadVoters();
  out_.committed.clear();
  out_.installed.push_back(snapshot_);
}

void RaftNode::OnInstallSnapshot(base::Millis now, const Message& m, const base::Address& from) {
  if (m.snapshot.empty()) return;
  RecordLeaderContact(now, m, from);
  const Snapshot& part = m.snapshot[0];
  if (part.index > commit_ && At(part.index) && TermAt(part.index) == part.term) {
    // The log leads to the same state, and what it holds after that may have been acknowledged.
    CommitTo(part.index);
  }
  if (part.index > commit_) {
    bool under_way = incoming_ && incoming_->leader_term == m.term;
    if (under_way && incoming_->snapshot.index > part.index) return;  // of an older one
    if (m.total > kMaxState || m.offset + part.state.size() > m.total) return;
    if (!under_way || incoming_->snapshot.index < part.index) {
      incoming_ = Incoming{m.term, {part.index, part.term, part.voters, ""}};
    }
    std::string& state = incoming_->snapshot.state;
    bool fits = m.offset <= state.size();
    if (fits && m.offset + part.state.size() > state.size()) {
      state.append(part.state, state.size() - m.offset);
    }
    if (!fits || state.size() < m.total) {
      Message reply = Make(MessageType::kInstallSnapshotReply, m.from);
      reply.granted = fits;
      reply.index = part.index;
      reply.offset = state.size();
      reply.round = m.round;
      Post(from, std::move(reply), true);
      return;
    }
    Snapshot whole = std::move(incoming_->snapshot);
    incoming_.reset();
    Install(std::move(whole));
  }
  Message reply = Make(MessageType::kAppendEntriesReply, m.from);
  reply.granted = true;
  reply.index = std::max(snapshot_.index, commit_);
  reply.round = m.round;
  Post(from, std::move(reply), true);
}

size_t RaftNode::log_bytes() const {
  size_t bytes = 0;
  for (const Entry& entry : log_) bytes += entry.data.size();
  return bytes;
}

bool RaftNode::CompactionDue() const {
  size_t bytes = 0;
  for (const Entry& entry : log_) {
    if (entry.index > snapshot_.index && entry.index <= applied_) bytes += entry.data.size();
  }
  bool due = log_.size() > kCompactAfter ||
             bytes > std::max(kCompactAfterBytes, 2 * snapshot_.state.size());
  return due && TruncationPoint(applied_, snapshot_.state.size()).has_value();
}

// The entry up to which nobody who is being caught up needs the log. A member that got a snapshot
// goes on with the entries after it; if they were gone it would need the next one, and never end.
Index RaftNode::OldestIndexNeeded(base::Millis now) const {
  Index kept = last_index();
  for (const auto& [id, p] : progress_) {
    if (!ContactedWithin(now, id, timing_.election_timeout * 2)) continue;
    Index from = p.sending ? p.sending->index : p.match;
    if (At(from)) kept = std::min(kept, from - 1);  // itself too: its term is what they fit by
  }
  size_t bytes = 0;
  for (const Entry& entry : log_) bytes += entry.index > kept ? entry.data.size() : 0;
  bool much = bytes > kMaxKeptBytes || last_index() - kept > kMaxKeptEntries;
  return much ? last_index() : kept;
}

// Up to which entry the log is cut by a snapshot up to `index` with so many bytes; none if all is
// still needed.
std::optional<Index> RaftNode::TruncationPoint(Index index, size_t state_bytes) const {
  // Whoever is later than the tail gets the snapshot, so a tail that is larger saves nothing.
  size_t tail_bytes = std::max(kTailBytes, state_bytes);
  Index tail = index;
  for (auto at = log_.rbegin(); at != log_.rend() && tail + kTail > index; ++at) {
    if (at->index > index) continue;
    if (at->data.size() > tail_bytes) break;
    tail_bytes -= at->data.size();
    tail = at->index - 1;
  }
  Index drop_to = std::min(tail, OldestIndexNeeded(now_));
  if (drop_to < tail && (log_.empty() || drop_to < log_.front().index)) return std::nullopt;
  return drop_to;
}

void RaftNode::Compact(Index index, std::string state) {
  if (index <= snapshot_.index || index > applied_) return;
  std::optional<Index> drop_to = TruncationPoint(index, state.size());
  if (!drop_to) return;
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = TermAt(index);
  snapshot.voters = snapshot_.voters;
  for (const Entry& entry : log_) {
    if (entry.index > index) break;
    if (entry.kind != EntryKind::kVoters) continue;
    if (auto voters = wire::Decode<std::vector<Member>>(entry.data)) snapshot.voters = *voters;
  }
  snapshot.state = std::move(state);
  snapshot_ = std::move(snapshot);
  log_.erase(
      std::remove_if(log_.begin(), log_.end(), [&](const Entry& e) { return e.index <= *drop_to; }),
      log_.end());
  WriteRequest& write = Write();
  write.snapshot = {snapshot_};
  write.drop_to = *drop_to;
}

}  // namespace elderkeel::consensus
