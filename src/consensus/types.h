#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/settings.h"

namespace elderkeel::consensus {

using MemberId = uint64_t;
using Term = uint64_t;
using Index = uint64_t;

// A controller that takes part in the log. The id is not the address: a controller that starts with
// an empty store at an old address is another member, so its forgotten votes can't be given twice.
struct Member {
  MemberId id = 0;
  std::string ip;
  uint16_t port = 0;    // where it listens for our own processes
  std::string control;  // where the operator reaches it
  std::string zone;

  base::Address address() const { return {ip, port}; }
  bool operator==(const Member& o) const { return id == o.id; }
  template <class A>
  void serialize(A& a) {
    a(id, ip, port, control, zone);
  }
};

enum class EntryKind : uint8_t { kNoop, kVoters, kCommand };

struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;
  template <class A>
  void serialize(A& a) {
    a(term, index, kind, data);
  }
};

struct Snapshot {
  Index index = 0;
  Term term = 0;
  std::vector<Member> voters;
  std::string state;
  template <class A>
  void serialize(A& a) {
    a(index, term, voters, state);
  }
};

// What must be on disk before it is told to anybody.
struct HardState {
  uint64_t cluster = 0;
  MemberId self = 0;
  Term term = 0;
  MemberId voted_for = 0;
  template <class A>
  void serialize(A& a) {
    a(cluster, self, term, voted_for);
  }
};

enum class MessageType : uint8_t {
  kPreVote,
  kPreVoteReply,
  kRequestVote,
  kRequestVoteReply,
  kAppendEntries,
  kAppendEntriesReply,
  kInstallSnapshot,
  kTimeoutNow,
  kLeave,                 // a voter that is about to end gives up its vote
  kLeaveReply,            // granted: what it holds is elsewhere, it may end
  kInstallSnapshotReply,  // how much of it has come; the last part is answered as entries are
  kStateLost,             // to a member that no longer holds what it had acknowledged
};

struct Message {
  MessageType type = MessageType::kAppendEntries;
  uint64_t cluster = 0;
  MemberId from = 0;
  MemberId to = 0;
  Term term = 0;
  Index index = 0;    // last or previous index
  Term log_term = 0;  // its term
  Index commit = 0;
  // Numbers what one member sends; replies echo it. It tells late replies and late messages apart
  // from the newest, and confirms reads.
  uint64_t round = 0;
  bool granted = false;
  std::vector<Entry> entries;
  std::vector<Snapshot> snapshot;  // none or one, with a part of its state
  uint64_t offset = 0;             // where that part begins; in a reply, how much has come
  uint64_t total = 0;              // bytes of the whole state
  template <class A>
  void serialize(A& a) {
    a(type, cluster, from, to, term, index, log_term, commit, round, granted, entries, snapshot,
      offset, total);
  }
};

// One atomic write to the store; later ones are written later.
struct WriteRequest {
  uint64_t sequence = 0;
  bool hard_state_changed = false;
  HardState hard_state;
  Index commit = 0;  // a hint, not synced: what is known to be committed stays so; 0 for none
  Index truncate_from = 0;  // removes this entry and all after it; 0 for none
  std::vector<Entry> entries;
  std::vector<Snapshot> snapshot;  // none or one; entries up to `drop_to` go with it
  Index drop_to = 0;
};

// What a store holds when it is opened.
struct RestoredState {
  bool empty = true;
  HardState hard_state;
  Index commit = 0;
  Snapshot snapshot;
  std::vector<Entry> entries;
};

}  // namespace elderkeel::consensus
