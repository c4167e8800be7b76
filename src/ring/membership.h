#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"

namespace elderkeel::ring {

enum class Program : uint8_t { kProxy, kController };
enum class State : uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* StateName(State state);

// What is known of one process of the fleet. Of two records the one with the higher incarnation
// counts, then the worse state. Only the process itself raises its incarnation: to refute a
// suspicion, or since it is another life at the same address.
struct Node {
  uint64_t id = 0;  // from address and program: the place on the ring
  std::string ip;
  uint16_t port = 0;
  Program program = Program::kProxy;
  std::string zone;
  uint64_t life = 0;
  uint32_t incarnation = 0;
  State state = State::kAlive;
  std::vector<uint64_t> accusers;

  base::Address address() const { return {ip, port}; }
  bool reachable() const { return state == State::kAlive || state == State::kSuspect; }
  template <class A>
  void serialize(A& a) {
    a(id, ip, port, program, zone, life, incarnation, state, accusers);
  }
};

struct Heartbeat {
  uint64_t id = 0;
  uint64_t life = 0;
  uint32_t incarnation = 0;
  uint64_t members = 0;  // digest of the sender's table
  template <class A>
  void serialize(A& a) {
    a(id, life, incarnation, members);
  }
};

struct Table {
  std::vector<Node> nodes;
  bool answer = false;  // the sender wants the receiver's table
  template <class A>
  void serialize(A& a) {
    a(nodes, answer);
  }
};

// Who is in the fleet, as a pure state machine. Each process sends heartbeats to the watchers that
// its place on the ring names: two of its own zone and one of another. A watcher that hears nothing
// accuses; a second accuser makes it a death.
class Membership {
 public:
  struct Options {
    Node self;
    base::Millis heartbeat = 250;
    int missed = 5;  // heartbeats missed before a watcher accuses
    uint64_t seed = 1;
  };
  struct Effects {
    std::vector<std::pair<base::Address, Heartbeat>> heartbeats;
    std::vector<std::pair<base::Address, Table>> tables;
    std::vector<Node> changed;  // nodes whose state changed, new ones included
  };

  Membership(Options options, std::vector<base::Address> seeds, base::Millis now);

  void Tick(base::Millis now);
  void OnHeartbeat(base::Millis now, const base::Address& from, const Heartbeat& beat);
  void OnTable(base::Millis now, const base::Address& from, const Table& table);
  // Tells the watchers that this process leaves in order.
  void Leave(base::Millis now);
  Effects Take();

  const Node& self() const { return self_; }
  const std::map<uint64_t, Node>& nodes() const { return nodes_; }
  // Others that are alive or only suspected.
  std::vector<const Node*> Others() const;
  size_t CountAlive(Program program) const;  // this process included
  std::vector<const Node*> WatchersOf(uint64_t id) const;
  uint64_t Digest() const;

 private:
  void Merge(base::Millis now, Node node);
  void Refute(uint32_t seen);
  void Spread(const Node& node);
  size_t Needed(uint64_t id) const;

  Options options_;
  Node self_;
  std::vector<base::Address> seeds_;
  base::Random random_;
  std::map<uint64_t, Node> nodes_;
  std::map<uint64_t, base::Millis> heard_;  // of those that this process watches
  std::map<base::Address, base::Millis> table_sent_;
  base::Millis now_ = 0;
  base::Millis beat_at_ = 0;
  base::Millis seed_at_ = 0;
  size_t next_seed_ = 0;
  Effects out_;
};

}  // namespace elderkeel::ring
