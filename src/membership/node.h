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

// Ordered from best to worst: of two records with the same incarnation, the one with the worse
// state takes precedence.
enum class State : uint8_t { kAlive, kSuspect, kDead, kLeft };
// The name of the state in logs and reports.
const char* StateName(State state);

// The record of one process of the cluster. cereal serializes it field by field, so the order of
// the fields is part of the wire format. Only the process itself raises its incarnation (SWIM,
// section 4.2): to announce a change of its own state, to refute a suspicion, or because other
// nodes still hold a record of an earlier start of it.
struct Node {
  uint64_t id = 0;  // a hash of its address, and its position on the hash ring
  std::string ip;
  uint16_t port = 0;
  Program program = Program::kProxy;
  std::string zone;
  uint64_t boot_id = 0;  // chosen at each start of the process, to tell its starts apart
  uint32_t incarnation = 0;
  State state = State::kAlive;
  std::vector<uint64_t> suspecters;  // ids of the monitors that suspect it, sorted
  uint16_t client_port = 0;          // the port on which a proxy accepts clients
  bool ready = false;                // whether clients may be sent to this proxy
  bool durable = false;              // whether this is a controller with a disk

  base::Address address() const { return {ip, port}; }
  bool reachable() const { return state == State::kAlive || state == State::kSuspect; }
  // A digest of id, boot id, and everything that may differ between two records of one start of the
  // process: incarnation, state, number of suspecters, readiness.
  uint32_t ViewDigest() const;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, transport::ShortString(ip), port, program, transport::ShortString(zone), boot_id,
            incarnation, state, suspecters, client_port, ready, durable);
  }
};

}  // namespace elderkeel::membership
