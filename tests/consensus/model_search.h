#pragma once

#include <string>
#include <utility>
#include <vector>

#include "consensus/model.h"

namespace elderkeel::model {

// A run by hand, as the beginning of a search or as a test: takes steps without a budget and keeps
// them, so that a trace begins where the model does.
class Script {
 public:
  explicit Script(Options options) : model(std::move(options)), state(model.Initial()) {}

  bool Do(Step step) {
    std::string text = model.Describe(state, step);
    if (!fault.empty() || !model.Apply(&state, step, &fault)) return false;
    steps.push_back(step);
    descriptions.push_back(text);
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
  std::vector<std::string> descriptions;
  std::string fault;
};

// Takes a trace from the beginning; what the last step broke, or nothing.
std::string Replay(const Options& options, const std::vector<Step>& steps);

struct Result {
  size_t states = 0;      // distinct
  size_t steps = 0;       // taken
  int depth = 0;          // after the beginning
  bool complete = false;  // all states within the bound were seen
  double seconds = 0;
  std::string fault;
  std::vector<Step> trace;  // from the model's beginning
  std::vector<std::string> descriptions;
  size_t begun = 0;  // of the trace, steps of the script

  std::string Summary() const {
    char text[200];
    std::snprintf(text, sizeof text, "states=%zu steps=%zu depth=%d whole=%d seconds=%.1f", states,
                  steps, depth, complete ? 1 : 0, seconds);
    std::string out = text;
    if (fault.empty()) return out;
    out += "\n" + fault + "\n";
    for (size_t k = 0; k < descriptions.size(); ++k) {
      const Step& s = trace[k];
      out += (k < begun ? "  " : "> ") + std::string("{") +
             std::to_string(static_cast<int>(s.kind)) + "," + std::to_string(s.node) + "," +
             std::to_string(s.other) + "," + std::to_string(s.nth) + "} " + descriptions[k] + "\n";
    }
    return out;
  }
};

// Breadth first from where the script ended: the first violation has a shortest trace.
Result Search(const Script& script, const StepBudget& budget, int depth,
              size_t most_states = SIZE_MAX, double most_seconds = 1e9);

// Drops steps that a violation doesn't need, one by one.
std::vector<Step> Shrink(const Script& script, std::vector<Step> steps, const std::string& fault);

// Random walks from where the script ended, one after the other until the time is up.
Result Walk(const Script& script, const StepBudget& budget, int depth, uint64_t seed,
            double most_seconds, size_t most_walks = SIZE_MAX);

}  // namespace elderkeel::model
