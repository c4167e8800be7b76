#include "consensus/replica.h"

#include <algorithm>
#include <filesystem>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::consensus {
namespace {
constexpr base::Millis kTickMs = 30;
constexpr base::Millis kReopenMs = 500;
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

Replica::Replica(base::Loop* loop, Hooks hooks) : loop_(loop), hooks_(std::move(hooks)) {}

bool Replica::HasStore(const std::string& data_dir) {
  std::error_code ignored;
  return !data_dir.empty() && std::filesystem::exists(data_dir + "/log/CURRENT", ignored);
}

void Replica::Start() {
  begun_ = true;
  Open();
  tick_.Repeat(loop_, kTickMs, [this] {
    if (machine_) machine_->Tick(base::SteadyMillis());
    Pump();
  });
}

void Replica::SetZone(const std::string& ip, const std::string& zone) {
  zones_[ip] = zone;
  if (machine_) machine_->SetZone(ip, zone);
}

// A store that can be written, and what it held.
base::Result<std::unique_ptr<Store>> Replica::OpenStore(RestoredState* restored) {
  if (options_.data_dir.empty()) return MakeMemoryStore();
  std::string directory = options_.data_dir + "/log";
  if (discard_store_) {
    auto moved = Quarantine(directory);
    if (!moved) return base::Failure(moved.error());
    discard_store_ = false;
  }
  auto open = [&]() -> base::Result<std::unique_ptr<Store>> {
    auto opened = OpenDiskStore(directory);
    if (!opened) return opened;
    auto loaded = (*opened)->Load();
    if (!loaded) return base::Failure(loaded.error());
    // The disk may be full still: it must take something before this member has a part again.
    WriteRequest again;
    again.hard_state_changed = true;
    again.hard_state = loaded->hard_state;
    if (!loaded->empty) {
      auto written = (*opened)->Write(again);
      if (!written) return base::Failure(written.error());
    }
    *restored = std::move(*loaded);
    return opened;
  };
  auto opened = open();
  if (opened || !IsCorruption(opened.error())) return opened;
  // This member comes back under a new identity, as after a lost disk: its old votes can't be given
  // twice.
  base::Warn("store.unreadable", opened.error());
  hooks_.store_changed("store.unreadable", opened.error().reason);
  auto moved = Quarantine(directory);
  if (!moved) return base::Failure(moved.error());
  options_.bootstrap = false;
  return open();
}

void Replica::CloseStore(const std::string& event, const std::string& reason) {
  ++opening_;
  thread_.reset();
  store_state_ = StoreState::kUnopened;
  // The numbers of LevelDB's files change with each opening.
  auto plain = [](std::string text) {
    text.erase(
        std::remove_if(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; }),
        text.end());
    return text;
  };
  if (plain(reason) != plain(store_reason_)) {
    base::Warn(event, {{"reason", reason}});
    hooks_.store_changed(event, reason);
  }
  store_reason_ = reason;
  reopen_.Start(loop_, kReopenMs, [this] { Open(); });
}

