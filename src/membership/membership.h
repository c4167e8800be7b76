#pragma once

#include <array>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"
#include "wire/frame.h"

namespace elderkeel::membership {

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
  uint64_t boot_id = 0;
  uint32_t incarnation = 0;
  State state = State::kAlive;
  std::vector<uint64_t> suspecters;
  uint16_t front = 0;    // where a proxy takes clients
  bool ready = false;    // a proxy that may be given clients
  bool durable = false;  // a controller with a disk

  base::Address address() const { return {ip, port}; }
  bool reachable() const { return state == State::kAlive || state == State::kSuspect; }
  // Of all that may differ between two views of one life.
  uint32_t Mark() const;
  template <class A>
  void serialize(A& a) {
    a(id, wire::Short(ip), port, program, wire::Short(zone), boot_id, incarnation, state,
      suspecters, front, ready, durable);
  }
};

struct Heartbeat {
  uint64_t id = 0;
  uint64_t boot_id = 0;
  uint32_t incarnation = 0;
  uint64_t members = 0;  // digest of the sender's update
  template <class A>
  void serialize(A& a) {
    a(id, boot_id, incarnation, members);
  }
};

// Some records, and the ids of those that the sender would like to have.
struct MembershipUpdate {
  std::vector<Node> nodes;
  std::vector<uint64_t> wanted_ids;
  template <class A>
  void serialize(A& a) {
    a(nodes, wanted_ids);
  }
};

// A update is compared in parts: the ring is cut into so many arcs of the same length.
constexpr size_t kParts = 32;
inline size_t PartOf(uint64_t id) { return id >> 59; }

// A digest of each part of the sender's update. Two tables that differ in a few records are brought
// together for little more than those records, however many nodes there are.
struct PartDigests {
  std::array<uint64_t, kParts> parts{};
  template <class A>
  void serialize(A& a) {
    for (uint64_t& part : parts) a(part);
  }
};

// What the sender knows of some parts, by marks alone: a dozen bytes a node. The receiver answers
// with what differs.
struct MembershipSummary {
  uint32_t parts = UINT32_MAX;  // bit i: all of part i is named
  std::vector<std::pair<uint64_t, uint32_t>> marks;
  bool Has(uint64_t id) const { return (parts >> PartOf(id) & 1) != 0; }
  template <class A>
  void save(A& a) const {
    a(parts, static_cast<uint32_t>(marks.size()));
    for (const auto& [id, mark] : marks) a(id, mark);
  }
  template <class A>
  void load(A& a) {
    uint32_t size = 0;
    a(parts, size);
    for (uint32_t i = 0; i < size; ++i) {
      uint64_t id = 0;
      uint32_t mark = 0;
      a(id, mark);
      marks.push_back({id, mark});
    }
  }
};

// Who is in the fleet, as a pure state machine. Each process sends heartbeats to the watchers that
// its place on the ring names: two of its own zone, one of another zone of its region, one of
// another region; seldomer, the further away. A watcher that hears nothing accuses; a second
// accuser, or an accusation that stays unanswered, makes it a death.
class Membership {
 public:
  struct Options {
    Node self;
    base::Millis heartbeat = 250;
    int missed = 5;                              // heartbeats missed before a watcher accuses
    std::map<std::string, std::string> regions;  // of zones; those not named form one of their own
    uint64_t seed = 1;
  };
  struct Effects {
    std::vector<std::pair<base::Address, Heartbeat>> heartbeats;
    std::vector<std::pair<base::Address, MembershipUpdate>> updates;
    std::vector<std::pair<base::Address, PartDigests>> part_digests;
    std::vector<std::pair<base::Address, MembershipSummary>> summaries;
    std::vector<Node> changed;  // nodes whose state changed, new ones included
    bool empty() const {
      return heartbeats.empty() && updates.empty() && part_digests.empty() && summaries.empty() &&
             changed.empty();
    }
  };

  Membership(Options options, std::vector<base::Address> seeds, base::Millis now);

