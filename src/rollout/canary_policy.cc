#include "rollout/canary_policy.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::rollout {
namespace {
// As fractions of Options::share: the probability with which a request is selected for a canary,
// and the credit that each request adds. The credit bounds the number of attempts whatever is
// selected.
constexpr double kTargetFraction = 0.6;
constexpr double kCreditFraction = 0.9;
constexpr double kMaxCredit = 3;  // attempts for which unused credit may accumulate
// The part of the canary share that a proxy keeps while it sees the new version fail.
constexpr double kFailingFraction = 0.25;
constexpr uint32_t kBreakerMinFailures = 3;
// By the end of this time there is a verdict, unless the failures were chance.
constexpr base::Millis kBreakerOpenMs = 1500;
constexpr size_t kMaxRows = 64;  // routes per report
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
    if (IsFinal(rollout.stage)) continue;
    ServiceState state;
    auto before = active_.find(service);
    if (before != active_.end() && before->second.rollout.number == rollout.number) {
      state = std::move(before->second);
    } else {
      // The first lease starts with the order and needs no renewal.
      state.adopted_at = state.lease_renewed_at = now;
      state.stage_entered_at = now;
    }
    if (state.rollout.stage != rollout.stage) {
      state.stage_entered_at = now;
      state.answers = state.failures = 0;
      state.failing_servers = 0;
    }
    state.rollout = rollout;
    active[service] = std::move(state);
  }
  active_ = std::move(active);
}

void CanaryPolicy::OnLeaseRenewal(base::Millis now, const LeaseRenewal& renewal) {
  // The lease runs from the time of the report, not from the arrival of the renewal: the renewal
  // may have spent longer than the lease in transit or in the socket of a suspended process.
  // A time in the future is from before a restart of the machine and renews nothing.
  bool has_report_time = renewal.reported_at != 0;
  if (has_report_time && renewal.reported_at > now) return;
  for (auto& [service, state] : active_) {
    // An observer with an older state than this proxy may have missed that the roll-out was
    // reverted.
    if (state.rollout.number != renewal.number || renewal.version < version_) continue;
    state.lease_renewed_at =
        has_report_time ? std::max(state.lease_renewed_at, renewal.reported_at) : now;
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
  return state.failures >= kBreakerMinFailures && state.failures * 10 >= state.answers * 3;
}

// The share grows with the square of the time. It starts slowly because a version that turns out
// bad at this point uses up most of the permitted exposure.
double CanaryPolicy::ShiftedShare(base::Millis now, const ServiceState& state) const {
  if (state.rollout.stage != Stage::kPromoting) return 0;
  double progress =
      static_cast<double>(now - std::max(state.stage_entered_at, state.breaker_open_until)) /
      static_cast<double>(options_.ramp);
  progress = std::clamp(progress, 0.0, 1.0);
  return progress * progress;
}

VersionPolicy CanaryPolicy::RuleOf(base::Millis now, const std::string& service) const {
  VersionPolicy rule;
  auto in_force = in_force_.find(service);
  auto reverted = reverted_.find(service);
  if (reverted != reverted_.end()) rule.excluded = reverted->second;
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
  rule.primary = state.rollout.previous_version;
  const std::string& target = state.rollout.order.version;
  if (state.rollout.stage == Stage::kReverting) return rule;
  if (!MaySendToNew(now, state)) {
    rule.excluded = target;
  } else if (state.rollout.stage == Stage::kCanary) {
    rule.secondary = target;
    rule.canary = true;
  } else {
    rule.primary = target;
    if (ShiftedShare(now, state) < 1) rule.secondary = state.rollout.previous_version;
  }
  return rule;
}

double CanaryPolicy::CanaryShare() const { return options_.share * kTargetFraction; }

void CanaryPolicy::CountRequest(const std::string& service) {
  auto at = active_.find(service);
  if (at == active_.end()) return;
  ServiceState& state = at->second;
  ++state.requests;
  state.credit = std::min(kMaxCredit, state.credit + options_.share * kCreditFraction);
}

bool CanaryPolicy::TakesSecondary(base::Millis now, const std::string& service,
                                  uint64_t key) const {
  auto at = active_.find(service);
  if (at == active_.end() || !MaySendToNew(now, at->second)) return false;
  const ServiceState& state = at->second;
  // The same request gets the same draw within a roll-out.
  double draw =
      static_cast<double>(base::Random(key ^ state.rollout.number).Next() >> 11) * 0x1p-53;
  double canary = CanaryShare();
  if (state.rollout.stage == Stage::kPromoting) {
    return draw >= canary + (1 - canary) * ShiftedShare(now, state);
  }
  if (state.rollout.stage != Stage::kCanary || state.credit < 1) return false;
  return draw < canary * (IsFailing(state) ? kFailingFraction : 1);
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
  if (!target && !state.rollout.previous_version.empty() &&
      send.version != state.rollout.previous_version)
    return;
  if (state.rows.size() >= kMaxRows && !state.rows.count(send.route)) return;
  Row& row = state.rows[send.route];
  row.route = RouteKey(send.route);
  VersionCounters& counts = target ? row.new_version : row.old_version;
  uint64_t bit = 1ull << (base::Hash(send.server) % 64);
  bool broken = send.outcome == Outcome::kBroken;
  ++counts.answers;
  counts.failed += send.outcome == Outcome::kFailed;
  counts.broken += broken;
  counts.latency_samples += send.latency_counts;
  counts.late += send.latency_counts && send.is_late;
  counts.servers_seen |= bit;
  if (broken) counts.servers_broken |= bit;
  if (send.latency_counts && send.is_late) counts.servers_late |= bit;
  if (!target) return;
  ++state.answers;
  if (send.outcome == Outcome::kComplete) return;
  ++state.failures;
  state.failing_servers |= bit;
  // Failures of a single server are not attributed to the version. When the breaker closes after
  // its time, the shift of the traffic starts again from 0.
  bool several = (state.failing_servers & (state.failing_servers - 1)) != 0;
  if (state.rollout.stage != Stage::kPromoting || !several || !IsFailing(state)) return;
  state.breaker_open_until = now + kBreakerOpenMs;
  state.answers = state.failures = 0;
  state.failing_servers = 0;
}

ProxyReport CanaryPolicy::MakeReport(base::Millis now, const std::string& service) const {
  ProxyReport report;
  auto at = active_.find(service);
  if (at == active_.end()) return report;
  const ServiceState& state = at->second;
  report.number = state.rollout.number;
  report.version = version_;
  report.age_ms = static_cast<uint32_t>(std::min<base::Millis>(now - state.adopted_at, UINT32_MAX));
  report.requests = state.requests;
  report.exposed = state.exposed;
  report.confirmed = state.rollout.stage == Stage::kReverting ||
                     (MaySendToNew(now, state) && ShiftedShare(now, state) >= 1);
  for (const auto& [label, row] : state.rows) report.rows.push_back(row);
  return report;
}

}  // namespace elderkeel::rollout
