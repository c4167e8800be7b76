#pragma once

#include <cstdint>
#include <vector>

namespace elderkeel::consensus {

// Reads that wait until a majority has answered a message that was sent after they were asked for
// (Raft, section 8: a leader confirms that it has not been deposed before it answers).
class PendingReads {
 public:
  // The read is confirmed by answers to `round` or to a later message.
  void Add(uint64_t token, uint64_t round) { reads_.push_back({token, round}); }
  // The tokens of those that answers up to `round` confirm; they are pending no more.
  std::vector<uint64_t> TakeConfirmed(uint64_t round);
  std::vector<uint64_t> TakeAll() { return TakeConfirmed(UINT64_MAX); }

 private:
  struct Read {
    uint64_t token;
    uint64_t round;
  };
  std::vector<Read> reads_;  // as they came
};

}  // namespace elderkeel::consensus
