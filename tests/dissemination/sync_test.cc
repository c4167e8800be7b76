// The parts that bound staleness: the age of a node's state, the schedule and targets of its
// requests, and the updates that it sends in reply.
#include "dissemination/sync.h"

#include <gtest/gtest.h>

#include "dissemination/disseminator.h"
#include "dissemination/freshness.h"
#include "dissemination/patch_history.h"
#include "dissemination/sync_sources.h"

namespace elderkeel::dissemination {
namespace {

using base::Address;
using base::Millis;

Address Peer(int i) { return {"10.0.0." + std::to_string(i), 7200}; }

// Guards against reporting state as current when only the claim about it, but not the state itself,
// has arrived.
TEST(Freshness, ClaimCountsOnceTheNodesVersionCoversIt) {
  Freshness<Versions> freshness;
  Versions old{5, 1, 1}, newer{7, 1, 1}, drained{7, 2, 1};
  EXPECT_EQ(freshness.age(1000), -1);
  freshness.Claim(900, old, old);
  EXPECT_EQ(freshness.age(1000), 100);
  freshness.Claim(1000, newer, old);  // claimed, not yet received
  EXPECT_EQ(freshness.age(1100), 200);
  EXPECT_EQ(freshness.claimed_at(), 1000);
  freshness.Claim(1200, drained, old);
  freshness.Advance(newer);
  EXPECT_EQ(freshness.age(1300), 300);
  freshness.Advance(drained);
  EXPECT_EQ(freshness.age(1300), 100);
  freshness.Claim(1100, drained, drained);  // a late reply doesn't lower the verified time
  EXPECT_EQ(freshness.age(1300), 100);
}

// Guards against counting the claim of a reader that has been replaced, or a list without a reader.
TEST(Freshness, ClaimOfAnEarlierReaderDoesNotCount) {
  Freshness<EndpointVersion> freshness;
  freshness.Claim(100, {2, 9}, {3, 1});
  freshness.Claim(100, {0, 1}, {0, 1});  // a list that no reader published
  EXPECT_EQ(freshness.age(200), -1);
  freshness.Claim(100, {3, 1}, {3, 1});
  EXPECT_EQ(freshness.age(200), 100);
}

std::vector<Address> Sources(int count) {
  std::vector<Address> sources;
  for (int i = 1; i <= count; ++i) sources.push_back(Peer(i));
  return sources;
}

// Guards against a reachable peer being asked late or never while others don't answer, and against
// retries at the full rate while no peer has fresh state.
TEST(SyncSchedule, AsksAllPeersWithinABoundAndThenBacksOff) {
  SyncSchedule schedule(SyncSchedule::Options(), 0);
  EXPECT_EQ(schedule.DueAt(-1), 900);  // startup probes come first
  std::map<Address, Millis> first;
  std::vector<size_t> counts;
  Millis now = 900, last = 0;
  for (int turn = 0; turn < 30; ++turn) {
    ASSERT_TRUE(schedule.Due(now, -1));
    std::vector<Address> asked = schedule.NextPeers(now, Sources(9));
    for (const Address& to : asked) first.emplace(to, now);
    counts.push_back(asked.size());
    last = schedule.DueAt(-1) - now;
    now = schedule.DueAt(-1);
  }
  EXPECT_EQ(counts[0], 1u);
  EXPECT_EQ(counts[1], 2u);
  ASSERT_EQ(first.size(), 9u);
  for (const auto& [to, at] : first) EXPECT_LE(at, 900 + 4 * 120) << to.ToString();
  EXPECT_EQ(last, 1000);  // no peer has fresh state
}

// Guards against losing track of a peer that answers with fresh state, and against a stale answer
// ending the retries.
TEST(SyncSchedule, AsksThePeerWithFreshStateFirst) {
  SyncSchedule schedule(SyncSchedule::Options(), -900);
  schedule.NextPeers(0, Sources(4));
  schedule.NextPeers(120, Sources(4));
  schedule.OnAnswer(130, Peer(2), -1000);  // an answer with stale state
  EXPECT_TRUE(schedule.Due(240, -1000));
  schedule.OnAnswer(150, Peer(3), 100);
  EXPECT_FALSE(schedule.Due(1000, 100));
  EXPECT_TRUE(schedule.Due(1001, 100));
  EXPECT_EQ(schedule.NextPeers(1001, Sources(4)), std::vector<Address>{Peer(3)});
  // It doesn't answer: the next retry goes to the others, and it is asked again in its turn.
  EXPECT_EQ(schedule.NextPeers(1121, Sources(4)), (std::vector<Address>{Peer(1), Peer(2)}));
  EXPECT_EQ(schedule.NextPeers(1241, {}), std::vector<Address>{});  // no peers
}

// Guards against preferring distant or unreachable controllers, and against asking nodes that left,
// proxies or the node itself.
TEST(SyncSources, AuthorityComesFirstThenControllersByDistance) {
  membership::Membership::Options options;
  options.self.ip = "10.0.0.9";
  options.self.port = 7200;
  options.self.id = base::Hash(options.self.address().ToString());
  options.self.zone = "a";
  options.regions = {{"a", "x"}, {"b", "x"}, {"c", "y"}};
  membership::Membership members(options, {}, 0);
  auto add = [&](int i, const char* zone, bool durable, membership::State state,
                 membership::Program program) {
    membership::Node node;
    node.ip = Peer(i).ip;
    node.port = 7200;
    node.id = base::Hash(Peer(i).ToString());
    node.zone = zone;
    node.durable = durable;
    node.state = state;
    node.program = program;
    members.OnMembershipUpdate(0, Peer(i), membership::MembershipUpdate{{node}, {}});
  };
  constexpr auto kController = membership::Program::kController;
  add(1, "c", true, membership::State::kAlive, kController);
  add(2, "b", false, membership::State::kAlive, kController);
  add(3, "b", true, membership::State::kAlive, kController);
  add(4, "a", true, membership::State::kDead, kController);
  add(5, "a", false, membership::State::kAlive, kController);
  add(6, "a", true, membership::State::kLeft, kController);
  add(7, "a", false, membership::State::kAlive, membership::Program::kProxy);
  std::vector<Address> expected = {Peer(1), Peer(5), Peer(3), Peer(2), Peer(4), Peer(8)};
  EXPECT_EQ(SyncSources(members, {Peer(3), Peer(8), Peer(9)}, Peer(1)), expected);
}

// Guards against sending patches that don't apply to the peer's revision or that together are
// longer than the document, and against unbounded memory.
TEST(PatchHistory, FindsThePatchesThatFollowARevision) {
  PatchHistory history;
  history.Add({1, 3, "aaaa"});
  history.Add({3, 4, "bb"});
  history.Add({4, 9, "c"});
  struct Case {
    int64_t from;
    size_t document;
    size_t first;
  } cases[] = {{4, 100, 2}, {3, 100, 1}, {1, 100, 0}, {1, 6, 3}, {2, 100, 3}, {9, 100, 3}};
  for (const Case& c : cases) EXPECT_EQ(history.From(c.from, c.document), c.first) << c.from;
  for (int64_t i = 0; i < 100; ++i) history.Add({9 + i, 10 + i, std::string(2000, 'x')});
  EXPECT_LE(history.size(), 33u);  // 64 KB
  EXPECT_EQ(history.last()->revision, 109);
}

constexpr char kDocument[] =
    R"({"revision":7,"route-list":[],"service-list":[],"limits":{"max-header-bytes":1,)"
    R"("max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1}})";

