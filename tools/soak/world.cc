#include "soak/world.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "soak/checkers.h"

namespace elderkeel::soak {
namespace {

constexpr int kServersOfService = 6;
constexpr size_t kPage = 4;  // servers on a page of the list
constexpr base::Millis kColdMs = 3000;
constexpr base::Millis kServesOnMs = 14000;  // of a server that drains
constexpr base::Millis kSlowMs = 900;        // of an answer of the platform while it is slow
constexpr base::Millis kSlowAfterMs = 2000;  // the end of a cut it is slow for so long
constexpr base::Millis kListedOnMs = 300;    // of a server that is gone
constexpr base::Millis kReuseMs = 2000;      // after a server's end, of its address
constexpr base::Millis kSlowMoreMs = 600;    // that a slow server takes
constexpr base::Millis kCutAfterMs = 20;     // an answer's begin that is cut

http::Message Plain(int status, const std::string& body) {
  http::Message answer;
  answer.status = status;
  answer.body = body;
  return answer;
}

http::HttpServer::Options ServerOptions() {
  http::HttpServer::Options options;
  options.limits = [] { return http::Limits(); };
  return options;
}

base::Millis WorkMs(std::string_view path) {
  size_t at = path.rfind('-');
  return at == std::string_view::npos ? 0 : http::ParseDecimal(path.substr(at + 1));
}

}  // namespace

struct World::Server {
  std::string id;
  std::string service;
  std::string zone;
  base::Address address;
  bool draining = false;
  bool listening = true;
  base::Millis warm_at = 0;
  std::unique_ptr<http::HttpServer> http;
  std::map<http::HttpServer::Ticket, size_t> runs;  // under way, by their numbers in the record
};

Addresses::Addresses(int run)
    : run(run), base_port(static_cast<uint16_t>(11000 + run % 200 * 100)) {}

std::string Addresses::Ip(int number) const {
  return "127.1." + std::to_string(run) + "." + std::to_string(number);
}

World::World(const Options& options, const Addresses& addresses, Record* record)
    : addresses_(addresses),
      record_(record),
      unsound_(options.unsound),
      faults_(options.seed),
      began_at_(base::SteadyMillis()) {
  thread_ = std::thread([this] { Run(); });
  while (!loop_) usleep(1000);
}

World::~World() {
  base::Loop* loop = loop_;
  loop->Post([loop] { loop->Stop(); });
  thread_.join();
}

void World::Run() {
  base::Loop loop;
  thread_id_ = gettid();
  loop_ = &loop;
  loop.Run();
  timers_.clear();
  servers_.clear();
  platform_of_controllers_.reset();
  platform_of_proxies_.reset();
}

void World::Post(std::function<void()> work) { loop_.load()->Post(std::move(work)); }

void World::After(base::Millis wait, std::function<void()> work) {
  uint64_t number = next_timer_++;
  auto timer = std::make_unique<base::Timer>();
  base::Timer* started = timer.get();
  timers_[number] = std::move(timer);
  started->Start(loop_, wait, [this, number, work = std::move(work)] {
    work();
    loop_.load()->Defer([this, number] { timers_.erase(number); });
  });
}

void World::Start() {
  Post([this] {
    platform_of_controllers_ = MakePlatform(false);
    platform_of_proxies_ = MakePlatform(true);
    // All servers of a service stand in one zone, so that a zone's loss leaves no warm ones.
    for (int i = 0; i < kServersOfService; ++i) {
      AddServer("reading", "z0", 0);
      AddServer("writing", "z1", 0);
    }
  });
}

std::unique_ptr<http::HttpServer> World::MakePlatform(bool of_proxies) {
  auto platform = std::make_unique<http::HttpServer>(
      loop_, ServerOptions(),
      [this, of_proxies](http::HttpServer::Ticket ticket, http::Message&& request) {
        bool refused = cut_ && !of_proxies;
        http::Message answer = refused ? Plain(503, "") : ListPage(request);
        http::HttpServer* server =
            of_proxies ? platform_of_proxies_.get() : platform_of_controllers_.get();
        bool slow = of_proxies && base::SteadyMillis() < slow_until_;
        After(slow ? kSlowMs : 1, [server, ticket, answer] { server->Answer(ticket, answer); });
      });
  platform->Listen(of_proxies ? addresses_.PlatformOfProxies()
                              : addresses_.PlatformOfControllers());
  return platform;
}

http::Message World::ListPage(const http::Message& request) const {
  size_t token = request.target.find("page-token=p-");
  size_t first = 0;
  if (token != std::string::npos) first = std::stoul(request.target.substr(token + 13));
  base::Millis now = base::SteadyMillis();
  std::string body = "{\"servers\":[";
  size_t number = 0;
  for (const auto& [id, server] : servers_) {
    size_t position = number++;
    if (position < first || position >= first + kPage) continue;
    body += std::string(position == first ? "" : ",") + "{\"target\":\"" + server->service +
            "\",\"address\":\"" + server->address.ToString() + "\",\"zone\":\"" + server->zone +
            "\",\"revision\":\"v1\",\"capacity\":12,\"status\":\"" +
            (server->draining ? "draining" : "accepting") + "\",\"warmup-left-ms\":" +
            std::to_string(std::max<base::Millis>(0, server->warm_at - now)) + ",\"id\":\"" + id +
            "\"}";
  }
  bool last = first + kPage >= servers_.size();
  body += "],\"next-token\":";
  body += last ? "null}" : "\"p-" + std::to_string(first + kPage) + "\"}";
  http::Message answer = Plain(200, body);
  answer.headers.push_back({"Content-Type", "application/json"});
  return answer;
}

void World::AddServer(const std::string& service, const std::string& zone, base::Millis cold_ms) {
  AddServer(service, zone, TakeAddress(service), cold_ms);
}

void World::AddServer(const std::string& service, const std::string& zone,
                      const base::Address& address, base::Millis cold_ms) {
  int number = next_server_++;
  auto server = std::make_shared<Server>();
  server->id = "i-" + std::to_string(number);
  server->service = service;
  server->zone = zone;
  server->address = address;
  std::weak_ptr<Server> weak = server;
  server->http = std::make_unique<http::HttpServer>(
      loop_, ServerOptions(),
      [this, weak](http::HttpServer::Ticket ticket, http::Message&& request) {
        if (auto server = weak.lock()) OnRequest(server, ticket, request);
      });
  server->http->OnGone([this, weak](http::HttpServer::Ticket ticket) {
    auto server = weak.lock();
    if (!server || server->runs.count(ticket) == 0) return;
    record_->OnDropped(server->runs[ticket], base::SteadyMillis());
    server->runs.erase(ticket);
  });
  server->http->Listen(server->address);
  if (cold_ms > 0) {
    base::Millis now = base::SteadyMillis();
    server->warm_at = now + cold_ms;
    record_->Add(
        Disturbance{Disturbance::Kind::kServerCold, server->id, now, std::to_string(cold_ms)});
  }
  servers_[server->id] = server;
}

void World::RemoveServer(const std::string& id) {
  auto found = servers_.find(id);
  if (found == servers_.end()) return;
  base::Millis now = base::SteadyMillis();
  record_->BreakOff(id, now);
  record_->Add(Disturbance{Disturbance::Kind::kServerGone, id, now, ""});
  found->second->listening = false;
  found->second->http.reset();
  free_addresses_.push_back({found->second->address, found->second->service, now + kReuseMs});
  After(kListedOnMs, [this, id] { servers_.erase(id); });
}

void World::OnRequest(const std::shared_ptr<Server>& server, http::HttpServer::Ticket ticket,
                      const http::Message& request) {
  base::Millis now = base::SteadyMillis();
  if (request.Path() == "/health") {
    http::Message answer = Plain(200, "");
    answer.headers.push_back({"Elderkeel-Server-Id", server->id});
    answer.headers.push_back(
        {"Elderkeel-Warmup-Ms", std::to_string(std::max<base::Millis>(0, server->warm_at - now))});
    server->http->Answer(ticket, answer);
    return;
  }
  const std::string* attempt = request.Find("Elderkeel-Attempt-Id");
  const std::string* expected = request.Find("Elderkeel-Expected-Server");
  bool misplaced = !attempt || (expected && *expected != server->id);
  if (misplaced) {
    http::Message answer = Plain(421, "");
    if (attempt) answer.headers.push_back({"Elderkeel-Attempt-Id", *attempt});
    server->http->Answer(ticket, answer);
    return;
  }
  ServerFault fault = ServerFault::kNone;
  if (unsound_) fault = faults_.Draw(now - began_at_, server->id, *attempt);
  if (fault == ServerFault::kTurnsAway) {
    http::Message answer = Plain(503, "");
    answer.headers.push_back({"Elderkeel-Attempt-Id", *attempt});
    answer.headers.push_back({"Elderkeel-Not-Executed", "1"});
    server->http->Answer(ticket, answer);
    return;
  }
  RunRequest(server, ticket, request, fault);
}

void World::RunRequest(const std::shared_ptr<Server>& server, http::HttpServer::Ticket ticket,
                       const http::Message& request, ServerFault fault) {
  base::Millis now = base::SteadyMillis();
  base::Millis work = WorkMs(request.Path());
  if (fault == ServerFault::kSlow) work += kSlowMoreMs;
  ServerRun run;
  run.attempt_id = *request.Find("Elderkeel-Attempt-Id");
  run.server = server->id;
  run.service = server->service;
  run.method = request.method;
  run.path = request.target;
  run.began_at = now;
  run.work_ends_at = now + work;
  run.server_broke_off = BreaksOff(fault);
  size_t number = record_->Add(run);
  server->runs[ticket] = number;
  if (fault == ServerFault::kHangs) return;
  std::weak_ptr<Server> weak = server;
  After(work, [this, weak, number, ticket, fault, attempt_id = run.attempt_id] {
    auto still = weak.lock();
    if (!still || !still->http) return;
    still->runs.erase(ticket);
    GiveAnswer(still.get(), ticket, attempt_id, fault);
    if (!BreaksOff(fault)) record_->OnAnswered(number, base::SteadyMillis());
  });
}

void World::GiveAnswer(Server* server, http::HttpServer::Ticket ticket,
                       const std::string& attempt_id, ServerFault fault) {
  if (fault == ServerFault::kCutsBefore) {
    server->http->Reset(ticket);
    return;
  }
  bool other = fault == ServerFault::kAnswersOther;
  std::string id = other ? "x" + attempt_id : attempt_id;
  http::Message answer = Plain(fault == ServerFault::kOwnFailure ? 500 : 200, BodyOf(id));
  answer.headers.push_back({"Elderkeel-Attempt-Id", id});
  answer.headers.push_back({"Elderkeel-Server-Seal", SealOf(id, server->id)});
  if (fault == ServerFault::kAnswersTwice) {
    std::string again = "HTTP/1.1 200 OK\r\nElderkeel-Attempt-Id: " + id +
                        "\r\nElderkeel-Server-Seal: " + SealOf(id, server->id) +
                        "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" +
                        answer.body;
    server->http->BeginAnswer(ticket, answer, static_cast<int64_t>(answer.body.size()));
    server->http->WriteBody(ticket, answer.body + again);
    server->http->EndAnswer(ticket);
    return;
  }
  if (fault != ServerFault::kCutsMidway) {
    server->http->Answer(ticket, answer);
    return;
  }
  server->http->BeginAnswer(ticket, answer, static_cast<int64_t>(answer.body.size()));
  server->http->WriteBody(ticket, answer.body.substr(0, answer.body.size() / 2));
  After(kCutAfterMs, [this, ticket, id = server->id] {
    auto found = servers_.find(id);
    if (found != servers_.end() && found->second->http) found->second->http->Reset(ticket);
  });
}

base::Address World::TakeAddress(const std::string& service) {
  base::Millis now = base::SteadyMillis();
  for (auto free = free_addresses_.begin(); unsound_ && free != free_addresses_.end(); ++free) {
    if (free->service == service || free->free_at > now) continue;
    base::Address address = free->address;
    free_addresses_.erase(free);
    return address;
  }
  return addresses_.Server(next_address_++);
}

void World::DrainOne(const std::string& zone) {
  Post([this, zone] {
    std::vector<std::shared_ptr<Server>> serving = Serving(zone);
    if (serving.empty()) return;
    std::string id = serving[0]->id, service = serving[0]->service;
    serving[0]->draining = true;
    record_->Add(Disturbance{Disturbance::Kind::kServerDrains, id, base::SteadyMillis(), ""});
    After(kServesOnMs, [this, id] { RemoveServer(id); });
    AddServer(service, zone, kColdMs);
  });
}

void World::ReuseAddress(const std::string& zone) {
  Post([this, zone] {
    std::vector<std::shared_ptr<Server>> serving = Serving(zone);
    if (serving.empty()) return;
    std::string other_service = serving[0]->service == "reading" ? "writing" : "reading";
    std::string other_zone = zone == "z0" ? "z1" : "z0";
    RemoveServer(serving[0]->id);
    free_addresses_.pop_back();  // taken, once it may be used again
    After(kReuseMs, [this, other_service, other_zone, address = serving[0]->address] {
      AddServer(other_service, other_zone, address, 0);
    });
  });
}

std::vector<std::shared_ptr<World::Server>> World::Serving(const std::string& zone) const {
  std::vector<std::shared_ptr<Server>> serving;
  for (const auto& [id, server] : servers_) {
    if (server->zone == zone && !server->draining && server->listening) serving.push_back(server);
  }
  return serving;
}

void World::ReplaceZoneCold(const std::string& zone) {
  Post([this, zone] {
    for (const std::shared_ptr<Server>& server : Serving(zone)) {
      RemoveServer(server->id);
      AddServer(server->service, zone, kColdMs);
    }
  });
}

void World::CutPlatform(bool cut) {
  Post([this, cut] {
    cut_ = cut;
    slow_until_ = cut ? INT64_MAX : base::SteadyMillis() + kSlowAfterMs;
    record_->Add(
        Disturbance{cut ? Disturbance::Kind::kPlatformCut : Disturbance::Kind::kPlatformHealed,
                    "platform", base::SteadyMillis(), ""});
  });
}

}  // namespace elderkeel::soak
