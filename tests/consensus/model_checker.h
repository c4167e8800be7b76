#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/random.h"
#include "consensus/raft_node.h"
#include "wire/frame.h"

namespace elderkeel::model {

using base::Millis;
using consensus::Entry;
using consensus::Index;
using consensus::Member;
using consensus::MemberId;
using consensus::Message;
using consensus::MessageType;
using consensus::RaftNode;
using consensus::RestoredState;
using consensus::Snapshot;
using consensus::Term;
using consensus::WriteRequest;

// An order-dependent digest of 64 bits. With ten million states the chance that any two different
// ones share a digest, and one of them is passed over, is about three in a million.
class Digest {
 public:
  template <class T>
  Digest& Add(const T& value) {
    if constexpr (std::is_convertible_v<T, std::string>) {
      return Mix(base::Hash(value));
    } else {
      return Mix(static_cast<uint64_t>(value));
    }
  }
  template <class T, class... More>
  Digest& Add(const T& value, const More&... more) {
    Add(value);
    return Add(more...);
  }
  uint64_t value() const { return value_; }

 private:
  Digest& Mix(uint64_t v) {
    value_ = base::Random(value_ + v * 0xd1342543de82ef95ull).Next();
    return *this;
  }
  uint64_t value_ = 0x2545f4914f6cdd1dull;
};

inline uint64_t DigestOf(const Entry& e) {
  return Digest().Add(e.term, e.index, e.kind, e.data).value();
}
inline void AddTo(Digest* d, const std::vector<Entry>& entries) {
  d->Add(entries.size());
  for (const Entry& e : entries) d->Add(DigestOf(e));
}
inline void AddTo(Digest* d, const std::vector<Member>& members) {
  d->Add(members.size());
  for (const Member& m : members) d->Add(m.id);
}
inline void AddTo(Digest* d, const Snapshot& s) {
  d->Add(s.index, s.term, s.state);
  AddTo(d, s.voters);
}
inline void AddTo(Digest* d, const consensus::HardState& h) {
  d->Add(h.cluster, h.self, h.term, h.voted_for);
}
inline uint64_t DigestOf(const Message& m) {
  Digest d;
  d.Add(m.type, m.cluster, m.from, m.to, m.term, m.index, m.log_term, m.commit, m.round, m.granted,
        m.offset, m.total);
  AddTo(&d, m.entries);
  for (const Snapshot& s : m.snapshot) AddTo(&d, s);
  return d.value();
}
inline void AddTo(Digest* d, const WriteRequest& w) {
  d->Add(w.hard_state_changed, w.commit, w.truncate_from, w.drop_to, w.snapshot.size());
  if (w.hard_state_changed) AddTo(d, w.hard_state);
  AddTo(d, w.entries);
  for (const Snapshot& s : w.snapshot) AddTo(d, s);
}

}  // namespace elderkeel::model

namespace elderkeel::consensus {

// What the checker reads of a machine and nobody else may.
struct RaftNodeProbe {
  static const HardState& hard_state(const RaftNode& m) { return m.hard_state_; }
  static const Snapshot& snapshot(const RaftNode& m) { return m.log_.snapshot(); }
  static base::Millis election_at(const RaftNode& m) { return m.election_at_; }
  static base::Millis heartbeat_at(const RaftNode& m) { return m.heartbeat_at_; }

  // Everything that the machine's behaviour depends on, with these abstractions: of times only what
  // the code compares them with (a leader is heard or not, a member silent so long or not, a disk
  // stuck or not); the state of the random generator isn't told apart, since a tick goes to the
  // time-out whatever was drawn; numbers of writes are counted from the last finished one. Rounds
  // are taken as they are, though only their order matters. Reads aren't walked.
  static uint64_t DigestOf(const RaftNode& raft, base::Millis now) {
    const PendingWrites& writes = raft.pending_writes_;
    model::Digest d;
    d.Add(raft.self_.id, raft.role_, raft.term(), raft.commit_index_, raft.applied_index_,
          raft.recorded_commit_, writes.durable_index(), raft.storage_failed_, raft.no_leader_seen_,
          raft.leader_id_, writes.unfinished(), raft.IsDiskStalled(now), raft.round_,
          raft.last_leader_round_, raft.pre_vote_round_, raft.leaving_, raft.may_stop_,
          raft.leaving_ && now >= raft.leave_retry_at_, raft.incoming_.has_value());
    if (raft.incoming_) {
      model::AddTo(&d, raft.incoming_->snapshot);
      d.Add(raft.incoming_->leader_term);
    }
    model::AddTo(&d, raft.hard_state_);
    model::AddTo(&d, raft.log_.snapshot());
    model::AddTo(&d, raft.log_.entries());
    model::AddTo(&d, raft.voters_);
    d.Add(writes.covers().size());
    for (const auto& [sequence, last] : writes.covers()) d.Add(sequence - writes.finished(), last);
    d.Add(writes.deferred().size());
    for (const auto& deferred : writes.deferred()) {
      d.Add(deferred.after - writes.finished(), model::DigestOf(deferred.message.message));
    }
    const consensus::Timing& timing = raft.timing_;
    base::Millis leader_contact_gap = now - raft.last_leader_contact_;
    d.Add(raft.leader_id_ != 0 && leader_contact_gap < timing.election_timeout);
    d.Add(raft.leader_id_ != 0 && leader_contact_gap > timing.election_timeout * 2);
    if (raft.role_ == Role::kPreCandidate || raft.role_ == Role::kCandidate) {
      d.Add(raft.votes_.size());
      for (MemberId id : raft.votes_) d.Add(id);
    }
    if (raft.role_ == Role::kLeader) {
      d.Add((now - raft.LastMajorityContact()) / timing.heartbeat_interval, raft.progress_.size());
      for (const auto& [id, peer] : raft.progress_) AddTo(&d, peer, timing, now);
    }
    return d.value();
  }

