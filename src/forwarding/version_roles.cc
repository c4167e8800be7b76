// Which servers requests may go to while a version is rolled out.
#include <algorithm>

#include "forwarding/load_balancer.h"

namespace elderkeel::forwarding {
std::vector<uint32_t> LoadBalancer::SetVersions(uint32_t service, const rollout::Rule& rule,
                                                double limited_share) {
  if (service >= rules_.size()) rules_.resize(service + 1);
  rules_[service] = {rule, limited_share};
  std::vector<uint32_t> excluded;
  if (service >= by_service_.size()) return excluded;
  AssignVersionRoles(service);
  OrderServers();
  for (uint32_t i : by_service_[service]) {
    if (servers_[i].version_role == ServerState::VersionRole::kExcluded) excluded.push_back(i);
  }
  return excluded;
}

void LoadBalancer::AssignVersionRoles(uint32_t service) {
  if (service >= rules_.size() || !rules_[service].rule.known) return;
  const rollout::Rule& rule = rules_[service].rule;
  using VersionRole = ServerState::VersionRole;
  bool any_primary = false;
  // By zone, the servers of a version that only a few may show.
  std::map<uint32_t, std::vector<std::pair<uint64_t, uint32_t>>> limited;
  for (uint32_t i : by_service_[service]) {
    ServerState& state = servers_[i];
    const std::string& version = versions_.Name(state.version);
    if (!rule.excluded.empty() && version == rule.excluded) {
      state.version_role = VersionRole::kExcluded;
    } else if (!rule.secondary.empty() && version == rule.secondary) {
      state.version_role = rule.limited ? VersionRole::kExcluded : VersionRole::kSecondary;
      if (rule.limited && !state.draining) {
        limited[state.zone].push_back({base::Hash(state.id, rule.number), i});
      }
    } else {
      state.version_role = rule.primary.empty() || version == rule.primary ? VersionRole::kPrimary
                                                                           : VersionRole::kExcluded;
    }
    any_primary |= state.version_role == VersionRole::kPrimary && !state.draining;
  }
  // The same few on every proxy, and in each zone, so that they see load as all will, and a request
  // need not leave its zone.
  for (auto& [zone, servers] : limited) {
    std::sort(servers.begin(), servers.end());
    size_t least = (3 + limited.size() - 1) / limited.size();
    size_t count = std::max(
        least, static_cast<size_t>(
                   rules_[service].limited_share * static_cast<double>(servers.size()) + 0.5));
    for (size_t k = 0; k < std::min(count, servers.size()); ++k) {
      servers_[servers[k].second].version_role = VersionRole::kSecondary;
    }
  }
  if (any_primary) return;
  // No server is left that may be sent to: what this node knows of versions is older than the list.
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
