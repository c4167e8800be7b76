#include "load/load_tracker.h"

#include <gtest/gtest.h>

#include <memory>

#include "base/random.h"

namespace elderkeel::load {
namespace {

TEST(SplitByCapacity, FillsTheHomeZoneFirstThenZonesWithHeadroom) {
  struct Case {
    const char* name;
    std::vector<ZoneCapacity> zones;  // home first
    std::vector<double> shares;
  } cases[] = {
      {"enough at home", {{10, 6}, {10, 1}}, {1, 0}},
      {"no demand", {{10, 0}, {10, 9}}, {1, 0}},
      {"home up to the threshold, the excess in proportion to headroom",
       {{10, 14}, {10, 2}, {20, 4}},
       {0.5, 0.5 * 5 / 15, 0.5 * 10 / 15}},
      {"a zone of unknown load gets no excess", {{10, 14}, {10, -1}}, {1, 0}},
      {"all zones over the threshold are filled equally",
       {{10, 30}, {10, 10}},
       {20.0 / 30, 10.0 / 30}},
      {"other zones have no headroom", {{10, 9}, {10, 20}}, {1, 0}},
      {"no slots at home", {{0, 4}, {10, 1}}, {0, 1}},
      {"no slots anywhere", {{0, 4}, {0, 1}}, {1, 0}},
  };
  for (const Case& c : cases) {
    std::vector<double> shares = SplitByCapacity(c.zones, 0, 0.7);
    ASSERT_EQ(shares.size(), c.shares.size()) << c.name;
    for (size_t i = 0; i < shares.size(); ++i) {
      EXPECT_NEAR(shares[i], c.shares[i], 1e-9) << c.name << " " << i;
    }
  }
}

// Each zone splits its requests on its own. The sum of what all zones send to one zone must not
// exceed the common threshold there.
TEST(SplitByCapacity, TheLoadFromAllZonesDoesNotExceedTheThreshold) {
  base::Random random(3);
  for (int round = 0; round < 500; ++round) {
    std::vector<ZoneCapacity> zones(2 + random.Below(6));
    double slots = 0, load = 0;
    for (ZoneCapacity& zone : zones) {
      zone = {static_cast<double>(1 + random.Below(100)), static_cast<double>(random.Below(90))};
      slots += zone.slots;
      load += zone.load;
    }
    std::vector<double> arriving(zones.size(), 0);
    for (size_t from = 0; from < zones.size(); ++from) {
      std::vector<double> shares = SplitByCapacity(zones, from, 0.7);
      double sum = 0;
      for (size_t to = 0; to < zones.size(); ++to) {
        arriving[to] += shares[to] * zones[from].load;
        sum += shares[to];
      }
      EXPECT_NEAR(sum, 1, 1e-9);
    }
    for (size_t to = 0; to < zones.size(); ++to) {
      EXPECT_LE(arriving[to], std::max(0.7, load / slots) * zones[to].slots + 1e-6);
    }
  }
}

// Five zones of 40 proxies with uneven loads exchange reports with random peers; some reports are
// lost, and some proxies restart. Every proxy must estimate every zone's load closely, also after
// the load has changed.
TEST(LoadTracker, EveryProxyEstimatesTheLoadOfEveryZone) {
  constexpr size_t kZones = 5, kProxies = 40;
  base::Random random(7);
  uint32_t service = NameKey("orders");
  struct Node {
    std::unique_ptr<LoadTracker> load;
    int in_flight = 0;
  };
  std::vector<Node> nodes(kZones * kProxies);
  auto name = [](size_t zone) { return "zone-" + std::to_string(zone); };
  auto zone_of = [](size_t i) { return i / kProxies; };
  auto start = [&](size_t i) { nodes[i].load = std::make_unique<LoadTracker>(name(zone_of(i))); };
  for (size_t i = 0; i < nodes.size(); ++i) start(i);
  double truth[kZones] = {};
  auto load = [&](base::Millis now, double factor) {
    for (double& zone : truth) zone = 0;
    for (size_t i = 0; i < nodes.size(); ++i) {
      int want = static_cast<int>(static_cast<double>(random.Below(4 + 2 * zone_of(i))) * factor);
      for (; nodes[i].in_flight < want; ++nodes[i].in_flight) nodes[i].load->Begin(now, service);
      for (; nodes[i].in_flight > want; --nodes[i].in_flight) nodes[i].load->End(now, service);
      truth[zone_of(i)] += want;
    }
  };
  base::Millis now = 1000;
  auto run = [&](base::Millis span) {
    for (base::Millis end = now + span; now < end; now += 400) {
      for (size_t i = 0; i < nodes.size(); ++i) {
        nodes[i].load->Tick(now);
        size_t first = random.Below(8) == 0 ? 0 : zone_of(i) * kProxies;
        size_t peer = first + random.Below(first == 0 && zone_of(i) != 0 ? nodes.size() : kProxies);
        if (peer == i) continue;
        LoadReport there = nodes[i].load->MakeReport(now, kProxies);
        LoadReport back = nodes[peer].load->MakeReport(now, kProxies);
        if (random.Below(25) > 0) nodes[peer].load->MergeReport(now, there);
        if (random.Below(25) > 0) nodes[i].load->MergeReport(now, back);
      }
    }
  };
  auto check = [&](const char* when) {
    for (size_t i = 0; i < nodes.size(); ++i) {
      for (size_t zone = 0; zone < kZones; ++zone) {
        double seen = nodes[i].load->AttemptsInFlight(now, NameKey(name(zone)), service, kProxies);
        EXPECT_NEAR(seen, truth[zone], truth[zone] * 0.3 + 2)
            << when << ": " << i << " of " << zone;
      }
    }
  };
  load(now, 1);
  run(8000);
  check("first");
  load(now, 3);
  for (size_t i = 0; i < nodes.size(); i += 9) {  // restarts, and loses its attempts in flight
    start(i);
    truth[zone_of(i)] -= nodes[i].in_flight;
    nodes[i].in_flight = 0;
  }
  run(8000);
  check("after the change");
  // The load of a zone without recent reports is unknown.
  EXPECT_LT(nodes[0].load->AttemptsInFlight(now + 6000, NameKey(name(1)), service, kProxies), 0);
}

// The load that a dead proxy reported remains in the estimates of its peers, and must decay.
TEST(LoadTracker, TheLoadOfADeadProxyDecays) {
  LoadTracker busy("here"), idle("here");
  uint32_t service = NameKey("orders");
  base::Millis now = 1000;
  for (int i = 0; i < 10; ++i) busy.Begin(now, service);
  for (int i = 0; i < 60; ++i, now += 400) {
    busy.Tick(now);
    idle.Tick(now);
    LoadReport there = busy.MakeReport(now, 2), back = idle.MakeReport(now, 2);
    idle.MergeReport(now, there);
    busy.MergeReport(now, back);
  }
  EXPECT_NEAR(idle.AttemptsInFlight(now, NameKey("here"), service, 2), 10, 1.5);
  for (int i = 0; i < 60; ++i, now += 400) idle.Tick(now);
  EXPECT_LT(idle.AttemptsInFlight(now, NameKey("here"), service, 1), 0.1);
}

TEST(LoadTracker, IgnoresNegativeLoadsAndOversizedReports) {
  LoadTracker load("here");
  LoadReport report{{NameKey("there"), 0, 10, {{1, -5.0f}}},
                    {NameKey("here"), 0, 10, {{1, -5.0f}}}};
  load.MergeReport(1000, report);
  EXPECT_EQ(load.AttemptsInFlight(1000, NameKey("there"), 1, 10), 0);
  EXPECT_EQ(load.AttemptsInFlight(1000, NameKey("here"), 1, 10), 0);
  load.MergeReport(1000, LoadReport(1000, ZoneLoad{5, 0, 10, {{1, 9.0f}}}));
  EXPECT_LT(load.AttemptsInFlight(1000, 5, 1, 10), 0);
}

}  // namespace
}  // namespace elderkeel::load
