#include "forwarding/request_router.h"

#include <algorithm>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::forwarding {
namespace {

using telemetry::Step;
using wire::EqualNoCase;
using wire::Message;

constexpr base::Millis kTickMs = 100;
constexpr base::Millis kIdleMs = 8000;  // an idle connection whose server names no time
constexpr base::Millis kQuietMs = 15;   // a connection must have been quiet for so long before it
                                        // carries what may run only once
constexpr base::Millis kProbeTimeoutMs = 1000;
constexpr base::Millis kMinRemainingMs = 2;
constexpr size_t kMaxQueued = 512;
constexpr base::Millis kShareEveryMs = 400;  // between two looks at how busy the zones are
constexpr double kHomeZoneShare =
    0.7;                         // of its zone's slots that a zone fills before it goes elsewhere
constexpr size_t kPipeline = 8;  // requests of one connection under way at once
constexpr base::Millis kFreshIdleMs = 300;     // servers may forget a connection idle for longer
constexpr base::Millis kDrainSpreadMs = 1500;  // beyond reading the list: until its news is here
constexpr size_t kStreamBytes = 256 << 10;     // of a streamed answer that the client has not taken
constexpr double kMeanWeight = 0.05;
constexpr double kLateMeans = 3.2;  // of the route's mean: what takes longer counts as late
constexpr const char* kAttempt = "Elderkeel-Attempt-Id";
constexpr const char* kRemaining = "Elderkeel-Remaining-Ms";
constexpr const char* kExpected = "Elderkeel-Expected-Server";
constexpr const char* kSeal = "Elderkeel-Server-Seal";
constexpr const char* kWarmup = "Elderkeel-Warmup-Ms";
constexpr const char* kNotExecuted = "Elderkeel-Not-Executed";
constexpr const char* kRetryAfter = "0.1";
constexpr const char* kStartRetryAfter = "0.4";  // for a node that has only just started

forwarding::RetryBudget::Bounds RetryBudgetBounds(const base::Settings& settings) {
  forwarding::RetryBudget::Bounds bounds;
  bounds.ratio = settings.retry_ratio;
  bounds.slack = settings.retry_slack;
  return bounds;
}

wire::HttpServer::Options ServerOptions(const base::Settings& settings,
                                        std::function<wire::Limits()> limits,
                                        std::function<bool(const Message&)> may_run_out_of_order) {
  wire::HttpServer::Options options;
  options.limits = std::move(limits);
  options.pipeline = kPipeline;
  options.may_run_out_of_order = std::move(may_run_out_of_order);
  options.notice_sleep = true;
  // Half of the descriptors for clients, the rest for servers and other nodes.
  options.max_connections = static_cast<size_t>(std::max<int64_t>(64, settings.max_fds / 2));
  options.max_buffered_bytes = static_cast<size_t>(settings.memory_mb) * (1 << 20) / 4;
  return options;
}

}  // namespace

RequestRouter::RequestRouter(base::Loop* loop, const base::Settings& settings,
                             telemetry::Recorder* recorder)
    : loop_(loop),
      settings_(settings),
      recorder_(recorder),
      balancer_(
          [&] {
            LoadBalancer::Options options;
            options.zone = settings.zone;
            options.region = settings.region;
            options.regions = settings.zones;
            return options;
          }(),
          &services_, &regions_, base::RandomSeed()),
      load_tracker_(settings.zone),
      canary_policy_([&] {
        rollout::CanaryPolicy::Options options;
        options.share = settings.canary_share;
        options.lease = std::max<base::Millis>(500, settings.rollback_ms / 2);
        return options;
      }()),
      budget_(RetryBudgetBounds(settings)),
      server_(loop,
              ServerOptions(
                  settings, [this] { return table_ ? table_->limits() : wire::Limits(); },
                  [this](const Message& request) { return MayRunOutOfOrder(request); }),
              [this](Ticket ticket, Message&& request) { OnRequest(ticket, std::move(request)); }) {
  server_.OnGone([this](Ticket ticket) { OnGone(ticket); });
  server_.OnDrained([this](Ticket ticket) {
    auto at = requests_.find(ticket);
    if (at == requests_.end()) return;
    for (Send& send : at->second->sends) send.connection->Pause(false);
  });
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
  proxies_ = std::max<size_t>(1, proxies);
  budget_.SetNodes(std::max(proxies_, possible));
}

void RequestRouter::Adopt(std::shared_ptr<const configuration::RoutingTable> table) {
  table_ = std::move(table);
  for (const auto& route : table_->changed()) {
    uint32_t index = routes_.Intern(route->label);
    if (index >= means_.size()) {
      means_.resize(index + 1, 0);
      recorder_->names().Set(telemetry::NameTable::kRoute, index, route->label);
    }
    // Until there are answers, the operator's aim is the best guess at a route's latency.
    if (means_[index] == 0) means_[index] = static_cast<double>(route->target_latency_ms) / 3;
  }
  for (uint32_t i = 0; i < services_.size(); ++i) {
    const configuration::Service* service = table_->service(i);
    balancer_.SetWarmup(i, service ? service->warmup_per_s : 0);
    recorder_->names().Set(telemetry::NameTable::kService, i, services_.Name(i));
  }
  telemetry::ControlRecord record;
  record.what = telemetry::ControlRecord::What::kVersion;
  record.number = table_->revision();
  recorder_->Control(record);
}

