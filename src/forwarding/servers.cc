#include "forwarding/servers.h"

#include <algorithm>
#include <cmath>

namespace elderkeel::forwarding {
namespace {
constexpr double kPaceWeight = 0.15;
constexpr double kLimitGrowth = 0.25;
constexpr double kChance = 0.02;      // between servers that are as good
constexpr double kSilentAge = 2.5;    // in mean latencies: a send given up after so long was late
constexpr double kWarmPenalty = 1.0;  // a server that is not warm counts as twice as slow
}  // namespace

std::vector<Servers::Change> Servers::Adopt(base::Millis now,
                                            const discovery::EndpointSnapshot& endpoints) {
  std::vector<Change> changes;
  std::vector<bool> seen(servers_.size(), false);
  for (const discovery::Server& entry : endpoints.servers) {
    auto address = base::ParseAddress(entry.address);
    if (!address) continue;
    bool known = ids_.Find(entry.id) != base::Names::kNone;
    uint32_t index = ids_.Intern(entry.id);
    if (!known) {
      servers_.emplace_back();
      seen.push_back(false);
      Server& s = servers_.back();
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
    Server& s = servers_[index];
    s.listed = true;
    s.capacity = entry.capacity;
    if (entry.draining && !s.draining) changes.push_back({index, Change::What::kDraining});
    s.draining = entry.draining;
    // The list may lag behind what the server itself said; the later end counts.
    SetCold(now, &s, entry.warm_at);
  }
  for (uint32_t i = 0; i < servers_.size(); ++i) {
    if (!seen[i] && servers_[i].listed) {
      servers_[i].listed = false;
      changes.push_back({i, Change::What::kGone});
    }
  }
  // Servers that are gone keep their index, for the record, but cost the choice nothing.
  for (auto& service : by_service_) service.clear();
  for (uint32_t i = 0; i < servers_.size(); ++i) {
    if (!servers_[i].listed) continue;
    if (servers_[i].service >= by_service_.size()) by_service_.resize(servers_[i].service + 1);
    by_service_[servers_[i].service].push_back(i);
  }
  for (uint32_t service = 0; service < by_service_.size(); ++service) AssignParts(service);
  OrderServers();
  return changes;
}

std::vector<uint32_t> Servers::SetVersions(uint32_t service, const rollout::Rule& rule,
                                           double few_share) {
  if (service >= rules_.size()) rules_.resize(service + 1);
  rules_[service] = {rule, few_share};
  std::vector<uint32_t> barred;
  if (service >= by_service_.size()) return barred;
  AssignParts(service);
  OrderServers();
  for (uint32_t i : by_service_[service]) {
    if (servers_[i].part == Server::Part::kBarred) barred.push_back(i);
  }
  return barred;
}

void Servers::AssignParts(uint32_t service) {
  if (service >= rules_.size() || !rules_[service].rule.known) return;
  const rollout::Rule& rule = rules_[service].rule;
  using Part = Server::Part;
  bool any_main = false;
  // By zone, the servers of a version that only a few may show.
  std::map<uint32_t, std::vector<std::pair<uint64_t, uint32_t>>> few;
  for (uint32_t i : by_service_[service]) {
    Server& s = servers_[i];
    const std::string& version = versions_.Name(s.version);
    if (!rule.barred.empty() && version == rule.barred) {
      s.part = Part::kBarred;
    } else if (!rule.side.empty() && version == rule.side) {
      s.part = rule.few ? Part::kBarred : Part::kSide;
      if (rule.few && !s.draining) {
        few[s.zone].push_back({base::Hash(s.id, rule.number), i});
      }
    } else {
      s.part = rule.main.empty() || version == rule.main ? Part::kMain : Part::kBarred;
    }
    any_main |= s.part == Part::kMain && !s.draining;
  }
  // The same few on every proxy, and in each zone, so that they see load as all will, and a request
  // need not leave its zone.
  for (auto& [zone, servers] : few) {
    std::sort(servers.begin(), servers.end());
    size_t least = (3 + few.size() - 1) / few.size();
    size_t count = std::max(
        least,
        static_cast<size_t>(rules_[service].few_share * static_cast<double>(servers.size()) + 0.5));
    for (size_t k = 0; k < std::min(count, servers.size()); ++k) {
      servers_[servers[k].second].part = Part::kSide;
    }
  }
  if (any_main) return;
  // No server is left that may be sent to: what this node knows of versions is older than the list.
  for (uint32_t i : by_service_[service]) {
    if (rule.barred.empty() || versions_.Name(servers_[i].version) != rule.barred) {
      servers_[i].part = Part::kMain;
    }
  }
}

uint32_t Servers::InFlight(uint32_t service, const std::string& version) const {
  uint32_t index = versions_.Find(version);
  uint32_t count = 0;
  for (const Server& s : servers_) {
    if (s.service == service && s.version == index) count += static_cast<uint32_t>(s.in_flight);
  }
  return count;
}

void Servers::SetPlace(size_t place, size_t places) {
  if (place == place_ && places == places_) return;
  place_ = place;
  places_ = std::max<size_t>(1, places);
  OrderServers();
}

void Servers::OrderServers() {
  std::vector<uint32_t> open;
  for (const auto& service : by_service_) {
    for (bool near : {true, false}) {
      open.clear();
      for (uint32_t i : service) {
        if (servers_[i].Usable() && servers_[i].near == near) {
          open.push_back(i);
        }
      }
      // The same order on every node, whatever the order in which it came to know them.
      std::sort(open.begin(), open.end(),
                [&](uint32_t a, uint32_t b) { return servers_[a].id < servers_[b].id; });
      size_t first = place_ * open.size() / places_;
      for (size_t k = 0; k < open.size(); ++k) {
        size_t turn = (k + open.size() - first) % open.size();
        servers_[open[k]].turn = static_cast<double>(turn) / static_cast<double>(open.size());
      }
    }
  }
}

void Servers::SetPeers(uint64_t self, std::vector<uint64_t> peers) {
  if (self == self_ && peers == peers_) return;
  self_ = self;
  peers_ = std::move(peers);
  NameOwners();
}

// The owner of a cold server is the proxy of this zone that draws the highest number for it: all
// who see the same proxies name the same one, and one more or less moves few.
bool Servers::Owns(const Server& s) const {
  if (!s.near) return false;
  uint64_t key = base::Hash(s.id);
  uint64_t ours = base::Random(key ^ self_).Next();
  return std::none_of(peers_.begin(), peers_.end(), [&](uint64_t peer) {
    return peer != self_ && base::Random(key ^ peer).Next() > ours;
  });
}

void Servers::NameOwners() {
  for (Server& s : servers_) {
    if (s.listed) s.ours = Owns(s);
  }
}

void Servers::SetDrainedZones(base::Millis now, const std::vector<std::string>& zones,
                              base::Millis doubt) {
  drained_zones_ = zones;
  for (Server& s : servers_) {
    bool zone_drained = std::binary_search(zones.begin(), zones.end(), zones_.Name(s.zone));
    if (s.zone_drained && !zone_drained) SetCold(now, &s, now + doubt);
    s.zone_drained = zone_drained;
  }
}

void Servers::SetWarmup(uint32_t service, double per_s) {
  if (service >= warmup_per_s_.size()) warmup_per_s_.resize(service + 1, 0);
  warmup_per_s_[service] = per_s;
}

void Servers::NoteWarmup(base::Millis now, uint32_t server, base::Millis left) {
  SetCold(now, &servers_[server], now + left);
}

void Servers::SetCold(base::Millis now, Server* s, base::Millis until) {
  if (until <= now || until <= s->warm_at) return;
  if (s->warm_at <= now) s->cold_since = now;
  s->warm_at = until;
}

// The allowance of a cold server grows at the rate that it carries, and saves up to one send.
void Servers::Refill(base::Millis now, Server* s) const {
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

bool Servers::Any(uint32_t service, const std::vector<uint32_t>& regions) const {
  if (service >= by_service_.size()) return false;
  for (uint32_t i : by_service_[service]) {
    if (servers_[i].Usable() && Allowed(servers_[i], regions)) return true;
  }
  return false;
}

void Servers::SetShares(uint32_t service, std::vector<Share> shares) {
  if (service >= shares_.size()) shares_.resize(service + 1);
  shares_[service] = std::move(shares);
}

std::vector<Servers::ZoneSlots> Servers::SlotsByZone(uint32_t service) const {
  std::vector<ZoneSlots> zones;
  uint32_t own = zones_.Find(options_.zone);
  if (own == base::Names::kNone || service >= by_service_.size()) return zones;
  zones.push_back({own, 0});
  for (uint32_t i : by_service_[service]) {
    const Server& s = servers_[i];
    if (!s.Open() || s.far) continue;
    auto at = std::find_if(zones.begin(), zones.end(),
                           [&](const ZoneSlots& known) { return known.zone == s.zone; });
    if (at == zones.end()) at = zones.insert(zones.end(), {s.zone, 0});
    at->slots += s.capacity;
  }
  return zones;
}

// The zone whose servers a request should go to before others.
uint32_t Servers::DrawZone(uint32_t service) {
  if (service < shares_.size() && !shares_[service].empty()) {
    double draw = random_.Unit();
    for (const Share& share : shares_[service]) {
      if (draw < share.part) return share.zone;
      draw -= share.part;
    }
  }
  return zones_.Find(options_.zone);
}

uint32_t Servers::Choose(base::Millis now, uint32_t service, double mean_ms,
                         const std::vector<uint32_t>& tried, bool idempotent,
                         const std::vector<uint32_t>& regions, bool side) {
  if (service >= by_service_.size()) return kNone;
  mean_ms = std::max(1.0, mean_ms);
  uint32_t best = kNone;
  double best_score = 0;
  bool any_open = false;
  uint32_t zone = DrawZone(service);
  auto consider = [&](bool held_too) {
    for (uint32_t i : by_service_[service]) {
      Server& s = servers_[i];
      if (!s.Takes(side) || !Allowed(s, regions)) continue;
      if (std::find(tried.begin(), tried.end(), i) != tried.end()) continue;
      if (Cold(now, s)) {
        // What all nodes together may send to it is one node's to give.
        if (!s.ours) continue;
        Refill(now, &s);
        if (s.allowance < 1) continue;
      }
      if (!held_too) {
        if (s.held_until != 0) continue;
        // A server just let back shows itself with what may be repeated.
        if (s.on_trial && (!idempotent || s.in_flight > 0)) continue;
      }
      any_open = true;
      if (s.in_flight >= std::max(1.0, std::floor(s.limit))) continue;
      double pace = s.pace;
      if (now < s.warm_at) pace *= 1 + kWarmPenalty;
      // A send that has been out for long says more than answers of before.
      for (base::Millis begun : s.begun) {
        pace = std::max(pace, static_cast<double>(now - begun) / mean_ms * 0.5);
      }
      double score = pace * (1 + static_cast<double>(s.in_flight) / s.capacity);
      if (s.zone != zone) score += options_.far_penalty;
      if (s.far) score += options_.region_penalty;
      score += options_.turn_penalty * s.turn;
      score += random_.Unit() * kChance;
      if (best == kNone || score < best_score) {
        best = i;
        best_score = score;
      }
    }
  };
  consider(false);
  // With nothing open, a condemned server is still better than none.
  if (best == kNone && !any_open && !side) consider(true);
  return best;
}

void Servers::Begin(base::Millis now, uint32_t server) {
  Server& s = servers_[server];
  ++s.in_flight;
  s.begun.push_back(now);
  if (Cold(now, s)) s.allowance -= 1;
}

void Servers::Remove(uint32_t server, base::Millis begun) {
  Server& s = servers_[server];
  --s.in_flight;
  auto at = std::find(s.begun.begin(), s.begun.end(), begun);
  if (at != s.begun.end()) s.begun.erase(at);
}

void Servers::Learn(Server* s, double pace) {
  s->pace += kPaceWeight * (std::clamp(pace, 0.1, 10.0) - s->pace);
}

// Silence ends nothing for the request that waits, but where the next one goes must not forget it:
// a server that has gone dark gives no sign but this on a connection that is already there.
void Servers::Abandon(base::Millis now, uint32_t server, base::Millis begun, double mean_ms) {
  Remove(server, begun);
  Server& s = servers_[server];
  double age = static_cast<double>(now - begun) / std::max(1.0, mean_ms);
  if (age < kSilentAge || now < s.warm_at) return;
  if (age > s.pace) Learn(&s, age);
  if (++s.failures >= 2 || s.on_trial) Hold(now, &s);
}

void Servers::Hold(base::Millis now, Server* s) {
  base::Millis hold = options_.hold_first << std::min(s->failures - 1, 6);
  s->held_until = now + std::min(hold, options_.hold_most);
  s->on_trial = false;
}

void Servers::End(base::Millis now, uint32_t server, base::Millis begun, Signal signal,
                  double latency_ms, double mean_ms) {
  Remove(server, begun);
  Server& s = servers_[server];
  switch (signal) {
    case Signal::kGood:
      s.failures = s.bad_probes = 0;
      s.held_until = 0;
      s.on_trial = false;
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
      if (++s.failures >= 2 || s.on_trial) Hold(now, &s);
      break;
    case Signal::kUnreachable:
      ++s.failures;
      Hold(now, &s);
      break;
    case Signal::kMisplaced:
      // Its address is another's: gone, whatever an older list may say.
      s.failures += 4;
      s.held_until = now + options_.hold_most;
      break;
  }
}

std::vector<uint32_t> Servers::DueProbes(base::Millis now) {
  std::vector<uint32_t> due;
  for (const auto& service : by_service_) {
    for (uint32_t i : service) {
      Server& s = servers_[i];
      if (s.draining || s.zone_drained || s.probing || s.on_trial) continue;
      if (s.part == Server::Part::kBarred) continue;
      if (s.held_until == 0 || now < s.held_until) continue;
      s.probing = true;
      due.push_back(i);
    }
  }
  return due;
}

void Servers::Probed(base::Millis now, uint32_t server, bool good) {
  Server& s = servers_[server];
  s.probing = false;
  if (s.held_until == 0) return;  // an answer spoke first
  s.bad_probes = good ? 0 : s.bad_probes + 1;
  // Health answers may lie both ways. A good one lets the server show itself with one request; so
  // does every second bad one, since a server that is well must not stay out for ever.
  if (good || s.bad_probes % 2 == 0) {
    s.held_until = 0;
    s.on_trial = true;
    s.limit = 1;
    return;
  }
  ++s.failures;
  Hold(now, &s);
}

}  // namespace elderkeel::forwarding
