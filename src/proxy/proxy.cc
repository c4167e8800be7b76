#include "proxy/proxy.h"

#include <algorithm>
#include <csignal>

#include "base/log.h"
#include "base/random.h"
#include "directory/directory.h"
#include "proxy/shutdown.h"

namespace elderkeel::proxy {
namespace {

constexpr base::Millis kTickMs = 100;
constexpr base::Millis kAskEveryMs = 250;
constexpr base::Millis kConfirmEveryMs = 100;  // the core answers all proxies that just started
constexpr base::Millis kStartupProbeMs =
    25;  // between looks at what is still missing after a start
constexpr base::Millis kStartupProbeForMs =
    3000;  // after the start; a core that is settled has confirmed
constexpr base::Millis kFirstEndpointsMs = 1500;  // a node that has none asks for itself after this
constexpr base::Millis kReportEveryMs = 250;
constexpr base::Millis kShiftingReportEveryMs = 100;  // while traffic moves to a new version
constexpr base::Millis kRenewLeaseEveryMs = 600;
constexpr size_t kTelemetryFileBytes = 4u << 20;

}  // namespace

Proxy::Proxy(base::Loop* loop, base::Settings settings, std::string settings_path)
    : loop_(loop),
      settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      confirmation_(base::RandomSeed()) {
  lifecycle::Lifecycle::Options options;
  options.grace = settings_.grace_s * 1000;
  // Clients of a directory keep an answer up to three times as long as it says.
  if (settings_.entry == "directory") options.notice = directory::kTtlS * 3000;
  lifecycle_ = lifecycle::Lifecycle(options);
}

Proxy::~Proxy() = default;

std::unique_ptr<telemetry::Sink> Proxy::MakeSink() {
  if (settings_.telemetry_sink == "file" && !settings_.telemetry_file.empty()) {
    return telemetry::MakeFileSink(settings_.telemetry_file, kTelemetryFileBytes);
  }
  return telemetry::MakeStdoutSink();
}

base::Status Proxy::Start() {
  telemetry::Recorder::Options telemetry;
  telemetry.flush_ms = settings_.telemetry_flush_ms;
  recorder_ = std::make_unique<telemetry::Recorder>(telemetry, MakeSink());
  router_ = std::make_unique<forwarding::RequestRouter>(loop_, settings_, recorder_.get());
  router_->SetDenialGuard([this] {
    base::Millis age = peers_->disseminator().log_age(base::SteadyMillis());
    return age >= 0 && age <= settings_.PropagationMs();
  });
  platform_ = std::make_unique<discovery::PlatformClient>(loop_, settings_.platform);

  dissemination::Peers::Hooks hooks;
  hooks.configuration_adopted = [this] { ApplyConfiguration(); };
  hooks.endpoints_adopted = [this] { ApplyEndpoints(); };
  hooks.zone_drains_adopted = [this] {
    router_->Adopt(peers_->disseminator().drained_zones());
    base::Info("zone_drain.adopted",
               {{"version", peers_->disseminator().drained_zones().version()}});
  };
  hooks.rollouts_adopted = [this] {
    router_->Adopt(peers_->disseminator().rollouts());
    report_at_ = 0;
    base::Info("rollouts.adopted", {{"version", peers_->disseminator().rollouts().version()}});
  };
  hooks.load_report = [this] { return router_->MakeLoadReport(); };
  hooks.load_report_received = [this](const load::LoadReport& report) {
    router_->MergeLoadReport(report);
  };
  hooks.node_changed = [this](const membership::Node&) { peers_changed_ = true; };
  hooks.other = [this](const base::Address& from, wire::Kind kind, std::string_view payload) {
    OnMessage(from, kind, payload);
  };
  peers_ =
      std::make_unique<dissemination::Peers>(loop_, settings_, membership::Program::kProxy, hooks);
  auto started = peers_->Start();
  if (!started) return started;

  wire::HttpServer::Options options;
  options.limits = [] { return wire::Limits(); };
  options.max_connections = 64;
  ready_server_ = std::make_unique<wire::HttpServer>(
      loop_, options, [this](wire::HttpServer::Ticket ticket, wire::Message&& request) {
        bool ready = lifecycle_.Ready(base::SteadyMillis());
        wire::Message answer = request.Path() != "/elderkeel/ready"
                                   ? wire::OwnAnswer(404, "no such path")
                                   : wire::OwnAnswer(ready ? 200 : 503, ready ? "" : "not ready");
        if (answer.status == 200) answer.body = "{}";
        ready_server_->Answer(ticket, answer);
      });
  auto listening = ready_server_->Listen(settings_.readiness);
  if (!listening) return listening;
  listening = router_->Listen();
  if (!listening) return listening;
  watch_ = std::make_unique<lifecycle::SettingsWatcher>(
      loop_, settings_path_, [this](const base::Settings& taken) {
        base::SetLogLevel(base::ParseLogLevel(taken.log_level, base::LogLevel::kInfo));
        settings_.seeds = taken.seeds;
        settings_.second_sends = taken.second_sends;
        settings_.wait_share_percent = taken.wait_share_percent;
        settings_.connect_ms = taken.connect_ms;
      });
  loop_->OnSignal(SIGTERM, [this] { Terminate(); });
  tick_.Repeat(loop_, kTickMs, [this] { Tick(); });
  ProbeStartup();
  base::Info("proxy.started", {{"node", settings_.node_name},
                               {"front", settings_.front.ToString()},
                               {"version", ELDERKEEL_VERSION}});
  return {};
}

void Proxy::ApplyConfiguration() {
  const dissemination::Disseminator& disseminator = peers_->disseminator();
  std::shared_ptr<const configuration::RoutingTable> table;
  if (router_->table() && !disseminator.configuration_patch().empty() &&
      router_->table()->revision() == disseminator.configuration_base()) {
    table =
        configuration::RoutingTable::Patch(*router_->table(), disseminator.configuration_patch(),
                                           router_->names(), router_->regions());
  }
  if (!table) {
    table = configuration::RoutingTable::Build(disseminator.configuration_text(), router_->names(),
                                               router_->regions());
  }
  if (!table) {
    base::Warn("configuration.rejected", {{"revision", peers_->disseminator().revision()}});
    peers_->RejectConfiguration();
    return;
  }
  router_->Adopt(std::move(table));
  base::Info("configuration.adopted", {{"revision", peers_->disseminator().revision()}});
}

void Proxy::ApplyEndpoints() { router_->Adopt(peers_->disseminator().endpoints()); }

void Proxy::Answer(const base::Address& from, const diagnosis::Query& query) {
  diagnosis::Question question;
  question.about = query.about;
  question.value = query.value;
  question.last_s = query.last_s;
  uint64_t nonce = query.nonce;
  if (query.about == diagnosis::Question::About::kNode) {
    base::Millis now = base::SteadyMillis();
    telemetry::Recorder::VersionCounters counts = recorder_->counts();
    diagnosis::Reply reply;
    reply.nonce = nonce;
    reply.node = settings_.node_name;
    reply.lines.push_back(
        "revision=" + std::to_string(peers_->disseminator().revision()) +
        " verified_ms=" + std::to_string(peers_->disseminator().log_age(now)) +
        " catalog_epoch=" + std::to_string(peers_->disseminator().endpoints().epoch) +
        " catalog_age_ms=" + std::to_string(peers_->disseminator().endpoints_read_age(now)) +
        " ready=" + (lifecycle_.Ready(now) ? "yes" : "no") +
        " busy=" + std::to_string(router_->busy()) +
        " records_lost=" + std::to_string(counts.lost + counts.unsent));
    peers_->mesh().Send(from, wire::Kind::kQueryReply, reply);
    return;
  }
  // Taken and searched on the exporter's thread; only the reply comes back to this one.
  recorder_->TakeRecords([this, from, question, nonce](telemetry::Recorder::Kept kept) {
    diagnosis::Reply reply;
    if (question.about == diagnosis::Question::About::kFailures) {
      reply = diagnosis::SelectFailures(question, kept.failures, base::SteadyNanos() / 1000);
      reply.missing = kept.missing;
    } else {
      reply = diagnosis::Select(question, kept.records);
    }
    reply.nonce = nonce;
    reply.node = settings_.node_name;
    reply.wall_us = (base::WallNanos() - base::SteadyNanos()) / 1000;
    loop_->Post([this, from, reply = std::move(reply)] {
      peers_->mesh().Send(from, wire::Kind::kQueryReply, reply);
    });
  });
}

void Proxy::OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload) {
  if (kind == wire::Kind::kQuery) {
    if (auto query = wire::Decode<diagnosis::Query>(payload)) Answer(from, *query);
    return;
  }
  if (kind == wire::Kind::kLeaseRenewal) {
    if (auto renewal = wire::Decode<rollout::LeaseRenewal>(payload)) {
      router_->OnLeaseRenewal(*renewal);
      peers_->NoteRolloutVersion(from, renewal->version);
    }
    return;
  }
  if (kind != wire::Kind::kConfirmReply) return;
  auto reply = wire::Decode<dissemination::ConfirmReply>(payload);
  if (!reply) return;
  base::Millis now = base::SteadyMillis();
  if (auto leader = confirmation_.OnReply(now, *reply)) {
    peers_->mesh().Send(*leader, wire::Kind::kConfirm, dissemination::Confirm{reply->nonce});
  }
  NoteConfirmed(now);
}

