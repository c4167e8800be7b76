#include "rollout/observer.h"

#include <algorithm>
#include <cmath>

namespace elderkeel::rollout {
namespace {

// Sums of the change tests.
constexpr double kBadSum = 9;      // from here on, a version is called bad
constexpr double kDoubtSum = 3.5;  // from here on, it is not called good
// The weight, in answers, of the assumed rate that the old version's rate is averaged with.
constexpr double kPriorAnswers = 25;
constexpr double kDecayAnswers = 600;  // at this many answers, the recent counts are halved
constexpr double kMinAnswers = 12;     // with fewer, no version is called good
// If the new version should have answered this many requests on a route, it must have answered half
// of them. Routes with fewer requests are covered by the sums over all routes.
constexpr double kMinRouteAnswers = 20;

// The accepted rate of an event, and the rate to detect: twice the accepted rate plus `margin`.
struct RateLimit {
  double floor;  // accepted whatever the old version's rate is
  double margin;
  double old_rate_factor;  // accepted: this times the old version's rate, if more than `floor`
};
constexpr RateLimit kFailedRate{0.01, 0.08, 1.5};
constexpr RateLimit kBrokenRate{0.03, 0.10, 1.5};
// A canary runs on few servers, which may all be among the slower ones.
constexpr RateLimit kLateRate{0.08, 0.12, 2.5};

int CountBits(uint64_t bits) { return __builtin_popcountll(bits); }

// Whether a fault is attributed to the version rather than to single servers: at least two servers
// must show it, and half of those that answered. With fewer than two servers the two can't be
// distinguished, and the fault counts against the version.
bool IsWidespread(uint64_t faulty, uint64_t seen) {
  return CountBits(seen) < 2 ||
         (CountBits(faulty) >= 2 && CountBits(faulty) * 2 >= CountBits(seen));
}

std::string Percent(double part, double total) {
  return std::to_string(static_cast<int>(total > 0 ? 100 * part / total + 0.5 : 0)) + "%";
}

}  // namespace

void ChangeTest::Add(uint32_t trials, uint32_t events, double accepted, double suspect) {
  if (trials == 0) return;
  events = std::min(events, trials);
  double log_ratio = events * std::log(suspect / accepted) +
                     (trials - events) * std::log((1 - suspect) / (1 - accepted));
  sum_ = std::max(0.0, sum_ + log_ratio);
}

void Comparison::RecentCounts::Add(const VersionCounters& delta) {
  answers += delta.answers;
  failed += delta.failed;
  broken += delta.broken;
  timed += delta.latency_samples;
  late += delta.late;
  if (answers < kDecayAnswers) return;
  for (double* count : {&answers, &failed, &broken, &timed, &late}) *count /= 2;
}

void Comparison::Test(Route* route, const Row& delta, const std::string& name) {
  route->sums.old_version.Add(delta.old_version);
  route->sums.new_version.Add(delta.new_version);
  route->old_version.Add(delta.old_version);
  const RecentCounts& old = route->old_version;
  const VersionCounters& added = delta.new_version;
  const VersionCounters& sum = route->sums.new_version;
  auto test = [&](ChangeTest* change, uint32_t trials, uint32_t events, double old_trials,
                  double old_events, const RateLimit& limit) {
    double old_rate = (old_events + kPriorAnswers * limit.floor / limit.old_rate_factor) /
                      (old_trials + kPriorAnswers);
    double accepted = std::min(0.6, std::max(limit.floor, limit.old_rate_factor * old_rate));
    change->Add(trials, events, accepted, std::min(0.95, 2 * accepted + limit.margin));
  };
  test(&route->failed, added.answers, added.failed, old.answers, old.failed, kFailedRate);
  test(&route->broken, added.answers, added.broken, old.answers, old.broken, kBrokenRate);
  test(&route->late, added.latency_samples, added.late, old.timed, old.late, kLateRate);
  if (!bad_reason_.empty()) return;
  auto set_bad = [&](const char* what, uint32_t events, uint32_t trials, double old_events,
                     double old_trials) {
    bad_reason_ = name + ": " + std::to_string(events) + " of " + std::to_string(trials) + " " +
                  what + ", of the old version's " + Percent(old_events, old_trials);
  };
  if (route->failed.sum() >= kBadSum) {
    set_bad("failed", sum.failed, sum.answers, old.failed, old.answers);
  } else if (route->broken.sum() >= kBadSum && IsWidespread(sum.servers_broken, sum.servers_seen)) {
    set_bad("were broken off", sum.broken, sum.answers, old.broken, old.answers);
  } else if (route->late.sum() >= kBadSum && IsWidespread(sum.servers_late, sum.servers_seen)) {
    set_bad("came late", sum.late, sum.latency_samples, old.late, old.timed);
  }
}

void Comparison::Add(const Row& delta) {
  Route& route = routes_[delta.route];
  route.sums.route = delta.route;
  Test(&route, delta, "route " + std::to_string(delta.route));
  Test(&all_routes_, delta, "all routes");
}

std::string Comparison::MissingEvidence(double canary_share) const {
  const VersionCounters& sum = all_routes_.sums.new_version;
  if (sum.answers < kMinAnswers) return "too few answers";
  if (sum.latency_samples < kMinAnswers) return "too few answers of servers that are warm";
  auto doubtful = [](const Route& r) {
    return r.failed.sum() >= kDoubtSum || r.broken.sum() >= kDoubtSum || r.late.sum() >= kDoubtSum;
  };
  if (doubtful(all_routes_)) return "a doubt";
  for (const auto& [key, route] : routes_) {
    if (doubtful(route)) return "a doubt on route " + std::to_string(key);
    double expected = route.sums.old_version.answers * canary_share;
    if (expected >= kMinRouteAnswers && route.sums.new_version.answers < kMinRouteAnswers / 2) {
      return "too few answers on route " + std::to_string(key);
    }
  }
  return "";
}

std::vector<Row> Comparison::RouteSums() const {
  std::vector<Row> rows;
  for (const auto& [key, route] : routes_) rows.push_back(route.sums);
  return rows;
}

void Observer::Adopt(const Rollouts& rollouts) {
  version_ = rollouts.version();
  std::map<uint64_t, ObservedRollout> next;
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    if (IsFinal(rollout.stage)) continue;
    const auto& observers = rollout.observers;
    if (std::find(observers.begin(), observers.end(), options_.self) == observers.end()) continue;
    auto before = observed_.find(rollout.number);
    ObservedRollout& observed = next[rollout.number];
    if (before != observed_.end()) observed = std::move(before->second);
    observed.rollout = rollout;
  }
  observed_ = std::move(next);
}

