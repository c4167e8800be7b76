#include "controller/confirmation_service.h"

namespace elderkeel::controller {
namespace {
constexpr size_t kMaxPendingConfirms = 1024;
}  // namespace

void ConfirmationService::OnConfirm(const base::Address& from,
                                    const dissemination::ConfirmRequest& confirm) {
  if (context_->HasCommittedInTerm() && pending_.size() < kMaxPendingConfirms) {
    uint64_t token = context_->NextToken();
    pending_[token] = {from, confirm.nonce};
    if (context_->replica->ConfirmRead(token)) return;
    pending_.erase(token);
  }
  SendRedirect(from, confirm.nonce);
}

// Replies with the leader's address or, without contact to a leader, that of the nearest controller
// with a disk, which may have contact. A leader that can't confirm reads names no other controller.
void ConfirmationService::SendRedirect(const base::Address& from, uint64_t nonce) {
  dissemination::ConfirmReply reply;
  reply.nonce = nonce;
  const consensus::RaftNode& raft = context_->replica->raft();
  if (auto leader = raft.LeaderInContact(base::SteadyMillis()); leader && !raft.is_leader()) {
    reply.leader_ip = leader->ip;
    reply.leader_port = leader->port;
  } else if (auto neighbor = context_->node->membership().NearestDurable(false);
             neighbor && !raft.is_leader()) {
    reply.leader_ip = neighbor->ip;
    reply.leader_port = neighbor->port;
  }
  context_->node->mesh().Send(from, transport::MessageKind::kConfirmReply, reply);
}

void ConfirmationService::OnReadFinished(uint64_t token, bool confirmed) {
  auto found = pending_.find(token);
  if (found == pending_.end()) return;
  dissemination::ConfirmReply reply;
  reply.nonce = found->second.nonce;
  if (confirmed) {
    const ControlState& state = context_->state;
    reply.confirmed = true;
    reply.versions = {state.configuration.revision(), state.drained_zones.version(),
                      state.rollouts.version()};
  }
  context_->node->mesh().Send(found->second.from, transport::MessageKind::kConfirmReply, reply);
  pending_.erase(found);
}

}  // namespace elderkeel::controller
