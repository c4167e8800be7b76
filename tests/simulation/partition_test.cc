#include <gtest/gtest.h>

#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "configuration/operator_api.h"
#include "consensus/raft_node.h"
#include "dissemination/confirm.h"
#include "simulation/simulation.h"

// Tests of what a controller that is partitioned, frozen or late must not do, and of the clients
// that must not rely on it.

namespace elderkeel {
namespace {

using base::Millis;
using dissemination::Confirmation;
using dissemination::ConfirmReply;
using dissemination::Versions;
using simulation::SimulatedCluster;

// Guards against a proxy that takes old versions for confirmed, because of a reply that is delayed,
// overtaken, or meant for an earlier run of the process.
TEST(Confirmation, RequiresARecentReplyToAnOwnQuestion) {
  struct Reply {
    Millis at;
    int question;  // index into `asked`, -1 for a question of an earlier run of the process
    Versions versions;
  };
  struct Case {
    const char* name;
    std::vector<Millis> asked;
    std::vector<Reply> replies;
    Millis at;
    Versions held;
    bool holds;
  } cases[] = {
      {"no answer", {0}, {}, 100, {5, 0, 0}, false},
      {"held", {0}, {{20, 0, {5, 0, 0}}}, 20, {5, 0, 0}, true},
      {"newer is held", {0}, {{20, 0, {5, 0, 0}}}, 20, {6, 0, 0}, true},
      {"older is held", {0}, {{20, 0, {5, 0, 0}}}, 20, {4, 0, 0}, false},
      {"adopted soon after", {0}, {{20, 0, {5, 0, 0}}}, 900, {5, 0, 0}, true},
      {"adopted long after", {0}, {{20, 0, {5, 0, 0}}}, 10000, {5, 0, 0}, false},
      {"delayed in transit", {0}, {{10000, 0, {5, 0, 0}}}, 10000, {5, 0, 0}, false},
      {"delayed, and asked again", {0, 9990}, {{10000, 0, {5, 0, 0}}}, 10000, {5, 0, 0}, false},
      {"to an earlier run of the process", {0}, {{20, -1, {5, 0, 0}}}, 20, {5, 0, 0}, false},
      {"overtaken by a newer answer",
       {0, 100},
       {{150, 1, {6, 0, 0}}, {200, 0, {5, 0, 0}}},
       200,
       {5, 0, 0},
       false},
      {"a zone drain is missing", {0}, {{20, 0, {5, 3, 0}}}, 20, {5, 2, 0}, false},
      {"the zone drain has arrived", {0}, {{20, 0, {5, 3, 0}}}, 60, {5, 3, 0}, true},
      {"a roll-out is missing", {0}, {{20, 0, {5, 0, 8}}}, 20, {5, 0, 7}, false},
      {"there is no configuration", {0}, {{20, 0, {0, 0, 0}}}, 20, {0, 0, 0}, false},
  };
  for (const Case& c : cases) {
    Confirmation confirmation(1000);
    std::vector<uint64_t> nonces;
    for (Millis at : c.asked) nonces.push_back(confirmation.NewRequest(at).nonce);
    for (const Reply& r : c.replies) {
      ConfirmReply reply;
      reply.nonce = r.question < 0 ? 999 : nonces[static_cast<size_t>(r.question)];
      reply.confirmed = true;
      reply.versions = r.versions;
      EXPECT_FALSE(confirmation.OnReply(r.at, reply)) << c.name;
    }
    EXPECT_EQ(confirmation.IsCurrent(c.at, c.held), c.holds) << c.name;
  }
}

// A controller that doesn't lead names the leader in its reply; a proxy that ignored that might
// never be confirmed. Replies to an expired question are ignored.
TEST(Confirmation, RedirectsTheQuestionToTheLeaderThatAReplyNames) {
  Confirmation confirmation(7);
  ConfirmReply reply;
  reply.nonce = confirmation.NewRequest(0).nonce;
  EXPECT_FALSE(confirmation.OnReply(10, reply));  // no leader is named
  reply.leader_ip = "10.0.0.3";
  reply.leader_port = 7200;
  EXPECT_EQ(confirmation.OnReply(20, reply)->ip, "10.0.0.3");
  EXPECT_FALSE(confirmation.IsCurrent(20, {9, 9, 9}));
  EXPECT_FALSE(confirmation.OnReply(5000, reply));  // the question has expired
}

// The Raft node of one of three initial voters. The test takes the part of the two others.
class FounderNode {
 public:
  FounderNode() {
    for (consensus::MemberId id : {1, 2, 3}) {
      consensus::Member m;
      m.id = id;
      m.ip = "10.0.0." + std::to_string(id);
      m.port = 7200;
      m.control = m.ip + ":8080";
      options_.initial_voters.push_back(m);
    }
    options_.self = options_.initial_voters[0];
    options_.cluster = 7;
    raft_ = std::make_unique<consensus::RaftNode>(options_, consensus::RestoredState(), 0);
  }
  consensus::RaftNode& raft() { return *raft_; }
  // The reply of another member that grants or accepts the message.
  static consensus::Message ReplyTo(const consensus::Message& m) {
    consensus::Message reply = m;
    reply.from = m.to;
    reply.to = 1;
    reply.granted = true;
    reply.entries.clear();
    if (m.type == consensus::MessageType::kPreVote) {
      reply.type = consensus::MessageType::kPreVoteReply;
    } else if (m.type == consensus::MessageType::kRequestVote) {
      reply.type = consensus::MessageType::kRequestVoteReply;
    } else {
      reply.type = consensus::MessageType::kAppendEntriesReply;
      reply.index = m.index + m.entries.size();
    }
    return reply;
  }
  // Advances by 10 ms, in which the others either reply to every message or to none.
  void Advance(bool answered) {
    now += 10;
    raft_->Tick(now);
    for (int k = 0; k < 3; ++k) {
      auto effects = raft_->TakeEffects();
      RecordReads(effects);
      for (const auto& write : effects.writes) raft_->OnWriteFinished(now, write.sequence, true);
      for (const auto& out : effects.messages) {
        if (answered) raft_->Receive(now, ReplyTo(out.message), out.to);
      }
    }
    RecordReads(raft_->TakeEffects());
  }
  // Runs until the node leads and has committed an entry in its term.
  void Lead() {
    for (int k = 0; k < 300 && !raft_->HasCommittedInTerm(); ++k) Advance(true);
    for (int k = 0; k < 20; ++k) Advance(true);
    ASSERT_TRUE(raft_->HasCommittedInTerm());
  }
  // Delivers a heartbeat of member 2 as the leader of `term`.
  void Follow(consensus::Term term) {
    consensus::Message m;
    m.type = consensus::MessageType::kAppendEntries;
    m.cluster = 7;
    m.from = 2;
    m.to = 1;
    m.term = term;
    m.index = m.log_term = 1;
    raft_->Receive(now, m, {"10.0.0.2", 7200});
    RecordReads(raft_->TakeEffects());
  }
  void RecordReads(const consensus::RaftNode::Effects& effects) {
    for (uint64_t token : effects.confirmed_reads) ready.push_back(token);
    for (uint64_t token : effects.failed_reads) failed.push_back(token);
  }

