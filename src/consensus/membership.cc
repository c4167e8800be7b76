// Who votes: learners caught up, voters let in and taken out one at a time by entries of the log.
#include <algorithm>

#include "consensus/machine.h"
#include "wire/frame.h"

namespace elderkeel::consensus {

void Machine::RefreshVoters() {
  voters_ = snapshot_.voters;
  for (auto at = log_.rbegin(); at != log_.rend(); ++at) {
    if (at->kind != EntryKind::kVoters || at->index <= snapshot_.index) continue;
    if (auto voters = wire::Decode<std::vector<Member>>(at->data)) voters_ = *voters;
    break;
  }
}

Index Machine::LastVotersIndex() const {
  for (auto at = log_.rbegin(); at != log_.rend(); ++at) {
    if (at->kind == EntryKind::kVoters) return at->index;
  }
  return snapshot_.index;
}

bool Machine::IsVoter(MemberId id) const {
  return std::any_of(voters_.begin(), voters_.end(), [&](const Member& m) { return m.id == id; });
}

std::vector<Member> Machine::learners() const {
  std::vector<Member> found;
  for (const auto& [id, p] : progress_) {
    if (!p.voter) found.push_back(p.member);
  }
  return found;
}

// The members that the leader replicates to: all voters, and learners that asked.
void Machine::SyncProgress() {
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

void Machine::Join(base::Millis now, const Member& member) {
  now_ = now;
  if (!leading() || member.id == 0 || member.id == self_.id || IsVoter(member.id)) return;
  auto [at, added] = progress_.try_emplace(member.id);
  at->second.member = member;
  if (added) {
    // From here on only its own replies show that it is there: a wish may be passed on late.
    at->second.heard = now;
    at->second.next = last_index() + 1;
    SendAppendEntries(now, &at->second, true);
  }
}

bool Machine::LiveMajorityWithout(base::Millis now, MemberId without) const {
  size_t rest = 0, live = 0;
  for (const Member& v : voters_) {
    if (v.id == without) continue;
    ++rest;
    live += HeardWithin(now, v.id, timing_.election);
  }
  return rest > 0 && live >= rest / 2 + 1;
}

// Voters change one at a time, and only when the last change and an entry of this term are
// committed. A replaced voter is taken out before its successor is let in: neither step then needs
// more live members than the other order, and the dead one never counts towards a majority.
void Machine::ReviewVoters(base::Millis now) {
  if (!settled() || LastVotersIndex() > commit_) return;
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
  auto silent = [&](const Member& v) {
    return v.id != self_.id && now - progress_[v.id].heard > timing_.replace_after;
  };
  for (auto at = progress_.begin(); at != progress_.end();) {
    if (!at->second.voter && now - at->second.heard > timing_.replace_after * 2) {
      at = progress_.erase(at);
    } else {
      ++at;
    }
  }
  for (auto& [id, p] : progress_) {
    if (p.voter || p.lost_state || p.match < commit_ || now - p.heard > timing_.election) continue;
    for (const Member& v : voters_) {
      bool same_place = v.ip == p.member.ip;
      bool replaced = ZoneOf(v) == ZoneOf(p.member) && silent(v);
      if (v.id != self_.id && (same_place || replaced) && LiveMajorityWithout(now, v.id)) {
        propose(without(v.id));
        return;
      }
    }
    std::vector<Member> more = voters_;
    more.push_back(p.member);
    propose(std::move(more));
    return;
  }
  // One that stays away is not waited for: it would count towards every majority. If it comes back
  // it asks to be taken in again. But a cut is no loss: where every voter is needed for what is
  // tolerated, it stays.
  for (const Member& v : voters_) {
    if (v.id == self_.id || voters_.size() <= FewestVoters()) continue;
    bool others_heard = std::none_of(voters_.begin(), voters_.end(), [&](const Member& other) {
      return other.id != v.id && silent(other);
    });
    // Of an even number one less makes the majority smaller, so that is not waited for either: it
    // is what a machine that was exchanged for another one leaves behind.
    base::Millis patience = voters_.size() % 2 == 0 ? timing_.replace_after : timing_.forget_after;
    if (now - progress_[v.id].heard > patience && others_heard && LiveMajorityWithout(now, v.id)) {
      propose(without(v.id));
      return;
    }
  }
}

}  // namespace elderkeel::consensus
