// Who votes: learners caught up, voters added and removed one at a time by entries of the log.
//
// Voters change one at a time, and only when the last change and an entry of this term are
// committed. A dead voter is removed before its successor is added: neither step then needs more
// live members than the other order, and the dead one never counts towards a majority. One that is
// alive and leaves is removed after: there is then no moment with one voter less.
#include <algorithm>
#include <utility>

#include "consensus/raft_node.h"
#include "transport/frame.h"

namespace elderkeel::consensus {

bool RaftNode::IsVoter(MemberId id) const {
  return std::any_of(voters_.begin(), voters_.end(),
                     [id](const Member& voter) { return voter.id == id; });
}

std::vector<Member> RaftNode::learners() const {
  std::vector<Member> learners;
  for (const auto& [id, peer] : progress_) {
    if (!peer.is_voter) learners.push_back(peer.member);
  }
  return learners;
}

// The leader replicates to all voters, and to learners that asked.
void RaftNode::TrackVoters() {
  for (auto& [id, peer] : progress_) peer.is_voter = false;
  for (const Member& voter : voters_) {
    if (voter.id == self_.id) continue;
    auto [found, added] = progress_.try_emplace(voter.id);
    PeerProgress& peer = found->second;
    if (added) {
      peer.next_index = log_.last_index() + 1;
      peer.last_contact = now_;
    }
    peer.member = voter;
    peer.is_voter = true;
  }
}

void RaftNode::AddLearner(base::Millis now, const Member& member) {
  AdvanceClock(now);
  if (!is_leader() || member.id == 0 || member.id == self_.id || IsVoter(member.id)) return;
  auto [found, added] = progress_.try_emplace(member.id);
  PeerProgress& peer = found->second;
  peer.member = member;
  if (!added) return;
  // From here on only its own replies show that it is there: a request may be forwarded late.
  peer.last_contact = now;
  peer.next_index = log_.last_index() + 1;
  SendAppendEntries(now, &peer, true);
}

bool RaftNode::HasLiveMajorityWithout(base::Millis now, MemberId without) const {
  size_t others = 0, live = 0;
  for (const Member& voter : voters_) {
    if (voter.id == without) continue;
    ++others;
    live += ContactedWithin(now, voter.id, timing_.election_timeout);
  }
  return others > 0 && live >= MajorityOf(others);
}

// It asked to be let go, and nothing was received since it stopped: a member that came back is
// heard again.
bool RaftNode::IsLeaving(const PeerProgress& peer) const {
  return peer.leave_requested_at >= 0 &&
         peer.last_contact - peer.leave_requested_at < timing_.election_timeout;
}

// What is committed must be on as many other disks as a commit asks for, or on all those that are
// live and stay; and a learner that is being caught up is waited for, since it may replace this
// member.
bool RaftNode::MayStop(base::Millis now, MemberId id) const {
  if (!HasCommittedInTerm() || log_.LastVotersIndex() > commit_index_) return false;
  size_t replicas = 0, live = 0, others = 0;
  for (const Member& voter : voters_) {
    if (voter.id == id) continue;
    ++others;
    auto peer = progress_.find(voter.id);
    bool stays = peer == progress_.end() || !IsLeaving(peer->second);
    if (!stays || !ContactedWithin(now, voter.id, timing_.election_timeout)) continue;
    ++live;
    replicas += DurableIndexOf(voter) >= commit_index_;
  }
  for (const auto& [other, peer] : progress_) {
    bool catching_up = other != id && !peer.is_voter && !IsLeaving(peer) &&
                       now - peer.last_contact < timing_.election_timeout;
    if (catching_up) return false;
  }
  bool spare = voters_.size() > MinVoters(tolerance_);
  if (IsVoter(id) && spare && HasLiveMajorityWithout(now, id)) return false;  // removed instead
  size_t needed = std::max(MajorityOf(others), std::min(tolerance_.machines + 1, others));
  return replicas >= std::min(needed, live);
}

void RaftNode::OnLeave(base::Millis now, const Message& message, const base::Address& from) {
  auto peer = progress_.find(message.from);
  if (!is_leader() || peer == progress_.end()) return;
  peer->second.last_contact = now;
  peer->second.leave_requested_at = now;
  ReviewVoters(now);
  Message reply = MakeMessage(MessageType::kLeaveReply, message.from);
  reply.granted = MayStop(now, message.from);
  Send(from, std::move(reply), SendWhen::kNow);
}

void RaftNode::ReviewVoters(base::Millis now) {
  if (!HasCommittedInTerm() || log_.LastVotersIndex() > commit_index_) return;
  ForgetSilentLearners(now);
  if (!PromoteLearner(now)) RemoveVoter(now);
}

void RaftNode::ForgetSilentLearners(base::Millis now) {
  for (auto peer = progress_.begin(); peer != progress_.end();) {
    base::Millis silence = now - peer->second.last_contact;
    bool forgotten = !peer->second.is_voter && silence > timing_.replace_silent_after * 2;
    peer = forgotten ? progress_.erase(peer) : std::next(peer);
  }
}

// Makes a learner that is caught up a voter, or first removes the voter that it replaces: one at
// its address, or one of its zone that is silent. True if something was proposed.
bool RaftNode::PromoteLearner(base::Millis now) {
  for (const auto& [id, peer] : progress_) {
    bool ready = !peer.is_voter && !peer.state_lost && peer.match_index >= commit_index_ &&
                 !IsLeaving(peer) && now - peer.last_contact <= timing_.election_timeout;
    if (!ready) continue;
    Member learner = peer.member;
    for (const Member& voter : voters_) {
      if (voter.id == self_.id) continue;
      bool same_address = voter.ip == learner.ip;
      bool replaced = ZoneOf(voter) == ZoneOf(learner) && IsSilent(now, voter);
      if ((same_address || replaced) && HasLiveMajorityWithout(now, voter.id)) {
        ProposeVoters(now, VotersWithout(voter.id));
        return true;
      }
    }
    std::vector<Member> voters = voters_;
    voters.push_back(std::move(learner));
    ProposeVoters(now, voters);
    return true;
  }
  return false;
}

// One that stays away is not waited for: it would count towards every majority, and it may be what
// an exchanged machine leaves behind. If it comes back it asks to be taken in again. But a
// partition is no loss: where every voter is needed for what is tolerated it stays, and while more
// are silent than may be lost at once it is waited for longer.
void RaftNode::RemoveVoter(base::Millis now) {
  if (voters_.size() <= MinVoters(tolerance_)) return;
  auto silent = std::count_if(voters_.begin(), voters_.end(),
                              [&](const Member& voter) { return IsSilent(now, voter); });
  size_t tolerated = std::max<size_t>(1, tolerance_.machines);
  base::Millis patience = static_cast<size_t>(silent) <= tolerated ? timing_.replace_silent_after
                                                                   : timing_.remove_silent_after;
  for (const Member& voter : voters_) {
    if (voter.id == self_.id || !HasLiveMajorityWithout(now, voter.id)) continue;
    if (SilenceOf(now, voter) > patience || IsLeaving(progress_[voter.id])) {
      ProposeVoters(now, VotersWithout(voter.id));
      return;
    }
  }
}

void RaftNode::ProposeVoters(base::Millis now, const std::vector<Member>& voters) {
  Append(EntryKind::kVoters, transport::Encode(voters));
  Broadcast(now);
}

std::vector<Member> RaftNode::VotersWithout(MemberId id) const {
  std::vector<Member> rest;
  for (const Member& voter : voters_) {
    if (voter.id != id) rest.push_back(voter);
  }
  return rest;
}

base::Millis RaftNode::SilenceOf(base::Millis now, const Member& voter) const {
  return now - progress_.at(voter.id).last_contact;
}

// One that asked to be let go needs no patience.
bool RaftNode::IsSilent(base::Millis now, const Member& voter) const {
  if (voter.id == self_.id) return false;
  bool leaving = IsLeaving(progress_.at(voter.id));
  return SilenceOf(now, voter) >
         (leaving ? timing_.election_timeout : timing_.replace_silent_after);
}

}  // namespace elderkeel::consensus
