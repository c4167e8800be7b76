#pragma once

#include <cstdint>

namespace elderkeel::dissemination {

// The versions of the state that the replicated log decides.
struct Versions {
  int64_t revision = 0;      // of the configuration
  uint64_t zone_drains = 0;  // of the orders to drain zones
  uint64_t rollouts = 0;     // of the state of the roll-outs

  // Whether everything here is at least as new as in `other`.
  bool Covers(const Versions& other) const {
    return revision >= other.revision && zone_drains >= other.zone_drains &&
           rollouts >= other.rollouts;
  }
  template <class A>
  void serialize(A& a) {
    a(revision, zone_drains, rollouts);
  }
};

// The version of a list of endpoints: the epoch of the catalog reader that published it and the
// reader's own sequence number. Epoch 0 means that no reader published it.
struct EndpointVersion {
  uint64_t epoch = 0;
  uint64_t sequence = 0;

  // Whether this list is of the same reader and at least as new. A later reader's list does not
  // cover an earlier one's: a claim that the earlier list is the newest comes from a reader that
  // has been replaced, and must not count.
  bool Covers(const EndpointVersion& other) const {
    return epoch > 0 && epoch == other.epoch && sequence >= other.sequence;
  }
  bool operator==(const EndpointVersion& other) const {
    return epoch == other.epoch && sequence == other.sequence;
  }
  bool IsOlderThan(const EndpointVersion& other) const {
    return other.epoch > epoch || (other.epoch == epoch && other.sequence > sequence);
  }
  template <class A>
  void serialize(A& a) {
    a(epoch, sequence);
  }
};

}  // namespace elderkeel::dissemination
