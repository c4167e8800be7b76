#pragma once

#include <leveldb/env.h>

#include <functional>
#include <string>

namespace elderkeel::consensus {

// The file system that a store uses. When `env` creates, renames or removes a file, the change
// survives a power loss only once the directory was synced, and leveldb::Env has no call for that.
struct FileSystem {
  leveldb::Env* env;
  // Syncs the names in a directory. NotSupported: this process has no permission to open the
  // directory for reading, so it can't sync it.
  std::function<leveldb::Status(const std::string& directory)> sync_directory;
};

// The operating system's file system.
const FileSystem& RealFileSystem();

// The directory that contains `path`; "." for a name without a directory.
std::string ParentDirectory(const std::string& path);

// Creates the directory, unless it exists, and syncs its parent.
leveldb::Status MakeDurableDirectory(const FileSystem& file_system, const std::string& directory);

// An Env that syncs a directory each time a file in it was created or renamed, before LevelDB
// continues.
//
// LevelDB itself syncs a directory only when it writes a new manifest. Before that, a new log file
// already takes synced writes, and the manifest that CURRENT named before is removed before the
// rename of the new CURRENT is synced. A power loss in between would lose acknowledged writes, or
// leave a CURRENT that names a removed file. Removals need no sync: if an obsolete file reappears,
// LevelDB recognizes it by its number.
class SyncedEnv : public leveldb::EnvWrapper {
 public:
  explicit SyncedEnv(const FileSystem& file_system)
      : EnvWrapper(file_system.env), file_system_(file_system) {}

  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

 private:
  // Syncs the directory of `name` if `status` is OK. If that fails, deletes `*file`.
  leveldb::Status SyncDirectoryOf(const std::string& name, leveldb::WritableFile** file,
                                  leveldb::Status status);

  FileSystem file_system_;
};

}  // namespace elderkeel::consensus
