#pragma once

#include <cstdint>

namespace elderkeel::dissemination {

// How new that is which the log decides.
struct Versions {
  int64_t revision = 0;      // of the configuration
  uint64_t zone_drains = 0;  // of the orders to drain zones
  uint64_t rollouts = 0;     // of the state of the roll-outs

  bool Covers(const Versions& other) const {
    return revision >= other.revision && zone_drains >= other.zone_drains &&
           rollouts >= other.rollouts;
  }
  template <class A>
  void serialize(A& a) {
    a(revision, zone_drains, rollouts);
  }
};

// How new a list of endpoints is: the epoch of its reader and the reader's own count.
struct EndpointVersion {
  uint64_t epoch = 0;
  uint64_t sequence = 0;

  // A list of a later reader does not cover that of an earlier one: whoever still claims the
  // earlier one to be the newest has been replaced, and vouches for nothing.
  bool Covers(const EndpointVersion& other) const {
    return epoch > 0 && epoch == other.epoch && sequence >= other.sequence;
  }
  bool operator==(const EndpointVersion& other) const {
    return epoch == other.epoch && sequence == other.sequence;
  }
  bool Lacks(const EndpointVersion& other) const {
    return other.epoch > epoch || (other.epoch == epoch && other.sequence > sequence);
  }
  template <class A>
  void serialize(A& a) {
    a(epoch, sequence);
  }
};

}  // namespace elderkeel::dissemination
