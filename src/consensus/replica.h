#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/loop.h"
#include "consensus/raft_node.h"
#include "consensus/store.h"

namespace elderkeel::consensus {

// A member of the log at work: the state machine with its store, its thread and its timer.
class Replica {
 public:
  struct Options {
    Member self;  // the id is used by a founder only
    std::vector<Member> founders;
    uint64_t cluster = 0;
    bool bootstrap = false;
    std::string data_dir;  // empty: the log is held in memory
    Timing timing;
    Tolerance tolerance;
    std::map<std::string, std::string> regions;  // of zones
  };
  struct Hooks {
    std::function<void(const base::Address&, const Message&)> send;
    std::function<void(const Entry&)> apply;
    std::function<void()> caught_up;  // the last of the entries committed together was applied
    std::function<void(const Snapshot&)> install;
    std::function<std::string()> snapshot_state;
    std::function<void(uint64_t token, bool confirmed)> read_done;
    std::function<void()> role_changed;
    // The state of the store changed, or why it is so.
    std::function<void(const std::string& event, const std::string& reason)> store_changed;
  };
  // Of the store. A member whose store is not open has no part in the log: it neither votes nor
  // acknowledges, and opens the store again every now and then.
  enum class StoreState { kUnopened, kMemory, kDisk };

  Replica(base::Loop* loop, Hooks hooks);
  void SetOptions(Options options) { options_ = std::move(options); }

  // Whether a store was ever begun there.
  static bool HasStore(const std::string& data_dir);
  // Opens the store and begins; hooks are called from here on, not before. With a data folder there
  // is no machine until a store in it was opened.
  void Start();
  bool begun() const { return begun_; }
  StoreState store_state() const { return store_state_; }
  const std::string& store_reason() const { return store_reason_; }  // empty if it is open

  void Receive(const Message& message, const base::Address& from);
  std::optional<Index> Propose(std::string command);
  bool Read(uint64_t token);
  bool ReadByHeartbeat(uint64_t token);
  void Join(const Member& member);
  void TransferLeadership();
  // Gives up the vote; machine().departed() tells when this process may end.
  void Leave() { machine_->Leave(); }
  void SetZone(const std::string& ip, const std::string& zone);
  bool started() const { return machine_ != nullptr; }
  const RaftNode& machine() const { return *machine_; }
  Member self() const { return machine_->self(); }

 private:
  void Open();
  base::Result<std::unique_ptr<Store>> OpenStore(RestoredState* restored);
  void CloseStore(const std::string& event, const std::string& reason);
  void Pump();

  base::Loop* loop_;
  Options options_;
  Hooks hooks_;
  std::unique_ptr<StoreThread> thread_;
  std::unique_ptr<RaftNode> machine_;
  base::Timer tick_;
  base::Timer reopen_;
  std::map<std::string, std::string> zones_;  // by ip
  StoreState store_state_ = StoreState::kUnopened;
  std::string store_reason_;
  bool begun_ = false;
  uint64_t opening_ = 0;  // tells finished writes of an earlier opening apart
  bool pumping_ = false;
  bool discard_store_ = false;
};

const char* StoreStateName(Replica::StoreState state);

}  // namespace elderkeel::consensus