  Millis now = 0;
  std::vector<uint64_t> ready, failed;

 private:
  consensus::RaftNode::Options options_;
  std::unique_ptr<consensus::RaftNode> raft_;
};

// A leader whose process is suspended for ten seconds may have been replaced. It must step down and
// fail its pending reads, whichever event it handles first, also if that is a reply from before the
// suspension; otherwise it would serve stale reads.
TEST(Consensus, ALeaderThatWasSuspendedStepsDownWhateverEventComesFirst) {
  using First = std::function<void(FounderNode&, const consensus::Message&)>;
  struct Case {
    const char* name;
    First first;
  } cases[] = {
      {"a tick", [](FounderNode& f, const auto&) { f.raft().Tick(f.now); }},
      {"a delayed reply",
       [](FounderNode& f, const auto& m) {
         f.raft().Receive(f.now, m, {"10.0.0.2", 7200});
       }},
      {"a read", [](FounderNode& f, const auto&) { EXPECT_FALSE(f.raft().ConfirmRead(f.now, 9)); }},
      {"a change", [](FounderNode& f, const auto&) { EXPECT_FALSE(f.raft().Propose(f.now, "x")); }},
      {"a finished write",
       [](FounderNode& f, const auto&) { f.raft().OnWriteFinished(f.now, 1, true); }},
      {"a joiner",
       [](FounderNode& f, const auto&) {
         consensus::Member m;
         m.id = 77;
         f.raft().AddLearner(f.now, m);
       }},
  };
  for (const Case& c : cases) {
    FounderNode f;
    f.Lead();
    EXPECT_EQ(f.raft().LeaderInContact(f.now)->id, 1u);
    ASSERT_TRUE(f.raft().ConfirmRead(f.now, 5));
    auto effects = f.raft().TakeEffects();
    ASSERT_FALSE(effects.messages.empty());
    consensus::Message waited = FounderNode::ReplyTo(effects.messages[0].message);
    f.now += 10000;
    EXPECT_FALSE(f.raft().LeaderInContact(f.now)) << c.name;
    c.first(f, waited);
    f.RecordReads(f.raft().TakeEffects());
    EXPECT_FALSE(f.raft().is_leader()) << c.name;
    EXPECT_FALSE(f.raft().LeaderInContact(f.now)) << c.name;
    EXPECT_TRUE(f.ready.empty()) << c.name;
    EXPECT_EQ(f.failed, std::vector<uint64_t>{5}) << c.name;
  }
}

// Guards against redirects to a leader that is gone: a follower without heartbeats, a leader
// without replies and a member that takes over leadership must stop naming a leader.
TEST(Consensus, NamesALeaderOnlyWhileItIsInContact) {
  const consensus::Timing timing;
  FounderNode follower;
  follower.Follow(2);
  Millis last_heartbeat_at = follower.now;
  ASSERT_EQ(follower.raft().LeaderInContact(follower.now)->control, "10.0.0.2:8080");
  while (follower.now < last_heartbeat_at + 1000) {
    follower.Advance(false);
    bool named = follower.raft().LeaderInContact(follower.now).has_value();
    // It may start a pre-vote earlier, and then names no leader; after the election time-out it
    // never names the leader that sent no more heartbeats.
    if (follower.now - last_heartbeat_at > timing.election_timeout) {
      EXPECT_FALSE(named) << follower.now;
    }
    if (follower.now - last_heartbeat_at < timing.heartbeat_interval * 3) {
      EXPECT_TRUE(named) << follower.now;
    }
  }
  FounderNode leader;
  leader.Lead();
  Millis answered = leader.now;
  while (leader.now < answered + 2000) {
    leader.Advance(false);
    Millis silent = leader.now - answered;
    if (silent > timing.election_timeout) {
      EXPECT_FALSE(leader.raft().LeaderInContact(leader.now)) << silent;
    }
    // The last reply came within one heartbeat interval before the silence began.
    if (silent > timing.election_timeout * 2) {
      EXPECT_FALSE(leader.raft().is_leader()) << silent;
    }
    if (silent < timing.election_timeout) {
      EXPECT_TRUE(leader.raft().is_leader()) << silent;
    }
  }
  // A member that is to take over leadership names no leader, in particular not the former one.
  FounderNode successor;
  successor.Follow(2);
  consensus::Message take;
  take.type = consensus::MessageType::kTimeoutNow;
  take.cluster = 7;
  take.from = 2;
  take.to = 1;
  take.term = 2;
  successor.raft().Receive(successor.now, take, {"10.0.0.2", 7200});
  EXPECT_FALSE(successor.raft().LeaderInContact(successor.now));
}

// A proxy's lease on the new version may be renewed only by an observer of the same roll-out whose
// state is at least as new as the proxy's. Otherwise an outdated observer would keep up a roll-out
// that has already been reverted.
TEST(CanaryPolicy, IgnoresRenewalsOfAnObserverThatIsBehind) {
  struct Case {
    const char* name;
    uint64_t number;  // added to the number of the roll-out
    int version;      // added to the state version that the proxy holds
    bool renewed;
  } cases[] = {
      {"the same", 0, 0, true},
      {"a newer state version", 0, 1, true},
      {"an older state version", 0, -1, false},
      {"of another roll-out", 1, 0, false},
  };
  for (const Case& c : cases) {
    rollout::Rollouts state;
    rollout::Step found, order;
    found.detected = {{"s", "v1"}};
    ASSERT_TRUE(state.Apply(found));
    order.kind = rollout::Step::Kind::kOrder;
    order.order = {"s", "v2", 10000};
    order.observers = {1, 2, 3};
    ASSERT_TRUE(state.Apply(order));
    rollout::CanaryPolicy policy{rollout::CanaryPolicy::Options{}};
    policy.Adopt(0, state);
    EXPECT_EQ(policy.RuleOf(0, "s").secondary, "v2");
    uint64_t version = static_cast<uint64_t>(static_cast<int64_t>(state.version()) + c.version);
    for (Millis now = 100; now <= 20000; now += 100) {
      policy.OnLeaseRenewal(now, {state.NewestOf("s")->number + c.number, version});
    }
    EXPECT_EQ(policy.RuleOf(20000, "s").secondary == "v2", c.renewed) << c.name;
  }
}

// Guards against an endpoint list or a zone drain that goes back: updates of a former catalog
// reader may arrive late, also at a node that has just started, and must never replace those of its
// successor.
TEST(Disseminator, AnUpdateOfTheNewReaderSupersedesThoseOfTheFormerOne) {
  membership::Membership members({}, {}, 0);
  auto list = [](uint64_t epoch, uint64_t sequence) {
    dissemination::EndpointUpdate update;
    update.epoch = epoch;
    update.sequence = sequence;
    return update;
  };
  const base::Address from{"10.0.0.2", 1};
  for (bool restarted : {false, true}) {
    dissemination::Disseminator exchange({}, &members, 0);
    if (!restarted) exchange.OnEndpointUpdate(0, from, list(4, 1));
    exchange.OnEndpointUpdate(10, from, list(3, 9));  // of the former reader
    EXPECT_EQ(exchange.endpoints().epoch, restarted ? 3u : 4u);
    exchange.OnEndpointUpdate(20, from, list(4, 1));
    exchange.OnEndpointUpdate(30, from, list(3, 10));
    EXPECT_EQ(exchange.endpoints().epoch, 4u);
    // A former reader that has received its successor's list publishes no more.
    EXPECT_FALSE(exchange.Publish(40, 40, {3, 11, {}}));
    EXPECT_EQ(exchange.endpoints().epoch, 4u);
    dissemination::ZoneDrainUpdate old;
    dissemination::ZoneDrainUpdate current;
    old.drained_zones.Apply({"a", true});
    current.drained_zones = old.drained_zones;
    current.drained_zones.Apply({"a", false});
    exchange.OnZoneDrainUpdate(50, from, current);
    exchange.OnZoneDrainUpdate(60, from, old);
    EXPECT_FALSE(exchange.drained_zones().IsDrained("a"));
  }
}

// The operator API of every controller, on the simulated log.
class OperatorApis {
 public:
  struct Answer {
    int status = 0;  // 0: none yet; -1: the connection broke
    std::string location;
    int64_t revision = 0;
  };

