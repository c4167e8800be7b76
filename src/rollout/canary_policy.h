#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/messages.h"
#include "rollout/rollouts.h"

namespace elderkeel::rollout {

// Which versions of one service may be sent to, as this proxy knows it now.
struct Rule {
  bool known = false;     // else any
  std::string primary;    // empty: any but `side` and `barred`
  std::string secondary;  // gets those requests that `TakesSecondary` says; empty: none
  std::string excluded;   // never, whatever else is left
  bool limited = false;   // only a few servers of `side`
  uint64_t number = 0;
  bool operator==(const Rule& o) const {
    return known == o.known && primary == o.primary && secondary == o.secondary &&
           excluded == o.excluded && limited == o.limited && number == o.number;
  }
};

// One proxy's state in roll-outs: which version a request goes to, within this proxy's share of
// what a version that is not proven may get, and the counts that the observers compare. Pure.
class CanaryPolicy {
 public:
  struct Options {
    double share = 0.1;         // of a service's requests that may go to an unproven version
    base::Millis lease = 2500;  // without a renewal for so long, no unproven version
    base::Millis ramp = 1000;   // in which the traffic moves over when a version is promoted
  };
  explicit CanaryPolicy(Options options) : options_(options) {}

  void Adopt(base::Millis now, const Rollouts& rollouts);
  // An observer answered.
  void OnLeaseRenewal(base::Millis now, const LeaseRenewal& renewal);
  // Which versions of the service may be sent to now.
  Rule RuleOf(base::Millis now, const std::string& service) const;

  bool active() const { return !active_.empty(); }
  // Whether any is being promoted.
  bool IsShifting() const;
  // Services with a roll-out under way.
  std::vector<std::string> ActiveServices() const;
  // Null where none is under way.
  const Rollout* RolloutOf(const std::string& service) const;

  // What state of a service's requests a canary is meant to get.
  double CanaryShare() const;
  // A request for the service came in.
  void CountRequest(const std::string& service);
  // Whether a request, by a hash of its id, goes to the side version first.
  bool TakesSecondary(base::Millis now, const std::string& service, uint64_t key) const;
  // Whether a further try may go to the side version: while the traffic moves, to the old one.
  bool RetriesToSecondary(base::Millis now, const std::string& service) const;

  void CountAttempt(const std::string& service, const std::string& version);
  enum class Outcome : uint8_t { kComplete, kFailed, kBroken };
  struct SentRequest {
    std::string service;
    std::string version;
    std::string server;
    std::string route;
    Outcome ending = Outcome::kComplete;
    bool timed = false;  // its time says something
    bool late = false;
  };
  void CountOutcome(base::Millis now, const SentRequest& send);

  // The report to the observers. The caller fills in who it is and what is in flight.
  ProxyReport MakeReport(base::Millis now, const std::string& service) const;

 private:
  struct ServiceState {
    Rollout rollout;
    base::Millis since = 0;     // of the order, here
    base::Millis stage_at = 0;  // of the stage, here
    base::Millis lease_renewed_at = 0;
    double credit = 0;  // sends to the new version that this proxy may make
    uint32_t requests = 0;
    uint32_t exposed = 0;
    std::map<std::string, Row> rows;  // by the route's label
    // Of the new version, here, in this stage; which servers were bad, by a hash.
    uint32_t answers = 0, bad = 0;
    uint64_t bad_at = 0;
    base::Millis breaker_open_until = 0;  // while promoting: back at the old version until then
  };
  // What this proxy's own answers say, long before a verdict can be here.
  static bool IsFailing(const ServiceState& state);
  // Whether anything may go to the new version from here: the lease is valid and the circuit
  // breaker closed.
  bool MaySendToNew(base::Millis now, const ServiceState& state) const {
    bool breaker_open = state.rollout.stage == Stage::kPromoting && now < state.breaker_open_until;
    return now - state.lease_renewed_at < options_.lease && !breaker_open;
  }
  // From 0, before the traffic moves, to 1.
  double ShiftedShare(base::Millis now, const ServiceState& state) const;

  Options options_;
  uint64_t version_ = 0;
  std::map<std::string, std::string> in_force_;
  std::map<std::string, std::string> reverted_;  // versions that the newest roll-out turned down
  std::map<std::string, ServiceState> active_;   // by service
};

}  // namespace elderkeel::rollout
