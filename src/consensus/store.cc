#include "consensus/store.h"

#include <fcntl.h>
#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <optional>

#include "wire/frame.h"

namespace elderkeel::consensus {
namespace {

leveldb::Status SyncFolder(const std::string& folder) {
  int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0 && errno == EACCES) return leveldb::Status::NotSupported(folder, "can't be read");
  if (fd < 0) return leveldb::Status::IOError(folder, std::strerror(errno));
  int failed = fsync(fd) == 0 ? 0 : errno;
  close(fd);
  if (failed != 0) return leveldb::Status::IOError(folder, std::strerror(failed));
  return leveldb::Status::OK();
}

std::string Parent(const std::string& path) {
  std::filesystem::path clean = std::filesystem::path(path + "/").lexically_normal();
  std::string parent = clean.parent_path().parent_path().string();
  return parent.empty() ? "." : parent;
}

// LevelDB syncs a folder only with a new manifest: log files take synced writes before that, and
// the files that CURRENT named before are removed before its new name is synced. Here a folder is
// synced whenever a file in it was made or renamed, before LevelDB goes on. What was removed may
// come back: LevelDB knows by number what it has done with.
class SyncedEnv : public leveldb::EnvWrapper {
 public:
  explicit SyncedEnv(const FileSystem& files) : EnvWrapper(files.env), files_(files) {}

  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override {
    return Synced(name, file, target()->NewWritableFile(name, file));
  }
  leveldb::Status NewAppendableFile(const std::string& name,
                                    leveldb::WritableFile** file) override {
    return Synced(name, file, target()->NewAppendableFile(name, file));
  }
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    leveldb::Status status = target()->RenameFile(from, to);
    return status.ok() ? files_.sync_folder(Parent(to)) : status;
  }

 private:
  leveldb::Status Synced(const std::string& name, leveldb::WritableFile** file,
                         leveldb::Status status) {
    if (!status.ok()) return status;
    status = files_.sync_folder(Parent(name));
    if (status.ok()) return status;
    delete *file;
    *file = nullptr;
    return status;
  }

  FileSystem files_;
};

// Whoever made the folder may have lost power before its name was synced, so it is synced in any
// case. A folder that its owner made, in one that this process may not read, is taken as it is.
leveldb::Status MakeFolder(const FileSystem& files, const std::string& folder) {
  bool made = files.env->CreateDir(folder).ok();
  leveldb::Status status = files.sync_folder(Parent(folder));
  if (status.ok() || (!made && status.IsNotSupportedError())) return leveldb::Status::OK();
  if (made) files.env->RemoveDir(folder);
  return status;
}

// Room is given back after so many bytes, or after as many as are kept if that is more: what is
// kept is copied then.
constexpr uint64_t kReclaimBytes = 4 << 20;

// LevelDB's own notes would grow for as long as the process runs.
class NoLogger : public leveldb::Logger {
  void Logv(const char*, std::va_list) override {}
};

std::string EntryKey(Index index) {
  std::string key = "e";
  for (int shift = 56; shift >= 0; shift -= 8) key.push_back(static_cast<char>(index >> shift));
  return key;
}

class DiskStore : public Store {
 public:
  DiskStore(std::string directory, const FileSystem& files)
      : directory_(std::move(directory)), files_(files), env_(files) {}

  ~DiskStore() override {
    if (reclaimer_.joinable()) reclaimer_.join();
  }

  base::Status Open() {
    leveldb::Status status = MakeFolder(files_, Parent(directory_));
    if (status.ok()) status = MakeFolder(files_, directory_);
    if (!status.ok())
      return base::Failure(base::ErrorCode::kIoError, "store.open", "", status.ToString());
    leveldb::Options options;
    options.create_if_missing = true;
    options.env = &env_;
    options.write_buffer_size = 512 << 10;
    options.max_file_size = 1 << 20;
    options.max_open_files = 32;
    options.info_log = &logger_;
    options.compression = leveldb::kNoCompression;
    cache_.reset(leveldb::NewLRUCache(64 << 10));
    options.block_cache = cache_.get();
    leveldb::DB* db = nullptr;
    status = leveldb::DB::Open(options, directory_, &db);
    if (!status.ok()) return base::Failure(Failed("store.open", status));
    db_.reset(db);
    written_ = Kept();  // some of it may have been dropped in an earlier life
    return {};
  }

  base::Result<RestoredState> Load() override {
    RestoredState restored;
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    std::string value;
    leveldb::Status status = db_->Get(options, "hard", &value);
    if (status.IsNotFound()) return restored;
    if (!status.ok()) return base::Failure(Failed("store.open", status));
    auto hard_state = wire::Decode<HardState>(value);
    if (!hard_state)
      return base::Failure(base::ErrorCode::kCorruption, "store.load", "",
                           "the vote can't be read");
    restored.empty = false;
    restored.hard_state = *hard_state;
    status = db_->Get(options, "snapshot", &value);
    if (status.ok()) {
      auto snapshot = wire::Decode<Snapshot>(value);
      if (!snapshot)
        return base::Failure(base::ErrorCode::kCorruption, "store.load", "",
                             "the snapshot can't be read");
      restored.snapshot = *snapshot;
    } else if (!status.IsNotFound()) {
      return base::Failure(Failed("store.open", status));
    }
    if (db_->Get(options, "commit", &value).ok()) {
      if (auto commit = wire::Decode<Index>(value)) restored.commit = *commit;
    }
    std::unique_ptr<leveldb::Iterator> at(db_->NewIterator(options));
    for (at->Seek("e"); at->Valid() && at->key().starts_with("e"); at->Next()) {
      auto entry = wire::Decode<Entry>(std::string_view(at->value().data(), at->value().size()));
      if (!entry)
        return base::Failure(base::ErrorCode::kCorruption, "store.load", "",
                             "an entry can't be read");
      if (!restored.entries.empty() && entry->index != restored.entries.back().index + 1) {
        return base::Failure(base::ErrorCode::kCorruption, "store.load", "", "the log has a gap");
      }
      restored.entries.push_back(std::move(*entry));
    }
    if (!at->status().ok()) return base::Failure(Failed("store.open", at->status()));
    if (!restored.entries.empty() && restored.entries.front().index > restored.snapshot.index + 1) {
      return base::Failure(base::ErrorCode::kCorruption, "store.load", "",
                           "the log begins after its snapshot");
    }
    return restored;
  }

