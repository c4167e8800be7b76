#include "membership/membership.h"

#include <algorithm>

namespace elderkeel::membership {
namespace {
constexpr size_t kMonitorsInZone = 2;
constexpr size_t kGossipFanout = 3;          // peers that are told of a change at once
constexpr uint64_t kOtherZoneShare = 4;      // one in so many of them is of another zone
constexpr base::Millis kCompareGapMs = 300;  // between two summaries to one peer
constexpr int kHeartbeatsToRegion =
    4;  // of so many heartbeats one goes to a watcher in another zone,
constexpr int kHeartbeatsToFarRegion = 8;  // and one to a watcher in another region
constexpr int kProbeDeadEvery = 4;         // of so many beats one also goes to a node held for lost
constexpr base::Millis kSeedAloneMs = 150;    // while alone
constexpr base::Millis kSeedStartupMs = 300;  // while a seed is not known yet, for some time
constexpr base::Millis kSeedStartupPeriodMs = 5000;
constexpr base::Millis kSeedMs = 5000;  // once others are known
}  // namespace

const char* StateName(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kDead:
      return "dead";
    case State::kLeft:
      return "left";
  }
  return "unknown";
}

Membership::Membership(Options options, std::vector<base::Address> seeds, base::Millis now)
    : options_(std::move(options)),
      self_(options_.self),
      seeds_(std::move(seeds)),
      random_(options_.seed),
      started_at_(now),
      now_(now) {
  self_.incarnation = 1;
  next_seed_ = self_.id;  // not all begin with the same one
  Store(self_);
}

uint32_t Node::Mark() const {
  uint64_t view = static_cast<uint64_t>(state) + 4 * suspecters.size() + (ready ? 1024 : 0);
  return static_cast<uint32_t>(
      base::Random(id ^ boot_id ^ (uint64_t{incarnation} << 32) ^ view * 0x9e3779b97f4a7c15ull)
          .Next());
}

Membership::Effects Membership::TakeEffects() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

const Node* Membership::Find(const base::Address& address) const {
  auto at = nodes_.find(base::Hash(address.ToString()));
  return at == nodes_.end() ? nullptr : &at->second;
}

bool Membership::IsZoneRepresentative() const {
  const Node* first = nullptr;
  for (const auto& [id, node] : nodes_) {
    if (node.program != Program::kController || node.zone != self_.zone || !node.reachable()) {
      continue;
    }
    if (!first || (node.durable && !first->durable)) first = &node;
  }
  return first && first->id == self_.id;
}

const std::string& Membership::RegionOf(const std::string& zone) const {
  auto at = options_.regions.find(zone);
  static const std::string unnamed;
  return at == options_.regions.end() ? unnamed : at->second;
}

Membership::Distance Membership::Between(const Node& a, const Node& b) const {
  if (a.zone == b.zone) return Distance::kZone;
  return RegionOf(a.zone) == RegionOf(b.zone) ? Distance::kRegion : Distance::kFar;
}

int Membership::HeartbeatDivisor(const Node& node, const Node& monitor, size_t place) const {
  if (place < kMonitorsInZone) return 1;  // the nearest, wherever they are
  // Controllers are few, and the loss of a whole region shows in them first.
  if (node.program == Program::kController) return 1;
  return Between(node, monitor) == Distance::kFar ? kHeartbeatsToFarRegion : kHeartbeatsToRegion;
}

namespace {
uint64_t SumOf(const Node& node) {
  return base::Random(node.id ^ (uint64_t{node.Mark()} << 16)).Next();
}
}  // namespace

void Membership::Store(const Node& node) {
  Node& have = nodes_[node.id];
  bool listed = have.id != 0 && have.reachable();
  if (listed != node.reachable() || have.zone != node.zone) {
    if (listed) zone_rings_[have.zone].erase(have.id);
    if (node.reachable()) zone_rings_[node.zone][node.id] = &have;
    monitors_outdated_ = true;
  }
  monitors_outdated_ |= have.id == 0;
  uint64_t& sum = part_digests_.parts[PartOf(node.id)];
  if (have.id != 0) sum ^= SumOf(have);
  have = node;
  sum ^= SumOf(have);
}

