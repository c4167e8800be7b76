#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace elderkeel::base {

// Maps names to dense indices at the door, so that tables inside are plain vectors. An index, once
// given, keeps its meaning while the process runs.
class Names {
 public:
  static constexpr uint32_t kNone = UINT32_MAX;

  uint32_t Intern(const std::string& name) {
    auto [at, added] = indices_.emplace(name, static_cast<uint32_t>(names_.size()));
    if (added) names_.push_back(name);
    return at->second;
  }
  uint32_t Find(const std::string& name) const {
    auto at = indices_.find(name);
    return at == indices_.end() ? kNone : at->second;
  }
  const std::string& Name(uint32_t index) const { return names_[index]; }
  size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, uint32_t> indices_;
  std::vector<std::string> names_;
};

}  // namespace elderkeel::base
