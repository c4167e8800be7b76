#include "proxy/fallback_reader.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"

namespace elderkeel::proxy {
namespace {
constexpr base::Millis kFirstEndpointsTimeoutMs = 1500;  // while there are no endpoints at all
constexpr base::Millis kMaxStaggerMs = 1000;
constexpr base::Millis kRetryDelayMs = 2000;  // after a failed read
constexpr base::Millis kMinReadIntervalMs = 1000;
constexpr double kRateShare = 0.25;  // share of the platform's rate limit for all nodes together
}  // namespace

FallbackReader::FallbackReader(base::Loop* loop, const base::Settings* settings,
                               cluster::ClusterNode* node)
    : settings_(settings), node_(node), platform_(loop, settings->platform) {}

base::Millis FallbackReader::ReadInterval() const {
  auto nodes = static_cast<double>(node_->membership().ReachableOthers().size() + 1);
  double interval_ms = nodes * 1000 / kRateShare / settings_->platform_rate_per_s;
  return std::max(kMinReadIntervalMs, static_cast<base::Millis>(interval_ms));
}

void FallbackReader::Tick(base::Millis now) {
  base::Millis age = node_->disseminator().endpoints_read_age(now);
  base::Millis max_age = age < 0 ? kFirstEndpointsTimeoutMs : settings_->stale_catalog_ms;
  if (platform_.busy() || now < next_read_at_) return;
  if (next_read_at_ == 0) {
    // Staggered by id, so that nodes that start together don't call the platform at the same time.
    auto stagger = static_cast<base::Millis>(node_->membership().self().id % kMaxStaggerMs);
    next_read_at_ = now + max_age + stagger;
    return;
  }
  if (age >= 0 && age < max_age) return;
  next_read_at_ = now + ReadInterval();
  platform_.Read([this](base::Result<discovery::Reading> reading) {
    if (!reading) {
      base::Warn("catalog.read_failed", reading.error());
      next_read_at_ = base::SteadyMillis() + kRetryDelayMs;
      return;
    }
    size_t servers = reading->servers.size();
    base::Millis age = base::SteadyMillis() - reading->requested_at;
    bool adopted = node_->AdoptOwnReading(std::move(*reading));
    base::Info(adopted ? "catalog.read_by_proxy" : "catalog.reading_outdated",
               {{"servers", servers}, {"age_ms", age}});
  });
}

}  // namespace elderkeel::proxy
