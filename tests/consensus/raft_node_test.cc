#include "consensus/raft_node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "transport/frame.h"

// Tests of RaftNode without disk and sockets: messages arrive as a network may deliver them (late,
// duplicated, out of order, over two connections), and the tests check its state and what its store
// holds.

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

// Applies `write` to the contents of a disk, as a store does.
void ApplyWrite(RestoredState* disk, const WriteRequest& write) {
  disk->empty = false;
  if (write.hard_state_changed) disk->hard_state = write.hard_state;
  if (!write.snapshot.empty()) disk->snapshot = write.snapshot[0];
  auto drop = [&](auto is_dropped) {
    disk->entries.erase(std::remove_if(disk->entries.begin(), disk->entries.end(), is_dropped),
                        disk->entries.end());
  };
  if (write.drop_through) drop([&](const Entry& e) { return e.index <= write.drop_through; });
  if (write.truncate_from) drop([&](const Entry& e) { return e.index >= write.truncate_from; });
  disk->entries.insert(disk->entries.end(), write.entries.begin(), write.entries.end());
  if (write.commit) disk->commit = write.commit;
}

Index LastOf(const RestoredState& disk) {
  return disk.entries.empty() ? disk.snapshot.index : disk.entries.back().index;
}

// A RaftNode with its disk, by default one of three initial voters. Its writes are synced as soon
// as they are made.
struct Node {
  // `joiner`: the id of a new member at the address of the initial voter `id`; 0 for the initial
  // voter itself.
  explicit Node(MemberId id, RestoredState restored = {}, Millis now = 0, MemberId joiner = 0)
      : disk(std::move(restored)) {
    RaftNode::Options options;
    options.self = Founder(id);
    if (joiner) {
      options.self.id = joiner;
    } else {
      options.cluster = 7;
      for (MemberId k = 1; k <= 3; ++k) options.initial_voters.push_back(Founder(k));
    }
    options.seed = id;
    raft = std::make_unique<RaftNode>(options, disk, now);
    TakeMessages(now);
  }
  // Carries out all effects, unless the disk hangs; returns the messages to be sent.
  std::vector<Message> TakeMessages(Millis now) {
    std::vector<Message> messages;
    for (;;) {
      RaftNode::Effects effects = raft->TakeEffects();
      discard_store |= effects.discard_store;
      for (const Member& m : effects.state_lost) state_lost.push_back(m.id);
      reads.insert(reads.end(), effects.confirmed_reads.begin(), effects.confirmed_reads.end());
      if (effects.messages.empty() && effects.writes.empty() && effects.committed.empty() &&
          effects.installed.empty()) {
        break;
      }
      for (const auto& out : effects.messages) messages.push_back(out.message);
      for (const auto& snapshot : effects.installed) {
        installed.push_back(snapshot);
        applied = snapshot.index;
      }
      for (const auto& entry : effects.committed) applied = entry.index;
      for (const auto& write : effects.writes) {
        if (disk_hangs) continue;
        ApplyWrite(&disk, write);
        raft->OnWriteFinished(now, write.sequence, true);
      }
    }
    return messages;
  }
  std::vector<Message> Receive(Millis now, const Message& m) {
    raft->Receive(now, m, Founder(m.from).address());
    return TakeMessages(now);
  }
  std::vector<Message> Tick(Millis now) {
    raft->Tick(now);
    return TakeMessages(now);
  }

