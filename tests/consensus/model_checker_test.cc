#include <gtest/gtest.h>

#include "consensus/model_scenarios.h"
#include "consensus/model_search.h"

namespace elderkeel::model {
namespace {

// Guards against steps, in any order, that violate an invariant. Searches all states within the
// bound of each scenario; each run reaches the same states.
class ModelCheckerTest : public testing::TestWithParam<std::string> {};

TEST_P(ModelCheckerTest, InvariantsHoldInAllStatesWithinBound) {
  const Scenario& scenario = *FindScenario(GetParam());
  Script script(scenario.options);
  scenario.setup(&script);
  Result result = Search(script, scenario.budget, scenario.depth);
  std::printf("%s: %s\n", scenario.name.c_str(), result.Summary().c_str());
  EXPECT_EQ(result.fault, "") << result.Summary();
  EXPECT_TRUE(result.complete);
  EXPECT_EQ(result.depth, scenario.depth) << "no steps were left before the scenario's depth";
  EXPECT_GT(result.states, 100u);
}

std::vector<std::string> Names() {
  std::vector<std::string> names;
  for (const Scenario& s : Scenarios()) names.push_back(s.name);
  return names;
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ModelCheckerTest, testing::ValuesIn(Names()),
                         [](const testing::TestParamInfo<std::string>& info) {
                           std::string name = info.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

// Guards against walks that a seed doesn't reproduce, so that a violation can't be examined.
TEST(ModelCheckerTest, SameSeedGivesSameWalks) {
  const Scenario& scenario = *FindScenario("replacement");
  Script script(scenario.options);
  scenario.setup(&script);
  Result first = RandomWalk(script, scenario.budget, 40, 7, 1e9, 10);
  Result second = RandomWalk(script, scenario.budget, 40, 7, 1e9, 10);
  EXPECT_EQ(first.fault, "") << first.Summary();
  EXPECT_EQ(first.states, second.states);
  EXPECT_EQ(first.steps, second.steps);
}

// Guards against an acknowledged entry that is removed from a synced disk. In the shortest such
// trace the leader compacts its log, a late rejection makes it send the snapshot to a follower
// whose log is longer, and the follower installs it.
TEST(ModelCheckerTest, LateSnapshotKeepsLaterEntriesOfFollower) {
  const Scenario& scenario = *FindScenario("late-snapshot");
  Script script(scenario.options);
  scenario.setup(&script);
  ASSERT_EQ(script.fault, "");
  std::vector<Step> steps = script.steps;
  ASSERT_EQ(script.at(3).raft->last_index(), 42u);
  ASSERT_TRUE(script.Do({StepKind::kCompact, 1, 0, 0}));
  ASSERT_TRUE(script.Do({StepKind::kDeliver, 3, 1, 0}));
  for (int k = 0; k < 4 && script.CountInFlight(1, 3) > 0; ++k) script.Deliver(1, 3);
  script.PersistAll(3);
  EXPECT_EQ(script.fault, "");
  EXPECT_EQ(script.at(3).raft->last_index(), 42u);
  EXPECT_EQ(Replay(scenario.options, script.steps), "");
}

// Guards against an error in the checker's arithmetic, which would hide unsafe voter changes.
TEST(ModelCheckerTest, MajoritiesOverlapOnlyIfTheyMustShareAMember) {
  auto set = [](std::vector<MemberId> ids) {
    std::vector<Member> members;
    for (MemberId id : ids) {
      members.emplace_back();
      members.back().id = id;
    }
    return members;
  };
  struct Case {
    std::vector<MemberId> a, b;
    bool overlap;
  };
  for (const Case& c : std::vector<Case>{
           {{1, 2, 3}, {1, 2, 3}, true},
           {{1, 2, 3}, {1, 2, 3, 4}, true},
           {{1, 2, 3}, {1, 2}, true},
           {{1, 2, 3}, {1, 2, 3, 4, 5}, false},
           {{1, 2, 3}, {2, 3, 4}, false},
           {{1, 2, 3, 4}, {1, 2, 3, 5}, true},
           {{2, 3, 4}, {1, 2, 3, 4, 5}, false},
           {{1}, {1, 2}, true},
           {{1}, {2}, false},
       }) {
    EXPECT_EQ(MajoritiesOverlap(set(c.a), set(c.b)), c.overlap) << c.a.size() << " " << c.b.size();
    EXPECT_EQ(MajoritiesOverlap(set(c.b), set(c.a)), c.overlap) << c.a.size() << " " << c.b.size();
  }
}

}  // namespace
}  // namespace elderkeel::model
