// Long-running model checker: explores the states of a scenario breadth-first up to a depth, or by
// random walks with --random, for --seconds per scenario at most (default: 60). Not part of CI;
// docs/consensus.md lists the results. Exits with 1 if an invariant was violated, and with 2 on an
// unknown scenario.
//
//   model_check SCENARIO|all [--depth N] [--seconds S] [--random SEED] [--members N] [--spares N]
//              [--tolerance N] [--past-refusal 1] [--budget STEP=N,STEP=N] [--ignore
//              INVARIANT,INVARIANT]

#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "consensus/model_scenarios.h"

namespace elderkeel::model {
namespace {

// The comma-separated parts of the text.
std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

int Main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "model_check SCENARIO|all [options]; scenarios:");
    for (const Scenario& s : Scenarios()) std::fprintf(stderr, " %s", s.name.c_str());
    std::fprintf(stderr, "\n");
    return 2;
  }
  std::string name = argv[1];
  int depth = 0, faults = 0, scenarios_run = 0;
  double seconds = 60;
  uint64_t seed = 0;
  for (const Scenario& given : Scenarios()) {
    if (name != "all" && name != given.name) continue;
    ++scenarios_run;
    Scenario s = given;
    for (int k = 2; k + 1 < argc; k += 2) {
      std::string option = argv[k], value = argv[k + 1];
      if (option == "--depth") depth = std::atoi(value.c_str());
      if (option == "--seconds") seconds = std::atof(value.c_str());
      if (option == "--random") seed = std::strtoull(value.c_str(), nullptr, 10);
      if (option == "--members") s.options.initial_voters = std::atoi(value.c_str());
      if (option == "--spares") s.options.spares = std::atoi(value.c_str());
      if (option == "--tolerance")
        s.options.tolerance.machines = std::strtoul(value.c_str(), 0, 10);
      if (option == "--past-refusal") s.options.writes_after_failure = value == "1";
      if (option == "--ignore") {
        for (const std::string& part : Split(value)) s.options.ignored_invariants.insert(part);
      }
      if (option != "--budget") continue;
      for (const std::string& part : Split(value)) {
        size_t equals = part.find('=');
        for (size_t kind = 0; equals != std::string::npos && kind < kStepKinds; ++kind) {
          if (part.substr(0, equals) != kStepNames[kind]) continue;
          s.budget[kind] = std::atoi(part.c_str() + equals + 1);
        }
      }
    }
    Script script(s.options);
    s.setup(&script);
    Result result = seed ? RandomWalk(script, s.budget, depth ? depth : 60, seed, seconds)
                         : Search(script, s.budget, depth ? depth : s.depth, SIZE_MAX, seconds);
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::printf("%s: %s memory_mb=%ld\n", s.name.c_str(), result.Summary().c_str(),
                usage.ru_maxrss / 1024);
    std::fflush(stdout);
    if (!result.fault.empty()) ++faults;
  }
  return scenarios_run == 0 ? 2 : faults > 0 ? 1 : 0;
}

}  // namespace
}  // namespace elderkeel::model

int main(int argc, char** argv) { return elderkeel::model::Main(argc, argv); }
