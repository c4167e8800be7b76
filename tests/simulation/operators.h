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

// Operators who call the controllers of a World as callers do: any node, two redirects, another
// node after a failure, a 5xx or a second of silence, the same order again until it has a clear
// answer. In front of each machine stands the real operators' interface. Calls and answers travel
// on connections that are slow, break and close; every call is recorded for linearizability.
class Operators : public World::Follower {
 public:
  struct Options {
    size_t under_way = 8;
    int lost_percent = 8;    // of answers
    int late_percent = 8;    // of calls, by up to three seconds
    int again_percent = 40;  // of changes that came to an end are sent again later
    Millis later = 20000;    // by so much at most
  };

  Operators(World* world, Options options, uint64_t seed)
      : world_(world), options_(options), random_(seed) {
    doors_.resize(world->size());
    world->Follow(this);
  }

  const std::vector<Operation>& history() const { return history_; }
  // No new orders but those that are sent again; `Read` asks for everything once more.
  void Stop() { stopped_ = true; }
  bool Quiet() const { return calls_.empty(); }
  // Answers 200 that any node has given; a caller may not have heard them.
  size_t acknowledged() const { return acknowledged_; }
  void ReadAll() {
    Begin(Operation::Kind::kGet, "");
    for (const char* zone : kZones) Begin(Operation::Kind::kReadZone, zone);
    for (const char* service : kServices) Begin(Operation::Kind::kReadOrder, service);
  }
  std::vector<Operation> Of(const std::string& object) const {
    std::vector<Operation> all;
    for (const Operation& o : history_) {
      if (o.object == object) all.push_back(o);
    }
    return all;
  }
  static constexpr const char* kZones[] = {"a", "b", "c"};
  static constexpr const char* kServices[] = {"t", "u"};

  // --- World::Follower ---
  void Started(size_t i) override {
    if (!world_->node(i).controller) return;
    doors_[i] = std::make_unique<Door>();
    Door& door = *doors_[i];
    door.log = std::make_unique<NodeLog>(world_, i);
    controller::ControlState& state = world_->node(i).state;
    door.api = std::make_unique<configuration::OperatorApi>(
        door.log.get(), &state.configuration, &state.drained_zones, &state.rollouts,
        [this, i](uint64_t ticket, const http::Message& answer) { Answered(i, ticket, answer); });
  }
  void Crashed(size_t i) override {
    if (!doors_[i]) return;
    // Connections break.
    for (auto& [ticket, attempt] : attempts_) {
      if (attempt.node == i) At(Latency(), Event::kBroken, ticket);
    }
    doors_[i].reset();
  }
  void Applied(size_t i, consensus::Index index) override {
    if (doors_[i]) doors_[i]->api->OnApplied(world_->now, index);
  }
  void Pumped(size_t i, const consensus::RaftNode::Effects& e) override {
    if (!doors_[i]) return;
    if (e.role_changed) doors_[i]->api->OnRoleChanged();
    for (uint64_t token : e.failed_reads) ReadDone(i, token, false);
    for (uint64_t token : e.confirmed_reads) ReadDone(i, token, true);
  }
  void Stepped() override {
    for (size_t i = 0; i < doors_.size(); ++i) {
      if (!doors_[i] || world_->node(i).frozen || world_->now % 50 != 0) continue;
      doors_[i]->api->Tick(world_->now);
      world_->Pump(i);
    }
    while (!events_.empty() && events_.begin()->first.first <= world_->now) {
      Event event = events_.begin()->second;
      events_.erase(events_.begin());
      Happen(event);
    }
    if (!stopped_ && world_->now >= think_at_) {
      think_at_ = world_->now + 10 + static_cast<Millis>(random_.Below(250));
      Think();
    }
  }

 private:
  // What the interface has of the simulated log.
  class NodeLog : public configuration::ReplicatedLog {
   public:
    NodeLog(World* world, size_t i) : world_(world), i_(i) {}
    bool HasCommittedInTerm() const override { return node().raft->HasCommittedInTerm(); }
    bool is_leader() const override { return node().raft->is_leader(); }
    uint64_t term() const override { return node().raft->term(); }
    std::optional<std::string> leader_control() const override {
      auto leader = node().raft->leader();
      if (!leader) return std::nullopt;
      return leader->ip + ":8080";
    }
    bool ConfirmRead(uint64_t token) override {
      return node().raft->ConfirmRead(world_->now, token);
    }
    std::optional<uint64_t> Propose(const configuration::Change& change) override {
      return Put(controller::MakeCommand(controller::Command::Kind::kConfiguration, change));
    }
    std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) override {
      return Put(controller::MakeCommand(controller::Command::Kind::kZoneDrain, order));
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
      return Put(controller::MakeCommand(controller::Command::Kind::kRollout, step));
    }
    bool HasZone(const std::string&) const override { return true; }
    bool HasService(const std::string&) const override { return true; }

