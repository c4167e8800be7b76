// Failure detection: heartbeats, suspicion, declaring nodes dead, refutation.
#include <algorithm>

#include "membership/membership.h"

namespace elderkeel::membership {
namespace {
// One in this many heartbeats is sent to a monitor in another zone of the region, and to one in
// another region.
constexpr int kSameRegionHeartbeatDivisor = 4;
constexpr int kOtherRegionHeartbeatDivisor = 8;
constexpr uint64_t kDeadNodeProbeDivisor = 4;  // one in this many is also sent to a dead node
}  // namespace

// `rank`: the position of `monitor` among the monitors of `node`, the nearest being 0.
int Membership::HeartbeatDivisor(const Node& node, const Node& monitor, size_t rank) const {
  if (rank < NodeTable::kMonitorsInZone) return 1;  // the nearest two, in any zone
  // Controllers send every heartbeat: there are few of them, and the directory recognizes the loss
  // of a whole region by its controllers.
  if (node.program == Program::kController) return 1;
  bool other_region = table_.DistanceBetween(node, monitor) == NodeTable::Distance::kOtherRegion;
  return other_region ? kOtherRegionHeartbeatDivisor : kSameRegionHeartbeatDivisor;
}

void Membership::UpdateMonitors(base::Millis now) {
  monitors_.clear();
  monitored_.clear();
  for (const auto& [id, node] : table_.nodes()) {
    if (!node.reachable()) continue;
    std::vector<const Node*> monitors = table_.MonitorsOf(id);
    for (size_t rank = 0; rank < monitors.size(); ++rank) {
      int divisor = HeartbeatDivisor(node, *monitors[rank], rank);
      if (id == self_.id) {
        monitors_.emplace_back(monitors[rank]->id, divisor);
      } else if (monitors[rank]->id == self_.id) {
        monitored_[id] = divisor;
      }
    }
  }
  std::map<uint64_t, base::Millis> last_heartbeat_at;
  for (const auto& [id, divisor] : monitored_) {
    auto known = last_heartbeat_at_.find(id);
    last_heartbeat_at[id] = known == last_heartbeat_at_.end() ? now : known->second;
  }
  last_heartbeat_at_.swap(last_heartbeat_at);
}

void Membership::SendHeartbeats(base::Millis now) {
  next_heartbeat_at_ = now + options_.heartbeat_interval;
  ++heartbeat_count_;
  if (table_.TakeRingChanged()) UpdateMonitors(now);
  Heartbeat heartbeat{self_.id, self_.boot_id, self_.incarnation, Digest()};
  for (const auto& [id, divisor] : monitors_) {
    if (heartbeat_count_ % static_cast<uint64_t>(divisor) != 0) continue;
    effects_.heartbeats.emplace_back(table_.Find(id)->address(), heartbeat);
  }
  if (heartbeat_count_ % kDeadNodeProbeDivisor == 0) ProbeDeadNode(heartbeat);
}

// Sends a heartbeat to a random dead node. The two sides of a partition declare each other dead and
// stop monitoring each other; without these probes neither would notice that the partition healed.
void Membership::ProbeDeadNode(const Heartbeat& heartbeat) {
  std::vector<const Node*> dead;
  for (const auto& [id, node] : table_.nodes()) {
    if (node.state == State::kDead) dead.push_back(&node);
  }
  if (dead.empty()) return;
  const Node* probed = dead[random_.Below(dead.size())];
  effects_.heartbeats.emplace_back(probed->address(), heartbeat);
}

void Membership::OnHeartbeat(base::Millis now, const base::Address& from,
                             const Heartbeat& heartbeat) {
  now_ = std::max(now_, now);
  auto last = last_heartbeat_at_.find(heartbeat.id);
  if (last != last_heartbeat_at_.end()) last->second = now;
  const Node* record = table_.Find(heartbeat.id);
  bool same = record && record->boot_id == heartbeat.boot_id &&
              record->incarnation == heartbeat.incarnation;
  if (same && record->state != State::kAlive) {
    // The sender is recorded as suspected or dead. Receiving the record makes it refute that.
    SendUpdate(from, MembershipUpdate{{*record}, {}});
    return;
  }
  if (heartbeat.table_digest != Digest()) SendPartDigests(now, from);
}

void Membership::DetectFailures(base::Millis now) {
  SuspectUnresponsiveNodes(now);
  ResolveSuspicions(now);
}

void Membership::SuspectUnresponsiveNodes(base::Millis now) {
  for (const auto& [id, last] : last_heartbeat_at_) {
    base::Millis timeout =
        options_.heartbeat_interval * options_.missed_heartbeats * monitored_.at(id);
    if (now - last <= timeout) continue;
    Node node = *table_.Find(id);
    if (IsSuspectedBySelf(node)) continue;
    node.suspecters.push_back(self_.id);
    std::sort(node.suspecters.begin(), node.suspecters.end());
    bool confirmed = node.suspecters.size() >= SuspectersNeeded(id);
    node.state = confirmed ? State::kDead : State::kSuspect;
    suspected_at_[id] = now;
    StoreAndAnnounce(node);
  }
}

// Drops this process's suspicions that were refuted. A node that has not refuted in time is
// declared dead even if no second monitor suspects it: when a whole region is lost, most of the
// node's monitors are lost with it and can't confirm the suspicion.
void Membership::ResolveSuspicions(base::Millis now) {
  for (auto suspicion = suspected_at_.begin(); suspicion != suspected_at_.end();) {
    Node node = *table_.Find(suspicion->first);
    bool active = node.state == State::kSuspect && IsSuspectedBySelf(node);
    bool expired =
        now - suspicion->second > options_.heartbeat_interval * options_.missed_heartbeats;
    if (active && expired) {
      node.state = State::kDead;
      StoreAndAnnounce(node);
    }
    suspicion = active && !expired ? std::next(suspicion) : suspected_at_.erase(suspicion);
  }
}

bool Membership::IsSuspectedBySelf(const Node& node) const {
  return std::find(node.suspecters.begin(), node.suspecters.end(), self_.id) !=
         node.suspecters.end();
}

size_t Membership::SuspectersNeeded(uint64_t id) const {
  return std::min<size_t>(2, std::max<size_t>(1, table_.MonitorsOf(id).size()));
}

void Membership::Refute(uint32_t seen_incarnation) {
  self_.incarnation = std::max(self_.incarnation, seen_incarnation) + 1;
  self_.state = State::kAlive;
  self_.suspecters.clear();
  StoreSelf();
}

}  // namespace elderkeel::membership
