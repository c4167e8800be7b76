#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

enum class Role : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
const char* RoleName(Role role);

struct Timing {
  base::Millis heartbeat_interval = 120;
  base::Millis election_timeout = 600;  // one to two times this
  base::Millis startup_election_timeout =
      80;  // one to five times this, until a leader was heard once
  base::Millis replace_silent_after = 2500;  // a silent voter gives way to a waiting replacement
  base::Millis remove_silent_after =
      20000;  // so long silent, a voter that is not needed is taken out
  base::Millis disk_stall_timeout = 1500;  // a leader whose disk hangs so long gives up leadership
};

// What may be lost at once, disks included, without losing what is committed.
struct Tolerance {
  size_t machines = 0;
  size_t zones = 0;
  size_t regions = 0;
};

// The replicated log as a pure state machine: time, messages and finished writes in; messages,
// writes and committed entries out. It touches no socket, disk or clock.
class RaftNode {
 public:
  struct Options {
    Member self;
    uint64_t cluster = 0;
    std::vector<Member> founders;  // the first voters; empty for a process that joins
    Timing timing;
    Tolerance tolerance;
    std::map<std::string, std::string> regions;  // of zones
    uint64_t seed = 1;
  };
  struct Outgoing {
    base::Address to;
    Message message;
  };
  struct Effects {
    std::vector<Outgoing> messages;
    std::vector<WriteRequest> writes;
    std::vector<Entry> committed;           // in order, to be applied
    std::vector<Snapshot> installed;        // replaces all applied state; comes before `committed`
    std::vector<uint64_t> confirmed_reads;  // tokens given to Read()
    std::vector<uint64_t> failed_reads;     // leadership was lost first
    std::vector<Member> state_lost;         // members found to lack what they had acknowledged
    bool discard_store = false;  // this member is one: it must come back empty, under a new id
    bool role_changed = false;
  };

  RaftNode(Options options, RestoredState restored, base::Millis now);

  void Tick(base::Millis now);
  void Receive(base::Millis now, const Message& message, const base::Address& from);
  void OnWriteFinished(base::Millis now, uint64_t sequence, bool ok);
  // The index that the entry got, if this is the leader and may append.
  std::optional<Index> Propose(base::Millis now, std::string command);
  // Confirms with a majority that this is still the leader; false if it is not one now.
  bool Read(base::Millis now, uint64_t token);
  // The same by the heartbeats that go out anyway: no message more, and one heartbeat later.
  bool ReadByHeartbeat(base::Millis now, uint64_t token);
  // A controller without a vote asks to be caught up and made a voter.
  void Join(base::Millis now, const Member& member);
  // Where a member stands, as the ring tells it; founders are known by address alone at first.
  void SetZone(const std::string& ip, const std::string& zone) { zones_[ip] = zone; }
  // Hands leadership to the best follower; for an orderly end.
  void TransferLeadership(base::Millis now);
  // From here on this member asks the leader to be taken out, until departed().
  void Leave() { leaving_ = true; }
  // The leader has said that this member may end: it has no vote any more, or the others need none
  // less, and what is committed is on as many of their disks as it must be.
  bool may_stop() const { return may_stop_; }
  // Whether the log is long enough, in entries or in bytes, to be replaced by a snapshot.
  bool CompactionDue() const;
  // Replaces the log up to `index`, which must be applied, by a snapshot of the state.
  void Compact(Index index, std::string state);
  Effects Take();

  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  // May answer for the whole: leads, and an entry of its own term is committed.
  bool HasCommittedInTerm() const { return is_leader() && TermAt(commit_) == term_; }
  Term term() const { return term_; }
  Index commit() const { return commit_; }
  Index last_index() const;
  const Member& self() const { return self_; }
  uint64_t cluster() const { return hard_state_.cluster; }
  const std::vector<Member>& voters() const { return voters_; }
  std::vector<Member> learners() const;
  bool IsVoter(MemberId id) const;
  std::optional<Member> leader() const;
  base::Millis last_leader_contact() const { return last_leader_contact_; }
  // Who leads by what was heard within the election time-out: where callers may be sent. For a
  // leader itself, nobody once that long has passed since a majority answered; nobody for a process
  // that slept meanwhile.
  std::optional<Member> LeaderInContact(base::Millis now) const;
  // For the leader: when a member last answered; for status, duty and replacement.
  base::Millis LastContact(MemberId id) const;
  bool IsDiskStalled(base::Millis now) const;
  size_t log_size() const { return log_.size(); }
  // Of the entries in memory, those kept behind the snapshot included.
  size_t log_bytes() const;
  Index snapshot_index() const { return snapshot_.index; }
  bool storage_failed() const { return storage_failed_; }
  // Whether all logs agree is what the simulation checks.
  const std::vector<Entry>& log() const { return log_; }

 private:
  // What was sent and not answered yet, counted towards the window.
  struct Flight {
    uint64_t round;
    size_t bytes;
    base::Millis at;
  };
  friend struct RaftNodeProbe;  // reads all state, for the model checker; new state goes there too

  struct Progress {
    Member member;
    Index match = 0;
    Index next = 1;
    base::Millis heard = 0;
    uint64_t round = 0;               // of its newest reply
    uint64_t acknowledged_round = 0;  // our newest when `match` last grew
    uint64_t rewound_round = 0;       // our newest when `next` last went back
    std::deque<Flight> in_flight;
    size_t window = 0;  // bytes that may be in flight
    // The snapshot that is being sent, and how much of its state was. It stays the same to its end,
    // whatever was compacted since.
    std::shared_ptr<const Snapshot> sending;
    size_t offset = 0;
    bool state_lost = false;  // lacks what it had acknowledged: counts for nothing
    bool voter = false;
    base::Millis leave_requested_at = -1;  // when it last said that it ends; -1 for never
  };
  // A snapshot of which not all parts have come; in memory only.
  struct Incoming {
    Term leader_term = 0;
    Snapshot snapshot;
  };
  struct PendingRead {
    uint64_t token;
    uint64_t round;
  };
  struct DeferredMessage {
    uint64_t after;
    Outgoing out;
  };

