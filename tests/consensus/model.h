#pragma once

#include <string>
#include <vector>

#include "consensus/model_state.h"

namespace elderkeel::model {

// The real machines, their disks and what is under way between them, as states and steps.
class Model {
 public:
  explicit Model(Options options);

  State Initial();

  // All that may happen next and is within the budget.
  std::vector<Step> Steps(const State& s) const;

  // False if the step can't be taken in this state. `fault` tells of a broken invariant.
  bool Apply(State* s, const Step& step, std::string* fault);

  // What a step is about, for a trace; told of the state that it is taken in.
  std::string Describe(const State& s, const Step& step) const;

  const Options& options() const { return options_; }

 private:
  base::Address AddressOf(int i) const { return {"10.0.0." + std::to_string(i + 1), 7200}; }
  std::string ZoneOf(int i) const;
  Member MemberOf(int i, int wipes) const;

  void Begin(State* s, int i, Node* n, bool founding);
  void End(Node* n);

  void Pump(State* s, int i, Node* n);

  // State machine safety: whoever applies up to an index has applied the same.
  void Applied(State* s, int i, Index index, uint64_t chain);

  void Send(State* s, int i, Node* n, consensus::OutgoingMessage out);

  void Seal(Node* n);

  // The disks, lost ones included, that hold an entry; of those voters only, if given.
  size_t Copies(const State& s, Index index, Term term, const std::vector<Member>* voters) const;

  // What a step added to what must never be taken back.
  void Remember(State* s, int i, const Node& before, const Node& n);

  void Check(const State& s, int i, const Node& before, const Node& n);

  void CheckVoters(const State& s, int i, const Node& n);

  void Fault(const std::string& invariant, int node, const std::string& what);

  Options options_;
  std::vector<Member> founders_;
  std::string* fault_ = nullptr;
};

}  // namespace elderkeel::model
