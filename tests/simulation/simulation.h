#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "consensus/raft_node.h"
#include "controller/control_state.h"
#include "dissemination/confirm.h"
#include "dissemination/disseminator.h"
#include "membership/membership.h"
#include "rollout/canary_policy.h"
#include "rollout/coordinator.h"
#include "rollout/observer.h"
#include "singleton/assigner.h"

namespace elderkeel::simulation {

using base::Address;
using base::Millis;

// Several nodes of consensus, duty, membership and dissemination in one process, with a simulated
// network, disks and clock. Everything follows from the seed. Invariants are checked as it runs;
// the first one that breaks is kept in `fault`.
class World {
 public:
  struct Options {
    int controllers = 3;
    int spare = 0;  // more controllers, which aren't started at first
    int proxies = 4;
    int loss_percent = 2;
    int zones = 3;
    consensus::Tolerance tolerance;
    std::map<std::string, std::string> regions;  // of zones
    uint64_t seed = 1;
    bool count_bytes = false;  // of membership and dissemination, by sender
    double requests = 0;       // for the service "s", by each proxy in each step of 10 ms
    // Whether an answer of its new version is a failure, so long after the order.
    std::function<bool(base::Random&, Millis)> new_fails;
    double old_fails = 0.003;
    bool confirm = false;  // starting proxies ask the core whether what they hold is current
    // Above 0: the first change is a document of so many routes, and each later one patches a
    // route.
    int routes = 0;
    bool trace = false;  // keep a digest of all messages and effects, see trace_digest()
  };
  // What a machine of the log causes, for tests that play what rests on it.
  struct Hooks {
    std::function<void(size_t, const consensus::Entry&)> applied;
    std::function<void(size_t)> role_changed;
    std::function<void(size_t, uint64_t, bool)> read_done;
  };

  // What became of the roll-out of "s" to "v2".
  struct Traffic {
    Millis ordered_at = -1;  // acknowledged
    int64_t over_ms = 0;
    uint64_t requests = 0, exposed = 0, bad = 0;  // from then until the term
    Millis fiftieth_at = -1, last_sent_at = -1;   // bad answer; send to the new version
    Millis ended_at = -1;                         // seen as ended by a leader
    rollout::Stage stage = rollout::Stage::kCanary;
  };

  struct Node {
    Address address;
    std::string zone;
    bool controller = false;
    bool up = false;
    bool frozen = false;
    // The disk: what is synced survives a crash.
    consensus::RestoredState disk;
    std::vector<std::pair<Millis, consensus::WriteRequest>> writing;
    Millis disk_hangs_until = 0;
    Millis leave_by = 0;  // when an orderly end is cut short; 0 for none under way
    // A life.
    uint64_t boot_id = 0;
    std::unique_ptr<consensus::RaftNode> raft;
    controller::ControlState state;
    std::unique_ptr<singleton::Assigner> assignment;
    uint64_t watched_epoch = 0, sequence = 0;
    Millis poll_at = 0, claim_at = 0, join_at = 0;
    std::unique_ptr<membership::Membership> members;
    std::unique_ptr<dissemination::Disseminator> disseminator;
    int64_t adopted_revision = 0;
    uint64_t adopted_epoch = 0, adopted_sequence = 0;
    size_t bytes = 0;  // sent, of all lives
    std::unique_ptr<rollout::CanaryPolicy> policy;
    std::unique_ptr<rollout::RolloutCoordinator> coordinator;
    std::unique_ptr<rollout::Observer> observer;
    struct Flight {
      Millis ends;
      bool new_version;
      uint64_t server;
    };
    std::vector<Flight> flights;
    std::unique_ptr<dissemination::Confirmation> confirmation;  // of a proxy's life
    Millis confirmed_at = -1;
    size_t asked = 0;
    std::map<uint64_t, std::pair<Address, uint64_t>> confirms;  // a controller's, by read token
    std::map<uint64_t, Millis> vouchers;  // a leader's reads by heartbeat, and when each began
    Millis report_at = 0;
    int in_flight_old() const {
      return static_cast<int>(std::count_if(flights.begin(), flights.end(),
                                            [](const Flight& f) { return !f.new_version; }));
    }
  };

