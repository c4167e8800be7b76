#include "consensus/machine.h"

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

Machine::Machine(Options options, Restored restored, base::Millis now)
    : self_(std::move(options.self)),
      timing_(options.timing),
      tolerance_(options.tolerance),
      regions_(std::move(options.regions)),
      random_(options.seed),
      founders_(std::move(options.founders)),
      now_(now),
      round_(base::Random(~options.seed).Next() >> 16) {  // no reply to a former life fits
  if (restored.empty) {
    hard_.cluster = options.cluster;
    hard_.self = self_.id;
    Persist& write = Write();
    write.hard_changed = true;
    write.hard = hard_;
    if (!founders_.empty()) {
      // The founders begin from the same snapshot, so that the first voters are part of the log's
      // history on every one of them.
      snapshot_.index = 1;
      snapshot_.term = 1;
      snapshot_.voters = founders_;
      write.snapshot = {snapshot_};
      hard_.term = 1;
      write.hard = hard_;
    }
  } else {
    hard_ = restored.hard;
    self_.id = hard_.self;
    snapshot_ = std::move(restored.snapshot);
    log_ = std::move(restored.entries);
  }
  term_ = hard_.term;
  commit_ = applied_ = snapshot_.index;
  persisted_ = last_index();
  RefreshVoters();
  if (snapshot_.index > 0) out_.installed.push_back(snapshot_);
  // What was known to be committed is so still, and can be used before there is a leader.
  commit_ = std::max(commit_, std::min(restored.commit, last_index()));
  commit_told_ = commit_;
  ApplyCommitted();
  ResetElection(now);
}

Index Machine::last_index() const { return log_.empty() ? snapshot_.index : log_.back().index; }

const Entry* Machine::At(Index index) const {
  if (log_.empty() || index < log_.front().index || index > log_.back().index) return nullptr;
  return &log_[index - log_.front().index];
}

Term Machine::TermAt(Index index) const {
  if (const Entry* entry = At(index)) return entry->term;
  return index == snapshot_.index ? snapshot_.term : 0;
}

