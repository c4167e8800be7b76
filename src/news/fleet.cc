#include "news/fleet.h"

#include <algorithm>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::news {
namespace {

constexpr base::Millis kTickMs = 50;
constexpr size_t kDatagramBytes = 1300;

uint16_t PortOf(const base::Settings& settings, ring::Program program) {
  return program == ring::Program::kController ? settings.ControllerPort() : settings.ProxyPort();
}

ring::Membership::Options MemberOptions(const base::Settings& settings, ring::Program program) {
  ring::Membership::Options options;
  ring::Node& self = options.self;
  self.ip = settings.ip;
  self.port = PortOf(settings, program);
  self.id = base::Hash(self.address().ToString());
  self.program = program;
  self.zone = settings.zone;
  self.life = base::SystemSeed();
  self.front = program == ring::Program::kProxy ? settings.front.port : 0;
  self.durable = program == ring::Program::kController && !settings.data_dir.empty();
  options.regions = settings.zones;
  options.heartbeat = settings.heartbeat_ms;
  options.seed = base::SystemSeed();
  return options;
}

std::vector<base::Address> SeedNodes(const base::Settings& settings, ring::Program program) {
  std::vector<base::Address> seeds;
  for (const base::Address& seed : settings.seeds) {
    base::Address node{seed.ip, settings.ControllerPort()};
    if (node.ip != settings.ip || program != ring::Program::kController) seeds.push_back(node);
  }
  return seeds;
}

Exchange::Options NewsOptions(const base::Settings& settings) {
  Exchange::Options options;
  options.seed = base::SystemSeed();
  options.digest_every = settings.digest_ms;
  return options;
}

}  // namespace

Fleet::Fleet(base::Loop* loop, const base::Settings& settings, ring::Program program, Hooks hooks)
    : loop_(loop),
      settings_(settings),
      hooks_(std::move(hooks)),
      mesh_(loop, {settings.ip, PortOf(settings, program)},
            [this](const base::Address& from, wire::Kind kind, std::string_view payload) {
              OnMessage(from, kind, payload);
            }),
      members_(MemberOptions(settings, program), SeedNodes(settings, program),
               base::SteadyMillis()),
      exchange_(NewsOptions(settings), &members_, base::SteadyMillis()) {}

base::Result<bool> Fleet::Start() {
  auto listening = mesh_.Listen();
  if (!listening) return listening;
  Tick();
  return true;
}

void Fleet::Tick() {
  base::Millis now = base::SteadyMillis();
  members_.Tick(now);
  exchange_.Tick(now);
  tick_at_ = 0;
  Pump();
}

void Fleet::Schedule() {
  base::Millis now = base::SteadyMillis();
  base::Millis due = std::min(members_.DueAt(), exchange_.DueAt());
  base::Millis wait = base::UntilMultiple(now, std::max<base::Millis>(due - now, 1), kTickMs);
  if (tick_at_ != 0 && tick_at_ <= now + wait) return;
  tick_at_ = now + wait;
  tick_.Start(loop_, wait, [this] { Tick(); });
}

void Fleet::Leave() {
  members_.Leave(base::SteadyMillis());
  Pump();
}

void Fleet::Commit(const configuration::Register& state) {
  exchange_.Commit(base::SteadyMillis(), state);
  Pump();
}
void Fleet::Commit(const evacuation::Orders& orders) {
  exchange_.Commit(orders);
  Pump();
}
void Fleet::Commit(const rollout::Rollouts& rollouts) {
  exchange_.Commit(rollouts);
  Pump();
}
void Fleet::NoteRolloutVersion(const base::Address& from, uint64_t version) {
  exchange_.OnRolloutVersion(base::SteadyMillis(), from, version);
  Pump();
}
void Fleet::AskDigest(const base::Address& to) {
  Digest digest = exchange_.OwnDigest(base::SteadyMillis());
  digest.answer = true;
  SendDigest(to, std::move(digest));
}
void Fleet::SetReady(bool ready) {
  members_.SetReady(ready);
  Pump();
}
bool Fleet::Publish(catalog::Catalog catalog) {
  bool taken = exchange_.Publish(base::SteadyMillis(), std::move(catalog));
  Pump();
  return taken;
}
void Fleet::Confirm(uint64_t epoch) {
  exchange_.Confirm(base::SteadyMillis(), epoch);
  Pump();
}
void Fleet::AdoptOwnReading(std::vector<catalog::Server> servers) {
  exchange_.AdoptOwnReading(base::SteadyMillis(), std::move(servers));
  Pump();
}

std::vector<base::Address> Fleet::Controllers() const {
  std::vector<base::Address> near, far;
  for (const ring::Node* node : members_.Others()) {
    if (node->program != ring::Program::kController) continue;
    (node->zone == settings_.zone ? near : far).push_back(node->address());
  }
  near.insert(near.end(), far.begin(), far.end());
  // Those without a disk have no part in the log where others have one; they come last.
  std::stable_partition(near.begin(), near.end(), [this](const base::Address& address) {
    const ring::Node* node = members_.Find(address);
    return node && node->durable;
  });
  for (const base::Address& seed : settings_.seeds) {
    base::Address address{seed.ip, settings_.ControllerPort()};
    bool known = false;
    for (const base::Address& a : near) known |= a == address;
    if (!known) near.push_back(address);
  }
  return near;
}

