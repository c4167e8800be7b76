#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace elderkeel::linearizability {

constexpr uint64_t kNever = UINT64_MAX;

// One call as its caller observed it, with logical times of its begin and end. A call without a
// definite answer ends at kNever: it may have taken effect at any time after its begin, or never.
struct Operation {
  enum class Kind { kPut, kPatch, kGet, kDrainZone, kUndrainZone, kReadZone, kOrder, kReadOrder };
  Kind kind = Kind::kGet;
  std::string object;    // the zone or service; empty for the configuration
  int order = 0;         // identifies the request; a request that is sent again keeps its number
  int64_t if_match = 0;  // of a change: the revision that it changes
  int64_t revision = 0;  // of a change: its own revision
  std::string text;      // a change's body, an order's version, or the result of a read
  uint64_t begin = 0, end = kNever;
  int status = 0;  // HTTP status, 0 without a definite answer

  bool has_answer() const { return status != 0; }
};

// Checks whether a history of the calls of one object is linearizable: whether some order of the
// calls respects their begins and ends and the object's sequential specification. This is Wing and
// Gong's search with Lowe's cache of (calls placed, state). `Model` has State, Initial(),
// Step(state, operation), which returns the possible next states (none if the outcome is
// impossible), and Key(state), which is equal only for equal states.
template <class Model>
class Search {
 public:
  explicit Search(std::vector<Operation> history) : history_(std::move(history)) {
    std::stable_sort(history_.begin(), history_.end(),
                     [](const auto& a, const auto& b) { return a.begin < b.begin; });
    placed_.assign(history_.size(), '0');
    for (const Operation& o : history_) answers_ += o.has_answer();
  }

  bool Linearizable() { return SearchFrom(Model::Initial(), 0); }
  size_t states() const { return visited_.size(); }
  // After a failed search, a call that could not be placed, for the test's message: of the calls
  // with an answer that could come next after the partial order with the most answers, the one that
  // ended first. nullptr if there is none.
  const Operation* StuckCall() const {
    return stuck_ < history_.size() ? &history_[stuck_] : nullptr;
  }

 private:
  using State = typename Model::State;

  // Returns the calls that may be placed next: those that began before the first end of a call that
  // isn't placed.
  std::vector<size_t> Next() const {
    uint64_t first_end = kNever;
    for (size_t i = first_; i < history_.size(); ++i) {
      if (history_[i].begin > first_end) break;
      if (placed_[i] == '0') first_end = std::min(first_end, history_[i].end);
    }
    std::vector<size_t> next;
    for (size_t i = first_; i < history_.size() && history_[i].begin <= first_end; ++i) {
      if (placed_[i] == '0') next.push_back(i);
    }
    return next;
  }

  // Whether the calls that aren't placed can follow on `state`; `answers` counts the placed calls
  // with a definite answer.
  bool SearchFrom(const State& state, size_t answers) {
    if (answers == answers_) return true;
    if (!visited_.insert(placed_ + Model::Key(state)).second) return false;
    size_t old_first = first_;
    while (first_ < history_.size() && placed_[first_] == '1') ++first_;
    std::vector<size_t> next = Next();
    // A call with a definite answer that leaves the state unchanged is placed at once: every valid
    // order that places it later stays valid with it here.
    std::vector<std::pair<size_t, State>> next_states;
    for (size_t i : next) {
      for (State& after : Model::Step(state, history_[i])) {
        bool same = Model::Key(after) == Model::Key(state);
        if (same && history_[i].has_answer()) {
          bool found = Place(i, after, answers);
          first_ = old_first;
          return found;
        }
        if (!same) next_states.push_back({i, std::move(after)});
      }
    }
    // Calls with a definite answer are tried first, since all of them must be placed.
    std::stable_sort(next_states.begin(), next_states.end(), [&](const auto& a, const auto& b) {
      return history_[a.first].has_answer() > history_[b.first].has_answer();
    });
    bool found = false;
    for (size_t k = 0; k < next_states.size() && !found; ++k) {
      found = Place(next_states[k].first, next_states[k].second, answers);
    }
    if (!found && (stuck_ == SIZE_MAX || answers > stuck_answers_)) {
      stuck_answers_ = answers;
      stuck_ = SIZE_MAX;
      for (size_t i : next) {
        if (history_[i].has_answer() &&
            (stuck_ == SIZE_MAX || history_[i].end < history_[stuck_].end)) {
          stuck_ = i;
        }
      }
    }
    first_ = old_first;
    return found;
  }

  bool Place(size_t i, const State& after, size_t answers) {
    placed_[i] = '1';
    bool found = SearchFrom(after, answers + history_[i].has_answer());
    placed_[i] = '0';
    return found;
  }

