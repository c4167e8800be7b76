#include "forwarding/load_balancer.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "forwarding/attempt_log.h"
#include "forwarding/retry_budget.h"

namespace elderkeel {
namespace {

using forwarding::AttemptLog;
using forwarding::AttemptOutcome;
using forwarding::LoadBalancer;
using forwarding::ServerState;
using forwarding::Signal;

// Guards against running a non-idempotent request twice, by another attempt after one that may have
// run, and against answering that a request was not executed although it may have run.
TEST(AttemptLog, AllowsAttemptsAndPromisesNotRunByTheOutcomesSoFar) {
  struct Case {
    const char* name;
    bool idempotent;
    int attempts;
    std::vector<AttemptOutcome> outcomes;
    bool may_send;
    bool certainly_not_run;
  } cases[] = {
      {"nothing sent", false, 2, {}, true, true},
      {"not sent", false, 2, {AttemptOutcome::kNotSent}, true, true},
      {"rejected", false, 2, {AttemptOutcome::kNotExecuted}, true, true},
      {"rejected by all",
       false,
       2,
       {AttemptOutcome::kNotExecuted, AttemptOutcome::kNotExecuted},
       false,
       true},
      {"attempts that were not sent don't count",
       false,
       2,
       {AttemptOutcome::kNotSent, AttemptOutcome::kNotSent, AttemptOutcome::kNotExecuted},
       true,
       true},
      {"in flight", false, 2, {AttemptOutcome::kPending}, false, false},
      {"may have run", false, 2, {AttemptOutcome::kMaybeExecuted}, false, false},
      {"rejected, then may have run",
       false,
       3,
       {AttemptOutcome::kNotExecuted, AttemptOutcome::kMaybeExecuted},
       false,
       false},
      {"ran", false, 2, {AttemptOutcome::kExecuted}, false, false},
      {"idempotent, in flight", true, 2, {AttemptOutcome::kPending}, true, false},
      {"idempotent, may have run", true, 2, {AttemptOutcome::kMaybeExecuted}, true, false},
      {"idempotent, no attempts left",
       true,
       2,
       {AttemptOutcome::kMaybeExecuted, AttemptOutcome::kMaybeExecuted},
       false,
       false},
      {"idempotent, one attempt", true, 1, {AttemptOutcome::kNotExecuted}, false, true},
  };
  for (const Case& c : cases) {
    AttemptLog attempt_log(c.idempotent, c.attempts);
    for (AttemptOutcome outcome : c.outcomes) attempt_log.End(attempt_log.Begin(), outcome);
    EXPECT_EQ(attempt_log.MayAttempt(), c.may_send) << c.name;
    EXPECT_EQ(attempt_log.IsCertainlyNotExecuted(), c.certainly_not_run) << c.name;
  }
}

discovery::EndpointSnapshot MakeSnapshot(std::vector<discovery::Server> servers) {
  return discovery::EndpointSnapshot{1, 1, std::move(servers)};
}
discovery::Server Entry(const std::string& id, const std::string& zone, bool draining = false,
                        int slow_start_ms = 0) {
  return {id, "s", "10.0.0.1:80", zone, "v1", 2, draining, slow_start_ms, slow_start_ms};
}

class LoadBalancerTest : public ::testing::Test {
 protected:
  LoadBalancerTest() : balancer_(Options(), &names_, &regions_, 1) {}
  static LoadBalancer::Options Options() {
    LoadBalancer::Options options;
    options.zone = "here";
    return options;
  }
  // How often each server, by id, is chosen in 200 choices without an attempt being sent.
  std::map<std::string, int> Choices(base::Millis now, bool idempotent = true,
                                     std::vector<uint32_t> tried = {}) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i) {
      uint32_t server = balancer_.Choose(now, {names_.Find("s"), 100, idempotent, tried, allowed_});
      ++counts[server == LoadBalancer::kNoServer ? "none" : balancer_.at(server).id];
    }
    return counts;
  }
  base::NameIndex names_, regions_;
  std::vector<uint32_t> allowed_;
  LoadBalancer balancer_;
};

