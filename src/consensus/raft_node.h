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

// The role of a member in its current term. A pre-candidate asks for pre-votes and has not raised
// its term yet.
enum class Role : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };
// The name of a role in lower case, for logs and status pages.
const char* RoleName(Role role);

// The intervals and timeouts of a member, in milliseconds.
struct Timing {
  base::Millis heartbeat_interval = 120;
  // A follower that receives nothing from a leader for one to two times this (at random) starts an
  // election. A leader that receives no replies from a majority for two times this steps down.
  base::Millis election_timeout = 600;
  // Used instead, one to five times, until the process has had contact with a leader since its
  // start.
  base::Millis startup_election_timeout = 80;
  // A voter that is unreachable for longer is replaced by a caught-up learner of its zone. Without
  // such a learner it is removed, if there are more voters than MinVoters() and no more of them are
  // unreachable than may be lost at once.
  base::Millis replace_unreachable_after = 2500;
  // The time until removal if more voters are unreachable than may be lost at once.
  base::Millis remove_unreachable_after = 20000;
  // A leader with a write that is unfinished for longer steps down.
  base::Millis disk_stall_timeout = 1500;
};

// One member of the replicated log, as a pure state machine: time, messages and finished writes are
// its input; messages, writes and committed entries are its output. It uses no socket, disk or
// clock. Replica runs it on the event loop; tests run it on a simulated network.
//
// Protocol: Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
// 2014), with pre-vote and check-quorum (Ongaro's dissertation, sections 9.6 and 6.2), leadership
// transfer (3.10), reads by read index (6.4), and single-server membership changes (4.1). Learners
// are caught up before they become voters. docs/consensus.md describes the differences from the
// paper and the reasons for them.
//
// Invariants, beyond those of the paper (figure 3), each checked by tests/consensus/model.h:
// - A message that depends on a write (a vote, an acknowledgement, a term) is not sent before the
//   write is finished. An entry counts as replicated on a member, the leader included, once that
//   member has synced it.
// - An entry is committed once it is on a majority, and on enough voters, zones and regions to
//   survive the tolerated loss (ReplicaCount).
// - Every message is harmless when it is late, duplicated or reordered. The messages between two
//   members may travel over two connections.
// - After a failed write a member no longer takes part, until its store is loaded again.
//
// Not thread-safe; all calls come from the thread of the event loop. After each call the caller
// takes the effects and applies them in this order: writes, messages, installed snapshots,
// committed entries, the rest.
class RaftNode {
 public:
  struct Options {
    Member self;  // the id is used only with an empty store
    uint64_t cluster = 0;
    std::vector<Member> initial_voters;  // empty for a member that joins later
    Timing timing;
    Tolerance tolerance;
    std::map<std::string, std::string> regions;  // zone -> region
    uint64_t seed = 1;
  };
  // What the caller must carry out after a call.
  struct Effects {
    std::vector<OutgoingMessage> messages;
    std::vector<WriteRequest> writes;
    std::vector<Entry> committed;           // to be applied, in order
    std::vector<Snapshot> installed;        // replaces all applied state; comes before `committed`
    std::vector<uint64_t> confirmed_reads;  // tokens passed to ConfirmRead()
    std::vector<uint64_t> failed_reads;     // tokens of reads that ended with the leadership
    std::vector<Member> state_lost;         // members that lack entries which they acknowledged
    // This member lacks entries that it had acknowledged: it must restart with an empty store and a
    // new id.
    bool discard_store = false;
    bool role_changed = false;  // the role, the leader or HasCommittedInTerm() changed

    bool empty() const {
      return messages.empty() && writes.empty() && committed.empty() && installed.empty() &&
             confirmed_reads.empty() && failed_reads.empty() && state_lost.empty() &&
             !discard_store && !role_changed;
    }
  };

  // Starts as a follower from what the store holds, or from `options` if the store is empty.
  RaftNode(Options options, RestoredState restored, base::Millis now);

