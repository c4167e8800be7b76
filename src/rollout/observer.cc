#include "rollout/observer.h"

#include <algorithm>
#include <cmath>

namespace elderkeel::rollout {
namespace {

constexpr double kBadSum = 9;         // the sum at which a version is called bad
constexpr double kDoubtSum = 3.5;     // and the one from which on it is not called good
constexpr double kPriorAnswers = 25;  // answers that the rates supposed in order count as
constexpr double kMemoryAnswers = 600;
constexpr double kMinAnswers = 12;  // below these, nothing is called good
// A route that should have had so many answers of the new version must have had half of them. Those
// that are asked for less often are judged together.
constexpr double kMinRouteAnswers = 20;

// Rates that are in order whatever the old version shows, and how much more is looked for.
struct Rate {
  double floor;
  double more;
  double allowance;  // times the old version's own rate
};
constexpr Rate kFailedRate{0.01, 0.08, 1.5};
constexpr Rate kBrokenRate{0.03, 0.10, 1.5};
// The few servers of a canary may all be of the slower ones.
constexpr Rate kLateRate{0.08, 0.12, 2.5};

int Bits(uint64_t bits) { return __builtin_popcountll(bits); }

// A fault of single servers is no fault of the version: at least two must show it, and half of
// those that were asked.
bool Widespread(uint64_t at, uint64_t seen) {
  return Bits(seen) < 2 || (Bits(at) >= 2 && Bits(at) * 2 >= Bits(seen));
}

std::string Percent(double part, double whole) {
  return std::to_string(static_cast<int>(whole > 0 ? 100 * part / whole + 0.5 : 0)) + "%";
}

}  // namespace

void ChangeTest::Take(uint32_t all, uint32_t yes, double before, double after) {
  if (all == 0) return;
  yes = std::min(yes, all);
  double gain = yes * std::log(after / before) + (all - yes) * std::log((1 - after) / (1 - before));
  sum_ = std::max(0.0, sum_ + gain);
}

void Comparison::RecentCounts::Take(const VersionCounters& more) {
  answers += more.answers;
  failed += more.failed;
  broken += more.broken;
  timed += more.timed;
  late += more.late;
  if (answers < kMemoryAnswers) return;
  for (double* part : {&answers, &failed, &broken, &timed, &late}) *part /= 2;
}

void Comparison::Test(Route* route, const Row& more, const std::string& name) {
  route->sums.old_version.Add(more.old_version);
  route->sums.new_version.Add(more.new_version);
  route->old_version.Take(more.old_version);
  const RecentCounts& old = route->old_version;
  const VersionCounters& now = more.new_version;
  const VersionCounters& sum = route->sums.new_version;
  auto test = [&](ChangeTest* change, uint32_t all, uint32_t yes, double old_all, double old_yes,
                  const Rate& rate) {
    double usual =
        (old_yes + kPriorAnswers * rate.floor / rate.allowance) / (old_all + kPriorAnswers);
    double before = std::min(0.6, std::max(rate.floor, rate.allowance * usual));
    change->Take(all, yes, before, std::min(0.95, 2 * before + rate.more));
  };
  test(&route->failed, now.answers, now.failed, old.answers, old.failed, kFailedRate);
  test(&route->broken, now.answers, now.broken, old.answers, old.broken, kBrokenRate);
  test(&route->late, now.timed, now.late, old.timed, old.late, kLateRate);
  if (!bad_.empty()) return;
  auto convict = [&](const char* what, uint32_t yes, uint32_t all, double old_yes, double old_all) {
    bad_ = name + ": " + std::to_string(yes) + " of " + std::to_string(all) + " " + what +
           ", of the old version's " + Percent(old_yes, old_all);
  };
  if (route->failed.sum() >= kBadSum) {
    convict("failed", sum.failed, sum.answers, old.failed, old.answers);
  } else if (route->broken.sum() >= kBadSum && Widespread(sum.broken_at, sum.seen)) {
    convict("were broken off", sum.broken, sum.answers, old.broken, old.answers);
  } else if (route->late.sum() >= kBadSum && Widespread(sum.late_at, sum.seen)) {
    convict("came late", sum.late, sum.timed, old.late, old.timed);
  }
}

void Comparison::Take(const Row& more) {
  Route& route = routes_[more.route];
  route.sums.route = more.route;
  Test(&route, more, "route " + std::to_string(more.route));
  Test(&all_, more, "all routes");
}

std::string Comparison::Missing(double canary_share) const {
  const VersionCounters& sum = all_.sums.new_version;
  if (sum.answers < kMinAnswers) return "too few answers";
  if (sum.timed < kMinAnswers) return "too few answers of servers that are warm";
  auto doubtful = [](const Route& r) {
    return r.failed.sum() >= kDoubtSum || r.broken.sum() >= kDoubtSum || r.late.sum() >= kDoubtSum;
  };
  if (doubtful(all_)) return "a doubt";
  for (const auto& [key, route] : routes_) {
    if (doubtful(route)) return "a doubt on route " + std::to_string(key);
    double expected = route.sums.old_version.answers * canary_share;
    if (expected >= kMinRouteAnswers && route.sums.new_version.answers < kMinRouteAnswers / 2) {
      return "too few answers on route " + std::to_string(key);
    }
  }
  return "";
}

std::vector<Row> Comparison::PartDigests() const {
  std::vector<Row> rows;
  for (const auto& [key, route] : routes_) rows.push_back(route.sums);
  return rows;
}

void Observer::Adopt(const Rollouts& rollouts) {
  version_ = rollouts.version();
  std::map<uint64_t, Watch> watches;
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    if (Ended(rollout.stage)) continue;
    const auto& named = rollout.observers;
    if (std::find(named.begin(), named.end(), options_.self) == named.end()) continue;
    auto before = watches_.find(rollout.number);
    Watch& watch = watches[rollout.number];
    if (before != watches_.end()) watch = std::move(before->second);
    watch.rollout = rollout;
  }
  watches_ = std::move(watches);
}

