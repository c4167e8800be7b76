#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/loop.h"
#include "base/settings.h"
#include "discovery/platform_client.h"
#include "dissemination/disseminator.h"
#include "lifecycle/settings_watcher.h"
#include "membership/membership.h"
#include "transport/mesh.h"

namespace elderkeel::cluster {

// A process as a node of the cluster: what the controller and the proxy have in common. It owns the
// mesh, the membership and the dissemination of state, feeds them messages and time, and carries
// out their effects. Membership and disseminator are pure state machines; this is where they meet
// sockets and the clock.
//
// Lives on the event loop's thread. Callbacks are called there, and may call back.
class ClusterNode {
 public:
  struct Callbacks {
    // Something newer is held by the disseminator.
    std::function<void()> configuration_adopted;
    std::function<void()> endpoints_adopted;
    std::function<void()> zone_drains_adopted;
    std::function<void()> rollouts_adopted;
    std::function<void(const membership::Node&)> node_changed;
    // The load report that digests carry, and one that a peer's digest carried.
    std::function<load::LoadReport()> load_report;
    std::function<void(const load::LoadReport&)> load_report_received;
    // A message of another module.
    std::function<void(const base::Address&, transport::Kind, std::string_view)> message;
  };

  // `settings` outlives this object.
  ClusterNode(base::Loop* loop, const base::Settings& settings, membership::Program program,
              Callbacks callbacks);
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  base::Status Start();
  // Calls `changed` with new settings whenever the file holds valid ones; their log level is
  // applied here.
  void WatchSettings(const std::string& path, lifecycle::SettingsWatcher::Changed changed);
  // Tells the others that this process stops.
  void Leave();

  transport::Mesh& mesh() { return mesh_; }
  const membership::Membership& membership() const { return membership_; }
  const dissemination::Disseminator& disseminator() const { return disseminator_; }

  // Each of these feeds the disseminator; what that causes is sent at once.
  void Commit(const configuration::ConfigurationState& state);
  void Commit(const zone_drain::DrainedZones& drained_zones);
  void Commit(const rollout::Rollouts& rollouts);
  void OnRolloutVersion(const base::Address& from, uint64_t version);
  // False if endpoints of a later reader are here, or such as were asked for later.
  bool Publish(base::Millis asked_at, discovery::EndpointSnapshot endpoints);
  // The reader of `epoch` found the endpoints unchanged.
  void ConfirmEndpoints(base::Millis asked_at, uint64_t epoch);
  void VouchForLog(base::Millis as_of);
  void VouchForEndpoints();
  void SetVouchers(std::optional<base::Address> leader, std::optional<base::Address> reader);
  void RejectConfiguration();
  // False if what is here was read later.
  bool AdoptOwnReading(discovery::Reading reading);

  // Asks a node what it has; if it has more than this one, that is then asked for.
  void RequestDigest(const base::Address& to);
  // Whether this proxy may be given clients.
  void SetReady(bool ready);
  // By datagram if it fits one, since that needs no connection to a node that may be gone.
  void SendSmall(const base::Address& to, transport::Kind kind, const std::string& bytes);
  // Controllers that are known, those of the own zone first, those without a disk last; then seeds.
  std::vector<base::Address> Controllers() const;

 private:
  void OnMessage(const base::Address& from, transport::Kind kind, std::string_view payload);
  bool OnMembershipMessage(base::Millis now, const base::Address& from, transport::Kind kind,
                           std::string_view payload);
  bool OnDisseminationMessage(base::Millis now, const base::Address& from, transport::Kind kind,
                              std::string_view payload);
  // Decodes a message and hands it to `use`; one that can't be decoded is logged and dropped.
  template <class Message, class Use>
  void Decoded(const base::Address& from, std::string_view payload, Use use);
  void OnDigest(base::Millis now, const base::Address& from, const dissemination::Digest& digest);

  void Tick();
  // Ticks when something is due next, not more often than needed: an idle node sleeps.
  void ScheduleTick();
  // Carries out effects until there are none.
  void Pump();
  void OnNodeChanged(base::Millis now, const membership::Node& node);
  void SendMembership(const membership::Membership::Effects& effects);
  void SendMembershipUpdate(const base::Address& to, const membership::MembershipUpdate& update);
  void SendUpdates(dissemination::Disseminator::Effects* effects);
  void ReportAdopted(const dissemination::Disseminator::Effects& effects);
  void SendDigest(const base::Address& to, dissemination::Digest digest);
  template <class Message>
  void SendUpdate(const base::Address& to, transport::Kind kind, const Message& message);
  template <class Message>
  void SendSync(const base::Address& to, transport::Kind kind, const Message& message,
                bool reliable);

  base::Loop* loop_;
  const base::Settings& settings_;
  Callbacks callbacks_;
  transport::Mesh mesh_;
  membership::Membership membership_;
  dissemination::Disseminator disseminator_;
  std::unique_ptr<lifecycle::SettingsWatcher> settings_watcher_;
  base::Timer tick_timer_;
  base::Millis next_tick_at_ = 0;  // 0 for not scheduled
  // The load report that goes with the answer to a digest, and to whom.
  std::pair<base::Address, load::LoadReport> reply_report_;
  bool pumping_ = false;
};

}  // namespace elderkeel::cluster
