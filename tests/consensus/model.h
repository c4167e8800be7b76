#pragma once

#include <string>
#include <vector>

#include "consensus/model_state.h"

namespace elderkeel::model {

// A cluster for the model checker: real RaftNodes, simulated disks and the messages in flight. The
// cluster is a State, and Apply() takes one step from it. After each step the invariants are
// checked. `i` is always a node's number, from 1, except in the methods that say otherwise.
class Model {
 public:
  explicit Model(Options options);

  // The state in which the initial voters were just started and the spares are down.
  State Initial();

  // All steps that are possible in `s` and within its budget.
  std::vector<Step> EnabledSteps(const State& s) const;

  // Takes a step. Returns false if it is impossible in this state. If the step violates an
  // invariant, sets `fault` to its name and a description. The budget isn't changed.
  bool Apply(State* s, const Step& step, std::string* fault);

  // Describes a step for a trace; `s` is the state before it.
  std::string Describe(const State& s, const Step& step) const;

  const Options& options() const { return options_; }

 private:
  // For these, `i` counts from 0.
  base::Address AddressOf(int i) const { return {"10.0.0." + std::to_string(i + 1), 7200}; }
  std::string ZoneOf(int i) const;
  Member MemberOf(int i, int wipes) const;

  // Starts node `n` from its disk; here `i` counts from 0. Without `initial_voter`, a node with an
  // empty disk starts without a cluster, as one that joins.
  void StartNode(State* s, int i, Node* n, bool initial_voter);
  void StopNode(Node* n);

  // Takes and executes the effects of the RaftNode until there are none.
  void ProcessEffects(State* s, int i, Node* n);

  // Checks state machine safety: nodes that applied the entries up to the same index applied the
  // same entries.
  void CheckApplied(State* s, int i, Index index, uint64_t applied_digest);

  // Checks what the message promises against the disk, and puts it into flight unless the link is
  // cut.
  void Send(State* s, int i, Node* n, consensus::OutgoingMessage out);

  // To be called last in a step, when the node no longer changes.
  void UpdateDigest(Node* n);

  // The number of disks, wiped ones included, that contain an entry; those of `voters` only, if
  // given.
  size_t CountCopies(const State& s, Index index, Term term,
                     const std::vector<Member>* voters) const;

  // Adds the leaders and commits of a step to the history, and checks them.
  void RecordHistory(State* s, int i, const Node& before, const Node& n);

  // Checks the invariants that concern node `i`, which a step changed from `before` to `n`.
  void CheckInvariants(const State& s, int i, const Node& before, const Node& n);

  // Checks that the majorities of any two voter sets in the log from the last committed set on, and
  // those of two leaders, must overlap.
  void CheckVoters(const State& s, int i, const Node& n);

  // Sets the fault, unless there is one already or the invariant is ignored.
  void ReportFault(const std::string& invariant, int node, const std::string& description);

  Options options_;
  std::vector<Member> initial_voters_;
  std::string* fault_ = nullptr;
};

}  // namespace elderkeel::model
