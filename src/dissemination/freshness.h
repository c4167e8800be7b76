#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace elderkeel::dissemination {

// How old a node's state may be: the latest moment of its own steady clock by which the source of a
// topic (the log's leader, the catalog reader) is known to have had nothing newer than what
// this node has.
//
// A peer's answer to a synchronization request claims "nothing newer than `newest` at `as_of`",
// where `as_of` is when this node put the question, less the age that the peer states for itself.
// So no clocks are compared, and an answer that was delayed on its way only claims less. A claim
// counts once this node's version covers it; claims that are still to be covered are kept, a few of
// them.
//
// `Version` has `bool Covers(const Version&) const`.
template <class Version>
class Freshness {
 public:
  void Claim(base::Millis as_of, const Version& newest, const Version& own) {
    claimed_at_ = std::max(claimed_at_, as_of);
    if (own.Covers(newest)) {
      verified_at_ = std::max(verified_at_, as_of);
      return;
    }
    if (pending_.size() >= kMaxPending) pending_.pop_front();
    pending_.push_back({as_of, newest});
  }
  // This node's version has become newer.
  void Advance(const Version& own) {
    std::deque<Pending> rest;
    for (Pending& claim : pending_) {
      if (own.Covers(claim.newest)) {
        verified_at_ = std::max(verified_at_, claim.as_of);
      } else {
        rest.push_back(std::move(claim));
      }
    }
    pending_.swap(rest);
  }
  // Milliseconds since the state was known to be current; -1 for never.
  base::Millis age(base::Millis now) const { return verified_at_ < 0 ? -1 : now - verified_at_; }
  // The latest moment of any claim, whether what it names is here by now or not; -1 for none.
  base::Millis claimed_at() const { return claimed_at_; }
  base::Millis verified_at() const { return verified_at_; }

 private:
  static constexpr size_t kMaxPending = 16;
  struct Pending {
    base::Millis as_of;
    Version newest;
  };
  base::Millis verified_at_ = -1;
  base::Millis claimed_at_ = -1;
  std::deque<Pending> pending_;
};

}  // namespace elderkeel::dissemination
