#include "rollout/canary_policy.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::rollout {
namespace {
constexpr double kTargetShare = 0.6;  // of what may be exposed: what a canary gets
constexpr double kMaxShare = 0.9;     // and what it can never exceed, by count
constexpr double kMaxCredit = 3;
constexpr double kBreakerShare =
    0.25;  // of its canary state that a proxy keeps that sees plain badness
constexpr uint32_t kBreakerMinFailures = 3;
constexpr base::Millis kBreakerOpenMs = 1500;  // by then there is a verdict, or it was chance
constexpr size_t kMaxRows = 64;
}  // namespace

void CanaryPolicy::Adopt(base::Millis now, const Rollouts& rollouts) {
  version_ = rollouts.version();
  in_force_ = rollouts.in_force();
  reverted_.clear();
  std::map<std::string, ServiceState> active;
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    if (rollout.stage == Stage::kReverting || rollout.stage == Stage::kReverted) {
      reverted_[service] = rollout.order.version;
    }
    if (Ended(rollout.stage)) continue;
    ServiceState state;
    auto before = active_.find(service);
    if (before != active_.end() && before->second.rollout.number == rollout.number) {
      state = std::move(before->second);
    } else {
      state.since = state.lease_renewed_at = now;
      // Right after the order the lease needs no renewal yet.
      state.stage_at = now;
    }
    if (state.rollout.stage != rollout.stage) {
      state.stage_at = now;
      state.answers = state.bad = 0;
      state.bad_at = 0;
    }
    state.rollout = rollout;
    active[service] = std::move(state);
  }
  active_ = std::move(active);
}

void CanaryPolicy::OnLeaseRenewal(base::Millis now, const LeaseRenewal& renewal) {
  // The lease runs from the question: the answer may have been on its way, or in the socket of a
  // suspended process, for longer than the lease lasts.
  bool names_question = renewal.asked_at != 0;
  if (names_question && renewal.asked_at > now) return;
  for (auto& [service, state] : active_) {
    // An observer that knows of less than this proxy can't know that nothing was taken back since.
    if (state.rollout.number != renewal.number || renewal.version < version_) continue;
    state.lease_renewed_at =
        names_question ? std::max(state.lease_renewed_at, renewal.asked_at) : now;
  }
}

bool CanaryPolicy::IsShifting() const {
  return std::any_of(active_.begin(), active_.end(), [](const auto& service) {
    return service.second.rollout.stage == Stage::kPromoting;
  });
}

std::vector<std::string> CanaryPolicy::ActiveServices() const {
  std::vector<std::string> services;
  for (const auto& [service, state] : active_) services.push_back(service);
  return services;
}

const Rollout* CanaryPolicy::RolloutOf(const std::string& service) const {
  auto at = active_.find(service);
  return at == active_.end() ? nullptr : &at->second.rollout;
}

bool CanaryPolicy::IsFailing(const ServiceState& state) {
  return state.bad >= kBreakerMinFailures && state.bad * 10 >= state.answers * 3;
}

// Slowly at first: what turns out bad now costs most of what may be exposed.
double CanaryPolicy::ShiftedShare(base::Millis now, const ServiceState& state) const {
  if (state.rollout.stage != Stage::kPromoting) return 0;
  double way = static_cast<double>(now - std::max(state.stage_at, state.breaker_open_until)) /
               static_cast<double>(options_.ramp);
  way = std::clamp(way, 0.0, 1.0);
  return way * way;
}

Rule CanaryPolicy::RuleOf(base::Millis now, const std::string& service) const {
  Rule rule;
  auto in_force = in_force_.find(service);
  auto turned_down = reverted_.find(service);
  if (turned_down != reverted_.end()) rule.excluded = turned_down->second;
  auto at = active_.find(service);
  if (at == active_.end()) {
    if (in_force == in_force_.end() && rule.excluded.empty()) return rule;
    rule.known = true;
    if (in_force != in_force_.end()) rule.primary = in_force->second;
    return rule;
  }
  const ServiceState& state = at->second;
  rule.known = true;
  rule.number = state.rollout.number;
  rule.primary = state.rollout.from;
  const std::string& target = state.rollout.order.version;
  if (state.rollout.stage == Stage::kReverting) return rule;
  if (!MaySendToNew(now, state)) {
    rule.excluded = target;
  } else if (state.rollout.stage == Stage::kCanary) {
    rule.secondary = target;
    rule.limited = true;
  } else {
    rule.primary = target;
    if (ShiftedShare(now, state) < 1) rule.secondary = state.rollout.from;
  }
  return rule;
}

