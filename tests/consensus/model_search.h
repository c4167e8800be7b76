#pragma once

#include <string>
#include <utility>
#include <vector>

#include "consensus/model.h"

namespace elderkeel::model {

// A run with explicitly chosen steps, as the start of a search or as a test. It has no budget, and
// records its steps, so that a trace of a search can begin with the model's initial state.
class Script {
 public:
  explicit Script(Options options) : model(std::move(options)), state(model.Initial()) {}

  // Takes a step. Returns false if it is impossible or an earlier step violated an invariant.
  bool Do(Step step) {
    std::string text = model.Describe(state, step);
    if (!fault.empty() || !model.Apply(&state, step, &fault)) return false;
    steps.push_back(step);
    descriptions.push_back(text);
    return true;
  }
  // Finishes all outstanding writes; those of `node` only, unless it is 0.
  void PersistAll(int node = 0) {
    for (int i = 1; i <= size(); ++i) {
      if (node && node != i) continue;
      while (at(i).up && !at(i).writes.empty() && Do({StepKind::kPersist, i, 0, 0})) {
      }
    }
  }
  // Delivers the messages to running nodes in order, and finishes writes, until none is left.
  void DeliverAll() {
    for (int round = 0; round < 2000 && fault.empty(); ++round) {
      PersistAll();
      auto found = std::find_if(state.network.begin(), state.network.end(),
                                [&](const SentMessage& m) { return at(m.to).up; });
      if (found == state.network.end()) return;
      Do({StepKind::kDeliver, found->from, found->to, 0});
    }
  }
  // Delivers the nth message in flight from one node to another, and nothing that results from it.
  void Deliver(int from, int to, int nth = 0) { Do({StepKind::kDeliver, from, to, nth}); }
  // The number of messages in flight from one node to another.
  int CountInFlight(int from, int to) const {
    return static_cast<int>(
        std::count_if(state.network.begin(), state.network.end(),
                      [&](const SentMessage& m) { return m.from == from && m.to == to; }));
  }
  // Lets the election timer of `node` expire, and delivers all messages.
  void Elect(int node) {
    Do({StepKind::kTick, node, 0, 0});
    DeliverAll();
  }
  const Node& at(int i) const { return *state.nodes[static_cast<size_t>(i - 1)]; }
  int size() const { return static_cast<int>(state.nodes.size()); }

  Model model;
  State state;
  std::vector<Step> steps;
  std::vector<std::string> descriptions;
  std::string fault;
};

// Takes the steps from the model's initial state. Returns the violated invariant with a
// description, an error text if a step is impossible, and an empty string otherwise.
std::string Replay(const Options& options, const std::vector<Step>& steps);

// The outcome of Search() or RandomWalk().
struct Result {
  size_t states = 0;      // distinct ones that were reached
  size_t steps = 0;       // taken
  int depth = 0;          // the most steps after the script
  bool complete = false;  // Search() reached all states within its bounds
  double seconds = 0;
  std::string fault;
  std::vector<Step> trace;                // to the violation, from the model's initial state
  std::vector<std::string> descriptions;  // of the steps of the trace
  size_t script_steps = 0;                // how many steps of the trace are the script's

  // The counts and, after a violation, the trace, in which ">" precedes the steps after the script.
  std::string Summary() const {
    char text[200];
    std::snprintf(text, sizeof text, "states=%zu steps=%zu depth=%d whole=%d seconds=%.1f", states,
                  steps, depth, complete ? 1 : 0, seconds);
    std::string out = text;
    if (fault.empty()) return out;
    out += "\n" + fault + "\n";
    for (size_t k = 0; k < descriptions.size(); ++k) {
      const Step& s = trace[k];
      out += (k < script_steps ? "  " : "> ") + std::string("{") +
             std::to_string(static_cast<int>(s.kind)) + "," + std::to_string(s.node) + "," +
             std::to_string(s.other) + "," + std::to_string(s.nth) + "} " + descriptions[k] + "\n";
    }
    return out;
  }
};

// Searches breadth-first from the script's last state up to `depth` steps, so that the first
// violation has a shortest trace.
Result Search(const Script& script, const StepBudget& budget, int depth,
              size_t max_states = SIZE_MAX, double max_seconds = 1e9);

// Removes steps one by one as long as the rest still violates the same invariant.
// REQUIRES: `steps`, from the script's last state, violate the invariant that `fault` names.
std::vector<Step> Shrink(const Script& script, std::vector<Step> steps, const std::string& fault);

// Takes random walks of up to `depth` steps from the script's last state, until one violates an
// invariant or the bounds are reached. A seed always gives the same walks. Shrink() shortens the
// trace.
Result RandomWalk(const Script& script, const StepBudget& budget, int depth, uint64_t seed,
                  double max_seconds, size_t max_walks = SIZE_MAX);

}  // namespace elderkeel::model
