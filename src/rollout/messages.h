#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

// Messages between proxies, observers and the leader during a roll-out. The order of the serialized
// fields is the wire format.
namespace elderkeel::rollout {

// The results of the attempts sent to one version on one route. The numbers only increase while a
// proxy runs, so a report that arrives twice or out of order changes nothing.
struct VersionCounters {
  // Complete or not. A request that a server refused without executing it isn't counted.
  uint32_t answers = 0;
  uint32_t failed = 0;  // answers that report a failure of the server itself
  uint32_t broken = 0;  // truncated, malformed, for another request, or missing at the timeout
  uint32_t late = 0;    // took longer than three times the route's mean
  uint32_t latency_samples =
      0;  // answers whose latency may be compared: not of a server in slow start
  // Servers that answered, as a bit set of hashes of their ids; and those with broken and late
  // answers. Broken or late answers of only one among several servers are not attributed to the
  // version.
  uint64_t servers_seen = 0;
  uint64_t servers_broken = 0;
  uint64_t servers_late = 0;

  void Add(const VersionCounters& o) {
    answers += o.answers;
    failed += o.failed;
    broken += o.broken;
    late += o.late;
    latency_samples += o.latency_samples;
    servers_seen |= o.servers_seen;
    servers_broken |= o.servers_broken;
    servers_late |= o.servers_late;
  }
  // The increase since `before`, an earlier report of the same process. The bit sets of servers are
  // returned unchanged.
  VersionCounters Since(const VersionCounters& before) const;
  template <class A>
  void serialize(A& a) {
    a(answers, failed, broken, late, latency_samples, servers_seen, servers_broken, servers_late);
  }
};

// The counters of one route for both versions.
struct Row {
  uint32_t route = 0;  // RouteKey of its label
  VersionCounters old_version, new_version;
  template <class A>
  void serialize(A& a) {
    a(route, old_version, new_version);
  }
};
// The key that stands for a route's label in messages: a hash of the label.
uint32_t RouteKey(const std::string& label);

// A proxy's report to the observers of one roll-out. The counters start when the proxy adopts the
// order, and start again when its process does.
struct ProxyReport {
  uint64_t node = 0;  // its id on the ring
  uint64_t boot_id = 0;
  uint64_t number = 0;         // of the roll-out
  uint64_t version = 0;        // of the Rollouts that the proxy has adopted
  uint32_t age_ms = 0;         // since the proxy adopted the order
  uint32_t requests = 0;       // for the service since then
  uint32_t exposed = 0;        // attempts sent to the new version since then
  uint32_t old_in_flight = 0;  // requests in flight at servers of the old version
  uint32_t new_in_flight = 0;  // and at servers of the new one
  bool confirmed = false;      // sends no more requests to the version that the stage moves from
  bool wants_renewal = false;  // asks for a LeaseRenewal
  std::vector<Row> rows;
  // When the report was made, in ms of the proxy's steady clock; the renewal returns it.
  int64_t reported_at = 0;
  template <class A>
  void serialize(A& a) {
    a(node, boot_id, number, version, age_ms, requests, exposed, old_in_flight, new_in_flight,
      confirmed, wants_renewal, rows);
  }
  // Later fields follow the others; builds from before them neither send nor read them.
  bool has_later_fields() const { return reported_at != 0; }
  template <class A>
  void SerializeLaterFields(A& a) {
    a(reported_at);
  }
};

// An observer's answer to a report. An observer sends it only while it is in contact with a leader.
// A proxy whose lease is not renewed stops sending to a version that is not proven.
struct LeaseRenewal {
  uint64_t number = 0;      // of the roll-out
  uint64_t version = 0;     // of the Rollouts that the observer has adopted
  int64_t reported_at = 0;  // of the report that it answers; 0 from an observer that omits it
  template <class A>
  void serialize(A& a) {
    a(number, version);
  }
  bool has_later_fields() const { return reported_at != 0; }
  template <class A>
  void SerializeLaterFields(A& a) {
    a(reported_at);
  }
};

enum class Opinion : uint8_t { kAbstains, kGood, kBad };
// The opinion's name in the status document.
const char* OpinionName(Opinion opinion);

// An observer's vote to the leader.
struct Vote {
  uint64_t number = 0;    // of the roll-out
  uint64_t observer = 0;  // its id on the ring
  uint64_t boot_id = 0;
  uint64_t version = 0;  // of the Rollouts that the observer has adopted
  Opinion opinion = Opinion::kAbstains;
  std::string reason;
  uint32_t age_ms = 0;            // of the order, by the proxy that adopted it first
  uint32_t reporting = 0;         // reachable proxies whose last report is recent
  uint32_t known_proxies = 0;     // proxies that are reachable by the observer's membership
  uint64_t requests = 0;          // for the service, by all proxies
  uint64_t exposed = 0;           // attempts sent to the new version, by all proxies
  uint32_t unconfirmed = 0;       // proxies that report and have not confirmed the stage
  uint32_t not_reporting = 0;     // proxies that don't report and have not confirmed it
  std::vector<uint64_t> missing;  // ids of the first 8 proxies of both kinds
  std::vector<Row> rows;          // the sums over all proxies
  template <class A>
  void serialize(A& a) {
    a(number, observer, boot_id, version, opinion, reason, age_ms, reporting, known_proxies,
      requests, exposed, unconfirmed, not_reporting, missing, rows);
  }
};

}  // namespace elderkeel::rollout
