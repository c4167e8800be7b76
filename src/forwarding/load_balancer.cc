#include "forwarding/load_balancer.h"

#include <algorithm>
#include <cmath>

namespace elderkeel::forwarding {
namespace {
constexpr double kLatencyWeight = 0.15;
constexpr double kLimitGrowth = 0.25;
constexpr double kChance = 0.02;      // between servers that are as good
constexpr double kSilentAge = 2.5;    // in mean latencies: a send given up after so long was late
constexpr double kWarmPenalty = 1.0;  // a server that is not warm counts as twice as slow
}  // namespace

std::vector<LoadBalancer::Change> LoadBalancer::Adopt(
    base::Millis now, const discovery::EndpointSnapshot& endpoints) {
  std::vector<Change> changes;
  std::vector<bool> seen(balancer_.size(), false);
  for (const discovery::Server& entry : endpoints.servers) {
    auto address = base::ParseAddress(entry.address);
    if (!address) continue;
    bool known = ids_.Find(entry.id) != base::Names::kNone;
    uint32_t index = ids_.Intern(entry.id);
    if (!known) {
      balancer_.emplace_back();
      seen.push_back(false);
      Server& s = balancer_.back();
      s.id = entry.id;
      s.service = services_->Intern(entry.service);
      s.address = *address;
      s.version = versions_.Intern(entry.revision);
      s.zone = zones_.Intern(entry.zone);
      auto region = options_.regions.find(entry.zone);
      s.region = regions_->Intern(region == options_.regions.end() ? entry.zone : region->second);
      s.near = entry.zone == options_.zone;
      s.far = !options_.region.empty() && regions_->Name(s.region) != options_.region;
      s.zone_drained = std::binary_search(drained_zones_.begin(), drained_zones_.end(), entry.zone);
      s.capacity = entry.capacity;
      s.limit = entry.capacity;
      s.ours = Owns(s);
      changes.push_back({index, Change::What::kNew});
    }
    seen[index] = true;
    Server& s = balancer_[index];
    s.listed = true;
    s.capacity = entry.capacity;
    if (entry.draining && !s.draining) changes.push_back({index, Change::What::kDraining});
    s.draining = entry.draining;
    // The list may lag behind what the server itself said; the later end counts.
    SetCold(now, &s, entry.warm_at);
  }
  for (uint32_t i = 0; i < balancer_.size(); ++i) {
    if (!seen[i] && balancer_[i].listed) {
      balancer_[i].listed = false;
      changes.push_back({i, Change::What::kGone});
    }
  }
  // Servers that are gone keep their index, for the record, but cost the choice nothing.
  for (auto& service : by_service_) service.clear();
  for (uint32_t i = 0; i < balancer_.size(); ++i) {
    if (!balancer_[i].listed) continue;
    if (balancer_[i].service >= by_service_.size()) by_service_.resize(balancer_[i].service + 1);
    by_service_[balancer_[i].service].push_back(i);
  }
  for (uint32_t service = 0; service < by_service_.size(); ++service) AssignParts(service);
  OrderServers();
  return changes;
}

std::vector<uint32_t> LoadBalancer::SetVersions(uint32_t service, const rollout::Rule& rule,
                                                double limited_share) {
  if (service >= rules_.size()) rules_.resize(service + 1);
  rules_[service] = {rule, limited_share};
  std::vector<uint32_t> excluded;
  if (service >= by_service_.size()) return excluded;
  AssignParts(service);
  OrderServers();
  for (uint32_t i : by_service_[service]) {
    if (balancer_[i].part == Server::Part::kExcluded) excluded.push_back(i);
  }
  return excluded;
}

void LoadBalancer::AssignParts(uint32_t service) {
  if (service >= rules_.size() || !rules_[service].rule.known) return;
  const rollout::Rule& rule = rules_[service].rule;
  using Part = Server::Part;
  bool any_primary = false;
  // By zone, the servers of a version that only a few may show.
  std::map<uint32_t, std::vector<std::pair<uint64_t, uint32_t>>> limited;
  for (uint32_t i : by_service_[service]) {
    Server& s = balancer_[i];
    const std::string& version = versions_.Name(s.version);
    if (!rule.excluded.empty() && version == rule.excluded) {
      s.part = Part::kExcluded;
    } else if (!rule.secondary.empty() && version == rule.secondary) {
      s.part = rule.limited ? Part::kExcluded : Part::kSecondary;
      if (rule.limited && !s.draining) {
        limited[s.zone].push_back({base::Hash(s.id, rule.number), i});
      }
    } else {
      s.part = rule.primary.empty() || version == rule.primary ? Part::kPrimary : Part::kExcluded;
    }
    any_primary |= s.part == Part::kPrimary && !s.draining;
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
      balancer_[servers[k].second].part = Part::kSecondary;
    }
  }
  if (any_primary) return;
  // No server is left that may be sent to: what this node knows of versions is older than the list.
  for (uint32_t i : by_service_[service]) {
    if (rule.excluded.empty() || versions_.Name(balancer_[i].version) != rule.excluded) {
      balancer_[i].part = Part::kPrimary;
    }
  }
}