bool Observer::OnProxyReport(base::Millis now, const ProxyReport& report) {
  auto at = observed_.find(report.number);
  if (at == observed_.end()) return false;
  ObservedRollout& observed = at->second;
  ReceivedReport& last = observed.proxies[report.node];
  bool same_boot = last.report.boot_id == report.boot_id;
  // Datagrams can arrive out of order; an older report contains nothing new.
  if (same_boot && (report.age_ms < last.report.age_ms || report.version < last.report.version)) {
    return true;
  }
  std::map<uint32_t, Row> before;
  if (same_boot) {
    for (const Row& row : last.report.rows) before[row.route] = row;
  }
  for (const Row& row : report.rows) {
    Row delta;
    delta.route = row.route;
    delta.old_version = row.old_version.Since(before[row.route].old_version);
    delta.new_version = row.new_version.Since(before[row.route].new_version);
    if (delta.old_version.answers + delta.new_version.answers > 0) observed.comparison.Add(delta);
  }
  observed.requests +=
      report.requests - (same_boot ? std::min(report.requests, last.report.requests) : 0);
  observed.exposed +=
      report.exposed - (same_boot ? std::min(report.exposed, last.report.exposed) : 0);
  last = {report, now};
  return true;
}

Vote Observer::MakeVote(base::Millis now, const ObservedRollout& observed,
                        const std::vector<KnownProxy>& proxies) const {
  Vote vote;
  vote.number = observed.rollout.number;
  vote.observer = options_.self;
  vote.boot_id = options_.boot_id;
  vote.version = version_;
  vote.requests = observed.requests;
  vote.exposed = observed.exposed;
  // Reports that waited in the sockets while this process was suspended describe the past: they
  // confirm nothing, and the observer abstains.
  bool just_resumed = now - resumed_at_ < options_.max_tick_gap;
  for (const auto& [id, received] : observed.proxies) {
    vote.age_ms =
        std::max(vote.age_ms, static_cast<uint32_t>(received.report.age_ms + (now - received.at)));
  }
  for (const KnownProxy& proxy : proxies) {
    vote.known_proxies += proxy.reachable;
    auto at = observed.proxies.find(proxy.id);
    bool reporting = at != observed.proxies.end() && now - at->second.at < options_.report_lifetime;
    vote.reporting += reporting && proxy.reachable;
    bool confirmed = false;
    if (reporting && !just_resumed && at->second.report.version >= version_) {
      const ProxyReport& r = at->second.report;
      confirmed = observed.rollout.stage == Stage::kPromoting ? r.confirmed && r.old_in_flight == 0
                  : observed.rollout.stage == Stage::kReverting ? r.new_in_flight == 0
                                                                : true;
    }
    if (confirmed) continue;
    // What counts is whether the proxy reports, not its state in the membership: it may be
    // partitioned from the observers alone.
    ++(reporting ? vote.unconfirmed : vote.not_reporting);
    if (vote.missing.size() < 8) vote.missing.push_back(proxy.id);
  }
  vote.rows = observed.comparison.RouteSums();
  if (just_resumed) {
    vote.reason = "has only just woken";
  } else if (!observed.comparison.bad_reason().empty()) {
    vote.opinion = Opinion::kBad;
    vote.reason = observed.comparison.bad_reason();
  } else if (vote.reporting * 2 < vote.known_proxies || vote.known_proxies == 0) {
    vote.reason = "hears too few proxies";
  } else {
    vote.reason = observed.comparison.MissingEvidence(options_.canary_share);
    if (vote.reason.empty()) vote.opinion = Opinion::kGood;
  }
  return vote;
}

std::vector<Vote> Observer::Tick(base::Millis now, const std::vector<KnownProxy>& proxies) {
  if (ticked_at_ != 0 && now - ticked_at_ > options_.max_tick_gap) resumed_at_ = now;
  ticked_at_ = now;
  std::vector<Vote> votes;
  for (auto& [number, observed] : observed_) {
    Vote vote = MakeVote(now, observed, proxies);
    bool changed = vote.opinion != observed.last_vote.opinion ||
                   vote.version != observed.last_vote.version ||
                   (vote.unconfirmed == 0) != (observed.last_vote.unconfirmed == 0) ||
                   (vote.not_reporting == 0) != (observed.last_vote.not_reporting == 0);
    if (!changed && now - observed.voted_at < options_.vote_interval) continue;
    observed.last_vote = vote;
    observed.voted_at = now;
    votes.push_back(std::move(vote));
  }
  return votes;
}

}  // namespace elderkeel::rollout
