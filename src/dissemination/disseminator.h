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

// Distributes the configuration, the endpoints, the drained zones and the roll-outs to every node,
// as a pure state machine. Each `cluster::ClusterNode` owns one: it passes in received messages and
// timer ticks, and sends the messages that `TakeEffects` returns.
//
// Updates take two paths:
//
// Push: a node forwards an update that is new to it to some nodes of its own zone and, where it is
// the update's only source for other zones, to one node of each. Small updates are sent at once;
// large ones are announced by a digest, so that each node fetches them once. Nodes also exchange
// digests with a random peer. This path is fast but gives no guarantee: any of its messages may be
// lost, or end at a node that is partitioned from the others.
//
// Pull: each node tracks how old its own state may be (`Freshness`) and, once that exceeds a limit,
// asks its peers in turn, across zones as well (`SyncSchedule`). The bound on how late a change
// reaches a node follows from the timers of this path alone; docs/dissemination.md derives it.
//
// Invariant: while a process runs, older state never replaces newer state.
class Disseminator {
 public:
  enum class Topic : uint8_t { kConfiguration, kEndpoints, kZoneDrain, kRollouts };
  struct Options {
    uint64_t seed = 1;
    base::Millis digest_interval = 400;
    int cross_zone_one_in = 8;  // one in this many digest exchanges may cross zones, on average
    // State that is known to be younger than this is not requested.
    base::Millis max_age = 900;
    // Controllers that may be asked before membership lists any.
    std::vector<base::Address> seeds;
  };
  // The messages to send and the changes to report, collected since the last `TakeEffects`.
  struct Effects {
    std::vector<std::pair<base::Address, Digest>> digests;
    std::vector<std::pair<base::Address, PullRequest>> pulls;
    std::vector<std::pair<base::Address, SyncRequest>> sync_requests;
    std::vector<std::pair<base::Address, ConfigurationUpdate>> configuration_updates;
    std::vector<std::pair<base::Address, EndpointUpdate>> endpoint_updates;
    std::vector<std::pair<base::Address, ZoneDrainUpdate>> zone_drains;
    std::vector<std::pair<base::Address, RolloutUpdate>> rollouts;
    // A reply to a synchronization request. It is sent after all other messages to the same peer,
    // and over a connection if `over_connection` is true.
    struct Reply {
      base::Address to;
      SyncReply reply;
      bool over_connection = false;
    };
    std::vector<Reply> sync_replies;
    bool configuration_adopted = false;
    bool endpoints_adopted = false;
    // The sender of the adopted endpoints; none if this node read them from the platform.
    std::optional<base::Address> endpoints_sender;
    bool zone_drains_adopted = false;
    bool rollouts_adopted = false;
    // The number of messages that carry state.
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

  // Sends the digests and synchronization requests that are due.
  void Tick(base::Millis now);
  // When the next digest or synchronization request is due.
  base::Millis DueAt() const;
  void OnDigest(base::Millis now, const base::Address& from, const Digest& digest);
  void OnPullRequest(base::Millis now, const base::Address& from, const PullRequest& pull);
  void OnSyncRequest(base::Millis now, const base::Address& from, const SyncRequest& request);
  void OnSyncReply(base::Millis now, const base::Address& from, const SyncReply& reply);
  // A message to `to` could not be sent: large state may be sent there again without delay.
  void OnSendFailed(const base::Address& to) { sent_.erase(to); }
  void OnConfigurationUpdate(base::Millis now, const base::Address& from,
                             const ConfigurationUpdate& update);
  void OnEndpointUpdate(base::Millis now, const base::Address& from, const EndpointUpdate& update);
  void OnZoneDrainUpdate(base::Millis now, const base::Address& from,
                         const ZoneDrainUpdate& update);
  void OnRolloutUpdate(base::Millis now, const base::Address& from, const RolloutUpdate& update);
  // `from` reports that it has this version of the roll-outs; requests it if it is newer.
  void OnRolloutVersion(base::Millis now, const base::Address& from, uint64_t version);
  // `node` is reachable for the first time, or again. Sends it a digest if OnNodeUnreachable()
  // noted that it may miss updates.
  void OnNodeReachable(base::Millis now, const membership::Node& node);
  // Notes that the node may miss updates, if this node is one of its monitors.
  void OnNodeUnreachable(const membership::Node& node);

