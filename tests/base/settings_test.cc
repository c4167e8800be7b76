#include "base/settings.h"

#include <gtest/gtest.h>

namespace elderkeel::base {
namespace {

const char* kValidSettings =
    "node-name=edge-a-1\nip=10.1.0.39\nzone=a\nzones.a=r\nzones.b=r\nport-range=7200,7215\n"
    "seed-list=10.1.0.39:8382,10.2.0.12:8382\nbootstrap=true\nlisteners.front=10.1.0.39:8381\n"
    "platform.rate-per-s=52.0\nbounds.grace-s=6\nplatform.duty-list=\nsome.new-field=x\n";

// Guards against known fields that are read wrongly and unknown fields that make the settings
// invalid.
TEST(Settings, KnownFieldsAreReadAndUnknownFieldsAreIgnored) {
  auto settings = ParseSettings(kValidSettings);
  ASSERT_TRUE(settings.has_value()) << settings.error().reason;
  EXPECT_EQ(settings->node_name, "edge-a-1");
  EXPECT_EQ(settings->zones.size(), 2u);
  EXPECT_EQ(settings->seeds.size(), 2u);
  EXPECT_EQ(settings->seeds[1].ToString(), "10.2.0.12:8382");
  EXPECT_TRUE(settings->bootstrap);
  EXPECT_EQ(settings->ControllerPort(), 7200);
  EXPECT_DOUBLE_EQ(settings->platform_rate_per_s, 52.0);
}

// Guards against an invalid value that is accepted, or whose error does not name the field.
TEST(Settings, ErrorNamesTheInvalidField) {
  struct Case {
    const char* line;
    const char* reason;
  } cases[] = {
      {"ip=", "ip: breaks"},
      {"ip=hostname", "ip: is not an IPv4 address"},
      {"port-range=7200", "port-range: needs a first and a last port"},
      {"port-range=0,3", "port-range: needs at least two ports"},
      {"bootstrap=maybe", "bootstrap: has the wrong type"},
      {"listeners.front=10.1.0.39", "listeners.front: has the wrong form"},
      {"listeners.front=10.1.0.39:99999", "listeners.front: is not an address and port"},
      {"bounds.retry-ratio=-1", "bounds.retry-ratio: is too small"},
      {"elderkeel.poll-ms=1", "elderkeel.poll-ms: is too small"},
      {"elderkeel.log-level=loud", "elderkeel.log-level: is none of"},
      {"elderkeel.telemetry-sink=printer", "elderkeel.telemetry-sink: is none of"},
      {"elderkeel.telemetry-sink=file", "elderkeel.telemetry-file: is missing"},
      {"limits.memory-mb=lots", "limits.memory-mb: has the wrong type"},
      {"seed-list=10.1.0.39:8382,nobody", "seed-list: holds something"},
  };
  for (const Case& c : cases) {
    auto settings = ParseSettings(std::string(kValidSettings) + c.line + "\n");
    ASSERT_FALSE(settings.has_value()) << c.line;
    EXPECT_EQ(settings.error().reason.rfind(c.reason, 0), 0u)
        << c.line << " gave " << settings.error().reason;
  }
  auto missing = ParseSettings("ip=10.1.0.39\nzone=a\nport-range=1,9\n");
  ASSERT_FALSE(missing.has_value());
  EXPECT_EQ(missing.error().reason, "node-name: is missing");
}

}  // namespace
}  // namespace elderkeel::base
