#include "singleton/assigner.h"

namespace elderkeel::singleton {
namespace {
constexpr base::Millis kProposalTimeoutMs = 2000;
}

consensus::MemberId PickOwner(const std::vector<Candidate>& candidates, consensus::MemberId except,
                              base::Millis patience) {
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    if (candidate.id == except || candidate.silent_ms > patience) continue;
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
    return std::nullopt;  // one is on its way through the log
  }
  proposed_epoch_ = current.epoch + 1;
  proposed_at_ = now;
  return Assignment{owner, boot_id, current.epoch + 1};
}

std::optional<Assignment> Assigner::Review(base::Millis now, const Assignment& current,
                                           const std::vector<Candidate>& candidates) {
  for (const Candidate& candidate : candidates) {
    if (candidate.id == current.owner && candidate.silent_ms <= patience_) return std::nullopt;
  }
  return Assign(now, current, PickOwner(candidates, current.owner, patience_));
}

std::optional<Assignment> Assigner::OnResignation(base::Millis now, const Assignment& current,
                                                  const std::vector<Candidate>& candidates,
                                                  const Resignation& resignation) {
  if (resignation.epoch != current.epoch) return std::nullopt;  // from an earlier owner
  if (resignation.boot_id != 0) {
    if (resignation.successor != current.owner || resignation.boot_id == current.boot_id) {
      return std::nullopt;
    }
    return Assign(now, current, current.owner, resignation.boot_id);
  }
  for (const Candidate& candidate : candidates) {
    if (candidate.id == resignation.successor && candidate.id != current.owner &&
        candidate.silent_ms <= patience_) {
      return Assign(now, current, candidate.id);
    }
  }
  return Assign(now, current, PickOwner(candidates, current.owner, patience_));
}

}  // namespace elderkeel::singleton
