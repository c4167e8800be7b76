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

// A change of a disk.
struct DiskOperation {
  enum class Kind { kMake, kMakeFolder, kAppend, kSync, kSyncFolder, kRename, kRemove } kind;
  std::string path;  // of a folder for kSyncFolder, of a name otherwise
  std::string to;    // for kRename
  int file = 0;      // for kAppend and kSync, which go on after the name is gone
  std::string data;
};

// What a disk holds, and what of it is synced: of each folder its names one by one, of each file
// its first so many bytes.
class Disk {
 public:
  struct Node {
    bool folder = false;
    std::shared_ptr<std::string> data = std::make_shared<std::string>();
    size_t synced = 0;
    std::map<std::string, int> names, synced_names;
  };

  Disk() { nodes_[0].folder = true; }

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
  // Bytes of all files that have a name.
  size_t used(int at = 0) const {
    size_t sum = nodes_.at(at).data->size();
    for (const auto& [name, id] : nodes_.at(at).names) sum += used(id);
    return sum;
  }
  // The number of what was made; 0 if nothing was.
  int Apply(const DiskOperation& o) {
    using Kind = DiskOperation::Kind;
    if (o.kind == Kind::kAppend) {
      Node& file = nodes_.at(o.file);
      if (file.data.use_count() > 1) file.data = std::make_shared<std::string>(*file.data);
      *file.data += o.data;
      return 0;
    }
    if (o.kind == Kind::kSync) {
      nodes_.at(o.file).synced = nodes_.at(o.file).data->size();
      return 0;
    }
    if (o.kind == Kind::kSyncFolder) {
      Node& folder = nodes_.at(Find(o.path));
      folder.synced_names = folder.names;
      return 0;
    }
    auto [folder, name] = Owner(o.path);
    if (o.kind == Kind::kRemove) {
      folder->names.erase(name);
      return 0;
    }
    if (o.kind == Kind::kRename) {
      auto [to_folder, to_name] = Owner(o.to);
      to_folder->names[to_name] = folder->names.at(name);
      folder->names.erase(name);
      return 0;
    }
    int id = ++last_;
    folder->names[name] = id;
    nodes_[id].folder = o.kind == Kind::kMakeFolder;
    return id;
  }

