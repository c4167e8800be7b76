#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "consensus/messages.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

// The writes that were handed to the store and are not finished, what of the log is durable by
// those that are, and the messages that rest on a write and must not leave before it is finished.
class PendingWrites {
 public:
  struct DeferredMessage {
    uint64_t after = 0;  // the write that it waits for
    OutgoingMessage message;
  };

  // Begins a write; its sequence number.
  uint64_t Start(base::Millis now);
  // The write covers the log up to `last`.
  void Cover(uint64_t sequence, Index last) { covers_[sequence] = last; }
  // The log ends with `last` now: what came after it counts for nothing, written or not.
  void OnTruncated(Index last);
  // The log up to `last` is on disk, or goes there as a whole with one write.
  void OnReplaced(Index last);
  // The store has finished a write, and so all before it; the log ends with `last_index` now.
  void OnFinished(uint64_t sequence, Index last_index);

  bool AllFinished() const { return finished_ == started_; }
  // Whether the oldest unfinished write is older than `timeout`.
  bool IsStalled(base::Millis now, base::Millis timeout) const;
  // The last entry that is synced, of the log as it is now.
  Index durable_index() const { return durable_index_; }

  // Keeps a message back until all writes started so far are finished. Of many the oldest go.
  void Defer(OutgoingMessage message);
  // Those that need wait no more, in order.
  std::vector<OutgoingMessage> TakeReady();
  void DropDeferred() { deferred_.clear(); }

  // For tests.
  uint64_t unfinished() const { return started_ - finished_; }
  uint64_t finished() const { return finished_; }
  const std::map<uint64_t, Index>& covers() const { return covers_; }
  const std::vector<DeferredMessage>& deferred() const { return deferred_; }

 private:
  static constexpr size_t kMaxDeferred = 256;

  uint64_t started_ = 0;
  uint64_t finished_ = 0;
  Index durable_index_ = 0;
  std::map<uint64_t, Index> covers_;             // unfinished write -> last index that it covers
  std::map<uint64_t, base::Millis> started_at_;  // unfinished write -> when it was started
  std::vector<DeferredMessage> deferred_;
};

}  // namespace elderkeel::consensus
