#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "consensus/messages.h"
#include "consensus/peer_progress.h"
#include "consensus/pending_reads.h"
#include "consensus/pending_writes.h"
#include "consensus/quorum.h"
#include "consensus/raft_log.h"
#include "consensus/store.h"
#include "consensus/types.h"

namespace elderkeel::consensus {

enum class Role : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
const char* RoleName(Role role);

// How long a member waits for what, in milliseconds.
struct Timing {
  base::Millis heartbeat_interval = 120;
  // A follower that hears no leader for one to two times this starts an election. A leader that
  // hears no majority for two times this steps down.
  base::Millis election_timeout = 600;
  // The same, one to five times, until the first leader was heard since the process started.
  base::Millis startup_election_timeout = 80;
  // A voter that is silent for so long gives way to a learner of its zone that is caught up, or is
  // removed if it isn't needed and no more are silent than may be lost.
  base::Millis replace_silent_after = 2500;
  // So long otherwise.
  base::Millis remove_silent_after = 20000;
  // A leader whose disk finishes no write for so long gives up leadership.
  base::Millis disk_stall_timeout = 1500;
};

// One member of the replicated log, as a pure state machine: time, messages and finished writes go
// in; messages, writes and committed entries come out. It touches no socket, disk or clock.
//
// Protocol: Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
// 2014), with pre-vote and check-quorum (Ongaro's dissertation, section 9.6 and 6.2), leadership
// transfer (3.10), reads by read index (6.4), and single-server membership changes (4.1). Learners
// are caught up before they get a vote. docs/consensus.md says where it departs from the paper and
// why.
//
// Invariants, beyond those of the paper (figure 3), each checked by tests/consensus/model.h:
// - Nothing that rests on a write leaves before the write is finished: a vote, an acknowledgement,
//   a term. An entry counts for a member, the leader included, once that member has synced it.
// - An entry is committed once it is on a majority, and on as many voters, zones and regions as it
//   must be to outlive the tolerated loss (ReplicaCount).
// - Every message is harmless when it is late, doubled or reordered. Two connections may carry the
//   messages of one pair of members.
// - After a refused write a member takes no part any more, until its store is read anew.
//
// Not thread-safe; all calls come from the thread of the event loop. After each call the caller
// takes the effects and carries them out, in this order: writes, messages, installed snapshots,
// committed entries, the rest.
class RaftNode {
 public:
  struct Options {
    Member self;  // the id is used by an initial voter, or with an empty store
    uint64_t cluster = 0;
    std::vector<Member> founders;  // the initial voters; empty for a process that joins
    Timing timing;
    Tolerance tolerance;
    std::map<std::string, std::string> regions;  // of zones
    uint64_t seed = 1;
  };
  struct Effects {
    std::vector<OutgoingMessage> messages;
    std::vector<WriteRequest> writes;
    std::vector<Entry> committed;           // in order, to be applied
    std::vector<Snapshot> installed;        // replaces all applied state; comes before `committed`
    std::vector<uint64_t> confirmed_reads;  // tokens given to ConfirmRead()
    std::vector<uint64_t> failed_reads;     // leadership was lost first
    std::vector<Member> state_lost;         // members found to lack what they had acknowledged
    // This member lacks what it had acknowledged: it must come back empty, under a new id.
    bool discard_store = false;
    bool role_changed = false;

    bool empty() const {
      return messages.empty() && writes.empty() && committed.empty() && installed.empty() &&
             confirmed_reads.empty() && failed_reads.empty() && state_lost.empty() &&
             !discard_store && !role_changed;
    }
  };

  RaftNode(Options options, RestoredState restored, base::Millis now);

