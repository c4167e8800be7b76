#pragma once

#include <array>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <utility>
#include <vector>

#include "membership/node.h"

// The messages of the membership protocol. cereal serializes them field by field, so the order of
// the fields is part of the wire format.
namespace elderkeel::membership {

// Sent by a node to its monitors at a regular interval, and now and then to a dead node.
struct Heartbeat {
  uint64_t id = 0;
  uint64_t boot_id = 0;
  uint32_t incarnation = 0;
  uint64_t table_digest = 0;  // over all records that the sender holds
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, boot_id, incarnation, table_digest);
  }
};

// Records of nodes, and the ids of nodes whose records the sender requests.
struct MembershipUpdate {
  std::vector<Node> nodes;
  std::vector<uint64_t> wanted_ids;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(nodes, wanted_ids);
  }
};

// Tables of records are compared in parts: the hash ring is divided into this many arcs of equal
// length.
constexpr size_t kParts = 32;
// The part that a node belongs to: the five highest bits of its id.
inline size_t PartOf(uint64_t id) { return id >> 59; }

// A digest of each part of the sender's table. The traffic that it takes to synchronize two tables
// depends on the number of records that differ, and hardly on the number of nodes.
struct PartDigests {
  std::array<uint64_t, kParts> parts{};
  template <class Archive>
  void serialize(Archive& archive) {
    for (uint64_t& part : parts) archive(part);
  }
};

// A digest of each record in some parts of the sender's table, 12 bytes for each node. The receiver
// answers with its own records that differ, and requests the sender's.
struct MembershipSummary {
  uint32_t parts = UINT32_MAX;  // bit i is set if the summary lists all records of part i
  std::vector<std::pair<uint64_t, uint32_t>> view_digests;  // node id and Node::ViewDigest()

  // Whether the summary lists the part that the node belongs to.
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
