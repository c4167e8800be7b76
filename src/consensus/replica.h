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

// A member of the log at work: a RaftNode with its store, the store's thread, and a timer. Carries
// out the node's effects. While the store can't be opened there is no RaftNode: the member neither
// votes nor acknowledges, and tries to open it again.
//
// Lives on the event loop's thread. Callbacks are called there, and may call back.
class Replica {
 public:
  struct Options {
    Member self;  // the id is used by an initial voter only
    std::vector<Member> founders;
    uint64_t cluster = 0;
    bool bootstrap = false;  // the first start of the whole system
    std::string data_dir;    // empty: the log is held in memory
    Timing timing;
    Tolerance tolerance;
    std::map<std::string, std::string> regions;  // of zones
  };
  struct Callbacks {
    std::function<void(const base::Address&, const Message&)> send;
    std::function<void(const Entry&)> apply;  // a committed command, in order
    std::function<void()> all_applied;        // the last of those committed together was applied
    std::function<void(const Snapshot&)> install;  // replaces all applied state
    std::function<std::string()> encode_state;     // for a snapshot, of all that was applied
    std::function<void(uint64_t token, bool confirmed)> read_finished;
    std::function<void()> role_changed;
    // The state of the store changed, or the reason for it.
    std::function<void(const std::string& event, const std::string& reason)> store_changed;
  };
  enum class StoreState : uint8_t { kUnopened, kMemory, kDisk };

  Replica(base::Loop* loop, Callbacks callbacks);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Whether a store was ever begun below `data_dir`.
  static bool HasStore(const std::string& data_dir);
  // Opens the store and begins; callbacks are called from here on, not before.
  void Start(Options options);
  bool started() const { return started_; }
  // Whether the store is open, so that there is a RaftNode.
  bool running() const { return raft_ != nullptr; }
  StoreState store_state() const { return store_state_; }
  const std::string& store_error() const { return store_error_; }  // empty if it is open

  // REQUIRES, for all of these but SetZone: running().
  void Receive(const Message& message, const base::Address& from);
  std::optional<Index> Propose(std::string command);
  bool ConfirmRead(uint64_t token);
  bool ConfirmReadByHeartbeat(uint64_t token);
  void AddLearner(const Member& member);
  void TransferLeadership();
  // Gives up the vote; raft().may_stop() says when this process may end.
  void Leave() { raft_->Leave(); }
  void SetZone(const std::string& ip, const std::string& zone);
  const RaftNode& raft() const { return *raft_; }
  Member self() const { return raft_->self(); }

 private:
  void Open();
  base::Result<std::unique_ptr<Store>> OpenStore(RestoredState* restored);
  base::Result<std::unique_ptr<Store>> OpenAndLoad(const std::string& directory,
                                                   RestoredState* restored);
  RaftNode::Options RaftOptions(bool store_empty) const;
  void CloseStore(const std::string& event, const std::string& reason);
  void OnWriteFinished(uint64_t opening, uint64_t sequence, const base::Status& result);
  void Pump();
  void CarryOut(RaftNode::Effects effects);

  base::Loop* loop_;
  Options options_;
  Callbacks callbacks_;
  std::unique_ptr<StoreThread> store_thread_;
  std::unique_ptr<RaftNode> raft_;
  base::Timer tick_timer_;
  base::Timer reopen_timer_;
  std::map<std::string, std::string> zones_;  // by ip
  StoreState store_state_ = StoreState::kUnopened;
  std::string store_error_;
  bool started_ = false;
  uint64_t opening_ = 0;  // tells finished writes of an earlier opening apart
  bool pumping_ = false;
  bool discard_store_ = false;
};

const char* StoreStateName(Replica::StoreState state);

}  // namespace elderkeel::consensus