void RequestRouter::Adopt(const discovery::EndpointSnapshot& endpoints) {
  if (has_endpoints_at_ < 0) has_endpoints_at_ = base::SteadyMillis();
  for (const LoadBalancer::Change& change : balancer_.Adopt(base::SteadyMillis(), endpoints)) {
    telemetry::ControlRecord record;
    record.server = change.server;
    if (change.what == LoadBalancer::Change::What::kNew) {
      recorder_->names().Set(telemetry::NameTable::kServer, change.server,
                             balancer_.at(change.server).id);
      recorder_->names().Set(telemetry::NameTable::kVersion, balancer_.at(change.server).version,
                             balancer_.VersionOf(change.server));
      continue;
    }
    record.what = change.what == LoadBalancer::Change::What::kDraining
                      ? telemetry::ControlRecord::What::kDraining
                      : telemetry::ControlRecord::What::kGone;
    recorder_->Control(record);
    CloseIdleConnections(change.server);
  }
  pools_.resize(balancer_.size());
  for (uint32_t i = 0; i < queues_.size(); ++i) PumpQueue(i);
}

// Nothing new goes there: what lies idle is let go.
void RequestRouter::CloseIdleConnections(uint32_t server) {
  if (server >= pools_.size()) return;
  std::vector<std::unique_ptr<wire::HttpConnection>> idle;
  idle.swap(pools_[server].idle);
  for (auto& connection : idle) Discard(server, std::move(connection));
}

void RequestRouter::OnAttemptEnded(base::Millis now, uint32_t server) {
  load_tracker_.End(now, LoadKey(balancer_.at(server).service));
  // Other connections to one that is held out are no better, and those that hang would tell so only
  // by their silence.
  if (balancer_.at(server).ejected_until > 0) CloseIdleConnections(server);
}

void RequestRouter::Adopt(const zone_drain::DrainedZones& drained_zones) {
  base::Millis doubt = settings_.PollMs() + settings_.platform_lag_ms + kDrainSpreadMs;
  balancer_.SetDrainedZones(base::SteadyMillis(), drained_zones.zones(), doubt);
  for (uint32_t i = 0; i < balancer_.size(); ++i) {
    if (balancer_.at(i).zone_drained) CloseIdleConnections(i);
  }
  for (uint32_t i = 0; i < queues_.size(); ++i) PumpQueue(i);
}

void RequestRouter::Adopt(const rollout::Rollouts& rollouts) {
  if (!settings_.VersionsByOrder()) return;
  base::Millis now = base::SteadyMillis();
  canary_policy_.Adopt(now, rollouts);
  versions_ = rollouts.version();
  for (const auto& [service, version] : rollouts.in_force()) rules_[service];
  for (const auto& [service, rollout] : rollouts.rollouts()) rules_[service];
  ReviewVersions(now);
  for (uint32_t i = 0; i < queues_.size(); ++i) PumpQueue(i);
}

void RequestRouter::ReviewVersions(base::Millis now) {
  for (auto& [service, in_force] : rules_) {
    rollout::Rule rule = canary_policy_.RuleOf(now, service);
    if (rule == in_force) continue;
    in_force = rule;
    for (uint32_t server :
         balancer_.SetVersions(services_.Intern(service), rule, canary_policy_.CanaryShare())) {
      CloseIdleConnections(server);
    }
  }
}

std::vector<RequestRouter::AddressedReport> RequestRouter::MakeProxyReports() {
  std::vector<AddressedReport> all;
  base::Millis now = base::SteadyMillis();
  for (const std::string& service : canary_policy_.ActiveServices()) {
    AddressedReport told;
    told.report = canary_policy_.MakeReport(now, service);
    const rollout::Rollout& rollout = *canary_policy_.RolloutOf(service);
    told.observers = rollout.observers;
    uint32_t index = services_.Intern(service);
    told.report.new_in_flight = balancer_.InFlight(index, rollout.order.version);
    told.report.old_in_flight = balancer_.InFlight(index, rollout.from);
    all.push_back(std::move(told));
  }
  return all;
}

void RequestRouter::OnLeaseRenewal(const rollout::LeaseRenewal& renewal) {
  canary_policy_.OnLeaseRenewal(base::SteadyMillis(), renewal);
}

void RequestRouter::Count(const PendingRequest& x, const Send& send,
                          rollout::CanaryPolicy::Outcome ending, base::Millis took) {
  if (!canary_policy_.active()) return;
  rollout::CanaryPolicy::SentRequest told;
  told.service = services_.Name(balancer_.at(send.server).service);
  if (!canary_policy_.RolloutOf(told.service)) return;
  told.version = balancer_.VersionOf(send.server);
  told.server = balancer_.at(send.server).id;
  told.route = x.route->label;
  told.ending = ending;
  told.timed = send.timed;
  told.late = took > send.late;
  canary_policy_.CountOutcome(base::SteadyMillis(), told);
}

