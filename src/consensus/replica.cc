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

Replica::Replica(base::Loop* loop, Hooks hooks) : loop_(loop), hooks_(std::move(hooks)) {}

bool Replica::HasStore(const std::string& data_dir) {
  std::error_code ignored;
  return !data_dir.empty() && std::filesystem::exists(data_dir + "/log/CURRENT", ignored);
}

void Replica::Start() {
  Open(true);
  tick_.Repeat(loop_, kTickMs, [this] {
    machine_->Tick(base::SteadyMillis());
    Pump();
  });
}

void Replica::Open(bool first) {
  std::unique_ptr<Store> store;
  Restored restored;
  if (options_.data_dir.empty()) {
    store = MakeMemoryStore();
  } else {
    std::string directory = options_.data_dir + "/log";
    auto opened = OpenDiskStore(directory);
    if (opened) {
      auto loaded = (*opened)->Load();
      if (loaded) {
        restored = std::move(*loaded);
        store = std::move(*opened);
      } else {
        base::Warn("store.unreadable", loaded.error());
      }
    } else {
      base::Warn("store.unopened", opened.error());
    }
    if (!store && !first) {
      reopen_.Start(loop_, kReopenMs, [this] { Reopen(); });
      return;
    }
    if (!store) {
      // What can't be read is moved aside. This member comes back under a new identity, as after a
      // lost disk: its old votes can't be given twice.
      MoveAside(".unreadable");
      auto fresh = OpenDiskStore(directory);
      if (fresh) {
        store = std::move(*fresh);
      } else {
        base::Warn("store.refused", fresh.error());
        reopen_.Start(loop_, kReopenMs, [this] { Reopen(); });
        store = MakeMemoryStore();
        options_.founders.clear();
      }
    }
  }
  bool founder = options_.bootstrap && restored.empty &&
                 std::any_of(options_.founders.begin(), options_.founders.end(),
                             [&](const Member& m) { return m.id == options_.self.id; });
  Machine::Options machine;
  machine.self = options_.self;
  machine.timing = options_.timing;
  machine.tolerance = options_.tolerance;
  machine.regions = options_.regions;
  machine.seed = base::SystemSeed();
  if (founder) {
    machine.founders = options_.founders;
    machine.cluster = options_.cluster;
  } else if (restored.empty) {
    machine.self.id = base::SystemSeed() | 1;
  }
  bool empty = restored.empty;
  machine_ =
      std::make_unique<Machine>(std::move(machine), std::move(restored), base::SteadyMillis());
  uint64_t opening = ++opening_;
  thread_ = std::make_unique<StoreThread>(
      std::move(store), [this, opening](uint64_t sequence, base::Result<bool> result) {
        loop_->Post([this, opening, sequence, result] {
          if (opening != opening_) return;
          if (!result) base::Warn("store.failed", result.error());
          machine_->Persisted(base::SteadyMillis(), sequence, result.ok());
          Pump();
          if (!result) reopen_.Start(loop_, kReopenMs, [this] { Reopen(); });
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

// The next opening begins empty, under a new identity, and asks to be taken in.
void Replica::MoveAside(const std::string& suffix) {
  options_.bootstrap = false;
  if (options_.data_dir.empty()) return;
  std::string directory = options_.data_dir + "/log";
  std::error_code ignored;
  std::filesystem::remove_all(directory + suffix, ignored);
  std::filesystem::rename(directory, directory + suffix, ignored);
}

// After a refused write nothing of this opening may be trusted: what the disk holds is read anew.
void Replica::Reopen() {
  ++opening_;
  thread_.reset();
  if (discard_store_) MoveAside(".lost");
  discard_store_ = false;
  Open(false);
}

void Replica::Pump() {
  if (pumping_ || !machine_) return;  // hooks may call in; the outer loop takes what they caused
  pumping_ = true;
  for (;;) {
    Machine::Effects effects = machine_->Take();
    bool any = !effects.messages.empty() || !effects.writes.empty() || !effects.committed.empty() ||
               !effects.installed.empty() || !effects.reads_ready.empty() ||
               !effects.reads_failed.empty() || !effects.lost_state.empty() ||
               effects.discard_store || effects.role_changed;
    if (!any) break;
    for (Persist& write : effects.writes) thread_->Write(std::move(write));
    for (const auto& out : effects.messages) hooks_.send(out.to, out.message);
    for (const Snapshot& snapshot : effects.installed) hooks_.install(snapshot);
    for (const Entry& entry : effects.committed) {
      if (entry.kind == EntryKind::kCommand) hooks_.apply(entry);
      if (entry.index == machine_->commit()) hooks_.caught_up();
    }
    for (const Member& member : effects.lost_state) {
      base::Warn("voter.lost_state", {{"member", member.id},
                                      {"peer", member.address().ToString()},
                                      {"voter", machine_->IsVoter(member.id)}});
    }
    if (effects.discard_store) {
      base::Warn("store.lost_state", {{"member", machine_->self().id}});
      discard_store_ = true;
      reopen_.Start(loop_, kReopenMs, [this] { Reopen(); });
    }
    if (effects.role_changed) hooks_.role_changed();
    for (uint64_t token : effects.reads_failed) hooks_.read_done(token, false);
    for (uint64_t token : effects.reads_ready) hooks_.read_done(token, true);
    if (effects.committed.size() > 0 && machine_->CompactionDue()) {
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

void Replica::Join(const Member& member) {
  machine_->Join(base::SteadyMillis(), member);
  Pump();
}

void Replica::TransferLeadership() {
  machine_->TransferLeadership(base::SteadyMillis());
  Pump();
}

}  // namespace elderkeel::consensus
