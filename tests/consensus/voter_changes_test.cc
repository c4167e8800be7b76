// Simulations of losses shortly before, during and after the repair, replacement or orderly
// shutdown of a controller: the tolerated loss may occur again as soon as the previous loss no
// longer counts.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulation/simulation.h"

namespace elderkeel::simulation {
namespace {

constexpr Millis kCatchUpMs = 4000;  // how long a restarted or new member still counts as lost

// Up to `count` running controllers besides `without`; the leader is the first, unless it is
// `without`.
std::vector<size_t> Victims(SimulatedCluster* world, size_t controllers, size_t without,
                            size_t count) {
  std::vector<size_t> victims;
  int leader = world->leader();
  if (count > 0 && leader >= 0 && static_cast<size_t>(leader) != without) {
    victims.push_back(static_cast<size_t>(leader));
  }
  for (size_t i = 0; i < controllers && victims.size() < count; ++i) {
    bool selected = std::find(victims.begin(), victims.end(), i) != victims.end();
    if (i != without && !selected && world->node(i).up) victims.push_back(i);
  }
  return victims;
}

// Whether a change is acknowledged within `span`. Fails also once the simulation reports a fault,
// such as members that committed different entries at one index.
::testing::AssertionResult Commits(SimulatedCluster* world, Millis span) {
  int64_t before = world->acknowledged();
  for (Millis waited = 0; waited < span && world->fault.empty(); waited += 100) {
    world->Change();
    world->Run(100);
    if (world->acknowledged() > before) return ::testing::AssertionSuccess();
  }
  return ::testing::AssertionFailure() << "no change was acknowledged; simulation fault: "
                                       << (world->fault.empty() ? "none" : world->fault);
}

// The first loss of a test: how controllers fail or stop, and whether others replace them.
enum class Loss {
  kPlannedReplacement,      // shut down in order after the replacement has caught up
  kReplacedAfterCrash,      // crashed and replaced
  kTwoReplacedAfterCrash,   // two controllers, one after the other
  kAllReplacedAfterCrash,   // as many controllers at once as may be lost
  kRestartedWithEmptyDisk,  // returns at the same address
  kRestartedInOrder,        // shut down in order and started again
};

struct Case {
  Loss loss;
  const char* name;
  std::vector<Millis> offsets;  // of the second loss, from the first time at which it may occur
};

// Runs two losses. The first is of the leader or of a follower, as described by `c`; the second
// takes as many controllers as may be lost at once, with their disks.
void TwoLosses(const Case& c, size_t voters, size_t tolerated, bool of_leader, Millis offset) {
  SCOPED_TRACE(std::string(c.name) + ", " + std::to_string(voters) + " voters, " +
               std::to_string(tolerated) + " may be lost, " +
               (of_leader ? "leader first" : "follower first") + ", second loss at " +
               std::to_string(offset));
  SimulatedCluster::Options options;
  options.controllers = static_cast<int>(voters);
  options.spare_controllers = c.loss == Loss::kAllReplacedAfterCrash   ? static_cast<int>(tolerated)
                              : c.loss == Loss::kTwoReplacedAfterCrash ? 2
                                                                       : 1;
  options.proxies = 1;
  options.tolerance.machines = tolerated;
  options.seed = voters * 1000 + tolerated * 100 + static_cast<uint64_t>(offset + 1000);
  SimulatedCluster world(options);
  world.Run(6000);
  ASSERT_TRUE(Commits(&world, 3000));
  int leader = world.leader();
  ASSERT_GE(leader, 0);
  ASSERT_EQ(world.node(static_cast<size_t>(leader)).raft->voters().size(), voters);
  size_t first =
      of_leader ? static_cast<size_t>(leader) : (static_cast<size_t>(leader) + 1) % voters;
  size_t spare = voters;
  switch (c.loss) {
    case Loss::kPlannedReplacement:  // the replacement has caught up before the shutdown
      world.Start(spare);
      world.Run(kCatchUpMs + std::min<Millis>(offset, 0));
      if (offset >= 0) {
        world.Leave(first);
        world.Run(offset);
      }
      break;
    case Loss::kReplacedAfterCrash:
      world.Crash(first);
      world.Run(1000);
      world.Start(spare);
      world.Run(kCatchUpMs + offset);
      break;
    case Loss::kTwoReplacedAfterCrash:
      // Each is replaced before it counts as unreachable, the second much later than the first.
      for (size_t k = 0; k < 2; ++k) {
        world.Crash(k == 0 ? first : Victims(&world, voters, first, 1)[0]);
        world.Run(500);
        world.Start(spare + k);
        world.Run(k == 0 ? 15000 : kCatchUpMs + offset);
      }
      break;
    case Loss::kAllReplacedAfterCrash:  // the replacements are in other zones
      for (size_t i : Victims(&world, voters, 999, tolerated)) world.Crash(i);
      world.Run(1000);
      for (size_t i = 0; i < tolerated; ++i) world.Start(spare + i);
      world.Run(kCatchUpMs + offset);
      break;
    case Loss::kRestartedWithEmptyDisk:
      world.Wipe(first);
      world.Run(500);
      world.Start(first);
      world.Run(kCatchUpMs + offset);
      break;
    case Loss::kRestartedInOrder:
      world.Leave(first);
      world.Run(1500);
      world.Start(first);
      world.Run(kCatchUpMs + offset);
      break;
  }
  int64_t before = world.acknowledged();
  world.Change();
  world.Run(offset % 70 + 10);  // the change may be acknowledged or not
  before = std::max(before, world.acknowledged());
  bool returns = c.loss == Loss::kRestartedWithEmptyDisk || c.loss == Loss::kRestartedInOrder;
  std::vector<size_t> second_loss =
      Victims(&world, voters + static_cast<size_t>(options.spare_controllers),
              returns ? 999 : first, tolerated);
  ASSERT_EQ(second_loss.size(), tolerated);
  for (size_t i : second_loss) world.Wipe(i);
  if (c.loss == Loss::kPlannedReplacement && offset < 0) {
    world.Run(-offset);
    world.Leave(first);
  }
  ASSERT_TRUE(Commits(&world, 9000));
  for (size_t i : second_loss) world.Start(i);
  world.Run(kCatchUpMs);
  ASSERT_TRUE(Commits(&world, 3000));
  for (size_t i = 0; i < voters + static_cast<size_t>(options.spare_controllers); ++i) {
    auto& node = world.node(i);
    if (!node.up || node.shutdown_deadline) continue;
    EXPECT_GE(node.state.configuration.revision(), before) << i;
  }
  EXPECT_EQ(world.fault, "");
}

// A leader that shuts down transfers its leadership by a message that may be lost. It must retry,
// so that it is no longer the leader long before its shutdown times out.
TEST(Leaving, LeaderTransfersLeadershipDespiteMessageLoss) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    SimulatedCluster::Options options;
    options.controllers = 5;
    options.proxies = 1;
    options.loss_percent = 20;
    options.tolerance.machines = 2;
    options.seed = seed;
    SimulatedCluster world(options);
    world.Run(8000);
    int leader = world.leader();
    if (leader < 0) continue;  // an election is in progress
    world.Leave(static_cast<size_t>(leader));
    world.Run(2500);
    EXPECT_FALSE(world.node(static_cast<size_t>(leader)).up &&
                 world.node(static_cast<size_t>(leader)).raft->is_leader());
    EXPECT_EQ(world.fault, "");
  }
}

