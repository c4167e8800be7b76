#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/loop.h"
#include "consensus/raft_node.h"
#include "consensus/store.h"
#include "consensus/store_thread.h"

namespace elderkeel::consensus {

// Runs one member of the replicated log: a RaftNode with its store, the store's thread and a timer.
// Executes the node's effects. The controller creates it, starts it once and passes received
// messages to it.
//
// Until the store could be opened there is no RaftNode: the member neither votes nor acknowledges,
// and retries the opening. After a failed write the RaftNode takes no part in the log, until the
// store was opened again and a new RaftNode replaces it.
//
// Callbacks are called on the event loop's thread, and may call methods of the Replica.
class Replica {
 public:
  struct Options {
    Member self;  // the id is used by an initial voter only
    std::vector<Member> initial_voters;
    uint64_t cluster = 0;    // the cluster's id, which every message carries
    bool bootstrap = false;  // this is the first start of the system
    std::string data_dir;    // empty: the log is kept in memory only
    Timing timing;
    Tolerance tolerance;
    std::map<std::string, std::string> regions;  // zone -> region
  };
  struct Callbacks {
    std::function<void(const base::Address&, const Message&)> send;
    std::function<void(const Entry&)> apply;       // a committed command, in order
    std::function<void()> all_applied;             // the entry at the commit index was applied
    std::function<void(const Snapshot&)> install;  // replaces the applied state by the snapshot's
    std::function<std::string()> encode_state;     // the applied state, encoded for a snapshot
    // A read begun by ConfirmRead() or ConfirmReadByHeartbeat() ended; `confirmed` is false if
    // leadership was lost first.
    std::function<void(uint64_t token, bool confirmed)> read_finished;
    std::function<void()> role_changed;
    // The store was opened after an error, failed or was found corrupt, or the reason why it isn't
    // open changed. `event` is the event's name as logged, for example "store.unopened".
    std::function<void(const std::string& event, const std::string& reason)> store_changed;
  };
  enum class StoreState : uint8_t { kUnopened, kMemory, kDisk };

  Replica(base::Loop* loop, Callbacks callbacks);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Whether a store was ever created below `data_dir`.
  static bool HasStore(const std::string& data_dir);
  // Opens the store and starts the member. No callback is called before this. Call it once.
  void Start(Options options);
  bool started() const { return started_; }
  // Whether the store was opened since the start, so that there is a RaftNode.
  bool running() const { return raft_ != nullptr; }
  StoreState store_state() const { return store_state_; }
  // Why the store isn't open; empty if it is.
  const std::string& store_error() const { return store_error_; }

  // REQUIRES, for all of these but SetZone: running(). The RaftNode's methods of the same names
  // describe what they do and return.
  void Receive(const Message& message, const base::Address& from);
  std::optional<Index> Propose(std::string command);
  bool ConfirmRead(uint64_t token);
  bool ConfirmReadByHeartbeat(uint64_t token);
  void AddLearner(const Member& member);
  void TransferLeadership();
  // Asks the leader to remove this member's vote. The process may stop once raft().may_stop() is
  // true.
  void Leave() { raft_->Leave(); }
  // Records the zone of the member at `ip`. May be called at any time.
  void SetZone(const std::string& ip, const std::string& zone);
  const RaftNode& raft() const { return *raft_; }
  Member self() const { return raft_->self(); }

 private:
  // Opens the store and replaces the RaftNode and the StoreThread; on an error schedules a retry.
  void Open();
  // Opens a writable store and loads its content into `restored`. Quarantines a store that is
  // corrupt or to be discarded, and opens an empty one in its place.
  base::Result<std::unique_ptr<Store>> OpenStore(RestoredState* restored);
  base::Result<std::unique_ptr<Store>> OpenAndLoad(const std::string& directory,
                                                   RestoredState* restored);
  RaftNode::Options RaftOptions(bool store_empty) const;
  // Ends the StoreThread, reports `reason` and schedules a retry of the opening.
  void CloseStore(const std::string& event, const std::string& reason);
  void OnWriteFinished(uint64_t store_generation, uint64_t sequence, const base::Status& result);
  // Takes and executes effects of the RaftNode until there are none.
  void ProcessEffects();
  void ExecuteEffects(RaftNode::Effects effects);

  base::Loop* loop_;
  Options options_;
  Callbacks callbacks_;
  std::unique_ptr<StoreThread> store_thread_;
  std::unique_ptr<RaftNode> raft_;
  base::Timer tick_timer_;
  base::Timer reopen_timer_;
  std::map<std::string, std::string> zones_;  // ip -> zone; given to each new RaftNode
  StoreState store_state_ = StoreState::kUnopened;
  std::string store_error_;
  bool started_ = false;
  // Changes whenever the store is opened or closed, so that writes that finish for an earlier
  // opening are ignored.
  uint64_t store_generation_ = 0;
  bool processing_effects_ = false;
  bool discard_store_ = false;  // the next opening quarantines the store and begins empty
};

// The name of the state in the status document.
const char* StoreStateName(Replica::StoreState state);

}  // namespace elderkeel::consensus
