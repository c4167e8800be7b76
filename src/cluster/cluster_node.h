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

// This process as a node of the cluster; both the controller and the proxy have one. It owns the
// mesh, the membership and the disseminator. The latter two are pure state machines: this class
// passes them received messages and the current time and carries out the effects that they return,
// which are messages to send and changes to report.
//
// Runs on the event loop's thread. Callbacks are called there and may call this object again.
class ClusterNode {
 public:
  struct Callbacks {
    // The disseminator adopted newer state of this kind.
    std::function<void()> configuration_adopted;
    std::function<void()> endpoints_adopted;
    std::function<void()> zone_drains_adopted;
    std::function<void()> rollouts_adopted;
    std::function<void(const membership::Node&)> node_changed;
    // Returns the load report that outgoing digests carry. Not set on controllers.
    std::function<load::LoadReport()> load_report;
    // A peer's digest carried this load report.
    std::function<void(const load::LoadReport&)> load_report_received;
    // A message that neither the membership nor the disseminator handles.
    std::function<void(const base::Address&, transport::MessageKind, std::string_view)> message;
  };

  // `settings` outlives this object.
  ClusterNode(base::Loop* loop, const base::Settings& settings, membership::Program program,
              Callbacks callbacks);
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  // Listens on this node's address and starts to tick. Error: the address can't be listened on.
  base::Status Start();
  // Watches the settings file at `path`: calls `changed` with the new settings whenever the file
  // changes to valid ones. Sets the log level first.
  void WatchSettings(const std::string& path, lifecycle::SettingsWatcher::OnChange changed);
  // Announces to the other nodes that this process is stopping.
  void Leave();

  transport::Mesh& mesh() { return mesh_; }
  const membership::Membership& membership() const { return membership_; }
  const dissemination::Disseminator& disseminator() const { return disseminator_; }

  // Each of these passes its arguments to the disseminator and sends the resulting messages at
  // once; see the Disseminator's function of that name.
  //
  // On a controller: the log's state after committed entries were applied.
  void Commit(const configuration::ConfigurationState& state);
  void Commit(const zone_drain::DrainedZones& drained_zones);
  void Commit(const rollout::Rollouts& rollouts);
  // The node `from` has this version of the roll-outs; if it is newer than this node's, the
  // roll-outs are requested from `from`.
  void OnRolloutVersion(const base::Address& from, uint64_t version);
  // Publishes a list that this node read from the platform as the catalog reader. Returns false if
  // this node holds a later reader's list, or one that was requested later than `requested_at`.
  bool Publish(base::Millis requested_at, discovery::EndpointSnapshot endpoints);
  // The catalog reader of `epoch` requested the list at `requested_at` and found it unchanged.
  void ConfirmEndpoints(base::Millis requested_at, uint64_t epoch);
  // A majority confirmed that the log's state on this node was the newest committed at `as_of`.
  void ConfirmLogCurrent(base::Millis as_of);
  // On the catalog reader: the list that it published is the newest one now.
  void ConfirmEndpointsCurrent();
  // The addresses of the leader and the catalog reader, which can confirm that state is current; no
  // address if unknown or this node itself.
  void SetAuthorities(std::optional<base::Address> leader, std::optional<base::Address> reader);
  // The adopted configuration can't be used. Until this node adopts a document again, it reports to
  // its peers that it has none, so that they send it the complete document.
  void RejectConfiguration();
  // Adopts a list that this node read from the platform for itself alone. Returns false if the list
  // that it holds was requested later.
  bool AdoptOwnReading(discovery::Reading reading);

  // Requests a digest from a node; state that is newer there is then requested as well.
  void RequestDigest(const base::Address& to);
  // Announces whether this proxy is ready to receive client traffic.
  void SetReady(bool ready);
  // Sends an encoded message: as a datagram if it fits into one, which needs no connection to a
  // node that may have failed, otherwise over a connection.
  void SendDatagramOrStream(const base::Address& to, transport::MessageKind kind,
                            const std::string& bytes);
  // The controllers to contact, in order: the reachable ones with a disk, then those without,
  // within each those of this node's zone first; then the seeds that are not among them.
  std::vector<base::Address> ControllersToContact() const;

 private:
  void OnMessage(const base::Address& from, transport::MessageKind kind, std::string_view payload);
  bool OnMembershipMessage(base::Millis now, const base::Address& from, transport::MessageKind kind,
                           std::string_view payload);
  bool OnDisseminationMessage(base::Millis now, const base::Address& from,
                              transport::MessageKind kind, std::string_view payload);
  // Decodes a message and passes it to `handler`; logs and drops one that can't be decoded.
  template <class Message, class Handler>
  void DecodeAndHandle(const base::Address& from, std::string_view payload, Handler handler);
  void OnDigest(base::Millis now, const base::Address& from, const dissemination::Digest& digest);

  void Tick();
  // Starts the timer for the next moment at which something is due, so that an idle node sleeps.
  void ScheduleTick();
  // Carries out the effects of the membership and the disseminator until there are none left.
  void CarryOutEffects();
  void OnNodeChanged(base::Millis now, const membership::Node& node);
  void SendMembership(const membership::Membership::Effects& effects);
  void SendMembershipUpdate(const base::Address& to, const membership::MembershipUpdate& update);
  void SendUpdates(dissemination::Disseminator::Effects* effects);
  void ReportAdopted(const dissemination::Disseminator::Effects& effects);
  void SendDigest(const base::Address& to, dissemination::Digest digest);
  template <class Message>
  void SendUpdate(const base::Address& to, transport::MessageKind kind, const Message& message);
  template <class Message>
  void SendSync(const base::Address& to, transport::MessageKind kind, const Message& message,
                bool reliable);

  base::Loop* loop_;
  const base::Settings& settings_;
  Callbacks callbacks_;
  transport::Mesh mesh_;
  membership::Membership membership_;
  dissemination::Disseminator disseminator_;
  std::unique_ptr<lifecycle::SettingsWatcher> settings_watcher_;
  base::Timer tick_timer_;
  base::Millis next_tick_at_ = 0;  // 0 if none is scheduled
  // The load report to send with the answer to a peer's digest, and the peer's address.
  std::pair<base::Address, load::LoadReport> reply_report_;
  bool carrying_out_effects_ = false;
};

}  // namespace elderkeel::cluster
