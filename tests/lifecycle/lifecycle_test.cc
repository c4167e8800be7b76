#include "lifecycle/lifecycle.h"

#include <gtest/gtest.h>

#include "lifecycle/shutdown_schedule.h"

namespace elderkeel::lifecycle {
namespace {

using Phase = Lifecycle::Phase;

// From the shortest grace time that a settings file may hold to the longest.
constexpr base::Millis kGraceTimes[] = {100, 500, 1000, 2500, 6000, 8000, 30000, 600000};

Lifecycle Leaving(base::Millis grace) {
  Lifecycle::Options options;
  options.grace = grace;
  Lifecycle lifecycle(options);
  lifecycle.SetServable(0);
  lifecycle.SetConfirmed();
  lifecycle.Leave(0);
  return lifecycle;
}

TEST(Lifecycle, IsReadyOnceConfirmedOrAfterTheConfirmTimeout) {
  Lifecycle unconfirmed;
  EXPECT_FALSE(unconfirmed.IsReady(0));
  unconfirmed.SetServable(100);
  EXPECT_FALSE(unconfirmed.IsReady(1000));
  // Serves nothing unconfirmed during a network partition of 20 s. After the timeout it serves with
  // the state that other nodes have.
  EXPECT_FALSE(unconfirmed.IsReady(1600));
  EXPECT_FALSE(unconfirmed.IsServing(25000));
  EXPECT_TRUE(unconfirmed.IsServing(30100));
  EXPECT_TRUE(unconfirmed.IsReady(30100));
  Lifecycle confirmed;
  confirmed.SetServable(100);
  confirmed.SetConfirmed();
  EXPECT_TRUE(confirmed.IsReady(101));
}

TEST(Lifecycle, EachShutdownPhaseBeginsOnTimeAndEndsEarlyWhenIdle) {
  Lifecycle lifecycle;
  lifecycle.SetServable(100);
  lifecycle.SetConfirmed();
  EXPECT_EQ(lifecycle.accept_until(), -1);
  lifecycle.Leave(10000);
  EXPECT_FALSE(lifecycle.IsReady(10000));
  EXPECT_TRUE(lifecycle.IsServing(10000));  // requests in flight are finished
  EXPECT_EQ(lifecycle.accept_until(), 12750);
  struct Case {
    base::Millis at;
    size_t busy;
    Phase phase;
  } cases[] = {
      {10100, 0, Phase::kNotReady},  // clients may still come, even if the proxy is idle
      {12499, 0, Phase::kNotReady},  {12500, 3, Phase::kDraining},  {12500, 0, Phase::kStopped},
      {12749, 1, Phase::kDraining},  {12750, 1, Phase::kRejecting}, {12750, 0, Phase::kStopped},
      {15499, 2, Phase::kRejecting}, {15500, 2, Phase::kAnswering}, {15500, 0, Phase::kStopped},
      {15899, 2, Phase::kAnswering}, {15900, 2, Phase::kStopped},
  };
  for (const Case& k : cases) EXPECT_EQ(lifecycle.PhaseAt(k.at, k.busy), k.phase) << k.at;
}

// Requests in flight were failed at four fifths of the grace time, and requests that came between
// three seconds and five eighths of the grace time were accepted. The shutdown may fail a request
// only in the last sixth, and only if the request was sent at most three seconds after SIGTERM.
TEST(Lifecycle, FailsRequestsOnlyInTheLastSixthAndAcceptsNoneAfterThreeSeconds) {
  for (base::Millis grace : kGraceTimes) {
    Lifecycle lifecycle = Leaving(grace);
    for (base::Millis at = 0; at <= grace; at += std::max<base::Millis>(1, grace / 6000)) {
      Phase phase = lifecycle.PhaseAt(at, 1);
      bool fails_requests = phase == Phase::kAnswering || phase == Phase::kStopped;
      // The last sixth: 6 x at > 5 x grace.
      EXPECT_TRUE(!fails_requests || 6 * at > 5 * grace) << grace << ": failed at " << at;
      bool accepts = at < lifecycle.accept_until();
      EXPECT_TRUE(!accepts || at <= 3000) << grace << ": accepted at " << at;
      EXPECT_EQ(accepts, phase == Phase::kNotReady || phase == Phase::kDraining)
          << grace << " at " << at;
    }
  }
}

TEST(Lifecycle, PhasesAreInOrderAndFarEnoughApartForAnyGraceTime) {
  for (base::Millis grace : kGraceTimes) {
    for (base::Millis notice : {base::Millis{0}, base::Millis{2500}, base::Millis{90000}}) {
      ShutdownSchedule schedule(grace, notice);
      EXPECT_LE(schedule.notice_until, notice) << grace;
      EXPECT_LT(0, schedule.accept_until) << grace;
      EXPECT_LT(schedule.accept_until, schedule.last_sixth) << grace;
      // Time for answers that servers sent before the last sixth, and for writing the last answers.
      EXPECT_GE(schedule.fail_unanswered_at - schedule.last_sixth, grace / 13) << grace;
      EXPECT_GE(grace - schedule.fail_unanswered_at, grace / 13) << grace;
      EXPECT_LT(schedule.fail_unanswered_at, schedule.exit_at) << grace;
      EXPECT_LT(schedule.exit_at, grace) << grace;
    }
  }
}

// With a short grace time a phase lasts some 10 ms, which a timer that fires every 100 ms would
// miss.
TEST(Lifecycle, UntilNextPhaseEndsExactlyWhenTheNextPhaseBegins) {
  for (base::Millis grace : kGraceTimes) {
    Lifecycle lifecycle = Leaving(grace);
    base::Millis now = 0;
    Phase phase = lifecycle.PhaseAt(0, 1);
    while (phase != Phase::kStopped) {
      base::Millis wait = lifecycle.UntilNextPhase(now, grace);
      ASSERT_GT(wait, 0);
      EXPECT_EQ(lifecycle.PhaseAt(now + wait - 1, 1), phase) << grace << " at " << now;
      now += wait;
      phase = lifecycle.PhaseAt(now, 1);
    }
    EXPECT_LT(now, grace);
    EXPECT_EQ(lifecycle.UntilNextPhase(0, 1), 1);
  }
}

}  // namespace
}  // namespace elderkeel::lifecycle
