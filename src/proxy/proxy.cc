#include "proxy/proxy.h"

#include <algorithm>
#include <csignal>

#include "base/log.h"
#include "base/random.h"
#include "directory/directory.h"

namespace elderkeel::proxy {
namespace {

constexpr base::Millis kTickMs = 100;
constexpr base::Millis kAskEveryMs = 250;
constexpr base::Millis kConfirmEveryMs = 100;  // the core answers all proxies that just started
constexpr base::Millis kHurryMs = 25;      // between looks at what is still missing after a start
constexpr base::Millis kHurriedMs = 3000;  // after the start; a core that is settled has confirmed
constexpr base::Millis kFirstCatalogMs = 1500;  // a node that has none asks for itself after this
constexpr base::Millis kTallyEveryMs = 250;
constexpr base::Millis kMovingTallyEveryMs = 100;  // while traffic moves to a new version
constexpr base::Millis kTouchEveryMs = 600;
constexpr size_t kTelemetryFileBytes = 4u << 20;

}  // namespace

Proxy::Proxy(base::Loop* loop, base::Settings settings, std::string settings_path)
    : loop_(loop),
      settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      confirmation_(base::SystemSeed()) {
  readiness::Readiness::Options options;
  options.grace = settings_.grace_s * 1000;
  // Clients of a directory keep an answer up to three times as long as it says.
  if (settings_.entry == "directory") options.notice = directory::kTtlS * 3000;
  readiness_ = readiness::Readiness(options);
}

Proxy::~Proxy() = default;

std::unique_ptr<telemetry::Sink> Proxy::MakeSink() {
  if (settings_.telemetry_sink == "file" && !settings_.telemetry_file.empty()) {
    return telemetry::MakeFileSink(settings_.telemetry_file, kTelemetryFileBytes);
  }
  return telemetry::MakeStdoutSink();
}

base::Result<bool> Proxy::Start() {
  telemetry::Recorder::Options telemetry;
  telemetry.flush_ms = settings_.telemetry_flush_ms;
  recorder_ = std::make_unique<telemetry::Recorder>(telemetry, MakeSink());
  front_ = std::make_unique<forwarding::Front>(loop_, settings_, recorder_.get());
  platform_ = std::make_unique<catalog::Platform>(loop_, settings_.platform);

  news::Fleet::Hooks hooks;
  hooks.config_adopted = [this] { ConfigAdopted(); };
  hooks.catalog_adopted = [this] { CatalogAdopted(); };
  hooks.evacuation_adopted = [this] {
    front_->Adopt(fleet_->news().orders());
    base::Info("evacuation.adopted", {{"version", fleet_->news().orders().version()}});
  };
  hooks.rollouts_adopted = [this] {
    front_->Adopt(fleet_->news().rollouts());
    tally_at_ = 0;
    base::Info("rollouts.adopted", {{"version", fleet_->news().rollouts().version()}});
  };
  hooks.demand_told = [this] { return front_->TellDemand(); };
  hooks.demand_heard = [this](const demand::Report& report) { front_->HearDemand(report); };
  hooks.node_changed = [this](const ring::Node&) { fleet_changed_ = true; };
  hooks.other = [this](const base::Address& from, wire::Kind kind, std::string_view payload) {
    OnMessage(from, kind, payload);
  };
  fleet_ = std::make_unique<news::Fleet>(loop_, settings_, ring::Program::kProxy, hooks);
  auto started = fleet_->Start();
  if (!started) return started;

  wire::HttpServer::Options options;
  options.limits = [] { return wire::Limits(); };
  options.max_connections = 64;
  ready_server_ = std::make_unique<wire::HttpServer>(
      loop_, options, [this](wire::HttpServer::Ticket ticket, wire::Message&& request) {
        bool ready = readiness_.Ready(base::SteadyMillis());
        wire::Message answer = request.Path() != "/elderkeel/ready"
                                   ? wire::OwnAnswer(404, "no such path")
                                   : wire::OwnAnswer(ready ? 200 : 503, ready ? "" : "not ready");
        if (answer.status == 200) answer.body = "{}";
        ready_server_->Answer(ticket, answer);
      });
  auto listening = ready_server_->Listen(settings_.readiness);
  if (!listening) return listening;
  listening = front_->Listen();
  if (!listening) return listening;
  watch_ = std::make_unique<readiness::SettingsWatch>(
      loop_, settings_path_, [this](const base::Settings& taken) {
        base::SetLogLevel(base::ParseLogLevel(taken.log_level, base::LogLevel::kInfo));
        settings_.seeds = taken.seeds;
        settings_.second_sends = taken.second_sends;
        settings_.wait_share_percent = taken.wait_share_percent;
        settings_.connect_ms = taken.connect_ms;
      });
  loop_->OnSignal(SIGTERM, [this] { Terminate(); });
  tick_.Repeat(loop_, kTickMs, [this] { Tick(); });
  Hurry();
  base::Info("proxy.started", {{"node", settings_.node_name},
                               {"front", settings_.front.ToString()},
                               {"version", ELDERKEEL_VERSION}});
  return true;
}

void Proxy::ConfigAdopted() {
  const news::Exchange& news = fleet_->news();
  std::shared_ptr<const configuration::Table> table;
  if (front_->table() && !news.config_patch().empty() &&
      front_->table()->revision() == news.config_base()) {
    table = configuration::Table::Patch(*front_->table(), news.config_patch(), front_->names(),
                                        front_->regions());
  }
  if (!table) {
    table = configuration::Table::Build(news.config_text(), front_->names(), front_->regions());
  }
  if (!table) {
    base::Warn("configuration.unread", {{"revision", fleet_->news().revision()}});
    return;
  }
  front_->Adopt(std::move(table));
  base::Info("configuration.adopted", {{"revision", fleet_->news().revision()}});
}

void Proxy::CatalogAdopted() { front_->Adopt(fleet_->news().catalog()); }

void Proxy::Answer(const base::Address& from, const diagnosis::Query& query) {
  diagnosis::Question question;
  question.about = query.about;
  question.value = query.value;
  question.last_s = query.last_s;
  uint64_t nonce = query.nonce;
  if (query.about == diagnosis::Question::About::kNode) {
    base::Millis now = base::SteadyMillis();
    telemetry::Recorder::Counts counts = recorder_->counts();
    diagnosis::Reply reply;
    reply.nonce = nonce;
    reply.node = settings_.node_name;
    reply.lines.push_back("revision=" + std::to_string(fleet_->news().revision()) +
                          " catalog_epoch=" + std::to_string(fleet_->news().catalog().epoch) +
                          " catalog_age_ms=" + std::to_string(fleet_->news().catalog_age(now)) +
                          " ready=" + (readiness_.Ready(now) ? "yes" : "no") +
                          " busy=" + std::to_string(front_->busy()) +
                          " records_lost=" + std::to_string(counts.lost + counts.unsent));
    fleet_->mesh().Send(from, wire::Kind::kQueryReply, reply);
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
      fleet_->mesh().Send(from, wire::Kind::kQueryReply, reply);
    });
  });
}

