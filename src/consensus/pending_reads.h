#pragma once

#include <cstdint>
#include <vector>

namespace elderkeel::consensus {

// A leader's reads that wait for confirmation: a majority must answer a message that was sent after
// the read was requested. Otherwise a leader that was deposed meanwhile could return stale data
// (Raft, section 8).
class PendingReads {
 public:
  // Adds a read that is confirmed by replies to message `round` or to a later one.
  void Add(uint64_t token, uint64_t round) { reads_.push_back({token, round}); }
  // Removes the reads that a majority's replies up to `round` confirm; returns their tokens.
  std::vector<uint64_t> TakeConfirmed(uint64_t round);
  // Removes all reads and returns their tokens.
  std::vector<uint64_t> TakeAll() { return TakeConfirmed(UINT64_MAX); }

 private:
  struct Read {
    uint64_t token;
    uint64_t round;
  };
  std::vector<Read> reads_;  // in the order of Add()
};

}  // namespace elderkeel::consensus