  // Adopts state that the log committed. Only controllers call these.
  void Commit(base::Millis now, const configuration::ConfigurationState& state);
  void Commit(const zone_drain::DrainedZones& drained_zones);
  void Commit(const rollout::Rollouts& rollouts);
  // Adopts and forwards a list that this node read from the platform as the catalog reader, by a
  // request made at `requested_at`. A list of epoch 0 belongs to no reader and is sent in this zone
  // only. Returns false without adopting it if this node already has the list of a later reader,
  // which happens until this one learns that it was replaced, or a list that was read after this
  // one.
  bool Publish(base::Millis now, base::Millis requested_at, discovery::EndpointSnapshot endpoints);
  // As the catalog reader of `epoch`, this node read the platform by a request made at
  // `requested_at` and found the list unchanged.
  void ConfirmListUnchanged(base::Millis now, base::Millis requested_at, uint64_t epoch);
  // Adopts a list that this node read from the platform for its own use, because updates of the
  // list no longer arrive. The list that was requested later counts as newer: returns false if that
  // is the one that this node already has.
  bool AdoptOwnReading(base::Millis requested_at, std::vector<discovery::Server> servers);

  // A majority has confirmed that nothing beyond this node's state was committed at `as_of`. Called
  // by the leader and by a starting proxy.
  void ConfirmLogCurrent(base::Millis as_of);
  // Called by the catalog reader: the list that it published is the newest one at `now`.
  void ConfirmEndpointsCurrent(base::Millis now);
  // Sets the log's leader and the catalog reader, as far as a controller has them from the log.
  // Synchronization requests go to them first.
  void SetAuthorities(std::optional<base::Address> leader, std::optional<base::Address> reader);
  // The adopted configuration is unusable: the complete document is requested again.
  void RejectConfiguration();

  Effects TakeEffects();
  // The digest of this node's state, without its load.
  Digest OwnDigest(base::Millis now) const;

  int64_t revision() const { return revision_; }
  const std::string& configuration_text() const { return document_.text(); }
  // The patch that led to this configuration, and the revision that it applies to; empty and 0 if
  // the configuration came as a complete document.
  const std::string& configuration_patch() const;
  int64_t configuration_base() const { return patches_.last() ? patches_.last()->base : 0; }
  const discovery::EndpointSnapshot& endpoints() const { return endpoints_; }
  const zone_drain::DrainedZones& drained_zones() const { return drained_zones_; }
  const rollout::Rollouts& rollouts() const { return rollouts_; }
  bool has_endpoints() const { return has_endpoints_; }
  // Milliseconds since this node's copy of the log's state was known to be the newest; -1 if it
  // never was. Everything acknowledged before that moment is in force on this node.
  base::Millis log_age(base::Millis now) const { return log_.age(now); }
  // The same for the list of endpoints.
  base::Millis endpoints_age(base::Millis now) const { return endpoints_freshness_.age(now); }
  // Upper bound, in milliseconds, of the time since the platform was last asked for this list or
  // for an identical one; -1 without a list.
  base::Millis endpoints_read_age(base::Millis now) const {
    return has_endpoints_ ? now - read_at_ : -1;
  }

 private:
  // One change in the list's history: the version before it, and the servers that it changed.
  struct Step {
    uint64_t epoch;
    uint64_t sequence;
    std::vector<std::string> changed_ids;
  };

