#include "dissemination/disseminator.h"

#include <algorithm>

namespace elderkeel::dissemination {
namespace {
constexpr size_t kFanOut = 4;       // of the node that an update starts from in a zone
constexpr size_t kRelayFanOut = 2;  // of a node that heard it from another
constexpr base::Millis kPullInterval = 250;
constexpr int kSilentDigests =
    3;  // digests without any word from anybody, before it is asked surely
constexpr base::Millis kResendAfter = 500;  // something large is not sent twice in so long
constexpr size_t kSmall = 4096;             // bytes that may be sent to a peer unasked
constexpr size_t kSmallServers = 48;        // changed servers that may be sent unasked
constexpr size_t kHistory = 64;             // steps of the list that are remembered
constexpr size_t kTouchedLimit = 2048;      // servers that all these steps may name
}  // namespace

Disseminator::Disseminator(Options options, const ring::Membership* members, base::Millis now)
    : options_(options),
      members_(members),
      random_(options.seed),
      digest_at_(now),
      received_at_(now) {}

Disseminator::Effects Disseminator::Take() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

Digest Disseminator::OwnDigest(base::Millis now) const {
  Digest digest;
  digest.revision = revision_;
  digest.epoch = catalog_.epoch;
  digest.sequence = catalog_.sequence;
  digest.evacuation = orders_.version();
  digest.rollouts = rollouts_.version();
  digest.catalog_age_ms = static_cast<int32_t>(std::min<base::Millis>(catalog_age(now), INT32_MAX));
  return digest;
}

void Disseminator::Tick(base::Millis now) {
  if (now < digest_at_) return;
  digest_at_ = now + options_.digest_every;
  std::vector<const ring::Node*> near, all = members_->Others();
  for (const ring::Node* node : all) {
    if (node->zone == members_->self().zone) near.push_back(node);
  }
  bool far = near.empty() || random_.Below(static_cast<uint64_t>(options_.in_zone_share)) == 0;
  const auto& from = far ? all : near;
  if (from.empty()) return;
  Digest digest = OwnDigest(now);
  digest.answer = true;
  out_.digests.push_back({from[random_.Below(from.size())]->address(), digest});
  if (now - received_at_ > options_.digest_every * kSilentDigests) RequestSyncReliably(now);
}

std::vector<const ring::Node*> Disseminator::ZonePeers() const {
  std::vector<const ring::Node*> neighbours;
  const ring::Node& self = members_->self();
  for (const auto& [id, node] : members_->nodes()) {
    if (node.zone == self.zone && id != self.id && node.state != ring::State::kLeft) {
      neighbours.push_back(&node);
    }
  }
  return neighbours;
}

// A machine whose link is full loses datagrams, its heartbeats too: the others hold it for lost,
// and no update comes any more, though it serves on. A connection gets through where datagrams
// don't.
void Disseminator::RequestSyncReliably(base::Millis now) {
  received_at_ = now;  // not at every turn
  Digest digest = OwnDigest(now);
  digest.answer = digest.reliable = true;
  // A controller near by, or any node of the zone; also one that is held for lost from here.
  std::vector<const ring::Node*> core, near;
  for (const ring::Node* node : ZonePeers()) (node->durable ? core : near).push_back(node);
  const auto& from = core.empty() ? near : core;
  if (!from.empty()) out_.digests.push_back({from[random_.Below(from.size())]->address(), digest});
}

void Disseminator::RequestMissing(base::Millis now, const base::Address& from, bool whole_config) {
  if (now < pull_at_) return;
  pull_at_ = now + kPullInterval;
  // Asking as one that has nothing brings the whole document.
  out_.pulls.push_back(
      {from, PullRequest{whole_config ? 0 : revision_, catalog_.epoch, catalog_.sequence,
                         orders_.version(), rollouts_.version(), exact_}});
}

void Disseminator::OnDigest(base::Millis now, const base::Address& from, const Digest& digest) {
  received_at_ = now;
  if (digest.epoch == catalog_.epoch && digest.sequence == catalog_.sequence && has_catalog() &&
      digest.catalog_age_ms >= 0) {
    read_at_ = std::max(read_at_, now - digest.catalog_age_ms);
  }
  bool we_miss = digest.revision > revision_ || (digest.catalog_age_ms >= 0 && !has_catalog()) ||
                 digest.epoch > catalog_.epoch || digest.evacuation > orders_.version() ||
                 digest.rollouts > rollouts_.version() ||
                 (digest.epoch == catalog_.epoch && digest.sequence > catalog_.sequence);
  bool told = false;
  // Before the list: a node that knows of servers must know which of them it may send to.
  if (digest.rollouts < rollouts_.version()) out_.rollouts.push_back({from, {rollouts_}});
  if (digest.revision < revision_) told |= !SendConfig(now, from, digest.revision, false);
  if (has_catalog() && catalog_.NewerThan(digest.epoch, digest.sequence)) {
    told |= !SendCatalog(now, from, digest.epoch, digest.sequence, true, false);
  }
  if (digest.evacuation < orders_.version()) out_.evacuations.push_back({from, {orders_}});
  if (we_miss) RequestMissing(now, from, false);
  // What is too large to be sent unasked is asked for by a peer that sees this node's digest.
  if (digest.answer || told) {
    Digest own = OwnDigest(now);
    own.reliable = digest.reliable;
    out_.digests.push_back({from, own});
  }
}

void Disseminator::OnPull(base::Millis now, const base::Address& from, const PullRequest& pull) {
  if (rollouts_.version() > pull.rollouts) out_.rollouts.push_back({from, {rollouts_}});
  if (revision_ > pull.revision) SendConfig(now, from, pull.revision, true);
  bool truer =
      exact_ && !pull.exact && pull.epoch == catalog_.epoch && pull.sequence == catalog_.sequence;
  if (has_catalog() &&
      (catalog_.NewerThan(pull.epoch, pull.sequence) || truer || pull.epoch == 0)) {
    SendCatalog(now, from, pull.epoch, pull.sequence, pull.exact, true);
  }
  if (orders_.version() > pull.evacuation) out_.evacuations.push_back({from, {orders_}});
}

bool Disseminator::RecentlySent(base::Millis now, const base::Address& to, uint64_t what) {
  Sent& sent = sent_[to];
  if (sent.what == what && now - sent.at < kResendAfter) return true;
  sent = {now, what};
  return false;
}

bool Disseminator::SendConfig(base::Millis now, const base::Address& to, int64_t peer_has,
                              bool asked) {
  if (revision_ == 0) return true;
  bool patch = !patch_.empty() && peer_has == patch_base_;
  const std::string& body = patch ? patch_ : document_.text();
  if (body.size() > kSmall) {
    if (!asked) return false;
    if (RecentlySent(now, to, static_cast<uint64_t>(revision_) * 2)) return true;
  }
  out_.configs.push_back({to, ConfigurationUpdate{revision_, patch ? patch_base_ : 0, body}});
  return true;
}

bool Disseminator::SendCatalog(base::Millis now, const base::Address& to, uint64_t epoch,
                               uint64_t sequence, bool exact, bool asked) {
  EndpointUpdate update;
  update.epoch = catalog_.epoch;
  update.sequence = catalog_.sequence;
  update.exact = exact_;
  update.age_ms = static_cast<int32_t>(std::min<base::Millis>(catalog_age(now), INT32_MAX));
  // The steps from what the peer has, if they are remembered.
  size_t first = history_.size();
  for (size_t i = history_.size(); exact && exact_ && i-- > 0;) {
    if (history_[i].epoch == epoch && history_[i].sequence == sequence) {
      first = i;
      break;
    }
  }
  if (first < history_.size()) {
    update.whole = false;
    update.base_epoch = epoch;
    update.base_sequence = sequence;
    std::set<std::string> touched;
    for (size_t i = first; i < history_.size(); ++i) {
      touched.insert(history_[i].touched.begin(), history_[i].touched.end());
    }
    for (const std::string& id : touched) {
      auto at = std::lower_bound(
          catalog_.servers.begin(), catalog_.servers.end(), id,
          [](const catalog::Server& server, const std::string& want) { return server.id < want; });
      if (at != catalog_.servers.end() && at->id == id) {
        update.servers.push_back(*at);
      } else {
        update.gone.push_back(id);
      }
    }
  } else if (!asked && catalog_.servers.size() > kSmallServers) {
    return false;  // before the whole list is copied
  } else {
    update.servers = catalog_.servers;
  }
  if (update.servers.size() + update.gone.size() > kSmallServers) {
    if (!asked) return false;
    if (RecentlySent(now, to, catalog_.epoch << 32 | catalog_.sequence << 1 | 1)) return true;
  }
  for (catalog::Server& server : update.servers) {
    server.warmup_left_ms = static_cast<int32_t>(std::max<base::Millis>(0, server.warm_at - now));
  }
  out_.catalogs.push_back({to, std::move(update)});
  return true;
}

bool Disseminator::InOtherZone(const base::Address& from) const {
  const ring::Node* node = members_->Find(from);
  return node && node->zone != members_->self().zone;
}

std::vector<const ring::Node*> Disseminator::ForwardTargets(bool origin, size_t near_count) {
  const std::string& zone = members_->self().zone;
  std::vector<const ring::Node*> near;
  std::map<std::string, std::vector<const ring::Node*>> far, far_core;
  for (const ring::Node* node : members_->Others()) {
    if (node->zone == zone) {
      near.push_back(node);
    } else if (origin) {
      far[node->zone].push_back(node);
      if (node->durable) far_core[node->zone].push_back(node);
    }
  }
  std::vector<const ring::Node*> audience;
  while (!near.empty() && audience.size() < near_count) {
    size_t pick = random_.Below(near.size());
    audience.push_back(near[pick]);
    near.erase(near.begin() + static_cast<long>(pick));
  }
  // A zone's relay is a machine of the core, where one is in sight: it has the better link.
  for (auto& [name, nodes] : far) {
    auto core = far_core.find(name);
    const auto& from = core == far_core.end() ? nodes : core->second;
    audience.push_back(from[random_.Below(from.size())]);
  }
  return audience;
}

void Disseminator::Forward(base::Millis now, Topic topic, const base::Address* from) {
  bool origin = from == nullptr && topic == Topic::kCatalog && catalog_.epoch > 0;
  bool first_here = from == nullptr || InOtherZone(*from);
  Digest announce = OwnDigest(now);
  for (const ring::Node* node : ForwardTargets(origin, first_here ? kFanOut : kRelayFanOut)) {
    if (from && node->address() == *from) continue;
    bool sent = true;
    switch (topic) {
      case Topic::kConfiguration:
        sent = SendConfig(now, node->address(), patch_base_, false);
        break;
      case Topic::kCatalog:
        sent = !history_.empty() && SendCatalog(now, node->address(), history_.back().epoch,
                                                history_.back().sequence, true, false);
        break;
      case Topic::kEvacuation:
        out_.evacuations.push_back({node->address(), {orders_}});
        break;
      case Topic::kRollouts:
        out_.rollouts.push_back({node->address(), {rollouts_}});
        break;
    }
    if (!sent) out_.digests.push_back({node->address(), announce});
  }
}

void Disseminator::OnConfig(base::Millis now, const base::Address& from,
                            const ConfigurationUpdate& update) {
  received_at_ = now;
  if (update.revision <= revision_) return;
  if (update.base != 0) {
    // What a controller applied was checked there; it is checked no second time.
    if (update.base != revision_ || document_.empty() || !document_.Patch(update.body).empty()) {
      RequestMissing(now, from, true);
      return;
    }
    patch_base_ = revision_;
    patch_ = update.body;
  } else {
    document_ = configuration::IndexedDocument(update.body);
    patch_base_ = 0;
    patch_.clear();
  }
  revision_ = update.revision;
  out_.config_adopted = true;
  Forward(now, Topic::kConfiguration, &from);
}

void Disseminator::Commit(base::Millis now, const configuration::Register& state) {
  if (state.revision() <= revision_) return;
  bool patch = state.base() != 0 && !state.patch().empty();
  // Its own document follows the patch as a proxy's does: taking the other one's text would cost as
  // much as the text is long.
  bool follows = patch && state.base() == revision_ && !document_.empty() &&
                 document_.Patch(state.patch()).empty();
  if (!follows) document_ = state.document();
  revision_ = state.revision();
  patch_base_ = patch ? state.base() : 0;
  patch_ = patch ? state.patch() : "";
  out_.config_adopted = true;
  // Every controller applies the log by itself; one of a zone tells all of it.
  if (!members_->FirstOfZone()) {
    Forward(now, Topic::kConfiguration, nullptr);
    return;
  }
  for (const ring::Node* node : ZonePeers()) {
    if (node->program == ring::Program::kProxy) SendConfig(now, node->address(), patch_base_, true);
  }
}

void Disseminator::Commit(const evacuation::Orders& orders) {
  if (orders.version() <= orders_.version()) return;
  orders_ = orders;
  out_.evacuation_adopted = true;
  for (const ring::Node* node : ZonePeers()) {
    out_.evacuations.push_back({node->address(), {orders_}});
  }
}

void Disseminator::OnEvacuation(base::Millis now, const base::Address& from,
                                const ZoneDrainUpdate& update) {
  if (update.orders.version() <= orders_.version()) return;
  orders_ = update.orders;
  out_.evacuation_adopted = true;
  Forward(now, Topic::kEvacuation, &from);
}

// Every controller tells its own zone; each of its nodes passes it on once.
void Disseminator::Commit(const rollout::Rollouts& rollouts) {
  if (rollouts.version() <= rollouts_.version()) return;
  rollouts_ = rollouts;
  out_.rollouts_adopted = true;
  for (const ring::Node* node : ZonePeers()) {
    if (node->program == ring::Program::kProxy) {
      out_.rollouts.push_back({node->address(), {rollouts_}});
    }
  }
}

void Disseminator::OnRollouts(base::Millis now, const base::Address& from,
                              const RolloutUpdate& update) {
  received_at_ = now;
  if (update.rollouts.version() <= rollouts_.version()) return;
  rollouts_ = update.rollouts;
  out_.rollouts_adopted = true;
  Forward(now, Topic::kRollouts, &from);
}

void Disseminator::OnRolloutVersion(base::Millis now, const base::Address& from, uint64_t version) {
  received_at_ = now;
  if (version > rollouts_.version()) RequestMissing(now, from, false);
}

// Takes another list in place of this one, and remembers the step if both are exact.
void Disseminator::Replace(catalog::Catalog catalog, bool exact) {
  if (exact && exact_ && has_catalog()) {
    history_.push_back({catalog_.epoch, catalog_.sequence,
                        catalog::Differences(catalog_.servers, catalog.servers)});
    size_t touched = 0;
    for (const Step& step : history_) touched += step.touched.size();
    while (!history_.empty() && (history_.size() > kHistory || touched > kTouchedLimit)) {
      touched -= history_.front().touched.size();
      history_.pop_front();
    }
  } else {
    history_.clear();
  }
  catalog_ = std::move(catalog);
  exact_ = exact;
  out_.catalog_adopted = true;
}

bool Disseminator::Publish(base::Millis now, catalog::Catalog catalog) {
  if (has_catalog() && !catalog.NewerThan(catalog_.epoch, catalog_.sequence)) return false;
  bool vouched = catalog.epoch > 0;
  Replace(std::move(catalog), vouched);
  read_at_ = now;
  Forward(now, Topic::kCatalog, nullptr);
  if (vouched) return true;
  for (const ring::Node* node : members_->Others()) {
    if (node->zone == members_->self().zone) SendCatalog(now, node->address(), 0, 0, false, true);
  }
  return true;
}

void Disseminator::Confirm(base::Millis now, uint64_t epoch) {
  if (epoch != catalog_.epoch) return;
  read_at_ = now;
  // One node of each other zone hears what the newest is: a message that was lost on its way there
  // would else wait for a digest exchange that happens to cross zones.
  for (const ring::Node* node : ForwardTargets(true, 0)) {
    out_.digests.push_back({node->address(), OwnDigest(now)});
  }
}

void Disseminator::AdoptOwnReading(base::Millis now, std::vector<catalog::Server> servers) {
  if (has_catalog() && catalog::SameServers(catalog_.servers, servers)) {
    read_at_ = now;
    return;
  }
  Replace({catalog_.epoch, catalog_.sequence, std::move(servers)}, false);
  read_at_ = now;
}

void Disseminator::OnCatalog(base::Millis now, const base::Address& from,
                             const EndpointUpdate& update) {
  received_at_ = now;
  catalog::Catalog offered{update.epoch, update.sequence, {}};
  bool newer = offered.NewerThan(catalog_.epoch, catalog_.sequence);
  // The holder's own words replace a reading that this node made for itself meanwhile.
  bool truer = update.exact && !exact_ && update.whole && update.epoch == catalog_.epoch &&
               update.sequence == catalog_.sequence;
  if (!newer && !truer && has_catalog()) return;
  auto anchored = [now](catalog::Server server) {
    server.Anchor(now);
    return server;
  };
  if (update.whole) {
    for (const catalog::Server& server : update.servers)
      offered.servers.push_back(anchored(server));
  } else {
    if (!has_catalog() || !exact_ || update.base_epoch != catalog_.epoch ||
        update.base_sequence != catalog_.sequence) {
      RequestMissing(now, from, false);
      return;
    }
    std::map<std::string, catalog::Server> changed;
    for (const catalog::Server& server : update.servers) changed[server.id] = anchored(server);
    std::set<std::string> gone(update.gone.begin(), update.gone.end());
    for (const catalog::Server& server : catalog_.servers) {
      if (gone.count(server.id)) continue;
      changed.emplace(server.id, server);  // keeps what changed
    }
    for (auto& [id, server] : changed) offered.servers.push_back(std::move(server));
  }
  Replace(std::move(offered), update.exact);
  read_at_ = now - std::max<int32_t>(0, update.age_ms);
  Forward(now, Topic::kCatalog, &from);
}

void Disseminator::OnHeard(base::Millis now, const ring::Node& node) {
  // By those that kept a hint; what it missed it then asks for, once.
  if (hints_.erase(node.id) == 0) return;
  out_.digests.push_back({node.address(), OwnDigest(now)});
}

void Disseminator::OnLost(const ring::Node& node) {
  if (node.state == ring::State::kLeft) return;
  for (const ring::Node* watcher : members_->WatchersOf(node.id)) {
    if (watcher->id == members_->self().id) hints_.insert(node.id);
  }
}

}  // namespace elderkeel::dissemination
