#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"

namespace elderkeel::simulation {

// Checks the configurations that proxies serve against those committed and acknowledged. Keeps the
// first violation: a proxy reverts to an older revision without a restart; serves a revision that
// was never committed, an invalid one, or other content than was committed under that revision; or
// lacks an acknowledged revision for longer than the bound.
class ServedHistory {
 public:
  explicit ServedHistory(base::Millis bound) : bound_(bound) {}

  // A controller applied an entry that put this revision in force.
  void Committed(int64_t revision, uint64_t digest) {
    auto [at, added] = committed_.emplace(revision, digest);
    if (!added && at->second != digest) {
      Fail("two different configurations were committed as revision ", revision);
    }
  }
  void Acknowledged(base::Millis now, int64_t revision) {
    if (acknowledged_.empty() || acknowledged_.rbegin()->second < revision) {
      acknowledged_[now] = revision;
    }
  }
  // `revision` names an invalid change, which must never be in force.
  void Invalid(int64_t revision) { invalid_[revision] = true; }
  // The node serves `revision`. `bounded`: it has been connected for long enough for the bound to
  // apply.
  void Served(base::Millis now, const std::string& node, uint64_t boot_id, int64_t revision,
              uint64_t digest, bool bounded) {
    int64_t& newest = newest_[{node, boot_id}];
    if (revision < newest) Fail(node + " reverted to revision ", revision);
    newest = revision;
    if (revision > 0) {
      auto at = committed_.find(revision);
      if (at == committed_.end()) {
        Fail(node + " serves a revision that was not committed: ", revision);
      }
      if (at != committed_.end() && at->second != digest) {
        Fail(node + " serves other content than was committed as revision ", revision);
      }
      if (invalid_.count(revision)) Fail(node + " serves the invalid revision ", revision);
    }
    if (!bounded) return;
    auto known = acknowledged_.upper_bound(now - bound_ - 1);
    if (known != acknowledged_.begin() && std::prev(known)->second > revision) {
      Fail(node + " is staler than the bound allows, at revision ", revision);
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
