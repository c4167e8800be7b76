#pragma once

#include <cstdint>
#include <vector>

namespace elderkeel::forwarding {

// What is known of one send of a request.
enum class Fate : uint8_t {
  kPending,   // sent, or being sent; not answered yet
  kNotSent,   // ended before one byte was handed to the kernel
  kNotRun,    // the server says that it did not run it
  kMaybeRun,  // reset, silence, or an answer that can't be trusted
  kRun,       // the server answered
};

// The sends of one request, and what may follow from them. Pure.
class Ledger {
 public:
  Ledger(bool idempotent, int max_attempts)
      : idempotent_(idempotent), max_attempts_(max_attempts) {}

  size_t Begin() {
    fates_.push_back(Fate::kPending);
    return fates_.size() - 1;
  }
  void End(size_t send, Fate fate) { fates_[send] = fate; }

  // Sends that a server may have seen.
  int arrivals() const {
    int n = 0;
    for (Fate f : fates_) n += f != Fate::kNotSent;
    return n;
  }
  int pending() const {
    int n = 0;
    for (Fate f : fates_) n += f == Fate::kPending;
    return n;
  }
  // Whether a further send could break no promise. One past the first arrival also needs budget.
  bool MaySend() const {
    if (arrivals() >= max_attempts_ || fates_.size() >= kMaxSends) return false;
    if (idempotent_) return true;
    for (Fate f : fates_) {
      if (f != Fate::kNotSent && f != Fate::kNotRun) return false;
    }
    return true;
  }
  // Whether 429, 503, 408 or 421 would be true: not run, and never will be.
  bool MayPromise() const {
    for (Fate f : fates_) {
      if (f != Fate::kNotSent && f != Fate::kNotRun) return false;
    }
    return true;
  }
  size_t sends() const { return fates_.size(); }

 private:
  static constexpr size_t kMaxSends = 8;
  bool idempotent_;
  int max_attempts_;
  std::vector<Fate> fates_;
};

}  // namespace elderkeel::forwarding
