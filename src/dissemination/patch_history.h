#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace elderkeel::dissemination {

// The newest patches of the configuration, each leading to the next one's base and the last one to
// what is in force, so that a peer some steps behind needs no whole document. Bounded in number and
// bytes.
class PatchHistory {
 public:
  struct Patch {
    int64_t base;
    int64_t revision;
    std::string body;
  };

  void Add(Patch patch);
  void Clear();
  // The first of those that lead from `revision` to what is in force; size() if none do, or if
  // together they are longer than `document_bytes`.
  size_t From(int64_t revision, size_t document_bytes) const;
  size_t size() const { return patches_.size(); }
  const Patch& at(size_t i) const { return patches_[i]; }
  // The last step; null if what is in force came whole.
  const Patch* last() const { return patches_.empty() ? nullptr : &patches_.back(); }

 private:
  std::deque<Patch> patches_;
  size_t bytes_ = 0;
};

}  // namespace elderkeel::dissemination
