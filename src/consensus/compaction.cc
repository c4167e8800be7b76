// Replacing the beginning of the log by a snapshot of the state it leads to (Raft, section 7).
#include <algorithm>
#include <utility>

#include "consensus/raft_node.h"

namespace elderkeel::consensus {
namespace {
// Entries in memory before the log is compacted, and bytes after the snapshot: so many, or twice
// the snapshot's own if that is more.
constexpr size_t kCompactAfterEntries = 96;
constexpr size_t kCompactAfterBytes = 1 << 20;
// Entries kept behind a snapshot for members that are a little behind, and their bytes: so many, or
// as many as the snapshot has if that is more.
constexpr Index kTailEntries = 32;
constexpr size_t kTailBytes = 1 << 20;
// What is kept at the most for members that are being caught up.
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
  std::optional<Index> drop_to = TruncationPoint(index, state.size());
  if (!drop_to) return;
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = log_.TermAt(index);
  snapshot.voters = log_.VotersAt(index);
  snapshot.state = std::move(state);
  log_.Compact(std::move(snapshot), *drop_to);
  WriteRequest& write = CurrentWrite();
  write.snapshot = {log_.snapshot()};
  write.drop_to = *drop_to;
}

// The entry up to which nobody who is being caught up needs the log. A member that got a snapshot
// goes on with the entries after it; if they were gone it would need the next one, and never end.
Index RaftNode::LastIndexNotNeeded(base::Millis now) const {
  Index unneeded = log_.last_index();
  for (const auto& [id, peer] : progress_) {
    if (!ContactedWithin(now, id, timing_.election_timeout * 2)) continue;
    Index from = peer.snapshot ? peer.snapshot->index : peer.match_index;
    // That entry itself is needed too: what follows is matched by its term.
    if (log_.Find(from)) unneeded = std::min(unneeded, from - 1);
  }
  size_t bytes = 0;
  for (const Entry& entry : log_.entries()) bytes += entry.index > unneeded ? entry.data.size() : 0;
  bool too_much = bytes > kMaxKeptBytes || log_.last_index() - unneeded > kMaxKeptEntries;
  return too_much ? log_.last_index() : unneeded;
}

// Up to which entry the log is truncated by a snapshot up to `index` with so many bytes; none if
// all of it is still needed.
std::optional<Index> RaftNode::TruncationPoint(Index index, size_t state_bytes) const {
  const std::vector<Entry>& entries = log_.entries();
  // Whoever is behind the tail gets the snapshot, so a tail that is larger saves nothing.
  size_t tail_bytes = std::max(kTailBytes, state_bytes);
  Index tail = index;
  for (auto entry = entries.rbegin(); entry != entries.rend() && tail + kTailEntries > index;
       ++entry) {
    if (entry->index > index) continue;
    if (entry->data.size() > tail_bytes) break;
    tail_bytes -= entry->data.size();
    tail = entry->index - 1;
  }
  Index drop_to = std::min(tail, LastIndexNotNeeded(now_));
  if (drop_to < tail && (entries.empty() || drop_to < entries.front().index)) return std::nullopt;
  return drop_to;
}

}  // namespace elderkeel::consensus