void Proxy::NoteConfirmed(base::Millis now) {
  const dissemination::Disseminator& disseminator = peers_->disseminator();
  if (!lifecycle_.confirmed() &&
      confirmation_.Holds(now, {disseminator.revision(), disseminator.drained_zones().version(),
                                disseminator.rollouts().version()})) {
    lifecycle_.Confirmed();
    peers_->VouchForLog(confirmation_.known_at());
    base::Info("configuration.confirmed", {{"revision", disseminator.revision()}});
  }
  if (router_->able()) lifecycle_.Able(now);
  router_->SetServing(lifecycle_.Serving(now));
}

void Proxy::AskConfirmation(base::Millis now) {
  NoteConfirmed(now);
  if (lifecycle_.confirmed() || now < ask_at_) return;
  ask_at_ = now + kAskEveryMs;
  std::vector<base::Address> controllers = peers_->Controllers();
  if (controllers.empty()) return;
  const base::Address& to = controllers[next_controller_++ % controllers.size()];
  if (now >= confirm_at_) {
    confirm_at_ = now + kConfirmEveryMs;
    peers_->mesh().Send(to, wire::Kind::kConfirm, confirmation_.Ask(now));
  }
  // What it lacks it asks of the first that says to have it: the whole of it is large, and must not
  // come from several at once.
  const dissemination::Disseminator& disseminator = peers_->disseminator();
  const dissemination::Versions& wanted = confirmation_.wanted();
  if (disseminator.revision() < std::max<int64_t>(1, wanted.revision) ||
      disseminator.drained_zones().version() < wanted.zone_drains ||
      disseminator.rollouts().version() < wanted.rollouts || !disseminator.has_endpoints() ||
      (settings_.VersionsByOrder() && !router_->versions_known())) {
    peers_->AskDigest(to);
  }
}

