#pragma once

#include <cstdint>
#include <vector>

namespace elderkeel::forwarding {

// What is known of one send of a request.
enum class AttemptOutcome : uint8_t {
  kPending,   // sent, or being sent; not answered yet
  kNotSent,   // ended before one byte was handed to the kernel
  kNotRun,    // the server says that it did not run it
  kMaybeRun,  // reset, silence, or an answer that can't be trusted
  kRun,       // the server answered
};

// The sends of one request, and what may follow from them. Pure.
class AttemptLog {
 public:
  AttemptLog(bool idempotent, int max_attempts)
      : idempotent_(idempotent), max_attempts_(max_attempts) {}

  size_t Begin() {
    outcomes_.push_back(AttemptOutcome::kPending);
    return outcomes_.size() - 1;
  }
  void End(size_t send, AttemptOutcome outcome_of_attempt) { outcomes_[send] = outcome_of_attempt; }

  // Sends that a server may have seen.
  int arrivals() const {
    int n = 0;
    for (AttemptOutcome f : outcomes_) n += f != AttemptOutcome::kNotSent;
    return n;
  }
  int pending() const {
    int n = 0;
    for (AttemptOutcome f : outcomes_) n += f == AttemptOutcome::kPending;
    return n;
  }
  // Whether a further send could break no promise. One past the first arrival also needs budget.
  bool MayAttempt() const {
    if (arrivals() >= max_attempts_ || outcomes_.size() >= kMaxSends) return false;
    if (idempotent_) return true;
    for (AttemptOutcome f : outcomes_) {
      if (f != AttemptOutcome::kNotSent && f != AttemptOutcome::kNotRun) return false;
    }
    return true;
  }
  // Whether 429, 503, 408 or 421 would be true: not run, and never will be.
  bool IsCertainlyNotRun() const {
    for (AttemptOutcome f : outcomes_) {
      if (f != AttemptOutcome::kNotSent && f != AttemptOutcome::kNotRun) return false;
    }
    return true;
  }
  size_t sends() const { return outcomes_.size(); }

 private:
  static constexpr size_t kMaxSends = 8;
  bool idempotent_;
  int max_attempts_;
  std::vector<AttemptOutcome> outcomes_;
};

}  // namespace elderkeel::forwarding
