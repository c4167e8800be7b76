#include "load/load_tracker.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::load {
namespace {
constexpr double kMeasureWeight = 0.3;    // of what was measured since the last tick
constexpr double kPullToOwn = 0.08;       // of the mean towards this proxy's own, at each tick
constexpr base::Millis kForgetMs = 5000;  // what was received of a zone counts for so long
constexpr base::Millis kLeastMs = 100;    // between two ticks: less measures nothing
constexpr size_t kMostNames = 256;        // services and zones that a report may name
}  // namespace

uint32_t Key(const std::string& name) { return static_cast<uint32_t>(base::Hash(name)); }

void LoadTracker::Count(base::Millis now, uint32_t service, int change) {
  Measured& m = measured_[service];
  base::Millis since = std::max(m.at, tick_at_);
  if (now > since) m.area += static_cast<double>(m.in_flight) * static_cast<double>(now - since);
  m.at = std::max(m.at, now);
  m.in_flight += change;
}

void LoadTracker::Tick(base::Millis now) {
  if (tick_at_ == 0) tick_at_ = now;
  if (now - tick_at_ < kLeastMs) return;
  double span = static_cast<double>(now - tick_at_);
  for (const auto& [service, mean] : own_) measured_[service];
  for (auto& [service, m] : measured_) {
    Count(now, service, 0);
    double measured = m.area / span;
    m.area = 0;
    // What changes here changes the mean at once; levelling then spreads it over the zone. What got
    // lost on the way, or went with a proxy that ended, the pull mends.
    auto [own, added] = own_.emplace(service, measured);
    double& mean = own->second;
    if (!m.known) {
      // A mean that was received before counts this proxy's clients already, as well as anybody's.
      m.known = true;
      m.smooth = measured;
      continue;
    }
    double before = m.smooth;
    m.smooth += kMeasureWeight * (measured - m.smooth);
    mean = std::max(0.0, mean + m.smooth - before + kPullToOwn * (m.smooth - mean));
  }
  known_ = true;
  tick_at_ = now;
}

LoadReport LoadTracker::MakeReport(base::Millis now, size_t proxies) const {
  LoadReport report;
  auto add = [&](uint32_t zone, base::Millis age, size_t of, const auto& means) {
    report.push_back({zone,
                      static_cast<uint32_t>(age),
                      static_cast<uint16_t>(std::min<size_t>(of, UINT16_MAX)),
                      {}});
    for (const auto& [service, mean] : means) {
      report.back().means.push_back({service, static_cast<float>(mean)});
    }
  };
  if (known_) add(zone_, 0, proxies, own_);
  for (const auto& [key, zone] : others_) {
    if (now - zone.at <= kForgetMs) add(key, now - zone.at, zone.proxies, zone.means);
  }
  return report;
}

void LoadTracker::MergeReport(base::Millis now, const LoadReport& report) {
  if (report.size() > kMostNames) return;
  for (const ZoneLoad& received : report) {
    if (received.means.size() > kMostNames) continue;
    if (received.zone == zone_) {
      if (received.age_ms > 0) continue;  // this zone's own mean comes from its proxies alone
      for (const auto& [service, mean] : received.means) {
        if (!(mean >= 0)) continue;
        auto [at, added] = own_.emplace(service, mean);
        if (!added) at->second = (at->second + static_cast<double>(mean)) / 2;
      }
      continue;
    }
    base::Millis at = now - static_cast<base::Millis>(received.age_ms);
    if (now - at > kForgetMs) continue;
    auto known = others_.find(received.zone);
    if (known == others_.end() && others_.size() >= kMostNames) continue;
    Zone& zone = others_[received.zone];
    if (known != others_.end() && at <= zone.at) continue;
    zone.at = at;
    zone.proxies = received.proxies;
    zone.means.clear();
    for (const auto& [service, mean] : received.means) {
      if (mean >= 0) zone.means[service] = static_cast<double>(mean);
    }
  }
}

double LoadTracker::Of(base::Millis now, uint32_t zone, uint32_t service,
                       size_t own_proxies) const {
  if (zone == zone_) {
    auto at = own_.find(service);
    return at == own_.end() ? 0 : at->second * static_cast<double>(own_proxies);
  }
  auto at = others_.find(zone);
  if (at == others_.end() || now - at->second.at > kForgetMs) return -1;
  auto mean = at->second.means.find(service);
  return mean == at->second.means.end() ? 0 : mean->second * at->second.proxies;
}

std::vector<double> SplitByCapacity(const std::vector<ZoneCapacity>& zones, size_t home,
                                    double home_share) {
  std::vector<double> shares(zones.size(), 0);
  shares[home] = 1;
  double slots = 0, load = 0;
  for (const ZoneCapacity& zone : zones) {
    if (zone.load < 0) continue;
    slots += zone.slots;
    load += zone.load;
  }
  double wanted = zones[home].load;
  if (slots <= 0 || wanted <= 0) return shares;
  double level = std::max(home_share, load / slots);
  double beyond = wanted - level * zones[home].slots;
  if (beyond <= 0) return shares;
  auto room = [&](size_t i) {
    if (i == home || zones[i].load < 0) return 0.0;
    return std::max(0.0, level * zones[i].slots - zones[i].load);
  };
  double total_room = 0;
  for (size_t i = 0; i < zones.size(); ++i) total_room += room(i);
  if (total_room <= 0) return shares;
  double diverted = std::min(1.0, std::min(beyond, total_room) / wanted);
  shares[home] = 1 - diverted;
  for (size_t i = 0; i < zones.size(); ++i) {
    if (i != home) shares[i] = diverted * room(i) / total_room;
  }
  return shares;
}

}  // namespace elderkeel::load
