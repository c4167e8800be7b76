#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/names.h"
#include "base/random.h"
#include "base/settings.h"
#include "catalog/catalog.h"

namespace elderkeel::forwarding {

// One server as this node sees it: what the catalog says, and what its own answers say. Health is
// learnt from answers; a probe only lets a server back that answers had condemned.
struct Server {
  std::string id;
  uint32_t service = 0;
  base::Address address;
  bool near = false;  // in this node's zone
  int capacity = 1;
  bool listed = false;
  bool draining = false;
  base::Millis warm_at = 0;  // slow until then

  double turn = 0;  // 0 to 1: how late it comes in this node's own order of its zone's servers

  int in_flight = 0;
  std::vector<base::Millis> begun;  // of the sends in flight
  double limit = 1;                 // sends that this node keeps in flight here
  double pace = 1;  // EWMA of its latency against that of all servers for the same route
  int failures = 0;
  base::Millis held_until = 0;  // 0: not held out; else a probe is due then
  int bad_probes = 0;
  bool probing = false;
  bool on_trial = false;

  bool Open() const { return listed && !draining && held_until == 0; }
};

enum class Signal : uint8_t {
  kGood,         // a whole answer in the protocol
  kFull,         // turned away
  kBroken,       // reset or an answer that is none
  kUnreachable,  // no connection
  kMisplaced,    // another server has its address
};

// The servers in sight, by dense index, and the choice among them. Pure: time comes in.
class Servers {
 public:
  struct Options {
    std::string zone;
    double far_penalty = 0.6;   // a server elsewhere must be better by so much of a mean latency
    double turn_penalty = 0.3;  // for the last server in this node's own order
    base::Millis hold_first = 400;
    base::Millis hold_most = 6000;
  };
  struct Change {
    uint32_t server;
    enum class What : uint8_t { kNew, kDraining, kGone } what;
  };

  Servers(Options options, base::Names* services, uint64_t seed)
      : options_(std::move(options)), services_(services), random_(seed) {}

  std::vector<Change> Adopt(base::Millis now, const catalog::Catalog& catalog);

  // This node is number `place` of `places` proxies of its zone. Proxies don't see each other's
  // sends; each begins its order of the servers at another one, so that their first choices differ.
  void SetPlace(size_t place, size_t places);

  static constexpr uint32_t kNone = UINT32_MAX;
  // The best server of the service that has room, or kNone. `mean_ms`: of the route's latency.
  uint32_t Choose(base::Millis now, uint32_t service, double mean_ms,
                  const std::vector<uint32_t>& tried, bool idempotent);
  // Whether any server of the service could take a request, now or when it has room again.
  bool Any(uint32_t service) const;

  void Begin(base::Millis now, uint32_t server);
  // `latency_ms` < 0 where it tells nothing.
  void End(base::Millis now, uint32_t server, base::Millis begun, Signal signal, double latency_ms,
           double mean_ms);
  // The caller gave the send up; it tells nothing about the server but its age.
  void Abandon(uint32_t server, base::Millis begun);
  std::vector<uint32_t> DueProbes(base::Millis now);
  void Probed(base::Millis now, uint32_t server, bool good);

  Server& at(uint32_t index) { return servers_[index]; }
  const Server& at(uint32_t index) const { return servers_[index]; }
  size_t size() const { return servers_.size(); }

 private:
  void Remove(uint32_t server, base::Millis begun);
  void Hold(base::Millis now, Server* s);
  void OrderServers();

  Options options_;
  base::Names* services_;
  base::Random random_;
  base::Names ids_;
  std::vector<Server> servers_;
  std::vector<std::vector<uint32_t>> by_service_;  // those that are listed
  size_t place_ = 0, places_ = 1;
};

}  // namespace elderkeel::forwarding
