#include <gtest/gtest.h>

#include <cstdlib>

#include "configuration/patch.h"
#include "simulation/simulated_operators.h"

namespace elderkeel::simulation {
namespace {

using linearizability::ConfigurationModel;
using linearizability::kNever;
using linearizability::RolloutModel;
using linearizability::Search;
using linearizability::ZoneModel;
using Kind = Operation::Kind;

// --- tests of the checker ---

Operation Op(Kind kind, int order, uint64_t begin, uint64_t end, int status, std::string text = "",
             int64_t if_match = 0, int64_t revision = 0) {
  return {kind, "", order, if_match, revision, std::move(text), begin, end, status};
}
Operation Put(int order, int64_t if_match, int64_t revision, uint64_t begin, uint64_t end,
              int status) {
  return Op(Kind::kPut, order, begin, end, status, "d" + std::to_string(order), if_match, revision);
}
Operation Get(uint64_t begin, uint64_t end, const std::string& text) {
  return Op(Kind::kGet, 0, begin, end, text.empty() ? 404 : 200, text);
}

// Guards against a checker that accepts an impossible history of the configuration, such as a stale
// read, or rejects a possible one.
TEST(Linearizability, DistinguishesHistoriesOfAConfiguration) {
  struct Case {
    const char* name;
    std::vector<Operation> history;
    bool matches;
  } cases[] = {
      {"in turn", {Put(1, 0, 1, 1, 2, 200), Get(3, 4, "d1"), Put(2, 1, 2, 5, 6, 200)}, true},
      {"an old read", {Put(1, 0, 1, 1, 2, 200), Get(3, 4, "")}, false},
      {"an old read at the same time", {Put(1, 0, 1, 1, 4, 200), Get(2, 3, "")}, true},
      {"back and forth", {Put(1, 0, 1, 1, 8, 200), Get(2, 3, "d1"), Get(4, 5, "")}, false},
      {"two on one version", {Put(1, 0, 1, 1, 4, 200), Put(2, 0, 1, 2, 5, 200)}, false},
      {"one of two", {Put(1, 0, 1, 1, 4, 200), Put(2, 0, 1, 2, 5, 412)}, true},
      {"refused before anything came", {Put(1, 0, 1, 1, 2, 412), Put(2, 0, 1, 3, 4, 200)}, false},
      {"sent again",
       {Put(1, 0, 1, 1, 2, 200), Put(2, 1, 2, 3, 4, 200), Put(1, 0, 1, 5, 6, 200)},
       true},
      {"sent again and refused", {Put(1, 0, 1, 1, 2, 200), Put(1, 0, 1, 3, 4, 412)}, false},
      {"without an answer, in effect later",
       {Put(1, 0, 1, 1, kNever, 0), Get(2, 3, ""), Get(4, 5, "d1")},
       true},
      {"without an answer, never in effect",
       {Put(1, 0, 1, 1, kNever, 0), Put(2, 0, 1, 2, 3, 200)},
       true},
      {"without an answer, in effect and lost",
       {Put(1, 0, 1, 1, kNever, 0), Get(2, 3, "d1"), Get(4, 5, "")},
       false},
      {"without an answer, then refused though in effect",
       {Put(1, 0, 1, 1, kNever, 0), Get(2, 3, "d1"), Put(1, 0, 1, 4, 5, 412)},
       false},
      {"invalid", {Put(1, 0, 1, 1, 2, 400)}, false},
  };
  for (const Case& c : cases) {
    Search<ConfigurationModel> search(c.history);
    EXPECT_EQ(search.Linearizable(), c.matches) << c.name;
    EXPECT_EQ(search.StuckCall() != nullptr, !c.matches) << c.name;
  }
}

// The same for zone drains and roll-outs, where an order that is sent again must not take effect
// twice.
TEST(Linearizability, DistinguishesHistoriesOfOrders) {
  auto drain = [](int order, uint64_t begin, uint64_t end, int status) {
    return Op(Kind::kDrainZone, order, begin, end, status);
  };
  auto undrain = [](int order, uint64_t begin, uint64_t end, int status) {
    return Op(Kind::kUndrainZone, order, begin, end, status);
  };
  auto read = [](uint64_t begin, uint64_t end, bool drained) {
    return Op(Kind::kReadZone, 0, begin, end, 200, drained ? "evacuated" : "not");
  };
  struct Case {
    const char* name;
    std::vector<Operation> history;
    bool matches;
  } zones[] = {
      {"in turn",
       {drain(1, 1, 2, 200), read(3, 4, true), undrain(2, 5, 6, 200), read(7, 8, false)},
       true},
      {"lost", {drain(1, 1, 2, 200), read(3, 4, false)}, false},
      {"without an answer", {drain(1, 1, kNever, 0), read(2, 3, false), read(4, 5, true)}, true},
      {"a second effect", {drain(1, 1, 2, 200), undrain(2, 3, 4, 200), read(5, 6, true)}, false},
      {"a copy without an answer",
       {drain(1, 1, 2, 200), drain(1, 1, kNever, 0), undrain(2, 3, 4, 200), read(5, 6, true)},
       false},
  };
  for (const Case& c : zones) {
    EXPECT_EQ(Search<ZoneModel>(c.history).Linearizable(), c.matches) << c.name;
  }
  auto order = [](int order, uint64_t begin, uint64_t end, int status) {
    return Op(Kind::kOrder, order, begin, end, status, "v" + std::to_string(order));
  };
  auto recorded = [](uint64_t begin, uint64_t end, const std::string& text) {
    return Op(Kind::kReadOrder, 0, begin, end, text.empty() ? 404 : 200, text);
  };
  Case rollouts[] = {
      {"in turn",
       {order(1, 1, 2, 200), recorded(3, 4, "v1 in_progress"), recorded(5, 6, "v1 ended"),
        order(2, 7, 8, 200), recorded(9, 10, "v2 in_progress")},
       true},
      {"one at a time",
       {order(1, 1, 2, 200), order(2, 3, 4, 409), recorded(5, 6, "v1 ended")},
       true},
      {"409 after its end",
       {order(1, 1, 2, 200), recorded(3, 4, "v1 ended"), order(2, 5, 6, 409)},
       false},
      {"begun anew",
       {order(1, 1, 2, 200), recorded(3, 4, "v1 ended"), recorded(5, 6, "v1 in_progress")},
       false},
      {"sent again after its end",
       {order(1, 1, 2, 200), recorded(3, 4, "v1 ended"), order(1, 5, 6, 200),
        recorded(7, 8, "v1 ended")},
       true},
      {"a late copy after another",
       {order(1, 1, 2, 200), order(2, 3, 4, 200), order(1, 3, kNever, 0),
        recorded(5, 6, "v1 in_progress")},
       false},
      {"forgotten", {order(1, 1, 2, 200), recorded(3, 4, "")}, false},
  };
  for (const Case& c : rollouts) {
    EXPECT_EQ(Search<RolloutModel>(c.history).Linearizable(), c.matches) << c.name;
  }
}

// --- histories of the simulated cluster ---

// Totals over all runs. The suite prints them at its end, so that a passing run shows how much it
// checked.
struct Totals {
  size_t histories = 0, calls = 0, without_answer = 0, refused = 0, states = 0;
};
Totals& totals() {
  static Totals all;
  return all;
}

// Checks the finished calls of one object against its model; prints the history on a failure.
template <class Model>
void Check(const Operators& operators, const std::string& object, uint64_t seed) {
  std::vector<Operation> history = operators.HistoryOf(object);
  Search<Model> search(history);
  bool matches = search.Linearizable();
  totals().states += search.states();
  if (matches) return;
  std::string recorded;
  for (const Operation& o : history) {
    if (search.StuckCall() && o.begin > search.StuckCall()->end) continue;
    recorded +=
        "\n  kind " + std::to_string(static_cast<int>(o.kind)) + " order " +
        std::to_string(o.order) + " if-match " + std::to_string(o.if_match) + " revision " +
        std::to_string(o.revision) + " status " + std::to_string(o.status) + " from " +
        std::to_string(o.begin) + " to " + (o.has_answer() ? std::to_string(o.end) : "never") +
        (search.StuckCall() && o.begin == search.StuckCall()->begin ? "  <- can't be placed" : "") +
        "  " + o.text.substr(0, 120);
  }
  size_t from = recorded.size() > 6000 ? recorded.size() - 6000 : 0;
  ADD_FAILURE() << "seed " << seed << ": " << (object.empty() ? "configuration" : object)
                << " is not linearizable" << recorded.substr(from);
}

// Runs operators against a cluster with random faults, then checks the history of each object.
void RunAndCheck(uint64_t seed, int controllers) {
  ConfigurationModel::patch = [](const std::string& text, const std::string& body) {
    return configuration::ApplyPatch(text, body).value_or("");
  };
  SimulatedCluster::Options options;
  options.seed = seed;
  options.controllers = controllers;
  options.proxies = 1;
  options.regions = {{"a", "r"}, {"b", "r"}, {"c", "r"}};
  SimulatedCluster world(options);
  world.Run(2000);
  Operators operators(&world, {}, seed + 1);
  base::Random& random = world.random();
  Millis wiped_at = -100000;
  for (int round = 0; round < 40 && world.fault.empty(); ++round) {
    size_t i = random.Below(static_cast<uint64_t>(controllers));
    if (int leader = world.leader(); leader >= 0 && random.Below(2))
      i = static_cast<size_t>(leader);
    switch (random.Below(11)) {
      case 0:
        world.Isolate(i, true);
        break;
      case 1:
        world.Crash(i);
        break;
      case 2:
        world.LosePower(i);
        break;
      case 3:
        world.Freeze(i, true);
        break;
      case 4:
        world.node(i).disk_hangs_until = world.now + static_cast<Millis>(random.Below(3000));
        break;
      case 5:
        world.Leave(i);
        break;
      case 6:
        // At most one disk may be lost until the cluster has admitted the replacement as a voter.
        if (world.now - wiped_at < 15000 || !world.Converged().empty()) break;
        wiped_at = world.now;
        world.Wipe(i);
        world.Run(500);
        world.Start(i);
        world.Run(6000);
        break;
      case 7:
      case 8: {
        // The leader crashes right after an acknowledgement, before the followers learn that the
        // entry is committed.
        size_t before = operators.acknowledged();
        for (int k = 0; k < 200 && operators.acknowledged() == before; ++k) world.Run(10);
        if (world.leader() >= 0) world.Crash(static_cast<size_t>(world.leader()));
        break;
      }
      default:
        world.HealAll();
    }
    world.Run(200 + static_cast<Millis>(random.Below(1500)));
    if (random.Below(3) == 0) {
      world.HealAll();
      world.Run(1000 + static_cast<Millis>(random.Below(2500)));
    }
  }
  ASSERT_EQ(world.fault, "") << "seed " << seed;
  operators.Stop();
  world.HealAll();
  world.Run(16000);
  operators.ReadAll();
  for (int k = 0; k < 60 && !operators.Idle(); ++k) world.Run(500);
  ASSERT_EQ(world.fault, "") << "seed " << seed;
  Check<ConfigurationModel>(operators, "", seed);
  for (const char* zone : Operators::kZones) Check<ZoneModel>(operators, zone, seed);
  for (const char* service : Operators::kServices) Check<RolloutModel>(operators, service, seed);
  ++totals().histories;
  size_t accepted = 0;
  for (const Operation& o : operators.history()) {
    ++totals().calls;
    totals().without_answer += !o.has_answer();
    totals().refused += o.status == 412 || o.status == 409;
    accepted += o.kind != Kind::kGet && o.status == 200;
  }
  EXPECT_GT(accepted, 20u) << "seed " << seed;
}

// Returns the number of seed groups; ELDERKEEL_SEED_GROUPS=100 runs many more than the default.
int SeedGroups() {
  const char* text = std::getenv("ELDERKEEL_SEED_GROUPS");
  return text ? std::max(1, std::atoi(text)) : 2;
}

// Guards against lost, doubled or reordered effects of operator calls while controllers crash, lose
// power or their disk, hang, freeze and are cut off.
class Histories : public ::testing::TestWithParam<int> {
 protected:
  static void TearDownTestSuite() {
    const Totals& p = totals();
    std::printf("histories %zu, calls %zu, without an answer %zu, refused %zu, states %zu\n",
                p.histories, p.calls, p.without_answer, p.refused, p.states);
  }
};
TEST_P(Histories, OfThreeControllersAreLinearizable) {
  for (int k = 0; k < 8; ++k) RunAndCheck(static_cast<uint64_t>(GetParam() * 100 + k), 3);
}
TEST_P(Histories, OfFiveControllersAreLinearizable) {
  for (int k = 0; k < 4; ++k) RunAndCheck(static_cast<uint64_t>(GetParam() * 100 + 50 + k), 5);
}
INSTANTIATE_TEST_SUITE_P(Simulation, Histories, ::testing::Range(1, 1 + SeedGroups()));

}  // namespace
}  // namespace elderkeel::simulation
