#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "configuration/operator_api.h"
#include "configuration/validation.h"
#include "simulation/linearizability.h"
#include "simulation/simulation.h"

namespace elderkeel::simulation {

using linearizability::Operation;

// Simulated operators that call the controllers of a SimulatedCluster concurrently. A caller starts
// at any controller and follows two redirects. After a failure, a 5xx or a second without an answer
// it repeats the same order at a random controller, until a definite answer or its deadline. Each
// controller runs the real configuration::OperatorApi. Connections are slow, break and close at
// random; every call is recorded for the check of linearizability. Registers itself as the
// SimulatedCluster's listener, so it must outlive all runs.
class Operators : public SimulatedCluster::Listener {
 public:
  struct Options {
    size_t max_in_flight = 8;         // most calls at the same time
    int lost_percent = 8;             // of answers that are lost
    int late_percent = 8;             // of requests that are delayed by up to three seconds
    int resend_percent = 40;          // of finished changes that are sent again later
    Millis max_resend_delay = 20000;  // longest time until a change is sent again
  };

  Operators(SimulatedCluster* world, Options options, uint64_t seed)
      : world_(world), options_(options), random_(seed) {
    apis_.resize(world->size());
    world->SetListener(this);
  }

  // All finished calls, without the reads that got no definite answer.
  const std::vector<Operation>& history() const { return history_; }
  // Starts no new calls from here on, except changes that are sent again and the reads of
  // ReadAll(); their callers don't give up early.
  void Stop() { stopped_ = true; }
  // Whether no call is in flight.
  bool Idle() const { return calls_.empty(); }
  // The number of answers with 200 that nodes have given to writes, including those that were lost.
  size_t acknowledged() const { return acknowledged_; }
  // Starts a read of the configuration, of each zone and of each service's roll-out.
  void ReadAll() {
    Begin(Operation::Kind::kGet, "");
    for (const char* zone : kZones) Begin(Operation::Kind::kReadZone, zone);
    for (const char* service : kServices) Begin(Operation::Kind::kReadOrder, service);
  }
  // The finished calls of one object; see Operation::object.
  std::vector<Operation> HistoryOf(const std::string& object) const {
    std::vector<Operation> all;
    for (const Operation& o : history_) {
      if (o.object == object) all.push_back(o);
    }
    return all;
  }
  static constexpr const char* kZones[] = {"a", "b", "c"};
  static constexpr const char* kServices[] = {"t", "u"};

  // --- SimulatedCluster::Listener ---
  void OnStarted(size_t i) override {
    if (!world_->node(i).controller) return;
    apis_[i] = std::make_unique<ApiInstance>();
    ApiInstance& instance = *apis_[i];
    instance.log = std::make_unique<NodeLog>(world_, i);
    controller::ControlState& state = world_->node(i).state;
    instance.api = std::make_unique<configuration::OperatorApi>(
        instance.log.get(), &state.configuration, &state.drained_zones, &state.rollouts,
        [this, i](uint64_t ticket, const http::Message& answer) { SendAnswer(i, ticket, answer); });
  }
  void OnCrashed(size_t i) override {
    if (!apis_[i]) return;
    // All connections to the node break.
    for (auto& [ticket, attempt] : attempts_) {
      if (attempt.node == i) Schedule(Latency(), Event::kConnectionBroken, ticket);
    }
    apis_[i].reset();
  }
  void OnApplied(size_t i, consensus::Index index) override {
    if (apis_[i]) apis_[i]->api->OnApplied(world_->now, index);
  }
  void OnEffects(size_t i, const consensus::RaftNode::Effects& e) override {
    if (!apis_[i]) return;
    if (e.role_changed) apis_[i]->api->OnRoleChanged();
    for (uint64_t token : e.failed_reads) OnReadFinished(i, token, false);
    for (uint64_t token : e.confirmed_reads) OnReadFinished(i, token, true);
  }
  void OnStep() override {
    for (size_t i = 0; i < apis_.size(); ++i) {
      if (!apis_[i] || world_->node(i).frozen || world_->now % 50 != 0) continue;
      apis_[i]->api->Tick(world_->now);
      world_->Pump(i);
    }
    while (!events_.empty() && events_.begin()->first.first <= world_->now) {
      Event event = events_.begin()->second;
      events_.erase(events_.begin());
      HandleEvent(event);
    }
    if (!stopped_ && world_->now >= next_call_at_) {
      next_call_at_ = world_->now + 10 + static_cast<Millis>(random_.Below(250));
      StartRandomCall();
    }
  }

