// Which of two lists is newer, when a node has read the platform's list for itself.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "discovery/platform_client.h"
#include "dissemination/disseminator.h"
#include "http/http_server.h"

namespace elderkeel::dissemination {
namespace {

using base::Millis;
using discovery::Server;

const base::Address kPeer{"10.0.0.1", 7200};

std::vector<Server> List(bool draining) {
  return {{"i-1", "s", "10.0.0.5:80", "a", "v1", 2, false, 0, 0},
          {"i-2", "s", "10.0.0.6:80", "a", "v1", 2, draining, 0, 0}};
}

// A proxy that holds the reader's list (5, 3), read at 1000.
class OwnReadingTest : public ::testing::Test {
 protected:
  OwnReadingTest() : members_(Self(), {}, 0), node_(Disseminator::Options(), &members_, 0) {
    node_.OnEndpointUpdate(1000, kPeer, Update(3, false, 0));
    node_.TakeEffects();
  }
  static membership::Membership::Options Self() {
    membership::Membership::Options options;
    options.self.ip = "10.0.0.9";
    options.self.zone = "a";
    return options;
  }
  // The whole list of the reader, as a peer sends it; read `age` before it is received.
  static EndpointUpdate Update(uint64_t sequence, bool draining, int32_t age) {
    EndpointUpdate update;
    update.epoch = 5;
    update.sequence = sequence;
    update.age_ms = age;
    update.servers = List(draining);
    return update;
  }
  static Digest DigestOf(uint64_t sequence, int32_t age) {
    Digest digest;
    digest.epoch = 5;
    digest.sequence = sequence;
    digest.endpoints_read_age_ms = age;
    return digest;
  }
  static SyncReply ReplyOf(uint64_t sequence, Millis asked_at, int32_t age) {
    SyncReply reply;
    reply.asked_at = asked_at;
    reply.endpoints = {5, sequence};
    reply.endpoints_age_ms = age;
    reply.platform_age_ms = age;
    return reply;
  }
  bool ShowsDraining() const { return node_.endpoints().servers[1].draining; }

