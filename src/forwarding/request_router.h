#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/loop.h"
#include "base/name_index.h"
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

// Accepts requests from clients and handles each one until its final answer: matches its route,
// chooses servers, sends attempts, retries and hedges. The proxy owns one and calls it on the event
// loop's thread. docs/forwarding.md describes the rules.
//
// request_router.cc implements admission and updates from other modules; attempts.cc implements
// attempts and the queue; request_completion.cc implements final answers.
class RequestRouter {
 public:
  // All arguments must outlive this object.
  RequestRouter(base::Loop* loop, const base::Settings& settings, telemetry::Recorder* recorder);
  ~RequestRouter();

  // Opens the listener for clients; returns an error if its address can't be bound.
  base::Status Listen();

  // Puts a table in force. Only the routes in `table->changed_routes()` are examined, so a table
  // that was patched must be based on the table adopted before it.
  void Adopt(std::shared_ptr<const configuration::RoutingTable> table);
  // Puts a newer endpoint list, set of drained zones or state of the roll-outs in force. Idle
  // connections to servers that get no further requests are closed, and queued requests are sent.
  void Adopt(const discovery::EndpointSnapshot& endpoints);
  void Adopt(const zone_drain::DrainedZones& drained_zones);
  void Adopt(const rollout::Rollouts& rollouts);
  // The table in force; null before the first Adopt().
  const std::shared_ptr<const configuration::RoutingTable>& table() const { return table_; }
  int64_t revision() const { return table_ ? table_->revision() : 0; }

  // Returns the reports to the observers of each roll-out in progress; the caller sends them.
  std::vector<AddressedReport> MakeProxyReports() {
    return version_routing_.MakeReports(base::SteadyMillis());
  }
  // An observer of a roll-out has answered a report: extends the lease to send to the new version.
  void OnLeaseRenewal(const rollout::LeaseRenewal& renewal) {
    version_routing_.OnLeaseRenewal(base::SteadyMillis(), renewal);
  }
  // Whether a roll-out is in progress.
  bool rolling_out() const { return version_routing_.active(); }
  // Whether a roll-out is promoting its version, so that traffic shifts to it.
  bool IsShifting() const { return version_routing_.IsShifting(); }
  // Whether a state of the roll-outs has been received.
  bool has_rollout_state() const { return version_routing_.has_rollouts(); }

  // Sets how many proxies share the limits: `proxies`, those alive with this one included, share
  // the connections to servers; `possible`, those that may exist, share the retry budget.
  void SetProxyCounts(size_t proxies, size_t possible);
  // Sets this proxy's position among the proxies of its zone, counted from 0.
  void SetRank(size_t rank, size_t proxies_in_zone) { balancer_.SetRank(rank, proxies_in_zone); }
  void SetZoneProxies(const ZoneProxies& proxies) {
    balancer_.SetZoneProxies(base::SteadyMillis(), proxies);
  }
  // Exchange of the zones' load with the other proxies.
  load::LoadReport MakeLoadReport() { return load_sharing_.MakeReport(base::SteadyMillis()); }
  void MergeLoadReport(const load::LoadReport& report) {
    load_sharing_.MergeReport(base::SteadyMillis(), report);
  }

  // Whether the state that forwarding requires has been received; until then requests get 503. It
  // consists of a configuration, an endpoint list and, where versions get traffic only by an
  // operator's order, the state of the roll-outs. The latter is awaited for at most
  // kMaxRolloutWaitMs after the first endpoint list, as there may be no peer that has it.
  bool HasRequiredState() const {
    return table_ != nullptr && first_endpoints_at_ >= 0 &&
           (!settings_.VersionsByOrder() || has_rollout_state() ||
            base::SteadyMillis() - first_endpoints_at_ > kMaxRolloutWaitMs);
  }
  // Sets whether this proxy's state is confirmed to be current. While it isn't, requests get 503.
  void SetServing(bool serving) { serving_ = serving; }
  // Sets a predicate that returns whether the configuration is known to be recent enough to answer
  // 404. While it returns false, a request without a route gets 503: a newer configuration may have
  // that route. Without a predicate such a request always gets 404.
  void SetNotFoundGuard(std::function<bool()> may_answer_not_found) {
    may_answer_not_found_ = std::move(may_answer_not_found);
  }

