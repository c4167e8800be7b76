#pragma once

#include <algorithm>
#include <vector>

#include "base/clock.h"

namespace elderkeel::forwarding {

// This node's part of the budget for retries and hedges that all nodes share. Over any window, all
// nodes together may send `ratio` x requests + `slack` arrivals past the first of each request.
//
// Each node earns `share` x ratio for each request it takes and may save up to its part of the
// slack. What a node spends in a window is then at most what it earned in that window plus what it
// had saved, and the savings of all nodes together stay below the slack. A node that just started
// has saved nothing: before its restart it may have spent its part.
class RetryBudget {
 public:
  struct Bounds {
    double ratio = 0.1;
    double slack = 10;
    double share = 0.75;  // of the ratio: some requests are counted in another window than earned
  };

  explicit RetryBudget(Bounds bounds) : bounds_(bounds) {}

  // `nodes`: how many may exist, at least those in sight.
  void SetNodes(size_t nodes) {
    cap_ = bounds_.slack * 0.8 / static_cast<double>(std::max<size_t>(1, nodes));
    for (double& tokens : tokens_) tokens = std::min(tokens, cap_);
  }
  void Deposit(uint32_t service) {
    double& tokens = At(service);
    tokens = std::min(cap_, tokens + bounds_.ratio * bounds_.share);
  }
  bool TryWithdraw(uint32_t service) { return Take(service, 0); }
  // For sends that matter less than those after a failure: one of these stays saved, or, where a
  // node may not save as much as two, nothing is taken unless all that may be saved is there.
  bool TryWithdrawForHedge(uint32_t service) {
    return Take(service, std::clamp(cap_ - 1, 0.0, 1.0));
  }
  // What was spent was not sent after all.
  void Refund(uint32_t service) { At(service) = std::min(cap_, At(service) + 1); }
  double cap() const { return cap_; }

 private:
  bool Take(uint32_t service, double reserve) {
    double& tokens = At(service);
    if (tokens < 1 + reserve) return false;
    tokens -= 1;
    return true;
  }
  double& At(uint32_t service) {
    if (service >= tokens_.size()) tokens_.resize(service + 1, 0);
    return tokens_[service];
  }

  Bounds bounds_;
  double cap_ = 1;
  std::vector<double> tokens_;
};

}  // namespace elderkeel::forwarding
