#pragma once

#include "base/loop.h"
#include "base/settings.h"
#include "cluster/cluster_node.h"
#include "discovery/platform_client.h"

namespace elderkeel::proxy {

// Reads the platform's list of servers directly when no update of it has reached this proxy for too
// long: an outdated list is worse than a few more calls to the platform. Reads are staggered, and
// spaced by the number of nodes so that all nodes together stay below the platform's rate limit.
class FallbackReader {
 public:
  // All pointers outlive this object.
  FallbackReader(base::Loop* loop, const base::Settings* settings, cluster::ClusterNode* node);

  // Starts a read if one is due. Called regularly by the proxy.
  void Tick(base::Millis now);

 private:
  // The minimum time between two reads of this proxy.
  base::Millis ReadInterval() const;

  const base::Settings* settings_;
  cluster::ClusterNode* node_;
  discovery::PlatformClient platform_;
  base::Millis next_read_at_ = 0;  // 0 before the first Tick()
};

}  // namespace elderkeel::proxy