// Guards against requests that leave the zone without need, or wait in it although other zones have
// room.
TEST_F(LoadBalancerTest, PrefersItsOwnZoneUntilThatIsAtItsLimit) {
  balancer_.Adopt(0, MakeSnapshot({Entry("near", "here"), Entry("far", "there")}));
  EXPECT_EQ(Choices(0)["near"], 200);
  uint32_t near = 0;
  balancer_.OnAttemptBegun(0, near);
  balancer_.OnAttemptBegun(0, near);
  EXPECT_EQ(Choices(1)["far"], 200);
}

// Guards against losing a request that is sent to a server about to stop, and against a retry on
// the same server, which is likely to fail again.
TEST_F(LoadBalancerTest, NeverChoosesDrainingUnlistedOrTriedServers) {
  balancer_.Adopt(
      0, MakeSnapshot({Entry("a", "here"), Entry("b", "here", true), Entry("c", "there")}));
  auto changes = balancer_.Adopt(
      0, MakeSnapshot({Entry("a", "here", true), Entry("b", "here", true), Entry("c", "there")}));
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].what, LoadBalancer::Change::What::kDraining);
  EXPECT_EQ(Choices(1)["c"], 200);
  EXPECT_EQ(Choices(1, true, {2})["none"], 200);
  balancer_.Adopt(0, MakeSnapshot({Entry("a", "here", true)}));
  EXPECT_EQ(Choices(2)["none"], 200);
  EXPECT_FALSE(balancer_.HasUsable(names_.Find("s"), {}));
}

// Guards against sending requests to a server that can't be reached, and against readmitting one
// untested, which could fail many requests at once.
TEST_F(LoadBalancerTest, EjectsAFailingServerAndReadmitsItByATrialRequest) {
  balancer_.Adopt(0, MakeSnapshot({Entry("a", "here"), Entry("b", "there")}));
  balancer_.OnAttemptBegun(0, 0);
  balancer_.OnAttemptEnded(10, 0, 0, Signal::kUnreachable, -1, 100);
  EXPECT_EQ(Choices(20)["b"], 200);
  EXPECT_TRUE(balancer_.DueProbes(20).empty());
  EXPECT_EQ(Choices(10000)["b"], 200);  // time alone doesn't readmit it
  ASSERT_EQ(balancer_.DueProbes(10000).size(), 1u);
  balancer_.OnProbeResult(10000, 0, true);
  EXPECT_EQ(Choices(10001, true)["a"], 200);   // on probation: idempotent requests only
  EXPECT_EQ(Choices(10001, false)["b"], 200);  // not requests that may run only once
  balancer_.OnAttemptBegun(10001, 0);
  EXPECT_EQ(Choices(10002, true)["b"], 200);  // one at a time
  balancer_.OnAttemptEnded(10100, 0, 10001, Signal::kGood, 99, 100);
  EXPECT_EQ(Choices(10101, false)["a"], 200);
}

// Guards against a health endpoint whose answers are wrong: they must neither keep a working server
// ejected for ever nor readmit a failing one for good.
TEST_F(LoadBalancerTest, AnswersToRequestsOutweighWrongProbeResults) {
  balancer_.Adopt(0, MakeSnapshot({Entry("a", "here"), Entry("b", "there")}));
  base::Millis now = 0;
  balancer_.OnAttemptBegun(now, 0);
  balancer_.OnAttemptEnded(now, 0, now, Signal::kUnreachable, -1, 100);
  // Probes that keep failing don't keep a server ejected for ever: it is put on probation.
  int probes = 0;
  while (!balancer_.at(0).probation && probes < 10) {
    now += 100000;
    for (uint32_t s : balancer_.DueProbes(now)) balancer_.OnProbeResult(now, s, false);
    ++probes;
  }
  EXPECT_EQ(probes, 2);
  // One failed request ejects a readmitted server again, whatever probes show.
  balancer_.OnAttemptBegun(now, 0);
  balancer_.OnAttemptEnded(now + 5, 0, now, Signal::kInvalidAnswer, -1, 100);
  EXPECT_EQ(Choices(now + 6)["b"], 200);
}

// Guards against failing all requests when every server is ejected, although one of them may work.
TEST_F(LoadBalancerTest, ChoosesAnEjectedServerWhenNoOtherIsEligible) {
  balancer_.Adopt(0, MakeSnapshot({Entry("a", "here")}));
  balancer_.OnAttemptBegun(0, 0);
  balancer_.OnAttemptEnded(10, 0, 0, Signal::kUnreachable, -1, 100);
  EXPECT_EQ(Choices(20)["a"], 200);
}

