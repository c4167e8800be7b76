#include "dissemination/patch_history.h"

#include <utility>

namespace elderkeel::dissemination {
namespace {
constexpr size_t kMaxPatches = 64;
constexpr size_t kMaxBytes = 64 << 10;
}  // namespace

void PatchHistory::Add(Patch patch) {
  bytes_ += patch.body.size();
  patches_.push_back(std::move(patch));
  while (patches_.size() > 1 && (patches_.size() > kMaxPatches || bytes_ > kMaxBytes)) {
    bytes_ -= patches_.front().body.size();
    patches_.pop_front();
  }
}

void PatchHistory::Clear() {
  patches_.clear();
  bytes_ = 0;
}

size_t PatchHistory::From(int64_t revision, size_t document_bytes) const {
  size_t bytes = 0;
  for (size_t first = patches_.size(); first-- > 0;) {
    bytes += patches_[first].body.size();
    if (bytes > document_bytes) break;
    if (patches_[first].base == revision) return first;
  }
  return patches_.size();
}

}  // namespace elderkeel::dissemination