 private:
  static void AddTo(model::Digest* digest, const PeerProgress& peer, const Timing& timing,
                    base::Millis now) {
    base::Millis contact_gap = now - peer.last_contact;
    digest->Add(peer.member.id, peer.match_index, peer.next_index, peer.last_reply_round,
                peer.is_voter, peer.acknowledged_round, peer.rewound_round, peer.state_lost,
                peer.window.size_bytes(), peer.snapshot_offset,
                peer.snapshot ? peer.snapshot->index : 0);
    digest->Add(peer.window.in_flight().size());
    for (const auto& message : peer.window.in_flight()) digest->Add(message.round, message.bytes);
    for (base::Millis span : {timing.heartbeat_interval * 4, timing.election_timeout,
                              timing.election_timeout * 2, timing.replace_silent_after,
                              timing.replace_silent_after * 2, timing.remove_silent_after}) {
      digest->Add(contact_gap > span, contact_gap == span);
    }
    digest->Add(peer.leave_requested_at >= 0 &&
                peer.last_contact - peer.leave_requested_at < timing.election_timeout);
  }
};

}  // namespace elderkeel::consensus

namespace elderkeel::model {

using consensus::RaftNodeProbe;

enum class StepKind : uint8_t {
  kDeliver,    // the nth message under way from one node to another
  kDrop,       // the same one is lost
  kDuplicate,  // the same one arrives and is still under way
  kTick,       // a node's clock goes to its next time-out
  kSleep,      // a node was frozen for ten seconds
  kPersist,    // the oldest write of a node is on its disk
  kRefuse,     // the oldest write of a node is refused by its disk
  kCrash,      // a node ends; of its writes the n oldest are on its disk
  kRestart,    // a node starts from its disk; one without a disk under a new identity
  kWipe,       // a node ends and its disk is gone
  kJoin,       // a node asks a leader to be taken in
  kTransfer,   // a leader hands over
  kCut,        // all under way between two nodes is lost, and what they send from now on
  kHeal,       // no more
  kPropose,    // a command at a leader
  kCompact,    // a node replaces its log by a snapshot, up to what it applied
};
constexpr size_t kStepKinds = static_cast<size_t>(StepKind::kCompact) + 1;
constexpr const char* kStepNames[kStepKinds] = {
    "deliver", "drop", "duplicate", "tick",     "sleep", "persist", "refuse",  "crash",
    "restart", "wipe", "join",      "transfer", "cut",   "heal",    "propose", "compact"};

// Nodes are counted from 1, as founders' ids are.
struct Step {
  StepKind kind;
  int node = 0;   // that it happens at; of a message: the sender
  int other = 0;  // of a message: the receiver; of a join: the leader
  int nth = 0;    // of the messages between the two, in the order they were sent; of a crash: kept
};

using StepBudget =
    std::array<int, kStepKinds>;  // steps of each kind that are left; below 0: no bound

struct Options {
  int founders = 3;
  int spares = 0;  // nodes that aren't started at first
  consensus::Tolerance tolerance;
  int zones = 3;
  bool instant_disk = false;  // writes are done at once, for bounds that look elsewhere
  bool writes_past_refusal =
      false;                      // the store goes on with what was queued behind a refused write
  std::set<std::string> ignored;  // invariants that aren't checked, to see what else would notice
  consensus::Timing timing = ShortTiming();

  // So that one unanswered heartbeat makes a voter silent enough to be replaced, and two to be
  // forgotten: the checker needs the decision and not the wait.
  static consensus::Timing ShortTiming() {
    consensus::Timing t;
    t.heartbeat_interval = 500;
    t.election_timeout = 600;
    t.replace_silent_after = 400;
    t.remove_silent_after = 900;
    t.disk_stall_timeout = 60000;
    return t;
  }
};

// One member with its disk. Never changed once it is part of a state: steps copy it first.
struct Node {
  bool up = false;
  int incarnations = 0, wipes = 0;
  Millis now = 1000;
  RestoredState disk;                // what is synced
  std::vector<WriteRequest> writes;  // outstanding, oldest first
  std::optional<RaftNode> raft;
  uint64_t chain = 0;  // digest of all that was applied
  // The furthest that it told the leader of a term it holds.
  Term promised_in = 0;
  Index promised = 0;
  Term promised_term = 0;  // of the entry there
  uint64_t digest = 0;

  bool is_leader() const { return up && raft->is_leader(); }
};

struct Sent {
  int from = 0, to = 0;
  std::shared_ptr<const Message> message;
  uint64_t digest = 0;
};

// What the invariants remember.
struct History {
  struct Acknowledged {
    Term term = 0;  // of the entry
    uint64_t digest = 0;
    Term in = 0;  // of the leader that committed it
    size_t copies = 0;
  };
  std::map<Term, MemberId> leaders;
  std::map<Index, Acknowledged> acknowledged;
  std::map<Index, uint64_t> chains;               // what applying up to there gives
  std::vector<std::shared_ptr<const Node>> lost;  // as they were when their disks went
};

struct State {
  std::vector<std::shared_ptr<const Node>> nodes;
  std::vector<Sent> network;
  std::set<std::pair<int, int>> cuts;
  std::shared_ptr<const History> history = std::make_shared<History>();
  StepBudget budget{};
  int proposals = 0;

