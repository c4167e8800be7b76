#include "consensus/replica.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/random.h"
#include "consensus/disk_store.h"

namespace elderkeel::consensus {
namespace {

constexpr base::Millis kTickMs = 30;
constexpr base::Millis kReopenMs = 500;

std::string StoreDirectory(const std::string& data_dir) { return data_dir + "/log"; }

// An error without digits: the numbers of LevelDB's files change with each opening.
std::string WithoutDigits(std::string text) {
  auto is_digit = [](char character) { return character >= '0' && character <= '9'; };
  text.erase(std::remove_if(text.begin(), text.end(), is_digit), text.end());
  return text;
}

}  // namespace

const char* StoreStateName(Replica::StoreState state) {
  switch (state) {
    case Replica::StoreState::kUnopened:
      return "unopened";
    case Replica::StoreState::kMemory:
      return "memory";
    case Replica::StoreState::kDisk:
      return "disk";
  }
  return "unknown";
}

Replica::Replica(base::Loop* loop, Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {}

bool Replica::HasStore(const std::string& data_dir) {
  return !data_dir.empty() && HasDiskStore(StoreDirectory(data_dir));
}

void Replica::Start(Options options) {
  options_ = std::move(options);
  started_ = true;
  Open();
  tick_timer_.Repeat(loop_, kTickMs, [this] {
    if (raft_) raft_->Tick(base::SteadyMillis());
    Pump();
  });
}

void Replica::SetZone(const std::string& ip, const std::string& zone) {
  zones_[ip] = zone;
  if (raft_) raft_->SetZone(ip, zone);
}

// A store that can be written, and what it held.
base::Result<std::unique_ptr<Store>> Replica::OpenStore(RestoredState* restored) {
  if (options_.data_dir.empty()) return MakeMemoryStore();
  std::string directory = StoreDirectory(options_.data_dir);
  if (discard_store_) {
    base::Status moved = Quarantine(directory);
    if (!moved) return base::Failure(moved.error());
    discard_store_ = false;
  }
  auto opened = OpenAndLoad(directory, restored);
  if (opened || !IsCorruption(opened.error())) return opened;
  // This member comes back under a new identity, as after a lost disk: its old votes can't be given
  // twice.
  base::Warn("store.corrupt", opened.error());
  callbacks_.store_changed("store.corrupt", opened.error().reason);
  base::Status moved = Quarantine(directory);
  if (!moved) return base::Failure(moved.error());
  options_.bootstrap = false;
  return OpenAndLoad(directory, restored);
}

base::Result<std::unique_ptr<Store>> Replica::OpenAndLoad(const std::string& directory,
                                                          RestoredState* restored) {
  auto store = OpenDiskStore(directory);
  if (!store) return store;
  auto loaded = (*store)->Load();
  if (!loaded) return base::Failure(loaded.error());
  if (!loaded->empty) {
    // The disk may be full still: it must take something before this member has a part again.
    WriteRequest again;
    again.hard_state_changed = true;
    again.hard_state = loaded->hard_state;
    base::Status written = (*store)->Write(again);
    if (!written) return base::Failure(written.error());
  }
  *restored = std::move(*loaded);
  return store;
}

void Replica::CloseStore(const std::string& event, const std::string& reason) {
  ++opening_;
  store_thread_.reset();
  store_state_ = StoreState::kUnopened;
  if (WithoutDigits(reason) != WithoutDigits(store_error_)) {
    base::Warn(event, {{"reason", reason}});
    callbacks_.store_changed(event, reason);
  }
  store_error_ = reason;
  reopen_timer_.Start(loop_, kReopenMs, [this] { Open(); });
}

RaftNode::Options Replica::RaftOptions(bool store_empty) const {
  RaftNode::Options raft;
  raft.self = options_.self;
  raft.timing = options_.timing;
  raft.tolerance = options_.tolerance;
  raft.regions = options_.regions;
  raft.seed = base::RandomSeed();
  auto is_self = [this](const Member& member) { return member.id == options_.self.id; };
  bool initial_voter = options_.bootstrap && store_empty &&
                       std::any_of(options_.founders.begin(), options_.founders.end(), is_self);
  if (initial_voter) {
    raft.founders = options_.founders;
    raft.cluster = options_.cluster;
  } else if (store_empty) {
    raft.self.id = base::RandomSeed() | 1;
  }
  return raft;
}

void Replica::Open() {
  RestoredState restored;
  auto store = OpenStore(&restored);
  if (!store) return CloseStore("store.unopened", store.error().reason);
  store_state_ = options_.data_dir.empty() ? StoreState::kMemory : StoreState::kDisk;
  if (!store_error_.empty()) callbacks_.store_changed("store.opened", "");
  store_error_.clear();
  bool empty = restored.empty;
  RaftNode::Options raft = RaftOptions(empty);
  bool initial_voter = !raft.founders.empty();
  raft_ = std::make_unique<RaftNode>(std::move(raft), std::move(restored), base::SteadyMillis());
  for (const auto& [ip, zone] : zones_) raft_->SetZone(ip, zone);
  uint64_t opening = ++opening_;
  store_thread_ = std::make_unique<StoreThread>(
      std::move(*store), [this, opening](uint64_t sequence, base::Status result) {
        loop_->Post([this, opening, sequence, result = std::move(result)] {
          OnWriteFinished(opening, sequence, result);
        });
      });
  base::Info("log.opened", {{"member", raft_->self().id},
                            {"founder", initial_voter},
                            {"empty", empty},
                            {"term", raft_->term()},
                            {"last", raft_->last_index()},
                            {"voters", raft_->voters().size()}});
  Pump();
}

void Replica::OnWriteFinished(uint64_t opening, uint64_t sequence, const base::Status& result) {
  if (opening != opening_) return;
  raft_->OnWriteFinished(base::SteadyMillis(), sequence, result.has_value());
  Pump();
  // Nothing of this opening may be trusted: what the disk holds is read anew.
  if (!result) CloseStore("store.write_failed", result.error().reason);
}

void Replica::Pump() {
  if (pumping_ || !raft_) return;  // callbacks may call in; the outer loop takes what they caused
  pumping_ = true;
  for (;;) {
    RaftNode::Effects effects = raft_->TakeEffects();
    if (effects.empty()) break;
    CarryOut(std::move(effects));
  }
  pumping_ = false;
}

void Replica::CarryOut(RaftNode::Effects effects) {
  for (WriteRequest& write : effects.writes) {
    if (store_thread_) store_thread_->Write(std::move(write));
  }
  for (const OutgoingMessage& out : effects.messages) callbacks_.send(out.to, out.message);
  for (const Snapshot& snapshot : effects.installed) callbacks_.install(snapshot);
  for (const Entry& entry : effects.committed) {
    if (entry.kind == EntryKind::kCommand) callbacks_.apply(entry);
    if (entry.index == raft_->commit()) callbacks_.all_applied();
  }
  for (const Member& member : effects.state_lost) {
    base::Warn("voter.state_lost", {{"member", member.id},
                                    {"peer", member.address().ToString()},
                                    {"voter", raft_->IsVoter(member.id)}});
  }
  if (effects.discard_store) {
    // The next opening begins empty, under a new identity, and asks to be taken in.
    discard_store_ = true;
    options_.bootstrap = false;
    CloseStore("store.state_lost", "the log lacks what this member had acknowledged");
  }
  if (effects.role_changed) callbacks_.role_changed();
  for (uint64_t token : effects.failed_reads) callbacks_.read_finished(token, false);
  for (uint64_t token : effects.confirmed_reads) callbacks_.read_finished(token, true);
  if (!effects.committed.empty() && raft_->CompactionDue()) {
    raft_->Compact(raft_->commit(), callbacks_.encode_state());
  }
}

void Replica::Receive(const Message& message, const base::Address& from) {
  raft_->Receive(base::SteadyMillis(), message, from);
  Pump();
}

std::optional<Index> Replica::Propose(std::string command) {
  auto index = raft_->Propose(base::SteadyMillis(), std::move(command));
  Pump();
  return index;
}

bool Replica::ConfirmRead(uint64_t token) {
  bool taken = raft_->ConfirmRead(base::SteadyMillis(), token);
  Pump();
  return taken;
}

bool Replica::ConfirmReadByHeartbeat(uint64_t token) {
  bool taken = raft_->ConfirmReadByHeartbeat(base::SteadyMillis(), token);
  Pump();
  return taken;
}

void Replica::AddLearner(const Member& member) {
  raft_->AddLearner(base::SteadyMillis(), member);
  Pump();
}

void Replica::TransferLeadership() {
  raft_->TransferLeadership(base::SteadyMillis());
  Pump();
}

}  // namespace elderkeel::consensus