  RestoredState disk;
  std::unique_ptr<RaftNode> raft;
  std::vector<Snapshot> installed;
  Index applied = 0;
  std::vector<MemberId> state_lost;  // members that it reported in Effects::state_lost
  std::vector<uint64_t> reads;       // tokens of confirmed reads
  bool discard_store = false;
  bool disk_hangs = false;  // writes are not finished
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

// An AppendEntries message with the entries first..last of `term`, after entry first - 1 of
// `log_term`.
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

// An InstallSnapshot message with a snapshot up to entry `index` of `log_term`, in one chunk.
Message SnapshotUpTo(Term term, Term log_term, Index index, uint64_t round) {
  Message m = From(1, 2, MessageType::kInstallSnapshot, term);
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = log_term;
  for (MemberId k = 1; k <= 3; ++k) snapshot.voters.push_back(Founder(k));
  snapshot.state = "state at " + std::to_string(index);
  m.snapshot = {snapshot};
  m.total = snapshot.state.size();
  m.commit = index;
  m.round = round;
  return m;
}

// A snapshot that arrives after newer entries, over another connection, must not remove entries
// that the member has acknowledged. It replaces the log only if the log doesn't contain its last
// entry.
TEST(InstallSnapshot, KeepsTheEntriesAfterAMatchingSnapshot) {
  struct Case {
    const char* name;
    Index log_end;       // last acknowledged entry, of term 2
    Term snapshot_term;  // of the entry at `index`
    Index index;         // of the snapshot
    Index last;          // last index afterwards, in memory and on disk
    bool installed;
  } cases[] = {
      {"before the end of the log: acknowledged entries stay", 200, 2, 100, 200, false},
      {"at the end of the log", 200, 2, 200, 200, false},
      {"after the end of the log", 200, 2, 250, 250, true},
      {"the log has another entry at its index", 200, 3, 100, 100, true},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    Node node(2);
    auto replies = node.Receive(10, Entries(2, 1, 2, c.log_end, 1, 1));
    ASSERT_EQ(replies.size(), 1u);
    ASSERT_TRUE(replies[0].granted);
    ASSERT_EQ(replies[0].index, c.log_end);
    // The snapshot of the same leader, delayed on another connection.
    Term term = c.snapshot_term;
    replies = node.Receive(20, SnapshotUpTo(term, c.snapshot_term, c.index, 2));
    ASSERT_EQ(replies.size(), 1u);
    EXPECT_TRUE(replies[0].granted);
    EXPECT_EQ(replies[0].index, c.index);
    EXPECT_EQ(node.raft->last_index(), c.last);
    EXPECT_EQ(LastOf(node.disk), c.last);
    EXPECT_EQ(node.raft->commit(), c.index);
    EXPECT_EQ(node.applied, c.index);
    EXPECT_EQ(!node.installed.empty() && node.installed.back().index == c.index, c.installed);
    Node restarted(2, node.disk, 30);
    EXPECT_EQ(restarted.raft->last_index(), c.last);
  }
}

// Messages that arrive late, twice or out of order must not change a follower's log, term or role,
// nor delay or start an election. Otherwise a slow connection could truncate acknowledged entries
// or keep a follower from replacing a failed leader.
TEST(Follower, IgnoresLateAndDuplicateMessages) {
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
      {"entries of the same term that it already has", Entries(2, 1, 2, 5, 1, 1)},
      {"an earlier heartbeat", Entries(2, 2, 6, 5, 1, 2)},
      {"the same entries with an older commit index", Entries(2, 2, 6, 9, 2, 4)},
      {"a snapshot below its commit index", SnapshotUpTo(2, 2, 3, 2)},
      {"entries of an earlier leader", Entries(1, 1, 2, 30, 9, 90)},
      {"a snapshot of an earlier leader", SnapshotUpTo(1, 1, 30, 90)},
      {"a leadership transfer older than the newest heartbeat", timeout_now},
      {"a leadership transfer of an earlier term", old_timeout_now},
      {"a pre-vote reply without a pre-vote in progress", prevote_reply},
      {"a vote without an election in progress", vote_reply},
      {"an acknowledgement, though it is not the leader", append_reply},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    Node node(2);
    node.Receive(10, Entries(2, 1, 2, 5, 1, 1));
    node.Receive(20, Entries(2, 2, 6, 9, 5, 4));
    node.Receive(30, Entries(2, 2, 10, 9, 5, 5));
    RestoredState disk = node.disk;
    for (int twice = 0; twice < 2; ++twice) {
      for (const Message& reply : node.Receive(400, c.message)) {
        EXPECT_EQ(reply.type, MessageType::kAppendEntriesReply);
      }
    }
    EXPECT_EQ(node.raft->role(), Role::kFollower);
    EXPECT_EQ(node.raft->term(), 2u);
    EXPECT_EQ(node.raft->last_index(), 9u);
    EXPECT_EQ(node.raft->commit(), 5u);
    EXPECT_EQ(node.raft->last_leader_contact(), 30);
    EXPECT_EQ(node.disk.hard_state.term, 2u);
    EXPECT_EQ(LastOf(node.disk), LastOf(disk));
    // Its election still starts within the longest election timeout after the newest heartbeat.
    Millis due = 0;
    for (Millis now = 410; now < 2000 && !due; now += 10) {
      node.Tick(now);
      if (node.raft->role() != Role::kFollower) due = now;
    }
    EXPECT_GT(due, 0);
    EXPECT_LE(due, 30 + 1200 + 10);
  }
}