  uint64_t DigestValue() const {
    Digest d;
    for (const auto& n : nodes) d.Add(n->digest);
    uint64_t messages = 0;  // a multiset: the order of sending tells nothing
    for (const Sent& m : network) messages += Digest().Add(m.digest, m.from, m.to).value();
    d.Add(messages, network.size(), proposals);
    for (const auto& [a, b] : cuts) d.Add(a, b);
    for (int left : budget) d.Add(left);
    for (const auto& [term, id] : history->leaders) d.Add(term, id);
    d.Add(history->acknowledged.size(), history->lost.size());
    for (const auto& [index, a] : history->acknowledged) d.Add(index, a.digest, a.in, a.copies);
    return d.value();
  }
};

inline bool MajoritiesMeet(const std::vector<Member>& a, const std::vector<Member>& b) {
  size_t common = 0;
  for (const Member& m : a) common += std::count(b.begin(), b.end(), m);
  auto forced = [&](size_t size) {  // members of both that a majority can't do without
    size_t majority = size / 2 + 1, own = size - common;
    return majority > own ? majority - own : 0;
  };
  return forced(a.size()) + forced(b.size()) > common;
}

// The disk's log as the store would read it.
inline const Entry* EntryAt(const std::vector<Entry>& log, Index index) {
  if (log.empty() || index < log.front().index || index > log.back().index) return nullptr;
  return &log[index - log.front().index];
}
inline bool Holds(const RestoredState& disk, Index index, Term term) {
  if (disk.empty) return false;
  if (index <= disk.snapshot.index) return true;
  const Entry* e = EntryAt(disk.entries, index);
  return e && e->term == term;
}
inline void Store(RestoredState* disk, const WriteRequest& write) {
  disk->empty = false;
  if (write.hard_state_changed) disk->hard_state = write.hard_state;
  if (!write.snapshot.empty()) disk->snapshot = write.snapshot[0];
  auto& log = disk->entries;
  auto drop = [&](auto gone) {
    log.erase(std::remove_if(log.begin(), log.end(), gone), log.end());
  };
  if (write.drop_to) drop([&](const Entry& e) { return e.index <= write.drop_to; });
  if (write.truncate_from) drop([&](const Entry& e) { return e.index >= write.truncate_from; });
  for (const Entry& entry : write.entries) {  // by key, as the store does
    auto at = std::lower_bound(log.begin(), log.end(), entry.index,
                               [](const Entry& e, Index index) { return e.index < index; });
    if (at != log.end() && at->index == entry.index) {
      *at = entry;
    } else {
      log.insert(at, entry);
    }
  }
  if (write.commit) disk->commit = write.commit;
}

// The real machines, their disks and what is under way between them, as states and steps.
class Model {
 public:
  explicit Model(Options options) : options_(std::move(options)) {
    for (int i = 0; i < options_.founders; ++i) founders_.push_back(MemberOf(i, 0));
  }

  State Initial() {
    State s;
    s.nodes.resize(static_cast<size_t>(options_.founders + options_.spares));
    for (size_t i = 0; i < s.nodes.size(); ++i) {
      auto node = std::make_shared<Node>();
      s.nodes[i] = node;
      if (static_cast<int>(i) < options_.founders) Begin(&s, static_cast<int>(i), node.get(), true);
      Seal(node.get());
    }
    return s;
  }

  // All that may happen next and is within the budget.
  std::vector<Step> Steps(const State& s) const {
    std::vector<Step> steps;
    auto may = [&](StepKind kind) { return s.budget[static_cast<size_t>(kind)] != 0; };
    int size = static_cast<int>(s.nodes.size());
    std::set<std::tuple<int, int, uint64_t>> seen;
    std::map<std::pair<int, int>, int> count;
    for (const Sent& m : s.network) {
      int nth = count[{m.from, m.to}]++;
      if (!seen.insert({m.from, m.to, m.digest}).second) continue;
      bool arrives = s.nodes[static_cast<size_t>(m.to - 1)]->up;
      if (arrives) steps.push_back({StepKind::kDeliver, m.from, m.to, nth});
      if (may(StepKind::kDrop)) steps.push_back({StepKind::kDrop, m.from, m.to, nth});
      if (arrives && may(StepKind::kDuplicate)) {
        steps.push_back({StepKind::kDuplicate, m.from, m.to, nth});
      }
    }
    for (int i = 1; i <= size; ++i) {
      const Node& n = *s.nodes[static_cast<size_t>(i - 1)];
      auto add = [&](StepKind kind, int other = 0, int nth = 0) {
        if (may(kind)) steps.push_back({kind, i, other, nth});
      };
      if (!n.up) {
        add(StepKind::kRestart);
        continue;
      }
      if (!n.writes.empty()) {
        steps.push_back({StepKind::kPersist, i, 0, 0});
        add(StepKind::kRefuse);
      }
      add(StepKind::kTick);
      add(StepKind::kSleep);
      for (int kept = 0; kept <= static_cast<int>(n.writes.size()); ++kept) {
        add(StepKind::kCrash, 0, kept);
      }
      add(StepKind::kWipe);
      if (n.raft->HasCommittedInTerm()) add(StepKind::kPropose);
      if (n.raft->is_leader()) add(StepKind::kTransfer);
      if (n.raft->commit() > n.raft->snapshot_index() && !n.raft->storage_failed()) {
        add(StepKind::kCompact);
      }
      for (int k = 1; k <= size; ++k) {
        const Node& other = *s.nodes[static_cast<size_t>(k - 1)];
        if (k != i && other.is_leader() && !n.raft->IsVoter(n.raft->self().id)) {
          add(StepKind::kJoin, k);
        }
        if (k <= i) continue;
        add(s.cuts.count({i, k}) ? StepKind::kHeal : StepKind::kCut, k);
      }
    }
    return steps;
  }