  void Tick(base::Millis now);
  // When the next tick has something to do.
  base::Millis DueAt() const;
  void OnHeartbeat(base::Millis now, const base::Address& from, const Heartbeat& heartbeat);
  void OnMembershipUpdate(base::Millis now, const base::Address& from,
                          const MembershipUpdate& update);
  void OnPartDigests(base::Millis now, const base::Address& from, const PartDigests& sums);
  void OnSummary(base::Millis now, const base::Address& from, const MembershipSummary& summary);
  // This process may be given clients, or may not.
  void SetReady(bool ready);
  // Tells the watchers that this process leaves in order.
  void Leave(base::Millis now);
  Effects TakeEffects();

  const Node& self() const { return self_; }
  const std::map<uint64_t, Node>& nodes() const { return nodes_; }
  const Node* Find(const base::Address& address) const;
  // Whether this is the one controller that speaks for its zone: the first with a disk, if any has.
  bool IsZoneRepresentative() const;
  // Empty for a zone that the settings don't name.
  const std::string& RegionOf(const std::string& zone) const;
  // Others that are alive or only suspected.
  std::vector<const Node*> ReachableOthers() const;
  // The nearest other node with a disk: one that is alive, or with `suspects` also one that may be.
  std::optional<base::Address> NearestDurable(bool suspects) const;
  size_t CountAlive(Program program) const;  // this process included
  // Those held for lost too: a cut does not tell from a death, and both sides of one go on.
  size_t CountNotLeft(Program program) const;
  std::vector<const Node*> MonitorsOf(uint64_t id) const;
  uint64_t Digest() const;

 private:
  // How far one node is from another; heartbeats go less often to those further away.
  enum class Distance : uint8_t { kZone, kRegion, kFar };
  Distance Between(const Node& a, const Node& b) const;
  // Of how many heartbeats of `node` the watcher gets one, that being its place among the watchers.
  int HeartbeatDivisor(const Node& node, const Node& monitor, size_t place) const;

  // The nodes of one zone that are reachable, by their place on the ring.
  using ZoneRing = std::map<uint64_t, const Node*>;
  void Store(const Node& node);
  void Merge(base::Millis now, Node node);
  void Refute(uint32_t seen);
  void QueueGossip(const Node& node);
  void SendGossip();
  void SendHeartbeats(base::Millis now);
  void DetectFailures(base::Millis now);
  void ContactSeeds(base::Millis now);
  // Whether one was sent there a moment ago; if not, it is taken to be sent now.
  static bool RecentlySent(base::Millis now, const base::Address& to,
                           std::map<base::Address, base::Millis>* sent_at);
  void SendPartDigests(base::Millis now, const base::Address& to);
  // Of the parts whose bits are set.
  void SendSummary(base::Millis now, const base::Address& to, uint32_t parts);
  size_t SuspectersNeeded(uint64_t id) const;

  Options options_;
  Node self_;
  std::vector<base::Address> seeds_;
  base::Random random_;
  std::map<uint64_t, Node> nodes_;
  std::map<std::string, ZoneRing> zone_rings_;          // by zone
  std::map<uint64_t, base::Millis> last_heartbeat_at_;  // of those that this process watches
  std::map<uint64_t, base::Millis> suspected_at_;       // by this process, and since when
  std::map<base::Address, base::Millis> part_digests_sent_at_, summary_sent_at_;
  std::map<uint64_t, bool> gossip_queue_;           // what changed and is still to be told
  PartDigests part_digests_;                        // of nodes_, kept up to date with each change
  bool monitors_outdated_ = true;                   // who watches whom must be worked out anew
  std::vector<std::pair<uint64_t, int>> monitors_;  // of this process, and one of how many beats
  std::map<uint64_t, int> monitored_;               // by this process, the same
  base::Millis started_at_ = 0;
  base::Millis now_ = 0;
  base::Millis next_heartbeat_at_ = 0;
  base::Millis next_seed_contact_at_ = 0;
  uint64_t heartbeat_count_ = 0;
  size_t next_seed_ = 0;
  Effects out_;
};

}  // namespace elderkeel::membership