// A late reply to an earlier pre-vote must not start an election: the voter may have had contact
// with a leader since.
TEST(PreVote, CountsOnlyRepliesToTheCurrentRound) {
  Node node(2);
  node.Receive(10, Entries(2, 1, 2, 5, 5, 1));
  std::vector<Message> requests;
  Millis now = 10;
  auto next_pre_vote = [&] {
    for (requests.clear(); requests.empty() && now < 9000;) {
      for (const Message& m : node.Tick(now += 10)) {
        if (m.type == MessageType::kPreVote) requests.push_back(m);
      }
    }
  };
  next_pre_vote();
  ASSERT_EQ(requests.size(), 2u);
  auto answer = [&](const Message& m) {
    Message reply = From(m.to, 2, MessageType::kPreVoteReply, m.term);
    reply.granted = true;
    reply.round = m.round;
    node.Receive(now, reply);
  };
  Message first = requests[0];
  next_pre_vote();
  ASSERT_EQ(requests.size(), 2u);
  answer(first);
  EXPECT_EQ(node.raft->role(), Role::kPreCandidate);
  EXPECT_EQ(node.raft->term(), 2u);
  answer(requests[0]);
  EXPECT_EQ(node.raft->role(), Role::kCandidate);
  EXPECT_EQ(node.raft->term(), 3u);
}

// Member 1 of three, elected as leader; the test gives the replies of the other members.
struct Leader : Node {
  Leader() : Node(1) {
    for (; now < 5000 && !raft->HasCommittedInTerm(); now += 10) {
      for (const Message& m : Node::Tick(now)) Grant(m);
    }
    EXPECT_TRUE(raft->HasCommittedInTerm());
  }
  // Delivers the reply of a working member that grants `m`.
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
    EXPECT_TRUE(raft->Propose(now, text).has_value());
    return TakeMessages(now);
  }
  // Runs until the next heartbeats are sent; returns them by receiver.
  std::map<MemberId, Message> Heartbeat() {
    std::map<MemberId, Message> found;
    for (Millis end = now + 130; now < end && found.empty();) {
      for (const Message& m : Node::Tick(now += 10)) found[m.to] = m;
    }
    return found;
  }
  Millis now = 0;
};

// A learner that stopped after it was caught up must not become a voter because its join request is
// forwarded late: the group would then count a voter that is gone.
TEST(Join, LateRequestDoesNotPromoteAnUnreachableLearner) {
  Leader leader;
  Member learner = Founder(9);
  learner.ip = "10.0.0.2";  // the address of voter 2
  leader.raft->AddLearner(leader.now, learner);
  std::vector<Message> sent = leader.TakeMessages(leader.now);
  ASSERT_EQ(sent.size(), 1u);
  leader.Grant(sent[0]);  // caught up; it doesn't reply after that
  ASSERT_EQ(leader.raft->learners().size(), 1u);
  leader.now += 700;
  for (int k = 0; k < 8; ++k) {
    leader.raft->AddLearner(leader.now, learner);
    for (const auto& [to, m] : leader.Heartbeat()) {
      if (to != 9) leader.Grant(m);
    }
    ASSERT_TRUE(leader.raft->is_leader());
    for (const Member& v : leader.raft->voters()) EXPECT_NE(v.id, 9u);
  }
}

// The reply to an AppendEntries message `to`.
Message Reply(const Message& to, bool granted, Index index) {
  Message m = From(to.to, to.from, MessageType::kAppendEntriesReply, to.term);
  m.granted = granted;
  m.index = index;
  m.round = to.round;
  return m;
}

// The first message to member `id`; null if there is none.
const Message* To(const std::vector<Message>& messages, MemberId id) {
  for (const Message& m : messages) {
    if (m.to == id) return &m;
  }
  return nullptr;
}

