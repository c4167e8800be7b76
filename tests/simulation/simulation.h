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

// A simulated cluster of controllers and proxies in one process: the real Raft, catalog-reader
// assignment, membership, dissemination and roll-out code on a simulated network, disks and clock.
// A run is determined by Options::seed. Invariants are checked at each step; the first violation is
// recorded in `fault` and stops Run(). Not thread-safe.
class SimulatedCluster {
 public:
  struct Options {
    int controllers = 3;
    int spare_controllers = 0;  // additional controllers that the constructor doesn't start
    int proxies = 4;
    int loss_percent = 2;
    int zones = 3;
    consensus::Tolerance tolerance;
    std::map<std::string, std::string> regions;  // region by zone
    uint64_t seed = 1;
    bool count_bytes = false;  // counts the bytes sent by each node, without those of Raft
    double requests = 0;       // mean requests for service "s" per proxy and step of 10 ms
    // Decides whether an answer of the new version of "s" is a failure; the argument is the time
    // since the roll-out was ordered, in ms.
    std::function<bool(base::Random&, Millis)> new_fails;
    double old_fails = 0.003;  // probability that an answer of the old version is a failure
    // A proxy that starts asks the controllers to confirm that the versions it holds are current.
    bool confirm = false;
    // If above 0, the first change is a document with this many routes, and each later change
    // patches one route.
    int routes = 0;
    bool trace = false;  // keeps a digest of all messages and effects, see trace_digest()
  };
  // Callbacks for tests that simulate the operator API on top of the controllers' Raft nodes. The
  // first argument is the node's index.
  struct Hooks {
    std::function<void(size_t, const consensus::Entry&)> applied;
    std::function<void(size_t)> role_changed;
    // A read with this token was confirmed (true) or failed. Not called for the reads that
    // SimulatedCluster itself requests.
    std::function<void(size_t, uint64_t, bool)> read_done;
  };

  // Counts and times of the roll-out of service "s" to version "v2"; -1 for a time that hasn't
  // come.
  struct Traffic {
    Millis ordered_at = -1;  // when the order was first applied at a leader
    int64_t time_limit_ms = 0;
    // `requests` counts all requests and `sent_to_new` those sent to the new version, from
    // ordered_at until time_limit_ms later; `failed_answers` counts the failed answers of the new
    // version.
    uint64_t requests = 0, sent_to_new = 0, failed_answers = 0;
    // Times of the fiftieth failed answer and of the last request sent to the new version.
    Millis fiftieth_failure_at = -1, last_sent_at = -1;
    Millis ended_at = -1;  // when a leader first applied the end of the roll-out
    rollout::Stage stage = rollout::Stage::kCanary;
  };

  // One simulated process and its machine: a controller or a proxy.
  struct Node {
    Address address;
    std::string zone;
    bool controller = false;
    bool up = false;
    bool frozen = false;  // the process runs no code; packets to it wait
    // The synced contents of the disk, which survive a crash.
    consensus::RestoredState disk;
    // Writes that aren't synced yet, oldest first, with the time at which each finishes.
    std::vector<std::pair<Millis, consensus::WriteRequest>> pending_writes;
    Millis disk_hangs_until = 0;
    Millis shutdown_deadline = 0;  // deadline of a shutdown in progress, 0 if there is none
    // State of one run of the process. Start() resets it, except `bytes`, `asked` and `report_at`.
    uint64_t boot_id = 0;
    std::unique_ptr<consensus::RaftNode> raft;
    controller::ControlState state;
    std::unique_ptr<singleton::Assigner> assignment;
    uint64_t reader_epoch = 0, sequence = 0;
    Millis poll_at = 0, claim_at = 0, join_at = 0;
    std::unique_ptr<membership::Membership> members;
    std::unique_ptr<dissemination::Disseminator> disseminator;
    int64_t adopted_revision = 0;
    uint64_t adopted_epoch = 0, adopted_sequence = 0;
    size_t bytes = 0;  // sent since ResetByteCounts(), also before restarts; see count_bytes
    std::unique_ptr<rollout::CanaryPolicy> policy;
    std::unique_ptr<rollout::RolloutCoordinator> coordinator;
    std::unique_ptr<rollout::Observer> observer;
    struct InFlightRequest {
      Millis ends;
      bool new_version;
      uint64_t server;
    };
    std::vector<InFlightRequest> in_flight;
    std::unique_ptr<dissemination::Confirmation> confirmation;  // used by proxies
    Millis confirmed_at = -1;  // when the proxy's versions were confirmed as current, -1 before
    size_t asked = 0;          // Confirm requests that the proxy has sent, over all restarts
    // A controller's unanswered Confirm requests by read token: sender and nonce.
    std::map<uint64_t, std::pair<Address, uint64_t>> pending_confirms;
    // A leader's unfinished reads by heartbeat, by token: when each began.
    std::map<uint64_t, Millis> heartbeat_reads;
    Millis report_at = 0;
    int old_in_flight() const {
      return static_cast<int>(
          std::count_if(in_flight.begin(), in_flight.end(),
                        [](const InFlightRequest& f) { return !f.new_version; }));
    }
  };

