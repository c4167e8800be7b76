#include <gtest/gtest.h>

#include "base/random.h"
#include "consensus/disk_store.h"
#include "consensus/power_loss_env.h"

// Simulates power losses at many points of a sequence of log writes, and checks that the reopened
// store holds every write that had returned.

namespace elderkeel::consensus {
namespace {

constexpr char kDirectory[] = "/data/log";
// Before the log file grows beyond this, LevelDB's background thread finishes its jobs. Otherwise a
// write could fill the write buffer (512 KiB) and wait forever for the paused thread to flush it.
constexpr size_t kMaxLogFileBytes = 200 << 10;

// Applies a write to the content that the store is expected to have.
void ApplyWrite(const WriteRequest& write, RestoredState* state) {
  state->empty = false;
  if (write.hard_state_changed) state->hard_state = write.hard_state;
  auto& entries = state->entries;
  auto keep = [&](auto kept) {
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                                 [&](const Entry& e) { return !kept(e.index); }),
                  entries.end());
  };
  if (write.truncate_from > 0) keep([&](Index i) { return i < write.truncate_from; });
  keep([&](Index i) { return i > write.drop_through; });
  if (!write.snapshot.empty()) state->snapshot = write.snapshot[0];
  entries.insert(entries.end(), write.entries.begin(), write.entries.end());
  if (write.commit > 0) state->commit = write.commit;
}

// How two store contents differ; empty if they don't. The commit index isn't compared.
std::string Difference(const RestoredState& a, const RestoredState& b) {
  if (a.empty != b.empty) return "one is empty";
  if (a.hard_state.term != b.hard_state.term || a.hard_state.voted_for != b.hard_state.voted_for) {
    return "terms " + std::to_string(a.hard_state.term) + " and " +
           std::to_string(b.hard_state.term);
  }
  if (a.snapshot.index != b.snapshot.index || a.snapshot.state != b.snapshot.state) {
    return "snapshots " + std::to_string(a.snapshot.index) + " and " +
           std::to_string(b.snapshot.index);
  }
  auto same = [](const Entry& x, const Entry& y) {
    return x.index == y.index && x.term == y.term && x.data == y.data;
  };
  if (!std::equal(a.entries.begin(), a.entries.end(), b.entries.begin(), b.entries.end(), same)) {
    return std::to_string(a.entries.size()) + " and " + std::to_string(b.entries.size()) +
           " entries";
  }
  return "";
}

// Makes random writes of the kinds that a RaftNode makes. Their sizes fill LevelDB's write buffer
// from time to time.
class WriteGenerator {
 public:
  explicit WriteGenerator(uint64_t seed) : random_(seed) {}

  // The next write for a store with this content.
  WriteRequest Next(const RestoredState& state) {
    WriteRequest write;
    Index last = state.entries.empty() ? state.snapshot.index : state.entries.back().index;
    uint64_t choice = state.empty ? 0 : random_.Below(20);
    if (choice < 3) AdvanceTerm(state, &write);
    if (state.empty) write.snapshot = {Snapshot{1, 1, {}, "founded"}};
    if (choice == 3 && !state.entries.empty()) {  // another leader's entries replace the last ones
      write.truncate_from = last - random_.Below(std::min<size_t>(3, state.entries.size()));
      last = write.truncate_from - 1;
      AdvanceTerm(state, &write);
    } else if (choice == 4 && state.entries.size() > 8) {
      write.drop_through = last - 8;
      write.snapshot = {Snapshot{last - 2, state.hard_state.term, {}, Text(20000)}};
    } else if (choice == 5 && random_.Below(4) == 0) {  // a leader's snapshot
      write.truncate_from = 1;
      write.snapshot = {Snapshot{last + 5, state.hard_state.term, {}, Text(30000)}};
      return write;
    } else if (choice == 6) {
      write.commit = last;
      return write;
    }
    for (uint64_t i = 0; choice > 2 && i < 1 + random_.Below(3); ++i) {
      Term term = write.hard_state_changed ? write.hard_state.term : state.hard_state.term;
      write.entries.push_back({term, ++last, EntryKind::kCommand, Text(random_.Below(16000))});
    }
    return write;
  }

 private:
  // Advances the term and sets a random vote.
  void AdvanceTerm(const RestoredState& state, WriteRequest* write) {
    write->hard_state_changed = true;
    write->hard_state = {7, 8, state.hard_state.term + 1, random_.Below(3)};
  }
  std::string Text(size_t bytes) {
    return std::string(bytes, static_cast<char>('a' + random_.Below(26)));
  }
  base::Random random_;
};