// A rejection that is older than the sender's last acknowledgement, or a duplicate, must not make
// the leader resend entries or treat the sender as one that lost state.
TEST(Leader, IgnoresLateRejections) {
  struct Case {
    const char* name;
    bool twice;
    int probe;  // the rejected heartbeat: 0: sent before the entries, 1: sent after them
  } cases[] = {
      {"sent before the entries", false, 0},
      {"the same, twice", true, 0},
      {"sent after the entries, arrived before them", false, 1},
      {"the same, twice", true, 1},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    Leader leader;
    Message before = leader.Heartbeat()[2];
    std::vector<Message> sent = leader.Propose("x");
    Message entries = *To(sent, 2);
    Index index = entries.entries.back().index;
    Message after = leader.Heartbeat()[2];
    leader.Receive(leader.now, Reply(entries, true, index));
    EXPECT_EQ(leader.raft->commit(), index);
    Message late = Reply(c.probe ? after : before, false, 0);
    for (int k = 0; k <= c.twice; ++k) {
      EXPECT_TRUE(leader.Receive(leader.now, late).empty());
    }
    EXPECT_EQ(leader.Heartbeat()[2].index, index);
    EXPECT_EQ(leader.raft->commit(), index);
    EXPECT_TRUE(leader.state_lost.empty());
  }
}

// If the first of several messages in flight is lost, the member rejects all later ones. The leader
// must resend the entries once, not once per rejection.
TEST(Leader, ResendsOnceAfterALostMessage) {
  Leader leader;
  std::vector<Message> rejected;
  Index before = leader.raft->last_index();
  for (const char* text : {"x", "y", "z"}) {
    rejected.push_back(*To(leader.Propose(text), 2));
    EXPECT_EQ(rejected.back().entries.size(), 1u);
  }
  std::vector<Message> resent = leader.Receive(leader.now, Reply(rejected[1], false, before));
  ASSERT_EQ(resent.size(), 1u);
  EXPECT_EQ(resent[0].index, before);
  EXPECT_EQ(resent[0].entries.size(), 3u);
  EXPECT_TRUE(leader.Receive(leader.now, Reply(rejected[2], false, before)).empty());
  leader.Receive(leader.now, Reply(resent[0], true, before + 3));
  EXPECT_EQ(leader.raft->commit(), before + 3);
}

// A voter that lacks entries which it had acknowledged is reported and notified, and counts neither
// for commits nor for reads nor for check-quorum: it may lose later acknowledged entries as well.
TEST(Leader, ExcludesAVoterThatLostAcknowledgedEntries) {
  Leader leader;
  std::vector<Message> sent = leader.Propose("x");
  Index index = To(sent, 2)->entries.back().index;
  for (const Message& m : sent) leader.Grant(m);
  ASSERT_EQ(leader.raft->commit(), index);
  Message probe = leader.Heartbeat()[2];
  ASSERT_EQ(probe.index, index);
  sent = leader.Receive(leader.now, Reply(probe, false, index - 1));
  ASSERT_EQ(leader.state_lost, std::vector<MemberId>{2});
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].type, MessageType::kStateLost);
  // Its later acknowledgements don't count as replicas.
  sent = leader.Propose("y");
  Message later = probe;
  later.round = sent[0].round;
  leader.Receive(leader.now, Reply(later, true, index + 1));
  EXPECT_EQ(leader.raft->commit(), index);
  leader.raft->ConfirmRead(leader.now, 5);
  for (const Message& m : leader.TakeMessages(leader.now)) {
    if (m.to == 2) leader.Receive(leader.now, Reply(m, true, index + 1));
  }
  EXPECT_TRUE(leader.reads.empty());
  // Nor do its replies count for check-quorum: without replies from others the leader steps down.
  for (int k = 0; k < 30; ++k) {
    for (const auto& [to, m] : leader.Heartbeat()) {
      if (to != 2 || !leader.raft->is_leader()) continue;
      EXPECT_EQ(m.type, MessageType::kStateLost);
      leader.Receive(leader.now, Reply(m, true, index + 1));
    }
  }
  EXPECT_FALSE(leader.raft->is_leader());
  EXPECT_EQ(leader.state_lost.size(), 1u);
}

