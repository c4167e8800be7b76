#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "consensus/types.h"

// A role that exactly one controller has: reading the platform's list of servers.
namespace elderkeel::singleton {

// Who has the role, as the log has it. The epoch is the fencing token: it rises with each
// assignment, and what was published under an earlier one gives way. An owner numbers what it
// publishes within its epoch in memory, so another start of its process needs an epoch of its own.
// Part of the log: the order of the fields is a format.
struct Assignment {
  consensus::MemberId owner = 0;  // 0 for nobody yet
  // Of the owner's process; 0 until it claims the role. It must claim before it publishes.
  uint64_t boot_id = 0;
  uint64_t epoch = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(owner, boot_id, epoch);
  }
};

// To the leader: an owner that stops, or can't do the work, gives up the role; or an owner that is
// another start of the one in the log claims the next epoch for itself.
struct Resignation {
  uint64_t epoch = 0;                 // of the assignment that it is about
  consensus::MemberId successor = 0;  // 0: the leader picks; the owner itself in a claim
  uint64_t boot_id = 0;               // in a claim: of the owner's process; else 0
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, successor, boot_id);
  }
};

struct Candidate {
  consensus::MemberId id = 0;
  base::Millis silent_ms = 0;  // since the leader last received something of it
  bool leader = false;
};

// The leader's part: decides when the role passes on and to whom. Pure; the result is proposed to
// the log, and is in force once it is committed.
class Assigner {
 public:
  // `patience`: an owner that is silent for longer loses the role.
  explicit Assigner(base::Millis patience) : patience_(patience) {}

  // The next assignment, if one is needed.
  std::optional<Assignment> Review(base::Millis now, const Assignment& current,
                                   const std::vector<Candidate>& candidates);
  std::optional<Assignment> OnResignation(base::Millis now, const Assignment& current,
                                          const std::vector<Candidate>& candidates,
                                          const Resignation& resignation);
  // Forgets what was proposed: leadership changed, or the proposal took effect.
  void Clear() { proposed_epoch_ = 0; }

 private:
  std::optional<Assignment> Assign(base::Millis now, const Assignment& current,
                                   consensus::MemberId owner, uint64_t boot_id = 0);

  base::Millis patience_;
  uint64_t proposed_epoch_ = 0;  // 0 for no proposal under way
  base::Millis proposed_at_ = 0;
};

// Whom to assign the role to: one that is not silent, and not the leader if there is a choice, so
// that one loss does not take both. 0 if there is nobody but `except`.
consensus::MemberId PickOwner(const std::vector<Candidate>& candidates, consensus::MemberId except,
                              base::Millis patience);

}  // namespace elderkeel::singleton
