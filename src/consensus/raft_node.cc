#include "consensus/raft_node.h"

#include <algorithm>
#include <utility>

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
    : self_(options.self),
      timing_(options.timing),
      tolerance_(options.tolerance),
      regions_(options.regions),
      random_(options.seed),
      now_(now),
      // Starts at random, so that replies to an earlier incarnation of this process match no round.
      round_(base::Random(~options.seed).Next() >> 16) {
  if (restored.empty) {
    InitializeEmpty(std::move(options));
  } else {
    hard_state_ = restored.hard_state;
    self_.id = hard_state_.self;
    log_ = RaftLog(std::move(restored.snapshot), std::move(restored.entries));
  }
  commit_index_ = applied_index_ = log_.snapshot().index;
  pending_writes_.OnReplaced(log_.last_index());
  ReloadVoters();
  if (log_.snapshot().index > 0) effects_.installed.push_back(log_.snapshot());
  // Entries that were committed before the restart stay committed and are applied before a leader
  // is elected.
  commit_index_ = std::max(commit_index_, std::min(restored.commit, log_.last_index()));
  recorded_commit_ = commit_index_;
  ApplyCommitted();
  ResetElectionTimer(now);
}

void RaftNode::InitializeEmpty(Options options) {
  hard_state_.cluster = options.cluster;
  hard_state_.self = self_.id;
  if (!options.initial_voters.empty()) {
    // All initial voters start from the same snapshot, so that the log of each of them contains the
    // same set of voters.
    Snapshot first;
    first.index = 1;
    first.term = 1;
    first.voters = std::move(options.initial_voters);
    hard_state_.term = 1;
    CurrentWrite().snapshot = {first};
    log_ = RaftLog(std::move(first), {});
  }
  WriteHardState();
}

void RaftNode::AdvanceClock(base::Millis now) {
  base::Millis gap = now - now_;
  now_ = std::max(now_, now);
  if (gap <= (is_leader() ? timing_.election_timeout * 2 : timing_.election_timeout)) return;
  // The process was suspended. Earlier contact times are outdated, messages that queued up
  // meanwhile may be as well, and another leader may have been elected. The restarted election
  // timer gives that leader time to make contact.
  BecomeFollower(now, term(), 0);
}

void RaftNode::Tick(base::Millis now) {
  AdvanceClock(now);
  RecordCommitIndex();
  if (is_leader()) {
    TickLeader(now);
  } else {
    TickFollower(now);
  }
}

void RaftNode::RecordCommitIndex() {
  if (commit_index_ <= recorded_commit_ || storage_failed_) return;
  recorded_commit_ = commit_index_;
  CurrentWrite().commit = commit_index_;
}

void RaftNode::TickLeader(base::Millis now) {
  // Check-quorum: without contact to a majority for the longest election timeout, another member
  // may have been elected.
  if (now - LastMajorityContact() > timing_.election_timeout * 2) {
    BecomeFollower(now, term(), 0);
    return;
  }
  if (IsDiskStalled(now)) {
    TransferLeadership(now);
    BecomeFollower(now, term(), 0);
    // Delays its own candidacy, so that a member whose disk works is elected first. The votes that
    // it grants are sent once its disk has finished the writes.
    election_at_ = now + timing_.election_timeout * 4;
    return;
  }
  // Retries, since a kTimeoutNow may be lost, and a follower ignores one that arrives after a newer
  // heartbeat.
  if (leaving_ && now >= leave_retry_at_) {
    leave_retry_at_ = now + timing_.election_timeout / 2;
    TransferLeadership(now);
  }
  // Not only with heartbeats: every Broadcast() postpones the next one, so that frequent proposals
  // would delay changes of the voters without limit.
  ReviewVoters(now);
  if (now < heartbeat_at_) return;
  Broadcast(now);
  auto in_contact = [&](const auto& peer) {
    return now - peer.second.last_contact < timing_.election_timeout;
  };
  bool isolated = std::none_of(progress_.begin(), progress_.end(), in_contact);
  if (leaving_ && isolated) may_stop_ = true;  // no member is left to transfer leadership to
}

void RaftNode::TickFollower(base::Millis now) {
  if (leaving_ && !may_stop_ && leader_id_ && now >= leave_retry_at_) {
    leave_retry_at_ = now + timing_.heartbeat_interval;
    Send(leader_address_, MakeMessage(MessageType::kLeave, leader_id_), SendWhen::kNow);
  }
  if (leader_id_ && now - last_leader_contact_ > timing_.election_timeout * 2) {
    leader_id_ = 0;
    effects_.role_changed = true;
  }
  if (now >= election_at_ && IsVoter(self_.id) && !IsDiskStalled(now)) StartPreVote(now);
}

void RaftNode::Receive(base::Millis now, const Message& message, const base::Address& from) {
  AdvanceClock(now);
  if (message.to != self_.id || storage_failed_) return;
  AdoptCluster(message);
  if (message.cluster != hard_state_.cluster) return;
  if (message.type == MessageType::kPreVote) return OnPreVote(now, message, from);
  if (message.type == MessageType::kPreVoteReply) return OnPreVoteReply(now, message);
  bool from_leader =
      message.type == MessageType::kAppendEntries || message.type == MessageType::kInstallSnapshot;
  // A higher term always applies, even in a kRequestVote while a leader is in contact: a candidate
  // has won a pre-vote before, or received kTimeoutNow from the leader.
  if (message.term > term()) BecomeFollower(now, message.term, from_leader ? message.from : 0);
  if (message.term < term()) {
    if (from_leader) ReplyToStaleLeader(message, from);
    return;
  }
  Dispatch(now, message, from);
}

