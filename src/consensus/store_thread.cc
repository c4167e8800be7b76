#include "consensus/store_thread.h"

#include <utility>

namespace elderkeel::consensus {

StoreThread::StoreThread(std::unique_ptr<Store> store, WriteFinished write_finished)
    : store_(std::move(store)),
      write_finished_(std::move(write_finished)),
      thread_([this] { Run(); }) {}

StoreThread::~StoreThread() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void StoreThread::Write(WriteRequest write) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(write));
  }
  wake_.notify_one();
}

void StoreThread::Run() {
  for (;;) {
    WriteRequest write;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) return;
      write = std::move(queue_.front());
      queue_.pop_front();
    }
    base::Status result = store_->Write(write);
    write_finished_(write.sequence, result);
    if (result) store_->Reclaim();
  }
}

}  // namespace elderkeel::consensus
