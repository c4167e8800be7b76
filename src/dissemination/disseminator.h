#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "configuration/configuration_state.h"
#include "discovery/endpoints.h"
#include "dissemination/freshness.h"
#include "dissemination/messages.h"
#include "dissemination/patch_history.h"
#include "dissemination/sync.h"
#include "dissemination/versions.h"
#include "membership/membership.h"
#include "rollout/rollouts.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::dissemination {

// How updates reach every node, as a pure state machine, by two paths.
//
// Push: a node forwards what is new to it to a few others, one for each zone that has no other
// source and some of its own zone. What is small is sent at once; what is large is announced by a
// digest, so that each node takes it once. Nodes also exchange digests with a random peer. This is
// fast, and promises nothing: any of these messages may be lost or end at a node that is cut off.
//
// Pull: each node knows how old its own state may be (`Freshness`), and asks its peers in turn,
// over zones too, once that is too old (`SyncSchedule`). The bound on how late a node learns of a
// change follows from the timers of this path alone; docs/dissemination.md adds it up.
//
// While a process runs nothing older replaces anything newer.
class Disseminator {
 public:
  enum class Topic : uint8_t { kConfiguration, kEndpoints, kZoneDrain, kRollouts };
  struct Options {
    uint64_t seed = 1;
    base::Millis digest_every = 400;
    int in_zone_share = 8;  // of so many digest exchanges, all but one stay in the zone
    // What is known to be younger than this is not asked for.
    base::Millis max_age = 900;
    // Controllers that may be asked before membership knows of any.
    std::vector<base::Address> seeds;
  };
  struct Effects {
    std::vector<std::pair<base::Address, Digest>> digests;
    std::vector<std::pair<base::Address, PullRequest>> pulls;
    std::vector<std::pair<base::Address, SyncRequest>> sync_requests;
    std::vector<std::pair<base::Address, ConfigurationUpdate>> configuration_updates;
    std::vector<std::pair<base::Address, EndpointUpdate>> endpoint_updates;
    std::vector<std::pair<base::Address, ZoneDrainUpdate>> zone_drains;
    std::vector<std::pair<base::Address, RolloutUpdate>> rollouts;
    // After all else that goes to the same peer: over a connection if `follows` says so.
    struct Reply {
      base::Address to;
      SyncReply reply;
      bool follows = false;
    };
    std::vector<Reply> sync_replies;
    bool configuration_adopted = false;
    bool endpoints_adopted = false;
    std::optional<base::Address> endpoints_from;  // who sent them; none for a reading of this node
    bool zone_drains_adopted = false;
    bool rollouts_adopted = false;
    // Messages that carry state.
    size_t updates() const {
      return configuration_updates.size() + endpoint_updates.size() + zone_drains.size() +
             rollouts.size();
    }
    bool empty() const {
      return digests.empty() && pulls.empty() && sync_requests.empty() && sync_replies.empty() &&
             updates() == 0 && !configuration_adopted && !endpoints_adopted &&
             !zone_drains_adopted && !rollouts_adopted;
    }
  };

  Disseminator(Options options, const membership::Membership* members, base::Millis now);

  void Tick(base::Millis now);
  // When the next tick has something to do.
  base::Millis DueAt() const;
  void OnDigest(base::Millis now, const base::Address& from, const Digest& digest);
  void OnPullRequest(base::Millis now, const base::Address& from, const PullRequest& pull);
  void OnSyncRequest(base::Millis now, const base::Address& from, const SyncRequest& request);
  void OnSyncReply(base::Millis now, const base::Address& from, const SyncReply& reply);
  // Something that was to go there could not be sent: it may be sent again at once.
  void OnSendFailed(const base::Address& to) { sent_.erase(to); }
  void OnConfigurationUpdate(base::Millis now, const base::Address& from,
                             const ConfigurationUpdate& update);
  void OnEndpointUpdate(base::Millis now, const base::Address& from, const EndpointUpdate& update);
  void OnZoneDrainUpdate(base::Millis now, const base::Address& from,
                         const ZoneDrainUpdate& update);
  void OnRolloutUpdate(base::Millis now, const base::Address& from, const RolloutUpdate& update);
  // A node has this version of the roll-outs; if that is newer, it is asked for it.
  void OnRolloutVersion(base::Millis now, const base::Address& from, uint64_t version);
  // A node is alive for the first time, or again: it is sent what it missed.
  void OnNodeReachable(base::Millis now, const membership::Node& node);
  void OnNodeUnreachable(const membership::Node& node);

