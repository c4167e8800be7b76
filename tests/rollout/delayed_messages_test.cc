// Roll-out messages that were delayed in transit or in the socket of a suspended process.
#include <gtest/gtest.h>

#include "rollout/canary_policy.h"
#include "rollout/observer.h"

namespace elderkeel::rollout {
namespace {

using base::Millis;

constexpr uint64_t kObserver = 7;

// A roll-out of "s" from v1 to v2, observed by kObserver.
Rollouts Ordered() {
  Rollouts rollouts;
  Step found;
  found.kind = Step::Kind::kDetected;
  found.detected = {{"s", "v1"}};
  EXPECT_TRUE(rollouts.Apply(found));
  Step order;
  order.kind = Step::Kind::kOrder;
  order.order = {"s", "v2", 14000};
  order.observers = {kObserver};
  EXPECT_TRUE(rollouts.Apply(order));
  return rollouts;
}

Rollouts Promoting() {
  Rollouts rollouts = Ordered();
  Step stage;
  stage.kind = Step::Kind::kStage;
  stage.number = 1;
  stage.stage = Stage::kPromoting;
  EXPECT_TRUE(rollouts.Apply(stage));
  return rollouts;
}

// Guards against a resumed proxy that counts the lease from the arrival of an old renewal and sends
// to a version that it may no longer use.
TEST(CanaryPolicy, LateRenewalExtendsTheLeaseOnlyFromTheTimeOfItsReport) {
  Rollouts rollouts = Ordered();
  CanaryPolicy::Options options;
  CanaryPolicy policy(options);
  policy.Adopt(1000, rollouts);
  Millis reported_at = 2000;
  policy.OnLeaseRenewal(2050, {1, rollouts.version(), reported_at});
  EXPECT_EQ(policy.RuleOf(reported_at + options.lease - 1, "s").secondary, "v2");
  EXPECT_EQ(policy.RuleOf(reported_at + options.lease, "s").secondary, "");
  // Suspended until 12000; the renewal asked for at 3000 waited in the socket.
  policy.OnLeaseRenewal(12000, {1, rollouts.version(), 3000});
  EXPECT_EQ(policy.RuleOf(12000, "s").secondary, "");
  EXPECT_EQ(policy.RuleOf(12000, "s").excluded, "v2");
  policy.OnLeaseRenewal(12100, {1, rollouts.version(), 12010});
  EXPECT_EQ(policy.RuleOf(12100, "s").secondary, "v2");
  // An older renewal that arrives after a newer one doesn't shorten the lease.
  policy.OnLeaseRenewal(12200, {1, rollouts.version(), 11000});
  EXPECT_EQ(policy.RuleOf(12010 + options.lease - 1, "s").secondary, "v2");
  // A time in the future, from the machine's clock before a restart, renews nothing.
  policy.OnLeaseRenewal(13000, {1, rollouts.version(), 99000});
  EXPECT_EQ(policy.RuleOf(12010 + options.lease, "s").secondary, "");
}

// Observers of older builds don't return the time of the report.
TEST(CanaryPolicy, RenewalWithoutReportTimeExtendsTheLeaseFromItsArrival) {
  Rollouts rollouts = Ordered();
  CanaryPolicy policy{CanaryPolicy::Options()};
  policy.Adopt(1000, rollouts);
  policy.OnLeaseRenewal(9000, {1, rollouts.version()});
  EXPECT_EQ(policy.RuleOf(9100, "s").secondary, "v2");
}

// Guards against an observer that resumes after a suspension and confirms that all proxies have
// moved, on the basis of reports that waited in its sockets.
TEST(Observer, AbstainsAndConfirmsNothingByReportsThatWaitedDuringASuspension) {
  Rollouts rollouts = Promoting();
  Observer::Options options;
  options.self = kObserver;
  Observer observer(options);
  observer.Adopt(rollouts);
  ProxyReport report;
  report.node = 1;
  report.boot_id = 5;
  report.number = 1;
  report.version = rollouts.version();
  report.confirmed = true;
  auto vote = [&](Millis now) {
    ++report.age_ms;
    EXPECT_TRUE(observer.OnProxyReport(now, report));
    std::vector<Vote> votes = observer.Tick(now, {{1, true}});
    return votes.empty() ? Vote() : votes[0];
  };
  EXPECT_EQ(vote(5000).unconfirmed, 0u);
  Vote resumed = vote(15000);
  EXPECT_EQ(resumed.unconfirmed, 1u);
  EXPECT_EQ(resumed.opinion, Opinion::kAbstains);
  // Later reports are current and count again.
  for (Millis now = 15300; now < 16000; now += 300) vote(now);
  EXPECT_EQ(vote(16200).unconfirmed, 0u);
}

}  // namespace
}  // namespace elderkeel::rollout
