#include "membership/membership.h"

#include <gtest/gtest.h>

#include "simulation/simulation.h"

namespace elderkeel::membership {
namespace {

Node Member(size_t i, size_t zones) {
  Node node;
  node.ip = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
  node.port = 7200;
  node.id = base::Hash(node.address().ToString());
  node.zone = std::string(1, static_cast<char>('a' + i % zones));
  node.boot_id = 1000 + i;
  node.incarnation = 1;
  return node;
}

Membership::Options OptionsOf(const Node& self, size_t regions) {
  Membership::Options options;
  options.self = self;
  for (char zone = 'a'; zone <= 'h'; ++zone) {
    options.regions[std::string(1, zone)] =
        std::string(1, static_cast<char>('A' + static_cast<size_t>(zone - 'a') % regions));
  }
  return options;
}

// Reference implementation of the choice of monitors that docs/membership.md describes: walks over
// the whole ring.
std::vector<uint64_t> MonitorsByFullWalk(const Membership& m, uint64_t id) {
  std::vector<const Node*> chosen[3], spare;
  const Node& of = m.nodes().at(id);
  auto at = m.nodes().find(id);
  for (size_t i = 1; i < m.nodes().size(); ++i) {
    if (++at == m.nodes().end()) at = m.nodes().begin();
    const Node& node = at->second;
    if (!node.reachable()) continue;
    size_t distance = node.zone == of.zone                           ? 0
                      : m.RegionOf(node.zone) == m.RegionOf(of.zone) ? 1
                                                                     : 2;
    if (chosen[distance].size() < (distance == 0 ? 2u : 1u)) {
      chosen[distance].push_back(&node);
    } else {
      spare.push_back(&node);
    }
  }
  size_t count = chosen[0].size() + chosen[1].size() + chosen[2].size();
  for (const Node* node : spare) {
    if (count++ >= 3) break;
    size_t distance = node->zone == of.zone                           ? 0
                      : m.RegionOf(node->zone) == m.RegionOf(of.zone) ? 1
                                                                      : 2;
    chosen[distance].push_back(node);
  }
  std::vector<uint64_t> ids;
  for (const auto& nodes : chosen) {
    for (const Node* node : nodes) ids.push_back(node->id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

// MonitorsOf() looks at a few nodes of each zone only. It must choose the same monitors as a walk
// over the whole ring does, for random numbers of zones, regions and nodes, as nodes die and
// return.
TEST(MembershipTest, MonitorsOfMatchesAWalkOverTheWholeRing) {
  base::Random random(5);
  for (int round = 0; round < 40; ++round) {
    size_t zones = 1 + random.Below(7), count = 1 + random.Below(60);
    Membership m(OptionsOf(Member(0, zones), 1 + random.Below(3)), {}, 0);
    MembershipUpdate update;
    for (size_t i = 1; i < count; ++i) update.nodes.push_back(Member(i, zones));
    m.OnMembershipUpdate(0, update.nodes.empty() ? base::Address() : update.nodes[0].address(),
                         update);
    for (int change = 0; change < 10; ++change) {
      for (const auto& [id, node] : m.nodes()) {
        std::vector<uint64_t> ids;
        for (const Node* monitor : m.MonitorsOf(id)) ids.push_back(monitor->id);
        std::sort(ids.begin(), ids.end());
        ASSERT_EQ(ids, MonitorsByFullWalk(m, id)) << count << " nodes in " << zones << " zones";
      }
      // Some die, some return.
      MembershipUpdate update;
      for (size_t i = 1; i < count; ++i) {
        if (random.Below(4) > 0) continue;
        Node node = Member(i, zones);
        node.incarnation = static_cast<uint32_t>(2 + change);
        node.state = random.Below(2) ? State::kDead : State::kAlive;
        update.nodes.push_back(node);
      }
      m.OnMembershipUpdate(0, base::Address(), update);
    }
  }
}

// A node that was declared dead may run on the other side of a partition. Limits that all nodes
// share are split by CountNotLeft(), which must include it; CountReachable() must not.
TEST(MembershipTest, CountsDeadNodesAsNotLeftButNotAsAlive) {
  Membership m(OptionsOf(Member(0, 2), 1), {}, 0);
  MembershipUpdate update;
  State states[] = {State::kAlive, State::kSuspect, State::kDead, State::kDead, State::kLeft};
  for (size_t i = 0; i < 5; ++i) {
    update.nodes.push_back(Member(1 + i, 2));
    update.nodes.back().state = states[i];
  }
  m.OnMembershipUpdate(0, base::Address(), update);
  EXPECT_EQ(m.CountReachable(Program::kProxy), 3u);
  EXPECT_EQ(m.CountNotLeft(Program::kProxy), 5u);
}

// Two tables of 300 nodes that differ in a few records must become equal, with traffic that grows
// with the number of those records and not with the number of nodes.
TEST(MembershipTest, TableSyncTrafficIsBoundedByTheRecordsThatDiffer) {
  constexpr size_t kNodes = 300;
  for (size_t differ : {1u, 5u}) {
    Membership a(OptionsOf(Member(0, 5), 1), {}, 0), b(OptionsOf(Member(1, 5), 1), {}, 0);
    MembershipUpdate update;
    for (size_t i = 0; i < kNodes; ++i) update.nodes.push_back(Member(i, 5));
    a.OnMembershipUpdate(0, base::Address(), update);
    b.OnMembershipUpdate(0, base::Address(), update);
    MembershipUpdate changes;
    for (size_t i = 0; i < differ; ++i) {
      Node node = Member(100 + i * 31, 5);
      node.incarnation = 9;
      changes.nodes.push_back(node);
    }
    a.OnMembershipUpdate(0, base::Address(), changes);
    a.TakeEffects();
    b.TakeEffects();
    ASSERT_NE(a.Digest(), b.Digest());
    size_t bytes = 0;
    b.OnHeartbeat(1000, a.self().address(), {a.self().id, a.self().boot_id, 1, a.Digest()});
    Membership* from = &b;
    Membership* to = &a;
    for (int turn = 0; turn < 6; ++turn) {
      Membership::Effects effects = from->TakeEffects();
      for (const auto& [address, m] : effects.part_digests) {
        bytes += transport::Encode(m).size();
        to->OnPartDigests(1000, from->self().address(), m);
      }
      for (const auto& [address, m] : effects.summaries) {
        bytes += transport::Encode(m).size();
        to->OnSummary(1000, from->self().address(), m);
      }
      for (const auto& [address, m] : effects.updates) {
        if (address != to->self().address()) continue;
        bytes += transport::Encode(m).size();
        to->OnMembershipUpdate(1000, from->self().address(), m);
      }
      std::swap(from, to);
    }
    EXPECT_EQ(a.Digest(), b.Digest());
    EXPECT_LT(bytes, 260 + differ * 400) << differ;
  }
}

TEST(MembershipTest, NearestDurablePrefersAliveNodesThenTheOwnZone) {
  struct Case {
    const char* name;
    std::vector<std::pair<size_t, State>> durable;  // zones: 0 and 2 "a", 1 and 3 "b"
    int alive, any;  // the expected nodes without and with suspects; -1 for none
  } cases[] = {
      {"no node has a disk", {}, -1, -1},
      {"own zone first", {{1, State::kAlive}, {2, State::kAlive}}, 2, 2},
      {"alive in another zone before suspected in the own zone",
       {{1, State::kAlive}, {2, State::kSuspect}},
       1,
       1},
      {"all suspected", {{1, State::kSuspect}, {2, State::kSuspect}}, -1, 2},
      {"all dead or left", {{1, State::kDead}, {3, State::kLeft}}, -1, -1},
  };
  for (const Case& c : cases) {
    Membership membership(OptionsOf(Member(0, 2), 1), {}, 0);
    MembershipUpdate update;
    for (size_t i = 1; i < 4; ++i) update.nodes.push_back(Member(i, 2));
    for (const auto& [i, state] : c.durable) {
      update.nodes[i - 1].durable = true;
      update.nodes[i - 1].state = state;
    }
    membership.OnMembershipUpdate(10, update.nodes[0].address(), update);
    auto expected = [](int i) {
      return i < 0 ? std::optional<base::Address>() : Member(static_cast<size_t>(i), 2).address();
    };
    EXPECT_EQ(membership.NearestDurable(false), expected(c.alive)) << c.name;
    EXPECT_EQ(membership.NearestDurable(true), expected(c.any)) << c.name;
  }
}

}  // namespace
}  // namespace elderkeel::membership

namespace elderkeel::simulation {
namespace {

// A third of 300 nodes crashes and restarts, while the list of servers changes. All nodes must
// converge on the same state, and no proxy may use more than its share of a slow link.
TEST(Simulation, ConvergesWithBoundedTrafficAfterAThirdOf300NodesRestarts) {
  SimulatedCluster::Options options;
  options.controllers = 5;
  options.proxies = 295;
  options.zones = 5;
  options.loss_percent = 1;
  options.tolerance.machines = 2;
  options.count_bytes = true;
  for (char zone = 'a'; zone <= 'e'; ++zone) options.regions[std::string(1, zone)] = "r";
  SimulatedCluster world(options);
  world.Run(3000);
  ASSERT_TRUE(world.Change());
  world.Run(1500);
  EXPECT_EQ(world.Converged(), "");
  world.ResetByteCounts();
  for (size_t i = 5; i < world.size(); i += 3) world.Crash(i);
  world.Run(2000);
  world.ChangeEndpoints();
  for (size_t i = 5; i < world.size(); i += 3) world.Start(i);
  world.Run(2500);
  EXPECT_EQ(world.Converged(), "");
  // A link of 2 Mbit/s carries 1.1 MB in these 4.5 s. Membership and dissemination may use a fifth.
  size_t most = 0;
  for (size_t i = 5; i < world.size(); ++i) most = std::max(most, world.bytes_of(i));
  EXPECT_LT(most, 225000u);
}

}  // namespace
}  // namespace elderkeel::simulation
