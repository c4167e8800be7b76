#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/settings.h"

// What the replicated log consists of. These types are sent to other members and stored on disk as
// cereal writes their fields, in the order of `serialize`: neither the order nor a field's type may
// change. tests/golden_test.cc pins the bytes.
namespace elderkeel::consensus {

using MemberId = uint64_t;
using Term = uint64_t;
using Index = uint64_t;

// A controller that takes part in the log. The id is not the address: a controller that starts with
// an empty store at an old address is another member, so its forgotten votes can't be given twice.
struct Member {
  MemberId id = 0;
  std::string ip;
  uint16_t port = 0;    // where it listens for this project's own processes
  std::string control;  // address and port where the operator reaches it
  std::string zone;

  base::Address address() const { return {ip, port}; }
  bool operator==(const Member& other) const { return id == other.id; }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, ip, port, control, zone);
  }
};

enum class EntryKind : uint8_t {
  kNoop,     // with it a new leader commits what its predecessors left (Raft, section 8)
  kVoters,   // the voters from here on: a std::vector<Member>
  kCommand,  // for the state machine above the log
};

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

// The state that all entries up to `index` lead to, in place of these entries.
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

// What a member must have on disk before any message that rests on it leaves (Raft, figure 2:
// persistent state).
struct HardState {
  uint64_t cluster = 0;
  MemberId self = 0;
  Term term = 0;
  MemberId voted_for = 0;  // in `term`; 0 for nobody
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cluster, self, term, voted_for);
  }
};

}  // namespace elderkeel::consensus
