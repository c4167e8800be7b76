// How long an acknowledged change takes to reach the last proxy while the controller of a zone is
// faulty. docs/dissemination.md derives the bound from timers. It holds for each change and each
// proxy that has a path to the other controllers, whichever single message or peer fails.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "simulation/simulation.h"

namespace elderkeel {
namespace {

using simulation::Address;
using simulation::Millis;
using simulation::SimulatedCluster;

constexpr Millis kBoundMs = 1500;    // half of the shortest time that a deployment allows
constexpr Millis kContactMs = 4000;  // after this time a fault has been detected
constexpr Millis kBetweenChanges = 350;
constexpr int kChanges = 24;
constexpr int kChangesWithManyProxies = 8;
constexpr Millis kPollMs = 500;  // between two reads of the simulated list

enum class Fault {
  kNone,
  kCrashed,
  kCut,          // from the other controllers
  kZoneOnly,     // cut from the other controllers and all nodes of other zones
  kInboundCut,   // no message of the other controllers reaches it
  kOutboundCut,  // no message that it sends reaches the other controllers
  kFrozen,
  kDiskHangs,
  kWiped,         // repeatedly, so that it is a learner most of the time
  kNoController,  // one zone has no controller
  kLeaderCut,
};

struct Case {
  const char* name;
  Fault fault;
};

const Case kCases[] = {
    {"none", Fault::kNone},
    {"crashed", Fault::kCrashed},
    {"cut", Fault::kCut},
    {"zone only", Fault::kZoneOnly},
    {"inbound cut", Fault::kInboundCut},
    {"outbound cut", Fault::kOutboundCut},
    {"frozen", Fault::kFrozen},
    {"disk hangs", Fault::kDiskHangs},
    {"wiped", Fault::kWiped},
    {"no controller", Fault::kNoController},
    {"leader cut", Fault::kLeaderCut},
};

// Measures, by kind of state, the time since the acknowledgement of the oldest change that a proxy
// still lacks, and keeps the maximum over all proxies.
class Staleness {
 public:
  explicit Staleness(SimulatedCluster* world) : world_(world) {}

  // Runs the world for `span`; if `measured`, checks every proxy after each step.
  void Run(Millis span, bool measured) {
    for (Millis end = world_->now + span; world_->now < end && world_->fault.empty();) {
      world_->Run(10);
      int64_t acknowledged = world_->acknowledged();
      if (changes_.empty() || changes_.back().first < acknowledged) {
        changes_.push_back({acknowledged, world_->now});
      }
      NoteDrains();
      if (measured) MeasureProxies();
    }
  }
  // Requests the drain of one more zone. No drain is reverted in these tests.
  void RequestDrain() {
    drains_.push_back({"drained-" + std::to_string(drains_.size()), -1});
    if (!world_->DrainZone(drains_.back().first, true)) drains_.pop_back();
  }
  void ChangeEndpoints() {
    world_->ChangeEndpoints();
    list_changed_at_ = world_->now;
  }
  Millis worst_change() const { return worst_change_; }
  Millis worst_drain() const { return worst_drain_; }
  Millis worst_list() const { return worst_list_; }
  const std::string& where() const { return where_; }

 private:
  void NoteDrains() {
    for (auto& [zone, at] : drains_) {
      if (at < 0 && world_->acknowledged_drain(zone)) at = world_->now;
    }
  }
  void MeasureProxies() {
    for (size_t i = 0; i < world_->size(); ++i) {
      SimulatedCluster::Node& node = world_->node(i);
      if (node.controller || !node.up || node.frozen) continue;
      auto lacks = std::upper_bound(
          changes_.begin(), changes_.end(), node.disseminator->revision(),
          [](int64_t revision, const auto& change) { return revision < change.first; });
      if (lacks != changes_.end() && world_->now - lacks->second > worst_change_) {
        worst_change_ = world_->now - lacks->second;
        where_ = node.address.ip + " of zone " + node.zone;
      }
      for (const auto& [zone, at] : drains_) {
        if (at < 0 || node.disseminator->drained_zones().IsDrained(zone)) continue;
        worst_drain_ = std::max(worst_drain_, world_->now - at);
      }
      if (list_changed_at_ >= 0 && !world_->HasCurrentEndpoints(i)) {
        worst_list_ = std::max(worst_list_, world_->now - list_changed_at_);
      }
    }
  }

