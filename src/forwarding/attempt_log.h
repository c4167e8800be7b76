#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace elderkeel::forwarding {

// Outcome of one attempt, that is, of sending a request once to one server.
enum class AttemptOutcome : uint8_t {
  kPending,        // in flight, or abandoned while in flight
  kNotSent,        // ended before any byte was handed to the kernel
  kNotExecuted,    // the server declared that it did not execute the request
  kMaybeExecuted,  // connection broken, or an answer that fails its checks
  kExecuted,       // the server answered
};

// The attempts of one request. Decides whether a further attempt is allowed, and whether the proxy
// may answer that the request was not executed. Pure. docs/forwarding.md has the table of cases.
class AttemptLog {
 public:
  AttemptLog(bool idempotent, int max_attempts)
      : idempotent_(idempotent), max_attempts_(max_attempts) {}

  // Adds a pending attempt; returns its index.
  size_t Begin() {
    outcomes_.push_back(AttemptOutcome::kPending);
    return outcomes_.size() - 1;
  }
  // Sets the outcome of the attempt with index `attempt`.
  void End(size_t attempt, AttemptOutcome outcome) { outcomes_[attempt] = outcome; }

  // Attempts that may have reached a server, pending ones included.
  int arrivals() const {
    return static_cast<int>(outcomes_.size()) - Count(AttemptOutcome::kNotSent);
  }
  int pending() const { return Count(AttemptOutcome::kPending); }
  size_t attempts() const { return outcomes_.size(); }
  // Whether another attempt keeps within the limits and can't execute a non-idempotent request a
  // second time. An attempt after the first arrival also needs a token of the retry budget.
  bool MayAttempt() const {
    if (arrivals() >= max_attempts_ || outcomes_.size() >= kMaxAttempts) return false;
    return idempotent_ || IsCertainlyNotExecuted();
  }
  // Whether no attempt was or will be executed, so that 429, 503, 408 or 421 may be answered.
  bool IsCertainlyNotExecuted() const {
    return std::all_of(outcomes_.begin(), outcomes_.end(), [](AttemptOutcome outcome) {
      return outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kNotExecuted;
    });
  }

 private:
  static constexpr size_t kMaxAttempts = 8;  // including attempts that were not sent

  int Count(AttemptOutcome outcome) const {
    return static_cast<int>(std::count(outcomes_.begin(), outcomes_.end(), outcome));
  }

  bool idempotent_;
  int max_attempts_;
  std::vector<AttemptOutcome> outcomes_;
};

}  // namespace elderkeel::forwarding
