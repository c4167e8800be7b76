#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "consensus/machine.h"

// The consensus machine by itself: messages as a network may deliver them (late, twice, out of
// order, over two connections), and what its store holds after each.

namespace elderkeel::consensus {
namespace {

using base::Millis;

Member Founder(MemberId id) {
  Member m;
  m.id = id;
  m.ip = "10.0.0." + std::to_string(id);
  m.port = 7200;
  m.zone = std::string(1, static_cast<char>('a' + id));
  return m;
}

// What a store would hold after `write`.
void Store(Restored* disk, const Persist& write) {
  disk->empty = false;
  if (write.hard_changed) disk->hard = write.hard;
  if (!write.snapshot.empty()) disk->snapshot = write.snapshot[0];
  auto drop = [&](auto gone) {
    disk->entries.erase(std::remove_if(disk->entries.begin(), disk->entries.end(), gone),
                        disk->entries.end());
  };
  if (write.drop_to) drop([&](const Entry& e) { return e.index <= write.drop_to; });
  if (write.truncate_from) drop([&](const Entry& e) { return e.index >= write.truncate_from; });
  disk->entries.insert(disk->entries.end(), write.entries.begin(), write.entries.end());
  if (write.commit) disk->commit = write.commit;
}

Index LastOf(const Restored& disk) {
  return disk.entries.empty() ? disk.snapshot.index : disk.entries.back().index;
}

// A member of three with its disk. Its writes are synced as soon as they are made.
struct Node {
  explicit Node(MemberId id, Restored restored = {}, Millis now = 0) : disk(std::move(restored)) {
    Machine::Options options;
    options.self = Founder(id);
    options.cluster = 7;
    for (MemberId k = 1; k <= 3; ++k) options.founders.push_back(Founder(k));
    options.seed = id;
    machine = std::make_unique<Machine>(options, disk, now);
    Take(now);
  }
  // Syncs what is to be written; all messages up to now.
  std::vector<Message> Take(Millis now) {
    std::vector<Message> messages;
    for (;;) {
      Machine::Effects e = machine->Take();
      if (e.messages.empty() && e.writes.empty() && e.committed.empty() && e.installed.empty()) {
        break;
      }
      for (const auto& out : e.messages) messages.push_back(out.message);
      for (const auto& snapshot : e.installed) {
        installed.push_back(snapshot);
        applied = snapshot.index;
      }
      for (const auto& entry : e.committed) applied = entry.index;
      for (const auto& write : e.writes) {
        Store(&disk, write);
        machine->Persisted(now, write.sequence, true);
      }
    }
    return messages;
  }
  std::vector<Message> Receive(Millis now, const Message& m) {
    machine->Receive(now, m, Founder(m.from).address());
    return Take(now);
  }
  std::vector<Message> Tick(Millis now) {
    machine->Tick(now);
    return Take(now);
  }