std::vector<const Node*> Membership::ReachableOthers() const {
  std::vector<const Node*> others;
  for (const auto& [id, node] : nodes_) {
    if (id != self_.id && node.reachable()) others.push_back(&node);
  }
  return others;
}

std::optional<base::Address> Membership::NearestDurable(bool suspects) const {
  const Node* best = nullptr;
  auto distance = [this](const Node& node) {
    return (node.state == State::kAlive ? 0 : 2) + (node.zone == self_.zone ? 0 : 1);
  };
  for (const Node* node : ReachableOthers()) {
    if (!node->durable || (!suspects && node->state != State::kAlive)) continue;
    if (!best || distance(*node) < distance(*best)) best = node;
  }
  if (!best) return std::nullopt;
  return best->address();
}

size_t Membership::CountAlive(Program program) const {
  size_t n = 0;
  for (const auto& [id, node] : nodes_) n += node.program == program && node.reachable();
  return n;
}

size_t Membership::CountNotLeft(Program program) const {
  size_t n = 0;
  for (const auto& [id, node] : nodes_) n += node.program == program && node.state != State::kLeft;
  return n;
}

uint64_t Membership::Digest() const {
  uint64_t digest = 0;
  for (uint64_t part : part_digests_.parts) digest ^= part;
  return digest;
}

// The next ones clockwise from a node's place: two of its zone, one of another zone of its region
// and one of another region, as far as there are any; of the rest as many as are missing.
std::vector<const Node*> Membership::MonitorsOf(uint64_t id) const {
  std::vector<const Node*> monitors, spare;
  auto of = nodes_.find(id);
  if (of == nodes_.end()) return monitors;
  // More than this from one zone are never chosen; so the cost hardly grows with the fleet.
  std::vector<const Node*> next;
  for (const auto& [zone, membership] : zone_rings_) {
    auto at = membership.upper_bound(id);
    for (size_t i = 0; i < std::min(membership.size(), kMonitorsInZone + 2); ++i, ++at) {
      if (at == membership.end()) at = membership.begin();
      if (at->first != id) next.push_back(at->second);
    }
  }
  std::sort(next.begin(), next.end(), [id](const Node* a, const Node* b) {
    return a->id - id < b->id - id;  // clockwise, over the end of the ring
  });
  size_t count[3] = {0, 0, 0};
  for (const Node* node : next) {
    size_t distance = static_cast<size_t>(Between(of->second, *node));
    if (count[distance] < (distance == 0 ? kMonitorsInZone : 1)) {
      ++count[distance];
      monitors.push_back(node);
    } else {
      spare.push_back(node);
    }
  }
  for (const Node* node : spare) {
    if (monitors.size() > kMonitorsInZone) break;
    monitors.push_back(node);
  }
  std::stable_sort(monitors.begin(), monitors.end(), [&](const Node* a, const Node* b) {
    return Between(of->second, *a) < Between(of->second, *b);
  });
  return monitors;
}

size_t Membership::SuspectersNeeded(uint64_t id) const {
  return std::min<size_t>(2, std::max<size_t>(1, MonitorsOf(id).size()));
}

void Membership::SetReady(bool ready) {
  if (self_.ready == ready) return;
  self_.ready = ready;
  ++self_.incarnation;
  Store(self_);
  QueueGossip(self_);
}

void Membership::Refute(uint32_t seen) {
  self_.incarnation = std::max(self_.incarnation, seen) + 1;
  self_.state = State::kAlive;
  self_.suspecters.clear();
  Store(self_);
  QueueGossip(self_);
}

// One accusing word goes to the other watchers, who can confirm or refute it, and to the accused,
// at once; to anybody else together with all that changes within a tick.
void Membership::QueueGossip(const Node& node) {
  gossip_queue_[node.id] = true;
  if (node.id == self_.id || node.state == State::kLeft) return;
  if (node.state == State::kAlive) return;
  out_.updates.push_back({node.address(), MembershipUpdate{{node}, {}}});
  for (const Node* monitor : MonitorsOf(node.id)) {
    if (monitor->id != self_.id) {
      out_.updates.push_back({monitor->address(), MembershipUpdate{{node}, {}}});
    }
  }
}