  // Begins a graceful shutdown: client connections close after their last answer, and requests that
  // arrive at `accept_until` (steady clock) or later get 503 without being sent to a server.
  void BeginShutdown(base::Millis accept_until) {
    accept_until_ = accept_until;
    balancer_.SetLeaving(base::SteadyMillis());
    server_.SetDraining(true);
  }
  // Closes idle client connections.
  void CloseIdle() { server_.CloseIdle(); }
  // Refuses new client connections, so that the number of open ones can only fall.
  void StopListening() { server_.StopListening(); }
  // The number of client connections that are in use.
  size_t busy() const { return server_.busy(); }
  http::HttpServer::Occupancy GetOccupancy() const { return server_.GetOccupancy(); }
  // Requests that have no final answer yet.
  struct InFlight {
    size_t requests = 0;
    size_t attempts = 0;         // of these requests, at servers
    base::Millis oldest_ms = 0;  // age of the oldest request
    std::string oldest_attempt_id;
  };
  InFlight GetInFlight() const;
  // Fails all requests in flight, except those whose answer is being streamed to the client.
  void FailUnanswered();
  // Fails all requests in flight; returns false if there were none.
  bool FailAll();

  // The dense indices of services and regions, for building routing tables.
  base::NameIndex* service_names() { return &services_; }
  base::NameIndex* regions() { return &regions_; }

 private:
  using Ticket = http::HttpServer::Ticket;
  using Outcome = http::HttpConnection::Outcome;