  explicit OperatorApis(SimulatedCluster* world, int controllers) : world_(world) {
    for (int i = 0; i < controllers; ++i) {
      apis_.push_back(std::make_unique<NodeApi>(this, static_cast<size_t>(i)));
    }
    world->hooks.applied = [this](size_t i, const consensus::Entry& e) {
      if (auto* api = Api(i)) api->OnApplied(world_->now, e.index);
    };
    world->hooks.role_changed = [this](size_t i) {
      if (auto* api = Api(i)) api->OnRoleChanged();
    };
    world->hooks.read_done = [this](size_t i, uint64_t token, bool ok) {
      if (auto* api = Api(i)) api->OnReadFinished(world_->now, token, ok);
    };
  }

  // Sends a request to node `i` and returns its ticket, the key of its answer in `answers`.
  uint64_t Ask(size_t i, const http::Message& request) {
    uint64_t ticket = ++tickets_;
    answers[ticket] = Answer();
    if (auto* api = Api(i)) {
      apis_[i]->open.insert(ticket);
      api->OnRequest(world_->now, ticket, request);
      world_->Flush(i);
    }
    return ticket;
  }
  void Tick() {
    for (size_t i = 0; i < apis_.size(); ++i) {
      auto* api = Api(i);
      if (!api) continue;
      api->Tick(world_->now);
      world_->Flush(i);
    }
  }

