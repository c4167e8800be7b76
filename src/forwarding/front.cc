#include "forwarding/front.h"

#include <algorithm>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::forwarding {
namespace {

using telemetry::Step;
using wire::EqualNoCase;
using wire::Message;

constexpr base::Millis kTickMs = 100;
constexpr base::Millis kIdleMs = 8000;   // an idle connection whose server names no time
constexpr base::Millis kSettledMs = 15;  // a connection must have been quiet for so long before it
                                         // carries what may run only once
constexpr base::Millis kProbeTimeoutMs = 1000;
constexpr base::Millis kLeastMs = 2;
constexpr size_t kMaxQueued = 512;
constexpr base::Millis kShareEveryMs = 400;  // between two looks at how busy the zones are
constexpr double kHomeShare =
    0.7;                         // of its zone's slots that a zone fills before it goes elsewhere
constexpr size_t kPipeline = 8;  // requests of one connection under way at once
constexpr base::Millis kFreshMs = 300;      // servers may forget a connection idle for longer
constexpr base::Millis kSpreadMs = 1500;    // beyond reading the list: until its news is here
constexpr size_t kStreamBytes = 256 << 10;  // of a streamed answer that the client has not taken
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

budget::Budget::Bounds BudgetBounds(const base::Settings& settings) {
  budget::Budget::Bounds bounds;
  bounds.ratio = settings.retry_ratio;
  bounds.slack = settings.retry_slack;
  return bounds;
}

wire::HttpServer::Options ServerOptions(const base::Settings& settings,
                                        std::function<wire::Limits()> limits,
                                        std::function<bool(const Message&)> may_overtake) {
  wire::HttpServer::Options options;
  options.limits = std::move(limits);
  options.pipeline = kPipeline;
  options.may_overtake = std::move(may_overtake);
  options.notice_sleep = true;
  // Half of the descriptors for clients, the rest for servers and other nodes.
  options.max_connections = static_cast<size_t>(std::max<int64_t>(64, settings.max_fds / 2));
  options.max_buffered_bytes = static_cast<size_t>(settings.memory_mb) * (1 << 20) / 4;
  return options;
}

}  // namespace

