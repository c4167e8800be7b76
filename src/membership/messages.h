#pragma once

#include <array>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <utility>
#include <vector>

#include "membership/node.h"

// What processes send each other about who is in the fleet. All are sent as cereal writes them: the
// order of the fields is a format.
namespace elderkeel::membership {

struct Heartbeat {
  uint64_t id = 0;
  uint64_t boot_id = 0;
  uint32_t incarnation = 0;
  uint64_t table_digest = 0;  // of all records of the sender
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, boot_id, incarnation, table_digest);
  }
};

// Some records, and the ids of those that the sender would like to have.
struct MembershipUpdate {
  std::vector<Node> nodes;
  std::vector<uint64_t> wanted_ids;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(nodes, wanted_ids);
  }
};

// Tables of records are compared in parts: the ring is cut into so many arcs of the same length.
constexpr size_t kParts = 32;
inline size_t PartOf(uint64_t id) { return id >> 59; }

// A digest of each part of the sender's table. Two tables that differ in a few records are brought
// together for little more than those records, however many nodes there are.
struct PartDigests {
  std::array<uint64_t, kParts> parts{};
  template <class Archive>
  void serialize(Archive& archive) {
    for (uint64_t& part : parts) archive(part);
  }
};

// What the sender knows of some parts, by digests alone: a dozen bytes a node. The receiver answers
// with what differs.
struct MembershipSummary {
  uint32_t parts = UINT32_MAX;                              // bit i: all of part i is named
  std::vector<std::pair<uint64_t, uint32_t>> view_digests;  // by id of the node

  bool Covers(uint64_t id) const { return (parts >> PartOf(id) & 1) != 0; }
  template <class Archive>
  void save(Archive& archive) const {
    archive(parts, static_cast<uint32_t>(view_digests.size()));
    for (const auto& [id, digest] : view_digests) archive(id, digest);
  }
  template <class Archive>
  void load(Archive& archive) {
    uint32_t size = 0;
    archive(parts, size);
    for (uint32_t i = 0; i < size; ++i) {
      uint64_t id = 0;
      uint32_t digest = 0;
      archive(id, digest);
      view_digests.emplace_back(id, digest);
    }
  }
};

}  // namespace elderkeel::membership
