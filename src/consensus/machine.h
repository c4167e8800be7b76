#pragma once

#include <functional>
#include <map>
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
  base::Millis heartbeat = 120;
  base::Millis election = 600;        // one to two times this
  base::Millis first_election = 80;   // one to five times this, until a leader was heard once
  base::Millis replace_after = 2500;  // a silent voter gives way to a waiting replacement
  base::Millis forget_after = 20000;  // so long silent, a voter that is not needed is taken out
  base::Millis disk_patience = 1500;  // a leader whose disk hangs so long gives up leadership
};

// What may be lost at once, disks included, without losing what is committed.
struct Tolerance {
  size_t machines = 0;
  size_t zones = 0;
  size_t regions = 0;
};

// The replicated log as a pure state machine: time, messages and finished writes in; messages,
// writes and committed entries out. It touches no socket, disk or clock.
class Machine {
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
    std::vector<Persist> writes;
    std::vector<Entry> committed;        // in order, to be applied
    std::vector<Snapshot> installed;     // replaces all applied state; comes before `committed`
    std::vector<uint64_t> reads_ready;   // tokens given to Read()
    std::vector<uint64_t> reads_failed;  // leadership was lost first
    bool role_changed = false;
  };

  Machine(Options options, Restored restored, base::Millis now);

  void Tick(base::Millis now);
  void Receive(base::Millis now, const Message& message, const base::Address& from);
  void Persisted(base::Millis now, uint64_t sequence, bool ok);
  // The index that the entry got, if this is the leader and may append.
  std::optional<Index> Propose(base::Millis now, std::string command);
  // Confirms with a majority that this is still the leader; false if it is not one now.
  bool Read(base::Millis now, uint64_t token);
  // A controller without a vote asks to be caught up and made a voter.
  void Join(base::Millis now, const Member& member);
  // Where a member stands, as the ring tells it; founders are known by address alone at first.
  void NoteZone(const std::string& ip, const std::string& zone) { zones_[ip] = zone; }
  // Hands leadership to the best follower; for an orderly end.
  void TransferLeadership(base::Millis now);
  // Replaces the log up to `index`, which must be applied, by a snapshot of the state.
  void Compact(Index index, std::string state);
  Effects Take();

  Role role() const { return role_; }
  bool leading() const { return role_ == Role::kLeader; }
  // May answer for the whole: leads, and an entry of its own term is committed.
  bool settled() const { return leading() && TermAt(commit_) == term_; }
  Term term() const { return term_; }
  Index commit() const { return commit_; }
  Index last_index() const;
  const Member& self() const { return self_; }
  uint64_t cluster() const { return hard_.cluster; }
  const std::vector<Member>& voters() const { return voters_; }
  std::vector<Member> learners() const;
  bool IsVoter(MemberId id) const;
  std::optional<Member> leader() const;
  base::Millis leader_heard() const { return leader_heard_; }
  // For the leader: when a member last answered; for status, duty and replacement.
  base::Millis LastHeard(MemberId id) const;
  bool disk_stuck(base::Millis now) const;
  size_t log_size() const { return log_.size(); }
  Index snapshot_index() const { return snapshot_.index; }
  bool broken() const { return broken_; }
  // Whether all logs agree is what the simulation checks.
  const std::vector<Entry>& log() const { return log_; }

 private:
  friend struct MachineProbe;  // reads all state, for the model checker; new state goes there too

  struct Progress {
    Member member;
    Index match = 0;
    Index next = 1;
    base::Millis heard = 0;
    base::Millis sent = 0;
    uint64_t round = 0;
    bool voter = false;
  };
  struct PendingRead {
    uint64_t token;
    uint64_t round;
  };
  struct Held {
    uint64_t after;
    Outgoing out;
  };

  Term TermAt(Index index) const;
  const Entry* At(Index index) const;
  size_t Majority() const { return voters_.size() / 2 + 1; }
  // So few voters can still lose what is tolerated and have a majority left.
  size_t FewestVoters() const { return std::max<size_t>(3, 2 * tolerance_.machines + 1); }
  bool EnoughCopies(Index index) const;
  Index Synced(const Member& voter) const;
  void RefreshVoters();
  Index LastVotersIndex() const;

  void BecomeFollower(base::Millis now, Term term, MemberId leader);
  void StartPreVote(base::Millis now);
  void StartElection(base::Millis now);
  void BecomeLeader(base::Millis now);
  void ResetElection(base::Millis now);
  void SetHardState(Term term, MemberId voted_for);
  Persist& Write();
  void Post(const base::Address& to, Message message, bool after_writes);
  Message Make(MessageType type, MemberId to) const;

  Index Append(EntryKind kind, std::string data);
  void SendAppendEntries(base::Millis now, Progress* p);
  void Broadcast(base::Millis now);
  void AdvanceCommit(base::Millis now);
  void ApplyCommitted();
  void AdvanceReads();
  void FailReads();
  void SyncProgress();
  void ReviewVoters(base::Millis now);
  bool LiveMajorityWithout(base::Millis now, MemberId without) const;

  void HeardLeader(base::Millis now, const Message& m, const base::Address& from);
  void CommitTo(Index index);
  void OnPreVoteReply(base::Millis now, const Message& m);
  void OnTimeoutNow(base::Millis now, const Message& m);
  void OnPreVote(base::Millis now, const Message& m, const base::Address& from);
  void OnRequestVote(base::Millis now, const Message& m, const base::Address& from);
  void OnRequestVoteReply(base::Millis now, const Message& m);
  void OnAppendEntries(base::Millis now, const Message& m, const base::Address& from);
  void OnAppendEntriesReply(base::Millis now, const Message& m);
  void OnInstallSnapshot(base::Millis now, const Message& m, const base::Address& from);

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
  HardState hard_;
  Snapshot snapshot_;
  std::vector<Entry> log_;  // those after the snapshot
  std::vector<Member> founders_;
  std::vector<Member> voters_;
  Index commit_ = 0;
  Index applied_ = 0;
  Index commit_told_ = 0;  // to the store
  Index persisted_ = 0;    // of the log as it is now
  uint64_t write_sequence_ = 0;
  uint64_t written_ = 0;
  std::map<uint64_t, Index> write_last_;  // outstanding write -> last index it covers
  std::map<uint64_t, base::Millis> write_since_;
  bool broken_ = false;
  bool fresh_ = true;  // no leader was heard in this life

  MemberId leader_id_ = 0;
  base::Address leader_address_;
  base::Millis leader_heard_ = 0;
  base::Millis election_at_ = 0;
  base::Millis heartbeat_at_ = 0;
  base::Millis quorum_since_ = 0;
  base::Millis now_ = 0;
  std::set<MemberId> votes_;
  uint64_t pre_vote_round_ = 0;  // of the pre-vote under way
  uint64_t heard_round_ = 0;     // the newest heard from the leader of this term
  std::map<MemberId, Progress> progress_;
  uint64_t round_ = 0;  // of the newest message that is numbered
  std::vector<PendingRead> reads_;
  std::vector<Held> held_;
  Effects out_;
};

}  // namespace elderkeel::consensus