std::optional<Member> Machine::leader() const {
  if (leading()) return self_;
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

std::optional<Member> Machine::LeaderInTouch(base::Millis now) const {
  if (now - now_ > timing_.election) return std::nullopt;
  base::Millis heard = leading() ? MajorityHeard() : leader_heard_;
  if (now - heard > timing_.election) return std::nullopt;
  return leader();
}

base::Millis Machine::MajorityHeard() const {
  std::vector<base::Millis> heard;
  for (const Member& v : voters_) {
    auto at = progress_.find(v.id);
    heard.push_back(v.id == self_.id ? now_ : at == progress_.end() ? 0 : at->second.heard);
  }
  if (heard.size() < Majority()) return 0;
  std::sort(heard.rbegin(), heard.rend());
  return heard[Majority() - 1];
}

void Machine::Wake(base::Millis now) {
  base::Millis gap = now - now_;
  now_ = std::max(now_, now);
  if (gap <= (leading() ? timing_.election * 2 : timing_.election)) return;
  // What was heard before says nothing about now, and neither does what waited meanwhile. Give a
  // leader time to be heard.
  BecomeFollower(now, term_, 0);
}

base::Millis Machine::LastHeard(MemberId id) const {
  if (id == self_.id) return now_;
  auto at = progress_.find(id);
  return at == progress_.end() ? -1 : at->second.heard;
}

bool Machine::HeardWithin(base::Millis now, MemberId id, base::Millis span) const {
  if (id == self_.id) return true;
  auto at = progress_.find(id);
  return at != progress_.end() && !at->second.lost_state && now - at->second.heard < span;
}

bool Machine::disk_stuck(base::Millis now) const {
  return broken_ ||
         (!write_since_.empty() && now - write_since_.begin()->second > timing_.disk_patience);
}

Machine::Effects Machine::Take() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

// Writes made in one turn are merged until they are taken.
Persist& Machine::Write() {
  if (out_.writes.empty()) {
    Persist write;
    write.sequence = ++write_sequence_;
    out_.writes.push_back(std::move(write));
    write_since_[write_sequence_] = now_;
  }
  return out_.writes.back();
}

void Machine::SetHardState(Term term, MemberId voted_for) {
  if (hard_.term == term && hard_.voted_for == voted_for) return;
  hard_.term = term;
  hard_.voted_for = voted_for;
  Persist& write = Write();
  write.hard_changed = true;
  write.hard = hard_;
}

Message Machine::Make(MessageType type, MemberId to) const {
  Message m;
  m.type = type;
  m.cluster = hard_.cluster;
  m.from = self_.id;
  m.to = to;
  m.term = term_;
  return m;
}

void Machine::Post(const base::Address& to, Message message, bool after_writes) {
  if (after_writes && written_ < write_sequence_) {
    // What rests on a write is told once it is on disk.
    if (held_.size() > 256) held_.erase(held_.begin());
    held_.push_back({write_sequence_, {to, std::move(message)}});
    return;
  }
  out_.messages.push_back({to, std::move(message)});
}

void Machine::Persisted(base::Millis now, uint64_t sequence, bool ok) {
  Wake(now);
  if (!ok) {
    // A refused write ends this member's part: what it told before stands, nothing new is told.
    broken_ = true;
    held_.clear();
    if (role_ != Role::kFollower) BecomeFollower(now, term_, 0);
    return;
  }
  written_ = std::max(written_, sequence);
  write_since_.erase(write_since_.begin(), write_since_.upper_bound(sequence));
  for (auto at = write_last_.begin(); at != write_last_.end() && at->first <= sequence;) {
    persisted_ = std::max(persisted_, std::min(at->second, last_index()));
    at = write_last_.erase(at);
  }
  std::vector<Held> rest;
  for (Held& held : held_) {
    if (held.after <= written_) {
      out_.messages.push_back(std::move(held.out));
    } else {
      rest.push_back(std::move(held));
    }
  }
  held_.swap(rest);
  if (leading()) AdvanceCommit(now);
}

void Machine::Tick(base::Millis now) {
  Wake(now);
  if (commit_ > commit_told_ && !broken_) {
    commit_told_ = commit_;
    Write().commit = commit_;
  }
  if (leading()) {
    // Check-quorum: by the longest election time-out, others lead where it hears no majority.
    if (now - MajorityHeard() > timing_.election * 2) {
      BecomeFollower(now, term_, 0);
      return;
    }
    if (disk_stuck(now)) {
      TransferLeadership(now);
      BecomeFollower(now, term_, 0);
      // It may vote again when its disk answers; until then others are better placed.
      election_at_ = now + timing_.election * 4;
      return;
    }
    // The word that hands over may be lost, or come after a heartbeat that unsays it.
    if (leaving_ && now >= leave_at_) {
      leave_at_ = now + timing_.election / 2;
      TransferLeadership(now);
    }
    ReviewVoters(now);  // not only with heartbeats: while changes go out none is due
    if (now >= heartbeat_at_) {
      Broadcast(now);
      // Nobody is left to hand over to.
      departed_ |= leaving_ && std::none_of(progress_.begin(), progress_.end(), [&](const auto& p) {
                     return now - p.second.heard < timing_.election;
                   });
    }
    return;
  }
  if (leaving_ && !departed_ && leader_id_ && now >= leave_at_) {
    leave_at_ = now + timing_.heartbeat;
    Post(leader_address_, Make(MessageType::kLeave, leader_id_), false);
  }
  if (leader_id_ && now - leader_heard_ > timing_.election * 2) {
    leader_id_ = 0;
    out_.role_changed = true;
  }
  if (now >= election_at_ && IsVoter(self_.id) && !broken_ && !disk_stuck(now)) StartPreVote(now);
}

void Machine::Receive(base::Millis now, const Message& m, const base::Address& from) {
  Wake(now);
  if (m.to != self_.id || broken_) return;
  if (hard_.cluster == 0 && m.cluster != 0 &&
      (m.type == MessageType::kAppendEntries || m.type == MessageType::kInstallSnapshot)) {
    // A joiner learns which cluster it joined from the leader that took it.
    hard_.cluster = m.cluster;
    Persist& write = Write();
    write.hard_changed = true;
    write.hard = hard_;
  }
  if (m.cluster != hard_.cluster) return;
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
      departed_ |= leaving_ && m.granted;
      return;
    case MessageType::kLostState:
      return OnLostState();
    default:
      return;
  }
}

}  // namespace elderkeel::consensus
