#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace elderkeel::base {

// Assigns dense indices, from 0 on, to names, so that tables can be vectors that are indexed by
// them. An assigned index never changes and is never reused.
class NameIndex {
 public:
  static constexpr uint32_t kNone = UINT32_MAX;  // no index

  // Returns the index of `name`; assigns the next one if the name is new.
  uint32_t Intern(const std::string& name) {
    auto [entry, added] = indices_.emplace(name, static_cast<uint32_t>(names_.size()));
    if (added) names_.push_back(name);
    return entry->second;
  }
  // Returns the index of `name`, or kNone if it has none.
  uint32_t Find(const std::string& name) const {
    auto entry = indices_.find(name);
    return entry == indices_.end() ? kNone : entry->second;
  }
  // REQUIRES: index < size().
  const std::string& Name(uint32_t index) const { return names_[index]; }
  size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, uint32_t> indices_;
  std::vector<std::string> names_;
};

}  // namespace elderkeel::base