  // Handles timeouts and heartbeats; to be called several times per heartbeat interval.
  void Tick(base::Millis now);
  // Handles a message; replies go to `from`.
  void Receive(base::Millis now, const Message& message, const base::Address& from);
  // The store has finished write `sequence` and all before it. `ok`: they are on disk; otherwise
  // this member stops taking part.
  void OnWriteFinished(base::Millis now, uint64_t sequence, bool ok);
  // Appends a command and returns the index of its entry; nullopt unless this is a leader that has
  // committed an entry in its term and whose store works.
  std::optional<Index> Propose(base::Millis now, std::string command);
  // Confirms with a majority that this member is still the leader. Returns false if it can't serve
  // reads now; otherwise the token is returned in confirmed_reads or failed_reads.
  bool ConfirmRead(base::Millis now, uint64_t token);
  // The same with the regular heartbeats: sends no extra message, but takes up to one heartbeat
  // interval longer.
  bool ConfirmReadByHeartbeat(base::Millis now, uint64_t token);
  // On the leader: starts to replicate to a controller that asked to join, in order to make it a
  // voter. No effect if this member isn't the leader, or `member` is a voter already.
  void AddLearner(base::Millis now, const Member& member);
  // Sets the zone of the members at an address, as published by membership. It overrides
  // Member::zone, which initial voters lack.
  void SetZone(const std::string& ip, const std::string& zone) { zones_[ip] = zone; }
  // On the leader: asks the most caught-up voter in contact to start an election at once, for an
  // orderly shutdown or when the disk stalls. The request may be lost. No effect without such a
  // voter.
  void TransferLeadership(base::Millis now);
  // From now on this member asks the leader to be released, until may_stop(); a leader transfers
  // its leadership first.
  void Leave() { leaving_ = true; }
  // Whether a member that leaves may stop. The leader has granted it: the member is no longer a
  // voter, or stays one because the group can't remove it, and committed entries are on enough
  // other disks. A leader without contact to any other member may stop as well.
  bool may_stop() const { return may_stop_; }
  // Whether the log is long enough, in entries or in bytes, to be replaced by a snapshot, and
  // members that are being caught up don't need all of it.
  bool CompactionDue() const;
  // Replaces the log up to `index` by a snapshot with the state after that entry. No effect if the
  // entry is not applied yet, the current snapshot covers it, or members that are being caught up
  // need the whole log.
  void Compact(Index index, std::string state);
  // Returns and clears the effects since the last call.
  Effects TakeEffects();

  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  // Whether this member may serve reads and accept commands: it is the leader and has committed an
  // entry of its term, so that its commit index covers all that was committed in earlier terms.
  bool HasCommittedInTerm() const { return is_leader() && log_.TermAt(commit_index_) == term(); }
  Term term() const { return hard_state_.term; }
  Index commit() const { return commit_index_; }
  Index last_index() const { return log_.last_index(); }
  const Member& self() const { return self_; }
  uint64_t cluster() const { return hard_state_.cluster; }
  // The voters that the newest kVoters entry sets, committed or not.
  const std::vector<Member>& voters() const { return voters_; }
  // For the leader: the members without a vote that it replicates to.
  std::vector<Member> learners() const;
  bool IsVoter(MemberId id) const;
  // The leader of the current term as far as this member has received from one, also if it is out
  // of contact now; nullopt if unknown.
  std::optional<Member> leader() const;
  // For a follower: when it last received a message from its leader.
  base::Millis last_leader_contact() const { return last_leader_contact_; }
  // The leader to which callers may be redirected: the one in contact within the election timeout.
  // Nullopt for a leader that had no replies from a majority for that long, and for a process that
  // was suspended for that long.
  std::optional<Member> LeaderInContact(base::Millis now) const;
  // For the leader: when a member last replied; -1 for an unknown member.
  base::Millis LastContact(MemberId id) const;
  // Whether a write has failed, or is unfinished for longer than disk_stall_timeout.
  bool IsDiskStalled(base::Millis now) const;
  // The number of entries in memory, and the sum of their data's sizes.
  size_t log_size() const { return log_.entries().size(); }
  size_t log_bytes() const { return log_.bytes(); }
  Index snapshot_index() const { return log_.snapshot().index; }
  // Whether a write has failed or state was lost; this member then takes no part any more.
  bool storage_failed() const { return storage_failed_; }
  // For tests, which compare the logs of all members.
  const std::vector<Entry>& log() const { return log_.entries(); }

 private:
  // Reads all state for the model checker. New state must be added there too, otherwise the checker
  // takes two different states for the same.
  friend struct RaftNodeProbe;

  // A snapshot of which some chunks are still missing; kept in memory only.
  struct PartialSnapshot {
    Term leader_term = 0;
    Snapshot snapshot;
  };

  // raft_node.cc: start, clock, input and output.
  void InitializeEmpty(Options options);
  // Called first for ticks, messages, finished writes and requests. Makes this member a follower if
  // the process was suspended for longer than its timeout, so that it doesn't act on outdated
  // state.
  void AdvanceClock(base::Millis now);
  void TickLeader(base::Millis now);
  void TickFollower(base::Millis now);
  void RecordCommitIndex();
  void AdoptCluster(const Message& message);
  void ReplyToStaleLeader(const Message& message, const base::Address& from);
  void Dispatch(base::Millis now, const Message& message, const base::Address& from);
  void SetHardState(Term term, MemberId voted_for);
  void WriteHardState();
  // The write that collects all changes until the next TakeEffects().
  WriteRequest& CurrentWrite();
  Message MakeMessage(MessageType type, MemberId to) const;
  // kWritesFinished defers a message until all writes started so far are finished.
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
  void RequestVotes(MessageType type, Term term, uint64_t round, SendWhen when);
  void OnPreVote(base::Millis now, const Message& message, const base::Address& from);
  void OnPreVoteReply(base::Millis now, const Message& message);
  void OnRequestVote(base::Millis now, const Message& message, const base::Address& from);
  void OnRequestVoteReply(base::Millis now, const Message& message);
  void OnTimeoutNow(base::Millis now, const Message& message);
  // For the leader: the latest time at or after which a majority, itself included, was in contact.
  base::Millis LastMajorityContact() const;

