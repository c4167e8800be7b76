#include "simulation/simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace elderkeel::simulation {
namespace {

// Runs until the cluster has converged; fails with `why` if it hasn't after `within` ms.
void Stabilize(SimulatedCluster* world, Millis within, const std::string& why) {
  std::string state = "nothing ran";
  for (Millis waited = 0; waited < within && world->fault.empty(); waited += 250) {
    world->Run(250);
    state = world->Converged();
    if (state.empty()) return;
  }
  FAIL() << why << ": " << (world->fault.empty() ? state : world->fault);
}

// Injects random cuts, crashes, power losses, shutdowns, freezes and hanging disks, and wipes one
// disk at a time, while an operator changes the configuration and drains zones and the platform's
// endpoint list changes.
void Chaos(uint64_t seed, int controllers) {
  SimulatedCluster::Options options;
  options.seed = seed;
  options.controllers = controllers;
  options.regions = {{"a", "r"}, {"b", "r"}, {"c", "r"}};
  SimulatedCluster world(options);
  base::Random& random = world.random();
  world.Run(3000);
  Millis wiped_at = -100000;
  for (int round = 0; round < 60 && world.fault.empty(); ++round) {
    size_t i = random.Below(world.size());
    size_t c = random.Below(static_cast<uint64_t>(controllers));
    switch (random.Below(11)) {
      case 10:
        world.Leave(i);
        break;
      case 9:
        world.DrainZone(std::string(1, static_cast<char>('a' + random.Below(3))),
                        random.Below(2) == 0);
        break;
      case 0:
        world.Isolate(i, true);
        break;
      case 1:
        world.Isolate(i, false);
        break;
      case 2:
        world.LosePower(i);
        break;
      case 3:
      case 4:
        world.Start(i);
        break;
      case 5:
        world.Freeze(i, random.Below(2) == 0);
        break;
      case 6:
        world.node(c).disk_hangs_until = world.now + static_cast<Millis>(random.Below(3000));
        break;
      case 7:
        world.ChangeEndpoints();
        break;
      case 8: {
        // At most one disk may be lost until the cluster has admitted the replacement as a voter.
        if (world.now - wiped_at < 15000) break;
        bool converged = world.Converged().empty();
        if (!converged) break;
        wiped_at = world.now;
        int leader = world.leader();
        size_t victim = random.Below(2) && leader >= 0 ? static_cast<size_t>(leader) : c;
        world.Change();
        world.Run(static_cast<Millis>(random.Below(60)));
        world.Wipe(victim);
        world.Run(500);
        world.Start(victim);
        world.Run(6000);
        break;
      }
    }
    for (int k = 0; k < 3; ++k) {
      if (random.Below(2)) world.Change();
      world.Run(static_cast<Millis>(random.Below(400)));
    }
    if (random.Below(6) == 0) {
      world.HealAll();
      world.Run(4000);
    }
  }
  ASSERT_EQ(world.fault, "") << "seed " << seed;
  world.HealAll();
  world.Run(3000);
  for (int k = 0; k < 20 && !world.Change(); ++k) world.Run(500);
  Stabilize(&world, 30000, "seed " + std::to_string(seed));
  EXPECT_GT(world.acknowledged(), 3) << "seed " << seed;
}

// Guards against any violation of SimulatedCluster's invariants under random faults, and against a
// cluster that doesn't converge after them.
class Seeds : public ::testing::TestWithParam<int> {};
TEST_P(Seeds, ThreeControllersThroughChaos) {
  for (int k = 0; k < 8; ++k) Chaos(static_cast<uint64_t>(GetParam() * 100 + k), 3);
}
TEST_P(Seeds, FourControllersThroughChaos) {
  for (int k = 0; k < 8; ++k) Chaos(static_cast<uint64_t>(GetParam() * 100 + 50 + k), 4);
}
// Returns the number of seed groups; ELDERKEEL_SEED_GROUPS=100 runs many more than the default.
int SeedGroups() {
  const char* text = std::getenv("ELDERKEEL_SEED_GROUPS");
  return text ? std::max(1, std::atoi(text)) : 4;
}
INSTANTIATE_TEST_SUITE_P(Simulation, Seeds, ::testing::Range(1, 1 + SeedGroups()));

// A new cluster must elect a leader and spread a first change to all nodes.
TEST(Simulation, ANewClusterElectsALeaderAndSpreadsAChange) {
  SimulatedCluster world({});
  world.Run(1500);
  ASSERT_TRUE(world.Change());
  Stabilize(&world, 3000, "start");
}

// A voter that lost its disk may have voted in the current term; it must come back under a
// new member id, or it could vote twice.
TEST(Simulation, AWipedMemberAtItsOldAddressBecomesAVoterUnderANewId) {
  SimulatedCluster world({});
  world.Run(2000);
  ASSERT_TRUE(world.Change());
  Stabilize(&world, 3000, "start");
  consensus::MemberId old = world.node(2).raft->self().id;
  world.Wipe(2);
  world.Run(400);
  world.Start(2);
  Stabilize(&world, 8000, "after the wipe");
  EXPECT_NE(world.node(2).raft->self().id, old);
  EXPECT_EQ(world.node(0).raft->voters().size(), 3u);
}

// The catalog reader may run in the leader's process. After a crash of both, a change of the
// endpoint list must still reach every node.
TEST(Simulation, TheCatalogReaderLostWithTheLeaderIsReplaced) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  Stabilize(&world, 3000, "start");
  int leader = world.leader();
  world.Crash(static_cast<size_t>(leader));
  world.ChangeEndpoints();
  world.Run(4000);
  // Two of three controllers suffice to elect a leader, to assign a catalog reader and to spread
  // the list.
  for (size_t i = 0; i < world.size(); ++i) {
    if (static_cast<int>(i) == leader) continue;
    ASSERT_EQ(world.node(i).disseminator->endpoints().servers.size(), 1u);
    EXPECT_EQ(world.node(i).disseminator->endpoints().servers[0].id, "list-1") << i;
  }
  world.Start(static_cast<size_t>(leader));
  Stabilize(&world, 8000, "after its return");
}

