#include "rollout/coordinator.h"

#include <algorithm>
#include <set>

#include "base/random.h"

namespace elderkeel::rollout {
namespace {
constexpr size_t kObservers = 3;
constexpr base::Millis kMinPromotionMs = 2500;
constexpr base::Millis kMaxPromotionMs = 4500;
// Before the order's time limit: a roll-out that is still a canary can no longer complete in time.
constexpr base::Millis kVerdictDeadlineMs = 1500;
// Before the order's time limit: proxies that don't report are no longer waited for.
constexpr base::Millis kReportDeadlineMs = 700;
}  // namespace

std::vector<uint64_t> ChooseObservers(const std::string& service,
                                      const std::vector<Candidate>& candidates,
                                      const std::vector<uint64_t>& keep) {
  std::vector<uint64_t> chosen;
  std::set<std::string> zones;
  std::vector<std::pair<uint64_t, const Candidate*>> order;
  uint64_t key = base::Hash(service);
  for (const Candidate& candidate : candidates) {
    if (std::find(keep.begin(), keep.end(), candidate.id) != keep.end()) {
      chosen.push_back(candidate.id);
      zones.insert(candidate.zone);
    } else {
      order.emplace_back(base::Random(key ^ candidate.id).Next(), &candidate);
    }
  }
  std::sort(order.begin(), order.end());
  for (bool other_zones : {true, false}) {
    for (const auto& [draw, candidate] : order) {
      if (chosen.size() >= kObservers) return chosen;
      if (std::find(chosen.begin(), chosen.end(), candidate->id) != chosen.end()) continue;
      if (other_zones && !zones.insert(candidate->zone).second) continue;
      chosen.push_back(candidate->id);
    }
  }
  return chosen;
}

base::Millis RolloutCoordinator::PromotionTime(base::Millis limit) {
  return std::min(limit / 2,
                  std::clamp<base::Millis>(limit * 3 / 10, kMinPromotionMs, kMaxPromotionMs));
}

void RolloutCoordinator::Adopt(base::Millis now, const Rollouts& rollouts) {
  std::map<uint64_t, TrackedRollout> tracked;
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    auto before = tracked_.find(rollout.number);
    TrackedRollout next;
    if (before != tracked_.end()) {
      next = std::move(before->second);
    } else {
      next.ordered_at = now - rollout.elapsed_ms;
      next.stage = rollout.stage;
      next.stage_entered_at = now;
    }
    if (next.stage != rollout.stage) {
      next.stage = rollout.stage;
      next.stage_entered_at = now;
    }
    tracked[rollout.number] = std::move(next);
  }
  tracked_ = std::move(tracked);
}

void RolloutCoordinator::OnVote(base::Millis now, const Vote& vote) {
  auto at = tracked_.find(vote.number);
  if (at == tracked_.end()) return;
  TrackedRollout& tracked = at->second;
  tracked.ordered_at = std::min(tracked.ordered_at, now - static_cast<base::Millis>(vote.age_ms));
  auto received = tracked.votes.find(vote.observer);
  if (received == tracked.votes.end()) {
    if (tracked.votes.size() < 64) tracked.votes[vote.observer] = {vote, now, {}};
    return;
  }
  // A delayed vote of an earlier start of the observer's process must not replace a newer vote.
  ReceivedVote& last = received->second;
  std::vector<uint64_t>& former = last.former_boot_ids;
  if (std::find(former.begin(), former.end(), vote.boot_id) != former.end()) return;
  if (vote.boot_id != last.vote.boot_id) {
    if (former.size() >= 16) former.erase(former.begin());
    former.push_back(last.vote.boot_id);
  }
  last.vote = vote;
  last.at = now;
}

base::Millis RolloutCoordinator::Age(base::Millis now, const Rollout& rollout) const {
  auto at = tracked_.find(rollout.number);
  return at == tracked_.end() ? 0 : now - at->second.ordered_at;
}

const std::map<uint64_t, RolloutCoordinator::ReceivedVote>& RolloutCoordinator::VotesOn(
    uint64_t number) const {
  static const std::map<uint64_t, ReceivedVote> kNone;
  auto at = tracked_.find(number);
  return at == tracked_.end() ? kNone : at->second.votes;
}

