#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "base/clock.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

// Flow control for what a leader sends to one member. It limits the bytes in flight (sent and not
// yet answered) to a window that doubles when replies are fast and halves when they are slow.
// Without the limit, heartbeats would queue behind these bytes on a slow link.
class SendWindow {
 public:
  // A message that was sent and not yet answered.
  struct InFlight {
    uint64_t round;
    size_t bytes;
    base::Millis sent_at;
  };

  // Whether `bytes` more may be sent, in addition to `queued` bytes that are about to be sent. If
  // nothing is in flight or queued, any size is allowed: a message may exceed the window.
  bool HasRoom(size_t queued, size_t bytes) const;
  // Records a sent message. REQUIRES: `round` is higher than that of any message in flight.
  void OnSent(base::Millis now, uint64_t round, size_t bytes);
  // A reply to message `round` has arrived: this message and all before it are no longer in flight.
  // Doubles the window if the message filled at least half of it and the reply took at most one
  // heartbeat interval; halves it if the reply took more than two.
  void OnReply(base::Millis now, uint64_t round, base::Millis heartbeat_interval);
  // Forgets all messages in flight; the window keeps its size.
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

// A leader's replication state for one other member, a voter or a learner.
struct PeerProgress {
  Member member;
  bool is_voter = false;
  // The last entry that the member acknowledged as synced, and the next to be sent to it.
  Index match_index = 0;
  Index next_index = 1;
  // When the member last replied or sent a kLeave; initially, when it was added.
  base::Millis last_contact = 0;
  SendWindow window;

  // Rounds of this leader's messages, to detect late replies.
  uint64_t last_reply_round = 0;    // the highest round that the member answered
  uint64_t acknowledged_round = 0;  // the newest sent before match_index last increased
  uint64_t rewound_round = 0;       // the newest sent before next_index or the offset decreased

  // The snapshot that is being sent, null if none, and the bytes of its state that were sent. A
  // transfer continues with this snapshot even if the log was compacted again since.
  std::shared_ptr<const Snapshot> snapshot;
  size_t snapshot_offset = 0;

  // The member lacks entries that it had acknowledged. It counts neither for commits nor for the
  // leader's quorum.
  bool state_lost = false;
  // When the member last sent a kLeave; -1 for never.
  base::Millis leave_requested_at = -1;
};

}  // namespace elderkeel::consensus