  std::map<uint64_t, Answer> answers;

 private:
  struct NodeApi : configuration::ReplicatedLog {
    NodeApi(OperatorApis* all, size_t i) : all(all), i(i) {}
    SimulatedCluster::Node& node() const { return all->world_->node(i); }
    Millis now() const { return all->world_->now; }
    bool HasCommittedInTerm() const override { return node().raft->HasCommittedInTerm(); }
    bool is_leader() const override { return node().raft->is_leader(); }
    uint64_t term() const override { return node().raft->term(); }
    std::optional<std::string> leader_control_address() const override {
      auto leader = node().raft->LeaderInContact(now());
      if (!leader) return std::nullopt;
      return leader->ip;
    }
    bool ConfirmRead(uint64_t token) override { return node().raft->ConfirmRead(now(), token); }
    template <class T>
    std::optional<uint64_t> Put(controller::Command::Kind kind, const T& what) {
      return node().raft->Propose(now(), controller::MakeCommand(kind, what));
    }
    std::optional<uint64_t> Propose(const configuration::Change& change) override {
      return Put(controller::Command::Kind::kConfiguration, change);
    }
    std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) override {
      return Put(controller::Command::Kind::kZoneDrain, order);
    }
    std::optional<uint64_t> Propose(const rollout::RolloutOrder&) override { return std::nullopt; }
    bool HasZone(const std::string&) const override { return true; }
    bool HasService(const std::string&) const override { return true; }