  // False if the step can't be taken in this state. `fault` tells of a broken invariant.
  bool Apply(State* s, const Step& step, std::string* fault) {
    fault_ = fault;
    int i = step.kind == StepKind::kDeliver || step.kind == StepKind::kDuplicate ? step.other
                                                                                 : step.node;
    if (i < 1 || i > static_cast<int>(s->nodes.size())) return false;
    size_t at = static_cast<size_t>(i - 1);
    std::shared_ptr<const Node> before = s->nodes[at];
    if (step.kind == StepKind::kCut || step.kind == StepKind::kHeal) {
      std::pair<int, int> pair{std::min(step.node, step.other), std::max(step.node, step.other)};
      if (step.kind == StepKind::kHeal) return s->cuts.erase(pair) > 0;
      s->network.erase(std::remove_if(s->network.begin(), s->network.end(),
                                      [&](const Sent& m) {
                                        return std::minmax(m.from, m.to) ==
                                               std::minmax(pair.first, pair.second);
                                      }),
                       s->network.end());
      return s->cuts.insert(pair).second;
    }
    std::shared_ptr<const Message> message;
    if (step.kind <= StepKind::kDuplicate) {
      int nth = 0;
      auto found = std::find_if(s->network.begin(), s->network.end(), [&](const Sent& m) {
        return m.from == step.node && m.to == step.other && nth++ == step.nth;
      });
      if (found == s->network.end()) return false;
      if (step.kind != StepKind::kDrop && !before->up) return false;
      message = found->message;
      if (step.kind != StepKind::kDuplicate) s->network.erase(found);
      if (step.kind == StepKind::kDrop) return true;
    }
    if (step.kind == StepKind::kRestart ? before->up : !before->up) return false;
    auto node = std::make_shared<Node>(*before);
    Node& n = *node;
    s->nodes[at] = node;
    switch (step.kind) {
      case StepKind::kDeliver:
      case StepKind::kDuplicate:
        n.raft->Receive(n.now, *message, AddressOf(step.node - 1));
        break;
      case StepKind::kTick: {
        bool is_leader = n.raft->is_leader();
        Millis until =
            is_leader ? RaftNodeProbe::heartbeat_at(*n.raft) : RaftNodeProbe::election_at(*n.raft);
        // In strides that aren't taken for a sleep.
        do {
          n.now = std::min(std::max(n.now, until), n.now + options_.timing.election_timeout / 2);
          n.raft->Tick(n.now);
          Pump(s, i, &n);
        } while (n.now < until && n.raft->is_leader() == is_leader);
        break;
      }
      case StepKind::kSleep:
        n.now += 10000;
        n.raft->Tick(n.now);
        break;
      case StepKind::kPersist:
      case StepKind::kRefuse: {
        if (n.writes.empty()) return false;
        WriteRequest write = std::move(n.writes.front());
        n.writes.erase(n.writes.begin());
        bool ok = step.kind == StepKind::kPersist;
        if (ok) Store(&n.disk, write);
        if (!ok && !options_.writes_past_refusal) n.writes.clear();
        n.raft->OnWriteFinished(n.now, write.sequence, ok);
        break;
      }
      case StepKind::kCrash:
        if (step.nth > static_cast<int>(n.writes.size())) return false;
        for (int k = 0; k < step.nth; ++k) Store(&n.disk, n.writes[static_cast<size_t>(k)]);
        End(&n);
        break;
      case StepKind::kRestart:
        Begin(s, i - 1, &n, false);
        break;
      case StepKind::kWipe: {
        auto history = std::make_shared<History>(*s->history);
        history->lost.push_back(before);
        s->history = history;
        End(&n);
        n.disk = RestoredState();
        n.promised_in = n.promised = n.promised_term = 0;
        ++n.wipes;
        break;
      }
      case StepKind::kJoin: {
        // Asked by one node, it happens at another.
        s->nodes[at] = before;
        size_t leader = static_cast<size_t>(step.other - 1);
        if (leader >= s->nodes.size() || !s->nodes[leader]->is_leader()) return false;
        Member member = before->raft->self();
        before = s->nodes[leader];
        auto joined = std::make_shared<Node>(*before);
        s->nodes[leader] = joined;
        joined->raft->AddLearner(joined->now, member);
        Pump(s, step.other, joined.get());
        Seal(joined.get());
        Check(*s, step.other, *before, *joined);
        return true;
      }
      case StepKind::kTransfer:
        if (!n.raft->is_leader()) return false;
        n.raft->TransferLeadership(n.now);
        break;
      case StepKind::kPropose:
        if (!n.raft->Propose(n.now, "c" + std::to_string(s->proposals + 1))) return false;
        ++s->proposals;
        break;
      case StepKind::kCompact:
        if (n.raft->storage_failed() || n.raft->commit() <= n.raft->snapshot_index()) return false;
        n.raft->Compact(n.raft->commit(), std::to_string(n.chain));
        break;
      default:
        return false;
    }
    if (n.up) Pump(s, i, &n);
    Seal(&n);
    Remember(s, i, *before, n);
    Check(*s, i, *before, n);
    return true;
  }