  // To be called several times in each heartbeat interval.
  void Tick(base::Millis now);
  void Receive(base::Millis now, const Message& message, const base::Address& from);
  // The store has finished a write; `ok`: it is on disk.
  void OnWriteFinished(base::Millis now, uint64_t sequence, bool ok);
  // Appends a command. The index that the entry got; none unless this is a leader that has
  // committed an entry in its term.
  std::optional<Index> Propose(base::Millis now, std::string command);
  // Confirms with a majority that this is still the leader; the token comes back as an effect.
  // False if it is not one now.
  bool ConfirmRead(base::Millis now, uint64_t token);
  // The same by the heartbeats that go out anyway: no message more, and one heartbeat later.
  bool ConfirmReadByHeartbeat(base::Millis now, uint64_t token);
  // For the leader: a controller without a vote asks to be caught up and made a voter.
  void AddLearner(base::Millis now, const Member& member);
  // Where a member stands, as membership tells it; initial voters are known by address alone.
  void SetZone(const std::string& ip, const std::string& zone) { zones_[ip] = zone; }
  // Hands leadership to the follower that is best caught up; for an orderly end.
  void TransferLeadership(base::Millis now);
  // From here on this member asks the leader to be let go, until may_stop().
  void Leave() { leaving_ = true; }
  // The leader has said that this member may stop: it has no vote any more, or the others need none
  // less, and what is committed is on as many of their disks as it must be.
  bool may_stop() const { return may_stop_; }
  // Whether the log is long enough, in entries or in bytes, to be replaced by a snapshot.
  bool CompactionDue() const;
  // Replaces the log up to `index`, which must be applied, by a snapshot of the state.
  void Compact(Index index, std::string state);
  Effects TakeEffects();

  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  // May answer for the whole: leads, and an entry of its own term is committed, so that it knows
  // all that was committed before.
  bool HasCommittedInTerm() const { return is_leader() && log_.TermAt(commit_index_) == term(); }
  Term term() const { return hard_state_.term; }
  Index commit() const { return commit_index_; }
  Index last_index() const { return log_.last_index(); }
  const Member& self() const { return self_; }
  uint64_t cluster() const { return hard_state_.cluster; }
  const std::vector<Member>& voters() const { return voters_; }
  std::vector<Member> learners() const;
  bool IsVoter(MemberId id) const;
  std::optional<Member> leader() const;
  // For a follower: when its leader last sent something.
  base::Millis last_leader_contact() const { return last_leader_contact_; }
  // Who leads by what was received within the election timeout: where callers may be sent. For a
  // leader itself, nobody once that long has passed since a majority answered; nobody for a process
  // that slept meanwhile.
  std::optional<Member> LeaderInContact(base::Millis now) const;
  // For the leader: when a member last answered; -1 for one that it does not know.
  base::Millis LastContact(MemberId id) const;
  bool IsDiskStalled(base::Millis now) const;
  size_t log_size() const { return log_.entries().size(); }
  size_t log_bytes() const { return log_.bytes(); }
  Index snapshot_index() const { return log_.snapshot().index; }
  bool storage_failed() const { return storage_failed_; }
  // For tests, which compare the logs of all members.
  const std::vector<Entry>& log() const { return log_.entries(); }

 private:
  friend struct RaftNodeProbe;  // reads all state, for the model checker; new state goes there too

  // A snapshot of which not all parts have arrived; in memory only.
  struct PartialSnapshot {
    Term leader_term = 0;
    Snapshot snapshot;
  };

  // raft_node.cc: the life of the node, its clock, what goes in and what comes out.
  void BeginEmpty(Options options);
  // All that happens begins here: a process that slept must not act by what it knew before.
  void AdvanceClock(base::Millis now);
  void TickLeader(base::Millis now);
  void TickFollower(base::Millis now);
  void RecordCommitIndex();
  void AdoptCluster(const Message& message);
  void AnswerStaleLeader(const Message& message, const base::Address& from);
  void Dispatch(base::Millis now, const Message& message, const base::Address& from);
  void SetHardState(Term term, MemberId voted_for);
  void WriteHardState();
  // The write that this turn's changes go into; all of a turn are one write.
  WriteRequest& CurrentWrite();
  Message MakeMessage(MessageType type, MemberId to) const;
  enum class SendWhen : uint8_t { kNow, kWritesFinished };
  void Send(const base::Address& to, Message message, SendWhen when);
  std::string ZoneOf(const Member& member) const;
  const std::string& RegionOf(const std::string& zone) const;
  size_t Majority() const { return MajorityOf(voters_.size()); }

  // election.cc
  void ResetElectionTimer(base::Millis now);
  void BecomeFollower(base::Millis now, Term term, MemberId leader);
  void StartPreVote(base::Millis now);
  void StartElection(base::Millis now);
  void BecomeLeader(base::Millis now);
  void AskForVotes(MessageType type, Term term, uint64_t round, SendWhen when);
  void OnPreVote(base::Millis now, const Message& message, const base::Address& from);
  void OnPreVoteReply(base::Millis now, const Message& message);
  void OnRequestVote(base::Millis now, const Message& message, const base::Address& from);
  void OnRequestVoteReply(base::Millis now, const Message& message);
  void OnTimeoutNow(base::Millis now, const Message& message);
  // For the leader: since when a majority has not answered, itself included.
  base::Millis LastMajorityContact() const;