    OperatorApis* all;
    size_t i;
    uint64_t boot_id = 0;
    std::unique_ptr<configuration::OperatorApi> api;
    std::set<uint64_t> open;
  };

  // Returns the API of node `i`, nullptr while its process is down or frozen. Creates it anew after
  // a restart, and marks the requests that were open at the crash as broken.
  configuration::OperatorApi* Api(size_t i) {
    NodeApi& d = *apis_[i];
    SimulatedCluster::Node& n = world_->node(i);
    if (!n.up || d.boot_id != n.boot_id) {
      for (uint64_t ticket : d.open) answers[ticket].status = -1;
      d.open.clear();
      d.api.reset();
    }
    if (!n.up || n.frozen || !n.raft) return nullptr;
    if (!d.api) {
      d.boot_id = n.boot_id;
      d.api = std::make_unique<configuration::OperatorApi>(
          &d, &n.state.configuration, &n.state.drained_zones, &n.state.rollouts,
          [this, &d](uint64_t ticket, const http::Message& m) {
            Answer& answer = answers[ticket];
            answer.status = m.status;
            if (auto* location = m.Find("Location")) answer.location = *location;
            if (auto* tag = m.Find("ETag")) answer.revision = std::stoll(tag->substr(1));
            d.open.erase(ticket);
          });
    }
    return d.api.get();
  }

