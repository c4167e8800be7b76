#pragma once

#include <leveldb/env.h>

#include <functional>
#include <string>

namespace elderkeel::consensus {

// The file system below a store. What `env` makes, renames or removes in a directory outlives a
// loss of power once the directory was synced, which leveldb::Env has no call for.
struct FileSystem {
  leveldb::Env* env;
  // NotSupported: the directory may not be opened for reading, so it can't be synced.
  std::function<leveldb::Status(const std::string& directory)> sync_directory;
};
const FileSystem& RealFileSystem();

// The directory that holds `path`; "." for a bare name.
std::string ParentDirectory(const std::string& path);

// Makes the directory, unless it is there, and syncs the one that holds it.
leveldb::Status MakeDurableDirectory(const FileSystem& files, const std::string& directory);

// An Env that syncs a directory whenever a file in it was made or renamed, before LevelDB goes on.
//
// LevelDB itself syncs a directory only with a new manifest: log files take synced writes before
// that, and the files that CURRENT named before are removed before its new name is synced. What was
// removed may come back: LevelDB knows by number what it has done with.
class SyncedEnv : public leveldb::EnvWrapper {
 public:
  explicit SyncedEnv(const FileSystem& files) : EnvWrapper(files.env), files_(files) {}

  leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

 private:
  leveldb::Status SyncDirectoryOf(const std::string& name, leveldb::WritableFile** file,
                                  leveldb::Status status);

  FileSystem files_;
};

}  // namespace elderkeel::consensus
