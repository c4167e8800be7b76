#pragma once

#include <leveldb/env.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "base/error.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

// Where a member keeps what it must not forget.
class Store {
 public:
  virtual ~Store() = default;
  virtual base::Result<RestoredState> Load() = 0;
  // On disk, synced, when it returns success. After an error every later write is refused too: the
  // store must be opened anew.
  virtual base::Status Write(const WriteRequest& write) = 0;
  // Gives back the room of what was dropped, if enough was written since; called between writes.
  virtual void Reclaim() {}
};

// The file system below a store. What `env` makes, renames or removes in a folder outlives a loss
// of power once the folder was synced, which leveldb::Env has no call for.
struct FileSystem {
  leveldb::Env* env;
  // NotSupported: the folder may not be opened for reading, so it can't be synced.
  std::function<leveldb::Status(const std::string& folder)> sync_folder;
};
const FileSystem& RealFileSystem();

// LevelDB in `directory`, which is made if need be, and so is the folder that holds it. A store
// that can't be read is no store: the caller begins anew with another identity, which is safe since
// the old one then never votes again.
base::Result<std::unique_ptr<Store>> OpenDiskStore(const std::string& directory,
                                                   const FileSystem& files = RealFileSystem());
// Whether a store, or what Load found in it, is damaged for good. Such a store is no store: the
// caller moves it aside and begins anew with another identity, which is safe since the old one then
// never votes again.
bool IsCorruption(const base::Error& error);
// Renames the folder of a store to `directory`.unreadable; one that is there gives way.
base::Status Quarantine(const std::string& directory, const FileSystem& files = RealFileSystem());
// For machines without a disk: everything goes with the process.
std::unique_ptr<Store> MakeMemoryStore();

// Runs the writes of a store on a thread of its own: one that syncs is held by the disk, and
// heartbeats must not be.
class StoreThread {
 public:
  // `done` is called on this thread.
  using Done = std::function<void(uint64_t sequence, base::Status result)>;
  StoreThread(std::unique_ptr<Store> store, Done done);
  ~StoreThread();
  void Write(WriteRequest write);
  size_t queued();

 private:
  void Run();

  std::unique_ptr<Store> store_;
  Done done_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<WriteRequest> queue_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace elderkeel::consensus