// Guards against sending requests to a slower server although a faster one has room.
TEST_F(LoadBalancerTest, AvoidsSlowServersThoseInSlowStartAndUnresponsiveOnes) {
  balancer_.Adopt(0, MakeSnapshot({Entry("a", "here"), Entry("b", "here"),
                                   Entry("cold", "here", false, 3000)}));
  EXPECT_EQ(Choices(1)["cold"], 0);
  for (int i = 0; i < 30; ++i) {
    balancer_.OnAttemptBegun(i, 0);
    balancer_.OnAttemptEnded(i, 0, i, Signal::kGood, 500, 100);
  }
  EXPECT_EQ(Choices(100)["a"], 0);
  balancer_.OnAttemptBegun(100, 1);
  EXPECT_EQ(Choices(5000)["b"], 0);  // its attempt has long been unanswered
}

// A server that stops responding on established connections gives no error. Only attempts abandoned
// without an answer show it; if they were ignored, requests would continue to go there.
TEST_F(LoadBalancerTest, EjectsAnUnresponsiveServer) {
  balancer_.Adopt(0, MakeSnapshot({Entry("a", "here"), Entry("b", "there")}));
  auto abandon_attempt = [&](base::Millis now, base::Millis age) {
    balancer_.OnAttemptBegun(now - age, 0);
    balancer_.OnAttemptAbandoned(now, 0, now - age, 100);
  };
  abandon_attempt(1000, 150);  // abandoned too early to count as a failure
  abandon_attempt(1000, 150);
  EXPECT_EQ(balancer_.at(0).ejected_until, 0);
  abandon_attempt(2000, 400);
  balancer_.OnAttemptBegun(2000, 0);
  balancer_.OnAttemptEnded(2090, 0, 2000, Signal::kGood, 90,
                           100);  // a good answer resets the failures
  abandon_attempt(3000, 400);
  EXPECT_EQ(balancer_.at(0).ejected_until, 0);
  abandon_attempt(3500, 400);
  EXPECT_EQ(Choices(3501)["b"], 200);
  EXPECT_EQ(balancer_.DueProbes(100000).size(), 1u);
}

// Guards against overloading the servers of one zone: without shares, every proxy prefers its own
// zone.
TEST_F(LoadBalancerTest, DistributesRequestsByTheSharesOfZones) {
  balancer_.Adopt(0, MakeSnapshot({Entry("a", "here"), Entry("b", "there"), Entry("c", "yonder")}));
  auto zones = balancer_.SlotsByZone(names_.Find("s"));
  ASSERT_EQ(zones.size(), 3u);
  EXPECT_EQ(balancer_.ZoneName(zones[0].zone), "here");
  EXPECT_EQ(zones[1].slots, 2);
  balancer_.SetShares(names_.Find("s"), {{zones[0].zone, 0.5}, {zones[1].zone, 0.5}});
  auto choices = Choices(1);
  EXPECT_NEAR(choices["a"], 100, 30);
  EXPECT_NEAR(choices["b"], 100, 30);
  EXPECT_EQ(choices["c"], 0);
}

// Guards against hedges that spend the whole budget and leave none for retries after failures.
TEST(RetryBudget, HedgesLeaveATokenForRetries) {
  struct Case {
    double slack;  // of ten nodes together
    int requests;  // deposited before the withdrawal
    bool may_hedge;
    bool may_retry;
  } cases[] = {
      {60, 30, true, true},    // 4.5 saved, at most 4.8
      {60, 12, false, true},   // 1.8 saved: 1 is reserved for retries
      {20, 30, true, true},    // at most 1.6 can be saved, and that is reached
      {20, 9, false, true},    // 1.35 saved, at most 1.6
      {11, 30, false, false},  // at most 0.88 can be saved, less than one retry
  };
  for (const Case& c : cases) {
    forwarding::RetryBudget b({0.2, c.slack, 0.75});
    b.SetProxyCount(10);
    for (int i = 0; i < c.requests; ++i) b.Deposit(0);
    forwarding::RetryBudget copy = b;
    EXPECT_EQ(b.TryWithdrawForHedge(0), c.may_hedge) << c.slack << " " << c.requests;
    EXPECT_EQ(copy.TryWithdraw(0), c.may_retry) << c.slack << " " << c.requests;
  }
}

