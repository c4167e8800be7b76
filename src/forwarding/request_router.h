#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/loop.h"
#include "base/names.h"
#include "base/settings.h"
#include "configuration/routing_table.h"
#include "discovery/endpoints.h"
#include "forwarding/connection_pool.h"
#include "forwarding/health_prober.h"
#include "forwarding/load_balancer.h"
#include "forwarding/load_sharing.h"
#include "forwarding/pending_request.h"
#include "forwarding/request_queue.h"
#include "forwarding/retry_budget.h"
#include "forwarding/version_routing.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "telemetry/recorder.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::forwarding {

// Takes requests from clients and sees each one to its final answer: matches its route, chooses
// servers, sends attempts, retries and hedges. On the event loop's thread. docs/forwarding.md has
// the rules.
//
// request_router.cc: admission and what comes from other modules; attempts.cc: sending, and how
// attempts end; request_completion.cc: the final answers.
class RequestRouter {
 public:
  // All outlive this object.
  RequestRouter(base::Loop* loop, const base::Settings& settings, telemetry::Recorder* recorder);
  ~RequestRouter();

  base::Status Listen();

  // Every table that is made from the one in force must be adopted: only its changes are looked at.
  void Adopt(std::shared_ptr<const configuration::RoutingTable> table);
  void Adopt(const discovery::EndpointSnapshot& endpoints);
  void Adopt(const zone_drain::DrainedZones& drained_zones);
  void Adopt(const rollout::Rollouts& rollouts);
  // The table in force; null before the first.
  const std::shared_ptr<const configuration::RoutingTable>& table() const { return table_; }
  int64_t revision() const { return table_ ? table_->revision() : 0; }

  // Reports for the observers of each roll-out under way; the caller sends them.
  std::vector<AddressedReport> MakeProxyReports() {
    return version_routing_.MakeReports(base::SteadyMillis());
  }
  void OnLeaseRenewal(const rollout::LeaseRenewal& renewal) {
    version_routing_.OnLeaseRenewal(base::SteadyMillis(), renewal);
  }
  bool rolling_out() const { return version_routing_.active(); }
  bool IsShifting() const { return version_routing_.IsShifting(); }
  bool versions_known() const { return version_routing_.known(); }

  // `proxies` in sight, this one included, share the servers' connections; those that may exist,
  // `possible`, share the retry budgets.
  void SetProxies(size_t proxies, size_t possible);
  // This is number `rank` of the proxies of its zone.
  void SetRank(size_t rank, size_t proxies_in_zone) { balancer_.SetRank(rank, proxies_in_zone); }
  void SetZoneProxies(const ZoneProxies& proxies) {
    balancer_.SetZoneProxies(base::SteadyMillis(), proxies);
  }
  // How busy the zones are, for the peers and from them.
  load::LoadReport MakeLoadReport() { return load_sharing_.MakeReport(base::SteadyMillis()); }
  void MergeLoadReport(const load::LoadReport& report) {
    load_sharing_.MergeReport(base::SteadyMillis(), report);
  }

  // Until a configuration and a catalog are there, requests get 503; and, where versions get
  // traffic by order, until it is known which, or nobody is there to say it.
  bool able() const {
    return table_ != nullptr && has_endpoints_at_ >= 0 &&
           (!settings_.VersionsByOrder() || versions_known() ||
            base::SteadyMillis() - has_endpoints_at_ > kVersionsPatienceMs);
  }
  // Until what is held is known to be current, requests get 503 too.
  void SetServing(bool serving) { serving_ = serving; }
  // `may_deny`: whether what is held is known to be recent enough to deny by it that a route
  // exists. Without it denials always stand.
  void SetDenialGuard(std::function<bool()> may_deny) { may_deny_ = std::move(may_deny); }

  // The process ends: connections close with their answers, and requests that come at
  // `accept_until` or later are rejected, never offered to a server.
  void SetLeaving(base::Millis accept_until) {
    accept_until_ = accept_until;
    balancer_.SetLeaving(base::SteadyMillis());
    server_.SetLeaving(true);
  }
  void CloseIdle() { server_.CloseIdle(); }
  // Clients that connect are refused, so that there is an end to those that are here.
  void StopListening() { server_.StopListening(); }
  size_t busy() const { return server_.busy(); }
  http::HttpServer::Occupancy GetOccupancy() const { return server_.GetOccupancy(); }
  // Requests that have no final answer yet.
  struct InFlight {
    size_t requests = 0;
    size_t attempts = 0;         // at servers
    base::Millis oldest_ms = 0;  // since the oldest of them was read
    std::string oldest_attempt_id;
  };
  InFlight GetInFlight() const;
  // Fails what is still in flight, but for answers that are already on their way to the client.
  void FailUnanswered();
  // Fails all that is still in flight; false if there was nothing.
  bool FailAll();

  base::Names* names() { return &services_; }
  base::Names* regions() { return &regions_; }

 private:
  using Ticket = http::HttpServer::Ticket;
  using Outcome = http::HttpConnection::Outcome;