  std::vector<Operation> history_;
  std::string placed_;  // one character per call, '1' if it is placed, '0' otherwise
  size_t first_ = 0;    // all calls before this one are placed
  size_t answers_ = 0;  // number of calls with a definite answer
  size_t stuck_ = SIZE_MAX, stuck_answers_ = 0;
  std::set<std::string> visited_;
};

// The configuration as a register. A change takes effect at most once, and only on the revision
// that If-Match names. A change that was applied is acknowledged again when it is sent again; 412
// means that it was never applied and that another revision is in force.
struct ConfigurationModel {
  struct State {
    std::vector<int> applied;
    int64_t revision = 0;
    std::string text;
  };
  // Returns the document that results from applying the patch `body` to the document `text`. Set by
  // the test.
  static inline std::string (*patch)(const std::string& text, const std::string& body) = nullptr;

  static State Initial() { return {}; }
  static std::string Key(const State& s) {
    std::string key;
    for (int order : s.applied) key += "," + std::to_string(order);
    return key;
  }
  static std::vector<State> Step(const State& s, const Operation& o) {
    if (o.kind == Operation::Kind::kGet) {
      bool matches = o.status == 404 ? s.applied.empty() : o.status == 200 && o.text == s.text;
      return matches ? std::vector<State>{s} : std::vector<State>{};
    }
    bool applied = std::find(s.applied.begin(), s.applied.end(), o.order) != s.applied.end();
    if (o.status == 412) {
      return !applied && s.revision != o.if_match ? std::vector<State>{s} : std::vector<State>{};
    }
    if (o.has_answer() && o.status != 200) return {};
    if (applied) return {s};
    if (s.revision != o.if_match) return {};
    State after = s;
    after.applied.push_back(o.order);
    after.revision = o.revision;
    after.text = o.kind == Operation::Kind::kPatch ? patch(s.text, o.text) : o.text;
    return {after};
  }
};

// The drain state of one zone. An order takes effect at most once, however often it is sent.
struct ZoneModel {
  struct State {
    bool drained = false;
    std::set<int> applied;
  };
  static State Initial() { return {}; }
  static std::string Key(const State& s) {
    std::string key = s.drained ? "e" : "-";
    for (int order : s.applied) key += "," + std::to_string(order);
    return key;
  }
  static std::vector<State> Step(const State& s, const Operation& o) {
    if (o.kind == Operation::Kind::kReadZone) {
      bool matches = (o.text == "evacuated") == s.drained;
      return matches ? std::vector<State>{s} : std::vector<State>{};
    }
    if (o.has_answer() && o.status != 200) return {};
    if (s.applied.count(o.order)) return {s};
    State after = s;
    after.applied.insert(o.order);
    after.drained = o.kind == Operation::Kind::kDrainZone;
    return {after};
  }
};

// The roll-outs of one service. A roll-out ends at some time of its own accord, which isn't a call
// of the history; so each step may start from the ended state as well.
struct RolloutModel {
  struct State {
    std::set<int> applied;
    std::string version;  // of the newest roll-out, empty for none
    int order = 0;        // of the newest roll-out
    bool ended = true;
  };
  static State Initial() { return {}; }
  static std::string Key(const State& s) {
    std::string key = s.version + (s.ended ? "." : "+");
    for (int order : s.applied) key += "," + std::to_string(order);
    return key;
  }
  static std::vector<State> Step(const State& s, const Operation& o) {
    std::vector<State> next_states = OneStep(s, o);
    if (s.ended) return next_states;
    State ended = s;
    ended.ended = true;
    for (State& next_state : OneStep(ended, o)) next_states.push_back(std::move(next_state));
    return next_states;
  }
  // Step() without the possibility that the roll-out ends first.
  static std::vector<State> OneStep(const State& s, const Operation& o) {
    if (o.kind == Operation::Kind::kReadOrder) {
      bool matches = o.status == 404 ? s.version.empty()
                                     : o.text == s.version + (s.ended ? " ended" : " in_progress");
      return matches ? std::vector<State>{s} : std::vector<State>{};
    }
    bool applied = s.applied.count(o.order) > 0;
    if (o.status == 409) {
      return !applied && !s.ended ? std::vector<State>{s} : std::vector<State>{};
    }
    if (o.has_answer() && o.status != 200) return {};
    if (applied)
      return o.status == 0 || s.order == o.order ? std::vector<State>{s} : std::vector<State>{};
    if (!s.ended) return {};
    State after = s;
    after.applied.insert(o.order);
    after.version = o.text;
    after.order = o.order;
    after.ended = false;
    return {after};
  }
};

}  // namespace elderkeel::linearizability