  // Who follows the controllers' machines, as a process would that runs them.
  class Follower {
   public:
    virtual ~Follower() = default;
    virtual void Started(size_t node) = 0;
    virtual void Crashed(size_t node) = 0;
    // An entry of the log was applied to the node's state.
    virtual void Applied(size_t node, consensus::Index index) = 0;
    // After all committed entries of these effects were applied.
    virtual void Pumped(size_t node, const consensus::RaftNode::Effects& effects) = 0;
    virtual void Stepped() = 0;
  };
  // Outlives all runs from here on; for it everything that is up has started.
  void Follow(Follower* follower);
  // Does what a node's machine and disseminator have decided on; after each call of them from
  // outside.
  void Pump(size_t i) { PumpNode(i); }

  explicit World(Options options);

  // --- what can happen to a node ---
  void Start(size_t i, bool first = false);
  void Crash(size_t i);
  // An orderly end: at once, or once a controller's part in the log has ended, and at a bound.
  void Leave(size_t i);
  // Like a crash, but of the writes that were never synced the disk may have kept some: those that
  // its log holds from the oldest on. A write that is torn counts as missing, and all after it.
  void LosePower(size_t i);
  void Wipe(size_t i);
  void Freeze(size_t i, bool frozen) { nodes_[i]->frozen = frozen; }
  void Cut(size_t a, size_t b, bool cut);
  // What `from` sends does not reach `to`; the other way all is well.
  void CutOneWay(size_t from, size_t to, bool cut);
  void Isolate(size_t i, bool cut);
  // As on a link that is full: no datagram to or from the node arrives, connections carry on.
  void LoseDatagrams(size_t i, bool lose);
  // As after a connection has died without a word: what `from` sends over it does not arrive.
  void LoseConnection(size_t from, size_t to, bool lose);
  void HealAll();

  // --- the operator ---
  // Sends the next change to a leader, if one is settled. Acknowledged once applied there.
  bool Change();
  // The same at one node, which may be a leader of before that does not know it yet.
  bool ChangeAt(size_t i);
  // Puts any change before the leader, as it is: the log's state judges it.
  bool Submit(const configuration::Change& change);
  // The newest change that was sent, once more; none before the first.
  std::optional<configuration::Change> last_change() const { return last_change_; }
  bool DrainZone(const std::string& zone, bool drain);
  // An order of a roll-out of "s"; acknowledged once applied at a leader.
  bool Order(int64_t over_ms);
  // The platform's list changes.
  void ChangeList() { ++list_; }

  void Run(Millis span) {
    for (Millis end = now + span; now < end && fault.empty(); now += 10) Step();
  }

  // --- what must hold in the end, once all is well again ---
  std::string Converged();

  Node& node(size_t i) { return *nodes_[i]; }
  size_t size() const { return nodes_.size(); }
  int leader() const;
  int64_t acknowledged() const { return acknowledged_; }
  bool acknowledged_drain(const std::string& zone) const;
  bool KnowsList(size_t i) const;
  uint64_t messages() const { return messages_; }
  size_t bytes_of(size_t i) const { return nodes_[i]->bytes; }
  void ForgetBytes();

  // Sends what the node has been caused to send.
  void Flush(size_t i) { Pump(i); }
  // A hash over every message sent (time, sender, receiver, encoded bytes) and every effect of the
  // nodes' state machines. 0 unless Options::trace is set.
  uint64_t trace_digest() const { return trace_digest_; }

  Hooks hooks;
  Millis now = 1000;
  std::string fault;
  Traffic traffic;
  base::Random& random() { return random_; }

