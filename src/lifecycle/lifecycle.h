#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "lifecycle/shutdown_schedule.h"

namespace elderkeel::lifecycle {

// The readiness of a proxy and the phases of its graceful shutdown. A pure state machine: the proxy
// reports events to it and queries it at every tick.
//
// A proxy serves, and is ready, once it has a configuration and endpoints and a majority of the
// controllers has confirmed that its state is current. If no confirmation comes for
// confirm_timeout, which is longer than a controller's machine is expected to be cut off from the
// network, the proxy serves with the state that it got from other nodes: an old configuration is
// better than not serving at all, and updates will replace it.
class Lifecycle {
 public:
  struct Options {
    base::Millis confirm_timeout = 30000;  // then the proxy serves without a confirmation
    base::Millis notice = 2500;  // the platform may send clients for so long after "not ready"
    base::Millis grace = 6000;   // from SIGTERM until the platform kills the process
  };
  // The phases of a shutdown, in this order.
  enum class Phase : uint8_t {
    kServing,    // no shutdown has begun
    kNotReady,   // still serves, but reports that it is not ready
    kDraining,   // also closes idle connections
    kRejecting,  // rejects new requests without sending them to a server; those in flight go on
    kAnswering,  // accepts no connections, and fails the requests whose answer has not begun
    kStopped,    // the notice is over and no connection is busy, or the grace time is almost over
  };

  Lifecycle() : Lifecycle(Options()) {}
  explicit Lifecycle(Options options)
      : options_(options), schedule_(options.grace, options.notice) {}

  // The proxy now has a configuration and endpoints. Only the first call has an effect.
  void SetServable(base::Millis now) {
    if (servable_at_ < 0) servable_at_ = now;
  }
  // The proxy's state was confirmed to be current.
  void SetConfirmed() { confirmed_ = true; }
  // The shutdown begins, at SIGTERM. Only the first call has an effect.
  void Leave(base::Millis now) {
    if (left_at_ < 0) left_at_ = now;
  }
  bool leaving() const { return left_at_ >= 0; }
  bool confirmed() const { return confirmed_; }

  // Whether the proxy may answer requests with the state that it has.
  bool IsServing(base::Millis now) const {
    return servable_at_ >= 0 && (confirmed_ || now - servable_at_ >= options_.confirm_timeout);
  }
  // Whether clients may be sent to the proxy.
  bool IsReady(base::Millis now) const { return !leaving() && IsServing(now); }

  // The time from which on new requests are rejected; -1 before the shutdown.
  base::Millis accept_until() const { return leaving() ? left_at_ + schedule_.accept_until : -1; }

  // `busy`: the number of connections that have a request in flight or unsent bytes of an answer.
  // kStopped begins when there are none after the notice, or when the platform is about to kill the
  // process.
  Phase PhaseAt(base::Millis now, size_t busy) const {
    if (!leaving()) return Phase::kServing;
    base::Millis elapsed = now - left_at_;
    bool noticed = elapsed >= schedule_.notice_until;
    if ((noticed && busy == 0) || elapsed >= schedule_.exit_at) return Phase::kStopped;
    if (elapsed >= schedule_.fail_unanswered_at) return Phase::kAnswering;
    if (elapsed >= schedule_.accept_until) return Phase::kRejecting;
    return noticed ? Phase::kDraining : Phase::kNotReady;
  }

  // The time since SIGTERM; 0 before it.
  base::Millis LeavingFor(base::Millis now) const { return leaving() ? now - left_at_ : 0; }

  // The time until the schedule's next phase begins, `max_wait` at the most. After the notice,
  // kStopped may begin earlier, as soon as no connection is busy.
  // REQUIRES: leaving()
  base::Millis UntilNextPhase(base::Millis now, base::Millis max_wait) const {
    base::Millis elapsed = now - left_at_;
    for (base::Millis begin : {schedule_.notice_until, schedule_.accept_until,
                               schedule_.fail_unanswered_at, schedule_.exit_at}) {
      if (begin > elapsed) max_wait = std::min(max_wait, begin - elapsed);
    }
    return max_wait;
  }

 private:
  Options options_;
  ShutdownSchedule schedule_;
  base::Millis servable_at_ = -1;  // -1: no configuration or no endpoints yet
  base::Millis left_at_ = -1;      // -1: no shutdown has begun
  bool confirmed_ = false;
};

// The name of the phase in logs.
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