  // What a step is about, for a trace; told of the state that it is taken in.
  std::string Describe(const State& s, const Step& step) const {
    std::string text = kStepNames[static_cast<size_t>(step.kind)];
    text += " " + std::to_string(step.node);
    if (step.kind <= StepKind::kDuplicate) {
      text += ">" + std::to_string(step.other) + " #" + std::to_string(step.nth);
      int nth = 0;
      for (const Sent& m : s.network) {
        if (m.from != step.node || m.to != step.other || nth++ != step.nth) continue;
        static const char* const kNames[] = {
            "PreVote",       "PreVoteReply",       "RequestVote",     "RequestVoteReply",
            "AppendEntries", "AppendEntriesReply", "InstallSnapshot", "TimeoutNow"};
        const Message& b = *m.message;
        text += std::string(" ") + kNames[static_cast<size_t>(b.type)] +
                " term=" + std::to_string(b.term) + " index=" + std::to_string(b.index) +
                " log_term=" + std::to_string(b.log_term) + " commit=" + std::to_string(b.commit) +
                (b.granted ? " granted" : "") + " to=" + std::to_string(b.to);
        for (const Entry& e : b.entries) {
          text += " [" + std::to_string(e.index) + "@" + std::to_string(e.term) +
                  (e.kind == consensus::EntryKind::kVoters ? " voters]" : "]");
        }
        for (const Snapshot& b2 : b.snapshot) {
          text += " snapshot=" + std::to_string(b2.index) + "@" + std::to_string(b2.term);
        }
      }
    } else if (step.other) {
      text += " with " + std::to_string(step.other);
    } else if (step.kind == StepKind::kCrash) {
      text += " keeps " + std::to_string(step.nth) + " of " +
              std::to_string(s.nodes[static_cast<size_t>(step.node - 1)]->writes.size());
    }
    return text;
  }

  const Options& options() const { return options_; }

 private:
  base::Address AddressOf(int i) const { return {"10.0.0." + std::to_string(i + 1), 7200}; }
  std::string ZoneOf(int i) const {
    return std::string(1, static_cast<char>('a' + i % options_.zones));
  }
  Member MemberOf(int i, int wipes) const {
    Member m;
    m.id = static_cast<MemberId>(i + 1 + 10 * wipes);
    m.ip = AddressOf(i).ip;
    m.port = 7200;
    m.zone = ZoneOf(i);
    return m;
  }

  void Begin(State* s, int i, Node* n, bool founding) {
    const auto& log = n->disk.entries;
    for (size_t k = 0; k + 1 < log.size(); ++k) {
      if (log[k].index + 1 != log[k + 1].index) Fault("readable log", i + 1, "has a gap");
    }
    if (!log.empty() && log.front().index > n->disk.snapshot.index + 1) {
      Fault("readable log", i + 1, "begins after its snapshot");
    }
    RaftNode::Options o;
    o.self = MemberOf(i, n->wipes);
    o.timing = options_.timing;
    o.tolerance = options_.tolerance;
    o.seed = static_cast<uint64_t>(1 + i * 100 + n->incarnations);
    if (founding) {
      o.founders = founders_;
      o.cluster = 77;
    }
    n->up = true;
    ++n->incarnations;
    n->chain = 0;
    n->raft.emplace(o, n->disk, n->now);
    for (int k = 0; k < options_.founders + options_.spares; ++k) {
      n->raft->SetZone(AddressOf(k).ip, ZoneOf(k));
    }
    Pump(s, i + 1, n);
  }
  void End(Node* n) {
    n->up = false;
    n->writes.clear();
    n->raft.reset();
    n->chain = 0;
  }

  void Pump(State* s, int i, Node* n) {
    for (;;) {
      RaftNode::Effects effects = n->raft->TakeEffects();
      bool any = !effects.messages.empty() || !effects.writes.empty() ||
                 !effects.committed.empty() || !effects.installed.empty() || effects.role_changed;
      if (!any) {
        if (!options_.instant_disk || n->writes.empty()) return;
        WriteRequest write = std::move(n->writes.front());
        n->writes.erase(n->writes.begin());
        Store(&n->disk, write);
        n->raft->OnWriteFinished(n->now, write.sequence, true);
        continue;
      }
      for (WriteRequest& write : effects.writes) n->writes.push_back(std::move(write));
      for (auto& out : effects.messages) Send(s, i, n, std::move(out));
      for (const Snapshot& snapshot : effects.installed) {
        n->chain = snapshot.state.empty() ? 0 : std::stoull(snapshot.state);
        Applied(s, i, snapshot.index, n->chain);
      }
      for (const Entry& entry : effects.committed) {
        n->chain = Digest().Add(n->chain, DigestOf(entry)).value();
        Applied(s, i, entry.index, n->chain);
      }
    }
  }

  // State machine safety: whoever applies up to an index has applied the same.
  void Applied(State* s, int i, Index index, uint64_t chain) {
    auto at = s->history->chains.find(index);
    if (at != s->history->chains.end()) {
      if (at->second != chain) {
        Fault("state machine safety", i, "applied something else at " + std::to_string(index));
      }
      return;
    }
    auto history = std::make_shared<History>(*s->history);
    history->chains[index] = chain;
    s->history = history;
  }

  void Send(State* s, int i, Node* n, consensus::OutgoingMessage out) {
    const Message& m = out.message;
    const consensus::HardState& hard_state = n->disk.hard_state;
    // Persistent promises: what others will count on is on the disk when it is told.
    if (m.type == MessageType::kRequestVote ||
        (m.type == MessageType::kRequestVoteReply && m.granted)) {
      MemberId vote = m.type == MessageType::kRequestVote ? m.from : m.to;
      if (n->disk.empty || hard_state.term < m.term ||
          (hard_state.term == m.term && hard_state.voted_for != vote)) {
        Fault("persistent promise", i, "told a vote that isn't on its disk");
      }
    }
    if (m.type == MessageType::kAppendEntriesReply && m.granted) {
      if (n->disk.empty || hard_state.term < m.term) {
        Fault("persistent promise", i, "answered in a term that isn't on its disk");
      }
      // A reply held back may speak of a term that has passed; then nobody counts on it any more.
      if (m.term == n->raft->term() && m.index > 0) {
        const Entry* e = EntryAt(n->raft->log(), m.index);
        Term term = e ? e->term : 0;
        bool known = e || m.index <= n->raft->snapshot_index();
        if (!known || !Holds(n->disk, m.index, term)) {
          Fault("persistent promise", i,
                "told that it holds " + std::to_string(m.index) + ", which isn't on its disk");
        }
        if (n->promised_in != m.term || m.index > n->promised) {
          n->promised_in = m.term;
          n->promised = m.index;
          n->promised_term = term;
        }
      }
    }
    int to = 0;
    for (int k = 0; k < static_cast<int>(s->nodes.size()); ++k) {
      if (AddressOf(k) == out.to) to = k + 1;
    }
    if (to == 0 || s->cuts.count(std::minmax(i, to))) return;
    auto message = std::make_shared<const Message>(std::move(out.message));
    uint64_t digest = DigestOf(*message);
    s->network.push_back({i, to, std::move(message), digest});
  }

