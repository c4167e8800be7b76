// The configurations that proxies serve during racing, repeated and invalid changes and during
// faults: they never revert, are always committed ones, and without faults are never older than the
// bound.
#include "dissemination/served_history.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "simulation/simulation.h"

namespace elderkeel::simulation {
namespace {

constexpr Millis kBoundMs = 1500;
constexpr Millis kContactMs = 4000;

// Guards against a checker that misses a violation or reports a correct history, which would make
// the tests below meaningless.
TEST(ServedHistory, ReportsEachKindOfViolation) {
  struct Step {
    Millis now;
    int64_t committed;     // 0 for none
    int64_t acknowledged;  // 0 for none
    int64_t served;        // -1 for none
    uint64_t digest;
    uint64_t boot_id;
  };
  struct Case {
    const char* name;
    std::vector<Step> steps;
    const char* fault;
  } cases[] = {
      {"in order", {{0, 1, 1, 1, 11, 1}, {100, 2, 2, 1, 11, 1}, {1600, 0, 0, 2, 12, 1}}, ""},
      {"older after a restart",
       {{0, 1, 0, 1, 11, 1}, {10, 2, 0, 2, 12, 1}, {20, 0, 0, 1, 11, 2}},
       ""},
      {"reverted",
       {{0, 1, 0, 1, 11, 1}, {10, 2, 0, 2, 12, 1}, {20, 0, 0, 1, 11, 1}},
       "n reverted to revision 1"},
      {"not committed", {{0, 1, 0, 3, 13, 1}}, "n serves a revision that was not committed: 3"},
      {"other content",
       {{0, 1, 0, 1, 12, 1}},
       "n serves other content than was committed as revision 1"},
      {"too stale",
       {{0, 1, 1, 1, 11, 1}, {100, 2, 2, 1, 11, 1}, {1700, 0, 0, 1, 11, 1}},
       "n is staler than the bound allows, at revision 1"},
      {"invalid", {{0, 7, 0, 7, 17, 1}}, "n serves the invalid revision 7"},
  };
  for (const Case& c : cases) {
    ServedHistory history(kBoundMs);
    history.Invalid(7);
    for (const Step& step : c.steps) {
      if (step.committed) {
        history.Committed(step.committed, static_cast<uint64_t>(step.committed) + 10);
      }
      if (step.acknowledged) history.Acknowledged(step.now, step.acknowledged);
      if (step.served >= 0) {
        history.Served(step.now, "n", step.boot_id, step.served, step.digest, true);
      }
    }
    EXPECT_EQ(history.fault(), c.fault) << c.name;
  }
}

// Sends changes to a simulated cluster during four rounds, each of random faults and then a period
// without faults.
class Scenario {
 public:
  Scenario(uint64_t seed, int routes, Millis between_changes)
      : world_(OptionsOf(seed, routes)),
        history_(kBoundMs),
        random_(seed * 31),
        between_changes_(between_changes) {
    world_.hooks.applied = [this](size_t i, const consensus::Entry&) {
      const configuration::ConfigurationState& state = world_.node(i).state.configuration;
      if (!state.empty()) history_.Committed(state.revision(), base::Hash(state.text()));
    };
  }

  // Returns the first violation; empty if there is none.
  std::string RunRounds() {
    Run(3000, false);
    world_.Change();
    Run(1000, false);
    for (int round = 0; round < 4; ++round) {
      for (int i = 0; i < 3; ++i) InjectFault();
      Run(3000 + static_cast<Millis>(random_.Below(4000)), false);
      world_.HealAll();
      Run(kContactMs, false);
      Run(3000, true);
    }
    return history_.fault() + world_.fault;
  }
  int64_t acknowledged() const { return world_.acknowledged(); }

 private:
  static SimulatedCluster::Options OptionsOf(uint64_t seed, int routes) {
    SimulatedCluster::Options options;
    options.controllers = 4;
    options.zones = 4;
    options.proxies = 8;
    options.routes = routes;
    options.seed = seed;
    options.tolerance.machines = 1;
    return options;
  }

  void InjectFault() {
    size_t controller = random_.Below(4), proxy = 4 + random_.Below(8), any = random_.Below(12);
    switch (random_.Below(8)) {
      case 0:
        return world_.Isolate(any, true);
      case 1:
        return world_.Freeze(any, true);
      case 2:
        return world_.LosePower(controller);
      case 3:
        return world_.Crash(proxy);
      case 4:
        // One lost disk in a scenario: more than one at a time, including the time that the
        // replacement takes, is beyond what the cluster tolerates.
        if (!std::exchange(wiped_, true)) world_.Wipe(controller);
        return;
      case 5:
        for (size_t other = 0; other < 4; ++other) {
          if (other != controller) world_.CutOneWay(controller, other, true);
        }
        return;
      case 6:
        return world_.LoseDatagrams(any, true);
      default:
        world_.node(controller).disk_hangs_until = world_.now + 3000;
    }
  }

