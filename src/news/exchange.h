#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "catalog/catalog.h"
#include "configuration/register.h"
#include "ring/membership.h"

namespace elderkeel::news {

// What a node has, in a few bytes; two nodes that compare them find every gap.
struct Digest {
  int64_t revision = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  int64_t catalog_age_ms = -1;  // since the platform was last read for it; -1 for never
  bool answer = false;          // the sender would like the receiver's digest
  template <class A>
  void serialize(A& a) {
    a(revision, epoch, sequence, catalog_age_ms, answer);
  }
};

// Asks for what the receiver has beyond this.
struct Pull {
  int64_t revision = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  template <class A>
  void serialize(A& a) {
    a(revision, epoch, sequence);
  }
};

// A committed configuration: whole, or the patch that leads to it from `base`.
struct ConfigNews {
  int64_t revision = 0;
  int64_t base = 0;
  std::string body;
  template <class A>
  void serialize(A& a) {
    a(revision, base, body);
  }
};

struct CatalogNews {
  catalog::Catalog catalog;
  int64_t age_ms = 0;
  template <class A>
  void serialize(A& a) {
    a(catalog, age_ms);
  }
};

// How news reaches every node, as a pure state machine: a node passes what is new to it to a few
// others, one for each zone that has no other source and some of its own zone, and mends what was
// missed by comparing digests with a random peer. What a missing peer should have had is remembered
// and handed over when it is heard again. Within one life nothing older replaces anything newer.
class Exchange {
 public:
  struct Options {
    uint64_t seed = 1;
    base::Millis digest_every = 400;
    int in_zone_share = 8;  // of so many digest exchanges, all but one stay in the zone
  };
  struct Effects {
    std::vector<std::pair<base::Address, Digest>> digests;
    std::vector<std::pair<base::Address, Pull>> pulls;
    std::vector<std::pair<base::Address, ConfigNews>> configs;
    std::vector<std::pair<base::Address, CatalogNews>> catalogs;
    bool config_adopted = false;
    bool catalog_adopted = false;
  };

  Exchange(Options options, const ring::Membership* members, base::Millis now);

  void Tick(base::Millis now);
  void OnDigest(base::Millis now, const base::Address& from, const Digest& digest);
  void OnPull(base::Millis now, const base::Address& from, const Pull& pull);
  void OnConfig(base::Millis now, const base::Address& from, const ConfigNews& news);
  void OnCatalog(base::Millis now, const base::Address& from, const CatalogNews& news);
  // A node was heard for the first time, or again.
  void OnHeard(base::Millis now, const ring::Node& node);
  void OnLost(const ring::Node& node);

  // From the log, committed; only controllers call this.
  void Commit(base::Millis now, const configuration::Register& state);
  // From this node's own reading of the platform, as the holder of the duty.
  // Epoch 0 is a reading that no holder vouches for; it stays in the zone.
  // False if news of a later holder is here already: this one was replaced and does not know it
  // yet.
  bool Publish(base::Millis now, catalog::Catalog catalog);
  // The holder of `epoch` read the list and found it unchanged.
  void Confirm(base::Millis now, uint64_t epoch);
  // A reading for this node alone, when no news of the list comes any more.
  void AdoptOwnReading(base::Millis now, std::vector<catalog::Server> servers);

  Effects Take();
  Digest OwnDigest(base::Millis now) const;

  int64_t revision() const { return revision_; }
  const std::string& config_text() const { return text_; }
  const catalog::Catalog& catalog() const { return catalog_; }
  bool has_catalog() const { return read_at_ >= 0; }
  base::Millis catalog_age(base::Millis now) const { return read_at_ < 0 ? -1 : now - read_at_; }

 private:
  void SendConfig(const base::Address& to, int64_t peer_has);
  void SendCatalog(base::Millis now, const base::Address& to);
  // Whom to tell at once of something new.
  std::vector<const ring::Node*> Audience(bool origin);
  void Pass(base::Millis now, bool config, bool origin);

  Options options_;
  const ring::Membership* members_;
  base::Random random_;
  int64_t revision_ = 0;
  std::string text_;
  int64_t patch_base_ = 0;
  std::string patch_;  // leads from patch_base_ to revision_; empty if there is none
  catalog::Catalog catalog_;
  base::Millis read_at_ = -1;
  base::Millis digest_at_ = 0;
  base::Millis pull_at_ = 0;
  std::map<uint64_t, bool> hints_;  // nodes that missed something
  Effects out_;
};

}  // namespace elderkeel::news
