#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/random.h"
#include "consensus/raft_node.h"
#include "transport/frame.h"

namespace elderkeel::model {

using base::Millis;
using consensus::Entry;
using consensus::Index;
using consensus::Member;
using consensus::MemberId;
using consensus::Message;
using consensus::MessageType;
using consensus::RaftNode;
using consensus::RestoredState;
using consensus::Snapshot;
using consensus::Term;
using consensus::WriteRequest;

// A 64-bit digest that depends on the order of the values. A search skips a state whose digest
// equals that of another one. Among ten million states the probability that any two different ones
// collide is about three in a million.
class Digest {
 public:
  template <class T>
  Digest& Add(const T& value) {
    if constexpr (std::is_convertible_v<T, std::string>) {
      return Mix(base::Hash(value));
    } else {
      return Mix(static_cast<uint64_t>(value));
    }
  }
  template <class T, class... More>
  Digest& Add(const T& value, const More&... more) {
    Add(value);
    return Add(more...);
  }
  uint64_t value() const { return value_; }

 private:
  Digest& Mix(uint64_t v) {
    value_ = base::Random(value_ + v * 0xd1342543de82ef95ull).Next();
    return *this;
  }
  uint64_t value_ = 0x2545f4914f6cdd1dull;
};

inline uint64_t DigestOf(const Entry& e) {
  return Digest().Add(e.term, e.index, e.kind, e.data).value();
}
inline void AddTo(Digest* d, const std::vector<Entry>& entries) {
  d->Add(entries.size());
  for (const Entry& e : entries) d->Add(DigestOf(e));
}
inline void AddTo(Digest* d, const std::vector<Member>& members) {
  d->Add(members.size());
  for (const Member& m : members) d->Add(m.id);
}
inline void AddTo(Digest* d, const Snapshot& s) {
  d->Add(s.index, s.term, s.state);
  AddTo(d, s.voters);
}
inline void AddTo(Digest* d, const consensus::HardState& h) {
  d->Add(h.cluster, h.self, h.term, h.voted_for);
}
inline uint64_t DigestOf(const Message& m) {
  Digest d;
  d.Add(m.type, m.cluster, m.from, m.to, m.term, m.index, m.log_term, m.commit, m.round, m.granted,
        m.offset, m.total);
  AddTo(&d, m.entries);
  for (const Snapshot& s : m.snapshot) AddTo(&d, s);
  return d.value();
}
inline void AddTo(Digest* d, const WriteRequest& w) {
  d->Add(w.hard_state_changed, w.commit, w.truncate_from, w.drop_through, w.snapshot.size());
  if (w.hard_state_changed) AddTo(d, w.hard_state);
  AddTo(d, w.entries);
  for (const Snapshot& s : w.snapshot) AddTo(d, s);
}

}  // namespace elderkeel::model

namespace elderkeel::consensus {

// Access to the private state of a RaftNode, for the model checker only.
struct RaftNodeProbe {
  static const HardState& hard_state(const RaftNode& raft) { return raft.hard_state_; }
  static const Snapshot& snapshot(const RaftNode& raft) { return raft.log_.snapshot(); }
  static base::Millis election_at(const RaftNode& raft) { return raft.election_at_; }
  static base::Millis heartbeat_at(const RaftNode& raft) { return raft.heartbeat_at_; }

  // A digest of all state that the node's behaviour depends on, with these abstractions:
  // - Of times only the results of the comparisons that the code makes: whether the leader is in
  //   contact, whether a member has been silent for a certain time, whether the disk is stalled.
  // - The state of the random generator is left out, since a tick advances the clock to the next
  //   timeout, however long it is.
  // - Sequence numbers of writes are relative to the last finished write.
  // Rounds are included as they are, though only their order matters. Reads are left out, since no
  // step begins one.
  static uint64_t DigestOf(const RaftNode& raft, base::Millis now) {
    const PendingWrites& writes = raft.pending_writes_;
    model::Digest d;
    d.Add(raft.self_.id, raft.role_, raft.term(), raft.commit_index_, raft.applied_index_,
          raft.recorded_commit_, writes.durable_index(), raft.storage_failed_,
          raft.no_leader_contact_yet_, raft.leader_id_, writes.unfinished(),
          raft.IsDiskStalled(now), raft.round_, raft.last_leader_round_, raft.pre_vote_round_,
          raft.leaving_, raft.may_stop_, raft.leaving_ && now >= raft.leave_retry_at_,
          raft.partial_snapshot_.has_value());
    if (raft.partial_snapshot_) {
      model::AddTo(&d, raft.partial_snapshot_->snapshot);
      d.Add(raft.partial_snapshot_->leader_term);
    }
    model::AddTo(&d, raft.hard_state_);
    model::AddTo(&d, raft.log_.snapshot());
    model::AddTo(&d, raft.log_.entries());
    model::AddTo(&d, raft.voters_);
    d.Add(writes.durable_on_finish().size());
    for (const auto& [sequence, last] : writes.durable_on_finish())
      d.Add(sequence - writes.finished(), last);
    d.Add(writes.deferred().size());
    for (const auto& deferred : writes.deferred()) {
      d.Add(deferred.after - writes.finished(), model::DigestOf(deferred.message.message));
    }
    const consensus::Timing& timing = raft.timing_;
    base::Millis leader_contact_gap = now - raft.last_leader_contact_;
    d.Add(raft.leader_id_ != 0 && leader_contact_gap < timing.election_timeout);
    d.Add(raft.leader_id_ != 0 && leader_contact_gap > timing.election_timeout * 2);
    if (raft.role_ == Role::kPreCandidate || raft.role_ == Role::kCandidate) {
      d.Add(raft.votes_.size());
      for (MemberId id : raft.votes_) d.Add(id);
    }
    if (raft.role_ == Role::kLeader) {
      d.Add((now - raft.LastMajorityContact()) / timing.heartbeat_interval, raft.progress_.size());
      for (const auto& [id, peer] : raft.progress_) AddTo(&d, peer, timing, now);
    }
    return d.value();
  }

 private:
  static void AddTo(model::Digest* digest, const PeerProgress& peer, const Timing& timing,
                    base::Millis now) {
    base::Millis contact_gap = now - peer.last_contact;
    digest->Add(peer.member.id, peer.match_index, peer.next_index, peer.last_reply_round,
                peer.is_voter, peer.acknowledged_round, peer.rewound_round, peer.state_lost,
                peer.window.size_bytes(), peer.snapshot_offset,
                peer.snapshot ? peer.snapshot->index : 0);
    digest->Add(peer.window.in_flight().size());
    for (const auto& message : peer.window.in_flight()) digest->Add(message.round, message.bytes);
    for (base::Millis span :
         {timing.heartbeat_interval * 4, timing.election_timeout, timing.election_timeout * 2,
          timing.replace_unreachable_after, timing.replace_unreachable_after * 2,
          timing.remove_unreachable_after}) {
      digest->Add(contact_gap > span, contact_gap == span);
    }
    digest->Add(peer.leave_requested_at >= 0 &&
                peer.last_contact - peer.leave_requested_at < timing.election_timeout);
  }
};

}  // namespace elderkeel::consensus
