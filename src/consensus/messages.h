#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "consensus/types.h"

namespace elderkeel::consensus {

// Types of the messages between members. The names are those of the Raft paper where it has one.
// The numeric values are part of the wire format.
enum class MessageType : uint8_t {
  kPreVote,       // asks whether a vote would be granted in the next term
  kPreVoteReply,  // `granted`
  kRequestVote,
  kRequestVoteReply,
  kAppendEntries,
  kAppendEntriesReply,
  kInstallSnapshot,       // one chunk of a snapshot's state
  kTimeoutNow,            // leadership transfer: the receiver starts an election at once
  kLeave,                 // a member that shuts down asks the leader to release it
  kLeaveReply,            // `granted`: committed entries have enough other replicas, it may stop
  kInstallSnapshotReply,  // bytes received so far; kAppendEntriesReply answers the last chunk
  kStateLost,             // to a member that lacks entries which it had acknowledged
};

// A message of any type. Fields that a type doesn't use keep their defaults.
struct Message {
  MessageType type = MessageType::kAppendEntries;
  uint64_t cluster = 0;
  MemberId from = 0;
  MemberId to = 0;
  Term term = 0;
  // From a candidate: its last index. From a leader: the index before `entries`. In a reply to
  // AppendEntries: the last index that matches, or, in a rejection, the last that may match. In a
  // reply to a chunk: the index of its snapshot. In a kStateLost: the last index that the receiver
  // had acknowledged.
  Index index = 0;
  Term log_term = 0;  // of the entry at `index`
  Index commit = 0;
  // Increases with each numbered message of a member; replies echo it. It identifies late messages
  // and late replies, and confirms reads.
  uint64_t round = 0;
  bool granted = false;  // in a reply: the vote, entries, chunk or request was accepted
  std::vector<Entry> entries;
  std::vector<Snapshot> snapshot;  // none or one, with one chunk of its state
  uint64_t offset = 0;             // of the chunk, in bytes; in a reply, the bytes received so far
  uint64_t total = 0;              // bytes of the complete state
  template <class Archive>
  void serialize(Archive& archive) {
    archive(type, cluster, from, to, term, index, log_term, commit, round, granted, entries,
            snapshot, offset, total);
  }
};

// A message and the address that the caller sends it to.
struct OutgoingMessage {
  base::Address to;
  Message message;
};

}  // namespace elderkeel::consensus
