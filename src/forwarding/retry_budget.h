#pragma once

#include <algorithm>
#include <vector>

#include "base/clock.h"

namespace elderkeel::forwarding {

// This proxy's part of the budget for retries and hedges that all proxies share. In any time
// window, all proxies together may cause at most `ratio` x requests + `slack` arrivals at servers
// beyond the first arrival of each request.
//
// A token bucket per service: each request that the proxy receives adds `ratio` x `earned_share`
// tokens, a retry or hedge takes one, and the bucket holds at most the proxy's part of the slack. A
// proxy spends in a window at most what it earned in that window plus what its bucket held before,
// and all buckets together hold less than the slack. Buckets start empty: before a restart the
// proxy may have spent its part already.
class RetryBudget {
 public:
  struct Bounds {
    double ratio = 0.1;
    double slack = 10;
    // Part of `ratio` that is earned. Below 1, since a request may fall into another window than
    // the retry that it pays for.
    double earned_share = 0.75;
  };

  explicit RetryBudget(Bounds bounds) : bounds_(bounds) {}

  // Divides the slack among `nodes` proxies: all that may exist, at least those known to be alive.
  void SetProxyCount(size_t nodes) {
    cap_ = bounds_.slack * kSlackInBuckets / static_cast<double>(std::max<size_t>(1, nodes));
    for (double& tokens : tokens_) tokens = std::min(tokens, cap_);
  }
  // Adds the tokens that one request earns.
  void Deposit(uint32_t service) {
    double& tokens = TokensOf(service);
    tokens = std::min(cap_, tokens + bounds_.ratio * bounds_.earned_share);
  }
  // Takes a token for a retry; returns false if there is none.
  bool TryWithdraw(uint32_t service) { return Take(service, 0); }
  // Takes a token for a hedge, which matters less than a retry after a failure: one token must be
  // left for a retry. If cap() is below two tokens, the bucket must be full instead.
  bool TryWithdrawForHedge(uint32_t service) {
    return Take(service, std::clamp(cap_ - 1, 0.0, 1.0));
  }
  // Returns a token whose attempt was not sent.
  void Refund(uint32_t service) { TokensOf(service) = std::min(cap_, TokensOf(service) + 1); }
  // The most tokens that the bucket of one service holds.
  double cap() const { return cap_; }

 private:
  // Below 1, so that the buckets of all proxies together hold less than the slack.
  static constexpr double kSlackInBuckets = 0.8;

  // Takes a token if at least `reserve` tokens are left after it.
  bool Take(uint32_t service, double reserve) {
    double& tokens = TokensOf(service);
    if (tokens < 1 + reserve) return false;
    tokens -= 1;
    return true;
  }
  double& TokensOf(uint32_t service) {
    if (service >= tokens_.size()) tokens_.resize(service + 1, 0);
    return tokens_[service];
  }

  Bounds bounds_;
  double cap_ = 1;
  std::vector<double> tokens_;  // by service
};

}  // namespace elderkeel::forwarding
