#include "dissemination/confirm.h"

#include <algorithm>

namespace elderkeel::dissemination {
namespace {
constexpr size_t kMaxQuestions = 32;
}

Confirm Confirmation::Ask(base::Millis now) {
  if (questions_.size() >= kMaxQuestions) questions_.pop_front();
  questions_.push_back({next_nonce_++, now});
  return {questions_.back().nonce};
}

std::optional<base::Address> Confirmation::OnReply(base::Millis now, const ConfirmReply& reply) {
  auto asked = std::find_if(questions_.begin(), questions_.end(), [&](const Question& question) {
    return question.nonce == reply.nonce;
  });
  if (asked == questions_.end() || now - asked->asked > patience_) return std::nullopt;
  if (!reply.confirmed) {
    if (reply.leader_ip.empty()) return std::nullopt;
    return base::Address{reply.leader_ip, reply.leader_port};
  }
  // Answers overtake each other; what one named is never taken back by another.
  wanted_.revision = std::max(wanted_.revision, reply.versions.revision);
  wanted_.zone_drains = std::max(wanted_.zone_drains, reply.versions.zone_drains);
  wanted_.rollouts = std::max(wanted_.rollouts, reply.versions.rollouts);
  known_at_ = std::max(known_at_, asked->asked);
  return std::nullopt;
}

bool Confirmation::Holds(base::Millis now, const Versions& own) const {
  return known_at_ >= 0 && now - known_at_ <= patience_ && wanted_.revision > 0 &&
         own.revision >= wanted_.revision && own.zone_drains >= wanted_.zone_drains &&
         own.rollouts >= wanted_.rollouts;
}

}  // namespace elderkeel::dissemination
