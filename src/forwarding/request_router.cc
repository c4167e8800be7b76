#include "forwarding/request_router.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "forwarding/headers.h"
#include "lifecycle/shutdown_schedule.h"

namespace elderkeel::forwarding {
namespace {

using http::Message;
using telemetry::ControlRecord;
using telemetry::NameTable;
using telemetry::Step;

constexpr base::Millis kTickMs = 100;
constexpr size_t kPipeline = 8;  // requests of one connection under way at once
constexpr int64_t kMinClientConnections = 64;
// How long after a list was read its news may arrive here.
constexpr base::Millis kDrainSpreadMs = 1500;
// Until there are answers: a route's mean against the latency that the operator aims at, and the
// mean of a route that says none.
constexpr double kTargetToMean = 3;
constexpr double kUnknownMeanMs = 100;
// Of a proxy that has only just started, in seconds.
constexpr const char* kStartRetryAfter = "0.4";

RetryBudget::Bounds RetryBudgetBounds(const base::Settings& settings) {
  RetryBudget::Bounds bounds;
  bounds.ratio = settings.retry_ratio;
  bounds.slack = settings.retry_slack;
  return bounds;
}

LoadBalancer::Options BalancerOptions(const base::Settings& settings) {
  LoadBalancer::Options options;
  options.zone = settings.zone;
  options.region = settings.region;
  options.regions = settings.zones;
  options.serves_on = lifecycle::ShutdownSchedule(settings.GraceMs(), 0).accept_until;
  return options;
}

http::HttpServer::Options ServerOptions(const base::Settings& settings,
                                        std::function<http::Limits()> limits,
                                        std::function<bool(const Message&)> may_run_out_of_order) {
  http::HttpServer::Options options;
  options.limits = std::move(limits);
  options.pipeline = kPipeline;
  options.may_run_out_of_order = std::move(may_run_out_of_order);
  options.notice_sleep = true;
  // Half of the descriptors for clients, the rest for servers and other nodes.
  options.max_connections =
      static_cast<size_t>(std::max<int64_t>(kMinClientConnections, settings.max_fds / 2));
  options.max_buffered_bytes = static_cast<size_t>(settings.memory_mb) * (1 << 20) / 4;
  return options;
}

bool IsPath(const std::string& target) {
  return !target.empty() && target[0] == '/' && target.find('#') == std::string::npos;
}

// The milliseconds that the client gives; -1 if malformed, no bound if it states none.
int64_t StatedRemaining(const Message& request) {
  const std::string* text = request.Find(kRemainingHeader);
  return text ? http::ParseDecimal(*text) : INT64_MAX;
}

}  // namespace

RequestRouter::RequestRouter(base::Loop* loop, const base::Settings& settings,
                             telemetry::Recorder* recorder)
    : loop_(loop),
      settings_(settings),
      recorder_(recorder),
      balancer_(BalancerOptions(settings), &services_, &regions_, base::RandomSeed()),
      load_sharing_(settings.zone, &services_, &balancer_),
      version_routing_(settings, &services_, &balancer_),
      budget_(RetryBudgetBounds(settings)),
      server_(loop,
              ServerOptions(
                  settings, [this] { return table_ ? table_->limits() : http::Limits(); },
                  [this](const Message& request) { return MayRunOutOfOrder(request); }),
              [this](Ticket ticket, Message&& request) { OnRequest(ticket, std::move(request)); }),
      connections_(loop, &settings, &balancer_),
      prober_(loop, &balancer_, recorder, [this](uint32_t service) { PumpQueue(service); }) {
  server_.OnGone([this](Ticket ticket) { OnClientGone(ticket); });
  server_.OnDrained([this](Ticket ticket) { PauseAttempts(ticket, false); });
  server_.OnRefused([this](int status, const char* reason) {
    telemetry::RequestRecord record;
    record.status = static_cast<uint16_t>(status);
    record.step = Step::kAdmission;
    record.SetReason(reason);
    record.revision = revision();
    recorder_->Request(record, true);
  });
  SetProxies(1, 1);
  tick_.Repeat(loop_, kTickMs, [this] { Tick(); });
}

RequestRouter::~RequestRouter() = default;

base::Status RequestRouter::Listen() { return server_.Listen(settings_.front); }

void RequestRouter::SetProxies(size_t proxies, size_t possible) {
  proxies = std::max<size_t>(1, proxies);
  connections_.SetProxies(proxies);
  budget_.SetNodes(std::max(proxies, possible));
}

void RequestRouter::Adopt(std::shared_ptr<const configuration::RoutingTable> table) {
  table_ = std::move(table);
  for (const auto& route : table_->changed()) {
    uint32_t index = routes_.Intern(route->label);
    if (index >= mean_ms_.size()) {
      mean_ms_.resize(index + 1, 0);
      recorder_->names().Set(NameTable::kRoute, index, route->label);
    }
    if (mean_ms_[index] == 0) {
      mean_ms_[index] = static_cast<double>(route->target_latency_ms) / kTargetToMean;
    }
  }
  for (uint32_t i = 0; i < services_.size(); ++i) {
    const configuration::Service* service = table_->service(i);
    balancer_.SetWarmup(i, service ? service->warmup_per_s : 0);
    recorder_->names().Set(NameTable::kService, i, services_.Name(i));
  }
  ControlRecord record;
  record.what = ControlRecord::What::kVersion;
  record.number = table_->revision();
  recorder_->Control(record);
}

void RequestRouter::Adopt(const discovery::EndpointSnapshot& endpoints) {
  base::Millis now = base::SteadyMillis();
  if (has_endpoints_at_ < 0) has_endpoints_at_ = now;
  for (const LoadBalancer::Change& change : balancer_.Adopt(now, endpoints)) NoteChange(change);
  PumpAllQueues();
}

void RequestRouter::NoteChange(const LoadBalancer::Change& change) {
  if (change.what == LoadBalancer::Change::What::kNew) {
    const ServerState& state = balancer_.at(change.server);
    recorder_->names().Set(NameTable::kServer, change.server, state.id);
    recorder_->names().Set(NameTable::kVersion, state.version, balancer_.VersionOf(change.server));
    return;
  }
  bool draining = change.what == LoadBalancer::Change::What::kDraining;
  ControlRecord record;
  record.server = change.server;
  record.what = draining ? ControlRecord::What::kDraining : ControlRecord::What::kGone;
  recorder_->Control(record);
  connections_.CloseIdle(change.server);
}

void RequestRouter::Adopt(const zone_drain::DrainedZones& drained_zones) {
  base::Millis doubt = settings_.PollMs() + settings_.platform_lag_ms + kDrainSpreadMs;
  balancer_.SetDrainedZones(base::SteadyMillis(), drained_zones.zones(), doubt);
  for (uint32_t i = 0; i < balancer_.size(); ++i) {
    if (balancer_.at(i).zone_drained) connections_.CloseIdle(i);
  }
  PumpAllQueues();
}

void RequestRouter::Adopt(const rollout::Rollouts& rollouts) {
  if (!settings_.VersionsByOrder()) return;
  CloseIdleTo(version_routing_.Adopt(base::SteadyMillis(), rollouts));
  PumpAllQueues();
}

void RequestRouter::CloseIdleTo(const std::vector<uint32_t>& servers) {
  for (uint32_t server : servers) connections_.CloseIdle(server);
}

double& RequestRouter::MeanOf(uint32_t route) {
  if (route >= mean_ms_.size()) mean_ms_.resize(route + 1, kUnknownMeanMs);
  return mean_ms_[route];
}

PendingRequest* RequestRouter::Find(Ticket ticket) {
  auto found = requests_.find(ticket);
  return found == requests_.end() ? nullptr : found->second.get();
}

const configuration::Route* RequestRouter::MatchRoute(const Message& request) const {
  const std::string* host = request.Find("Host");
  return table_ && host ? table_->Match(*host, request.Path()) : nullptr;
}

// What may run only once is never begun ahead of its turn: were an answer before it to end the
// connection, the client could not know whether it ran.
bool RequestRouter::MayRunOutOfOrder(const Message& request) const {
  const configuration::Route* route = MatchRoute(request);
  return route && route->idempotent;
}

RequestRouter::Rejection RequestRouter::RejectionOfState() const {
  if (accept_until_ >= 0 && base::SteadyMillis() >= accept_until_) return {503, kEnding};
  if (!able()) return {503, "no configuration or list yet"};
  if (!serving_) return {503, "the configuration is not confirmed yet"};
  return {};
}

RequestRouter::Rejection RequestRouter::RejectionOf(const Message& request,
                                                    const std::string& attempt_id,
                                                    const configuration::Route* route,
                                                    int64_t remaining_ms) const {
  if (request.method == "CONNECT" || request.method == "TRACE") {
    return {405, "method not forwarded"};
  }
  if (!IsPath(request.target)) return {400, "target is no path"};
  if (!route && may_deny_ && !may_deny_()) {
    return {503, "the configuration may be out of date"};
  }
  if (!route) return {404, "no route"};
  if (attempt_id.empty() || request.Count(kAttemptIdHeader) != 1) {
    return {400, "needs one attempt id"};
  }
  if (request.Count(kRemainingHeader) > 1) return {400, "two deadlines"};
  if (remaining_ms < 0) return {400, "malformed deadline"};
  return {};
}

void RequestRouter::Reject(Ticket ticket, const Rejection& rejection,
                           const std::string& attempt_id) {
  Message answer = http::OwnAnswer(rejection.status, rejection.reason);
  if (rejection.status == 503) {
    answer.headers.push_back({"Retry-After", serving_ ? kRetryAfter : kStartRetryAfter});
  }
  telemetry::RequestRecord record;
  record.SetAttempt(attempt_id);
  record.SetReason(rejection.reason);
  record.status = static_cast<uint16_t>(rejection.status);
  record.step = Step::kAdmission;
  record.revision = revision();
  recorder_->Request(record, true);
  server_.Answer(ticket, answer, rejection.status == 400);
}

void RequestRouter::OnRequest(Ticket ticket, Message&& request) {
  const std::string* header = request.Find(kAttemptIdHeader);
  std::string attempt_id = header ? *header : "";
  if (Rejection rejection = RejectionOfState(); rejection.status != 0) {
    Reject(ticket, rejection, attempt_id);
    return;
  }
  const configuration::Route* route = MatchRoute(request);
  int64_t remaining_ms = StatedRemaining(request);
  Rejection rejection = RejectionOf(request, attempt_id, route, remaining_ms);
  if (rejection.status != 0) {
    Reject(ticket, rejection, attempt_id);
    return;
  }
  remaining_ms = std::min<int64_t>(route->timeout_ms, remaining_ms);
  PendingRequest* pending = Admit(ticket, std::move(request), *route, remaining_ms);
  pending->attempt_id = std::move(attempt_id);
  pending->service = table_->Pick(*route, base::Hash(pending->attempt_id));
  budget_.Deposit(pending->service);
  version_routing_.OnRequest(pending->service);
  Dispatch(pending);
}

PendingRequest* RequestRouter::Admit(Ticket ticket, Message&& request,
                                     const configuration::Route& route, base::Millis remaining_ms) {
  auto added = std::make_unique<PendingRequest>(route.idempotent, route.max_attempts);
  added->ticket = ticket;
  added->request = std::move(request);
  added->table = table_;
  added->route = &route;
  added->route_index = routes_.Find(route.label);
  added->arrived_ns = base::SteadyNanos();
  base::Millis arrived = added->arrived_ns / 1000000;
  base::Millis wait_ms = route.target_latency_ms * settings_.wait_share_percent / 100;
  added->deadline = arrived + remaining_ms;
  added->wait_until = std::min(added->deadline, arrived + wait_ms);
  return requests_.emplace(ticket, std::move(added)).first->second.get();
}

RequestRouter::InFlight RequestRouter::GetInFlight() const {
  InFlight in_flight;
  in_flight.requests = requests_.size();
  int64_t oldest_ns = INT64_MAX;
  for (const auto& [ticket, pending] : requests_) {
    in_flight.attempts += pending->attempts.size();
    if (pending->arrived_ns >= oldest_ns) continue;
    oldest_ns = pending->arrived_ns;
    in_flight.oldest_attempt_id = pending->attempt_id;
  }
  if (!requests_.empty()) in_flight.oldest_ms = (base::SteadyNanos() - oldest_ns) / 1000000;
  return in_flight;
}

void RequestRouter::Tick() {
  base::Millis now = base::SteadyMillis();
  connections_.CloseExpired(now);
  if (version_routing_.active()) CloseIdleTo(version_routing_.Review(now));
  prober_.Tick(now, table_.get());
  load_sharing_.Tick(now);
  PumpAllQueues();
}

}  // namespace elderkeel::forwarding