// A stale list is worse than a few calls: a node that hears nothing of the list any more asks for
// itself, so seldom that all nodes together stay below the platform's rate.
void Proxy::ReadForItself(base::Millis now) {
  base::Millis age = peers_->disseminator().endpoints_read_age(now);
  base::Millis patience = age < 0 ? kFirstEndpointsMs : settings_.stale_catalog_ms;
  if (platform_->busy() || now < read_at_) return;
  size_t nodes = peers_->members().ReachableOthers().size() + 1;
  base::Millis gap = std::max<base::Millis>(
      1000,
      static_cast<base::Millis>(static_cast<double>(nodes) * 4000 / settings_.platform_rate_per_s));
  if (read_at_ == 0) {
    // Staggered by the place on the ring, so that nodes that start together do not ask together.
    read_at_ = now + patience + static_cast<base::Millis>(peers_->members().self().id % 1000);
    return;
  }
  if (age >= 0 && age < patience) return;
  read_at_ = now + gap;
  platform_->Read([this](base::Result<std::vector<discovery::Server>> read) {
    if (!read) {
      base::Warn("catalog.read_failed", read.error());
      read_at_ = base::SteadyMillis() + 2000;
      return;
    }
    base::Info("catalog.read_by_proxy", {{"servers", read->size()}});
    peers_->AdoptOwnReading(std::move(*read));
  });
}