bool Observer::OnProxyReport(base::Millis now, const ProxyReport& report) {
  auto at = watches_.find(report.number);
  if (at == watches_.end()) return false;
  Watch& watch = at->second;
  ReceivedReport& reporting = watch.proxies[report.node];
  bool same_boot = reporting.report.boot_id == report.boot_id;
  // Datagrams overtake each other; an older report says nothing new.
  if (same_boot &&
      (report.age_ms < reporting.report.age_ms || report.version < reporting.report.version)) {
    return true;
  }
  std::map<uint32_t, Row> before;
  if (same_boot) {
    for (const Row& row : reporting.report.rows) before[row.route] = row;
  }
  for (const Row& row : report.rows) {
    Row more;
    more.route = row.route;
    more.old_version = row.old_version.Since(before[row.route].old_version);
    more.new_version = row.new_version.Since(before[row.route].new_version);
    if (more.old_version.answers + more.new_version.answers > 0) watch.comparison.Take(more);
  }
  watch.requests +=
      report.requests - (same_boot ? std::min(report.requests, reporting.report.requests) : 0);
  watch.exposed +=
      report.exposed - (same_boot ? std::min(report.exposed, reporting.report.exposed) : 0);
  reporting = {report, now};
  return true;
}

Vote Observer::Judge(base::Millis now, const Watch& watch,
                     const std::vector<KnownProxy>& proxies) const {
  Vote vote;
  vote.number = watch.rollout.number;
  vote.observer = options_.self;
  vote.boot_id = options_.boot_id;
  vote.version = version_;
  vote.requests = watch.requests;
  vote.exposed = watch.exposed;
  // Reports that waited in its sockets while this process was suspended say nothing about now.
  bool just_woken = now - awake_at_ < options_.gap;
  for (const auto& [id, reporting] : watch.proxies) {
    vote.age_ms = std::max(vote.age_ms,
                           static_cast<uint32_t>(reporting.report.age_ms + (now - reporting.at)));
  }
  for (const KnownProxy& proxy : proxies) {
    vote.known_proxies += proxy.reachable;
    auto at = watch.proxies.find(proxy.id);
    bool reporting = at != watch.proxies.end() && now - at->second.at < options_.fresh;
    vote.reporting += reporting && proxy.reachable;
    bool confirmed = false;
    if (reporting && !just_woken && at->second.report.version >= version_) {
      const ProxyReport& t = at->second.report;
      confirmed = watch.rollout.stage == Stage::kPromoting   ? t.confirmed && t.old_in_flight == 0
                  : watch.rollout.stage == Stage::kReverting ? t.new_in_flight == 0
                                                             : true;
    }
    if (confirmed) continue;
    // What counts is whether it reports, whatever membership says of it: it may be cut off from the
    // observers alone.
    ++(reporting ? vote.unconfirmed : vote.not_reporting);
    if (vote.missing.size() < 8) vote.missing.push_back(proxy.id);
  }
  vote.rows = watch.comparison.PartDigests();
  if (just_woken) {
    vote.why = "has only just woken";
  } else if (!watch.comparison.bad().empty()) {
    vote.opinion = Opinion::kBad;
    vote.why = watch.comparison.bad();
  } else if (vote.reporting * 2 < vote.known_proxies || vote.known_proxies == 0) {
    vote.why = "hears too few proxies";
  } else {
    vote.why = watch.comparison.Missing(options_.canary_share);
    if (vote.why.empty()) vote.opinion = Opinion::kGood;
  }
  return vote;
}

std::vector<Vote> Observer::Tick(base::Millis now, const std::vector<KnownProxy>& proxies) {
  if (ticked_at_ != 0 && now - ticked_at_ > options_.gap) awake_at_ = now;
  ticked_at_ = now;
  std::vector<Vote> votes;
  for (auto& [number, watch] : watches_) {
    Vote vote = Judge(now, watch, proxies);
    bool changed = vote.opinion != watch.last_vote.opinion ||
                   vote.version != watch.last_vote.version ||
                   (vote.unconfirmed == 0) != (watch.last_vote.unconfirmed == 0) ||
                   (vote.not_reporting == 0) != (watch.last_vote.not_reporting == 0);
    if (!changed && now - watch.voted_at < options_.vote_every) continue;
    watch.last_vote = vote;
    watch.voted_at = now;
    votes.push_back(std::move(vote));
  }
  return votes;
}

}  // namespace elderkeel::rollout
