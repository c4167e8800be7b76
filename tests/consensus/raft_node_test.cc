#include "consensus/raft_node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "transport/frame.h"

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
void Store(RestoredState* disk, const WriteRequest& write) {
  disk->empty = false;
  if (write.hard_state_changed) disk->hard_state = write.hard_state;
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

Index LastOf(const RestoredState& disk) {
  return disk.entries.empty() ? disk.snapshot.index : disk.entries.back().index;
}

// A member of three with its disk. Its writes are synced as soon as they are made.
struct Node {
  // `joiner`: the id under which it begins anew at that place; 0 for a founder.
  explicit Node(MemberId id, RestoredState restored = {}, Millis now = 0, MemberId joiner = 0)
      : disk(std::move(restored)) {
    RaftNode::Options options;
    options.self = Founder(id);
    if (joiner) {
      options.self.id = joiner;
    } else {
      options.cluster = 7;
      for (MemberId k = 1; k <= 3; ++k) options.founders.push_back(Founder(k));
    }
    options.seed = id;
    raft = std::make_unique<RaftNode>(options, disk, now);
    Take(now);
  }
  // Syncs what is to be written; all messages up to now.
  std::vector<Message> Take(Millis now) {
    std::vector<Message> messages;
    for (;;) {
      RaftNode::Effects e = raft->TakeEffects();
      discard_store |= e.discard_store;
      for (const Member& m : e.state_lost) lost.push_back(m.id);
      reads.insert(reads.end(), e.confirmed_reads.begin(), e.confirmed_reads.end());
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
        if (hangs) continue;
        Store(&disk, write);
        raft->OnWriteFinished(now, write.sequence, true);
      }
    }
    return messages;
  }
  std::vector<Message> Receive(Millis now, const Message& m) {
    raft->Receive(now, m, Founder(m.from).address());
    return Take(now);
  }
  std::vector<Message> Tick(Millis now) {
    raft->Tick(now);
    return Take(now);
  }

  RestoredState disk;
  std::unique_ptr<RaftNode> raft;
  std::vector<Snapshot> installed;
  Index applied = 0;
  std::vector<MemberId> lost;  // as it named them
  std::vector<uint64_t> reads;
  bool discard_store = false;
  bool hangs = false;  // the disk
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
  m.total = snapshot.state.size();
  m.commit = index;
  m.round = round;
  return m;
}

