#pragma once

#include <leveldb/env.h>

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "consensus/disk_store.h"

namespace elderkeel {

// One change of the simulated disk.
struct DiskOperation {
  enum class Kind {
    kCreateFile,
    kCreateDirectory,
    kAppend,
    kSync,
    kSyncDirectory,
    kRename,
    kRemove
  } kind;
  std::string path;  // the directory for kSyncDirectory, otherwise the file or directory changed
  std::string to;    // the new path, for kRename
  int file = 0;      // for kAppend and kSync, which still work after the file's name was removed
  std::string data;
};

// The content of a simulated disk, and which part of it is synced: of each directory the names, of
// each file a number of bytes from its beginning. A copy shares the files' data until either
// changes.
class Disk {
 public:
  // A file or a directory.
  struct Node {
    bool directory = false;
    std::shared_ptr<std::string> data = std::make_shared<std::string>();
    size_t synced = 0;
    std::map<std::string, int> names, synced_names;
  };

  Disk() { nodes_[0].directory = true; }

  // The id of the node at `path`; -1 if there is none.
  int Find(const std::string& path) const {
    int at = 0;
    for (const std::string& name : Split(path)) {
      auto& names = nodes_.at(at).names;
      auto found = names.find(name);
      if (found == names.end()) return -1;
      at = found->second;
    }
    return at;
  }
  const Node& node(int id) const { return nodes_.at(id); }
  // The sizes of all files that have a name, in bytes; those below `at` only.
  size_t used_bytes(int at = 0) const {
    size_t sum = nodes_.at(at).data->size();
    for (const auto& [name, id] : nodes_.at(at).names) sum += used_bytes(id);
    return sum;
  }
  // Returns the id of the node that the operation created; 0 if it created none.
  int Apply(const DiskOperation& operation) {
    using Kind = DiskOperation::Kind;
    if (operation.kind == Kind::kAppend) {
      Node& file = nodes_.at(operation.file);
      if (file.data.use_count() > 1) file.data = std::make_shared<std::string>(*file.data);
      *file.data += operation.data;
      return 0;
    }
    if (operation.kind == Kind::kSync) {
      nodes_.at(operation.file).synced = nodes_.at(operation.file).data->size();
      return 0;
    }
    if (operation.kind == Kind::kSyncDirectory) {
      Node& directory = nodes_.at(Find(operation.path));
      directory.synced_names = directory.names;
      return 0;
    }
    auto [directory, name] = ParentOf(operation.path);
    if (operation.kind == Kind::kRemove) {
      directory->names.erase(name);
      return 0;
    }
    if (operation.kind == Kind::kRename) {
      auto [to_directory, to_name] = ParentOf(operation.to);
      to_directory->names[to_name] = directory->names.at(name);
      directory->names.erase(name);
      return 0;
    }
    int id = ++last_id_;
    directory->names[name] = id;
    nodes_[id].directory = operation.kind == Kind::kCreateDirectory;
    return id;
  }

  // The number of unsynced changes, each of which a power loss may keep or lose on its own: changed
  // names, and tails of files.
  size_t UnsyncedChanges() const {
    size_t changes = 0;
    for (const auto& [id, node] : nodes_) {
      changes += ChangedNames(node).size() + (node.synced < node.data->size() ? 1 : 0);
    }
    return changes;
  }
  // The disk after a power loss. For each unsynced change `choose(n)` returns what happens to it,
  // as a number below n. The change of a name is lost (0) or kept (1). The unsynced tail of a file
  // is lost (0), kept (1), cut at a place that a second call chooses (2) or, if `holes`, has up to
  // 512 zero bytes there (3), as if the disk had written its blocks out of order.
  Disk AfterPowerLoss(const std::function<uint64_t(uint64_t n)>& choose, bool holes = false) const {
    Disk after = *this;
    for (auto& [id, node] : after.nodes_) {
      for (const std::string& name : ChangedNames(node)) {
        if (choose(2) == 1) continue;
        auto before = node.synced_names.find(name);
        if (before == node.synced_names.end()) {
          node.names.erase(name);
        } else {
          node.names[name] = before->second;
        }
      }
      node.synced_names = node.names;
      size_t tail = node.data->size() - node.synced;
      if (tail > 0) {
        uint64_t how = choose(holes ? 4 : 3);
        node.data = std::make_shared<std::string>(*node.data);
        size_t offset = how < 2 ? 0 : choose(tail);
        if (how == 0) node.data->resize(node.synced);
        if (how == 2) node.data->resize(node.synced + offset);
        if (how == 3) {
          size_t hole = std::min<size_t>(tail - offset, 512);
          node.data->replace(node.synced + offset, hole, hole, '\0');
        }
      }
      node.synced = node.data->size();
    }
    return after;
  }