// A catalog reader that restarted numbered its lists from 1 again within its old epoch, so that all
// nodes ignored them as outdated.
TEST(Simulation, ARestartedCatalogReaderIsNotTakenForItsEarlierIncarnation) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  for (int k = 0; k < 4; ++k) {
    world.ChangeEndpoints();
    world.Run(1500);
  }
  Stabilize(&world, 4000, "start");
  for (size_t i = 0; i < 3; ++i) world.Crash(i);
  world.Run(200);
  for (size_t i = 0; i < 3; ++i) world.Start(i);
  world.ChangeEndpoints();
  Stabilize(&world, 6000, "after the restart of the core");
}

// A leader that is cut off from the other voters must not acknowledge a change, and must step down.
TEST(Simulation, AMinorityLeaderAcknowledgesNothing) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  Stabilize(&world, 3000, "start");
  int leader = world.leader();
  int64_t before = world.acknowledged();
  for (size_t k = 0; k < 3; ++k) {
    if (static_cast<int>(k) != leader) world.Cut(static_cast<size_t>(leader), k, true);
  }
  world.Change();  // is proposed at the leader that is cut off
  world.Run(400);
  EXPECT_EQ(world.acknowledged(), before);
  world.Run(3000);
  EXPECT_FALSE(world.node(static_cast<size_t>(leader)).raft->is_leader());  // it lost its quorum
  for (size_t k = 0; k < 3; ++k) world.Cut(static_cast<size_t>(leader), k, false);
  world.Change();
  Stabilize(&world, 6000, "after the cut");
}

