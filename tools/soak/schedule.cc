#include "soak/schedule.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::soak {
namespace {

constexpr base::Millis kQuietStartMs = 3000;   // without events at the start of the run
constexpr base::Millis kQuietEndMs = 9000;     // without new events at its end
constexpr base::Millis kMaxGapMs = 4000;       // between two events
constexpr base::Millis kMaxSeriesGapMs = 700;  // between two events of a series
constexpr base::Millis kMaxFreezeMs = 2500;
// Duration of a platform failure: long enough that the last update becomes too old for the proxies
// and they read the list themselves.
constexpr base::Millis kMinCutMs = 5500;
constexpr base::Millis kMaxCutMs = 8000;
// Without events after a platform failure, so that the rules apply again.
constexpr base::Millis kQuietAfterCutMs = 12000;
// From the slow start of a zone's servers to the SIGTERM of the zone's proxies.
constexpr base::Millis kTerminateAfterColdMs = 200;
// From the SIGTERM of a zone's proxies to the slow start of the zone's servers. The proxies
// exit 2.5 to 6 s after the SIGTERM and are then restarted.
constexpr base::Millis kMinColdStartMs = 2500;
constexpr base::Millis kMaxColdStartMs = 6500;
// Added to the seed: AddColdStarts() has its own generator, so that it doesn't change other events.
constexpr uint64_t kColdStartSeed = 7919;

// Adds to each termination of a zone's proxies a replacement of the zone's servers by ones in slow
// start, at about the time at which the proxies restart.
void AddColdStarts(uint64_t seed, base::Millis end, std::vector<Event>* events) {
  base::Random random(seed + kColdStartSeed);
  std::vector<Event> cold;
  for (const Event& event : *events) {
    if (event.kind != Event::Kind::kTerminateZone) continue;
    Event again = event;
    again.kind = Event::Kind::kSlowStartZone;
    again.at += kMinColdStartMs +
                static_cast<base::Millis>(random.Below(kMaxColdStartMs - kMinColdStartMs));
    if (again.at < end) cold.push_back(again);
  }
  events->insert(events->end(), cold.begin(), cold.end());
}

// The name of a random process or zone: the prefix and a number below `count`.
std::string RandomName(base::Random* random, const char* prefix, int count) {
  return prefix + std::to_string(random->Below(static_cast<uint64_t>(count)));
}

}  // namespace

const char* KindName(Event::Kind kind) {
  switch (kind) {
    case Event::Kind::kTerminate:
      return "terminate";
    case Event::Kind::kTerminateZone:
      return "terminate_zone";
    case Event::Kind::kSignalAgain:
      return "signal_again";
    case Event::Kind::kKill:
      return "kill";
    case Event::Kind::kFreeze:
      return "freeze";
    case Event::Kind::kReload:
      return "reload";
    case Event::Kind::kDrain:
      return "drain";
    case Event::Kind::kSlowStartZone:
      return "cold_zone";
    case Event::Kind::kCutPlatform:
      return "cut_platform";
  }
  return "unknown";
}

std::vector<Event> MakeSchedule(const Options& options) {
  using Kind = Event::Kind;
  const std::vector<Kind> planned = {Kind::kTerminate, Kind::kTerminate, Kind::kTerminateZone,
                                     Kind::kReload,    Kind::kDrain,     Kind::kSlowStartZone};
  const std::vector<Kind> unplanned = {Kind::kKill, Kind::kFreeze};
  const std::vector<Kind> platform = {Kind::kReload, Kind::kDrain, Kind::kCutPlatform};
  std::vector<Kind> kinds = options.seed % 4 == 2 ? platform : planned;
  if (options.seed % 4 == 0) kinds.insert(kinds.end(), unplanned.begin(), unplanned.end());
  base::Random random(options.seed);
  std::vector<Event> events;
  base::Millis end = options.seconds * 1000 - kQuietEndMs;
  for (base::Millis at = kQuietStartMs; at < end;) {
    Event event;
    event.at = at;
    event.kind = kinds[random.Below(kinds.size())];
    bool controller = random.Below(4) == 0;
    event.target = controller ? RandomName(&random, "c", options.controllers)
                              : RandomName(&random, "p", options.proxies);
    if (event.kind == Kind::kTerminateZone || event.kind == Kind::kSlowStartZone) {
      event.target = RandomName(&random, "z", 2);
    }
    if (event.kind == Kind::kFreeze) {
      event.for_ms = 300 + static_cast<base::Millis>(random.Below(kMaxFreezeMs));
    }
    if (event.kind == Kind::kCutPlatform) {
      event.for_ms = kMinCutMs + static_cast<base::Millis>(random.Below(kMaxCutMs - kMinCutMs));
      if (at + event.for_ms >= end) break;
      at += event.for_ms + kQuietAfterCutMs;
    }
    events.push_back(event);
    if (event.kind == Kind::kTerminate && random.Below(2) == 0) {
      Event again = event;
      again.kind = Kind::kSignalAgain;
      again.at += static_cast<base::Millis>(random.Below(4000));
      events.push_back(again);
    }
    // Half of the slow starts of a zone are followed by the termination of the zone's proxies.
    if (event.kind == Kind::kSlowStartZone && random.Below(2) == 0) {
      Event zone = event;
      zone.kind = Kind::kTerminateZone;
      zone.at += kTerminateAfterColdMs;
      events.push_back(zone);
    }
    // One event in three is followed closely by the next one, so that events overlap.
    bool series = random.Below(3) == 0;
    at += static_cast<base::Millis>(random.Below(series ? kMaxSeriesGapMs : kMaxGapMs));
  }
  if (options.unsound) AddColdStarts(options.seed, end, &events);
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  return events;
}

}  // namespace elderkeel::soak
