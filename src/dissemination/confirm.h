#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/settings.h"
#include "dissemination/versions.h"

namespace elderkeel::dissemination {

// A starting proxy's request to a controller for the newest committed versions.
struct ConfirmRequest {
  uint64_t nonce = 0;
  template <class A>
  void serialize(A& a) {
    a(nonce);
  }
};

// A controller's answer to `ConfirmRequest`.
struct ConfirmReply {
  uint64_t nonce = 0;  // of the request
  // Whether a majority confirmed the leader after the request arrived. If false, the request is to
  // be sent to the leader named below, if any.
  bool confirmed = false;
  Versions versions;
  std::string leader_ip;
  uint16_t leader_port = 0;
  template <class A>
  void serialize(A& a) {
    a(nonce, confirmed, versions, leader_ip, leader_port);
  }
};

// Decides for a starting proxy whether its state is current, as a pure state machine; the proxy
// sends and receives the messages.
//
// State counts as current only while a confirmed reply shows which versions were the newest at most
// `patience` ago. The age counts from the moment the request was made, so a reply that was delayed
// by the network or by a suspended process does not count, nor does a reply to an earlier start of
// the process.
class Confirmation {
 public:
  // Nonces count up from `seed`. REQUIRES: no other start of the process uses the same nonces.
  explicit Confirmation(uint64_t seed, base::Millis patience = 1000)
      : patience_(patience), next_nonce_(seed) {}

  // Returns a new request to send.
  ConfirmRequest NewRequest(base::Millis now);
  // Returns the leader's address if the request is to be repeated there: the replying controller
  // did not confirm and named a leader. Ignores unknown nonces and replies after `patience`.
  std::optional<base::Address> OnReply(base::Millis now, const ConfirmReply& reply);
  // Whether `own` is at least as new as a confirmed reply that is still valid at `now`. Once true,
  // no further request is needed.
  bool IsCurrent(base::Millis now, const Versions& own) const;
  // When the newest request with a confirmed reply was made; -1 if there is none.
  base::Millis confirmed_at() const { return confirmed_at_; }
  // The newest versions that confirmed replies named.
  const Versions& newest_confirmed() const { return newest_confirmed_; }

 private:
  struct PendingRequest {
    uint64_t nonce;
    base::Millis made_at;
  };
  base::Millis patience_;
  uint64_t next_nonce_;
  std::deque<PendingRequest> requests_;  // the newest ones, oldest first
  Versions newest_confirmed_;
  base::Millis confirmed_at_ = -1;
};

}  // namespace elderkeel::dissemination