// The loss may be detected after the voter's acknowledgement, while the commit still waits for the
// leader's own disk. The acknowledgement must then no longer count.
TEST(Leader, DoesNotCommitWithAnAcknowledgementThatWasLost) {
  Leader leader;
  leader.disk_hangs = true;
  ASSERT_TRUE(leader.raft->Propose(leader.now, "x").has_value());
  RaftNode::Effects effects = leader.raft->TakeEffects();
  ASSERT_EQ(effects.writes.size(), 1u);
  Message entries;
  for (const auto& out : effects.messages) {
    if (out.message.to == 2) entries = out.message;
  }
  Index index = entries.entries.back().index;
  leader.Receive(leader.now, Reply(entries, true, index));
  Message probe = leader.Heartbeat()[2];
  leader.Receive(leader.now, Reply(probe, false, index - 1));
  EXPECT_EQ(leader.state_lost, std::vector<MemberId>{2});
  leader.raft->OnWriteFinished(leader.now, effects.writes[0].sequence, true);
  EXPECT_EQ(leader.raft->commit(), index - 1);
}

// A member that receives kStateLost from its leader stops taking part and discards its store, so
// that it returns under a new id. Messages of an earlier term or to another member have no effect.
TEST(Follower, DiscardsItsStoreOnStateLost) {
  Node node(2);
  node.Receive(10, Entries(2, 1, 2, 5, 1, 1));
  Message old = From(1, 2, MessageType::kStateLost, 1);
  node.Receive(20, old);
  Message other = From(1, 3, MessageType::kStateLost, 2);
  node.Receive(20, other);
  EXPECT_FALSE(node.raft->storage_failed());
  node.Receive(30, From(1, 2, MessageType::kStateLost, 2));
  EXPECT_TRUE(node.raft->storage_failed());
  EXPECT_TRUE(node.discard_store);
  EXPECT_TRUE(node.Receive(40, Entries(2, 2, 6, 6, 1, 3)).empty());
  for (Millis now = 50; now < 3000; now += 10) EXPECT_TRUE(node.Tick(now).empty());
}

// Members connected by simulated links. A link delivers in order; it may have a limited rate, lose
// single frames, or break and lose everything in flight.
struct Cluster {
  explicit Cluster(size_t size = 3) {
    for (MemberId id = 1; id <= size; ++id) nodes.push_back(std::make_unique<Node>(id));
  }
  Node* NodeOf(MemberId id) {
    for (auto& node : nodes) {
      if (node && node->raft->self().id == id) return node.get();
    }
    return nullptr;
  }
  Node* leader() {
    for (auto& node : nodes) {
      if (node && node->raft->HasCommittedInTerm()) return node.get();
    }
    return nullptr;
  }
  void Send(std::vector<Message> messages) {
    for (Message& m : messages) {
      Link& link = links[{m.from, m.to}];
      if (drops && drops(m)) continue;
      size_t bytes = transport::Encode(m).size();
      link.free_at = std::max<double>(link.free_at, static_cast<double>(now));
      if (link.bytes_per_ms > 0) link.free_at += static_cast<double>(bytes) / link.bytes_per_ms;
      link.queued += bytes;
      link.max_queued = std::max(link.max_queued, link.queued);
      link.sent += bytes;
      link.frames.push_back({static_cast<Millis>(link.free_at) + link.delay, bytes, std::move(m)});
    }
  }
  void Run(Millis span) {
    for (Millis end = now + span; now < end;) {
      now += 10;
      for (auto& node : nodes) {
        if (node) Send(node->Tick(now));
      }
      for (auto& [ends, link] : links) {
        while (!link.frames.empty() && link.frames.front().at <= now) {
          Frame frame = std::move(link.frames.front());
          link.frames.pop_front();
          link.queued -= frame.bytes;
          if (Node* node = NodeOf(frame.message.to)) {
            Send(node->Receive(now, frame.message));
            if (on_received) on_received(frame.message);
          }
        }
      }
    }
  }
  struct Frame {
    Millis at;
    size_t bytes;
    Message message;
  };
  struct Link {
    double bytes_per_ms = 0;  // 0: no limit
    Millis delay = 5;
    double free_at = 0;  // when the last queued frame is sent completely
    size_t queued = 0, max_queued = 0, sent = 0;
    std::deque<Frame> frames;
    void Break() {
      frames.clear();
      queued = 0;
      free_at = 0;
    }
  };
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::pair<MemberId, MemberId>, Link> links;
  std::function<bool(const Message&)> drops;        // whether a message is lost; optional
  std::function<void(const Message&)> on_received;  // called after each delivery; optional
  Millis now = 0;
};

