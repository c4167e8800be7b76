// LoadBalancer: which servers may receive requests while a version is rolled out.

#include <algorithm>
#include <cmath>

#include "forwarding/load_balancer.h"

namespace elderkeel::forwarding {
namespace {

constexpr size_t kMinCanaries = 3;  // of a limited version, in all zones together

// Returns the role of a server of `version`. For a limited secondary version it is kExcluded;
// ChooseCanaries() then gives the canaries their role.
ServerState::VersionRole RoleOf(const std::string& version, const rollout::VersionPolicy& rule) {
  using VersionRole = ServerState::VersionRole;
  if (!rule.excluded.empty() && version == rule.excluded) return VersionRole::kExcluded;
  if (!rule.secondary.empty() && version == rule.secondary) {
    return rule.canary ? VersionRole::kExcluded : VersionRole::kSecondary;
  }
  bool is_primary = rule.primary.empty() || version == rule.primary;
  return is_primary ? VersionRole::kPrimary : VersionRole::kExcluded;
}

}  // namespace

std::vector<uint32_t> LoadBalancer::SetVersions(uint32_t service,
                                                const rollout::VersionPolicy& rule,
                                                double limited_share) {
  if (service >= version_rules_.size()) version_rules_.resize(service + 1);
  version_rules_[service] = {rule, limited_share};
  std::vector<uint32_t> excluded;
  if (service >= by_service_.size()) return excluded;
  AssignVersionRoles(service);
  OrderServers();
  for (uint32_t i : by_service_[service]) {
    if (servers_[i].version_role == ServerState::VersionRole::kExcluded) excluded.push_back(i);
  }
  return excluded;
}

// Gives the canaries among the servers of a limited version the secondary role. Every proxy chooses
// the same few, so that their load is as high as that of all servers will be after promotion. Each
// zone has some, so that a request need not leave its zone.
void LoadBalancer::ChooseCanaries(double share, CanariesByZone* canaries) {
  size_t zones = canaries->size();
  for (auto& [zone, servers] : *canaries) {
    std::sort(servers.begin(), servers.end());
    size_t least = (kMinCanaries + zones - 1) / zones;
    auto by_share = static_cast<size_t>(std::lround(share * static_cast<double>(servers.size())));
    size_t count = std::min(std::max(least, by_share), servers.size());
    for (size_t i = 0; i < count; ++i) {
      servers_[servers[i].second].version_role = ServerState::VersionRole::kSecondary;
    }
  }
}

void LoadBalancer::AssignVersionRoles(uint32_t service) {
  if (service >= version_rules_.size() || !version_rules_[service].rule.known) return;
  const rollout::VersionPolicy& rule = version_rules_[service].rule;
  using VersionRole = ServerState::VersionRole;
  bool any_primary = false;
  CanariesByZone canaries;
  for (uint32_t i : by_service_[service]) {
    ServerState& state = servers_[i];
    const std::string& version = versions_.Name(state.version);
    state.version_role = RoleOf(version, rule);
    any_primary |= state.version_role == VersionRole::kPrimary && !state.draining;
    bool limited = rule.canary && version == rule.secondary && version != rule.excluded;
    if (limited && !version.empty() && !state.draining) {
      canaries[state.zone].emplace_back(base::Hash(state.id, rule.number), i);
    }
  }
  ChooseCanaries(version_rules_[service].limited_share, &canaries);
  if (any_primary) return;
  // No server of the primary version is left, or all of them drain: the rule is older than the list
  // of endpoints. All versions but an excluded one then take requests, since otherwise the service
  // would have no server.
  for (uint32_t i : by_service_[service]) {
    if (rule.excluded.empty() || versions_.Name(servers_[i].version) != rule.excluded) {
      servers_[i].version_role = VersionRole::kPrimary;
    }
  }
}

uint32_t LoadBalancer::InFlight(uint32_t service, const std::string& version) const {
  uint32_t index = versions_.Find(version);
  uint32_t count = 0;
  for (const ServerState& state : servers_) {
    if (state.service == service && state.version == index)
      count += static_cast<uint32_t>(state.in_flight);
  }
  return count;
}

}  // namespace elderkeel::forwarding
