#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace elderkeel::linearizability {

constexpr uint64_t kNever = UINT64_MAX;

// One call as its caller saw it. A call without a clear answer ends at kNever: it may have taken
// effect at any time after its begin, or never.
struct Operation {
  enum class Kind { kPut, kPatch, kGet, kEvacuate, kTakeBack, kReadZone, kOrder, kReadOrder };
  Kind kind = Kind::kGet;
  std::string object;    // the zone or service; empty for the configuration
  int order = 0;         // what is sent again as it was has the same number
  int64_t if_match = 0;  // of a change
  int64_t revision = 0;  // of a change
  std::string text;      // a change's body, an order's version, or what was read
  uint64_t begin = 0, end = kNever;
  int status = 0;  // 0: no clear answer

  bool clear() const { return status != 0; }
};

// Whether the calls of one object can be put in an order that keeps to their begins and ends and to
// the object's sequential meaning: Wing and Gong's search with Lowe's cache of (calls placed,
// state). `Model` has State, Initial(), Step(state, operation) -> the states that may follow (none
// if the outcome can't be), and Key(state), equal only for equal states.
template <class Model>
class Search {
 public:
  explicit Search(std::vector<Operation> history) : history_(std::move(history)) {
    std::stable_sort(history_.begin(), history_.end(),
                     [](const auto& a, const auto& b) { return a.begin < b.begin; });
    placed_.assign(history_.size(), '0');
    for (const Operation& o : history_) clear_ += o.clear();
  }

  bool Linearizable() { return From(Model::Initial(), 0); }
  size_t states() const { return seen_.size(); }
  // The call at which all orders that were tried ended: the first that could never be placed.
  const Operation* Stuck() const {
    return furthest_ < history_.size() ? &history_[furthest_] : nullptr;
  }

 private:
  using State = typename Model::State;

  // Those that may be next: begun before any that isn't placed has ended.
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

  bool From(const State& state, size_t clear) {
    if (clear == clear_) return true;
    if (!seen_.insert(placed_ + Model::Key(state)).second) return false;
    size_t old_first = first_;
    while (first_ < history_.size() && placed_[first_] == '1') ++first_;
    std::vector<size_t> next = Next();
    // A call with a clear answer that changes nothing can be placed at once: no other order gains
    // by placing it later.
    std::vector<std::pair<size_t, State>> ways;
    for (size_t i : next) {
      for (State& after : Model::Step(state, history_[i])) {
        bool same = Model::Key(after) == Model::Key(state);
        if (same && history_[i].clear()) {
          bool found = Place(i, after, clear);
          first_ = old_first;
          return found;
        }
        if (!same) ways.push_back({i, std::move(after)});
      }
    }
    // Those with an answer first: they are what must be explained.
    std::stable_sort(ways.begin(), ways.end(), [&](const auto& a, const auto& b) {
      return history_[a.first].clear() > history_[b.first].clear();
    });
    bool found = false;
    for (size_t k = 0; k < ways.size() && !found; ++k) {
      found = Place(ways[k].first, ways[k].second, clear);
    }
    if (!found && (furthest_ == SIZE_MAX || clear > furthest_clear_)) {
      furthest_clear_ = clear;
      furthest_ = SIZE_MAX;
      for (size_t i : next) {
        if (history_[i].clear() &&
            (furthest_ == SIZE_MAX || history_[i].end < history_[furthest_].end)) {
          furthest_ = i;
        }
      }
    }
    first_ = old_first;
    return found;
  }

  bool Place(size_t i, const State& after, size_t clear) {
    placed_[i] = '1';
    bool found = From(after, clear + history_[i].clear());
    placed_[i] = '0';
    return found;
  }

  std::vector<Operation> history_;
  std::string placed_;  // by call, '0' or '1'
  size_t first_ = 0;    // all before are placed
  size_t clear_ = 0;    // calls with a clear answer
  size_t furthest_ = SIZE_MAX, furthest_clear_ = 0;
  std::set<std::string> seen_;
};

