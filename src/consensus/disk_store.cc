#include "consensus/disk_store.h"

#include <leveldb/cache.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <optional>
#include <thread>

#include "transport/frame.h"

namespace elderkeel::consensus {
namespace {

// The stored format: these keys, with values encoded by cereal. An entry's key is `kEntryPrefix`
// followed by its index as eight bytes in big-endian order, so that the keys sort by index.
constexpr char kHardStateKey[] = "hard";
constexpr char kSnapshotKey[] = "snapshot";
constexpr char kCommitKey[] = "commit";
constexpr char kEntryPrefix[] = "e";

// Sizes for a machine with a 64 MB disk and little memory.
constexpr size_t kWriteBufferBytes = 512 << 10;
constexpr size_t kTableFileBytes = 1 << 20;
constexpr size_t kBlockCacheBytes = 64 << 10;
constexpr int kMaxOpenFiles = 32;

// The database is compacted after this many bytes of writes, or after as many as the last
// compaction left if that is more, since a compaction copies all remaining data.
constexpr uint64_t kReclaimBytes = 4 << 20;

// Discards LevelDB's own log messages; its LOG file would grow as long as the process runs.
class NoLogger : public leveldb::Logger {
  void Logv(const char*, std::va_list) override {}
};

std::string EntryKey(Index index) {
  std::string key = kEntryPrefix;
  for (int shift = 56; shift >= 0; shift -= 8) key.push_back(static_cast<char>(index >> shift));
  return key;
}

base::Error MakeError(const char* step, const leveldb::Status& status) {
  base::ErrorCode code =
      status.IsCorruption() ? base::ErrorCode::kCorruption : base::ErrorCode::kIoError;
  return {code, step, "", status.ToString()};
}

tl::unexpected<base::Error> CorruptionError(std::string reason) {
  return base::Failure(base::ErrorCode::kCorruption, "store.load", "", std::move(reason));
}

// A Store on a LevelDB database.
class DiskStore : public Store {
 public:
  DiskStore(std::string directory, const FileSystem& file_system)
      : directory_(std::move(directory)), file_system_(file_system), env_(file_system) {}
  ~DiskStore() override;

  base::Status Open();
  base::Result<RestoredState> Load() override;
  base::Status Write(const WriteRequest& write) override;
  void Reclaim() override;

 private:
  base::Status LoadSnapshot(const leveldb::ReadOptions& options, RestoredState* restored) const;
  base::Status LoadEntries(const leveldb::ReadOptions& options, RestoredState* restored) const;
  // The approximate size of LevelDB's table files, in bytes.
  uint64_t TableBytes() const;
  // Adds to `batch` the deletion of the entries from `from` to `to`, both included.
  void DeleteEntries(leveldb::WriteBatch* batch, Index from, Index to) const;