  void Run(Millis span, bool bounded) {
    for (Millis end = world_.now + span;
         world_.now < end && history_.fault().empty() && world_.fault.empty();) {
      if (world_.now >= change_at_) Change();
      world_.Run(10);
      if (world_.acknowledged() > 0) history_.Acknowledged(world_.now, world_.acknowledged());
      for (size_t i = 4; i < world_.size(); ++i) CheckProxy(i, bounded);
    }
  }

  void CheckProxy(size_t i, bool bounded) {
    SimulatedCluster::Node& node = world_.node(i);
    if (!node.up || node.frozen) return;
    int64_t revision = node.disseminator->revision();
    auto& [boot_id, seen, digest] = seen_[i];
    if (boot_id != node.boot_id || seen != revision) {
      boot_id = node.boot_id;
      seen = revision;
      digest = base::Hash(node.disseminator->configuration_text());
    }
    history_.Served(world_.now, node.address.ip, boot_id, revision, digest, bounded);
  }

  // Sends one more change and, at random, a concurrent change through any one controller, a
  // repeat of the previous change, or an invalid one.
  void Change() {
    change_at_ = world_.now + between_changes_;
    std::optional<configuration::Change> before = world_.last_change();
    world_.Change();
    size_t other = random_.Below(4);
    switch (random_.Below(6)) {
      case 0:
        world_.ChangeAt(other);
        return;
      case 1:
        if (before) world_.Submit(*before);
        return;
      case 2:
        if (world_.last_change()) SubmitInvalid(*world_.last_change());
        return;
      default:
        return;
    }
  }
  void SubmitInvalid(const configuration::Change& change) {
    configuration::Change invalid;
    invalid.if_match = change.if_match;
    int64_t revision = 1000000 + ++invalid_;
    invalid.body =
        R"({"revision":)" + std::to_string(revision) +
        R"(,"route-list":[{"label":"x","host":"h","path-prefix":"/x/",)" +
        R"("variant":"idempotent","timeout-ms":5,"target":"nobody"}],"service-list":[]})";
    history_.Invalid(revision);
    world_.Submit(invalid);
  }

  SimulatedCluster world_;
  ServedHistory history_;
  base::Random random_;
  Millis between_changes_;
  Millis change_at_ = 4000;
  bool wiped_ = false;
  int64_t invalid_ = 0;
  std::map<size_t, std::tuple<uint64_t, int64_t, uint64_t>> seen_;  // boot ID, revision, digest
};

struct ScenarioCase {
  const char* name;
  int routes;
  Millis between_changes;
  uint64_t first_seed;
  uint64_t last_seed;
};

// Each case is a separate test, since together they exceed the time limit of one test.
class ServedHistoryScenarios : public ::testing::TestWithParam<ScenarioCase> {};

// Guards against a proxy that serves an outdated, uncommitted or invalid configuration because of a
// fault, a race between changes or a repeated change.
TEST_P(ServedHistoryScenarios, NoViolationDuringAndAfterFaults) {
  const ScenarioCase& param = GetParam();
  int64_t changes = 0;
  for (uint64_t seed = param.first_seed; seed <= param.last_seed; ++seed) {
    Scenario scenario(seed, param.routes, param.between_changes);
    EXPECT_EQ(scenario.RunRounds(), "") << "seed " << seed;
    changes += scenario.acknowledged();
  }
  EXPECT_GT(changes, 100);
}

INSTANTIATE_TEST_SUITE_P(Cases, ServedHistoryScenarios,
                         ::testing::Values(ScenarioCase{"small", 3, 350, 1, 6},
                                           ScenarioCase{"larger_than_unsolicited_limit", 120, 350,
                                                        1, 3},
                                           ScenarioCase{"a_change_each_50_ms_1", 20, 50, 1, 1},
                                           ScenarioCase{"a_change_each_50_ms_2", 20, 50, 2, 2},
                                           ScenarioCase{"a_change_each_50_ms_3", 20, 50, 3, 3},
                                           ScenarioCase{"a_change_each_50_ms_4", 20, 50, 4, 4},
                                           ScenarioCase{"complete_documents", 0, 200, 1, 4}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace elderkeel::simulation
