// Slow start: who may send to a server that has just started, and how much.
#include <algorithm>

#include "forwarding/load_balancer.h"

namespace elderkeel::forwarding {
void LoadBalancer::SetZoneProxies(uint64_t self, std::vector<uint64_t> peers) {
  if (self == self_ && peers == peers_) return;
  self_ = self;
  peers_ = std::move(peers);
  AssignOwners();
}

// The owner of a server in slow start is the proxy of this zone that draws the highest number for
// it: all who see the same proxies name the same one, and one more or less moves few.
bool LoadBalancer::IsOwner(const ServerState& state) const {
  if (!state.near) return false;
  uint64_t key = base::Hash(state.id);
  uint64_t own_draw = base::Random(key ^ self_).Next();
  return std::none_of(peers_.begin(), peers_.end(), [&](uint64_t peer) {
    return peer != self_ && base::Random(key ^ peer).Next() > own_draw;
  });
}

void LoadBalancer::AssignOwners() {
  for (ServerState& state : servers_) {
    if (state.listed) state.owned = IsOwner(state);
  }
}

void LoadBalancer::SetDrainedZones(base::Millis now, const std::vector<std::string>& zones,
                                   base::Millis doubt) {
  drained_zones_ = zones;
  for (ServerState& state : servers_) {
    bool zone_drained = std::binary_search(zones.begin(), zones.end(), zones_.Name(state.zone));
    if (state.zone_drained && !zone_drained) SetSlowStart(now, &state, now + doubt);
    state.zone_drained = zone_drained;
  }
}

void LoadBalancer::SetWarmup(uint32_t service, double per_s) {
  if (service >= warmup_per_s_.size()) warmup_per_s_.resize(service + 1, 0);
  warmup_per_s_[service] = per_s;
}

void LoadBalancer::NoteWarmup(base::Millis now, uint32_t server, base::Millis left) {
  SetSlowStart(now, &servers_[server], now + left);
}

void LoadBalancer::SetSlowStart(base::Millis now, ServerState* state, base::Millis until) {
  if (until <= now || until <= state->slow_start_until) return;
  if (state->slow_start_until <= now) state->slow_start_since = now;
  state->slow_start_until = until;
}

// The tokens of a server in slow start grow at the rate that it takes, up to one request.
void LoadBalancer::Refill(base::Millis now, ServerState* state) const {
  // Nothing is saved from before its slow start was known, nor from an earlier start of it.
  base::Millis since = std::max(state->tokens_at, state->slow_start_since);
  double grown = static_cast<double>(now - since) / 1000 * SlowStartRate(state->service);
  state->tokens =
      std::min(1.0, (state->tokens_at < state->slow_start_since ? 0.0 : state->tokens) + grown);
  state->tokens_at = now;
}

}  // namespace elderkeel::forwarding