  // The back-off between requests for one kind of state.
  struct Fetch {
    base::Millis next_at = 0;   // no request before this
    base::Millis back_off = 0;  // doubles until newer state arrives
  };
  // The versions of another node's state, from a digest or a reply.
  struct PeerState {
    Versions versions;
    EndpointVersion endpoints;
    bool has_endpoints = false;
    base::Millis endpoints_read_at = -1;  // on this node's clock; -1 if not reported
  };
  // The list that a peer has, and whether it requested a newer one.
  struct PeerEndpoints {
    EndpointVersion has;
    bool unmodified = false;  // it has an unmodified copy of version `has`
    bool requested = false;   // if true, the update is sent even if it is large
    int64_t requested_at = EndpointUpdate::kUnsolicited;
  };

  // The moment as of which state counts as known when deciding whether to ask peers.
  template <class Version>
  base::Millis KnownAt(const Freshness<Version>& freshness) const;
  // The versions that this node has; revision 0 while its configuration is rejected as unusable.
  Versions OwnVersions() const;
  EndpointVersion OwnEndpointVersion() const { return {endpoints_.epoch, endpoints_.sequence}; }
  // The version that claims about the newest list are compared with: none for an own reading, which
  // is not a version of the reader's list.
  EndpointVersion VerifiableEndpointVersion() const {
    return HasOwnReading() ? EndpointVersion() : OwnEndpointVersion();
  }
  // Whether this node uses its own reading of the platform in place of the reader's list. It
  // carries that list's version.
  bool HasOwnReading() const { return has_endpoints() && !unmodified_ && endpoints_.epoch > 0; }
  // The age of the list as reported to peers; -1 for an own reading, since peers can't request it.
  base::Millis SharedReadAge(base::Millis now) const {
    return HasOwnReading() ? -1 : endpoints_read_age(now);
  }
  // Whether a list of this version, read at `read_at` or later, is newer than this node's list.
  bool IsNewerList(const EndpointVersion& version, base::Millis read_at) const;
  // Whether the update contains changes to exactly this node's list.
  bool BuildsOnOwnList(const EndpointUpdate& update) const;
  // Whether the update is of a later reader that had this node's list, or a newer one, before it
  // published its own first list.
  bool SucceedsOwnList(const EndpointUpdate& update) const;
  // The earliest moment, on this node's clock, at which the platform can have been asked for the
  // update's list.
  base::Millis EarliestReading(base::Millis now, const EndpointUpdate& update) const;
  // Whether the versions alone show that the update was read after this node's list, without a
  // comparison of times.
  bool IsSuccessor(const EndpointUpdate& update) const;
  // Whether the update's list is newer than this node's.
  bool IsNewerUpdate(base::Millis now, const EndpointUpdate& update) const;
  // The list that the update leads to, with slow starts on this process's clock.
  std::vector<discovery::Server> Merge(base::Millis now, const EndpointUpdate& update) const;
  // Whether the peer has newer state, or a newer list, than this node.
  bool IsBehind(const PeerState& peer) const;
  bool IsBehindOnEndpoints(const PeerState& peer) const;
  // The approximate size of an update with all endpoints.
  size_t EndpointsBytes() const;
  // Records a reply's report that the list of version `endpoints` was read at `read_at`, on this
  // node's clock. Has no effect unless this node has an unmodified copy of that version.
  void NoteReadAt(const EndpointVersion& endpoints, base::Millis read_at);