TEST(InstallSnapshot, KeepsWhatTheLogHoldsAfterIt) {
  struct Case {
    const char* name;
    Index delayed;       // acknowledged entries of term 2 up to here
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
    auto replies = node.Receive(10, Entries(2, 1, 2, c.delayed, 1, 1));
    ASSERT_EQ(replies.size(), 1u);
    ASSERT_TRUE(replies[0].granted);
    ASSERT_EQ(replies[0].index, c.delayed);
    // The same leader's snapshot, which another connection delivers only now.
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
    Node again(2, node.disk, 30);
    EXPECT_EQ(again.raft->last_index(), c.last);
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
    // Its election is due when it would have been without them.
    Millis due = 0;
    for (Millis now = 410; now < 2000 && !due; now += 10) {
      node.Tick(now);
      if (node.raft->role() != Role::kFollower) due = now;
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
  EXPECT_EQ(node.raft->role(), Role::kPreCandidate);
  EXPECT_EQ(node.raft->term(), 2u);
  answer(asked[0]);
  EXPECT_EQ(node.raft->role(), Role::kCandidate);
  EXPECT_EQ(node.raft->term(), 3u);
}

// A leader, 1 of three, with members whose answers the test gives.
struct Leader : Node {
  Leader() : Node(1) {
    for (; now < 5000 && !raft->HasCommittedInTerm(); now += 10) {
      for (const Message& m : Node::Tick(now)) Grant(m);
    }
    EXPECT_TRUE(raft->HasCommittedInTerm());
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
    EXPECT_TRUE(raft->Propose(now, text).has_value());
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
  leader.raft->AddLearner(leader.now, learner);
  std::vector<Message> sent = leader.Take(leader.now);
  ASSERT_EQ(sent.size(), 1u);
  leader.Grant(sent[0]);  // caught up; then it is gone
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

Message Reply(const Message& to, bool granted, Index index) {
  Message m = From(to.to, to.from, MessageType::kAppendEntriesReply, to.term);
  m.granted = granted;
  m.index = index;
  m.round = to.round;
  return m;
}

const Message* To(const std::vector<Message>& messages, MemberId id) {
  for (const Message& m : messages) {
    if (m.to == id) return &m;
  }
  return nullptr;
}

// A rejection that is older than what its sender acknowledged since, or comes twice, moves nothing:
// what is sent next goes on where the acknowledgement ended.
TEST(Leader, IsNotMovedByLateRejections) {
  struct Case {
    const char* name;
    bool twice;
    int probe;  // the heartbeat that is rejected: 0 before, 1 after the entries were sent
  } cases[] = {
      {"sent before the entries", false, 0},
      {"the same, twice", true, 0},
      {"sent after the entries, and it overtook them", false, 1},
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
    EXPECT_TRUE(leader.lost.empty());
  }
}

// Of several messages under way the first is lost, and the others are rejected: all of it is sent
// again once, not once for each rejection.
TEST(Leader, AnswersOneLossOnce) {
  Leader leader;
  std::vector<Message> rejected;
  Index before = leader.raft->last_index();
  for (const char* text : {"x", "y", "z"}) {
    rejected.push_back(*To(leader.Propose(text), 2));
    EXPECT_EQ(rejected.back().entries.size(), 1u);
  }
  std::vector<Message> again = leader.Receive(leader.now, Reply(rejected[1], false, before));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].index, before);
  EXPECT_EQ(again[0].entries.size(), 3u);
  EXPECT_TRUE(leader.Receive(leader.now, Reply(rejected[2], false, before)).empty());
  leader.Receive(leader.now, Reply(again[0], true, before + 3));
  EXPECT_EQ(leader.raft->commit(), before + 3);
}

// A voter whose log went back behind what it had acknowledged is named, told, and counts neither
// for commits nor for the quorum that keeps a leader.
TEST(Leader, CountsNoVoterThatLostWhatItAcknowledged) {
  Leader leader;
  std::vector<Message> sent = leader.Propose("x");
  Index index = To(sent, 2)->entries.back().index;
  for (const Message& m : sent) leader.Grant(m);
  ASSERT_EQ(leader.raft->commit(), index);
  Message probe = leader.Heartbeat()[2];
  ASSERT_EQ(probe.index, index);
  sent = leader.Receive(leader.now, Reply(probe, false, index - 1));
  ASSERT_EQ(leader.lost, std::vector<MemberId>{2});
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].type, MessageType::kStateLost);
  // Whatever it acknowledges now: its copy is none.
  sent = leader.Propose("y");
  Message later = probe;
  later.round = sent[0].round;
  leader.Receive(leader.now, Reply(later, true, index + 1));
  EXPECT_EQ(leader.raft->commit(), index);
  leader.raft->ConfirmRead(leader.now, 5);
  for (const Message& m : leader.Take(leader.now)) {
    if (m.to == 2) leader.Receive(leader.now, Reply(m, true, index + 1));
  }
  EXPECT_TRUE(leader.reads.empty());
  // Nor is its voice one of a majority: the leader hears nobody else, and gives up.
  for (int k = 0; k < 30; ++k) {
    for (const auto& [to, m] : leader.Heartbeat()) {
      if (to != 2 || !leader.raft->is_leader()) continue;
      EXPECT_EQ(m.type, MessageType::kStateLost);
      leader.Receive(leader.now, Reply(m, true, index + 1));
    }
  }
  EXPECT_FALSE(leader.raft->is_leader());
  EXPECT_EQ(leader.lost.size(), 1u);
}

