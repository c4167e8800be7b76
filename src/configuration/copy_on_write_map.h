#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace elderkeel::configuration {

// A map by name that is cheap to copy and change a little: copies share all shards but those that
// one of them changes. Copies may be used by the thread that made them alone.
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
    // Not the low bits alone, by which the shard's own buckets are chosen.
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
