#include "forwarding/request_queue.h"

#include <iterator>

namespace elderkeel::forwarding {

bool RequestQueue::Add(PendingRequest* pending) {
  if (pending->service >= by_service_.size()) by_service_.resize(pending->service + 1);
  Waiting& waiting = by_service_[pending->service];
  if (waiting.size() >= kMaxWaitingPerService) return false;
  int priority = pending->route->priority;
  auto position = waiting.end();
  while (position != waiting.begin() && (*std::prev(position))->route->priority > priority) {
    --position;
  }
  waiting.insert(position, pending);
  pending->queued = true;
  return true;
}

void RequestQueue::Remove(PendingRequest* pending) {
  by_service_[pending->service].remove(pending);
  pending->queued = false;
}

}  // namespace elderkeel::forwarding
