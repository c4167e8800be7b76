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

// Who is in the fleet, as a pure state machine after SWIM (Das, Gupta, Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002), with heartbeats in
// place of its random probes.
//
// Failure detection: each process sends heartbeats to its monitors, which its position on a hash
// ring names (NodeTable::MonitorsOf), seldomer the further away they are. A monitor that misses
// some suspects the process; a second suspecter, or a suspicion that stays unanswered, makes it
// dead. The process itself refutes a suspicion by a higher incarnation. Dissemination: changes are
// gossiped to a few nodes at once; tables are compared by digests that ride heartbeats, in parts,
// so that whatever gossip lost is repaired.
//
// Invariants: of two records of a node the one with the higher incarnation counts, then the worse
// state; only a node itself raises its incarnation; a process that slept suspects nobody by what it
// missed. Not thread-safe; after each call the caller sends the effects.
class Membership {
 public:
  struct Options {
    Node self;
    base::Millis heartbeat = 250;                // interval
    int missed = 5;                              // heartbeats, before a monitor suspects
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

  // `seeds`: nodes that are contacted while nobody else is known.
  Membership(Options options, std::vector<base::Address> seeds, base::Millis now);

  void Tick(base::Millis now);
  // When the next tick has something to do.
  base::Millis DueAt() const;
  void OnHeartbeat(base::Millis now, const base::Address& from, const Heartbeat& heartbeat);
  void OnMembershipUpdate(base::Millis now, const base::Address& from,
                          const MembershipUpdate& update);
  void OnPartDigests(base::Millis now, const base::Address& from, const PartDigests& digests);
  void OnSummary(base::Millis now, const base::Address& from, const MembershipSummary& summary);
  // Whether this process may be given clients.
  void SetReady(bool ready);
  // Tells the others that this process stops.
  void Leave(base::Millis now);
  Effects TakeEffects() { return std::exchange(effects_, Effects()); }

  const Node& self() const { return self_; }
  const std::map<uint64_t, Node>& nodes() const { return table_.nodes(); }
  const Node* Find(const base::Address& address) const { return table_.Find(address); }
  std::vector<const Node*> MonitorsOf(uint64_t id) const { return table_.MonitorsOf(id); }
  // Empty for a zone that the settings don't name.
  const std::string& RegionOf(const std::string& zone) const { return table_.RegionOf(zone); }
  // Whether this is the one controller that speaks for its zone: the first with a disk, if any has.
  bool IsZoneRepresentative() const;
  // Others that are alive or only suspected.
  std::vector<const Node*> ReachableOthers() const;
  // The nearest other node with a disk: one that is alive, or with `suspects` also one that may be.
  std::optional<base::Address> NearestDurable(bool suspects) const;
  // Alive or only suspected, this process included.
  size_t CountAlive(Program program) const { return table_.CountReachable(program); }
  // The dead too: a partition does not tell from a death, and both sides of one go on.
  size_t CountNotLeft(Program program) const { return table_.CountNotLeft(program); }
  uint64_t Digest() const { return table_.Digest(); }

 private:
  // failure_detector.cc
  void SendHeartbeats(base::Millis now);
  void UpdateMonitors(base::Millis now);
  int HeartbeatDivisor(const Node& node, const Node& monitor, size_t rank) const;
  void ProbeDeadNode(const Heartbeat& heartbeat);
  void DetectFailures(base::Millis now);
  void SuspectSilent(base::Millis now);
  void ReviewSuspicions(base::Millis now);
  bool IsSuspectedBySelf(const Node& node) const;
  size_t SuspectersNeeded(uint64_t id) const;
  void Refute(uint32_t seen_incarnation);

  // membership.cc: records, gossip, seeds.
  void StoreSelf();
  void Change(const Node& node);
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

  // One of how many heartbeats goes to each monitor, by its id and in order of distance.
  std::vector<std::pair<uint64_t, int>> monitors_;
  std::map<uint64_t, int> monitored_;  // the same of the nodes that this process monitors
  std::map<uint64_t, base::Millis> last_heartbeat_at_;  // of those
  std::map<uint64_t, base::Millis> suspected_at_;       // by this process
  base::Millis next_heartbeat_at_ = 0;
  uint64_t heartbeat_count_ = 0;

  std::set<uint64_t> gossip_queue_;  // nodes whose records changed and are to be sent
  SentTimes part_digests_sent_at_, summary_sent_at_;
  base::Millis started_at_ = 0;
  base::Millis next_seed_contact_at_ = 0;
  size_t next_seed_ = 0;
  Effects effects_;
};

}  // namespace elderkeel::membership
