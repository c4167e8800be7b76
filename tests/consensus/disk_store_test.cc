#include "consensus/disk_store.h"

#include <gtest/gtest.h>
#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <atomic>
#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "base/random.h"
#include "consensus/raft_node.h"
#include "consensus/store_thread.h"

namespace elderkeel::consensus {
namespace {

class StoreTest : public ::testing::Test {
 protected:
  StoreTest()
      : path_(std::filesystem::temp_directory_path() /
              ("elderkeel-store-" + std::to_string(base::RandomSeed()))) {}
  ~StoreTest() override { std::filesystem::remove_all(path_); }

  Entry MakeEntry(Index index, Term term) {
    return Entry{term, index, EntryKind::kCommand, "d" + std::to_string(index)};
  }
  // Opens the store and returns its content.
  RestoredState Reload() {
    auto store = OpenDiskStore(path_.string());
    EXPECT_TRUE(store.has_value());
    auto restored = (*store)->Load();
    EXPECT_TRUE(restored.has_value()) << restored.error().reason;
    return *restored;
  }
  // Opens the store, writes once and closes it.
  void Write(const WriteRequest& write) {
    auto store = OpenDiskStore(path_.string());
    ASSERT_TRUE(store.has_value());
    ASSERT_TRUE((*store)->Write(write).has_value());
  }
  std::filesystem::path path_;
};

// Guards against a reopened store that lost a part of a write, or still holds entries that a write
// truncated or dropped.
TEST_F(StoreTest, ReopenedStoreHoldsVoteEntriesAndSnapshot) {
  EXPECT_TRUE(Reload().empty);
  WriteRequest first;
  first.hard_state_changed = true;
  first.hard_state = {7, 8, 3, 9};
  first.snapshot = {Snapshot{2, 1, {}, "state"}};
  first.entries = {MakeEntry(3, 2), MakeEntry(4, 2), MakeEntry(5, 2)};
  Write(first);
  WriteRequest second;  // another leader's entries replace entry 5 and add entry 6
  second.truncate_from = 5;
  second.entries = {MakeEntry(5, 3), MakeEntry(6, 3)};
  second.commit = 4;
  Write(second);
  RestoredState restored = Reload();
  EXPECT_FALSE(restored.empty);
  EXPECT_EQ(restored.hard_state.voted_for, 9u);
  EXPECT_EQ(restored.commit, 4u);
  EXPECT_EQ(restored.snapshot.state, "state");
  ASSERT_EQ(restored.entries.size(), 4u);
  EXPECT_EQ(restored.entries[2].term, 3u);
  WriteRequest third;
  third.snapshot = {Snapshot{5, 3, {}, "newer"}};
  third.drop_through = 4;
  Write(third);
  restored = Reload();
  EXPECT_EQ(restored.snapshot.index, 5u);
  ASSERT_EQ(restored.entries.size(), 2u);
  EXPECT_EQ(restored.entries.front().index, 5u);
}

// Guards against a member that runs with a log that lacks entries, or with a store whose CURRENT
// file is damaged.
TEST_F(StoreTest, LogWithGapAndDamagedCurrentFileAreErrors) {
  WriteRequest write;
  write.hard_state_changed = true;
  write.hard_state = {1, 2, 3, 4};
  write.entries = {MakeEntry(1, 1), MakeEntry(3, 1)};  // a gap
  Write(write);
  auto store = OpenDiskStore(path_.string());
  ASSERT_TRUE(store.has_value());
  auto loaded = (*store)->Load();
  ASSERT_FALSE(loaded.has_value());
  EXPECT_EQ(loaded.error().step, "store.load");
  EXPECT_EQ(loaded.error().code, base::ErrorCode::kCorruption);
  store->reset();
  std::ofstream(path_ / "CURRENT") << "nonsense";
  EXPECT_FALSE(OpenDiskStore(path_.string()).has_value());
}

// Guards against quarantining a store that is only locked by another opening: the member would lose
// its votes and entries without need. A damaged store is quarantined, and an empty one can be
// opened.
TEST_F(StoreTest, LockedStoreIsNotCorruptionAndDamagedStoreIsQuarantined) {
  WriteRequest write;
  write.hard_state_changed = true;
  write.hard_state = {1, 2, 3, 4};
  Write(write);
  auto first = OpenDiskStore(path_.string());
  ASSERT_TRUE(first.has_value());
  auto second =
      OpenDiskStore(path_.string());  // fails only as long as the first one holds the lock
  ASSERT_FALSE(second.has_value());
  EXPECT_FALSE(IsCorruption(second.error()));
  first->reset();
  std::ofstream(path_ / "CURRENT") << "nonsense";
  auto damaged = OpenDiskStore(path_.string());
  ASSERT_FALSE(damaged.has_value());
  EXPECT_TRUE(IsCorruption(damaged.error()));
  ASSERT_TRUE(Quarantine(path_.string()).has_value());
  EXPECT_TRUE(std::filesystem::exists(path_.string() + ".unreadable/CURRENT"));
  EXPECT_TRUE(Reload().empty);
  std::filesystem::remove_all(path_.string() + ".unreadable");
}

// Guards against a StoreThread that reorders writes, or drops queued ones when it is destroyed.
TEST_F(StoreTest, StoreThreadFinishesQueuedWritesInOrderBeforeItEnds) {
  auto store = OpenDiskStore(path_.string());
  ASSERT_TRUE(store.has_value());
  std::vector<uint64_t> done;
  {
    StoreThread thread(std::move(*store), [&](uint64_t sequence, base::Status result) {
      EXPECT_TRUE(result.has_value());
      done.push_back(sequence);
    });
    for (uint64_t i = 1; i <= 20; ++i) {
      WriteRequest write;
      write.sequence = i;
      write.hard_state_changed = true;
      write.entries = {MakeEntry(i, 1)};
      thread.Write(write);
    }
  }  // the destructor executes the queued writes
  ASSERT_EQ(done.size(), 20u);
  EXPECT_TRUE(std::is_sorted(done.begin(), done.end()));
  EXPECT_EQ(Reload().entries.size(), 20u);
}

// The records as version 0.1.0 wrote them. The types are copies, so that a change of the current
// types makes the test below fail.
namespace version_0_1_0 {
struct Member {
  uint64_t id;
  std::string ip;
  uint16_t port;
  std::string control, zone;
  template <class A>
  void serialize(A& a) {
    a(id, ip, port, control, zone);
  }
};
struct Entry {
  uint64_t term, index;
  uint8_t kind;
  std::string data;
  template <class A>
  void serialize(A& a) {
    a(term, index, kind, data);
  }
};
struct Snapshot {
  uint64_t index, term;
  std::vector<Member> voters;
  std::string state;
  template <class A>
  void serialize(A& a) {
    a(index, term, voters, state);
  }
};
struct HardState {
  uint64_t cluster, self, term, voted_for;
  template <class A>
  void serialize(A& a) {
    a(cluster, self, term, voted_for);
  }
};
template <class T>
std::string Bytes(T value) {
  std::ostringstream out;
  cereal::BinaryOutputArchive archive(out);
  archive(value);
  return out.str();
}
}  // namespace version_0_1_0

// Guards against a change of the stored format: after an update a controller must read the store
// that the version before it wrote.
TEST_F(StoreTest, ReadsStoreWrittenByVersion010) {
  namespace old = version_0_1_0;
  leveldb::Options options;
  options.create_if_missing = true;
  options.write_buffer_size = 512 << 10;
  options.compression = leveldb::kNoCompression;
  leveldb::DB* opened = nullptr;
  ASSERT_TRUE(leveldb::DB::Open(options, path_.string(), &opened).ok());
  std::unique_ptr<leveldb::DB> db(opened);
  leveldb::WriteOptions synced;
  synced.sync = true;
  auto put = [&](const std::string& key, const std::string& value) {
    ASSERT_TRUE(db->Put(synced, key, value).ok());
  };
  put("hard", old::Bytes(old::HardState{7, 8, 5, 9}));
  put("snapshot", old::Bytes(old::Snapshot{40,
                                           3,
                                           {{8, "10.0.0.1", 7000, "10.0.0.1:8383", "z1"},
                                            {9, "10.0.0.2", 7000, "", "z2"}},
                                           std::string(600'000, 's')}));
  for (uint64_t index = 30; index <= 300; ++index) {  // the index as eight bytes, big-endian
    std::string key = "e" + std::string(6, '\0');
    key.push_back(static_cast<char>(index >> 8));
    key.push_back(static_cast<char>(index));
    put(key, old::Bytes(old::Entry{index < 100 ? 3u : 5u, index, static_cast<uint8_t>(index % 3),
                                   std::string(5000, static_cast<char>(index))}));
  }
  put("commit", old::Bytes<uint64_t>(290));
  db.reset();

  // The first opening reads the old files, the second one those that the first opening rewrote.
  for (int openings = 0; openings < 2; ++openings) {
    RestoredState restored = Reload();
    EXPECT_FALSE(restored.empty);
    EXPECT_EQ(restored.hard_state.cluster, 7u);
    EXPECT_EQ(restored.hard_state.self, 8u);
    EXPECT_EQ(restored.hard_state.term, 5u);
    EXPECT_EQ(restored.hard_state.voted_for, 9u);
    EXPECT_EQ(restored.commit, 290u);
    EXPECT_EQ(restored.snapshot.index, 40u);
    EXPECT_EQ(restored.snapshot.term, 3u);
    EXPECT_EQ(restored.snapshot.state, std::string(600'000, 's'));
    ASSERT_EQ(restored.snapshot.voters.size(), 2u);
    EXPECT_EQ(restored.snapshot.voters[0].ip, "10.0.0.1");
    EXPECT_EQ(restored.snapshot.voters[0].port, 7000);
    EXPECT_EQ(restored.snapshot.voters[0].control, "10.0.0.1:8383");
    EXPECT_EQ(restored.snapshot.voters[1].zone, "z2");
    ASSERT_EQ(restored.entries.size(), 271u);
    for (size_t i = 0; i < restored.entries.size(); ++i) {
      const Entry& entry = restored.entries[i];
      ASSERT_EQ(entry.index, 30 + i);
      EXPECT_EQ(entry.term, entry.index < 100 ? 3u : 5u);
      EXPECT_EQ(static_cast<uint64_t>(entry.kind), entry.index % 3);
      EXPECT_EQ(entry.data, std::string(5000, static_cast<char>(entry.index)));
    }
  }
}

// Guards against a store or a log that grows without bound, which would fill the disk of 64 MB. The
// only voter of a log has a state of 0.9 MB; changes of the whole state and small ones alternate.
TEST_F(StoreTest, ManyLargeChangesStayWithinDiskAndLogBounds) {
  constexpr size_t kStateBytes = 900'000, kChanges = 64;
  auto store = OpenDiskStore(path_.string());
  ASSERT_TRUE(store.has_value());
  std::atomic<bool> stopping{false};
  std::atomic<uint64_t> peak_bytes{0};
  std::thread size_sampler([&] {
    while (!stopping) {
      uint64_t bytes = 0;
      std::error_code ignored;
      for (const auto& file : std::filesystem::directory_iterator(path_, ignored)) {
        std::error_code removed;
        uint64_t size = file.file_size(removed);
        if (!removed) bytes += size;
      }
      peak_bytes = std::max<uint64_t>(peak_bytes, bytes);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  });
  RaftNode::Options options;
  options.self.id = 1;
  options.initial_voters = {options.self};
  options.cluster = 7;
  RaftNode raft(options, RestoredState(), 0);
  size_t log_bytes = 0, log_size = 0;
  base::Millis longest_reclaim_ms = 0;
  std::string state(2 * kStateBytes, 's');  // the configuration in force and the newest change
  auto execute_writes = [&] {
    for (bool any = true; any;) {
      RaftNode::Effects effects = raft.TakeEffects();
      any = !effects.writes.empty();
      for (const WriteRequest& write : effects.writes) {
        auto written = (*store)->Write(write);
        raft.OnWriteFinished(0, write.sequence, written.has_value());
        base::Millis reclaim_started = base::SteadyMillis();
        (*store)->Reclaim();
        longest_reclaim_ms = std::max(longest_reclaim_ms, base::SteadyMillis() - reclaim_started);
      }
      if (!effects.committed.empty() && raft.CompactionDue()) {
        raft.Compact(raft.commit(), state);
      }
      log_bytes = std::max(log_bytes, raft.log_bytes());
      log_size = std::max(log_size, raft.log_size());
    }
  };
  for (base::Millis now = 0; !raft.HasCommittedInTerm() && now < 5000; now += 30) {
    raft.Tick(now);
    execute_writes();
  }
  for (size_t i = 0; i < kChanges; ++i) {
    size_t bytes = i % 2 == 0 ? kStateBytes : 400;
    ASSERT_TRUE(raft.Propose(0, std::string(bytes, static_cast<char>('a' + i % 26))));
    execute_writes();
  }
  stopping = true;
  size_sampler.join();
  std::cout << "directory " << peak_bytes / 1000 << " kB, log " << log_bytes / 1000 << " kB, "
            << log_size << " entries at their peaks, Reclaim() took at most " << longest_reclaim_ms
            << " ms\n";
  EXPECT_LT(peak_bytes, 32u << 20);
  EXPECT_LT(log_bytes, 8u << 20);
  EXPECT_LE(log_size, 97u);
  store->reset();
  RestoredState restored = Reload();
  EXPECT_EQ(restored.snapshot.index, raft.snapshot_index());
  ASSERT_FALSE(restored.entries.empty());
  EXPECT_EQ(restored.entries.back().index, raft.last_index());
}

}  // namespace
}  // namespace elderkeel::consensus