  // Receives the events of the controllers' Raft nodes, as the process that runs one does.
  class Listener {
   public:
    virtual ~Listener() = default;
    // A controller has started. SetListener() also reports the proxies that are up.
    virtual void OnStarted(size_t node) = 0;
    // A node is about to stop, by a crash or by a shutdown.
    virtual void OnCrashed(size_t node) = 0;
    // A command of the log was applied to the node's state.
    virtual void OnApplied(size_t node, consensus::Index index) = 0;
    // Called after all committed entries of these effects were applied.
    virtual void OnEffects(size_t node, const consensus::RaftNode::Effects& effects) = 0;
    // Called at the end of each step of 10 ms.
    virtual void OnStep() = 0;
  };
  // Sets the only listener and calls OnStarted() for each node that is up. It must outlive all
  // later runs.
  void SetListener(Listener* listener);
  // Carries out the effects that the node's components have queued. Callers from outside
  // SimulatedCluster call it after each call of a component.
  void Pump(size_t i) { PumpNode(i); }

  explicit SimulatedCluster(Options options);

  // --- faults of nodes and links ---
  // Starts a node that is down. With `first`, the first three controllers found the Raft group.
  void Start(size_t i, bool first = false);
  // Stops the process; writes that aren't synced are lost.
  void Crash(size_t i);
  // Shuts the node down in order: a proxy at once, a controller once its Raft node may stop, but
  // after 5 s at the latest.
  void Leave(size_t i);
  // Like Crash(), but the disk may have kept some of the writes that weren't synced: a prefix, from
  // the oldest on. A torn write counts as missing, and so do all after it.
  void LosePower(size_t i);
  // Like Crash(), and the disk is lost as well.
  void Wipe(size_t i);
  // Stops or resumes the process without a restart, as SIGSTOP and SIGCONT do.
  void Freeze(size_t i, bool frozen) { nodes_[i]->frozen = frozen; }
  // Drops all packets between `a` and `b`, in both directions, or no longer drops them.
  void Cut(size_t a, size_t b, bool cut);
  // Drops only the packets from `from` to `to`.
  void CutOneWay(size_t from, size_t to, bool cut);
  // Cuts the node off from all others.
  void Isolate(size_t i, bool cut);
  // Drops all datagrams to and from the node, as a saturated link does; connections still work.
  void LoseDatagrams(size_t i, bool lose);
  // Drops what `from` sends to `to` over connections, as after a connection failed without a reset.
  void LoseConnection(size_t from, size_t to, bool lose);
  // Ends all faults of links, disks and freezes, and starts every node that is down or shutting
  // down.
  void HealAll();

