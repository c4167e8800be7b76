#include "forwarding/load_sharing.h"

namespace elderkeel::forwarding {
namespace {
constexpr base::Millis kTickIntervalMs = 400;  // between two computations of the shares
// The fraction of a zone's slots that its own requests fill before some go to other zones.
constexpr double kHomeZoneShare = 0.7;
}  // namespace

uint32_t LoadSharing::KeyOf(uint32_t service) {
  for (auto i = static_cast<uint32_t>(keys_.size()); i <= service; ++i) {
    keys_.push_back(load::NameKey(services_->Name(i)));
  }
  return keys_[service];
}

void LoadSharing::Tick(base::Millis now) {
  if (now < next_tick_at_) return;
  next_tick_at_ = now + kTickIntervalMs;
  tracker_.Tick(now);
  for (uint32_t service = 0; service < services_->size(); ++service) {
    balancer_->SetShares(service, SharesOf(now, service));
  }
}

std::vector<LoadBalancer::Share> LoadSharing::SharesOf(base::Millis now, uint32_t service) {
  std::vector<LoadBalancer::ZoneSlots> zones = balancer_->SlotsByZone(service);
  std::vector<LoadBalancer::Share> shares;
  if (zones.empty()) return shares;
  std::vector<load::ZoneCapacity> capacities;
  capacities.reserve(zones.size());
  for (const auto& [zone, slots] : zones) {
    uint32_t key = load::NameKey(balancer_->ZoneName(zone));
    capacities.push_back(
        {slots, tracker_.AttemptsInFlight(now, key, KeyOf(service), balancer_->proxies_in_zone())});
  }
  std::vector<double> fractions = load::SplitByCapacity(capacities, 0, kHomeZoneShare);
  for (size_t i = 0; i < fractions.size(); ++i) {
    if (fractions[i] > 0) shares.push_back({zones[i].zone, fractions[i]});
  }
  return shares;
}

load::LoadReport LoadSharing::MakeReport(base::Millis now) const {
  return tracker_.MakeReport(now, balancer_->proxies_in_zone());
}

void LoadSharing::MergeReport(base::Millis now, const load::LoadReport& report) {
  tracker_.MergeReport(now, report);
}

}  // namespace elderkeel::forwarding
