#pragma once

#include <array>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace elderkeel::configuration {

// A change to the configuration as the operator sent it: a full document, or a patch. It is stored
// in the replicated log, so the order of its serialized fields is a storage format.
struct Change {
  bool patch = false;
  int64_t if_match = 0;  // If-Match: the revision that the change is based on; 0 for the first one
  std::string body;

  // The first 128 bits of the SHA-256 digest of all fields. Two calls with equal identities are
  // taken to carry the same change.
  using Identity = std::array<uint8_t, 16>;
  Identity Identify() const;
  bool operator==(const Change& other) const {
    return patch == other.patch && if_match == other.if_match && body == other.body;
  }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(patch, if_match, body);
  }
};

}  // namespace elderkeel::configuration
