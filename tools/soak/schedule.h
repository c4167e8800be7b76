#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace elderkeel::soak {

// The command-line options of the soak.
struct Options {
  uint64_t seed = 1;
  int64_t seconds = 60;  // duration of the client traffic
  int controllers = 3;
  int proxies = 8;
  int clients = 64;
  bool varied = false;   // some clients disconnect early, some let their connections idle
  bool unsound = false;  // servers have periods with faults, and their addresses are reused
  std::string programs = "target";  // folder of the proxy and controller binaries
  std::string logs = "";    // folder for the output of the processes; empty: the temporary folder
  std::string report = "";  // file for the JSON report; empty for none
};

// One scheduled operation or fault.
struct Event {
  enum class Kind {
    kTerminate,      // SIGTERM to a process, which is restarted after its exit
    kTerminateZone,  // SIGTERM to all proxies of a zone
    kSignalAgain,    // a second SIGTERM and a SIGHUP to a process that is shutting down
    kKill,           // SIGKILL to a process
    kFreeze,         // SIGSTOP to a process for `for_ms`
    kReload,         // SIGHUP to a process, with changed settings
    kDrain,          // drains one server in the zone of the target process
    kSlowStartZone,  // replaces the servers of a zone by new ones in slow start
    kCutPlatform,    // for `for_ms` the platform fails for controllers and is slow for proxies
  };
  base::Millis at = 0;  // since the start of the traffic
  Kind kind = Kind::kTerminate;
  std::string target = "";  // a process or a zone
  base::Millis for_ms = 0;
};

// The kind's name in the report.
const char* KindName(Event::Kind kind);

// Returns the events of a run, sorted by time; the options alone determine them. Odd seeds contain
// only planned work, so that the rules with an exception for unplanned faults apply throughout the
// run. Seeds with remainder 2 modulo 4 contain reloads, drains and platform failures; multiples of
// 4 contain kills and freezes besides planned work. With `Options::unsound`, AddColdStarts() adds
// slow starts of whole zones.
std::vector<Event> MakeSchedule(const Options& options);

}  // namespace elderkeel::soak