// A voter restarts with an older copy of its disk. The leader must detect the loss, and the member
// must become a voter again only under a new id.
TEST(Leader, ReadmitsAVoterThatLostStateUnderANewId) {
  Cluster cluster;
  cluster.Run(2000);
  Node* leader = cluster.leader();
  ASSERT_NE(leader, nullptr);
  size_t slot = leader->raft->self().id == 2 ? 2 : 1;
  MemberId id = slot + 1;
  RestoredState before = cluster.nodes[slot]->disk;
  ASSERT_TRUE(leader->raft->Propose(cluster.now, "x").has_value());
  cluster.Run(500);
  Index acknowledged = leader->raft->commit();
  ASSERT_EQ(LastOf(cluster.nodes[slot]->disk), acknowledged);
  ASSERT_LT(LastOf(before), acknowledged);
  EXPECT_TRUE(leader->state_lost.empty());
  cluster.nodes[slot] = std::make_unique<Node>(id, before, cluster.now);
  cluster.Run(300);
  EXPECT_EQ(leader->state_lost, std::vector<MemberId>{id});
  EXPECT_TRUE(cluster.nodes[slot]->discard_store);
  cluster.nodes[slot] = std::make_unique<Node>(id, RestoredState(), cluster.now, 77);
  leader->raft->AddLearner(cluster.now, cluster.nodes[slot]->raft->self());
  cluster.Run(2000);
  EXPECT_EQ(cluster.leader(), leader);
  EXPECT_TRUE(leader->raft->IsVoter(77));
  EXPECT_FALSE(leader->raft->IsVoter(id));
  EXPECT_EQ(leader->raft->voters().size(), 3u);
  EXPECT_GE(LastOf(cluster.nodes[slot]->disk), acknowledged);
}

// Three members. One of them can be made unreachable while the others extend and compact the log;
// all links to it carry 2 Mbit/s.
struct SlowMemberCluster : Cluster {
  static constexpr double kBytesPerMs = 250;
  static constexpr size_t kStateBytes = 4u << 20;

  explicit SlowMemberCluster(size_t state_bytes = kStateBytes) : state(state_bytes, 's') {
    Run(2000);
    current_leader = leader();
    slow_id = current_leader->raft->self().id == 3 ? 2 : 3;
    for (MemberId id = 1; id <= 3; ++id) links[{id, slow_id}].bytes_per_ms = kBytesPerMs;
    drops = [this](const Message& m) {
      return unreachable && (m.to == slow_id || m.from == slow_id);
    };
    on_received = [this](const Message& m) {
      bool leads = m.type == MessageType::kAppendEntries || m.type == MessageType::kInstallSnapshot;
      if (m.to != slow_id || unreachable || !leads) return;
      max_gap = std::max(max_gap, now - received_at);
      received_at = now;
      stood_for_election |= NodeOf(slow_id)->raft->role() != Role::kFollower;
    };
  }
  void SetUnreachable(bool value) {
    unreachable = value;
    received_at = now;
  }
  // Proposes a command of `bytes`, and compacts the long logs of the other members.
  void Propose(size_t bytes) {
    current_leader = leader();
    if (!current_leader) return;
    current_leader->raft->Propose(now, std::string(bytes, 'c'));
    Send(current_leader->TakeMessages(now));
    for (auto& node : nodes) {
      if (node && node->raft->self().id != slow_id && node->raft->log_size() > 96) Compact(*node);
    }
  }
  void Compact(Node& node) {
    node.raft->Compact(node.raft->commit(), state);
    Send(node.TakeMessages(now));
  }
  bool CaughtUp() { return NodeOf(slow_id)->raft->commit() == leader()->raft->commit(); }
  // Runs until the slow member is caught up, for at most `timeout`, with a proposal every
  // `interval` (0 for none). Returns the elapsed time.
  Millis CatchUp(Millis timeout, Millis interval = 0) {
    Millis start = now;
    for (Millis k = 0; now - start < timeout; k += 10) {
      if (interval && k % interval == 0) Propose(100);
      Run(10);
      if (leader() && CaughtUp() && NodeOf(slow_id)->raft->commit() > 2) break;
    }
    return now - start;
  }
  // Bytes sent to the slow member so far.
  size_t BytesSent() {
    size_t sent = 0;
    for (MemberId id = 1; id <= 3; ++id) sent += links[{id, slow_id}].sent;
    return sent;
  }

