#include "dissemination/confirm.h"

#include <algorithm>

namespace elderkeel::dissemination {
namespace {
constexpr size_t kMaxPendingRequests = 32;
}

Confirm Confirmation::Ask(base::Millis now) {
  if (requests_.size() >= kMaxPendingRequests) requests_.pop_front();
  requests_.push_back({next_nonce_++, now});
  return {requests_.back().nonce};
}

std::optional<base::Address> Confirmation::OnReply(base::Millis now, const ConfirmReply& reply) {
  auto request =
      std::find_if(requests_.begin(), requests_.end(),
                   [&](const PendingRequest& pending) { return pending.nonce == reply.nonce; });
  if (request == requests_.end() || now - request->made_at > patience_) return std::nullopt;
  if (!reply.confirmed) {
    if (reply.leader_ip.empty()) return std::nullopt;
    return base::Address{reply.leader_ip, reply.leader_port};
  }
  // Replies may arrive out of order: an older one must not lower what a newer one named.
  wanted_.revision = std::max(wanted_.revision, reply.versions.revision);
  wanted_.zone_drains = std::max(wanted_.zone_drains, reply.versions.zone_drains);
  wanted_.rollouts = std::max(wanted_.rollouts, reply.versions.rollouts);
  known_at_ = std::max(known_at_, request->made_at);
  return std::nullopt;
}

bool Confirmation::Holds(base::Millis now, const Versions& own) const {
  return known_at_ >= 0 && now - known_at_ <= patience_ && wanted_.revision > 0 &&
         own.revision >= wanted_.revision && own.zone_drains >= wanted_.zone_drains &&
         own.rollouts >= wanted_.rollouts;
}

}  // namespace elderkeel::dissemination