  // SendConfiguration() and SendEndpoints() return false, and send nothing, if the update is too
  // large to be sent unsolicited. They return true without sending a large update that was recently
  // sent to the same peer.
  bool SendConfiguration(base::Millis now, const base::Address& to, int64_t peer_has,
                         bool requested);
  bool SendEndpoints(base::Millis now, const base::Address& to, const PeerEndpoints& peer);
  // Fills in the servers that changed in the steps from `first` on; all servers if `first` is the
  // end of the history.
  void FillServers(base::Millis now, size_t first, EndpointUpdate* update) const;
  // The index of the history's step that starts at the peer's list; the history's size if there is
  // none.
  size_t FirstStepFrom(const PeerEndpoints& peer) const;
  // Whether the large update `update_id` was the last one sent to `to`, less than `kResendAfterMs`
  // ago; if not, records that it is sent now.
  bool RecentlySent(base::Millis now, const base::Address& to, uint64_t update_id);
  // Sends all small state that the peer lacks. Returns false if some of it is too large.
  bool SendMissing(base::Millis now, const base::Address& to, const PeerState& peer,
                   bool unmodified, int64_t requested_at);
  // Requests from `from` the state that is newer in `peer` than on this node, each kind subject to
  // its back-off.
  void RequestMissing(base::Millis now, const base::Address& from, const PeerState& peer);
  // Whether the back-off allows a request now; if so, extends it. `bytes` is the expected size.
  bool MayFetch(base::Millis now, Fetch* fetch, size_t bytes);
  // Whether newer state that `from` has but did not send along with `reply` may be requested from
  // it.
  bool MayRequestFrom(base::Millis now, const base::Address& from, const SyncReply& reply,
                      const PeerState& peer);
  // Adopts `endpoints`. Records the change in the history if both lists are unmodified copies;
  // otherwise clears the history.
  void Replace(discovery::EndpointSnapshot endpoints, bool unmodified);
  // Called when state of the log has become newer: resets the back-off `fetch` of the requests for
  // it, and counts the claims that this node's versions now cover.
  void LogAdvanced(Fetch* fetch);
  // The nodes to send a new update to: up to `near_count` random ones of this zone and, if
  // `origin`, one of each other zone.
  std::vector<const membership::Node*> ForwardTargets(bool origin, size_t near_count);
  // `from` is the sender of the update; null if it originates on this node.
  void Forward(base::Millis now, Topic topic, const base::Address* from);
  bool InOtherZone(const base::Address& from) const;
  // The other nodes of the zone that have not left. Includes suspected and dead ones, which may be
  // running but hard to reach.
  std::vector<const membership::Node*> ZonePeers() const;
  // Sends the synchronization requests that are due.
  void RequestSync(base::Millis now);

  Options options_;
  const membership::Membership* membership_;
  base::Random random_;
  int64_t revision_ = 0;
  configuration::ParsedConfiguration document_;
  bool document_rejected_ = false;
  PatchHistory patches_;
  discovery::EndpointSnapshot endpoints_;
  bool unmodified_ = false;   // endpoints_ is an unmodified copy of the reader's list
  std::deque<Step> history_;  // the latest changes that led to endpoints_
  zone_drain::DrainedZones drained_zones_;
  rollout::Rollouts rollouts_;
  bool has_endpoints_ = false;
  // Bounds on when the platform was asked, on this process's clock; the exact times are unknown, as
  // the time that an update was in transit is. `read_at_`: the earliest possible time of the last
  // request that returned the content of endpoints_. `read_before_`: the latest possible time of
  // the request that returned the list when this node adopted it.
  base::Millis read_at_ = -1;
  base::Millis read_before_ = -1;
  EndpointVersion predecessor_;  // `EndpointUpdate::predecessor` of endpoints_
  // The list last received in reply to a request and not adopted; it is not requested again just
  // because its reader is a later one.
  EndpointVersion declined_;
  base::Millis started_at_;
  base::Millis digest_at_ = 0;
  base::Millis behind_since_ = -1;  // by replies of peers; -1 if not behind
  Fetch fetch_configuration_, fetch_endpoints_, fetch_other_;
  size_t document_bytes_ = 0;  // size of the configuration, from the last reply of a peer
  Freshness<Versions> log_;
  Freshness<EndpointVersion> endpoints_freshness_;
  SyncSchedule log_schedule_;
  SyncSchedule endpoints_schedule_;
  std::optional<base::Address> leader_;
  std::optional<base::Address> reader_;
  // Nodes monitored by this one that may have missed updates.
  std::set<uint64_t> missed_updates_;
  struct Sent {
    base::Millis at = 0;
    uint64_t update_id = 0;
  };
  std::map<base::Address, Sent> sent_;  // the last large update to each peer
  Effects out_;
};

}  // namespace elderkeel::dissemination
