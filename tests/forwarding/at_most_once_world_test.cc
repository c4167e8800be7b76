#include "forwarding/at_most_once_world.h"

#include <gtest/gtest.h>

namespace elderkeel::at_most_once {
namespace {

// A short run of the at-most-once checker (at_most_once_run.cc): under faults, no non-idempotent
// request runs twice, no client gets another request's answer, and nothing answered as not executed
// has run.
TEST(AtMostOnceWorld, NoViolationUnderServerClientAndProxyFaults) {
  Options options;
  options.seed = 7;
  Report report = World(options).Run();
  std::printf("%s\n", report.Line().c_str());
  EXPECT_EQ(report.doubled, 0);
  EXPECT_EQ(report.foreign, 0);
  EXPECT_EQ(report.broken_promises, 0);
  EXPECT_EQ(report.reused, 0);
  for (const std::string& what : report.first_violations) ADD_FAILURE() << what;
  // The run proves something only if all of these occurred.
  EXPECT_GT(report.once, 200);
  EXPECT_GT(report.runs, 100);
  EXPECT_GT(report.answers, 100);
  EXPECT_GT(report.promises, 5);
  EXPECT_GT(report.sent_again, 0);
  EXPECT_GT(report.kills, 0);
  EXPECT_GT(report.freezes, 0);
  EXPECT_GT(report.resets, 0);
  EXPECT_GT(report.other_incarnations, 0);
}

}  // namespace
}  // namespace elderkeel::at_most_once