 private:
  static std::vector<std::string> Split(const std::string& path) {
    std::vector<std::string> parts;
    for (size_t at = 0; at < path.size();) {
      size_t end = std::min(path.find('/', at), path.size());
      if (end > at) parts.push_back(path.substr(at, end - at));
      at = end + 1;
    }
    return parts;
  }
  // The names in a directory that were added, changed or removed since it was synced.
  static std::vector<std::string> ChangedNames(const Node& node) {
    std::vector<std::string> changed;
    for (const auto& [name, id] : node.names) {
      auto before = node.synced_names.find(name);
      if (before == node.synced_names.end() || before->second != id) changed.push_back(name);
    }
    for (const auto& [name, id] : node.synced_names) {
      if (!node.names.count(name)) changed.push_back(name);
    }
    return changed;
  }
  // The directory that contains `path`, and the last component of `path`.
  std::pair<Node*, std::string> ParentOf(const std::string& path) {
    size_t cut = path.rfind('/');
    return {&nodes_.at(Find(path.substr(0, cut))), path.substr(cut + 1)};
  }

  std::map<int, Node> nodes_;  // by id; 0 is the root directory
  int last_id_ = 0;
};

// A leveldb::Env on a simulated disk, which records every change. LevelDB's background jobs run on
// a thread of this class that stops after a given number of changes, so that a seed always leads to
// the same history.
class PowerLossEnv : public leveldb::EnvWrapper {
 public:
  explicit PowerLossEnv(Disk disk = Disk())
      : EnvWrapper(leveldb::Env::Default()),
        disk_(std::move(disk)),
        worker_([this] { RunJobs(); }) {}
  ~PowerLossEnv() override {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
      allowed_changes_ = SIZE_MAX;
    }
    changed_.notify_all();
    worker_.join();
  }

  consensus::FileSystem file_system() {
    return {this, [this](const std::string& directory) {
              return MakeChange({DiskOperation::Kind::kSyncDirectory, directory, "", 0, ""});
            }};
  }
  // Lets LevelDB's background thread make up to `changes` more changes, and waits until it has made
  // them or has no job left.
  void Advance(size_t changes) {
    std::unique_lock<std::mutex> lock(mutex_);
    allowed_changes_ = changes;
    paused_ = false;
    changed_.notify_all();
    changed_.wait(lock, [this] { return paused_ || (jobs_.empty() && !running_job_); });
  }
  // Removes the limit on the background thread's changes: opening or closing a database may wait
  // for background jobs.
  void Release() {
    std::lock_guard<std::mutex> lock(mutex_);
    allowed_changes_ = SIZE_MAX;
    changed_.notify_all();
  }
  // The size of LevelDB's newest log file, about that of its write buffer's content.
  size_t log_bytes() {
    std::lock_guard<std::mutex> lock(mutex_);
    return log_file_ == 0 ? 0 : disk_.node(log_file_).data->size();
  }
  // Limits the total size of all files. An append beyond it writes what fits and fails.
  void SetCapacity(size_t bytes) {
    std::lock_guard<std::mutex> lock(mutex_);
    capacity_ = bytes;
  }
  // All changes so far.
  std::vector<DiskOperation> history() {
    std::lock_guard<std::mutex> lock(mutex_);
    return history_;
  }
  // The number of changes so far.
  size_t changes() {
    std::lock_guard<std::mutex> lock(mutex_);
    return history_.size();
  }
  Disk disk() {
    std::lock_guard<std::mutex> lock(mutex_);
    return disk_;
  }

