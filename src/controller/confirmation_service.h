#pragma once

#include <cstdint>
#include <map>

#include "controller/context.h"
#include "dissemination/confirm.h"

namespace elderkeel::controller {

// Answers starting proxies that ask whether their state is current. The leader replies with the
// newest versions after a read that a majority confirmed; another controller replies with the
// address of the controller to ask instead. Controller passes it the requests and finished reads.
class ConfirmationService {
 public:
  // `context` outlives this object.
  explicit ConfirmationService(Context* context) : context_(context) {}

  // REQUIRES: the replica is running.
  void OnConfirm(const base::Address& from, const dissemination::ConfirmRequest& confirm);
  // A read of the log ended; ignores tokens of other parts.
  void OnReadFinished(uint64_t token, bool confirmed);

 private:
  struct PendingConfirm {
    base::Address from;
    uint64_t nonce = 0;
  };
  void SendRedirect(const base::Address& from, uint64_t nonce);

  Context* context_;
  std::map<uint64_t, PendingConfirm> pending_;  // by the token of the read
};

}  // namespace elderkeel::controller