  SimulatedCluster* world_;
  std::vector<std::pair<int64_t, Millis>> changes_;  // revision, when acknowledged
  // Zone, when its drain was acknowledged; -1 if it was not yet.
  std::vector<std::pair<std::string, Millis>> drains_;
  Millis list_changed_at_ = -1;
  Millis worst_change_ = 0, worst_drain_ = 0, worst_list_ = 0;
  std::string where_;
};

void InjectFault(SimulatedCluster* world, Fault fault, size_t victim, size_t controllers) {
  for (size_t other = 0; other < world->size(); ++other) {
    if (other == victim) continue;
    bool controller = other < controllers;
    bool other_zone = world->node(other).zone != world->node(victim).zone;
    switch (fault) {
      case Fault::kCut:
      case Fault::kLeaderCut:
        if (controller) world->Cut(victim, other, true);
        break;
      case Fault::kZoneOnly:
        if (controller || other_zone) world->Cut(victim, other, true);
        break;
      case Fault::kInboundCut:
        if (controller) world->CutOneWay(other, victim, true);
        break;
      case Fault::kOutboundCut:
        if (controller) world->CutOneWay(victim, other, true);
        break;
      default:
        break;
    }
  }
  if (fault == Fault::kCrashed) world->Crash(victim);
  if (fault == Fault::kFrozen) world->Freeze(victim, true);
  if (fault == Fault::kDiskHangs) world->node(victim).disk_hangs_until = INT64_MAX;
}

struct Worst {
  Millis change = 0, drain = 0, list = 0;
  std::string where;
  std::string fault;
};

// Runs, without measuring, until every node has a first configuration.
void AdoptFirstChange(SimulatedCluster* world, Staleness* staleness) {
  staleness->Run(3000, false);
  EXPECT_TRUE(world->Change());
  staleness->Run(2000, false);
}

// Returns the worst staleness of any proxy after the fault has lasted for kContactMs.
Worst Measure(Fault fault, int zones, int proxies_per_zone, int changes, uint64_t seed) {
  SimulatedCluster::Options options;
  options.zones = zones;
  options.controllers = fault == Fault::kNoController ? zones - 1 : zones;
  int without_controller = zones - options.controllers;
  options.proxies = zones * proxies_per_zone + without_controller;
  options.routes = 20;
  options.seed = seed;
  SimulatedCluster world(options);
  Staleness staleness(&world);
  AdoptFirstChange(&world, &staleness);
  size_t leader = static_cast<size_t>(std::max(0, world.leader()));
  size_t controllers = static_cast<size_t>(options.controllers);
  size_t victim = fault == Fault::kLeaderCut ? leader : (leader + 1) % controllers;
  InjectFault(&world, fault, victim, controllers);
  staleness.Run(kContactMs, false);
  for (int change = 0; change < changes; ++change) {
    if (fault == Fault::kWiped && change % 6 == 0) {
      world.Wipe(victim);
      world.Start(victim);
    }
    world.Change();
    if (change % 5 == 1) staleness.RequestDrain();
    if (change % 9 == 3) staleness.ChangeEndpoints();
    staleness.Run(kBetweenChanges, true);
  }
  staleness.Run(2 * kBoundMs, true);
  return {staleness.worst_change(), staleness.worst_drain(), staleness.worst_list(),
          staleness.where(), world.fault};
}

void ExpectBounded(int zones, int proxies_per_zone, uint64_t seeds, int changes = kChanges,
                   std::set<Fault> faults = {}) {
  for (const Case& c : kCases) {
    if (!faults.empty() && faults.count(c.fault) == 0) continue;
    Worst worst;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      SCOPED_TRACE(std::string(c.name) + ", " + std::to_string(zones) + " zones of " +
                   std::to_string(proxies_per_zone) + " proxies, seed " + std::to_string(seed));
      Worst found = Measure(c.fault, zones, proxies_per_zone, changes, seed);
      EXPECT_EQ(found.fault, "");
      EXPECT_LE(found.change, kBoundMs) << found.where;
      EXPECT_LE(found.drain, kBoundMs);
      // From when the platform's list changes; the reader reads it every kPollMs.
      EXPECT_LE(found.list, kBoundMs + kPollMs);
      worst.change = std::max(worst.change, found.change);
      worst.drain = std::max(worst.drain, found.drain);
      worst.list = std::max(worst.list, found.list);
    }
    printf("%d zones of %d proxies, %s: worst %d ms, drains %d, list %d\n", zones, proxies_per_zone,
           c.name, static_cast<int>(worst.change), static_cast<int>(worst.drain),
           static_cast<int>(worst.list));
  }
}

// The fault of one proxy in the zone whose controller is cut from the other controllers.
enum class ProxyFault { kThawed, kRejoined, kRestarted, kCongestedLink, kLostConnections };

struct ProxyFaultCase {
  const char* name;
  ProxyFault fault;
  bool lasts;  // whether the fault goes on during the measurement, or has ended before it
};

// Returns the worst staleness of any proxy. A fault that doesn't last ends kContactMs or more
// before the measurement, which leaves the proxy that time to catch up.
Millis MeasureProxyFault(const ProxyFaultCase& c, int routes, uint64_t seed) {
  SimulatedCluster::Options options;
  options.zones = options.controllers = 4;
  options.proxies = 8;
  options.routes = routes;
  options.seed = seed;
  SimulatedCluster world(options);
  Staleness staleness(&world);
  AdoptFirstChange(&world, &staleness);
  size_t victim = (static_cast<size_t>(std::max(0, world.leader())) + 1) % 4;
  size_t proxy = 4 + victim;  // one of the same zone
  InjectFault(&world, Fault::kCut, victim, 4);
  auto apply = [&](bool begin) {
    switch (c.fault) {
      case ProxyFault::kThawed:
        return world.Freeze(proxy, begin);
      case ProxyFault::kRejoined:
        return world.Isolate(proxy, begin);
      case ProxyFault::kRestarted:
        return begin ? world.Crash(proxy) : world.Start(proxy);
      case ProxyFault::kCongestedLink:
        return world.LoseDatagrams(proxy, begin);
      case ProxyFault::kLostConnections:
        // The connections to the controller that it asks first, and to one more.
        world.LoseConnection(victim, proxy, begin);
        return world.LoseConnection((victim + 1) % 4, proxy, begin);
    }
  };
  apply(true);
  for (int change = 0; change < 15; ++change) {
    world.Change();
    staleness.Run(kBetweenChanges, false);
  }
  if (!c.lasts) apply(false);
  for (int change = 0; change < 40; ++change) {
    world.Change();
    staleness.Run(kBetweenChanges, change > 11);
  }
  EXPECT_EQ(world.fault, "");
  return staleness.worst_change();
}

// Guards against a proxy staying stale beyond the bound after it resumes, rejoins or restarts, or
// while its datagrams or connections are lost.
TEST(Propagation, ReachesAProxyThatReturnsOrIsHardToReachWithinTheBound) {
  const ProxyFaultCase cases[] = {{"thawed", ProxyFault::kThawed, false},
                                  {"rejoined", ProxyFault::kRejoined, false},
                                  {"restarted", ProxyFault::kRestarted, false},
                                  {"congested link", ProxyFault::kCongestedLink, true},
                                  {"lost connections", ProxyFault::kLostConnections, true}};
  for (const ProxyFaultCase& c : cases) {
    // Few routes: small patches. Many: a document too large to be sent unsolicited to a proxy that
    // missed patches.
    for (int routes : {3, 120}) {
      Millis worst = 0;
      for (uint64_t seed = 1; seed <= 3; ++seed) {
        SCOPED_TRACE(std::string(c.name) + ", " + std::to_string(routes) + " routes, seed " +
                     std::to_string(seed));
        Millis found = MeasureProxyFault(c, routes, seed);
        EXPECT_LE(found, kBoundMs);
        worst = std::max(worst, found);
      }
      printf("%s, %d routes: worst %d ms\n", c.name, routes, static_cast<int>(worst));
    }
  }
}

// Guard against updates that depend on the faulty controller, or on one message or peer: the number
// of proxies in a zone determines who else can forward an update.
TEST(Propagation, ReachesZonesOfOneProxyWithinTheBound) { ExpectBounded(4, 1, 4); }
TEST(Propagation, ReachesZonesOfThreeProxiesWithinTheBound) { ExpectBounded(4, 3, 3); }
TEST(Propagation, ReachesZonesOfEightProxiesWithinTheBound) { ExpectBounded(3, 8, 1); }
TEST(Propagation, ReachesZonesOfSixtyProxiesWithinTheBound) {
  ExpectBounded(3, 60, 1, kChangesWithManyProxies,
                {Fault::kCut, Fault::kZoneOnly, Fault::kLeaderCut});
}

}  // namespace
}  // namespace elderkeel
