#include "rollout/conductor.h"

#include <algorithm>
#include <set>

#include "base/random.h"

namespace elderkeel::rollout {
namespace {
constexpr size_t kWatchers = 3;
constexpr base::Millis kLeastMove = 2500;
constexpr base::Millis kMostMove = 4500;
constexpr base::Millis kNoVerdict = 1500;  // before the term: it can't be completed any more
constexpr base::Millis kLeaveOut = 700;  // before the term: those not heard are waited for no more
}  // namespace

std::vector<uint64_t> NameWatchers(const std::string& service,
                                   const std::vector<Candidate>& candidates,
                                   const std::vector<uint64_t>& keep) {
  std::vector<uint64_t> named;
  std::set<std::string> zones;
  std::vector<std::pair<uint64_t, const Candidate*>> order;
  uint64_t key = base::Hash(service);
  for (const Candidate& candidate : candidates) {
    if (std::find(keep.begin(), keep.end(), candidate.id) != keep.end()) {
      named.push_back(candidate.id);
      zones.insert(candidate.zone);
    } else {
      order.push_back({base::Random(key ^ candidate.id).Next(), &candidate});
    }
  }
  std::sort(order.begin(), order.end());
  for (bool other_zones : {true, false}) {
    for (const auto& [draw, candidate] : order) {
      if (named.size() >= kWatchers) return named;
      if (std::find(named.begin(), named.end(), candidate->id) != named.end()) continue;
      if (other_zones && !zones.insert(candidate->zone).second) continue;
      named.push_back(candidate->id);
    }
  }
  return named;
}

base::Millis Conductor::MoveTime(base::Millis term) {
  return std::min(term / 2, std::clamp<base::Millis>(term * 3 / 10, kLeastMove, kMostMove));
}

void Conductor::Adopt(base::Millis now, const Rollouts& rollouts) {
  std::map<uint64_t, Known> known;
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    auto before = known_.find(rollout.number);
    Known next;
    if (before != known_.end()) {
      next = std::move(before->second);
    } else {
      next.since = now - rollout.elapsed_ms;
      next.stage = rollout.stage;
      next.stage_at = now;
    }
    if (next.stage != rollout.stage) {
      next.stage = rollout.stage;
      next.stage_at = now;
    }
    known[rollout.number] = std::move(next);
  }
  known_ = std::move(known);
}

void Conductor::OnVote(base::Millis now, const Vote& vote) {
  auto at = known_.find(vote.number);
  if (at == known_.end()) return;
  Known& known = at->second;
  known.since = std::min(known.since, now - static_cast<base::Millis>(vote.age_ms));
  auto told = known.votes.find(vote.watcher);
  if (told == known.votes.end()) {
    if (known.votes.size() < 64) known.votes[vote.watcher] = {vote, now, {}};
    return;
  }
  // The word of a life that another has followed counts no more, however late it comes.
  Told& last = told->second;
  std::vector<uint64_t>& former = last.former_boot_ids;
  if (std::find(former.begin(), former.end(), vote.boot_id) != former.end()) return;
  if (vote.boot_id != last.vote.boot_id) {
    if (former.size() >= 16) former.erase(former.begin());
    former.push_back(last.vote.boot_id);
  }
  last.vote = vote;
  last.at = now;
}

base::Millis Conductor::Age(base::Millis now, const Rollout& rollout) const {
  auto at = known_.find(rollout.number);
  return at == known_.end() ? 0 : now - at->second.since;
}

const std::map<uint64_t, Conductor::Told>& Conductor::VotesOn(uint64_t number) const {
  static const std::map<uint64_t, Told> none;
  auto at = known_.find(number);
  return at == known_.end() ? none : at->second.votes;
}

