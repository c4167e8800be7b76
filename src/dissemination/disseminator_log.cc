// The part of `Disseminator` that distributes the state decided by the log: the configuration, the
// drained zones and the roll-outs.
#include "dissemination/disseminator.h"

namespace elderkeel::dissemination {
namespace {
constexpr size_t kMaxUnsolicitedBytes = 4096;  // in an update that the peer did not request
}  // namespace

bool Disseminator::SendConfiguration(base::Millis now, const base::Address& to, int64_t peer_has,
                                     bool requested) {
  if (OwnVersions().revision == 0) return true;
  size_t first = patches_.From(peer_has, document_.MaxBytes());
  bool complete = first == patches_.size();
  size_t bytes = complete ? document_.MaxBytes() : 0;
  for (size_t i = first; i < patches_.size(); ++i) bytes += patches_.at(i).body.size();
  if (bytes > kMaxUnsolicitedBytes) {
    if (!requested) return false;
    if (RecentlySent(now, to, static_cast<uint64_t>(revision_) * 2)) return true;
  }
  if (complete)
    out_.configuration_updates.emplace_back(to,
                                            ConfigurationUpdate{revision_, 0, document_.text()});
  for (size_t i = first; i < patches_.size(); ++i) {
    const PatchHistory::Patch& patch = patches_.at(i);
    out_.configuration_updates.emplace_back(
        to, ConfigurationUpdate{patch.revision, patch.base, patch.body});
  }
  return true;
}

const std::string& Disseminator::configuration_patch() const {
  static const std::string kNone;
  return patches_.last() ? patches_.last()->body : kNone;
}

void Disseminator::LogAdvanced(Fetch* fetch) {
  *fetch = Fetch();
  log_.Advance(OwnVersions());
}

void Disseminator::RejectConfiguration() {
  document_rejected_ = true;
  patches_.Clear();
}

void Disseminator::OnConfigurationUpdate(base::Millis now, const base::Address& from,
                                         const ConfigurationUpdate& update) {
  // A revision that this node rejected may be received again: `OwnVersions` does not count it.
  if (update.revision < revision_ || update.revision <= OwnVersions().revision) return;
  if (update.base != 0 && update.base != OwnVersions().revision) {
    RequestMissing(now, from, PeerState{{update.revision, 0, 0}, {}, false});
    return;
  }
  if (update.base != 0) {
    // Controllers validated the patch when they applied it, so it isn't validated again here.
    if (document_.empty() || !document_.ApplyUnchecked(update.body)) {
      RejectConfiguration();
      RequestMissing(now, from, PeerState{{update.revision, 0, 0}, {}, false});
      return;
    }
    patches_.Add({update.base, update.revision, update.body});
  } else {
    document_ = configuration::ParsedConfiguration(update.body);
    patches_.Clear();
  }
  document_rejected_ = false;
  revision_ = update.revision;
  out_.configuration_adopted = true;
  LogAdvanced(&fetch_configuration_);
  Forward(now, Topic::kConfiguration, &from);
}

void Disseminator::Commit(base::Millis now, const configuration::ConfigurationState& state) {
  if (state.revision() <= revision_) return;
  bool patch = state.base_revision() != 0 && !state.patch().empty();
  // Applies the patch to this node's own document, as a proxy does: copying the state's document
  // would take time in proportion to its length.
  bool patched = patch && state.base_revision() == revision_ && !document_.empty() &&
                 document_.ApplyUnchecked(state.patch());
  if (!patched) {
    document_ = state.document();
    patches_.Clear();
  }
  revision_ = state.revision();
  document_rejected_ = false;
  if (patch) patches_.Add({state.base_revision(), state.revision(), state.patch()});
  out_.configuration_adopted = true;
  LogAdvanced(&fetch_configuration_);
  // Every controller applies the log itself, so only the zone's representative sends the
  // configuration to all proxies of the zone. The others forward it to a few nodes.
  if (!membership_->IsZoneRepresentative()) {
    Forward(now, Topic::kConfiguration, nullptr);
    return;
  }
  for (const membership::Node* node : ZonePeers()) {
    if (node->program == membership::Program::kProxy) {
      SendConfiguration(now, node->address(), configuration_base(), true);
    }
  }
}

void Disseminator::Commit(const zone_drain::DrainedZones& drained_zones) {
  if (drained_zones.version() <= drained_zones_.version()) return;
  drained_zones_ = drained_zones;
  out_.zone_drains_adopted = true;
  LogAdvanced(&fetch_other_);
  for (const membership::Node* node : ZonePeers()) {
    out_.zone_drains.push_back({node->address(), {drained_zones_}});
  }
}

void Disseminator::OnZoneDrainUpdate(base::Millis now, const base::Address& from,
                                     const ZoneDrainUpdate& update) {
  if (update.drained_zones.version() <= drained_zones_.version()) return;
  drained_zones_ = update.drained_zones;
  out_.zone_drains_adopted = true;
  LogAdvanced(&fetch_other_);
  Forward(now, Topic::kZoneDrain, &from);
}

// Every controller sends the update to the proxies of its own zone; each of these forwards it once.
void Disseminator::Commit(const rollout::Rollouts& rollouts) {
  if (rollouts.version() <= rollouts_.version()) return;
  rollouts_ = rollouts;
  out_.rollouts_adopted = true;
  LogAdvanced(&fetch_other_);
  for (const membership::Node* node : ZonePeers()) {
    if (node->program == membership::Program::kProxy) {
      out_.rollouts.push_back({node->address(), {rollouts_}});
    }
  }
}

void Disseminator::OnRolloutUpdate(base::Millis now, const base::Address& from,
                                   const RolloutUpdate& update) {
  if (update.rollouts.version() <= rollouts_.version()) return;
  rollouts_ = update.rollouts;
  out_.rollouts_adopted = true;
  LogAdvanced(&fetch_other_);
  Forward(now, Topic::kRollouts, &from);
}

void Disseminator::OnRolloutVersion(base::Millis now, const base::Address& from, uint64_t version) {
  if (version > rollouts_.version())
    RequestMissing(now, from, PeerState{{0, 0, version}, {}, false});
}

}  // namespace elderkeel::dissemination
