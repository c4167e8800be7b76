#include "membership/node.h"

#include "base/random.h"

namespace elderkeel::membership {

const char* StateName(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kDead:
      return "dead";
    case State::kLeft:
      return "left";
  }
  return "unknown";
}

// The computation is part of the protocol: nodes compare each other's digests.
uint32_t Node::ViewDigest() const {
  uint64_t view = static_cast<uint64_t>(state) + 4 * suspecters.size() + (ready ? 1024 : 0);
  return static_cast<uint32_t>(
      base::Random(id ^ boot_id ^ (uint64_t{incarnation} << 32) ^ view * 0x9e3779b97f4a7c15ull)
          .Next());
}

}  // namespace elderkeel::membership