   private:
    World::Node& node() const { return world_->node(i_); }
    std::optional<uint64_t> Put(std::string command) {
      return node().raft->Propose(world_->now, std::move(command));
    }
    World* world_;
    size_t i_;
  };
  struct Door {
    std::unique_ptr<NodeLog> log;
    std::unique_ptr<configuration::OperatorApi> api;
  };
  // An order or a read, with all its tries.
  struct Call {
    Operation operation;
    Millis deadline = 0;
    Millis pause = 60;
    int hops = 0;
    uint64_t ticket = 0;  // of the try under way
  };
  // One try, on a connection of its own.
  struct Attempt {
    uint64_t call = 0;
    size_t node = 0;
    Operation::Kind kind = Operation::Kind::kGet;
    std::string zone;  // to be read
    http::Message request;
    bool waited = false;  // in the kernel, while the process slept
    bool delivered = false;
    bool closed = false;  // the end of the connection has come to the node
  };
  struct Event {
    enum Kind { kArrives, kNotified, kBroken, kSilent, kClosed, kTry, kAgain } kind;
    uint64_t id = 0;  // a ticket; a call; an index of `ended_`
    http::Message answer;
  };
  struct ZoneRead {
    size_t node;
    uint64_t ticket;
    std::string zone;
  };

  Millis Latency() { return 1 + static_cast<Millis>(random_.Below(15)); }
  void At(Millis in, Event::Kind kind, uint64_t id, http::Message answer = {}) {
    events_[{world_->now + in, ++event_order_}] = {kind, id, std::move(answer)};
  }
  static bool Reads(Operation::Kind kind) {
    return kind == Operation::Kind::kGet || kind == Operation::Kind::kReadZone ||
           kind == Operation::Kind::kReadOrder;
  }

  // --- what operators want ---
  void Think() {
    if (calls_.size() >= options_.under_way) return;
    uint64_t what = random_.Below(10);
    if (what < 4) {
      int64_t on =
          random_.Below(5) == 0 ? random_.Below(static_cast<uint64_t>(known_) + 1) : known_;
      int64_t revision = on + 1 + static_cast<int64_t>(random_.Below(3));
      Change(on, revision);
      // Another operator, on the same version, under the same number.
      if (random_.Below(3) == 0) Change(on, revision);
    } else if (what < 6) {
      Begin(Operation::Kind::kGet, "");
    } else if (what < 8) {
      std::string zone = kZones[random_.Below(3)];
      if (random_.Below(3) == 0) return Begin(Operation::Kind::kReadZone, zone);
      if (!busy_.insert(zone).second) return;
      bool drain = wanted_[zone] = !wanted_[zone];
      Begin(drain ? Operation::Kind::kEvacuate : Operation::Kind::kTakeBack, zone);
    } else {
      std::string service = kServices[random_.Below(2)];
      if (random_.Below(2) == 0) return Begin(Operation::Kind::kReadOrder, service);
      if (!busy_.insert(service).second) return;
      Begin(Operation::Kind::kOrder, service);
    }
  }
  void Change(int64_t on, int64_t revision) {
    Operation o;
    o.order = ++drained_zones_;
    o.if_match = on;
    o.revision = revision;
    std::string number = std::to_string(revision), name = std::to_string(o.order);
    if (on > 0 && random_.Below(2)) {
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
    o.order = ++drained_zones_;
    if (kind == Operation::Kind::kOrder) o.text = "v" + std::to_string(o.order);
    Begin(std::move(o), Reads(kind) ? 4000 : 8000);
  }
  void Begin(Operation o, Millis patience) {
    uint64_t id = ++next_call_;
    Call& call = calls_[id];
    call.operation = std::move(o);
    call.operation.begin = ++clock_;
    // Some give up soon: what they sent may still take effect, now or later.
    if (!stopped_ && random_.Below(3) == 0) patience = static_cast<Millis>(random_.Below(2000));
    call.deadline = world_->now + patience;
    Try(id, AnyNode());
  }

  // --- the caller's side of a try ---
  size_t AnyNode() {
    std::vector<size_t> doors;
    for (size_t i = 0; i < doors_.size(); ++i) {
      if (world_->node(i).controller) doors.push_back(i);
    }
    return doors[random_.Below(doors.size())];
  }
  void Try(uint64_t id, size_t node) {
    Call& call = calls_[id];
    call.ticket = ++next_ticket_;
    // A read that was tried in vain had no effect: only the try that is answered counts.
    if (Reads(call.operation.kind)) call.operation.begin = ++clock_;
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
    At(delay, Event::kArrives, call.ticket);
    At(1000, Event::kSilent, call.ticket);
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
      case Operation::Kind::kEvacuate:
      case Operation::Kind::kTakeBack:
        request.method = o.kind == Operation::Kind::kEvacuate ? "POST" : "DELETE";
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
  // The try has no clear answer: another node, after a pause that grows.
  void Fail(uint64_t id) {
    Call& call = calls_[id];
    call.ticket = 0;
    call.hops = 0;
    if (world_->now >= call.deadline) return End(id);
    At(call.pause, Event::kTry, id);
    call.pause = std::min<Millis>(call.pause * 2, 1000);
  }
  void Notified(uint64_t ticket, const http::Message& answer) {
    auto at = attempts_.find(ticket);
    if (at == attempts_.end()) return;
    Attempt attempt = at->second;
    attempts_.erase(at);
    auto found = calls_.find(attempt.call);
    if (found == calls_.end() || found->second.ticket != ticket) return;
    Call& call = found->second;
    if (answer.status == 307 && ++call.hops <= 2) {
      const std::string* location = answer.Find("Location");
      for (size_t i = 0; i < doors_.size(); ++i) {
        if (location->rfind("http://" + world_->node(i).address.ip + ":", 0) == 0) {
          return Try(attempt.call, i);
        }
      }
    }
    if (answer.status == 307 || answer.status >= 500) return Fail(attempt.call);
    Operation& o = call.operation;
    o.status = answer.status;
    // What was refused had no effect, whichever try of it arrived: the verdict fell during this
    // one.
    if (o.kind == Operation::Kind::kGet && o.status == 200) {
      o.text = answer.body;
      known_ = configuration::RevisionOf(o.text);
    } else if (o.kind == Operation::Kind::kReadOrder && o.status == 200) {
      size_t from = answer.body.rfind(":\"") + 2;
      o.text = answer.body.substr(from, answer.body.rfind('"') - from) +
               (answer.body.find("in_progress") != std::string::npos ? " in_progress" : " ended");
    } else if (o.kind == Operation::Kind::kReadZone) {
      o.text = answer.body;
    } else if (!o.object.empty()) {
      // An order of a zone or a roll-out.
    } else if (o.status == 200) {
      known_ = std::max(known_, o.revision);
    }
    End(attempt.call);
  }
  void End(uint64_t id) {
    Operation o = calls_[id].operation;
    calls_.erase(id);
    o.end = o.clear() ? ++clock_ : linearizability::kNever;
    if (!Reads(o.kind)) busy_.erase(o.object);
    if (Reads(o.kind) && !o.clear()) return;  // tells nothing
    history_.push_back(o);
    bool change = o.kind == Operation::Kind::kPut || o.kind == Operation::Kind::kPatch;
    if (change && random_.Below(100) < static_cast<uint64_t>(options_.again_percent)) {
      At(static_cast<Millis>(random_.Below(static_cast<uint64_t>(options_.later))), Event::kAgain,
         history_.size() - 1);
    }
  }

  // --- the node's side of a try ---
  void Happen(const Event& event) {
    if (event.kind == Event::kTry) {
      if (calls_.count(event.id)) Try(event.id, AnyNode());
      return;
    }
    if (event.kind == Event::kAgain) {
      Operation o = history_[event.id];
      o.status = 0;
      return Begin(std::move(o), 15000);
    }
    auto at = attempts_.find(event.id);
    if (at == attempts_.end()) return;
    Attempt& attempt = at->second;
    switch (event.kind) {
      case Event::kArrives:
        return Arrive(event.id);
      case Event::kNotified:
        return Notified(event.id, event.answer);
      case Event::kBroken: {
        uint64_t call = attempt.call;
        attempts_.erase(at);
        if (Waits(event.id, call)) Fail(call);
        return;
      }
      case Event::kSilent: {
        uint64_t call = attempt.call;
        At(Latency(), Event::kClosed, event.id);
        if (Waits(event.id, call)) Fail(call);
        return;
      }
      case Event::kClosed:
        return Close(event.id);
      default:
        return;
    }
  }
  bool Waits(uint64_t ticket, uint64_t call) const {
    auto at = calls_.find(call);
    return at != calls_.end() && at->second.ticket == ticket;
  }
  void Arrive(uint64_t ticket) {
    Attempt& attempt = attempts_[ticket];
    size_t i = attempt.node;
    if (!doors_[i]) return At(Latency(), Event::kBroken, ticket);
    if (world_->node(i).frozen) {
      attempt.waited = true;
      return At(10, Event::kArrives, ticket);
    }
    if (attempt.waited && attempt.closed) {  // as HttpServer does after a sleep
      attempts_.erase(ticket);
      return;
    }
    attempt.delivered = true;
    // The end of a connection comes behind what was sent on it.
    if (attempt.closed) At(10, Event::kClosed, ticket);
    if (attempt.kind == Operation::Kind::kReadZone) return ReadZone(i, ticket, attempt.zone);
    doors_[i]->api->OnRequest(world_->now, ticket, attempt.request);
    world_->Pump(i);
  }
  void Close(uint64_t ticket) {
    Attempt& attempt = attempts_[ticket];
    size_t i = attempt.node;
    attempt.closed = true;
    if (!attempt.delivered) return;
    if (doors_[i] && world_->node(i).frozen) return At(10, Event::kClosed, ticket);
    if (doors_[i]) doors_[i]->api->OnCallerGone(ticket);
    attempts_.erase(ticket);
  }
  void Answered(size_t i, uint64_t ticket, const http::Message& answer) {
    if (!attempts_.count(ticket) || attempts_[ticket].node != i) return;
    acknowledged_ += answer.status == 200 && !Reads(attempts_[ticket].kind);
    if (random_.Below(100) < static_cast<uint64_t>(options_.lost_percent)) return;
    At(Latency(), Event::kNotified, ticket, answer);
  }
  // Zones have no read on the wire: a confirmed one at the log stands for it.
  void ReadZone(size_t i, uint64_t ticket, const std::string& zone) {
    World::Node& n = world_->node(i);
    uint64_t token = ++next_token_;
    if (!n.raft->is_leader() || !n.raft->ConfirmRead(world_->now, token)) {
      http::Message answer;
      answer.status = 503;
      if (auto leader = n.raft->leader(); leader && !n.raft->is_leader()) {
        answer.status = 307;
        answer.headers.push_back({"Location", "http://" + leader->ip + ":8080/"});
      }
      return Answered(i, ticket, answer);
    }
    zone_reads_[token] = {i, ticket, zone};
    world_->Pump(i);
  }
  void ReadDone(size_t i, uint64_t token, bool confirmed) {
    if (token >= configuration::OperatorApi::kFirstToken) {
      doors_[i]->api->OnReadFinished(world_->now, token, confirmed);
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
    Answered(i, ticket, answer);
  }

  World* world_;
  Options options_;
  base::Random random_;
  std::vector<std::unique_ptr<Door>> doors_;  // by node; none while it is down
  std::vector<Operation> history_;
  std::map<uint64_t, Call> calls_;
  std::map<uint64_t, Attempt> attempts_;  // by ticket
  std::map<uint64_t, ZoneRead> zone_reads_;
  std::map<std::pair<Millis, uint64_t>, Event> events_;
  std::set<std::string> busy_;          // zones and services with an order under way
  std::map<std::string, bool> wanted_;  // of zones
  int64_t known_ = 0;                   // the revision that operators build on
  int drained_zones_ = 0;
  uint64_t clock_ = 0, event_order_ = 0, next_call_ = 0, next_ticket_ = 0, next_token_ = 0;
  size_t acknowledged_ = 0;
  Millis think_at_ = 0;
  bool stopped_ = false;
};

}  // namespace elderkeel::simulation
