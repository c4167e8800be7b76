#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"
#include "dissemination/versions.h"

namespace elderkeel::dissemination {

// Asks a peer for the age and versions of its state, and for newer state if that is small.
struct SyncRequest {
  int64_t requested_at = 0;  // sender's steady clock, milliseconds; returned in the reply
  Versions versions;
  EndpointVersion endpoints;
  bool unmodified = false;  // the sender's list is an unmodified copy of `endpoints`
  bool reliable = false;    // sent over a connection; the answer uses one too
  template <class A>
  void serialize(A& a) {
    a(requested_at, versions, endpoints, unmodified, reliable);
  }
};

// Answers a `SyncRequest`. Small state that the requester lacked is sent before it, and then both
// go over the same connection.
struct SyncReply {
  int64_t requested_at = 0;
  Versions versions;
  int32_t age_ms = -1;  // since `versions` were known to be the newest; -1 for never
  EndpointVersion endpoints;
  int32_t endpoints_age_ms = -1;  // the same for `endpoints`
  int32_t platform_age_ms = -1;   // since the platform was last read for the list; -1 for never
  uint32_t endpoints_bytes = 0;   // of the complete list, approximately
  uint32_t document_bytes = 0;    // of the complete configuration, at most
  template <class A>
  void serialize(A& a) {
    a(requested_at, versions, age_ms, endpoints, endpoints_age_ms, platform_age_ms, endpoints_bytes,
      document_bytes);
  }
};

// Decides when a node sends a synchronization request for one kind of state, and to which peers, as
// a pure state machine. `Disseminator` owns one for the log's state and one for the endpoints.
//
// While the state is known to be younger than `max_age`, no request is due. After that the first
// request goes to one peer, the last one that answered with fresh state. After each
// `retry_interval` without a fresh answer, the next two peers are asked in turn. So every peer, and
// with it any that is reachable and current, is asked within a time that the number of peers
// bounds. Each time that all were asked without success the interval doubles, up to
// `max_retry_interval`, since then no peer has fresh state.
class SyncSchedule {
 public:
  struct Options {
    base::Millis max_age = 900;
    base::Millis retry_interval = 120;
    base::Millis max_retry_interval = 1000;
  };
  // `now` is when the node starts. The first request is due `max_age` later, since the startup
  // probes normally fetch everything before that.
  SyncSchedule(Options options, base::Millis now)
      : options_(options),
        retry_interval_(options.retry_interval),
        next_at_(now + options.max_age) {}

  // Whether a request is due. `known_at` is the moment as of which the state is known; -1 for
  // never.
  bool Due(base::Millis now, base::Millis known_at) const {
    return !Fresh(now, known_at) && now >= next_at_;
  }
  // The moment from which `Due` returns true if nothing newer becomes known.
  base::Millis DueAt(base::Millis known_at) const;
  // Returns the peers to ask now; `sources` is in order of preference. REQUIRES: Due().
  std::vector<base::Address> NextPeers(base::Millis now, std::vector<base::Address> sources);
  // Records that `from` answered and that the state is now known as of `known_at`. An answer that
  // leaves the state older than `max_age` has no effect.
  void OnAnswer(base::Millis now, const base::Address& from, base::Millis known_at);
  // Whether more peers than the first were asked since the state was last fresh.
  bool retrying() const { return asked_ > 1; }

 private:
  bool Fresh(base::Millis now, base::Millis known_at) const {
    return known_at >= 0 && now - known_at <= options_.max_age;
  }

  Options options_;
  base::Millis retry_interval_;
  base::Millis next_at_;
  size_t asked_ = 0;                        // peers asked since the state was last fresh
  std::optional<base::Address> preferred_;  // the last peer that answered with fresh state
};

}  // namespace elderkeel::dissemination
