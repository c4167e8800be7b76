#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace elderkeel::configuration {

// A map from strings to values that is cheap to copy and then modify slightly: copies share all
// shards except those that one of them has modified since. Not thread-safe: all copies of a map
// must be used on one thread, because MutableShard() relies on the reference counts of shared
// shards.
template <class T>
class CopyOnWriteMap {
 public:
  const T* Find(const std::string& key) const {
    const auto& shard = shards_[ShardOf(key)];
    if (!shard) return nullptr;
    auto found = shard->find(key);
    return found == shard->end() ? nullptr : &found->second;
  }
  void Set(const std::string& key, T value) { MutableShard(key)[key] = std::move(value); }
  void Erase(const std::string& key) {
    if (Find(key)) MutableShard(key).erase(key);
  }

 private:
  using Shard = std::unordered_map<std::string, T>;
  static constexpr size_t kShards = 512;

  static size_t ShardOf(const std::string& key) {
    // Doesn't use the low bits alone: the shard's own hash table chooses buckets by them, and would
    // put all its keys into few buckets.
    return std::hash<std::string>()(key) / 7 % kShards;
  }
  Shard& MutableShard(const std::string& key) {
    auto& shard = shards_[ShardOf(key)];
    if (!shard) {
      shard = std::make_shared<Shard>();
    } else if (shard.use_count() > 1) {
      shard = std::make_shared<Shard>(*shard);
    }
    return *shard;
  }

  std::vector<std::shared_ptr<Shard>> shards_{kShards};
};

}  // namespace elderkeel::configuration
