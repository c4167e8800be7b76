#include "proxy/shutdown.h"

#include "base/log.h"

namespace elderkeel::proxy {
namespace {
constexpr base::Millis kLogIntervalMs = 1000;
}  // namespace

bool AdvanceShutdown(lifecycle::Lifecycle::Phase phase, forwarding::RequestRouter* router) {
  using Phase = lifecycle::Lifecycle::Phase;
  switch (phase) {
    case Phase::kServing:
    case Phase::kNotReady:
      return false;
    case Phase::kDraining:
    case Phase::kRejecting:
      router->CloseIdle();
      return false;
    case Phase::kAnswering:
      router->StopListening();
      router->FailUnanswered();
      router->CloseIdle();
      return false;
    case Phase::kStopped:
      router->StopListening();
      // If the process was suspended through kAnswering, requests get their answers only here. The
      // process must not end before these are written.
      return !router->FailAll();
  }
  return true;
}

void ShutdownLog::Log(base::Millis now, base::Millis elapsed, lifecycle::Lifecycle::Phase phase,
                      const forwarding::RequestRouter& router) {
  if (phase == phase_ && now < next_log_at_) return;
  phase_ = phase;
  next_log_at_ = now + kLogIntervalMs;
  http::HttpServer::Occupancy occupancy = router.GetOccupancy();
  forwarding::RequestRouter::InFlight in_flight = router.GetInFlight();
  base::Info("shutdown.phase", {{"phase", lifecycle::PhaseName(phase)},
                                {"elapsed_ms", elapsed},
                                {"connections", occupancy.connections},
                                {"waiting", occupancy.waiting},
                                {"reading", occupancy.reading},
                                {"unsent", occupancy.unsent},
                                {"unsent_bytes", occupancy.unsent_bytes},
                                {"lingering", occupancy.lingering},
                                {"requests", in_flight.requests},
                                {"attempts", in_flight.attempts},
                                {"oldest_ms", in_flight.oldest_ms},
                                {"oldest_attempt_id", in_flight.oldest_attempt_id}});
}

}  // namespace elderkeel::proxy
