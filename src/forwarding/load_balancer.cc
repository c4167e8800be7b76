#include "forwarding/load_balancer.h"

#include <algorithm>
#include <cmath>

namespace elderkeel::forwarding {
namespace {
// Most that is added to a score at random, to choose among equally good servers.
constexpr double kTieBreakNoise = 0.02;
constexpr double kSlowStartPenalty = 1.0;  // a server in slow start counts as twice as slow
// Multiplies the age of an attempt in flight, in mean latencies, in comparisons to latency ratios.
constexpr double kInFlightAgeWeight = 0.5;
}  // namespace

uint32_t LoadBalancer::AddServer(base::Millis now, const discovery::Server& entry,
                                 const base::Address& address) {
  uint32_t index = ids_.Intern(entry.id);
  servers_.emplace_back();
  ServerState& state = servers_.back();
  state.id = entry.id;
  state.service = services_->Intern(entry.service);
  state.address = address;
  state.version = versions_.Intern(entry.revision);
  state.zone = zones_.Intern(entry.zone);
  auto region = options_.regions.find(entry.zone);
  state.region = regions_->Intern(region == options_.regions.end() ? entry.zone : region->second);
  state.in_local_zone = entry.zone == options_.zone;
  state.in_other_region =
      !options_.region.empty() && regions_->Name(state.region) != options_.region;
  state.zone_drained = std::binary_search(drained_zones_.begin(), drained_zones_.end(), entry.zone);
  state.capacity = entry.capacity;
  state.limit = entry.capacity;
  state.owned = IsOwner(now, state);
  return index;
}

std::vector<LoadBalancer::Change> LoadBalancer::Adopt(
    base::Millis now, const discovery::EndpointSnapshot& endpoints) {
  std::vector<Change> changes;
  std::vector<bool> seen(servers_.size(), false);
  for (const discovery::Server& entry : endpoints.servers) {
    auto address = base::ParseAddress(entry.address);
    if (!address) continue;
    uint32_t index = ids_.Find(entry.id);
    if (index == base::NameIndex::kNone) {
      index = AddServer(now, entry, *address);
      seen.push_back(false);
      changes.push_back({index, Change::What::kNew});
    }
    seen[index] = true;
    ServerState& state = servers_[index];
    if (!state.listed) state.owned = IsOwner(now, state);
    state.listed = true;
    state.capacity = entry.capacity;
    if (entry.draining && !state.draining) changes.push_back({index, Change::What::kDraining});
    state.draining = entry.draining;
    // The list may be older than the end that the server's probe answer stated; the later end is
    // kept.
    SetSlowStart(now, &state, entry.slow_start_until);
  }
  for (uint32_t i = 0; i < servers_.size(); ++i) {
    if (!seen[i] && servers_[i].listed) {
      servers_[i].listed = false;
      changes.push_back({i, Change::What::kGone});
    }
  }
  IndexByService();
  return changes;
}

// Rebuilds the servers of each service, listed ones only: servers that are no longer listed keep
// their index, since telemetry records refer to it, but Choose() doesn't iterate over them.
void LoadBalancer::IndexByService() {
  for (auto& service : by_service_) service.clear();
  for (uint32_t i = 0; i < servers_.size(); ++i) {
    if (!servers_[i].listed) continue;
    if (servers_[i].service >= by_service_.size()) by_service_.resize(servers_[i].service + 1);
    by_service_[servers_[i].service].push_back(i);
  }
  for (uint32_t service = 0; service < by_service_.size(); ++service) AssignVersionRoles(service);
  OrderServers();
}

void LoadBalancer::SetRank(size_t rank, size_t proxies_in_zone) {
  if (rank == rank_ && proxies_in_zone == proxies_in_zone_) return;
  rank_ = rank;
  proxies_in_zone_ = std::max<size_t>(1, proxies_in_zone);
  OrderServers();
}

void LoadBalancer::OrderServers() {
  std::vector<uint32_t> usable;
  for (const auto& service : by_service_) {
    for (bool in_local_zone : {true, false}) {
      usable.clear();
      for (uint32_t i : service) {
        if (servers_[i].IsUsable() && servers_[i].in_local_zone == in_local_zone) {
          usable.push_back(i);
        }
      }
      // By id, so that the order is the same on every proxy: indices depend on when a proxy first
      // saw each server.
      std::sort(usable.begin(), usable.end(),
                [&](uint32_t a, uint32_t b) { return servers_[a].id < servers_[b].id; });
      size_t first = rank_ * usable.size() / proxies_in_zone_;
      for (size_t k = 0; k < usable.size(); ++k) {
        size_t rank = (k + usable.size() - first) % usable.size();
        servers_[usable[k]].rank = static_cast<double>(rank) / static_cast<double>(usable.size());
      }
    }
  }
}

namespace {
bool IsAllowed(const ServerState& state, const std::vector<uint32_t>& regions) {
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), state.region) != regions.end();
}
}  // namespace