// What may run only once is never begun ahead of its turn: were an answer before it to end the
// connection, the client could not know whether it ran.
bool RequestRouter::MayRunOutOfOrder(const Message& request) const {
  const std::string* host = request.Find("Host");
  const configuration::Route* route =
      table_ && host ? table_->Match(*host, request.Path()) : nullptr;
  return route && route->idempotent;
}

load::LoadReport RequestRouter::MakeLoadReport() {
  return load_tracker_.MakeReport(base::SteadyMillis(), balancer_.places());
}

void RequestRouter::MergeLoadReport(const load::LoadReport& report) {
  load_tracker_.MergeReport(base::SteadyMillis(), report);
}

void RequestRouter::SplitByCapacity(base::Millis now) {
  if (now < share_at_) return;
  share_at_ = now + kShareEveryMs;
  load_tracker_.Tick(now);
  for (uint32_t service = 0; service < services_.size(); ++service) {
    std::vector<LoadBalancer::ZoneSlots> zones = balancer_.SlotsByZone(service);
    std::vector<load::ZoneCapacity> places;
    places.reserve(zones.size());
    for (const auto& [zone, slots] : zones) {
      places.push_back({slots, load_tracker_.Of(now, load::Key(balancer_.ZoneName(zone)),
                                                LoadKey(service), balancer_.places())});
    }
    std::vector<LoadBalancer::Share> shares;
    if (!places.empty()) {
      std::vector<double> parts = load::SplitByCapacity(places, 0, kHomeZoneShare);
      for (size_t i = 0; i < parts.size(); ++i) {
        if (parts[i] > 0) shares.push_back({zones[i].zone, parts[i]});
      }
    }
    balancer_.SetShares(service, std::move(shares));
  }
}

uint32_t RequestRouter::LoadKey(uint32_t service) {
  for (uint32_t i = static_cast<uint32_t>(load_keys_.size()); i <= service; ++i) {
    load_keys_.push_back(load::Key(services_.Name(i)));
  }
  return load_keys_[service];
}

uint32_t RequestRouter::ChooseFor(base::Millis now, const PendingRequest& x) {
  auto choose = [&](bool secondary) {
    return balancer_.Choose(now, x.service, MeanOf(x.route_index), x.tried, x.route->idempotent,
                            x.route->regions, secondary);
  };
  if (!canary_policy_.active()) return choose(false);
  // A request drawn for another version than the others, when that has room; a further try goes to
  // the version that is known to be good.
  const std::string& service = services_.Name(x.service);
  bool secondary = x.tried.empty()
                       ? canary_policy_.TakesSecondary(now, service, base::Hash(x.attempt))
                       : canary_policy_.RetriesToSecondary(now, service);
  uint32_t server = secondary ? choose(true) : LoadBalancer::kNone;
  if (server == LoadBalancer::kNone) server = choose(false);
  // While the traffic moves, what one version has no room for goes to the other.
  if (server == LoadBalancer::kNone && canary_policy_.RetriesToSecondary(now, service))
    server = choose(true);
  return server;
}

double& RequestRouter::MeanOf(uint32_t route) {
  if (route >= means_.size()) means_.resize(route + 1, 100);
  return means_[route];
}

void RequestRouter::Reject(Ticket ticket, int status, const char* reason,
                           const std::string& attempt, bool close) {
  Message answer = wire::OwnAnswer(status, reason);
  if (status == 503)
    answer.headers.push_back({"Retry-After", serving_ ? kRetryAfter : kStartRetryAfter});
  telemetry::RequestRecord record;
  record.SetAttempt(attempt);
  record.SetReason(reason);
  record.status = static_cast<uint16_t>(status);
  record.step = Step::kAdmission;
  record.revision = revision();
  recorder_->Request(record, true);
  server_.Answer(ticket, answer, close || status == 400);
}