 private:
  // The simulated node's Raft log, as its OperatorApi uses it.
  class NodeLog : public configuration::ReplicatedLog {
   public:
    NodeLog(SimulatedCluster* world, size_t i) : world_(world), i_(i) {}
    bool HasCommittedInTerm() const override { return node().raft->HasCommittedInTerm(); }
    bool is_leader() const override { return node().raft->is_leader(); }
    uint64_t term() const override { return node().raft->term(); }
    std::optional<std::string> leader_control_address() const override {
      auto leader = node().raft->leader();
      if (!leader) return std::nullopt;
      return leader->ip + ":8080";
    }
    bool ConfirmRead(uint64_t token) override {
      return node().raft->ConfirmRead(world_->now, token);
    }
    std::optional<uint64_t> Propose(const configuration::Change& change) override {
      return ProposeCommand(
          controller::MakeCommand(controller::Command::Kind::kConfiguration, change));
    }
    std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) override {
      return ProposeCommand(controller::MakeCommand(controller::Command::Kind::kZoneDrain, order));
    }
    std::optional<uint64_t> Propose(const rollout::RolloutOrder& order) override {
      rollout::Step step;
      step.kind = rollout::Step::Kind::kOrder;
      step.order = order;
      std::vector<rollout::Candidate> observers;
      for (const auto& [id, n] : node().members->nodes()) {
        if (n.durable && n.state == membership::State::kAlive) observers.push_back({id, n.zone});
      }
      step.observers = rollout::ChooseObservers(order.service, observers);
      return ProposeCommand(controller::MakeCommand(controller::Command::Kind::kRollout, step));
    }
    bool HasZone(const std::string&) const override { return true; }
    bool HasService(const std::string&) const override { return true; }

   private:
    SimulatedCluster::Node& node() const { return world_->node(i_); }
    std::optional<uint64_t> ProposeCommand(std::string command) {
      return node().raft->Propose(world_->now, std::move(command));
    }
    SimulatedCluster* world_;
    size_t i_;
  };
  // The operator API of one running controller.
  struct ApiInstance {
    std::unique_ptr<NodeLog> log;
    std::unique_ptr<configuration::OperatorApi> api;
  };
  // An order or a read in progress, over all its attempts.
  struct Call {
    Operation operation;
    Millis deadline = 0;
    Millis backoff = 60;  // before the next attempt, in ms; doubles up to 1000
    int redirects = 0;    // redirects followed since the last failure
    uint64_t ticket = 0;  // of the current attempt, 0 between attempts
  };
  // One attempt of a call, on a connection of its own.
  struct Attempt {
    uint64_t call = 0;
    size_t node = 0;
    Operation::Kind kind = Operation::Kind::kGet;
    std::string zone;  // that a kReadZone reads
    http::Message request;
    bool waited = false;     // arrived while the process was frozen
    bool delivered = false;  // the node has read the request
    bool closed = false;     // the close of the connection has reached the node
  };
  struct Event {
    enum Kind {
      kRequestArrives,
      kAnswerArrives,
      kConnectionBroken,
      kTimeout,
      kConnectionClosed,
      kNextAttempt,
      kResend
    } kind;
    uint64_t id = 0;  // a ticket; for kNextAttempt a call; for kResend an index of `history_`
    http::Message answer;
  };
  // A read of a zone that waits for its confirmation by the log.
  struct ZoneRead {
    size_t node;
    uint64_t ticket;
    std::string zone;
  };

  // A random one-way latency of the network.
  Millis Latency() { return 1 + static_cast<Millis>(random_.Below(15)); }
  void Schedule(Millis in, Event::Kind kind, uint64_t id, http::Message answer = {}) {
    events_[{world_->now + in, ++event_order_}] = {kind, id, std::move(answer)};
  }
  static bool IsRead(Operation::Kind kind) {
    return kind == Operation::Kind::kGet || kind == Operation::Kind::kReadZone ||
           kind == Operation::Kind::kReadOrder;
  }

