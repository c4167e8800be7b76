#include <gtest/gtest.h>

#include "news/confirm.h"

// What a control machine that is cut off, frozen or late may not do.

namespace elderkeel {
namespace {

using base::Millis;
using news::Confirmation;
using news::ConfirmReply;
using news::Versions;

// A proxy asks at some times, replies come at others; is what it holds confirmed as current?
TEST(Confirmation, RestsOnAFreshAnswerToAQuestionOfItsOwn) {
  struct Reply {
    Millis at;
    int question;  // which of those asked; -1: of another life
    Versions versions;
  };
  struct Case {
    const char* name;
    std::vector<Millis> asked;
    std::vector<Reply> replies;
    Millis at;
    Versions held;
    bool holds;
  } cases[] = {
      {"no answer", {0}, {}, 100, {5, 0, 0}, false},
      {"held", {0}, {{20, 0, {5, 0, 0}}}, 20, {5, 0, 0}, true},
      {"newer is held", {0}, {{20, 0, {5, 0, 0}}}, 20, {6, 0, 0}, true},
      {"older is held", {0}, {{20, 0, {5, 0, 0}}}, 20, {4, 0, 0}, false},
      {"adopted soon after", {0}, {{20, 0, {5, 0, 0}}}, 900, {5, 0, 0}, true},
      {"adopted long after", {0}, {{20, 0, {5, 0, 0}}}, 10000, {5, 0, 0}, false},
      {"held up on its way", {0}, {{10000, 0, {5, 0, 0}}}, 10000, {5, 0, 0}, false},
      {"held up, and asked again", {0, 9990}, {{10000, 0, {5, 0, 0}}}, 10000, {5, 0, 0}, false},
      {"of another life", {0}, {{20, -1, {5, 0, 0}}}, 20, {5, 0, 0}, false},
      {"overtaken by a newer answer",
       {0, 100},
       {{150, 1, {6, 0, 0}}, {200, 0, {5, 0, 0}}},
       200,
       {5, 0, 0},
       false},
      {"an order to evacuate is missing", {0}, {{20, 0, {5, 3, 0}}}, 20, {5, 2, 0}, false},
      {"it came", {0}, {{20, 0, {5, 3, 0}}}, 60, {5, 3, 0}, true},
      {"a roll-out is missing", {0}, {{20, 0, {5, 0, 8}}}, 20, {5, 0, 7}, false},
      {"there is no configuration", {0}, {{20, 0, {0, 0, 0}}}, 20, {0, 0, 0}, false},
  };
  for (const Case& c : cases) {
    Confirmation confirmation(1000);
    std::vector<uint64_t> nonces;
    for (Millis at : c.asked) nonces.push_back(confirmation.Ask(at).nonce);
    for (const Reply& r : c.replies) {
      ConfirmReply reply;
      reply.nonce = r.question < 0 ? 999 : nonces[static_cast<size_t>(r.question)];
      reply.confirmed = true;
      reply.versions = r.versions;
      EXPECT_FALSE(confirmation.OnReply(r.at, reply)) << c.name;
    }
    EXPECT_EQ(confirmation.Holds(c.at, c.held), c.holds) << c.name;
  }
}

TEST(Confirmation, PutsAQuestionToTheLeaderThatAnAnswerNames) {
  Confirmation confirmation(7);
  ConfirmReply reply;
  reply.nonce = confirmation.Ask(0).nonce;
  EXPECT_FALSE(confirmation.OnReply(10, reply));  // nobody is named
  reply.leader_ip = "10.0.0.3";
  reply.leader_port = 7200;
  EXPECT_EQ(confirmation.OnReply(20, reply)->ip, "10.0.0.3");
  EXPECT_FALSE(confirmation.Holds(20, {9, 9, 9}));
  EXPECT_FALSE(confirmation.OnReply(5000, reply));  // the question is over
}

}  // namespace
}  // namespace elderkeel