// A leader whose disk hangs can commit by the disks of the others, but must hand over instead of
// leading on without a working disk.
TEST(Simulation, ALeaderWhoseDiskHangsIsReplaced) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  Stabilize(&world, 3000, "start");
  int leader = world.leader();
  world.node(static_cast<size_t>(leader)).disk_hangs_until = world.now + 6000;
  int64_t before = world.acknowledged();
  world.Change();
  world.Run(300);
  EXPECT_GT(world.acknowledged(), before);  // the two others have synced it
  world.Run(3500);
  EXPECT_NE(world.leader(), leader);
  EXPECT_GE(world.leader(), 0);
  Stabilize(&world, 12000, "after the hang");
}

// A voter that stays unreachable uses up a part of the failures that the group tolerates. It must
// be removed in time, and become a voter again when it returns.
TEST(Simulation, AControllerThatStaysUnreachableLosesItsVoteUntilItReturns) {
  SimulatedCluster::Options options;
  options.controllers = 4;
  SimulatedCluster world(options);
  world.Run(4000);
  world.Change();
  Stabilize(&world, 5000, "start");
  EXPECT_EQ(world.node(0).raft->voters().size(), 4u);
  size_t gone = static_cast<size_t>((world.leader() + 1) % 4);
  world.Crash(gone);
  world.Run(30000);
  size_t voters = world.node(static_cast<size_t>(world.leader())).raft->voters().size();
  // Nodes 0 and 3 share a zone, so either of them is removed early; the others are the only voter
  // of their zone and keep their vote for longer.
  EXPECT_EQ(voters, gone == 0 || gone == 3 ? 3u : 4u);
  world.Run(35000);
  EXPECT_EQ(world.node(static_cast<size_t>(world.leader())).raft->voters().size(), 3u);
  world.Start(gone);
  Stabilize(&world, 8000, "after its return");
  EXPECT_EQ(world.node(gone).raft->voters().size(), 4u);
}

// An entry that the leader holds only in memory must not count towards the quorum: a power loss
// would lose an acknowledged change.
TEST(Simulation, AnEntryThatTheLeaderHasNotSyncedDoesNotCountTowardsTheQuorum) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  Stabilize(&world, 3000, "start");
  size_t leader = static_cast<size_t>(world.leader());
  size_t other = (leader + 1) % 3;
  int64_t before = world.acknowledged();
  world.node(leader).disk_hangs_until = world.now + 1200;
  world.Cut(leader, other, true);
  ASSERT_TRUE(world.Change());
  world.Run(600);
  // Only one disk of three holds the entry: that is no majority, although the leader has it in
  // memory.
  EXPECT_EQ(world.acknowledged(), before);
  world.Cut(leader, other, false);
  Stabilize(&world, 10000, "after the hang");
}

// After a failed write it is unknown what the disk holds. The member must neither lead nor vote
// until it has restarted from its store, or it could break a promise that it hasn't stored.
TEST(Simulation, AFailedWriteExcludesAMemberUntilItRestartsFromItsStore) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  Stabilize(&world, 3000, "start");
  size_t leader = static_cast<size_t>(world.leader());
  consensus::RaftNode& raft = *world.node(leader).raft;
  raft.OnWriteFinished(world.now, 1u << 30, false);
  EXPECT_TRUE(raft.storage_failed());
  EXPECT_FALSE(raft.is_leader());
  world.Run(100);
  raft.TakeEffects();
  // It doesn't reply to a request for its vote.
  consensus::Message ask;
  ask.type = consensus::MessageType::kRequestVote;
  ask.cluster = raft.cluster();
  ask.to = raft.self().id;
  ask.from = raft.voters()[0].id == ask.to ? raft.voters()[1].id : raft.voters()[0].id;
  ask.term = raft.term() + 5;
  ask.index = 1000;
  ask.log_term = 1000;
  raft.Receive(world.now, ask, {"10.0.0.9", 1});
  EXPECT_TRUE(raft.TakeEffects().messages.empty());
  world.Run(4000);
  EXPECT_NE(world.leader(), static_cast<int>(leader));
  ASSERT_TRUE(world.Change());
  world.Crash(leader);
  world.Start(leader);
  Stabilize(&world, 8000, "after its store was read anew");
}

