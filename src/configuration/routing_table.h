#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/name_index.h"
#include "configuration/copy_on_write_map.h"
#include "http/http.h"

namespace elderkeel::configuration {

// A service that a route sends requests to, and its share of the route's requests.
struct WeightedTarget {
  uint32_t service;  // dense index, from base::NameIndex
  uint32_t weight;   // relative to Route::weight_sum; above 0
};

// A route of the configuration, with defaults filled in.
struct Route {
  std::string label;
  std::string host;    // in lower case
  std::string prefix;  // of the path; ends with a slash
  bool idempotent = false;
  int64_t timeout_ms = 0;
  int64_t target_latency_ms = 0;
  int priority = 0;  // 0 is the highest
  int max_attempts = 1;
  std::vector<WeightedTarget> targets;
  uint64_t weight_sum = 0;
  std::vector<uint32_t> regions;  // dense indices of the allowed regions; empty for all
};

// A service of the configuration, with defaults filled in.
struct Service {
  std::string label;
  std::string health_path;
  int max_conns = 0;
  double warmup_per_s = 0;  // requests/s that a server in slow start accepts; 0 if not set
};

// A configuration prepared for routing requests in a proxy. Immutable once built. A request keeps
// the table that was in force when its header was read, so that it sees one revision throughout.
// Not thread-safe: tables that are patched from each other share data (see CopyOnWriteMap).
class RoutingTable {
 public:
  int64_t revision() const { return revision_; }
  const http::Limits& limits() const { return limits_; }
  // Returns the routes that the patch added or replaced if Patch() made this table, and all routes
  // if Build() did.
  const std::vector<std::shared_ptr<const Route>>& changed_routes() const {
    return changed_routes_;
  }
  // Returns the service with this dense index; null if this revision doesn't list it.
  const Service* service(uint32_t index) const {
    return index < services_.size() ? services_[index].get() : nullptr;
  }
  // Returns the route for `host` with the longest prefix of `path`; null if there is none. A port
  // in `host` and the case of its letters are ignored.
  const Route* Match(std::string_view host, std::string_view path) const;
  // Returns the dense index of the service for a request, chosen by weight. The result depends only
  // on `route` and `key`, so the same key always gives the same service.
  uint32_t PickService(const Route& route, uint64_t key) const;

  // Builds a table from a valid document. Maps service labels to dense indices by `names` and
  // regions by `regions`. Returns null if the document can't be parsed. REQUIRES: `names` and
  // `regions` outlive all tables.
  static std::shared_ptr<const RoutingTable> Build(std::string_view text, base::NameIndex* names,
                                                   base::NameIndex* regions);
  // Builds a table from the table of a valid document and a patch that results in another valid
  // one. The cost depends on the size of the patch, not of the document. Returns null if the patch
  // can't be parsed. REQUIRES: `names` and `regions` are those that `base` was built with.
  static std::shared_ptr<const RoutingTable> Patch(const RoutingTable& base, std::string_view patch,
                                                   base::NameIndex* names,
                                                   base::NameIndex* regions);

 private:
  class Builder;
  using SharedRoute = std::shared_ptr<const Route>;

  int64_t revision_ = 0;
  http::Limits limits_;
  std::vector<SharedRoute> changed_routes_;
  CopyOnWriteMap<SharedRoute> by_label_;
  CopyOnWriteMap<SharedRoute> by_location_;  // key: host, NUL, prefix
  std::vector<std::shared_ptr<const Service>> services_;
};

}  // namespace elderkeel::configuration