  // --- new calls ---
  // Starts a random call, if fewer than Options::max_in_flight are in flight.
  void StartRandomCall() {
    if (calls_.size() >= options_.max_in_flight) return;
    uint64_t what = random_.Below(10);
    if (what < 4) {
      int64_t base = random_.Below(5) == 0
                         ? random_.Below(static_cast<uint64_t>(known_revision_) + 1)
                         : known_revision_;
      int64_t revision = base + 1 + static_cast<int64_t>(random_.Below(3));
      Change(base, revision);
      // Another operator changes the same revision at the same time, with the same new revision.
      if (random_.Below(3) == 0) Change(base, revision);
    } else if (what < 6) {
      Begin(Operation::Kind::kGet, "");
    } else if (what < 8) {
      std::string zone = kZones[random_.Below(3)];
      if (random_.Below(3) == 0) return Begin(Operation::Kind::kReadZone, zone);
      if (!busy_objects_.insert(zone).second) return;
      bool drain = drain_wanted_[zone] = !drain_wanted_[zone];
      Begin(drain ? Operation::Kind::kDrainZone : Operation::Kind::kUndrainZone, zone);
    } else {
      std::string service = kServices[random_.Below(2)];
      if (random_.Below(2) == 0) return Begin(Operation::Kind::kReadOrder, service);
      if (!busy_objects_.insert(service).second) return;
      Begin(Operation::Kind::kOrder, service);
    }
  }
  void Change(int64_t base, int64_t revision) {
    Operation o;
    o.order = ++last_order_;
    o.if_match = base;
    o.revision = revision;
    std::string number = std::to_string(revision), name = std::to_string(o.order);
    if (base > 0 && random_.Below(2)) {
      o.kind = Operation::Kind::kPatch;
      o.text = R"({"revision":)" + number + R"(,"upsert":{"service-list":[{"label":"s)" + name +
               R"("}]}})";
    } else {
      o.kind = Operation::Kind::kPut;
      o.text = R"({"revision":)" + number + R"(,"by":")" + name +
               R"(","route-list":[],"service-list":[]})";
    }
    Begin(std::move(o), 15000);
  }
  void Begin(Operation::Kind kind, const std::string& object) {
    Operation o;
    o.kind = kind;
    o.object = object;
    o.order = ++last_order_;
    if (kind == Operation::Kind::kOrder) o.text = "v" + std::to_string(o.order);
    Begin(std::move(o), IsRead(kind) ? 4000 : 8000);
  }
  void Begin(Operation o, Millis timeout) {
    uint64_t id = ++last_call_;
    Call& call = calls_[id];
    call.operation = std::move(o);
    call.operation.begin = ++logical_time_;
    // Some callers give up early; their request may still take effect, now or later.
    if (!stopped_ && random_.Below(3) == 0) timeout = static_cast<Millis>(random_.Below(2000));
    call.deadline = world_->now + timeout;
    StartAttempt(id, AnyNode());
  }

  // --- the caller's side of an attempt ---
  size_t AnyNode() {
    std::vector<size_t> controllers;
    for (size_t i = 0; i < apis_.size(); ++i) {
      if (world_->node(i).controller) controllers.push_back(i);
    }
    return controllers[random_.Below(controllers.size())];
  }
  void StartAttempt(uint64_t id, size_t node) {
    Call& call = calls_[id];
    call.ticket = ++last_ticket_;
    // A failed attempt of a read had no effect, so the call begins with its last attempt.
    if (IsRead(call.operation.kind)) call.operation.begin = ++logical_time_;
    Attempt& attempt = attempts_[call.ticket];
    attempt.call = id;
    attempt.node = node;
    attempt.kind = call.operation.kind;
    attempt.zone = call.operation.object;
    attempt.request = RequestOf(call.operation);
    Millis delay = Latency();
    if (random_.Below(100) < static_cast<uint64_t>(options_.late_percent)) {
      delay += static_cast<Millis>(random_.Below(3000));
    }
    Schedule(delay, Event::kRequestArrives, call.ticket);
    Schedule(1000, Event::kTimeout, call.ticket);
  }
  http::Message RequestOf(const Operation& o) const {
    http::Message request;
    request.target = "/elderkeel/config";
    switch (o.kind) {
      case Operation::Kind::kPut:
      case Operation::Kind::kPatch:
        request.method = o.kind == Operation::Kind::kPut ? "PUT" : "PATCH";
        request.headers.push_back({"If-Match", std::to_string(o.if_match)});
        request.body = o.text;
        break;
      case Operation::Kind::kDrainZone:
      case Operation::Kind::kUndrainZone:
        request.method = o.kind == Operation::Kind::kDrainZone ? "POST" : "DELETE";
        request.target = "/elderkeel/evacuation/" + o.object;
        break;
      case Operation::Kind::kOrder:
        request.method = "POST";
        request.target = "/elderkeel/rollouts";
        request.body =
            R"({"target":")" + o.object + R"(","target-revision":")" + o.text + R"(","over-s":9})";
        break;
      case Operation::Kind::kReadOrder:
        request.method = "GET";
        request.target = "/elderkeel/rollouts/" + o.object;
        break;
      default:
        request.method = "GET";
    }
    return request;
  }
  // The attempt has no definite answer: schedules the next one, at a random node, with exponential
  // back-off. Ends the call after its deadline.
  void RetryLater(uint64_t id) {
    Call& call = calls_[id];
    call.ticket = 0;
    call.redirects = 0;
    if (world_->now >= call.deadline) return Finish(id);
    Schedule(call.backoff, Event::kNextAttempt, id);
    call.backoff = std::min<Millis>(call.backoff * 2, 1000);
  }
  void OnAnswer(uint64_t ticket, const http::Message& answer) {
    auto at = attempts_.find(ticket);
    if (at == attempts_.end()) return;
    Attempt attempt = at->second;
    attempts_.erase(at);
    auto found = calls_.find(attempt.call);
    if (found == calls_.end() || found->second.ticket != ticket) return;
    Call& call = found->second;
    if (answer.status == 307 && ++call.redirects <= 2) {
      const std::string* location = answer.Find("Location");
      for (size_t i = 0; i < apis_.size(); ++i) {
        if (location->rfind("http://" + world_->node(i).address.ip + ":", 0) == 0) {
          return StartAttempt(attempt.call, i);
        }
      }
    }
    if (answer.status == 307 || answer.status >= 500) return RetryLater(attempt.call);
    Operation& o = call.operation;
    o.status = answer.status;
    // A definite refusal means that no attempt of the call took effect; the call's interval
    // includes the time at which the node decided that.
    if (o.kind == Operation::Kind::kGet && o.status == 200) {
      o.text = answer.body;
      known_revision_ = configuration::RevisionOf(o.text);
    } else if (o.kind == Operation::Kind::kReadOrder && o.status == 200) {
      size_t from = answer.body.rfind(":\"") + 2;
      o.text = answer.body.substr(from, answer.body.rfind('"') - from) +
               (answer.body.find("in_progress") != std::string::npos ? " in_progress" : " ended");
    } else if (o.kind == Operation::Kind::kReadZone) {
      o.text = answer.body;
    } else if (!o.object.empty()) {
      // The answer to an order of a zone or a roll-out carries nothing to record.
    } else if (o.status == 200) {
      known_revision_ = std::max(known_revision_, o.revision);
    }
    Finish(attempt.call);
  }
  void Finish(uint64_t id) {
    Operation o = calls_[id].operation;
    calls_.erase(id);
    o.end = o.has_answer() ? ++logical_time_ : linearizability::kNever;
    if (!IsRead(o.kind)) busy_objects_.erase(o.object);
    if (IsRead(o.kind) && !o.has_answer()) return;  // gives no evidence
    history_.push_back(o);
    bool change = o.kind == Operation::Kind::kPut || o.kind == Operation::Kind::kPatch;
    if (change && random_.Below(100) < static_cast<uint64_t>(options_.resend_percent)) {
      Schedule(static_cast<Millis>(random_.Below(static_cast<uint64_t>(options_.max_resend_delay))),
               Event::kResend, history_.size() - 1);
    }
  }

  // --- events, and the node's side of an attempt ---
  void HandleEvent(const Event& event) {
    if (event.kind == Event::kNextAttempt) {
      if (calls_.count(event.id)) StartAttempt(event.id, AnyNode());
      return;
    }
    if (event.kind == Event::kResend) {
      Operation o = history_[event.id];
      o.status = 0;
      return Begin(std::move(o), 15000);
    }
    auto at = attempts_.find(event.id);
    if (at == attempts_.end()) return;
    Attempt& attempt = at->second;
    switch (event.kind) {
      case Event::kRequestArrives:
        return OnRequestArrived(event.id);
      case Event::kAnswerArrives:
        return OnAnswer(event.id, event.answer);
      case Event::kConnectionBroken: {
        uint64_t call = attempt.call;
        attempts_.erase(at);
        if (IsCurrentAttempt(event.id, call)) RetryLater(call);
        return;
      }
      case Event::kTimeout: {
        uint64_t call = attempt.call;
        Schedule(Latency(), Event::kConnectionClosed, event.id);
        if (IsCurrentAttempt(event.id, call)) RetryLater(call);
        return;
      }
      case Event::kConnectionClosed:
        return OnConnectionClosed(event.id);
      default:
        return;
    }
  }
  // Whether the call still waits for the attempt with this ticket.
  bool IsCurrentAttempt(uint64_t ticket, uint64_t call) const {
    auto at = calls_.find(call);
    return at != calls_.end() && at->second.ticket == ticket;
  }
  void OnRequestArrived(uint64_t ticket) {
    Attempt& attempt = attempts_[ticket];
    size_t i = attempt.node;
    if (!apis_[i]) return Schedule(Latency(), Event::kConnectionBroken, ticket);
    if (world_->node(i).frozen) {
      attempt.waited = true;
      return Schedule(10, Event::kRequestArrives, ticket);
    }
    // HttpServer drops a request whose connection was closed while the process was frozen.
    if (attempt.waited && attempt.closed) {
      attempts_.erase(ticket);
      return;
    }
    attempt.delivered = true;
    // The close of a connection arrives after the data that was sent on it.
    if (attempt.closed) Schedule(10, Event::kConnectionClosed, ticket);
    if (attempt.kind == Operation::Kind::kReadZone) return ReadZone(i, ticket, attempt.zone);
    apis_[i]->api->OnRequest(world_->now, ticket, attempt.request);
    world_->Pump(i);
  }
  void OnConnectionClosed(uint64_t ticket) {
    Attempt& attempt = attempts_[ticket];
    size_t i = attempt.node;
    attempt.closed = true;
    if (!attempt.delivered) return;
    if (apis_[i] && world_->node(i).frozen) return Schedule(10, Event::kConnectionClosed, ticket);
    if (apis_[i]) apis_[i]->api->OnCallerDisconnected(ticket);
    attempts_.erase(ticket);
  }
  // The node has answered: delivers the answer to the caller, or loses it.
  void SendAnswer(size_t i, uint64_t ticket, const http::Message& answer) {
    if (!attempts_.count(ticket) || attempts_[ticket].node != i) return;
    acknowledged_ += answer.status == 200 && !IsRead(attempts_[ticket].kind);
    if (random_.Below(100) < static_cast<uint64_t>(options_.lost_percent)) return;
    Schedule(Latency(), Event::kAnswerArrives, ticket, answer);
  }
  // The operator API has no read of a zone's drain; a confirmed read at the Raft node replaces it.
  void ReadZone(size_t i, uint64_t ticket, const std::string& zone) {
    SimulatedCluster::Node& n = world_->node(i);
    uint64_t token = ++last_token_;
    if (!n.raft->is_leader() || !n.raft->ConfirmRead(world_->now, token)) {
      http::Message answer;
      answer.status = 503;
      if (auto leader = n.raft->leader(); leader && !n.raft->is_leader()) {
        answer.status = 307;
        answer.headers.push_back({"Location", "http://" + leader->ip + ":8080/"});
      }
      return SendAnswer(i, ticket, answer);
    }
    zone_reads_[token] = {i, ticket, zone};
    world_->Pump(i);
  }
  void OnReadFinished(size_t i, uint64_t token, bool confirmed) {
    if (token >= configuration::OperatorApi::kFirstToken) {
      apis_[i]->api->OnReadFinished(world_->now, token, confirmed);
      return;
    }
    auto at = zone_reads_.find(token);
    if (at == zone_reads_.end() || at->second.node != i) return;
    http::Message answer;
    answer.status = confirmed ? 200 : 503;
    answer.body =
        world_->node(i).state.drained_zones.IsDrained(at->second.zone) ? "evacuated" : "not";
    uint64_t ticket = at->second.ticket;
    zone_reads_.erase(at);
    SendAnswer(i, ticket, answer);
  }

  SimulatedCluster* world_;
  Options options_;
  base::Random random_;
  std::vector<std::unique_ptr<ApiInstance>>
      apis_;  // by node; null for proxies and stopped controllers
  std::vector<Operation> history_;
  std::map<uint64_t, Call> calls_;
  std::map<uint64_t, Attempt> attempts_;  // by ticket
  std::map<uint64_t, ZoneRead> zone_reads_;
  std::map<std::pair<Millis, uint64_t>, Event> events_;
  std::set<std::string> busy_objects_;        // zones and services with an order in flight
  std::map<std::string, bool> drain_wanted_;  // by zone, whether the last order was to drain it
  int64_t known_revision_ = 0;                // the revision on which most new changes are based
  int last_order_ = 0;
  uint64_t logical_time_ = 0;  // logical time of begins and ends in history_
  uint64_t event_order_ = 0, last_call_ = 0, last_ticket_ = 0, last_token_ = 0;
  size_t acknowledged_ = 0;
  Millis next_call_at_ = 0;
  bool stopped_ = false;
};

}  // namespace elderkeel::simulation
