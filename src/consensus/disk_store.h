#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "consensus/file_system.h"
#include "consensus/store.h"

namespace elderkeel::consensus {

// Opens the LevelDB store in `directory`. Creates the directory and its parent if they don't exist.
// Errors: kCorruption, kIoError.
base::Result<std::unique_ptr<Store>> OpenDiskStore(
    const std::string& directory, const FileSystem& file_system = RealFileSystem());

// Whether a LevelDB database was ever created in `directory`.
bool HasDiskStore(const std::string& directory);

// Whether `error`, of OpenDiskStore() or Store::Load(), means that the store is damaged for good.
// The caller then quarantines it and starts with an empty store under a new member id. That is safe
// because the old id never votes again.
bool IsCorruption(const base::Error& error);

// Renames the directory of a store to `directory`.unreadable, replacing an earlier one of that
// name, and syncs the parent directory. Errors: kIoError.
base::Status Quarantine(const std::string& directory,
                        const FileSystem& file_system = RealFileSystem());

}  // namespace elderkeel::consensus
