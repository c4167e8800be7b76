#pragma once

#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/loop.h"
#include "base/names.h"
#include "base/settings.h"
#include "configuration/routing_table.h"
#include "configuration/validation.h"
#include "discovery/endpoints.h"
#include "forwarding/attempt_log.h"
#include "forwarding/load_balancer.h"
#include "forwarding/retry_budget.h"
#include "load/load_tracker.h"
#include "rollout/canary_policy.h"
#include "telemetry/recorder.h"
#include "wire/http_client.h"
#include "wire/http_server.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::forwarding {

// Takes requests from clients and sees each one to its answer.
class RequestRouter {
 public:
  RequestRouter(base::Loop* loop, const base::Settings& settings, telemetry::Recorder* recorder);
  ~RequestRouter();

  base::Status Listen();
  // Every table that is made from the one in force must be adopted: only its changes are looked at.
  void Adopt(std::shared_ptr<const configuration::RoutingTable> table);
  // The table in force; null before the first.
  const std::shared_ptr<const configuration::RoutingTable>& table() const { return table_; }
  void Adopt(const discovery::EndpointSnapshot& endpoints);
  void Adopt(const zone_drain::DrainedZones& drained_zones);
  void Adopt(const rollout::Rollouts& rollouts);
  // What the watchers of each roll-out under way are told; who tells it is left to the caller.
  struct AddressedReport {
    rollout::ProxyReport report;
    std::vector<uint64_t> observers;
  };
  std::vector<AddressedReport> MakeProxyReports();
  bool rolling_out() const { return canary_policy_.active(); }
  bool IsShifting() const { return canary_policy_.IsShifting(); }
  void OnLeaseRenewal(const rollout::LeaseRenewal& renewal);
  // Proxies in sight, this one included, share the servers' connections; those that may exist, the
  // budgets.
  void SetProxies(size_t proxies, size_t possible);
  // Which one of its zone's proxies this is.
  void SetRank(size_t place, size_t places) { balancer_.SetRank(place, places); }
  // This one's id and those of its zone's proxies.
  void SetZoneProxies(uint64_t self, std::vector<uint64_t> peers) {
    balancer_.SetZoneProxies(self, std::move(peers));
  }
  // How busy the zones are, for the peers and from them.
  load::LoadReport MakeLoadReport();
  void MergeLoadReport(const load::LoadReport& report);
  // Until a configuration and a catalog are there, requests get 503; and, where versions get
  // traffic by order, until it is known which, or nobody is there to say it.
  bool able() const {
    return table_ != nullptr && has_endpoints_at_ >= 0 &&
           (!settings_.VersionsByOrder() || versions_known() ||
            base::SteadyMillis() - has_endpoints_at_ > kVersionsPatienceMs);
  }
  bool versions_known() const { return versions_ > 0; }
  // Until what is held is known to be current, requests get 503 too.
  void SetServing(bool serving) { serving_ = serving; }

  // Whether what is held is known to be recent enough to deny by it that a route exists. Without it
  // denials always stand.
  void SetDenialGuard(std::function<bool()> guard) { may_deny_ = std::move(guard); }

  // From here on requests are rejected as they come, and never offered to a server.
  void RejectNew() { rejecting_ = true; }
  void SetLeaving() { server_.SetLeaving(true); }
  void StopListening() { server_.StopListening(); }
  void CloseIdle() { server_.CloseIdle(); }
  size_t busy() const { return server_.busy(); }
  // Gives every request that is still here its final answer.
  void FinishAll();

  base::Names* names() { return &services_; }
  base::Names* regions() { return &regions_; }
  int64_t revision() const { return table_ ? table_->revision() : 0; }

 private:
  using Ticket = wire::HttpServer::Ticket;

  struct Send {
    uint64_t id = 0;
    size_t entry = 0;  // in the ledger
    uint32_t server = 0;
    base::Millis begun = 0;
    base::Millis late = 0;  // how long it may take without being late
    bool timed = false;     // its time says something of its server's version
    std::unique_ptr<wire::HttpConnection> connection;
  };

  struct PendingRequest {
    PendingRequest(bool idempotent, int attempts) : attempt_log(idempotent, attempts) {}
    Ticket ticket = 0;
    wire::Message request;
    std::shared_ptr<const configuration::RoutingTable> table;  // pinned when the head was read
    const configuration::Route* route = nullptr;
    uint32_t route_index = 0;
    uint32_t service = 0;
    std::string attempt;
    int64_t arrived_ns = 0;
    base::Millis arrived = 0;
    base::Millis deadline = 0;
    base::Millis wait_until = 0;
    base::Millis hedge_at = 0;  // when a second send is due; 0 for never
    AttemptLog attempt_log;
    std::vector<Send> sends;  // those in flight
    std::vector<uint32_t> tried;
    bool queued = false;
    int64_t waited_ns = 0;
    uint32_t last_server = UINT32_MAX;
    telemetry::Step last_step = telemetry::Step::kNone;
    std::string last_reason;
    uint64_t streaming = 0;               // the send whose answer is being passed on as it comes
    std::unique_ptr<wire::Message> kept;  // a server's own failure, if nothing better comes
    base::Timer timer;
  };

