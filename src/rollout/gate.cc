#include "rollout/gate.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::rollout {
namespace {
constexpr double kAimedShare = 0.6;    // of what may be exposed: what a canary gets
constexpr double kLargestShare = 0.9;  // and what it can never exceed, by count
constexpr double kMostCredit = 3;
constexpr double kBraked = 0.25;  // of its canary part that a proxy keeps that sees plain badness
constexpr uint32_t kPlainBad = 3;
constexpr base::Millis kBrakeMs = 1500;  // by then there is a verdict, or it was chance
constexpr size_t kMaxRows = 64;
}  // namespace

void Gate::Adopt(base::Millis now, const Rollouts& rollouts) {
  version_ = rollouts.version();
  in_force_ = rollouts.in_force();
  reverted_.clear();
  std::map<std::string, Part> active;
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    if (rollout.stage == Stage::kReverting || rollout.stage == Stage::kReverted) {
      reverted_[service] = rollout.order.version;
    }
    if (Ended(rollout.stage)) continue;
    Part part;
    auto before = active_.find(service);
    if (before != active_.end() && before->second.rollout.number == rollout.number) {
      part = std::move(before->second);
    } else {
      part.since = part.heard_at = now;
      // What is told right after the order needs no watcher's word yet.
      part.stage_at = now;
    }
    if (part.rollout.stage != rollout.stage) {
      part.stage_at = now;
      part.answers = part.bad = 0;
      part.bad_at = 0;
    }
    part.rollout = rollout;
    active[service] = std::move(part);
  }
  active_ = std::move(active);
}

void Gate::Heard(base::Millis now, const Touch& touch) {
  for (auto& [service, part] : active_) {
    // A watcher that knows of less than this proxy can't tell that nothing was taken back since.
    if (part.rollout.number == touch.number && touch.version >= version_) part.heard_at = now;
  }
}

bool Gate::moving() const {
  return std::any_of(active_.begin(), active_.end(), [](const auto& service) {
    return service.second.rollout.stage == Stage::kPromoting;
  });
}

std::vector<std::string> Gate::ActiveServices() const {
  std::vector<std::string> services;
  for (const auto& [service, part] : active_) services.push_back(service);
  return services;
}

const Rollout* Gate::RolloutOf(const std::string& service) const {
  auto at = active_.find(service);
  return at == active_.end() ? nullptr : &at->second.rollout;
}

bool Gate::PlainlyBad(const Part& part) {
  return part.bad >= kPlainBad && part.bad * 10 >= part.answers * 3;
}

// Slowly at first: what turns out bad now costs most of what may be exposed.
double Gate::Moved(base::Millis now, const Part& part) const {
  if (part.rollout.stage != Stage::kPromoting) return 0;
  double way = static_cast<double>(now - std::max(part.stage_at, part.braked_until)) /
               static_cast<double>(options_.ramp);
  way = std::clamp(way, 0.0, 1.0);
  return way * way;
}

Rule Gate::RuleOf(base::Millis now, const std::string& service) const {
  Rule rule;
  auto in_force = in_force_.find(service);
  auto turned_down = reverted_.find(service);
  if (turned_down != reverted_.end()) rule.barred = turned_down->second;
  auto at = active_.find(service);
  if (at == active_.end()) {
    if (in_force == in_force_.end() && rule.barred.empty()) return rule;
    rule.known = true;
    if (in_force != in_force_.end()) rule.main = in_force->second;
    return rule;
  }
  const Part& part = at->second;
  rule.known = true;
  rule.number = part.rollout.number;
  rule.main = part.rollout.from;
  const std::string& target = part.rollout.order.version;
  if (part.rollout.stage == Stage::kReverting) return rule;
  if (!MayTry(now, part)) {
    rule.barred = target;
  } else if (part.rollout.stage == Stage::kCanary) {
    rule.side = target;
    rule.few = true;
  } else {
    rule.main = target;
    if (Moved(now, part) < 1) rule.side = part.rollout.from;
  }
  return rule;
}

double Gate::CanaryShare() const { return options_.share * kAimedShare; }

void Gate::Earn(const std::string& service) {
  auto at = active_.find(service);
  if (at == active_.end()) return;
  Part& part = at->second;
  ++part.requests;
  part.credit = std::min(kMostCredit, part.credit + options_.share * kLargestShare);
}

bool Gate::TakesSide(base::Millis now, const std::string& service, uint64_t key) const {
  auto at = active_.find(service);
  if (at == active_.end() || !MayTry(now, at->second)) return false;
  const Part& part = at->second;
  double draw = static_cast<double>(base::Random(key ^ part.rollout.number).Next() >> 11) * 0x1p-53;
  double canary = CanaryShare();
  if (part.rollout.stage == Stage::kPromoting) {
    return draw >= canary + (1 - canary) * Moved(now, part);
  }
  if (part.rollout.stage != Stage::kCanary || part.credit < 1) return false;
  return draw < canary * (PlainlyBad(part) ? kBraked : 1);
}

bool Gate::SideForFurther(base::Millis now, const std::string& service) const {
  auto at = active_.find(service);
  return at != active_.end() && at->second.rollout.stage == Stage::kPromoting &&
         MayTry(now, at->second) && Moved(now, at->second) < 1;
}

void Gate::Sent(const std::string& service, const std::string& version) {
  auto at = active_.find(service);
  if (at == active_.end() || at->second.rollout.order.version != version) return;
  ++at->second.exposed;
  at->second.credit -= 1;
}

void Gate::Count(base::Millis now, const Send& send) {
  auto at = active_.find(send.service);
  if (at == active_.end()) return;
  Part& part = at->second;
  bool target = send.version == part.rollout.order.version;
  if (!target && !part.rollout.from.empty() && send.version != part.rollout.from) return;
  if (part.rows.size() >= kMaxRows && !part.rows.count(send.route)) return;
  Row& row = part.rows[send.route];
  row.route = RouteKey(send.route);
  Counts& counts = target ? row.new_version : row.old_version;
  uint64_t bit = 1ull << (base::Hash(send.server) % 64);
  bool broken = send.ending == Ending::kBroken;
  ++counts.answers;
  counts.failed += send.ending == Ending::kFailed;
  counts.broken += broken;
  counts.timed += send.timed;
  counts.late += send.timed && send.late;
  counts.seen |= bit;
  if (broken) counts.broken_at |= bit;
  if (send.timed && send.late) counts.late_at |= bit;
  if (!target) return;
  ++part.answers;
  if (send.ending == Ending::kWhole) return;
  ++part.bad;
  part.bad_at |= bit;
  // One server alone is no sign of the version. A brake lets go by itself, and the move begins
  // anew.
  bool several = (part.bad_at & (part.bad_at - 1)) != 0;
  if (part.rollout.stage != Stage::kPromoting || !several || !PlainlyBad(part)) return;
  part.braked_until = now + kBrakeMs;
  part.answers = part.bad = 0;
  part.bad_at = 0;
}

Tally Gate::Tell(base::Millis now, const std::string& service) const {
  Tally tally;
  auto at = active_.find(service);
  if (at == active_.end()) return tally;
  const Part& part = at->second;
  tally.number = part.rollout.number;
  tally.version = version_;
  tally.age_ms = static_cast<uint32_t>(std::min<base::Millis>(now - part.since, UINT32_MAX));
  tally.requests = part.requests;
  tally.exposed = part.exposed;
  tally.moved =
      part.rollout.stage == Stage::kReverting || (MayTry(now, part) && Moved(now, part) >= 1);
  for (const auto& [label, row] : part.rows) tally.rows.push_back(row);
  return tally;
}

}  // namespace elderkeel::rollout
