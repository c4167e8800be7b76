#pragma once

#include <cstdint>
#include <string_view>

namespace elderkeel::base {

// The SplitMix64 pseudo-random generator. It yields the same sequence for a seed on every machine,
// which makes simulations reproducible. Not for secrets.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  uint64_t Next() {
    uint64_t z = (state_ += 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
  }
  // Returns a number in [0, bound); 0 if `bound` is 0.
  uint64_t Below(uint64_t bound) { return bound == 0 ? 0 : Next() % bound; }
  // Returns a number in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * (1.0 / 9007199254740992.0); }

 private:
  uint64_t state_;
};

// Returns a seed from the operating system, for values that must differ between two runs of a
// process.
uint64_t RandomSeed();

// Returns the FNV-1a hash of `bytes`, mixed once more by SplitMix64. Each `seed` gives a different
// hash function. Places names on hash rings and makes digests of documents. Not for secrets.
inline uint64_t Hash(std::string_view bytes, uint64_t seed = 0) {
  uint64_t h = 0xcbf29ce484222325ull ^ (seed * 0x9e3779b97f4a7c15ull);
  for (unsigned char c : bytes) h = (h ^ c) * 0x100000001b3ull;
  return Random(h).Next();
}

}  // namespace elderkeel::base
