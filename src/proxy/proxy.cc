#include "proxy/proxy.h"

#include <csignal>
#include <utility>
#include <vector>

#include "base/log.h"
#include "directory/directory.h"
#include "proxy/shutdown.h"

namespace elderkeel::proxy {
namespace {

constexpr base::Millis kTickMs = 100;
constexpr size_t kMaxReadinessConnections = 64;
constexpr size_t kTelemetryFileBytes = 4u << 20;
// Clients may use a directory's answer for up to this many times its time to live.
constexpr int64_t kDirectoryCacheFactor = 3;

lifecycle::Lifecycle::Options LifecycleOptions(const base::Settings& settings) {
  lifecycle::Lifecycle::Options options;
  options.grace = settings.GraceMs();
  if (settings.entry == "directory") {
    options.notice = directory::kDefaultTtlS * 1000 * kDirectoryCacheFactor;
  }
  return options;
}

}  // namespace

Proxy::Proxy(base::Loop* loop, base::Settings settings, std::string settings_path)
    : loop_(loop),
      settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      lifecycle_(LifecycleOptions(settings_)) {}

Proxy::~Proxy() = default;

base::Status Proxy::Start() {
  MakeRouter();
  MakeNode();
  base::Status started = node_->Start();
  if (!started) return started;
  started = StartReadinessServer();
  if (!started) return started;
  started = router_->Listen();
  if (!started) return started;
  node_->WatchSettings(settings_path_, [this](const base::Settings& settings) {
    settings_.seeds = settings.seeds;
    settings_.hedging_enabled = settings.hedging_enabled;
    settings_.max_queue_wait_percent = settings.max_queue_wait_percent;
    settings_.connect_ms = settings.connect_ms;
  });
  loop_->OnSignal(SIGTERM, [this] { Terminate(); });
  tick_timer_.Repeat(loop_, kTickMs, [this] { Tick(); });
  confirmation_->Start();
  base::Info("proxy.started", {{"node", settings_.node_name},
                               {"front", settings_.front.ToString()},
                               {"version", ELDERKEEL_VERSION}});
  return {};
}

std::unique_ptr<telemetry::Sink> Proxy::MakeSink() const {
  if (settings_.telemetry_sink == "file" && !settings_.telemetry_file.empty()) {
    return telemetry::MakeFileSink(settings_.telemetry_file, kTelemetryFileBytes);
  }
  return telemetry::MakeStdoutSink();
}

void Proxy::MakeRouter() {
  telemetry::Recorder::Options options;
  options.flush_ms = settings_.telemetry_flush_ms;
  recorder_ = std::make_unique<telemetry::Recorder>(options, MakeSink());
  router_ = std::make_unique<forwarding::RequestRouter>(loop_, settings_, recorder_.get());
  // The router may deny that a route exists only while the configuration log is known to be recent.
  router_->SetNotFoundGuard([this] {
    base::Millis age = node_->disseminator().log_age(base::SteadyMillis());
    return age >= 0 && age <= settings_.PropagationMs();
  });
}

void Proxy::MakeNode() {
  cluster::ClusterNode::Callbacks callbacks;
  callbacks.configuration_adopted = [this] { ApplyConfiguration(); };
  callbacks.endpoints_adopted = [this] { router_->Adopt(node_->disseminator().endpoints()); };
  callbacks.zone_drains_adopted = [this] {
    const zone_drain::DrainedZones& drained = node_->disseminator().drained_zones();
    router_->Adopt(drained);
    base::Info("zone_drain.adopted", {{"version", drained.version()}});
  };
  callbacks.rollouts_adopted = [this] {
    const rollout::Rollouts& rollouts = node_->disseminator().rollouts();
    router_->Adopt(rollouts);
    rollout_reporter_->ReportSoon();
    base::Info("rollouts.adopted", {{"version", rollouts.version()}});
  };
  callbacks.load_report = [this] { return router_->MakeLoadReport(); };
  callbacks.load_report_received = [this](const load::LoadReport& report) {
    router_->MergeLoadReport(report);
  };
  callbacks.node_changed = [this](const membership::Node&) { nodes_changed_ = true; };
  callbacks.message = [this](const base::Address& from, transport::MessageKind kind,
                             std::string_view payload) { OnMessage(from, kind, payload); };
  node_ = std::make_unique<cluster::ClusterNode>(loop_, settings_, membership::Program::kProxy,
                                                 std::move(callbacks));
  confirmation_ = std::make_unique<StartupConfirmation>(loop_, &settings_, node_.get(),
                                                        router_.get(), &lifecycle_);
  fallback_reader_ = std::make_unique<FallbackReader>(loop_, &settings_, node_.get());
  rollout_reporter_ = std::make_unique<RolloutReporter>(node_.get(), router_.get());
}

base::Status Proxy::StartReadinessServer() {
  http::HttpServer::Options options;
  options.limits = [] { return http::Limits(); };
  options.max_connections = kMaxReadinessConnections;
  readiness_server_ = std::make_unique<http::HttpServer>(
      loop_, options, [this](http::HttpServer::Ticket ticket, http::Message&& request) {
        readiness_server_->Respond(ticket, AnswerReadiness(request));
      });
  return readiness_server_->Listen(settings_.readiness);
}

http::Message Proxy::AnswerReadiness(const http::Message& request) const {
  if (request.Path() != "/elderkeel/ready") return http::OwnAnswer(404, "no such path");
  if (!lifecycle_.IsReady(base::SteadyMillis())) return http::OwnAnswer(503, "proxy is not ready");
  http::Message answer = http::OwnAnswer(200, "");
  answer.body = "{}";
  return answer;
}

// Applies the disseminator's configuration to the router: as a patch if the routing table in force
// has the patch's base revision, otherwise by building a table from the whole text.
void Proxy::ApplyConfiguration() {
  using configuration::RoutingTable;
  const dissemination::Disseminator& disseminator = node_->disseminator();
  const auto& in_force = router_->table();
  std::shared_ptr<const RoutingTable> table;
  bool by_patch = in_force && !disseminator.configuration_patch().empty() &&
                  in_force->revision() == disseminator.configuration_base();
  if (by_patch) {
    table = RoutingTable::Patch(*in_force, disseminator.configuration_patch(),
                                router_->service_names(), router_->regions());
  }
  if (!table) {
    table = RoutingTable::Build(disseminator.configuration_text(), router_->service_names(),
                                router_->regions());
  }
  if (!table) {
    base::Warn("configuration.rejected", {{"revision", disseminator.revision()}});
    node_->RejectConfiguration();
    return;
  }
  router_->Adopt(std::move(table));
  base::Info("configuration.adopted", {{"revision", disseminator.revision()}});
}

// Updates the router with the number of proxies that share the servers, and with this proxy's rank
// among the proxies of its zone.
void Proxy::OnNodesChanged() {
  const membership::Membership& membership = node_->membership();
  router_->SetProxyCounts(membership.CountReachable(membership::Program::kProxy),
                          membership.CountNotLeft(membership::Program::kProxy));
  size_t rank = 0, proxies = 0;
  forwarding::ZoneProxies zone_proxies;
  zone_proxies.self = membership.self().id;
  for (const auto& [id, node] : membership.nodes()) {
    if (node.program != membership::Program::kProxy || node.zone != settings_.zone) continue;
    // A proxy that is recorded as dead keeps its share of the servers in slow start. It may be on
    // the other side of a partition and record this proxy as dead: if each took over the other's
    // share, both would send, and together exceed the servers' limit.
    bool left = node.state == membership::State::kLeft;
    (left ? zone_proxies.left : zone_proxies.present).push_back(id);
    if (!node.reachable()) continue;
    ++proxies;
    if (id < membership.self().id) ++rank;
  }
  router_->SetRank(rank, proxies);
  router_->SetZoneProxies(zone_proxies);
}

void Proxy::OnMessage(const base::Address& from, transport::MessageKind kind,
                      std::string_view payload) {
  switch (kind) {
    case transport::MessageKind::kQuery:
      if (auto query = transport::Decode<diagnosis::Query>(payload)) OnQuery(from, *query);
      break;
    case transport::MessageKind::kLeaseRenewal:
      if (auto renewal = transport::Decode<rollout::LeaseRenewal>(payload)) {
        router_->OnLeaseRenewal(*renewal);
        node_->OnRolloutVersion(from, renewal->version);
      }
      break;
    case transport::MessageKind::kConfirmReply:
      if (auto reply = transport::Decode<dissemination::ConfirmReply>(payload)) {
        confirmation_->OnReply(base::SteadyMillis(), *reply);
      }
      break;
    default:
      break;
  }
}

diagnosis::Reply Proxy::DescribeState(uint64_t nonce) const {
  base::Millis now = base::SteadyMillis();
  const dissemination::Disseminator& disseminator = node_->disseminator();
  telemetry::Recorder::Counts counts = recorder_->counts();
  diagnosis::Reply reply;
  reply.nonce = nonce;
  reply.node = settings_.node_name;
  reply.lines.push_back("revision=" + std::to_string(disseminator.revision()) +
                        " verified_ms=" + std::to_string(disseminator.log_age(now)) +
                        " catalog_epoch=" + std::to_string(disseminator.endpoints().epoch) +
                        " catalog_age_ms=" + std::to_string(disseminator.endpoints_read_age(now)) +
                        " ready=" + (lifecycle_.IsReady(now) ? "yes" : "no") +
                        " busy=" + std::to_string(router_->busy()) +
                        " records_lost=" + std::to_string(counts.lost + counts.unsent));
  return reply;
}

void Proxy::OnQuery(const base::Address& from, const diagnosis::Query& query) {
  if (query.about == diagnosis::Question::About::kNode) {
    node_->mesh().Send(from, transport::MessageKind::kQueryReply, DescribeState(query.nonce));
    return;
  }
  // The records are taken and searched on the exporter's thread. The reply is posted to the event
  // loop's thread, which sends it.
  recorder_->ReadRecords([this, from, query](const telemetry::Recorder::RetainedRecords& retained) {
    diagnosis::Question question;
    question.about = query.about;
    question.value = query.value;
    question.last_s = query.last_s;
    diagnosis::Reply reply;
    if (question.about == diagnosis::Question::About::kFailures) {
      reply = diagnosis::SelectFailures(question, retained.failures, base::SteadyNanos() / 1000);
      reply.missing = retained.missing;
    } else {
      reply = diagnosis::Select(question, retained.records);
    }
    reply.nonce = query.nonce;
    reply.node = settings_.node_name;
    reply.wall_us = (base::WallNanos() - base::SteadyNanos()) / 1000;
    loop_->Post([this, from, reply = std::move(reply)] {
      node_->mesh().Send(from, transport::MessageKind::kQueryReply, reply);
    });
  });
}

void Proxy::Tick() {
  base::Millis now = base::SteadyMillis();
  if (nodes_changed_) {
    nodes_changed_ = false;
    OnNodesChanged();
  }
  rollout_reporter_->Tick(now);
  if (lifecycle_.leaving()) {
    confirmation_->UpdateServing(now);
  } else {
    confirmation_->Tick(now);
    fallback_reader_->Tick(now);
  }
  node_->SetReady(lifecycle_.IsReady(now));
}

void Proxy::Terminate() {
  if (lifecycle_.leaving()) return;
  base::Info("proxy.stopping", {{"busy", router_->busy()}});
  lifecycle_.Leave(base::SteadyMillis());
  router_->BeginShutdown(lifecycle_.accept_until());
  node_->Leave();
  RunShutdownPhase();
}

// Runs on a timer of its own, since phases also begin between ticks.
void Proxy::RunShutdownPhase() {
  base::Millis now = base::SteadyMillis();
  lifecycle::Lifecycle::Phase phase = lifecycle_.PhaseAt(now, router_->busy());
  shutdown_log_.Log(now, lifecycle_.LeavingFor(now), phase, *router_);
  if (AdvanceShutdown(phase, router_.get())) {
    base::Info("proxy.stopped", {{"busy", router_->busy()}});
    loop_->Stop();
    return;
  }
  shutdown_timer_.Start(loop_, lifecycle_.UntilNextPhase(now, kTickMs),
                        [this] { RunShutdownPhase(); });
}

}  // namespace elderkeel::proxy
