#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/name_index.h"
#include "base/random.h"
#include "discovery/endpoints.h"
#include "forwarding/server_state.h"
#include "forwarding/slow_start_owner.h"
#include "lifecycle/shutdown_schedule.h"
#include "rollout/canary_policy.h"

namespace elderkeel::forwarding {

// Holds the state of all servers, by dense index, and chooses the server of each attempt. The
// request router calls it for each attempt, and whenever endpoints, zones or roll-outs change. Does
// no I/O; the caller passes the current time.
//
// Of the servers that may take a request, the one with the lowest score is chosen: its latency
// relative to that of all servers, times its load, plus penalties for distance and rank. The limit
// on attempts in flight at a server follows the outcomes of its attempts. Failing servers are
// ejected; a probe, or an attempt that gets a valid answer, ends an ejection.
class LoadBalancer {
 public:
  struct Options {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> regions;  // region of each zone, by zone name
    // Penalties are added to the score, where 1 is the score of an idle server of mean latency.
    double remote_zone_penalty = 0.6;    // for a server outside the preferred zone
    double remote_region_penalty = 1.5;  // in addition, for a server in another region
    double rank_penalty = 0.3;           // times ServerState::rank
    // How long a proxy keeps accepting requests after its shutdown has begun.
    base::Millis accept_period = lifecycle::ShutdownSchedule::kLastCuttableRequestMs;
    // Duration of an ejection after one failure; it doubles with each further consecutive one.
    base::Millis base_ejection = 400;
    base::Millis max_ejection = 6000;
  };
  // A change of a server's entry in the list of endpoints.
  struct Change {
    uint32_t server;
    enum class What : uint8_t { kNew, kDraining, kGone } what;
  };

  // `services` and `regions` must outlive this object.
  LoadBalancer(Options options, base::NameIndex* services, base::NameIndex* regions, uint64_t seed)
      : options_(std::move(options)),
        services_(services),
        regions_(regions),
        slow_start_owner_(options_.accept_period),
        random_(seed) {}

  // Applies a newer list of endpoints and returns what it changes. Entries whose address can't be
  // parsed are ignored.
  std::vector<Change> Adopt(base::Millis now, const discovery::EndpointSnapshot& endpoints);

  // Sets this proxy's position among the proxies of its zone, from 0. Proxies don't see each
  // other's attempts; each starts its order of the servers at a different one, so that their first
  // choices differ.
  void SetRank(size_t rank, size_t proxies_in_zone);
  size_t proxies_in_zone() const { return proxies_in_zone_; }

  // Sets the proxies of this zone, which determine the owner of each server in slow start.
  void SetZoneProxies(base::Millis now, const ZoneProxies& proxies);
  // This proxy's shutdown has begun.
  void SetLeaving(base::Millis now);
  // Sets the zones that an operator's order drains. The servers of a zone that is no longer drained
  // may have restarted meanwhile, so they count as in slow start for `assumed_slow_start`, or
  // longer if a newer list says so.
  // REQUIRES: `zones` is sorted.
  void SetDrainedZones(base::Millis now, const std::vector<std::string>& zones,
                       base::Millis assumed_slow_start);
  // The fraction of a service's requests, 0 to 1, that prefers the servers of one zone.
  struct Share {
    uint32_t zone;  // index
    double fraction;
  };
  // Sets the service's shares. Without any, all of its requests prefer this proxy's own zone.
  void SetShares(uint32_t service, std::vector<Share> shares);
  // The number of requests that the available servers of one zone can process at once.
  struct ZoneSlots {
    uint32_t zone;  // index
    double slots;
  };
  // Returns the zones of this region in which the service has slots. This proxy's own zone comes
  // first, even without slots. Empty for an unknown service, and while no server of the own zone
  // has been listed.
  std::vector<ZoneSlots> SlotsByZone(uint32_t service) const;
  const std::string& ZoneName(uint32_t zone) const { return zones_.Name(zone); }

  // Sets which of the service's versions may receive requests. If the rule limits the secondary
  // version, only the fraction `limited_share` of its servers may (at least kMinCanaries). Returns
  // the excluded servers.
  std::vector<uint32_t> SetVersions(uint32_t service, const rollout::VersionPolicy& rule,
                                    double limited_share);
  const std::string& VersionOf(uint32_t server) const {
    return versions_.Name(servers_[server].version);
  }
  // Attempts in flight at the servers of one version, including servers that are no longer listed.
  uint32_t InFlight(uint32_t service, const std::string& version) const;

  // Sets how many requests a second a server of the service receives in slow start, from all
  // proxies together. At 0 the rate is unlimited and the server's score is only made worse.
  void SetSlowStartRate(uint32_t service, double per_s);
  // A probe's answer stated how much longer the server's slow start lasts, which may be before the
  // list of endpoints states it. A slow start that already ends later is left as it is.
  void ExtendSlowStart(base::Millis now, uint32_t server, base::Millis left);

