#include "consensus/replica.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/random.h"
#include "consensus/disk_store.h"

namespace elderkeel::consensus {
namespace {

constexpr base::Millis kTickMs = 30;
constexpr base::Millis kReopenIntervalMs = 500;

std::string StoreDirectory(const std::string& data_dir) { return data_dir + "/log"; }

// An error text without digits, for comparing errors: LevelDB's texts contain file numbers, which
// change with each opening.
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
    ProcessEffects();
  });
}

void Replica::SetZone(const std::string& ip, const std::string& zone) {
  zones_[ip] = zone;
  if (raft_) raft_->SetZone(ip, zone);
}

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
  // The member rejoins under a new id, as after a lost disk. Under its old id it could vote twice
  // in a term, since its votes are lost.
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
    // The disk may still be full. This write, which changes nothing, must succeed before the member
    // takes part in the log again.
    WriteRequest write_check;
    write_check.hard_state_changed = true;
    write_check.hard_state = loaded->hard_state;
    base::Status written = (*store)->Write(write_check);
    if (!written) return base::Failure(written.error());
  }
  *restored = std::move(*loaded);
  return store;
}

void Replica::CloseStore(const std::string& event, const std::string& reason) {
  ++store_generation_;
  store_thread_.reset();
  store_state_ = StoreState::kUnopened;
  if (WithoutDigits(reason) != WithoutDigits(store_error_)) {
    base::Warn(event, {{"reason", reason}});
    callbacks_.store_changed(event, reason);
  }
  store_error_ = reason;
  reopen_timer_.Start(loop_, kReopenIntervalMs, [this] { Open(); });
}

RaftNode::Options Replica::RaftOptions(bool store_empty) const {
  RaftNode::Options raft;
  raft.self = options_.self;
  raft.timing = options_.timing;
  raft.tolerance = options_.tolerance;
  raft.regions = options_.regions;
  raft.seed = base::RandomSeed();
  auto is_self = [this](const Member& member) { return member.id == options_.self.id; };
  bool initial_voter =
      options_.bootstrap && store_empty &&
      std::any_of(options_.initial_voters.begin(), options_.initial_voters.end(), is_self);
  if (initial_voter) {
    raft.initial_voters = options_.initial_voters;
    raft.cluster = options_.cluster;
  } else if (store_empty) {
    raft.self.id = base::RandomSeed() | 1;  // not 0, which means "no member"
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
  bool initial_voter = !raft.initial_voters.empty();
  raft_ = std::make_unique<RaftNode>(std::move(raft), std::move(restored), base::SteadyMillis());
  for (const auto& [ip, zone] : zones_) raft_->SetZone(ip, zone);
  uint64_t store_generation = ++store_generation_;
  store_thread_ = std::make_unique<StoreThread>(
      std::move(*store), [this, store_generation](uint64_t sequence, base::Status result) {
        loop_->Post([this, store_generation, sequence, result = std::move(result)] {
          OnWriteFinished(store_generation, sequence, result);
        });
      });
  base::Info("log.opened", {{"member", raft_->self().id},
                            {"founder", initial_voter},
                            {"empty", empty},
                            {"term", raft_->term()},
                            {"last", raft_->last_index()},
                            {"voters", raft_->voters().size()}});
  ProcessEffects();
}

void Replica::OnWriteFinished(uint64_t store_generation, uint64_t sequence,
                              const base::Status& result) {
  if (store_generation != store_generation_) return;
  raft_->OnWriteFinished(base::SteadyMillis(), sequence, result.has_value());
  ProcessEffects();
  // After a failed write the content of the disk may differ from the RaftNode's state, so the store
  // is closed and its content read again.
  if (!result) CloseStore("store.write_failed", result.error().reason);
}

void Replica::ProcessEffects() {
  // Callbacks may call methods that come here again; the outer loop then executes their effects.
  if (processing_effects_ || !raft_) return;
  processing_effects_ = true;
  for (;;) {
    RaftNode::Effects effects = raft_->TakeEffects();
    if (effects.empty()) break;
    ExecuteEffects(std::move(effects));
  }
  processing_effects_ = false;
}

void Replica::ExecuteEffects(RaftNode::Effects effects) {
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
    // The next opening begins empty: the member gets a new id and asks the leader to be added as a
    // learner.
    discard_store_ = true;
    options_.bootstrap = false;
    CloseStore("store.state_lost",
               "the log lacks entries that this member had acknowledged to the leader");
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
  ProcessEffects();
}

std::optional<Index> Replica::Propose(std::string command) {
  auto index = raft_->Propose(base::SteadyMillis(), std::move(command));
  ProcessEffects();
  return index;
}

bool Replica::ConfirmRead(uint64_t token) {
  bool taken = raft_->ConfirmRead(base::SteadyMillis(), token);
  ProcessEffects();
  return taken;
}

bool Replica::ConfirmReadByHeartbeat(uint64_t token) {
  bool taken = raft_->ConfirmReadByHeartbeat(base::SteadyMillis(), token);
  ProcessEffects();
  return taken;
}

void Replica::AddLearner(const Member& member) {
  raft_->AddLearner(base::SteadyMillis(), member);
  ProcessEffects();
}

void Replica::TransferLeadership() {
  raft_->TransferLeadership(base::SteadyMillis());
  ProcessEffects();
}

}  // namespace elderkeel::consensus
