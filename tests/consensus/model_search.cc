#include "consensus/model_search.h"

#include <algorithm>
#include <chrono>
#include <unordered_set>

#include "base/random.h"

namespace elderkeel::model {
namespace {

class Stopwatch {
 public:
  double seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at_).count();
  }

 private:
  std::chrono::steady_clock::time_point started_at_ = std::chrono::steady_clock::now();
};

// Sets the trace of `result`: the script's steps, then those that were found.
void ExplainTrace(const Script& script, const std::vector<Step>& found, Result* result) {
  Script replay(script.model.options());
  result->trace = script.steps;
  result->trace.insert(result->trace.end(), found.begin(), found.end());
  result->script_steps = script.steps.size();
  for (const Step& step : result->trace) replay.Do(step);
  result->descriptions = replay.descriptions;
}

}  // namespace

std::string Replay(const Options& options, const std::vector<Step>& steps) {
  Script script(options);
  for (const Step& step : steps) {
    if (!script.fault.empty()) break;
    if (!script.Do(step)) return "impossible step: " + script.model.Describe(script.state, step);
  }
  return script.fault;
}

Result Search(const Script& script, const StepBudget& budget, int depth, size_t max_states,
              double max_seconds) {
  // How a state was reached: by a step from the state of another link; link 0 is the first state.
  struct Link {
    size_t parent;
    Step step;
  };
  Result result;
  Stopwatch stopwatch;
  Model model = script.model;
  std::unordered_set<uint64_t> seen;
  std::vector<Link> links;
  std::vector<std::pair<size_t, State>> now, next;
  if (!script.fault.empty()) {
    result.fault = script.fault;
    ExplainTrace(script, {}, &result);
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
      for (const Step& step : model.EnabledSteps(state)) {
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
          ExplainTrace(script, found, &result);
          break;
        }
        if (!seen.insert(reached.DigestValue()).second) continue;
        links.push_back({link, step});
        next.push_back({links.size() - 1, std::move(reached)});
      }
      state = State();
      cut_short = seen.size() >= max_states || stopwatch.seconds() > max_seconds;
      if (!result.fault.empty() || cut_short) break;
    }
    result.depth = level + 1;
    now = std::move(next);
    next.clear();
  }
  result.states = seen.size();
  result.complete = !cut_short && result.fault.empty();
  result.seconds = stopwatch.seconds();
  return result;
}

std::vector<Step> Shrink(const Script& script, std::vector<Step> steps, const std::string& fault) {
  std::string invariant = fault.substr(0, fault.find(':'));
  auto still_fails = [&](const std::vector<Step>& tried) {
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
      if (!still_fails(tried)) continue;
      steps = std::move(tried);
      shorter = true;
      --k;
    }
  }
  return steps;
}

Result RandomWalk(const Script& script, const StepBudget& budget, int depth, uint64_t seed,
                  double max_seconds, size_t max_walks) {
  Result result;
  Stopwatch stopwatch;
  Model model = script.model;
  base::Random random(seed);
  std::unordered_set<uint64_t> seen;
  for (size_t walk = 0; walk < max_walks && stopwatch.seconds() < max_seconds; ++walk) {
    State state = script.state;
    state.budget = budget;
    std::vector<Step> taken;
    for (int k = 0; k < depth; ++k) {
      std::vector<Step> steps = model.EnabledSteps(state);
      if (steps.empty()) break;
      // Mostly deliver messages and finish writes, so that walks make progress between other steps.
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
        result.seconds = stopwatch.seconds();
        ExplainTrace(script, Shrink(script, taken, fault), &result);
        return result;
      }
      seen.insert(state.DigestValue());
    }
  }
  result.states = seen.size();
  result.seconds = stopwatch.seconds();
  return result;
}

}  // namespace elderkeel::model
