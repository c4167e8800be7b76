#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/verdict.h"
#include "discovery/endpoints.h"

namespace elderkeel::rollout {

// The stage of a roll-out. In `kCanary`, the new version gets a small share of the requests; in
// `kPromoting`, all traffic moves to it; in `kReverting`, all requests go to the old version again
// and the roll-out waits for those still in flight at the new one.
enum class Stage : uint8_t { kCanary, kPromoting, kCompleted, kReverting, kReverted };
// The stage's name in the status document and in log lines.
const char* StageName(Stage stage);
// The stage's status in the operator API: "in_progress", "completed" or "reverted".
const char* StatusName(Stage stage);
// Whether the stage is final.
inline bool IsFinal(Stage stage) { return stage == Stage::kCompleted || stage == Stage::kReverted; }

// An operator's order: move the service's traffic to servers of `version` within `time_limit_ms`.
struct RolloutOrder {
  std::string service;
  std::string version;
  int64_t time_limit_ms = 0;
  bool operator==(const RolloutOrder& o) const {
    return service == o.service && version == o.version && time_limit_ms == o.time_limit_ms;
  }
  template <class A>
  void serialize(A& a) {
    a(service, version, time_limit_ms);
  }
};

// One service's roll-out.
struct Rollout {
  uint64_t number = 0;  // increases with each order
  RolloutOrder order;
  std::string previous_version;  // the version in force before; empty if none was known
  Stage stage = Stage::kCanary;
  std::string reason;               // of the last step
  int64_t elapsed_ms = 0;           // from the order to the last step
  std::vector<uint64_t> observers;  // ids on the ring
  template <class A>
  void serialize(A& a) {
    a(number, order, previous_version, stage, reason, elapsed_ms, observers);
  }
};

// A replicated change to Rollouts: one entry of the log. Which fields are used depends on the kind.
struct Step {
  enum class Kind : uint8_t {
    kDetected,   // versions in force that the server list shows and no order determines
    kOrder,      // an operator's order
    kStage,      // a roll-out's next stage
    kObservers,  // a roll-out's new observers
  };
  Kind kind = Kind::kDetected;
  std::vector<std::pair<std::string, std::string>> detected;  // service, version
  RolloutOrder order;
  uint64_t number = 0;
  Stage stage = Stage::kCanary;
  std::string reason;
  int64_t elapsed_ms = 0;
  std::vector<uint64_t> observers;
  template <class A>
  void serialize(A& a) {
    a(kind, detected, order, number, stage, reason, elapsed_ms, observers);
  }
};

// Which version of each service is in force, and the newest roll-out of each: a state machine that
// every controller drives by the same log entries. Its version increases with each entry that
// changes something, so the newer of two copies is the one with the higher version.
class Rollouts {
 public:
  // Whether the order may be proposed, or the status and reason to answer the operator with.
  base::Verdict Evaluate(const RolloutOrder& order) const;
  // Applies a committed entry; a step that the current state doesn't permit is ignored. Returns
  // whether anything changed.
  bool Apply(const Step& step);

  // The service's newest roll-out; null if it has none.
  const Rollout* NewestOf(const std::string& service) const;
  // The service's version in force; empty if it is not known.
  std::string InForce(const std::string& service) const;
  const std::map<std::string, Rollout>& rollouts() const { return rollouts_; }
  const std::map<std::string, std::string>& in_force() const { return in_force_; }
  // Whether any roll-out is under way.
  bool Active() const;
  uint64_t version() const { return version_; }

  template <class A>
  void save(A& a) const {
    a(version_, newest_number_, Pairs(in_force_), Pairs(rollouts_));
  }
  template <class A>
  void load(A& a) {
    std::vector<std::pair<std::string, std::string>> in_force;
    std::vector<std::pair<std::string, Rollout>> rollouts;
    a(version_, newest_number_, in_force, rollouts);
    in_force_ = {in_force.begin(), in_force.end()};
    rollouts_ = {rollouts.begin(), rollouts.end()};
  }

 private:
  template <class T>
  static std::vector<std::pair<std::string, T>> Pairs(const std::map<std::string, T>& map) {
    return {map.begin(), map.end()};
  }
  // The roll-out with this number; null if there is none.
  Rollout* Find(uint64_t number);

  uint64_t version_ = 0;
  uint64_t newest_number_ = 0;
  std::map<std::string, std::string> in_force_;  // by service
  std::map<std::string, Rollout> rollouts_;      // by service
};

// Detects versions in force that the log doesn't have yet, from the server list. A service without
// a version in force, or whose version in force has no accepting server left, gets the version that
// most of its accepting servers have; the version of a roll-out that has not completed is left out.
// While a roll-out is under way, a version in force is not replaced. Returns pairs of service and
// version; if there are none, no entry is needed.
std::vector<std::pair<std::string, std::string>> DetectVersions(
    const Rollouts& state, const discovery::EndpointSnapshot& endpoints);

}  // namespace elderkeel::rollout
