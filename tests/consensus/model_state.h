#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/model_digest.h"

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

bool MajoritiesMeet(const std::vector<Member>& a, const std::vector<Member>& b);

// The disk's log as the store would read it.
const Entry* EntryAt(const std::vector<Entry>& log, Index index);
bool Holds(const RestoredState& disk, Index index, Term term);
void Store(RestoredState* disk, const WriteRequest& write);

}  // namespace elderkeel::model