class StorePowerTest : public ::testing::Test {
 protected:
  // Opens a store on `disk`, which contains `state`, makes `writes` random writes and closes it.
  // Records the writes and all changes of the disk.
  void RunStore(const Disk& disk, RestoredState state, size_t writes, uint64_t seed) {
    PowerLossEnv env(disk);
    auto store = OpenDiskStore(kDirectory, env.file_system());
    ASSERT_TRUE(store.has_value()) << store.error().reason;
    env.Advance(SIZE_MAX - 1);
    WriteGenerator generator(seed);
    base::Random random(seed + 1);
    writes_.clear();
    changes_at_return_.clear();
    for (size_t i = 0; i < writes; ++i) {
      writes_.push_back(generator.Next(state));
      size_t bytes = 0;
      for (const Entry& entry : writes_.back().entries) bytes += entry.data.size();
      for (const Snapshot& snapshot : writes_.back().snapshot) bytes += snapshot.state.size();
      if (env.log_bytes() + bytes > kMaxLogFileBytes || random.Below(8) == 0) {
        env.Advance(SIZE_MAX - 1);
      } else {
        env.Advance(1 + random.Below(12));
      }
      ASSERT_TRUE((*store)->Write(writes_.back()).has_value());
      changes_at_return_.push_back(env.changes());
      ApplyWrite(writes_.back(), &state);
    }
    env.Release();
    store->reset();
    history_ = env.history();
  }

  // Checks that the store on `disk` contains `before` or, if a write was in flight, `after`. With
  // holes the opening may also fail. `point` is for messages.
  void CheckDisk(const Disk& disk, const RestoredState& before, const RestoredState* after,
                 size_t point) {
    ++disks_checked_;
    PowerLossEnv env(disk);
    auto store = OpenDiskStore(kDirectory, env.file_system());
    if (!store && holes_) {
      ++disks_refused_;
      return;
    }
    ASSERT_TRUE(store.has_value()) << "at " << point << ": " << store.error().reason;
    auto loaded = (*store)->Load();
    ASSERT_TRUE(loaded.has_value()) << "at " << point << ": " << loaded.error().reason;
    std::string difference = Difference(*loaded, before);
    if (after && Difference(*loaded, *after).empty()) difference.clear();
    ASSERT_EQ(difference, "") << "at " << point;
    ASSERT_LE(loaded->commit, after ? after->commit : before.commit) << "at " << point;
    loaded_ = std::move(*loaded);
  }

  // Checks the store after power losses at this point. If at most three changes are unsynced, takes
  // all combinations of what may happen to them, with random places in tails of more than four
  // bytes; otherwise takes six losses, of which one loses and one keeps all changes.
  void CheckPowerLosses(const Disk& disk, const RestoredState& before, const RestoredState* after,
                        size_t point) {
    base::Random random(point);
    if (disk.UnsyncedChanges() > 3) {
      for (int i = 0; i < 6 && !HasFatalFailure(); ++i) {
        CheckDisk(
            disk.AfterPowerLoss([&](uint64_t n) { return i < 2 ? i : random.Below(n); }, holes_),
            before, after, point);
      }
      return;
    }
    // Counts through all choices, each of which is a digit of its own base.
    std::vector<uint64_t> digits, bases;
    do {
      size_t at = 0;
      bases.clear();
      Disk lost = disk.AfterPowerLoss(
          [&](uint64_t n) {
            if (n > 4) return random.Below(n);  // a place in a tail
            if (at == digits.size()) digits.push_back(0);
            bases.push_back(n);
            return digits[at++];
          },
          holes_);
      CheckDisk(lost, before, after, point);
      while (!digits.empty() && ++digits.back() >= bases[digits.size() - 1]) digits.pop_back();
    } while (!digits.empty() && !HasFatalFailure());
  }

