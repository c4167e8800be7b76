#include "consensus/peer_progress.h"

#include <algorithm>

namespace elderkeel::consensus {

bool SendWindow::HasRoom(size_t queued, size_t bytes) const {
  size_t before = in_flight_bytes_ + queued;
  return before == 0 || before + bytes <= size_bytes_;
}

void SendWindow::OnSent(base::Millis now, uint64_t round, size_t bytes) {
  in_flight_.push_back({round, bytes, now});
  in_flight_bytes_ += bytes;
}

void SendWindow::Clear() {
  in_flight_.clear();
  in_flight_bytes_ = 0;
}

void SendWindow::OnReply(base::Millis now, uint64_t round, base::Millis heartbeat_interval) {
  while (!in_flight_.empty() && in_flight_.front().round <= round) {
    const InFlight& message = in_flight_.front();
    base::Millis reply_time = now - message.sent_at;
    bool filled = message.bytes * 2 >= size_bytes_;
    bool answered = message.round == round;
    if (answered && filled && reply_time <= heartbeat_interval) {
      size_bytes_ = std::min(size_bytes_ * 2, kMaxBytes);
    } else if (answered && reply_time > heartbeat_interval * 2) {
      size_bytes_ = std::max(size_bytes_ / 2, kMinBytes);
    }
    in_flight_bytes_ -= message.bytes;
    in_flight_.pop_front();
  }
}

}  // namespace elderkeel::consensus
