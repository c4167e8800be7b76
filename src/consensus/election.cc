// Terms and votes of a RaftNode: pre-vote, elections, stepping down, leadership transfer.
#include <utility>

#include "consensus/raft_node.h"

namespace elderkeel::consensus {

void RaftNode::ResetElectionTimer(base::Millis now) {
  base::Millis minimum = timing_.election_timeout;
  base::Millis spread = timing_.election_timeout;
  if (no_leader_contact_yet_) {
    // After a start there may be no leader to wait for, and a pre-vote doesn't disturb one.
    minimum = timing_.startup_election_timeout;
    spread = timing_.startup_election_timeout * 4;
  }
  base::Millis jitter = static_cast<base::Millis>(random_.Below(static_cast<uint64_t>(spread)));
  election_at_ = now + minimum + jitter;
}

void RaftNode::BecomeFollower(base::Millis now, Term term, MemberId leader) {
  if (role_ != Role::kFollower) effects_.role_changed = true;
  if (is_leader()) {
    FailReads();
    progress_.clear();
  }
  role_ = Role::kFollower;
  if (term > hard_state_.term) {
    last_leader_round_ = 0;
    partial_snapshot_.reset();
    SetHardState(term, 0);
  }
  if (leader != leader_id_) effects_.role_changed = true;
  leader_id_ = leader;
  ResetElectionTimer(now);
}

void RaftNode::StartPreVote(base::Millis now) {
  role_ = Role::kPreCandidate;
  effects_.role_changed = true;
  leader_id_ = 0;
  votes_ = {self_.id};
  ResetElectionTimer(now);
  pre_vote_round_ = ++round_;
  if (votes_.size() >= Majority()) {
    StartElection(now);
    return;
  }
  RequestVotes(MessageType::kPreVote, term() + 1, pre_vote_round_, SendWhen::kNow);
}

void RaftNode::StartElection(base::Millis now) {
  role_ = Role::kCandidate;
  effects_.role_changed = true;
  leader_id_ = 0;  // still set after a kTimeoutNow: the leader that transferred its leadership
  last_leader_round_ = 0;
  SetHardState(term() + 1, self_.id);
  votes_ = {self_.id};
  ResetElectionTimer(now);
  if (votes_.size() >= Majority()) {
    BecomeLeader(now);
    return;
  }
  RequestVotes(MessageType::kRequestVote, term(), 0, SendWhen::kWritesFinished);
}

void RaftNode::RequestVotes(MessageType type, Term term, uint64_t round, SendWhen when) {
  for (const Member& voter : voters_) {
    if (voter.id == self_.id) continue;
    Message message = MakeMessage(type, voter.id);
    message.term = term;
    message.index = log_.last_index();
    message.log_term = log_.last_term();
    message.round = round;
    Send(voter.address(), std::move(message), when);
  }
}

void RaftNode::BecomeLeader(base::Millis now) {
  role_ = Role::kLeader;
  no_leader_contact_yet_ = false;
  effects_.role_changed = true;
  leader_id_ = self_.id;
  progress_.clear();
  TrackVoters();
  Append(EntryKind::kNoop, "");
  Broadcast(now);
}

// A pre-vote is refused while another leader is in contact: otherwise a member that returns from a
// partition would depose a working leader.
void RaftNode::OnPreVote(base::Millis now, const Message& message, const base::Address& from) {
  bool has_live_leader = leader_id_ && leader_id_ != message.from &&
                         now - last_leader_contact_ < timing_.election_timeout;
  Message reply = MakeMessage(MessageType::kPreVoteReply, message.from);
  reply.granted = log_.IsUpToDate(message.index, message.log_term) && !is_leader() &&
                  !has_live_leader && message.term > term();
  if (reply.granted) reply.term = message.term;
  reply.round = message.round;
  Send(from, std::move(reply), SendWhen::kNow);
}

// A granted pre-vote doesn't bind the voter, and a leader may have been elected since: only replies
// to the current pre-vote count.
void RaftNode::OnPreVoteReply(base::Millis now, const Message& message) {
  if (!message.granted) {
    if (message.term > term()) BecomeFollower(now, message.term, 0);
    return;
  }
  bool is_current = role_ == Role::kPreCandidate && message.term == term() + 1 &&
                    message.round == pre_vote_round_;
  if (!is_current || !IsVoter(message.from)) return;
  votes_.insert(message.from);
  if (votes_.size() >= Majority()) StartElection(now);
}

// A follower refuses its vote to a candidate whose log is behind its own, and to a second candidate
// of the same term (Raft, sections 5.2 and 5.4.1).
void RaftNode::OnRequestVote(base::Millis now, const Message& message, const base::Address& from) {
  bool can_vote = hard_state_.voted_for == 0 || hard_state_.voted_for == message.from;
  Message reply = MakeMessage(MessageType::kRequestVoteReply, message.from);
  reply.granted =
      log_.IsUpToDate(message.index, message.log_term) && can_vote && role_ == Role::kFollower;
  if (reply.granted) {
    SetHardState(term(), message.from);
    ResetElectionTimer(now);
  }
  Send(from, std::move(reply), SendWhen::kWritesFinished);
}

void RaftNode::OnRequestVoteReply(base::Millis now, const Message& message) {
  if (role_ != Role::kCandidate || !message.granted || !IsVoter(message.from)) return;
  votes_.insert(message.from);
  if (votes_.size() >= Majority()) BecomeLeader(now);
}

void RaftNode::TransferLeadership(base::Millis now) {
  if (!is_leader()) return;
  const PeerProgress* best = nullptr;
  for (const auto& [id, peer] : progress_) {
    bool eligible = peer.is_voter && !peer.state_lost && !IsLeaving(peer) &&
                    now - peer.last_contact <= timing_.election_timeout;
    if (!eligible) continue;
    if (!best || peer.match_index > best->match_index) best = &peer;
  }
  if (!best) return;
  Message message = MakeMessage(MessageType::kTimeoutNow, best->member.id);
  message.round = ++round_;
  Send(best->member.address(), std::move(message), SendWhen::kNow);
}

// A kTimeoutNow older than the leader's newest message is ignored: the leader has continued to lead
// after it.
void RaftNode::OnTimeoutNow(base::Millis now, const Message& message) {
  if (role_ != Role::kFollower || leaving_ || !IsVoter(self_.id)) return;
  if (message.round < last_leader_round_) return;
  StartElection(now);
}

base::Millis RaftNode::LastMajorityContact() const {
  std::vector<base::Millis> contacts;
  for (const Member& voter : voters_) {
    auto peer = progress_.find(voter.id);
    base::Millis contact = peer == progress_.end() ? 0 : peer->second.last_contact;
    contacts.push_back(voter.id == self_.id ? now_ : contact);
  }
  return contacts.empty() ? 0 : ReachedByMajority(std::move(contacts));
}

}  // namespace elderkeel::consensus
