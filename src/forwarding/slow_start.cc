// LoadBalancer: which proxy may send to a server in slow start, and at what rate.
#include <algorithm>
#include <utility>

#include "forwarding/load_balancer.h"

namespace elderkeel::forwarding {

void LoadBalancer::SetZoneProxies(base::Millis now, const ZoneProxies& proxies) {
  if (slow_start_owner_.SetProxies(now, proxies)) AssignOwners(now);
}

void LoadBalancer::SetLeaving(base::Millis now) {
  slow_start_owner_.Leave(now);
  AssignOwners(now);
}

bool LoadBalancer::IsOwner(base::Millis now, const ServerState& state) const {
  return state.in_local_zone && slow_start_owner_.IsOwner(now, base::Hash(state.id));
}

void LoadBalancer::AssignOwners(base::Millis now) {
  owners_due_at_ = slow_start_owner_.NextChangeAt(now);
  for (ServerState& state : servers_) {
    if (!state.listed) continue;
    bool was_owned = std::exchange(state.owned, IsOwner(now, state));
    if (was_owned || !state.owned) continue;
    // Starts without tokens, since the requests of the former owner count in the same second.
    state.tokens = 0;
    state.tokens_at = now;
  }
}

void LoadBalancer::SetDrainedZones(base::Millis now, const std::vector<std::string>& zones,
                                   base::Millis assumed_slow_start) {
  drained_zones_ = zones;
  for (ServerState& state : servers_) {
    bool zone_drained = std::binary_search(zones.begin(), zones.end(), zones_.Name(state.zone));
    if (state.zone_drained && !zone_drained) SetSlowStart(now, &state, now + assumed_slow_start);
    state.zone_drained = zone_drained;
  }
}

void LoadBalancer::SetSlowStartRate(uint32_t service, double per_s) {
  if (service >= slow_start_per_s_.size()) slow_start_per_s_.resize(service + 1, 0);
  slow_start_per_s_[service] = per_s;
}

void LoadBalancer::ExtendSlowStart(base::Millis now, uint32_t server, base::Millis left) {
  SetSlowStart(now, &servers_[server], now + left);
}

void LoadBalancer::SetSlowStart(base::Millis now, ServerState* state, base::Millis until) {
  if (until <= now || until <= state->slow_start_until) return;
  if (state->slow_start_until <= now) state->slow_start_since = now;
  state->slow_start_until = until;
}

// Adds tokens at the service's slow-start rate, up to one request.
void LoadBalancer::RefillTokens(base::Millis now, ServerState* state) const {
  // Tokens from before this slow start began, also those of an earlier one, don't count.
  base::Millis since = std::max(state->tokens_at, state->slow_start_since);
  double grown = static_cast<double>(now - since) / 1000 * SlowStartRate(state->service);
  state->tokens =
      std::min(1.0, (state->tokens_at < state->slow_start_since ? 0.0 : state->tokens) + grown);
  state->tokens_at = now;
}

}  // namespace elderkeel::forwarding