// Guards against nodes with separate budgets that together exceed the bound, under uneven load,
// after restarts, or when all spend their savings at once. Over any window the sum of retries stays
// within ratio x requests + slack, even if every retry that is allowed is sent.
TEST(RetryBudget, AllNodesTogetherStayWithinTheBound) {
  const double ratio = 0.2, slack = 30;
  const size_t nodes = 12;
  const int window = 100;
  base::Random random(42);
  forwarding::RetryBudget::Bounds bounds;
  bounds.ratio = ratio;
  bounds.slack = slack;
  std::vector<forwarding::RetryBudget> budgets;
  auto new_budget = [&] {
    forwarding::RetryBudget b(bounds);
    b.SetProxyCount(nodes);
    return b;
  };
  for (size_t i = 0; i < nodes; ++i) budgets.push_back(new_budget());
  std::vector<int> requests, retries;
  for (int t = 0; t < 3000; ++t) {
    int requests_now = 0, retries_now = 0;
    bool burst = (t / 200) % 3 == 0;
    for (size_t i = 0; i < nodes; ++i) {
      if (random.Below(400) == 0) budgets[i] = new_budget();  // restart
      int count = static_cast<int>(random.Below(burst ? 12 : 3));
      for (int k = 0; k < count; ++k) {
        ++requests_now;
        budgets[i].Deposit(0);
      }
      // The worst case: savings accumulate for a while and are then spent all at once.
      if (t % 150 > 100) {
        while (budgets[i].TryWithdraw(0)) ++retries_now;
      }
    }
    requests.push_back(requests_now);
    retries.push_back(retries_now);
    if (t + 1 < window) continue;
    int sum_requests = 0, sum_retries = 0;
    for (int k = t + 1 - window; k <= t; ++k) {
      sum_requests += requests[k];
      sum_retries += retries[k];
    }
    ASSERT_LE(sum_retries, ratio * sum_requests + slack) << "at " << t;
  }
}

// Guards against a node that restarts and spends again what it spent before the restart.
TEST(RetryBudget, ANodeStartsWithoutTokens) {
  forwarding::RetryBudget b({0.2, 60, 0.75});
  b.SetProxyCount(10);
  EXPECT_FALSE(b.TryWithdraw(0));
  for (int i = 0; i < 7; ++i) b.Deposit(0);
  EXPECT_TRUE(b.TryWithdraw(0));
  EXPECT_FALSE(b.TryWithdraw(0));
  EXPECT_FALSE(b.TryWithdraw(1));  // each service has its own tokens
}

// Guards against requests that leave the regions allowed by their route, or go to a drained zone.
TEST_F(LoadBalancerTest, ChoosesOnlyAllowedRegionsAndNoDrainedZones) {
  balancer_.Adopt(0, MakeSnapshot({Entry("a", "here"), Entry("b", "there"), Entry("c", "afar")}));
  EXPECT_EQ(Choices(0)["a"], 200);
  allowed_ = {regions_.Intern("there")};  // a zone without a region forms its own
  EXPECT_EQ(Choices(0)["b"], 200);
  EXPECT_EQ(Choices(0, true, {1})["none"], 200);  // a retry stays in the region too
  allowed_ = {regions_.Intern("nowhere")};
  EXPECT_EQ(Choices(0)["none"], 200);
  EXPECT_FALSE(balancer_.HasUsable(names_.Find("s"), allowed_));
  allowed_.clear();
  balancer_.SetDrainedZones(100, {"afar", "here"}, 3000);
  EXPECT_EQ(Choices(100)["b"], 200);
  balancer_.SetDrainedZones(200, {"afar", "here", "there"}, 3000);
  EXPECT_EQ(Choices(200)["none"], 200);
  EXPECT_FALSE(balancer_.HasUsable(names_.Find("s"), {}));
  // Servers of zones that are no longer drained may have restarted: they count as in slow start.
  balancer_.SetDrainedZones(300, {}, 3000);
  EXPECT_TRUE(balancer_.HasUsable(names_.Find("s"), {}));
  EXPECT_EQ(balancer_.at(0).slow_start_until, 3300);
}