  // How much may be kept or lost by itself: names, and tails of files.
  size_t Choices() const {
    size_t choices = 0;
    for (const auto& [id, node] : nodes_) {
      choices += Changed(node).size() + (node.synced < node.data->size() ? 1 : 0);
    }
    return choices;
  }
  // The disk after a loss of power. For each choice in turn `choose(n)` gives one of n: a name is
  // lost (0) or kept, a tail lost (0), kept, cut (2) or, if `holes`, written out of order (3).
  Disk AfterLoss(const std::function<uint64_t(uint64_t n)>& choose, bool holes = false) const {
    Disk after = *this;
    for (auto& [id, node] : after.nodes_) {
      for (const std::string& name : Changed(node)) {
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
        size_t place = how < 2 ? 0 : choose(tail);
        if (how == 0) node.data->resize(node.synced);
        if (how == 2) node.data->resize(node.synced + place);
        if (how == 3) {
          size_t hole = std::min<size_t>(tail - place, 512);
          node.data->replace(node.synced + place, hole, hole, '\0');
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
  static std::vector<std::string> Changed(const Node& node) {
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
  std::pair<Node*, std::string> Owner(const std::string& path) {
    size_t cut = path.rfind('/');
    return {&nodes_.at(Find(path.substr(0, cut))), path.substr(cut + 1)};
  }

  std::map<int, Node> nodes_;
  int last_ = 0;
};

// A leveldb::Env over such a disk, which notes every change. LevelDB's own thread runs only as far
// as it is let, so that one seed is one history.
class PowerEnv : public leveldb::EnvWrapper {
 public:
  explicit PowerEnv(Disk disk = Disk())
      : EnvWrapper(leveldb::Env::Default()), disk_(std::move(disk)), worker_([this] { Work(); }) {}
  ~PowerEnv() override {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ending_ = true;
      allowed_ = SIZE_MAX;
    }
    changed_.notify_all();
    worker_.join();
  }

  consensus::FileSystem files() {
    return {this, [this](const std::string& folder) {
              return Change({DiskOperation::Kind::kSyncFolder, folder, "", 0, ""});
            }};
  }
  // Lets LevelDB's thread make so many more changes, and waits until it made them or is done.
  void Advance(size_t changes) {
    std::unique_lock<std::mutex> lock(mutex_);
    allowed_ = changes;
    open_ = false;
    changed_.notify_all();
    changed_.wait(lock, [this] { return open_ || (work_.empty() && !working_); });
  }
  // From here on LevelDB's thread runs freely, as openings and closings need it to.
  void Release() {
    std::lock_guard<std::mutex> lock(mutex_);
    allowed_ = SIZE_MAX;
    changed_.notify_all();
  }
  // Of the newest log file of LevelDB: what its write buffer holds, about.
  size_t log_bytes() {
    std::lock_guard<std::mutex> lock(mutex_);
    return log_ == 0 ? 0 : disk_.node(log_).data->size();
  }
  // Files take no byte more than makes so many in all.
  void SetCapacity(size_t bytes) {
    std::lock_guard<std::mutex> lock(mutex_);
    capacity_ = bytes;
  }
  std::vector<DiskOperation> history() {
    std::lock_guard<std::mutex> lock(mutex_);
    return history_;
  }
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
    *file = new Reader(data);
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
    leveldb::Status status = Change({DiskOperation::Kind::kMake, name, "", 0, ""}, &id);
    if (status.ok()) *file = new Writer(this, name, id);
    return status;
  }
  leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile**) override {
    return leveldb::Status::NotSupported(name);
  }
  bool FileExists(const std::string& name) override { return Read(name) != nullptr; }
  leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>* names) override {
    std::lock_guard<std::mutex> lock(mutex_);
    names->clear();
    int id = disk_.Find(folder);
    if (id < 0) return leveldb::Status::NotFound(folder);
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
    return Change({DiskOperation::Kind::kRemove, name, "", 0, ""});
  }
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    return Change({DiskOperation::Kind::kRename, from, to, 0, ""});
  }
  leveldb::Status CreateDir(const std::string& folder) override {
    if (Read(folder)) return leveldb::Status::IOError(folder, "is there");
    return Change({DiskOperation::Kind::kMakeFolder, folder, "", 0, ""});
  }
  leveldb::Status RemoveDir(const std::string& folder) override { return RemoveFile(folder); }
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
    work_.push_back({function, argument});
    changed_.notify_all();
  }

 private:
  using Data = std::shared_ptr<const std::string>;

  class Reader : public leveldb::SequentialFile {
   public:
    explicit Reader(Data data) : data_(std::move(data)) {}
    leveldb::Status Read(size_t n, leveldb::Slice* result, char*) override {
      n = std::min(n, data_->size() - at_);
      *result = leveldb::Slice(data_->data() + at_, n);
      at_ += n;
      return leveldb::Status::OK();
    }
    leveldb::Status Skip(uint64_t n) override {
      at_ = std::min<size_t>(at_ + n, data_->size());
      return leveldb::Status::OK();
    }

   private:
    Data data_;
    size_t at_ = 0;
  };
  class RandomReader : public leveldb::RandomAccessFile {
   public:
    explicit RandomReader(Data data) : data_(std::move(data)) {}
    leveldb::Status Read(uint64_t offset, size_t n, leveldb::Slice* result, char*) const override {
      if (offset > data_->size()) return leveldb::Status::IOError("behind the end");
      *result = leveldb::Slice(data_->data() + offset, std::min<size_t>(n, data_->size() - offset));
      return leveldb::Status::OK();
    }

   private:
    Data data_;
  };
  class Writer : public leveldb::WritableFile {
   public:
    Writer(PowerEnv* env, std::string path, int id) : env_(env), path_(std::move(path)), id_(id) {}
    leveldb::Status Append(const leveldb::Slice& data) override {
      return env_->Change({DiskOperation::Kind::kAppend, path_, "", id_, data.ToString()});
    }
    leveldb::Status Close() override { return leveldb::Status::OK(); }
    leveldb::Status Flush() override { return leveldb::Status::OK(); }
    leveldb::Status Sync() override {
      // As LevelDB's own files do it.
      size_t cut = path_.rfind('/');
      if (path_.compare(cut + 1, 8, "MANIFEST") == 0) {
        env_->Change({DiskOperation::Kind::kSyncFolder, path_.substr(0, cut), "", 0, ""});
      }
      return env_->Change({DiskOperation::Kind::kSync, path_, "", id_, ""});
    }

   private:
    PowerEnv* env_;
    std::string path_;
    int id_;
  };

  Data Read(const std::string& name) {
    std::lock_guard<std::mutex> lock(mutex_);
    int id = disk_.Find(name);
    return id < 0 ? nullptr : disk_.node(id).data;
  }
  leveldb::Status Change(DiskOperation o, int* made = nullptr) {
    using Kind = DiskOperation::Kind;
    std::unique_lock<std::mutex> lock(mutex_);
    if (std::this_thread::get_id() == worker_.get_id()) {
      if (allowed_ == 0) {
        open_ = true;
        changed_.notify_all();
        changed_.wait(lock, [this] { return allowed_ > 0; });
        open_ = false;
      }
      if (allowed_ != SIZE_MAX) --allowed_;
    }
    bool by_name = o.kind == Kind::kRename || o.kind == Kind::kRemove;
    if (by_name && disk_.Find(o.path) < 0) return leveldb::Status::NotFound(o.path);
    bool full = false;
    if (o.kind == Kind::kAppend && capacity_ != SIZE_MAX) {
      size_t used = disk_.used();
      size_t room = used < capacity_ ? capacity_ - used : 0;
      full = o.data.size() > room;
      if (full) o.data.resize(room);  // what fits is written
    }
    int id = disk_.Apply(o);
    if (made) *made = id;
    if (o.kind == Kind::kMake && o.path.size() > 4 &&
        o.path.compare(o.path.size() - 4, 4, ".log") == 0) {
      log_ = id;
    }
    history_.push_back(std::move(o));
    return full ? leveldb::Status::IOError("No space left on device") : leveldb::Status::OK();
  }
  void Work() {
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
      changed_.wait(lock, [this] { return ending_ || !work_.empty(); });
      if (work_.empty()) return;
      auto [function, argument] = work_.front();
      work_.pop_front();
      working_ = true;
      lock.unlock();
      function(argument);
      lock.lock();
      working_ = false;
      changed_.notify_all();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  Disk disk_;
  std::vector<DiskOperation> history_;
  std::deque<std::pair<void (*)(void*), void*>> work_;
  size_t capacity_ = SIZE_MAX;
  size_t allowed_ = SIZE_MAX;
  int log_ = 0;
  bool working_ = false;
  bool open_ = false;
  bool ending_ = false;
  std::thread worker_;
};

}  // namespace elderkeel
