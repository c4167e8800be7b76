// Cutting the log by a snapshot, and installing a leader's.
#include <algorithm>

#include "consensus/machine.h"
#include "wire/frame.h"

namespace elderkeel::consensus {
namespace {
constexpr Index kTail = 32;  // entries kept behind a snapshot, for members that are a little late
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
  Index drop_to = index > kTail ? index - kTail : 0;
  log_.erase(
      std::remove_if(log_.begin(), log_.end(), [&](const Entry& e) { return e.index <= drop_to; }),
      log_.end());
  Persist& write = Write();
  write.snapshot = {snapshot_};
  write.drop_to = drop_to;
}

}  // namespace elderkeel::consensus
