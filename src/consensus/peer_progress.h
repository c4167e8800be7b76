#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "base/clock.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

// Flow control of what a leader sends to one member: the bytes that are sent and not answered yet
// stay within a window, which grows while answers come quickly and shrinks while they are slow. On
// a slow link these bytes are what a heartbeat waits behind.
class SendWindow {
 public:
  struct InFlight {
    uint64_t round;
    size_t bytes;
    base::Millis sent_at;
  };

  // Whether `bytes` more may be sent, on top of `queued` that are to go out with them. A message
  // that is larger than the window goes alone.
  bool HasRoom(size_t queued, size_t bytes) const;
  void OnSent(base::Millis now, uint64_t round, size_t bytes);
  // A message was answered: what was sent up to it is no longer in flight.
  void OnReply(base::Millis now, uint64_t round, base::Millis heartbeat_interval);
  void Clear();

  size_t size_bytes() const { return size_bytes_; }
  const std::deque<InFlight>& in_flight() const { return in_flight_; }

 private:
  static constexpr size_t kMinBytes = 64u << 10;
  static constexpr size_t kMaxBytes = 256u << 10;

  size_t size_bytes_ = kMinBytes;
  size_t in_flight_bytes_ = 0;
  std::deque<InFlight> in_flight_;  // by round
};

// What a leader knows of one other member.
struct PeerProgress {
  Member member;
  bool is_voter = false;
  // The last entry that the member is known to have synced, and the next to be sent to it.
  Index match_index = 0;
  Index next_index = 1;
  base::Millis last_contact = 0;
  SendWindow window;

  // Rounds of messages, by which a late reply is told from the newest.
  uint64_t last_reply_round = 0;    // of its newest reply
  uint64_t acknowledged_round = 0;  // the newest sent when match_index last grew
  uint64_t rewound_round = 0;       // the newest sent when next_index or the offset went back

  // The snapshot that is being sent, and how much of its state was. It stays the same to its end,
  // whatever was compacted since.
  std::shared_ptr<const Snapshot> snapshot;
  size_t snapshot_offset = 0;

  // It lacks what it had acknowledged: it counts for nothing.
  bool state_lost = false;
  // When it last asked to be let go; -1 for never.
  base::Millis leave_requested_at = -1;
};

}  // namespace elderkeel::consensus
