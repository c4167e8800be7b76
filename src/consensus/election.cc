// Terms and votes: pre-vote, elections, stepping down, handing leadership over.
#include "consensus/raft_node.h"

namespace elderkeel::consensus {

void RaftNode::ResetElection(base::Millis now) {
  if (no_leader_seen_) {
    // Nobody was heard yet, so there may be nobody to wait for; a pre-vote disturbs no leader.
    election_at_ = now + timing_.startup_election_timeout +
                   static_cast<base::Millis>(
                       random_.Below(static_cast<uint64_t>(timing_.startup_election_timeout * 4)));
    return;
  }
  election_at_ =
      now + timing_.election_timeout +
      static_cast<base::Millis>(random_.Below(static_cast<uint64_t>(timing_.election_timeout)));
}

void RaftNode::BecomeFollower(base::Millis now, Term term, MemberId leader) {
  if (role_ != Role::kFollower) out_.role_changed = true;
  if (is_leader()) {
    FailReads();
    progress_.clear();
  }
  role_ = Role::kFollower;
  if (term > term_) {
    term_ = term;
    last_leader_round_ = 0;
    incoming_.reset();
    SetHardState(term, 0);
  }
  if (leader != leader_id_) out_.role_changed = true;
  leader_id_ = leader;
  ResetElection(now);
}

void RaftNode::StartPreVote(base::Millis now) {
  role_ = Role::kPreCandidate;
  out_.role_changed = true;
  leader_id_ = 0;
  votes_ = {self_.id};
  ResetElection(now);
  pre_vote_round_ = ++round_;
  if (votes_.size() >= Majority()) {
    StartElection(now);
    return;
  }
  for (const Member& v : voters_) {
    if (v.id == self_.id) continue;
    Message m = Make(MessageType::kPreVote, v.id);
    m.term = term_ + 1;
    m.index = last_index();
    m.log_term = TermAt(last_index());
    m.round = pre_vote_round_;
    Post(v.address(), std::move(m), false);
  }
}

void RaftNode::StartElection(base::Millis now) {
  role_ = Role::kCandidate;
  out_.role_changed = true;
  leader_id_ = 0;  // one that handed over leads no more
  ++term_;
  last_leader_round_ = 0;
  SetHardState(term_, self_.id);
  votes_ = {self_.id};
  ResetElection(now);
  if (votes_.size() >= Majority()) {
    BecomeLeader(now);
    return;
  }
  for (const Member& v : voters_) {
    if (v.id == self_.id) continue;
    Message m = Make(MessageType::kRequestVote, v.id);
    m.index = last_index();
    m.log_term = TermAt(last_index());
    Post(v.address(), std::move(m), true);
  }
}

void RaftNode::BecomeLeader(base::Millis now) {
  role_ = Role::kLeader;
  no_leader_seen_ = false;
  out_.role_changed = true;
  leader_id_ = self_.id;
  progress_.clear();
  TrackVoters();
  Append(EntryKind::kNoop, "");
  Broadcast(now);
}

void RaftNode::OnPreVote(base::Millis now, const Message& m, const base::Address& from) {
  bool current = m.log_term > TermAt(last_index()) ||
                 (m.log_term == TermAt(last_index()) && m.index >= last_index());
  bool leader_alive =
      is_leader() ||
      (leader_id_ && now - last_leader_contact_ < timing_.election_timeout && leader_id_ != m.from);
  Message reply = Make(MessageType::kPreVoteReply, m.from);
  reply.granted = current && !leader_alive && m.term > term_;
  reply.term = reply.granted ? m.term : term_;
  reply.round = m.round;
  Post(from, std::move(reply), false);
}

// A grant is no promise, and may have been overtaken by a leader: only those of the pre-vote that
// is under way count.
void RaftNode::OnPreVoteReply(base::Millis now, const Message& m) {
  if (!m.granted) {
    if (m.term > term_) BecomeFollower(now, m.term, 0);
    return;
  }
  if (role_ != Role::kPreCandidate || m.term != term_ + 1 || m.round != pre_vote_round_ ||
      !IsVoter(m.from)) {
    return;
  }
  votes_.insert(m.from);
  if (votes_.size() >= Majority()) StartElection(now);
}

void RaftNode::OnRequestVote(base::Millis now, const Message& m, const base::Address& from) {
  bool current = m.log_term > TermAt(last_index()) ||
                 (m.log_term == TermAt(last_index()) && m.index >= last_index());
  bool free = hard_state_.voted_for == 0 || hard_state_.voted_for == m.from;
  Message reply = Make(MessageType::kRequestVoteReply, m.from);
  reply.granted = current && free && role_ == Role::kFollower;
  if (reply.granted) {
    SetHardState(term_, m.from);
    ResetElection(now);
  }
  Post(from, std::move(reply), true);
}

void RaftNode::OnRequestVoteReply(base::Millis now, const Message& m) {
  if (role_ != Role::kCandidate || !m.granted || !IsVoter(m.from)) return;
  votes_.insert(m.from);
  if (votes_.size() >= Majority()) BecomeLeader(now);
}

void RaftNode::TransferLeadership(base::Millis now) {
  if (!is_leader()) return;
  const Progress* best = nullptr;
  for (const auto& [id, p] : progress_) {
    if (!p.voter || p.state_lost || Leaving(p) || now - p.heard > timing_.election_timeout)
      continue;
    if (!best || p.match > best->match) best = &p;
  }
  if (!best) return;
  Message m = Make(MessageType::kTimeoutNow, best->member.id);
  m.round = ++round_;
  Post(best->member.address(), std::move(m), false);
}

// A leader that was heard after it handed over did not go.
void RaftNode::OnTimeoutNow(base::Millis now, const Message& m) {
  if (role_ != Role::kFollower || leaving_ || !IsVoter(self_.id) || m.round < last_leader_round_)
    return;
  StartElection(now);
}

}  // namespace elderkeel::consensus
