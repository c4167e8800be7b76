// Cutting the log by a snapshot, and installing a leader's.
#include <algorithm>

#include "consensus/machine.h"
#include "wire/frame.h"

namespace elderkeel::consensus {
namespace {
constexpr size_t kCompactAfter = 96;            // entries in memory before the log is cut
constexpr size_t kCompactAfterBytes = 1 << 20;  // after the snapshot, or twice its own if more
constexpr Index kTail = 32;  // entries kept behind a snapshot, for members that are a little late
constexpr size_t kTailBytes = 1 << 20;  // of these, or as many as the snapshot has if more
}  // namespace

void Machine::OnInstallSnapshot(base::Millis now, const Message& m, const base::Address& from) {
  if (m.snapshot.empty()) return;
  HeardLeader(now, m, from);
  const Snapshot& snapshot = m.snapshot[0];
  if (snapshot.index > commit_ && At(snapshot.index) && TermAt(snapshot.index) == snapshot.term) {
    // The log leads to the same state, and what it holds after that may have been acknowledged.
    CommitTo(snapshot.index);
  } else if (snapshot.index > commit_) {
    snapshot_ = snapshot;
    log_.clear();
    commit_ = applied_ = persisted_ = snapshot_.index;
    Persist& write = Write();
    write.entries.clear();
    write.truncate_from = 1;
    write.snapshot = {snapshot_};
    write_last_.clear();
    RefreshVoters();
    out_.committed.clear();
    out_.installed.push_back(snapshot_);
  }
  Message reply = Make(MessageType::kAppendEntriesReply, m.from);
  reply.granted = true;
  reply.index = std::max(snapshot_.index, commit_);
  reply.round = m.round;
  Post(from, std::move(reply), true);
}

size_t Machine::log_bytes() const {
  size_t bytes = 0;
  for (const Entry& entry : log_) bytes += entry.data.size();
  return bytes;
}

bool Machine::CompactionDue() const {
  if (log_.size() > kCompactAfter) return true;
  size_t bytes = 0;
  for (const Entry& entry : log_) {
    if (entry.index > snapshot_.index && entry.index <= applied_) bytes += entry.data.size();
  }
  return bytes > std::max(kCompactAfterBytes, 2 * snapshot_.state.size());
}

void Machine::Compact(Index index, std::string state) {
  if (index <= snapshot_.index || index > applied_) return;
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = TermAt(index);
  snapshot.voters = snapshot_.voters;
  for (const Entry& entry : log_) {
    if (entry.index > index) break;
    if (entry.kind != EntryKind::kVoters) continue;
    if (auto voters = wire::Decode<std::vector<Member>>(entry.data)) snapshot.voters = *voters;
  }
  snapshot.state = std::move(state);
  snapshot_ = std::move(snapshot);
  // Whoever is later than the tail gets the snapshot, so a tail that is larger saves nothing.
  size_t tail_bytes = std::max(kTailBytes, snapshot_.state.size());
  Index drop_to = index;
  for (auto at = log_.rbegin(); at != log_.rend() && drop_to + kTail > index; ++at) {
    if (at->index > index) continue;
    if (at->data.size() > tail_bytes) break;
    tail_bytes -= at->data.size();
    drop_to = at->index - 1;
  }
  log_.erase(
      std::remove_if(log_.begin(), log_.end(), [&](const Entry& e) { return e.index <= drop_to; }),
      log_.end());
  Persist& write = Write();
  write.snapshot = {snapshot_};
  write.drop_to = drop_to;
}

}  // namespace elderkeel::consensus
