#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/names.h"
#include "base/random.h"
#include "base/settings.h"
#include "discovery/endpoints.h"
#include "rollout/canary_policy.h"

namespace elderkeel::forwarding {

// One server as this node sees it: what the catalog says, and what its own answers say. Health is
// learnt from answers; a probe only lets a server back that answers had condemned.
struct Server {
  std::string id;
  uint32_t service = 0;
  base::Address address;
  uint32_t zone = 0;
  uint32_t region = 0;
  bool near = false;          // in this node's zone
  bool far = false;           // in another region
  bool zone_drained = false;  // its zone is evacuated
  uint32_t version = 0;
  // Whether its version may be sent to: as any, by those requests alone that are drawn for it, or
  // not at all.
  enum class Part : uint8_t { kPrimary, kSecondary, kExcluded } part = Part::kPrimary;
  int capacity = 1;
  bool listed = false;
  bool draining = false;
  base::Millis warm_at = 0;  // slow until then
  bool ours = true;          // while it is cold, this node is the one that may send to it
  base::Millis cold_since = 0;
  double allowance = 0;  // sends that it may get while cold, as of `allowed_at`
  base::Millis allowed_at = 0;

  double rank = 0;  // 0 to 1: how late it comes in this node's own order of its zone's servers

  int in_flight = 0;
  std::vector<base::Millis> begun;  // of the sends in flight
  double limit = 1;                 // sends that this node keeps in flight here
  double latency_ratio = 1;  // EWMA of its latency against that of all servers for the same route
  int failures = 0;
  base::Millis ejected_until = 0;  // 0: not held out; else a probe is due then
  int failed_probes = 0;
  bool probing = false;
  bool probation = false;

  bool Takes(bool secondary) const {
    return listed && !draining && !zone_drained &&
           part == (secondary ? Part::kSecondary : Part::kPrimary);
  }
  bool Usable() const { return Takes(false); }
  bool Open() const { return Usable() && ejected_until == 0; }
};

enum class Signal : uint8_t {
  kGood,         // a whole answer in the protocol
  kFull,         // turned away
  kBroken,       // reset or an answer that is none
  kUnreachable,  // no connection
  kMisplaced,    // another server has its address
};

// The servers in sight, by dense index, and the choice among them. Pure: time comes in.
class LoadBalancer {
 public:
  struct Options {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> regions;  // of zones
    double far_penalty = 0.6;     // a server elsewhere must be better by so much of a mean latency
    double region_penalty = 1.5;  // the same, on top, for one in another region
    double rank_penalty = 0.3;    // for the last server in this node's own order
    base::Millis first_ejection = 400;
    base::Millis longest_ejection = 6000;
  };
  struct Change {
    uint32_t server;
    enum class What : uint8_t { kNew, kDraining, kGone } what;
  };

  LoadBalancer(Options options, base::Names* services, base::Names* regions, uint64_t seed)
      : options_(std::move(options)), services_(services), regions_(regions), random_(seed) {}

  std::vector<Change> Adopt(base::Millis now, const discovery::EndpointSnapshot& endpoints);

  // This node is number `place` of `places` proxies of its zone. Proxies don't see each other's
  // sends; each begins its order of the servers at another one, so that their first choices differ.
  void SetRank(size_t place, size_t places);
  size_t places() const { return places_; }

  // The ids of this zone's proxies, this one's included, and its own: who may send to a cold server
  // follows from them.
  void SetZoneProxies(uint64_t self, std::vector<uint64_t> peers);
  // Zones emptied by order. LoadBalancer of one taken back may have turned cold meanwhile: they are
  // held for cold for `doubt`, until a newer list says more.
  void SetDrainedZones(base::Millis now, const std::vector<std::string>& zones, base::Millis doubt);
  // For each service, what part of the requests goes to which zone first (by index); all to this
  // node's own where nothing is said.
  struct Share {
    uint32_t zone;
    double part;
  };
  void SetShares(uint32_t service, std::vector<Share> shares);
  // The zones of this region in which the service has slots, this node's own first, and the slots.
  struct ZoneSlots {
    uint32_t zone;
    double slots;
  };
  std::vector<ZoneSlots> SlotsByZone(uint32_t service) const;
  const std::string& ZoneName(uint32_t zone) const { return zones_.Name(zone); }

