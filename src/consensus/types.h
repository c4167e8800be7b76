#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/settings.h"

// Types of the replicated log. They are sent to other members and stored on disk in cereal's
// encoding, which writes the fields in the order of `serialize`: neither this order nor the type of
// a field may change. tests/compatibility/golden_test.cc pins the bytes.
namespace elderkeel::consensus {

using MemberId = uint64_t;
using Term = uint64_t;
using Index = uint64_t;

// A controller that takes part in the log, as a voter or as a learner. Its identity is the id, not
// the address: a controller that starts with an empty store at a known address is a new member, so
// it can't vote again in a term in which its lost store had recorded a vote.
struct Member {
  MemberId id = 0;
  std::string ip;
  uint16_t port = 0;    // listens for the other elderkeel processes
  std::string control;  // address and port of the operator API
  std::string zone;

  base::Address address() const { return {ip, port}; }
  bool operator==(const Member& other) const { return id == other.id; }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, ip, port, control, zone);
  }
};

enum class EntryKind : uint8_t {
  kNoop,     // appended by a new leader to commit the entries of earlier terms (Raft, section 8)
  kVoters,   // the voters from this entry on: an encoded std::vector<Member>
  kCommand,  // a command for the replicated state machine
};

// One entry of the replicated log.
struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, index, kind, data);
  }
};

// The state after all entries up to and including `index`. It replaces these entries.
struct Snapshot {
  Index index = 0;
  Term term = 0;  // of the entry at `index`
  std::vector<Member> voters;
  std::string state;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, term, voters, state);
  }
};

// The part of a member's state that must be on disk before any message that depends on it is sent
// (Raft, figure 2: persistent state). The log is stored beside it.
struct HardState {
  uint64_t cluster = 0;
  MemberId self = 0;
  Term term = 0;
  MemberId voted_for = 0;  // in `term`; 0: no vote given
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cluster, self, term, voted_for);
  }
};

}  // namespace elderkeel::consensus