// A node that only one of its monitors can't reach must not be declared dead, or one faulty link
// would remove a healthy node.
TEST(Simulation, TheSuspicionOfOneMonitorDoesNotMakeANodeDead) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  Stabilize(&world, 3000, "start");
  const size_t isolated = 4;
  uint64_t id = base::Hash(world.node(isolated).address.ToString());
  size_t observer = 0;
  for (size_t i = 0; i < world.size(); ++i) {
    if (world.node(i).members->self().id == world.node(isolated).members->MonitorsOf(id)[0]->id) {
      observer = i;
    }
  }
  world.Cut(isolated, observer, true);
  bool suspected = false;
  for (int k = 0; k < 60; ++k) {
    world.Run(50);
    for (size_t i = 0; i < world.size(); ++i) {
      membership::State state = world.node(i).members->nodes().at(id).state;
      EXPECT_NE(state, membership::State::kDead) << "at node " << i;
      suspected |= state == membership::State::kSuspect;
    }
  }
  EXPECT_TRUE(suspected);  // the monitor did suspect it
  world.Cut(isolated, observer, false);
  Stabilize(&world, 4000, "after the cut");
}

// Guards against an endpoint list or a configuration that is replaced by an older one, and against
// a patch that is applied to a base the node doesn't hold.
TEST(Disseminator, AdoptsOnlyNewerStateAndPullsWhenAPatchHasNoBase) {
  membership::Membership members({}, {}, 0);
  dissemination::Disseminator disseminator({}, &members, 0);
  auto list = [](uint64_t epoch, uint64_t sequence) {
    dissemination::EndpointUpdate update;
    update.epoch = epoch;
    update.sequence = sequence;
    update.servers.resize(1);
    update.servers[0].id = std::to_string(epoch) + "." + std::to_string(sequence);
    return update;
  };
  struct Step {
    uint64_t epoch, sequence;
    const char* held;
  } steps[] = {{0, 1, "0.1"}, {0, 1, "0.1"}, {2, 3, "2.3"}, {2, 2, "2.3"},
               {1, 9, "2.3"}, {2, 4, "2.4"}, {3, 1, "3.1"}, {0, 1, "3.1"}};
  for (const Step& step : steps) {
    disseminator.OnEndpointUpdate(0, {"10.0.0.2", 1}, list(step.epoch, step.sequence));
    EXPECT_EQ(disseminator.endpoints().servers[0].id, step.held);
  }
  auto config = [&](int64_t revision, int64_t base, const std::string& body) {
    disseminator.OnConfigurationUpdate(0, {"10.0.0.2", 1}, {revision, base, body});
    return disseminator.revision();
  };
  EXPECT_EQ(config(4, 0, R"({"revision":4,"route-list":[]})"), 4);
  EXPECT_EQ(config(3, 0, R"({"revision":3,"route-list":[]})"), 4);
  EXPECT_EQ(config(6, 4, R"({"revision":6,"upsert":{"route-list":[{"label":"x"}]}})"), 6);
  EXPECT_NE(disseminator.configuration_text().find("\"label\":\"x\""), std::string::npos);
  disseminator.TakeEffects();
  // The base of this patch is missing, so the node requests the full document.
  EXPECT_EQ(config(9, 8, R"({"revision":9})"), 6);
  ASSERT_EQ(disseminator.TakeEffects().pulls.size(), 1u);
}