  Term TermAt(Index index) const;
  const Entry* At(Index index) const;
  size_t Majority() const { return voters_.size() / 2 + 1; }
  // So few voters can still lose what is tolerated and have a majority left.
  size_t MinVoters() const { return std::max<size_t>(3, 2 * tolerance_.machines + 1); }
  bool HasEnoughReplicas(Index index) const;
  Index Synced(const Member& voter) const;
  void ReloadVoters();
  Index LastVotersIndex() const;

  // All that happens begins here: a process that slept must not act by what it knew before.
  void AdvanceClock(base::Millis now);
  // For the leader: since when a majority has not answered, itself included.
  base::Millis LastMajorityContact() const;
  void BecomeFollower(base::Millis now, Term term, MemberId leader);
  void StartPreVote(base::Millis now);
  void StartElection(base::Millis now);
  void BecomeLeader(base::Millis now);
  void ResetElection(base::Millis now);
  void SetHardState(Term term, MemberId voted_for);
  WriteRequest& Write();
  void Post(const base::Address& to, Message message, bool after_writes);
  Message Make(MessageType type, MemberId to) const;

  Index Append(EntryKind kind, std::string data);
  // A heartbeat is sent in any case, otherwise only what is new and fits into the window.
  void SendAppendEntries(base::Millis now, Progress* p, bool heartbeat_interval);
  void SendSnapshot(base::Millis now, Progress* p, bool heartbeat_interval);
  Progress* RecordPeerContact(base::Millis now, const Message& m, bool* newest);
  void Rewind(Progress* p);
  void Broadcast(base::Millis now);
  void AdvanceCommit(base::Millis now);
  void ApplyCommitted();
  void AdvanceReads();
  void FailReads();
  bool ContactedWithin(base::Millis now, MemberId id, base::Millis span) const;
  void TrackVoters();
  void ReviewVoters(base::Millis now);
  bool HasLiveMajorityWithout(base::Millis now, MemberId without) const;
  bool Leaving(const Progress& p) const;
  bool MayStop(base::Millis now, MemberId id) const;
  void OnLeave(base::Millis now, const Message& m, const base::Address& from);

  void RecordLeaderContact(base::Millis now, const Message& m, const base::Address& from);
  void CommitTo(Index index);
  void OnPreVoteReply(base::Millis now, const Message& m);
  void OnTimeoutNow(base::Millis now, const Message& m);
  void OnPreVote(base::Millis now, const Message& m, const base::Address& from);
  void OnRequestVote(base::Millis now, const Message& m, const base::Address& from);
  void OnRequestVoteReply(base::Millis now, const Message& m);
  void OnAppendEntries(base::Millis now, const Message& m, const base::Address& from);
  void OnAppendEntriesReply(base::Millis now, const Message& m);
  void OnRejected(base::Millis now, const Message& m, bool newest, Progress* p);
  void OnStateLost();
  void OnInstallSnapshot(base::Millis now, const Message& m, const base::Address& from);
  void OnInstallSnapshotReply(base::Millis now, const Message& m);
  void Install(Snapshot snapshot);
  Index OldestIndexNeeded(base::Millis now) const;
  std::optional<Index> TruncationPoint(Index index, size_t state_bytes) const;

  std::string ZoneOf(const Member& member) const {
    auto at = zones_.find(member.ip);
    return at == zones_.end() ? member.zone : at->second;
  }

  Member self_;
  Timing timing_;
  Tolerance tolerance_;
  std::map<std::string, std::string> regions_;
  std::map<std::string, std::string> zones_;
  base::Random random_;
  Role role_ = Role::kFollower;
  Term term_ = 0;
  HardState hard_state_;
  Snapshot snapshot_;
  std::vector<Entry> log_;  // those after the snapshot
  std::optional<Incoming> incoming_;
  std::vector<Member> founders_;
  std::vector<Member> voters_;
  Index commit_ = 0;
  Index applied_ = 0;
  Index recorded_commit_ = 0;  // to the store
  Index durable_index_ = 0;    // of the log as it is now
  uint64_t write_sequence_ = 0;
  uint64_t finished_write_ = 0;
  std::map<uint64_t, Index> write_covers_;  // outstanding write -> last index it covers
  std::map<uint64_t, base::Millis> write_started_at_;
  bool storage_failed_ = false;
  bool no_leader_seen_ = true;  // no leader was heard in this life
  bool leaving_ = false;
  bool may_stop_ = false;
  base::Millis leave_retry_at_ = 0;  // when the leader is asked next, or asks another one to lead

  MemberId leader_id_ = 0;
  base::Address leader_address_;
  base::Millis last_leader_contact_ = 0;
  base::Millis election_at_ = 0;
  base::Millis heartbeat_at_ = 0;
  base::Millis now_ = 0;
  std::set<MemberId> votes_;
  uint64_t pre_vote_round_ = 0;     // of the pre-vote under way
  uint64_t last_leader_round_ = 0;  // the newest heard from the leader of this term
  std::map<MemberId, Progress> progress_;
  uint64_t round_ = 0;  // of the newest message that is numbered
  std::vector<PendingRead> reads_;
  std::vector<DeferredMessage> deferred_messages_;
  Effects out_;
};

}  // namespace elderkeel::consensus
