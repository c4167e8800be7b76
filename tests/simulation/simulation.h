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
  void Follow(Follower* follower) {
    follower_ = follower;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i]->up) follower_->Started(i);
    }
  }
  // Does what a node's machine and disseminator have decided on; after each call of them from
  // outside.
  void Pump(size_t i) { PumpNode(i); }

  explicit World(Options options) : options_(options), random_(options.seed) {
    options_.controllers += options.spare;
    for (int i = 0; i < options_.controllers + options.proxies; ++i) {
      auto node = std::make_unique<Node>();
      node->controller = i < options_.controllers;
      node->zone = std::string(1, static_cast<char>('a' + i % options.zones));
      node->address = {"10.0.0." + std::to_string(i + 1), 7200};
      by_address_[node->address] = nodes_.size();
      nodes_.push_back(std::move(node));
    }
    for (int i = 0; i < std::min(3, options.controllers); ++i) {
      consensus::Member m;
      m.id = 100 + static_cast<uint64_t>(i);
      m.ip = nodes_[i]->address.ip;
      m.port = 7200;
      founders_.push_back(m);
    }
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      if (i < options.controllers || i >= options_.controllers) Start(static_cast<size_t>(i), true);
    }
  }

  // --- what can happen to a node ---
  void Start(size_t i, bool first = false) {
    Node& n = *nodes_[i];
    if (n.up) return;
    n.up = true;
    n.frozen = false;
    n.leave_by = 0;
    n.boot_id = random_.Next() | 1;
    n.adopted_revision = 0;
    n.adopted_epoch = n.adopted_sequence = 0;
    membership::Membership::Options member;
    member.self.ip = n.address.ip;
    member.self.port = n.address.port;
    member.self.id = base::Hash(n.address.ToString());
    member.self.zone = n.zone;
    member.self.boot_id = n.boot_id;
    member.self.durable = n.controller;
    member.self.program =
        n.controller ? membership::Program::kController : membership::Program::kProxy;
    member.seed = random_.Next();
    member.regions = options_.regions;
    std::vector<Address> seeds;
    for (int k = 0; k < std::min(3, options_.controllers); ++k) {
      if (nodes_[k].get() != &n) seeds.push_back(nodes_[k]->address);
    }
    n.members = std::make_unique<membership::Membership>(member, seeds, now);
    dissemination::Disseminator::Options gossip;
    gossip.seed = random_.Next();
    gossip.max_age = n.controller ? 500 : 900;
    gossip.seeds = seeds;
    n.disseminator = std::make_unique<dissemination::Disseminator>(gossip, n.members.get(), now);
    n.flights.clear();
    n.confirmation = std::make_unique<dissemination::Confirmation>(n.boot_id);
    n.confirmed_at = -1;
    n.confirms.clear();
    n.vouchers.clear();
    n.policy = std::make_unique<rollout::CanaryPolicy>(rollout::CanaryPolicy::Options{});
    n.coordinator =
        std::make_unique<rollout::RolloutCoordinator>(rollout::RolloutCoordinator::Options());
    rollout::Observer::Options watch;
    watch.self = member.self.id;
    watch.boot_id = n.boot_id;
    n.observer = std::make_unique<rollout::Observer>(watch);
    if (!n.controller) return;
    n.state = controller::ControlState();
    n.assignment = std::make_unique<singleton::Assigner>(1000);
    n.watched_epoch = n.sequence = 0;
    n.poll_at = n.claim_at = n.join_at = 0;
    consensus::RaftNode::Options raft;
    raft.self.ip = n.address.ip;
    raft.self.port = n.address.port;
    raft.self.zone = n.zone;
    raft.seed = random_.Next();
    raft.tolerance = options_.tolerance;
    raft.regions = options_.regions;
    if (first && i < founders_.size()) {
      raft.self.id = founders_[i].id;
      raft.founders = founders_;
      raft.cluster = 77;
    } else {
      raft.self.id = random_.Next() | 1;
    }
    n.raft = std::make_unique<consensus::RaftNode>(raft, n.disk, now);
    for (auto& other : nodes_) n.raft->SetZone(other->address.ip, other->zone);
    if (follower_) follower_->Started(i);
  }
  void Crash(size_t i) {
    Node& n = *nodes_[i];
    if (n.up && follower_) follower_->Crashed(i);
    n.up = false;
    n.writing.clear();  // what was not synced is gone
    n.raft.reset();
    n.disseminator.reset();
    n.members.reset();
  }
  // An orderly end: at once, or once a controller's part in the log has ended, and at a bound.
  void Leave(size_t i) {
    Node& n = *nodes_[i];
    if (!n.up || n.frozen || n.leave_by) return;
    n.members->Leave(now);
    if (n.raft) {
      n.raft->Leave();
      n.raft->TransferLeadership(now);
      n.leave_by = now + 5000;
    }
    Pump(i);
    if (!n.raft) Crash(i);
  }
  // Like a crash, but of the writes that were never synced the disk may have kept some: those that
  // its log holds from the oldest on. A write that is torn counts as missing, and all after it.
  void LosePower(size_t i) {
    Node& n = *nodes_[i];
    size_t kept = random_.Below(3) == 0 ? 0 : random_.Below(n.writing.size() + 1);
    for (size_t k = 0; k < kept; ++k) Store(&n, n.writing[k].second);
    Crash(i);
  }
  void Wipe(size_t i) {
    Crash(i);
    nodes_[i]->disk = consensus::RestoredState();
  }
  void Freeze(size_t i, bool frozen) { nodes_[i]->frozen = frozen; }
  void Cut(size_t a, size_t b, bool cut) {
    if (cut) {
      cuts_.insert({std::min(a, b), std::max(a, b)});
    } else {
      cuts_.erase({std::min(a, b), std::max(a, b)});
    }
  }
  // What `from` sends does not reach `to`; the other way all is well.
  void CutOneWay(size_t from, size_t to, bool cut) {
    if (cut) {
      one_way_cuts_.insert({from, to});
    } else {
      one_way_cuts_.erase({from, to});
    }
  }
  void Isolate(size_t i, bool cut) {
    for (size_t k = 0; k < nodes_.size(); ++k) {
      if (k != i) Cut(i, k, cut);
    }
  }
  // As on a link that is full: no datagram to or from the node arrives, connections carry on.
  void LoseDatagrams(size_t i, bool lose) {
    if (lose) {
      datagrams_lost_.insert(i);
    } else {
      datagrams_lost_.erase(i);
    }
  }
  // As after a connection has died without a word: what `from` sends over it does not arrive.
  void LoseConnection(size_t from, size_t to, bool lose) {
    if (lose) {
      connections_lost_.insert({from, to});
    } else {
      connections_lost_.erase({from, to});
    }
  }
  void HealAll() {
    cuts_.clear();
    one_way_cuts_.clear();
    datagrams_lost_.clear();
    connections_lost_.clear();
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Freeze(i, false);
      nodes_[i]->disk_hangs_until = 0;
      if (nodes_[i]->leave_by) Crash(i);  // starts again at once instead of later
      Start(i);
    }
  }

  // --- the operator ---
  // Sends the next change to a leader, if one is settled. Acknowledged once applied there.
  bool Change() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i]->raft && nodes_[i]->raft->HasCommittedInTerm() && ChangeAt(i)) return true;
    }
    return false;
  }
  // The same at one node, which may be a leader of before that does not know it yet.
  bool ChangeAt(size_t i) {
    Node* n = nodes_[i].get();
    if (!n->up || n->frozen || !n->raft || !n->raft->HasCommittedInTerm()) return false;
    int64_t current = n->state.configuration.revision();
    int64_t revision =
        std::max(current, next_revision_) + 1 + static_cast<int64_t>(random_.Below(3));
    next_revision_ = revision;
    configuration::Change change;
    change.if_match = current;
    change.patch = options_.routes > 0 && current > 0;
    change.body = ChangeBody(revision, change.patch);
    last_change_ = change;
    auto index = n->raft->Propose(
        now, controller::MakeCommand(controller::Command::Kind::kConfiguration, change));
    if (index) pending_[{n, n->boot_id, *index}] = {revision, current};
    return index.has_value();
  }
  // Puts any change before the leader, as it is: the log's state judges it.
  bool Submit(const configuration::Change& change) {
    for (auto& n : nodes_) {
      if (!n->up || n->frozen || !n->raft || !n->raft->HasCommittedInTerm()) continue;
      return n->raft
          ->Propose(now, controller::MakeCommand(controller::Command::Kind::kConfiguration, change))
          .has_value();
    }
    return false;
  }
  // The newest change that was sent, once more; none before the first.
  std::optional<configuration::Change> last_change() const { return last_change_; }
  bool DrainZone(const std::string& zone, bool drain) {
    for (auto& n : nodes_) {
      if (!n->up || n->frozen || !n->raft || !n->raft->HasCommittedInTerm()) continue;
      auto index =
          n->raft->Propose(now, controller::MakeCommand(controller::Command::Kind::kZoneDrain,
                                                        zone_drain::DrainOrder{zone, drain}));
      if (index) ordered_[{n.get(), n->boot_id, *index}] = {zone, drain};
      drained_zones_.erase(zone);  // until this is acknowledged, either may be in force
      return index.has_value();
    }
    return false;
  }
  // An order of a roll-out of "s"; acknowledged once applied at a leader.
  bool Order(int64_t over_ms) {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Node& n = *nodes_[i];
      if (!n.up || n.frozen || !n.raft || !n.raft->HasCommittedInTerm()) continue;
      rollout::Step step;
      step.kind = rollout::Step::Kind::kOrder;
      step.order = {"s", "v2", over_ms};
      step.observers = rollout::ChooseObservers("s", ObserverCandidates(n));
      traffic.over_ms = over_ms;
      return Propose(n, step);
    }
    return false;
  }
  // The platform's list changes.
  void ChangeList() { ++list_; }

  void Run(Millis span) {
    for (Millis end = now + span; now < end && fault.empty(); now += 10) Step();
  }

  // --- what must hold in the end, once all is well again ---
  std::string Converged() {
    int leaders = 0;
    for (auto& n : nodes_) leaders += n->up && n->raft && n->raft->HasCommittedInTerm();
    if (leaders != 1) return std::to_string(leaders) + " settled leaders";
    for (auto& n : nodes_) {
      if (!n->up) return n->address.ip + " is down";
      if (n->controller && n->state.configuration.revision() < acknowledged_) {
        return n->address.ip + " lacks acknowledged revision " + std::to_string(acknowledged_);
      }
      if (n->disseminator->revision() < acknowledged_) {
        return n->address.ip + " serves by " + std::to_string(n->disseminator->revision()) +
               " instead of " + std::to_string(acknowledged_);
      }
      for (const auto& [zone, drain] : drained_zones_) {
        if (n->disseminator->drained_zones().IsDrained(zone) != drain) {
          return n->address.ip + " does not know of the evacuation of " + zone;
        }
      }
      const auto& servers = n->disseminator->endpoints().servers;
      if (servers.size() != 1 || servers[0].id != "list-" + std::to_string(list_)) {
        return n->address.ip + " has an old list";
      }
      if (n->controller && !n->raft->IsVoter(n->raft->self().id))
        return n->address.ip + " has no vote";
      if (n->members->ReachableOthers().size() + 1 != nodes_.size())
        return n->address.ip + " misses a node";
    }
    return "";
  }

  Node& node(size_t i) { return *nodes_[i]; }
  size_t size() const { return nodes_.size(); }
  int leader() const {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i]->up && nodes_[i]->raft && nodes_[i]->raft->HasCommittedInTerm())
        return static_cast<int>(i);
    }
    return -1;
  }
  int64_t acknowledged() const { return acknowledged_; }
  bool acknowledged_drain(const std::string& zone) const {
    auto at = drained_zones_.find(zone);
    return at != drained_zones_.end() && at->second;
  }
  bool KnowsList(size_t i) const {
    const auto& servers = nodes_[i]->disseminator->endpoints().servers;
    return servers.size() == 1 && servers[0].id == "list-" + std::to_string(list_);
  }
  uint64_t messages() const { return messages_; }
  size_t bytes_of(size_t i) const { return nodes_[i]->bytes; }
  void ForgetBytes() {
    for (auto& n : nodes_) n->bytes = 0;
  }

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

  std::string RouteJson(int route) {
    std::string name = std::to_string(route);
    return R"({"label":"r)" + name + R"(","host":"h.example","path-prefix":"/p)" + name +
           R"(/","variant":"idempotent","timeout-ms":)" + std::to_string(500 + random_.Below(500)) +
           R"(,"target-latency-ms":300,"priority":1,"target":"s","max-attempts":2})";
  }
  std::string ChangeBody(int64_t revision, bool patch) {
    std::string head = R"({"revision":)" + std::to_string(revision);
    if (options_.routes == 0) {
      return head + R"(,"by":")" + std::to_string(random_.Next()) +
             R"(","route-list":[],"service-list":[]})";
    }
    if (patch) {
      int route = static_cast<int>(random_.Below(static_cast<uint64_t>(options_.routes)));
      return head + R"(,"upsert":{"route-list":[)" + RouteJson(route) + "]}}";
    }
    std::string routes;
    for (int i = 0; i < options_.routes; ++i) routes += (i ? "," : "") + RouteJson(i);
    return head + R"(,"route-list":[)" + routes +
           R"(],"service-list":[{"label":"s","health-path":"/health","max-conns":10,)" +
           R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)" +
           R"("max-body-bytes":1000000,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
  }

  void Fail(const std::string& what) {
    if (fault.empty()) fault = "at " + std::to_string(now) + ": " + what;
  }

  static bool ByDatagram(const Body& body) {
    if (auto* digest = std::get_if<dissemination::Digest>(&body)) return !digest->reliable;
    if (auto* request = std::get_if<dissemination::SyncRequest>(&body)) return !request->reliable;
    return std::holds_alternative<membership::Heartbeat>(body) ||
           std::holds_alternative<membership::PartDigests>(body) ||
           std::holds_alternative<membership::MembershipUpdate>(body) ||
           std::holds_alternative<membership::MembershipSummary>(body);
  }
  void Send(size_t from, const Address& to, Body body) {
    bool datagram = ByDatagram(body);
    Send(from, to, std::move(body), datagram);
  }
  void Send(size_t from, const Address& to, Body body, bool datagram) {
    auto at = by_address_.find(to);
    if (at == by_address_.end()) return;
    ++messages_;
    if (options_.trace) {
      std::string bytes = std::visit([](const auto& m) { return wire::Encode(m); }, body);
      Trace(from, body.index(), bytes);
      Trace(at->second, datagram, {});
    }
    if (options_.count_bytes && !std::holds_alternative<consensus::Message>(body)) {
      nodes_[from]->bytes += std::visit([](const auto& m) { return wire::Encode(m).size(); }, body);
    }
    if (random_.Below(100) < static_cast<uint64_t>(options_.loss_percent)) return;
    if (datagram && (datagrams_lost_.count(from) || datagrams_lost_.count(at->second))) return;
    if (!datagram && connections_lost_.count({from, at->second})) return;
    packets_.push({now + 1 + static_cast<Millis>(random_.Below(15)), ++order_, from, at->second,
                   std::move(body)});
  }

  // Adds one event of a node to the digest.
  void Trace(size_t node, uint64_t kind, std::string_view bytes) {
    if (!options_.trace) return;
    trace_digest_ = base::Hash(bytes, base::Random(trace_digest_ + static_cast<uint64_t>(now) * 31 +
                                                   node * 1009 + kind * 65537)
                                          .Next());
  }

  void Step() {
    while (!packets_.empty() && packets_.top().at <= now) {
      Packet p = packets_.top();
      packets_.pop();
      if (cuts_.count({std::min(p.from, p.to), std::max(p.from, p.to)})) continue;
      if (one_way_cuts_.count({p.from, p.to})) continue;
      Node& n = *nodes_[p.to];
      if (!n.up) continue;
      if (n.frozen) {
        p.at = now + 10;  // waits in the kernel
        packets_.push(std::move(p));
        continue;
      }
      Deliver(p.to, nodes_[p.from]->address, p.body);
      Pump(p.to);
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Node& n = *nodes_[i];
      if (!n.up || n.frozen) continue;
      FinishWrites(i);
      if (now % 50 == 0) {
        n.members->Tick(now);
        n.disseminator->Tick(now);
      }
      if (n.controller) {
        n.raft->Tick(now);
        if (now % 50 == 0) TickController(i);
      }
      if (!n.controller && options_.requests > 0) Serve(i);
      if (!n.controller && options_.confirm) AskConfirmation(i);
      Pump(i);
      if (n.leave_by && (n.raft->may_stop() || now >= n.leave_by)) Crash(i);
    }
    if (follower_) follower_->Stepped();
  }

  bool Propose(Node& n, const rollout::Step& step) {
    return n.raft->Propose(now, controller::MakeCommand(controller::Command::Kind::kRollout, step))
        .has_value();
  }
  std::vector<rollout::Candidate> ObserverCandidates(const Node& n) const {
    std::vector<rollout::Candidate> found;
    for (const auto& [id, node] : n.members->nodes()) {
      if (node.durable && node.state == membership::State::kAlive) found.push_back({id, node.zone});
    }
    return found;
  }

  void AskConfirmation(size_t i) {
    Node& n = *nodes_[i];
    dissemination::Versions held{n.disseminator->revision(),
                                 n.disseminator->drained_zones().version(),
                                 n.disseminator->rollouts().version()};
    if (n.confirmed_at >= 0) return;
    if (n.confirmation->Holds(now, held)) {
      n.confirmed_at = now;
      // What was acknowledged before the question was put, of at most a second ago.
      auto known = acknowledged_at_.upper_bound(now - 1000);
      if (known != acknowledged_at_.begin() && held.revision < std::prev(known)->second) {
        Fail(n.address.ip + " took an old configuration for confirmed");
      }
      return;
    }
    if (now % 100 != 0) return;
    const Address& to = nodes_[n.asked++ % static_cast<size_t>(options_.controllers)]->address;
    Send(i, to, n.confirmation->Ask(now));
  }

  void OnConfirm(size_t i, const Address& from, const dissemination::Confirm& confirm) {
    Node& n = *nodes_[i];
    uint64_t token = ++order_;
    n.confirms[token] = {from, confirm.nonce};
    if (n.raft->ConfirmRead(now, token)) return;
    AnswerConfirm(i, token, false);
  }

  void AnswerConfirm(size_t i, uint64_t token, bool confirmed) {
    Node& n = *nodes_[i];
    auto at = n.confirms.find(token);
    if (at == n.confirms.end()) return;
    dissemination::ConfirmReply reply;
    reply.nonce = at->second.second;
    reply.confirmed = confirmed;
    if (confirmed) {
      reply.versions = {n.state.configuration.revision(), n.state.drained_zones.version(),
                        n.state.rollouts.version()};
    } else if (auto leader = n.raft->LeaderInContact(now); leader && !n.raft->is_leader()) {
      reply.leader_ip = leader->ip;
      reply.leader_port = leader->port;
    }
    Send(i, at->second.first, reply);
    n.confirms.erase(at);
  }

  // A proxy's step: requests come, each for 40 ms at a server; it counts and tells its counts.
  void Serve(size_t i) {
    Node& n = *nodes_[i];
    for (size_t k = 0; k < n.flights.size();) {
      Node::Flight flight = n.flights[k];
      if (flight.ends > now) {
        ++k;
        continue;
      }
      n.flights.erase(n.flights.begin() + static_cast<long>(k));
      bool failed = flight.new_version ? options_.new_fails(random_, now - traffic.ordered_at)
                                       : random_.Unit() < options_.old_fails;
      if (flight.new_version && failed && ++traffic.bad == 50) traffic.fiftieth_at = now;
      n.policy->CountOutcome(
          now, {"s", flight.new_version ? "v2" : "v1", std::to_string(flight.server), "r",
                failed ? rollout::CanaryPolicy::Outcome::kFailed
                       : rollout::CanaryPolicy::Outcome::kComplete,
                true, random_.Unit() < 0.05});
    }
    bool ordered = traffic.ordered_at >= 0;
    bool in_term = ordered && now < traffic.ordered_at + traffic.over_ms;
    bool listed = ordered && now > traffic.ordered_at + 1200;  // the new servers
    for (double due = options_.requests; random_.Unit() < due; due -= 1) {
      n.policy->CountRequest("s");
      traffic.requests += in_term;
      rollout::Rule rule = n.policy->RuleOf(now, "s");
      bool secondary = n.policy->TakesSecondary(now, "s", random_.Next());
      bool fresh = listed && (secondary ? rule.secondary : rule.primary) == "v2";
      n.flights.push_back(
          {now + 20 + static_cast<Millis>(random_.Below(40)), fresh, random_.Below(12)});
      if (!fresh) continue;
      n.policy->CountAttempt("s", "v2");
      traffic.exposed += in_term;
      traffic.last_sent_at = now;
    }
    if (!n.policy->active() || now < n.report_at) return;
    n.report_at = now + (n.policy->IsShifting() ? 100 : 250);
    rollout::ProxyReport report = n.policy->MakeReport(now, "s");
    report.node = n.members->self().id;
    report.boot_id = n.boot_id;
    report.wants_renewal = true;
    report.old_in_flight = static_cast<uint32_t>(n.in_flight_old());
    report.new_in_flight = static_cast<uint32_t>(n.flights.size()) - report.old_in_flight;
    for (uint64_t observer : n.policy->RolloutOf("s")->observers) {
      auto node = n.members->nodes().find(observer);
      if (node != n.members->nodes().end()) Send(i, node->second.address(), report);
    }
  }

  void FollowRollouts(Node& n) {
    n.coordinator->Adopt(now, n.state.rollouts);
    n.observer->Adopt(n.state.rollouts);
    n.disseminator->Commit(n.state.rollouts);
    const rollout::Rollout* rollout = n.state.rollouts.Of("s");
    if (!rollout || !n.raft->HasCommittedInTerm()) return;
    if (traffic.ordered_at < 0) traffic.ordered_at = now;
    if (traffic.ended_at >= 0 && rollout->stage != traffic.stage) {
      Fail("a roll-out that had ended went on");
    }
    traffic.stage = rollout->stage;
    if (!rollout::Ended(rollout->stage) || traffic.ended_at >= 0) return;
    traffic.ended_at = now;
    // The old servers are stopped now: nobody who can be heard may have work there, or send more.
    if (rollout->stage != rollout::Stage::kCompleted) return;
    for (auto& other : nodes_) {
      if (other->controller || !other->up || other->frozen || !cuts_.empty()) continue;
      if (!other->policy->RolloutOf("s") && other->policy->RuleOf(now, "s").primary != "v2")
        continue;
      if (other->in_flight_old() > 0) Fail(other->address.ip + " has work at stopped servers");
      if (other->policy->RuleOf(now, "s").primary != "v2") {
        Fail(other->address.ip + " sends to stopped servers");
      }
    }
  }

  void TickRollouts(size_t i) {
    Node& n = *nodes_[i];
    if (n.raft->HasCommittedInTerm()) {
      for (const auto& step : n.coordinator->Review(now, n.state.rollouts, ObserverCandidates(n))) {
        Propose(n, step);
      }
      if (options_.requests > 0 && n.state.rollouts.InForce("s").empty()) {
        rollout::Step found;
        found.found = {{"s", "v1"}};
        Propose(n, found);
      }
    }
    if (!n.observer->active()) return;
    std::vector<rollout::Observer::KnownProxy> proxies;
    for (const auto& [id, node] : n.members->nodes()) {
      if (node.program == membership::Program::kProxy && node.state != membership::State::kLeft) {
        proxies.push_back({id, node.reachable()});
      }
    }
    for (const auto& vote : n.observer->Tick(now, proxies)) {
      if (n.raft->is_leader()) {
        n.coordinator->OnVote(now, vote);
      } else if (auto leader = n.raft->leader()) {
        Send(i, leader->address(), vote);
      }
    }
  }

  void FinishWrites(size_t i) {
    Node& n = *nodes_[i];
    while (!n.writing.empty() && n.writing.front().first <= now && now >= n.disk_hangs_until) {
      consensus::WriteRequest write = std::move(n.writing.front().second);
      n.writing.erase(n.writing.begin());
      Store(&n, write);
      n.raft->OnWriteFinished(now, write.sequence, true);
      Pump(i);
    }
  }

  void Store(Node* node, const consensus::WriteRequest& write) {
    Node& n = *node;
    n.disk.empty = false;
    if (write.hard_state_changed) n.disk.hard_state = write.hard_state;
    if (!write.snapshot.empty()) n.disk.snapshot = write.snapshot[0];
    auto& log = n.disk.entries;
    auto drop = [&](auto keep) {
      std::vector<consensus::Entry> kept;
      for (auto& e : log) {
        if (keep(e)) kept.push_back(std::move(e));
      }
      log = std::move(kept);
    };
    if (write.drop_to) drop([&](const auto& e) { return e.index > write.drop_to; });
    if (write.truncate_from) drop([&](const auto& e) { return e.index < write.truncate_from; });
    log.insert(log.end(), write.entries.begin(), write.entries.end());
    if (write.commit && random_.Below(2)) n.disk.commit = write.commit;  // not synced: may be lost
  }

  void Deliver(size_t i, const Address& from, const Body& body) {
    Node& n = *nodes_[i];
    if (auto* m = std::get_if<membership::Heartbeat>(&body)) n.members->OnHeartbeat(now, from, *m);
    if (auto* m = std::get_if<membership::MembershipUpdate>(&body))
      n.members->OnMembershipUpdate(now, from, *m);
    if (auto* m = std::get_if<membership::PartDigests>(&body))
      n.members->OnPartDigests(now, from, *m);
    if (auto* m = std::get_if<membership::MembershipSummary>(&body))
      n.members->OnSummary(now, from, *m);
    if (auto* m = std::get_if<dissemination::ZoneDrainUpdate>(&body))
      n.disseminator->OnZoneDrainUpdate(now, from, *m);
    if (auto* m = std::get_if<dissemination::Digest>(&body))
      n.disseminator->OnDigest(now, from, *m);
    if (auto* m = std::get_if<dissemination::SyncRequest>(&body)) {
      n.disseminator->OnSyncRequest(now, from, *m);
    }
    if (auto* m = std::get_if<dissemination::SyncReply>(&body)) {
      n.disseminator->OnSyncReply(now, from, *m);
    }
    if (auto* m = std::get_if<dissemination::PullRequest>(&body))
      n.disseminator->OnPullRequest(now, from, *m);
    if (auto* m = std::get_if<dissemination::ConfigurationUpdate>(&body))
      n.disseminator->OnConfigurationUpdate(now, from, *m);
    if (auto* m = std::get_if<dissemination::EndpointUpdate>(&body))
      n.disseminator->OnEndpointUpdate(now, from, *m);
    if (auto* m = std::get_if<dissemination::RolloutUpdate>(&body))
      n.disseminator->OnRolloutUpdate(now, from, *m);
    if (auto* m = std::get_if<rollout::LeaseRenewal>(&body)) {
      n.policy->OnLeaseRenewal(now, *m);
      n.disseminator->OnRolloutVersion(now, from, m->version);
    }
    if (auto* m = std::get_if<dissemination::ConfirmReply>(&body); m && !n.controller) {
      if (auto leader = n.confirmation->OnReply(now, *m)) {
        Send(i, *leader, dissemination::Confirm{m->nonce});
      }
    }
    if (!n.controller) return;
    if (auto* m = std::get_if<dissemination::Confirm>(&body)) OnConfirm(i, from, *m);
    if (auto* m = std::get_if<rollout::ProxyReport>(&body)) {
      bool reporting = n.raft->HasCommittedInTerm() || (n.raft->last_leader_contact() &&
                                                        now - n.raft->last_leader_contact() < 1200);
      if (n.observer->OnProxyReport(now, *m) && m->wants_renewal && reporting) {
        Send(i, from, rollout::LeaseRenewal{m->number, n.state.rollouts.version()});
      }
    }
    if (auto* m = std::get_if<rollout::Vote>(&body)) n.coordinator->OnVote(now, *m);
    if (auto* m = std::get_if<consensus::Message>(&body)) n.raft->Receive(now, *m, from);
    if (auto* m = std::get_if<consensus::Member>(&body)) {
      if (n.raft->is_leader()) {
        n.raft->AddLearner(now, *m);
      } else if (auto leader = n.raft->leader(); leader && leader->address() != from) {
        Send(i, leader->address(), *m);
      }
    }
    if (auto* m = std::get_if<singleton::Resignation>(&body)) OnResignation(i, *m);
  }

  std::vector<singleton::Candidate> Candidates(const Node& n) {
    std::vector<singleton::Candidate> candidates;
    for (const auto& v : n.raft->voters()) {
      Millis reporting = n.raft->LastContact(v.id);
      candidates.push_back(
          {v.id, reporting < 0 ? INT64_MAX : now - reporting, v.id == n.raft->self().id});
    }
    return candidates;
  }
  void Name(Node& n, const std::optional<singleton::Assignment>& named) {
    if (named)
      n.raft->Propose(now,
                      controller::MakeCommand(controller::Command::Kind::kCatalogReader, *named));
  }
  void OnResignation(size_t i, const singleton::Resignation& r) {
    Node& n = *nodes_[i];
    if (n.raft->HasCommittedInTerm())
      Name(n, n.assignment->OnResignation(now, n.state.catalog_reader, Candidates(n), r));
  }

  void Vouch(Node& n) {
    std::optional<Address> leader, reader;
    if (auto member = n.raft->leader(); member && !n.raft->is_leader()) {
      leader = member->address();
    }
    bool reads = n.state.catalog_reader.owner == n.raft->self().id;
    for (const auto& voter : n.raft->voters()) {
      if (voter.id == n.state.catalog_reader.owner && !reads) reader = voter.address();
    }
    n.disseminator->SetVouchers(leader, reader);
    if (!n.raft->HasCommittedInTerm()) n.vouchers.clear();
    if (n.raft->HasCommittedInTerm() && n.vouchers.empty()) {
      n.vouchers[++order_] = now;
      if (!n.raft->ConfirmReadByHeartbeat(now, order_)) n.vouchers.clear();
    }
    Millis log_age = n.disseminator->log_age(now);
    bool published = n.sequence > 0 && n.watched_epoch == n.state.catalog_reader.epoch;
    if (reads && n.state.catalog_reader.boot_id == n.boot_id && published && log_age >= 0 &&
        log_age <= 1000) {
      n.disseminator->VouchForEndpoints(now);
    }
  }

  void TickController(size_t i) {
    Node& n = *nodes_[i];
    TickRollouts(i);
    if (n.raft->HasCommittedInTerm())
      Name(n, n.assignment->Review(now, n.state.catalog_reader, Candidates(n)));
    Vouch(n);
    bool reporting = n.raft->last_leader_contact() && now - n.raft->last_leader_contact() < 1200;
    if (!n.raft->is_leader() && !reporting && now >= n.join_at) {
      n.join_at = now + 400;
      for (int k = 0; k < options_.controllers; ++k) {
        if (nodes_[k].get() != &n) Send(i, nodes_[k]->address, n.raft->self());
      }
    }
    if (n.state.catalog_reader.owner != n.raft->self().id) return;
    if (n.state.catalog_reader.boot_id != n.boot_id) {
      if (now < n.claim_at) return;
      n.claim_at = now + 200;
      singleton::Resignation claim{n.state.catalog_reader.epoch, n.raft->self().id, n.boot_id};
      if (n.raft->is_leader()) {
        OnResignation(i, claim);
      } else if (auto leader = n.raft->leader()) {
        Send(i, leader->address(), claim);
      }
      return;
    }
    if (now < n.poll_at) return;
    n.poll_at = now + 500;
    if (n.watched_epoch != n.state.catalog_reader.epoch) n.sequence = 0;
    n.watched_epoch = n.state.catalog_reader.epoch;
    discovery::Server server;
    server.id = "list-" + std::to_string(list_);
    if (n.sequence && n.disseminator->endpoints().servers.size() == 1 &&
        n.disseminator->endpoints().servers[0].id == server.id) {
      n.disseminator->Confirm(now, n.watched_epoch);
    } else {
      n.disseminator->Publish(now, {n.watched_epoch, ++n.sequence, {server}});
    }
  }

  void PumpNode(size_t i) {
    Node& n = *nodes_[i];
    auto membership = n.members->TakeEffects();
    for (const auto& node : membership.changed) {
      if (node.state == membership::State::kAlive) n.disseminator->OnNodeReachable(now, node);
      if (!node.reachable()) n.disseminator->OnNodeUnreachable(node);
    }
    for (const auto& node : membership.changed) Trace(i, 110, wire::Encode(node));
    for (auto& [to, m] : membership.heartbeats) Send(i, to, m);
    for (auto& [to, m] : membership.updates) Send(i, to, m);
    for (auto& [to, m] : membership.part_digests) Send(i, to, m);
    for (auto& [to, m] : membership.summaries) Send(i, to, m);
    if (n.controller) PumpMachine(i);
    auto effects = n.disseminator->TakeEffects();
    for (auto& [to, m] : effects.digests) Send(i, to, m);
    for (auto& [to, m] : effects.pulls) Send(i, to, m);
    for (auto& [to, m] : effects.sync_requests) Send(i, to, m);
    for (auto& reply : effects.sync_replies) Send(i, reply.to, reply.reply, !reply.follows);
    for (auto& [to, m] : effects.configuration_updates) Send(i, to, m);
    for (auto& [to, m] : effects.endpoint_updates) Send(i, to, m);
    for (auto& [to, m] : effects.zone_drains) Send(i, to, m);
    for (auto& [to, m] : effects.rollouts) Send(i, to, m);
    if (effects.rollouts_adopted) n.policy->Adopt(now, n.disseminator->rollouts());
    if (options_.trace && !effects.empty()) {
      Trace(i, 111,
            std::to_string(n.disseminator->revision()) + "," +
                std::to_string(n.disseminator->drained_zones().version()) + "," +
                std::to_string(n.disseminator->rollouts().version()) + "," +
                std::to_string(n.disseminator->endpoints().epoch) + "," +
                std::to_string(n.disseminator->endpoints().sequence) + "," +
                std::to_string(n.disseminator->log_age(now)));
    }
    CheckFreshness(n);
    if (n.disseminator->revision() < n.adopted_revision)
      Fail(n.address.ip + " went back to an older configuration");
    bool adopted = n.adopted_revision != n.disseminator->revision();
    n.adopted_revision = n.disseminator->revision();
    const discovery::EndpointSnapshot& c = n.disseminator->endpoints();
    if (std::tie(c.epoch, c.sequence) < std::tie(n.adopted_epoch, n.adopted_sequence)) {
      Fail(n.address.ip + " went back to an older list");
    }
    n.adopted_epoch = c.epoch;
    n.adopted_sequence = c.sequence;
    if (adopted)
      CheckWinner(n.adopted_revision, base::Hash(n.disseminator->configuration_text()),
                  n.address.ip);
  }

  // What a node takes for known to be current must hold all that was acknowledged until then.
  void CheckFreshness(const Node& n) {
    Millis age = n.disseminator->log_age(now);
    if (age < 0) return;
    auto known = acknowledged_at_.upper_bound(now - age);
    if (known == acknowledged_at_.begin()) return;
    if (n.disseminator->revision() < std::prev(known)->second) {
      Fail(n.address.ip + " vouches for revision " + std::to_string(n.disseminator->revision()) +
           " although " + std::to_string(std::prev(known)->second) + " was acknowledged");
    }
  }

  void CheckWinner(int64_t revision, uint64_t digest, const std::string& who) {
    auto [at, added] = winners_.emplace(revision, digest);
    if (!added && at->second != digest)
      Fail(who + " has another winner of revision " + std::to_string(revision));
  }

  void TraceEffects(size_t i, const consensus::RaftNode::Effects& e) {
    if (!options_.trace) return;
    for (const auto& write : e.writes) {
      Trace(i, 100,
            std::to_string(write.sequence) + "," + std::to_string(write.commit) + "," +
                std::to_string(write.truncate_from) + "," + std::to_string(write.drop_to));
      if (write.hard_state_changed) Trace(i, 101, wire::Encode(write.hard_state));
      for (const auto& entry : write.entries) Trace(i, 102, wire::Encode(entry));
      for (const auto& snapshot : write.snapshot) Trace(i, 103, wire::Encode(snapshot));
    }
    for (const auto& entry : e.committed) Trace(i, 104, wire::Encode(entry));
    for (const auto& snapshot : e.installed) Trace(i, 105, wire::Encode(snapshot));
    for (uint64_t token : e.confirmed_reads) Trace(i, 106, std::to_string(token));
    for (uint64_t token : e.failed_reads) Trace(i, 107, std::to_string(token));
    if (e.role_changed) Trace(i, 108, std::to_string(static_cast<int>(RoleOf(i))));
  }
  consensus::Role RoleOf(size_t i) const { return nodes_[i]->raft->role(); }

  void PumpMachine(size_t i) {
    Node& n = *nodes_[i];
    for (;;) {
      consensus::RaftNode::Effects e = n.raft->TakeEffects();
      // No disk here goes back behind what was synced, so nobody may be accused of it.
      if (!e.state_lost.empty() || e.discard_store) Fail(n.address.ip + " tells of lost state");
      if (e.messages.empty() && e.writes.empty() && e.committed.empty() && e.installed.empty() &&
          e.confirmed_reads.empty() && e.failed_reads.empty() && !e.role_changed) {
        break;
      }
      TraceEffects(i, e);
      for (auto& write : e.writes)
        n.writing.push_back({now + 2 + static_cast<Millis>(random_.Below(20)), std::move(write)});
      for (auto& out : e.messages) Send(i, out.to, out.message);
      for (const auto& snapshot : e.installed) {
        n.state = controller::ControlState();
        if (!snapshot.state.empty())
          n.state = *wire::Decode<controller::ControlState>(snapshot.state);
      }
      for (const auto& entry : e.committed) {
        uint64_t digest =
            base::Hash(entry.data, entry.term * 8 + static_cast<uint64_t>(entry.kind));
        auto [at, added] = committed_.emplace(entry.index, digest);
        if (!added && at->second != digest)
          Fail(n.address.ip + " committed another entry at " + std::to_string(entry.index));
        if (entry.kind == consensus::EntryKind::kCommand) {
          n.state.Apply(entry.data);
          if (hooks.applied) hooks.applied(i, entry);
          if (follower_) follower_->Applied(i, entry.index);
        }
        auto sent = pending_.find({&n, n.boot_id, entry.index});
        if (sent != pending_.end()) {
          if (n.raft->is_leader() && n.state.configuration.revision() == sent->second.first) {
            acknowledged_ = std::max(acknowledged_, sent->second.first);
            acknowledged_at_[now] = acknowledged_;
            auto [at, added] = built_on_.emplace(sent->second.second, sent->second.first);
            if (!added && at->second != sent->second.first) {
              Fail("two changes built on " + std::to_string(sent->second.second) +
                   " were both acknowledged");
            }
          }
          pending_.erase(sent);
        }
        auto ordered = ordered_.find({&n, n.boot_id, entry.index});
        if (ordered != ordered_.end()) {
          if (n.raft->is_leader()) drained_zones_[ordered->second.first] = ordered->second.second;
          ordered_.erase(ordered);
        }
      }
      if (!n.state.configuration.empty()) {
        CheckWinner(n.state.configuration.revision(), base::Hash(n.state.configuration.text()),
                    n.address.ip);
        n.disseminator->Commit(now, n.state.configuration);
      }
      n.disseminator->Commit(n.state.drained_zones);
      FollowRollouts(n);
      if (e.role_changed && hooks.role_changed) hooks.role_changed(i);
      for (bool ok : {false, true}) {
        for (uint64_t token : ok ? e.confirmed_reads : e.failed_reads) {
          if (n.confirms.count(token)) {
            AnswerConfirm(i, token, ok);
          } else if (n.vouchers.count(token)) {
            if (ok) n.disseminator->VouchForLog(n.vouchers[token]);
            n.vouchers.erase(token);
          } else if (hooks.read_done) {
            hooks.read_done(i, token, ok);
          }
        }
      }
      if (follower_) follower_->Pumped(i, e);
      if (n.raft->log_size() > 24) n.raft->Compact(n.raft->commit(), wire::Encode(n.state));
    }
    if (n.raft->is_leader()) {
      auto [at, added] = leaders_.emplace(n.raft->term(), n.raft->self().id);
      if (!added && at->second != n.raft->self().id)
        Fail("two leaders in term " + std::to_string(n.raft->term()));
    }
  }

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
