#include "base/random.h"

#include <random>

namespace elderkeel::base {

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) ^ device();
}

}  // namespace elderkeel::base
