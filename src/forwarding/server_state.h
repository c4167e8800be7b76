#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"

namespace elderkeel::forwarding {

// One server as this proxy knows it: what the list of endpoints says, and what its own attempts
// show. Its health is learned from answers; a probe only lets a server back that answers had
// ejected.
struct ServerState {
  // By the list.
  std::string id;
  uint32_t service = 0;  // this and the other indices are dense
  base::Address address;
  uint32_t zone = 0;
  uint32_t region = 0;
  uint32_t version = 0;
  int capacity = 1;  // requests that it works on at once
  bool listed = false;
  bool draining = false;

  // By orders and by where this proxy stands.
  bool near = false;          // in this proxy's zone
  bool far = false;           // in another region
  bool zone_drained = false;  // by the operator's order
  // Whether its version may be sent to: as any, by those requests alone that are drawn for it, or
  // not at all.
  enum class VersionRole : uint8_t { kPrimary, kSecondary, kExcluded };
  VersionRole version_role = VersionRole::kPrimary;
  double rank = 0;  // 0 to 1: how late it comes in this proxy's own order of its zone's servers

  // Slow start: a server that has just started takes few requests, from its owner alone.
  base::Millis slow_start_since = 0;
  base::Millis slow_start_until = 0;
  bool owned = true;  // this proxy is the one that may send to it meanwhile
  double tokens = 0;  // requests that it may get meanwhile, as of tokens_at
  base::Millis tokens_at = 0;

  // Load and latency.
  int in_flight = 0;
  std::vector<base::Millis> sent_at;  // of the attempts in flight
  double limit = 1;                   // attempts that this proxy keeps in flight here
  double latency_ratio = 1;  // EWMA of its latency to the mean of all servers on the same route

  // Outlier detection.
  int failures = 0;                // in a row
  base::Millis ejected_until = 0;  // 0: not ejected; else a probe is due then
  int failed_probes = 0;           // in a row
  bool probing = false;
  bool probation = false;  // back from an ejection: shows itself with one request

  // Whether it takes requests for its service's primary, or secondary, version.
  bool IsFor(bool secondary) const {
    VersionRole role = secondary ? VersionRole::kSecondary : VersionRole::kPrimary;
    return listed && !draining && !zone_drained && version_role == role;
  }
  bool IsUsable() const { return IsFor(false); }
  bool IsOpen() const { return IsUsable() && ejected_until == 0; }
};

// How an attempt went, as far as it tells of the server.
enum class Signal : uint8_t {
  kGood,         // a complete answer in the protocol
  kFull,         // rejected: the server has no room
  kBroken,       // reset, or an answer that is none
  kUnreachable,  // no connection
  kMisplaced,    // another server has its address
};

}  // namespace elderkeel::forwarding
