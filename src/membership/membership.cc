#include "membership/membership.h"

#include <algorithm>

namespace elderkeel::membership {
namespace {
constexpr size_t kGossipFanout = 3;        // nodes to which changes are gossiped in one tick
constexpr uint64_t kOtherZoneDivisor = 4;  // on average one in this many is in another zone
// Intervals between contacts of seeds: while no other node is reachable; during the startup period,
// while a seed is not known yet; and otherwise.
constexpr base::Millis kSeedIntervalAloneMs = 150;
constexpr base::Millis kSeedIntervalStartupMs = 300;
constexpr base::Millis kSeedStartupPeriodMs = 5000;
constexpr base::Millis kSeedIntervalMs = 5000;
}  // namespace

Membership::Membership(Options options, std::vector<base::Address> seeds, base::Millis now)
    : options_(std::move(options)),
      self_(options_.self),
      seeds_(std::move(seeds)),
      random_(options_.seed),
      table_(options_.regions),
      now_(now),
      started_at_(now) {
  self_.incarnation = 1;
  next_seed_ = self_.id;  // so that nodes don't all contact the same seed first
  table_.Store(self_);
}

void Membership::Tick(base::Millis now) {
  base::Millis gap = now - now_;
  now_ = now;
  if (gap > options_.heartbeat_interval * 2) {
    // This process was suspended. Heartbeats that it missed meanwhile must not make it suspect
    // others, so the timeouts start again.
    for (auto& [id, last] : last_heartbeat_at_) last = now;
    for (auto& [id, since] : suspected_at_) since = now;
  }
  if (now >= next_heartbeat_at_) {
    SendHeartbeats(now);
    DetectFailures(now);
  }
  ContactSeeds(now);
  SendGossip();
}

base::Millis Membership::DueAt() const {
  if (!gossip_queue_.empty()) return now_;
  return seeds_.empty() ? next_heartbeat_at_ : std::min(next_heartbeat_at_, next_seed_contact_at_);
}

bool Membership::IsZoneRepresentative() const {
  const Node* first = nullptr;
  for (const auto& [id, node] : table_.nodes()) {
    bool eligible = node.program == Program::kController && node.zone == self_.zone;
    if (!eligible || !node.reachable()) continue;
    if (!first || (node.durable && !first->durable)) first = &node;
  }
  return first && first->id == self_.id;
}

std::vector<const Node*> Membership::ReachableOthers() const {
  std::vector<const Node*> others;
  for (const auto& [id, node] : table_.nodes()) {
    if (id != self_.id && node.reachable()) others.push_back(&node);
  }
  return others;
}

std::optional<base::Address> Membership::NearestDurable(bool include_suspected) const {
  auto distance = [this](const Node& node) {
    return (node.state == State::kAlive ? 0 : 2) + (node.zone == self_.zone ? 0 : 1);
  };
  const Node* nearest = nullptr;
  for (const Node* node : ReachableOthers()) {
    if (!node->durable || (!include_suspected && node->state != State::kAlive)) continue;
    if (!nearest || distance(*node) < distance(*nearest)) nearest = node;
  }
  if (!nearest) return std::nullopt;
  return nearest->address();
}

void Membership::StoreSelf() {
  table_.Store(self_);
  QueueGossip(self_);
}

void Membership::SetReady(bool ready) {
  if (self_.ready == ready) return;
  self_.ready = ready;
  ++self_.incarnation;
  StoreSelf();
}

void Membership::Leave(base::Millis now) {
  now_ = now;
  self_.state = State::kLeft;
  ++self_.incarnation;
  self_.ready = false;
  StoreSelf();
  SendGossip();
  for (const Node* monitor : table_.MonitorsOf(self_.id)) {
    SendUpdate(monitor->address(), MembershipUpdate{{self_}, {}});
  }
}

// Stores a record, reports it to the caller and queues it for gossip.
void Membership::StoreAndAnnounce(const Node& node) {
  table_.Store(node);
  effects_.changed.push_back(node);
  QueueGossip(node);
}

void Membership::SendUpdate(const base::Address& to, MembershipUpdate update) {
  effects_.updates.emplace_back(to, std::move(update));
}

// Queues a record for the gossip at the end of the tick. The record of a suspected or dead node is
// also sent at once to that node, which can refute it, and to its monitors, which can confirm
// the suspicion.
void Membership::QueueGossip(const Node& node) {
  gossip_queue_.insert(node.id);
  bool urgent = node.state == State::kSuspect || node.state == State::kDead;
  if (node.id == self_.id || !urgent) return;
  SendUpdate(node.address(), MembershipUpdate{{node}, {}});
  for (const Node* monitor : table_.MonitorsOf(node.id)) {
    if (monitor->id != self_.id) SendUpdate(monitor->address(), MembershipUpdate{{node}, {}});
  }
}

void Membership::SendGossip() {
  if (gossip_queue_.empty()) return;
  MembershipUpdate update;
  for (uint64_t id : gossip_queue_) {
    if (const Node* node = table_.Find(id)) update.nodes.push_back(*node);
  }
  gossip_queue_.clear();
  std::vector<const Node*> same_zone, other_zones;
  for (const Node* node : ReachableOthers()) {
    (node->zone == self_.zone ? same_zone : other_zones).push_back(node);
  }
  for (size_t i = 0; i < kGossipFanout && !(same_zone.empty() && other_zones.empty()); ++i) {
    bool pick_other_zone =
        same_zone.empty() || (!other_zones.empty() && random_.Below(kOtherZoneDivisor) == 0);
    std::vector<const Node*>& from = pick_other_zone ? other_zones : same_zone;
    size_t pick = random_.Below(from.size());
    SendUpdate(from[pick]->address(), update);
    from.erase(from.begin() + static_cast<long>(pick));
  }
}

void Membership::ContactSeeds(base::Millis now) {
  if (now < next_seed_contact_at_ || seeds_.empty()) return;
  bool alone = ReachableOthers().empty();
  // Seeds whose records this process does not hold. They may belong to a cluster that is separate
  // from this one and has to be joined with it.
  std::vector<base::Address> unknown;
  for (const base::Address& seed : seeds_) {
    if (!Find(seed)) unknown.push_back(seed);
  }
  bool starting = !unknown.empty() && now - started_at_ < kSeedStartupPeriodMs;
  next_seed_contact_at_ = now + (alone      ? kSeedIntervalAloneMs
                                 : starting ? kSeedIntervalStartupMs
                                            : kSeedIntervalMs);
  // Seeds are contacted one at a time: each answers with a summary of its whole table, which is
  // large in a large cluster.
  size_t turn = next_seed_++;
  size_t own_controllers = self_.program == Program::kController ? 1 : 0;
  bool no_controller = CountReachable(Program::kController) == own_controllers;
  if (!alone && !unknown.empty()) {
    SendUpdate(unknown[turn % unknown.size()], MembershipUpdate{{self_}, {}});
  } else if (alone || no_controller) {
    SendUpdate(seeds_[turn % seeds_.size()], MembershipUpdate{{self_}, {}});
  }
}

void Membership::OnMembershipUpdate(base::Millis now, const base::Address& from,
                                    const MembershipUpdate& update) {
  now_ = std::max(now_, now);
  bool sender_unknown = Find(from) == nullptr;
  for (const Node& node : update.nodes) Merge(now, node);
  MembershipUpdate reply;
  for (uint64_t id : update.wanted_ids) {
    if (const Node* node = table_.Find(id)) reply.nodes.push_back(*node);
  }
  // An update with a single record and no requests may come from a process that has just started.
  // That process may know no other node, and may not know that this one still holds a record of an
  // earlier start of it: for example as left, with a higher incarnation than it starts with now.
  // The summary makes it request that record and raise its own incarnation.
  bool is_introduction = update.nodes.size() == 1 && update.wanted_ids.empty();
  for (const Node& node : update.nodes) {
    bool is_sender = node.address() == from;
    if (is_sender && (sender_unknown || is_introduction)) SendSummary(now, from, UINT32_MAX);
  }
  if (!reply.nodes.empty()) SendUpdate(from, std::move(reply));
}

void Membership::Merge(base::Millis now, const Node& node) {
  if (node.id == self_.id) {
    MergeSelf(node);
    return;
  }
  const Node* record = table_.Find(node.id);
  if (!record) {
    StoreAndAnnounce(node);
    return;
  }
  if (node.incarnation < record->incarnation) return;
  if (node.incarnation == record->incarnation) {
    if (node.boot_id == record->boot_id) {
      MergeSuspicion(node, *record);
      return;
    }
    // Two starts of a process at one address. The record with the higher boot id is kept until the
    // running process raises its incarnation.
    if (node.boot_id < record->boot_id) return;
  }
  bool changed =
      record->state != node.state || record->boot_id != node.boot_id || record->ready != node.ready;
  auto last = last_heartbeat_at_.find(node.id);
  if (last != last_heartbeat_at_.end()) last->second = now;
  if (changed) {
    StoreAndAnnounce(node);
  } else {
    table_.Store(node);
  }
}

// Merges a record of this process that another node sent, and refutes it if it is wrong.
void Membership::MergeSelf(const Node& node) {
  bool other_boot = node.boot_id != self_.boot_id;
  bool worse = node.state != State::kAlive && self_.state == State::kAlive;
  if (node.incarnation >= self_.incarnation && (other_boot || worse)) Refute(node.incarnation);
}

// Merges two records with the same boot id and incarnation: the result has the worse of the two
// states and the suspecters of both. A suspected node becomes dead if these suspecters suffice.
void Membership::MergeSuspicion(const Node& node, const Node& record) {
  Node merged = record;
  merged.suspecters.clear();
  std::set_union(node.suspecters.begin(), node.suspecters.end(), record.suspecters.begin(),
                 record.suspecters.end(), std::back_inserter(merged.suspecters));
  merged.state = std::max(node.state, record.state);
  bool confirmed = merged.suspecters.size() >= SuspectersNeeded(node.id);
  if (merged.state == State::kSuspect && confirmed) merged.state = State::kDead;
  if (merged.state == record.state && merged.suspecters == record.suspecters) return;
  if (merged.state == record.state) {
    table_.Store(merged);
  } else {
    StoreAndAnnounce(merged);
  }
}

}  // namespace elderkeel::membership
