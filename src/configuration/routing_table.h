#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/names.h"
#include "configuration/copy_on_write_map.h"
#include "http/http.h"

namespace elderkeel::configuration {

struct WeightedTarget {
  uint32_t service;  // dense index
  uint32_t weight;
};

struct Route {
  std::string label;
  std::string host;  // in lower case
  std::string prefix;
  bool idempotent = false;
  int64_t timeout_ms = 0;
  int64_t target_latency_ms = 0;
  int priority = 0;  // 0 is the highest
  int max_attempts = 1;
  std::vector<WeightedTarget> targets;
  uint64_t weight_sum = 0;
  std::vector<uint32_t> regions;  // dense indices; those it may be served in; empty for all
};

struct Service {
  std::string label;
  std::string health_path;
  int max_conns = 0;
  double warmup_per_s = 0;  // requests a second that a server in slow start takes; 0 if not stated
};

// A configuration made ready for routing. Never changed once built; a request holds on to the one
// that was in force when its head was read.
class RoutingTable {
 public:
  int64_t revision() const { return revision_; }
  const http::Limits& limits() const { return limits_; }
  // The routes that are new, or not as they were, since the table that this one was made from: all
  // of them if it was made from a document.
  const std::vector<std::shared_ptr<const Route>>& changed() const { return changed_; }
  // Indexed by the dense index of the service; null where this version does not know it.
  const Service* service(uint32_t index) const {
    return index < services_.size() ? services_[index].get() : nullptr;
  }
  // The route of `host` with the longest prefix that begins `path`; null if there is none.
  const Route* Match(std::string_view host, std::string_view path) const;
  // The service for a request, by weight; `key` decides, so that it can be computed anew.
  uint32_t Pick(const Route& route, uint64_t key) const;

  // From a valid document; names are mapped through `names`, which outlives all tables. Null if the
  // document can't be read.
  static std::shared_ptr<const RoutingTable> Build(std::string_view text, base::Names* names,
                                                   base::Names* regions);
  // From the table of a valid document and a patch that leads to another valid one; costs what the
  // patch holds. Null if the patch can't be read. The names are those that `base` was built with.
  static std::shared_ptr<const RoutingTable> Patch(const RoutingTable& base, std::string_view patch,
                                                   base::Names* names, base::Names* regions);

 private:
  class Builder;
  using SharedRoute = std::shared_ptr<const Route>;

  int64_t revision_ = 0;
  http::Limits limits_;
  std::vector<SharedRoute> changed_;
  CopyOnWriteMap<SharedRoute> by_label_;
  CopyOnWriteMap<SharedRoute> by_location_;  // by host, NUL, prefix
  std::vector<std::shared_ptr<const Service>> services_;
};

}  // namespace elderkeel::configuration