  leveldb::Status NewSequentialFile(const std::string& name,
                                    leveldb::SequentialFile** file) override {
    auto data = Read(name);
    if (!data) return leveldb::Status::NotFound(name);
    *file = new SequentialReader(data);
    return leveldb::Status::OK();
  }
  leveldb::Status NewRandomAccessFile(const std::string& name,
                                      leveldb::RandomAccessFile** file) override {
    auto data = Read(name);
    if (!data) return leveldb::Status::NotFound(name);
    *file = new RandomReader(data);
    return leveldb::Status::OK();
  }
  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override {
    int id = 0;
    leveldb::Status status = MakeChange({DiskOperation::Kind::kCreateFile, name, "", 0, ""}, &id);
    if (status.ok()) *file = new Writer(this, name, id);
    return status;
  }
  leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile**) override {
    return leveldb::Status::NotSupported(name);
  }
  bool FileExists(const std::string& name) override { return Read(name) != nullptr; }
  leveldb::Status GetChildren(const std::string& directory,
                              std::vector<std::string>* names) override {
    std::lock_guard<std::mutex> lock(mutex_);
    names->clear();
    int id = disk_.Find(directory);
    if (id < 0) return leveldb::Status::NotFound(directory);
    for (const auto& [name, child] : disk_.node(id).names) names->push_back(name);
    return leveldb::Status::OK();
  }
  leveldb::Status GetFileSize(const std::string& name, uint64_t* size) override {
    auto data = Read(name);
    if (!data) return leveldb::Status::NotFound(name);
    *size = data->size();
    return leveldb::Status::OK();
  }
  leveldb::Status RemoveFile(const std::string& name) override {
    return MakeChange({DiskOperation::Kind::kRemove, name, "", 0, ""});
  }
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    return MakeChange({DiskOperation::Kind::kRename, from, to, 0, ""});
  }
  leveldb::Status CreateDir(const std::string& directory) override {
    if (Read(directory)) return leveldb::Status::IOError(directory, "exists");
    return MakeChange({DiskOperation::Kind::kCreateDirectory, directory, "", 0, ""});
  }
  leveldb::Status RemoveDir(const std::string& directory) override { return RemoveFile(directory); }
  leveldb::Status LockFile(const std::string&, leveldb::FileLock** lock) override {
    *lock = new leveldb::FileLock();
    return leveldb::Status::OK();
  }
  leveldb::Status UnlockFile(leveldb::FileLock* lock) override {
    delete lock;
    return leveldb::Status::OK();
  }
  leveldb::Status NewLogger(const std::string& name, leveldb::Logger**) override {
    return leveldb::Status::NotSupported(name);
  }
  void Schedule(void (*function)(void*), void* argument) override {
    std::lock_guard<std::mutex> lock(mutex_);
    jobs_.push_back({function, argument});
    changed_.notify_all();
  }

 private:
  using Data = std::shared_ptr<const std::string>;

  class SequentialReader : public leveldb::SequentialFile {
   public:
    explicit SequentialReader(Data data) : data_(std::move(data)) {}
    leveldb::Status Read(size_t n, leveldb::Slice* result, char*) override {
      n = std::min(n, data_->size() - position_);
      *result = leveldb::Slice(data_->data() + position_, n);
      position_ += n;
      return leveldb::Status::OK();
    }
    leveldb::Status Skip(uint64_t n) override {
      position_ = std::min<size_t>(position_ + n, data_->size());
      return leveldb::Status::OK();
    }

   private:
    Data data_;
    size_t position_ = 0;
  };
  class RandomReader : public leveldb::RandomAccessFile {
   public:
    explicit RandomReader(Data data) : data_(std::move(data)) {}
    leveldb::Status Read(uint64_t offset, size_t n, leveldb::Slice* result, char*) const override {
      if (offset > data_->size())
        return leveldb::Status::IOError("offset is behind the end of the file");
      *result = leveldb::Slice(data_->data() + offset, std::min<size_t>(n, data_->size() - offset));
      return leveldb::Status::OK();
    }

   private:
    Data data_;
  };
  class Writer : public leveldb::WritableFile {
   public:
    Writer(PowerLossEnv* env, std::string path, int id)
        : env_(env), path_(std::move(path)), id_(id) {}
    leveldb::Status Append(const leveldb::Slice& data) override {
      return env_->MakeChange({DiskOperation::Kind::kAppend, path_, "", id_, data.ToString()});
    }
    leveldb::Status Close() override { return leveldb::Status::OK(); }
    leveldb::Status Flush() override { return leveldb::Status::OK(); }
    leveldb::Status Sync() override {
      // The files of LevelDB's own Env also sync the directory with a manifest, and only then.
      size_t cut = path_.rfind('/');
      if (path_.compare(cut + 1, 8, "MANIFEST") == 0) {
        env_->MakeChange({DiskOperation::Kind::kSyncDirectory, path_.substr(0, cut), "", 0, ""});
      }
      return env_->MakeChange({DiskOperation::Kind::kSync, path_, "", id_, ""});
    }

   private:
    PowerLossEnv* env_;
    std::string path_;
    int id_;
  };

  Data Read(const std::string& name) {
    std::lock_guard<std::mutex> lock(mutex_);
    int id = disk_.Find(name);
    return id < 0 ? nullptr : disk_.node(id).data;
  }
  // Applies and records a change. On the background thread waits first until a change is allowed.
  leveldb::Status MakeChange(DiskOperation operation, int* created = nullptr) {
    using Kind = DiskOperation::Kind;
    std::unique_lock<std::mutex> lock(mutex_);
    if (std::this_thread::get_id() == worker_.get_id()) {
      if (allowed_changes_ == 0) {
        paused_ = true;
        changed_.notify_all();
        changed_.wait(lock, [this] { return allowed_changes_ > 0; });
        paused_ = false;
      }
      if (allowed_changes_ != SIZE_MAX) --allowed_changes_;
    }
    bool by_name = operation.kind == Kind::kRename || operation.kind == Kind::kRemove;
    if (by_name && disk_.Find(operation.path) < 0) return leveldb::Status::NotFound(operation.path);
    bool full = false;
    if (operation.kind == Kind::kAppend && capacity_ != SIZE_MAX) {
      size_t used_bytes = disk_.used_bytes();
      size_t free_bytes = used_bytes < capacity_ ? capacity_ - used_bytes : 0;
      full = operation.data.size() > free_bytes;
      if (full) operation.data.resize(free_bytes);  // what fits is written
    }
    int id = disk_.Apply(operation);
    if (created) *created = id;
    if (operation.kind == Kind::kCreateFile && operation.path.size() > 4 &&
        operation.path.compare(operation.path.size() - 4, 4, ".log") == 0) {
      log_file_ = id;
    }
    history_.push_back(std::move(operation));
    return full ? leveldb::Status::IOError("No space left on device") : leveldb::Status::OK();
  }
  // The background thread: runs what LevelDB schedules.
  void RunJobs() {
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
      changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      auto [function, argument] = jobs_.front();
      jobs_.pop_front();
      running_job_ = true;
      lock.unlock();
      function(argument);
      lock.lock();
      running_job_ = false;
      changed_.notify_all();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  Disk disk_;
  std::vector<DiskOperation> history_;
  std::deque<std::pair<void (*)(void*), void*>> jobs_;
  size_t capacity_ = SIZE_MAX;         // bytes
  size_t allowed_changes_ = SIZE_MAX;  // of the background thread
  int log_file_ = 0;                   // the id of the newest one
  bool running_job_ = false;
  bool paused_ = false;  // the background thread waits in a change
  bool stopping_ = false;
  std::thread worker_;
};

}  // namespace elderkeel
