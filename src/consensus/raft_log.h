#pragma once

#include <vector>

#include "consensus/types.h"

namespace elderkeel::consensus {

// A member's log as it is in memory: the newest snapshot, and the entries after it. Some entries
// before the snapshot's end may be kept too, for members that are a little behind. Entries have no
// gaps, and the first stands directly after the snapshot's end or before that.
class RaftLog {
 public:
  RaftLog() = default;
  RaftLog(Snapshot snapshot, std::vector<Entry> entries)
      : snapshot_(std::move(snapshot)), entries_(std::move(entries)) {}

  const Snapshot& snapshot() const { return snapshot_; }
  const std::vector<Entry>& entries() const { return entries_; }
  Index last_index() const { return entries_.empty() ? snapshot_.index : entries_.back().index; }
  Term last_term() const { return TermAt(last_index()); }
  // Null for an entry that is not here (any more).
  const Entry* Find(Index index) const;
  // 0 for an entry that is neither here nor the snapshot's last.
  Term TermAt(Index index) const;
  // Bytes of all commands in memory.
  size_t bytes() const;

  // Whether what follows entry (index, term) may be appended here (Raft, section 5.3).
  bool Matches(Index index, Term term) const;
  // Whether a log that ends with (index, term) is at least as up to date as this one (Raft, section
  // 5.4.1).
  bool IsCoveredBy(Index index, Term term) const;

  // The voters by the newest voters' entry up to `index`, or else by the snapshot.
  std::vector<Member> VotersAt(Index index) const;
  // Where they were set last; the snapshot's end if no entry here does.
  Index LastVotersIndex() const;

  // REQUIRES: the entry follows the last one.
  void Append(Entry entry) { entries_.push_back(std::move(entry)); }
  // Removes the entry at `index` and all after it.
  void TruncateFrom(Index index);
  // Takes a newer snapshot and keeps the entries after `drop_to`.
  void Compact(Snapshot snapshot, Index drop_to);
  // Takes a leader's snapshot in place of everything.
  void Install(Snapshot snapshot);

 private:
  Snapshot snapshot_;
  std::vector<Entry> entries_;
};

}  // namespace elderkeel::consensus