  base::Status Write(const WriteRequest& write) override {
    // LevelDB may go on behind a record that is only partly there, and would not find what follows.
    if (refused_) return base::Failure(*refused_);
    leveldb::WriteBatch batch;
    if (write.hard_state_changed) batch.Put("hard", wire::Encode(write.hard_state));
    if (!write.snapshot.empty()) batch.Put("snapshot", wire::Encode(write.snapshot[0]));
    if (write.drop_to > 0) Drop(&batch, 0, write.drop_to);
    if (write.truncate_from > 0) Drop(&batch, write.truncate_from, UINT64_MAX);
    for (const Entry& entry : write.entries) batch.Put(EntryKey(entry.index), wire::Encode(entry));
    if (write.commit > 0) batch.Put("commit", wire::Encode(write.commit));
    leveldb::WriteOptions options;
    options.sync = write.hard_state_changed || !write.snapshot.empty() || !write.entries.empty() ||
                   write.truncate_from > 0;
    leveldb::Status status = db_->Write(options, &batch);
    if (!status.ok()) {
      refused_ = Failed("store.write", status);
      return base::Failure(*refused_);
    }
    written_ += batch.ApproximateSize();
    return {};
  }

  // On a thread of its own, so that writes go on; they wait for it only if as much was written
  // since it began.
  void Reclaim() override {
    if (written_ < std::max(kReclaimBytes, kept_.load())) return;
    if (reclaimer_.joinable()) reclaimer_.join();
    written_ = 0;
    reclaimer_ = std::thread([this] {
      db_->CompactRange(nullptr, nullptr);
      kept_ = Kept();
    });
  }

 private:
  static base::Error Failed(const char* step, const leveldb::Status& status) {
    base::ErrorCode code =
        status.IsCorruption() ? base::ErrorCode::kCorruption : base::ErrorCode::kIoError;
    return {code, step, "", status.ToString()};
  }
  // Bytes in tables.
  uint64_t Kept() {
    leveldb::Range all("", "z");
    uint64_t bytes = 0;
    db_->GetApproximateSizes(&all, 1, &bytes);
    return bytes;
  }

  void Drop(leveldb::WriteBatch* batch, Index from, Index to) {
    std::unique_ptr<leveldb::Iterator> at(db_->NewIterator(leveldb::ReadOptions()));
    std::string last = EntryKey(to);
    for (at->Seek(EntryKey(from)); at->Valid() && at->key().compare(last) <= 0; at->Next()) {
      batch->Delete(at->key());
    }
  }

  std::string directory_;
  FileSystem files_;
  SyncedEnv env_;
  NoLogger logger_;
  std::optional<base::Error> refused_;
  uint64_t written_ = 0;           // bytes since room was given back
  std::atomic<uint64_t> kept_{0};  // bytes that were left then
  std::unique_ptr<leveldb::Cache> cache_;
  std::unique_ptr<leveldb::DB> db_;
  std::thread reclaimer_;
};

class MemoryStore : public Store {
 public:
  base::Result<RestoredState> Load() override { return RestoredState(); }
  base::Status Write(const WriteRequest&) override { return {}; }
};

}  // namespace

const FileSystem& RealFileSystem() {
  static const FileSystem files{leveldb::Env::Default(), SyncFolder};
  return files;
}

base::Result<std::unique_ptr<Store>> OpenDiskStore(const std::string& directory,
                                                   const FileSystem& files) {
  auto store = std::make_unique<DiskStore>(directory, files);
  auto opened = store->Open();
  if (!opened) return base::Failure(opened.error());
  return std::unique_ptr<Store>(std::move(store));
}

bool IsCorruption(const base::Error& error) { return error.code == base::ErrorCode::kCorruption; }

base::Status Quarantine(const std::string& directory, const FileSystem& files) {
  std::string aside = directory + ".unreadable";
  std::error_code error;
  std::filesystem::remove_all(aside, error);
  if (!error) std::filesystem::rename(directory, aside, error);
  if (error) return base::Failure(base::ErrorCode::kIoError, "store.aside", "", error.message());
  leveldb::Status status = files.sync_folder(Parent(directory));
  if (!status.ok())
    return base::Failure(base::ErrorCode::kIoError, "store.aside", "", status.ToString());
  return {};
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

void StoreThread::Write(WriteRequest write) {
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
    WriteRequest write;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [this] { return ending_ || !queue_.empty(); });
      if (queue_.empty()) return;
      write = std::move(queue_.front());
      queue_.pop_front();
    }
    auto written = store_->Write(write);
    done_(write.sequence, written);
    if (written) store_->Reclaim();
  }
}

}  // namespace elderkeel::consensus
