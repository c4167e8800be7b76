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

// A controller's part in roll-outs: as the leader it proposes their next steps; as an observer it
// sums up the reports of proxies and votes on the new version. Controller calls it on each tick,
// when the log's state changes and when messages arrive.
class RolloutManager {
 public:
  // `context` outlives this object, and its node has started.
  explicit RolloutManager(Context* context);

  // The state of the roll-outs changed, by entries of the log or by a snapshot.
  void OnStateChanged(base::Millis now);
  // Proposes an order. Returns the index of its entry; none if the log accepts no entry now.
  std::optional<uint64_t> Propose(const rollout::RolloutOrder& order);
  // For the leader: proposes the steps that are due.
  void Review(base::Millis now);
  // For an observer: sends the votes that are due to the leader.
  void SendVotes(base::Millis now);
  // For an observer: takes a proxy's report and renews the proxy's lease if the report asks for
  // that and this controller is in contact with a leader.
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
  base::Millis next_detection_at_ = 0;  // when versions are next detected in the list of servers
};

}  // namespace elderkeel::controller
