#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/settings.h"
#include "transport/frame.h"

namespace elderkeel::membership {

enum class Program : uint8_t { kProxy, kController };

// The worse the later, of two records with the same incarnation the worse counts.
enum class State : uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* StateName(State state);

// What is known of one process of the fleet. Sent as cereal writes it: the order of the fields is a
// format. Only the process itself raises its incarnation (SWIM, section 4.2): to refute a
// suspicion, or since an earlier start of it is still on record.
struct Node {
  uint64_t id = 0;  // a hash of its address: its position on the ring
  std::string ip;
  uint16_t port = 0;
  Program program = Program::kProxy;
  std::string zone;
  uint64_t boot_id = 0;  // drawn anew at each start of the process
  uint32_t incarnation = 0;
  State state = State::kAlive;
  std::vector<uint64_t> suspecters;  // ids of the monitors that suspect it, sorted
  uint16_t front = 0;                // the port where a proxy takes clients
  bool ready = false;                // a proxy that may be given clients
  bool durable = false;              // a controller with a disk

  base::Address address() const { return {ip, port}; }
  bool reachable() const { return state == State::kAlive || state == State::kSuspect; }
  // A digest of all that may differ between two records of one start of the process.
  uint32_t ViewDigest() const;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, transport::Short(ip), port, program, transport::Short(zone), boot_id, incarnation,
            state, suspecters, front, ready, durable);
  }
};

}  // namespace elderkeel::membership
