// LoadBalancer: updates of a server's limit and latency from its attempts, ejection, readmission.
#include <algorithm>

#include "forwarding/load_balancer.h"

namespace elderkeel::forwarding {
namespace {
constexpr double kLatencyWeight = 0.15;  // of the newest attempt in ServerState::latency_ratio
constexpr double kLimitGrowth = 0.25;    // added to the limit for each good answer
constexpr int kFailuresToEject = 2;      // consecutive
constexpr int kMisplacedFailures = 4;    // that a moved address counts for; lengthens ejections
constexpr int kMaxDoublings = 6;         // of the duration of an ejection
// In mean latencies: an attempt abandoned at this age or later counts as a failure of the server.
constexpr double kOverdueAge = 2.5;
}  // namespace

void LoadBalancer::OnAttemptBegun(base::Millis now, uint32_t server) {
  ServerState& state = servers_[server];
  ++state.in_flight;
  state.sent_at.push_back(now);
  if (IsInSlowStart(now, state)) state.tokens -= 1;
}

void LoadBalancer::RemoveInFlight(uint32_t server, base::Millis sent_at) {
  ServerState& state = servers_[server];
  --state.in_flight;
  auto at = std::find(state.sent_at.begin(), state.sent_at.end(), sent_at);
  if (at != state.sent_at.end()) state.sent_at.erase(at);
}

void LoadBalancer::UpdateLatencyRatio(ServerState* state, double latency_ratio) {
  state->latency_ratio +=
      kLatencyWeight * (std::clamp(latency_ratio, 0.1, 10.0) - state->latency_ratio);
}

// An attempt abandoned at kOverdueAge or later counts as a failure, except in slow start. On an
// established connection, a server that has stopped responding shows no other sign of failure; if
// this one were ignored, requests would continue to go there.
void LoadBalancer::OnAttemptAbandoned(base::Millis now, uint32_t server, base::Millis sent_at,
                                      double mean_ms) {
  RemoveInFlight(server, sent_at);
  ServerState& state = servers_[server];
  double age = static_cast<double>(now - sent_at) / std::max(1.0, mean_ms);
  if (age < kOverdueAge || now < state.slow_start_until) return;
  if (age > state.latency_ratio) UpdateLatencyRatio(&state, age);
  RecordFailure(now, &state);
}

// Ejects the server at kFailuresToEject consecutive failures, or at the first one on probation.
void LoadBalancer::RecordFailure(base::Millis now, ServerState* state) {
  if (++state->failures >= kFailuresToEject || state->probation) Eject(now, state);
}

void LoadBalancer::Eject(base::Millis now, ServerState* state) {
  base::Millis duration = options_.base_ejection << std::min(state->failures - 1, kMaxDoublings);
  state->ejected_until = now + std::min(duration, options_.max_ejection);
  state->probation = false;
}

void LoadBalancer::OnAttemptEnded(base::Millis now, uint32_t server, base::Millis sent_at,
                                  Signal signal, double latency_ms, double mean_ms) {
  RemoveInFlight(server, sent_at);
  ServerState& state = servers_[server];
  switch (signal) {
    case Signal::kGood:
      state.failures = state.failed_probes = 0;
      state.ejected_until = 0;
      state.probation = false;
      state.limit = std::min<double>(state.capacity + 1, state.limit + kLimitGrowth);
      if (latency_ms >= 0 && mean_ms > 0 && now >= state.slow_start_until) {
        UpdateLatencyRatio(&state, latency_ms / mean_ms);
      }
      break;
    case Signal::kOverloaded:
      state.limit = std::max(1.0, state.limit / 2);
      break;
    case Signal::kInvalidAnswer:
      state.limit = std::max(1.0, state.limit / 2);
      RecordFailure(now, &state);
      break;
    case Signal::kUnreachable:
      ++state.failures;
      Eject(now, &state);
      break;
    case Signal::kWrongServer:
      // Another server has its address, so it no longer exists, even if an older list still has it.
      state.failures += kMisplacedFailures;
      state.ejected_until = now + options_.max_ejection;
      break;
  }
}

std::vector<uint32_t> LoadBalancer::DueProbes(base::Millis now) {
  std::vector<uint32_t> due;
  for (const auto& service : by_service_) {
    for (uint32_t i : service) {
      ServerState& state = servers_[i];
      if (state.draining || state.zone_drained || state.probing || state.probation) continue;
      if (state.version_role == ServerState::VersionRole::kExcluded) continue;
      if (state.ejected_until == 0 || now < state.ejected_until) continue;
      state.probing = true;
      due.push_back(i);
    }
  }
  return due;
}

void LoadBalancer::OnProbeResult(base::Millis now, uint32_t server, bool good) {
  ServerState& state = servers_[server];
  state.probing = false;
  if (state.ejected_until == 0) return;  // a good answer has already ended the ejection
  state.failed_probes = good ? 0 : state.failed_probes + 1;
  // The answers of a health endpoint may be wrong in both directions. A good one readmits the
  // server on probation. So does every second bad one in succession; otherwise a working server
  // whose health endpoint fails would stay ejected for ever.
  if (good || state.failed_probes % 2 == 0) {
    state.ejected_until = 0;
    state.probation = true;
    state.limit = 1;
    return;
  }
  ++state.failures;
  Eject(now, &state);
}

}  // namespace elderkeel::forwarding