  std::string state;
  Node* current_leader = nullptr;
  MemberId slow_id = 0;
  bool unreachable = false;
  Millis received_at = 0;  // when the slow member last received a leader's message
  Millis max_gap = 0;      // the longest time between two of them
  bool stood_for_election = false;
};

// If a large snapshot filled a slow link, heartbeats would queue behind it and the receiver would
// start an election. It must arrive completely, without being sent twice, also while commands are
// committed and after a broken connection.
TEST(SlowLink, LargeSnapshotDoesNotDelayHeartbeats) {
  struct Case {
    const char* name;
    Millis interval;  // between proposals; 0 for none
    bool breaks;      // the connection breaks midway and loses all messages in flight
  } cases[] = {{"without proposals", 0, false},
               {"during proposals", 200, false},
               {"connection broken midway", 300, true}};
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    SlowMemberCluster cluster;
    cluster.SetUnreachable(true);
    for (int k = 0; k < 120; ++k) {
      cluster.Propose(100);
      cluster.Run(10);
    }
    cluster.Run(1000);
    cluster.Compact(*cluster.current_leader);
    cluster.SetUnreachable(false);
    size_t before = cluster.BytesSent();
    Millis elapsed = 0;
    if (c.breaks) {
      elapsed += cluster.CatchUp(8000, c.interval);
      EXPECT_EQ(elapsed, 8000);
      cluster.links[{cluster.current_leader->raft->self().id, cluster.slow_id}].Break();
      cluster.unreachable = true;
      cluster.Run(300);
      cluster.unreachable = false;
    }
    elapsed += cluster.CatchUp(30000, c.interval);
    EXPECT_LT(elapsed, 20000);  // the transfer of the bytes alone takes 16.8 s
    EXPECT_LT(cluster.max_gap, 600) << "longest time between two messages of the leader";
    EXPECT_FALSE(cluster.stood_for_election);
    EXPECT_LT(cluster.BytesSent() - before,
              cluster.kStateBytes + cluster.kStateBytes / 20 + (128u << 10));
    EXPECT_LT(
        cluster.links[std::make_pair(cluster.current_leader->raft->self().id, cluster.slow_id)]
            .max_queued,
        160u << 10);
    EXPECT_EQ(cluster.leader(), cluster.current_leader);
    ASSERT_GE(cluster.NodeOf(cluster.slow_id)->installed.size(), 2u);  // the initial one and this
    EXPECT_EQ(cluster.NodeOf(cluster.slow_id)->installed.size(), 2u);
    EXPECT_EQ(cluster.NodeOf(cluster.slow_id)->installed.back().state, cluster.state);
  }
}

// The leader fails in the middle of a snapshot transfer. The next leader's snapshot must replace
// the partial one, not be mixed with it.
TEST(SlowLink, NewLeaderReplacesAPartialSnapshotByItsOwn) {
  SlowMemberCluster cluster(1u << 20);
  cluster.SetUnreachable(true);
  for (int k = 0; k < 120; ++k) {
    cluster.Propose(100);
    cluster.Run(10);
  }
  cluster.Run(1000);
  for (auto& node : cluster.nodes) {
    if (node->raft->self().id != cluster.slow_id) cluster.Compact(*node);
  }
  cluster.SetUnreachable(false);
  EXPECT_EQ(cluster.CatchUp(2000), 2000);
  cluster.nodes[cluster.current_leader->raft->self().id - 1].reset();
  // The new leader needs the slow member for a majority, so it commits only once that member has
  // the snapshot; the transfer of the bytes takes 4.2 s.
  Millis killed = cluster.now;
  for (int k = 0; k < 1000 && !cluster.leader(); ++k) cluster.Run(10);
  ASSERT_NE(cluster.leader(), nullptr);
  cluster.CatchUp(5000);
  EXPECT_TRUE(cluster.CaughtUp());
  EXPECT_LT(cluster.now - killed, 8000);
  EXPECT_EQ(cluster.NodeOf(cluster.slow_id)->installed.back().state, cluster.state);
}

