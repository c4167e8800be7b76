#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "discovery/endpoints.h"
#include "dissemination/versions.h"
#include "load/load_tracker.h"
#include "rollout/rollouts.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::dissemination {

// What a node has, in a few bytes; two nodes that compare them find every gap.
struct Digest {
  int64_t revision = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  uint64_t zone_drains = 0;
  uint64_t rollouts = 0;
  int32_t endpoints_read_age_ms = -1;  // since the platform was last read for it; -1 for never
  bool answer = false;                 // the sender would like the receiver's digest
  bool reliable = false;               // sent, and to be answered, over a connection
  load::LoadReport load;               // rides along; a proxy's alone
  template <class A>
  void serialize(A& a) {
    a(revision, epoch, sequence, zone_drains, rollouts, endpoints_read_age_ms, answer, reliable,
      load);
  }
};

// Asks for what the receiver has beyond this.
struct PullRequest {
  int64_t revision = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  uint64_t zone_drains = 0;
  uint64_t rollouts = 0;
  bool exact = false;    // the sender has the list just as (epoch, sequence) names it
  int64_t asked_at = 0;  // milliseconds of the sender's steady clock; comes back in the update
  template <class A>
  void serialize(A& a) {
    a(revision, epoch, sequence, zone_drains, rollouts, exact);
  }
  bool has_later_fields() const { return asked_at != 0; }
  template <class A>
  void SerializeLaterFields(A& a) {
    a(asked_at);
  }
};

// A committed configuration: the document, or the patch that leads to it from `base`.
struct ConfigurationUpdate {
  int64_t revision = 0;
  int64_t base = 0;
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(revision, base, body);
  }
};

// All endpoints, or what changed in them since (base_epoch, base_sequence).
struct EndpointUpdate {
  static constexpr int64_t kUnasked = -1;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  bool complete = true;
  bool exact = true;  // just as its reader read it, so that changes may be built upon it
  uint64_t base_epoch = 0;
  uint64_t base_sequence = 0;
  int32_t age_ms = 0;  // since the platform was asked for it, at most, when this was sent
  std::vector<discovery::Server> servers;  // all, or those that are new or changed
  std::vector<std::string> gone;
  // When the receiver asked for this, by its own clock; `kUnasked`, or 0 from a sender that does
  // not say.
  int64_t asked_at = 0;
  // The list that the reader had when it first read the platform under this epoch.
  EndpointVersion succeeds;
  template <class A>
  void serialize(A& a) {
    a(epoch, sequence, complete, exact, base_epoch, base_sequence, age_ms, servers, gone);
  }
  bool has_later_fields() const { return asked_at != 0; }
  template <class A>
  void SerializeLaterFields(A& a) {
    a(asked_at, succeeds);
  }
};

// Which zones are evacuated, by the log's order.
struct ZoneDrainUpdate {
  zone_drain::DrainedZones drained_zones;
  template <class A>
  void serialize(A& a) {
    a(drained_zones);
  }
};

// Which versions are in force and which roll-outs are under way, by the log's order.
struct RolloutUpdate {
  rollout::Rollouts rollouts;
  template <class A>
  void serialize(A& a) {
    a(rollouts);
  }
};

}  // namespace elderkeel::dissemination
