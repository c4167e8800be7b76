#pragma once

#include <cstdint>
#include <vector>

#include "base/error.h"
#include "controller/context.h"
#include "discovery/platform_client.h"
#include "singleton/assigner.h"

namespace elderkeel::controller {

// Reads the platform's list of servers and publishes it when it has changed, while the log assigns
// the role of catalog reader to this controller. On the leader, it also decides which controller
// has that role. Controller calls it on each tick and when the log changes the assignment.
//
// Invariants: endpoints are published only under the epoch of the current assignment, which rises
// with each owner and each incarnation of its process; a reading that began under another epoch is
// dropped. The list as last read stays in force while the platform can't be read. The one exception
// is a node that has no endpoints at all: it publishes its first reading under epoch 0.
class CatalogPoller {
 public:
  // `context` outlives this object.
  explicit CatalogPoller(Context* context);

  // Starts a reading of the list if one is due.
  void Tick(base::Millis now);
  // For the leader: proposes an owner if there is none, or another one if the leader receives
  // nothing from it any more.
  void ReviewAssignment(base::Millis now);
  // An owner gives up the role, or claims it for the present incarnation of its process. Ignored
  // unless this controller leads.
  void OnResignation(base::Millis now, const singleton::Resignation& resignation);
  // The log assigned the role, to this controller or to another one.
  void OnAssigned(base::Millis now);
  void OnLeadershipLost() { assigner_.Clear(); }
  // Asks the leader to assign the role to another controller; `reason` is logged.
  void Resign(base::Millis now, const char* reason);

  // Whether the log assigns the role to this controller. This incarnation of the process may still
  // have to claim it.
  bool IsReader() const;
  // Whether this incarnation has published a list under the current epoch, which is then the newest
  // list as far as this controller's log says.
  bool HasPublished() const;

 private:
  std::vector<singleton::Candidate> Candidates(base::Millis now) const;
  void Propose(const singleton::Assignment& assignment);
  void SendToLeader(base::Millis now, const singleton::Resignation& resignation);
  void ReadWithoutEpoch(base::Millis now);
  void ClaimRole(base::Millis now);
  void OnRead(base::Result<discovery::Reading> reading);

  Context* context_;
  discovery::PlatformClient platform_;
  singleton::Assigner assigner_;
  base::Millis next_read_at_ = 0;
  base::Millis last_success_at_ = 0;  // last successful reading, or the start in the role if later
  base::Millis resigned_at_ = 0;
  base::Millis claimed_at_ = 0;
  uint64_t epoch_ = 0;     // the epoch that this incarnation reads under
  uint64_t sequence_ = 0;  // the number of the last list published under epoch_; 0 if none
  std::vector<discovery::Server> servers_;  // as last published
};

}  // namespace elderkeel::controller