  static constexpr uint32_t kNoServer = UINT32_MAX;
  // The request for whose next attempt a server is chosen.
  struct Request {
    uint32_t service = 0;
    double mean_ms = 0;  // mean latency of the route
    bool idempotent = false;
    const std::vector<uint32_t>& tried;    // servers of earlier attempts; never chosen again
    const std::vector<uint32_t>& regions;  // the allowed regions; empty: all
  };
  // Chooses among the servers that take requests for the service's primary version, or for its
  // secondary one if `secondary` is true. Of those with fewer attempts in flight than their limit,
  // returns the one with the lowest score; kNoServer if there is none. Ejected servers are chosen
  // only for the primary version, when no other server is eligible.
  uint32_t Choose(base::Millis now, const Request& request, bool secondary = false);
  // Whether any server of the service may take requests for its primary version, even if the server
  // is ejected or at its limit now.
  bool HasUsable(uint32_t service, const std::vector<uint32_t>& regions) const;

  // An attempt was sent to the server. Each OnAttemptBegun() is followed by one OnAttemptEnded() or
  // OnAttemptAbandoned() with the same server and, as `sent_at`, its time.
  void OnAttemptBegun(base::Millis now, uint32_t server);
  // The attempt ended. `latency_ms`: of a complete answer, else negative. `mean_ms`: mean latency
  // of the route.
  void OnAttemptEnded(base::Millis now, uint32_t server, base::Millis sent_at, Signal signal,
                      double latency_ms, double mean_ms);
  // The caller stopped waiting for the attempt; no answer has arrived.
  void OnAttemptAbandoned(base::Millis now, uint32_t server, base::Millis sent_at, double mean_ms);
  // Returns the servers to probe now. Each is probed by the caller, which then calls
  // OnProbeResult().
  std::vector<uint32_t> DueProbes(base::Millis now);
  void OnProbeResult(base::Millis now, uint32_t server, bool good);

  ServerState& at(uint32_t index) { return servers_[index]; }
  const ServerState& at(uint32_t index) const { return servers_[index]; }
  size_t size() const { return servers_.size(); }

 private:
  void RemoveInFlight(uint32_t server, base::Millis sent_at);
  static void UpdateLatencyRatio(ServerState* state, double latency_ratio);
  void RecordFailure(base::Millis now, ServerState* state);
  void Eject(base::Millis now, ServerState* state);
  uint32_t AddServer(base::Millis now, const discovery::Server& entry,
                     const base::Address& address);
  void IndexByService();
  // Sets the rank of each usable server, among those of the local zone or of all other zones.
  void OrderServers();
  bool HasSlowStartToken(base::Millis now, ServerState* state);
  double Score(base::Millis now, const ServerState& state, uint32_t preferred_zone, double mean_ms);
  uint32_t ChooseBest(base::Millis now, const Request& request, bool secondary,
                      bool include_ejected, uint32_t preferred_zone, bool* any_eligible);
  uint32_t PickZone(uint32_t service);
  void AssignOwners(base::Millis now);
  void AssignVersionRoles(uint32_t service);
  // By zone, the servers of a limited version: a hash, which orders them, and the server's index.
  using CanariesByZone = std::map<uint32_t, std::vector<std::pair<uint64_t, uint32_t>>>;
  void ChooseCanaries(double share, CanariesByZone* canaries);
  bool IsOwner(base::Millis now, const ServerState& state) const;
  // Whether the rate limit of slow start applies.
  bool IsInSlowStart(base::Millis now, const ServerState& state) const {
    return now < state.slow_start_until && SlowStartRate(state.service) > 0;
  }
  // In requests a second; 0: no limit.
  double SlowStartRate(uint32_t service) const {
    return service < slow_start_per_s_.size() ? slow_start_per_s_[service] : 0;
  }
  // Prolongs the slow start to `until`; does nothing if that is past or earlier than its present
  // end.
  static void SetSlowStart(base::Millis now, ServerState* state, base::Millis until);
  void RefillTokens(base::Millis now, ServerState* state) const;

  Options options_;
  base::NameIndex* services_;
  base::NameIndex* regions_;
  base::NameIndex zones_;
  base::NameIndex versions_;
  struct VersionRule {
    rollout::VersionPolicy rule;
    double limited_share = 0;
  };
  std::vector<VersionRule> version_rules_;  // by service
  std::vector<std::string> drained_zones_;  // sorted
  std::vector<double> slow_start_per_s_;    // by service
  std::vector<std::vector<Share>> shares_;  // by service
  SlowStartOwner slow_start_owner_;
  base::Millis owners_due_at_ = SlowStartOwner::kNever;  // when AssignOwners() is due again
  base::Random random_;
  base::NameIndex ids_;
  std::vector<ServerState> servers_;
  std::vector<std::vector<uint32_t>> by_service_;  // the listed servers of each
  size_t rank_ = 0, proxies_in_zone_ = 1;
};

}  // namespace elderkeel::forwarding
