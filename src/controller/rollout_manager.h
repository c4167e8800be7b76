#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "controller/context.h"
#include "rollout/coordinator.h"
#include "rollout/messages.h"
#include "rollout/observer.h"

namespace elderkeel::controller {

// A controller's part in roll-outs: as the leader it proposes their next steps, as an observer it
// counts what proxies report and votes.
class RolloutManager {
 public:
  // `context` outlives this object, and its node has started.
  explicit RolloutManager(Context* context);

  // The state of the roll-outs changed, by the log or by a snapshot.
  void OnStateChanged(base::Millis now);
  // Proposes an order; the index of its entry.
  std::optional<uint64_t> Propose(const rollout::RolloutOrder& order);
  // The leader's part.
  void Review(base::Millis now);
  // The observer's part: sends the votes that are due.
  void SendVotes(base::Millis now);
  void OnProxyReport(const base::Address& from, const rollout::ProxyReport& report);
  void OnVote(base::Millis now, const rollout::Vote& vote) { coordinator_.OnVote(now, vote); }

  const rollout::RolloutCoordinator& coordinator() const { return coordinator_; }

 private:
  std::vector<rollout::Candidate> ObserverCandidates() const;
  void ProposeDetectedVersions(base::Millis now);
  void LogStages();
  std::string WithRouteLabels(std::string reason) const;

  Context* context_;
  rollout::RolloutCoordinator coordinator_;
  rollout::Observer observer_;
  std::map<std::string, std::string> logged_stages_;  // by service
  base::Millis detect_at_ = 0;  // when versions are looked for next in the list of servers
};

}  // namespace elderkeel::controller
