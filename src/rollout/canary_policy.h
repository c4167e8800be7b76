#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/messages.h"
#include "rollout/rollouts.h"

namespace elderkeel::rollout {

// Which versions of one service this proxy may send requests to.
struct VersionPolicy {
  bool known = false;     // false: nothing is known of the service's versions; any may be used
  std::string primary;    // empty: any version except `secondary` and `excluded`
  std::string secondary;  // for requests that `TakesSecondary` selects; empty: none
  std::string excluded;   // is never used, even if no other version has servers
  bool canary = false;    // only a few servers of `secondary` may be used
  uint64_t number = 0;    // of the roll-out under way; 0 if there is none
  bool operator==(const VersionPolicy& o) const {
    return known == o.known && primary == o.primary && secondary == o.secondary &&
           excluded == o.excluded && canary == o.canary && number == o.number;
  }
};

// One proxy's state in roll-outs. It decides which version a request goes to, keeps the requests
// to an unproven version within this proxy's share, and counts the results that the observers
// compare. The proxy's forwarding path calls it for each request and attempt. It does no I/O and
// reads no clock.
class CanaryPolicy {
 public:
  struct Options {
    double share = 0.1;         // of a service's requests that may go to an unproven version
    base::Millis lease = 2500;  // without a renewal for this long, no unproven version is used
    base::Millis ramp = 1000;   // in which the traffic moves over when a version is promoted
  };
  explicit CanaryPolicy(Options options) : options_(options) {}

  // Takes over a newer replicated state.
  void Adopt(base::Millis now, const Rollouts& rollouts);
  // Extends the lease after an observer has answered a report.
  void OnLeaseRenewal(base::Millis now, const LeaseRenewal& renewal);
  // Which versions of the service may be used now.
  VersionPolicy RuleOf(base::Millis now, const std::string& service) const;

  // Whether any roll-out is under way.
  bool active() const { return !active_.empty(); }
  // Whether any version is being promoted.
  bool IsShifting() const;
  // Services with a roll-out under way.
  std::vector<std::string> ActiveServices() const;
  // The service's roll-out under way; null if there is none.
  const Rollout* RolloutOf(const std::string& service) const;

  // The share of a service's requests that a canary is meant to get.
  double CanaryShare() const;
  // Counts a request for the service.
  void CountRequest(const std::string& service);
  // Whether the first attempt of a request goes to the secondary version. `key` is a hash of the
  // request's id.
  bool TakesSecondary(base::Millis now, const std::string& service, uint64_t key) const;
  // Whether a retry may go to the secondary version. True only while the traffic moves, when the
  // secondary version is the old one.
  bool RetriesToSecondary(base::Millis now, const std::string& service) const;

  // Counts an attempt that is sent to a server of `version`.
  void CountAttempt(const std::string& service, const std::string& version);
  // kFailed: a complete answer that reports a failure of the server; kBroken: no valid answer.
  enum class Outcome : uint8_t { kComplete, kFailed, kBroken };
  struct SentRequest {
    std::string service;
    std::string version;
    std::string server;
    std::string route;
    Outcome outcome = Outcome::kComplete;
    bool latency_counts = false;  // its latency may be compared; false for a server in slow start
    bool is_late = false;         // took longer than the route's limit for late answers
  };
  // Counts the outcome of an attempt. During a promotion it may open the circuit breaker.
  void CountOutcome(base::Millis now, const SentRequest& send);

  // The report to the observers. The caller fills in the node's identity and the requests in
  // flight.
  ProxyReport MakeReport(base::Millis now, const std::string& service) const;

 private:
  struct ServiceState {
    Rollout rollout;
    base::Millis adopted_at = 0;        // when this proxy adopted the order
    base::Millis stage_entered_at = 0;  // when this proxy adopted the stage
    base::Millis lease_renewed_at = 0;
    double credit = 0;  // attempts to the new version that this proxy may make
    uint32_t requests = 0;
    uint32_t exposed = 0;             // attempts sent to the new version
    std::map<std::string, Row> rows;  // by the route's label
    // Answers and failures of the new version, as seen by this proxy in this stage and since the
    // circuit breaker last opened.
    uint32_t answers = 0, failures = 0;
    uint64_t failing_servers = 0;  // bit set of hashes of the servers' ids
    // While promoting: until then, all requests go to the old version.
    base::Millis breaker_open_until = 0;
  };
  // Whether this proxy's own answers show that the new version fails. It is true well before
  // a verdict of the controllers can arrive.
  static bool IsFailing(const ServiceState& state);
  // Whether this proxy may send to the new version: the lease is valid and the circuit breaker is
  // closed.
  bool MaySendToNew(base::Millis now, const ServiceState& state) const {
    bool breaker_open = state.rollout.stage == Stage::kPromoting && now < state.breaker_open_until;
    return now - state.lease_renewed_at < options_.lease && !breaker_open;
  }
  // Which share of the requests beyond the canary's has moved to the new version: 0 before the
  // promotion, 1 at the end of the ramp.
  double ShiftedShare(base::Millis now, const ServiceState& state) const;

  Options options_;
  uint64_t version_ = 0;  // of the adopted Rollouts
  std::map<std::string, std::string> in_force_;
  // Versions that the newest roll-out of their service rejected.
  std::map<std::string, std::string> reverted_;
  std::map<std::string, ServiceState> active_;  // by service
};

}  // namespace elderkeel::rollout
