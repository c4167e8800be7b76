#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace elderkeel::dissemination {

// The newest patches of the configuration. Each one leads to the base of the next, and the last one
// to the configuration in force, so a peer that is a few revisions behind is sent patches instead
// of the complete document. Bounded in number and bytes; the newest patch is always kept.
class PatchHistory {
 public:
  struct Patch {
    int64_t base;
    int64_t revision;
    std::string body;
  };

  // REQUIRES: `patch.base` is the revision of the last patch, if there is one.
  void Add(Patch patch);
  void Clear();
  // Returns the index of the first patch of those that lead from `revision` to the configuration in
  // force; size() if `revision` is no patch's base, or if together they exceed `document_bytes`.
  size_t From(int64_t revision, size_t document_bytes) const;
  size_t size() const { return patches_.size(); }
  const Patch& at(size_t i) const { return patches_[i]; }
  // The newest patch; null if the configuration in force came as a complete document.
  const Patch* last() const { return patches_.empty() ? nullptr : &patches_.back(); }

 private:
  std::deque<Patch> patches_;
  size_t bytes_ = 0;
};

}  // namespace elderkeel::dissemination
