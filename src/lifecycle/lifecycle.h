#pragma once

#include <algorithm>

#include "base/clock.h"

namespace elderkeel::lifecycle {

// When a proxy calls itself ready, and the steps of its leaving. Pure.
//
// A proxy serves, and is ready, once it has a catalog and what the core has confirmed as current.
// If the core can't confirm for longer than a machine of it is cut off for, what other nodes serve
// by is good enough: an old configuration serves better than none for good, and updates replace it.
class Lifecycle {
 public:
  struct Options {
    base::Millis unconfirmed = 30000;  // patience with a core that does not confirm
    base::Millis notice = 2500;        // the platform may still send for so long after "not ready"
    base::Millis grace = 6000;
  };
  // Of a proxy that ends, in this order: it serves on, and says that it isn't ready; then idle
  // connections are closed too; what comes from here on is rejected without being offered to a
  // server, and what is here goes on; what is still here gets its final answer; the end.
  enum class Phase { kServing, kNotReady, kDraining, kRejecting, kAnswering, kStopped };

  Lifecycle() : Lifecycle(Options()) {}
  explicit Lifecycle(Options options) : options_(options) {}

  void Able(base::Millis now) {
    if (able_at_ < 0) able_at_ = now;
  }
  void Confirmed() { confirmed_ = true; }
  void Leave(base::Millis now) {
    if (left_at_ < 0) left_at_ = now;
  }
  bool leaving() const { return left_at_ >= 0; }
  bool confirmed() const { return confirmed_; }

  // May answer requests by what it holds.
  bool Serving(base::Millis now) const {
    return able_at_ >= 0 && (confirmed_ || now - able_at_ >= options_.unconfirmed);
  }
  bool Ready(base::Millis now) const { return !leaving() && Serving(now); }

  // `busy`: connections with a request or with bytes of an answer that have not gone out. Whoever
  // takes a request has time to answer it: what comes is rejected well before what is here is given
  // up, and the end waits for the last byte, as long as the platform waits for the process.
  Phase At(base::Millis now, size_t busy) const {
    if (!leaving()) return Phase::kServing;
    base::Millis elapsed = now - left_at_;
    base::Millis notice = std::min(options_.notice, options_.grace / 2);
    if (elapsed < notice) return Phase::kNotReady;
    if (busy == 0 || elapsed >= options_.grace * 15 / 16) return Phase::kStopped;
    if (elapsed >= options_.grace * 4 / 5) return Phase::kAnswering;
    return elapsed >= options_.grace * 5 / 8 ? Phase::kRejecting : Phase::kDraining;
  }

 private:
  Options options_;
  base::Millis able_at_ = -1;
  base::Millis left_at_ = -1;
  bool confirmed_ = false;
};

}  // namespace elderkeel::lifecycle