  void Seal(Node* n) {
    Digest d;
    d.Add(n->up, n->wipes, n->chain, n->promised_in, n->promised, n->promised_term, n->disk.empty,
          n->disk.commit);
    AddTo(&d, n->disk.hard_state);
    AddTo(&d, n->disk.snapshot);
    AddTo(&d, n->disk.entries);
    d.Add(n->writes.size());
    for (const WriteRequest& write : n->writes) AddTo(&d, write);
    if (n->up) d.Add(RaftNodeProbe::DigestOf(*n->raft, n->now));
    n->digest = d.value();
  }

  // The disks, lost ones included, that hold an entry; of those voters only, if given.
  size_t Copies(const State& s, Index index, Term term, const std::vector<Member>* voters) const {
    std::set<MemberId> holders;
    auto count = [&](const Node& n) {
      MemberId id = n.disk.hard_state.self;
      bool votes = !voters || std::any_of(voters->begin(), voters->end(),
                                          [&](const Member& v) { return v.id == id; });
      if (votes && Holds(n.disk, index, term)) holders.insert(id);
    };
    for (const auto& n : s.nodes) count(*n);
    for (const auto& n : s.history->lost) count(*n);
    return holders.size();
  }

  // What a step added to what must never be taken back.
  void Remember(State* s, int i, const Node& before, const Node& n) {
    bool led = before.is_leader() && n.up && before.raft->term() == n.raft->term();
    if (!n.is_leader() && !led) return;
    Term term = n.raft->term();
    auto history = std::make_shared<History>(*s->history);
    if (n.is_leader()) {
      auto [at, first] = history->leaders.try_emplace(term, n.raft->self().id);
      if (!first && at->second != n.raft->self().id) {
        Fault("election safety", i,
              "leads term " + std::to_string(term) + ", which " + std::to_string(at->second) +
                  " led");
      }
    }
    Index from = before.up ? before.raft->commit() : n.raft->commit();
    for (Index index = from + 1; index <= n.raft->commit(); ++index) {
      const Entry* e = EntryAt(n.raft->log(), index);
      if (!e) continue;
      const auto& voters = n.raft->voters();
      size_t copies = Copies(*s, index, e->term, &voters);
      size_t wanted =
          std::max(voters.size() / 2 + 1, std::min(options_.tolerance.machines + 1, voters.size()));
      if (copies < wanted) {
        Fault("enough synced copies", i,
              "acknowledged " + std::to_string(index) + " on " + std::to_string(copies) +
                  " disks of " + std::to_string(wanted));
      }
      History::Acknowledged a{e->term, DigestOf(*e), term, Copies(*s, index, e->term, nullptr)};
      auto [at, first] = history->acknowledged.try_emplace(index, a);
      if (!first && at->second.digest != a.digest) {
        Fault("no acknowledged entry missing", i,
              "acknowledged another entry at " + std::to_string(index));
      }
    }
    s->history = history;
  }

  void Check(const State& s, int i, const Node& before, const Node& n) {
    // What it promised the leader of a term stays on its disk as long as it knows no later term.
    if (!n.disk.empty && n.promised && n.promised_in == n.disk.hard_state.term &&
        !Holds(n.disk, n.promised, n.promised_term)) {
      Fault("persistent promise", i,
            "lost " + std::to_string(n.promised) + ", which it told that it holds");
    }
    for (const auto& [index, a] : s.history->acknowledged) {
      if (Copies(s, index, a.term, nullptr) < a.copies) {
        Fault("no acknowledged entry missing", i,
              "took a copy of " + std::to_string(index) + " from its disk");
      }
    }
    if (!n.up) return;
    const auto& log = n.raft->log();
    if (before.is_leader() && n.is_leader() && before.raft->term() == n.raft->term()) {
      for (const Entry& e : before.raft->log()) {
        const Entry* now = EntryAt(log, e.index);
        if (e.index > n.raft->last_index() || (now && DigestOf(*now) != DigestOf(e)) ||
            (!now && e.index > n.raft->snapshot_index())) {
          Fault("leader append-only", i, "as leader changed " + std::to_string(e.index));
        }
      }
    }
    for (size_t k = 0; k < s.nodes.size(); ++k) {
      const Node& o = *s.nodes[k];
      if (!o.up || static_cast<int>(k) == i - 1 || log.empty() || o.raft->log().empty()) {
        continue;
      }
      bool matched = false;
      const auto& theirs = o.raft->log();
      for (Index at = std::min(log.back().index, theirs.back().index);
           at >= std::max(log.front().index, theirs.front().index) && at > 0; --at) {
        const Entry& a = *EntryAt(log, at);
        const Entry& b = *EntryAt(theirs, at);
        matched |= a.term == b.term;
        if (matched && DigestOf(a) != DigestOf(b)) {
          Fault("log matching", i,
                "differs from " + std::to_string(k + 1) + " at " + std::to_string(at));
        }
      }
    }
    if (!n.is_leader()) return;
    for (const auto& [index, a] : s.history->acknowledged) {
      if (a.in > n.raft->term() || index <= n.raft->snapshot_index()) continue;
      const Entry* e = EntryAt(log, index);
      if (e && DigestOf(*e) == a.digest) continue;
      Fault(a.in < n.raft->term() ? "leader completeness" : "no acknowledged entry missing", i,
            "leads term " + std::to_string(n.raft->term()) + " without " + std::to_string(index) +
                ", acknowledged in term " + std::to_string(a.in));
    }
    CheckVoters(s, i, n);
  }