  // --- operator calls; each returns whether a node accepted the proposal ---
  // Proposes the next change of the configuration at a leader that has committed an entry in its
  // term. The change counts as acknowledged once that node applies it and still leads.
  bool Change();
  // The same at one node, which may be a former leader that hasn't stepped down yet.
  bool ChangeAt(size_t i);
  // Proposes `change` unmodified at the leader; it is accepted or rejected when it is applied.
  bool Submit(const configuration::Change& change);
  // The change proposed last by Change() or ChangeAt(); none before the first.
  std::optional<configuration::Change> last_change() const { return last_change_; }
  // Proposes to drain a zone, or to end its drain.
  bool DrainZone(const std::string& zone, bool drain);
  // Proposes to roll out version "v2" of service "s" over `time_limit_ms`. The order counts as
  // acknowledged once it is applied at a leader.
  bool OrderRollout(int64_t time_limit_ms);
  // Changes the platform's endpoint list; the catalog reader sees it at its next poll.
  void ChangeEndpoints() { ++list_version_; }

  // Advances the clock by `span` ms in steps of 10 ms; stops early at a fault.
  void Run(Millis span) {
    for (Millis end = now + span; now < end && fault.empty(); now += 10) Step();
  }

  // Returns why the cluster hasn't converged, or an empty string if it has: one leader, all nodes
  // up and reachable, all controllers voters, and every node with the newest acknowledged
  // configuration, zone drains and endpoint list.
  std::string Converged();

  Node& node(size_t i) { return *nodes_[i]; }
  size_t size() const { return nodes_.size(); }
  // The index of the first node that is up and leads with a committed entry in its term, or -1.
  int leader() const;
  // The newest acknowledged revision of the configuration, 0 for none.
  int64_t acknowledged() const { return acknowledged_; }
  // Whether the zone is drained by the last order, if that was acknowledged; false if not.
  bool acknowledged_drain(const std::string& zone) const;
  // Whether the node holds the platform's current endpoint list.
  bool HasCurrentEndpoints(size_t i) const;
  uint64_t messages() const { return messages_; }  // sent by all nodes
  size_t bytes_of(size_t i) const { return nodes_[i]->bytes; }
  // Sets the byte counts of all nodes to 0.
  void ResetByteCounts();

  // The same as Pump().
  void Flush(size_t i) { Pump(i); }
  // Returns a hash over every message sent (time, sender, receiver, encoded bytes) and every effect
  // of the nodes' state machines; 0 unless Options::trace is set.
  uint64_t trace_digest() const { return trace_digest_; }

  Hooks hooks;
  Millis now = 1000;
  std::string fault;  // the first violated invariant and its time; empty for none
  Traffic traffic;
  base::Random& random() { return random_; }

 private:
  using Body = std::variant<
      consensus::Message, consensus::Member, membership::Heartbeat, membership::MembershipUpdate,
      membership::PartDigests, membership::MembershipSummary, dissemination::Digest,
      dissemination::PullRequest, dissemination::ConfigurationUpdate, dissemination::EndpointUpdate,
      dissemination::ZoneDrainUpdate, singleton::Resignation, dissemination::RolloutUpdate,
      rollout::ProxyReport, rollout::LeaseRenewal, rollout::Vote, dissemination::ConfirmRequest,
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

  // Sets `fault` if it is empty.
  void Fail(const std::string& what);

  // Whether the program sends such a message as a datagram, not over a connection.
  static bool ByDatagram(const Body& body);
  // Queues a message with a random delay; drops it by the configured loss and faults.
  void Send(size_t from, const Address& to, Body body);
  void Send(size_t from, const Address& to, Body body, bool datagram);

  // Adds one event of a node to trace_digest_, if tracing is on.
  void Trace(size_t node, uint64_t kind, std::string_view bytes);

  void Step();

  bool Propose(Node& n, const rollout::Step& step);
  std::vector<rollout::Candidate> ObserverCandidates(const Node& n) const;

  // A proxy asks a controller every 100 ms to confirm its versions, until they are confirmed.
  void AskConfirmation(size_t i);