Conductor::Count Conductor::CountVotes(base::Millis now, const Rollout& rollout, const Known& known,
                                       uint64_t version) const {
  Count count;
  std::string doubt;
  bool moved_heard = false, still_moving = false;
  for (uint64_t watcher : rollout.watchers) {
    auto at = known.votes.find(watcher);
    if (at == known.votes.end() || now - at->second.at > options_.fresh) continue;
    const Vote& vote = at->second.vote;
    ++count.heard;
    if (vote.opinion == Opinion::kGood) ++count.good;
    if (vote.opinion == Opinion::kBad) {
      ++count.bad;
      count.why = vote.why;
    } else if (!vote.why.empty()) {
      doubt = vote.why;
    }
    if (vote.version < version || vote.in_sight == 0) continue;
    bool all = vote.unmoved == 0 && vote.unheard == 0;
    count.moved |= all;
    moved_heard |= vote.heard * 2 >= vote.in_sight;
    still_moving |= vote.unmoved > 0;
    if (!all) {
      count.missing = std::to_string(vote.unmoved) + " of those heard and " +
                      std::to_string(vote.unheard) + " not heard have not confirmed";
    }
  }
  // A watcher that is cut off itself hears few who could still be moving.
  count.moved_heard = moved_heard && !still_moving;
  if (count.why.empty()) count.why = doubt;
  return count;
}

std::pair<Stage, std::string> Conductor::Next(base::Millis now, const Rollout& rollout,
                                              const Known& known, const Count& count) const {
  base::Millis term = rollout.order.over_ms;
  base::Millis age = now - known.since;
  bool bad = count.bad * 2 > count.heard;
  bool good = count.good * 2 > rollout.watchers.size();
  switch (rollout.stage) {
    case Stage::kCanary:
      if (bad) return {Stage::kReverting, "voted bad: " + count.why};
      if (age >= term - std::min(kNoVerdict, term / 4)) {
        return {Stage::kReverting,
                "no verdict by the term: " + (count.why.empty() ? "no vote" : count.why)};
      }
      if (age >= term - MoveTime(term) && good) return {Stage::kPromoting, "voted good"};
      break;
    case Stage::kPromoting:
      if (bad) return {Stage::kReverting, "voted bad while it was promoted: " + count.why};
      if (count.moved) return {Stage::kCompleted, "all proxies have moved"};
      // Those that can't be heard learn of it when they are; nothing of theirs can be waited for.
      if (age >= term - kLeaveOut && count.moved_heard) {
        return {Stage::kCompleted, "all proxies that are heard have moved; " + count.missing};
      }
      if (age >= term + options_.overtime) {
        return {Stage::kCompleted, "waited long enough; " + count.missing};
      }
      break;
    case Stage::kReverting:
      if (count.moved) return {Stage::kReverted, rollout.reason};
      if (now - known.stage_at >= options_.revert) {
        return {Stage::kReverted,
                rollout.reason + (count.missing.empty() ? "" : "; " + count.missing)};
      }
      break;
    case Stage::kCompleted:
    case Stage::kReverted:
      break;
  }
  return {rollout.stage, ""};
}

std::vector<Step> Conductor::Review(base::Millis now, const Rollouts& rollouts,
                                    const std::vector<Candidate>& candidates) {
  std::vector<Step> steps;
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    if (Ended(rollout.stage)) continue;
    auto at = known_.find(rollout.number);
    if (at == known_.end()) continue;
    Known& known = at->second;
    if (known.proposed_version == rollouts.version() &&
        now - known.proposed_at < options_.propose) {
      continue;
    }
    Count count = CountVotes(now, rollout, known, rollouts.version());
    auto [stage, why] = Next(now, rollout, known, count);
    Step step;
    step.number = rollout.number;
    step.elapsed_ms = now - known.since;
    if (stage != rollout.stage) {
      step.kind = Step::Kind::kStage;
      step.stage = stage;
      step.reason = why;
    } else {
      step.kind = Step::Kind::kWatchers;
      step.watchers = NameWatchers(service, candidates, rollout.watchers);
      // A watcher that is lost is replaced; one more than are there can't be named.
      if (step.watchers == rollout.watchers || step.watchers.empty()) continue;
      std::vector<uint64_t> sorted = step.watchers, before = rollout.watchers;
      std::sort(sorted.begin(), sorted.end());
      std::sort(before.begin(), before.end());
      if (sorted == before) continue;
    }
    known.proposed_at = now;
    known.proposed_version = rollouts.version();
    steps.push_back(std::move(step));
  }
  return steps;
}

}  // namespace elderkeel::rollout
