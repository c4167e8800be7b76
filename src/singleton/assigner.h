#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "consensus/types.h"

// Assigns the role that exactly one controller has: reading the platform's server list.
namespace elderkeel::singleton {

// The owner of the role, as committed to the log. The epoch is the fencing token: it increases with
// each assignment, and a list published under a later epoch replaces one of an earlier epoch. An
// owner keeps the sequence number of its lists in memory only, so a restarted owner needs a new
// epoch. The order of the fields is the stored format of the log.
struct Assignment {
  consensus::MemberId owner = 0;  // 0 if there is none yet
  // Of the owner's process; 0 until the owner claims the role, which it must do before it
  // publishes.
  uint64_t boot_id = 0;
  uint64_t epoch = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(owner, boot_id, epoch);
  }
};

// A message to the leader. Either an owner that stops, or can't read the list, gives up the role;
// or an owner whose process is not the one in the log claims the next epoch for itself.
struct Resignation {
  uint64_t epoch = 0;                 // of the assignment that it refers to
  consensus::MemberId successor = 0;  // 0: the leader chooses; in a claim: the owner itself
  uint64_t boot_id = 0;               // in a claim: of the owner's process; else 0
  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, successor, boot_id);
  }
};

// A controller that may become the owner.
struct Candidate {
  consensus::MemberId id = 0;
  base::Millis silent_ms = 0;  // since the leader last received a message from it
  bool leader = false;
};

// Decides on the leader when the role passes to another controller, and to which one. The leader
// proposes the returned assignment to the log; it is in force once committed. It does no I/O and
// reads no clock.
class Assigner {
 public:
  // `max_silence`: an owner that is silent for longer loses the role.
  explicit Assigner(base::Millis max_silence) : max_silence_(max_silence) {}

  // The next assignment to propose; none if the owner is not silent, nobody else can take the role,
  // or a proposal is under way.
  std::optional<Assignment> Review(base::Millis now, const Assignment& current,
                                   const std::vector<Candidate>& candidates);
  // The assignment to propose in answer to a resignation or claim; none if it refers to another
  // epoch than the current one, a claim is not of the current owner or repeats its boot id, nobody
  // else can take the role, or a proposal is under way.
  std::optional<Assignment> OnResignation(base::Millis now, const Assignment& current,
                                          const std::vector<Candidate>& candidates,
                                          const Resignation& resignation);
  // Forgets the proposal under way. Called when leadership is lost or an assignment is committed.
  void Clear() { proposed_epoch_ = 0; }

 private:
  std::optional<Assignment> Assign(base::Millis now, const Assignment& current,
                                   consensus::MemberId owner, uint64_t boot_id = 0);

  base::Millis max_silence_;
  uint64_t proposed_epoch_ = 0;  // 0 if no proposal is under way
  base::Millis proposed_at_ = 0;
};

// Chooses an owner that has not been silent for more than `max_silence`. The leader is chosen only
// if there is nobody else, so that one failure doesn't lose both the leader and the owner. Never
// chooses `except`. Returns 0 if no candidate is left.
consensus::MemberId PickOwner(const std::vector<Candidate>& candidates, consensus::MemberId except,
                              base::Millis max_silence);

}  // namespace elderkeel::singleton