void RequestRouter::OnRequest(Ticket ticket, Message&& request) {
  const std::string* id = request.Find(kAttempt);
  std::string attempt = id ? *id : "";
  if (rejecting_) return Reject(ticket, 503, "this node ends", attempt, true);
  if (!able()) return Reject(ticket, 503, "no configuration or list yet", attempt);
  if (!serving_) return Reject(ticket, 503, "the configuration is not confirmed yet", attempt);
  if (request.method == "CONNECT" || request.method == "TRACE") {
    return Reject(ticket, 405, "method not forwarded", attempt);
  }
  if (request.target.empty() || request.target[0] != '/' ||
      request.target.find('#') != std::string::npos) {
    return Reject(ticket, 400, "target is no path", attempt);
  }
  const std::string* host = request.Find("Host");
  const configuration::Route* route = host ? table_->Match(*host, request.Path()) : nullptr;
  if (!route && may_deny_ && !may_deny_()) {
    return Reject(ticket, 503, "the configuration may be out of date", attempt);
  }
  if (!route) return Reject(ticket, 404, "no route", attempt);
  if (attempt.empty() || request.Count(kAttempt) != 1) {
    return Reject(ticket, 400, "needs one attempt id", attempt);
  }
  if (request.Count(kRemaining) > 1) return Reject(ticket, 400, "two deadlines", attempt);
  int64_t remaining = route->timeout_ms;
  if (const std::string* text = request.Find(kRemaining)) {
    int64_t stated = wire::ParseDecimal(*text);
    if (stated < 0) return Reject(ticket, 400, "malformed deadline", attempt);
    remaining = std::min(remaining, stated);
  }
  auto added = std::make_unique<PendingRequest>(route->idempotent, route->max_attempts);
  PendingRequest* x = added.get();
  x->ticket = ticket;
  x->request = std::move(request);
  x->table = table_;
  x->route = route;
  x->route_index = routes_.Find(route->label);
  x->attempt = std::move(attempt);
  x->service = table_->Pick(*route, base::Hash(x->attempt));
  x->arrived_ns = base::SteadyNanos();
  x->arrived = x->arrived_ns / 1000000;
  x->deadline = x->arrived + remaining;
  x->wait_until = std::min(
      x->deadline, x->arrived + route->target_latency_ms * settings_.wait_share_percent / 100);
  requests_.emplace(ticket, std::move(added));
  budget_.Deposit(x->service);
  if (canary_policy_.active()) canary_policy_.CountRequest(services_.Name(x->service));
  Place(x);
}

void RequestRouter::Place(PendingRequest* x) {
  base::Millis now = base::SteadyMillis();
  if (x->deadline - now < kMinRemainingMs) {
    FailRequest(x, Step::kDeadline, "no time left", true);
    return;
  }
  if (x->attempt_log.arrivals() == 0) {
    uint32_t server = ChooseFor(now, *x);
    if (server != LoadBalancer::kNone && SendTo(x, server)) return;
    if (!balancer_.Any(x->service, x->route->regions)) {
      FailRequest(x, Step::kAdmission, "the service has no server", false);
    } else if (now >= x->wait_until) {
      FailRequest(x, Step::kWait, "no server had room in time", false);
    } else {
      Queue(x);
    }
    return;
  }
  // A further send: chosen at once or not at all.
  uint32_t server = ChooseFor(now, *x);
  if (server == LoadBalancer::kNone || !budget_.TryWithdraw(x->service)) {
    HandleAttemptFailure(x);
    return;
  }
  if (!SendTo(x, server)) HandleAttemptFailure(x);
}

std::unique_ptr<wire::HttpConnection> RequestRouter::AcquireConnection(uint32_t server,
                                                                       bool idempotent) {
  if (server >= pools_.size()) pools_.resize(server + 1);
  Pool& pool = pools_[server];
  base::Millis now = base::SteadyMillis();
  for (size_t i = pool.idle.size(); i-- > 0;) {
    wire::HttpConnection& c = *pool.idle[i];
    base::Millis keep = c.keep_alive_ms() > 0 ? c.keep_alive_ms() : kIdleMs;
    base::Millis idle = now - c.idle_since();
    // What may run only once keeps off connections that may be closing, or may still bring bytes
    // that belong to no request.
    if (!idempotent && (idle > std::min(keep / 2, kFreshIdleMs) || idle < kQuietMs)) continue;
    auto connection = std::move(pool.idle[i]);
    pool.idle.erase(pool.idle.begin() + static_cast<long>(i));
    if (connection->Usable()) return connection;
    Discard(server, std::move(connection));
    if (i > pool.idle.size()) i = pool.idle.size();
  }
  const configuration::Service* service =
      table_ ? table_->service(balancer_.at(server).service) : nullptr;
  // A server's connections are shared by all proxies; some room is left for those just started.
  size_t bound = service ? static_cast<size_t>(std::max(
                               2.0, service->max_conns * 0.8 / static_cast<double>(proxies_)))
                         : 4;
  if (pool.open >= bound) {
    if (pool.idle.empty()) return nullptr;
    Discard(server, std::move(pool.idle.front()));
    pool.idle.erase(pool.idle.begin());
  }
  wire::Limits limits;
  limits.header_bytes = 64 << 10;
  limits.body_bytes = static_cast<size_t>(settings_.held_body_bytes);
  ++pool.open;
  return std::make_unique<wire::HttpConnection>(loop_, balancer_.at(server).address,
                                                settings_.connect_ms, limits);
}

void RequestRouter::ReleaseConnection(uint32_t server,
                                      std::unique_ptr<wire::HttpConnection> connection) {
  const Server& s = balancer_.at(server);
  if (connection->closed() || !s.listed || s.draining || s.part == Server::Part::kExcluded) {
    Discard(server, std::move(connection));
    return;
  }
  wire::HttpConnection* raw = connection.get();
  raw->OnNodeUnreachable([this, server, raw] {
    auto& idle = pools_[server].idle;
    for (size_t i = 0; i < idle.size(); ++i) {
      if (idle[i].get() != raw) continue;
      auto lost = std::move(idle[i]);
      idle.erase(idle.begin() + static_cast<long>(i));
      Discard(server, std::move(lost));
      return;
    }
  });
  pools_[server].idle.push_back(std::move(connection));
}

