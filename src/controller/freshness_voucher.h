#pragma once

#include <cstdint>

#include "controller/catalog_poller.h"
#include "controller/context.h"

namespace elderkeel::controller {

// Where the knowledge comes from that state is current (docs/dissemination.md): the leader confirms
// with a majority that nothing was committed without it, and the reader of the platform's list
// confirms that it is still the one. Tells the disseminator who vouches for what.
class FreshnessVoucher {
 public:
  // Both outlive this object.
  FreshnessVoucher(Context* context, const CatalogPoller* poller)
      : context_(context), poller_(poller) {}

  // REQUIRES: the replica is running.
  void Tick(base::Millis now);
  // True if the read was this object's.
  bool OnReadFinished(uint64_t token, bool confirmed);

 private:
  void NameVouchers();
  void ConfirmLeadership(base::Millis now);

  Context* context_;
  const CatalogPoller* poller_;
  uint64_t read_token_ = 0;  // of the read under way; 0 for none
  base::Millis read_at_ = 0;
};

}  // namespace elderkeel::controller