  Restored disk;
  std::unique_ptr<Machine> machine;
  std::vector<Snapshot> installed;
  Index applied = 0;
};

Message From(MemberId from, MemberId to, MessageType type, Term term) {
  Message m;
  m.type = type;
  m.cluster = 7;
  m.from = from;
  m.to = to;
  m.term = term;
  return m;
}

// Entries first..last of `term`, after entry first - 1 of `log_term`, as its leader sends them.
Message Entries(Term term, Term log_term, Index first, Index last, Index commit, uint64_t round) {
  Message m = From(1, 2, MessageType::kAppendEntries, term);
  m.index = first - 1;
  m.log_term = log_term;
  m.commit = commit;
  m.round = round;
  for (Index i = first; i <= last; ++i) {
    m.entries.push_back({term, i, EntryKind::kCommand, "e" + std::to_string(i)});
  }
  return m;
}

Message SnapshotUpTo(Term term, Term log_term, Index index, uint64_t round) {
  Message m = From(1, 2, MessageType::kInstallSnapshot, term);
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = log_term;
  for (MemberId k = 1; k <= 3; ++k) snapshot.voters.push_back(Founder(k));
  snapshot.state = "state at " + std::to_string(index);
  m.snapshot = {snapshot};
  m.commit = index;
  m.round = round;
  return m;
}

TEST(InstallSnapshot, KeepsWhatTheLogHoldsAfterIt) {
  struct Case {
    const char* name;
    Index held;          // acknowledged entries of term 2 up to here
    Term snapshot_term;  // of the entry at `index`
    Index index;
    Index last;  // afterwards, in memory and on disk
    bool installed;
  } cases[] = {
      {"late: acknowledged entries stay", 200, 2, 100, 200, false},
      {"at the end of the log", 200, 2, 200, 200, false},
      {"after the end of the log", 200, 2, 250, 250, true},
      {"the log has another entry there", 200, 3, 100, 100, true},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    Node node(2);
    auto replies = node.Receive(10, Entries(2, 1, 2, c.held, 1, 1));
    ASSERT_EQ(replies.size(), 1u);
    ASSERT_TRUE(replies[0].granted);
    ASSERT_EQ(replies[0].index, c.held);
    // The same leader's snapshot, which another connection delivers only now.
    Term term = c.snapshot_term;
    replies = node.Receive(20, SnapshotUpTo(term, c.snapshot_term, c.index, 2));
    ASSERT_EQ(replies.size(), 1u);
    EXPECT_TRUE(replies[0].granted);
    EXPECT_EQ(replies[0].index, c.index);
    EXPECT_EQ(node.machine->last_index(), c.last);
    EXPECT_EQ(LastOf(node.disk), c.last);
    EXPECT_EQ(node.machine->commit(), c.index);
    EXPECT_EQ(node.applied, c.index);
    EXPECT_EQ(!node.installed.empty() && node.installed.back().index == c.index, c.installed);
    Node again(2, node.disk, 30);
    EXPECT_EQ(again.machine->last_index(), c.last);
  }
}

// What a follower does with messages that come late, twice or out of order: its log, its term and
// its role stay, and no election is put off or begun.
TEST(Follower, IsNotMovedByLateMessages) {
  struct Case {
    const char* name;
    Message message;
  };
  Message timeout_now = From(1, 2, MessageType::kTimeoutNow, 2);
  timeout_now.round = 3;
  Message old_timeout_now = From(1, 2, MessageType::kTimeoutNow, 1);
  Message prevote_reply = From(3, 2, MessageType::kPreVoteReply, 3);
  prevote_reply.granted = true;
  Message vote_reply = From(3, 2, MessageType::kRequestVoteReply, 2);
  vote_reply.granted = true;
  Message append_reply = From(3, 2, MessageType::kAppendEntriesReply, 2);
  append_reply.granted = true;
  append_reply.index = 9;
  Case cases[] = {
      {"entries of the same term that it has", Entries(2, 1, 2, 5, 1, 1)},
      {"a heartbeat of before", Entries(2, 2, 6, 5, 1, 2)},
      {"entries again, with an old commit", Entries(2, 2, 6, 9, 2, 4)},
      {"a snapshot below its commit", SnapshotUpTo(2, 2, 3, 2)},
      {"an old leader's entries", Entries(1, 1, 2, 30, 9, 90)},
      {"an old leader's snapshot", SnapshotUpTo(1, 1, 30, 90)},
      {"leadership handed over before the newest heartbeat", timeout_now},
      {"leadership handed over in an older term", old_timeout_now},
      {"a pre-vote's answer that it no longer waits for", prevote_reply},
      {"a vote that it no longer asks for", vote_reply},
      {"an acknowledgement to a leader that it is not", append_reply},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    Node node(2);
    node.Receive(10, Entries(2, 1, 2, 5, 1, 1));
    node.Receive(20, Entries(2, 2, 6, 9, 5, 4));
    node.Receive(30, Entries(2, 2, 10, 9, 5, 5));
    Restored disk = node.disk;
    for (int twice = 0; twice < 2; ++twice) {
      for (const Message& reply : node.Receive(400, c.message)) {
        EXPECT_EQ(reply.type, MessageType::kAppendEntriesReply);
      }
    }
    EXPECT_EQ(node.machine->role(), Role::kFollower);
    EXPECT_EQ(node.machine->term(), 2u);
    EXPECT_EQ(node.machine->last_index(), 9u);
    EXPECT_EQ(node.machine->commit(), 5u);
    EXPECT_EQ(node.machine->leader_heard(), 30);
    EXPECT_EQ(node.disk.hard.term, 2u);
    EXPECT_EQ(LastOf(node.disk), LastOf(disk));
    // Its election is due when it would have been without them.
    Millis due = 0;
    for (Millis now = 410; now < 2000 && !due; now += 10) {
      node.Tick(now);
      if (node.machine->role() != Role::kFollower) due = now;
    }
    EXPECT_GT(due, 0);
    EXPECT_LE(due, 30 + 1200 + 10);
  }
}

// An answer to an earlier pre-vote says nothing about the newer one.
TEST(PreVote, CountsOnlyTheAnswersToItself) {
  Node node(2);
  node.Receive(10, Entries(2, 1, 2, 5, 5, 1));
  std::vector<Message> asked;
  Millis now = 10;
  auto next = [&] {
    for (asked.clear(); asked.empty() && now < 9000;) {
      for (const Message& m : node.Tick(now += 10)) {
        if (m.type == MessageType::kPreVote) asked.push_back(m);
      }
    }
  };
  next();
  ASSERT_EQ(asked.size(), 2u);
  auto answer = [&](const Message& m) {
    Message reply = From(m.to, 2, MessageType::kPreVoteReply, m.term);
    reply.granted = true;
    reply.round = m.round;
    node.Receive(now, reply);
  };
  Message first = asked[0];
  next();
  ASSERT_EQ(asked.size(), 2u);
  answer(first);
  EXPECT_EQ(node.machine->role(), Role::kPreCandidate);
  EXPECT_EQ(node.machine->term(), 2u);
  answer(asked[0]);
  EXPECT_EQ(node.machine->role(), Role::kCandidate);
  EXPECT_EQ(node.machine->term(), 3u);
}

// A leader, 1 of three, with members whose answers the test gives.
struct Leader : Node {
  Leader() : Node(1) {
    for (; now < 5000 && !machine->settled(); now += 10) {
      for (const Message& m : Node::Tick(now)) Grant(m);
    }
    EXPECT_TRUE(machine->settled());
  }
  // As a member that is as it should be answers.
  void Grant(const Message& m) {
    Message reply = From(m.to, 1, MessageType::kAppendEntriesReply, m.term);
    if (m.type == MessageType::kPreVote) reply.type = MessageType::kPreVoteReply;
    if (m.type == MessageType::kRequestVote) reply.type = MessageType::kRequestVoteReply;
    reply.granted = true;
    reply.round = m.round;
    reply.index = m.entries.empty() ? m.index : m.entries.back().index;
    for (const Message& more : Receive(now, reply)) Grant(more);
  }
  std::vector<Message> Propose(const std::string& text) {
    EXPECT_TRUE(machine->Propose(now, text).has_value());
    return Take(now);
  }
  // The messages of the next round of heartbeats, by member.
  std::map<MemberId, Message> Heartbeat() {
    std::map<MemberId, Message> found;
    for (Millis end = now + 130; now < end && found.empty();) {
      for (const Message& m : Node::Tick(now += 10)) found[m.to] = m;
    }
    return found;
  }
  Millis now = 0;
};

// A learner that was caught up and is gone is not made a voter because somebody passes its old wish
// on late.
TEST(Join, ALateOneBringsNoVoteToALearnerThatIsGone) {
  Leader leader;
  Member learner = Founder(9);
  learner.ip = "10.0.0.2";  // where the voter 2 was
  leader.machine->Join(leader.now, learner);
  std::vector<Message> sent = leader.Take(leader.now);
  ASSERT_EQ(sent.size(), 1u);
  leader.Grant(sent[0]);  // caught up; then it is gone
  ASSERT_EQ(leader.machine->learners().size(), 1u);
  leader.now += 700;
  for (int k = 0; k < 8; ++k) {
    leader.machine->Join(leader.now, learner);
    for (const auto& [to, m] : leader.Heartbeat()) {
      if (to != 9) leader.Grant(m);
    }
    ASSERT_TRUE(leader.machine->leading());
    for (const Member& v : leader.machine->voters()) EXPECT_NE(v.id, 9u);
  }
}

}  // namespace
}  // namespace elderkeel::consensus