// Guards against a commit that the tolerated loss of machines, zones or regions would undo. Each
// case gives the voters' zones, the tolerance and the voters that have synced the entry.
TEST(Consensus, CommitsOnlyEntriesThatSurviveTheToleratedLoss) {
  struct Case {
    const char* name;
    std::vector<const char*> zones;  // of the voters; the first leads
    consensus::Tolerance tolerance;
    std::vector<size_t> synced;  // indices of voters, besides the leader
    bool committed;
  } cases[] = {
      {"a majority of three", {"a", "b", "c"}, {1, 0, 0}, {1}, true},
      {"the leader alone", {"a", "b", "c"}, {1, 0, 0}, {}, false},
      {"three voters, two to lose: two copies", {"a", "b", "c"}, {2, 0, 0}, {1}, false},
      {"three voters, two to lose: all", {"a", "b", "c"}, {2, 0, 0}, {1, 2}, true},
      {"four, two to lose", {"a", "b", "c", "d"}, {2, 0, 0}, {1, 3}, true},
      {"five, two to lose", {"a", "b", "c", "d", "e"}, {2, 0, 0}, {2, 4}, true},
      {"no more copies than voters", {"a"}, {2, 0, 0}, {}, true},
      {"a majority in one zone", {"a", "a", "a", "b", "b"}, {1, 1, 0}, {1, 2}, false},
      {"a majority in two zones", {"a", "a", "a", "b", "b"}, {1, 1, 0}, {1, 3}, true},
      {"two zones of one region", {"a", "a", "b", "c", "c"}, {1, 1, 1}, {1, 2}, false},
      {"two regions", {"a", "a", "b", "c", "c"}, {1, 1, 1}, {2, 3}, true},
  };
  for (const Case& c : cases) {
    consensus::RaftNode::Options options;
    for (size_t i = 0; i < c.zones.size(); ++i) {
      consensus::Member m;
      m.id = i + 1;
      m.ip = "10.0.0." + std::to_string(i + 1);
      m.port = 7200;
      m.zone = c.zones[i];
      options.initial_voters.push_back(m);
    }
    options.self = options.initial_voters[0];
    options.cluster = 7;
    options.tolerance = c.tolerance;
    options.regions = {{"a", "x"}, {"b", "x"}, {"c", "y"}};
    consensus::RaftNode raft(options, {}, 0);
    Millis now = 0;
    // Advances by 10 ms and grants every vote. Appends are answered for the voters of `synced`, or
    // for all with `sync_all`.
    auto advance = [&](bool sync_all) {
      now += 10;
      raft.Tick(now);
      auto effects = raft.TakeEffects();
      for (const auto& write : effects.writes) raft.OnWriteFinished(now, write.sequence, true);
      for (const auto& out : raft.TakeEffects().messages) effects.messages.push_back(out);
      for (const auto& out : effects.messages) {
        consensus::Message reply = out.message;
        reply.from = out.message.to;
        reply.to = 1;
        reply.granted = true;
        if (out.message.type == consensus::MessageType::kPreVote) {
          reply.type = consensus::MessageType::kPreVoteReply;
        } else if (out.message.type == consensus::MessageType::kRequestVote) {
          reply.type = consensus::MessageType::kRequestVoteReply;
        } else {
          bool synced = sync_all || std::count(c.synced.begin(), c.synced.end(), reply.from - 1);
          if (!synced) continue;
          reply.type = consensus::MessageType::kAppendEntriesReply;
          if (!out.message.entries.empty()) reply.index = out.message.entries.back().index;
          reply.entries.clear();
        }
        raft.Receive(now, reply, out.to);
      }
    };
    for (int k = 0; k < 200 && !raft.HasCommittedInTerm(); ++k) advance(true);
    ASSERT_TRUE(raft.HasCommittedInTerm()) << c.name;
    consensus::Index index = *raft.Propose(now, "change");
    for (int k = 0; k < 30; ++k) advance(false);
    EXPECT_EQ(raft.commit() >= index, c.committed) << c.name;
  }
}

