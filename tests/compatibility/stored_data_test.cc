// Reads a data folder that a controller of version 0.1.0 (commit 517eb81) wrote. It holds a full
// document with 150 routes, 120 patches, two zone drains of which one was ended again, a roll-out,
// snapshots, and the log entries after them. Guards against a release that can't read stored data.
#include <gtest/gtest.h>

#include <filesystem>

#include "base/random.h"
#include "base/settings.h"
#include "consensus/disk_store.h"
#include "consensus/raft_node.h"
#include "controller/control_state.h"

namespace elderkeel::controller {
namespace {

const std::filesystem::path kData = ELDERKEEL_TEST_DATA;

class StoredDataTest : public ::testing::Test {
 protected:
  StoredDataTest()
      : copy_(std::filesystem::temp_directory_path() /
              ("elderkeel-stored-" + std::to_string(base::RandomSeed()))) {
    std::filesystem::copy(kData / "store_0_1_0", copy_);
  }
  ~StoredDataTest() override { std::filesystem::remove_all(copy_); }

  consensus::RestoredState Load() {
    auto store = consensus::OpenDiskStore(copy_.string());
    EXPECT_TRUE(store.has_value());
    auto restored = (*store)->Load();
    EXPECT_TRUE(restored.has_value());
    return *restored;
  }

  std::filesystem::path copy_;
};

// All stored parts must decode, and applying the log must yield the state that was written.
TEST_F(StoredDataTest, IsReadCompletely) {
  consensus::RestoredState restored = Load();
  EXPECT_FALSE(restored.empty);
  EXPECT_NE(restored.hard_state.cluster, 0u);
  EXPECT_NE(restored.hard_state.self, 0u);
  EXPECT_GT(restored.hard_state.term, 1u);
  EXPECT_GT(restored.snapshot.index, 90u);
  EXPECT_EQ(restored.snapshot.voters.size(), 3u);
  ASSERT_FALSE(restored.entries.empty());
  EXPECT_GT(restored.entries.back().index, restored.snapshot.index);

  auto state = ControlState::Decode(restored.snapshot.state);
  ASSERT_TRUE(state.has_value());
  for (const consensus::Entry& entry : restored.entries) {
    if (entry.index <= restored.snapshot.index) continue;
    if (entry.kind == consensus::EntryKind::kCommand) state->Apply(entry.data);
  }
  EXPECT_EQ(state->configuration.revision(), 240);
  EXPECT_EQ(state->configuration.text(),
            *base::ReadFile((kData / "store_0_1_0_configuration.json").string()));
  EXPECT_EQ(state->drained_zones.zones(), std::vector<std::string>{"z2"});
  EXPECT_EQ(state->drained_zones.version(), 3u);
  ASSERT_NE(state->rollouts.NewestOf("s1"), nullptr);
  EXPECT_EQ(state->rollouts.NewestOf("s1")->order.version, "v2");
  EXPECT_EQ(state->rollouts.NewestOf("s1")->order.time_limit_ms, 3600000);
  EXPECT_NE(state->catalog_reader.owner, 0u);
}

// A member that starts with this data must keep its identity and term, so that it doesn't vote
// twice in a term, and must have the committed entries.
TEST_F(StoredDataTest, RestoresAMember) {
  consensus::RestoredState restored = Load();
  consensus::RaftNode::Options options;
  options.self.id = 1;  // the stored id takes precedence
  consensus::RaftNode raft(options, restored, 0);
  EXPECT_EQ(raft.self().id, restored.hard_state.self);
  EXPECT_EQ(raft.term(), restored.hard_state.term);
  EXPECT_EQ(raft.voters().size(), 3u);
  EXPECT_EQ(raft.last_index(), restored.entries.back().index);
  EXPECT_GE(raft.commit(), restored.snapshot.index);
}

}  // namespace
}  // namespace elderkeel::controller
