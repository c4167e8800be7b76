#include "consensus/model_state.h"

#include <algorithm>

namespace elderkeel::model {

bool MajoritiesOverlap(const std::vector<Member>& a, const std::vector<Member>& b) {
  size_t common = 0;
  for (const Member& m : a) common += std::count(b.begin(), b.end(), m);
  // How many of the common members a majority of a set of `size` contains at least.
  auto forced = [&](size_t size) {
    size_t majority = size / 2 + 1, own = size - common;
    return majority > own ? majority - own : 0;
  };
  return forced(a.size()) + forced(b.size()) > common;
}

const Entry* EntryAt(const std::vector<Entry>& log, Index index) {
  if (log.empty() || index < log.front().index || index > log.back().index) return nullptr;
  return &log[index - log.front().index];
}

bool HasEntry(const RestoredState& disk, Index index, Term term) {
  if (disk.empty) return false;
  if (index <= disk.snapshot.index) return true;
  const Entry* e = EntryAt(disk.entries, index);
  return e && e->term == term;
}

void ApplyWrite(RestoredState* disk, const WriteRequest& write) {
  disk->empty = false;
  if (write.hard_state_changed) disk->hard_state = write.hard_state;
  if (!write.snapshot.empty()) disk->snapshot = write.snapshot[0];
  auto& log = disk->entries;
  auto remove = [&](auto is_removed) {
    log.erase(std::remove_if(log.begin(), log.end(), is_removed), log.end());
  };
  if (write.drop_through) remove([&](const Entry& e) { return e.index <= write.drop_through; });
  if (write.truncate_from) remove([&](const Entry& e) { return e.index >= write.truncate_from; });
  for (const Entry& entry : write.entries) {  // an entry replaces the one at its index
    auto at = std::lower_bound(log.begin(), log.end(), entry.index,
                               [](const Entry& e, Index index) { return e.index < index; });
    if (at != log.end() && at->index == entry.index) {
      *at = entry;
    } else {
      log.insert(at, entry);
    }
  }
  if (write.commit) disk->commit = write.commit;
}

}  // namespace elderkeel::model
