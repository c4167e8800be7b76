#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/messages.h"
#include "rollout/rollouts.h"

namespace elderkeel::rollout {

// Tells from a stream of yes and no whether "yes" has become more frequent than it should be:
// Page's cumulative sum of the log-likelihood ratio of Wald's test. It needs no window and so finds
// what turns bad late as soon as what is bad from the start.
class ChangeTest {
 public:
  // `before`: the rate that is in order; `after`: the one to be found.
  void Take(uint32_t all, uint32_t yes, double before, double after);
  double sum() const { return sum_; }

 private:
  double sum_ = 0;
};

// Compares the new version of a service with the old one, over the same proxies, routes and time,
// so that a fault which strikes both convicts neither. Pure.
class Comparison {
 public:
  // What came since the last time, on one route.
  void Take(const Row& more);
  // Why the new version is bad; empty if it is not known to be.
  const std::string& bad() const { return bad_; }
  // What is missing to call it good; empty if nothing is.
  std::string Missing(double canary_share) const;
  std::vector<Row> PartDigests() const;

 private:
  // How often the old version's answers were bad lately: older ones count less.
  struct RecentCounts {
    double answers = 0, failed = 0, broken = 0, timed = 0, late = 0;
    void Take(const VersionCounters& more);
  };
  struct Route {
    Row sums;
    RecentCounts old_version;
    ChangeTest failed, broken, late;
  };
  void Test(Route* route, const Row& more, const std::string& name);

  std::map<uint32_t, Route> routes_;
  Route all_;  // for routes that are seldom asked for
  std::string bad_;
};

// An observer's part: it sums what the proxies report, compares, and votes. Pure.
class Observer {
 public:
  struct Options {
    uint64_t self = 0;  // its id on the ring
    uint64_t boot_id = 0;
    double canary_share = 0.06;     // that proxies aim at
    base::Millis vote_every = 400;  // and whenever something changes
    base::Millis fresh = 1500;      // a proxy's report, for so long
    base::Millis gap = 1000;        // a longer pause of its own means that it slept
  };
  explicit Observer(Options options) : options_(options) {}

  void Adopt(const Rollouts& rollouts);
  bool active() const { return !watches_.empty(); }
  // True if it is one that this node watches.
  bool OnProxyReport(base::Millis now, const ProxyReport& report);
  struct KnownProxy {
    uint64_t id = 0;
    bool reachable = true;
  };
  // The votes that are due; `proxies`: all that have not left.
  std::vector<Vote> Tick(base::Millis now, const std::vector<KnownProxy>& proxies);

 private:
  struct ReceivedReport {
    ProxyReport report;
    base::Millis at = 0;
  };
  struct Watch {
    Rollout rollout;
    std::map<uint64_t, ReceivedReport> proxies;
    Comparison comparison;
    uint64_t requests = 0, exposed = 0;
    Vote last_vote;
    base::Millis voted_at = 0;
  };
  Vote Judge(base::Millis now, const Watch& watch, const std::vector<KnownProxy>& proxies) const;

  Options options_;
  uint64_t version_ = 0;
  std::map<uint64_t, Watch> watches_;  // by number
  base::Millis ticked_at_ = 0;
  base::Millis awake_at_ = 0;
};

}  // namespace elderkeel::rollout