// A new member takes the cluster id from the first message of a leader.
void RaftNode::AdoptCluster(const Message& message) {
  bool from_leader =
      message.type == MessageType::kAppendEntries || message.type == MessageType::kInstallSnapshot;
  if (hard_state_.cluster != 0 || message.cluster == 0 || !from_leader) return;
  hard_state_.cluster = message.cluster;
  WriteHardState();
}

// The higher term of the reply makes the stale leader step down.
void RaftNode::ReplyToStaleLeader(const Message& message, const base::Address& from) {
  Send(from, MakeMessage(MessageType::kAppendEntriesReply, message.from),
       SendWhen::kWritesFinished);
}

void RaftNode::Dispatch(base::Millis now, const Message& message, const base::Address& from) {
  switch (message.type) {
    case MessageType::kRequestVote:
      return OnRequestVote(now, message, from);
    case MessageType::kRequestVoteReply:
      return OnRequestVoteReply(now, message);
    case MessageType::kAppendEntries:
      return OnAppendEntries(now, message, from);
    case MessageType::kAppendEntriesReply:
      return OnAppendEntriesReply(now, message);
    case MessageType::kInstallSnapshot:
      return OnInstallSnapshot(now, message, from);
    case MessageType::kInstallSnapshotReply:
      return OnInstallSnapshotReply(now, message);
    case MessageType::kTimeoutNow:
      return OnTimeoutNow(now, message);
    case MessageType::kLeave:
      return OnLeave(now, message, from);
    case MessageType::kLeaveReply:
      may_stop_ |= leaving_ && message.granted;
      return;
    case MessageType::kStateLost:
      return OnStateLost();
    case MessageType::kPreVote:
    case MessageType::kPreVoteReply:
      return;  // handled by Receive(), before it compares the terms
  }
}

void RaftNode::OnWriteFinished(base::Millis now, uint64_t sequence, bool ok) {
  AdvanceClock(now);
  if (!ok) {
    // This member stops taking part: earlier acknowledgements stay valid, new ones must not be
    // sent.
    storage_failed_ = true;
    pending_writes_.DropDeferred();
    if (role_ != Role::kFollower) BecomeFollower(now, term(), 0);
    return;
  }
  pending_writes_.OnFinished(sequence, log_.last_index());
  for (OutgoingMessage& ready : pending_writes_.TakeReady()) {
    effects_.messages.push_back(std::move(ready));
  }
  if (is_leader()) AdvanceCommit(now);
}

RaftNode::Effects RaftNode::TakeEffects() { return std::exchange(effects_, Effects()); }

std::optional<Member> RaftNode::leader() const {
  if (is_leader()) return self_;
  if (!leader_id_) return std::nullopt;
  for (const Member& voter : voters_) {
    if (voter.id == leader_id_) return voter;
  }
  // A learner that is being caught up may not have the entry with the current voters yet.
  Member leader;
  leader.id = leader_id_;
  leader.ip = leader_address_.ip;
  leader.port = leader_address_.port;
  return leader;
}

std::optional<Member> RaftNode::LeaderInContact(base::Millis now) const {
  if (now - now_ > timing_.election_timeout) return std::nullopt;
  base::Millis last_contact = is_leader() ? LastMajorityContact() : last_leader_contact_;
  if (now - last_contact > timing_.election_timeout) return std::nullopt;
  return leader();
}

base::Millis RaftNode::LastContact(MemberId id) const {
  if (id == self_.id) return now_;
  auto peer = progress_.find(id);
  return peer == progress_.end() ? -1 : peer->second.last_contact;
}

bool RaftNode::IsDiskStalled(base::Millis now) const {
  return storage_failed_ || pending_writes_.IsStalled(now, timing_.disk_stall_timeout);
}

WriteRequest& RaftNode::CurrentWrite() {
  if (effects_.writes.empty()) {
    WriteRequest write;
    write.sequence = pending_writes_.Start(now_);
    effects_.writes.push_back(std::move(write));
  }
  return effects_.writes.back();
}

void RaftNode::SetHardState(Term term, MemberId voted_for) {
  if (hard_state_.term == term && hard_state_.voted_for == voted_for) return;
  hard_state_.term = term;
  hard_state_.voted_for = voted_for;
  WriteHardState();
}

void RaftNode::WriteHardState() {
  WriteRequest& write = CurrentWrite();
  write.hard_state_changed = true;
  write.hard_state = hard_state_;
}

Message RaftNode::MakeMessage(MessageType type, MemberId to) const {
  Message message;
  message.type = type;
  message.cluster = hard_state_.cluster;
  message.from = self_.id;
  message.to = to;
  message.term = term();
  return message;
}

void RaftNode::Send(const base::Address& to, Message message, SendWhen when) {
  if (when == SendWhen::kWritesFinished && !pending_writes_.AllFinished()) {
    pending_writes_.Defer({to, std::move(message)});
  } else {
    effects_.messages.push_back({to, std::move(message)});
  }
}

std::string RaftNode::ZoneOf(const Member& member) const {
  auto zone = zones_.find(member.ip);
  return zone == zones_.end() ? member.zone : zone->second;
}

// A zone without a region in the settings counts as a region of its own.
const std::string& RaftNode::RegionOf(const std::string& zone) const {
  auto region = regions_.find(zone);
  return region == regions_.end() ? zone : region->second;
}

}  // namespace elderkeel::consensus
