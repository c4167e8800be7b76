#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "lifecycle/shutdown_schedule.h"

namespace elderkeel::lifecycle {

// When a proxy calls itself ready, and the phases of its graceful shutdown. Pure.
//
// A proxy serves, and is ready, once it has a configuration and endpoints and what a majority of
// the controllers has confirmed as current. If they can't confirm for longer than a machine of
// theirs is cut off for, what other nodes serve by is good enough: an old configuration serves
// better than none for good, and updates replace it.
class Lifecycle {
 public:
  struct Options {
    base::Millis confirm_timeout = 30000;  // then it serves unconfirmed
    base::Millis notice = 2500;  // the platform may still send for so long after "not ready"
    base::Millis grace = 6000;   // from SIGTERM until the platform kills the process
  };
  // Of a proxy that stops, in this order.
  enum class Phase : uint8_t {
    kServing,
    kNotReady,   // serves on, and says that it isn't ready
    kDraining,   // closes idle connections too
    kRejecting,  // rejects what comes, without offering it to a server; what is here goes on
    kAnswering,  // what is still here gets its final answer, and nobody is let in any more
    kStopped,    // nothing is here any more, or there is no time left
  };

  Lifecycle() : Lifecycle(Options()) {}
  explicit Lifecycle(Options options)
      : options_(options), schedule_(options.grace, options.notice) {}

  // There is a configuration, and there are endpoints.
  void SetServable(base::Millis now) {
    if (servable_at_ < 0) servable_at_ = now;
  }
  // What is held is known to be current.
  void SetConfirmed() { confirmed_ = true; }
  void Leave(base::Millis now) {
    if (left_at_ < 0) left_at_ = now;
  }
  bool leaving() const { return left_at_ >= 0; }
  bool confirmed() const { return confirmed_; }

  // May answer requests by what it holds.
  bool IsServing(base::Millis now) const {
    return servable_at_ >= 0 && (confirmed_ || now - servable_at_ >= options_.confirm_timeout);
  }
  bool IsReady(base::Millis now) const { return !leaving() && IsServing(now); }

  // Requests that come later are rejected; -1 while there is no such moment.
  base::Millis accept_until() const { return leaving() ? left_at_ + schedule_.accept_until : -1; }

  // `busy`: connections with a request or with bytes of an answer that have not gone out. The end
  // waits for the last byte, as long as the platform waits for the process.
  Phase PhaseAt(base::Millis now, size_t busy) const {
    if (!leaving()) return Phase::kServing;
    base::Millis elapsed = now - left_at_;
    bool noticed = elapsed >= schedule_.notice_until;
    if ((noticed && busy == 0) || elapsed >= schedule_.exit_at) return Phase::kStopped;
    if (elapsed >= schedule_.give_up_at) return Phase::kAnswering;
    if (elapsed >= schedule_.accept_until) return Phase::kRejecting;
    return noticed ? Phase::kDraining : Phase::kNotReady;
  }

  // Since SIGTERM; 0 before it.
  base::Millis LeavingFor(base::Millis now) const { return leaving() ? now - left_at_ : 0; }

  // How long until the next phase may begin, but for an end because nothing is left. `most` if none
  // begins before that.
  // REQUIRES: leaving()
  base::Millis UntilNextPhase(base::Millis now, base::Millis most) const {
    base::Millis elapsed = now - left_at_;
    for (base::Millis begin : {schedule_.notice_until, schedule_.accept_until, schedule_.give_up_at,
                               schedule_.exit_at}) {
      if (begin > elapsed) most = std::min(most, begin - elapsed);
    }
    return most;
  }

 private:
  Options options_;
  ShutdownSchedule schedule_;
  base::Millis servable_at_ = -1;  // -1 for not yet
  base::Millis left_at_ = -1;
  bool confirmed_ = false;
};

inline const char* PhaseName(Lifecycle::Phase phase) {
  using Phase = Lifecycle::Phase;
  switch (phase) {
    case Phase::kServing:
      return "serving";
    case Phase::kNotReady:
      return "not_ready";
    case Phase::kDraining:
      return "draining";
    case Phase::kRejecting:
      return "rejecting";
    case Phase::kAnswering:
      return "answering";
    case Phase::kStopped:
      return "stopped";
  }
  return "unknown";
}

}  // namespace elderkeel::lifecycle