  std::string directory_;
  FileSystem file_system_;
  SyncedEnv env_;
  NoLogger logger_;
  std::optional<base::Error> write_error_;  // of the first write that failed
  uint64_t written_bytes_ = 0;              // since the last compaction began
  std::atomic<uint64_t> live_bytes_{0};     // after the last compaction; set by compaction_thread_
  std::unique_ptr<leveldb::Cache> cache_;
  std::unique_ptr<leveldb::DB> db_;
  std::thread compaction_thread_;
};

DiskStore::~DiskStore() {
  if (compaction_thread_.joinable()) compaction_thread_.join();
}

base::Status DiskStore::Open() {
  leveldb::Status status = MakeDurableDirectory(file_system_, ParentDirectory(directory_));
  if (status.ok()) status = MakeDurableDirectory(file_system_, directory_);
  if (!status.ok()) {
    return base::Failure(base::ErrorCode::kIoError, "store.open", "", status.ToString());
  }
  leveldb::Options options;
  options.create_if_missing = true;
  options.env = &env_;
  options.write_buffer_size = kWriteBufferBytes;
  options.max_file_size = kTableFileBytes;
  options.max_open_files = kMaxOpenFiles;
  options.info_log = &logger_;
  options.compression = leveldb::kNoCompression;
  cache_.reset(leveldb::NewLRUCache(kBlockCacheBytes));
  options.block_cache = cache_.get();
  leveldb::DB* opened = nullptr;
  status = leveldb::DB::Open(options, directory_, &opened);
  if (!status.ok()) return base::Failure(MakeError("store.open", status));
  db_.reset(opened);
  written_bytes_ = TableBytes();  // may include data removed before the process started
  return {};
}

base::Result<RestoredState> DiskStore::Load() {
  RestoredState restored;
  leveldb::ReadOptions options;
  options.verify_checksums = true;
  std::string value;
  leveldb::Status status = db_->Get(options, kHardStateKey, &value);
  if (status.IsNotFound()) return restored;
  if (!status.ok()) return base::Failure(MakeError("store.open", status));
  auto hard_state = transport::Decode<HardState>(value);
  if (!hard_state) return CorruptionError("the hard state (term and vote) can't be decoded");
  restored.empty = false;
  restored.hard_state = *hard_state;
  base::Status loaded = LoadSnapshot(options, &restored);
  if (!loaded) return base::Failure(loaded.error());
  if (db_->Get(options, kCommitKey, &value).ok()) {
    if (auto commit = transport::Decode<Index>(value)) restored.commit = *commit;
  }
  loaded = LoadEntries(options, &restored);
  if (!loaded) return base::Failure(loaded.error());
  return restored;
}

base::Status DiskStore::LoadSnapshot(const leveldb::ReadOptions& options,
                                     RestoredState* restored) const {
  std::string value;
  leveldb::Status status = db_->Get(options, kSnapshotKey, &value);
  if (status.IsNotFound()) return {};
  if (!status.ok()) return base::Failure(MakeError("store.open", status));
  auto snapshot = transport::Decode<Snapshot>(value);
  if (!snapshot) return CorruptionError("the snapshot can't be decoded");
  restored->snapshot = std::move(*snapshot);
  return {};
}

base::Status DiskStore::LoadEntries(const leveldb::ReadOptions& options,
                                    RestoredState* restored) const {
  std::vector<Entry>& entries = restored->entries;
  std::unique_ptr<leveldb::Iterator> record(db_->NewIterator(options));
  for (record->Seek(kEntryPrefix); record->Valid() && record->key().starts_with(kEntryPrefix);
       record->Next()) {
    auto entry =
        transport::Decode<Entry>(std::string_view(record->value().data(), record->value().size()));
    if (!entry) return CorruptionError("a log entry can't be decoded");
    if (!entries.empty() && entry->index != entries.back().index + 1) {
      return CorruptionError("the log has a gap: entry indexes aren't consecutive");
    }
    entries.push_back(std::move(*entry));
  }
  if (!record->status().ok()) return base::Failure(MakeError("store.open", record->status()));
  if (!entries.empty() && entries.front().index > restored->snapshot.index + 1) {
    return CorruptionError("entries between the snapshot and the first log entry are missing");
  }
  return {};
}

base::Status DiskStore::Write(const WriteRequest& write) {
  // After a failed write LevelDB's log may end with a partial record. LevelDB would append later
  // writes behind it, and recovery would not find them.
  if (write_error_) return base::Failure(*write_error_);
  leveldb::WriteBatch batch;
  if (write.hard_state_changed) batch.Put(kHardStateKey, transport::Encode(write.hard_state));
  if (!write.snapshot.empty()) batch.Put(kSnapshotKey, transport::Encode(write.snapshot[0]));
  if (write.drop_through > 0) DeleteEntries(&batch, 0, write.drop_through);
  if (write.truncate_from > 0) DeleteEntries(&batch, write.truncate_from, UINT64_MAX);
  for (const Entry& entry : write.entries)
    batch.Put(EntryKey(entry.index), transport::Encode(entry));
  if (write.commit > 0) batch.Put(kCommitKey, transport::Encode(write.commit));
  leveldb::WriteOptions options;
  options.sync = write.hard_state_changed || !write.snapshot.empty() || !write.entries.empty() ||
                 write.truncate_from > 0;
  leveldb::Status status = db_->Write(options, &batch);
  if (!status.ok()) {
    write_error_ = MakeError("store.write", status);
    return base::Failure(*write_error_);
  }
  written_bytes_ += batch.ApproximateSize();
  return {};
}

// Compacts on a separate thread, so that writes continue meanwhile. They wait for a compaction only
// if the next one is due before it has finished.
void DiskStore::Reclaim() {
  if (written_bytes_ < std::max(kReclaimBytes, live_bytes_.load())) return;
  if (compaction_thread_.joinable()) compaction_thread_.join();
  written_bytes_ = 0;
  compaction_thread_ = std::thread([this] {
    db_->CompactRange(nullptr, nullptr);
    live_bytes_ = TableBytes();
  });
}

uint64_t DiskStore::TableBytes() const {
  leveldb::Range all("", "z");  // all keys sort before "z"
  uint64_t bytes = 0;
  db_->GetApproximateSizes(&all, 1, &bytes);
  return bytes;
}

void DiskStore::DeleteEntries(leveldb::WriteBatch* batch, Index from, Index to) const {
  std::unique_ptr<leveldb::Iterator> record(db_->NewIterator(leveldb::ReadOptions()));
  std::string last = EntryKey(to);
  for (record->Seek(EntryKey(from)); record->Valid() && record->key().compare(last) <= 0;
       record->Next()) {
    batch->Delete(record->key());
  }
}

// Accepts every write and keeps nothing.
class MemoryStore : public Store {
 public:
  base::Result<RestoredState> Load() override { return RestoredState(); }
  base::Status Write(const WriteRequest&) override { return {}; }
};

}  // namespace

base::Result<std::unique_ptr<Store>> OpenDiskStore(const std::string& directory,
                                                   const FileSystem& file_system) {
  auto store = std::make_unique<DiskStore>(directory, file_system);
  base::Status opened = store->Open();
  if (!opened) return base::Failure(opened.error());
  return std::unique_ptr<Store>(std::move(store));
}

bool HasDiskStore(const std::string& directory) {
  std::error_code ignored;
  return std::filesystem::exists(directory + "/CURRENT", ignored);
}

bool IsCorruption(const base::Error& error) { return error.code == base::ErrorCode::kCorruption; }

base::Status Quarantine(const std::string& directory, const FileSystem& file_system) {
  std::string quarantine = directory + ".unreadable";
  std::error_code error;
  std::filesystem::remove_all(quarantine, error);
  if (!error) std::filesystem::rename(directory, quarantine, error);
  if (error) {
    return base::Failure(base::ErrorCode::kIoError, "store.quarantine", "", error.message());
  }
  leveldb::Status status = file_system.sync_directory(ParentDirectory(directory));
  if (!status.ok()) {
    return base::Failure(base::ErrorCode::kIoError, "store.quarantine", "", status.ToString());
  }
  return {};
}

std::unique_ptr<Store> MakeMemoryStore() { return std::make_unique<MemoryStore>(); }

}  // namespace elderkeel::consensus
