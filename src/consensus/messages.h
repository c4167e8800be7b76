#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "consensus/types.h"

namespace elderkeel::consensus {

// What members of the log send each other. The names are those of the Raft paper, where it has one.
// The numbers are on the wire.
enum class MessageType : uint8_t {
  kPreVote,       // would you vote for me in the next term?
  kPreVoteReply,  // `granted`
  kRequestVote,
  kRequestVoteReply,
  kAppendEntries,
  kAppendEntriesReply,
  kInstallSnapshot,       // a part of a snapshot's state
  kTimeoutNow,            // leadership is handed over: start an election at once
  kLeave,                 // a voter that is about to stop asks to give up its vote
  kLeaveReply,            // `granted`: what it holds is replicated elsewhere, it may stop
  kInstallSnapshotReply,  // how much has arrived; the last part is answered by kAppendEntriesReply
  kStateLost,             // to a member that no longer holds what it had acknowledged
};

struct Message {
  MessageType type = MessageType::kAppendEntries;
  uint64_t cluster = 0;
  MemberId from = 0;
  MemberId to = 0;
  Term term = 0;
  // Of a candidate: its last index. Of a leader: the index before `entries`. Of a reply: the last
  // index that matches, or, in a rejection, that may match.
  Index index = 0;
  Term log_term = 0;  // of the entry at `index`
  Index commit = 0;
  // Numbers what one member sends; replies echo it. It tells late replies and late messages apart
  // from the newest, and confirms reads.
  uint64_t round = 0;
  bool granted = false;  // a vote was given, entries or a part of a snapshot were taken
  std::vector<Entry> entries;
  std::vector<Snapshot> snapshot;  // none or one, with a part of its state
  uint64_t offset = 0;             // where that part begins; in a reply, how much has arrived
  uint64_t total = 0;              // bytes of the whole state
  template <class Archive>
  void serialize(Archive& archive) {
    archive(type, cluster, from, to, term, index, log_term, commit, round, granted, entries,
            snapshot, offset, total);
  }
};

struct OutgoingMessage {
  base::Address to;
  Message message;
};

}  // namespace elderkeel::consensus
