#pragma once

#include <cstdint>
#include <map>

#include "controller/context.h"
#include "dissemination/confirm.h"

namespace elderkeel::controller {

// Answers proxies that start and ask whether what they hold is current: by a read that a majority
// confirms, or by the name of the controller to ask instead.
class ConfirmationService {
 public:
  // `context` outlives this object.
  explicit ConfirmationService(Context* context) : context_(context) {}

  // REQUIRES: the replica is running.
  void OnConfirm(const base::Address& from, const dissemination::Confirm& confirm);
  void OnReadFinished(uint64_t token, bool confirmed);

 private:
  struct PendingConfirm {
    base::Address from;
    uint64_t nonce = 0;
  };
  void SendElsewhere(const base::Address& from, uint64_t nonce);

  Context* context_;
  std::map<uint64_t, PendingConfirm> pending_;  // by read token
};

}  // namespace elderkeel::controller
