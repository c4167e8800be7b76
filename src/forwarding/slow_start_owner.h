#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"

namespace elderkeel::forwarding {

// The proxies of a zone, by id, as one of them sees them.
struct ZoneProxies {
  uint64_t self = 0;
  std::vector<uint64_t> present;  // not known to have left, `self` included
  std::vector<uint64_t> left;

  bool operator==(const ZoneProxies& other) const {
    return self == other.self && present == other.present && left == other.left;
  }
};

// Decides whether this proxy is the one of its zone that may send to a server in slow start: the
// one that draws the highest number for it. All who see the same proxies name the same one. Pure.
//
// Proxies hear of each other's starts and ends at different moments. Whoever can't be sure to be
// the only owner owns nothing:
// - A proxy that ends serves on for a while. It keeps what it owns until then and gains nothing;
//   the others take over nothing of it for as long, from when they hear of its end.
// - A proxy that has only just started may not know the others yet, nor they it.
//
// Invariant: no server has two owners at one moment, if a proxy that starts and those that are
// there know each other within kSettleMs.
class SlowStartOwner {
 public:
  // For a start to be known to all proxies of a zone, and they to the one that started.
  static constexpr base::Millis kSettleMs = 1500;

  // `serves_on`: for how long after the signal a proxy that ends accepts requests.
  explicit SlowStartOwner(base::Millis serves_on) : serves_on_(serves_on) {}

  // False if nothing has changed.
  bool SetProxies(base::Millis now, const ZoneProxies& proxies);
  // This proxy ends. One that was not yet an owner becomes none.
  void Leave(base::Millis now);

  // A proxy that knows nothing of a fleet owns all.
  bool IsOwner(base::Millis now, uint64_t server_key) const;
  // When IsOwner() may next change by time alone; kNever if it won't.
  base::Millis NextChangeAt(base::Millis now) const;
  static constexpr base::Millis kNever = INT64_MAX;

 private:
  base::Millis serves_on_;
  base::Millis settled_at_ = -1;  // -1 before the first SetProxies()
  base::Millis owns_until_ = kNever;
  ZoneProxies proxies_;
  std::map<uint64_t, base::Millis>
      leaving_;  // those that left, and until when they are in the draw
};

}  // namespace elderkeel::forwarding
