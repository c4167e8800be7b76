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

  Entry Make(Index index, Term term) {
    return Entry{term, index, EntryKind::kCommand, "d" + std::to_string(index)};
  }
  RestoredState Reload() {
    auto store = OpenDiskStore(path_.string());
    EXPECT_TRUE(store.has_value());
    auto restored = (*store)->Load();
    EXPECT_TRUE(restored.has_value()) << restored.error().reason;
    return *restored;
  }
  void Write(const WriteRequest& write) {
    auto store = OpenDiskStore(path_.string());
    ASSERT_TRUE(store.has_value());
    ASSERT_TRUE((*store)->Write(write).has_value());
  }
  std::filesystem::path path_;
};

TEST_F(StoreTest, KeepsVoteEntriesAndSnapshotAcrossOpenings) {
  EXPECT_TRUE(Reload().empty);
  WriteRequest first;
  first.hard_state_changed = true;
  first.hard_state = {7, 8, 3, 9};
  first.snapshot = {Snapshot{2, 1, {}, "state"}};
  first.entries = {Make(3, 2), Make(4, 2), Make(5, 2)};
  Write(first);
  WriteRequest second;  // another leader's entries replace 5, and more follow
  second.truncate_from = 5;
  second.entries = {Make(5, 3), Make(6, 3)};
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
  third.drop_to = 4;
  Write(third);
  restored = Reload();
  EXPECT_EQ(restored.snapshot.index, 5u);
  ASSERT_EQ(restored.entries.size(), 2u);
  EXPECT_EQ(restored.entries.front().index, 5u);
}

TEST_F(StoreTest, SaysWhenItCannotBeRead) {
  WriteRequest write;
  write.hard_state_changed = true;
  write.hard_state = {1, 2, 3, 4};
  write.entries = {Make(1, 1), Make(3, 1)};  // a gap
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

TEST_F(StoreTest, QuarantinesOnlyDamagedStores) {
  WriteRequest write;
  write.hard_state_changed = true;
  write.hard_state = {1, 2, 3, 4};
  Write(write);
  auto first = OpenDiskStore(path_.string());
  ASSERT_TRUE(first.has_value());
  auto second = OpenDiskStore(path_.string());  // the first one's lock will go
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

TEST_F(StoreTest, WritesInOrderOnItsOwnThread) {
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
      write.entries = {Make(i, 1)};
      thread.Write(write);
    }
  }  // an orderly end writes what is queued
  ASSERT_EQ(done.size(), 20u);
  EXPECT_TRUE(std::is_sorted(done.begin(), done.end()));
  EXPECT_EQ(Reload().entries.size(), 20u);
}

// The records as version 0.1.0 wrote them, on their own so that a change of the types shows here.
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

TEST_F(StoreTest, ReadsWhatVersion010Wrote) {
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
  for (uint64_t index = 30; index <= 300; ++index) {  // the index in eight bytes, high ones first
    std::string key = "e" + std::string(6, '\0');
    key.push_back(static_cast<char>(index >> 8));
    key.push_back(static_cast<char>(index));
    put(key, old::Bytes(old::Entry{index < 100 ? 3u : 5u, index, static_cast<uint8_t>(index % 3),
                                   std::string(5000, static_cast<char>(index))}));
  }
  put("commit", old::Bytes<uint64_t>(290));
  db.reset();

  for (int openings = 0; openings < 2; ++openings) {  // as it was, and once rewritten
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

// The only voter of a log with a state of 0.9 MB, changed whole and in parts by turns.
TEST_F(StoreTest, ManyLargeChangesNeedLittleRoom) {
  constexpr size_t kState = 900'000, kChanges = 64;
  auto store = OpenDiskStore(path_.string());
  ASSERT_TRUE(store.has_value());
  std::atomic<bool> ending{false};
  std::atomic<uint64_t> peak{0};
  std::thread watch([&] {
    while (!ending) {
      uint64_t bytes = 0;
      std::error_code ignored;
      for (const auto& file : std::filesystem::directory_iterator(path_, ignored)) {
        std::error_code gone;
        uint64_t size = file.file_size(gone);
        if (!gone) bytes += size;
      }
      peak = std::max<uint64_t>(peak, bytes);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  });
  RaftNode::Options options;
  options.self.id = 1;
  options.founders = {options.self};
  options.cluster = 7;
  RaftNode raft(options, RestoredState(), 0);
  size_t log_bytes = 0, log_size = 0;
  base::Millis longest = 0;
  std::string state(2 * kState, 's');  // the configuration in force, and the newest change
  auto work = [&] {
    for (bool any = true; any;) {
      RaftNode::Effects effects = raft.TakeEffects();
      any = !effects.writes.empty();
      for (const WriteRequest& write : effects.writes) {
        auto written = (*store)->Write(write);
        raft.OnWriteFinished(0, write.sequence, written.has_value());
        base::Millis begun = base::SteadyMillis();
        (*store)->Reclaim();
        longest = std::max(longest, base::SteadyMillis() - begun);
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
    work();
  }
  for (size_t i = 0; i < kChanges; ++i) {
    size_t bytes = i % 2 == 0 ? kState : 400;
    ASSERT_TRUE(raft.Propose(0, std::string(bytes, static_cast<char>('a' + i % 26))));
    work();
  }
  ending = true;
  watch.join();
  std::cout << "folder " << peak / 1000 << " kB, log " << log_bytes / 1000 << " kB, " << log_size
            << " entries at their peaks, room given back in " << longest << " ms at most\n";
  EXPECT_LT(peak, 32u << 20);
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
