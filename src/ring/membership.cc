#include "ring/membership.h"

#include <algorithm>

namespace elderkeel::ring {
namespace {
constexpr size_t kWatchersInZone = 2;
constexpr size_t kWatchersElsewhere = 1;
constexpr size_t kSpread = 3;
constexpr base::Millis kTableGap = 300;   // between two whole tables to one peer
constexpr base::Millis kSeedGap = 500;    // while alone
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
      now_(now) {
  self_.incarnation = 1;
  nodes_[self_.id] = self_;
}

Membership::Effects Membership::Take() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

std::vector<const Node*> Membership::Others() const {
  std::vector<const Node*> others;
  for (const auto& [id, node] : nodes_) {
    if (id != self_.id && node.reachable()) others.push_back(&node);
  }
  return others;
}

size_t Membership::CountAlive(Program program) const {
  size_t n = 0;
  for (const auto& [id, node] : nodes_) n += node.program == program && node.reachable();
  return n;
}

uint64_t Membership::Digest() const {
  uint64_t digest = 0;
  for (const auto& [id, node] : nodes_) {
    uint64_t state = static_cast<uint64_t>(node.state) + 4 * node.accusers.size();
    digest ^=
        base::Random(id ^ (uint64_t{node.incarnation} << 8) ^ state * 0x9e3779b97f4a7c15ull).Next();
  }
  return digest;
}

// The next ones clockwise from a node's place: some of its zone, some of elsewhere, and more of
// either where there are too few of the other.
std::vector<const Node*> Membership::WatchersOf(uint64_t id) const {
  std::vector<const Node*> watchers, spare;
  auto of = nodes_.find(id);
  if (of == nodes_.end()) return watchers;
  size_t in_zone = 0, elsewhere = 0;
  auto at = std::next(of);
  for (size_t i = 1; i < nodes_.size(); ++i, ++at) {
    if (at == nodes_.end()) at = nodes_.begin();
    const Node& node = at->second;
    if (!node.reachable()) continue;
    bool same = node.zone == of->second.zone;
    size_t& count = same ? in_zone : elsewhere;
    if (count < (same ? kWatchersInZone : kWatchersElsewhere)) {
      ++count;
      watchers.push_back(&node);
    } else {
      spare.push_back(&node);
    }
  }
  for (const Node* node : spare) {
    if (watchers.size() >= kWatchersInZone + kWatchersElsewhere) break;
    watchers.push_back(node);
  }
  return watchers;
}

size_t Membership::Needed(uint64_t id) const {
  return std::min<size_t>(2, std::max<size_t>(1, WatchersOf(id).size()));
}

void Membership::Refute(uint32_t seen) {
  self_.incarnation = std::max(self_.incarnation, seen) + 1;
  self_.state = State::kAlive;
  self_.accusers.clear();
  nodes_[self_.id] = self_;
  Spread(self_);
}

void Membership::Spread(const Node& node) {
  std::vector<const Node*> others = Others();
  // One accusing word goes to the other watchers, who can confirm or refute it, and to the accused.
  for (size_t i = 0; i < kSpread && !others.empty(); ++i) {
    size_t pick = random_.Below(others.size());
    out_.tables.push_back({others[pick]->address(), Table{{node}, false}});
    others.erase(others.begin() + static_cast<long>(pick));
  }
  if (node.id != self_.id && node.state != State::kLeft) {
    out_.tables.push_back({node.address(), Table{{node}, false}});
    for (const Node* watcher : WatchersOf(node.id)) {
      if (watcher->id != self_.id) {
        out_.tables.push_back({watcher->address(), Table{{node}, false}});
      }
    }
  }
}

void Membership::Tick(base::Millis now) {
  base::Millis gap = now - now_;
  now_ = now;
  if (gap > options_.heartbeat * 2) {
    // This process slept: that it heard nobody says nothing about them.
    for (auto& [id, heard] : heard_) heard = now;
  }
  if (now >= beat_at_) {
    beat_at_ = now + options_.heartbeat;
    Heartbeat beat{self_.id, self_.life, self_.incarnation, Digest()};
    for (const Node* watcher : WatchersOf(self_.id)) {
      out_.heartbeats.push_back({watcher->address(), beat});
    }
    std::map<uint64_t, base::Millis> watched;
    for (const auto& [id, node] : nodes_) {
      if (id == self_.id || !node.reachable()) continue;
      for (const Node* watcher : WatchersOf(id)) {
        if (watcher->id != self_.id) continue;
        auto known = heard_.find(id);
        watched[id] = known == heard_.end() ? now : known->second;
      }
    }
    heard_.swap(watched);
    for (const auto& [id, heard] : heard_) {
      if (now - heard <= options_.heartbeat * options_.missed) continue;
      Node node = nodes_[id];
      auto& accusers = node.accusers;
      if (std::find(accusers.begin(), accusers.end(), self_.id) != accusers.end()) continue;
      accusers.push_back(self_.id);
      std::sort(accusers.begin(), accusers.end());
      node.state = accusers.size() >= Needed(id) ? State::kDead : State::kSuspect;
      nodes_[id] = node;
      out_.changed.push_back(node);
      Spread(node);
    }
  }
  if (now >= seed_at_ && !seeds_.empty()) {
    bool alone = Others().empty();
    seed_at_ = now + (alone ? kSeedGap : kSeedCalm);
    Table table{{self_}, true};
    if (alone) {
      for (const base::Address& seed : seeds_) out_.tables.push_back({seed, table});
    } else if (CountAlive(Program::kController) ==
               (self_.program == Program::kController ? 1 : 0)) {
      out_.tables.push_back({seeds_[next_seed_++ % seeds_.size()], table});
    }
  }
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
    out_.tables.push_back({from, Table{{at->second}, false}});
    return;
  }
  if (beat.members != Digest()) {
    base::Millis& sent = table_sent_[from];
    if (now - sent < kTableGap && sent != 0) return;
    sent = now;
    Table table;
    table.answer = true;
    for (const auto& [id, node] : nodes_) table.nodes.push_back(node);
    out_.tables.push_back({from, std::move(table)});
  }
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
        have.state = state;
        have.accusers = both;
        if (changed) {
          out_.changed.push_back(have);
          Spread(have);
        }
        return;
      }
    }
    bool changed = have.state != node.state || have.life != node.life;
    have = node;
    auto heard = heard_.find(node.id);
    if (heard != heard_.end()) heard->second = now;
    if (changed) {
      out_.changed.push_back(node);
      Spread(node);
    }
    return;
  }
  nodes_[node.id] = node;
  out_.changed.push_back(node);
}

void Membership::OnTable(base::Millis now, const base::Address& from, const Table& table) {
  now_ = std::max(now_, now);
  for (const Node& node : table.nodes) Merge(now, node);
  if (!table.answer) return;
  Table reply;
  for (const auto& [id, node] : nodes_) reply.nodes.push_back(node);
  out_.tables.push_back({from, std::move(reply)});
}

void Membership::Leave(base::Millis now) {
  now_ = now;
  self_.state = State::kLeft;
  ++self_.incarnation;
  nodes_[self_.id] = self_;
  Spread(self_);
  for (const Node* watcher : WatchersOf(self_.id)) {
    out_.tables.push_back({watcher->address(), Table{{self_}, false}});
  }
}

}  // namespace elderkeel::ring
