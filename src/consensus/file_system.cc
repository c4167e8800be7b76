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
  if (fd < 0 && errno == EACCES) return leveldb::Status::NotSupported(directory, "can't be read");
  if (fd < 0) return leveldb::Status::IOError(directory, std::strerror(errno));
  int failed = fsync(fd) == 0 ? 0 : errno;
  close(fd);
  if (failed != 0) return leveldb::Status::IOError(directory, std::strerror(failed));
  return leveldb::Status::OK();
}

}  // namespace

const FileSystem& RealFileSystem() {
  static const FileSystem kFiles{leveldb::Env::Default(), SyncDirectory};
  return kFiles;
}

std::string ParentDirectory(const std::string& path) {
  std::filesystem::path clean = std::filesystem::path(path + "/").lexically_normal();
  std::string parent = clean.parent_path().parent_path().string();
  return parent.empty() ? "." : parent;
}

// Whoever made the directory may have lost power before its name was synced, so it is synced in any
// case. One that its owner made, in a directory that this process may not read, is taken as it is.
leveldb::Status MakeDurableDirectory(const FileSystem& files, const std::string& directory) {
  bool made = files.env->CreateDir(directory).ok();
  leveldb::Status status = files.sync_directory(ParentDirectory(directory));
  if (status.ok() || (!made && status.IsNotSupportedError())) return leveldb::Status::OK();
  if (made) files.env->RemoveDir(directory);
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
  return status.ok() ? files_.sync_directory(ParentDirectory(to)) : status;
}

leveldb::Status SyncedEnv::SyncDirectoryOf(const std::string& name, leveldb::WritableFile** file,
                                           leveldb::Status status) {
  if (!status.ok()) return status;
  status = files_.sync_directory(ParentDirectory(name));
  if (status.ok()) return status;
  delete *file;
  *file = nullptr;
  return status;
}

}  // namespace elderkeel::consensus
