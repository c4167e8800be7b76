#include "consensus/raft_log.h"

#include <algorithm>

#include "transport/frame.h"

namespace elderkeel::consensus {

const Entry* RaftLog::Find(Index index) const {
  if (entries_.empty() || index < entries_.front().index || index > entries_.back().index) {
    return nullptr;
  }
  return &entries_[index - entries_.front().index];
}

Term RaftLog::TermAt(Index index) const {
  if (const Entry* entry = Find(index)) return entry->term;
  return index == snapshot_.index ? snapshot_.term : 0;
}

size_t RaftLog::bytes() const {
  size_t bytes = 0;
  for (const Entry& entry : entries_) bytes += entry.data.size();
  return bytes;
}

bool RaftLog::Matches(Index index, Term term) const {
  // Entries that the snapshot covers are committed, so every leader's log has the same ones.
  if (index < snapshot_.index) return true;
  return index <= last_index() && TermAt(index) == term;
}

bool RaftLog::IsUpToDate(Index index, Term term) const {
  return term > last_term() || (term == last_term() && index >= last_index());
}

std::vector<Member> RaftLog::VotersAt(Index index) const {
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->index > index) continue;
    if (entry->index <= snapshot_.index) break;
    if (entry->kind != EntryKind::kVoters) continue;
    if (auto voters = transport::Decode<std::vector<Member>>(entry->data)) return *voters;
    break;
  }
  return snapshot_.voters;
}

Index RaftLog::LastVotersIndex() const {
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->kind == EntryKind::kVoters) return entry->index;
  }
  return snapshot_.index;
}

void RaftLog::TruncateFrom(Index index) {
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                [index](const Entry& entry) { return entry.index >= index; }),
                 entries_.end());
}

void RaftLog::Compact(Snapshot snapshot, Index drop_through) {
  snapshot_ = std::move(snapshot);
  entries_.erase(
      std::remove_if(entries_.begin(), entries_.end(),
                     [drop_through](const Entry& entry) { return entry.index <= drop_through; }),
      entries_.end());
}

void RaftLog::Install(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  entries_.clear();
}

}  // namespace elderkeel::consensus
