#pragma once

#include <functional>
#include <memory>

#include "base/loop.h"
#include "news/exchange.h"
#include "ring/membership.h"
#include "wire/mesh.h"

namespace elderkeel::news {

// What both programs share: the mesh, who is in the fleet, and the news that goes round in it.
class Fleet {
 public:
  struct Hooks {
    std::function<void()> config_adopted;
    std::function<void()> catalog_adopted;
    std::function<void()> evacuation_adopted;
    std::function<void(const ring::Node&)> node_changed;
    // Messages of the other slices.
    std::function<void(const base::Address&, wire::Kind, std::string_view)> other;
  };

  Fleet(base::Loop* loop, const base::Settings& settings, ring::Program program, Hooks hooks);

  base::Result<bool> Start();
  void Leave();

  wire::Mesh& mesh() { return mesh_; }
  const ring::Membership& members() const { return members_; }
  const Exchange& news() const { return exchange_; }
  // Feeds the news; what it causes is sent at once.
  void Commit(const configuration::Register& state);
  void Commit(const evacuation::Orders& orders);
  bool Publish(catalog::Catalog catalog);
  void Confirm(uint64_t epoch);
  void AdoptOwnReading(std::vector<catalog::Server> servers);
  // This proxy may be given clients, or may not.
  void SetReady(bool ready);
  // Controllers in sight, those of the own zone first, then the seeds.
  std::vector<base::Address> Controllers() const;

 private:
  void OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload);
  void Pump();
  void SendSmall(const base::Address& to, wire::Kind kind, const std::string& bytes);

  base::Loop* loop_;
  const base::Settings& settings_;
  Hooks hooks_;
  wire::Mesh mesh_;
  ring::Membership members_;
  Exchange exchange_;
  base::Timer tick_;
  bool pumping_ = false;
};

}  // namespace elderkeel::news
