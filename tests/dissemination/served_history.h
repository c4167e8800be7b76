#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"

namespace elderkeel::simulation {

// What proxies serve by, held against what was committed and acknowledged. The first violation is
// kept: a proxy that goes back within one life; one that serves what was never committed, or other
// than what was committed under that number; one that lacks what was acknowledged for too long.
class ServedHistory {
 public:
  explicit ServedHistory(base::Millis bound) : bound_(bound) {}

  // A controller applied an entry that put this in force.
  void Committed(int64_t revision, uint64_t digest) {
    auto [at, added] = committed_.emplace(revision, digest);
    if (!added && at->second != digest) Fail("two configurations are committed as ", revision);
  }
  void Acknowledged(base::Millis now, int64_t revision) {
    if (acknowledged_.empty() || acknowledged_.rbegin()->second < revision) {
      acknowledged_[now] = revision;
    }
  }
  // A change that no valid configuration may carry.
  void Invalid(int64_t revision) { invalid_[revision] = true; }
  // `bounded`: the node has been in touch for long enough to be held to the bound.
  void Served(base::Millis now, const std::string& node, uint64_t boot_id, int64_t revision,
              uint64_t digest, bool bounded) {
    int64_t& newest = newest_[{node, boot_id}];
    if (revision < newest) Fail(node + " went back to ", revision);
    newest = revision;
    if (revision > 0) {
      auto at = committed_.find(revision);
      if (at == committed_.end()) Fail(node + " serves by what was not committed, ", revision);
      if (at != committed_.end() && at->second != digest) {
        Fail(node + " serves by another configuration than was committed as ", revision);
      }
      if (invalid_.count(revision)) Fail(node + " serves by the invalid ", revision);
    }
    if (!bounded) return;
    auto known = acknowledged_.upper_bound(now - bound_ - 1);
    if (known != acknowledged_.begin() && std::prev(known)->second > revision) {
      Fail(node + " is older than the bound allows, at ", revision);
    }
  }
  const std::string& fault() const { return fault_; }

 private:
  void Fail(const std::string& what, int64_t revision) {
    if (fault_.empty()) fault_ = what + std::to_string(revision);
  }

  base::Millis bound_;
  std::map<int64_t, uint64_t> committed_;
  std::map<base::Millis, int64_t> acknowledged_;
  std::map<int64_t, bool> invalid_;
  std::map<std::pair<std::string, uint64_t>, int64_t> newest_;
  std::string fault_;
};

}  // namespace elderkeel::simulation
