#pragma once

#include "base/loop.h"
#include "base/settings.h"
#include "cluster/cluster_node.h"
#include "discovery/platform_client.h"

namespace elderkeel::proxy {

// Reads the platform's list for this proxy alone, when no update of it comes any more: an old list
// is worse than a few calls. So seldom, and staggered, that all nodes together stay below the
// platform's rate.
class FallbackReader {
 public:
  // All pointers outlive this object.
  FallbackReader(base::Loop* loop, const base::Settings* settings, cluster::ClusterNode* node);

  // Reads the list if that is due.
  void Tick(base::Millis now);

 private:
  base::Millis ReadEvery() const;

  const base::Settings* settings_;
  cluster::ClusterNode* node_;
  discovery::PlatformClient platform_;
  base::Millis next_read_at_ = 0;  // 0 for not chosen yet
};

}  // namespace elderkeel::proxy
