#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"
#include "dissemination/versions.h"

namespace elderkeel::dissemination {

// Asks a peer how new its state is, and for what the sender lacks as far as that is small.
struct SyncRequest {
  int64_t asked_at = 0;  // milliseconds of the sender's steady clock; comes back in the reply
  Versions versions;
  EndpointVersion endpoints;
  bool exact = false;     // the sender has the list just as `endpoints` names it
  bool reliable = false;  // sent, and to be answered, over a connection
  template <class A>
  void serialize(A& a) {
    a(asked_at, versions, endpoints, exact, reliable);
  }
};

// Follows what the asker lacked, on the same connection, if it lacked something small.
struct SyncReply {
  int64_t asked_at = 0;
  Versions versions;
  int32_t age_ms = -1;  // since `versions` were known to be the newest; -1 for never
  EndpointVersion endpoints;
  int32_t endpoints_age_ms = -1;  // the same of `endpoints`
  int32_t platform_age_ms = -1;   // since the platform was last read for the list; -1 for never
  uint32_t endpoints_bytes = 0;   // of the whole list, about
  uint32_t document_bytes = 0;    // of the whole configuration
  template <class A>
  void serialize(A& a) {
    a(asked_at, versions, age_ms, endpoints, endpoints_age_ms, platform_age_ms, endpoints_bytes,
      document_bytes);
  }
};

// When a node asks a peer for one kind of state, and which, as a pure state machine.
//
// While what it knows is younger than `max_age` nothing is asked. Then the peer that last had it
// fresh is asked alone; each `step` without a fresh answer the next two in turn, so that the time
// to the first one that can be reached and is current is bounded by their number, whichever they
// are. Once all were asked in vain the step doubles up to `slowest`: then nobody has it fresh.
class SyncSchedule {
 public:
  struct Options {
    base::Millis max_age = 900;
    base::Millis step = 120;
    base::Millis slowest = 1000;
  };
  // A node that starts at `now` gets everything by its startup probes; it asks when these have had
  // their time.
  SyncSchedule(Options options, base::Millis now)
      : options_(options), step_(options.step), next_at_(now + options.max_age) {}

  // `known_at`: the moment as of which state is known; -1 for never.
  bool Due(base::Millis now, base::Millis known_at) const {
    return !Fresh(now, known_at) && now >= next_at_;
  }
  base::Millis DueAt(base::Millis known_at) const;
  // Whom to ask now, of `sources` in the order of preference. To be called when due.
  std::vector<base::Address> Next(base::Millis now, std::vector<base::Address> sources);
  // `from` answered, and state is known as of `known_at` now.
  void Answered(base::Millis now, const base::Address& from, base::Millis known_at);
  // Whether the peers asked last were not the first to be asked.
  bool retrying() const { return asked_ > 1; }

 private:
  bool Fresh(base::Millis now, base::Millis known_at) const {
    return known_at >= 0 && now - known_at <= options_.max_age;
  }

  Options options_;
  base::Millis step_;
  base::Millis next_at_;
  size_t asked_ = 0;  // since state was last fresh
  std::optional<base::Address> preferred_;
};

}  // namespace elderkeel::dissemination