void Proxy::OnMessage(const base::Address& from, wire::Kind kind, std::string_view payload) {
  if (kind == wire::Kind::kQuery) {
    if (auto query = wire::Decode<diagnosis::Query>(payload)) Answer(from, *query);
    return;
  }
  if (kind == wire::Kind::kTouch) {
    if (auto touch = wire::Decode<rollout::Touch>(payload)) {
      front_->Heard(*touch);
      fleet_->NoteRolloutVersion(from, touch->version);
    }
    return;
  }
  if (kind != wire::Kind::kConfirmReply) return;
  auto reply = wire::Decode<news::ConfirmReply>(payload);
  if (!reply) return;
  base::Millis now = base::SteadyMillis();
  if (auto leader = confirmation_.OnReply(now, *reply)) {
    fleet_->mesh().Send(*leader, wire::Kind::kConfirm, news::Confirm{reply->nonce});
  }
  NoteConfirmed(now);
}

void Proxy::NoteConfirmed(base::Millis now) {
  const news::Exchange& news = fleet_->news();
  if (!readiness_.confirmed() && confirmation_.Holds(now, {news.revision(), news.orders().version(),
                                                           news.rollouts().version()})) {
    readiness_.Confirmed();
    base::Info("configuration.confirmed", {{"revision", news.revision()}});
  }
  if (front_->able()) readiness_.Able(now);
  front_->SetServing(readiness_.Serving(now));
}

void Proxy::AskConfirmation(base::Millis now) {
  NoteConfirmed(now);
  if (readiness_.confirmed() || now < ask_at_) return;
  ask_at_ = now + kAskEveryMs;
  std::vector<base::Address> controllers = fleet_->Controllers();
  if (controllers.empty()) return;
  const base::Address& to = controllers[next_controller_++ % controllers.size()];
  if (now >= confirm_at_) {
    confirm_at_ = now + kConfirmEveryMs;
    fleet_->mesh().Send(to, wire::Kind::kConfirm, confirmation_.Ask(now));
  }
  // What it lacks it asks of the first that says to have it: the whole of it is large, and must not
  // come from several at once.
  const news::Exchange& news = fleet_->news();
  const news::Versions& wanted = confirmation_.wanted();
  if (news.revision() < std::max<int64_t>(1, wanted.revision) ||
      news.orders().version() < wanted.evacuation || news.rollouts().version() < wanted.rollouts ||
      !news.has_catalog() || (settings_.VersionsByOrder() && !front_->versions_known())) {
    fleet_->AskDigest(to);
  }
}

