#pragma once

#include <functional>
#include <memory>

#include "base/loop.h"
#include "dissemination/disseminator.h"
#include "membership/membership.h"
#include "wire/mesh.h"

namespace elderkeel::dissemination {

// What both programs share: the mesh, who is in the fleet, and the updates that goes round in it.
class Peers {
 public:
  struct Hooks {
    std::function<void()> configuration_adopted;
    std::function<void()> endpoints_adopted;
    std::function<void()> zone_drains_adopted;
    std::function<void()> rollouts_adopted;
    std::function<void(const membership::Node&)> node_changed;
    // What digests carry of how busy the zones are.
    std::function<load::LoadReport()> load_report;
    std::function<void(const load::LoadReport&)> load_report_received;
    // Messages of the other slices.
    std::function<void(const base::Address&, wire::Kind, std::string_view)> other;
  };

  Peers(base::Loop* loop, const base::Settings& settings, membership::Program program, Hooks hooks);

  base::Status Start();
  void Leave();

  wire::Mesh& mesh() { return mesh_; }
  const membership::Membership& members() const { return members_; }
  const Disseminator& disseminator() const { return disseminator_; }
  // Feeds the updates; what it causes is sent at once.
  void Commit(const configuration::ConfigurationState& state);
  void Commit(const zone_drain::DrainedZones& drained_zones);
  void Commit(const rollout::Rollouts& rollouts);
  void NoteRolloutVersion(const base::Address& from, uint64_t version);
  bool Publish(discovery::EndpointSnapshot endpoints);
  void VouchForLog(base::Millis as_of);
  void VouchForEndpoints();
  void SetVouchers(std::optional<base::Address> leader, std::optional<base::Address> reader);
  void RejectConfiguration();
  void Confirm(uint64_t epoch);
  void AdoptOwnReading(std::vector<discovery::Server> servers);
  // Asks a node what it has; if it has more than this one, that is then asked for.
  void AskDigest(const base::Address& to);
  // This proxy may be given clients, or may not.
  void SetReady(bool ready);
  // By datagram where that holds it.
  void SendSmall(const base::Address& to, wire::Kind kind, const std::string& bytes);
  // Controllers in sight, those of the own zone first, then the seeds.
  std::vector<base::Address> Controllers() const;

 private:
  void OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload);
  void Pump();
  template <class Message>
  void SendSync(const base::Address& to, wire::Kind kind, const Message& message, bool reliable) {
    if (reliable || !mesh_.SendDatagram(to, kind, message)) mesh_.Send(to, kind, message);
  }
  void SendDigest(const base::Address& to, Digest digest);
  void Tick();
  // Ticks when something is due next, not more often than needed: an idle node sleeps.
  void Schedule();

  base::Loop* loop_;
  const base::Settings& settings_;
  Hooks hooks_;
  wire::Mesh mesh_;
  membership::Membership members_;
  Disseminator disseminator_;
  base::Timer tick_;
  base::Millis tick_at_ = 0;
  std::pair<base::Address, load::LoadReport> reply_report_;  // goes with the answer to a digest
  bool pumping_ = false;
};

}  // namespace elderkeel::dissemination