// Guards against acknowledged changes that are lost when as many machines as tolerated lose their
// disks, while all others lose power and what they hadn't synced.
TEST(Simulation, AcknowledgedChangesSurviveTheToleratedLoss) {
  struct Case {
    const char* name;
    int controllers, zones;
    consensus::Tolerance tolerance;
    std::map<std::string, std::string> regions;
    int wiped;
  } cases[] = {
      {"one of three", 3, 3, {1, 0, 0}, {}, 1},
      {"two of five", 5, 5, {2, 0, 0}, {}, 2},
      {"two of six, two a zone", 6, 3, {2, 0, 0}, {}, 2},
      {"a region of three",
       6,
       6,
       {2, 1, 1},
       {{"a", "x"}, {"b", "x"}, {"c", "y"}, {"d", "y"}, {"e", "z"}, {"f", "z"}},
       2},
  };
  for (const Case& c : cases) {
    for (uint64_t seed = 1; seed <= 12; ++seed) {
      SimulatedCluster::Options options;
      options.seed = seed;
      options.controllers = c.controllers;
      options.proxies = 2;
      options.zones = c.zones;
      options.tolerance = c.tolerance;
      options.regions = c.regions;
      SimulatedCluster world(options);
      world.Run(4000);
      world.Change();
      Stabilize(&world, 8000, c.name);
      // In some runs a voter is down before the change; it counts as one of the tolerated losses.
      bool one_absent = c.wiped > 1 && seed % 3 == 0;
      size_t absent = world.random().Below(static_cast<uint64_t>(c.controllers));
      if (one_absent) {
        world.LosePower(absent);
        for (int k = 0; k < 20 && world.leader() < 0; ++k) world.Run(200);
      }
      int64_t before = world.acknowledged();
      ASSERT_TRUE(world.Change()) << c.name;
      world.DrainZone("a", true);
      for (int k = 0; k < 400 && world.acknowledged() == before; ++k) world.Run(10);
      ASSERT_GT(world.acknowledged(), before) << c.name << " seed " << seed;
      size_t first = world.random().Below(static_cast<uint64_t>(c.controllers));
      if (one_absent) first = absent;
      for (size_t i = 0; i < static_cast<size_t>(c.controllers); ++i) {
        size_t distance =
            (i + static_cast<size_t>(c.controllers) - first) % static_cast<size_t>(c.controllers);
        if (distance < static_cast<size_t>(c.wiped)) {
          world.Wipe(i);
        } else {
          world.LosePower(i);
        }
      }
      world.Run(500);
      world.HealAll();
      Stabilize(&world, 30000, std::string(c.name) + " seed " + std::to_string(seed));
    }
  }
}

// Both sides of a partition receive changes of the same revision repeatedly, also while voters are
// replaced. SimulatedCluster checks that at most one change of each revision is acknowledged.
TEST(Simulation, OfTwoChangesDuringACutAtMostOneIsAcknowledged) {
  for (uint64_t seed = 1; seed <= 16; ++seed) {
    SimulatedCluster::Options options;
    options.seed = seed;
    options.controllers = 6;
    options.proxies = 1;
    options.tolerance = {2, 0, 0};
    SimulatedCluster world(options);
    world.Run(4000);
    world.Change();
    Stabilize(&world, 8000, "start");
    for (int round = 0; round < 6 && world.fault.empty(); ++round) {
      uint64_t side_mask = world.random().Below(64);
      for (size_t a = 0; a < 6; ++a) {
        for (size_t b = a + 1; b < 6; ++b)
          world.Cut(a, b, (side_mask >> a & 1) != (side_mask >> b & 1));
      }
      if (round % 2) world.Wipe(world.random().Below(6));
      for (int k = 0; k < 40; ++k) {
        for (size_t i = 0; i < 6; ++i) world.ChangeAt(i);
        world.Run(50);
      }
      world.HealAll();
      world.Run(6000);
    }
    ASSERT_EQ(world.fault, "") << "seed " << seed;
    Stabilize(&world, 30000, "seed " + std::to_string(seed));
  }
}