RolloutCoordinator::VoteCount RolloutCoordinator::CountVotes(base::Millis now,
                                                             const Rollout& rollout,
                                                             const TrackedRollout& tracked,
                                                             uint64_t version) const {
  VoteCount votes;
  std::string abstention;
  bool reporting_moved = false, still_moving = false;
  for (uint64_t observer : rollout.observers) {
    auto at = tracked.votes.find(observer);
    if (at == tracked.votes.end() || now - at->second.at > options_.vote_lifetime) continue;
    const Vote& vote = at->second.vote;
    ++votes.reporting;
    if (vote.opinion == Opinion::kGood) ++votes.good;
    if (vote.opinion == Opinion::kBad) {
      ++votes.bad;
      votes.reason = vote.reason;
    } else if (!vote.reason.empty()) {
      abstention = vote.reason;
    }
    if (vote.version < version || vote.known_proxies == 0) continue;
    bool all = vote.unconfirmed == 0 && vote.not_reporting == 0;
    votes.confirmed |= all;
    reporting_moved |= vote.reporting * 2 >= vote.known_proxies;
    still_moving |= vote.unconfirmed > 0;
    if (!all) {
      votes.missing = std::to_string(vote.unconfirmed) + " of those heard and " +
                      std::to_string(vote.not_reporting) + " not heard have not confirmed";
    }
  }
  // One observer with an unconfirmed proxy is enough to wait: an observer that is partitioned
  // itself lacks the reports of proxies that may still be shifting.
  votes.reporting_moved = reporting_moved && !still_moving;
  if (votes.reason.empty()) votes.reason = abstention;
  return votes;
}

std::pair<Stage, std::string> RolloutCoordinator::NextStage(base::Millis now,
                                                            const Rollout& rollout,
                                                            const TrackedRollout& tracked,
                                                            const VoteCount& votes) const {
  base::Millis limit = rollout.order.time_limit_ms;
  base::Millis age = now - tracked.ordered_at;
  bool bad = votes.bad * 2 > votes.reporting;
  bool good = votes.good * 2 > rollout.observers.size();
  switch (rollout.stage) {
    case Stage::kCanary:
      if (bad) return {Stage::kReverting, "voted bad: " + votes.reason};
      if (age >= limit - std::min(kVerdictDeadlineMs, limit / 4)) {
        return {Stage::kReverting,
                "no verdict by the term: " + (votes.reason.empty() ? "no vote" : votes.reason)};
      }
      if (age >= limit - PromotionTime(limit) && good) return {Stage::kPromoting, "voted good"};
      break;
    case Stage::kPromoting:
      if (bad) return {Stage::kReverting, "voted bad while it was promoted: " + votes.reason};
      if (votes.confirmed) return {Stage::kCompleted, "all proxies have moved"};
      // Proxies that can't be reached adopt the new stage once they can be; waiting for them would
      // overrun the order's time limit.
      if (age >= limit - kReportDeadlineMs && votes.reporting_moved) {
        return {Stage::kCompleted, "all proxies that are heard have moved; " + votes.missing};
      }
      if (age >= limit + options_.completion_grace) {
        return {Stage::kCompleted, "waited long enough; " + votes.missing};
      }
      break;
    case Stage::kReverting:
      if (votes.confirmed) return {Stage::kReverted, rollout.reason};
      if (now - tracked.stage_entered_at >= options_.revert_timeout) {
        return {Stage::kReverted,
                rollout.reason + (votes.missing.empty() ? "" : "; " + votes.missing)};
      }
      break;
    case Stage::kCompleted:
    case Stage::kReverted:
      break;
  }
  return {rollout.stage, ""};
}

std::vector<Step> RolloutCoordinator::Review(base::Millis now, const Rollouts& rollouts,
                                             const std::vector<Candidate>& candidates) {
  std::vector<Step> steps;
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    if (IsFinal(rollout.stage)) continue;
    auto at = tracked_.find(rollout.number);
    if (at == tracked_.end()) continue;
    TrackedRollout& tracked = at->second;
    if (tracked.proposed_version == rollouts.version() &&
        now - tracked.proposed_at < options_.proposal_retry) {
      continue;
    }
    VoteCount votes = CountVotes(now, rollout, tracked, rollouts.version());
    auto [stage, why] = NextStage(now, rollout, tracked, votes);
    Step step;
    step.number = rollout.number;
    step.elapsed_ms = now - tracked.ordered_at;
    if (stage != rollout.stage) {
      step.kind = Step::Kind::kStage;
      step.stage = stage;
      step.reason = why;
    } else {
      step.kind = Step::Kind::kObservers;
      step.observers = ChooseObservers(service, candidates, rollout.observers);
      // A lost observer is dropped, and replaced if there is another candidate. Without any
      // candidate the observers stay. A different order of the same ids is no change.
      if (step.observers == rollout.observers || step.observers.empty()) continue;
      std::vector<uint64_t> sorted = step.observers, before = rollout.observers;
      std::sort(sorted.begin(), sorted.end());
      std::sort(before.begin(), before.end());
      if (sorted == before) continue;
    }
    tracked.proposed_at = now;
    tracked.proposed_version = rollouts.version();
    steps.push_back(std::move(step));
  }
  return steps;
}

}  // namespace elderkeel::rollout