  SimulatedCluster* world_;
  std::vector<std::unique_ptr<NodeApi>> apis_;
  uint64_t tickets_ = 0;
};

// A client of the operator API. After a failure, a 5xx or a second without an answer it goes on to
// the next controller, with exponential back-off; it follows at most two redirects (307) in a row.
struct Caller {
  std::string kind;
  http::Message request;
  size_t at = 0;                // the node that it calls
  bool single_attempt = false;  // calls that node once and takes any answer
  Millis began = 0, asked = 0, pause = 100, wait_until = 0;
  int followed = 0;
  uint64_t ticket = 0;
  bool done = false;
  OperatorApis::Answer answer;
  int64_t known = 0;     // the newest acknowledged revision when it began
  int64_t revision = 0;  // of the change that it sends
};

// One run with five controllers: partitions one of them for about twenty seconds and restarts some,
// while callers and proxies use every controller.
class CutRun {
 public:
  static constexpr int kControllers = 5;
  // An election time-out and the delay of messages in transit: from then on the partitioned member
  // must have noticed the cut.
  static constexpr Millis kStaleMs = 650;
  enum class How { kBoth, kOut, kIn };  // the direction of the lost packets, seen from the member
  enum class Restart { kNone, kMember, kOthers };
  struct Case {
    How how;
    bool leader;  // whether the leader is partitioned, or else a follower
    Restart restart;
    uint64_t seed;
  };

  explicit CutRun(const Case& c)
      : case_(c), world_(MakeOptions(c.seed)), apis_(&world_, kControllers) {}

  void Run() {
    Advance(3000);
    AddCaller("PUT", 0, false);
    Advance(2000);
    size_t leader = static_cast<size_t>(world_.leader());
    member_ = case_.leader ? leader : (leader + 1 + case_.seed) % kControllers;
    if (member_ == leader && !case_.leader) member_ = (leader + 1) % kControllers;
    Cut();
    cut_at_ = world_.now;
    consensus::Term term = 0;
    for (int second = 0; second < 20; ++second) {
      if (second == 4 && case_.restart == Restart::kMember) {
        world_.Crash(member_);
        Advance(300);
        world_.Start(member_);
      }
      if (second == 4 && case_.restart == Restart::kOthers) {
        size_t other = (member_ + 2) % kControllers;
        world_.Crash(other);
        Advance(300);
        world_.Start(other);
      }
      if (second == 2 || second == 9) {
        // Restarts a proxy on each side of the cut. With How::kBoth the first one reaches only the
        // member and the second one only the others.
        world_.Crash(kControllers);
        world_.Start(kControllers);
        started_[0] = world_.now;
        world_.Crash(kControllers + 1);
        world_.Start(kControllers + 1);
        started_[1] = world_.now;
      }
      for (const char* kind : {"GET", "PUT", "evacuation", "rollout"}) {
        AddCaller(kind, member_, true);
        AddCaller(kind, member_, false);
        AddCaller(kind, (member_ + 1 + static_cast<size_t>(second)) % kControllers, false);
      }
      Advance(1000);
      Cut();  // also cuts the nodes that were restarted
      const SimulatedCluster::Node& member_side = world_.node(kControllers);
      if (member_side.confirmed_at >= 0 && started_[0] > 0 && case_.how == How::kBoth) {
        world_.fault = "a proxy that reaches the member alone was confirmed";
      }
      const SimulatedCluster::Node& majority_side = world_.node(kControllers + 1);
      if (majority_side.confirmed_at >= 0 && started_[1] > 0) {
        RecordWorst("start of a proxy elsewhere", majority_side.confirmed_at - started_[1]);
        started_[1] = 0;
      }
    }
    int led = world_.leader();
    if (led >= 0) term = world_.node(static_cast<size_t>(led)).raft->term();
    world_.HealAll();
    Advance(5000);
    // The leader of the majority keeps its term, and the member has caught up with it.
    EXPECT_EQ(world_.leader(), led) << Name();
    if (led >= 0) {
      EXPECT_EQ(world_.node(static_cast<size_t>(led)).raft->term(), term) << Name();
      EXPECT_EQ(world_.node(member_).state.configuration.revision(),
                world_.node(static_cast<size_t>(led)).state.configuration.revision())
          << Name();
    }
    for (size_t proxy : {kControllers, kControllers + 1}) {
      EXPECT_GE(world_.node(proxy).confirmed_at, 0) << Name();
    }
    for (const Caller& c : callers_) EXPECT_TRUE(c.done) << Name() << " " << c.kind;
    EXPECT_EQ(world_.fault, "") << Name();
  }