  void CheckVoters(const State& s, int i, const Node& n) {
    // Of the voter sets in a leader's log, from the last committed one on, any may be the one that
    // somebody goes by.
    Index committed = s.history->acknowledged.empty() ? 1 : s.history->acknowledged.rbegin()->first;
    std::vector<std::vector<Member>> sets{RaftNodeProbe::snapshot(*n.raft).voters};
    for (const Entry& e : n.raft->log()) {
      if (e.kind != consensus::EntryKind::kVoters) continue;
      auto voters = wire::Decode<std::vector<Member>>(e.data);
      if (!voters) continue;
      if (e.index <= committed || e.index <= n.raft->snapshot_index()) sets.clear();
      sets.push_back(*voters);
    }
    for (size_t a = 0; a < sets.size(); ++a) {
      for (size_t b = a + 1; b < sets.size(); ++b) {
        if (!MajoritiesMeet(sets[a], sets[b])) {
          Fault("voter sets meet", i, "goes from one voter set to another that need not meet it");
        }
      }
    }
    // Two leaders, neither of which a majority of its voters has left behind.
    auto in_force = [&](const Node& leader) {
      size_t with = 0;
      for (const auto& o : s.nodes) {
        Term term = o->up ? o->raft->term() : o->disk.hard_state.term;
        if (leader.raft->IsVoter(o->disk.hard_state.self) && term <= leader.raft->term()) ++with;
      }
      return with >= leader.raft->voters().size() / 2 + 1;
    };
    for (const auto& o : s.nodes) {
      if (o.get() == &n || !o->is_leader() || !in_force(*o) || !in_force(n)) continue;
      if (!MajoritiesMeet(o->raft->voters(), n.raft->voters())) {
        Fault("voter sets meet", i, "leads beside another one by voters that need not meet");
      }
    }
  }

  void Fault(const std::string& invariant, int node, const std::string& what) {
    if (!fault_ || !fault_->empty() || options_.ignored.count(invariant)) return;
    *fault_ = invariant + ": node " + std::to_string(node) + " " + what;
  }

  Options options_;
  std::vector<Member> founders_;
  std::string* fault_ = nullptr;
};

// A run by hand, as the beginning of a search or as a test: takes steps without a budget and keeps
// them, so that a trace begins where the model does.
class Script {
 public:
  explicit Script(Options options) : model(std::move(options)), state(model.Initial()) {}

  bool Do(Step step) {
    std::string text = model.Describe(state, step);
    if (!fault.empty() || !model.Apply(&state, step, &fault)) return false;
    steps.push_back(step);
    notified.push_back(text);
    return true;
  }
  // Finishes all writes, of one node if given.
  void PersistAll(int node = 0) {
    for (int i = 1; i <= size(); ++i) {
      if (node && node != i) continue;
      while (at(i).up && !at(i).writes.empty() && Do({StepKind::kPersist, i, 0, 0})) {
      }
    }
  }
  // Hands over what is under way, in order, and finishes writes, until nothing is left. With a pair
  // only what goes from the one to the other, without what that causes.
  void DeliverAll() {
    for (int round = 0; round < 2000 && fault.empty(); ++round) {
      PersistAll();
      auto found = std::find_if(state.network.begin(), state.network.end(),
                                [&](const Sent& m) { return at(m.to).up; });
      if (found == state.network.end()) return;
      Do({StepKind::kDeliver, found->from, found->to, 0});
    }
  }
  void Deliver(int from, int to, int nth = 0) { Do({StepKind::kDeliver, from, to, nth}); }
  int Under(int from, int to) const {
    return static_cast<int>(
        std::count_if(state.network.begin(), state.network.end(),
                      [&](const Sent& m) { return m.from == from && m.to == to; }));
  }
  void Elect(int node) {
    Do({StepKind::kTick, node, 0, 0});
    DeliverAll();
  }
  const Node& at(int i) const { return *state.nodes[static_cast<size_t>(i - 1)]; }
  int size() const { return static_cast<int>(state.nodes.size()); }

  Model model;
  State state;
  std::vector<Step> steps;
  std::vector<std::string> notified;
  std::string fault;
};

// Takes a trace from the beginning; what the last step broke, or nothing.
inline std::string Replay(const Options& options, const std::vector<Step>& steps) {
  Script script(options);
  for (const Step& step : steps) {
    if (!script.fault.empty()) break;
    if (!script.Do(step))
      return "a step can't be taken: " + script.model.Describe(script.state, step);
  }
  return script.fault;
}

struct Result {
  size_t states = 0;      // distinct
  size_t steps = 0;       // taken
  int depth = 0;          // after the beginning
  bool complete = false;  // all states within the bound were seen
  double seconds = 0;
  std::string fault;
  std::vector<Step> trace;  // from the model's beginning
  std::vector<std::string> notified;
  size_t begun = 0;  // of the trace, steps of the script