  // From the log, committed; only controllers call this.
  void Commit(base::Millis now, const configuration::ConfigurationState& state);
  void Commit(const zone_drain::DrainedZones& drained_zones);
  void Commit(const rollout::Rollouts& rollouts);
  // From this node's own reading of the platform, as the catalog reader. Epoch 0 is a reading that
  // no reader vouches for; it stays in the zone. False if the list of a later reader is here, since
  // this one was replaced and does not know it yet, or one that was asked for after this reading.
  bool Publish(base::Millis now, base::Millis asked_at, discovery::EndpointSnapshot endpoints);
  // The reader of `epoch` read the list and found it unchanged.
  void Confirm(base::Millis now, base::Millis asked_at, uint64_t epoch);
  // A reading for this node alone, when no update of the list comes any more. Of two lists that one
  // is newer whose question was put later: false if that is the one that is here.
  bool AdoptOwnReading(base::Millis asked_at, std::vector<discovery::Server> servers);

  // A majority has confirmed that what is here was all that was committed at `as_of`: to the
  // leader, or to a proxy that starts.
  void VouchForLog(base::Millis as_of);
  // For the reader of the list: what it published is the newest list of endpoints now.
  void VouchForEndpoints(base::Millis now);
  // Who vouches, as far as a controller knows it by the log; they are asked first.
  void SetVouchers(std::optional<base::Address> leader, std::optional<base::Address> reader);
  // What was adopted as the configuration can't be used: all of it is asked for anew.
  void RejectConfiguration();

  Effects TakeEffects();
  Digest OwnDigest(base::Millis now) const;

  int64_t revision() const { return revision_; }
  const std::string& configuration_text() const { return document_.text(); }
  // The patch that led to this configuration, and from which revision; empty if it came as a
  // complete document.
  const std::string& configuration_patch() const;
  int64_t configuration_base() const { return patches_.last() ? patches_.last()->base : 0; }
  const discovery::EndpointSnapshot& endpoints() const { return endpoints_; }
  const zone_drain::DrainedZones& drained_zones() const { return drained_zones_; }
  const rollout::Rollouts& rollouts() const { return rollouts_; }
  bool has_endpoints() const { return has_endpoints_; }
  // Milliseconds since what the log decides, as it is here, was known to be the newest; -1 for
  // never. All that was acknowledged before that moment is in force here.
  base::Millis log_age(base::Millis now) const { return log_.age(now); }
  base::Millis endpoints_age(base::Millis now) const { return endpoints_freshness_.age(now); }
  // Milliseconds since the platform was asked for the list, or for one that showed the same, at
  // most; -1 without a list.
  base::Millis endpoints_read_age(base::Millis now) const {
    return has_endpoints_ ? now - read_at_ : -1;
  }

 private:
  // A step in the list's history: what it was before, and which servers it touched.
  struct Step {
    uint64_t epoch;
    uint64_t sequence;
    std::vector<std::string> touched;
  };

  // What is asked for and under way, of one kind of large state.
  struct Fetch {
    base::Millis again_at = 0;  // not asked for before
    base::Millis gap = 0;       // grows until something newer is here
  };
  // How new another node's state is, as a digest or an answer says.
  struct PeerState {
    Versions versions;
    EndpointVersion endpoints;
    bool has_endpoints = false;
    base::Millis endpoints_read_at = -1;  // by this node's clock; -1 if not said
  };
  // What a peer has of the list, and what it may be sent.
  struct EndpointsWanted {
    EndpointVersion has;
    bool exact = false;         // it has the list just as `has` names it
    bool asked_for_it = false;  // then a large list is sent too
    int64_t asked_at = EndpointUpdate::kUnasked;
  };

  // As of when the state of a topic counts as known, for asking peers.
  template <class Version>
  base::Millis KnownAt(const Freshness<Version>& freshness) const;
  Versions OwnVersions() const;
  EndpointVersion OwnEndpointVersion() const { return {endpoints_.epoch, endpoints_.sequence}; }
  // What claims that a list is current are compared with: an own reading is no version of a list.
  EndpointVersion VerifiableEndpointVersion() const {
    return HasOwnReading() ? EndpointVersion() : OwnEndpointVersion();
  }
  // This node's own reading stands in the place of the reader's list, under its number.
  bool HasOwnReading() const { return has_endpoints() && !exact_ && endpoints_.epoch > 0; }
  // The age of the list for peers; an own reading is none that they could ask for.
  base::Millis SharedReadAge(base::Millis now) const {
    return HasOwnReading() ? -1 : endpoints_read_age(now);
  }
  // Whether a list of this version, read at that moment or later, is newer than the one that is
  // here.
  bool IsNewerList(const EndpointVersion& version, base::Millis read_at) const;
  // Whether the update says what changed in the very list that is here.
  bool BuildsOnOwnList(const EndpointUpdate& update) const;
  // Whether it is of a later reader that knew the list that is here, or a newer one, when it read.
  bool SucceedsOwnList(const EndpointUpdate& update) const;
  // The earliest moment at which the platform can have been asked for the update's list.
  base::Millis EarliestReading(base::Millis now, const EndpointUpdate& update) const;
  // Whether it was read after the list that is here by its numbers alone, without a look at
  // moments.
  bool IsSuccessor(const EndpointUpdate& update) const;
  bool IsNewerUpdate(base::Millis now, const EndpointUpdate& update) const;
  // The list that the update leads to, on this process's clock.
  std::vector<discovery::Server> Merge(base::Millis now, const EndpointUpdate& update) const;
  bool Lacks(const PeerState& peer) const;
  bool LacksEndpoints(const PeerState& peer) const;
  // Of all endpoints in an update, about.
  size_t EndpointsBytes() const;
  void NoteReadAt(const EndpointVersion& endpoints, base::Millis read_at);

