#include "ring/membership.h"

#include <algorithm>

namespace elderkeel::ring {
namespace {
constexpr size_t kWatchersInZone = 2;
constexpr size_t kSpread = 3;              // peers that are told of a change at once
constexpr uint64_t kSpreadFar = 4;         // one in so many of them is of another zone
constexpr base::Millis kSummaryGap = 300;  // between two summaries to one peer
constexpr int kBeatsToRegion = 4;  // of so many heartbeats one goes to a watcher in another zone,
constexpr int kBeatsToFar = 8;     // and one to a watcher in another region
constexpr int kLostEvery = 4;      // of so many beats one also goes to a node held for lost
constexpr base::Millis kSeedGap = 150;   // while alone
constexpr base::Millis kSeedSoon = 300;  // while a seed is not known yet, for some time
constexpr base::Millis kSeedEager = 5000;
constexpr base::Millis kSeedCalm = 5000;  // once others are known
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
      born_(now),
      now_(now) {
  self_.incarnation = 1;
  next_seed_ = self_.id;  // not all begin with the same one
  Put(self_);
}

uint32_t Node::Mark() const {
  uint64_t view = static_cast<uint64_t>(state) + 4 * accusers.size() + (ready ? 1024 : 0);
  return static_cast<uint32_t>(
      base::Random(id ^ life ^ (uint64_t{incarnation} << 32) ^ view * 0x9e3779b97f4a7c15ull)
          .Next());
}

Membership::Effects Membership::Take() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

const Node* Membership::Find(const base::Address& address) const {
  auto at = nodes_.find(base::Hash(address.ToString()));
  return at == nodes_.end() ? nullptr : &at->second;
}

bool Membership::FirstOfZone() const {
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

int Membership::BeatsBetween(const Node& node, const Node& watcher, size_t place) const {
  if (place < kWatchersInZone) return 1;  // the nearest, wherever they are
  // Controllers are few, and the loss of a whole region shows in them first.
  if (node.program == Program::kController) return 1;
  return Between(node, watcher) == Distance::kFar ? kBeatsToFar : kBeatsToRegion;
}

namespace {
uint64_t SumOf(const Node& node) {
  return base::Random(node.id ^ (uint64_t{node.Mark()} << 16)).Next();
}
}  // namespace

void Membership::Put(const Node& node) {
  Node& have = nodes_[node.id];
  bool listed = have.id != 0 && have.reachable();
  if (listed != node.reachable() || have.zone != node.zone) {
    if (listed) rings_[have.zone].erase(have.id);
    if (node.reachable()) rings_[node.zone][node.id] = &have;
    rewatch_ = true;
  }
  rewatch_ |= have.id == 0;
  uint64_t& sum = sums_.parts[PartOf(node.id)];
  if (have.id != 0) sum ^= SumOf(have);
  have = node;
  sum ^= SumOf(have);
}

std::vector<const Node*> Membership::Others() const {
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
  for (const Node* node : Others()) {
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

size_t Membership::CountPossible(Program program) const {
  size_t n = 0;
  for (const auto& [id, node] : nodes_) n += node.program == program && node.state != State::kLeft;
  return n;
}

uint64_t Membership::Digest() const {
  uint64_t digest = 0;
  for (uint64_t part : sums_.parts) digest ^= part;
  return digest;
}

// The next ones clockwise from a node's place: two of its zone, one of another zone of its region
// and one of another region, as far as there are any; of the rest as many as are missing.
std::vector<const Node*> Membership::WatchersOf(uint64_t id) const {
  std::vector<const Node*> watchers, spare;
  auto of = nodes_.find(id);
  if (of == nodes_.end()) return watchers;
  // More than this from one zone are never chosen; so the cost hardly grows with the fleet.
  std::vector<const Node*> next;
  for (const auto& [zone, ring] : rings_) {
    auto at = ring.upper_bound(id);
    for (size_t i = 0; i < std::min(ring.size(), kWatchersInZone + 2); ++i, ++at) {
      if (at == ring.end()) at = ring.begin();
      if (at->first != id) next.push_back(at->second);
    }
  }
  std::sort(next.begin(), next.end(), [id](const Node* a, const Node* b) {
    return a->id - id < b->id - id;  // clockwise, over the end of the ring
  });
  size_t count[3] = {0, 0, 0};
  for (const Node* node : next) {
    size_t distance = static_cast<size_t>(Between(of->second, *node));
    if (count[distance] < (distance == 0 ? kWatchersInZone : 1)) {
      ++count[distance];
      watchers.push_back(node);
    } else {
      spare.push_back(node);
    }
  }
  for (const Node* node : spare) {
    if (watchers.size() > kWatchersInZone) break;
    watchers.push_back(node);
  }
  std::stable_sort(watchers.begin(), watchers.end(), [&](const Node* a, const Node* b) {
    return Between(of->second, *a) < Between(of->second, *b);
  });
  return watchers;
}

size_t Membership::Needed(uint64_t id) const {
  return std::min<size_t>(2, std::max<size_t>(1, WatchersOf(id).size()));
}

void Membership::SetReady(bool ready) {
  if (self_.ready == ready) return;
  self_.ready = ready;
  ++self_.incarnation;
  Put(self_);
  Spread(self_);
}

void Membership::Refute(uint32_t seen) {
  self_.incarnation = std::max(self_.incarnation, seen) + 1;
  self_.state = State::kAlive;
  self_.accusers.clear();
  Put(self_);
  Spread(self_);
}

// One accusing word goes to the other watchers, who can confirm or refute it, and to the accused,
// at once; to anybody else together with all that changes within a tick.
void Membership::Spread(const Node& node) {
  spread_[node.id] = true;
  if (node.id == self_.id || node.state == State::kLeft) return;
  if (node.state == State::kAlive) return;
  out_.tables.push_back({node.address(), Table{{node}, {}}});
  for (const Node* watcher : WatchersOf(node.id)) {
    if (watcher->id != self_.id) {
      out_.tables.push_back({watcher->address(), Table{{node}, {}}});
    }
  }
}

void Membership::SendSpread() {
  if (spread_.empty()) return;
  Table table;
  for (const auto& [id, unused] : spread_) {
    auto at = nodes_.find(id);
    if (at != nodes_.end()) table.nodes.push_back(at->second);
  }
  spread_.clear();
  std::vector<const Node*> near, far;
  for (const Node* node : Others()) (node->zone == self_.zone ? near : far).push_back(node);
  for (size_t i = 0; i < kSpread && !(near.empty() && far.empty()); ++i) {
    auto& from = near.empty() || (!far.empty() && random_.Below(kSpreadFar) == 0) ? far : near;
    size_t pick = random_.Below(from.size());
    out_.tables.push_back({from[pick]->address(), table});
    from.erase(from.begin() + static_cast<long>(pick));
  }
}

void Membership::Beat(base::Millis now) {
  beat_at_ = now + options_.heartbeat;
  ++beats_;
  if (rewatch_) {
    rewatch_ = false;
    watchers_.clear();
    watched_.clear();
    for (const auto& [id, node] : nodes_) {
      if (!node.reachable()) continue;
      std::vector<const Node*> watchers = WatchersOf(id);
      for (size_t place = 0; place < watchers.size(); ++place) {
        int every = BeatsBetween(node, *watchers[place], place);
        if (id == self_.id) {
          watchers_.push_back({watchers[place]->id, every});
        } else if (watchers[place]->id == self_.id) {
          watched_[id] = every;
        }
      }
    }
    std::map<uint64_t, base::Millis> heard;
    for (const auto& [id, every] : watched_) {
      auto known = heard_.find(id);
      heard[id] = known == heard_.end() ? now : known->second;
    }
    heard_.swap(heard);
  }
  Heartbeat beat{self_.id, self_.life, self_.incarnation, Digest()};
  for (const auto& [id, every] : watchers_) {
    if (beats_ % static_cast<uint64_t>(every) == 0) {
      out_.heartbeats.push_back({nodes_[id].address(), beat});
    }
  }
  // Two sides of a cut hold each other for lost, and nobody watches across it any more: somebody
  // has to look whether it is over.
  if (beats_ % kLostEvery == 0) {
    std::vector<const Node*> lost;
    for (const auto& [id, node] : nodes_) {
      if (node.state == State::kDead) lost.push_back(&node);
    }
    if (!lost.empty()) {
      out_.heartbeats.push_back({lost[random_.Below(lost.size())]->address(), beat});
    }
  }
}

void Membership::ReviewWatched(base::Millis now) {
  for (const auto& [id, heard] : heard_) {
    base::Millis patience = options_.heartbeat * options_.missed * watched_.at(id);
    if (now - heard <= patience) continue;
    Node node = nodes_[id];
    auto& accusers = node.accusers;
    if (std::find(accusers.begin(), accusers.end(), self_.id) != accusers.end()) continue;
    accusers.push_back(self_.id);
    std::sort(accusers.begin(), accusers.end());
    node.state = accusers.size() >= Needed(id) ? State::kDead : State::kSuspect;
    accused_[id] = now;
    Put(node);
    out_.changed.push_back(node);
    Spread(node);
  }
  // Who is alive answers an accusation. Where most watchers were lost with the accused, as with a
  // region, there is nobody to second it.
  for (auto at = accused_.begin(); at != accused_.end();) {
    Node node = nodes_[at->first];
    bool stands =
        node.state == State::kSuspect &&
        std::find(node.accusers.begin(), node.accusers.end(), self_.id) != node.accusers.end();
    if (!stands) {
      at = accused_.erase(at);
      continue;
    }
    if (now - at->second > options_.heartbeat * options_.missed) {
      node.state = State::kDead;
      Put(node);
      out_.changed.push_back(node);
      Spread(node);
      at = accused_.erase(at);
    } else {
      ++at;
    }
  }
}

void Membership::SeekSeeds(base::Millis now) {
  if (now < seed_at_ || seeds_.empty()) return;
  bool alone = Others().empty();
  // Seeds that nobody has told of: they and those that know them may be a fleet of their own.
  std::vector<const base::Address*> unknown;
  for (const base::Address& seed : seeds_) {
    if (!Find(seed)) unknown.push_back(&seed);
  }
  bool soon = alone || (!unknown.empty() && now - born_ < kSeedEager);
  seed_at_ = now + (alone ? kSeedGap : soon ? kSeedSoon : kSeedCalm);
  // One after the other: each answers with all that it knows, which in a large fleet is a lot.
  size_t turn = next_seed_++;
  bool no_controller =
      CountAlive(Program::kController) == (self_.program == Program::kController ? 1 : 0);
  if (!alone && !unknown.empty()) {
    out_.tables.push_back({*unknown[turn % unknown.size()], Table{{self_}, {}}});
  } else if (alone || no_controller) {
    out_.tables.push_back({seeds_[turn % seeds_.size()], Table{{self_}, {}}});
  }
}

void Membership::Tick(base::Millis now) {
  base::Millis gap = now - now_;
  now_ = now;
  if (gap > options_.heartbeat * 2) {
    // This process slept: that it heard nobody says nothing about them.
    for (auto& [id, heard] : heard_) heard = now;
    for (auto& [id, since] : accused_) since = now;
  }
  if (now >= beat_at_) {
    Beat(now);
    ReviewWatched(now);
  }
  SeekSeeds(now);
  SendSpread();
}

base::Millis Membership::DueAt() const {
  if (!spread_.empty()) return now_;
  return seeds_.empty() ? beat_at_ : std::min(beat_at_, seed_at_);
}

void Membership::OnHeartbeat(base::Millis now, const base::Address& from, const Heartbeat& beat) {
  now_ = std::max(now_, now);
  auto at = nodes_.find(beat.id);
  bool known = at != nodes_.end() && at->second.incarnation >= beat.incarnation &&
               (at->second.life == beat.life || at->second.incarnation > beat.incarnation);
  auto heard = heard_.find(beat.id);
  if (heard != heard_.end()) heard->second = now;
  if (known && at->second.state != State::kAlive && at->second.life == beat.life &&
      at->second.incarnation == beat.incarnation) {
    // It is heard and yet held for lost: tell it, so that it refutes.
    out_.tables.push_back({from, Table{{at->second}, {}}});
    return;
  }
  if (beat.members != Digest()) SendSums(now, from);
}

bool Membership::Lately(base::Millis now, const base::Address& to,
                        std::map<base::Address, base::Millis>* sent_at) {
  base::Millis& sent = (*sent_at)[to];
  if (sent != 0 && now - sent < kSummaryGap) return true;
  sent = now;
  return false;
}

void Membership::SendSums(base::Millis now, const base::Address& to) {
  if (Lately(now, to, &sums_sent_)) return;
  out_.sums.push_back({to, sums_});
}

void Membership::OnSums(base::Millis now, const base::Address& from, const Sums& sums) {
  now_ = std::max(now_, now);
  uint32_t differ = 0;
  for (size_t i = 0; i < kParts; ++i) {
    if (sums.parts[i] != sums_.parts[i]) differ |= uint32_t{1} << i;
  }
  if (differ != 0) SendSummary(now, from, differ);
}

void Membership::SendSummary(base::Millis now, const base::Address& to, uint32_t parts) {
  if (Lately(now, to, &summary_sent_)) return;
  Summary summary;
  summary.parts = parts;
  for (const auto& [id, node] : nodes_) {
    if (summary.Has(id)) summary.marks.push_back({id, node.Mark()});
  }
  out_.summaries.push_back({to, std::move(summary)});
}

void Membership::OnSummary(base::Millis now, const base::Address& from, const Summary& summary) {
  now_ = std::max(now_, now);
  Table table;
  std::map<uint64_t, uint32_t> theirs(summary.marks.begin(), summary.marks.end());
  for (const auto& [id, node] : nodes_) {
    if (!summary.Has(id)) continue;
    auto at = theirs.find(id);
    if (at == theirs.end() || at->second != node.Mark()) table.nodes.push_back(node);
  }
  for (const auto& [id, mark] : theirs) {
    auto at = nodes_.find(id);
    if (at == nodes_.end() || at->second.Mark() != mark) table.wants.push_back(id);
  }
  if (!table.nodes.empty() || !table.wants.empty()) out_.tables.push_back({from, std::move(table)});
}

void Membership::Merge(base::Millis now, Node node) {
  if (node.id == self_.id) {
    bool other_life = node.life != self_.life;
    bool worse = node.state != State::kAlive && self_.state == State::kAlive;
    if (node.incarnation >= self_.incarnation && (other_life || worse)) Refute(node.incarnation);
    return;
  }
  auto at = nodes_.find(node.id);
  if (at != nodes_.end()) {
    Node& have = at->second;
    if (node.incarnation < have.incarnation) return;
    if (node.incarnation == have.incarnation) {
      if (node.life != have.life) {
        // Two lives at one address: the higher number stands until the living one raises its own.
        if (node.life < have.life) return;
      } else {
        std::vector<uint64_t> both;
        std::set_union(node.accusers.begin(), node.accusers.end(), have.accusers.begin(),
                       have.accusers.end(), std::back_inserter(both));
        State state = std::max(node.state, have.state);
        if (state == State::kSuspect && both.size() >= Needed(node.id)) state = State::kDead;
        if (state == have.state && both == have.accusers) return;
        bool changed = state != have.state;
        Node merged = have;
        merged.state = state;
        merged.accusers = both;
        Put(merged);
        if (changed) {
          out_.changed.push_back(have);
          Spread(have);
        }
        return;
      }
    }
    bool changed = have.state != node.state || have.life != node.life || have.ready != node.ready;
    Put(node);
    auto heard = heard_.find(node.id);
    if (heard != heard_.end()) heard->second = now;
    if (changed) {
      out_.changed.push_back(node);
      Spread(node);
    }
    return;
  }
  Put(node);
  out_.changed.push_back(node);
  Spread(node);
}

void Membership::OnTable(base::Millis now, const base::Address& from, const Table& table) {
  now_ = std::max(now_, now);
  bool newcomer = Find(from) == nullptr;
  for (const Node& node : table.nodes) Merge(now, node);
  Table reply;
  for (uint64_t id : table.wants) {
    auto at = nodes_.find(id);
    if (at != nodes_.end()) reply.nodes.push_back(at->second);
  }
  // One that says nothing but who it is may know nobody, and may not know that its former life is
  // still on record: as left in order, say, with a higher incarnation than the new life begins
  // with.
  bool introduces = table.nodes.size() == 1 && table.wants.empty();
  for (const Node& node : table.nodes) {
    if (node.address() == from && (newcomer || introduces)) SendSummary(now, from, UINT32_MAX);
  }
  if (!reply.nodes.empty()) out_.tables.push_back({from, std::move(reply)});
}

void Membership::Leave(base::Millis now) {
  now_ = now;
  self_.state = State::kLeft;
  ++self_.incarnation;
  self_.ready = false;
  Put(self_);
  Spread(self_);
  SendSpread();
  for (const Node* watcher : WatchersOf(self_.id)) {
    out_.tables.push_back({watcher->address(), Table{{self_}, {}}});
  }
}

}  // namespace elderkeel::ring