// Guards against an unproven version getting more requests than allowed during a roll-out, and
// against a rejected version getting any.
TEST_F(LoadBalancerTest, ChoosesOnlyServersOfVersionsThatTheRuleAllows) {
  auto list = [](std::vector<std::pair<std::string, std::string>> servers) {
    discovery::EndpointSnapshot endpoints = MakeSnapshot({});
    for (const auto& [id, version] : servers) {
      endpoints.servers.push_back(Entry(id, id[0] == 'h' ? "here" : "there"));
      endpoints.servers.back().revision = version;
    }
    return endpoints;
  };
  // Twenty servers of each version in each of two zones, and one of a version outside the roll-out.
  std::vector<std::pair<std::string, std::string>> servers = {{"hx", "v9"}};
  for (int i = 0; i < 20; ++i) {
    for (const char* zone : {"h", "t"}) {
      servers.push_back({zone + ("1-" + std::to_string(i)), "v1"});
      servers.push_back({zone + ("2-" + std::to_string(i)), "v2"});
    }
  }
  uint32_t s = names_.Intern("s");
  rollout::VersionPolicy rule;
  rule.known = true;
  rule.primary = "v1";
  rule.secondary = "v2";
  rule.canary = true;
  rule.number = 1;
  balancer_.SetVersions(s, rule, 0.06);
  balancer_.Adopt(0, list(servers));
  auto versions = [&](bool secondary) {
    std::map<std::string, std::set<std::string>> used;
    for (int i = 0; i < 400; ++i) {
      uint32_t server = balancer_.Choose(0, {s, 100, true, {}, {}}, secondary);
      if (server == LoadBalancer::kNoServer) continue;
      used[balancer_.VersionOf(server)].insert(balancer_.at(server).id);
      balancer_.OnAttemptBegun(0, server);
      balancer_.OnAttemptEnded(0, server, 0, Signal::kGood, -1, 100);
    }
    return used;
  };
  EXPECT_EQ(versions(false).count("v1"), 1u);
  EXPECT_EQ(versions(false).size(), 1u);
  EXPECT_EQ(versions(true).size(), 1u);
  size_t limited = 0;
  std::map<uint32_t, int> zones;
  for (uint32_t i = 0; i < balancer_.size(); ++i) {
    if (balancer_.at(i).version_role != ServerState::VersionRole::kSecondary) continue;
    EXPECT_EQ(balancer_.VersionOf(i), "v2");
    ++zones[balancer_.at(i).zone];
    ++limited;
  }
  EXPECT_EQ(limited, 4u);  // at least three in all, spread evenly over two zones
  EXPECT_EQ(zones.size(), 2u);
  // After promotion the roles are swapped and unlimited; only the server of v9 is excluded.
  rule.primary = "v2";
  rule.secondary = "v1";
  rule.canary = false;
  EXPECT_EQ(balancer_.SetVersions(s, rule, 0.06).size(), 1u);
  EXPECT_EQ(versions(false).begin()->first, "v2");
  EXPECT_EQ(versions(true).begin()->first, "v1");
  EXPECT_EQ(balancer_.InFlight(s, "v1"), 0u);
  balancer_.OnAttemptBegun(0, balancer_.Choose(0, {s, 100, true, {}, {}}, true));
  EXPECT_EQ(balancer_.InFlight(s, "v1"), 1u);
  // A rejected version is never used, not even if no other server is left. Without servers of the
  // primary version, other versions are used.
  rule = rollout::VersionPolicy();
  rule.known = true;
  rule.primary = "v1";
  rule.excluded = "v2";
  EXPECT_EQ(balancer_.SetVersions(s, rule, 0.06).size(), 41u);
  EXPECT_EQ(versions(false).begin()->first, "v1");
  EXPECT_TRUE(versions(true).empty());
  balancer_.Adopt(0, list({{"h2-0", "v2"}, {"hx", "v9"}}));
  EXPECT_EQ(versions(false).begin()->first, "v9");
  balancer_.Adopt(0, list({{"h2-0", "v2"}}));
  EXPECT_TRUE(versions(false).empty());
}

}  // namespace
}  // namespace elderkeel
