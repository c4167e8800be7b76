// The role of the one controller that reads the platform's list, and who vouches for what.
#include "base/log.h"
#include "controller/controller.h"

namespace elderkeel::controller {
namespace {
constexpr base::Millis kPlatformPatienceMs = 3000;
constexpr base::Millis kResignGapMs = 5000;
constexpr base::Millis kClaimEveryMs = 200;
constexpr base::Millis kVouchPatienceMs = 1000;   // with a majority that does not answer
constexpr base::Millis kReaderPatienceMs = 1000;  // how old the state may be that names the reader
}  // namespace

bool Controller::IsCatalogReader() const {
  return replica_->running() && state_.catalog_reader.owner != 0 &&
         state_.catalog_reader.owner == replica_->self().id;
}

std::vector<singleton::Candidate> Controller::Candidates(base::Millis now) const {
  const consensus::RaftNode& m = replica_->raft();
  std::vector<singleton::Candidate> candidates;
  for (const consensus::Member& v : m.voters()) {
    base::Millis heard = m.LastContact(v.id);
    candidates.push_back({v.id, heard < 0 ? INT64_MAX : now - heard, v.id == m.self().id});
  }
  return candidates;
}

void Controller::ReviewCatalogReader(base::Millis now) {
  if (!HasCommittedInTerm()) return;
  if (auto named = assignment_.Review(now, state_.catalog_reader, Candidates(now))) {
    replica_->Propose(MakeCommand(Command::Kind::kCatalogReader, *named));
  }
}

void Controller::Resign(base::Millis now, const char* why) {
  resigned_at_ = now;
  singleton::Resignation resignation;
  resignation.epoch = state_.catalog_reader.epoch;
  // The leader knows best who is heard; a holder that is not the leader leaves the choice to it.
  base::Info("catalog_reader.resigned", {{"epoch", resignation.epoch}, {"reason", why}});
  SendToLeader(now, resignation);
}

void Controller::SendToLeader(base::Millis now, const singleton::Resignation& resignation) {
  if (is_leader()) {
    if (auto named =
            assignment_.OnResignation(now, state_.catalog_reader, Candidates(now), resignation)) {
      replica_->Propose(MakeCommand(Command::Kind::kCatalogReader, *named));
    }
  } else if (auto leader = replica_->raft().leader()) {
    peers_->mesh().Send(leader->address(), wire::Kind::kResign, resignation);
  }
}

void Controller::WatchPlatform(base::Millis now) {
  if (leaving_ || platform_->busy() || Idle()) return;
  if (!peers_->disseminator().has_endpoints() && now >= poll_at_) {
    // Nobody has told this node of any list, as after a loss of the whole fleet. Its zone need not
    // wait for a holder: a reading without an epoch gives way to the first one that has one.
    poll_at_ = now + settings_.PollMs();
    platform_->Read([this](base::Result<std::vector<discovery::Server>> read) {
      if (!read) {
        base::Warn("catalog.read_failed", read.error());
      } else if (!peers_->disseminator().has_endpoints()) {
        base::Info("catalog.first_reading", {{"servers", read->size()}});
        peers_->Publish({0, 1, std::move(*read)});
      }
      poll_at_ = 0;
    });
    return;
  }
  if (!IsCatalogReader()) return;
  if (state_.catalog_reader.boot_id != boot_id_) {
    if (now - claimed_at_ < kClaimEveryMs) return;
    claimed_at_ = now;
    SendToLeader(now, {state_.catalog_reader.epoch, replica_->self().id, boot_id_});
    return;
  }
  if (watched_epoch_ != state_.catalog_reader.epoch) {
    watched_epoch_ = state_.catalog_reader.epoch;
    sequence_ = 0;
    read_ok_at_ = now;
  }
  if (now - read_ok_at_ > kPlatformPatienceMs && now - resigned_at_ > kResignGapMs &&
      replica_->raft().voters().size() > 1) {
    Resign(now, "the platform can't be read");
  }
  if (now < poll_at_) return;
  poll_at_ = now + settings_.PollMs();
  platform_->Read([this](base::Result<std::vector<discovery::Server>> read) {
    if (!read) {
      base::Warn("catalog.read_failed", read.error());
      return;  // what was last read stays; nobody is removed
    }
    base::Millis now = base::SteadyMillis();
    read_ok_at_ = now;
    if (!IsCatalogReader() || watched_epoch_ != state_.catalog_reader.epoch) return;
    if (sequence_ > 0 && discovery::SameServers(servers_, *read)) {
      peers_->Confirm(watched_epoch_);
      return;
    }
    servers_ = std::move(*read);
    ++sequence_;
    base::Info("catalog.changed",
               {{"epoch", watched_epoch_}, {"sequence", sequence_}, {"servers", servers_.size()}});
    if (!peers_->Publish({watched_epoch_, sequence_, servers_})) {
      base::Info("catalog.superseded", {{"epoch", watched_epoch_}});
    }
  });
}

// Where the freshness of the whole fleet comes from: the leader knows by a majority that nothing
// was committed without it, the reader of the list that it is still the one.
void Controller::Vouch(base::Millis now) {
  const consensus::RaftNode& machine = replica_->raft();
  std::optional<base::Address> leader, reader;
  if (auto member = machine.leader(); member && !is_leader()) leader = member->address();
  for (const consensus::Member& voter : machine.voters()) {
    if (voter.id == state_.catalog_reader.owner && !IsCatalogReader()) reader = voter.address();
  }
  peers_->SetVouchers(leader, reader);
  bool lost = vouch_token_ != 0 && now - vouch_asked_at_ > kVouchPatienceMs;
  if (!HasCommittedInTerm() || lost) vouch_token_ = 0;
  if (HasCommittedInTerm() && vouch_token_ == 0) {
    vouch_token_ = next_token_++;
    vouch_asked_at_ = now;
    if (!replica_->ConfirmReadByHeartbeat(vouch_token_)) vouch_token_ = 0;
  }
  base::Millis log_age = peers_->disseminator().log_age(now);
  bool published = sequence_ > 0 && watched_epoch_ == state_.catalog_reader.epoch;
  if (IsCatalogReader() && state_.catalog_reader.boot_id == boot_id_ && published && log_age >= 0 &&
      log_age <= kReaderPatienceMs) {
    peers_->VouchForEndpoints();
  }
}

}  // namespace elderkeel::controller
