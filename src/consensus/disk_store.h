#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "consensus/file_system.h"
#include "consensus/store.h"

namespace elderkeel::consensus {

// Opens the LevelDB store in `directory`. The directory is made if need be, and so is the one that
// holds it. Errors: kCorruption, kIoError.
base::Result<std::unique_ptr<Store>> OpenDiskStore(const std::string& directory,
                                                   const FileSystem& files = RealFileSystem());

// Whether a store was ever begun in `directory`.
bool HasDiskStore(const std::string& directory);

// Whether a store, or what Load found in it, is damaged for good. Such a store is no store: the
// caller quarantines it and begins anew with another identity, which is safe since the old one then
// never votes again.
bool IsCorruption(const base::Error& error);

// Renames the directory of a store to `directory`.unreadable; one that is there gives way.
base::Status Quarantine(const std::string& directory, const FileSystem& files = RealFileSystem());

}  // namespace elderkeel::consensus
