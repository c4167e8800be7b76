#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/names.h"
#include "base/settings.h"
#include "forwarding/load_balancer.h"
#include "forwarding/pending_request.h"
#include "rollout/canary_policy.h"

namespace elderkeel::forwarding {

// A report to the observers of one roll-out, and who they are.
struct AddressedReport {
  rollout::ProxyReport report;
  std::vector<uint64_t> observers;  // ids of nodes
};

// Which version of its service a request goes to while versions are rolled out, and the counts of
// how its attempts ended.
class VersionRouting {
 public:
  // All outlive this object.
  VersionRouting(const base::Settings& settings, base::Names* services, LoadBalancer* balancer);

  // Takes a newer state of the roll-outs. Returns the servers that may not be sent to any more.
  std::vector<uint32_t> Adopt(base::Millis now, const rollout::Rollouts& rollouts);
  // Puts in force what the roll-outs allow now. Returns the same.
  std::vector<uint32_t> Review(base::Millis now);
  void OnLeaseRenewal(base::Millis now, const rollout::LeaseRenewal& renewal);
  bool known() const { return version_ > 0; }
  bool active() const { return policy_.active(); }
  bool IsShifting() const { return policy_.IsShifting(); }

  void OnRequest(uint32_t service);
  // Chooses a server for the request's next attempt, by `choose`, of the version that it goes to.
  using Choose = std::function<uint32_t(bool secondary)>;
  uint32_t ChooseServer(base::Millis now, const PendingRequest& pending,
                        const Choose& choose) const;
  void OnAttemptBegun(uint32_t server);
  void OnAttemptEnded(const PendingRequest& pending, const Attempt& attempt,
                      rollout::CanaryPolicy::Outcome outcome, base::Millis took);
  std::vector<AddressedReport> MakeReports(base::Millis now);

 private:
  base::Names* services_;
  LoadBalancer* balancer_;
  rollout::CanaryPolicy policy_;
  uint64_t version_ = 0;                        // of the state of the roll-outs; 0 for unknown
  std::map<std::string, rollout::Rule> rules_;  // as they were last put in force, by service
};

}  // namespace elderkeel::forwarding