bool LoadBalancer::HasUsable(uint32_t service, const std::vector<uint32_t>& regions) const {
  if (service >= by_service_.size()) return false;
  for (uint32_t i : by_service_[service]) {
    if (servers_[i].IsUsable() && IsAllowed(servers_[i], regions)) return true;
  }
  return false;
}

void LoadBalancer::SetShares(uint32_t service, std::vector<Share> shares) {
  if (service >= shares_.size()) shares_.resize(service + 1);
  shares_[service] = std::move(shares);
}

std::vector<LoadBalancer::ZoneSlots> LoadBalancer::SlotsByZone(uint32_t service) const {
  std::vector<ZoneSlots> zones;
  uint32_t own = zones_.Find(options_.zone);
  if (own == base::NameIndex::kNone || service >= by_service_.size()) return zones;
  zones.push_back({own, 0});
  for (uint32_t i : by_service_[service]) {
    const ServerState& state = servers_[i];
    if (!state.IsAvailable() || state.in_other_region) continue;
    auto at = std::find_if(zones.begin(), zones.end(),
                           [&](const ZoneSlots& known) { return known.zone == state.zone; });
    if (at == zones.end()) at = zones.insert(zones.end(), {state.zone, 0});
    at->slots += state.capacity;
  }
  return zones;
}

// Draws the zone whose servers a request prefers, according to the service's shares.
uint32_t LoadBalancer::PickZone(uint32_t service) {
  if (service < shares_.size() && !shares_[service].empty()) {
    double draw = random_.Unit();
    for (const Share& share : shares_[service]) {
      if (draw < share.fraction) return share.zone;
      draw -= share.fraction;
    }
  }
  return zones_.Find(options_.zone);
}

// Whether the rate limit of slow start, if it applies, lets this proxy send the server one more
// request.
bool LoadBalancer::HasSlowStartToken(base::Millis now, ServerState* state) {
  if (!IsInSlowStart(now, *state)) return true;
  if (now >= owners_due_at_) AssignOwners(now);
  // The limit applies to the sum over all proxies, so only the owner may send.
  if (!state->owned) return false;
  RefillTokens(now, state);
  return state->tokens >= 1;
}

// Lower is better; 1 is an idle server of mean latency, without penalties.
double LoadBalancer::Score(base::Millis now, const ServerState& state, uint32_t preferred_zone,
                           double mean_ms) {
  double ratio = state.latency_ratio;
  if (now < state.slow_start_until) ratio *= 1 + kSlowStartPenalty;
  // A long-unanswered attempt outweighs earlier answers: a server that stops answering leaves
  // latency_ratio as it was.
  for (base::Millis sent_at : state.sent_at) {
    ratio = std::max(ratio, static_cast<double>(now - sent_at) / mean_ms * kInFlightAgeWeight);
  }
  double score = ratio * (1 + static_cast<double>(state.in_flight) / state.capacity);
  if (state.zone != preferred_zone) score += options_.remote_zone_penalty;
  if (state.in_other_region) score += options_.remote_region_penalty;
  score += options_.rank_penalty * state.rank;
  return score + random_.Unit() * kTieBreakNoise;
}

uint32_t LoadBalancer::Choose(base::Millis now, const Request& request, bool secondary) {
  if (request.service >= by_service_.size()) return kNoServer;
  uint32_t preferred_zone = PickZone(request.service);
  bool any_eligible = false;
  uint32_t best = ChooseBest(now, request, secondary, false, preferred_zone, &any_eligible);
  // With no other eligible server, an ejected one is better than none.
  bool use_ejected = best == kNoServer && !any_eligible && !secondary;
  return use_ejected ? ChooseBest(now, request, secondary, true, preferred_zone, &any_eligible)
                     : best;
}

// Of the eligible servers with fewer attempts in flight than their limit, returns the one with the
// lowest score, or kNoServer. Sets `any_eligible` if a server was eligible, even at its limit.
uint32_t LoadBalancer::ChooseBest(base::Millis now, const Request& request, bool secondary,
                                  bool include_ejected, uint32_t preferred_zone,
                                  bool* any_eligible) {
  double mean_ms = std::max(1.0, request.mean_ms);
  uint32_t best = kNoServer;
  double best_score = 0;
  for (uint32_t index : by_service_[request.service]) {
    ServerState& state = servers_[index];
    if (!state.IsUsableFor(secondary) || !IsAllowed(state, request.regions)) continue;
    const std::vector<uint32_t>& tried = request.tried;
    if (std::find(tried.begin(), tried.end(), index) != tried.end()) continue;
    if (!HasSlowStartToken(now, &state)) continue;
    if (!include_ejected) {
      if (state.ejected_until != 0) continue;
      // A readmitted server gets one idempotent request at a time: if it still fails, the request
      // can be retried elsewhere.
      if (state.probation && (!request.idempotent || state.in_flight > 0)) continue;
    }
    *any_eligible = true;
    if (state.in_flight >= std::max(1.0, std::floor(state.limit))) continue;
    double score = Score(now, state, preferred_zone, mean_ms);
    if (best == kNoServer || score < best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

}  // namespace elderkeel::forwarding
