#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace elderkeel::rollout {

// What became of the sends to one version, on one route. Numbers only rise while a proxy runs,
// so that reporting them twice, or out of order, changes nothing.
struct VersionCounters {
  uint32_t answers = 0;  // whole or not; what was turned away unrun is none
  uint32_t failed = 0;   // failures of the server's own
  uint32_t broken = 0;   // cut, garbled, of another request, or silent to the end
  uint32_t late = 0;     // took longer than three times the route's mean
  uint32_t timed = 0;    // answers whose time says something: not of a cold server
  // Which servers, by a hash of their ids: a failure that one server alone shows is that server's.
  uint64_t seen = 0;
  uint64_t broken_at = 0;
  uint64_t late_at = 0;

  void Add(const VersionCounters& o) {
    answers += o.answers;
    failed += o.failed;
    broken += o.broken;
    late += o.late;
    timed += o.timed;
    seen |= o.seen;
    broken_at |= o.broken_at;
    late_at |= o.late_at;
  }
  // What came on top of `before`, an earlier report of the same process.
  VersionCounters Since(const VersionCounters& before) const;
  template <class A>
  void serialize(A& a) {
    a(answers, failed, broken, late, timed, seen, broken_at, late_at);
  }
};

struct Row {
  uint32_t route = 0;  // RouteKey of its label
  VersionCounters old_version, new_version;
  template <class A>
  void serialize(A& a) {
    a(route, old_version, new_version);
  }
};
uint32_t RouteKey(const std::string& label);

// A proxy's report to the observers of one roll-out. Counters are of the process since it started.
struct ProxyReport {
  uint64_t node = 0;  // its id on the ring
  uint64_t boot_id = 0;
  uint64_t number = 0;         // of the roll-out
  uint64_t version = 0;        // of the state that it acts by
  uint32_t age_ms = 0;         // since it knows of the order
  uint32_t requests = 0;       // for the service since then
  uint32_t exposed = 0;        // sends to the new version since then
  uint32_t old_in_flight = 0;  // sends in flight at servers of the old version
  uint32_t new_in_flight = 0;  // and of the new one
  bool confirmed = false;      // sends nothing new to the version that the stage moves away from
  bool wants_renewal = false;  // asks for a LeaseRenewal
  std::vector<Row> rows;
  int64_t asked_at = 0;  // milliseconds of the proxy's steady clock; comes back in the renewal
  template <class A>
  void serialize(A& a) {
    a(node, boot_id, number, version, age_ms, requests, exposed, old_in_flight, new_in_flight,
      confirmed, wants_renewal, rows);
  }
  bool has_later_fields() const { return asked_at != 0; }
  template <class A>
  void SerializeLaterFields(A& a) {
    a(asked_at);
  }
};

// An observer's answer to a report, sent as long as the observer itself is in contact with a
// leader. A proxy that gets none sends nothing to a version that is not proven.
struct LeaseRenewal {
  uint64_t number = 0;
  uint64_t version = 0;
  int64_t asked_at = 0;  // of the report that it answers; 0 from an observer that does not say
  template <class A>
  void serialize(A& a) {
    a(number, version);
  }
  bool has_later_fields() const { return asked_at != 0; }
  template <class A>
  void SerializeLaterFields(A& a) {
    a(asked_at);
  }
};

enum class Opinion : uint8_t { kAbstains, kGood, kBad };
const char* OpinionName(Opinion opinion);

// An observer's vote to the leader.
struct Vote {
  uint64_t number = 0;
  uint64_t observer = 0;
  uint64_t boot_id = 0;
  uint64_t version = 0;  // of the state that it watches by
  Opinion opinion = Opinion::kAbstains;
  std::string why;
  uint32_t age_ms = 0;     // of the order, by the oldest knowledge of any proxy
  uint32_t reporting = 0;  // proxies whose reports are fresh
  uint32_t known_proxies = 0;
  uint64_t requests = 0;          // for the service, by all of them
  uint64_t exposed = 0;           // sends to the new version
  uint32_t unconfirmed = 0;       // proxies reporting that have not confirmed the stage
  uint32_t not_reporting = 0;     // proxies that have not, and do not report
  std::vector<uint64_t> missing;  // some of both, by id
  std::vector<Row> rows;          // the sums
  template <class A>
  void serialize(A& a) {
    a(number, observer, boot_id, version, opinion, why, age_ms, reporting, known_proxies, requests,
      exposed, unconfirmed, not_reporting, missing, rows);
  }
};

}  // namespace elderkeel::rollout
