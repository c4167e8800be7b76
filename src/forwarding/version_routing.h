#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/name_index.h"
#include "base/settings.h"
#include "forwarding/load_balancer.h"
#include "forwarding/pending_request.h"
#include "rollout/canary_policy.h"

namespace elderkeel::forwarding {

// A report on one roll-out, with the observers to which it is addressed.
struct AddressedReport {
  rollout::ProxyReport report;
  std::vector<uint64_t> observers;  // node ids
};

// Selects the version of a service that receives a request while versions are rolled out, and
// counts the outcomes of attempts for the roll-out's observers. The request router calls it for
// each request and attempt, and whenever the roll-outs change.
class VersionRouting {
 public:
  // `services` and `balancer` must outlive this object.
  VersionRouting(const base::Settings& settings, base::NameIndex* services, LoadBalancer* balancer);

  // Applies a newer state of the roll-outs. Returns the excluded servers of each service whose rule
  // has changed.
  std::vector<uint32_t> Adopt(base::Millis now, const rollout::Rollouts& rollouts);
  // Applies the rules that follow from the roll-outs and the time. Returns the same as Adopt().
  std::vector<uint32_t> ApplyRules(base::Millis now);
  // An observer of a roll-out has answered a report: extends the lease to send to the new version.
  void OnLeaseRenewal(base::Millis now, const rollout::LeaseRenewal& renewal);
  // Whether any state of the roll-outs has been applied.
  bool has_rollouts() const { return version_ > 0; }
  // Whether a roll-out is under way.
  bool active() const { return policy_.active(); }
  // Whether traffic is moving to a version that is being promoted.
  bool IsShifting() const { return policy_.IsShifting(); }

  // Counts a request for the service's roll-out, if one is in progress.
  void OnRequest(uint32_t service);
  // Chooses the server of the request's next attempt, or returns LoadBalancer::kNoServer. Calls
  // `choose` for the version that the request goes to. If that has no server available, it calls
  // `choose` for the primary version, or, while traffic is shifting, for the secondary one.
  using Choose = std::function<uint32_t(bool secondary)>;
  uint32_t ChooseServer(base::Millis now, const PendingRequest& pending,
                        const Choose& choose) const;
  // Count the beginning and the outcome of an attempt for the roll-out of its server's service, if
  // one is in progress.
  void OnAttemptBegun(uint32_t server);
  void OnAttemptEnded(const PendingRequest& pending, const Attempt& attempt,
                      rollout::CanaryPolicy::Outcome outcome, base::Millis duration);
  // One report for each roll-out under way.
  std::vector<AddressedReport> MakeReports(base::Millis now);

 private:
  base::NameIndex* services_;
  LoadBalancer* balancer_;
  rollout::CanaryPolicy policy_;
  uint64_t version_ = 0;  // of the roll-outs' state; 0 before the first
  std::map<std::string, rollout::VersionPolicy> rules_;  // as last applied, by service
};

}  // namespace elderkeel::forwarding