// One or two controllers, such as the leader or the catalog reader, crash and restart within 300 ms
// while the endpoint list changes. Their absence must not keep the new list from any node.
TEST(Simulation, AProcessThatRestartsAtOnceHidesNoChangeOfTheList) {
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    SimulatedCluster::Options options;
    options.seed = seed;
    options.controllers = 4;
    SimulatedCluster world(options);
    world.Run(3000);
    world.Change();
    Stabilize(&world, 4000, "start");
    uint64_t owner_id = world.node(0).state.catalog_reader.owner;
    std::vector<size_t> killed;
    for (size_t i = 0; i < 4; ++i) {
      bool owner = world.node(i).raft->self().id == owner_id;
      bool leader = static_cast<int>(i) == world.leader();
      if ((seed % 4 == 0 && i == 0) || (seed % 4 == 1 && owner) || (seed % 4 == 2 && leader) ||
          (seed % 4 == 3 && (leader || owner))) {
        killed.push_back(i);
      }
    }
    bool before = world.random().Below(2) == 0;
    if (before) world.ChangeEndpoints();
    for (size_t i : killed) world.Crash(i);
    world.Run(static_cast<Millis>(world.random().Below(300)));
    if (!before) world.ChangeEndpoints();
    for (size_t i : killed) world.Start(i);
    world.Run(3000);
    for (size_t i = 0; i < world.size(); ++i) {
      EXPECT_TRUE(world.HasCurrentEndpoints(i)) << "node " << i << " seed " << seed;
    }
    ASSERT_EQ(world.fault, "") << "seed " << seed;
  }
}

// A proxy that had shut down in order came back under its old address. The others still
// listed it as left and sent it nothing, also not that entry, so it learned of no other node.
TEST(Simulation, ANodeThatLeftAndRestartedJoinsTheClusterAgain) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    SimulatedCluster::Options options;
    options.seed = seed;
    SimulatedCluster world(options);
    world.Run(2000);
    world.Change();
    Stabilize(&world, 3000, "start");
    size_t proxy = 3 + seed % 4;
    for (int restart = 0; restart < 3; ++restart) {
      world.Leave(proxy);
      world.Run(600);
      world.Start(proxy);
      world.Run(1500);
      ASSERT_TRUE(world.Change());
      world.ChangeEndpoints();
      Stabilize(&world, 3000,
                "restart " + std::to_string(restart) + " seed " + std::to_string(seed));
    }
  }
}

// A node that was cut off during an update must receive it soon after the cut ends, although nobody
// sends that update again of its own accord.
TEST(Simulation, ANodeThatMissedAnUpdateGetsIt) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  Stabilize(&world, 3000, "start");
  size_t proxy = 5;
  world.Isolate(proxy, true);
  world.Run(3000);
  world.Change();
  world.ChangeEndpoints();
  world.Run(3000);
  EXPECT_LT(world.node(proxy).disseminator->revision(), world.acknowledged());
  world.Isolate(proxy, false);
  world.Run(1500);
  EXPECT_EQ(world.node(proxy).disseminator->revision(), world.acknowledged());
  Stabilize(&world, 6000, "after its return");
}

