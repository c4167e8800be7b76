#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>

#include "base/random.h"
#include "rollout/canary_policy.h"
#include "rollout/coordinator.h"
#include "rollout/observer.h"

namespace elderkeel::rollout {
namespace {

using base::Millis;

Step Ordered(const std::string& version, int64_t time_limit_ms,
             std::vector<uint64_t> observers = {}) {
  Step step;
  step.kind = Step::Kind::kOrder;
  step.order = {"s", version, time_limit_ms};
  step.observers = std::move(observers);
  return step;
}
Step Found(const std::string& service, const std::string& version) {
  Step step;
  step.kind = Step::Kind::kDetected;
  step.detected = {{service, version}};
  return step;
}
Step Entered(uint64_t number, Stage stage) {
  Step step;
  step.kind = Step::Kind::kStage;
  step.number = number;
  step.stage = stage;
  return step;
}

// Guards against late or repeated steps that move a roll-out back to an earlier stage.
TEST(Rollouts, ApplyOnlyForwardSteps) {
  struct Case {
    std::vector<Stage> before;
    Stage next;
    bool taken;
  } cases[] = {
      {{}, Stage::kPromoting, true},
      {{}, Stage::kReverting, true},
      {{}, Stage::kCompleted, false},  // would stop old servers with requests in flight
      {{}, Stage::kCanary, false},
      {{Stage::kPromoting}, Stage::kCompleted, true},
      {{Stage::kPromoting}, Stage::kReverting, true},
      {{Stage::kPromoting}, Stage::kCanary, false},
      {{Stage::kReverting}, Stage::kReverted, true},
      {{Stage::kReverting}, Stage::kPromoting, false},
      {{Stage::kReverting}, Stage::kCompleted, false},
      {{Stage::kPromoting, Stage::kCompleted}, Stage::kReverting, false},
      {{Stage::kReverted}, Stage::kPromoting, false},
  };
  for (const Case& c : cases) {
    Rollouts state;
    EXPECT_TRUE(state.Apply(Found("s", "v1")));
    EXPECT_TRUE(state.Apply(Ordered("v2", 1000)));
    for (Stage stage : c.before) EXPECT_TRUE(state.Apply(Entered(1, stage)));
    uint64_t version = state.version();
    EXPECT_EQ(state.Apply(Entered(1, c.next)), c.taken) << StageName(c.next);
    EXPECT_EQ(state.version(), version + (c.taken ? 1 : 0));
    EXPECT_FALSE(state.Apply(Entered(9, c.next)));
    bool completed = state.NewestOf("s")->stage == Stage::kCompleted;
    EXPECT_EQ(state.InForce("s"), completed ? "v2" : "v1");
  }
  Rollouts state;
  state.Apply(Found("s", "v1"));
  EXPECT_TRUE(state.Apply(Ordered("v1", 1000)));  // in force already
  EXPECT_EQ(state.NewestOf("s")->stage, Stage::kCompleted);
  EXPECT_TRUE(state.Apply(Ordered("v2", 1000)));
  EXPECT_FALSE(state.Apply(Ordered("v2", 1000)));
  EXPECT_FALSE(state.Apply(Ordered("v3", 1000)));
  EXPECT_FALSE(state.Apply(Found("s", "v2")));  // ignored while an order is under way
}

// Guards against a new version that gets into force by the server list alone, without an order.
TEST(Rollouts, DetectsTheVersionInForceOnlyWhereNoOrderDeterminesIt) {
  using Fleet = std::vector<std::pair<const char*, bool>>;  // version, draining
  struct Case {
    const char* in_force;
    const char* ordered;  // the version of a roll-out under way
    Fleet servers;
    const char* found;  // empty: none
  } cases[] = {
      {"", "", {}, ""},
      {"", "", {{"v1", false}, {"v1", false}}, "v1"},
      {"", "", {{"v1", false}, {"v2", false}, {"v2", false}}, "v2"},
      {"", "", {{"v1", false}, {"v2", true}, {"v2", true}}, "v1"},
      {"", "", {{"", false}}, ""},
      {"v1", "", {{"v1", false}, {"v2", false}, {"v2", false}}, ""},  // v2 needs an order
      {"v1", "", {{"v1", true}, {"v2", false}}, "v2"},                // v1 has no server left
      {"", "v2", {{"v1", false}, {"v2", false}, {"v2", false}}, "v1"},
      {"", "v2", {{"v2", false}}, ""},  // would bypass the canary stage
      {"v1", "v2", {{"v2", false}}, ""},
  };
  for (const Case& c : cases) {
    Rollouts state;
    if (*c.in_force) state.Apply(Found("s", c.in_force));
    if (*c.ordered) state.Apply(Ordered(c.ordered, 1000));
    discovery::EndpointSnapshot endpoints;
    for (const auto& [version, draining] : c.servers) {
      discovery::Server server;
      server.id = std::to_string(endpoints.servers.size());
      server.service = "s";
      server.revision = version;
      server.draining = draining;
      endpoints.servers.push_back(server);
    }
    auto found = DetectVersions(state, endpoints);
    std::string text = found.empty() ? "" : found[0].second;
    EXPECT_EQ(text, c.found) << c.in_force << "/" << c.ordered << "/" << c.servers.size();
  }
}

// Guards against requests to a version that the stage, the lease or the circuit breaker forbids.
TEST(CanaryPolicy, RuleFollowsStageLeaseAndCircuitBreaker) {
  Rollouts state;
  CanaryPolicy policy({0.1, 2500, 1000});
  EXPECT_FALSE(policy.RuleOf(0, "s").known);  // no version is known: any may be used
  state.Apply(Found("s", "v1"));
  policy.Adopt(0, state);
  EXPECT_EQ(policy.RuleOf(0, "s").primary, "v1");
  EXPECT_EQ(policy.RuleOf(0, "s").secondary, "");
  state.Apply(Ordered("v2", 14000));
  policy.Adopt(1000, state);
  VersionPolicy canary = policy.RuleOf(1100, "s");
  EXPECT_EQ(canary.primary + canary.secondary, "v1v2");
  EXPECT_TRUE(canary.canary);
  // The lease has expired: no request goes to the unproven version.
  EXPECT_EQ(policy.RuleOf(3600, "s").secondary, "");
  EXPECT_EQ(policy.RuleOf(3600, "s").excluded, "v2");
  for (int i = 0; i < 100; ++i) policy.CountRequest("s");
  for (uint64_t key = 0; key < 200; ++key) EXPECT_FALSE(policy.TakesSecondary(3600, "s", key));
  policy.OnLeaseRenewal(3600, {1, state.version()});
  EXPECT_EQ(policy.RuleOf(3700, "s").secondary, "v2");
  int drawn = 0;
  for (uint64_t key = 0; key < 2000; ++key) drawn += policy.TakesSecondary(3700, "s", key);
  EXPECT_NEAR(drawn, 120, 40);
  // During the promotion the old version is the secondary one, and its share falls to 0.
  state.Apply(Entered(1, Stage::kPromoting));
  policy.Adopt(4000, state);
  policy.OnLeaseRenewal(4000, {1, state.version()});
  EXPECT_EQ(policy.RuleOf(4100, "s").primary + policy.RuleOf(4100, "s").secondary, "v2v1");
  EXPECT_TRUE(policy.RetriesToSecondary(4100, "s"));
  EXPECT_FALSE(policy.MakeReport(4100, "s").confirmed);
  int early = 0, late = 0;
  for (uint64_t key = 0; key < 2000; ++key) {
    early += policy.TakesSecondary(4010, "s", key);
    late += policy.TakesSecondary(4970, "s", key);
  }
  EXPECT_GT(early, 1700);
  EXPECT_LT(late, 200);
  EXPECT_EQ(policy.RuleOf(5050, "s").secondary, "");
  EXPECT_TRUE(policy.MakeReport(5050, "s").confirmed);
  // This proxy sees failures on more than one server: all requests go back to the old version until
  // the breaker closes.
  auto fails = [&](Millis at, const char* server) {
    policy.CountOutcome(at, {"s", "v2", server, "r", CanaryPolicy::Outcome::kFailed, true, false});
  };
  for (int i = 0; i < 5; ++i) fails(5100, "a");
  EXPECT_EQ(policy.RuleOf(5100, "s").primary, "v2");
  fails(5110, "b");
  EXPECT_EQ(policy.RuleOf(5120, "s").primary, "v1");
  EXPECT_EQ(policy.RuleOf(5120, "s").secondary, "");
  EXPECT_FALSE(policy.MakeReport(5120, "s").confirmed);
  policy.OnLeaseRenewal(6000, {1, state.version()});
  EXPECT_EQ(policy.RuleOf(6700, "s").primary + policy.RuleOf(6700, "s").secondary,
            "v2v1");  // shifts again
  policy.OnLeaseRenewal(4100, {1, state.version()});
  EXPECT_EQ(policy.RuleOf(7000, "s").primary, "v1");  // the lease has expired again
  EXPECT_FALSE(policy.MakeReport(7000, "s").confirmed);
  state.Apply(Entered(1, Stage::kReverting));
  policy.Adopt(7100, state);
  EXPECT_EQ(policy.RuleOf(7100, "s").primary, "v1");
  EXPECT_EQ(policy.RuleOf(7100, "s").excluded, "v2");
  state.Apply(Entered(1, Stage::kReverted));
  policy.Adopt(7200, state);
  EXPECT_EQ(policy.RuleOf(7200, "s").excluded, "v2");
  EXPECT_FALSE(policy.active());
}

// Guards against a proxy that exceeds its share of requests to an unproven version, or keeps
// sending its full share while its own answers show that the version fails.
TEST(CanaryPolicy, StaysWithinItsShareAndReducesItWhenTheVersionFails) {
  Rollouts state;
  state.Apply(Found("s", "v1"));
  state.Apply(Ordered("v2", 14000));
  CanaryPolicy policy({0.1, 1000000, 1000});
  policy.Adopt(0, state);
  EXPECT_FALSE(policy.TakesSecondary(0, "s", 1));  // a new proxy has no credit
  // Each request tries the same 40 keys, some of which are selected, so only the credit limits the
  // share.
  uint32_t sent = 0;
  for (int i = 0; i < 5000; ++i) {
    policy.CountRequest("s");
    for (uint64_t key = 0; key < 40; ++key) {
      if (!policy.TakesSecondary(1, "s", key)) continue;
      policy.CountAttempt("s", "v2");
      ++sent;
      break;
    }
    EXPECT_LE(sent, 0.1 * (i + 1));
  }
  EXPECT_GT(sent, 300u);
  EXPECT_EQ(policy.MakeReport(2, "s").exposed, sent);
  auto drawn = [&] {
    int n = 0;
    for (uint64_t key = 0; key < 4000; ++key) n += policy.TakesSecondary(3, "s", key);
    return n;
  };
  for (int i = 0; i < 20; ++i) policy.CountRequest("s");
  int before = drawn();
  for (int i = 0; i < 3; ++i) {
    policy.CountOutcome(3, {"s", "v2", "server", "r", CanaryPolicy::Outcome::kFailed, true, false});
  }
  EXPECT_LT(drawn() * 3, before);
}

// Rates of failed, broken and late answers.
struct Rates {
  double failed = 0, broken = 0, late = 0;
};

// Guards against a worse version that passes, and against a version that is called bad for faults
// of single servers or for faults that affect both versions.
TEST(Comparison, CallsBadOnlyAVersionWorseThanTheOldOne) {
  struct Case {
    const char* name;
    Rates old_version, new_version;
    int servers_at_fault;  // of six
    bool bad;
  } cases[] = {
      {"both sound", {0.002, 0.003, 0.03}, {0.002, 0.003, 0.03}, 6, false},
      {"half fails", {0.002, 0, 0.03}, {0.5, 0, 0.03}, 6, true},
      {"one in six fails", {0.002, 0, 0.03}, {0.16, 0, 0.03}, 6, true},
      {"half is slow", {0, 0, 0.03}, {0, 0, 0.4}, 6, true},
      {"half is broken off", {0, 0.01, 0.03}, {0, 0.5, 0.03}, 6, true},
      {"one server alone breaks off", {0, 0.01, 0.03}, {0, 0.17, 0.03}, 1, false},
      {"one server alone is slow", {0, 0, 0.03}, {0, 0, 0.17}, 1, false},
      {"fault that affects both", {0.1, 0.1, 0.3}, {0.1, 0.1, 0.3}, 6, false},
      {"slower machines", {0, 0, 0.04}, {0, 0, 0.09}, 6, false},
      {"old fails too, new far more", {0.05, 0, 0.03}, {0.4, 0, 0.03}, 6, true},
  };
  for (const Case& c : cases) {
    int found_bad = 0;
    for (uint64_t seed = 0; seed < 20; ++seed) {
      base::Random random(seed * 7 + 1);
      Comparison comparison;
      auto count = [&](const Rates& rates, int answers, int at_fault) {
        VersionCounters counts;
        for (int i = 0; i < answers; ++i) {
          uint64_t server = 1ull << random.Below(6);
          bool faulty = server < 1ull << at_fault;
          double scale = at_fault < 6 ? (faulty ? 6.0 / at_fault : 0) : 1;
          ++counts.answers;
          ++counts.latency_samples;
          counts.servers_seen |= server;
          counts.failed += random.Unit() < rates.failed * scale;
          if (random.Unit() < rates.broken * scale)
            ++counts.broken, counts.servers_broken |= server;
          if (random.Unit() < rates.late * scale) ++counts.late, counts.servers_late |= server;
        }
        return counts;
      };
      for (int tick = 0; tick < 100; ++tick) {
        comparison.Add(
            {1, count(c.old_version, 80, 6), count(c.new_version, 5, c.servers_at_fault)});
      }
      found_bad += !comparison.bad_reason().empty();
    }
    if (c.bad) {
      EXPECT_EQ(found_bad, 20) << c.name;
    } else {
      EXPECT_LE(found_bad, 1) << c.name;
    }
  }
  Comparison sparse;
  EXPECT_EQ(sparse.MissingEvidence(0.06), "too few answers");
  VersionCounters some, old_version;
  some.answers = some.latency_samples = 15;
  old_version.answers = old_version.latency_samples = 1000;
  sparse.Add({1, old_version, some});
  EXPECT_EQ(sparse.MissingEvidence(0.06), "");
  sparse.Add({2, old_version, {}});  // a route without answers of the new version
  EXPECT_NE(sparse.MissingEvidence(0.06), "");
}

// Guards against answers that are counted twice when reports are repeated or reordered, and against
// votes that rest on too few or outdated reports.
TEST(Observer, CountsEachAnswerOnceAndAbstainsOnTooFewOrOldReports) {
  Rollouts state;
  state.Apply(Found("s", "v1"));
  state.Apply(Ordered("v2", 14000, {7}));
  Observer::Options options;
  options.self = 7;
  Observer observer(options);
  observer.Adopt(state);
  ASSERT_TRUE(observer.active());
  ProxyReport report;
  report.node = 1;
  report.boot_id = 5;
  report.number = 1;
  report.version = state.version();
  report.age_ms = 100;
  report.requests = 1000;
  report.exposed = 50;
  Row row;
  row.route = 3;
  row.new_version.answers = row.new_version.latency_samples = 50;
  row.old_version.answers = row.old_version.latency_samples = 900;
  report.rows = {row};
  auto reported = [&](Millis now, std::vector<Observer::KnownProxy> proxies) {
    auto votes = observer.Tick(now, proxies);
    return votes.empty() ? Vote() : votes[0];
  };
  EXPECT_TRUE(observer.OnProxyReport(5000, report));
  EXPECT_TRUE(observer.OnProxyReport(5010, report));  // twice
  ProxyReport older = report;
  older.age_ms = 50;
  older.rows[0].new_version.answers = 20;
  EXPECT_TRUE(observer.OnProxyReport(5020, older));  // and out of order
  EXPECT_TRUE(observer.OnProxyReport(5025, report));
  ProxyReport other = report;
  other.number = 9;
  EXPECT_FALSE(observer.OnProxyReport(5030, other));
  Vote vote = reported(5100, {{1, true}});
  EXPECT_EQ(vote.opinion, Opinion::kGood) << vote.reason;
  EXPECT_EQ(vote.exposed, 50u);
  EXPECT_EQ(vote.rows[0].new_version.answers, 50u);
  // After a restart, the proxy's counters start from 0.
  report.boot_id = 6;
  report.age_ms = 10;
  EXPECT_TRUE(observer.OnProxyReport(5200, report));
  vote = reported(5600, {{1, true}});
  EXPECT_EQ(vote.exposed, 100u);
  // The observer abstains if too few proxies report, and after a suspension whatever it received.
  vote = reported(5700, {{1, true}, {2, true}, {3, true}});
  EXPECT_EQ(vote.opinion, Opinion::kAbstains);
  report.age_ms = 3000;
  report.rows[0].new_version.answers = 150;
  report.rows[0].new_version.failed = 100;
  EXPECT_TRUE(observer.OnProxyReport(8700, report));
  vote = reported(8800, {{1, true}});
  EXPECT_EQ(vote.opinion, Opinion::kAbstains);
  EXPECT_EQ(vote.reason, "has only just woken");
  reported(9300, {{1, true}});
  EXPECT_TRUE(observer.OnProxyReport(9700, report));
  vote = reported(9900, {{1, true}});
  EXPECT_EQ(vote.opinion, Opinion::kBad);
  // Proxies that have not confirmed the move are counted separately from those that don't report.
  state.Apply(Entered(1, Stage::kPromoting));
  observer.Adopt(state);
  report.version = state.version();
  report.age_ms = 5000;
  report.confirmed = true;
  report.old_in_flight = 1;
  observer.OnProxyReport(10000, report);
  vote = reported(10000, {{1, true}, {2, false}});
  EXPECT_EQ(vote.unconfirmed, 1u);
  EXPECT_EQ(vote.not_reporting, 1u);
  report.age_ms = 5100;
  report.old_in_flight = 0;
  observer.OnProxyReport(10100, report);
  vote = reported(10100, {{1, true}, {2, false}});
  EXPECT_EQ(vote.unconfirmed, 0u);
  EXPECT_EQ(vote.missing, (std::vector<uint64_t>{2}));
}

// Guards against a promotion without votes for kGood from a majority of all observers, a reversal
// before the time limit without a majority of the received votes, and stages that are entered too
// early or while proxies still use the version that the traffic moves away from.
TEST(RolloutCoordinator, EntersTheStageThatVotesConfirmationsAndTimeLimitRequire) {
  using O = Opinion;
  struct Case {
    const char* name;
    Stage stage;
    Millis age;
    std::vector<O> votes;  // of three observers; if fewer, the others send none
    uint32_t unconfirmed, not_reporting;
    Stage next;
  } cases[] = {
      {"nothing yet",
       Stage::kCanary,
       3000,
       {O::kAbstains, O::kAbstains, O::kAbstains},
       0,
       0,
       Stage::kCanary},
      {"one says bad", Stage::kCanary, 3000, {O::kBad, O::kGood, O::kGood}, 0, 0, Stage::kCanary},
      {"most say bad", Stage::kCanary, 3000, {O::kBad, O::kBad, O::kGood}, 0, 0, Stage::kReverting},
      {"most of the votes received say bad",
       Stage::kCanary,
       3000,
       {O::kBad},
       0,
       0,
       Stage::kReverting},
      {"good, but early",
       Stage::kCanary,
       3000,
       {O::kGood, O::kGood, O::kGood},
       0,
       0,
       Stage::kCanary},
      {"good at the time of promotion",
       Stage::kCanary,
       10000,
       {O::kGood, O::kGood, O::kAbstains},
       0,
       0,
       Stage::kPromoting},
      {"good by one of three", Stage::kCanary, 10000, {O::kGood}, 0, 0, Stage::kCanary},
      {"no verdict",
       Stage::kCanary,
       12600,
       {O::kAbstains, O::kGood, O::kAbstains},
       0,
       0,
       Stage::kReverting},
      {"no observer votes", Stage::kCanary, 12600, {}, 0, 0, Stage::kReverting},
      {"still moving",
       Stage::kPromoting,
       11000,
       {O::kGood, O::kGood, O::kGood},
       2,
       0,
       Stage::kPromoting},
      {"turns bad while it moves",
       Stage::kPromoting,
       11000,
       {O::kBad, O::kBad, O::kGood},
       2,
       0,
       Stage::kReverting},
      {"all moved",
       Stage::kPromoting,
       11000,
       {O::kGood, O::kGood, O::kGood},
       0,
       0,
       Stage::kCompleted},
      {"one does not report",
       Stage::kPromoting,
       11000,
       {O::kGood, O::kGood, O::kGood},
       0,
       1,
       Stage::kPromoting},
      {"one does not report near the time limit",
       Stage::kPromoting,
       13400,
       {O::kGood, O::kGood, O::kGood},
       0,
       1,
       Stage::kCompleted},
      {"most do not report near the time limit",
       Stage::kPromoting,
       13400,
       {O::kGood, O::kGood, O::kGood},
       0,
       3,
       Stage::kPromoting},
      {"one reports and is still moving",
       Stage::kPromoting,
       13900,
       {O::kGood, O::kGood},
       1,
       0,
       Stage::kPromoting},
      {"still moving long after the time limit",
       Stage::kPromoting,
       19100,
       {O::kGood, O::kGood},
       1,
       0,
       Stage::kCompleted},
      {"moving back", Stage::kReverting, 3000, {O::kBad, O::kBad}, 1, 0, Stage::kReverting},
      {"moved back", Stage::kReverting, 3000, {O::kBad, O::kBad}, 0, 0, Stage::kReverted},
      {"moved back but for one",
       Stage::kReverting,
       5000,
       {O::kBad, O::kBad},
       1,
       0,
       Stage::kReverted},
  };
  for (const Case& c : cases) {
    Rollouts state;
    RolloutCoordinator coordinator{RolloutCoordinator::Options()};
    state.Apply(Found("s", "v1"));
    state.Apply(Ordered("v2", 14000, {1, 2, 3}));
    coordinator.Adopt(1000, state);
    if (c.stage != Stage::kCanary) {
      state.Apply(Entered(1, c.stage));
      coordinator.Adopt(1000 + (c.stage == Stage::kReverting ? 3000 : 10000), state);
    }
    for (size_t i = 0; i < c.votes.size(); ++i) {
      Vote vote;
      vote.number = 1;
      vote.observer = i + 1;
      vote.version = state.version();
      vote.opinion = c.votes[i];
      vote.known_proxies = vote.reporting = 4;
      vote.unconfirmed = c.unconfirmed;
      vote.not_reporting = c.not_reporting;
      if (c.not_reporting > 2) vote.reporting = 1;
      coordinator.OnVote(1000 + c.age, vote);
    }
    Vote unrelated;
    unrelated.number = 1;
    unrelated.observer = 9;
    unrelated.opinion = O::kBad;
    coordinator.OnVote(1000 + c.age, unrelated);  // not an observer of this roll-out
    auto steps = coordinator.Review(1000 + c.age, state, {{1, "a"}, {2, "b"}, {3, "c"}});
    Stage next = steps.empty() ? c.stage : steps[0].stage;
    EXPECT_EQ(StageName(next), std::string(StageName(c.next))) << c.name;
    // What was just proposed is not proposed again at once.
    EXPECT_TRUE(coordinator.Review(1010 + c.age, state, {}).empty()) << c.name;
  }
}

// Guards against a roll-out without a verdict because its observers were in one zone or are lost.
TEST(RolloutCoordinator, ChoosesObserversInDifferentZonesAndReplacesLostOnes) {
  std::vector<Candidate> all = {{1, "a"}, {2, "a"}, {3, "b"}, {4, "b"}, {5, "c"}, {6, "c"}};
  auto chosen = ChooseObservers("s", all);
  ASSERT_EQ(chosen.size(), 3u);
  EXPECT_EQ(chosen, ChooseObservers("s", {all.rbegin(), all.rend()}));
  std::set<uint64_t> zones;
  for (uint64_t id : chosen) zones.insert((id + 1) / 2);
  EXPECT_EQ(zones.size(), 3u);
  EXPECT_EQ(ChooseObservers("s", {{1, "a"}, {2, "a"}}).size(), 2u);
  Rollouts state;
  state.Apply(Ordered("v2", 14000, chosen));
  RolloutCoordinator coordinator{RolloutCoordinator::Options()};
  coordinator.Adopt(0, state);
  EXPECT_TRUE(coordinator.Review(100, state, all).empty());
  std::vector<Candidate> left;
  for (const Candidate& c : all) {
    if (c.id != chosen[0]) left.push_back(c);
  }
  auto steps = coordinator.Review(200, state, left);
  ASSERT_EQ(steps.size(), 1u);
  EXPECT_EQ(steps[0].kind, Step::Kind::kObservers);
  EXPECT_TRUE(state.Apply(steps[0]));
  EXPECT_EQ(state.NewestOf("s")->observers.size(), 3u);
  EXPECT_EQ(std::count(state.NewestOf("s")->observers.begin(), state.NewestOf("s")->observers.end(),
                       chosen[0]),
            0);
  coordinator.Adopt(250, state);
  EXPECT_TRUE(coordinator.Review(300, state, left).empty());
  // A leader that has just started takes the age of the order from the votes.
  RolloutCoordinator started{RolloutCoordinator::Options()};
  started.Adopt(9000, state);
  Vote vote;
  vote.number = 1;
  vote.observer = state.NewestOf("s")->observers[0];
  vote.age_ms = 8800;
  started.OnVote(9100, vote);
  EXPECT_EQ(started.Age(9100, *state.NewestOf("s")), 8800);
}

// Guards against a delayed vote of an observer's earlier process that replaces the current vote.
TEST(RolloutCoordinator, IgnoresVotesOfAnEarlierIncarnationOfAnObserver) {
  Rollouts state;
  state.Apply(Ordered("v2", 14000, {1, 2, 3}));
  RolloutCoordinator coordinator{RolloutCoordinator::Options()};
  coordinator.Adopt(0, state);
  auto report = [&](uint64_t boot_id, Opinion opinion) {
    Vote vote;
    vote.number = 1;
    vote.observer = 1;
    vote.boot_id = boot_id;
    vote.opinion = opinion;
    coordinator.OnVote(100, vote);
    return coordinator.VotesOn(1).at(1).vote.opinion;
  };
  EXPECT_EQ(report(7, Opinion::kBad), Opinion::kBad);
  EXPECT_EQ(report(8, Opinion::kAbstains), Opinion::kAbstains);
  EXPECT_EQ(report(7, Opinion::kBad), Opinion::kAbstains);  // late
  EXPECT_EQ(report(9, Opinion::kGood), Opinion::kGood);
  EXPECT_EQ(report(8, Opinion::kBad), Opinion::kGood);
  EXPECT_EQ(report(9, Opinion::kAbstains), Opinion::kAbstains);
}

}  // namespace
}  // namespace elderkeel::rollout