void RequestRouter::Discard(uint32_t server, std::unique_ptr<wire::HttpConnection> connection) {
  if (!connection) return;
  --pools_[server].open;
  // It may be on the stack of its own callback.
  std::shared_ptr<wire::HttpConnection> last(std::move(connection));
  loop_->Defer([last] {});
}

std::string RequestRouter::RequestBytes(const PendingRequest& x,
                                        const std::string& server_id) const {
  const Message& r = x.request;
  std::string out;
  out.reserve(512 + r.body.size());
  out.append(r.method).append(" ").append(r.target).append(" HTTP/1.1\r\n");
  const std::string* named = r.Find("Connection");
  std::string_view connection = named ? std::string_view(*named) : std::string_view();
  bool length = false;
  for (const wire::Header& h : r.headers) {
    bool ours =
        h.name.size() > 10 && EqualNoCase(std::string_view(h.name).substr(0, 10), "Elderkeel-");
    if (EqualNoCase(h.name, kRemaining) || EqualNoCase(h.name, kExpected) ||
        EqualNoCase(h.name, "Expect")) {
      continue;
    }
    if (EqualNoCase(h.name, "Content-Length") || EqualNoCase(h.name, "Transfer-Encoding")) {
      length = true;
      continue;
    }
    if (!ours && wire::IsHopByHop(h.name, connection)) continue;
    out.append(h.name).append(": ").append(h.value).append("\r\n");
  }
  base::Millis left = std::max<base::Millis>(1, x.deadline - base::SteadyMillis());
  out.append(kRemaining).append(": ").append(std::to_string(left)).append("\r\n");
  out.append(kExpected).append(": ").append(server_id).append("\r\n");
  if (length || !r.body.empty()) {
    out.append("Content-Length: ").append(std::to_string(r.body.size())).append("\r\n");
  }
  out.append("\r\n").append(r.body);
  return out;
}

bool RequestRouter::SendTo(PendingRequest* x, uint32_t server) {
  auto connection = AcquireConnection(server, x->route->idempotent);
  if (!connection) return false;
  base::Millis now = base::SteadyMillis();
  if (x->queued) Unqueue(x);
  if (x->sends.empty() && x->waited_ns == 0) x->waited_ns = base::SteadyNanos() - x->arrived_ns;
  Send send;
  send.id = next_send_++;
  send.entry = x->attempt_log.Begin();
  send.server = server;
  send.begun = now;
  send.late = static_cast<base::Millis>(MeanOf(x->route_index) * kLateMeans) + 1;
  send.timed = now >= balancer_.at(server).warm_at;
  if (canary_policy_.active()) {
    canary_policy_.CountAttempt(services_.Name(balancer_.at(server).service),
                                balancer_.VersionOf(server));
  }
  x->tried.push_back(server);
  x->last_server = server;
  balancer_.Begin(now, server);
  load_tracker_.Begin(now, LoadKey(balancer_.at(server).service));
  Ticket ticket = x->ticket;
  uint64_t id = send.id;
  connection->Expect(kAttempt, x->attempt);
  connection->OnStray([this, ticket] {
    // Its own answer may follow; what may be repeated need not wait for it.
    auto at = requests_.find(ticket);
    if (at == requests_.end() || at->second->hedge_at == 0) return;
    at->second->hedge_at = base::SteadyMillis();
    Arm(at->second.get());
  });
  connection->OnLarge([this, ticket, id](const Message& so_far, int64_t length) {
    return Stream(ticket, id, so_far, length);
  });
  connection->Send(RequestBytes(*x, balancer_.at(server).id), x->request.method == "HEAD",
                   [this, ticket, id](wire::HttpConnection::Outcome&& outcome) {
                     OnOutcome(ticket, id, std::move(outcome));
                   });
  send.connection = std::move(connection);
  x->sends.push_back(std::move(send));
  if (settings_.second_sends && x->route->idempotent && x->attempt_log.MayAttempt() &&
      x->hedge_at == 0) {
    // A version that is not proven shows how slow it is before its request gets another try.
    bool unproven = balancer_.at(server).part == Server::Part::kSecondary;
    x->hedge_at = now + std::max(HedgeAfter(MeanOf(x->route_index), *x->route),
                                 unproven ? x->sends.back().late : 0);
  }
  Arm(x);
  return true;
}

std::string RequestRouter::AnswerFault(const PendingRequest& x, const Message& answer) const {
  if (answer.status / 100 != 2) return "";
  if (!answer.Find(kSeal)) return "no seal";
  const std::string* id = answer.Find(kAttempt);
  if (!id || *id != x.attempt) return "answer to another request";
  if (answer.Find("Content-Encoding")) return "encoded body";
  return "";
}

