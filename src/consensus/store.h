#pragma once

#include <memory>
#include <vector>

#include "base/error.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

// One atomic write to the store: all of it takes effect or none. RaftNode numbers its writes in
// ascending order and hands them to the store in that order.
struct WriteRequest {
  uint64_t sequence = 0;
  bool hard_state_changed = false;
  HardState hard_state;
  // The highest index known to be committed; 0 for unchanged. It isn't synced for its own sake: an
  // older value is still correct, since a committed entry stays committed.
  Index commit = 0;
  Index truncate_from = 0;  // removes this entry and all after it; 0 for none
  std::vector<Entry> entries;
  std::vector<Snapshot> snapshot;  // none or one
  Index drop_through =
      0;  // removes this entry and all before it, which the snapshot covers; 0 for none
};

// The content of a store when it is opened.
struct RestoredState {
  bool empty = true;  // no hard state was ever written
  HardState hard_state;
  Index commit = 0;  // the highest index known to be committed; 0 for unknown
  Snapshot snapshot;
  // With consecutive indexes; the first ones may be covered by the snapshot.
  std::vector<Entry> entries;
};

// The persistent state of one member: hard state, log entries and snapshot. Not thread-safe:
// Replica opens it, loads it and tries a write; from then on one StoreThread alone uses it.
class Store {
 public:
  virtual ~Store() = default;
  // Reads the whole store. Errors: kCorruption, the data is damaged for good; kIoError, a later
  // attempt may succeed.
  virtual base::Result<RestoredState> Load() = 0;
  // On success the hard state, snapshot, entries and truncation of the write are synced to disk.
  // After an error every later write fails too: the store must be opened again.
  virtual base::Status Write(const WriteRequest& write) = 0;
  // Frees the disk space of removed data if enough was written since the last time. Called between
  // writes.
  virtual void Reclaim() {}
};

// A store for machines without a disk: it discards all writes, so a member that uses it restarts
// empty.
std::unique_ptr<Store> MakeMemoryStore();

}  // namespace elderkeel::consensus
