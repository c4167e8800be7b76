#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"

namespace elderkeel::forwarding {

// The state of one server at this proxy: its entry in the list of endpoints, and the results of
// this proxy's own attempts. Only attempts show that a server fails and eject it; a probe can only
// readmit a server that attempts have ejected, or prolong its ejection.
struct ServerState {
  // From the list of endpoints; the region follows from the zone.
  std::string id;
  uint32_t service = 0;  // index, as are zone, region and version
  base::Address address;
  uint32_t zone = 0;
  uint32_t region = 0;
  uint32_t version = 0;
  int capacity = 1;     // requests that the server can process at once
  bool listed = false;  // in the newest list
  bool draining = false;

  // From operators' orders and the location of this proxy.
  bool in_local_zone = false;    // in this proxy's zone
  bool in_other_region = false;  // not in this proxy's region
  bool zone_drained = false;     // its zone is drained by an operator's order
  // Which requests its version takes: those for the service's primary version, those selected for
  // the secondary version, or none.
  enum class VersionRole : uint8_t { kPrimary, kSecondary, kExcluded };
  VersionRole version_role = VersionRole::kPrimary;
  double rank = 0;  // in this proxy's order of the servers, from 0 (first) to below 1

  // Slow start: a server that has just started receives few requests, and only from the proxy that
  // owns it.
  base::Millis slow_start_since = 0;
  base::Millis slow_start_until = 0;
  bool owned = true;  // this proxy may send to it during slow start
  double tokens = 0;  // requests that this proxy may send to it, as of tokens_at
  base::Millis tokens_at = 0;

  // Load and latency.
  int in_flight = 0;
  std::vector<base::Millis> sent_at;  // times at which the attempts in flight were sent
  double limit = 1;  // most attempts that this proxy has in flight here; at least 1, rounded down
  // EWMA of its latency divided by the mean latency of all servers on the same route.
  double latency_ratio = 1;

  // Outlier detection.
  int failures = 0;                // consecutive
  base::Millis ejected_until = 0;  // 0: not ejected; otherwise a probe is due then
  int failed_probes = 0;           // consecutive
  bool probing = false;            // a probe is in flight
  bool probation = false;  // readmitted: takes one idempotent request at a time until one succeeds

  // Whether it may take requests for its service's primary, or secondary, version; true also while
  // it is ejected.
  bool IsUsableFor(bool secondary) const {
    VersionRole role = secondary ? VersionRole::kSecondary : VersionRole::kPrimary;
    return listed && !draining && !zone_drained && version_role == role;
  }
  bool IsUsable() const { return IsUsableFor(false); }
  bool IsAvailable() const { return IsUsable() && ejected_until == 0; }
};

// What the outcome of an attempt shows about the server.
enum class Signal : uint8_t {
  kGood,           // it gave a complete, valid answer
  kOverloaded,     // it rejected the request without running it, taken as a lack of capacity
  kInvalidAnswer,  // the connection failed after a byte was sent, or the answer was invalid
  kUnreachable,    // the connection failed before a byte was sent
  kWrongServer,    // another server now has its address
};

}  // namespace elderkeel::forwarding
