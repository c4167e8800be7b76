#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "configuration/change.h"
#include "rollout/rollouts.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::configuration {

// What OperatorApi requires of the controller: the replicated log, and which zones and services
// exist. Implemented by the controller; called on its event loop.
class ReplicatedLog {
 public:
  virtual ~ReplicatedLog() = default;
  // Returns whether this controller leads and has committed an entry in its term.
  virtual bool HasCommittedInTerm() const = 0;
  virtual bool is_leader() const = 0;
  virtual uint64_t term() const = 0;
  // Returns the address and port of the leader's operator API if another controller leads; nullopt
  // or empty if none is known.
  virtual std::optional<std::string> leader_control_address() const = 0;
  // Starts to confirm with a quorum that this controller still leads. If it returns true,
  // OperatorApi::OnReadFinished() is called once with `token`, which may happen before this
  // returns. Returns false if this controller doesn't lead or has not committed an entry in its
  // term: the caller retries later.
  virtual bool ConfirmRead(uint64_t token) = 0;
  // Proposes an entry and returns its index; OperatorApi::OnApplied() is called with it if the
  // entry is committed, after it was applied. Returns nullopt if the log accepts no proposals now.
  virtual std::optional<uint64_t> Propose(const Change& change) = 0;
  virtual std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) = 0;
  virtual std::optional<uint64_t> Propose(const rollout::RolloutOrder& order) = 0;
  // Returns whether the zone exists.
  virtual bool HasZone(const std::string& zone) const = 0;
  // Returns whether the newest configuration lists the service.
  virtual bool HasService(const std::string& service) const = 0;
};

}  // namespace elderkeel::configuration
