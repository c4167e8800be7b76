#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace elderkeel::forwarding {

// What is known of one attempt, that is, of one sending of a request to a server.
enum class AttemptOutcome : uint8_t {
  kPending,   // sent, or being sent; not answered yet
  kNotSent,   // ended before one byte was handed to the kernel
  kNotRun,    // the server says that it did not run it
  kMaybeRun,  // reset, silence, or an answer that can't be trusted
  kRun,       // the server answered
};

// The attempts of one request, and what may follow from them: whether another one is allowed, and
// whether a promise that it never ran would be true. Pure. This is where retries are decided;
// docs/forwarding.md has the table.
class AttemptLog {
 public:
  AttemptLog(bool idempotent, int max_attempts)
      : idempotent_(idempotent), max_attempts_(max_attempts) {}

  // The number of the attempt.
  size_t Begin() {
    outcomes_.push_back(AttemptOutcome::kPending);
    return outcomes_.size() - 1;
  }
  void End(size_t attempt, AttemptOutcome outcome) { outcomes_[attempt] = outcome; }

  // Attempts that a server may have seen.
  int arrivals() const {
    return static_cast<int>(outcomes_.size()) - Count(AttemptOutcome::kNotSent);
  }
  int pending() const { return Count(AttemptOutcome::kPending); }
  size_t attempts() const { return outcomes_.size(); }
  // Whether another attempt could break no promise. One past the first arrival also needs a token
  // of the retry budget.
  bool MayAttempt() const {
    if (arrivals() >= max_attempts_ || outcomes_.size() >= kMaxAttempts) return false;
    return idempotent_ || IsCertainlyNotRun();
  }
  // Whether 429, 503, 408 or 421 would be true: not run, and never will be.
  bool IsCertainlyNotRun() const {
    return std::all_of(outcomes_.begin(), outcomes_.end(), [](AttemptOutcome outcome) {
      return outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kNotRun;
    });
  }

 private:
  static constexpr size_t kMaxAttempts = 8;  // those that were not sent included

  int Count(AttemptOutcome outcome) const {
    return static_cast<int>(std::count(outcomes_.begin(), outcomes_.end(), outcome));
  }

  bool idempotent_;
  int max_attempts_;
  std::vector<AttemptOutcome> outcomes_;
};

}  // namespace elderkeel::forwarding
