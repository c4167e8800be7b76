#include "duty/duty.h"

namespace elderkeel::duty {
namespace {
constexpr base::Millis kProposalPatience = 2000;
}

consensus::MemberId PickHolder(const std::vector<Candidate>& candidates, consensus::MemberId except,
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

std::optional<Duty> Assignment::Name(base::Millis now, const Duty& current,
                                     consensus::MemberId holder, uint64_t life) {
  if (holder == 0) return std::nullopt;
  if (proposed_epoch_ > current.epoch && now - proposed_at_ < kProposalPatience) {
    return std::nullopt;  // one is on its way through the log
  }
  proposed_epoch_ = current.epoch + 1;
  proposed_at_ = now;
  return Duty{holder, life, current.epoch + 1};
}

std::optional<Duty> Assignment::Review(base::Millis now, const Duty& current,
                                       const std::vector<Candidate>& candidates) {
  for (const Candidate& c : candidates) {
    if (c.id == current.holder && c.silent_ms <= patience_) return std::nullopt;
  }
  return Name(now, current, PickHolder(candidates, current.holder, patience_));
}

std::optional<Duty> Assignment::Resigned(base::Millis now, const Duty& current,
                                         const std::vector<Candidate>& candidates,
                                         const Resignation& resignation) {
  if (resignation.epoch != current.epoch) return std::nullopt;  // from an earlier holder
  if (resignation.life != 0) {
    if (resignation.successor != current.holder || resignation.life == current.life) {
      return std::nullopt;
    }
    return Name(now, current, current.holder, resignation.life);
  }
  for (const Candidate& c : candidates) {
    if (c.id == resignation.successor && c.id != current.holder && c.silent_ms <= patience_) {
      return Name(now, current, c.id);
    }
  }
  return Name(now, current, PickHolder(candidates, current.holder, patience_));
}

}  // namespace elderkeel::duty
