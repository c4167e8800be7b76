#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace elderkeel::soak {

struct Options {
  uint64_t seed = 1;
  int64_t seconds = 60;
  int controllers = 3;
  int proxies = 8;
  int clients = 64;
  bool varied = false;              // clients: some leave early, some use connections that rested
  bool unsound = false;             // servers, in spells; addresses are used again
  std::string programs = "target";  // the folder of the programs
  std::string logs = "";            // folder for what the processes print; empty: as for their data
  std::string report = "";          // a file; empty for none
};

// What the schedule does, and to whom.
struct Event {
  enum class Kind {
    kTerminate,      // SIGTERM, and a start some time after the end
    kTerminateZone,  // all proxies of a zone
    kSignalAgain,    // a second SIGTERM, or a SIGHUP, during an end
    kKill,
    kFreeze,       // for `for_ms`
    kReload,       // SIGHUP with other settings
    kDrain,        // a server
    kColdZone,     // the servers of a zone are replaced by cold ones
    kCutPlatform,  // from the controllers, for `for_ms`; slow for the proxies meanwhile
  };
  base::Millis at = 0;  // since the begin of the traffic
  Kind kind = Kind::kTerminate;
  std::string target = "";
  base::Millis for_ms = 0;
};

const char* KindName(Event::Kind kind);

// The seed fixes all of it. Odd seeds have planned work alone, so that the rules that have an
// excuse for unplanned trouble bind throughout; of the even ones every second has trouble of the
// platform alone, the others have kills and freezes beside planned work. With unsound servers the
// cold zones of `AddColdStarts` come on top.
std::vector<Event> MakeSchedule(const Options& options);

}  // namespace elderkeel::soak