  // False where it is too large to be sent unasked. What was just sent there is not sent again.
  bool SendConfiguration(base::Millis now, const base::Address& to, int64_t peer_has, bool asked);
  bool SendEndpoints(base::Millis now, const base::Address& to, const EndpointsWanted& wanted);
  // Fills in the servers that differ since before the step `first`; all if there is no such step.
  void FillServers(base::Millis now, size_t first, EndpointUpdate* update) const;
  // The first remembered step from what the peer has; the end if there is none.
  size_t FirstStepFrom(const EndpointsWanted& wanted) const;
  bool RecentlySent(base::Millis now, const base::Address& to, uint64_t what);
  // Sends all that the peer lacks and that is small. False if something is too large.
  bool SendMissing(base::Millis now, const base::Address& to, const PeerState& peer, bool exact,
                   int64_t asked_at);
  // Asks for what `peer` has beyond this node, each kind of state at most once in a while.
  void RequestMissing(base::Millis now, const base::Address& from, const PeerState& peer);
  bool MayFetch(base::Millis now, Fetch* fetch, size_t bytes);
  // Whether `from` may be asked for what it has beyond this node and did not send unasked.
  bool MayAsk(base::Millis now, const base::Address& from, const SyncReply& reply,
              const PeerState& peer);
  void Replace(discovery::EndpointSnapshot endpoints, bool exact);
  // What the log decides is newer here than before, by what `fetch` may have asked for.
  void LogAdvanced(Fetch* fetch);
  // Whom to send something new at once.
  std::vector<const membership::Node*> ForwardTargets(bool origin, size_t near_count);
  // `from`: who sent it; none if the update originates here.
  void Forward(base::Millis now, Topic topic, const base::Address* from);
  bool InOtherZone(const base::Address& from) const;
  // Others of the zone; those suspected or dead too: they may only be hard to reach.
  std::vector<const membership::Node*> ZonePeers() const;
  // Asks for what is too old here, if that is due.
  void RequestSync(base::Millis now);

  Options options_;
  const membership::Membership* membership_;
  base::Random random_;
  int64_t revision_ = 0;
  configuration::ParsedConfiguration document_;
  bool document_rejected_ = false;
  PatchHistory patches_;
  discovery::EndpointSnapshot endpoints_;
  bool exact_ = false;
  std::deque<Step> history_;  // leads up to endpoints_
  zone_drain::DrainedZones drained_zones_;
  rollout::Rollouts rollouts_;
  bool has_endpoints_ = false;
  // The platform was asked for what endpoints_ show at `read_at_` or later, and before or at
  // `read_before_`, on this process's clock: how long an update was on its way is not known.
  base::Millis read_at_ = -1;
  base::Millis read_before_ = -1;
  EndpointVersion succeeds_;         // what their reader had when it began
  EndpointVersion not_known_newer_;  // a later reader's list that was offered and not taken
  base::Millis started_at_;
  base::Millis digest_at_ = 0;
  base::Millis lacking_since_ = -1;  // as answers of peers say; -1 for not
  Fetch fetch_configuration_, fetch_endpoints_, fetch_other_;
  size_t document_bytes_ = 0;  // of the newest configuration that a peer has
  Freshness<Versions> log_;
  Freshness<EndpointVersion> endpoints_freshness_;
  SyncSchedule log_schedule_;
  SyncSchedule endpoints_schedule_;
  std::optional<base::Address> leader_;
  std::optional<base::Address> reader_;
  std::set<uint64_t>
      missed_updates_;  // nodes that missed updates, among those that this one monitors
  struct Sent {
    base::Millis at = 0;
    uint64_t what = 0;
  };
  std::map<base::Address, Sent> sent_;  // large things, lately
  Effects out_;
};

}  // namespace elderkeel::dissemination
