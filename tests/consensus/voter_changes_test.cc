// Losses right before, during and after a repair, a replacement and an orderly end: what may be
// lost at once may be lost again as soon as the last loss has stopped counting.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulation/simulation.h"

namespace elderkeel::simulation {
namespace {

constexpr Millis kSync = 4000;  // how long a raft that is back or new counts as lost

// Some voters besides `without`, the leader among them if it may be.
std::vector<size_t> Victims(World* world, size_t controllers, size_t without, size_t count) {
  std::vector<size_t> victims;
  int leader = world->leader();
  if (count > 0 && leader >= 0 && static_cast<size_t>(leader) != without) {
    victims.push_back(static_cast<size_t>(leader));
  }
  for (size_t i = 0; i < controllers && victims.size() < count; ++i) {
    bool taken = std::find(victims.begin(), victims.end(), i) != victims.end();
    if (i != without && !taken && world->node(i).up) victims.push_back(i);
  }
  return victims;
}

// A change that is taken and acknowledged within `span`; what was acknowledged before is kept.
::testing::AssertionResult Commits(World* world, Millis span) {
  int64_t before = world->acknowledged();
  for (Millis waited = 0; waited < span && world->fault.empty(); waited += 100) {
    world->Change();
    world->Run(100);
    if (world->acknowledged() > before) return ::testing::AssertionSuccess();
  }
  return ::testing::AssertionFailure()
         << "no change is acknowledged, " << (world->fault.empty() ? "no fault" : world->fault);
}

enum class Loss { kPlanned, kGone, kGoneTwice, kAllGone, kWiped, kRestarted };

struct Case {
  Loss loss;
  const char* name;
  std::vector<Millis> offsets;  // of the next loss, from when it may come
};

// The first loss strikes `of`; the next one takes as many as may be lost at once, with their disks.
void TwoLosses(const Case& c, size_t voters, size_t tolerated, bool of_leader, Millis offset) {
  SCOPED_TRACE(std::string(c.name) + ", " + std::to_string(voters) + " voters, " +
               std::to_string(tolerated) + " may be lost, " +
               (of_leader ? "leader first" : "follower first") + ", next loss at " +
               std::to_string(offset));
  World::Options options;
  options.controllers = static_cast<int>(voters);
  options.spare = c.loss == Loss::kAllGone     ? static_cast<int>(tolerated)
                  : c.loss == Loss::kGoneTwice ? 2
                                               : 1;
  options.proxies = 1;
  options.tolerance.machines = tolerated;
  options.seed = voters * 1000 + tolerated * 100 + static_cast<uint64_t>(offset + 1000);
  World world(options);
  world.Run(6000);
  ASSERT_TRUE(Commits(&world, 3000));
  int leader = world.leader();
  ASSERT_GE(leader, 0);
  ASSERT_EQ(world.node(static_cast<size_t>(leader)).raft->voters().size(), voters);
  size_t first =
      of_leader ? static_cast<size_t>(leader) : (static_cast<size_t>(leader) + 1) % voters;
  size_t spare = voters;
  switch (c.loss) {
    case Loss::kPlanned:  // its successor has had its time when it is told to end
      world.Start(spare);
      world.Run(kSync + std::min<Millis>(offset, 0));
      if (offset >= 0) {
        world.Leave(first);
        world.Run(offset);
      }
      break;
    case Loss::kGone:
      world.Crash(first);
      world.Run(1000);
      world.Start(spare);
      world.Run(kSync + offset);
      break;
    case Loss::kGoneTwice:  // each replaced before its silence is noticed, the second much later
      for (size_t k = 0; k < 2; ++k) {
        world.Crash(k == 0 ? first : Victims(&world, voters, first, 1)[0]);
        world.Run(500);
        world.Start(spare + k);
        world.Run(k == 0 ? 15000 : kSync + offset);
      }
      break;
    case Loss::kAllGone:  // as many as may be, and their successors stand in other zones
      for (size_t i : Victims(&world, voters, 999, tolerated)) world.Crash(i);
      world.Run(1000);
      for (size_t i = 0; i < tolerated; ++i) world.Start(spare + i);
      world.Run(kSync + offset);
      break;
    case Loss::kWiped:
      world.Wipe(first);
      world.Run(500);
      world.Start(first);
      world.Run(kSync + offset);
      break;
    case Loss::kRestarted:
      world.Leave(first);
      world.Run(1500);
      world.Start(first);
      world.Run(kSync + offset);
      break;
  }
  int64_t before = world.acknowledged();
  world.Change();
  world.Run(offset % 70 + 10);  // acknowledged or not
  before = std::max(before, world.acknowledged());
  bool back = c.loss == Loss::kWiped || c.loss == Loss::kRestarted;
  std::vector<size_t> lost =
      Victims(&world, voters + static_cast<size_t>(options.spare), back ? 999 : first, tolerated);
  ASSERT_EQ(lost.size(), tolerated);
  for (size_t i : lost) world.Wipe(i);
  if (c.loss == Loss::kPlanned && offset < 0) {
    world.Run(-offset);
    world.Leave(first);
  }
  ASSERT_TRUE(Commits(&world, 9000));
  for (size_t i : lost) world.Start(i);
  world.Run(kSync);
  ASSERT_TRUE(Commits(&world, 3000));
  for (size_t i = 0; i < voters + static_cast<size_t>(options.spare); ++i) {
    auto& node = world.node(i);
    if (!node.up || node.leave_by) continue;
    EXPECT_GE(node.state.configuration.revision(), before) << i;
  }
  EXPECT_EQ(world.fault, "");
}

// One message asks a follower to lead in place of a leader that ends. Whatever becomes of it,
// another one leads long before the bound of the orderly end.
TEST(Leaving, ALeaderHandsOverThoughMessagesAreLost) {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    World::Options options;
    options.controllers = 5;
    options.proxies = 1;
    options.loss_percent = 20;
    options.tolerance.machines = 2;
    options.seed = seed;
    World world(options);
    world.Run(8000);
    int leader = world.leader();
    if (leader < 0) continue;  // an election is under way
    world.Leave(static_cast<size_t>(leader));
    world.Run(2500);
    EXPECT_FALSE(world.node(static_cast<size_t>(leader)).up &&
                 world.node(static_cast<size_t>(leader)).raft->is_leader());
    EXPECT_EQ(world.fault, "");
  }
}

class Losses : public ::testing::TestWithParam<size_t> {};
TEST_P(Losses, AreBorneAgainAndAgain) {
  const std::vector<Case> cases = {
      {Loss::kPlanned, "replaced by plan", {-100, 0, 50, 200, 900}},
      {Loss::kGone, "gone for good", {0, 500}},
      {Loss::kGoneTwice, "gone for good, twice", {0, 400}},
      {Loss::kAllGone, "all gone that may be", {0, 500}},
      {Loss::kWiped, "back without its disk", {0, 300}},
      {Loss::kRestarted, "restarted in order", {0}},
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
INSTANTIATE_TEST_SUITE_P(Voters, Losses, ::testing::Values(3, 4, 5, 6, 7, 8, 9));

}  // namespace
}  // namespace elderkeel::simulation
