// The log: appended by the leader, copied by AppendEntries, committed once enough copies are
// synced.
#include <algorithm>

#include "consensus/raft_node.h"
#include "wire/frame.h"

namespace elderkeel::consensus {
namespace {
constexpr size_t kMaxBatch = 64;
// Bytes in flight to one member. On a slow link they are what a heartbeat waits behind.
constexpr size_t kLeastWindow = 64u << 10;
constexpr size_t kMostWindow = 256u << 10;
constexpr size_t kEntryOverhead = 64;
}  // namespace

Index RaftNode::Append(EntryKind kind, std::string data) {
  Entry entry;
  entry.term = term_;
  entry.index = last_index() + 1;
  entry.kind = kind;
  entry.data = std::move(data);
  WriteRequest& write = Write();
  write.entries.push_back(entry);
  write_covers_[write.sequence] = entry.index;
  log_.push_back(std::move(entry));
  if (kind == EntryKind::kVoters) {
    ReloadVoters();
    TrackVoters();
  }
  return last_index();
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
  for (auto& [id, p] : progress_) SendAppendEntries(now, &p, true);
}

void RaftNode::SendAppendEntries(base::Millis now, Progress* p, bool heartbeat_interval) {
  if (p->state_lost) {
    if (!heartbeat_interval) return;
    Message m = Make(MessageType::kStateLost, p->member.id);
    m.index = p->match;
    m.round = ++round_;
    Post(p->member.address(), std::move(m), false);
    return;
  }
  p->window = std::max(p->window, kLeastWindow);
  Index previous = p->next - 1;
  if (p->sending || (previous != snapshot_.index && !At(previous))) {
    SendSnapshot(now, p, heartbeat_interval);
    return;
  }
  Message m = Make(MessageType::kAppendEntries, p->member.id);
  m.index = previous;
  m.log_term = TermAt(previous);
  m.commit = commit_;
  size_t in_flight = 0, bytes = 0;
  for (const Flight& flight : p->in_flight) in_flight += flight.bytes;
  for (Index i = p->next; i <= last_index() && m.entries.size() < kMaxBatch; ++i) {
    const Entry* entry = At(i);
    if (!entry) break;
    // One that is larger than the window goes alone.
    size_t size = entry->data.size() + kEntryOverhead;
    if (in_flight + bytes > 0 && in_flight + bytes + size > p->window) break;
    bytes += size;
    m.entries.push_back(*entry);
  }
  if (m.entries.empty() && !heartbeat_interval) return;
  m.round = ++round_;
  if (bytes > 0) p->in_flight.push_back({m.round, bytes, now});
  p->next += m.entries.size();
  Post(p->member.address(), std::move(m), false);
}

// The member that a reply is of, if it counts. What was sent up to the message that it answers is
// no longer in flight; the window follows the time that took.
RaftNode::Progress* RaftNode::RecordPeerContact(base::Millis now, const Message& m, bool* newest) {
  if (!is_leader()) return nullptr;
  auto at = progress_.find(m.from);
  if (at == progress_.end() || at->second.state_lost) return nullptr;
  Progress& p = at->second;
  p.heard = now;
  *newest = m.round > p.round;
  p.round = std::max(p.round, m.round);
  while (!p.in_flight.empty() && p.in_flight.front().round <= m.round) {
    const Flight& flight = p.in_flight.front();
    base::Millis took = now - flight.at;
    bool filled = flight.bytes * 2 >= p.window;
    if (flight.round == m.round && filled && took <= timing_.heartbeat_interval) {
      p.window = std::min(p.window * 2, kMostWindow);
    } else if (flight.round == m.round && took > timing_.heartbeat_interval * 2) {
      p.window = std::max(p.window / 2, kLeastWindow);
    }
    p.in_flight.pop_front();
  }
  return &p;
}

// Rejections of what was sent before are answered by what is sent from here on.
void RaftNode::Rewind(Progress* p) {
  p->rewound_round = round_;
  p->in_flight.clear();
}

Index RaftNode::Synced(const Member& voter) const {
  if (voter.id == self_.id) return durable_index_;
  auto at = progress_.find(voter.id);
  return at == progress_.end() || at->second.state_lost ? 0 : at->second.match;
}

// A majority decides; what it decided must also outlive the loss that is tolerated. Both matter: of
// five voters with two that may be lost three copies are enough, of three they are all needed.
bool RaftNode::HasEnoughReplicas(Index index) const {
  size_t copies = 0;
  std::set<std::string> zones, regions, all_zones, all_regions;
  for (const Member& v : voters_) {
    std::string zone = ZoneOf(v);
    auto at = regions_.find(zone);
    const std::string& region = at == regions_.end() ? zone : at->second;
    all_zones.insert(zone);
    all_regions.insert(region);
    if (Synced(v) < index) continue;
    ++copies;
    zones.insert(zone);
    regions.insert(region);
  }
  return copies >= std::max(Majority(), std::min(tolerance_.machines + 1, voters_.size())) &&
         zones.size() >= std::min(tolerance_.zones + 1, all_zones.size()) &&
         regions.size() >= std::min(tolerance_.regions + 1, all_regions.size());
}

void RaftNode::AdvanceCommit(base::Millis now) {
  std::vector<Index> matches;
  for (const Member& v : voters_) matches.push_back(Synced(v));
  if (matches.empty()) return;
  std::sort(matches.rbegin(), matches.rend());
  size_t place = Majority() - 1;
  while (place < matches.size() && !HasEnoughReplicas(matches[place])) ++place;
  if (place == matches.size()) return;
  Index index = matches[place];
  if (index > commit_ && TermAt(index) == term_) {
    bool first = TermAt(commit_) != term_;
    commit_ = index;
    ApplyCommitted();
    if (first) out_.role_changed = true;
    if (!IsVoter(self_.id) && LastVotersIndex() <= commit_) {
      // The entry that took this member out is committed: its leadership ends with it.
      TransferLeadership(now);
      BecomeFollower(now, term_, 0);
      return;
    }
    Broadcast(now);  // followers learn the commit at once, and with it the news
  }
}

void RaftNode::ApplyCommitted() {
  while (applied_ < commit_) {
    const Entry* entry = At(applied_ + 1);
    if (!entry) break;
    ++applied_;
    out_.committed.push_back(*entry);
  }
}

void RaftNode::CommitTo(Index index) {
  if (index <= commit_) return;
  commit_ = index;
  if (incoming_ && incoming_->snapshot.index <= commit_) incoming_.reset();
  ApplyCommitted();
}

// What a leader sent before the newest that was heard of it, or twice, says nothing about now.
void RaftNode::RecordLeaderContact(base::Millis now, const Message& m, const base::Address& from) {
  if (m.round <= last_leader_round_ && last_leader_round_ > 0) return;
  last_leader_round_ = m.round;
  if (role_ != Role::kFollower || leader_id_ != m.from) BecomeFollower(now, m.term, m.from);
  no_leader_seen_ = false;
  last_leader_contact_ = now;
  leader_address_ = from;
  ResetElection(now);
}

void RaftNode::OnAppendEntries(base::Millis now, const Message& m, const base::Address& from) {
  RecordLeaderContact(now, m, from);
  Message reply = Make(MessageType::kAppendEntriesReply, m.from);
  reply.round = m.round;
  bool fits =
      m.index < snapshot_.index || (m.index <= last_index() && TermAt(m.index) == m.log_term);
  if (!fits) {
    reply.granted = false;
    reply.index = std::min(last_index(), m.index > 0 ? m.index - 1 : 0);
    Post(from, std::move(reply), true);
    return;
  }
  Index matched = m.index;
  bool voters_touched = false;
  for (const Entry& entry : m.entries) {
    matched = entry.index;
    if (entry.index <= snapshot_.index) continue;
    if (entry.index <= last_index()) {
      if (TermAt(entry.index) == entry.term) continue;
      // Another leader's entries, never committed, give way.
      WriteRequest& write = Write();
      if (write.truncate_from == 0 || entry.index < write.truncate_from) {
        write.truncate_from = entry.index;
      }
      auto& fresh = write.entries;
      fresh.erase(std::remove_if(fresh.begin(), fresh.end(),
                                 [&](const Entry& e) { return e.index >= entry.index; }),
                  fresh.end());
      log_.erase(std::remove_if(log_.begin(), log_.end(),
                                [&](const Entry& e) { return e.index >= entry.index; }),
                 log_.end());
      durable_index_ = std::min(durable_index_, entry.index - 1);
      for (auto& [sequence, last] : write_covers_) last = std::min(last, entry.index - 1);
      voters_touched = true;
    }
    WriteRequest& write = Write();
    write.entries.push_back(entry);
    write_covers_[write.sequence] = entry.index;
    log_.push_back(entry);
    voters_touched |= entry.kind == EntryKind::kVoters;
  }
  if (voters_touched) ReloadVoters();
  matched = std::max(matched, std::min(snapshot_.index, m.index + m.entries.size()));
  CommitTo(std::min(m.commit, matched));
  reply.granted = true;
  reply.index = matched;
  Post(from, std::move(reply), true);
}

void RaftNode::OnAppendEntriesReply(base::Millis now, const Message& m) {
  bool newest = false;
  Progress* p = RecordPeerContact(now, m, &newest);
  if (!p) return;
  if (m.granted) {
    if (m.index > p->match) {
      p->match = std::min(m.index, last_index());
      p->acknowledged_round = round_;
      p->next = std::max(p->next, p->match + 1);
      if (p->sending && p->match >= p->sending->index) {
        p->sending.reset();
        p->in_flight.clear();
      }
      AdvanceCommit(now);
      if (!is_leader()) return;
      auto at = progress_.find(m.from);
      if (at == progress_.end()) return;
      p = &at->second;
    }
    SendAppendEntries(now, p, false);
  } else {
    OnRejected(now, m, newest, p);
  }
  AdvanceReads();
}

// `m.index` is the last entry that the member may share with us. What it acknowledged is synced, so
// a rejection below that is either older than the acknowledgement, or the member has lost it.
void RaftNode::OnRejected(base::Millis now, const Message& m, bool newest, Progress* p) {
  if (m.index < p->match) {
    if (m.round <= p->acknowledged_round) return;
    p->state_lost = true;
    p->round = 0;  // nor does it confirm reads
    out_.state_lost.push_back(p->member);
    SendAppendEntries(now, p, true);
  } else if (!p->sending && newest && m.round > p->rewound_round && m.index + 1 < p->next) {
    p->next = m.index + 1;
    Rewind(p);
    SendAppendEntries(now, p, true);
  }
}

// The leader has proof that this member acknowledged what it no longer holds. Its votes may be gone
// as well, so this identity ends here; what is left of it is of no use.
void RaftNode::OnStateLost() {
  storage_failed_ = true;
  deferred_messages_.clear();
  out_.discard_store = true;
}

}  // namespace elderkeel::consensus
