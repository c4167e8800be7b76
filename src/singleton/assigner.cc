#include "singleton/assigner.h"

namespace elderkeel::singleton {
namespace {
constexpr base::Millis kProposalTimeoutMs = 2000;  // after which a proposal counts as lost
}

consensus::MemberId PickOwner(const std::vector<Candidate>& candidates, consensus::MemberId except,
                              base::Millis max_silence) {
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    if (candidate.id == except || candidate.silent_ms > max_silence) continue;
    if (!best || (best->leader && !candidate.leader) ||
        (best->leader == candidate.leader && candidate.id < best->id)) {
      best = &candidate;
    }
  }
  return best ? best->id : 0;
}

std::optional<Assignment> Assigner::Assign(base::Millis now, const Assignment& current,
                                           consensus::MemberId owner, uint64_t boot_id) {
  if (owner == 0) return std::nullopt;
  if (proposed_epoch_ > current.epoch && now - proposed_at_ < kProposalTimeoutMs) {
    return std::nullopt;  // a proposal is under way
  }
  proposed_epoch_ = current.epoch + 1;
  proposed_at_ = now;
  return Assignment{owner, boot_id, current.epoch + 1};
}

std::optional<Assignment> Assigner::Review(base::Millis now, const Assignment& current,
                                           const std::vector<Candidate>& candidates) {
  for (const Candidate& candidate : candidates) {
    if (candidate.id == current.owner && candidate.silent_ms <= max_silence_) return std::nullopt;
  }
  return Assign(now, current, PickOwner(candidates, current.owner, max_silence_));
}

std::optional<Assignment> Assigner::OnResignation(base::Millis now, const Assignment& current,
                                                  const std::vector<Candidate>& candidates,
                                                  const Resignation& resignation) {
  if (resignation.epoch != current.epoch) return std::nullopt;  // of an earlier assignment
  if (resignation.boot_id != 0) {
    if (resignation.successor != current.owner || resignation.boot_id == current.boot_id) {
      return std::nullopt;
    }
    return Assign(now, current, current.owner, resignation.boot_id);
  }
  for (const Candidate& candidate : candidates) {
    if (candidate.id == resignation.successor && candidate.id != current.owner &&
        candidate.silent_ms <= max_silence_) {
      return Assign(now, current, candidate.id);
    }
  }
  return Assign(now, current, PickOwner(candidates, current.owner, max_silence_));
}

}  // namespace elderkeel::singleton
