#pragma once

#include <array>
#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace elderkeel::configuration {

// A change as the operator sent it: the whole of a configuration, or a patch. Part of the log, so
// the order of its fields is a format.
struct Change {
  bool patch = false;
  int64_t if_match = 0;  // the revision that it builds on; 0 for the first configuration
  std::string body;

  // 128 bits of SHA-256 over all of it: whether two calls carry the same change.
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