  struct Pool {
    std::vector<std::unique_ptr<wire::HttpConnection>> idle;  // the last used at the back
    size_t open = 0;
  };

  void OnRequest(Ticket ticket, wire::Message&& request);
  void OnGone(Ticket ticket);
  void Reject(Ticket ticket, int status, const char* reason, const std::string& attempt,
              bool close = false);
  // Sends to the best server, or waits for one.
  void Place(PendingRequest* x);
  bool SendTo(PendingRequest* x, uint32_t server);
  void OnOutcome(Ticket ticket, uint64_t send, wire::HttpConnection::Outcome&& outcome);
  void HandleAttemptFailure(PendingRequest* x);
  void Arm(PendingRequest* x);
  void OnTimer(Ticket ticket);
  void SendHedge(PendingRequest* x);
  void Finish(PendingRequest* x, const wire::Message& answer, telemetry::Step step,
              const std::string& reason, bool failed);
  void FailRequest(PendingRequest* x, telemetry::Step step, const std::string& reason,
                   bool deadline);
  // Gives up what is in flight, but for one.
  void AbandonAttempts(PendingRequest* x, uint64_t except = 0);
  void Erase(PendingRequest* x);
  void Queue(PendingRequest* x);
  void Unqueue(PendingRequest* x);
  void PumpQueue(uint32_t service);
  wire::HttpConnection::BodySink Stream(Ticket ticket, uint64_t send, const wire::Message& so_far,
                                        int64_t length);
  std::unique_ptr<wire::HttpConnection> AcquireConnection(uint32_t server, bool idempotent);
  void ReleaseConnection(uint32_t server, std::unique_ptr<wire::HttpConnection> connection);
  void Discard(uint32_t server, std::unique_ptr<wire::HttpConnection> connection);
  std::string RequestBytes(const PendingRequest& x, const std::string& server_id) const;
  // Empty if the answer may go to the client as it is; else what is wrong with it.
  std::string AnswerFault(const PendingRequest& x, const wire::Message& answer) const;
  double& MeanOf(uint32_t route);
  void Tick();
  void Probe(uint32_t server);
  void Record(const PendingRequest& x, int status, telemetry::Step step, const std::string& reason,
              bool failed);

  base::Loop* loop_;
  const base::Settings& settings_;
  telemetry::Recorder* recorder_;
  bool MayRunOutOfOrder(const wire::Message& request) const;
  uint32_t ChooseFor(base::Millis now, const PendingRequest& x);
  // Puts in force what the roll-outs allow now.
  void ReviewVersions(base::Millis now);
  // Counts how a send ended, for the watchers of its service's roll-out.
  void Count(const PendingRequest& x, const Send& send, rollout::CanaryPolicy::Outcome ending,
             base::Millis took);
  // After how long a second send of a late request is due.
  static base::Millis HedgeAfter(double mean, const configuration::Route& route) {
    return std::max<base::Millis>(static_cast<base::Millis>(mean * 2), route.target_latency_ms / 2);
  }
  void CloseIdleConnections(uint32_t server);
  // One send less is in flight there, and the choice has learnt how it ended.
  void OnAttemptEnded(base::Millis now, uint32_t server);
  void SplitByCapacity(base::Millis now);
  uint32_t LoadKey(uint32_t service);

  base::Names services_;
  base::Names regions_;
  base::Names routes_;
  std::shared_ptr<const configuration::RoutingTable> table_;
  base::Millis has_endpoints_at_ = -1;
  bool serving_ = false;
  bool rejecting_ = false;
  std::function<bool()> may_deny_;
  uint64_t versions_ = 0;  // of the state of the roll-outs
  static constexpr base::Millis kVersionsPatienceMs = 1500;
  LoadBalancer balancer_;
  load::LoadTracker load_tracker_;
  std::vector<uint32_t> load_keys_;  // of the services, by index
  base::Millis share_at_ = 0;
  rollout::CanaryPolicy canary_policy_;
  std::map<std::string, rollout::Rule> rules_;  // as they were last put in force, by service
  forwarding::RetryBudget budget_;
  wire::HttpServer server_;
  std::vector<Pool> pools_;
  std::vector<double> means_;  // of a route's latency at its servers, EWMA, ms
  std::unordered_map<Ticket, std::unique_ptr<PendingRequest>> requests_;
  std::vector<std::list<PendingRequest*>> queues_;  // by service; by priority, then arrival
  std::unordered_map<uint32_t, std::unique_ptr<wire::HttpCall>> probes_;
  size_t proxies_ = 1;
  uint64_t next_send_ = 1;
  base::Timer tick_;
};

}  // namespace elderkeel::forwarding
