#include "dissemination/sync.h"

#include <algorithm>

namespace elderkeel::dissemination {
namespace {
constexpr size_t kPeersPerRetry = 2;
}

base::Millis SyncSchedule::DueAt(base::Millis known_at) const {
  base::Millis stale_at = known_at < 0 ? 0 : known_at + options_.max_age + 1;
  return std::max(stale_at, next_at_);
}

std::vector<base::Address> SyncSchedule::NextPeers(base::Millis now,
                                                   std::vector<base::Address> sources) {
  std::vector<base::Address> chosen;
  if (sources.empty()) {
    next_at_ = now + options_.retry_interval;
    return chosen;
  }
  if (preferred_) {
    auto at = std::find(sources.begin(), sources.end(), *preferred_);
    if (at != sources.end()) std::rotate(sources.begin(), at, at + 1);
  }
  size_t count = asked_ == 0 ? 1 : kPeersPerRetry;
  for (size_t i = 0; i < std::min(count, sources.size()); ++i) {
    chosen.push_back(sources[(asked_ + i) % sources.size()]);
  }
  size_t rounds_before = asked_ / sources.size();
  asked_ += count;
  // Backs off each time that all peers were asked without a fresh answer.
  if (asked_ / sources.size() > std::max<size_t>(rounds_before, 1)) {
    retry_interval_ = std::min(retry_interval_ * 2, options_.max_retry_interval);
  }
  next_at_ = now + retry_interval_;
  return chosen;
}

void SyncSchedule::OnAnswer(base::Millis now, const base::Address& from, base::Millis known_at) {
  if (!Fresh(now, known_at)) return;
  if (asked_ > 0) preferred_ = from;
  asked_ = 0;
  retry_interval_ = options_.retry_interval;
  next_at_ = now + retry_interval_;
}

}  // namespace elderkeel::dissemination