  std::string Name() const {
    static const char* hows[] = {"both ways", "nothing goes out", "nothing comes in"};
    static const char* restarts[] = {"", ", it is restarted", ", another is restarted"};
    return std::string(hows[static_cast<int>(case_.how)]) +
           (case_.leader ? ", leader" : ", follower") + restarts[static_cast<int>(case_.restart)] +
           ", seed " + std::to_string(case_.seed);
  }

  static std::map<std::string, Millis> worst;  // longest duration of calls during a cut, by kind

 private:
  static SimulatedCluster::Options MakeOptions(uint64_t seed) {
    SimulatedCluster::Options options;
    options.controllers = kControllers;
    options.proxies = 3;
    options.tolerance = {2, 0, 0};
    options.seed = seed;
    options.loss_percent = 0;
    options.confirm = true;
    return options;
  }
  static void RecordWorst(const std::string& what, Millis took) {
    worst[what] = std::max(worst[what], took);
  }

  void Cut() {
    for (size_t i = 0; i < world_.size(); ++i) {
      if (i == member_) continue;
      bool member_side = i == kControllers;  // the proxy that stays connected to the member
      if (!member_side) {
        if (case_.how == How::kBoth) world_.Cut(member_, i, true);
        if (case_.how == How::kOut) world_.CutOneWay(member_, i, true);
        if (case_.how == How::kIn) world_.CutOneWay(i, member_, true);
        if (case_.how == How::kBoth) world_.Cut(kControllers, i, true);
      }
    }
  }

  // Adds a caller that starts at node `at`; see Caller::single_attempt.
  void AddCaller(const std::string& kind, size_t at, bool single_attempt) {
    Caller c;
    c.kind = kind;
    c.at = at;
    c.single_attempt = single_attempt;
    c.began = world_.now;
    c.known = acknowledged_;
    c.request.method = kind == "PUT" ? "PUT" : kind == "evacuation" ? "POST" : "GET";
    c.request.target = kind == "evacuation" ? "/elderkeel/evacuation/a"
                       : kind == "rollout"  ? "/elderkeel/rollouts/s"
                                            : "/elderkeel/config";
    if (kind == "evacuation" && flip_++ % 2) c.request.method = "DELETE";
    if (kind == "PUT") {
      c.revision = ++next_revision_;
      c.request.headers.push_back({"If-Match", std::to_string(acknowledged_)});
      c.request.body =
          R"({"revision":)" + std::to_string(c.revision) + R"(,"route-list":[],"service-list":[]})";
    }
    callers_.push_back(c);
  }

  // Advances the simulation and all callers.
  void Advance(Millis span) {
    for (Millis end = world_.now + span; world_.now < end && world_.fault.empty();) {
      world_.Run(10);
      bool early = cut_at_ > 0 && world_.now < cut_at_ + 2000 && world_.now % 50 == 0;
      if (early) {
        AddCaller("GET", member_, true);
        AddCaller("GET", (member_ + 1) % kControllers, false);
      }
      for (size_t i = 0; i < kControllers; ++i) {
        const SimulatedCluster::Node& n = world_.node(i);
        if (n.up && n.raft && n.raft->is_leader()) led_at_[i] = world_.now;
      }
      if (world_.now % 50 == 0) apis_.Tick();
      for (Caller& c : callers_) {
        if (!c.done) Step(&c);
      }
    }
  }