  // How an attempt ended, for the request and for its server.
  struct Verdict {
    AttemptOutcome outcome = AttemptOutcome::kRun;
    Signal signal = Signal::kGood;
    telemetry::Step step = telemetry::Step::kAnswer;
    std::string reason;  // of a failure
  };
  // Why a request fails, or gets the answer that it gets.
  struct Cause {
    telemetry::Step step;
    std::string reason;
  };

  static constexpr base::Millis kVersionsPatienceMs = 1500;
  static constexpr const char* kEnding = "this node ends";

  // Admission.
  void OnRequest(Ticket ticket, http::Message&& request);
  // The answer that rejects a request, if any.
  struct Rejection {
    int status = 0;  // 0: none
    const char* reason = "";
  };
  Rejection RejectionOfState() const;
  Rejection RejectionOf(const http::Message& request, const std::string& attempt_id,
                        const configuration::Route* route, int64_t remaining_ms) const;
  void Reject(Ticket ticket, const Rejection& rejection, const std::string& attempt_id);
  PendingRequest* Admit(Ticket ticket, http::Message&& request, const configuration::Route& route,
                        base::Millis remaining_ms);
  const configuration::Route* MatchRoute(const http::Message& request) const;
  bool MayRunOutOfOrder(const http::Message& request) const;
  PendingRequest* Find(Ticket ticket);

  // Attempts.
  uint32_t ChooseServer(base::Millis now, const PendingRequest& pending);
  // Sends to the best server, or waits for one, or fails.
  void Dispatch(PendingRequest* pending);
  void DispatchFirst(PendingRequest* pending);
  void Retry(PendingRequest* pending);
  // False if there may be no more connections to that server.
  bool SendTo(PendingRequest* pending, uint32_t server);
  void StartAttempt(PendingRequest* pending, const Attempt& attempt,
                    http::HttpConnection* connection);
  void ScheduleHedge(PendingRequest* pending, const Attempt& attempt);
  void SendHedge(PendingRequest* pending);
  http::HttpConnection::BodySink StreamAnswer(Ticket ticket, uint64_t attempt,
                                              const http::Message& so_far, int64_t length);
  void OnOutcome(Ticket ticket, uint64_t attempt, Outcome&& outcome);
  static Verdict Judge(const PendingRequest& pending, const Outcome& outcome);
  // Tells all that learn from it how the attempt ended. Takes its connection.
  void SettleAttempt(base::Millis now, PendingRequest* pending, Attempt* attempt,
                     const Verdict& verdict, int status);
  void NoteAttemptEnded(base::Millis now, uint32_t server);
  void OnServerAnswer(PendingRequest* pending, const http::Message& answer, Verdict* verdict);
  void FinishStream(PendingRequest* pending, int status, const Verdict& verdict);
  void HandleAttemptFailure(PendingRequest* pending);
  // Gives up what is in flight, but for the attempt `except`.
  void AbandonAttempts(PendingRequest* pending, uint64_t except = 0);
  void PauseAttempts(Ticket ticket, bool pause);

  // Waiting.
  void Enqueue(PendingRequest* pending);
  // Sends what waits for the service, as far as there is room.
  void PumpQueue(uint32_t service);
  void PumpAllQueues();
  // Sets the request's timer to whatever is due next.
  void Arm(PendingRequest* pending);
  void OnTimer(Ticket ticket);

  // Completion.
  void Finish(PendingRequest* pending, const http::Message& answer, const Cause& cause,
              bool failed);
  void FailRequest(PendingRequest* pending, const Cause& cause, bool deadline);
  void Record(const PendingRequest& pending, int status, const Cause& cause, bool failed);
  void Erase(PendingRequest* pending);
  // Fails those of the requests in flight that `which` is true of; false if there were none.
  bool FailInFlight(const std::function<bool(const PendingRequest&)>& which);
  void OnClientGone(Ticket ticket);

  void Tick();
  void NoteChange(const LoadBalancer::Change& change);
  void CloseIdleTo(const std::vector<uint32_t>& servers);
  double& MeanOf(uint32_t route);

  base::Loop* loop_;
  const base::Settings& settings_;
  telemetry::Recorder* recorder_;
  base::Names services_;
  base::Names regions_;
  base::Names routes_;
  std::shared_ptr<const configuration::RoutingTable> table_;
  base::Millis has_endpoints_at_ = -1;
  bool serving_ = false;
  base::Millis accept_until_ = -1;  // -1 for no end
  std::function<bool()> may_deny_;

  LoadBalancer balancer_;
  LoadSharing load_sharing_;
  VersionRouting version_routing_;
  RetryBudget budget_;
  http::HttpServer server_;
  ConnectionPool connections_;
  HealthProber prober_;
  std::vector<double> mean_ms_;  // by route: of its latency at the servers, EWMA
  std::unordered_map<Ticket, std::unique_ptr<PendingRequest>> requests_;
  RequestQueue queue_;
  uint64_t next_attempt_ = 1;
  base::Timer tick_;
};

}  // namespace elderkeel::forwarding