  // Which of the service's versions may be sent to. The servers that may not be any more are told.
  std::vector<uint32_t> SetVersions(uint32_t service, const rollout::Rule& rule,
                                    double limited_share);
  const std::string& VersionOf(uint32_t server) const {
    return versions_.Name(balancer_[server].version);
  }
  // Sends in flight at servers of one version; those that are gone count too.
  uint32_t InFlight(uint32_t service, const std::string& version) const;

  // Requests a second that a cold server of the service carries; 0: it only counts as slower.
  void SetWarmup(uint32_t service, double per_s);
  // The server says how much longer it is cold; known before the list tells it.
  void NoteWarmup(base::Millis now, uint32_t server, base::Millis left);

  static constexpr uint32_t kNone = UINT32_MAX;
  // The best server of the service that has room, or kNone. `mean_ms`: of the route's latency.
  // `regions`: the only ones allowed, if there are any.
  uint32_t Choose(base::Millis now, uint32_t service, double mean_ms,
                  const std::vector<uint32_t>& tried, bool idempotent,
                  const std::vector<uint32_t>& regions, bool secondary = false);
  // Whether any server of the service could take a request, now or when it has room again.
  bool Any(uint32_t service, const std::vector<uint32_t>& regions) const;

  void Begin(base::Millis now, uint32_t server);
  // `latency_ms` < 0 where it tells nothing.
  void End(base::Millis now, uint32_t server, base::Millis begun, Signal signal, double latency_ms,
           double mean_ms);
  // The caller gave the send up: no answer came within its age.
  void OnAttemptAbandoned(base::Millis now, uint32_t server, base::Millis begun, double mean_ms);
  std::vector<uint32_t> DueProbes(base::Millis now);
  void OnProbeResult(base::Millis now, uint32_t server, bool good);

  Server& at(uint32_t index) { return balancer_[index]; }
  const Server& at(uint32_t index) const { return balancer_[index]; }
  size_t size() const { return balancer_.size(); }

 private:
  void Remove(uint32_t server, base::Millis begun);
  static void Learn(Server* s, double latency_ratio);
  void Eject(base::Millis now, Server* s);
  void OrderServers();
  uint32_t DrawZone(uint32_t service);
  void NameOwners();
  void AssignParts(uint32_t service);
  bool Owns(const Server& s) const;
  bool Cold(base::Millis now, const Server& s) const {
    return now < s.warm_at && PerSecond(s.service) > 0;
  }
  double PerSecond(uint32_t service) const {
    return service < warmup_per_s_.size() ? warmup_per_s_[service] : 0;
  }
  static void SetCold(base::Millis now, Server* s, base::Millis until);
  void Refill(base::Millis now, Server* s) const;

  Options options_;
  base::Names* services_;
  base::Names* regions_;
  base::Names zones_;
  base::Names versions_;
  struct Versions {
    rollout::Rule rule;
    double limited_share = 0;
  };
  std::vector<Versions> rules_;  // by service
  std::vector<std::string> drained_zones_;
  std::vector<double> warmup_per_s_;        // by service
  std::vector<std::vector<Share>> shares_;  // by service
  uint64_t self_ = 0;
  std::vector<uint64_t> peers_;
  base::Random random_;
  base::Names ids_;
  std::vector<Server> balancer_;
  std::vector<std::vector<uint32_t>> by_service_;  // those that are listed
  size_t place_ = 0, places_ = 1;
};

}  // namespace elderkeel::forwarding
