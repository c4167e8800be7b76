#include "consensus/pending_writes.h"

#include <algorithm>
#include <utility>

namespace elderkeel::consensus {

uint64_t PendingWrites::Start(base::Millis now) {
  ++started_;
  started_at_[started_] = now;
  return started_;
}

void PendingWrites::OnTruncated(Index last) {
  durable_index_ = std::min(durable_index_, last);
  for (auto& [sequence, covered] : durable_on_finish_) covered = std::min(covered, last);
}

void PendingWrites::OnReplaced(Index last) {
  durable_index_ = last;
  durable_on_finish_.clear();
}

void PendingWrites::OnFinished(uint64_t sequence, Index last_index) {
  finished_ = std::max(finished_, sequence);
  started_at_.erase(started_at_.begin(), started_at_.upper_bound(sequence));
  while (!durable_on_finish_.empty() && durable_on_finish_.begin()->first <= sequence) {
    durable_index_ =
        std::max(durable_index_, std::min(durable_on_finish_.begin()->second, last_index));
    durable_on_finish_.erase(durable_on_finish_.begin());
  }
}

bool PendingWrites::IsStalled(base::Millis now, base::Millis timeout) const {
  return !started_at_.empty() && now - started_at_.begin()->second > timeout;
}

void PendingWrites::Defer(OutgoingMessage message) {
  if (deferred_.size() > kMaxDeferred) deferred_.erase(deferred_.begin());
  deferred_.push_back({started_, std::move(message)});
}

std::vector<OutgoingMessage> PendingWrites::TakeReady() {
  std::vector<OutgoingMessage> ready;
  std::vector<DeferredMessage> rest;
  for (DeferredMessage& deferred : deferred_) {
    if (deferred.after <= finished_) {
      ready.push_back(std::move(deferred.message));
    } else {
      rest.push_back(std::move(deferred));
    }
  }
  deferred_.swap(rest);
  return ready;
}

}  // namespace elderkeel::consensus
