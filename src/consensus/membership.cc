// Who votes: learners caught up, voters let in and taken out one at a time by entries of the log.
#include <algorithm>

#include "consensus/raft_node.h"
#include "wire/frame.h"

namespace elderkeel::consensus {

void RaftNode::ReloadVoters() {
  voters_ = snapshot_.voters;
  for (auto at = log_.rbegin(); at != log_.rend(); ++at) {
    if (at->kind != EntryKind::kVoters || at->index <= snapshot_.index) continue;
    if (auto voters = wire::Decode<std::vector<Member>>(at->data)) voters_ = *voters;
    break;
  }
}

Index RaftNode::LastVotersIndex() const {
  for (auto at = log_.rbegin(); at != log_.rend(); ++at) {
    if (at->kind == EntryKind::kVoters) return at->index;
  }
  return snapshot_.index;
}

bool RaftNode::IsVoter(MemberId id) const {
  return std::any_of(voters_.begin(), voters_.end(), [&](const Member& m) { return m.id == id; });
}

std::vector<Member> RaftNode::learners() const {
  std::vector<Member> found;
  for (const auto& [id, p] : progress_) {
    if (!p.voter) found.push_back(p.member);
  }
  return found;
}

// The members that the leader replicates to: all voters, and learners that asked.
void RaftNode::TrackVoters() {
  for (auto& [id, p] : progress_) p.voter = false;
  for (const Member& v : voters_) {
    if (v.id == self_.id) continue;
    auto [at, added] = progress_.try_emplace(v.id);
    if (added) {
      at->second.next = last_index() + 1;
      at->second.heard = now_;
    }
    at->second.member = v;
    at->second.voter = true;
  }
}

void RaftNode::Join(base::Millis now, const Member& member) {
  AdvanceClock(now);
  if (!is_leader() || member.id == 0 || member.id == self_.id || IsVoter(member.id)) return;
  auto [at, added] = progress_.try_emplace(member.id);
  at->second.member = member;
  if (added) {
    // From here on only its own replies show that it is there: a wish may be passed on late.
    at->second.heard = now;
    at->second.next = last_index() + 1;
    SendAppendEntries(now, &at->second, true);
  }
}

bool RaftNode::HasLiveMajorityWithout(base::Millis now, MemberId without) const {
  size_t rest = 0, live = 0;
  for (const Member& v : voters_) {
    if (v.id == without) continue;
    ++rest;
    live += ContactedWithin(now, v.id, timing_.election_timeout);
  }
  return rest > 0 && live >= rest / 2 + 1;
}

// It said that it ends, and was not heard since its end: a member that came back is heard again.
bool RaftNode::Leaving(const Progress& p) const {
  return p.leave_requested_at >= 0 && p.heard - p.leave_requested_at < timing_.election_timeout;
}

// What is committed must be on as many other disks as a commit asks for, or on all those that are
// heard and stay; and a newcomer that is being caught up is waited for, since it may replace this
// member.
bool RaftNode::MayStop(base::Millis now, MemberId id) const {
  if (!HasCommittedInTerm() || LastVotersIndex() > commit_) return false;
  size_t copies = 0, heard = 0, others = 0;
  for (const Member& v : voters_) {
    if (v.id == id) continue;
    ++others;
    auto at = progress_.find(v.id);
    bool live = ContactedWithin(now, v.id, timing_.election_timeout) &&
                (at == progress_.end() || !Leaving(at->second));
    heard += live;
    copies += live && Synced(v) >= commit_;
  }
  for (const auto& [other, p] : progress_) {
    if (other != id && !p.voter && !Leaving(p) && now - p.heard < timing_.election_timeout)
      return false;
  }
  if (IsVoter(id) && voters_.size() > MinVoters() && HasLiveMajorityWithout(now, id)) return false;
  size_t needed = std::max(others / 2 + 1, std::min(tolerance_.machines + 1, others));
  return copies >= std::min(needed, heard);
}

void RaftNode::OnLeave(base::Millis now, const Message& m, const base::Address& from) {
  auto at = progress_.find(m.from);
  if (!is_leader() || at == progress_.end()) return;
  at->second.heard = now;
  at->second.leave_requested_at = now;
  ReviewVoters(now);
  Message reply = Make(MessageType::kLeaveReply, m.from);
  reply.granted = MayStop(now, m.from);
  Post(from, std::move(reply), false);
}

// Voters change one at a time, and only when the last change and an entry of this term are
// committed. A dead voter is taken out before its successor is let in: neither step then needs
// more live members than the other order, and the dead one never counts towards a majority. One
// that lives and leaves is taken out after: there is then no moment with one voter less.
void RaftNode::ReviewVoters(base::Millis now) {
  if (!HasCommittedInTerm() || LastVotersIndex() > commit_) return;
  auto propose = [&](std::vector<Member> voters) {
    Append(EntryKind::kVoters, wire::Encode(voters));
    Broadcast(now);
  };
  auto without = [&](MemberId id) {
    std::vector<Member> rest;
    for (const Member& v : voters_) {
      if (v.id != id) rest.push_back(v);
    }
    return rest;
  };
  auto silent_for = [&](const Member& v) { return now - progress_[v.id].heard; };
  // One that said that it ends needs no patience.
  auto silent = [&](const Member& v) {
    if (v.id == self_.id) return false;
    return silent_for(v) >
           (Leaving(progress_[v.id]) ? timing_.election_timeout : timing_.replace_silent_after);
  };
  for (auto at = progress_.begin(); at != progress_.end();) {
    if (!at->second.voter && now - at->second.heard > timing_.replace_silent_after * 2) {
      at = progress_.erase(at);
    } else {
      ++at;
    }
  }
  for (auto& [id, p] : progress_) {
    if (p.voter || p.state_lost || p.match < commit_ || Leaving(p)) continue;
    if (now - p.heard > timing_.election_timeout) continue;
    for (const Member& v : voters_) {
      if (v.id == self_.id) continue;
      bool same_place = v.ip == p.member.ip;
      bool replaced = ZoneOf(v) == ZoneOf(p.member) && silent(v);
      if ((same_place || replaced) && HasLiveMajorityWithout(now, v.id)) {
        propose(without(v.id));
        return;
      }
    }
    std::vector<Member> more = voters_;
    more.push_back(p.member);
    propose(std::move(more));
    return;
  }
  // One that stays away is not waited for: it would count towards every majority, and it may be
  // what an exchanged machine leaves behind. If it comes back it asks to be taken in again. But a
  // cut is no loss: where every voter is needed for what is tolerated it stays, and while more are
  // silent than may be lost at once it is waited for longer.
  if (voters_.size() <= MinVoters()) return;
  size_t all_silent = static_cast<size_t>(std::count_if(voters_.begin(), voters_.end(), silent));
  base::Millis patience = all_silent <= std::max<size_t>(1, tolerance_.machines)
                              ? timing_.replace_silent_after
                              : timing_.remove_silent_after;
  for (const Member& v : voters_) {
    if (v.id == self_.id || !HasLiveMajorityWithout(now, v.id)) continue;
    bool away = silent_for(v) > patience;
    if (away || Leaving(progress_[v.id])) {
      propose(without(v.id));
      return;
    }
  }
}

}  // namespace elderkeel::consensus
