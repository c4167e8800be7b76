#include "consensus/store.h"

#include <fcntl.h>
#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>
#include <unistd.h>

#include "wire/frame.h"

namespace elderkeel::consensus {
namespace {

// LevelDB renames CURRENT and then removes what the old one named, without syncing the folder in
// between; after a power loss the removals could have lasted and the rename not. Syncing the folder
// at each rename orders the two.
class OrderedEnv : public leveldb::EnvWrapper {
 public:
  OrderedEnv() : leveldb::EnvWrapper(leveldb::Env::Default()) {}

  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    leveldb::Status status = target()->RenameFile(from, to);
    if (!status.ok()) return status;
    std::string folder = to.substr(0, to.rfind('/'));
    int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return leveldb::Status::IOError(folder, "cannot be opened to sync it");
    int failed = fsync(fd);
    close(fd);
    if (failed != 0) return leveldb::Status::IOError(folder, "cannot be synced");
    return status;
  }
};

std::string EntryKey(Index index) {
  std::string key = "e";
  for (int shift = 56; shift >= 0; shift -= 8) key.push_back(static_cast<char>(index >> shift));
  return key;
}

class DiskStore : public Store {
 public:
  explicit DiskStore(std::string directory) : directory_(std::move(directory)) {}

  base::Result<bool> Open() {
    leveldb::Options options;
    options.create_if_missing = true;
    options.env = &env_;
    options.write_buffer_size = 512 << 10;
    options.max_open_files = 32;
    options.compression = leveldb::kNoCompression;
    cache_.reset(leveldb::NewLRUCache(64 << 10));
    options.block_cache = cache_.get();
    leveldb::DB* db = nullptr;
    leveldb::Status status = leveldb::DB::Open(options, directory_, &db);
    if (!status.ok()) return base::Error{"store.open", "", status.ToString()};
    db_.reset(db);
    return true;
  }

  base::Result<Restored> Load() override {
    Restored restored;
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    std::string value;
    leveldb::Status status = db_->Get(options, "hard", &value);
    if (status.IsNotFound()) return restored;
    if (!status.ok()) return base::Error{"store.load", "", status.ToString()};
    auto hard = wire::Decode<HardState>(value);
    if (!hard) return base::Error{"store.load", "", "the vote can't be read"};
    restored.empty = false;
    restored.hard = *hard;
    status = db_->Get(options, "snapshot", &value);
    if (status.ok()) {
      auto snapshot = wire::Decode<Snapshot>(value);
      if (!snapshot) return base::Error{"store.load", "", "the snapshot can't be read"};
      restored.snapshot = *snapshot;
    } else if (!status.IsNotFound()) {
      return base::Error{"store.load", "", status.ToString()};
    }
    if (db_->Get(options, "commit", &value).ok()) {
      if (auto commit = wire::Decode<Index>(value)) restored.commit = *commit;
    }
    std::unique_ptr<leveldb::Iterator> at(db_->NewIterator(options));
    for (at->Seek("e"); at->Valid() && at->key().starts_with("e"); at->Next()) {
      auto entry = wire::Decode<Entry>(std::string_view(at->value().data(), at->value().size()));
      if (!entry) return base::Error{"store.load", "", "an entry can't be read"};
      if (!restored.entries.empty() && entry->index != restored.entries.back().index + 1) {
        return base::Error{"store.load", "", "the log has a gap"};
      }
      restored.entries.push_back(std::move(*entry));
    }
    if (!at->status().ok()) return base::Error{"store.load", "", at->status().ToString()};
    if (!restored.entries.empty() && restored.entries.front().index > restored.snapshot.index + 1) {
      return base::Error{"store.load", "", "the log begins after its snapshot"};
    }
    return restored;
  }

  base::Result<bool> Write(const Persist& write) override {
    leveldb::WriteBatch batch;
    if (write.hard_changed) batch.Put("hard", wire::Encode(write.hard));
    if (!write.snapshot.empty()) batch.Put("snapshot", wire::Encode(write.snapshot[0]));
    if (write.drop_to > 0) Drop(&batch, 0, write.drop_to);
    if (write.truncate_from > 0) Drop(&batch, write.truncate_from, UINT64_MAX);
    for (const Entry& entry : write.entries) batch.Put(EntryKey(entry.index), wire::Encode(entry));
    if (write.commit > 0) batch.Put("commit", wire::Encode(write.commit));
    leveldb::WriteOptions options;
    options.sync = write.hard_changed || !write.snapshot.empty() || !write.entries.empty() ||
                   write.truncate_from > 0;
    leveldb::Status status = db_->Write(options, &batch);
    if (!status.ok()) return base::Error{"store.write", "", status.ToString()};
    return true;
  }

 private:
  void Drop(leveldb::WriteBatch* batch, Index from, Index to) {
    std::unique_ptr<leveldb::Iterator> at(db_->NewIterator(leveldb::ReadOptions()));
    std::string last = EntryKey(to);
    for (at->Seek(EntryKey(from)); at->Valid() && at->key().compare(last) <= 0; at->Next()) {
      batch->Delete(at->key());
    }
  }

  std::string directory_;
  OrderedEnv env_;
  std::unique_ptr<leveldb::Cache> cache_;
  std::unique_ptr<leveldb::DB> db_;
};

class MemoryStore : public Store {
 public:
  base::Result<Restored> Load() override { return Restored(); }
  base::Result<bool> Write(const Persist&) override { return true; }
};

}  // namespace

base::Result<std::unique_ptr<Store>> OpenDiskStore(const std::string& directory) {
  auto store = std::make_unique<DiskStore>(directory);
  auto opened = store->Open();
  if (!opened) return opened.error();
  return std::unique_ptr<Store>(std::move(store));
}

std::unique_ptr<Store> MakeMemoryStore() { return std::make_unique<MemoryStore>(); }

StoreThread::StoreThread(std::unique_ptr<Store> store, Done done)
    : store_(std::move(store)), done_(std::move(done)), thread_([this] { Run(); }) {}

StoreThread::~StoreThread() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    ending_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void StoreThread::Write(Persist write) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(write));
  }
  wake_.notify_one();
}

size_t StoreThread::queued() {
  std::lock_guard<std::mutex> lock(mutex_);
  return queue_.size();
}

void StoreThread::Run() {
  for (;;) {
    Persist write;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [this] { return ending_ || !queue_.empty(); });
      if (queue_.empty()) return;
      write = std::move(queue_.front());
      queue_.pop_front();
    }
    done_(write.sequence, store_->Write(write));
  }
}

}  // namespace elderkeel::consensus
