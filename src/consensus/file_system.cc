#include "consensus/file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace elderkeel::consensus {
namespace {

leveldb::Status SyncDirectory(const std::string& directory) {
  int fd = open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0 && errno == EACCES)
    return leveldb::Status::NotSupported(directory,
                                         "no permission to open the directory for syncing");
  if (fd < 0) return leveldb::Status::IOError(directory, std::strerror(errno));
  int sync_errno = fsync(fd) == 0 ? 0 : errno;
  close(fd);
  if (sync_errno != 0) return leveldb::Status::IOError(directory, std::strerror(sync_errno));
  return leveldb::Status::OK();
}

}  // namespace

const FileSystem& RealFileSystem() {
  static const FileSystem kRealFileSystem{leveldb::Env::Default(), SyncDirectory};
  return kRealFileSystem;
}

std::string ParentDirectory(const std::string& path) {
  std::filesystem::path clean = std::filesystem::path(path + "/").lexically_normal();
  std::string parent = clean.parent_path().parent_path().string();
  return parent.empty() ? "." : parent;
}

// Syncs the parent even if the directory exists: the process that created it may have lost power
// before its name was synced. A process without permission to read the parent can't sync it; it
// accepts a directory that the parent's owner has created there, but doesn't create one itself.
leveldb::Status MakeDurableDirectory(const FileSystem& file_system, const std::string& directory) {
  bool created = file_system.env->CreateDir(directory).ok();
  leveldb::Status status = file_system.sync_directory(ParentDirectory(directory));
  if (status.ok() || (!created && status.IsNotSupportedError())) return leveldb::Status::OK();
  if (created) file_system.env->RemoveDir(directory);
  return status;
}

leveldb::Status SyncedEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
  return SyncDirectoryOf(name, file, target()->NewWritableFile(name, file));
}

leveldb::Status SyncedEnv::NewAppendableFile(const std::string& name,
                                             leveldb::WritableFile** file) {
  return SyncDirectoryOf(name, file, target()->NewAppendableFile(name, file));
}

leveldb::Status SyncedEnv::RenameFile(const std::string& from, const std::string& to) {
  leveldb::Status status = target()->RenameFile(from, to);
  return status.ok() ? file_system_.sync_directory(ParentDirectory(to)) : status;
}

leveldb::Status SyncedEnv::SyncDirectoryOf(const std::string& name, leveldb::WritableFile** file,
                                           leveldb::Status status) {
  if (!status.ok()) return status;
  status = file_system_.sync_directory(ParentDirectory(name));
  if (status.ok()) return status;
  delete *file;
  *file = nullptr;
  return status;
}

}  // namespace elderkeel::consensus