  // replication.cc
  Index Append(EntryKind kind, std::string data);
  void AppendEntry(Entry entry);
  void TruncateLog(Index from);
  void Broadcast(base::Millis now);
  // Sends new entries as far as the window allows, or chunks of a snapshot if the peer needs
  // entries that are compacted away. A heartbeat is sent even if it carries nothing.
  void SendAppendEntries(base::Millis now, PeerProgress* peer, bool heartbeat);
  void SendStateLost(PeerProgress* peer);
  void RecordLeaderContact(base::Millis now, const Message& message, const base::Address& from);
  // Records a reply and returns the progress of its sender; null if this is not the leader, or the
  // sender is unknown or has lost state. `newest`: whether the reply answers a later message than
  // all replies before.
  PeerProgress* RecordPeerContact(base::Millis now, const Message& message, bool* newest);
  bool ContactedWithin(base::Millis now, MemberId id, base::Millis span) const;
  void OnAppendEntries(base::Millis now, const Message& message, const base::Address& from);
  void AppendFromLeader(const std::vector<Entry>& entries);
  void OnAppendEntriesReply(base::Millis now, const Message& message);
  void OnRejected(base::Millis now, const Message& message, bool newest, PeerProgress* peer);
  void RecordRewind(PeerProgress* peer);
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
  void DropUnreachableLearners(base::Millis now);
  bool PromoteLearner(base::Millis now);
  void RemoveVoter(base::Millis now);
  void ProposeVoters(base::Millis now, const std::vector<Member>& voters);
  std::vector<Member> VotersWithout(MemberId id) const;
  // The time since a voter's last contact. REQUIRES: this is the leader, and the voter is another
  // member.
  base::Millis TimeSinceContact(base::Millis now, const Member& voter) const;
  bool IsUnreachable(base::Millis now, const Member& voter) const;
  // Whether a majority of the voters besides `without` is in contact with this leader, which
  // counts itself.
  bool HasLiveMajorityWithout(base::Millis now, MemberId without) const;
  bool IsLeaving(const PeerProgress& peer) const;
  bool MayStop(base::Millis now, MemberId id) const;
  void OnLeave(base::Millis now, const Message& message, const base::Address& from);

  // snapshot_transfer.cc
  void SendSnapshot(base::Millis now, PeerProgress* peer, bool heartbeat);
  void SelectSnapshot(base::Millis now, PeerProgress* peer);
  void OnInstallSnapshot(base::Millis now, const Message& message, const base::Address& from);
  // kGap: bytes before the chunk are missing. kComplete: the snapshot has all its bytes now.
  enum class ChunkResult : uint8_t { kIgnored, kAccepted, kGap, kComplete };
  ChunkResult AddChunk(const Message& message);
  void OnInstallSnapshotReply(base::Millis now, const Message& message);
  void InstallSnapshot(Snapshot snapshot);

  // compaction.cc
  Index LastUnneededIndex(base::Millis now) const;
  std::optional<Index> TruncationPoint(Index index, size_t state_bytes) const;

  Member self_;
  Timing timing_;
  Tolerance tolerance_;
  std::map<std::string, std::string> regions_;  // zone -> region
  std::map<std::string, std::string> zones_;    // ip of a member -> zone
  base::Random random_;
  base::Millis now_ = 0;

  // Persistent state (Raft, figure 2).
  HardState hard_state_;
  RaftLog log_;
  PendingWrites pending_writes_;
  bool storage_failed_ = false;  // a write failed or state was lost; see storage_failed()

  // Volatile state of every member.
  Role role_ = Role::kFollower;
  std::vector<Member> voters_;  // as set by the newest kVoters entry, committed or not
  Index commit_index_ = 0;
  Index applied_index_ = 0;
  Index recorded_commit_ = 0;  // the commit index that was last passed to the store
  std::optional<PartialSnapshot> partial_snapshot_;
  MemberId leader_id_ = 0;  // 0: unknown
  base::Address leader_address_;
  base::Millis last_leader_contact_ = 0;
  uint64_t last_leader_round_ = 0;     // the newest received from the leader of this term
  bool no_leader_contact_yet_ = true;  // since the process started
  base::Millis election_at_ = 0;
  uint64_t round_ = 0;  // the round of the newest message that this member has numbered

  // Volatile state of a pre-candidate or candidate.
  std::set<MemberId> votes_;
  uint64_t pre_vote_round_ = 0;

  // Volatile state of a leader.
  std::map<MemberId, PeerProgress> progress_;
  PendingReads reads_;
  base::Millis heartbeat_at_ = 0;

  // State of a member that leaves.
  bool leaving_ = false;
  bool may_stop_ = false;
  // When a follower sends the next kLeave, or a leader the next kTimeoutNow.
  base::Millis leave_retry_at_ = 0;

  Effects effects_;
};

}  // namespace elderkeel::consensus