// Also when the loss shows between its acknowledgement and what else the commit waited for.
TEST(Leader, CountsNoAcknowledgementThatWasLostBeforeTheCommit) {
  Leader leader;
  leader.hangs = true;
  ASSERT_TRUE(leader.raft->Propose(leader.now, "x").has_value());
  RaftNode::Effects e = leader.raft->TakeEffects();
  ASSERT_EQ(e.writes.size(), 1u);
  Message entries;
  for (const auto& out : e.messages) {
    if (out.message.to == 2) entries = out.message;
  }
  Index index = entries.entries.back().index;
  leader.Receive(leader.now, Reply(entries, true, index));
  Message probe = leader.Heartbeat()[2];
  leader.Receive(leader.now, Reply(probe, false, index - 1));
  EXPECT_EQ(leader.lost, std::vector<MemberId>{2});
  leader.raft->OnWriteFinished(leader.now, e.writes[0].sequence, true);
  EXPECT_EQ(leader.raft->commit(), index - 1);
}

// The member that is told so ends its part and asks for a new identity.
TEST(Follower, DropsItsIdentityWhenNotifiedOfLostState) {
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

// Members with links between them. Each link delivers in order; one may be slow, and frames may be
// lost or connections with all that is under way on them.
struct Cluster {
  explicit Cluster(size_t size = 3) {
    for (MemberId id = 1; id <= size; ++id) nodes.push_back(std::make_unique<Node>(id));
  }
  Node* Of(MemberId id) {
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
      if (loses && loses(m)) continue;
      size_t bytes = transport::Encode(m).size();
      link.free_at = std::max<double>(link.free_at, static_cast<double>(now));
      if (link.bytes_per_ms > 0) link.free_at += static_cast<double>(bytes) / link.bytes_per_ms;
      link.queued += bytes;
      link.most_queued = std::max(link.most_queued, link.queued);
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
          if (Node* node = Of(frame.message.to)) {
            Send(node->Receive(now, frame.message));
            if (received) received(frame.message);
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
    double free_at = 0;
    size_t queued = 0, most_queued = 0, sent = 0;
    std::deque<Frame> frames;
    void Break() {
      frames.clear();
      queued = 0;
      free_at = 0;
    }
  };
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::pair<MemberId, MemberId>, Link> links;
  std::function<bool(const Message&)> loses;
  std::function<void(const Message&)> received;
  Millis now = 0;
};

// From the loss to the new identity: the disk of one went back while it was away.
TEST(Leader, TakesAVoterThatLostStateInAgainUnderANewIdentity) {
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
  EXPECT_TRUE(leader->lost.empty());
  cluster.nodes[slot] = std::make_unique<Node>(id, before, cluster.now);
  cluster.Run(300);
  EXPECT_EQ(leader->lost, std::vector<MemberId>{id});
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

// Three members, of which one was away while the log went on and was cut. All that the leaders send
// it goes over links of 2 Mbit/s.
struct SlowMember : Cluster {
  static constexpr double kRate = 250;  // bytes in a millisecond
  static constexpr size_t kState = 4u << 20;

  explicit SlowMember(size_t state_bytes = kState) : state(state_bytes, 's') {
    Run(2000);
    lead = leader();
    slow = lead->raft->self().id == 3 ? 2 : 3;
    for (MemberId id = 1; id <= 3; ++id) links[{id, slow}].bytes_per_ms = kRate;
    loses = [this](const Message& m) { return unreachable && (m.to == slow || m.from == slow); };
    received = [this](const Message& m) {
      bool leads = m.type == MessageType::kAppendEntries || m.type == MessageType::kInstallSnapshot;
      if (m.to != slow || unreachable || !leads) return;
      gap = std::max(gap, now - received_at);
      received_at = now;
      stood |= Of(slow)->raft->role() != Role::kFollower;
    };
  }
  void Unreachable(bool gone) {
    unreachable = gone;
    received_at = now;
  }
  // A change at the leader, and the cut of every log that grew long.
  void Change(size_t bytes) {
    lead = leader();
    if (!lead) return;
    lead->raft->Propose(now, std::string(bytes, 'c'));
    Send(lead->Take(now));
    for (auto& node : nodes) {
      if (node && node->raft->self().id != slow && node->raft->log_size() > 96) Cut(*node);
    }
  }
  void Cut(Node& node) {
    node.raft->Compact(node.raft->commit(), state);
    Send(node.Take(now));
  }
  bool CaughtUp() { return Of(slow)->raft->commit() == leader()->raft->commit(); }
  // How long that takes, with a change every so often.
  Millis Catch(Millis patience, Millis every = 0) {
    Millis begun = now;
    for (Millis k = 0; now - begun < patience; k += 10) {
      if (every && k % every == 0) Change(100);
      Run(10);
      if (leader() && CaughtUp() && Of(slow)->raft->commit() > 2) break;
    }
    return now - begun;
  }
  size_t Sent() {
    size_t sent = 0;
    for (MemberId id = 1; id <= 3; ++id) sent += links[{id, slow}].sent;
    return sent;
  }

  std::string state;
  Node* lead = nullptr;
  MemberId slow = 0;
  bool unreachable = false;
  Millis received_at = 0, gap = 0;
  bool stood = false;
};

TEST(SlowLink, ASnapshotOf4MegabytesLeavesRoomForHeartbeats) {
  struct Case {
    const char* name;
    Millis changes;  // every so often; 0 for none
    bool breaks;     // the connection is lost midway, and with it what is under way
  } cases[] = {{"alone", 0, false}, {"during changes", 200, false}, {"broken midway", 300, true}};
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    SlowMember world;
    world.Unreachable(true);
    for (int k = 0; k < 120; ++k) {
      world.Change(100);
      world.Run(10);
    }
    world.Run(1000);
    world.Cut(*world.lead);
    world.Unreachable(false);
    size_t before = world.Sent();
    Millis took = 0;
    if (c.breaks) {
      took += world.Catch(8000, c.changes);
      EXPECT_EQ(took, 8000);
      world.links[{world.lead->raft->self().id, world.slow}].Break();
      world.unreachable = true;
      world.Run(300);
      world.unreachable = false;
    }
    took += world.Catch(30000, c.changes);
    EXPECT_LT(took, 20000);  // 16.8 s for the bytes alone
    EXPECT_LT(world.gap, 600) << "between two messages of the leader";
    EXPECT_FALSE(world.stood);
    EXPECT_LT(world.Sent() - before, world.kState + world.kState / 20 + (128u << 10));
    EXPECT_LT(world.links[std::make_pair(world.lead->raft->self().id, world.slow)].most_queued,
              160u << 10);
    EXPECT_EQ(world.leader(), world.lead);
    ASSERT_GE(world.Of(world.slow)->installed.size(), 2u);  // the founders', and one more
    EXPECT_EQ(world.Of(world.slow)->installed.size(), 2u);
    EXPECT_EQ(world.Of(world.slow)->installed.back().state, world.state);
  }
}

TEST(SlowLink, ANewLeaderSendsItsOwnSnapshotAfterHalfOfTheFormerOnes) {
  SlowMember world(1u << 20);
  world.Unreachable(true);
  for (int k = 0; k < 120; ++k) {
    world.Change(100);
    world.Run(10);
  }
  world.Run(1000);
  for (auto& node : world.nodes) {
    if (node->raft->self().id != world.slow) world.Cut(*node);
  }
  world.Unreachable(false);
  EXPECT_EQ(world.Catch(2000), 2000);
  world.nodes[world.lead->raft->self().id - 1].reset();
  // It settles once the slow one, of whom it needs a majority, has the snapshot: 4.2 s for the
  // bytes.
  Millis killed = world.now;
  for (int k = 0; k < 1000 && !world.leader(); ++k) world.Run(10);
  ASSERT_NE(world.leader(), nullptr);
  world.Catch(5000);
  EXPECT_TRUE(world.CaughtUp());
  EXPECT_LT(world.now - killed, 8000);
  EXPECT_EQ(world.Of(world.slow)->installed.back().state, world.state);
}

TEST(SlowLink, EntriesGoOnceAndInBoundedParts) {
  SlowMember world;
  world.Unreachable(true);
  for (int k = 0; k < 60; ++k) {
    world.Change(20000);
    world.Run(10);
  }
  world.Run(1000);
  world.Unreachable(false);
  size_t before = world.Sent();
  EXPECT_LT(world.Catch(20000), 7000);  // 4.8 s for the bytes alone
  EXPECT_LT(world.gap, 600);
  EXPECT_FALSE(world.stood);
  EXPECT_LT(world.Sent() - before, 60 * 20000 * 11 / 10 + (64u << 10));
  EXPECT_LT(world.links[std::make_pair(world.lead->raft->self().id, world.slow)].most_queued,
            160u << 10);
  EXPECT_TRUE(world.lead->lost.empty());
}

// Parts that come late, twice or after a newer snapshot make no other state.
TEST(InstallSnapshot, IsMadeOfItsOwnPartsOnly) {
  auto part = [](Index index, uint64_t offset, const std::string& bytes, uint64_t round) {
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
    int granted;  // -1: no answer
    uint64_t offset;
  } cases[] = {
      {"not the first part", part(50, 3, "def", ++round), 0, 0},
      {"the first part", part(50, 0, "abc", ++round), 1, 3},
      {"the same again", part(50, 0, "abc", round), 1, 3},
      {"a gap", part(50, 4, "ef", ++round), 0, 3},
      {"more than the whole", part(50, 3, "defg", ++round), -1, 0},
      {"a newer snapshot", part(60, 0, "AB", ++round), 1, 2},
      {"a late part of the older one", part(50, 3, "def", 2), -1, 0},
      {"a part that overlaps", part(60, 0, "ABCD", ++round), 1, 4},
      {"a heartbeat", part(60, 4, "", ++round), 1, 4},
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
  std::vector<Message> replies = node.Receive(20, part(60, 4, "EF", ++round));
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_EQ(replies[0].type, MessageType::kAppendEntriesReply);
  EXPECT_EQ(replies[0].index, 60u);
  EXPECT_EQ(node.installed.back().state, "ABCDEF");
  EXPECT_EQ(node.disk.snapshot.state, "ABCDEF");
}

// Changes that follow each other closer than heartbeats keep nobody from getting a vote.
TEST(Join, ALearnerGetsItsVoteWhileChangesGoOn) {
  for (Millis every : {1000, 200, 100, 50, 10}) {
    SCOPED_TRACE("a change every " + std::to_string(every) + " ms");
    Cluster cluster;
    cluster.Run(2000);
    Node* leader = cluster.leader();
    ASSERT_NE(leader, nullptr);
    size_t slot = leader->raft->self().id == 2 ? 2 : 1;
    cluster.nodes[slot] = std::make_unique<Node>(slot + 1, RestoredState(), cluster.now, 77);
    leader->raft->AddLearner(cluster.now, cluster.nodes[slot]->raft->self());
    Millis begun = cluster.now;
    while (cluster.now - begun < 3000 && !leader->raft->IsVoter(77)) {
      if ((cluster.now - begun) % every == 0) leader->raft->Propose(cluster.now, "c");
      cluster.Send(leader->Take(cluster.now));
      cluster.Run(10);
    }
    EXPECT_LT(cluster.now - begun, 1000);
  }
}

}  // namespace
}  // namespace elderkeel::consensus
