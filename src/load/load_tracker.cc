#include "load/load_tracker.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::load {
namespace {
constexpr double kMeasurementWeight = 0.3;      // of a tick's measurement in the smoothed load
constexpr double kOwnLoadCorrection = 0.08;     // per tick, of the mean towards the own load
constexpr base::Millis kReportExpiryMs = 5000;  // reports of another zone are valid for this long
constexpr base::Millis kMinTickMs = 100;        // a shorter span between ticks measures too little
constexpr size_t kMaxReportEntries = 256;       // zones, and services of each zone
}  // namespace

uint32_t NameKey(const std::string& name) { return static_cast<uint32_t>(base::Hash(name)); }

void LoadTracker::Count(base::Millis now, uint32_t service, int change) {
  OwnLoad& load = own_loads_[service];
  base::Millis since = std::max(load.updated_at, tick_at_);
  if (now > since)
    load.in_flight_ms += static_cast<double>(load.in_flight) * static_cast<double>(now - since);
  load.updated_at = std::max(load.updated_at, now);
  load.in_flight += change;
}

void LoadTracker::Tick(base::Millis now) {
  if (tick_at_ == 0) tick_at_ = now;
  if (now - tick_at_ < kMinTickMs) return;
  double span = static_cast<double>(now - tick_at_);
  for (const auto& [service, mean] : own_means_) own_loads_[service];
  for (auto& [service, load] : own_loads_) {
    Count(now, service, 0);
    double measured = load.in_flight_ms / span;
    load.in_flight_ms = 0;
    // A change of this proxy's own load goes into its estimate of the mean at once; averaging with
    // peers then spreads it over the zone. The correction towards the own load removes the errors
    // that lost reports leave behind, and the load of proxies that have ended.
    auto [estimate, added] = own_means_.emplace(service, measured);
    double& mean = estimate->second;
    if (!load.initialized) {
      // A mean that a peer reported before this first measurement is an average over all proxies
      // of the zone, this one included, so the own load is not added to it.
      load.initialized = true;
      load.smoothed = measured;
      continue;
    }
    double before = load.smoothed;
    load.smoothed += kMeasurementWeight * (measured - load.smoothed);
    mean =
        std::max(0.0, mean + load.smoothed - before + kOwnLoadCorrection * (load.smoothed - mean));
  }
  has_ticked_ = true;
  tick_at_ = now;
}

LoadReport LoadTracker::MakeReport(base::Millis now, size_t proxies) const {
  LoadReport report;
  auto add = [&](uint32_t zone, base::Millis age, size_t zone_proxies, const auto& means) {
    report.push_back({zone,
                      static_cast<uint32_t>(age),
                      static_cast<uint16_t>(std::min<size_t>(zone_proxies, UINT16_MAX)),
                      {}});
    for (const auto& [service, mean] : means) {
      report.back().means.push_back({service, static_cast<float>(mean)});
    }
  };
  if (has_ticked_) add(zone_, 0, proxies, own_means_);
  for (const auto& [key, zone] : other_zones_) {
    if (now - zone.measured_at <= kReportExpiryMs)
      add(key, now - zone.measured_at, zone.proxies, zone.means);
  }
  return report;
}

void LoadTracker::MergeReport(base::Millis now, const LoadReport& report) {
  if (report.size() > kMaxReportEntries) return;
  for (const ZoneLoad& received : report) {
    if (received.means.size() > kMaxReportEntries) continue;
    if (received.zone == zone_) {
      // This zone's mean is accepted only first-hand, from the zone's own proxies.
      if (received.age_ms > 0) continue;
      for (const auto& [service, mean] : received.means) {
        if (!(mean >= 0)) continue;
        auto [at, added] = own_means_.emplace(service, mean);
        if (!added) at->second = (at->second + static_cast<double>(mean)) / 2;
      }
      continue;
    }
    base::Millis at = now - static_cast<base::Millis>(received.age_ms);
    if (now - at > kReportExpiryMs) continue;
    auto known = other_zones_.find(received.zone);
    if (known == other_zones_.end() && other_zones_.size() >= kMaxReportEntries) continue;
    ZoneReport& zone = other_zones_[received.zone];
    if (known != other_zones_.end() && at <= zone.measured_at) continue;
    zone.measured_at = at;
    zone.proxies = received.proxies;
    zone.means.clear();
    for (const auto& [service, mean] : received.means) {
      if (mean >= 0) zone.means[service] = static_cast<double>(mean);
    }
  }
}

double LoadTracker::AttemptsInFlight(base::Millis now, uint32_t zone, uint32_t service,
                                     size_t own_proxies) const {
  if (zone == zone_) {
    auto at = own_means_.find(service);
    return at == own_means_.end() ? 0 : at->second * static_cast<double>(own_proxies);
  }
  auto at = other_zones_.find(zone);
  if (at == other_zones_.end() || now - at->second.measured_at > kReportExpiryMs) return -1;
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
  double home_load = zones[home].load;
  if (slots <= 0 || home_load <= 0) return shares;
  double threshold = std::max(home_share, load / slots);
  double excess = home_load - threshold * zones[home].slots;
  if (excess <= 0) return shares;
  auto headroom = [&](size_t i) {
    if (i == home || zones[i].load < 0) return 0.0;
    return std::max(0.0, threshold * zones[i].slots - zones[i].load);
  };
  double total_headroom = 0;
  for (size_t i = 0; i < zones.size(); ++i) total_headroom += headroom(i);
  if (total_headroom <= 0) return shares;
  double diverted = std::min(1.0, std::min(excess, total_headroom) / home_load);
  shares[home] = 1 - diverted;
  for (size_t i = 0; i < zones.size(); ++i) {
    if (i != home) shares[i] = diverted * headroom(i) / total_headroom;
  }
  return shares;
}

}  // namespace elderkeel::load