// The register of the configuration. A change takes effect at most once, on the version that it
// names; sent again it is acknowledged; 412 only if it was never taken.
struct ConfigurationModel {
  struct State {
    std::vector<int> taken;
    int64_t revision = 0;
    std::string text;
  };
  // Makes of a document and a patch what is to be in force.
  static inline std::string (*patch)(const std::string& text, const std::string& body) = nullptr;

  static State Initial() { return {}; }
  static std::string Key(const State& s) {
    std::string key;
    for (int order : s.taken) key += "," + std::to_string(order);
    return key;
  }
  static std::vector<State> Step(const State& s, const Operation& o) {
    if (o.kind == Operation::Kind::kGet) {
      bool right = o.status == 404 ? s.taken.empty() : o.status == 200 && o.text == s.text;
      return right ? std::vector<State>{s} : std::vector<State>{};
    }
    bool taken = std::find(s.taken.begin(), s.taken.end(), o.order) != s.taken.end();
    if (o.status == 412) {
      return !taken && s.revision != o.if_match ? std::vector<State>{s} : std::vector<State>{};
    }
    if (o.clear() && o.status != 200) return {};
    if (taken) return {s};
    if (s.revision != o.if_match) return {};
    State after = s;
    after.taken.push_back(o.order);
    after.revision = o.revision;
    after.text = o.kind == Operation::Kind::kPatch ? patch(s.text, o.text) : o.text;
    return {after};
  }
};

// One zone. An order takes effect at most once, however often it is sent.
struct ZoneModel {
  struct State {
    bool drained = false;
    std::set<int> taken;
  };
  static State Initial() { return {}; }
  static std::string Key(const State& s) {
    std::string key = s.drained ? "e" : "-";
    for (int order : s.taken) key += "," + std::to_string(order);
    return key;
  }
  static std::vector<State> Step(const State& s, const Operation& o) {
    if (o.kind == Operation::Kind::kReadZone) {
      bool right = (o.text == "evacuated") == s.drained;
      return right ? std::vector<State>{s} : std::vector<State>{};
    }
    if (o.clear() && o.status != 200) return {};
    if (s.taken.count(o.order)) return {s};
    State after = s;
    after.taken.insert(o.order);
    after.drained = o.kind == Operation::Kind::kEvacuate;
    return {after};
  }
};

// One service's roll-outs. Each ends by itself at some time, which no caller sees happen.
struct RolloutModel {
  struct State {
    std::set<int> taken;
    std::string version;  // of the newest; empty for none
    int order = 0;
    bool ended = true;
  };
  static State Initial() { return {}; }
  static std::string Key(const State& s) {
    std::string key = s.version + (s.ended ? "." : "+");
    for (int order : s.taken) key += "," + std::to_string(order);
    return key;
  }
  static std::vector<State> Step(const State& s, const Operation& o) {
    std::vector<State> ways = OneStep(s, o);
    if (s.ended) return ways;
    State ended = s;
    ended.ended = true;
    for (State& way : OneStep(ended, o)) ways.push_back(std::move(way));
    return ways;
  }
  static std::vector<State> OneStep(const State& s, const Operation& o) {
    if (o.kind == Operation::Kind::kReadOrder) {
      bool right = o.status == 404 ? s.version.empty()
                                   : o.text == s.version + (s.ended ? " ended" : " in_progress");
      return right ? std::vector<State>{s} : std::vector<State>{};
    }
    bool taken = s.taken.count(o.order) > 0;
    if (o.status == 409) {
      return !taken && !s.ended ? std::vector<State>{s} : std::vector<State>{};
    }
    if (o.clear() && o.status != 200) return {};
    if (taken)
      return o.status == 0 || s.order == o.order ? std::vector<State>{s} : std::vector<State>{};
    if (!s.ended) return {};
    State after = s;
    after.taken.insert(o.order);
    after.version = o.text;
    after.order = o.order;
    after.ended = false;
    return {after};
  }
};

}  // namespace elderkeel::linearizability