  // How an attempt ended, for its request and for its server.
  struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::kExecuted;
    Signal signal = Signal::kGood;
    telemetry::Step step = telemetry::Step::kAnswer;
    std::string reason;  // of a failure; else empty
  };
  // The step at which a request's final answer was decided, and why; recorded with the request.
  struct Cause {
    telemetry::Step step;
    std::string reason;  // empty for a success
  };

  static constexpr base::Millis kMaxRolloutWaitMs = 1500;
  static constexpr const char* kShuttingDown = "the proxy is shutting down";

  // Admission.
  void OnRequest(Ticket ticket, http::Message&& request);
  // The answer to a request that is not forwarded.
  struct Rejection {
    int status = 0;  // 0 if the request may be forwarded
    const char* reason = "";
  };
  // Rejects requests while this proxy can't forward any.
  Rejection RejectionByState() const;
  // Rejects a request that can't be forwarded; `route` is null if none matches.
  Rejection RejectionByRequest(const http::Message& request, const std::string& attempt_id,
                               const configuration::Route* route, int64_t remaining_ms) const;
  void Reject(Ticket ticket, const Rejection& rejection, const std::string& attempt_id);
  PendingRequest* Admit(Ticket ticket, http::Message&& request, const configuration::Route& route,
                        base::Millis remaining_ms);
  const configuration::Route* MatchRoute(const http::Message& request) const;
  bool MayRunOutOfOrder(const http::Message& request) const;
  PendingRequest* Find(Ticket ticket);

  // Attempts.
  uint32_t ChooseServer(base::Millis now, const PendingRequest& pending);
  // Sends the request's next attempt, queues the request, or fails it.
  void Dispatch(PendingRequest* pending);
  void DispatchFirst(PendingRequest* pending);
  void Retry(PendingRequest* pending);
  // Returns false if the limit on connections to that server is reached.
  bool SendTo(PendingRequest* pending, uint32_t server);
  void StartAttempt(PendingRequest* pending, const Attempt& attempt,
                    http::HttpConnection* connection);
  // Sets when the request is hedged if this attempt has no answer by then.
  void ScheduleHedge(PendingRequest* pending, const Attempt& attempt);
  // Sends another attempt if exactly one is in flight, the chosen server has no attempt of this
  // proxy in flight, and the retry budget allows it.
  void SendHedge(PendingRequest* pending);
  http::HttpConnection::BodySink StreamAnswer(Ticket ticket, uint64_t attempt,
                                              const http::Message& so_far, int64_t length);
  void OnOutcome(Ticket ticket, uint64_t attempt, Outcome&& outcome);
  static AttemptResult ClassifyOutcome(const PendingRequest& pending, const Outcome& outcome);
  // Reports the end of an attempt to the load balancer, the version statistics and the request's
  // attempt log, and releases or discards its connection. `status`: of the answer, if there is one.
  void EndAttempt(base::Millis now, PendingRequest* pending, Attempt* attempt,
                  const AttemptResult& result, int status);
  // Called after an attempt at `server` ended or was abandoned.
  void OnAttemptEnded(base::Millis now, uint32_t server);
  void OnServerFailure(PendingRequest* pending, const http::Message& answer, AttemptResult* result);
  void FinishStream(PendingRequest* pending, int status, const AttemptResult& result);
  void HandleAttemptFailure(PendingRequest* pending);
  // Abandons all attempts in flight except the one with id `except`; their connections are closed.
  void AbandonAttempts(PendingRequest* pending, uint64_t except = 0);
  // Stops or resumes reading from servers, so that a slow client doesn't fill the buffers.
  void PauseAttempts(Ticket ticket, bool pause);

  // Queue and timers.
  void Enqueue(PendingRequest* pending);
  // Sends queued requests of the service while servers have capacity.
  void PumpQueue(uint32_t service);
  void PumpAllQueues();
  // Starts the request's timer for its next event: deadline, end of waiting, or hedge.
  void ArmTimer(PendingRequest* pending);
  void OnTimer(Ticket ticket);

  // Completion.
  void Finish(PendingRequest* pending, const http::Message& answer, const Cause& cause,
              bool failed);
  // Answers 503 if the request was certainly not executed, else 504 if its deadline has passed,
  // else 502. A streamed answer is cut off by a reset instead.
  void FailRequest(PendingRequest* pending, const Cause& cause, bool deadline);
  void Record(const PendingRequest& pending, int status, const Cause& cause, bool failed);
  void Erase(PendingRequest* pending);
  // Fails the requests in flight that match `predicate`; returns false if there were none.
  bool FailInFlight(const std::function<bool(const PendingRequest&)>& predicate);
  void OnClientDisconnected(Ticket ticket);

  // Periodic work: expired connections, roll-outs, probes, load shares and queues.
  void Tick();
  void OnServerChange(const LoadBalancer::Change& change);
  // Closes the idle connections to `servers`.
  void CloseIdleServerConnections(const std::vector<uint32_t>& servers);
  // The mean latency of the route's successful attempts at servers of the primary version; before
  // the first of them, an estimate.
  double& MeanLatencyMs(uint32_t route);

  base::Loop* loop_;
  const base::Settings& settings_;
  telemetry::Recorder* recorder_;
  base::NameIndex services_;
  base::NameIndex regions_;
  base::NameIndex routes_;
  std::shared_ptr<const configuration::RoutingTable> table_;
  base::Millis first_endpoints_at_ = -1;  // -1 before the first endpoint list
  bool serving_ = false;
  base::Millis accept_until_ = -1;  // -1 unless shutting down
  std::function<bool()> may_answer_not_found_;

  LoadBalancer balancer_;
  LoadSharing load_sharing_;
  VersionRouting version_routing_;
  RetryBudget retry_budget_;
  http::HttpServer server_;
  ConnectionPool connections_;
  HealthProber prober_;
  std::vector<double> mean_latency_ms_;  // by route; exponentially weighted
  std::unordered_map<Ticket, std::unique_ptr<PendingRequest>> requests_;
  RequestQueue queue_;
  uint64_t next_attempt_id_ = 1;
  base::Timer tick_timer_;
};

}  // namespace elderkeel::forwarding
