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

// What a step does. The names in kStepNames are printed in traces and are values of the tool
// model_check.
enum class StepKind : uint8_t {
  kDeliver,    // the nth message in flight from one node to another arrives
  kDrop,       // that message is lost
  kDuplicate,  // that message arrives, and a copy remains in flight
  kTick,       // a node's clock advances to its next timeout
  kSleep,      // a node's process was suspended for ten seconds
  kPersist,    // the oldest outstanding write of a node reaches its disk
  kRefuse,     // the oldest outstanding write of a node fails
  kCrash,      // a node stops; the n oldest of its outstanding writes have reached its disk
  kRestart,    // a node starts with the content of its disk; after a wipe under a new id
  kWipe,       // a node stops and loses its disk
  kJoin,       // a node asks a leader to add it as a learner
  kTransfer,   // a leader transfers its leadership
  kCut,        // the link between two nodes loses all messages, those in flight included
  kHeal,       // the link between two nodes works again
  kPropose,    // a command is proposed to a leader
  kCompact,    // a node replaces its log up to the commit index by a snapshot
};
constexpr size_t kStepKinds = static_cast<size_t>(StepKind::kCompact) + 1;
constexpr const char* kStepNames[kStepKinds] = {
    "deliver", "drop", "duplicate", "tick",     "sleep", "persist", "refuse",  "crash",
    "restart", "wipe", "join",      "transfer", "cut",   "heal",    "propose", "compact"};

// One step. Nodes are numbered from 1, as the initial voters' ids are.
struct Step {
  StepKind kind;
  int node = 0;   // where it happens; for a message: the sender
  int other = 0;  // for a message: the receiver; for a join: the leader; for a link: its other end
  // For a message: its position, from 0, among those in flight from `node` to `other`, in the order
  // they were sent. For a crash: how many outstanding writes have reached the disk.
  int nth = 0;
};

// How many more steps of each kind may be taken; a negative number means no limit.
using StepBudget = std::array<int, kStepKinds>;

// The cluster that is modelled.
struct Options {
  int initial_voters = 3;
  int spares = 0;  // additional nodes, which aren't running at first
  consensus::Tolerance tolerance;
  int zones = 3;
  // Writes finish at once. That leaves more of the bound to scenarios that aren't about the disk.
  bool instant_disk = false;
  bool writes_after_failure =
      false;  // the store still executes the writes queued after a failed one
  // The names of invariants that aren't checked, to find out which others detect the same fault.
  std::set<std::string> ignored_invariants;
  consensus::Timing timing = ShortTiming();

  // With these times one unanswered heartbeat is enough to replace a voter, and two to remove it.
  // The checker examines these decisions; longer times would only add steps.
  static consensus::Timing ShortTiming() {
    consensus::Timing t;
    t.heartbeat_interval = 500;
    t.election_timeout = 600;
    t.replace_unreachable_after = 400;
    t.remove_unreachable_after = 900;
    t.disk_stall_timeout = 60000;
    return t;
  }
};

// One member with its disk. Immutable once it is part of a State: a step changes a copy.
struct Node {
  bool up = false;
  int incarnations = 0, wipes = 0;
  Millis now = 1000;
  RestoredState disk;                // the synced content
  std::vector<WriteRequest> writes;  // outstanding, oldest first
  std::optional<RaftNode> raft;      // none while the node is down
  uint64_t applied_digest = 0;       // of all applied entries, in order
  // The highest index that the node acknowledged to the leader of a term, and the term of that
  // entry.
  Term acknowledged_leader_term = 0;
  Index acknowledged_index = 0;
  Term acknowledged_entry_term = 0;
  uint64_t digest = 0;  // of the whole node, as Model::UpdateDigest() computes it

  bool is_leader() const { return up && raft->is_leader(); }
};

// A message in flight.
struct SentMessage {
  int from = 0, to = 0;
  std::shared_ptr<const Message> message;
  uint64_t digest = 0;
};

// Facts of the steps so far that the invariants are checked against.
struct History {
  // An entry that a leader committed, so that clients may have received an acknowledgement.
  struct Committed {
    Term term = 0;  // of the entry
    uint64_t digest = 0;
    Term leader_term = 0;  // of the leader that committed it
    size_t copies = 0;     // the disks that had the entry then
  };
  std::map<Term, MemberId> leaders;
  std::map<Index, Committed> committed;
  std::map<Index, uint64_t> applied_digests;       // of the entries up to each applied index
  std::vector<std::shared_ptr<const Node>> wiped;  // nodes as they were before they were wiped
};

// A state of the whole cluster. A copy is cheap: it shares nodes, messages and history.
struct State {
  std::vector<std::shared_ptr<const Node>> nodes;
  std::vector<SentMessage> network;         // in flight, in the order they were sent
  std::set<std::pair<int, int>> cut_links;  // with the lower number first
  std::shared_ptr<const History> history = std::make_shared<History>();
  StepBudget budget{};
  int proposals = 0;

  // Equal states have equal digests. Search() takes states with equal digests for the same state.
  uint64_t DigestValue() const {
    Digest d;
    for (const auto& n : nodes) d.Add(n->digest);
    uint64_t messages = 0;  // a sum, since the order of sending makes no difference
    for (const SentMessage& m : network) messages += Digest().Add(m.digest, m.from, m.to).value();
    d.Add(messages, network.size(), proposals);
    for (const auto& [a, b] : cut_links) d.Add(a, b);
    for (int left : budget) d.Add(left);
    for (const auto& [term, id] : history->leaders) d.Add(term, id);
    d.Add(history->committed.size(), history->wiped.size());
    for (const auto& [index, a] : history->committed)
      d.Add(index, a.digest, a.leader_term, a.copies);
    return d.value();
  }
};

// Whether any majority of `a` and any majority of `b` have a member in common.
bool MajoritiesOverlap(const std::vector<Member>& a, const std::vector<Member>& b);

// The entry at `index`; null if `log` doesn't contain it.
const Entry* EntryAt(const std::vector<Entry>& log, Index index);
// Whether the disk contains entry (index, term), or its snapshot covers the index.
bool HasEntry(const RestoredState& disk, Index index, Term term);
// Executes a write as the store does.
void ApplyWrite(RestoredState* disk, const WriteRequest& write);

}  // namespace elderkeel::model