 private:
  using Body = std::variant<
      consensus::Message, consensus::Member, membership::Heartbeat, membership::MembershipUpdate,
      membership::PartDigests, membership::MembershipSummary, dissemination::Digest,
      dissemination::PullRequest, dissemination::ConfigurationUpdate, dissemination::EndpointUpdate,
      dissemination::ZoneDrainUpdate, singleton::Resignation, dissemination::RolloutUpdate,
      rollout::ProxyReport, rollout::LeaseRenewal, rollout::Vote, dissemination::Confirm,
      dissemination::ConfirmReply, dissemination::SyncRequest, dissemination::SyncReply>;
  struct Packet {
    Millis at;
    uint64_t order;
    size_t from, to;
    Body body;
    bool operator<(const Packet& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  std::string RouteJson(int route);
  std::string ChangeBody(int64_t revision, bool patch);

  void Fail(const std::string& what);

  static bool ByDatagram(const Body& body);
  void Send(size_t from, const Address& to, Body body);
  void Send(size_t from, const Address& to, Body body, bool datagram);

  // Adds one event of a node to the digest.
  void Trace(size_t node, uint64_t kind, std::string_view bytes);

  void Step();

  bool Propose(Node& n, const rollout::Step& step);
  std::vector<rollout::Candidate> ObserverCandidates(const Node& n) const;

  void AskConfirmation(size_t i);

  void OnConfirm(size_t i, const Address& from, const dissemination::Confirm& confirm);

  void AnswerConfirm(size_t i, uint64_t token, bool confirmed);

  // A proxy's step: requests come, each for 40 ms at a server; it counts and tells its counts.
  void Serve(size_t i);

  void FollowRollouts(Node& n);

  void TickRollouts(size_t i);

  void FinishWrites(size_t i);

  void Store(Node* node, const consensus::WriteRequest& write);

  void Deliver(size_t i, const Address& from, const Body& body);

  std::vector<singleton::Candidate> Candidates(const Node& n);
  void Name(Node& n, const std::optional<singleton::Assignment>& named);
  void OnResignation(size_t i, const singleton::Resignation& r);

  void Vouch(Node& n);

  void TickController(size_t i);

  void PumpNode(size_t i);

  // What a node takes for known to be current must hold all that was acknowledged until then.
  void CheckFreshness(const Node& n);

  void CheckWinner(int64_t revision, uint64_t digest, const std::string& who);

  void TraceEffects(size_t i, const consensus::RaftNode::Effects& e);
  consensus::Role RoleOf(size_t i) const { return nodes_[i]->raft->role(); }

  void PumpMachine(size_t i);

  Options options_;
  Follower* follower_ = nullptr;
  base::Random random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<Address, size_t> by_address_;
  std::vector<consensus::Member> founders_;
  std::priority_queue<Packet> packets_;
  std::set<std::pair<size_t, size_t>> cuts_;
  std::set<std::pair<size_t, size_t>> one_way_cuts_;  // from, to
  std::set<size_t> datagrams_lost_;
  std::set<std::pair<size_t, size_t>> connections_lost_;  // from, to
  std::optional<configuration::Change> last_change_;
  uint64_t order_ = 0, messages_ = 0;
  uint64_t trace_digest_ = 0;
  int list_ = 0;
  int64_t next_revision_ = 0, acknowledged_ = 0;
  std::map<Millis, int64_t> acknowledged_at_;
  std::map<std::tuple<Node*, uint64_t, consensus::Index>, std::pair<int64_t, int64_t>> pending_;
  std::map<std::tuple<Node*, uint64_t, consensus::Index>, std::pair<std::string, bool>> ordered_;
  std::map<std::string, bool> drained_zones_;  // as last acknowledged
  std::map<int64_t, int64_t> built_on_;        // which acknowledged revision, of each base
  std::map<int64_t, uint64_t> winners_;
  std::map<consensus::Index, uint64_t> committed_;
  std::map<consensus::Term, consensus::MemberId> leaders_;
};

}  // namespace elderkeel::simulation
