// Log compaction of a RaftNode: replaces the beginning of the log by a snapshot of the resulting
// state (Raft, section 7).
#include <algorithm>
#include <utility>

#include "consensus/raft_node.h"

namespace elderkeel::consensus {
namespace {
// The log is compacted when it holds more entries than kCompactAfterEntries, or when the data of
// the applied entries after the snapshot exceeds both kCompactAfterBytes and twice the size of the
// snapshot's state.
constexpr size_t kCompactAfterEntries = 96;
constexpr size_t kCompactAfterBytes = 1 << 20;
// The last entries that a snapshot covers are kept for members that lag a little: at most
// kTailEntries, whose data is no larger than kTailBytes or the snapshot's state, whichever is more.
constexpr Index kTailEntries = 32;
constexpr size_t kTailBytes = 1 << 20;
// Limits for the entries that are kept for members that are being caught up. Beyond either of them
// nothing is kept for these members.
constexpr size_t kMaxKeptEntries = 512;
constexpr size_t kMaxKeptBytes = 4u << 20;
}  // namespace

bool RaftNode::CompactionDue() const {
  const Snapshot& snapshot = log_.snapshot();
  size_t bytes = 0;
  for (const Entry& entry : log_.entries()) {
    if (entry.index > snapshot.index && entry.index <= applied_index_) bytes += entry.data.size();
  }
  bool due = log_.entries().size() > kCompactAfterEntries ||
             bytes > std::max(kCompactAfterBytes, 2 * snapshot.state.size());
  return due && TruncationPoint(applied_index_, snapshot.state.size()).has_value();
}

void RaftNode::Compact(Index index, std::string state) {
  if (index <= log_.snapshot().index || index > applied_index_) return;
  std::optional<Index> drop_through = TruncationPoint(index, state.size());
  if (!drop_through) return;
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = log_.TermAt(index);
  snapshot.voters = log_.VotersAt(index);
  snapshot.state = std::move(state);
  log_.Compact(std::move(snapshot), *drop_through);
  WriteRequest& write = CurrentWrite();
  write.snapshot = {log_.snapshot()};
  write.drop_through = *drop_through;
}

// The last entry that no member in contact needs any more; the last entry of the log if the needed
// ones exceed a limit above. A member that has received a snapshot continues with the entries after
// it; if they had been compacted away it would need the next snapshot, and might never catch up.
Index RaftNode::LastUnneededIndex(base::Millis now) const {
  Index unneeded = log_.last_index();
  for (const auto& [id, peer] : progress_) {
    if (!ContactedWithin(now, id, timing_.election_timeout * 2)) continue;
    Index from = peer.snapshot ? peer.snapshot->index : peer.match_index;
    // This entry itself is needed too: AppendEntries carries its term to match the log.
    if (log_.Find(from)) unneeded = std::min(unneeded, from - 1);
  }
  size_t bytes = 0;
  for (const Entry& entry : log_.entries()) bytes += entry.index > unneeded ? entry.data.size() : 0;
  bool over_limit = bytes > kMaxKeptBytes || log_.last_index() - unneeded > kMaxKeptEntries;
  return over_limit ? log_.last_index() : unneeded;
}

// The last entry that is dropped from the log when a snapshot up to `index` with `state_bytes` is
// taken; nullopt if members that are being caught up need all entries.
std::optional<Index> RaftNode::TruncationPoint(Index index, size_t state_bytes) const {
  const std::vector<Entry>& entries = log_.entries();
  // A member that lags behind the tail gets the snapshot, so a tail larger than the snapshot saves
  // nothing.
  size_t tail_bytes = std::max(kTailBytes, state_bytes);
  Index tail = index;
  for (auto entry = entries.rbegin(); entry != entries.rend() && tail + kTailEntries > index;
       ++entry) {
    if (entry->index > index) continue;
    if (entry->data.size() > tail_bytes) break;
    tail_bytes -= entry->data.size();
    tail = entry->index - 1;
  }
  Index drop_through = std::min(tail, LastUnneededIndex(now_));
  if (drop_through < tail && (entries.empty() || drop_through < entries.front().index))
    return std::nullopt;
  return drop_through;
}

}  // namespace elderkeel::consensus
