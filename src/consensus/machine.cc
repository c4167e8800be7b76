#include "consensus/machine.h"

#include <algorithm>

#include "wire/frame.h"

namespace elderkeel::consensus {
namespace {
constexpr size_t kMaxBatch = 64;
constexpr size_t kMaxBatchBytes = 1 << 20;
constexpr Index kTail = 32;  // entries kept behind a snapshot, for members that are a little late
}  // namespace

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
      now_(now) {
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

base::Millis Machine::LastHeard(MemberId id) const {
  if (id == self_.id) return now_;
  auto at = progress_.find(id);
  return at == progress_.end() ? -1 : at->second.heard;
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

void Machine::SetHard(Term term, MemberId voted_for) {
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
  now_ = now;
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

void Machine::ResetElection(base::Millis now) {
  if (fresh_) {
    // Nobody was heard yet, so there may be nobody to wait for; a pre-vote disturbs no leader.
    election_at_ =
        now + timing_.first_election +
        static_cast<base::Millis>(random_.Below(static_cast<uint64_t>(timing_.first_election * 4)));
    return;
  }
  election_at_ = now + timing_.election +
                 static_cast<base::Millis>(random_.Below(static_cast<uint64_t>(timing_.election)));
}

void Machine::FailReads() {
  for (const PendingRead& read : reads_) out_.reads_failed.push_back(read.token);
  reads_.clear();
}

void Machine::BecomeFollower(base::Millis now, Term term, MemberId leader) {
  if (role_ != Role::kFollower) out_.role_changed = true;
  if (leading()) {
    FailReads();
    progress_.clear();
  }
  role_ = Role::kFollower;
  if (term > term_) {
    term_ = term;
    SetHard(term, 0);
  }
  if (leader != leader_id_) out_.role_changed = true;
  leader_id_ = leader;
  ResetElection(now);
}

void Machine::Tick(base::Millis now) {
  base::Millis gap = now - now_;
  now_ = now;
  if (commit_ > commit_told_ && !broken_) {
    commit_told_ = commit_;
    Write().commit = commit_;
  }
  if (leading()) {
    // Check-quorum: a leader that hears no majority, or slept, must not think that it still leads.
    size_t heard = 0;
    for (const Member& v : voters_) {
      if (v.id == self_.id || now - progress_[v.id].heard < timing_.election * 2) ++heard;
    }
    if (heard >= Majority()) quorum_since_ = now;
    if (now - quorum_since_ > timing_.election || gap > timing_.election * 2) {
      BecomeFollower(now, term_, 0);
      return;
    }
    if (disk_stuck(now)) {
      Transfer(now);
      BecomeFollower(now, term_, 0);
      // It may vote again when its disk answers; until then others are better placed.
      election_at_ = now + timing_.election * 4;
      return;
    }
    if (now >= heartbeat_at_) {
      Broadcast(now);
      ReviewVoters(now);
    }
    return;
  }
  if (gap > timing_.election) {
    // Slept: what was heard before says nothing about now. Give a leader time to be heard.
    ResetElection(now);
    return;
  }
  if (leader_id_ && now - leader_heard_ > timing_.election * 2) {
    leader_id_ = 0;
    out_.role_changed = true;
  }
  if (now >= election_at_ && IsVoter(self_.id) && !broken_ && !disk_stuck(now)) StartPreVote(now);
}

void Machine::StartPreVote(base::Millis now) {
  role_ = Role::kPreCandidate;
  out_.role_changed = true;
  leader_id_ = 0;
  votes_ = {self_.id};
  ResetElection(now);
  if (votes_.size() >= Majority()) {
    StartVote(now);
    return;
  }
  for (const Member& v : voters_) {
    if (v.id == self_.id) continue;
    Message m = Make(MessageType::kPreVote, v.id);
    m.term = term_ + 1;
    m.index = last_index();
    m.log_term = TermAt(last_index());
    Post(v.address(), std::move(m), false);
  }
}

void Machine::StartVote(base::Millis now) {
  role_ = Role::kCandidate;
  out_.role_changed = true;
  ++term_;
  SetHard(term_, self_.id);
  votes_ = {self_.id};
  ResetElection(now);
  if (votes_.size() >= Majority()) {
    BecomeLeader(now);
    return;
  }
  for (const Member& v : voters_) {
    if (v.id == self_.id) continue;
    Message m = Make(MessageType::kVote, v.id);
    m.index = last_index();
    m.log_term = TermAt(last_index());
    Post(v.address(), std::move(m), true);
  }
}

void Machine::BecomeLeader(base::Millis now) {
  role_ = Role::kLeader;
  fresh_ = false;
  out_.role_changed = true;
  leader_id_ = self_.id;
  quorum_since_ = now;
  progress_.clear();
  SyncProgress();
  Append(EntryKind::kNoop, "");
  Broadcast(now);
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

Index Machine::Append(EntryKind kind, std::string data) {
  Entry entry;
  entry.term = term_;
  entry.index = last_index() + 1;
  entry.kind = kind;
  entry.data = std::move(data);
  Persist& write = Write();
  write.entries.push_back(entry);
  write_last_[write.sequence] = entry.index;
  log_.push_back(std::move(entry));
  if (kind == EntryKind::kVoters) {
    RefreshVoters();
    SyncProgress();
  }
  return last_index();
}

std::optional<Index> Machine::Propose(base::Millis now, std::string command) {
  now_ = now;
  if (!settled() || broken_) return std::nullopt;
  Index index = Append(EntryKind::kCommand, std::move(command));
  Broadcast(now);
  return index;
}

bool Machine::Read(base::Millis now, uint64_t token) {
  now_ = now;
  if (!settled()) return false;
  reads_.push_back({token, ++round_});
  if (Majority() == 1) {
    AdvanceReads();
  } else {
    Broadcast(now);
  }
  return true;
}

void Machine::AdvanceReads() {
  std::vector<uint64_t> rounds;
  for (const Member& v : voters_) {
    auto at = progress_.find(v.id);
    rounds.push_back(v.id == self_.id ? UINT64_MAX : at == progress_.end() ? 0 : at->second.round);
  }
  if (rounds.empty()) return;
  std::sort(rounds.rbegin(), rounds.rend());
  uint64_t confirmed = rounds[Majority() - 1];
  std::vector<PendingRead> rest;
  for (const PendingRead& read : reads_) {
    if (read.round <= confirmed) {
      out_.reads_ready.push_back(read.token);
    } else {
      rest.push_back(read);
    }
  }
  reads_.swap(rest);
}

void Machine::Broadcast(base::Millis now) {
  heartbeat_at_ = now + timing_.heartbeat;
  for (auto& [id, p] : progress_) SendAppend(now, &p);
}

void Machine::SendAppend(base::Millis now, Progress* p) {
  // What was sent and not acknowledged for a while was lost with its connection.
  if (p->next > p->match + 1 && now - p->sent > timing_.heartbeat * 4 &&
      now - p->heard > timing_.heartbeat * 4) {
    p->next = p->match + 1;
  }
  if (p->next <= snapshot_.index && At(p->next) == nullptr) {
    Message m = Make(MessageType::kSnapshot, p->member.id);
    m.snapshot = {snapshot_};
    m.round = round_;
    m.commit = commit_;
    p->next = snapshot_.index + 1;
    p->sent = now;
    Post(p->member.address(), std::move(m), false);
    return;
  }
  Message m = Make(MessageType::kAppend, p->member.id);
  m.index = p->next - 1;
  m.log_term = TermAt(m.index);
  m.commit = commit_;
  m.round = round_;
  size_t bytes = 0;
  for (Index i = p->next; i <= last_index() && m.entries.size() < kMaxBatch; ++i) {
    const Entry* entry = At(i);
    if (!entry) break;
    if (!m.entries.empty() && bytes + entry->data.size() > kMaxBatchBytes) break;
    bytes += entry->data.size();
    m.entries.push_back(*entry);
  }
  if (!m.entries.empty()) p->sent = now;
  p->next += m.entries.size();
  Post(p->member.address(), std::move(m), false);
}

Index Machine::Synced(const Member& voter) const {
  if (voter.id == self_.id) return persisted_;
  auto at = progress_.find(voter.id);
  return at == progress_.end() ? 0 : at->second.match;
}

// A majority decides; what it decided must also outlive the loss that is tolerated. Both matter: of
// five voters with two that may be lost three copies are enough, of three they are all needed.
bool Machine::EnoughCopies(Index index) const {
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

void Machine::AdvanceCommit(base::Millis now) {
  std::vector<Index> matches;
  for (const Member& v : voters_) matches.push_back(Synced(v));
  if (matches.empty()) return;
  std::sort(matches.rbegin(), matches.rend());
  size_t place = Majority() - 1;
  while (place < matches.size() && !EnoughCopies(matches[place])) ++place;
  if (place == matches.size()) return;
  Index index = matches[place];
  if (index > commit_ && TermAt(index) == term_) {
    bool first = TermAt(commit_) != term_;
    commit_ = index;
    ApplyCommitted();
    if (first) out_.role_changed = true;
    if (!IsVoter(self_.id) && LastVotersIndex() <= commit_) {
      // The entry that took this member out is committed: its leadership ends with it.
      Transfer(now);
      BecomeFollower(now, term_, 0);
      return;
    }
    Broadcast(now);  // followers learn the commit at once, and with it the news
  }
}

void Machine::ApplyCommitted() {
  while (applied_ < commit_) {
    const Entry* entry = At(applied_ + 1);
    if (!entry) break;
    ++applied_;
    out_.committed.push_back(*entry);
  }
}

void Machine::Receive(base::Millis now, const Message& m, const base::Address& from) {
  now_ = now;
  if (m.to != self_.id || broken_) return;
  if (hard_.cluster == 0 && m.cluster != 0 &&
      (m.type == MessageType::kAppend || m.type == MessageType::kSnapshot)) {
    // A joiner learns which cluster it joined from the leader that took it.
    hard_.cluster = m.cluster;
    Persist& write = Write();
    write.hard_changed = true;
    write.hard = hard_;
  }
  if (m.cluster != hard_.cluster) return;
  if (m.type == MessageType::kPreVote) return OnPreVote(now, m, from);
  if (m.type == MessageType::kPreVoteReply) {
    if (role_ == Role::kPreCandidate && m.granted && m.term == term_ + 1 && IsVoter(m.from)) {
      votes_.insert(m.from);
      if (votes_.size() >= Majority()) StartVote(now);
    } else if (!m.granted && m.term > term_) {
      BecomeFollower(now, m.term, 0);
    }
    return;
  }
  if (m.term > term_) {
    bool from_leader = m.type == MessageType::kAppend || m.type == MessageType::kSnapshot;
    // A vote asked for while a leader is heard is a disturbance, unless that leader handed over.
    BecomeFollower(now, m.term, from_leader ? m.from : 0);
  }
  if (m.term < term_) {
    if (m.type == MessageType::kAppend || m.type == MessageType::kSnapshot) {
      Message reply = Make(MessageType::kAppendReply, m.from);
      reply.round = 0;
      Post(from, std::move(reply), true);
    }
    return;
  }
  switch (m.type) {
    case MessageType::kVote:
      return OnVote(now, m, from);
    case MessageType::kVoteReply:
      return OnVoteReply(now, m);
    case MessageType::kAppend:
      return OnAppend(now, m, from);
    case MessageType::kAppendReply:
      return OnAppendReply(now, m);
    case MessageType::kSnapshot:
      return OnSnapshot(now, m, from);
    case MessageType::kTimeoutNow:
      if (IsVoter(self_.id) && !leading()) StartVote(now);
      return;
    default:
      return;
  }
}

void Machine::OnPreVote(base::Millis now, const Message& m, const base::Address& from) {
  bool current = m.log_term > TermAt(last_index()) ||
                 (m.log_term == TermAt(last_index()) && m.index >= last_index());
  bool leader_alive =
      leading() || (leader_id_ && now - leader_heard_ < timing_.election && leader_id_ != m.from);
  Message reply = Make(MessageType::kPreVoteReply, m.from);
  reply.granted = current && !leader_alive && m.term > term_;
  reply.term = reply.granted ? m.term : term_;
  Post(from, std::move(reply), false);
}

void Machine::OnVote(base::Millis now, const Message& m, const base::Address& from) {
  bool current = m.log_term > TermAt(last_index()) ||
                 (m.log_term == TermAt(last_index()) && m.index >= last_index());
  bool free = hard_.voted_for == 0 || hard_.voted_for == m.from;
  Message reply = Make(MessageType::kVoteReply, m.from);
  reply.granted = current && free && role_ == Role::kFollower;
  if (reply.granted) {
    SetHard(term_, m.from);
    ResetElection(now);
  }
  Post(from, std::move(reply), true);
}

void Machine::OnVoteReply(base::Millis now, const Message& m) {
  if (role_ != Role::kCandidate || !m.granted || !IsVoter(m.from)) return;
  votes_.insert(m.from);
  if (votes_.size() >= Majority()) BecomeLeader(now);
}

void Machine::HeardLeader(base::Millis now, const Message& m, const base::Address& from) {
  if (role_ != Role::kFollower || leader_id_ != m.from) BecomeFollower(now, m.term, m.from);
  fresh_ = false;
  leader_heard_ = now;
  leader_address_ = from;
  ResetElection(now);
}

void Machine::OnAppend(base::Millis now, const Message& m, const base::Address& from) {
  HeardLeader(now, m, from);
  Message reply = Make(MessageType::kAppendReply, m.from);
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
      Persist& write = Write();
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
      persisted_ = std::min(persisted_, entry.index - 1);
      for (auto& [sequence, last] : write_last_) last = std::min(last, entry.index - 1);
      voters_touched = true;
    }
    Persist& write = Write();
    write.entries.push_back(entry);
    write_last_[write.sequence] = entry.index;
    log_.push_back(entry);
    voters_touched |= entry.kind == EntryKind::kVoters;
  }
  if (voters_touched) RefreshVoters();
  matched = std::max(matched, std::min(snapshot_.index, m.index + m.entries.size()));
  if (m.commit > commit_) {
    commit_ = std::max(commit_, std::min(m.commit, matched));
    ApplyCommitted();
  }
  reply.granted = true;
  reply.index = matched;
  Post(from, std::move(reply), true);
}

void Machine::OnAppendReply(base::Millis now, const Message& m) {
  if (!leading()) return;
  auto at = progress_.find(m.from);
  if (at == progress_.end()) return;
  Progress& p = at->second;
  p.heard = now;
  p.round = std::max(p.round, m.round);
  if (m.granted) {
    if (m.index > p.match) {
      p.match = m.index;
      AdvanceCommit(now);
      if (!leading()) return;
      at = progress_.find(m.from);
      if (at == progress_.end()) return;
    }
    at->second.next = std::max(at->second.next, at->second.match + 1);
    if (at->second.next <= last_index()) SendAppend(now, &at->second);
  } else {
    p.next = std::max<Index>(1, std::min(m.index + 1, p.next));
    if (p.match >= p.next) p.match = p.next - 1;  // a learner that lost its disk and kept its id
    SendAppend(now, &p);
  }
  AdvanceReads();
}

void Machine::OnSnapshot(base::Millis now, const Message& m, const base::Address& from) {
  if (m.snapshot.empty()) return;
  HeardLeader(now, m, from);
  const Snapshot& snapshot = m.snapshot[0];
  if (snapshot.index > commit_) {
    snapshot_ = snapshot;
    log_.clear();
    commit_ = applied_ = persisted_ = snapshot_.index;
    Persist& write = Write();
    write.entries.clear();
    write.truncate_from = 1;
    write.snapshot = {snapshot_};
    write_last_.clear();
    RefreshVoters();
    out_.committed.clear();
    out_.installed.push_back(snapshot_);
  }
  Message reply = Make(MessageType::kAppendReply, m.from);
  reply.granted = true;
  reply.index = std::max(snapshot_.index, commit_);
  reply.round = m.round;
  Post(from, std::move(reply), true);
}

void Machine::Join(base::Millis now, const Member& member) {
  now_ = now;
  if (!leading() || member.id == 0 || member.id == self_.id || IsVoter(member.id)) return;
  auto [at, added] = progress_.try_emplace(member.id);
  at->second.member = member;
  at->second.heard = now;
  if (added) {
    at->second.next = last_index() + 1;
    SendAppend(now, &at->second);
  }
}

bool Machine::LiveMajorityWithout(base::Millis now, MemberId without) const {
  size_t rest = 0, live = 0;
  for (const Member& v : voters_) {
    if (v.id == without) continue;
    ++rest;
    auto at = progress_.find(v.id);
    live +=
        v.id == self_.id || (at != progress_.end() && now - at->second.heard < timing_.election);
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
    if (p.voter || p.match < commit_ || now - p.heard > timing_.election) continue;
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

void Machine::Transfer(base::Millis now) {
  if (!leading()) return;
  const Progress* best = nullptr;
  for (const auto& [id, p] : progress_) {
    if (!p.voter || now - p.heard > timing_.election) continue;
    if (!best || p.match > best->match) best = &p;
  }
  if (!best) return;
  Post(best->member.address(), Make(MessageType::kTimeoutNow, best->member.id), false);
}

void Machine::Compact(Index index, std::string state) {
  if (index <= snapshot_.index || index > applied_) return;
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = TermAt(index);
  snapshot.voters = snapshot_.voters;
  for (const Entry& entry : log_) {
    if (entry.index > index) break;
    if (entry.kind != EntryKind::kVoters) continue;
    if (auto voters = wire::Decode<std::vector<Member>>(entry.data)) snapshot.voters = *voters;
  }
  snapshot.state = std::move(state);
  snapshot_ = std::move(snapshot);
  Index drop_to = index > kTail ? index - kTail : 0;
  log_.erase(
      std::remove_if(log_.begin(), log_.end(), [&](const Entry& e) { return e.index <= drop_to; }),
      log_.end());
  Persist& write = Write();
  write.snapshot = {snapshot_};
  write.drop_to = drop_to;
}

}  // namespace elderkeel::consensus