// A stale list is worse than a few calls: a node that hears nothing of the list any more asks for
// itself, so seldom that all nodes together stay below the platform's rate.
void Proxy::ReadForItself(base::Millis now) {
  base::Millis age = fleet_->news().catalog_age(now);
  base::Millis patience = age < 0 ? kFirstCatalogMs : settings_.stale_catalog_ms;
  if (platform_->busy() || now < read_at_) return;
  size_t nodes = fleet_->members().Others().size() + 1;
  base::Millis gap = std::max<base::Millis>(
      1000,
      static_cast<base::Millis>(static_cast<double>(nodes) * 4000 / settings_.platform_rate_per_s));
  if (read_at_ == 0) {
    // Staggered by the place on the ring, so that nodes that start together do not ask together.
    read_at_ = now + patience + static_cast<base::Millis>(fleet_->members().self().id % 1000);
    return;
  }
  if (age >= 0 && age < patience) return;
  read_at_ = now + gap;
  platform_->Read([this](base::Result<std::vector<catalog::Server>> read) {
    if (!read) {
      base::Warn("catalog.unread", read.error());
      read_at_ = base::SteadyMillis() + 2000;
      return;
    }
    base::Info("catalog.own_reading", {{"servers", read->size()}});
    fleet_->AdoptOwnReading(std::move(*read));
  });
}

void Proxy::TellWatchers(base::Millis now) {
  if (!front_->rolling_out() || now < tally_at_) return;
  // The watchers hear all proxies; with many, each speaks more seldom.
  size_t proxies = fleet_->members().CountPossible(ring::Program::kProxy);
  base::Millis every = front_->moving() ? kMovingTallyEveryMs : kTallyEveryMs;
  tally_at_ = now + std::max<base::Millis>(every, static_cast<base::Millis>(proxies));
  bool ask = now >= ask_touch_at_;
  if (ask) ask_touch_at_ = now + kTouchEveryMs;
  for (forwarding::Front::Told& told : front_->TellTallies()) {
    told.tally.node = fleet_->members().self().id;
    told.tally.life = fleet_->members().self().life;
    told.tally.asks = ask;
    std::string bytes = wire::Encode(told.tally);
    for (uint64_t watcher : told.watchers) {
      auto node = fleet_->members().nodes().find(watcher);
      if (node == fleet_->members().nodes().end()) continue;
      fleet_->SendSmall(node->second.address(), wire::Kind::kTally, bytes);
    }
  }
}

// A node that has just started and serves nobody yet looks and asks more often than later.
void Proxy::Hurry() {
  base::Millis now = base::SteadyMillis();
  if (started_at_ == 0) started_at_ = now;
  bool done = front_->able() && (readiness_.confirmed() || now - started_at_ > kHurriedMs);
  if (done || readiness_.leaving()) return;
  ask_at_ = std::min(ask_at_, now + kHurryMs);
  AskConfirmation(now);
  hurry_.Start(loop_, kHurryMs, [this] { Hurry(); });
}

// Which of its zone's proxies this one is, as of all that changed since the last look.
void Proxy::TakePlace() {
  if (!fleet_changed_) return;
  fleet_changed_ = false;
  const ring::Membership& members = fleet_->members();
  front_->SetProxies(members.CountAlive(ring::Program::kProxy),
                     members.CountPossible(ring::Program::kProxy));
  size_t place = 0, places = 0;
  std::vector<uint64_t> peers;
  for (const auto& [id, node] : members.nodes()) {
    if (node.program != ring::Program::kProxy || node.zone != settings_.zone) continue;
    // A proxy held for lost keeps its part of the cold servers: it may be the one that sees others
    // as lost, and what both would send adds up.
    if (node.state != ring::State::kLeft) peers.push_back(id);
    if (!node.reachable()) continue;
    ++places;
    if (id < members.self().id) ++place;
  }
  front_->SetPlace(place, places);
  front_->SetPeers(members.self().id, std::move(peers));
}

void Proxy::Tick() {
  base::Millis now = base::SteadyMillis();
  TakePlace();
  TellWatchers(now);
  NoteConfirmed(now);
  if (!readiness_.leaving()) {
    AskConfirmation(now);
    ReadForItself(now);
  }
  fleet_->SetReady(readiness_.Ready(now));
  switch (readiness_.At(now, front_->busy())) {
    case readiness::Readiness::Phase::kServing:
    case readiness::Readiness::Phase::kAccepting:
      break;
    case readiness::Readiness::Phase::kFinishing:
      front_->CloseIdle();
      break;
    case readiness::Readiness::Phase::kAnswering:
      front_->FinishAll();
      break;
    case readiness::Readiness::Phase::kEnd:
      base::Info("proxy.left");
      loop_->Stop();
      break;
  }
}

void Proxy::Terminate() {
  if (readiness_.leaving()) return;
  base::Info("proxy.leaving", {{"busy", front_->busy()}});
  readiness_.Leave(base::SteadyMillis());
  front_->SetLeaving();
  fleet_->Leave();
}

}  // namespace elderkeel::proxy