// Entries that are resent, or sent without a limit on the bytes in flight, would delay heartbeats
// on a slow link until the receiver starts an election.
TEST(SlowLink, EntriesAreSentOnceAndWithinTheWindow) {
  SlowMemberCluster cluster;
  cluster.SetUnreachable(true);
  for (int k = 0; k < 60; ++k) {
    cluster.Propose(20000);
    cluster.Run(10);
  }
  cluster.Run(1000);
  cluster.SetUnreachable(false);
  size_t before = cluster.BytesSent();
  EXPECT_LT(cluster.CatchUp(20000), 7000);  // the transfer of the bytes alone takes 4.8 s
  EXPECT_LT(cluster.max_gap, 600);
  EXPECT_FALSE(cluster.stood_for_election);
  EXPECT_LT(cluster.BytesSent() - before, 60 * 20000 * 11 / 10 + (64u << 10));
  EXPECT_LT(cluster.links[std::make_pair(cluster.current_leader->raft->self().id, cluster.slow_id)]
                .max_queued,
            160u << 10);
  EXPECT_TRUE(cluster.current_leader->state_lost.empty());
}

// Chunks that arrive late, twice, or after those of a newer snapshot must not corrupt the state
// that is assembled.
TEST(InstallSnapshot, AssemblesChunksOfOneSnapshotOnly) {
  auto chunk = [](Index index, uint64_t offset, const std::string& bytes, uint64_t round) {
    Message m = SnapshotUpTo(2, 2, index, round);
    m.snapshot[0].state = bytes;
    m.offset = offset;
    m.total = 6;
    return m;
  };
  Node node(2);
  uint64_t round = 0;
  struct Case {
    const char* name;
    Message message;
    int granted;  // of the reply; -1: no reply
    uint64_t offset;
  } cases[] = {
      {"not the first chunk", chunk(50, 3, "def", ++round), 0, 0},
      {"the first chunk", chunk(50, 0, "abc", ++round), 1, 3},
      {"the same chunk again", chunk(50, 0, "abc", round), 1, 3},
      {"a gap", chunk(50, 4, "ef", ++round), 0, 3},
      {"beyond the total size", chunk(50, 3, "defg", ++round), -1, 0},
      {"a newer snapshot", chunk(60, 0, "AB", ++round), 1, 2},
      {"a late chunk of the older snapshot", chunk(50, 3, "def", 2), -1, 0},
      {"an overlapping chunk", chunk(60, 0, "ABCD", ++round), 1, 4},
      {"a heartbeat", chunk(60, 4, "", ++round), 1, 4},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    std::vector<Message> replies = node.Receive(10, c.message);
    ASSERT_EQ(replies.size(), c.granted < 0 ? 0u : 1u);
    if (replies.empty()) continue;
    EXPECT_EQ(replies[0].type, MessageType::kInstallSnapshotReply);
    EXPECT_EQ(replies[0].granted, c.granted == 1);
    EXPECT_EQ(replies[0].offset, c.offset);
    EXPECT_EQ(node.raft->commit(), 1u);
  }
  std::vector<Message> replies = node.Receive(20, chunk(60, 4, "EF", ++round));
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].type, MessageType::kAppendEntriesReply);
  EXPECT_EQ(replies[0].index, 60u);
  EXPECT_EQ(node.installed.back().state, "ABCDEF");
  EXPECT_EQ(node.disk.snapshot.state, "ABCDEF");
}

// Every proposal postpones the next heartbeat. Proposals more frequent than heartbeats must not
// keep a caught-up learner from becoming a voter.
TEST(Join, LearnerIsPromotedDuringFrequentProposals) {
  for (Millis interval : {1000, 200, 100, 50, 10}) {
    SCOPED_TRACE("a proposal every " + std::to_string(interval) + " ms");
    Cluster cluster;
    cluster.Run(2000);
    Node* leader = cluster.leader();
    ASSERT_NE(leader, nullptr);
    size_t slot = leader->raft->self().id == 2 ? 2 : 1;
    cluster.nodes[slot] = std::make_unique<Node>(slot + 1, RestoredState(), cluster.now, 77);
    leader->raft->AddLearner(cluster.now, cluster.nodes[slot]->raft->self());
    Millis start = cluster.now;
    while (cluster.now - start < 3000 && !leader->raft->IsVoter(77)) {
      if ((cluster.now - start) % interval == 0) leader->raft->Propose(cluster.now, "c");
      cluster.Send(leader->TakeMessages(cluster.now));
      cluster.Run(10);
    }
    EXPECT_LT(cluster.now - start, 1000);
  }
}

}  // namespace
}  // namespace elderkeel::consensus
