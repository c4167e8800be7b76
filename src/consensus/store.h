#pragma once

#include <memory>
#include <vector>

#include "base/error.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

// One atomic write to the store. Writes take effect in the order of their sequence.
struct WriteRequest {
  uint64_t sequence = 0;
  bool hard_state_changed = false;
  HardState hard_state;
  Index commit = 0;  // a hint, not synced: what is known to be committed stays so; 0 for none
  Index truncate_from = 0;  // removes this entry and all after it; 0 for none
  std::vector<Entry> entries;
  std::vector<Snapshot> snapshot;  // none or one; entries up to `drop_to` go with it
  Index drop_to = 0;
};

// What a store holds when it is opened.
struct RestoredState {
  bool empty = true;  // nothing was ever written
  HardState hard_state;
  Index commit = 0;  // known to be committed; 0 for unknown
  Snapshot snapshot;
  std::vector<Entry> entries;  // without a gap; may begin before the snapshot's end
};

// Where a member keeps what it must not forget. Not thread-safe: used by one StoreThread.
class Store {
 public:
  virtual ~Store() = default;
  // kCorruption: damaged for good. kIoError: may be read later.
  virtual base::Result<RestoredState> Load() = 0;
  // On success the write is on disk, synced. After an error every later write is refused too: the
  // store must be opened anew.
  virtual base::Status Write(const WriteRequest& write) = 0;
  // Gives back the room of what was dropped, if enough was written since; called between writes.
  virtual void Reclaim() {}
};

// For machines without a disk: everything goes with the process.
std::unique_ptr<Store> MakeMemoryStore();

}  // namespace elderkeel::consensus
