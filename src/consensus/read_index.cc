// Reads: confirmed by a round of heartbeats that a majority answered after they were asked for.
#include <algorithm>

#include "consensus/raft_node.h"

namespace elderkeel::consensus {

void RaftNode::FailReads() {
  for (const PendingRead& read : reads_) out_.failed_reads.push_back(read.token);
  reads_.clear();
}

bool RaftNode::Read(base::Millis now, uint64_t token) {
  AdvanceClock(now);
  if (!HasCommittedInTerm()) return false;
  reads_.push_back({token, ++round_});
  if (Majority() == 1) {
    AdvanceReads();
  } else {
    Broadcast(now);
  }
  return true;
}

bool RaftNode::ReadByHeartbeat(base::Millis now, uint64_t token) {
  AdvanceClock(now);
  if (!HasCommittedInTerm()) return false;
  // Any message that is numbered from here on was sent after the question.
  reads_.push_back({token, round_ + 1});
  if (Majority() == 1) AdvanceReads();
  return true;
}

void RaftNode::AdvanceReads() {
  std::vector<uint64_t> rounds;
  for (const Member& v : voters_) {
    auto at = progress_.find(v.id);
    rounds.push_back(v.id == self_.id ? UINT64_MAX : at == progress_.end() ? 0 : at->second.round);
  }
  if (rounds.empty()) return;
  std::sort(rounds.rbegin(), rounds.rend());
  uint64_t confirmed = rounds[Majority() - 1];
  std::vector<PendingRead> rest;
  for (const PendingRead& read : reads_) {
    if (read.round <= confirmed) {
      out_.confirmed_reads.push_back(read.token);
    } else {
      rest.push_back(read);
    }
  }
  reads_.swap(rest);
}

}  // namespace elderkeel::consensus
