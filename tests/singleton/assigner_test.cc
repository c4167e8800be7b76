#include "singleton/assigner.h"

#include <gtest/gtest.h>

namespace elderkeel::singleton {
namespace {

constexpr base::Millis kPatience = 1000;

TEST(Assignment, PassesOnOnlyWhenItMust) {
  struct Case {
    const char* name;
    Assignment current;
    std::vector<Candidate> candidates;
    consensus::MemberId named;  // 0: nobody
  } cases[] = {
      {"no holder yet: not the leader",
       {0, 0, 0},
       {{1, 0, true}, {2, 100, false}, {3, 100, false}},
       2},
      {"holder is heard", {2, 0, 4}, {{1, 0, true}, {2, 900, false}}, 0},
      {"holder is silent", {2, 0, 4}, {{1, 0, true}, {2, 1100, false}, {3, 10, false}}, 3},
      {"holder is no member any more", {9, 0, 4}, {{1, 0, true}, {3, 10, false}}, 3},
      {"only the leader is left", {2, 0, 4}, {{1, 0, true}, {2, 5000, false}}, 1},
      {"nobody is left", {2, 0, 4}, {{2, 5000, false}}, 0},
  };
  for (const Case& c : cases) {
    Assigner assignment(kPatience);
    auto named = assignment.Review(0, c.current, c.candidates);
    EXPECT_EQ(named ? named->owner : 0, c.named) << c.name;
    if (named) {
      EXPECT_EQ(named->epoch, c.current.epoch + 1) << c.name;
    }
  }
}

TEST(Assignment, TakesAResignationOnlyFromTheCurrentOwner) {
  std::vector<Candidate> received = {
      {1, 0, true}, {2, 10, false}, {3, 10, false}, {4, 9000, false}};
  struct Case {
    const char* name;
    Resignation resignation;
    consensus::MemberId named;
    uint64_t boot_id;
  } cases[] = {
      {"names its successor", {7, 3, 0}, 3, 0},    {"its successor is silent", {7, 4, 0}, 3, 0},
      {"leaves the choice", {7, 0, 0}, 3, 0},      {"is late", {6, 3, 0}, 0, 0},
      {"another life claims", {7, 2, 55}, 2, 55},  {"the same life claims again", {7, 2, 44}, 0, 0},
      {"another member claims", {7, 3, 55}, 0, 0},
  };
  for (const Case& c : cases) {
    Assigner assignment(kPatience);
    auto named = assignment.OnResignation(0, Assignment{2, 44, 7}, received, c.resignation);
    EXPECT_EQ(named ? named->owner : 0, c.named) << c.name;
    EXPECT_EQ(named ? named->boot_id : 0, c.boot_id) << c.name;
  }
}

TEST(Assignment, DoesNotProposeTwiceWhileOneIsUnderWay) {
  Assigner assignment(kPatience);
  std::vector<Candidate> candidates = {{1, 0, true}, {3, 10, false}};
  EXPECT_TRUE(assignment.Review(0, Assignment{2, 0, 7}, candidates));
  EXPECT_FALSE(assignment.Review(500, Assignment{2, 0, 7}, candidates));
  EXPECT_TRUE(assignment.Review(2500, Assignment{2, 0, 7}, candidates));  // the entry was lost
  assignment.Clear();
  EXPECT_TRUE(assignment.Review(2600, Assignment{2, 0, 7}, candidates));
}

}  // namespace
}  // namespace elderkeel::singleton
