// Runs the at-most-once checker: clients, proxies and simulated servers on loopback with injected
// faults of every kind. It counts for each attempt id the executions, the responses, and the
// responses that state that the request was not executed. Exits with 1 if a request that may run
// only once ran twice, a client received a response that isn't its own, or a request was executed
// although its response stated otherwise. CI runs only a short version of it
// (at_most_once_world_test.cc). The program ends after the given runs.
//
//   at_most_once_run [SECONDS] [FIRST_SEED] [RUNS]

#include <cstdlib>

#include "forwarding/at_most_once_world.h"

int main(int argc, char** argv) {
  using namespace elderkeel;
  at_most_once::Options options;
  options.run_ms = (argc > 1 ? std::atoi(argv[1]) : 20) * 1000;
  options.seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  int runs = argc > 3 ? std::atoi(argv[3]) : 1;
  bool holds = true;
  for (int i = 0; i < runs; ++i, ++options.seed) {
    at_most_once::Report report = at_most_once::World(options).Run();
    std::printf("seed=%llu %s\n", static_cast<unsigned long long>(options.seed),
                report.Line().c_str());
    for (const std::string& what : report.first_violations) std::printf("  %s\n", what.c_str());
    std::fflush(stdout);
    holds = holds && report.Holds();
  }
  return holds ? 0 : 1;
}