// A member that was absent for hundreds of changes must have the newest state and its vote again
// within 5 s while changes go on, and must never lead without an acknowledged change.
// ELDERKEEL_CATCH_UP_SEEDS=1000 runs that many seeds and prints how long they took.
TEST(Simulation, AnAbsentMemberCatchesUpDuringChanges) {
  enum class Kind { kRestarted, kWiped, kFrozen, kNew };
  struct Case {
    const char* name;
    Kind kind;
    Millis absent;
  } cases[] = {{"restarted", Kind::kRestarted, 1500},
               {"wiped", Kind::kWiped, 1500},
               {"frozen for a minute", Kind::kFrozen, 60000},
               {"new", Kind::kNew, 1500}};
  const char* text = std::getenv("ELDERKEEL_CATCH_UP_SEEDS");
  uint64_t seeds = text ? static_cast<uint64_t>(std::max(1, std::atoi(text))) : 3;
  for (const Case& c : cases) {
    std::map<Millis, int> histogram;  // number of seeds by duration, in buckets of 250 ms
    Millis worst = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      SCOPED_TRACE(std::string(c.name) + " seed " + std::to_string(seed));
      SimulatedCluster::Options options;
      options.seed = seed;
      options.controllers = 4;
      options.proxies = 1;
      SimulatedCluster world(options);
      size_t victim = c.kind == Kind::kNew ? 3 : world.random().Below(4);
      if (c.kind == Kind::kNew) world.Wipe(victim);
      auto run = [&](Millis span, Millis every) {
        for (Millis end = world.now + span; world.now < end && world.fault.empty();) {
          world.Change();
          world.Run(every);
          consensus::RaftNode* raft = world.node(victim).raft.get();
          if (raft && !world.node(victim).frozen && raft->HasCommittedInTerm() &&
              world.node(victim).state.configuration.revision() < world.acknowledged()) {
            world.fault = "it leads with an older state";
          }
        }
      };
      world.Run(4000);
      run(6000, 30);
      if (c.kind == Kind::kRestarted) world.LosePower(victim);
      if (c.kind == Kind::kWiped) world.Wipe(victim);
      if (c.kind == Kind::kFrozen) world.Freeze(victim, true);
      run(c.absent, c.absent / 50);
      world.Freeze(victim, false);
      world.Start(victim);
      int64_t wanted = world.acknowledged();
      Millis started_at = world.now;
      auto has_caught_up = [&] {
        int leader = world.leader();
        const SimulatedCluster::Node& node = world.node(victim);
        return leader >= 0 && node.state.configuration.revision() >= wanted &&
               world.node(static_cast<size_t>(leader)).raft->IsVoter(node.raft->self().id) &&
               node.raft->IsVoter(node.raft->self().id);
      };
      while (!has_caught_up() && world.now - started_at < 20000 && world.fault.empty()) run(30, 30);
      ASSERT_EQ(world.fault, "");
      Millis took = world.now - started_at;
      EXPECT_LE(took, 5000);
      worst = std::max(worst, took);
      ++histogram[took / 250 * 250];
    }
    if (!text) continue;
    std::printf("%s: worst %d ms;", c.name, static_cast<int>(worst));
    for (const auto& [from, count] : histogram) {
      std::printf(" %d:%d", static_cast<int>(from), count);
    }
    std::printf("\n");
  }
}

// A frozen node must be declared dead by the others. When it resumes it has received no heartbeats,
// but must not take the others for dead, since it was its own process that stood still.
TEST(Simulation, AFrozenNodeIsDeclaredDeadAndSuspectsNobodyWhenItResumes) {
  SimulatedCluster world({});
  world.Run(2000);
  world.Change();
  Stabilize(&world, 3000, "start");
  uint64_t gone = base::Hash(world.node(4).address.ToString());
  world.Freeze(4, true);
  world.Run(2500);
  int considered_dead = 0;
  for (size_t i = 0; i < world.size(); ++i) {
    if (i != 4)
      considered_dead += world.node(i).members->nodes().at(gone).state == membership::State::kDead;
  }
  EXPECT_EQ(considered_dead, 6);
  world.Freeze(4, false);
  world.Run(100);
  // The missing heartbeats are due to its own suspension, so it suspects nobody.
  for (const auto& [id, node] : world.node(4).members->nodes()) {
    EXPECT_EQ(node.state, membership::State::kAlive);
  }
  Stabilize(&world, 4000, "after the thaw");
}

}  // namespace
}  // namespace elderkeel::simulation
