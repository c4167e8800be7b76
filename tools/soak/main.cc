// soak: runs real controller and proxy processes with simulated clients, servers, platform and
// operator, injects the operations and faults of a seeded schedule, and checks the rules over the
// recorded events. See docs/soak.md.

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <sys/file.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "base/random.h"
#include "soak/checkers.h"
#include "soak/fleet.h"
#include "soak/report.h"
#include "soak/schedule.h"
#include "soak/simulated_platform.h"
#include "soak/traffic.h"

namespace elderkeel::soak {
namespace {

// Exit codes; the footer of --help describes them.
constexpr int kHeld = 0, kViolated = 1, kCouldNotRun = 2, kInconclusive = 3;
constexpr base::Millis kReadyTimeoutMs = 30000;  // for the fleet to become ready
constexpr base::Millis kSettleMs = 4500;         // between readiness and the start of the traffic
constexpr base::Millis kPollMs = 10;
constexpr base::Millis kProgressMs = 1000;
constexpr int kMaxConcurrentRuns = 200;
// Independent of TMPDIR, so that all soaks on the machine use the same lock files.
constexpr const char* kLockFolder = "/tmp";

// Set by SIGINT and SIGTERM: the run ends early, stops its processes, and reports the events so
// far.
volatile std::sig_atomic_t interrupted = 0;

void Sleep(base::Millis ms) { usleep(static_cast<useconds_t>(ms * 1000)); }

// Carries out one event of the schedule.
void ApplyEvent(const Event& event, Fleet* fleet, SimulatedPlatform* world) {
  switch (event.kind) {
    case Event::Kind::kTerminate:
      fleet->Terminate(event.target);
      break;
    case Event::Kind::kTerminateZone:
      for (const std::string& proxy : fleet->Proxies()) {
        if (Fleet::ZoneOf(proxy) == event.target) fleet->Terminate(proxy);
      }
      break;
    case Event::Kind::kSignalAgain:
      fleet->SignalAgain(event.target);
      break;
    case Event::Kind::kKill:
      fleet->Kill(event.target);
      break;
    case Event::Kind::kFreeze:
      fleet->Freeze(event.target, event.for_ms);
      break;
    case Event::Kind::kReload:
      fleet->Reload(event.target);
      break;
    case Event::Kind::kDrain:
      world->DrainOne(Fleet::ZoneOf(event.target));
      break;
    case Event::Kind::kSlowStartZone:
      world->ReplaceZoneWithSlowStart(event.target);
      break;
    case Event::Kind::kCutPlatform:
      world->CutPlatform(true);
      break;
  }
}

// Carries out the schedule and returns after `options.seconds`, or earlier on an interrupt.
void RunSchedule(const Options& options, const std::vector<Event>& schedule, Fleet* fleet,
                 SimulatedPlatform* world, const Record& record) {
  base::Random random(options.seed);
  base::Millis begin = base::SteadyMillis(), heal_at = -1, next_progress = kProgressMs;
  auto next = schedule.begin();
  for (;;) {
    base::Millis elapsed = base::SteadyMillis() - begin;
    if (elapsed >= options.seconds * 1000 || interrupted) break;
    for (; next != schedule.end() && next->at <= elapsed; ++next) {
      ApplyEvent(*next, fleet, world);
      if (next->kind != Event::Kind::kCutPlatform) continue;
      heal_at = next->at + next->for_ms;
      // The controllers can't read the list now, so no proxy learns of the change before it reads
      // the list itself.
      if (options.unsound) world->ReuseAddress(random.Below(2) == 0 ? "z0" : "z1");
    }
    if (heal_at >= 0 && elapsed >= heal_at) {
      // A server starts to drain at the moment at which the controllers reach the platform again.
      world->CutPlatform(false);
      world->DrainOne("z0");
      heal_at = -1;
    }
    fleet->Poll();
    if (elapsed >= next_progress) {
      spdlog::info("second={} requests={} events={}", elapsed / kProgressMs, record.requests(),
                   next - schedule.begin());
      next_progress += kProgressMs;
    }
    Sleep(kPollMs);
  }
  if (heal_at >= 0) world->CutPlatform(false);
}

// Waits until the fleet has a configuration and all proxies are ready. False on a time-out or an
// interrupt.
bool WaitUntilReady(const Operator& config_operator, const ReadinessProber& readiness,
                    Fleet* fleet) {
  base::Millis deadline = base::SteadyMillis() + kReadyTimeoutMs;
  while (!config_operator.configured() || !readiness.AllReady()) {
    if (base::SteadyMillis() > deadline || interrupted) return false;
    fleet->Poll();
    Sleep(kPollMs);
  }
  return true;
}

// Reserves a run number that no other soak on this machine uses, by a file lock that lasts until
// the process exits. -1 if all numbers are in use.
int ReserveRun() {
  for (int run = 1; run <= kMaxConcurrentRuns; ++run) {
    std::string path =
        std::string(kLockFolder) + "/elderkeel-soak-run-" + std::to_string(run) + ".lock";
    int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0) return run;
    if (fd >= 0) close(fd);
  }
  return -1;
}

// Runs the fleet with its traffic and records the events. False if no run number is free or the
// fleet doesn't become ready.
bool RunFleet(const Options& options, const std::vector<Event>& schedule, const std::string& folder,
              const std::string& logs, Record* record) {
  int run = ReserveRun();
  if (run < 0) return false;
  Addresses addresses(run);
  SimulatedPlatform world(options, addresses, record);
  world.Start();
  Fleet fleet(options, addresses, folder, logs, record);
  fleet.MonitorOwnThread(world.thread_id());
  StallDetector stalls;
  fleet.StartAll();
  ReadinessProber readiness(options, addresses);
  Operator config_operator(options, addresses, record);
  if (!WaitUntilReady(config_operator, readiness, &fleet)) return false;
  Sleep(kSettleMs);
  RecordData& data = record->data();
  data.began_at = base::SteadyMillis();
  {
    Clients clients(options, addresses, readiness, record);
    RunSchedule(options, schedule, &fleet, &world, *record);
    clients.Stop();
    while (!clients.ended()) {
      fleet.Poll();
      Sleep(kPollMs);
    }
  }
  WaitUntilReady(config_operator, readiness, &fleet);
  data.revision_at_end = config_operator.ReadBack();
  for (const Stall& stall : stalls.stalls()) record->Add(stall);
  data.ended_at = base::SteadyMillis();
  fleet.StopAll();
  return true;
}

// Returns why the soak can't run with these options; empty if it can.
std::string FindOptionError(const Options& options) {
  for (const char* program : {"/proxy", "/controller"}) {
    std::string path = options.programs + program;
    if (access(path.c_str(), X_OK) != 0) return path + " can't be executed";
  }
  if (!options.logs.empty() && access(options.logs.c_str(), W_OK) != 0)
    return options.logs + " can't be written";
  if (options.report.empty()) return "";
  std::ofstream report(options.report, std::ios::app);
  return report ? "" : options.report + " can't be written";
}

// Runs the soak and reports its result. Returns the exit code.
int Soak(const Options& options, const std::string& command) {
  if (std::string reason = FindOptionError(options); !reason.empty()) {
    spdlog::error("step=options reason=\"{}\"", reason);
    return kCouldNotRun;
  }
  for (int signal : {SIGINT, SIGTERM}) std::signal(signal, [](int) { interrupted = 1; });
  std::string name = "elderkeel-soak-" + std::to_string(base::RandomSeed());
  std::filesystem::path folder = std::filesystem::temp_directory_path() / name;
  std::filesystem::path logs_parent = options.logs;
  if (options.logs.empty()) logs_parent = std::filesystem::temp_directory_path();
  std::filesystem::path logs = logs_parent / (name + "-logs");
  std::filesystem::create_directories(folder);
  std::filesystem::create_directories(logs);
  Record record;
  std::vector<Event> schedule = MakeSchedule(options);
  if (!RunFleet(options, schedule, folder.string(), logs.string(), &record)) {
    spdlog::error("step=start reason=\"the fleet did not become ready\" logs={}", logs.string());
    return kCouldNotRun;
  }
  const RecordData& data = record.data();
  std::vector<Violation> violations = CheckAll(data, Bounds());
  double judged = JudgedShare(data, static_cast<size_t>(options.controllers + options.proxies));
  PrintTable(data, judged, violations);
  if (!options.report.empty()) WriteReport(options, command, schedule, data, violations);
  std::filesystem::remove_all(folder);
  if (violations.empty()) {
    std::filesystem::remove_all(logs);
    return judged < kMinJudgedShare || interrupted ? kInconclusive : kHeld;
  }
  std::printf("seed %llu; logs of the processes: %s\n",
              static_cast<unsigned long long>(options.seed), logs.c_str());
  return kViolated;
}

}  // namespace
}  // namespace elderkeel::soak