void Membership::SendGossip() {
  if (gossip_queue_.empty()) return;
  MembershipUpdate update;
  for (const auto& [id, unused] : gossip_queue_) {
    auto at = nodes_.find(id);
    if (at != nodes_.end()) update.nodes.push_back(at->second);
  }
  gossip_queue_.clear();
  std::vector<const Node*> near, far;
  for (const Node* node : ReachableOthers())
    (node->zone == self_.zone ? near : far).push_back(node);
  for (size_t i = 0; i < kGossipFanout && !(near.empty() && far.empty()); ++i) {
    auto& from = near.empty() || (!far.empty() && random_.Below(kOtherZoneShare) == 0) ? far : near;
    size_t pick = random_.Below(from.size());
    out_.updates.push_back({from[pick]->address(), update});
    from.erase(from.begin() + static_cast<long>(pick));
  }
}

void Membership::SendHeartbeats(base::Millis now) {
  next_heartbeat_at_ = now + options_.heartbeat;
  ++heartbeat_count_;
  if (monitors_outdated_) {
    monitors_outdated_ = false;
    monitors_.clear();
    monitored_.clear();
    for (const auto& [id, node] : nodes_) {
      if (!node.reachable()) continue;
      std::vector<const Node*> monitors = MonitorsOf(id);
      for (size_t place = 0; place < monitors.size(); ++place) {
        int every = HeartbeatDivisor(node, *monitors[place], place);
        if (id == self_.id) {
          monitors_.push_back({monitors[place]->id, every});
        } else if (monitors[place]->id == self_.id) {
          monitored_[id] = every;
        }
      }
    }
    std::map<uint64_t, base::Millis> heard;
    for (const auto& [id, every] : monitored_) {
      auto known = last_heartbeat_at_.find(id);
      heard[id] = known == last_heartbeat_at_.end() ? now : known->second;
    }
    last_heartbeat_at_.swap(heard);
  }
  Heartbeat heartbeat{self_.id, self_.boot_id, self_.incarnation, Digest()};
  for (const auto& [id, every] : monitors_) {
    if (heartbeat_count_ % static_cast<uint64_t>(every) == 0) {
      out_.heartbeats.push_back({nodes_[id].address(), heartbeat});
    }
  }
  // Two sides of a cut hold each other for lost, and nobody watches across it any more: somebody
  // has to look whether it is over.
  if (heartbeat_count_ % kProbeDeadEvery == 0) {
    std::vector<const Node*> lost;
    for (const auto& [id, node] : nodes_) {
      if (node.state == State::kDead) lost.push_back(&node);
    }
    if (!lost.empty()) {
      out_.heartbeats.push_back({lost[random_.Below(lost.size())]->address(), heartbeat});
    }
  }
}

void Membership::DetectFailures(base::Millis now) {
  for (const auto& [id, heard] : last_heartbeat_at_) {
    base::Millis patience = options_.heartbeat * options_.missed * monitored_.at(id);
    if (now - heard <= patience) continue;
    Node node = nodes_[id];
    auto& suspecters = node.suspecters;
    if (std::find(suspecters.begin(), suspecters.end(), self_.id) != suspecters.end()) continue;
    suspecters.push_back(self_.id);
    std::sort(suspecters.begin(), suspecters.end());
    node.state = suspecters.size() >= SuspectersNeeded(id) ? State::kDead : State::kSuspect;
    suspected_at_[id] = now;
    Store(node);
    out_.changed.push_back(node);
    QueueGossip(node);
  }
  // Who is alive answers an accusation. Where most watchers were lost with the accused, as with a
  // region, there is nobody to second it.
  for (auto at = suspected_at_.begin(); at != suspected_at_.end();) {
    Node node = nodes_[at->first];
    bool stands = node.state == State::kSuspect &&
                  std::find(node.suspecters.begin(), node.suspecters.end(), self_.id) !=
                      node.suspecters.end();
    if (!stands) {
      at = suspected_at_.erase(at);
      continue;
    }
    if (now - at->second > options_.heartbeat * options_.missed) {
      node.state = State::kDead;
      Store(node);
      out_.changed.push_back(node);
      QueueGossip(node);
      at = suspected_at_.erase(at);
    } else {
      ++at;
    }
  }
}

