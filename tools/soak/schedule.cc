#include "soak/schedule.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::soak {
namespace {

constexpr base::Millis kFirstMs = 3000;   // calm at the begin
constexpr base::Millis kLastMs = 9000;    // and at the end
constexpr base::Millis kMaxGapMs = 4000;  // between two events
constexpr base::Millis kSeriesGapMs = 700;
constexpr base::Millis kMaxFreezeMs = 2500;
// Of the platform: until proxies read the list themselves, since the last update is too old.
constexpr base::Millis kMinCutMs = 5500;
constexpr base::Millis kMaxCutMs = 8000;
constexpr base::Millis kAfterCutMs = 12000;  // calm, so that the rules bind again
constexpr base::Millis kZoneAfterColdMs = 200;
// After the SIGTERM of a zone's proxies, which end 2.5 to 6 s later and start again.
constexpr base::Millis kMinColdStartMs = 2500;
constexpr base::Millis kMaxColdStartMs = 6500;
constexpr uint64_t kColdStartSeed = 7919;  // apart from the draws of the other events

// The servers of a zone whose proxies have just ended come back cold, at about the time at which
// the proxies do.
void AddColdStarts(uint64_t seed, base::Millis end, std::vector<Event>* events) {
  base::Random random(seed + kColdStartSeed);
  std::vector<Event> cold;
  for (const Event& event : *events) {
    if (event.kind != Event::Kind::kTerminateZone) continue;
    Event again = event;
    again.kind = Event::Kind::kColdZone;
    again.at += kMinColdStartMs +
                static_cast<base::Millis>(random.Below(kMaxColdStartMs - kMinColdStartMs));
    if (again.at < end) cold.push_back(again);
  }
  events->insert(events->end(), cold.begin(), cold.end());
}

std::string Pick(base::Random* random, const char* prefix, int count) {
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
    case Event::Kind::kColdZone:
      return "cold_zone";
    case Event::Kind::kCutPlatform:
      return "cut_platform";
  }
  return "unknown";
}

std::vector<Event> MakeSchedule(const Options& options) {
  using Kind = Event::Kind;
  const std::vector<Kind> planned = {Kind::kTerminate, Kind::kTerminate, Kind::kTerminateZone,
                                     Kind::kReload,    Kind::kDrain,     Kind::kColdZone};
  const std::vector<Kind> unplanned = {Kind::kKill, Kind::kFreeze};
  const std::vector<Kind> platform = {Kind::kReload, Kind::kDrain, Kind::kCutPlatform};
  std::vector<Kind> kinds = options.seed % 4 == 2 ? platform : planned;
  if (options.seed % 4 == 0) kinds.insert(kinds.end(), unplanned.begin(), unplanned.end());
  base::Random random(options.seed);
  std::vector<Event> events;
  base::Millis end = options.seconds * 1000 - kLastMs;
  for (base::Millis at = kFirstMs; at < end;) {
    Event event;
    event.at = at;
    event.kind = kinds[random.Below(kinds.size())];
    bool controller = random.Below(4) == 0;
    event.target =
        controller ? Pick(&random, "c", options.controllers) : Pick(&random, "p", options.proxies);
    if (event.kind == Kind::kTerminateZone || event.kind == Kind::kColdZone) {
      event.target = Pick(&random, "z", 2);
    }
    if (event.kind == Kind::kFreeze) {
      event.for_ms = 300 + static_cast<base::Millis>(random.Below(kMaxFreezeMs));
    }
    if (event.kind == Kind::kCutPlatform) {
      event.for_ms = kMinCutMs + static_cast<base::Millis>(random.Below(kMaxCutMs - kMinCutMs));
      if (at + event.for_ms >= end) break;
      at += event.for_ms + kAfterCutMs;
    }
    events.push_back(event);
    if (event.kind == Kind::kTerminate && random.Below(2) == 0) {
      Event again = event;
      again.kind = Kind::kSignalAgain;
      again.at += static_cast<base::Millis>(random.Below(4000));
      events.push_back(again);
    }
    // A zone's servers come back cold just before its proxies end, at times.
    if (event.kind == Kind::kColdZone && random.Below(2) == 0) {
      Event zone = event;
      zone.kind = Kind::kTerminateZone;
      zone.at += kZoneAfterColdMs;
      events.push_back(zone);
    }
    // In series and overlapping, or after a pause.
    bool series = random.Below(3) == 0;
    at += static_cast<base::Millis>(random.Below(series ? kSeriesGapMs : kMaxGapMs));
  }
  if (options.unsound) AddColdStarts(options.seed, end, &events);
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  return events;
}

}  // namespace elderkeel::soak
