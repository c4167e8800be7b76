#include "controller/catalog_poller.h"

#include <cstdint>
#include <utility>

#include "base/log.h"

namespace elderkeel::controller {
namespace {
// The leader assigns another owner if it has received nothing from the current one for this long.
constexpr base::Millis kOwnerTimeoutMs = 1000;
// The reader resigns if no reading has succeeded for this long and there is another voter.
constexpr base::Millis kMaxPlatformOutageMs = 3000;
constexpr base::Millis kResignIntervalMs = 5000;
constexpr base::Millis kClaimIntervalMs = 200;
}  // namespace

CatalogPoller::CatalogPoller(Context* context)
    : context_(context),
      platform_(context->loop, context->settings.platform),
      assigner_(kOwnerTimeoutMs) {}

bool CatalogPoller::IsReader() const {
  uint64_t owner = context_->state.catalog_reader.owner;
  return context_->replica->running() && owner != 0 && owner == context_->replica->self().id;
}

bool CatalogPoller::HasPublished() const {
  const singleton::Assignment& assignment = context_->state.catalog_reader;
  return IsReader() && assignment.boot_id == context_->boot_id && sequence_ > 0 &&
         epoch_ == assignment.epoch;
}

std::vector<singleton::Candidate> CatalogPoller::Candidates(base::Millis now) const {
  const consensus::RaftNode& raft = context_->replica->raft();
  std::vector<singleton::Candidate> candidates;
  for (const consensus::Member& voter : raft.voters()) {
    base::Millis last_contact = raft.LastContact(voter.id);
    bool self = voter.id == raft.self().id;
    candidates.push_back({voter.id, last_contact < 0 ? INT64_MAX : now - last_contact, self});
  }
  return candidates;
}

void CatalogPoller::Propose(const singleton::Assignment& assignment) {
  context_->replica->Propose(MakeCommand(Command::Kind::kCatalogReader, assignment));
}

void CatalogPoller::ReviewAssignment(base::Millis now) {
  if (!context_->HasCommittedInTerm()) return;
  auto next = assigner_.Review(now, context_->state.catalog_reader, Candidates(now));
  if (next) Propose(*next);
}

void CatalogPoller::OnResignation(base::Millis now, const singleton::Resignation& resignation) {
  if (!context_->IsLeader()) return;
  auto next =
      assigner_.OnResignation(now, context_->state.catalog_reader, Candidates(now), resignation);
  if (next) Propose(*next);
}

void CatalogPoller::OnAssigned(base::Millis now) {
  assigner_.Clear();
  last_success_at_ = now;
  next_read_at_ = 0;
  Tick(now);
}

// The leader picks the successor, since it receives from all voters and so has the best view of
// which of them are alive.
void CatalogPoller::Resign(base::Millis now, const char* reason) {
  resigned_at_ = now;
  singleton::Resignation resignation;
  resignation.epoch = context_->state.catalog_reader.epoch;
  base::Info("catalog_reader.resigned", {{"epoch", resignation.epoch}, {"reason", reason}});
  SendToLeader(now, resignation);
}

void CatalogPoller::SendToLeader(base::Millis now, const singleton::Resignation& resignation) {
  if (context_->IsLeader()) {
    OnResignation(now, resignation);
  } else if (auto leader = context_->replica->raft().leader()) {
    context_->node->mesh().Send(leader->address(), transport::MessageKind::kResign, resignation);
  }
}

void CatalogPoller::Tick(base::Millis now) {
  if (context_->stopping || platform_.busy() || context_->IsExcludedFromLog()) return;
  if (!context_->node->disseminator().has_endpoints() && now >= next_read_at_) {
    ReadWithoutEpoch(now);
    return;
  }
  if (!IsReader()) return;
  const singleton::Assignment& assignment = context_->state.catalog_reader;
  if (assignment.boot_id != context_->boot_id) {
    ClaimRole(now);
    return;
  }
  if (epoch_ != assignment.epoch) {
    epoch_ = assignment.epoch;
    sequence_ = 0;
    last_success_at_ = now;
  }
  bool unreadable = now - last_success_at_ > kMaxPlatformOutageMs;
  bool has_other_voters = context_->replica->raft().voters().size() > 1;
  if (unreadable && has_other_voters && now - resigned_at_ > kResignIntervalMs) {
    Resign(now, "readings of the platform's server list keep failing");
  }
  if (now < next_read_at_) return;
  next_read_at_ = now + context_->settings.PollMs();
  platform_.Read([this](auto reading) { OnRead(std::move(reading)); });
}

// Reads the list while this node has no endpoints at all, as after a loss of the entire fleet, so
// that its zone does not have to wait until a reader is assigned. The reading is published under
// epoch 0, and the first list of an assigned reader replaces it.
void CatalogPoller::ReadWithoutEpoch(base::Millis now) {
  next_read_at_ = now + context_->settings.PollMs();
  platform_.Read([this](base::Result<discovery::Reading> reading) {
    if (!reading) {
      base::Warn("catalog.read_failed", reading.error());
    } else if (!context_->node->disseminator().has_endpoints()) {
      base::Info("catalog.first_reading", {{"servers", reading->servers.size()}});
      context_->node->Publish(reading->requested_at, {0, 1, std::move(reading->servers)});
    }
    next_read_at_ = 0;
  });
}

// The assignment in the log doesn't carry the boot id of this process: either the leader has just
// assigned the role, without a boot id, or an earlier incarnation of this process claimed it. The
// sequence numbers of an earlier incarnation are lost, so this one requests an epoch of its own.
void CatalogPoller::ClaimRole(base::Millis now) {
  if (now - claimed_at_ < kClaimIntervalMs) return;
  claimed_at_ = now;
  SendToLeader(
      now, {context_->state.catalog_reader.epoch, context_->replica->self().id, context_->boot_id});
}

void CatalogPoller::OnRead(base::Result<discovery::Reading> reading) {
  if (!reading) {
    base::Warn("catalog.read_failed", reading.error());
    return;  // the list as last read stays in force: a failed reading removes no server
  }
  last_success_at_ = base::SteadyMillis();
  if (!IsReader() || epoch_ != context_->state.catalog_reader.epoch) return;
  if (sequence_ > 0 && discovery::IsUnchanged(servers_, reading->servers)) {
    context_->node->ConfirmEndpoints(reading->requested_at, epoch_);
    return;
  }
  discovery::EndpointSnapshot endpoints{epoch_, sequence_ + 1, std::move(reading->servers)};
  if (!context_->node->Publish(reading->requested_at, endpoints)) {
    // This node holds a later reader's list, or one that was requested after this one.
    bool superseded = context_->node->disseminator().endpoints().epoch > epoch_;
    base::Info(superseded ? "catalog.superseded" : "catalog.reading_outdated",
               {{"epoch", epoch_}, {"age_ms", last_success_at_ - reading->requested_at}});
    return;
  }
  ++sequence_;
  servers_ = std::move(endpoints.servers);
  base::Info("catalog.changed",
             {{"epoch", epoch_}, {"sequence", sequence_}, {"servers", servers_.size()}});
}

}  // namespace elderkeel::controller
