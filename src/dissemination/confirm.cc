#include "dissemination/confirm.h"

#include <algorithm>

namespace elderkeel::dissemination {
namespace {
constexpr size_t kMaxPendingRequests = 32;
}

ConfirmRequest Confirmation::NewRequest(base::Millis now) {
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
  newest_confirmed_.revision = std::max(newest_confirmed_.revision, reply.versions.revision);
  newest_confirmed_.zone_drains =
      std::max(newest_confirmed_.zone_drains, reply.versions.zone_drains);
  newest_confirmed_.rollouts = std::max(newest_confirmed_.rollouts, reply.versions.rollouts);
  confirmed_at_ = std::max(confirmed_at_, request->made_at);
  return std::nullopt;
}

bool Confirmation::IsCurrent(base::Millis now, const Versions& own) const {
  return confirmed_at_ >= 0 && now - confirmed_at_ <= patience_ && newest_confirmed_.revision > 0 &&
         own.revision >= newest_confirmed_.revision &&
         own.zone_drains >= newest_confirmed_.zone_drains &&
         own.rollouts >= newest_confirmed_.rollouts;
}

}  // namespace elderkeel::dissemination
