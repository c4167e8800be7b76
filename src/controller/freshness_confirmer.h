#pragma once

#include <cstdint>

#include "controller/catalog_poller.h"
#include "controller/context.h"

namespace elderkeel::controller {

// The source of the evidence that disseminated state is current (docs/dissemination.md): the leader
// confirms with a majority that it still leads, so that nothing was committed without it, and the
// catalog reader confirms that it still has its role. Passes the evidence to the disseminator,
// together with the addresses of these two controllers. Controller calls it on each tick.
class FreshnessConfirmer {
 public:
  // Both pointers outlive this object.
  FreshnessConfirmer(Context* context, const CatalogPoller* poller)
      : context_(context), poller_(poller) {}

  // REQUIRES: the replica is running.
  void Tick(base::Millis now);
  // Returns whether this object had requested the read.
  bool OnReadFinished(uint64_t token, bool confirmed);

 private:
  void UpdateAuthorities();
  void ConfirmLeadership(base::Millis now);

  Context* context_;
  const CatalogPoller* poller_;
  uint64_t read_token_ = 0;   // of the read in flight; 0 if there is none
  base::Millis read_at_ = 0;  // when that read began
};

}  // namespace elderkeel::controller
