#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "base/error.h"
#include "consensus/store.h"

namespace elderkeel::consensus {

// Runs the writes of a store, in order, on a thread of its own: one that syncs is held by the disk,
// and heartbeats must not be. Write() may be called from any thread.
class StoreThread {
 public:
  // Called on this object's thread, after each write.
  using Done = std::function<void(uint64_t sequence, base::Status result)>;

  StoreThread(std::unique_ptr<Store> store, Done done);
  // Runs what is queued to its end first.
  ~StoreThread();
  StoreThread(const StoreThread&) = delete;
  StoreThread& operator=(const StoreThread&) = delete;

  void Write(WriteRequest write);

 private:
  void Run();

  std::unique_ptr<Store> store_;  // used by thread_ alone
  Done done_;
  std::mutex mutex_;  // guards queue_ and stopping_
  std::condition_variable wake_;
  std::deque<WriteRequest> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace elderkeel::consensus
