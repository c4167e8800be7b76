#include "forwarding/slow_start_owner.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::forwarding {
namespace {

// The weight of a proxy for a server; the proxy with the highest one owns the server.
uint64_t RendezvousWeight(uint64_t server_key, uint64_t proxy) {
  return base::Random(server_key ^ proxy).Next();
}

}  // namespace

bool SlowStartOwner::SetProxies(base::Millis now, const ZoneProxies& proxies) {
  if (eligible_at_ < 0) eligible_at_ = now + kPropagationMs;
  if (proxies == proxies_) return false;
  proxies_ = proxies;
  for (uint64_t proxy : proxies.left) leaving_.emplace(proxy, now + accept_period_);
  for (uint64_t proxy : proxies.present) leaving_.erase(proxy);
  leaving_.erase(proxies.self);
  return true;
}

void SlowStartOwner::Leave(base::Millis now) {
  bool eligible = eligible_at_ >= 0 && now >= eligible_at_;
  owns_until_ = eligible ? now + accept_period_ : now;
}

bool SlowStartOwner::IsOwner(base::Millis now, uint64_t server_key) const {
  if (now < eligible_at_ || now >= owns_until_) return false;
  uint64_t own_weight = RendezvousWeight(server_key, proxies_.self);
  auto outranks = [&](uint64_t proxy) {
    return proxy != proxies_.self && RendezvousWeight(server_key, proxy) > own_weight;
  };
  bool outranked_by_leaving =
      std::any_of(leaving_.begin(), leaving_.end(), [&](const auto& proxy_and_end) {
        return now < proxy_and_end.second && outranks(proxy_and_end.first);
      });
  return !outranked_by_leaving &&
         std::none_of(proxies_.present.begin(), proxies_.present.end(), outranks);
}

base::Millis SlowStartOwner::NextChangeAt(base::Millis now) const {
  base::Millis next = kNever;
  for (base::Millis at : {eligible_at_, owns_until_}) {
    if (at > now) next = std::min(next, at);
  }
  for (const auto& [proxy, end] : leaving_) {
    if (end > now) next = std::min(next, end);
  }
  return next;
}

}  // namespace elderkeel::forwarding
