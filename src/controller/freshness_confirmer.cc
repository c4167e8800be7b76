#include "controller/freshness_confirmer.h"

#include <optional>

namespace elderkeel::controller {
namespace {
constexpr base::Millis kReadTimeoutMs = 1000;
// The reader confirms its list only if the log's state here was confirmed as the newest at most
// this long ago: older state may name a reader that has been replaced.
constexpr base::Millis kMaxAssignmentAgeMs = 1000;
}  // namespace

void FreshnessConfirmer::UpdateAuthorities() {
  const consensus::RaftNode& raft = context_->replica->raft();
  std::optional<base::Address> leader, reader;
  if (auto member = raft.leader(); member && !raft.is_leader()) leader = member->address();
  for (const consensus::Member& voter : raft.voters()) {
    bool is_owner = voter.id == context_->state.catalog_reader.owner;
    if (is_owner && !poller_->IsReader()) reader = voter.address();
  }
  context_->node->SetAuthorities(leader, reader);
}

void FreshnessConfirmer::ConfirmLeadership(base::Millis now) {
  bool timed_out = read_token_ != 0 && now - read_at_ > kReadTimeoutMs;
  if (!context_->HasCommittedInTerm() || timed_out) read_token_ = 0;
  if (!context_->HasCommittedInTerm() || read_token_ != 0) return;
  read_token_ = context_->NextToken();
  read_at_ = now;
  if (!context_->replica->ConfirmReadByHeartbeat(read_token_)) read_token_ = 0;
}

void FreshnessConfirmer::Tick(base::Millis now) {
  UpdateAuthorities();
  ConfirmLeadership(now);
  base::Millis log_age = context_->node->disseminator().log_age(now);
  bool assignment_current = log_age >= 0 && log_age <= kMaxAssignmentAgeMs;
  if (poller_->HasPublished() && assignment_current) context_->node->ConfirmEndpointsCurrent();
}

bool FreshnessConfirmer::OnReadFinished(uint64_t token, bool confirmed) {
  if (token != read_token_) return false;
  read_token_ = 0;
  if (confirmed) context_->node->ConfirmLogCurrent(read_at_);
  return true;
}

}  // namespace elderkeel::controller