void Proxy::ReportMetrics(base::Millis now) {
  if (!router_->rolling_out() || now < report_at_) return;
  // The watchers hear all proxies; with many, each speaks more seldom.
  size_t proxies = peers_->members().CountNotLeft(membership::Program::kProxy);
  base::Millis every = router_->IsShifting() ? kShiftingReportEveryMs : kReportEveryMs;
  report_at_ = now + std::max<base::Millis>(every, static_cast<base::Millis>(proxies));
  bool ask = now >= renew_lease_at_;
  if (ask) renew_lease_at_ = now + kRenewLeaseEveryMs;
  for (forwarding::RequestRouter::Told& told : router_->MakeProxyReports()) {
    told.report.node = peers_->members().self().id;
    told.report.boot_id = peers_->members().self().boot_id;
    told.report.wants_renewal = ask;
    std::string bytes = wire::Encode(told.report);
    for (uint64_t observer : told.observers) {
      auto node = peers_->members().nodes().find(observer);
      if (node == peers_->members().nodes().end()) continue;
      peers_->SendSmall(node->second.address(), wire::Kind::kProxyReport, bytes);
    }
  }
}

// A node that has just started and serves nobody yet looks and asks more often than later.
void Proxy::ProbeStartup() {
  base::Millis now = base::SteadyMillis();
  if (started_at_ == 0) started_at_ = now;
  bool done = router_->able() && (lifecycle_.confirmed() || now - started_at_ > kStartupProbeForMs);
  if (done || lifecycle_.leaving()) return;
  ask_at_ = std::min(ask_at_, now + kStartupProbeMs);
  AskConfirmation(now);
  startup_probe_.Start(loop_, kStartupProbeMs, [this] { ProbeStartup(); });
}

// Which of its zone's proxies this one is, as of all that changed since the last look.
void Proxy::UpdateRank() {
  if (!peers_changed_) return;
  peers_changed_ = false;
  const membership::Membership& members = peers_->members();
  router_->SetProxies(members.CountAlive(membership::Program::kProxy),
                      members.CountNotLeft(membership::Program::kProxy));
  size_t place = 0, places = 0;
  std::vector<uint64_t> peers;
  for (const auto& [id, node] : members.nodes()) {
    if (node.program != membership::Program::kProxy || node.zone != settings_.zone) continue;
    // A proxy held for lost keeps its part of the cold servers: it may be the one that sees others
    // as lost, and what both would send adds up.
    if (node.state != membership::State::kLeft) peers.push_back(id);
    if (!node.reachable()) continue;
    ++places;
    if (id < members.self().id) ++place;
  }
  router_->SetRank(place, places);
  router_->SetZoneProxies(members.self().id, std::move(peers));
}

void Proxy::Tick() {
  base::Millis now = base::SteadyMillis();
  UpdateRank();
  ReportMetrics(now);
  NoteConfirmed(now);
  if (!lifecycle_.leaving()) {
    AskConfirmation(now);
    ReadForItself(now);
  }
  peers_->SetReady(lifecycle_.Ready(now));
  if (AdvanceShutdown(lifecycle_.At(now, router_->busy()), router_.get())) {
    base::Info("proxy.stopped", {{"busy", router_->busy()}});
    loop_->Stop();
  }
}

void Proxy::Terminate() {
  if (lifecycle_.leaving()) return;
  base::Info("proxy.stopping", {{"busy", router_->busy()}});
  lifecycle_.Leave(base::SteadyMillis());
  router_->SetLeaving();
  peers_->Leave();
}

}  // namespace elderkeel::proxy
