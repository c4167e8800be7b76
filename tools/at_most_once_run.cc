// The at-most-once checker: clients, proxies and stand-in servers on loopback, with trouble of
// every kind, and counts for each attempt id of runs, answers and promises. Exits 1 if what may run
// once ran twice, a client got what isn't its answer, or a promise was broken. Not part of CI,
// which has a short run of the same (once_test.cc). It stops by itself.
//
//   at_most_once_run [SECONDS] [FIRST_SEED] [RUNS]

#include <cstdlib>

#include "forwarding/at_most_once_world.h"

int main(int argc, char** argv) {
  using namespace elderkeel;
  once::Options options;
  options.run_ms = (argc > 1 ? std::atoi(argv[1]) : 20) * 1000;
  options.seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  int runs = argc > 3 ? std::atoi(argv[3]) : 1;
  bool holds = true;
  for (int i = 0; i < runs; ++i, ++options.seed) {
    once::Report report = once::World(options).Run();
    std::printf("seed=%llu %s\n", static_cast<unsigned long long>(options.seed),
                report.Line().c_str());
    for (const std::string& what : report.first) std::printf("  %s\n", what.c_str());
    std::fflush(stdout);
    holds = holds && report.Holds();
  }
  return holds ? 0 : 1;
}
