#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"

namespace elderkeel::forwarding {

// The proxies of a zone, by id, in the view of one of them.
struct ZoneProxies {
  uint64_t self = 0;
  std::vector<uint64_t> present;  // not known to have left; includes `self`
  std::vector<uint64_t> left;     // known to leave or to have left

  bool operator==(const ZoneProxies& other) const {
    return self == other.self && present == other.present && left == other.left;
  }
};

// Decides whether this proxy owns a server in slow start, that is, may send requests to it. One
// proxy of the zone owns a server: the one with the highest weight for it (rendezvous hashing).
// Proxies with the same view of the zone determine the same owner. Does no I/O; the caller passes
// the current time.
//
// A start or a shutdown becomes known to the other proxies at different times. A proxy that might
// not be the only owner owns nothing:
// - A proxy that shuts down accepts requests for some time. Until that ends it keeps the servers
//   that it owns and gains none; the others don't take those over for as long, counted from when
//   SetProxies() lists it as having left.
// - A proxy that has just started may not have the others in its view yet, nor they this one.
//
// Invariant: a server never has two owners at the same time, provided that a proxy that starts and
// the running ones have each other in view within kPropagationMs.
class SlowStartOwner {
 public:
  // The longest time from a proxy's start until all proxies of its zone have it in view, and it has
  // them.
  static constexpr base::Millis kPropagationMs = 1500;

  // `accept_period`: how long a proxy keeps accepting requests after the signal to shut down.
  explicit SlowStartOwner(base::Millis accept_period) : accept_period_(accept_period) {}

  // Sets the zone's proxies; returns whether they have changed.
  bool SetProxies(base::Millis now, const ZoneProxies& proxies);
  // This proxy's shutdown has begun. It stays an owner for `accept_period`, or not at all if it has
  // not been in the zone for kPropagationMs.
  void Leave(base::Millis now);

  // Before the first SetProxies() a proxy owns every server.
  bool IsOwner(base::Millis now, uint64_t server_key) const;
  // When IsOwner() may next change by the passing of time alone; kNever if it won't.
  base::Millis NextChangeAt(base::Millis now) const;
  static constexpr base::Millis kNever = INT64_MAX;

 private:
  base::Millis accept_period_;
  base::Millis eligible_at_ = -1;  // owns nothing before then; -1 before the first SetProxies()
  base::Millis owns_until_ = kNever;
  ZoneProxies proxies_;
  // Proxies that have left, and until when each still counts as a possible owner.
  std::map<uint64_t, base::Millis> leaving_;
};

}  // namespace elderkeel::forwarding