// An answer too large to be held goes to the client as it comes, no faster than the client takes
// it. From its first byte on there is no other try; if it is cut, the client's connection is reset.
wire::HttpConnection::BodySink RequestRouter::Stream(Ticket ticket, uint64_t id,
                                                     const Message& so_far, int64_t length) {
  auto found = requests_.find(ticket);
  if (found == requests_.end()) return nullptr;
  PendingRequest* x = found->second.get();
  if (so_far.status / 100 != 2 || !AnswerFault(*x, so_far).empty()) return nullptr;
  if (!server_.BeginAnswer(ticket, so_far, length)) return nullptr;
  x->streaming = id;
  x->hedge_at = 0;
  // Whatever else is out for this request is not needed any more.
  AbandonAttempts(x, id);
  server_.WriteBody(ticket, so_far.body);
  return [this, ticket](std::string_view bytes) {
    server_.WriteBody(ticket, bytes);
    if (server_.Unsent(ticket) < kStreamBytes) return;
    auto at = requests_.find(ticket);
    if (at == requests_.end()) return;
    for (Send& send : at->second->sends) send.connection->Pause(true);
  };
}

void RequestRouter::OnOutcome(Ticket ticket, uint64_t id, wire::HttpConnection::Outcome&& outcome) {
  auto found = requests_.find(ticket);
  if (found == requests_.end()) return;
  PendingRequest* x = found->second.get();
  auto at =
      std::find_if(x->sends.begin(), x->sends.end(), [&](const Send& s) { return s.id == id; });
  if (at == x->sends.end()) return;
  Send send = std::move(*at);
  x->sends.erase(at);
  base::Millis now = base::SteadyMillis();
  double& mean = MeanOf(x->route_index);
  double latency = static_cast<double>(now - send.begun);
  x->last_server = send.server;

  using Ending = wire::HttpConnection::Ending;
  Signal signal = Signal::kGood;
  AttemptOutcome outcome_of_attempt = AttemptOutcome::kRun;
  std::string reason;
  Step step = Step::kAnswer;
  if (outcome.ending == Ending::kNotSent) {
    outcome_of_attempt = AttemptOutcome::kNotSent;
    signal = Signal::kUnreachable;
    step = Step::kConnect;
    reason = outcome.reason;
    latency = -1;
  } else if (outcome.ending == Ending::kBroken) {
    outcome_of_attempt = AttemptOutcome::kMaybeRun;
    signal = Signal::kBroken;
    reason = outcome.reason;
    latency = -1;
  } else {
    const Message& answer = outcome.answer;
    bool not_run = answer.status == 421 || answer.Find(kNotExecuted) != nullptr;
    std::string fault = AnswerFault(*x, answer);
    if (not_run && answer.status / 100 != 2) {
      outcome_of_attempt = AttemptOutcome::kNotRun;
      signal = answer.status == 421 ? Signal::kMisplaced : Signal::kFull;
      reason = "turned away with " + std::to_string(answer.status);
      latency = -1;
    } else if (!fault.empty()) {
      outcome_of_attempt = AttemptOutcome::kMaybeRun;
      signal = Signal::kBroken;
      reason = fault;
      latency = -1;
    }
  }
  if (outcome_of_attempt == AttemptOutcome::kMaybeRun) {
    Discard(send.server, std::move(send.connection));
  } else {
    ReleaseConnection(send.server, std::move(send.connection));
  }
  if (outcome_of_attempt == AttemptOutcome::kRun ||
      outcome_of_attempt == AttemptOutcome::kMaybeRun) {
    using Result = rollout::CanaryPolicy::Outcome;
    Count(*x, send,
          outcome_of_attempt == AttemptOutcome::kMaybeRun ? Result::kBroken
          : outcome.answer.status / 100 == 5              ? Result::kFailed
                                                          : Result::kComplete,
          now - send.begun);
  }
  bool usual = balancer_.at(send.server).part == Server::Part::kPrimary;
  balancer_.End(now, send.server, send.begun, signal, latency, mean);
  OnAttemptEnded(now, send.server);
  x->attempt_log.End(send.entry, outcome_of_attempt);
  uint32_t service = balancer_.at(send.server).service;

  if (x->streaming == send.id) {
    bool whole = outcome_of_attempt == AttemptOutcome::kRun;
    Record(*x, whole ? outcome.answer.status : 0, Step::kAnswer, whole ? "" : reason, !whole);
    if (whole) {
      server_.EndAnswer(ticket);
    } else {
      server_.Reset(ticket);
    }
    Erase(x);
    PumpQueue(service);
    return;
  }
  if (outcome_of_attempt == AttemptOutcome::kRun) {
    const Message& answer = outcome.answer;
    int status = answer.status;
    if (status / 100 == 2 || (status < 500 && status != 429 && status != 408)) {
      if (status / 100 == 2 && usual) mean += kMeanWeight * (latency - mean);
      Finish(x, answer, Step::kAnswer, status / 100 == 2 ? "" : "the server's answer",
             status / 100 != 2);
      PumpQueue(service);
      return;
    }
    // The server's own failure. It goes to the client if nothing better is to be had; but a status
    // that promises "not run" would be untrue.
    reason = "the server's own " + std::to_string(status);
    if (status != 503 && status != 429 && status != 408) {
      x->kept = std::make_unique<Message>(answer);
    }
  }
  x->last_step = step;
  x->last_reason = reason;
  if (x->attempt_log.MayAttempt() && x->attempt_log.pending() == 0) {
    Place(x);
  } else {
    HandleAttemptFailure(x);
  }
  PumpQueue(service);
}