  membership::Membership members_;
  Disseminator node_;
};

// A proxy's reading whose question was put before the reader's newer list came took the place of
// that list and stayed (review/1).
TEST_F(OwnReadingTest, GivesWayToAListThatWasReadAfterItsQuestion) {
  node_.OnEndpointUpdate(8000, kPeer, Update(4, true, 100));  // read at 7900
  EXPECT_FALSE(node_.AdoptOwnReading(7000, List(false)));     // asked before, answered after
  EXPECT_TRUE(ShowsDraining());
  EXPECT_EQ(node_.endpoints_read_age(9000), 1100);  // nor does it make the list younger
  EXPECT_TRUE(node_.AdoptOwnReading(8500, List(false)));
  EXPECT_FALSE(ShowsDraining());
}

// An own reading has no number of its own: the reader's list under the same number may be newer.
TEST_F(OwnReadingTest, IsReplacedByTheSameListOfTheReaderOnceThatIsYounger) {
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  node_.TakeEffects();
  node_.OnDigest(8000, kPeer, DigestOf(3, 2000));  // read at 6000: older than the own reading
  EXPECT_TRUE(node_.TakeEffects().pulls.empty());
  EXPECT_EQ(node_.endpoints_read_age(8000), 1000);
  node_.OnDigest(9000, kPeer, DigestOf(3, 500));  // read at 8500
  Disseminator::Effects effects = node_.TakeEffects();
  ASSERT_EQ(effects.pulls.size(), 1u);
  EXPECT_FALSE(effects.pulls[0].second.exact);
  EXPECT_EQ(node_.endpoints_read_age(9000), 2000);  // not before it is here
  node_.OnEndpointUpdate(9100, kPeer, Update(3, false, 600));
  EXPECT_FALSE(ShowsDraining());
  EXPECT_EQ(node_.endpoints_read_age(9100), 600);
}

TEST_F(OwnReadingTest, IsAskedAboutByTheAnswersOfPeersToo) {
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  node_.TakeEffects();
  node_.OnSyncReply(9000, kPeer, ReplyOf(3, 8900, 400));
  EXPECT_EQ(node_.TakeEffects().pulls.size(), 1u);
}

// The number alone doesn't make a list newer than an own reading: it may have been long on its way.
TEST_F(OwnReadingTest, StaysUntilALaterReadingOfTheReader) {
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  node_.OnEndpointUpdate(8000, kPeer, Update(4, false, 2500));  // read at 5500
  EXPECT_TRUE(ShowsDraining());
  node_.OnEndpointUpdate(8500, kPeer, Update(4, false, 500));  // found unchanged at 8000
  EXPECT_FALSE(ShowsDraining());
  EXPECT_EQ(node_.endpoints().sequence, 4u);
}

// Others must not take their list for as young as an own reading that carries its number.
TEST_F(OwnReadingTest, VouchesForNobodysList) {
  EXPECT_EQ(node_.OwnDigest(1500).endpoints_read_age_ms, 500);
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  EXPECT_EQ(node_.OwnDigest(8000).endpoints_read_age_ms, -1);
  node_.TakeEffects();
  node_.OnSyncRequest(8000, kPeer, {8000, {}, {5, 3}, true, false});
  Disseminator::Effects effects = node_.TakeEffects();
  ASSERT_EQ(effects.sync_replies.size(), 1u);
  EXPECT_EQ(effects.sync_replies[0].reply.platform_age_ms, -1);
}

TEST_F(OwnReadingTest, IsNotTakenForCurrentByWhatIsSaidOfTheReadersList) {
  node_.OnSyncReply(1200, kPeer, ReplyOf(3, 1100, 0));
  EXPECT_EQ(node_.endpoints_age(1200), 100);
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  node_.OnSyncReply(8000, kPeer, ReplyOf(3, 7900, 0));
  EXPECT_EQ(node_.endpoints_age(8000), 6900);
  node_.OnEndpointUpdate(8100, kPeer, Update(3, false, 100));
  EXPECT_EQ(node_.endpoints_age(8100), 200);  // the claim counts for the list itself
}

// The reader's reading is as old as its question too.
TEST_F(OwnReadingTest, TheReadersListIsAsOldAsItsQuestion) {
  ASSERT_TRUE(node_.Publish(9000, 7500, {5, 4, List(true)}));
  EXPECT_EQ(node_.endpoints_read_age(9000), 1500);
  node_.Confirm(9500, 9100, 5);
  EXPECT_EQ(node_.endpoints_read_age(9500), 400);
}

// A reading of several slow pages is as old as its first question.
TEST(PlatformClient, SaysWhenTheFirstPageWasAskedFor) {
  constexpr Millis kSlowMs = 120;
  base::Loop loop;
  std::vector<std::unique_ptr<base::Timer>> timers;
  std::unique_ptr<http::HttpServer> platform;
  http::HttpServer::Options options;
  options.limits = [] { return http::Limits(); };
  platform = std::make_unique<http::HttpServer>(
      &loop, options, [&](http::HttpServer::Ticket ticket, http::Message&& request) {
        bool first = request.target.find("page-token") == std::string::npos;
        http::Message answer;
        answer.status = 200;
        answer.body =
            first ? R"({"servers":[],"next-token":"p-50"})" : R"({"servers":[],"next-token":null})";
        timers.push_back(std::make_unique<base::Timer>());
        timers.back()->Start(&loop, kSlowMs, [=, &platform] { platform->Answer(ticket, answer); });
      });
  base::Address address{"127.0.0.1", 24000};
  while (!platform->Listen(address).has_value()) ++address.port;
  discovery::PlatformClient client(&loop, address);
  Millis asked = base::SteadyMillis();
  Millis reading_at = -1;
  client.Read([&](base::Result<discovery::Reading> reading) {
    if (reading) reading_at = reading->asked_at;
    loop.Stop();
  });
  loop.Run();
  EXPECT_EQ(client.calls(), 2u);
  EXPECT_GE(reading_at, asked);
  EXPECT_LT(reading_at, asked + kSlowMs);
  EXPECT_GE(base::SteadyMillis(), asked + 2 * kSlowMs);
}

}  // namespace
}  // namespace elderkeel::dissemination