void Replica::Open() {
  RestoredState restored;
  auto opened = OpenStore(&restored);
  if (!opened) return CloseStore("store.unopened", opened.error().reason);
  store_state_ = options_.data_dir.empty() ? StoreState::kMemory : StoreState::kDisk;
  if (!store_reason_.empty()) hooks_.store_changed("store.opened", "");
  store_reason_.clear();
  bool founder = options_.bootstrap && restored.empty &&
                 std::any_of(options_.founders.begin(), options_.founders.end(),
                             [&](const Member& m) { return m.id == options_.self.id; });
  RaftNode::Options machine;
  machine.self = options_.self;
  machine.timing = options_.timing;
  machine.tolerance = options_.tolerance;
  machine.regions = options_.regions;
  machine.seed = base::RandomSeed();
  if (founder) {
    machine.founders = options_.founders;
    machine.cluster = options_.cluster;
  } else if (restored.empty) {
    machine.self.id = base::RandomSeed() | 1;
  }
  bool empty = restored.empty;
  machine_ =
      std::make_unique<RaftNode>(std::move(machine), std::move(restored), base::SteadyMillis());
  for (const auto& [ip, zone] : zones_) machine_->SetZone(ip, zone);
  uint64_t opening = ++opening_;
  thread_ = std::make_unique<StoreThread>(
      std::move(*opened), [this, opening](uint64_t sequence, base::Status result) {
        loop_->Post([this, opening, sequence, result] {
          if (opening != opening_) return;
          machine_->OnWriteFinished(base::SteadyMillis(), sequence, result.has_value());
          Pump();
          // Nothing of this opening may be trusted: what the disk holds is read anew.
          if (!result) CloseStore("store.refused", result.error().reason);
        });
      });
  base::Info("log.opened", {{"member", machine_->self().id},
                            {"founder", founder},
                            {"empty", empty},
                            {"term", machine_->term()},
                            {"last", machine_->last_index()},
                            {"voters", machine_->voters().size()}});
  Pump();
}

void Replica::Pump() {
  if (pumping_ || !machine_) return;  // hooks may call in; the outer loop takes what they caused
  pumping_ = true;
  for (;;) {
    RaftNode::Effects effects = machine_->Take();
    bool any = !effects.messages.empty() || !effects.writes.empty() || !effects.committed.empty() ||
               !effects.installed.empty() || !effects.confirmed_reads.empty() ||
               !effects.failed_reads.empty() || !effects.state_lost.empty() ||
               effects.discard_store || effects.role_changed;
    if (!any) break;
    for (WriteRequest& write : effects.writes) {
      if (thread_) thread_->Write(std::move(write));
    }
    for (const auto& out : effects.messages) hooks_.send(out.to, out.message);
    for (const Snapshot& snapshot : effects.installed) hooks_.install(snapshot);
    for (const Entry& entry : effects.committed) {
      if (entry.kind == EntryKind::kCommand) hooks_.apply(entry);
      if (entry.index == machine_->commit()) hooks_.caught_up();
    }
    for (const Member& member : effects.state_lost) {
      base::Warn("voter.lost_state", {{"member", member.id},
                                      {"peer", member.address().ToString()},
                                      {"voter", machine_->IsVoter(member.id)}});
    }
    if (effects.discard_store) {
      // The next opening begins empty, under a new identity, and asks to be taken in.
      discard_store_ = true;
      options_.bootstrap = false;
      CloseStore("store.lost_state", "the log lacks what this member had acknowledged");
    }
    if (effects.role_changed) hooks_.role_changed();
    for (uint64_t token : effects.failed_reads) hooks_.read_done(token, false);
    for (uint64_t token : effects.confirmed_reads) hooks_.read_done(token, true);
    if (!effects.committed.empty() && machine_->CompactionDue()) {
      machine_->Compact(machine_->commit(), hooks_.snapshot_state());
    }
  }
  pumping_ = false;
}

void Replica::Receive(const Message& message, const base::Address& from) {
  machine_->Receive(base::SteadyMillis(), message, from);
  Pump();
}

std::optional<Index> Replica::Propose(std::string command) {
  auto index = machine_->Propose(base::SteadyMillis(), std::move(command));
  Pump();
  return index;
}

bool Replica::Read(uint64_t token) {
  bool taken = machine_->Read(base::SteadyMillis(), token);
  Pump();
  return taken;
}

bool Replica::ReadByHeartbeat(uint64_t token) {
  bool taken = machine_->ReadByHeartbeat(base::SteadyMillis(), token);
  Pump();
  return taken;
}

void Replica::Join(const Member& member) {
  machine_->Join(base::SteadyMillis(), member);
  Pump();
}

void Replica::TransferLeadership() {
  machine_->TransferLeadership(base::SteadyMillis());
  Pump();
}

}  // namespace elderkeel::consensus
