#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "consensus/types.h"

namespace elderkeel::singleton {

// Who watches the platform's list, as the log has it. The epoch rises at each change of holder, so
// news of an earlier holder can be told from that of a later one. A holder numbers its news within
// its epoch from memory, so another life of the same holder needs an epoch of its own.
struct Assignment {
  consensus::MemberId owner = 0;
  uint64_t boot_id = 0;  // of the holder's process; another life must claim before it publishes
  uint64_t epoch = 0;
  template <class A>
  void serialize(A& a) {
    a(owner, boot_id, epoch);
  }
};

// To the leader: a holder that leaves, or can't read the platform, names its successor; a holder
// that is another life of the one in the log claims the next epoch for itself.
struct Resignation {
  uint64_t epoch = 0;
  consensus::MemberId successor = 0;  // 0: the leader picks
  uint64_t boot_id = 0;               // a claim by the holder: its life
  template <class A>
  void serialize(A& a) {
    a(epoch, successor, boot_id);
  }
};

struct Candidate {
  consensus::MemberId id = 0;
  base::Millis silent_ms = 0;
  bool leader = false;
};

// The leader's part, pure: decides when the duty must pass on and to whom. The result is proposed
// to the log; it holds once a majority has it.
class Assigner {
 public:
  explicit Assigner(base::Millis patience) : patience_(patience) {}

  std::optional<Assignment> Review(base::Millis now, const Assignment& current,
                                   const std::vector<Candidate>& candidates);
  std::optional<Assignment> OnResignation(base::Millis now, const Assignment& current,
                                          const std::vector<Candidate>& candidates,
                                          const Resignation& resignation);
  // Forgets what was proposed: leadership changed, or the proposal took effect.
  void Clear() { proposed_epoch_ = 0; }

 private:
  std::optional<Assignment> Name(base::Millis now, const Assignment& current,
                                 consensus::MemberId owner, uint64_t boot_id = 0);

  base::Millis patience_;
  uint64_t proposed_epoch_ = 0;
  base::Millis proposed_at_ = 0;
};

// Whom a holder should name, or a leader take: one that is heard, and not the leader if there is a
// choice, so that one loss does not take both.
consensus::MemberId PickOwner(const std::vector<Candidate>& candidates, consensus::MemberId except,
                              base::Millis patience);

}  // namespace elderkeel::singleton
