// Verifies that a code change preserves behavior: runs the seeded simulation with injected faults
// and prints, for each seed of each scenario, a hash over every message sent (time, sender,
// receiver, encoded bytes) and every effect of the state machines. Two builds with the same
// behavior print the same lines:
//
//   trace_digest > before.txt     (a build of the old code)
//   trace_digest > after.txt      (a build of the new code)
//   diff before.txt after.txt
//
//   trace_digest [FIRST_SEED] [SEEDS]     (default: 1 100)
//
// Uses one thread, because RapidJSON's compiled schemas may not be shared between threads. Several
// processes can run ranges of seeds in parallel. Not part of CI. The program ends after the last
// seed.

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "simulation/simulation.h"

namespace elderkeel::simulation {
namespace {

// A configuration of the simulation and the load of faults.
struct Scenario {
  const char* name;  // printed with each digest
  SimulatedCluster::Options options;
  Millis rollout_ms = 0;  // planned duration of the roll-out; 0 for none
  int rounds = 20;        // number of injected faults
};

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> scenarios;
  Scenario consensus{"consensus", {}, 0, 30};
  consensus.options.controllers = 5;
  consensus.options.proxies = 0;
  consensus.options.zones = 5;
  consensus.options.tolerance = {2, 0, 0};
  consensus.options.loss_percent = 8;
  scenarios.push_back(consensus);

  Scenario dissemination{"dissemination", {}, 0, 20};
  dissemination.options.proxies = 9;
  dissemination.options.routes = 40;
  dissemination.options.confirm = true;
  dissemination.options.regions = {{"a", "r"}, {"b", "r"}, {"c", "s"}};
  scenarios.push_back(dissemination);

  Scenario drains{"zone-drains", {}, 0, 20};
  drains.options.controllers = 4;
  drains.options.proxies = 6;
  scenarios.push_back(drains);

  Scenario rollout{"rollout", {}, 12000, 8};
  rollout.options.proxies = 6;
  rollout.options.requests = 1;
  rollout.options.new_fails = [](base::Random& random, Millis) { return random.Unit() < 0.004; };
  scenarios.push_back(rollout);

  Scenario failing{"failing-rollout", {}, 12000, 8};
  failing.options.proxies = 6;
  failing.options.requests = 1;
  failing.options.new_fails = [](base::Random& random, Millis) { return random.Unit() < 0.3; };
  scenarios.push_back(failing);
  return scenarios;
}

// Injects one random fault.
void Inject(SimulatedCluster* world, uint64_t controllers) {
  base::Random& random = world->random();
  size_t node = random.Below(world->size());
  size_t controller = random.Below(controllers);
  switch (random.Below(12)) {
    case 0:
      return world->Isolate(node, true);
    case 1:
      return world->Isolate(node, false);
    case 2:
      return world->LosePower(node);
    case 3:
    case 4:
      return world->Start(node);
    case 5:
      return world->Freeze(node, random.Below(2) == 0);
    case 6:
      world->node(controller).disk_hangs_until =
          world->now + static_cast<Millis>(random.Below(2500));
      return;
    case 7:
      return world->ChangeEndpoints();
    case 8:
      world->DrainZone(std::string(1, static_cast<char>('a' + random.Below(3))),
                       random.Below(2) == 0);
      return;
    case 9:
      return world->Leave(node);
    case 10:
      return world->LoseDatagrams(node, random.Below(2) == 0);
    default:
      return world->CutOneWay(node, controller, random.Below(2) == 0);
  }
}

// Runs the scenario with the seed and returns its line of output.
std::string Run(const Scenario& scenario, uint64_t seed) {
  SimulatedCluster::Options options = scenario.options;
  options.seed = seed;
  options.trace = true;
  SimulatedCluster world(options);
  base::Random& random = world.random();
  world.Run(2500);
  world.Change();
  world.Run(1000);
  if (scenario.rollout_ms > 0) world.OrderRollout(scenario.rollout_ms);
  for (int round = 0; round < scenario.rounds && world.fault.empty(); ++round) {
    Inject(&world, static_cast<uint64_t>(options.controllers));
    for (int k = 0; k < 2; ++k) {
      if (random.Below(2)) world.Change();
      world.Run(static_cast<Millis>(random.Below(400)));
    }
    if (random.Below(5) == 0) {
      world.HealAll();
      world.Run(1500);
    }
  }
  world.HealAll();
  world.Run(4000);
  char line[160];
  std::snprintf(line, sizeof line, "%s seed=%llu digest=%016llx messages=%llu acknowledged=%lld",
                scenario.name, static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(world.trace_digest()),
                static_cast<unsigned long long>(world.messages()),
                static_cast<long long>(world.acknowledged()));
  return line + (world.fault.empty() ? std::string() : " fault=\"" + world.fault + "\"");
}

int Main(int argc, char** argv) {
  uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  uint64_t seeds = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 100;
  for (const Scenario& scenario : Scenarios()) {
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
      std::printf("%s\n", Run(scenario, seed).c_str());
      std::fflush(stdout);
    }
  }
  return 0;
}

}  // namespace
}  // namespace elderkeel::simulation

int main(int argc, char** argv) { return elderkeel::simulation::Main(argc, argv); }
