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

// A proxy asks the core whether what it holds is current.
struct Confirm {
  uint64_t nonce = 0;
  template <class A>
  void serialize(A& a) {
    a(nonce);
  }
};
struct ConfirmReply {
  uint64_t nonce = 0;
  bool confirmed = false;  // by a majority after the question came; if not, ask the leader named
  Versions versions;
  std::string leader_ip;
  uint16_t leader_port = 0;
  template <class A>
  void serialize(A& a) {
    a(nonce, confirmed, versions, leader_ip, leader_port);
  }
};

// A starting proxy's side, pure. Its state counts as current only while it knows by an answer
// what was current at most `patience` ago: the time runs from its own question, so neither a reply
// that was delayed on its way or by a process that slept nor one to an earlier start counts.
class Confirmation {
 public:
  // Nonces count up from `seed`, which no other start of the process uses.
  explicit Confirmation(uint64_t seed, base::Millis patience = 1000)
      : patience_(patience), next_nonce_(seed) {}

  Confirm Ask(base::Millis now);
  // Where to put the same question, if the one asked names a leader.
  std::optional<base::Address> OnReply(base::Millis now, const ConfirmReply& reply);
  // Whether `held` is as new as a fresh answer says. Then nothing needs to be asked any more.
  bool Holds(base::Millis now, const Versions& own) const;
  // When the question was put whose answer is the newest; -1 for none yet.
  base::Millis known_at() const { return known_at_; }
  // The newest that answers named.
  const Versions& wanted() const { return wanted_; }

 private:
  struct Question {
    uint64_t nonce;
    base::Millis asked;
  };
  base::Millis patience_;
  uint64_t next_nonce_;
  std::deque<Question> questions_;  // those that may still be answered
  Versions wanted_;
  base::Millis known_at_ = -1;  // when the question was put whose answer is the newest
};

}  // namespace elderkeel::dissemination