// After a repair the group must survive the tolerated loss again: acknowledged changes are kept and
// new ones commit. A repair that is treated as finished too early would lose either.
class RepeatedLosses : public ::testing::TestWithParam<size_t> {};
TEST_P(RepeatedLosses, KeepAcknowledgedChangesAndAMajority) {
  const std::vector<Case> cases = {
      {Loss::kPlannedReplacement, "planned replacement", {-100, 0, 50, 200, 900}},
      {Loss::kReplacedAfterCrash, "replaced after a crash", {0, 500}},
      {Loss::kTwoReplacedAfterCrash, "two replaced after a crash", {0, 400}},
      {Loss::kAllReplacedAfterCrash, "all tolerated replaced after a crash", {0, 500}},
      {Loss::kRestartedWithEmptyDisk, "restarted with an empty disk", {0, 300}},
      {Loss::kRestartedInOrder, "restarted in order", {0}},
  };
  size_t voters = GetParam();
  for (size_t tolerated = 1; tolerated <= std::min<size_t>(3, (voters - 1) / 2); ++tolerated) {
    for (const Case& c : cases) {
      for (size_t k = 0; k < c.offsets.size(); ++k) {
        TwoLosses(c, voters, tolerated, k % 2 == 0, c.offsets[k]);
        if (HasFatalFailure()) return;
      }
    }
  }
}
INSTANTIATE_TEST_SUITE_P(Voters, RepeatedLosses, ::testing::Values(3, 4, 5, 6, 7, 8, 9));

}  // namespace
}  // namespace elderkeel::simulation
