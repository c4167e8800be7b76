// Which of two endpoint lists counts as newer after a proxy has read the platform for its own use.
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

// A proxy that has the reader's list with epoch 5 and sequence 3, read at 1000.
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
  // The reader's complete list as sent by a peer, read `age` milliseconds before it is received.
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
  static SyncReply ReplyOf(uint64_t sequence, Millis requested_at, int32_t age) {
    SyncReply reply;
    reply.requested_at = requested_at;
    reply.endpoints = {5, sequence};
    reply.endpoints_age_ms = age;
    reply.platform_age_ms = age;
    return reply;
  }
  bool ShowsDraining() const { return node_.endpoints().servers[1].draining; }

  membership::Membership members_;
  Disseminator node_;
};

// Guards against a proxy's own reading replacing, for good, a reader's list that was read after the
// own reading was requested but arrived before it completed (review/1).
TEST_F(OwnReadingTest, IsRejectedIfTheListWasReadAfterItsRequest) {
  node_.OnEndpointUpdate(8000, kPeer, Update(4, true, 100));  // read at 7900
  EXPECT_FALSE(node_.AdoptOwnReading(7000, List(false)));     // requested before, completed after
  EXPECT_TRUE(ShowsDraining());
  EXPECT_EQ(node_.endpoints_read_age(9000), 1100);  // the list's age is unchanged too
  EXPECT_TRUE(node_.AdoptOwnReading(8500, List(false)));
  EXPECT_FALSE(ShowsDraining());
}

// An own reading carries the version of the list that it replaced. Guards against treating the
// reader's list of the same version as already present although it was read later.
TEST_F(OwnReadingTest, IsReplacedByAReadersListOfTheSameVersionThatWasReadLater) {
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  node_.TakeEffects();
  node_.OnDigest(8000, kPeer, DigestOf(3, 2000));  // read at 6000: older than the own reading
  EXPECT_TRUE(node_.TakeEffects().pulls.empty());
  EXPECT_EQ(node_.endpoints_read_age(8000), 1000);
  node_.OnDigest(9000, kPeer, DigestOf(3, 500));  // read at 8500
  Disseminator::Effects effects = node_.TakeEffects();
  ASSERT_EQ(effects.pulls.size(), 1u);
  EXPECT_FALSE(effects.pulls[0].second.unmodified);
  EXPECT_EQ(node_.endpoints_read_age(9000), 2000);  // only changes when the list arrives
  node_.OnEndpointUpdate(9100, kPeer, Update(3, false, 600));
  EXPECT_FALSE(ShowsDraining());
  EXPECT_EQ(node_.endpoints_read_age(9100), 600);
}

// Guards against comparing ages in digests only: a reply that reports a younger list of the same
// version must lead to a request too.
TEST_F(OwnReadingTest, SyncReplyWithAYoungerListCausesAPullRequest) {
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  node_.TakeEffects();
  node_.OnSyncReply(9000, kPeer, ReplyOf(3, 8900, 400));
  EXPECT_EQ(node_.TakeEffects().pulls.size(), 1u);
}

// Guards against a higher version alone replacing an own reading: the reader's list may have been
// in transit for long and so be the older one.
TEST_F(OwnReadingTest, IsReplacedOnlyByAReadersListThatWasReadLater) {
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  node_.OnEndpointUpdate(8000, kPeer, Update(4, false, 2500));  // read at 5500
  EXPECT_TRUE(ShowsDraining());
  node_.OnEndpointUpdate(8500, kPeer, Update(4, false, 500));  // found unchanged at 8000
  EXPECT_FALSE(ShowsDraining());
  EXPECT_EQ(node_.endpoints().sequence, 4u);
}

// Guards against peers taking over the age of an own reading for the reader's list of the same
// version.
TEST_F(OwnReadingTest, ItsAgeIsNotReportedToPeers) {
  EXPECT_EQ(node_.OwnDigest(1500).endpoints_read_age_ms, 500);
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  EXPECT_EQ(node_.OwnDigest(8000).endpoints_read_age_ms, -1);
  node_.TakeEffects();
  node_.OnSyncRequest(8000, kPeer, {8000, {}, {5, 3}, true, false});
  Disseminator::Effects effects = node_.TakeEffects();
  ASSERT_EQ(effects.sync_replies.size(), 1u);
  EXPECT_EQ(effects.sync_replies[0].reply.platform_age_ms, -1);
}

// Guards against counting an own reading as verified because a peer reports that the reader's list
// of the same version is the newest.
TEST_F(OwnReadingTest, ClaimsAboutTheReadersListDoNotVerifyIt) {
  node_.OnSyncReply(1200, kPeer, ReplyOf(3, 1100, 0));
  EXPECT_EQ(node_.endpoints_age(1200), 100);
  ASSERT_TRUE(node_.AdoptOwnReading(7000, List(true)));
  node_.OnSyncReply(8000, kPeer, ReplyOf(3, 7900, 0));
  EXPECT_EQ(node_.endpoints_age(8000), 6900);
  node_.OnEndpointUpdate(8100, kPeer, Update(3, false, 100));
  EXPECT_EQ(node_.endpoints_age(8100), 200);  // the claim counts once the reader's list arrives
}

// Guards against measuring the age of the catalog reader's list from the response instead of from
// the request.
TEST_F(OwnReadingTest, AgeOfAPublishedListCountsFromItsRequest) {
  ASSERT_TRUE(node_.Publish(9000, 7500, {5, 4, List(true)}));
  EXPECT_EQ(node_.endpoints_read_age(9000), 1500);
  node_.ConfirmListUnchanged(9500, 9100, 5);
  EXPECT_EQ(node_.endpoints_read_age(9500), 400);
}

// Guards against measuring the age of a reading of several slow pages from a later page than the
// first.
TEST(PlatformClient, ReadingReportsWhenTheFirstPageWasRequested) {
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
        timers.back()->Start(&loop, kSlowMs, [=, &platform] { platform->Respond(ticket, answer); });
      });
  base::Address address{"127.0.0.1", 24000};
  while (!platform->Listen(address).has_value()) ++address.port;
  discovery::PlatformClient client(&loop, address);
  Millis asked = base::SteadyMillis();
  Millis reading_at = -1;
  client.Read([&](base::Result<discovery::Reading> reading) {
    if (reading) reading_at = reading->requested_at;
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
