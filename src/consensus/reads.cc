// Reads of a RaftNode: a read is confirmed once a majority has answered a message that the leader
// sent after the read was requested.
#include <utility>

#include "consensus/raft_node.h"

namespace elderkeel::consensus {

bool RaftNode::ConfirmRead(base::Millis now, uint64_t token) {
  AdvanceClock(now);
  if (!HasCommittedInTerm()) return false;
  reads_.Add(token, ++round_);
  if (Majority() == 1) {
    AdvanceReads();
  } else {
    Broadcast(now);
  }
  return true;
}

bool RaftNode::ConfirmReadByHeartbeat(base::Millis now, uint64_t token) {
  AdvanceClock(now);
  if (!HasCommittedInTerm()) return false;
  // Every message that is numbered from here on is sent after the request.
  reads_.Add(token, round_ + 1);
  if (Majority() == 1) AdvanceReads();
  return true;
}

void RaftNode::AdvanceReads() {
  std::vector<uint64_t> answered;  // the highest round that each voter answered
  for (const Member& voter : voters_) {
    auto peer = progress_.find(voter.id);
    uint64_t round = peer == progress_.end() ? 0 : peer->second.last_reply_round;
    answered.push_back(voter.id == self_.id ? UINT64_MAX : round);
  }
  if (answered.empty()) return;
  for (uint64_t token : reads_.TakeConfirmed(ReachedByMajority(std::move(answered)))) {
    effects_.confirmed_reads.push_back(token);
  }
}

void RaftNode::FailReads() {
  for (uint64_t token : reads_.TakeAll()) effects_.failed_reads.push_back(token);
}

}  // namespace elderkeel::consensus
