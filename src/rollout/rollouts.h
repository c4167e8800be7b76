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

// Where a roll-out stands. In the first, the new version gets a small part of the requests; in the
// second, all traffic moves to it; in `kReverting`, all traffic has moved back and what is still
// running there is waited for.
enum class Stage : uint8_t { kCanary, kPromoting, kCompleted, kReverting, kReverted };
const char* StageName(Stage stage);
// The status that the operator's interface has for it.
const char* StatusName(Stage stage);
inline bool Ended(Stage stage) { return stage == Stage::kCompleted || stage == Stage::kReverted; }

// What the operator asks for: the service's traffic moved to servers of `version` within
// `over_ms`.
struct RolloutOrder {
  std::string service;
  std::string version;
  int64_t over_ms = 0;
  bool operator==(const RolloutOrder& o) const {
    return service == o.service && version == o.version && over_ms == o.over_ms;
  }
  template <class A>
  void serialize(A& a) {
    a(service, version, over_ms);
  }
};

// One service's roll-out.
struct Rollout {
  uint64_t number = 0;  // rises with each order
  RolloutOrder order;
  std::string from;  // the version in force before; empty if none was known
  Stage stage = Stage::kCanary;
  std::string reason;               // of the last step
  int64_t elapsed_ms = 0;           // from the order to the last step
  std::vector<uint64_t> observers;  // ids on the ring
  template <class A>
  void serialize(A& a) {
    a(number, order, from, stage, reason, elapsed_ms, observers);
  }
};

// An entry of the log about versions.
struct Step {
  enum class Kind : uint8_t {
    kDetected,   // versions in force, as the list shows them where no order says it
    kOrder,      // an operator's order
    kStage,      // a roll-out's next stage
    kObservers,  // who watches a roll-out from now on
  };
  Kind kind = Kind::kDetected;
  std::vector<std::pair<std::string, std::string>> found;  // service, version
  RolloutOrder order;
  uint64_t number = 0;
  Stage stage = Stage::kCanary;
  std::string reason;
  int64_t elapsed_ms = 0;
  std::vector<uint64_t> observers;
  template <class A>
  void serialize(A& a) {
    a(kind, found, order, number, stage, reason, elapsed_ms, observers);
  }
};

// Which version of each service is in force, and the newest roll-out of each, as a state machine
// above the log.
// The version rises with each entry that changes something, so that of two views the newer is known
// by it.
class Rollouts {
 public:
  base::Verdict Evaluate(const RolloutOrder& order) const;
  // True if it changed something.
  bool Apply(const Step& step);

  const Rollout* Of(const std::string& service) const;
  // Empty if it is not known.
  std::string InForce(const std::string& service) const;
  const std::map<std::string, Rollout>& rollouts() const { return rollouts_; }
  const std::map<std::string, std::string>& in_force() const { return in_force_; }
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
  Rollout* Find(uint64_t number);

  uint64_t version_ = 0;
  uint64_t newest_number_ = 0;
  std::map<std::string, std::string> in_force_;  // by service
  std::map<std::string, Rollout> rollouts_;      // by service
};

// What the list says of versions that the log doesn't know yet: a service with no version in force
// gets the one that most of its servers have, an ordered one apart; a service whose version in
// force has no server left gets the one that most of the others have. An empty result asks for no
// entry.
std::vector<std::pair<std::string, std::string>> DetectVersions(
    const Rollouts& state, const discovery::EndpointSnapshot& endpoints);

}  // namespace elderkeel::rollout