  void Step(Caller* c) {
    Millis now = world_.now;
    if (c->ticket == 0) {
      if (now < c->wait_until) return;
      c->asked = now;
      c->ticket = apis_.Ask(c->at, c->request);
    }
    OperatorApis::Answer answer = apis_.answers[c->ticket];
    bool silent = answer.status == 0 && now - c->asked >= 1000;
    if (answer.status == 0 && !silent) return;
    c->ticket = 0;
    if (c->single_attempt) {
      c->done = true;
      if (answer.status == 307) CheckLocation(*c, answer.location);
      // It must not name a leader from which it has received nothing for an election time-out.
      if (answer.status == 307 && case_.how != How::kOut && now > cut_at_ + kStaleMs) {
        world_.fault = "the member named a leader from which it receives nothing";
      }
      bool definite = answer.status == 200 || answer.status == 404 || answer.status == 412;
      // An answer that a majority confirmed may have been in transit when the cut began.
      if (definite && c->began > cut_at_ + 100) {
        world_.fault = "the member answered " + std::to_string(answer.status) + " to " + c->kind;
      }
      RecordWorst(std::string("answer of the member itself: ") + (answer.status == 307 ? "307"
                                                                  : answer.status == 503
                                                                      ? "503"
                                                                      : "none or broken"),
                  now - c->began);
      return;
    }
    if (answer.status == 307 && c->followed < 2) {
      CheckLocation(*c, answer.location);
      ++c->followed;
      c->at = static_cast<size_t>(std::stoi(answer.location.substr(14))) - 1;
      return;
    }
    if (silent || answer.status < 0 || answer.status >= 500 || answer.status == 307) {
      if (answer.status == 307) RecordWorst("redirected a third time", 1);
      c->followed = 0;
      c->at = (c->at + 1) % kControllers;
      c->wait_until = now + c->pause;
      c->pause = std::min<Millis>(c->pause * 2, 1000);
      return;
    }
    c->done = true;
    if (cut_at_ > 0)
      RecordWorst(c->kind + (now < cut_at_ + 20000 ? "" : ", ended after the cut"), now - c->began);
    if (c->kind == "GET" && (answer.status != 200 || answer.revision < c->known)) {
      world_.fault = "a read gave " + std::to_string(answer.revision) + " after " +
                     std::to_string(c->known) + " was acknowledged";
    }
    if (c->kind == "PUT" && answer.status == 200) {
      if (acknowledged_ > c->known && c->revision != acknowledged_) {
        world_.fault = "two changes on one version were acknowledged";
      }
      acknowledged_ = std::max(acknowledged_, c->revision);
    }
    if (c->kind == "PUT" && answer.status == 412) {
      int64_t newest = 0;
      for (size_t i = 0; i < kControllers; ++i) {
        newest = std::max(newest, world_.node(i).state.configuration.revision());
      }
      if (newest <= c->known) world_.fault = "a change was refused though none is newer";
    }
  }

  // Checks that a redirect names a node that leads or led at most 800 ms ago.
  void CheckLocation(const Caller& c, const std::string& ip) {
    // The location is "http://10.0.0.N/elderkeel/...".
    size_t at = static_cast<size_t>(std::stoi(ip.substr(14))) - 1;
    bool unreachable = at == member_ && case_.how != How::kIn && cut_at_ > 0 &&
                       c.asked > cut_at_ + kStaleMs && c.at != member_;
    if (unreachable) world_.fault = "sent to " + ip + ", from which no member receives anything";
    if (world_.now - led_at_[at] > 800)
      world_.fault = "sent to " + ip + ", which is no longer the leader";
  }

  Case case_;
  SimulatedCluster world_;
  OperatorApis apis_;
  std::deque<Caller> callers_;
  size_t member_ = 0;
  Millis cut_at_ = 0;
  Millis started_[2] = {0, 0};
  int flip_ = 0;
  int64_t acknowledged_ = 0, next_revision_ = 0;
  std::map<size_t, Millis> led_at_;
};
std::map<std::string, Millis> CutRun::worst;

// Guards against a partitioned controller that still serves reads, confirms proxies, acknowledges
// changes, receives redirects, or unseats the working leader when the partition ends.
TEST(Cut, APartitionedMemberServesNothingAndDisturbsNobodyForTwentySeconds) {
  for (auto how : {CutRun::How::kBoth, CutRun::How::kOut, CutRun::How::kIn}) {
    for (bool leader : {false, true}) {
      for (auto restart :
           {CutRun::Restart::kNone, CutRun::Restart::kMember, CutRun::Restart::kOthers}) {
        for (uint64_t seed = 1; seed <= 2; ++seed) {
          CutRun run({how, leader, restart, seed});
          run.Run();
          if (HasFailure()) return;
        }
      }
    }
  }
  for (const auto& [what, ms] : CutRun::worst) {
    std::printf("%-50s %6lld ms at worst\n", what.c_str(), static_cast<long long>(ms));
  }
}

}  // namespace
}  // namespace elderkeel
