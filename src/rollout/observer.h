#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/messages.h"
#include "rollout/rollouts.h"

namespace elderkeel::rollout {

// Detects that the rate of an event has risen above its accepted rate: Page's cumulative sum
// (CUSUM) of the log-likelihood ratio of Wald's sequential test. It needs no window, so it detects
// a version that turns bad late as quickly as one that is bad from the start.
class ChangeTest {
 public:
  // Adds `trials`, of which `events` showed the event. `accepted` is the accepted rate, `suspect`
  // the higher rate to be detected.
  void Add(uint32_t trials, uint32_t events, double accepted, double suspect);
  // The evidence for the suspect rate; 0 for none.
  double sum() const { return sum_; }

 private:
  double sum_ = 0;
};

// Compares the new version of a service with the old one over the same proxies, routes and time, so
// that a fault which affects both versions is not attributed to the new one.
class Comparison {
 public:
  // Adds the counts that came in since the last call, on one route.
  void Add(const Row& delta);
  // Why the new version is bad; empty if it is not found to be.
  const std::string& bad_reason() const { return bad_reason_; }
  // Which evidence is missing to call the new version good; empty if none is. `canary_share` is the
  // share of the requests that the new version should get.
  std::string MissingEvidence(double canary_share) const;
  // The sums of each route.
  std::vector<Row> RouteSums() const;

 private:
  // Counts of the old version's answers, in which older answers weigh less.
  struct RecentCounts {
    double answers = 0, failed = 0, broken = 0, timed = 0, late = 0;
    void Add(const VersionCounters& delta);
  };
  struct Route {
    Row sums;
    RecentCounts old_version;
    ChangeTest failed, broken, late;
  };
  // Updates the route's tests by `delta`. `name` is the route's name in `bad_reason_`.
  void Test(Route* route, const Row& delta, const std::string& name);

  std::map<uint32_t, Route> routes_;
  Route all_routes_;  // finds faults on routes that have too few requests of their own
  std::string bad_reason_;
};

// Sums the proxies' reports on the roll-outs that this node observes, compares the versions and
// votes. Each controller has one; its RolloutManager passes on reports and calls Tick. It does no
// I/O and reads no clock.
class Observer {
 public:
  struct Options {
    uint64_t self = 0;  // its id on the ring
    uint64_t boot_id = 0;
    double canary_share = 0.06;           // share of the requests that proxies aim at for a canary
    base::Millis vote_interval = 400;     // a vote is also sent whenever it changes
    base::Millis report_lifetime = 1500;  // after which a proxy no longer counts as reporting
    // A longer gap between ticks is taken for a suspension of the process; the observer then
    // abstains for this long.
    base::Millis max_tick_gap = 1000;
  };
  explicit Observer(Options options) : options_(options) {}

  // Takes over the replicated state.
  void Adopt(const Rollouts& rollouts);
  // Whether this node observes any roll-out.
  bool active() const { return !observed_.empty(); }
  // True if the report is about a roll-out that this node observes.
  bool OnProxyReport(base::Millis now, const ProxyReport& report);
  struct KnownProxy {
    uint64_t id = 0;
    bool reachable = true;
  };
  // The votes that are due. `proxies`: all that have not left.
  std::vector<Vote> Tick(base::Millis now, const std::vector<KnownProxy>& proxies);

 private:
  struct ReceivedReport {
    ProxyReport report;
    base::Millis at = 0;  // when it was received
  };
  struct ObservedRollout {
    Rollout rollout;
    std::map<uint64_t, ReceivedReport> proxies;  // by id
    Comparison comparison;
    uint64_t requests = 0, exposed = 0;
    Vote last_vote;
    base::Millis voted_at = 0;
  };
  Vote MakeVote(base::Millis now, const ObservedRollout& observed,
                const std::vector<KnownProxy>& proxies) const;

  Options options_;
  uint64_t version_ = 0;                          // of the adopted Rollouts
  std::map<uint64_t, ObservedRollout> observed_;  // by number
  base::Millis ticked_at_ = 0;
  base::Millis resumed_at_ = 0;  // when the process last resumed after a suspension
};

}  // namespace elderkeel::rollout
