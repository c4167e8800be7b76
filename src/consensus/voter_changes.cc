// Membership changes of a RaftNode: learners are caught up and become voters, and voters are added
// and removed by entries of the log.
//
// Voters change one at a time, and only when the previous change and an entry of this term are
// committed. A failed voter is removed before its replacement is added: neither step then needs
// more live members than in the opposite order, and the failed voter doesn't enlarge the majority
// that the second step needs. A voter that leaves while it is alive is removed after its
// replacement is added, so that the group never has one voter less.
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

// Keeps a PeerProgress for every voter besides this leader. Learners have theirs from AddLearner();
// removed voters remain as learners.
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
  // Later requests don't count as contact, only the learner's own replies: a request may be
  // forwarded late, when the learner has already stopped.
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

// Whether the member has sent a kLeave and its last contact is less than an election timeout after
// the newest one. A member that has restarted replies without a kLeave, so that it no longer counts
// as leaving.
bool RaftNode::IsLeaving(const PeerProgress& peer) const {
  return peer.leave_requested_at >= 0 &&
         peer.last_contact - peer.leave_requested_at < timing_.election_timeout;
}

// Whether the leader releases a member that leaves. Committed entries must be on as many other
// disks as a commit among the other voters requires, whatever their zones and regions, or on all
// voters that are in contact and not leaving. The leader waits for a learner in contact, since the
// learner may replace this member.
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
  bool surplus = voters_.size() > MinVoters(tolerance_);
  // A voter that can be removed is removed first and released after that.
  if (IsVoter(id) && surplus && HasLiveMajorityWithout(now, id)) return false;
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
  DropUnreachableLearners(now);
  if (!PromoteLearner(now)) RemoveVoter(now);
}

void RaftNode::DropUnreachableLearners(base::Millis now) {
  for (auto peer = progress_.begin(); peer != progress_.end();) {
    base::Millis contact_gap = now - peer->second.last_contact;
    bool dropped = !peer->second.is_voter && contact_gap > timing_.replace_unreachable_after * 2;
    peer = dropped ? progress_.erase(peer) : std::next(peer);
  }
}

// Makes a caught-up learner a voter, or first removes the voter that it replaces: one with the same
// IP address, or an unreachable one of the same zone. Returns whether it proposed a change.
bool RaftNode::PromoteLearner(base::Millis now) {
  for (const auto& [id, peer] : progress_) {
    bool ready = !peer.is_voter && !peer.state_lost && peer.match_index >= commit_index_ &&
                 !IsLeaving(peer) && now - peer.last_contact <= timing_.election_timeout;
    if (!ready) continue;
    Member learner = peer.member;
    for (const Member& voter : voters_) {
      if (voter.id == self_.id) continue;
      bool same_address = voter.ip == learner.ip;
      bool replaced = ZoneOf(voter) == ZoneOf(learner) && IsUnreachable(now, voter);
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

// Removes a voter that leaves or has been unreachable for too long. An unreachable voter still
// counts in the size of every majority, and its machine may have been replaced by another one. If
// it returns, it asks to join again. Voters may also be unreachable because of a partition, without
// being lost: none is removed while all of them are needed for the tolerated loss, and while more
// are unreachable than may be lost at once, the longer timeout applies.
void RaftNode::RemoveVoter(base::Millis now) {
  if (voters_.size() <= MinVoters(tolerance_)) return;
  auto unreachable = std::count_if(voters_.begin(), voters_.end(),
                                   [&](const Member& voter) { return IsUnreachable(now, voter); });
  size_t tolerated = std::max<size_t>(1, tolerance_.machines);
  base::Millis timeout = static_cast<size_t>(unreachable) <= tolerated
                             ? timing_.replace_unreachable_after
                             : timing_.remove_unreachable_after;
  for (const Member& voter : voters_) {
    if (voter.id == self_.id || !HasLiveMajorityWithout(now, voter.id)) continue;
    if (TimeSinceContact(now, voter) > timeout || IsLeaving(progress_[voter.id])) {
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

base::Millis RaftNode::TimeSinceContact(base::Millis now, const Member& voter) const {
  return now - progress_.at(voter.id).last_contact;
}

// A voter that has asked to leave counts as unreachable after the shorter election timeout.
bool RaftNode::IsUnreachable(base::Millis now, const Member& voter) const {
  if (voter.id == self_.id) return false;
  bool leaving = IsLeaving(progress_.at(voter.id));
  return TimeSinceContact(now, voter) >
         (leaving ? timing_.election_timeout : timing_.replace_unreachable_after);
}

}  // namespace elderkeel::consensus
