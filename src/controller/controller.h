#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/loop.h"
#include "base/settings.h"
#include "configuration/operator_api.h"
#include "controller/catalog_poller.h"
#include "controller/confirmation_service.h"
#include "controller/context.h"
#include "controller/diagnosis_service.h"
#include "controller/freshness_confirmer.h"
#include "controller/rollout_manager.h"
#include "directory/directory.h"
#include "http/http_server.h"

namespace elderkeel::controller {

// The process of the control plane: a member of the replicated log, the operator's interface, and
// the parts that act on the log's state. It builds these parts, passes them received messages, HTTP
// requests and the current time, and runs the orderly shutdown. main() starts it; it runs on the
// event loop's thread.
class Controller : public configuration::ReplicatedLog {
 public:
  Controller(base::Loop* loop, base::Settings settings, std::string settings_path);

  // Starts the node, the replica and the listeners. Error: an address can't be listened on.
  base::Status Start();
  // Begins an orderly shutdown, as on SIGTERM: gives up the catalog reader's role, leadership and
  // the vote. The event loop stops at its end.
  void Terminate();

 private:
  using Ticket = http::HttpServer::Ticket;

  // configuration::ReplicatedLog
  bool HasCommittedInTerm() const override { return context_.HasCommittedInTerm(); }
  bool is_leader() const override { return context_.IsLeader(); }
  uint64_t term() const override { return context_.replica->raft().term(); }
  std::optional<std::string> leader_control_address() const override;
  bool ConfirmRead(uint64_t token) override { return context_.replica->ConfirmRead(token); }
  std::optional<uint64_t> Propose(const configuration::Change& change) override;
  std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) override;
  std::optional<uint64_t> Propose(const rollout::RolloutOrder& order) override;
  bool HasZone(const std::string& zone) const override;
  bool HasService(const std::string& service) const override;

  // Steps of Start().
  void MakeNode();
  void MakeReplica();
  void MakeOperatorApi();
  base::Status StartDirectory();

  // The log.
  consensus::Replica::Options ReplicaOptions(
      const std::vector<base::Address>& initial_voters) const;
  bool StartReplica();
  std::optional<std::vector<base::Address>> InitialVoters() const;
  void OnApplied(const consensus::Entry& entry);
  void OnZoneDrainsChanged();
  void OnSnapshotInstalled(const consensus::Snapshot& snapshot);
  void PublishState();
  void OnReadFinished(uint64_t token, bool confirmed);
  void OnRoleChanged();
  void RequestMembership(base::Millis now);
  void OnJoin(const base::Address& from, const consensus::Member& member);

  // Requests over HTTP.
  void OnRequest(Ticket ticket, http::Message&& request);
  void OnOperatorRequest(Ticket ticket, const http::Message& request);
  void OnRolloutReportRequest(Ticket ticket, const http::Message& request);
  void OnStatusRequest(Ticket ticket, const http::Message& request);
  void OnDiagnosisRequest(Ticket ticket, const http::Message& request);
  void RedirectToDurable(Ticket ticket, const std::string& target);

  void OnMessage(const base::Address& from, transport::MessageKind kind, std::string_view payload);
  void Tick();
  void StopWhenDeparted(base::Millis since);

  base::Loop* loop_;
  std::string settings_path_;
  Context context_;
  CatalogPoller catalog_poller_;
  FreshnessConfirmer freshness_confirmer_;
  ConfirmationService confirmations_;
  std::unique_ptr<DiagnosisService> diagnosis_;
  std::unique_ptr<RolloutManager> rollouts_;
  std::unique_ptr<configuration::OperatorApi> operator_api_;
  std::unique_ptr<http::HttpServer> control_server_;
  std::unique_ptr<directory::Directory> directory_;
  std::unique_ptr<http::HttpServer> directory_server_;
  base::Timer tick_timer_;
  base::Timer start_timer_;
  base::Timer stop_timer_;
  base::Millis next_join_at_ = 0;
  bool rejecting_ = false;  // answers new requests with 503, since the process is about to exit
};

}  // namespace elderkeel::controller
