#pragma once

#include <cstdint>
#include <list>
#include <vector>

#include "forwarding/pending_request.h"

namespace elderkeel::forwarding {

// Requests that wait until a server can take them: one list per service, ordered by priority, then
// by arrival. Doesn't own the requests; RequestRouter removes each one before erasing it.
class RequestQueue {
 public:
  using Waiting = std::list<PendingRequest*>;

  // Returns false if the service's queue is full.
  bool Add(PendingRequest* pending);
  void Remove(PendingRequest* pending);
  // Returns the service's waiting requests; null for a service index that no request has used.
  Waiting* WaitingFor(uint32_t service) {
    return service < by_service_.size() ? &by_service_[service] : nullptr;
  }
  // One more than the highest service index used.
  uint32_t services() const { return static_cast<uint32_t>(by_service_.size()); }

 private:
  static constexpr size_t kMaxWaitingPerService = 512;

  std::vector<Waiting> by_service_;
};

}  // namespace elderkeel::forwarding