Front::Front(base::Loop* loop, const base::Settings& settings, telemetry::Recorder* recorder)
    : loop_(loop),
      settings_(settings),
      recorder_(recorder),
      servers_(
          [&] {
            Servers::Options options;
            options.zone = settings.zone;
            options.region = settings.region;
            options.regions = settings.zones;
            return options;
          }(),
          &services_, &regions_, base::RandomSeed()),
      demand_(settings.zone),
      gate_([&] {
        rollout::Gate::Options options;
        options.share = settings.canary_share;
        options.lease = std::max<base::Millis>(500, settings.rollback_ms / 2);
        return options;
      }()),
      budget_(BudgetBounds(settings)),
      server_(loop,
              ServerOptions(
                  settings, [this] { return table_ ? table_->limits() : wire::Limits(); },
                  [this](const Message& request) { return MayOvertake(request); }),
              [this](Ticket ticket, Message&& request) { OnRequest(ticket, std::move(request)); }) {
  server_.OnGone([this](Ticket ticket) { OnGone(ticket); });
  server_.OnDrained([this](Ticket ticket) {
    auto at = exchanges_.find(ticket);
    if (at == exchanges_.end()) return;
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

Front::~Front() = default;

base::Status Front::Listen() { return server_.Listen(settings_.front); }

void Front::SetProxies(size_t proxies, size_t possible) {
  proxies_ = std::max<size_t>(1, proxies);
  budget_.SetNodes(std::max(proxies_, possible));
}

void Front::Adopt(std::shared_ptr<const configuration::Table> table) {
  table_ = std::move(table);
  for (const auto& route : table_->changed()) {
    uint32_t index = routes_.Intern(route->label);
    if (index >= means_.size()) {
      means_.resize(index + 1, 0);
      recorder_->names().Set(telemetry::NameBook::kRoute, index, route->label);
    }
    // Until there are answers, the operator's aim is the best guess at a route's latency.
    if (means_[index] == 0) means_[index] = static_cast<double>(route->aim_ms) / 3;
  }
  for (uint32_t i = 0; i < services_.size(); ++i) {
    const configuration::Service* service = table_->service(i);
    servers_.SetWarmup(i, service ? service->warmup_per_s : 0);
    recorder_->names().Set(telemetry::NameBook::kService, i, services_.Name(i));
  }
  telemetry::ControlRecord record;
  record.what = telemetry::ControlRecord::What::kVersion;
  record.number = table_->revision();
  recorder_->Control(record);
}

void Front::Adopt(const discovery::EndpointSnapshot& endpoints) {
  if (has_endpoints_at_ < 0) has_endpoints_at_ = base::SteadyMillis();
  for (const Servers::Change& change : servers_.Adopt(base::SteadyMillis(), endpoints)) {
    telemetry::ControlRecord record;
    record.server = change.server;
    if (change.what == Servers::Change::What::kNew) {
      recorder_->names().Set(telemetry::NameBook::kServer, change.server,
                             servers_.at(change.server).id);
      recorder_->names().Set(telemetry::NameBook::kVersion, servers_.at(change.server).version,
                             servers_.VersionOf(change.server));
      continue;
    }
    record.what = change.what == Servers::Change::What::kDraining
                      ? telemetry::ControlRecord::What::kDraining
                      : telemetry::ControlRecord::What::kGone;
    recorder_->Control(record);
    DropIdle(change.server);
  }
  pools_.resize(servers_.size());
  for (uint32_t i = 0; i < queues_.size(); ++i) PumpQueue(i);
}

// Nothing new goes there: what lies idle is let go.
void Front::DropIdle(uint32_t server) {
  if (server >= pools_.size()) return;
  std::vector<std::unique_ptr<wire::HttpConnection>> idle;
  idle.swap(pools_[server].idle);
  for (auto& connection : idle) Discard(server, std::move(connection));
}

void Front::Ended(base::Millis now, uint32_t server) {
  demand_.End(now, DemandKey(servers_.at(server).service));
  // Other connections to one that is held out are no better, and those that hang would tell so only
  // by their silence.
  if (servers_.at(server).held_until > 0) DropIdle(server);
}

void Front::Adopt(const zone_drain::DrainedZones& drained_zones) {
  base::Millis doubt = settings_.PollMs() + settings_.platform_lag_ms + kSpreadMs;
  servers_.SetDrainedZones(base::SteadyMillis(), drained_zones.zones(), doubt);
  for (uint32_t i = 0; i < servers_.size(); ++i) {
    if (servers_.at(i).zone_drained) DropIdle(i);
  }
  for (uint32_t i = 0; i < queues_.size(); ++i) PumpQueue(i);
}

void Front::Adopt(const rollout::Rollouts& rollouts) {
  if (!settings_.VersionsByOrder()) return;
  base::Millis now = base::SteadyMillis();
  gate_.Adopt(now, rollouts);
  versions_ = rollouts.version();
  for (const auto& [service, version] : rollouts.in_force()) rules_[service];
  for (const auto& [service, rollout] : rollouts.rollouts()) rules_[service];
  ReviewVersions(now);
  for (uint32_t i = 0; i < queues_.size(); ++i) PumpQueue(i);
}

void Front::ReviewVersions(base::Millis now) {
  for (auto& [service, in_force] : rules_) {
    rollout::Rule rule = gate_.RuleOf(now, service);
    if (rule == in_force) continue;
    in_force = rule;
    for (uint32_t server :
         servers_.SetVersions(services_.Intern(service), rule, gate_.CanaryShare())) {
      DropIdle(server);
    }
  }
}

std::vector<Front::Told> Front::TellTallies() {
  std::vector<Told> all;
  base::Millis now = base::SteadyMillis();
  for (const std::string& service : gate_.ActiveServices()) {
    Told told;
    told.tally = gate_.Tell(now, service);
    const rollout::Rollout& rollout = *gate_.RolloutOf(service);
    told.watchers = rollout.watchers;
    uint32_t index = services_.Intern(service);
    told.tally.new_busy = servers_.InFlight(index, rollout.order.version);
    told.tally.old_busy = servers_.InFlight(index, rollout.from);
    all.push_back(std::move(told));
  }
  return all;
}

void Front::Heard(const rollout::Touch& touch) { gate_.Heard(base::SteadyMillis(), touch); }

void Front::Count(const Exchange& x, const Send& send, rollout::Gate::Ending ending,
                  base::Millis took) {
  if (!gate_.active()) return;
  rollout::Gate::Send told;
  told.service = services_.Name(servers_.at(send.server).service);
  if (!gate_.RolloutOf(told.service)) return;
  told.version = servers_.VersionOf(send.server);
  told.server = servers_.at(send.server).id;
  told.route = x.route->label;
  told.ending = ending;
  told.timed = send.timed;
  told.late = took > send.late;
  gate_.Count(base::SteadyMillis(), told);
}

// What may run only once is never begun ahead of its turn: were an answer before it to end the
// connection, the client could not know whether it ran.
bool Front::MayOvertake(const Message& request) const {
  const std::string* host = request.Find("Host");
  const configuration::Route* route =
      table_ && host ? table_->Match(*host, request.Path()) : nullptr;
  return route && route->idempotent;
}

demand::Report Front::TellDemand() { return demand_.Tell(base::SteadyMillis(), servers_.places()); }

void Front::HearDemand(const demand::Report& report) { demand_.Hear(base::SteadyMillis(), report); }

void Front::ShareOut(base::Millis now) {
  if (now < share_at_) return;
  share_at_ = now + kShareEveryMs;
  demand_.Tick(now);
  for (uint32_t service = 0; service < services_.size(); ++service) {
    std::vector<Servers::ZoneSlots> zones = servers_.SlotsByZone(service);
    std::vector<demand::Place> places;
    places.reserve(zones.size());
    for (const auto& [zone, slots] : zones) {
      places.push_back({slots, demand_.Of(now, demand::Key(servers_.ZoneName(zone)),
                                          DemandKey(service), servers_.places())});
    }
    std::vector<Servers::Share> shares;
    if (!places.empty()) {
      std::vector<double> parts = demand::ShareOut(places, 0, kHomeShare);
      for (size_t i = 0; i < parts.size(); ++i) {
        if (parts[i] > 0) shares.push_back({zones[i].zone, parts[i]});
      }
    }
    servers_.SetShares(service, std::move(shares));
  }
}

uint32_t Front::DemandKey(uint32_t service) {
  for (uint32_t i = static_cast<uint32_t>(demand_keys_.size()); i <= service; ++i) {
    demand_keys_.push_back(demand::Key(services_.Name(i)));
  }
  return demand_keys_[service];
}

uint32_t Front::ChooseFor(base::Millis now, const Exchange& x) {
  auto choose = [&](bool side) {
    return servers_.Choose(now, x.service, MeanOf(x.route_index), x.tried, x.route->idempotent,
                           x.route->regions, side);
  };
  if (!gate_.active()) return choose(false);
  // A request drawn for another version than the others, when that has room; a further try goes to
  // the version that is known to be good.
  const std::string& service = services_.Name(x.service);
  bool side = x.tried.empty() ? gate_.TakesSide(now, service, base::Hash(x.attempt))
                              : gate_.SideForFurther(now, service);
  uint32_t server = side ? choose(true) : Servers::kNone;
  if (server == Servers::kNone) server = choose(false);
  // While the traffic moves, what one version has no room for goes to the other.
  if (server == Servers::kNone && gate_.SideForFurther(now, service)) server = choose(true);
  return server;
}

double& Front::MeanOf(uint32_t route) {
  if (route >= means_.size()) means_.resize(route + 1, 100);
  return means_[route];
}

void Front::Reject(Ticket ticket, int status, const char* reason, const std::string& attempt,
                   bool close) {
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

void Front::OnRequest(Ticket ticket, Message&& request) {
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
  auto exchange = std::make_unique<Exchange>(route->idempotent, route->max_attempts);
  Exchange* x = exchange.get();
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
  x->wait_until =
      std::min(x->deadline, x->arrived + route->aim_ms * settings_.wait_share_percent / 100);
  exchanges_.emplace(ticket, std::move(exchange));
  budget_.Earn(x->service);
  if (gate_.active()) gate_.Earn(services_.Name(x->service));
  Place(x);
}

void Front::Place(Exchange* x) {
  base::Millis now = base::SteadyMillis();
  if (x->deadline - now < kLeastMs) {
    GiveUp(x, Step::kDeadline, "no time left", true);
    return;
  }
  if (x->ledger.arrivals() == 0) {
    uint32_t server = ChooseFor(now, *x);
    if (server != Servers::kNone && SendTo(x, server)) return;
    if (!servers_.Any(x->service, x->route->regions)) {
      GiveUp(x, Step::kAdmission, "the service has no server", false);
    } else if (now >= x->wait_until) {
      GiveUp(x, Step::kWait, "no server had room in time", false);
    } else {
      Queue(x);
    }
    return;
  }
  // A further send: chosen at once or not at all.
  uint32_t server = ChooseFor(now, *x);
  if (server == Servers::kNone || !budget_.Spend(x->service)) {
    After(x);
    return;
  }
  if (!SendTo(x, server)) After(x);
}

std::unique_ptr<wire::HttpConnection> Front::TakeConnection(uint32_t server, bool idempotent) {
  if (server >= pools_.size()) pools_.resize(server + 1);
  Pool& pool = pools_[server];
  base::Millis now = base::SteadyMillis();
  for (size_t i = pool.idle.size(); i-- > 0;) {
    wire::HttpConnection& c = *pool.idle[i];
    base::Millis keep = c.keep_alive_ms() > 0 ? c.keep_alive_ms() : kIdleMs;
    base::Millis idle = now - c.idle_since();
    // What may run only once keeps off connections that may be closing, or may still bring bytes
    // that belong to no request.
    if (!idempotent && (idle > std::min(keep / 2, kFreshMs) || idle < kSettledMs)) continue;
    auto connection = std::move(pool.idle[i]);
    pool.idle.erase(pool.idle.begin() + static_cast<long>(i));
    if (connection->Usable()) return connection;
    Discard(server, std::move(connection));
    if (i > pool.idle.size()) i = pool.idle.size();
  }
  const configuration::Service* service =
      table_ ? table_->service(servers_.at(server).service) : nullptr;
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
  return std::make_unique<wire::HttpConnection>(loop_, servers_.at(server).address,
                                                settings_.connect_ms, limits);
}

void Front::GiveBack(uint32_t server, std::unique_ptr<wire::HttpConnection> connection) {
  const Server& s = servers_.at(server);
  if (connection->closed() || !s.listed || s.draining || s.part == Server::Part::kBarred) {
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

void Front::Discard(uint32_t server, std::unique_ptr<wire::HttpConnection> connection) {
  if (!connection) return;
  --pools_[server].open;
  // It may be on the stack of its own callback.
  std::shared_ptr<wire::HttpConnection> last(std::move(connection));
  loop_->Defer([last] {});
}

std::string Front::RequestBytes(const Exchange& x, const std::string& server_id) const {
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

bool Front::SendTo(Exchange* x, uint32_t server) {
  auto connection = TakeConnection(server, x->route->idempotent);
  if (!connection) return false;
  base::Millis now = base::SteadyMillis();
  if (x->queued) Unqueue(x);
  if (x->sends.empty() && x->waited_ns == 0) x->waited_ns = base::SteadyNanos() - x->arrived_ns;
  Send send;
  send.id = next_send_++;
  send.entry = x->ledger.Begin();
  send.server = server;
  send.begun = now;
  send.late = static_cast<base::Millis>(MeanOf(x->route_index) * kLateMeans) + 1;
  send.timed = now >= servers_.at(server).warm_at;
  if (gate_.active()) {
    gate_.Sent(services_.Name(servers_.at(server).service), servers_.VersionOf(server));
  }
  x->tried.push_back(server);
  x->last_server = server;
  servers_.Begin(now, server);
  demand_.Begin(now, DemandKey(servers_.at(server).service));
  Ticket ticket = x->ticket;
  uint64_t id = send.id;
  connection->Expect(kAttempt, x->attempt);
  connection->OnStray([this, ticket] {
    // Its own answer may follow; what may be repeated need not wait for it.
    auto at = exchanges_.find(ticket);
    if (at == exchanges_.end() || at->second->second_at == 0) return;
    at->second->second_at = base::SteadyMillis();
    Arm(at->second.get());
  });
  connection->OnLarge([this, ticket, id](const Message& so_far, int64_t length) {
    return Stream(ticket, id, so_far, length);
  });
  connection->Send(RequestBytes(*x, servers_.at(server).id), x->request.method == "HEAD",
                   [this, ticket, id](wire::HttpConnection::Outcome&& outcome) {
                     OnOutcome(ticket, id, std::move(outcome));
                   });
  send.connection = std::move(connection);
  x->sends.push_back(std::move(send));
  if (settings_.second_sends && x->route->idempotent && x->ledger.MaySend() && x->second_at == 0) {
    // A version that is not proven shows how slow it is before its request gets another try.
    bool unproven = servers_.at(server).part == Server::Part::kSide;
    x->second_at = now + std::max(SecondAfter(MeanOf(x->route_index), *x->route),
                                  unproven ? x->sends.back().late : 0);
  }
  Arm(x);
  return true;
}

std::string Front::AnswerFault(const Exchange& x, const Message& answer) const {
  if (answer.status / 100 != 2) return "";
  if (!answer.Find(kSeal)) return "no seal";
  const std::string* id = answer.Find(kAttempt);
  if (!id || *id != x.attempt) return "answer to another request";
  if (answer.Find("Content-Encoding")) return "encoded body";
  return "";
}

// An answer too large to be held goes to the client as it comes, no faster than the client takes
// it. From its first byte on there is no other try; if it is cut, the client's connection is reset.
wire::HttpConnection::BodySink Front::Stream(Ticket ticket, uint64_t id, const Message& so_far,
                                             int64_t length) {
  auto found = exchanges_.find(ticket);
  if (found == exchanges_.end()) return nullptr;
  Exchange* x = found->second.get();
  if (so_far.status / 100 != 2 || !AnswerFault(*x, so_far).empty()) return nullptr;
  if (!server_.BeginAnswer(ticket, so_far, length)) return nullptr;
  x->streaming = id;
  x->second_at = 0;
  // Whatever else is out for this request is not needed any more.
  DropSends(x, id);
  server_.WriteBody(ticket, so_far.body);
  return [this, ticket](std::string_view bytes) {
    server_.WriteBody(ticket, bytes);
    if (server_.Unsent(ticket) < kStreamBytes) return;
    auto at = exchanges_.find(ticket);
    if (at == exchanges_.end()) return;
    for (Send& send : at->second->sends) send.connection->Pause(true);
  };
}

void Front::OnOutcome(Ticket ticket, uint64_t id, wire::HttpConnection::Outcome&& outcome) {
  auto found = exchanges_.find(ticket);
  if (found == exchanges_.end()) return;
  Exchange* x = found->second.get();
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
  Fate fate = Fate::kRun;
  std::string reason;
  Step step = Step::kAnswer;
  if (outcome.ending == Ending::kNotSent) {
    fate = Fate::kNotSent;
    signal = Signal::kUnreachable;
    step = Step::kConnect;
    reason = outcome.reason;
    latency = -1;
  } else if (outcome.ending == Ending::kBroken) {
    fate = Fate::kMaybeRun;
    signal = Signal::kBroken;
    reason = outcome.reason;
    latency = -1;
  } else {
    const Message& answer = outcome.answer;
    bool not_run = answer.status == 421 || answer.Find(kNotExecuted) != nullptr;
    std::string fault = AnswerFault(*x, answer);
    if (not_run && answer.status / 100 != 2) {
      fate = Fate::kNotRun;
      signal = answer.status == 421 ? Signal::kMisplaced : Signal::kFull;
      reason = "turned away with " + std::to_string(answer.status);
      latency = -1;
    } else if (!fault.empty()) {
      fate = Fate::kMaybeRun;
      signal = Signal::kBroken;
      reason = fault;
      latency = -1;
    }
  }
  if (fate == Fate::kMaybeRun) {
    Discard(send.server, std::move(send.connection));
  } else {
    GiveBack(send.server, std::move(send.connection));
  }
  if (fate == Fate::kRun || fate == Fate::kMaybeRun) {
    using Result = rollout::Gate::Ending;
    Count(*x, send,
          fate == Fate::kMaybeRun            ? Result::kBroken
          : outcome.answer.status / 100 == 5 ? Result::kFailed
                                             : Result::kWhole,
          now - send.begun);
  }
  bool usual = servers_.at(send.server).part == Server::Part::kMain;
  servers_.End(now, send.server, send.begun, signal, latency, mean);
  Ended(now, send.server);
  x->ledger.End(send.entry, fate);
  uint32_t service = servers_.at(send.server).service;

  if (x->streaming == send.id) {
    bool whole = fate == Fate::kRun;
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
  if (fate == Fate::kRun) {
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
  if (x->ledger.MaySend() && x->ledger.pending() == 0) {
    Place(x);
  } else {
    After(x);
  }
  PumpQueue(service);
}

// Nothing more is sent for now: if nothing is in flight either, the request has its final answer.
void Front::After(Exchange* x) {
  if (x->ledger.pending() > 0 || x->queued) {
    Arm(x);
    return;
  }
  if (x->kept) {
    Message answer = std::move(*x->kept);
    Finish(x, answer, x->last_step, x->last_reason, true);
    return;
  }
  GiveUp(x, x->last_step, x->last_reason, false);
}

void Front::GiveUp(Exchange* x, Step step, const std::string& reason, bool deadline) {
  // Asked before the sends are dropped: one that is still out may run.
  int status = x->ledger.MayPromise() ? 503 : deadline ? 504 : 502;
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

void Front::Finish(Exchange* x, const Message& answer, Step step, const std::string& reason,
                   bool failed) {
  Record(*x, answer.status, step, reason, failed);
  server_.Answer(x->ticket, answer);
  Erase(x);
}

void Front::Record(const Exchange& x, int status, Step step, const std::string& reason,
                   bool failed) {
  telemetry::RequestRecord record;
  record.SetAttempt(x.attempt);
  record.SetReason(reason);
  record.revision = x.table->revision();
  record.route = x.route_index;
  record.service = x.service;
  record.server = x.last_server;
  if (x.last_server != UINT32_MAX) record.version = servers_.at(x.last_server).version;
  record.total_us = static_cast<uint32_t>((base::SteadyNanos() - x.arrived_ns) / 1000);
  record.waited_us = static_cast<uint32_t>(x.waited_ns / 1000);
  record.status = static_cast<uint16_t>(status);
  record.sends = static_cast<uint8_t>(x.ledger.sends());
  record.step = step;
  recorder_->Request(record, failed);
}

void Front::DropSends(Exchange* x, uint64_t except) {
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
      Count(*x, send, rollout::Gate::Ending::kWhole, now - send.begun);
    }
    servers_.Abandon(now, send.server, send.begun, MeanOf(x->route_index));
    Discard(send.server, std::move(send.connection));
    Ended(now, send.server);
  }
}

void Front::Erase(Exchange* x) {
  if (x->queued) Unqueue(x);
  bool freed = !x->sends.empty();
  uint32_t service = x->service;
  DropSends(x);
  x->timer.Cancel();
  auto at = exchanges_.find(x->ticket);
  std::shared_ptr<Exchange> last(std::move(at->second));
  exchanges_.erase(at);
  loop_->Defer([last] {});
  if (freed) PumpQueue(service);
}

void Front::OnGone(Ticket ticket) {
  auto at = exchanges_.find(ticket);
  if (at == exchanges_.end()) return;
  Exchange* x = at->second.get();
  Record(*x, 0, Step::kClient, "the client left", true);
  Erase(x);
}

void Front::Arm(Exchange* x) {
  base::Millis next = x->deadline;
  if (x->queued) next = std::min(next, x->wait_until);
  if (x->second_at > 0 && !x->sends.empty()) next = std::min(next, x->second_at);
  Ticket ticket = x->ticket;
  x->timer.Start(loop_, next - base::SteadyMillis(), [this, ticket] { OnTimer(ticket); });
}

void Front::OnTimer(Ticket ticket) {
  auto at = exchanges_.find(ticket);
  if (at == exchanges_.end()) return;
  Exchange* x = at->second.get();
  base::Millis now = base::SteadyMillis();
  if (now >= x->deadline) {
    if (!x->sends.empty()) {
      for (const Send& send : x->sends) {
        x->last_server = send.server;
      }
    }
    GiveUp(x, Step::kDeadline, "the time was over", true);
    return;
  }
  if (x->queued && now >= x->wait_until) {
    GiveUp(x, Step::kWait, "no server had room in time", false);
    return;
  }
  if (x->second_at > 0 && now >= x->second_at) SecondSend(x);
  Arm(x);
}

// A repeatable request that is late gets a second send; the first answer counts.
void Front::SecondSend(Exchange* x) {
  x->second_at = 0;
  if (x->sends.size() != 1 || !x->ledger.MaySend()) return;
  uint32_t server = ChooseFor(base::SteadyMillis(), *x);
  if (server == Servers::kNone || servers_.at(server).in_flight > 0) return;
  if (!budget_.SpendIfCalm(x->service)) return;
  if (!SendTo(x, server)) budget_.Return(x->service);
  x->second_at = 0;
}

void Front::Queue(Exchange* x) {
  if (x->service >= queues_.size()) queues_.resize(x->service + 1);
  auto& queue = queues_[x->service];
  if (queue.size() >= kMaxQueued) {
    GiveUp(x, Step::kWait, "too many wait", false);
    return;
  }
  auto at = queue.end();
  while (at != queue.begin() && (*std::prev(at))->route->priority > x->route->priority) --at;
  queue.insert(at, x);
  x->queued = true;
  Arm(x);
}

void Front::Unqueue(Exchange* x) {
  queues_[x->service].remove(x);
  x->queued = false;
}

void Front::PumpQueue(uint32_t service) {
  if (service >= queues_.size()) return;
  auto& queue = queues_[service];
  base::Millis now = base::SteadyMillis();
  // What can't be placed stays; others behind it may still find a server that it has tried.
  for (auto at = queue.begin(); at != queue.end();) {
    Exchange* x = *at++;
    uint32_t server = ChooseFor(now, *x);
    if (server == Servers::kNone) {
      if (x->route->idempotent && x->route->regions.empty()) return;
      continue;
    }
    if (!SendTo(x, server)) return;
  }
}

void Front::Tick() {
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
  if (gate_.active()) ReviewVersions(now);
  for (uint32_t server : servers_.DueProbes(now)) Probe(server);
  ShareOut(now);
  for (uint32_t i = 0; i < queues_.size(); ++i) PumpQueue(i);
}

void Front::Probe(uint32_t server) {
  const Server& s = servers_.at(server);
  const configuration::Service* service = table_ ? table_->service(s.service) : nullptr;
  if (!service) {
    servers_.Probed(base::SteadyMillis(), server, false);
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
                            outcome.answer.status == 200 && id && *id == servers_.at(server).id;
                base::Millis now = base::SteadyMillis();
                if (const std::string* left = outcome.answer.Find(kWarmup); good && left) {
                  servers_.NoteWarmup(now, server, std::max<int64_t>(0, wire::ParseDecimal(*left)));
                }
                servers_.Probed(now, server, good);
                telemetry::ControlRecord record;
                record.what = telemetry::ControlRecord::What::kProbe;
                record.server = server;
                record.good = good;
                recorder_->Control(record);
                std::shared_ptr<wire::HttpCall> last(std::move(probes_[server]));
                probes_.erase(server);
                loop_->Defer([last] {});
                PumpQueue(servers_.at(server).service);
              });
  probes_[server] = std::move(call);
}

void Front::FinishAll() {
  std::vector<Exchange*> all;
  for (auto& [ticket, x] : exchanges_) all.push_back(x.get());
  for (Exchange* x : all) GiveUp(x, Step::kDeadline, "this node ends", false);
}

}  // namespace elderkeel::forwarding
