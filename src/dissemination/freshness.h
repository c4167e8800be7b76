#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace elderkeel::dissemination {

// Tracks how old a node's copy of one kind of state may be: the latest moment on the node's own
// steady clock at which the source of that state (the log's leader, the catalog reader) is known to
// have had nothing newer than this copy.
//
// A reply to a synchronization request claims that nothing newer than version `newest` existed at
// `as_of`, which is the moment of the request less the age that the peer reports for its own copy.
// So clocks of different nodes are never compared, and a delayed reply only makes the claim older.
// A claim counts once this node's version covers `newest`; a bounded number of claims wait for
// that.
//
// `Version` has `bool Covers(const Version&) const`.
template <class Version>
class Freshness {
 public:
  // Records the claim that nothing newer than `newest` existed at `as_of`; `own` is this node's
  // version. The oldest waiting claim is dropped if too many wait.
  void Claim(base::Millis as_of, const Version& newest, const Version& own) {
    claimed_at_ = std::max(claimed_at_, as_of);
    if (own.Covers(newest)) {
      verified_at_ = std::max(verified_at_, as_of);
      return;
    }
    if (pending_.size() >= kMaxPending) pending_.pop_front();
    pending_.push_back({as_of, newest});
  }
  // Counts the waiting claims that `own`, this node's new version, covers.
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
  // Milliseconds since the copy was known to be current; -1 if it never was.
  base::Millis age(base::Millis now) const { return verified_at_ < 0 ? -1 : now - verified_at_; }
  // The latest moment of any claim, covered or not; -1 if there is none.
  base::Millis claimed_at() const { return claimed_at_; }
  // The latest moment of a covered claim; -1 if there is none.
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
