#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "consensus/messages.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

// Tracks the writes that were passed to the store: which are unfinished, up to which entry the
// finished ones make the log durable, and which messages must not be sent before a write is
// finished because they depend on it.
class PendingWrites {
 public:
  // A message that must not be sent before a write is finished.
  struct DeferredMessage {
    uint64_t after = 0;  // sequence number of the write that it waits for
    OutgoingMessage message;
  };

  // Begins a write and returns its sequence number.
  uint64_t Start(base::Millis now);
  // The write, once finished, makes the log durable up to `last`.
  void SetDurableOnFinish(uint64_t sequence, Index last) { durable_on_finish_[sequence] = last; }
  // The log was truncated after `last`: later entries no longer count as durable, even if their
  // write was finished.
  void OnTruncated(Index last);
  // The log was loaded from disk or replaced by a snapshot, up to `last`. It counts as durable at
  // once; replies that depend on the write of the snapshot are deferred.
  void OnReplaced(Index last);
  // The store has finished this write and all before it; the log now ends with `last_index`.
  void OnFinished(uint64_t sequence, Index last_index);

  bool AllFinished() const { return finished_ == started_; }
  // Whether the oldest unfinished write was started more than `timeout` ago.
  bool IsStalled(base::Millis now, base::Millis timeout) const;
  // The last entry of the current log that is durable.
  Index durable_index() const { return durable_index_; }

  // Defers a message until all writes started so far are finished. If more than kMaxDeferred are
  // waiting already, the oldest is dropped.
  void Defer(OutgoingMessage message);
  // Removes and returns the messages whose writes are finished, in the order of Defer().
  std::vector<OutgoingMessage> TakeReady();
  // Drops all deferred messages: after a failed write none of them may be sent.
  void DropDeferred() { deferred_.clear(); }

  // For the digest of the model checker.
  uint64_t unfinished() const { return started_ - finished_; }
  uint64_t finished() const { return finished_; }
  const std::map<uint64_t, Index>& durable_on_finish() const { return durable_on_finish_; }
  const std::vector<DeferredMessage>& deferred() const { return deferred_; }

 private:
  static constexpr size_t kMaxDeferred = 256;

  uint64_t started_ = 0;
  uint64_t finished_ = 0;
  Index durable_index_ = 0;
  std::map<uint64_t, Index> durable_on_finish_;  // unfinished write -> last index that it covers
  std::map<uint64_t, base::Millis> started_at_;  // unfinished write -> when it was started
  std::vector<DeferredMessage> deferred_;
};

}  // namespace elderkeel::consensus