// Guards against a node keeping an unusable configuration: it must count as missing, be requested
// as a complete document, and not be replaced by an older revision.
TEST(Disseminator, RejectedConfigurationIsRequestedAgain) {
  membership::Membership::Options self;
  self.self.ip = "10.0.0.9";
  self.self.zone = "a";
  membership::Membership members(self, {}, 0);
  Disseminator disseminator(Disseminator::Options(), &members, 0);
  disseminator.OnConfigurationUpdate(10, Peer(1), {7, 0, kDocument});
  disseminator.ConfirmLogCurrent(20);
  EXPECT_EQ(disseminator.log_age(30), 10);
  disseminator.RejectConfiguration();
  SyncReply reply;
  reply.requested_at = 40;
  reply.age_ms = 0;
  reply.versions = {7, 0, 0};
  disseminator.TakeEffects();
  disseminator.OnSyncReply(50, Peer(1), reply);
  EXPECT_EQ(disseminator.log_age(60), 40);  // verified before the rejection
  Disseminator::Effects effects = disseminator.TakeEffects();
  ASSERT_EQ(effects.pulls.size(), 1u);
  EXPECT_EQ(effects.pulls[0].second.revision, 0);
  disseminator.OnConfigurationUpdate(70, Peer(1), {6, 0, kDocument});
  EXPECT_EQ(disseminator.revision(), 7);
  EXPECT_FALSE(disseminator.TakeEffects().configuration_adopted);
  disseminator.OnConfigurationUpdate(80, Peer(1), {7, 0, kDocument});
  EXPECT_TRUE(disseminator.TakeEffects().configuration_adopted);
  EXPECT_EQ(disseminator.log_age(90), 50);
}

// Guards against a peer waiting for a second request to obtain a few small patches: they must
// precede the reply. A peer that needs the large document is sent only the reply with the newer
// version.
TEST(Disseminator, SendsSmallUpdatesBeforeTheSyncReply) {
  membership::Membership::Options self;
  self.self.ip = "10.0.0.9";
  self.self.zone = "a";
  membership::Membership members(self, {}, 0);
  Disseminator disseminator(Disseminator::Options(), &members, 0);
  std::string routes;
  for (int i = 0; i < 60; ++i) {
    routes += (i ? "," : "") + std::string(R"({"label":"r)") + std::to_string(i) +
              R"(","host":"h.example","path-prefix":"/p)" + std::to_string(i) +
              R"(/","variant":"idempotent","timeout-ms":500,"target":"s"})";
  }
  disseminator.OnConfigurationUpdate(0, Peer(1),
                                     {1, 0,
                                      R"({"revision":1,"route-list":[)" + routes +
                                          R"(],"service-list":[{"label":"s","max-conns":10}]})"});
  for (int64_t revision : {2, 3, 4}) {
    disseminator.OnConfigurationUpdate(
        0, Peer(1),
        {revision, revision - 1,
         R"({"revision":)" + std::to_string(revision) + R"(,"remove":{"route-list":["r)" +
             std::to_string(revision) + R"("]}})"});
  }
  ASSERT_EQ(disseminator.revision(), 4);
  disseminator.TakeEffects();
  struct Case {
    int64_t has;
    size_t sent;
    bool over_connection;
  } cases[] = {{4, 0, false}, {3, 1, true}, {1, 3, true}, {0, 0, false}};
  for (const Case& c : cases) {
    SyncRequest request;
    request.versions.revision = c.has;
    disseminator.OnSyncRequest(100, Peer(2), request);
    Disseminator::Effects effects = disseminator.TakeEffects();
    EXPECT_EQ(effects.configuration_updates.size(), c.sent) << c.has;
    ASSERT_EQ(effects.sync_replies.size(), 1u);
    EXPECT_EQ(effects.sync_replies[0].over_connection, c.over_connection) << c.has;
    EXPECT_EQ(effects.sync_replies[0].reply.versions.revision, 4);
  }
}

}  // namespace
}  // namespace elderkeel::dissemination