int main(int argc, char** argv) {
  elderkeel::soak::Options options;
  CLI::App app{"Runs real proxies and controllers under faults and checks the rules"};
  app.add_option("--seed", options.seed, "Determines the schedule of all faults")
      ->capture_default_str();
  app.add_option("--seconds", options.seconds, "Duration of the traffic")
      ->check(CLI::Range(15, 3600))
      ->capture_default_str();
  app.add_option("--controllers", options.controllers)
      ->check(CLI::Range(1, 9))
      ->capture_default_str();
  app.add_option("--proxies", options.proxies)->check(CLI::Range(2, 190))->capture_default_str();
  app.add_option("--clients", options.clients)->check(CLI::Range(1, 500))->capture_default_str();
  app.add_flag("--varied", options.varied,
               "One client in four at times disconnects early, and one in four leaves its "
               "connection idle");
  app.add_flag("--unsound", options.unsound,
               "Servers at times reject requests, fail, reset connections, hang or garble "
               "responses; new servers reuse their addresses");
  app.add_option("--programs", options.programs, "Folder of the programs proxy and controller")
      ->capture_default_str();
  app.add_option("--logs", options.logs,
                 "Folder for the logs of the processes; a busy disk slows the processes down");
  app.add_option("--report", options.report, "File for the report in JSON");
  app.footer(
      "Exit codes: 0 all rules held; 1 a rule was broken; 2 the soak could not run; 3 none was "
      "broken, "
      "but too little of the time was judged, or the run was interrupted.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  std::string command;
  for (int i = 0; i < argc; ++i) command += (i ? " " : "") + std::string(argv[i]);
  return elderkeel::soak::Soak(options, command);
}
