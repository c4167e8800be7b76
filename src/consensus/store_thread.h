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

// Executes the writes of a store in order on its own thread, so that a slow disk sync doesn't delay
// the heartbeats that the event loop sends. Write() may be called from any thread.
class StoreThread {
 public:
  // Called on this object's thread after each write, with the write's sequence number.
  using WriteFinished = std::function<void(uint64_t sequence, base::Status result)>;

  StoreThread(std::unique_ptr<Store> store, WriteFinished write_finished);
  // Executes all queued writes, then joins the thread.
  ~StoreThread();
  StoreThread(const StoreThread&) = delete;
  StoreThread& operator=(const StoreThread&) = delete;

  // Queues a write and returns at once.
  void Write(WriteRequest write);

 private:
  void Run();

  std::unique_ptr<Store> store_;  // used only by thread_
  WriteFinished write_finished_;
  std::mutex mutex_;  // guards queue_ and stopping_
  std::condition_variable wake_;
  std::deque<WriteRequest> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace elderkeel::consensus