  // replication.cc
  Index Append(EntryKind kind, std::string data);
  void AppendEntry(Entry entry);
  void TruncateLog(Index from);
  void Broadcast(base::Millis now);
  // A heartbeat is sent in any case, otherwise only what is new and fits into the window.
  void SendAppendEntries(base::Millis now, PeerProgress* peer, bool heartbeat);
  void SendStateLost(PeerProgress* peer);
  void RecordLeaderContact(base::Millis now, const Message& message, const base::Address& from);
  // The progress of the member that a reply is of; null if the reply does not count. `newest`:
  // whether it answers a later message than any reply before.
  PeerProgress* RecordPeerContact(base::Millis now, const Message& message, bool* newest);
  bool ContactedWithin(base::Millis now, MemberId id, base::Millis span) const;
  void OnAppendEntries(base::Millis now, const Message& message, const base::Address& from);
  void AppendFromLeader(const std::vector<Entry>& entries);
  void OnAppendEntriesReply(base::Millis now, const Message& message);
  void OnRejected(base::Millis now, const Message& message, bool newest, PeerProgress* peer);
  void Rewind(PeerProgress* peer);
  void OnStateLost();
  Index DurableIndexOf(const Member& voter) const;
  bool HasEnoughReplicas(Index index) const;
  void AdvanceCommit(base::Millis now);
  void CommitTo(Index index);
  void ApplyCommitted();

  // reads.cc
  void AdvanceReads();
  void FailReads();

  // voter_changes.cc
  void ReloadVoters() { voters_ = log_.VotersAt(log_.last_index()); }
  void TrackVoters();
  void ReviewVoters(base::Millis now);
  void ForgetSilentLearners(base::Millis now);
  bool PromoteLearner(base::Millis now);
  void RemoveVoter(base::Millis now);
  void ProposeVoters(base::Millis now, const std::vector<Member>& voters);
  std::vector<Member> VotersWithout(MemberId id) const;
  base::Millis SilenceOf(base::Millis now, const Member& voter) const;
  bool IsSilent(base::Millis now, const Member& voter) const;
  bool HasLiveMajorityWithout(base::Millis now, MemberId without) const;
  bool IsLeaving(const PeerProgress& peer) const;
  bool MayStop(base::Millis now, MemberId id) const;
  void OnLeave(base::Millis now, const Message& message, const base::Address& from);

  // snapshot_transfer.cc
  void SendSnapshot(base::Millis now, PeerProgress* peer, bool heartbeat);
  void ChooseSnapshot(base::Millis now, PeerProgress* peer);
  void OnInstallSnapshot(base::Millis now, const Message& message, const base::Address& from);
  enum class Part : uint8_t { kIgnored, kTaken, kMisplaced, kLast };
  Part TakePart(const Message& message);
  void OnInstallSnapshotReply(base::Millis now, const Message& message);
  void InstallSnapshot(Snapshot snapshot);

  // compaction.cc
  Index LastIndexNotNeeded(base::Millis now) const;
  std::optional<Index> TruncationPoint(Index index, size_t state_bytes) const;

  Member self_;
  Timing timing_;
  Tolerance tolerance_;
  std::map<std::string, std::string> regions_;  // of zones
  std::map<std::string, std::string> zones_;    // of members, by ip
  base::Random random_;
  base::Millis now_ = 0;

  // Persistent state (Raft, figure 2).
  HardState hard_state_;
  RaftLog log_;
  PendingWrites pending_writes_;
  bool storage_failed_ = false;  // a write was refused: this member takes no part any more

  // Volatile state of every member.
  Role role_ = Role::kFollower;
  std::vector<Member> voters_;  // by the newest entry that sets them, committed or not
  Index commit_index_ = 0;
  Index applied_index_ = 0;
  Index recorded_commit_ = 0;  // as it was last handed to the store
  std::optional<PartialSnapshot> incoming_;
  MemberId leader_id_ = 0;  // 0 for unknown
  base::Address leader_address_;
  base::Millis last_leader_contact_ = 0;
  uint64_t last_leader_round_ = 0;  // the newest received from the leader of this term
  bool no_leader_seen_ = true;      // since the process started
  base::Millis election_at_ = 0;
  uint64_t round_ = 0;  // of the newest message that is numbered

  // Of a candidate.
  std::set<MemberId> votes_;
  uint64_t pre_vote_round_ = 0;

  // Of a leader.
  std::map<MemberId, PeerProgress> progress_;
  PendingReads reads_;
  base::Millis heartbeat_at_ = 0;

  // Of a member that leaves.
  bool leaving_ = false;
  bool may_stop_ = false;
  base::Millis leave_retry_at_ = 0;  // when the leader is asked next, or asks another one to lead

  Effects effects_;
};

}  // namespace elderkeel::consensus