  std::string Summary() const {
    char text[200];
    std::snprintf(text, sizeof text, "states=%zu steps=%zu depth=%d whole=%d seconds=%.1f", states,
                  steps, depth, complete ? 1 : 0, seconds);
    std::string out = text;
    if (fault.empty()) return out;
    out += "\n" + fault + "\n";
    for (size_t k = 0; k < notified.size(); ++k) {
      const Step& s = trace[k];
      out += (k < begun ? "  " : "> ") + std::string("{") +
             std::to_string(static_cast<int>(s.kind)) + "," + std::to_string(s.node) + "," +
             std::to_string(s.other) + "," + std::to_string(s.nth) + "} " + notified[k] + "\n";
    }
    return out;
  }
};

class Stopwatch {
 public:
  double seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun_).count();
  }

 private:
  std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
};

inline void Notify(const Script& script, const std::vector<Step>& found, Result* result) {
  Script again(script.model.options());
  result->trace = script.steps;
  result->trace.insert(result->trace.end(), found.begin(), found.end());
  result->begun = script.steps.size();
  for (const Step& step : result->trace) again.Do(step);
  result->notified = again.notified;
}

// Breadth first from where the script ended: the first violation has a shortest trace.
inline Result Search(const Script& script, const StepBudget& budget, int depth,
                     size_t most_states = SIZE_MAX, double most_seconds = 1e9) {
  struct Link {
    size_t parent;
    Step step;
  };
  Result result;
  Stopwatch watch;
  Model model = script.model;
  std::unordered_set<uint64_t> seen;
  std::vector<Link> links;
  std::vector<std::pair<size_t, State>> now, next;
  if (!script.fault.empty()) {
    result.fault = script.fault;
    Notify(script, {}, &result);
    return result;
  }
  State first = script.state;
  first.budget = budget;
  seen.insert(first.DigestValue());
  links.push_back({0, {}});
  now.push_back({0, std::move(first)});
  bool cut_short = false;
  for (int level = 0; level < depth && !now.empty() && !cut_short && result.fault.empty();
       ++level) {
    for (auto& [link, state] : now) {
      for (const Step& step : model.Steps(state)) {
        State reached = state;
        std::string fault;
        if (!model.Apply(&reached, step, &fault)) continue;
        ++result.steps;
        int& left = reached.budget[static_cast<size_t>(step.kind)];
        if (left > 0) --left;
        if (!fault.empty()) {
          std::vector<Step> found{step};
          for (size_t k = link; k != 0; k = links[k].parent) found.push_back(links[k].step);
          std::reverse(found.begin(), found.end());
          result.fault = fault;
          Notify(script, found, &result);
          break;
        }
        if (!seen.insert(reached.DigestValue()).second) continue;
        links.push_back({link, step});
        next.push_back({links.size() - 1, std::move(reached)});
      }
      state = State();
      cut_short = seen.size() >= most_states || watch.seconds() > most_seconds;
      if (!result.fault.empty() || cut_short) break;
    }
    result.depth = level + 1;
    now = std::move(next);
    next.clear();
  }
  result.states = seen.size();
  result.complete = !cut_short && result.fault.empty();
  result.seconds = watch.seconds();
  return result;
}

// Drops steps that a violation doesn't need, one by one.
inline std::vector<Step> Shrink(const Script& script, std::vector<Step> steps,
                                const std::string& fault) {
  std::string invariant = fault.substr(0, fault.find(':'));
  auto still = [&](const std::vector<Step>& tried) {
    State state = script.state;
    Model model = script.model;
    std::string found;
    for (const Step& step : tried) {
      if (!model.Apply(&state, step, &found)) return false;
      if (!found.empty()) break;
    }
    return found.compare(0, invariant.size(), invariant) == 0;
  };
  for (bool shorter = true; shorter;) {
    shorter = false;
    for (size_t k = 0; k < steps.size(); ++k) {
      std::vector<Step> tried = steps;
      tried.erase(tried.begin() + static_cast<std::ptrdiff_t>(k));
      if (!still(tried)) continue;
      steps = std::move(tried);
      shorter = true;
      --k;
    }
  }
  return steps;
}

// Random walks from where the script ended, one after the other until the time is up.
inline Result Walk(const Script& script, const StepBudget& budget, int depth, uint64_t seed,
                   double most_seconds, size_t most_walks = SIZE_MAX) {
  Result result;
  Stopwatch watch;
  Model model = script.model;
  base::Random random(seed);
  std::unordered_set<uint64_t> seen;
  for (size_t walk = 0; walk < most_walks && watch.seconds() < most_seconds; ++walk) {
    State state = script.state;
    state.budget = budget;
    std::vector<Step> taken;
    for (int k = 0; k < depth; ++k) {
      std::vector<Step> steps = model.Steps(state);
      if (steps.empty()) break;
      // Mostly what goes by itself, so that walks get somewhere between what is rare.
      if (random.Below(8) != 0) {
        std::vector<Step> usual;
        for (const Step& step : steps) {
          if (step.kind == StepKind::kDeliver || step.kind == StepKind::kPersist) {
            usual.push_back(step);
          }
        }
        if (!usual.empty()) steps = std::move(usual);
      }
      const Step& step = steps[random.Below(steps.size())];
      std::string fault;
      if (!model.Apply(&state, step, &fault)) continue;
      taken.push_back(step);
      ++result.steps;
      result.depth = std::max(result.depth, k + 1);
      int& left = state.budget[static_cast<size_t>(step.kind)];
      if (left > 0) --left;
      if (!fault.empty()) {
        result.fault = fault;
        result.states = seen.size();
        result.seconds = watch.seconds();
        Notify(script, Shrink(script, taken, fault), &result);
        return result;
      }
      seen.insert(state.DigestValue());
    }
  }
  result.states = seen.size();
  result.seconds = watch.seconds();
  return result;
}

}  // namespace elderkeel::model