void Membership::ContactSeeds(base::Millis now) {
  if (now < next_seed_contact_at_ || seeds_.empty()) return;
  bool alone = ReachableOthers().empty();
  // Seeds that nobody has told of: they and those that know them may be a fleet of their own.
  std::vector<const base::Address*> unknown;
  for (const base::Address& seed : seeds_) {
    if (!Find(seed)) unknown.push_back(&seed);
  }
  bool soon = alone || (!unknown.empty() && now - started_at_ < kSeedStartupPeriodMs);
  next_seed_contact_at_ = now + (alone ? kSeedAloneMs : soon ? kSeedStartupMs : kSeedMs);
  // One after the other: each answers with all that it knows, which in a large fleet is a lot.
  size_t turn = next_seed_++;
  bool no_controller =
      CountAlive(Program::kController) == (self_.program == Program::kController ? 1 : 0);
  if (!alone && !unknown.empty()) {
    out_.updates.push_back({*unknown[turn % unknown.size()], MembershipUpdate{{self_}, {}}});
  } else if (alone || no_controller) {
    out_.updates.push_back({seeds_[turn % seeds_.size()], MembershipUpdate{{self_}, {}}});
  }
}

void Membership::Tick(base::Millis now) {
  base::Millis gap = now - now_;
  now_ = now;
  if (gap > options_.heartbeat * 2) {
    // This process slept: that it heard nobody says nothing about them.
    for (auto& [id, heard] : last_heartbeat_at_) heard = now;
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

void Membership::OnHeartbeat(base::Millis now, const base::Address& from,
                             const Heartbeat& heartbeat) {
  now_ = std::max(now_, now);
  auto at = nodes_.find(heartbeat.id);
  bool known =
      at != nodes_.end() && at->second.incarnation >= heartbeat.incarnation &&
      (at->second.boot_id == heartbeat.boot_id || at->second.incarnation > heartbeat.incarnation);
  auto heard = last_heartbeat_at_.find(heartbeat.id);
  if (heard != last_heartbeat_at_.end()) heard->second = now;
  if (known && at->second.state != State::kAlive && at->second.boot_id == heartbeat.boot_id &&
      at->second.incarnation == heartbeat.incarnation) {
    // It is heard and yet held for lost: tell it, so that it refutes.
    out_.updates.push_back({from, MembershipUpdate{{at->second}, {}}});
    return;
  }
  if (heartbeat.members != Digest()) SendPartDigests(now, from);
}

bool Membership::RecentlySent(base::Millis now, const base::Address& to,
                              std::map<base::Address, base::Millis>* sent_at) {
  base::Millis& sent = (*sent_at)[to];
  if (sent != 0 && now - sent < kCompareGapMs) return true;
  sent = now;
  return false;
}

void Membership::SendPartDigests(base::Millis now, const base::Address& to) {
  if (RecentlySent(now, to, &part_digests_sent_at_)) return;
  out_.part_digests.push_back({to, part_digests_});
}

void Membership::OnPartDigests(base::Millis now, const base::Address& from,
                               const PartDigests& sums) {
  now_ = std::max(now_, now);
  uint32_t differ = 0;
  for (size_t i = 0; i < kParts; ++i) {
    if (sums.parts[i] != part_digests_.parts[i]) differ |= uint32_t{1} << i;
  }
  if (differ != 0) SendSummary(now, from, differ);
}

void Membership::SendSummary(base::Millis now, const base::Address& to, uint32_t parts) {
  if (RecentlySent(now, to, &summary_sent_at_)) return;
  MembershipSummary summary;
  summary.parts = parts;
  for (const auto& [id, node] : nodes_) {
    if (summary.Has(id)) summary.marks.push_back({id, node.Mark()});
  }
  out_.summaries.push_back({to, std::move(summary)});
}

void Membership::OnSummary(base::Millis now, const base::Address& from,
                           const MembershipSummary& summary) {
  now_ = std::max(now_, now);
  MembershipUpdate update;
  std::map<uint64_t, uint32_t> theirs(summary.marks.begin(), summary.marks.end());
  for (const auto& [id, node] : nodes_) {
    if (!summary.Has(id)) continue;
    auto at = theirs.find(id);
    if (at == theirs.end() || at->second != node.Mark()) update.nodes.push_back(node);
  }
  for (const auto& [id, mark] : theirs) {
    auto at = nodes_.find(id);
    if (at == nodes_.end() || at->second.Mark() != mark) update.wanted_ids.push_back(id);
  }
  if (!update.nodes.empty() || !update.wanted_ids.empty())
    out_.updates.push_back({from, std::move(update)});
}

void Membership::Merge(base::Millis now, Node node) {
  if (node.id == self_.id) {
    bool other_boot = node.boot_id != self_.boot_id;
    bool worse = node.state != State::kAlive && self_.state == State::kAlive;
    if (node.incarnation >= self_.incarnation && (other_boot || worse)) Refute(node.incarnation);
    return;
  }
  auto at = nodes_.find(node.id);
  if (at != nodes_.end()) {
    Node& have = at->second;
    if (node.incarnation < have.incarnation) return;
    if (node.incarnation == have.incarnation) {
      if (node.boot_id != have.boot_id) {
        // Two lives at one address: the higher number stands until the living one raises its own.
        if (node.boot_id < have.boot_id) return;
      } else {
        std::vector<uint64_t> both;
        std::set_union(node.suspecters.begin(), node.suspecters.end(), have.suspecters.begin(),
                       have.suspecters.end(), std::back_inserter(both));
        State state = std::max(node.state, have.state);
        if (state == State::kSuspect && both.size() >= SuspectersNeeded(node.id))
          state = State::kDead;
        if (state == have.state && both == have.suspecters) return;
        bool changed = state != have.state;
        Node merged = have;
        merged.state = state;
        merged.suspecters = both;
        Store(merged);
        if (changed) {
          out_.changed.push_back(have);
          QueueGossip(have);
        }
        return;
      }
    }
    bool changed =
        have.state != node.state || have.boot_id != node.boot_id || have.ready != node.ready;
    Store(node);
    auto heard = last_heartbeat_at_.find(node.id);
    if (heard != last_heartbeat_at_.end()) heard->second = now;
    if (changed) {
      out_.changed.push_back(node);
      QueueGossip(node);
    }
    return;
  }
  Store(node);
  out_.changed.push_back(node);
  QueueGossip(node);
}

void Membership::OnMembershipUpdate(base::Millis now, const base::Address& from,
                                    const MembershipUpdate& update) {
  now_ = std::max(now_, now);
  bool newcomer = Find(from) == nullptr;
  for (const Node& node : update.nodes) Merge(now, node);
  MembershipUpdate reply;
  for (uint64_t id : update.wanted_ids) {
    auto at = nodes_.find(id);
    if (at != nodes_.end()) reply.nodes.push_back(at->second);
  }
  // One that says nothing but who it is may know nobody, and may not know that its former life is
  // still on record: as left in order, say, with a higher incarnation than the new life begins
  // with.
  bool introduces = update.nodes.size() == 1 && update.wanted_ids.empty();
  for (const Node& node : update.nodes) {
    if (node.address() == from && (newcomer || introduces)) SendSummary(now, from, UINT32_MAX);
  }
  if (!reply.nodes.empty()) out_.updates.push_back({from, std::move(reply)});
}

void Membership::Leave(base::Millis now) {
  now_ = now;
  self_.state = State::kLeft;
  ++self_.incarnation;
  self_.ready = false;
  Store(self_);
  QueueGossip(self_);
  SendGossip();
  for (const Node* monitor : MonitorsOf(self_.id)) {
    out_.updates.push_back({monitor->address(), MembershipUpdate{{self_}, {}}});
  }
}

}  // namespace elderkeel::membership
