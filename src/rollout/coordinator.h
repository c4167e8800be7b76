#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/messages.h"
#include "rollout/rollouts.h"

namespace elderkeel::rollout {

// A node that may watch.
struct Candidate {
  uint64_t id = 0;
  std::string zone;
};
// The observers of a service's next roll-out: those that a hash ring names for it, from as many
// zones as there are. `keep`: those of before that are still there.
std::vector<uint64_t> ChooseObservers(const std::string& service,
                                      const std::vector<Candidate>& candidates,
                                      const std::vector<uint64_t>& keep = {});

// The leader's part: takes the votes and decides when a roll-out enters its next stage. Every
// controller follows along, so that a new leader knows how old each order is. Pure.
class RolloutCoordinator {
 public:
  struct Options {
    base::Millis fresh = 1300;     // a vote, for so long
    base::Millis propose = 400;    // until the same step is proposed again
    base::Millis revert = 1500;    // that `kReverting` may take
    base::Millis overtime = 5000;  // past the term, until proxies that confirm nothing are left out
  };
  explicit RolloutCoordinator(Options options) : options_(options) {}

  // The state after each entry.
  void Adopt(base::Millis now, const Rollouts& rollouts);
  void OnVote(base::Millis now, const Vote& vote);
  // What is to be proposed; asked of the leader alone.
  std::vector<Step> Review(base::Millis now, const Rollouts& rollouts,
                           const std::vector<Candidate>& candidates);

  base::Millis Age(base::Millis now, const Rollout& rollout) const;
  struct ReceivedVote {
    Vote vote;
    base::Millis at = 0;
    std::vector<uint64_t> former_boot_ids;  // of the observer, the last 16
  };
  // By observer; of the newest start of each process.
  const std::map<uint64_t, ReceivedVote>& VotesOn(uint64_t number) const;

  // How long before its term a roll-out moves its traffic at the latest. All that is sent after
  // that to a version which then turns bad counts in full, so it is as late as the move allows.
  static base::Millis PromotionTime(base::Millis term);

 private:
  struct TrackedRollout {
    base::Millis since = 0;
    Stage stage = Stage::kCanary;
    base::Millis stage_at = 0;
    std::map<uint64_t, ReceivedVote> votes;
    base::Millis proposed_at = -100000;
    uint64_t proposed_version = 0;
  };
  struct VoteCount {
    size_t reporting = 0, good = 0, bad = 0;
    std::string why;               // of a vote that says bad, or of one that can't say good
    bool confirmed = false;        // some observer has it of every proxy
    bool reporting_moved = false;  // or at least of every proxy that reports
    std::string missing;
  };
  VoteCount CountVotes(base::Millis now, const Rollout& rollout, const TrackedRollout& tracked,
                       uint64_t version) const;
  // The next stage and why; the same stage if it is not time.
  std::pair<Stage, std::string> NextStage(base::Millis now, const Rollout& rollout,
                                          const TrackedRollout& tracked,
                                          const VoteCount& votes) const;

  Options options_;
  std::map<uint64_t, TrackedRollout> tracked_;  // by number
};

}  // namespace elderkeel::rollout