  void OnConfirm(size_t i, const Address& from, const dissemination::ConfirmRequest& confirm);

  void AnswerConfirm(size_t i, uint64_t token, bool confirmed);

  // One step of a proxy's traffic: ends the requests that are due, starts new ones of 20 to 59 ms,
  // and reports the counts to the observers of a roll-out.
  void Serve(size_t i);

  // Passes a controller's replicated roll-outs on to its components, and checks the invariants of
  // roll-outs if it leads.
  void AdoptRollouts(Node& n);

  void TickRollouts(size_t i);

  // Completes the writes of a node's disk that are due.
  void FinishWrites(size_t i);

  // Applies a write to the synced contents of the node's disk.
  void Store(Node* node, const consensus::WriteRequest& write);

  void Deliver(size_t i, const Address& from, const Body& body);

  std::vector<singleton::Candidate> Candidates(const Node& n);
  // Proposes an assignment of the catalog reader, if there is one.
  void ProposeAssignment(Node& n, const std::optional<singleton::Assignment>& assignment);
  void OnResignation(size_t i, const singleton::Resignation& r);

  // Passes the leader and the catalog reader to a controller's disseminator as the nodes that can
  // confirm its state, and renews the node's own confirmation if it is one of the two.
  void UpdateAuthorities(Node& n);

  // A controller's periodic work every 50 ms: roll-outs, the catalog-reader assignment, joining the
  // group, and polling the platform if it is the catalog reader.
  void TickController(size_t i);

  void PumpNode(size_t i);

  // Checks that a node whose log is vouched for as of some time holds every revision that was
  // acknowledged before that time.
  void CheckFreshness(const Node& n);

  // Checks that all nodes hold the same configuration under the same revision.
  void CheckConfigurationDigest(int64_t revision, uint64_t digest, const std::string& who);

  void TraceEffects(size_t i, const consensus::RaftNode::Effects& e);
  consensus::Role RoleOf(size_t i) const { return nodes_[i]->raft->role(); }

  // Carries out the effects of a controller's Raft node and checks the invariants of the log.
  void PumpRaft(size_t i);

  Options options_;
  Listener* listener_ = nullptr;
  base::Random random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<Address, size_t> by_address_;
  std::vector<consensus::Member> initial_voters_;
  std::priority_queue<Packet> packets_;
  std::set<std::pair<size_t, size_t>> cuts_;
  std::set<std::pair<size_t, size_t>> one_way_cuts_;  // from, to
  std::set<size_t> datagrams_lost_;
  std::set<std::pair<size_t, size_t>> connections_lost_;  // from, to
  std::optional<configuration::Change> last_change_;
  uint64_t last_id_ = 0;  // of packets and read tokens
  uint64_t messages_ = 0;
  uint64_t trace_digest_ = 0;
  int list_version_ = 0;                          // of the platform's endpoint list
  int64_t next_revision_ = 0, acknowledged_ = 0;  // next_revision_: the last one proposed
  std::map<Millis, int64_t> acknowledged_at_;     // newest acknowledged revision by time
  // Proposed changes by node, boot id and log index: their revision and the revision they change.
  std::map<std::tuple<Node*, uint64_t, consensus::Index>, std::pair<int64_t, int64_t>>
      pending_changes_;
  // Proposed zone drains by node, boot id and log index.
  std::map<std::tuple<Node*, uint64_t, consensus::Index>, std::pair<std::string, bool>>
      pending_drains_;
  std::map<std::string, bool> drained_zones_;          // as last acknowledged
  std::map<int64_t, int64_t> acknowledged_by_base_;    // revision by the revision that it changes
  std::map<int64_t, uint64_t> configuration_digests_;  // by revision
  std::map<consensus::Index, uint64_t> committed_digests_;  // of entries, by index
  std::map<consensus::Term, consensus::MemberId> leaders_;  // by term
};

}  // namespace elderkeel::simulation
