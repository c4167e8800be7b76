#include "consensus/raft_node.h"

#include <algorithm>

#include "wire/frame.h"

namespace elderkeel::consensus {
const char* RoleName(Role role) {
  switch (role) {
    case Role::kFollower:
      return "follower";
    case Role::kPreCandidate:
      return "pre-candidate";
    case Role::kCandidate:
      return "candidate";
    case Role::kLeader:
      return "leader";
  }
  return "unknown";
}

RaftNode::RaftNode(Options options, RestoredState restored, base::Millis now)
    : self_(std::move(options.self)),
      timing_(options.timing),
      tolerance_(options.tolerance),
      regions_(std::move(options.regions)),
      random_(options.seed),
      founders_(std::move(options.founders)),
      now_(now),
      round_(base::Random(~options.seed).Next() >> 16) {  // no reply to a former life fits
  if (restored.empty) {
    hard_state_.cluster = options.cluster;
    hard_state_.self = self_.id;
    WriteRequest& write = Write();
    write.hard_state_changed = true;
    write.hard_state = hard_state_;
    if (!founders_.empty()) {
      // The founders begin from the same snapshot, so that the first voters are part of the log's
      // history on every one of them.
      snapshot_.index = 1;
      snapshot_.term = 1;
      snapshot_.voters = founders_;
      write.snapshot = {snapshot_};
      hard_state_.term = 1;
      write.hard_state = hard_state_;
    }
  } else {
    hard_state_ = restored.hard_state;
    self_.id = hard_state_.self;
    snapshot_ = std::move(restored.snapshot);
    log_ = std::move(restored.entries);
  }
  term_ = hard_state_.term;
  commit_ = applied_ = snapshot_.index;
  durable_index_ = last_index();
  ReloadVoters();
  if (snapshot_.index > 0) out_.installed.push_back(snapshot_);
  // What was known to be committed is so still, and can be used before there is a leader.
  commit_ = std::max(commit_, std::min(restored.commit, last_index()));
  recorded_commit_ = commit_;
  ApplyCommitted();
  ResetElection(now);
}

Index RaftNode::last_index() const { return log_.empty() ? snapshot_.index : log_.back().index; }

const Entry* RaftNode::At(Index index) const {
  if (log_.empty() || index < log_.front().index || index > log_.back().index) return nullptr;
  return &log_[index - log_.front().index];
}

Term RaftNode::TermAt(Index index) const {
  if (const Entry* entry = At(index)) return entry->term;
  return index == snapshot_.index ? snapshot_.term : 0;
}

std::optional<Member> RaftNode::leader() const {
  if (is_leader()) return self_;
  if (!leader_id_) return std::nullopt;
  for (const Member& m : voters_) {
    if (m.id == leader_id_) return m;
  }
  // A member that is being caught up may not know the voters yet.
  Member m;
  m.id = leader_id_;
  m.ip = leader_address_.ip;
  m.port = leader_address_.port;
  return m;
}

std::optional<Member> RaftNode::LeaderInContact(base::Millis now) const {
  if (now - now_ > timing_.election_timeout) return std::nullopt;
  base::Millis heard = is_leader() ? LastMajorityContact() : last_leader_contact_;
  if (now - heard > timing_.election_timeout) return std::nullopt;
  return leader();
}

base::Millis RaftNode::LastMajorityContact() const {
  std::vector<base::Millis> heard;
  for (const Member& v : voters_) {
    auto at = progress_.find(v.id);
    heard.push_back(v.id == self_.id ? now_ : at == progress_.end() ? 0 : at->second.heard);
  }
  if (heard.size() < Majority()) return 0;
  std::sort(heard.rbegin(), heard.rend());
  return heard[Majority() - 1];
}

void RaftNode::AdvanceClock(base::Millis now) {
  base::Millis gap = now - now_;
  now_ = std::max(now_, now);
  if (gap <= (is_leader() ? timing_.election_timeout * 2 : timing_.election_timeout)) return;
  // What was heard before says nothing about now, and neither does what waited meanwhile. Give a
  // leader time to be heard.
  BecomeFollower(now, term_, 0);
}

base::Millis RaftNode::LastContact(MemberId id) const {
  if (id == self_.id) return now_;
  auto at = progress_.find(id);
  return at == progress_.end() ? -1 : at->second.heard;
}

bool RaftNode::ContactedWithin(base::Millis now, MemberId id, base::Millis span) const {
  if (id == self_.id) return true;
  auto at = progress_.find(id);
  return at != progress_.end() && !at->second.state_lost && now - at->second.heard < span;
}

bool RaftNode::IsDiskStalled(base::Millis now) const {
  return storage_failed_ || (!write_started_at_.empty() &&
                             now - write_started_at_.begin()->second > timing_.disk_stall_timeout);
}

RaftNode::Effects RaftNode::Take() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

// Writes made in one turn are merged until they are taken.
WriteRequest& RaftNode::Write() {
  if (out_.writes.empty()) {
    WriteRequest write;
    write.sequence = ++write_sequence_;
    out_.writes.push_back(std::move(write));
    write_started_at_[write_sequence_] = now_;
  }
  return out_.writes.back();
}

void RaftNode::SetHardState(Term term, MemberId voted_for) {
  if (hard_state_.term == term && hard_state_.voted_for == voted_for) return;
  hard_state_.term = term;
  hard_state_.voted_for = voted_for;
  WriteRequest& write = Write();
  write.hard_state_changed = true;
  write.hard_state = hard_state_;
}

Message RaftNode::Make(MessageType type, MemberId to) const {
  Message m;
  m.type = type;
  m.cluster = hard_state_.cluster;
  m.from = self_.id;
  m.to = to;
  m.term = term_;
  return m;
}

void RaftNode::Post(const base::Address& to, Message message, bool after_writes) {
  if (after_writes && finished_write_ < write_sequence_) {
    // What rests on a write is told once it is on disk.
    if (deferred_messages_.size() > 256) deferred_messages_.erase(deferred_messages_.begin());
    deferred_messages_.push_back({write_sequence_, {to, std::move(message)}});
    return;
  }
  out_.messages.push_back({to, std::move(message)});
}

void RaftNode::OnWriteFinished(base::Millis now, uint64_t sequence, bool ok) {
  AdvanceClock(now);
  if (!ok) {
    // A refused write ends this member's part: what it told before stands, nothing new is told.
    storage_failed_ = true;
    deferred_messages_.clear();
    if (role_ != Role::kFollower) BecomeFollower(now, term_, 0);
    return;
  }
  finished_write_ = std::max(finished_write_, sequence);
  write_started_at_.erase(write_started_at_.begin(), write_started_at_.upper_bound(sequence));
  for (auto at = write_covers_.begin(); at != write_covers_.end() && at->first <= sequence;) {
    durable_index_ = std::max(durable_index_, std::min(at->second, last_index()));
    at = write_covers_.erase(at);
  }
  std::vector<DeferredMessage> rest;
  for (DeferredMessage& held : deferred_messages_) {
    if (held.after <= finished_write_) {
      out_.messages.push_back(std::move(held.out));
    } else {
      rest.push_back(std::move(held));
    }
  }
  deferred_messages_.swap(rest);
  if (is_leader()) AdvanceCommit(now);
}

void RaftNode::Tick(base::Millis now) {
  AdvanceClock(now);
  if (commit_ > recorded_commit_ && !storage_failed_) {
    recorded_commit_ = commit_;
    Write().commit = commit_;
  }
  if (is_leader()) {
    // Check-quorum: by the longest election time-out, others lead where it hears no majority.
    if (now - LastMajorityContact() > timing_.election_timeout * 2) {
      BecomeFollower(now, term_, 0);
      return;
    }
    if (IsDiskStalled(now)) {
      TransferLeadership(now);
      BecomeFollower(now, term_, 0);
      // It may vote again when its disk answers; until then others are better placed.
      election_at_ = now + timing_.election_timeout * 4;
      return;
    }
    // The word that hands over may be lost, or come after a heartbeat that unsays it.
    if (leaving_ && now >= leave_retry_at_) {
      leave_retry_at_ = now + timing_.election_timeout / 2;
      TransferLeadership(now);
    }
    ReviewVoters(now);  // not only with heartbeats: while changes go out none is due
    if (now >= heartbeat_at_) {
      Broadcast(now);
      // Nobody is left to hand over to.
      may_stop_ |= leaving_ && std::none_of(progress_.begin(), progress_.end(), [&](const auto& p) {
                     return now - p.second.heard < timing_.election_timeout;
                   });
    }
    return;
  }
  if (leaving_ && !may_stop_ && leader_id_ && now >= leave_retry_at_) {
    leave_retry_at_ = now + timing_.heartbeat_interval;
    Post(leader_address_, Make(MessageType::kLeave, leader_id_), false);
  }
  if (leader_id_ && now - last_leader_contact_ > timing_.election_timeout * 2) {
    leader_id_ = 0;
    out_.role_changed = true;
  }
  if (now >= election_at_ && IsVoter(self_.id) && !storage_failed_ && !IsDiskStalled(now))
    StartPreVote(now);
}

void RaftNode::Receive(base::Millis now, const Message& m, const base::Address& from) {
  AdvanceClock(now);
  if (m.to != self_.id || storage_failed_) return;
  if (hard_state_.cluster == 0 && m.cluster != 0 &&
      (m.type == MessageType::kAppendEntries || m.type == MessageType::kInstallSnapshot)) {
    // A joiner learns which cluster it joined from the leader that took it.
    hard_state_.cluster = m.cluster;
    WriteRequest& write = Write();
    write.hard_state_changed = true;
    write.hard_state = hard_state_;
  }
  if (m.cluster != hard_state_.cluster) return;
  if (m.type == MessageType::kPreVote) return OnPreVote(now, m, from);
  if (m.type == MessageType::kPreVoteReply) return OnPreVoteReply(now, m);
  if (m.term > term_) {
    bool from_leader =
        m.type == MessageType::kAppendEntries || m.type == MessageType::kInstallSnapshot;
    // A vote asked for while a leader is heard is a disturbance, unless that leader handed over.
    BecomeFollower(now, m.term, from_leader ? m.from : 0);
  }
  if (m.term < term_) {
    if (m.type == MessageType::kAppendEntries || m.type == MessageType::kInstallSnapshot) {
      Message reply = Make(MessageType::kAppendEntriesReply, m.from);
      reply.round = 0;
      Post(from, std::move(reply), true);
    }
    return;
  }
  switch (m.type) {
    case MessageType::kRequestVote:
      return OnRequestVote(now, m, from);
    case MessageType::kRequestVoteReply:
      return OnRequestVoteReply(now, m);
    case MessageType::kAppendEntries:
      return OnAppendEntries(now, m, from);
    case MessageType::kAppendEntriesReply:
      return OnAppendEntriesReply(now, m);
    case MessageType::kInstallSnapshot:
      return OnInstallSnapshot(now, m, from);
    case MessageType::kInstallSnapshotReply:
      return OnInstallSnapshotReply(now, m);
    case MessageType::kTimeoutNow:
      return OnTimeoutNow(now, m);
    case MessageType::kLeave:
      return OnLeave(now, m, from);
    case MessageType::kLeaveReply:
      may_stop_ |= leaving_ && m.granted;
      return;
    case MessageType::kStateLost:
      return OnStateLost();
    default:
      return;
  }
}

}  // namespace elderkeel::consensus
