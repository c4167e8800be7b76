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

// The versions of everything that a node holds. Two nodes that exchange digests find out everything
// that either of them lacks.
struct Digest {
  int64_t revision = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  uint64_t zone_drains = 0;
  uint64_t rollouts = 0;
  int32_t endpoints_read_age_ms = -1;  // since the platform was read for the list; -1 for never
  bool answer = false;                 // the sender requests the receiver's digest
  bool reliable = false;               // sent over a connection; the answer uses one too
  load::LoadReport load;               // the sender's load; set by proxies only
  template <class A>
  void serialize(A& a) {
    a(revision, epoch, sequence, zone_drains, rollouts, endpoints_read_age_ms, answer, reliable,
      load);
  }
};

// Requests all state of the receiver that is newer than the versions named here.
struct PullRequest {
  int64_t revision = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  uint64_t zone_drains = 0;
  uint64_t rollouts = 0;
  bool unmodified = false;   // the sender's list is an unmodified copy of (epoch, sequence)
  int64_t requested_at = 0;  // sender's steady clock, milliseconds; returned in the update
  template <class A>
  void serialize(A& a) {
    a(revision, epoch, sequence, zone_drains, rollouts, unmodified);
  }
  bool has_later_fields() const { return requested_at != 0; }
  template <class A>
  void SerializeLaterFields(A& a) {
    a(requested_at);
  }
};

// A committed configuration: the complete document if `base` is 0, else the patch that leads from
// revision `base` to `revision`.
struct ConfigurationUpdate {
  int64_t revision = 0;
  int64_t base = 0;
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(revision, base, body);
  }
};

// All endpoints, or the changes to them since (base_epoch, base_sequence).
struct EndpointUpdate {
  static constexpr int64_t kUnsolicited =
      -1;  // `requested_at` of an update that answers no request
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  bool complete = true;
  bool unmodified =
      true;  // an unmodified copy of the reader's list, so that changes may be based on it
  uint64_t base_epoch = 0;
  uint64_t base_sequence = 0;
  int32_t age_ms = 0;  // upper bound of the time from the read of the platform to the sending
  std::vector<discovery::Server> servers;  // all of them, or the new and changed ones
  std::vector<std::string> removed;        // identifiers of removed servers
  // When the receiver requested this, on the receiver's clock; `kUnsolicited` if it did not; 0 from
  // a program version that does not send this field.
  int64_t requested_at = 0;
  // The list that the reader held when it first published under this epoch.
  EndpointVersion predecessor;
  template <class A>
  void serialize(A& a) {
    a(epoch, sequence, complete, unmodified, base_epoch, base_sequence, age_ms, servers, removed);
  }
  bool has_later_fields() const { return requested_at != 0; }
  template <class A>
  void SerializeLaterFields(A& a) {
    a(requested_at, predecessor);
  }
};

// The drained zones, at a version that the log assigns.
struct ZoneDrainUpdate {
  zone_drain::DrainedZones drained_zones;
  template <class A>
  void serialize(A& a) {
    a(drained_zones);
  }
};

// The versions in force and the roll-outs in progress, at a version that the log assigns.
struct RolloutUpdate {
  rollout::Rollouts rollouts;
  template <class A>
  void serialize(A& a) {
    a(rollouts);
  }
};

}  // namespace elderkeel::dissemination
