#include "singleton/assigner.h"

#include <gtest/gtest.h>

namespace elderkeel::singleton {
namespace {

constexpr base::Millis kMaxSilenceMs = 1000;

// Guards against needless changes of the owner, and against a role that stays with a lost one.
TEST(Assigner, AssignsAnotherOwnerOnlyIfTheCurrentOneIsSilentOrGone) {
  struct Case {
    const char* name;
    Assignment current;
    std::vector<Candidate> candidates;
    consensus::MemberId owner;  // 0: no new assignment
  } cases[] = {
      {"no owner yet: not the leader",
       {0, 0, 0},
       {{1, 0, true}, {2, 100, false}, {3, 100, false}},
       2},
      {"owner is not silent", {2, 0, 4}, {{1, 0, true}, {2, 900, false}}, 0},
      {"owner is silent", {2, 0, 4}, {{1, 0, true}, {2, 1100, false}, {3, 10, false}}, 3},
      {"owner is no longer a member", {9, 0, 4}, {{1, 0, true}, {3, 10, false}}, 3},
      {"only the leader is left", {2, 0, 4}, {{1, 0, true}, {2, 5000, false}}, 1},
      {"nobody is left", {2, 0, 4}, {{2, 5000, false}}, 0},
  };
  for (const Case& c : cases) {
    Assigner assigner(kMaxSilenceMs);
    auto next = assigner.Review(0, c.current, c.candidates);
    EXPECT_EQ(next ? next->owner : 0, c.owner) << c.name;
    if (next) {
      EXPECT_EQ(next->epoch, c.current.epoch + 1) << c.name;
    }
  }
}

// Guards against a delayed resignation, or a claim of another member, that takes the role from the
// current owner.
TEST(Assigner, AcceptsResignationsOfTheCurrentEpochAndClaimsOfTheCurrentOwner) {
  std::vector<Candidate> candidates = {
      {1, 0, true}, {2, 10, false}, {3, 10, false}, {4, 9000, false}};
  struct Case {
    const char* name;
    Resignation resignation;
    consensus::MemberId owner;
    uint64_t boot_id;
  } cases[] = {
      {"names its successor", {7, 3, 0}, 3, 0},
      {"its successor is silent", {7, 4, 0}, 3, 0},
      {"names no successor", {7, 0, 0}, 3, 0},
      {"refers to an earlier epoch", {6, 3, 0}, 0, 0},
      {"restarted owner claims", {7, 2, 55}, 2, 55},
      {"same process claims again", {7, 2, 44}, 0, 0},
      {"another member claims", {7, 3, 55}, 0, 0},
  };
  for (const Case& c : cases) {
    Assigner assigner(kMaxSilenceMs);
    auto next = assigner.OnResignation(0, Assignment{2, 44, 7}, candidates, c.resignation);
    EXPECT_EQ(next ? next->owner : 0, c.owner) << c.name;
    EXPECT_EQ(next ? next->boot_id : 0, c.boot_id) << c.name;
  }
}

// Guards against a further entry at every review while a proposed assignment is not yet committed.
TEST(Assigner, DoesNotProposeAgainWhileAProposalIsUnderWay) {
  Assigner assigner(kMaxSilenceMs);
  std::vector<Candidate> candidates = {{1, 0, true}, {3, 10, false}};
  EXPECT_TRUE(assigner.Review(0, Assignment{2, 0, 7}, candidates));
  EXPECT_FALSE(assigner.Review(500, Assignment{2, 0, 7}, candidates));
  EXPECT_TRUE(assigner.Review(2500, Assignment{2, 0, 7}, candidates));  // the entry counts as lost
  assigner.Clear();
  EXPECT_TRUE(assigner.Review(2600, Assignment{2, 0, 7}, candidates));
}

}  // namespace
}  // namespace elderkeel::singleton
