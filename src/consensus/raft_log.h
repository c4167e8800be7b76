#pragma once

#include <vector>

#include "consensus/types.h"

namespace elderkeel::consensus {

// A member's log in memory: the newest snapshot and the entries after it. Some entries that the
// snapshot covers may be kept too, so that followers slightly behind need no snapshot. Used by
// RaftNode, which writes the same changes to the store.
//
// Invariants: the entries have consecutive indexes; the first entry's index is at most the
// snapshot's index + 1.
class RaftLog {
 public:
  RaftLog() = default;
  RaftLog(Snapshot snapshot, std::vector<Entry> entries)
      : snapshot_(std::move(snapshot)), entries_(std::move(entries)) {}

  const Snapshot& snapshot() const { return snapshot_; }
  const std::vector<Entry>& entries() const { return entries_; }
  Index last_index() const { return entries_.empty() ? snapshot_.index : entries_.back().index; }
  Term last_term() const { return TermAt(last_index()); }
  // The entry at `index`; null if it isn't in memory.
  const Entry* Find(Index index) const;
  // The term of the entry at `index`; 0 if the entry is neither in memory nor the snapshot's last.
  Term TermAt(Index index) const;
  // The sum of the sizes of all entries' data in memory.
  size_t bytes() const;

  // Whether this log contains entry (index, term) or its snapshot covers it, so that the entries
  // that follow it may be appended (Raft, section 5.3).
  bool Matches(Index index, Term term) const;
  // Whether a log that ends with (index, term) is at least as up to date as this one (Raft, section
  // 5.4.1).
  bool IsUpToDate(Index index, Term term) const;

  // The voters that the last kVoters entry up to `index` sets; the snapshot's voters if there is no
  // such entry after the snapshot.
  std::vector<Member> VotersAt(Index index) const;
  // The index of the last kVoters entry in memory; the snapshot's index if there is none.
  Index LastVotersIndex() const;

  // REQUIRES: entry.index == last_index() + 1.
  void Append(Entry entry) { entries_.push_back(std::move(entry)); }
  // Removes the entry at `index` and all after it.
  void TruncateFrom(Index index);
  // Replaces the snapshot by a newer one and keeps the entries after `drop_through`.
  void Compact(Snapshot snapshot, Index drop_through);
  // Replaces the whole log by a snapshot received from the leader.
  void Install(Snapshot snapshot);

 private:
  Snapshot snapshot_;
  std::vector<Entry> entries_;
};

}  // namespace elderkeel::consensus