uint32_t LoadBalancer::InFlight(uint32_t service, const std::string& version) const {
  uint32_t index = versions_.Find(version);
  uint32_t count = 0;
  for (const Server& s : balancer_) {
    if (s.service == service && s.version == index) count += static_cast<uint32_t>(s.in_flight);
  }
  return count;
}

void LoadBalancer::SetRank(size_t place, size_t places) {
  if (place == place_ && places == places_) return;
  place_ = place;
  places_ = std::max<size_t>(1, places);
  OrderServers();
}

void LoadBalancer::OrderServers() {
  std::vector<uint32_t> open;
  for (const auto& service : by_service_) {
    for (bool near : {true, false}) {
      open.clear();
      for (uint32_t i : service) {
        if (balancer_[i].Usable() && balancer_[i].near == near) {
          open.push_back(i);
        }
      }
      // The same order on every node, whatever the order in which it came to know them.
      std::sort(open.begin(), open.end(),
                [&](uint32_t a, uint32_t b) { return balancer_[a].id < balancer_[b].id; });
      size_t first = place_ * open.size() / places_;
      for (size_t k = 0; k < open.size(); ++k) {
        size_t rank = (k + open.size() - first) % open.size();
        balancer_[open[k]].rank = static_cast<double>(rank) / static_cast<double>(open.size());
      }
    }
  }
}

void LoadBalancer::SetZoneProxies(uint64_t self, std::vector<uint64_t> peers) {
  if (self == self_ && peers == peers_) return;
  self_ = self;
  peers_ = std::move(peers);
  NameOwners();
}

// The owner of a cold server is the proxy of this zone that draws the highest number for it: all
// who see the same proxies name the same one, and one more or less moves few.
bool LoadBalancer::Owns(const Server& s) const {
  if (!s.near) return false;
  uint64_t key = base::Hash(s.id);
  uint64_t ours = base::Random(key ^ self_).Next();
  return std::none_of(peers_.begin(), peers_.end(), [&](uint64_t peer) {
    return peer != self_ && base::Random(key ^ peer).Next() > ours;
  });
}

void LoadBalancer::NameOwners() {
  for (Server& s : balancer_) {
    if (s.listed) s.ours = Owns(s);
  }
}

void LoadBalancer::SetDrainedZones(base::Millis now, const std::vector<std::string>& zones,
                                   base::Millis doubt) {
  drained_zones_ = zones;
  for (Server& s : balancer_) {
    bool zone_drained = std::binary_search(zones.begin(), zones.end(), zones_.Name(s.zone));
    if (s.zone_drained && !zone_drained) SetCold(now, &s, now + doubt);
    s.zone_drained = zone_drained;
  }
}

void LoadBalancer::SetWarmup(uint32_t service, double per_s) {
  if (service >= warmup_per_s_.size()) warmup_per_s_.resize(service + 1, 0);
  warmup_per_s_[service] = per_s;
}

void LoadBalancer::NoteWarmup(base::Millis now, uint32_t server, base::Millis left) {
  SetCold(now, &balancer_[server], now + left);
}