double CanaryPolicy::CanaryShare() const { return options_.share * kTargetShare; }

void CanaryPolicy::CountRequest(const std::string& service) {
  auto at = active_.find(service);
  if (at == active_.end()) return;
  ServiceState& state = at->second;
  ++state.requests;
  state.credit = std::min(kMaxCredit, state.credit + options_.share * kMaxShare);
}

bool CanaryPolicy::TakesSecondary(base::Millis now, const std::string& service,
                                  uint64_t key) const {
  auto at = active_.find(service);
  if (at == active_.end() || !MaySendToNew(now, at->second)) return false;
  const ServiceState& state = at->second;
  double draw =
      static_cast<double>(base::Random(key ^ state.rollout.number).Next() >> 11) * 0x1p-53;
  double canary = CanaryShare();
  if (state.rollout.stage == Stage::kPromoting) {
    return draw >= canary + (1 - canary) * ShiftedShare(now, state);
  }
  if (state.rollout.stage != Stage::kCanary || state.credit < 1) return false;
  return draw < canary * (IsFailing(state) ? kBreakerShare : 1);
}

bool CanaryPolicy::RetriesToSecondary(base::Millis now, const std::string& service) const {
  auto at = active_.find(service);
  return at != active_.end() && at->second.rollout.stage == Stage::kPromoting &&
         MaySendToNew(now, at->second) && ShiftedShare(now, at->second) < 1;
}

void CanaryPolicy::CountAttempt(const std::string& service, const std::string& version) {
  auto at = active_.find(service);
  if (at == active_.end() || at->second.rollout.order.version != version) return;
  ++at->second.exposed;
  at->second.credit -= 1;
}

void CanaryPolicy::CountOutcome(base::Millis now, const SentRequest& send) {
  auto at = active_.find(send.service);
  if (at == active_.end()) return;
  ServiceState& state = at->second;
  bool target = send.version == state.rollout.order.version;
  if (!target && !state.rollout.from.empty() && send.version != state.rollout.from) return;
  if (state.rows.size() >= kMaxRows && !state.rows.count(send.route)) return;
  Row& row = state.rows[send.route];
  row.route = RouteKey(send.route);
  VersionCounters& counts = target ? row.new_version : row.old_version;
  uint64_t bit = 1ull << (base::Hash(send.server) % 64);
  bool broken = send.ending == Outcome::kBroken;
  ++counts.answers;
  counts.failed += send.ending == Outcome::kFailed;
  counts.broken += broken;
  counts.timed += send.timed;
  counts.late += send.timed && send.late;
  counts.seen |= bit;
  if (broken) counts.broken_at |= bit;
  if (send.timed && send.late) counts.late_at |= bit;
  if (!target) return;
  ++state.answers;
  if (send.ending == Outcome::kComplete) return;
  ++state.bad;
  state.bad_at |= bit;
  // One server alone is no sign of the version. The breaker closes by itself, and the shift begins
  // anew.
  bool several = (state.bad_at & (state.bad_at - 1)) != 0;
  if (state.rollout.stage != Stage::kPromoting || !several || !IsFailing(state)) return;
  state.breaker_open_until = now + kBreakerOpenMs;
  state.answers = state.bad = 0;
  state.bad_at = 0;
}

ProxyReport CanaryPolicy::MakeReport(base::Millis now, const std::string& service) const {
  ProxyReport report;
  auto at = active_.find(service);
  if (at == active_.end()) return report;
  const ServiceState& state = at->second;
  report.number = state.rollout.number;
  report.version = version_;
  report.age_ms = static_cast<uint32_t>(std::min<base::Millis>(now - state.since, UINT32_MAX));
  report.requests = state.requests;
  report.exposed = state.exposed;
  report.confirmed = state.rollout.stage == Stage::kReverting ||
                     (MaySendToNew(now, state) && ShiftedShare(now, state) >= 1);
  for (const auto& [label, row] : state.rows) report.rows.push_back(row);
  return report;
}

}  // namespace elderkeel::rollout