  // Runs the store `incarnations` times, each time on the disk that a power loss in the run before
  // left. Checks power losses after each change of a directory and after about one of
  // `sampling_interval` other changes.
  void RunIncarnations(uint64_t incarnations, uint64_t sampling_interval) {
    using Kind = DiskOperation::Kind;
    Disk disk;
    RestoredState state;
    size_t points = 0, logs = 0, tables = 0;
    for (uint64_t incarnation = 0; incarnation < incarnations; ++incarnation) {
      RunStore(disk, state, 150, incarnation);
      if (HasFatalFailure()) return;
      base::Random random(incarnation);
      RestoredState after = state;
      if (!writes_.empty()) ApplyWrite(writes_[0], &after);
      size_t end = history_.size() - random.Below(history_.size() / 4);
      for (size_t i = 0, done = 0; i <= end; ++i) {
        while (done < writes_.size() && changes_at_return_[done] <= i) {
          state = after;
          if (++done < writes_.size()) ApplyWrite(writes_[done], &after);
        }
        bool directory_changed =
            i > 0 && history_[i - 1].kind != Kind::kAppend && history_[i - 1].kind != Kind::kSync;
        if (directory_changed || i == end || random.Below(sampling_interval) == 0) {
          ++points;
          bool in_flight = done < writes_.size() && i > (done ? changes_at_return_[done - 1] : 0);
          CheckPowerLosses(disk, state, in_flight ? &after : nullptr, i);
          if (HasFatalFailure()) return;
        }
        if (i == end) break;
        const DiskOperation& operation = history_[i];
        auto path_contains = [&](const char* text) {
          return operation.path.find(text) != std::string::npos;
        };
        logs += operation.kind == Kind::kCreateFile && path_contains(".log");
        tables += operation.kind == Kind::kCreateFile && path_contains(".ldb");
        disk.Apply(operation);
      }
      // The next incarnation begins after one of these power losses.
      disk = disk.AfterPowerLoss([&](uint64_t n) { return random.Below(n); });
      CheckDisk(disk, state, &after, end);
      if (HasFatalFailure()) return;
      state = loaded_;
    }
    std::cout << points << " points of power loss, " << disks_checked_ << " disks, "
              << disks_refused_ << " refused by LevelDB, " << logs << " log files, " << tables
              << " tables\n";
    EXPECT_GT(logs, 3 * incarnations);
    EXPECT_GE(tables, 3 * incarnations);
  }

  std::vector<WriteRequest> writes_;
  std::vector<size_t> changes_at_return_;  // for each write, the number of changes when it returned
  std::vector<DiskOperation> history_;
  RestoredState loaded_;  // by the last CheckDisk()
  bool holes_ = false;    // unsynced tails may have holes; LevelDB may then refuse to open the disk
  size_t disks_refused_ = 0;
  size_t disks_checked_ = 0;
};

// Guards against acknowledged writes that a power loss takes back, because a file or the name of a
// file wasn't synced when the write returned.
TEST_F(StorePowerTest, AcknowledgedWritesSurvivePowerLoss) { RunIncarnations(4, 24); }

// Guards against a full disk that damages the store. The write that fails must be there as a whole
// or not at all, later writes must fail too, and acknowledged writes must remain.
TEST_F(StorePowerTest, FullDiskFailsWritesAndKeepsStoreIntact) {
  size_t failed_stores = 0, failed_openings = 0;
  for (uint64_t seed = 0; seed < 24; ++seed) {
    base::Random random(seed);
    PowerLossEnv env;
    RestoredState state, next;
    auto store = OpenDiskStore(kDirectory, env.file_system());
    ASSERT_TRUE(store.has_value());
    WriteGenerator writes(seed);
    env.SetCapacity(2000 + random.Below(1'800'000));
    bool write_failed = false;
    for (int i = 0; i < 400 && !write_failed; ++i) {
      WriteRequest write = writes.Next(state);
      next = state;
      ApplyWrite(write, &next);
      write_failed = !(*store)->Write(write).has_value();
      if (!write_failed) state = next;
    }
    if (!write_failed) continue;
    ++failed_stores;
    // Writes after the failed one must fail too, since they build on it.
    env.SetCapacity(SIZE_MAX);
    WriteRequest after;
    after.hard_state_changed = true;
    EXPECT_FALSE((*store)->Write(after).has_value());
    store->reset();
    for (int tries = 0; tries < 3; ++tries) {
      env.SetCapacity(env.disk().used_bytes() + random.Below(3000));
      auto again = OpenDiskStore(kDirectory, env.file_system());
      if (!again) {
        ++failed_openings;
        EXPECT_FALSE(IsCorruption(again.error())) << again.error().reason;
      }
    }
    env.SetCapacity(SIZE_MAX);
    CheckDisk(env.disk(), state, &next, seed);
    CheckDisk(env.disk().AfterPowerLoss([&](uint64_t n) { return random.Below(n); }), state, &next,
              seed);
    if (HasFatalFailure()) return;
  }
  EXPECT_GT(failed_stores, 12u);
  EXPECT_GT(failed_openings, 12u);
}

// Guards against a store that opens with wrong content after the disk wrote the blocks of an
// unsynced tail out of order. LevelDB refuses to open a manifest with such a hole: this copy of the
// log is lost, but the loss is detected.
TEST_F(StorePowerTest, TailsWrittenOutOfOrderAreDetected) {
  holes_ = true;
  RunIncarnations(1, 8);
  EXPECT_LT(disks_refused_ * 10, disks_checked_);
}

}  // namespace
}  // namespace elderkeel::consensus
