#include "singleton/assigner.h"

namespace elderkeel::singleton {
namespace {
constexpr base::Millis kProposalPatience = 2000;
}

consensus::MemberId PickOwner(const std::vector<Candidate>& candidates, consensus::MemberId except,
                              base::Millis patience) {
  const Candidate* best = nullptr;
  for (const Candidate& c : candidates) {
    if (c.id == except || c.silent_ms > patience) continue;
    if (!best || (best->leader && !c.leader) || (best->leader == c.leader && c.id < best->id)) {
      best = &c;
    }
  }
  return best ? best->id : 0;
}

std::optional<Assignment> Assigner::Name(base::Millis now, const Assignment& current,
                                         consensus::MemberId owner, uint64_t boot_id) {
  if (owner == 0) return std::nullopt;
  if (proposed_epoch_ > current.epoch && now - proposed_at_ < kProposalPatience) {
    return std::nullopt;  // one is on its way through the log
  }
  proposed_epoch_ = current.epoch + 1;
  proposed_at_ = now;
  return Assignment{owner, boot_id, current.epoch + 1};
}

std::optional<Assignment> Assigner::Review(base::Millis now, const Assignment& current,
                                           const std::vector<Candidate>& candidates) {
  for (const Candidate& c : candidates) {
    if (c.id == current.owner && c.silent_ms <= patience_) return std::nullopt;
  }
  return Name(now, current, PickOwner(candidates, current.owner, patience_));
}

std::optional<Assignment> Assigner::OnResignation(base::Millis now, const Assignment& current,
                                                  const std::vector<Candidate>& candidates,
                                                  const Resignation& resignation) {
  if (resignation.epoch != current.epoch) return std::nullopt;  // from an earlier holder
  if (resignation.boot_id != 0) {
    if (resignation.successor != current.owner || resignation.boot_id == current.boot_id) {
      return std::nullopt;
    }
    return Name(now, current, current.owner, resignation.boot_id);
  }
  for (const Candidate& c : candidates) {
    if (c.id == resignation.successor && c.id != current.owner && c.silent_ms <= patience_) {
      return Name(now, current, c.id);
    }
  }
  return Name(now, current, PickOwner(candidates, current.owner, patience_));
}

}  // namespace elderkeel::singleton
