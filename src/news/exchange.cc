#include "news/exchange.h"

#include <algorithm>

namespace elderkeel::news {
namespace {
constexpr size_t kFanOut = 3;  // of the node that news starts from in a zone
constexpr size_t kPassOn = 2;  // of a node that heard it from another
constexpr base::Millis kPullGap = 100;
}  // namespace

Exchange::Exchange(Options options, const ring::Membership* members, base::Millis now)
    : options_(options), members_(members), random_(options.seed), digest_at_(now) {}

Exchange::Effects Exchange::Take() {
  Effects taken = std::move(out_);
  out_ = Effects();
  return taken;
}

Digest Exchange::OwnDigest(base::Millis now) const {
  Digest digest;
  digest.revision = revision_;
  digest.epoch = catalog_.epoch;
  digest.sequence = catalog_.sequence;
  digest.catalog_age_ms = catalog_age(now);
  return digest;
}

void Exchange::Tick(base::Millis now) {
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
}

void Exchange::OnDigest(base::Millis now, const base::Address& from, const Digest& digest) {
  if (digest.epoch == catalog_.epoch && digest.sequence == catalog_.sequence && has_catalog() &&
      digest.catalog_age_ms >= 0) {
    read_at_ = std::max(read_at_, now - digest.catalog_age_ms);
  }
  bool they_miss_config = digest.revision < revision_;
  bool they_miss_catalog = has_catalog() && catalog_.NewerThan(digest.epoch, digest.sequence);
  bool we_miss = digest.revision > revision_ || (digest.catalog_age_ms >= 0 && !has_catalog()) ||
                 digest.epoch > catalog_.epoch ||
                 (digest.epoch == catalog_.epoch && digest.sequence > catalog_.sequence);
  if (they_miss_config) SendConfig(from, digest.revision);
  if (they_miss_catalog) SendCatalog(now, from);
  if (we_miss && now >= pull_at_) {
    pull_at_ = now + kPullGap;
    out_.pulls.push_back({from, Pull{revision_, catalog_.epoch, catalog_.sequence}});
  }
  if (digest.answer) out_.digests.push_back({from, OwnDigest(now)});
}

void Exchange::OnPull(base::Millis now, const base::Address& from, const Pull& pull) {
  if (revision_ > pull.revision) SendConfig(from, pull.revision);
  if (has_catalog() && (catalog_.NewerThan(pull.epoch, pull.sequence) || pull.epoch == 0)) {
    SendCatalog(now, from);
  }
}

void Exchange::SendConfig(const base::Address& to, int64_t peer_has) {
  if (revision_ == 0) return;
  if (!patch_.empty() && peer_has == patch_base_) {
    out_.configs.push_back({to, ConfigNews{revision_, patch_base_, patch_}});
  } else {
    out_.configs.push_back({to, ConfigNews{revision_, 0, text_}});
  }
}

void Exchange::SendCatalog(base::Millis now, const base::Address& to) {
  out_.catalogs.push_back({to, CatalogNews{catalog_, catalog_age(now)}});
}

std::vector<const ring::Node*> Exchange::Audience(bool origin) {
  const std::string& zone = members_->self().zone;
  std::vector<const ring::Node*> near;
  std::map<std::string, std::vector<const ring::Node*>> far;
  for (const ring::Node* node : members_->Others()) {
    if (node->zone == zone) {
      near.push_back(node);
    } else if (origin) {
      far[node->zone].push_back(node);
    }
  }
  std::vector<const ring::Node*> audience;
  size_t count = origin ? kFanOut : kPassOn;
  while (!near.empty() && audience.size() < count) {
    size_t pick = random_.Below(near.size());
    audience.push_back(near[pick]);
    near.erase(near.begin() + static_cast<long>(pick));
  }
  for (auto& [name, nodes] : far) audience.push_back(nodes[random_.Below(nodes.size())]);
  return audience;
}

void Exchange::Pass(base::Millis now, bool config, bool origin) {
  for (const ring::Node* node : Audience(origin)) {
    if (config) {
      SendConfig(node->address(), patch_base_);
    } else {
      SendCatalog(now, node->address());
    }
    if (node->state != ring::State::kAlive) hints_[node->id] = true;
  }
  for (const auto& [id, node] : members_->nodes()) {
    if (!node.reachable()) hints_[id] = true;
  }
}

void Exchange::OnConfig(base::Millis now, const base::Address& from, const ConfigNews& news) {
  if (news.revision <= revision_) return;
  if (news.base != 0) {
    if (news.base != revision_ || text_.empty()) {
      if (now >= pull_at_) {
        pull_at_ = now + kPullGap;
        // Asking as one that has nothing brings the whole document.
        out_.pulls.push_back({from, Pull{0, catalog_.epoch, catalog_.sequence}});
      }
      return;
    }
    configuration::Patched patched = configuration::ApplyPatch(text_, news.body);
    if (!patched.refusal.reason.empty()) return;
    text_ = std::move(patched.text);
    patch_base_ = revision_;
    patch_ = news.body;
  } else {
    text_ = news.body;
    patch_base_ = 0;
    patch_.clear();
  }
  revision_ = news.revision;
  out_.config_adopted = true;
  Pass(now, true, false);
}

void Exchange::Commit(base::Millis now, const configuration::Register& state) {
  if (state.revision() <= revision_) return;
  bool patch = state.base() != 0 && state.newest().patch;
  revision_ = state.revision();
  text_ = state.text();
  patch_base_ = patch ? state.base() : 0;
  patch_ = patch ? state.newest().body : "";
  out_.config_adopted = true;
  // Every controller applies the log by itself and serves its own zone.
  Pass(now, true, false);
  for (const ring::Node* node : members_->Others()) {
    if (node->zone == members_->self().zone && node->program == ring::Program::kProxy) {
      SendConfig(node->address(), patch_base_);
    }
  }
}

bool Exchange::Publish(base::Millis now, catalog::Catalog catalog) {
  if (has_catalog() && !catalog.NewerThan(catalog_.epoch, catalog_.sequence)) return false;
  catalog_ = std::move(catalog);
  read_at_ = now;
  out_.catalog_adopted = true;
  Pass(now, false, catalog_.epoch > 0);
  if (catalog_.epoch > 0) return true;
  for (const ring::Node* node : members_->Others()) {
    if (node->zone == members_->self().zone) SendCatalog(now, node->address());
  }
  return true;
}

void Exchange::Confirm(base::Millis now, uint64_t epoch) {
  if (epoch == catalog_.epoch) read_at_ = now;
}

void Exchange::AdoptOwnReading(base::Millis now, std::vector<catalog::Server> servers) {
  bool changed = !has_catalog() || !catalog::SameServers(servers, catalog_.servers);
  catalog_.servers = std::move(servers);
  read_at_ = now;
  out_.catalog_adopted |= changed;
}

void Exchange::OnCatalog(base::Millis now, const base::Address&, const CatalogNews& news) {
  bool newer = news.catalog.NewerThan(catalog_.epoch, catalog_.sequence);
  if (!newer && has_catalog()) return;
  catalog_ = news.catalog;
  read_at_ = now - std::max<int64_t>(0, news.age_ms);
  out_.catalog_adopted = true;
  Pass(now, false, false);
}

void Exchange::OnHeard(base::Millis now, const ring::Node& node) {
  // Handed over by those that kept a hint; others only compare.
  auto hint = hints_.find(node.id);
  if (hint != hints_.end()) {
    hints_.erase(hint);
    SendConfig(node.address(), 0);
    if (has_catalog()) SendCatalog(now, node.address());
    return;
  }
  if (node.zone == members_->self().zone) {
    Digest digest = OwnDigest(now);
    digest.answer = true;
    out_.digests.push_back({node.address(), digest});
  }
}

void Exchange::OnLost(const ring::Node& node) { hints_.emplace(node.id, true); }

}  // namespace elderkeel::news