// Nothing more is sent for now: if nothing is in flight either, the request has its final answer.
void RequestRouter::HandleAttemptFailure(PendingRequest* x) {
  if (x->attempt_log.pending() > 0 || x->queued) {
    Arm(x);
    return;
  }
  if (x->kept) {
    Message answer = std::move(*x->kept);
    Finish(x, answer, x->last_step, x->last_reason, true);
    return;
  }
  FailRequest(x, x->last_step, x->last_reason, false);
}

void RequestRouter::FailRequest(PendingRequest* x, Step step, const std::string& reason,
                                bool deadline) {
  // Asked before the sends are dropped: one that is still out may run.
  int status = x->attempt_log.IsCertainlyNotRun() ? 503 : deadline ? 504 : 502;
  Message answer = wire::OwnAnswer(status, reason);
  if (status == 503) answer.headers.push_back({"Retry-After", kRetryAfter});
  if (x->streaming) {
    Record(*x, 0, step, reason, true);
    server_.Reset(x->ticket);
    Erase(x);
    return;
  }
  Finish(x, answer, step, reason, true);
}

void RequestRouter::Finish(PendingRequest* x, const Message& answer, Step step,
                           const std::string& reason, bool failed) {
  Record(*x, answer.status, step, reason, failed);
  server_.Answer(x->ticket, answer);
  Erase(x);
}

void RequestRouter::Record(const PendingRequest& x, int status, Step step,
                           const std::string& reason, bool failed) {
  telemetry::RequestRecord record;
  record.SetAttempt(x.attempt);
  record.SetReason(reason);
  record.revision = x.table->revision();
  record.route = x.route_index;
  record.service = x.service;
  record.server = x.last_server;
  if (x.last_server != UINT32_MAX) record.version = balancer_.at(x.last_server).version;
  record.total_us = static_cast<uint32_t>((base::SteadyNanos() - x.arrived_ns) / 1000);
  record.waited_us = static_cast<uint32_t>(x.waited_ns / 1000);
  record.status = static_cast<uint16_t>(status);
  record.sends = static_cast<uint8_t>(x.attempt_log.sends());
  record.step = step;
  recorder_->Request(record, failed);
}

void RequestRouter::AbandonAttempts(PendingRequest* x, uint64_t except) {
  base::Millis now = base::SteadyMillis();
  std::vector<Send> sends = std::move(x->sends);
  x->sends.clear();
  for (Send& send : sends) {
    if (send.id == except) {
      x->sends.push_back(std::move(send));
      continue;
    }
    // One that had time enough and gave no answer tells as much as one that answered late.
    if (now - send.begun > send.late) {
      Count(*x, send, rollout::CanaryPolicy::Outcome::kComplete, now - send.begun);
    }
    balancer_.OnAttemptAbandoned(now, send.server, send.begun, MeanOf(x->route_index));
    Discard(send.server, std::move(send.connection));
    OnAttemptEnded(now, send.server);
  }
}

void RequestRouter::Erase(PendingRequest* x) {
  if (x->queued) Unqueue(x);
  bool freed = !x->sends.empty();
  uint32_t service = x->service;
  AbandonAttempts(x);
  x->timer.Cancel();
  auto at = requests_.find(x->ticket);
  std::shared_ptr<PendingRequest> last(std::move(at->second));
  requests_.erase(at);
  loop_->Defer([last] {});
  if (freed) PumpQueue(service);
}

void RequestRouter::OnGone(Ticket ticket) {
  auto at = requests_.find(ticket);
  if (at == requests_.end()) return;
  PendingRequest* x = at->second.get();
  Record(*x, 0, Step::kClient, "the client left", true);
  Erase(x);
}

void RequestRouter::Arm(PendingRequest* x) {
  base::Millis next = x->deadline;
  if (x->queued) next = std::min(next, x->wait_until);
  if (x->hedge_at > 0 && !x->sends.empty()) next = std::min(next, x->hedge_at);
  Ticket ticket = x->ticket;
  x->timer.Start(loop_, next - base::SteadyMillis(), [this, ticket] { OnTimer(ticket); });
}

void RequestRouter::OnTimer(Ticket ticket) {
  auto at = requests_.find(ticket);
  if (at == requests_.end()) return;
  PendingRequest* x = at->second.get();
  base::Millis now = base::SteadyMillis();
  if (now >= x->deadline) {
    if (!x->sends.empty()) {
      for (const Send& send : x->sends) {
        x->last_server = send.server;
      }
    }
    FailRequest(x, Step::kDeadline, "the time was over", true);
    return;
  }
  if (x->queued && now >= x->wait_until) {
    FailRequest(x, Step::kWait, "no server had room in time", false);
    return;
  }
  if (x->hedge_at > 0 && now >= x->hedge_at) SendHedge(x);
  Arm(x);
}