void Fleet::OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload) {
  base::Millis now = base::SteadyMillis();
  // A frame that is whole and yet can't be read comes from a peer of another make.
  auto take = [&](auto message, auto use) {
    auto read = wire::Decode<decltype(message)>(payload);
    if (read) {
      use(*read);
    } else {
      base::Warn("message.dropped", base::Error{"news.read", from.ToString(), "can't be read"});
    }
  };
  switch (kind) {
    case wire::Kind::kHeartbeat:
      take(ring::Heartbeat(), [&](const auto& m) { members_.OnHeartbeat(now, from, m); });
      break;
    case wire::Kind::kMembers:
      take(ring::Table(), [&](const auto& m) { members_.OnTable(now, from, m); });
      break;
    case wire::Kind::kSums:
      take(ring::Sums(), [&](const auto& m) { members_.OnSums(now, from, m); });
      break;
    case wire::Kind::kSummary:
      take(ring::Summary(), [&](const auto& m) { members_.OnSummary(now, from, m); });
      break;
    case wire::Kind::kEvacuationNews:
      take(EvacuationNews(), [&](const auto& m) { exchange_.OnEvacuation(now, from, m); });
      break;
    case wire::Kind::kRolloutNews:
      take(RolloutNews(), [&](const auto& m) { exchange_.OnRollouts(now, from, m); });
      break;
    case wire::Kind::kDigest:
      take(Digest(), [&](const auto& m) {
        // Levelling takes two: what is told back is what was here before the other's was heard.
        if (m.answer && hooks_.demand_told) told_back_ = {from, hooks_.demand_told()};
        if (hooks_.demand_heard && !m.demand.empty()) hooks_.demand_heard(m.demand);
        exchange_.OnDigest(now, from, m);
      });
      break;
    case wire::Kind::kPull:
      take(Pull(), [&](const auto& m) { exchange_.OnPull(now, from, m); });
      break;
    case wire::Kind::kConfigNews:
      take(ConfigNews(), [&](const auto& m) { exchange_.OnConfig(now, from, m); });
      break;
    case wire::Kind::kCatalogNews:
      take(CatalogNews(), [&](const auto& m) { exchange_.OnCatalog(now, from, m); });
      break;
    default:
      if (hooks_.other) hooks_.other(from, kind, payload);
      break;
  }
  Pump();
}

// What fits a datagram needs no connection to a node that may be gone.
void Fleet::SendSmall(const base::Address& to, wire::Kind kind, const std::string& bytes) {
  if (bytes.size() > kDatagramBytes || !mesh_.SendDatagram(to, kind, std::string_view(bytes))) {
    mesh_.Send(to, kind, std::string_view(bytes));
  }
}

void Fleet::SendDigest(const base::Address& to, Digest digest) {
  if (digest.answer) {
    if (hooks_.demand_told) digest.demand = hooks_.demand_told();
  } else if (to == told_back_.first) {
    digest.demand = std::move(told_back_.second);
    told_back_ = {};
  }
  if (digest.sure || !mesh_.SendDatagram(to, wire::Kind::kDigest, digest)) {
    mesh_.Send(to, wire::Kind::kDigest, digest);
  }
}

void Fleet::Pump() {
  if (pumping_) return;
  pumping_ = true;
  base::Millis now = base::SteadyMillis();
  for (;;) {
    ring::Membership::Effects ring = members_.Take();
    for (const ring::Node& node : ring.changed) {
      base::Debug("node.changed", {{"node", node.address().ToString()},
                                   {"state", ring::StateName(node.state)},
                                   {"incarnation", node.incarnation}});
      if (node.state == ring::State::kAlive) exchange_.OnHeard(now, node);
      if (!node.reachable()) exchange_.OnLost(node);
      if (hooks_.node_changed) hooks_.node_changed(node);
    }
    Exchange::Effects news = exchange_.Take();
    for (auto& [to, m] : ring.heartbeats) mesh_.SendDatagram(to, wire::Kind::kHeartbeat, m);
    for (auto& [to, m] : ring.tables) {
      // What a process says of itself, a refutation above all, must not be lost on a full link.
      bool own = std::any_of(m.nodes.begin(), m.nodes.end(), [this](const ring::Node& node) {
        return node.id == members_.self().id;
      });
      std::string bytes = wire::Encode(m);
      if (own && members_.self().incarnation > 1) {
        mesh_.Send(to, wire::Kind::kMembers, std::string_view(bytes));
      } else {
        SendSmall(to, wire::Kind::kMembers, bytes);
      }
    }
    for (auto& [to, m] : ring.sums) mesh_.SendDatagram(to, wire::Kind::kSums, m);
    for (auto& [to, m] : ring.summaries) SendSmall(to, wire::Kind::kSummary, wire::Encode(m));
    for (auto& [to, m] : news.digests) SendDigest(to, std::move(m));
    for (auto& [to, m] : news.pulls) mesh_.Send(to, wire::Kind::kPull, m);
    for (auto& [to, m] : news.rollouts) mesh_.Send(to, wire::Kind::kRolloutNews, m);
    for (auto& [to, m] : news.configs) mesh_.Send(to, wire::Kind::kConfigNews, m);
    for (auto& [to, m] : news.catalogs) mesh_.Send(to, wire::Kind::kCatalogNews, m);
    for (auto& [to, m] : news.evacuations) mesh_.Send(to, wire::Kind::kEvacuationNews, m);
    if (news.rollouts_adopted && hooks_.rollouts_adopted) hooks_.rollouts_adopted();
    if (news.config_adopted && hooks_.config_adopted) hooks_.config_adopted();
    if (news.catalog_adopted && hooks_.catalog_adopted) hooks_.catalog_adopted();
    if (news.evacuation_adopted && hooks_.evacuation_adopted) hooks_.evacuation_adopted();
    if (ring.empty() && news.empty()) break;
  }
  pumping_ = false;
  Schedule();
}

}  // namespace elderkeel::news
