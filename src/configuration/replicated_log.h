#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "configuration/change.h"
#include "rollout/rollouts.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::configuration {

// What the operator's interface needs of the log, and of what is known beside it.
class ReplicatedLog {
 public:
  virtual ~ReplicatedLog() = default;
  // Leads, and has committed an entry of its own term.
  virtual bool HasCommittedInTerm() const = 0;
  virtual bool is_leader() const = 0;
  virtual uint64_t term() const = 0;
  // Address and port where the operator reaches the leader, if another leads.
  virtual std::optional<std::string> leader_control() const = 0;
  // Confirms with a majority that this still leads; OnReadFinished(token) follows, once. False if
  // it does not lead or has not committed an entry in its term: ask again.
  virtual bool ConfirmRead(uint64_t token) = 0;
  // The index of the entry; OnApplied(index) follows if it is committed. None if the log takes
  // nothing now.
  virtual std::optional<uint64_t> Propose(const Change& change) = 0;
  virtual std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) = 0;
  virtual std::optional<uint64_t> Propose(const rollout::RolloutOrder& order) = 0;
  // Whether there is such a zone.
  virtual bool HasZone(const std::string& zone) const = 0;
  // Whether the newest configuration has such a service.
  virtual bool HasService(const std::string& service) const = 0;
};

}  // namespace elderkeel::configuration
