#pragma once

#include <cstdint>
#include <list>
#include <vector>

#include "forwarding/pending_request.h"

namespace elderkeel::forwarding {

// Requests that wait for a server to have room, by service; in each by priority, then by arrival.
// Owns none of them.
class RequestQueue {
 public:
  using Waiting = std::list<PendingRequest*>;

  // False if too many wait already.
  bool Add(PendingRequest* pending);
  void Remove(PendingRequest* pending);
  // Null for a service that never had one.
  Waiting* Of(uint32_t service) {
    return service < by_service_.size() ? &by_service_[service] : nullptr;
  }
  uint32_t services() const { return static_cast<uint32_t>(by_service_.size()); }

 private:
  static constexpr size_t kMaxWaiting = 512;  // for one service

  std::vector<Waiting> by_service_;
};

}  // namespace elderkeel::forwarding
