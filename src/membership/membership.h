#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "base/settings.h"
#include "membership/messages.h"
#include "membership/node.h"
#include "membership/node_table.h"

namespace elderkeel::membership {

// Group membership and failure detection: the state of every process in the cluster, as this
// process knows it. A pure state machine after SWIM (Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002), with heartbeats in
// place of SWIM's random probes.
//
// Failure detection: each process sends heartbeats to its monitors, which are chosen by its
// position on a hash ring (NodeTable::MonitorsOf), less often to those in other zones and regions.
// A monitor that misses several heartbeats suspects the process. The process is declared dead when
// a second monitor suspects it too, or when it does not refute the suspicion in time; it refutes a
// suspicion by raising its incarnation.
//
// Dissemination: changes are gossiped to a few random nodes at once. Each heartbeat carries a
// digest of the sender's table; where two tables differ they are compared part by part, which
// repairs any gossip that was lost.
//
// Invariants: of two records of a node, the one with the higher incarnation takes precedence, then
// the one with the worse state. Only a node itself raises its incarnation. A process that was
// suspended suspects nobody because of heartbeats that it missed meanwhile.
//
// Not thread-safe. After each call the caller takes the effects (TakeEffects()) and sends them.
class Membership {
 public:
  struct Options {
    Node self;
    base::Millis heartbeat_interval = 250;
    int missed_heartbeats = 5;  // intervals without a heartbeat until a monitor suspects the node
    // Region by zone. All zones that are not listed form one region of their own.
    std::map<std::string, std::string> regions;
    uint64_t seed = 1;
  };
  // Messages to send, with their destinations, and changes to report.
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

  // `seeds`: nodes to contact until this process holds their records, and also while no other node
  // or no other controller is reachable.
  Membership(Options options, std::vector<base::Address> seeds, base::Millis now);

  // Sends due heartbeats and gossip, contacts seeds and detects failures.
  void Tick(base::Millis now);
  // The time at which Tick() next has work to do.
  base::Millis DueAt() const;
  void OnHeartbeat(base::Millis now, const base::Address& from, const Heartbeat& heartbeat);
  void OnMembershipUpdate(base::Millis now, const base::Address& from,
                          const MembershipUpdate& update);
  void OnPartDigests(base::Millis now, const base::Address& from, const PartDigests& digests);
  void OnSummary(base::Millis now, const base::Address& from, const MembershipSummary& summary);
  // Announces whether clients may be sent to this process.
  void SetReady(bool ready);
  // Announces that this process is stopping.
  void Leave(base::Millis now);
  Effects TakeEffects() { return std::exchange(effects_, Effects()); }

  const Node& self() const { return self_; }
  const std::map<uint64_t, Node>& nodes() const { return table_.nodes(); }
  const Node* Find(const base::Address& address) const { return table_.Find(address); }
  std::vector<const Node*> MonitorsOf(uint64_t id) const { return table_.MonitorsOf(id); }
  // Empty for a zone that the settings don't list.
  const std::string& RegionOf(const std::string& zone) const { return table_.RegionOf(zone); }
  // Whether this process is the representative of its zone: of the zone's reachable controllers,
  // the one with the lowest id, where those with a disk precede those without.
  bool IsZoneRepresentative() const;
  // All other nodes that are alive or suspected.
  std::vector<const Node*> ReachableOthers() const;
  // The nearest other node with a disk that is alive, or with `include_suspected` also one that is
  // suspected if none is alive. Nodes of this process's zone are nearer than all others.
  std::optional<base::Address> NearestDurable(bool include_suspected) const;
  // The number of nodes that are alive or suspected, this process included.
  size_t CountReachable(Program program) const { return table_.CountReachable(program); }
  // The number of nodes that have not left, dead ones included: a node that was declared dead may
  // be on the other side of a partition and still run.
  size_t CountNotLeft(Program program) const { return table_.CountNotLeft(program); }
  uint64_t Digest() const { return table_.Digest(); }

 private:
  // failure_detector.cc
  void SendHeartbeats(base::Millis now);
  void UpdateMonitors(base::Millis now);
  int HeartbeatDivisor(const Node& node, const Node& monitor, size_t rank) const;
  void ProbeDeadNode(const Heartbeat& heartbeat);
  void DetectFailures(base::Millis now);
  void SuspectUnresponsiveNodes(base::Millis now);
  void ResolveSuspicions(base::Millis now);
  bool IsSuspectedBySelf(const Node& node) const;
  // How many monitors must suspect a node before it is dead: two, or one if it has only one.
  size_t SuspectersNeeded(uint64_t id) const;
  void Refute(uint32_t seen_incarnation);

  // membership.cc: records, gossip, seeds
  void StoreSelf();
  void StoreAndAnnounce(const Node& node);
  void Merge(base::Millis now, const Node& node);
  void MergeSelf(const Node& node);
  void MergeSuspicion(const Node& node, const Node& record);
  void QueueGossip(const Node& node);
  void SendGossip();
  void SendUpdate(const base::Address& to, MembershipUpdate update);
  void ContactSeeds(base::Millis now);

  // table_sync.cc
  using SentTimes = std::map<base::Address, base::Millis>;
  static bool RecentlySent(base::Millis now, const base::Address& to, SentTimes* sent_at);
  void SendPartDigests(base::Millis now, const base::Address& to);
  void SendSummary(base::Millis now, const base::Address& to, uint32_t parts);

  Options options_;
  Node self_;
  std::vector<base::Address> seeds_;
  base::Random random_;
  NodeTable table_;
  base::Millis now_ = 0;

  // The monitors of this process, the nearest first, as pairs of id and heartbeat divisor: a
  // divisor of n means that every n-th heartbeat is sent.
  std::vector<std::pair<uint64_t, int>> monitors_;
  std::map<uint64_t, int> monitored_;  // divisors of the nodes that this process monitors, by id
  std::map<uint64_t, base::Millis> last_heartbeat_at_;  // of the nodes in monitored_
  std::map<uint64_t, base::Millis> suspected_at_;       // when this process suspected each node
  base::Millis next_heartbeat_at_ = 0;
  uint64_t heartbeat_count_ = 0;

  std::set<uint64_t> gossip_queue_;  // nodes whose changed records have yet to be gossiped
  SentTimes part_digests_sent_at_, summary_sent_at_;
  base::Millis started_at_ = 0;
  base::Millis next_seed_contact_at_ = 0;
  size_t next_seed_ = 0;
  Effects effects_;
};

}  // namespace elderkeel::membership
