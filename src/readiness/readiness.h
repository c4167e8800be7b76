#pragma once

#include "base/clock.h"

namespace elderkeel::readiness {

// When a proxy calls itself ready, and the steps of its leaving. Pure.
//
// A proxy serves, and is ready, once it has a catalog and what the core has confirmed as current.
// If the core can't confirm for longer than a machine of it is cut off for, what other nodes serve
// by is good enough: an old configuration serves better than none for good, and news replaces it.
class Readiness {
 public:
  struct Options {
    base::Millis unconfirmed = 30000;  // patience with a core that does not confirm
    base::Millis notice = 2500;        // the platform may still send for so long after "not ready"
    base::Millis grace = 6000;
  };
  enum class Phase { kServing, kNotReady, kDraining, kRejecting, kStopped };

  Readiness() : Readiness(Options()) {}
  explicit Readiness(Options options) : options_(options) {}

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

  // Leaving: first connections are still accepted, since the platform learns only by asking; then
  // what is here is finished; near the end of grace what is left is answered; then the end.
  Phase At(base::Millis now, size_t busy) const {
    if (!leaving()) return Phase::kServing;
    base::Millis gone = now - left_at_;
    base::Millis notice =
        options_.notice < options_.grace / 2 ? options_.notice : options_.grace / 2;
    if (gone < notice) return Phase::kNotReady;
    if (gone >= options_.grace - options_.grace / 8) return Phase::kStopped;
    if (gone >= options_.grace - options_.grace / 5) return Phase::kRejecting;
    return busy > 0 ? Phase::kDraining : Phase::kStopped;
  }

 private:
  Options options_;
  base::Millis able_at_ = -1;
  base::Millis left_at_ = -1;
  bool confirmed_ = false;
};

}  // namespace elderkeel::readiness