// A repeatable request that is late gets a second send; the first answer counts.
void RequestRouter::SendHedge(PendingRequest* x) {
  x->hedge_at = 0;
  if (x->sends.size() != 1 || !x->attempt_log.MayAttempt()) return;
  uint32_t server = ChooseFor(base::SteadyMillis(), *x);
  if (server == LoadBalancer::kNone || balancer_.at(server).in_flight > 0) return;
  if (!budget_.TryWithdrawForHedge(x->service)) return;
  if (!SendTo(x, server)) budget_.Refund(x->service);
  x->hedge_at = 0;
}

void RequestRouter::Queue(PendingRequest* x) {
  if (x->service >= queues_.size()) queues_.resize(x->service + 1);
  auto& queue = queues_[x->service];
  if (queue.size() >= kMaxQueued) {
    FailRequest(x, Step::kWait, "too many wait", false);
    return;
  }
  auto at = queue.end();
  while (at != queue.begin() && (*std::prev(at))->route->priority > x->route->priority) --at;
  queue.insert(at, x);
  x->queued = true;
  Arm(x);
}

void RequestRouter::Unqueue(PendingRequest* x) {
  queues_[x->service].remove(x);
  x->queued = false;
}

void RequestRouter::PumpQueue(uint32_t service) {
  if (service >= queues_.size()) return;
  auto& queue = queues_[service];
  base::Millis now = base::SteadyMillis();
  // What can't be placed stays; others behind it may still find a server that it has tried.
  for (auto at = queue.begin(); at != queue.end();) {
    PendingRequest* x = *at++;
    uint32_t server = ChooseFor(now, *x);
    if (server == LoadBalancer::kNone) {
      if (x->route->idempotent && x->route->regions.empty()) return;
      continue;
    }
    if (!SendTo(x, server)) return;
  }
}

void RequestRouter::Tick() {
  base::Millis now = base::SteadyMillis();
  for (uint32_t i = 0; i < pools_.size(); ++i) {
    auto& idle = pools_[i].idle;
    for (size_t k = 0; k < idle.size();) {
      base::Millis keep = idle[k]->keep_alive_ms() > 0 ? idle[k]->keep_alive_ms() : kIdleMs;
      if (idle[k]->closed() || now - idle[k]->idle_since() > keep * 9 / 10) {
        auto old = std::move(idle[k]);
        idle.erase(idle.begin() + static_cast<long>(k));
        Discard(i, std::move(old));
      } else {
        ++k;
      }
    }
  }
  if (canary_policy_.active()) ReviewVersions(now);
  for (uint32_t server : balancer_.DueProbes(now)) Probe(server);
  SplitByCapacity(now);
  for (uint32_t i = 0; i < queues_.size(); ++i) PumpQueue(i);
}

void RequestRouter::Probe(uint32_t server) {
  const Server& s = balancer_.at(server);
  const configuration::Service* service = table_ ? table_->service(s.service) : nullptr;
  if (!service) {
    balancer_.OnProbeResult(base::SteadyMillis(), server, false);
    return;
  }
  wire::Limits limits;
  limits.header_bytes = 64 << 10;
  auto call = std::make_unique<wire::HttpCall>(loop_, s.address, kProbeTimeoutMs, limits);
  call->Start("GET " + service->health_path + " HTTP/1.1\r\nHost: " + s.address.ToString() +
                  "\r\n" + kExpected + ": " + s.id + "\r\nConnection: close\r\n\r\n",
              [this, server](wire::HttpConnection::Outcome&& outcome) {
                const std::string* id = outcome.answer.Find("Elderkeel-Server-Id");
                bool good = outcome.ending == wire::HttpConnection::Ending::kAnswer &&
                            outcome.answer.status == 200 && id && *id == balancer_.at(server).id;
                base::Millis now = base::SteadyMillis();
                if (const std::string* left = outcome.answer.Find(kWarmup); good && left) {
                  balancer_.NoteWarmup(now, server,
                                       std::max<int64_t>(0, wire::ParseDecimal(*left)));
                }
                balancer_.OnProbeResult(now, server, good);
                telemetry::ControlRecord record;
                record.what = telemetry::ControlRecord::What::kProbe;
                record.server = server;
                record.good = good;
                recorder_->Control(record);
                std::shared_ptr<wire::HttpCall> last(std::move(probes_[server]));
                probes_.erase(server);
                loop_->Defer([last] {});
                PumpQueue(balancer_.at(server).service);
              });
  probes_[server] = std::move(call);
}

void RequestRouter::FinishAll() {
  std::vector<PendingRequest*> all;
  for (auto& [ticket, x] : requests_) all.push_back(x.get());
  for (PendingRequest* x : all) FailRequest(x, Step::kDeadline, "this node ends", false);
}

}  // namespace elderkeel::forwarding