void LoadBalancer::SetCold(base::Millis now, Server* s, base::Millis until) {
  if (until <= now || until <= s->warm_at) return;
  if (s->warm_at <= now) s->cold_since = now;
  s->warm_at = until;
}

// The allowance of a cold server grows at the rate that it carries, and saves up to one send.
void LoadBalancer::Refill(base::Millis now, Server* s) const {
  // Nothing is saved from before it was seen to be cold, nor from the life before this one.
  base::Millis since = std::max(s->allowed_at, s->cold_since);
  double grown = static_cast<double>(now - since) / 1000 * PerSecond(s->service);
  s->allowance = std::min(1.0, (s->allowed_at < s->cold_since ? 0.0 : s->allowance) + grown);
  s->allowed_at = now;
}

namespace {
bool Allowed(const Server& s, const std::vector<uint32_t>& regions) {
  return regions.empty() || std::find(regions.begin(), regions.end(), s.region) != regions.end();
}
}  // namespace

bool LoadBalancer::Any(uint32_t service, const std::vector<uint32_t>& regions) const {
  if (service >= by_service_.size()) return false;
  for (uint32_t i : by_service_[service]) {
    if (balancer_[i].Usable() && Allowed(balancer_[i], regions)) return true;
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
  if (own == base::Names::kNone || service >= by_service_.size()) return zones;
  zones.push_back({own, 0});
  for (uint32_t i : by_service_[service]) {
    const Server& s = balancer_[i];
    if (!s.Open() || s.far) continue;
    auto at = std::find_if(zones.begin(), zones.end(),
                           [&](const ZoneSlots& known) { return known.zone == s.zone; });
    if (at == zones.end()) at = zones.insert(zones.end(), {s.zone, 0});
    at->slots += s.capacity;
  }
  return zones;
}

// The zone whose servers a request should go to before others.
uint32_t LoadBalancer::DrawZone(uint32_t service) {
  if (service < shares_.size() && !shares_[service].empty()) {
    double draw = random_.Unit();
    for (const Share& share : shares_[service]) {
      if (draw < share.part) return share.zone;
      draw -= share.part;
    }
  }
  return zones_.Find(options_.zone);
}

uint32_t LoadBalancer::Choose(base::Millis now, uint32_t service, double mean_ms,
                              const std::vector<uint32_t>& tried, bool idempotent,
                              const std::vector<uint32_t>& regions, bool secondary) {
  if (service >= by_service_.size()) return kNone;
  mean_ms = std::max(1.0, mean_ms);
  uint32_t best = kNone;
  double best_score = 0;
  bool any_open = false;
  uint32_t zone = DrawZone(service);
  auto consider = [&](bool held_too) {
    for (uint32_t i : by_service_[service]) {
      Server& s = balancer_[i];
      if (!s.Takes(secondary) || !Allowed(s, regions)) continue;
      if (std::find(tried.begin(), tried.end(), i) != tried.end()) continue;
      if (Cold(now, s)) {
        // What all nodes together may send to it is one node's to give.
        if (!s.ours) continue;
        Refill(now, &s);
        if (s.allowance < 1) continue;
      }
      if (!held_too) {
        if (s.ejected_until != 0) continue;
        // A server just let back shows itself with what may be repeated.
        if (s.probation && (!idempotent || s.in_flight > 0)) continue;
      }
      any_open = true;
      if (s.in_flight >= std::max(1.0, std::floor(s.limit))) continue;
      double latency_ratio = s.latency_ratio;
      if (now < s.warm_at) latency_ratio *= 1 + kWarmPenalty;
      // A send that has been out for long says more than answers of before.
      for (base::Millis begun : s.begun) {
        latency_ratio = std::max(latency_ratio, static_cast<double>(now - begun) / mean_ms * 0.5);
      }
      double score = latency_ratio * (1 + static_cast<double>(s.in_flight) / s.capacity);
      if (s.zone != zone) score += options_.far_penalty;
      if (s.far) score += options_.region_penalty;
      score += options_.rank_penalty * s.rank;
      score += random_.Unit() * kChance;
      if (best == kNone || score < best_score) {
        best = i;
        best_score = score;
      }
    }
  };
  consider(false);
  // With nothing open, a condemned server is still better than none.
  if (best == kNone && !any_open && !secondary) consider(true);
  return best;
}

void LoadBalancer::Begin(base::Millis now, uint32_t server) {
  Server& s = balancer_[server];
  ++s.in_flight;
  s.begun.push_back(now);
  if (Cold(now, s)) s.allowance -= 1;
}

void LoadBalancer::Remove(uint32_t server, base::Millis begun) {
  Server& s = balancer_[server];
  --s.in_flight;
  auto at = std::find(s.begun.begin(), s.begun.end(), begun);
  if (at != s.begun.end()) s.begun.erase(at);
}

void LoadBalancer::Learn(Server* s, double latency_ratio) {
  s->latency_ratio += kLatencyWeight * (std::clamp(latency_ratio, 0.1, 10.0) - s->latency_ratio);
}

// Silence ends nothing for the request that waits, but where the next one goes must not forget it:
// a server that has gone dark gives no sign but this on a connection that is already there.
void LoadBalancer::OnAttemptAbandoned(base::Millis now, uint32_t server, base::Millis begun,
                                      double mean_ms) {
  Remove(server, begun);
  Server& s = balancer_[server];
  double age = static_cast<double>(now - begun) / std::max(1.0, mean_ms);
  if (age < kSilentAge || now < s.warm_at) return;
  if (age > s.latency_ratio) Learn(&s, age);
  if (++s.failures >= 2 || s.probation) Eject(now, &s);
}

void LoadBalancer::Eject(base::Millis now, Server* s) {
  base::Millis hold = options_.first_ejection << std::min(s->failures - 1, 6);
  s->ejected_until = now + std::min(hold, options_.longest_ejection);
  s->probation = false;
}

void LoadBalancer::End(base::Millis now, uint32_t server, base::Millis begun, Signal signal,
                       double latency_ms, double mean_ms) {
  Remove(server, begun);
  Server& s = balancer_[server];
  switch (signal) {
    case Signal::kGood:
      s.failures = s.failed_probes = 0;
      s.ejected_until = 0;
      s.probation = false;
      s.limit = std::min<double>(s.capacity + 1, s.limit + kLimitGrowth);
      if (latency_ms >= 0 && mean_ms > 0 && now >= s.warm_at) {
        Learn(&s, latency_ms / mean_ms);
      }
      break;
    case Signal::kFull:
      s.limit = std::max(1.0, s.limit / 2);
      break;
    case Signal::kBroken:
      s.limit = std::max(1.0, s.limit / 2);
      if (++s.failures >= 2 || s.probation) Eject(now, &s);
      break;
    case Signal::kUnreachable:
      ++s.failures;
      Eject(now, &s);
      break;
    case Signal::kMisplaced:
      // Its address is another's: gone, whatever an older list may say.
      s.failures += 4;
      s.ejected_until = now + options_.longest_ejection;
      break;
  }
}

std::vector<uint32_t> LoadBalancer::DueProbes(base::Millis now) {
  std::vector<uint32_t> due;
  for (const auto& service : by_service_) {
    for (uint32_t i : service) {
      Server& s = balancer_[i];
      if (s.draining || s.zone_drained || s.probing || s.probation) continue;
      if (s.part == Server::Part::kExcluded) continue;
      if (s.ejected_until == 0 || now < s.ejected_until) continue;
      s.probing = true;
      due.push_back(i);
    }
  }
  return due;
}

void LoadBalancer::OnProbeResult(base::Millis now, uint32_t server, bool good) {
  Server& s = balancer_[server];
  s.probing = false;
  if (s.ejected_until == 0) return;  // an answer spoke first
  s.failed_probes = good ? 0 : s.failed_probes + 1;
  // Health answers may lie both ways. A good one lets the server show itself with one request; so
  // does every second bad one, since a server that is well must not stay out for ever.
  if (good || s.failed_probes % 2 == 0) {
    s.ejected_until = 0;
    s.probation = true;
    s.limit = 1;
    return;
  }
  ++s.failures;
  Eject(now, &s);
}

}  // namespace elderkeel::forwarding
