#include "configuration/change.h"

#include <nettle/sha2.h>

namespace elderkeel::configuration {

Change::Identity Change::Identify() const {
  std::array<uint8_t, 9> header{};  // whether it is a patch, then if_match in little-endian order
  header[0] = patch ? 1 : 0;
  for (size_t i = 0; i < 8; ++i) {
    header[i + 1] = static_cast<uint8_t>(static_cast<uint64_t>(if_match) >> (8 * i));
  }
  sha256_ctx sha{};
  sha256_init(&sha);
  sha256_update(&sha, header.size(), header.data());
  sha256_update(&sha, body.size(), reinterpret_cast<const uint8_t*>(body.data()));
  Identity identity;
  sha256_digest(&sha, identity.size(), identity.data());
  return identity;
}

}  // namespace elderkeel::configuration
