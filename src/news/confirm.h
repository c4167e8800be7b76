#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace elderkeel::news {

// A proxy asks the core whether its configuration is the current one.
struct Confirm {
  uint64_t nonce = 0;
  template <class A>
  void serialize(A& a) {
    a(nonce);
  }
};
struct ConfirmReply {
  uint64_t nonce = 0;
  int64_t revision = -1;  // -1: not confirmed; ask the leader if one is named
  std::string leader_ip;
  uint16_t leader_port = 0;
  template <class A>
  void serialize(A& a) {
    a(nonce, revision, leader_ip, leader_port);
  }
};

}  // namespace elderkeel::news
