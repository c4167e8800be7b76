// Heartbeats, and what follows when they don't come: suspicion, death, refutation.
#include <algorithm>

#include "membership/membership.h"

namespace elderkeel::membership {
namespace {
// Of so many heartbeats one goes to a monitor in another zone, and one to one in another region.
constexpr int kHeartbeatsToRegion = 4;
constexpr int kHeartbeatsToFarRegion = 8;
constexpr uint64_t kProbeDeadEvery = 4;  // of so many heartbeats one also goes to a dead node
}  // namespace

int Membership::HeartbeatDivisor(const Node& node, const Node& monitor, size_t rank) const {
  if (rank < NodeTable::kMonitorsInZone) return 1;  // the nearest, wherever they are
  // Controllers are few, and the loss of a whole region shows in them first.
  if (node.program == Program::kController) return 1;
  bool far = table_.DistanceBetween(node, monitor) == NodeTable::Distance::kFar;
  return far ? kHeartbeatsToFarRegion : kHeartbeatsToRegion;
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
  next_heartbeat_at_ = now + options_.heartbeat;
  ++heartbeat_count_;
  if (table_.TakeRingChanged()) UpdateMonitors(now);
  Heartbeat heartbeat{self_.id, self_.boot_id, self_.incarnation, Digest()};
  for (const auto& [id, divisor] : monitors_) {
    if (heartbeat_count_ % static_cast<uint64_t>(divisor) != 0) continue;
    effects_.heartbeats.emplace_back(table_.Find(id)->address(), heartbeat);
  }
  if (heartbeat_count_ % kProbeDeadEvery == 0) ProbeDeadNode(heartbeat);
}

// Two sides of a partition hold each other for dead, and nobody monitors across it any more:
// somebody has to look whether it is over.
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
    // It is alive and yet held for dead: tell it, so that it refutes.
    SendUpdate(from, MembershipUpdate{{*record}, {}});
    return;
  }
  if (heartbeat.table_digest != Digest()) SendPartDigests(now, from);
}

void Membership::DetectFailures(base::Millis now) {
  SuspectSilent(now);
  ReviewSuspicions(now);
}

void Membership::SuspectSilent(base::Millis now) {
  for (const auto& [id, last] : last_heartbeat_at_) {
    base::Millis patience = options_.heartbeat * options_.missed * monitored_.at(id);
    if (now - last <= patience) continue;
    Node node = *table_.Find(id);
    if (IsSuspectedBySelf(node)) continue;
    node.suspecters.push_back(self_.id);
    std::sort(node.suspecters.begin(), node.suspecters.end());
    bool confirmed = node.suspecters.size() >= SuspectersNeeded(id);
    node.state = confirmed ? State::kDead : State::kSuspect;
    suspected_at_[id] = now;
    Change(node);
  }
}

// Who is alive refutes a suspicion. Where most monitors were lost with the node, as with a region,
// there is nobody to second it.
void Membership::ReviewSuspicions(base::Millis now) {
  for (auto suspicion = suspected_at_.begin(); suspicion != suspected_at_.end();) {
    Node node = *table_.Find(suspicion->first);
    bool stands = node.state == State::kSuspect && IsSuspectedBySelf(node);
    bool unanswered = now - suspicion->second > options_.heartbeat * options_.missed;
    if (stands && unanswered) {
      node.state = State::kDead;
      Change(node);
    }
    suspicion = stands && !unanswered ? std::next(suspicion) : suspected_at_.erase(suspicion);
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
