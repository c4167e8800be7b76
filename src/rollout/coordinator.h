#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/messages.h"
#include "rollout/rollouts.h"

namespace elderkeel::rollout {

// A node that may become an observer.
struct Candidate {
  uint64_t id = 0;
  std::string zone;
};
// Chooses the observers of a service's roll-out by rendezvous hashing, from as many zones as
// possible. Candidates whose ids are in `keep`, the current observers, stay chosen.
std::vector<uint64_t> ChooseObservers(const std::string& service,
                                      const std::vector<Candidate>& candidates,
                                      const std::vector<uint64_t>& keep = {});

// Collects the observers' votes and decides when a roll-out enters its next stage. Every controller
// keeps one and calls Adopt, so that a new leader has the age of each order; only the leader calls
// Review. It does no I/O and reads no clock.
class RolloutCoordinator {
 public:
  struct Options {
    base::Millis vote_lifetime = 1300;   // after which a vote no longer counts
    base::Millis proposal_retry = 400;   // after which the same step is proposed again
    base::Millis revert_timeout = 1500;  // the longest time that `kReverting` may take
    // How long after the order's time limit the promotion is completed without the proxies that
    // have not confirmed it.
    base::Millis completion_grace = 5000;
  };
  explicit RolloutCoordinator(Options options) : options_(options) {}

  // Takes over the replicated state; called after each committed entry.
  void Adopt(base::Millis now, const Rollouts& rollouts);
  void OnVote(base::Millis now, const Vote& vote);
  // Returns the steps to propose. REQUIRES: this controller is the leader.
  std::vector<Step> Review(base::Millis now, const Rollouts& rollouts,
                           const std::vector<Candidate>& candidates);

  // The time since the order, in ms; 0 for a roll-out that is not tracked.
  base::Millis Age(base::Millis now, const Rollout& rollout) const;
  struct ReceivedVote {
    Vote vote;
    base::Millis at = 0;                    // when it was received
    std::vector<uint64_t> former_boot_ids;  // the observer's 16 most recent ones before `vote`'s
  };
  // The last vote on roll-out `number` of each observer, by observer. A delayed vote from before a
  // restart of the observer does not replace it.
  const std::map<uint64_t, ReceivedVote>& VotesOn(uint64_t number) const;

  // How long before `limit`, the order's time limit, a roll-out may start to move its traffic.
  // Every request that is sent after that to a version which then turns bad counts towards the
  // exposure in full, so the move starts no earlier than its own length requires.
  static base::Millis PromotionTime(base::Millis limit);

 private:
  struct TrackedRollout {
    base::Millis ordered_at = 0;
    Stage stage = Stage::kCanary;
    base::Millis stage_entered_at = 0;
    std::map<uint64_t, ReceivedVote> votes;
    base::Millis proposed_at = -100000;  // before any `now`: nothing has been proposed
    uint64_t proposed_version = 0;       // of Rollouts when the last step was proposed
  };
  struct VoteCount {
    size_t reporting = 0, good = 0, bad = 0;  // observers
    std::string reason;                       // of a vote for kBad; else of an abstention
    bool confirmed = false;                   // an observer has the confirmation of every proxy
    bool reporting_moved = false;  // no reporting proxy is unconfirmed, and at least half report
    std::string missing;           // which confirmations are missing
  };
  // Counts the votes of the roll-out's observers. `version` is that of the current Rollouts;
  // confirmations of an older one don't count.
  VoteCount CountVotes(base::Millis now, const Rollout& rollout, const TrackedRollout& tracked,
                       uint64_t version) const;
  // The next stage and its reason; the current stage if no change is due.
  std::pair<Stage, std::string> NextStage(base::Millis now, const Rollout& rollout,
                                          const TrackedRollout& tracked,
                                          const VoteCount& votes) const;

  Options options_;
  std::map<uint64_t, TrackedRollout> tracked_;  // by number
};

}  // namespace elderkeel::rollout
