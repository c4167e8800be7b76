#include "soak/simulated_platform.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "soak/checkers.h"

namespace elderkeel::soak {
namespace {

constexpr int kServersPerService = 6;
constexpr size_t kPageSize = 4;  // servers on a page of the list
constexpr base::Millis kWarmupMs = 3000;
constexpr base::Millis kDrainMs = 14000;        // a draining server serves before it ends
constexpr base::Millis kPlatformDelayMs = 900;  // of a response of the platform while it is slow
constexpr base::Millis kSlowAfterCutMs = 2000;  // the platform stays slow for the proxies
constexpr base::Millis kDelistDelayMs = 300;    // an ended server stays on the list
constexpr base::Millis kAddressReuseDelayMs = 2000;  // after the end of the server
constexpr base::Millis kSlowFaultMs = 600;           // added to the work by ServerFault::kSlow
constexpr base::Millis kMidBodyResetDelayMs = 20;    // after the first half of the body

http::Message MakeResponse(int status, const std::string& body) {
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

// The time that a server works on a request, from the end of its path; 0 if it has none.
base::Millis WorkMs(std::string_view path) {
  size_t at = path.rfind('-');
  return at == std::string_view::npos ? 0 : http::ParseDecimal(path.substr(at + 1));
}

}  // namespace

// A simulated server.
struct SimulatedPlatform::Server {
  std::string id;
  std::string service;
  std::string zone;
  base::Address address;
  bool draining = false;
  bool listening = true;     // false once the server has ended
  base::Millis warm_at = 0;  // end of the slow start
  std::unique_ptr<http::HttpServer> http;
  // Executions in flight: their indices in the record.
  std::map<http::HttpServer::Ticket, size_t> executions;
};

Addresses::Addresses(int run)
    : run(run), base_port(static_cast<uint16_t>(11000 + run % 200 * 100)) {}

std::string Addresses::Ip(int number) const {
  return "127.1." + std::to_string(run) + "." + std::to_string(number);
}

SimulatedPlatform::SimulatedPlatform(const Options& options, const Addresses& addresses,
                                     Record* record)
    : addresses_(addresses),
      record_(record),
      unsound_(options.unsound),
      faults_(options.seed),
      began_at_(base::SteadyMillis()) {
  thread_ = std::thread([this] { Run(); });
  while (!loop_) usleep(1000);
}

SimulatedPlatform::~SimulatedPlatform() {
  base::Loop* loop = loop_;
  loop->Post([loop] { loop->Stop(); });
  thread_.join();
}

void SimulatedPlatform::Run() {
  base::Loop loop;
  thread_id_ = gettid();
  loop_ = &loop;
  loop.Run();
  timers_.clear();
  servers_.clear();
  platform_of_controllers_.reset();
  platform_of_proxies_.reset();
}

void SimulatedPlatform::Post(std::function<void()> work) { loop_.load()->Post(std::move(work)); }

void SimulatedPlatform::After(base::Millis wait, std::function<void()> work) {
  uint64_t number = next_timer_++;
  auto timer = std::make_unique<base::Timer>();
  base::Timer* started = timer.get();
  timers_[number] = std::move(timer);
  started->Start(loop_, wait, [this, number, work = std::move(work)] {
    work();
    loop_.load()->Defer([this, number] { timers_.erase(number); });
  });
}

void SimulatedPlatform::Start() {
  Post([this] {
    platform_of_controllers_ = MakePlatform(false);
    platform_of_proxies_ = MakePlatform(true);
    // All servers of a service are in one zone, so that replacing a zone's servers leaves the
    // service without a warm server.
    for (int i = 0; i < kServersPerService; ++i) {
      AddServer("reading", "z0", 0);
      AddServer("writing", "z1", 0);
    }
  });
}

std::unique_ptr<http::HttpServer> SimulatedPlatform::MakePlatform(bool of_proxies) {
  auto platform = std::make_unique<http::HttpServer>(
      loop_, ServerOptions(),
      [this, of_proxies](http::HttpServer::Ticket ticket, http::Message&& request) {
        bool refused = cut_ && !of_proxies;
        http::Message answer = refused ? MakeResponse(503, "") : ListPage(request);
        http::HttpServer* server =
            of_proxies ? platform_of_proxies_.get() : platform_of_controllers_.get();
        bool slow = of_proxies && base::SteadyMillis() < slow_until_;
        After(slow ? kPlatformDelayMs : 1,
              [server, ticket, answer] { server->Respond(ticket, answer); });
      });
  platform->Listen(of_proxies ? addresses_.PlatformOfProxies()
                              : addresses_.PlatformOfControllers());
  return platform;
}

http::Message SimulatedPlatform::ListPage(const http::Message& request) const {
  size_t token = request.target.find("page-token=p-");
  size_t first = 0;
  if (token != std::string::npos) first = std::stoul(request.target.substr(token + 13));
  base::Millis now = base::SteadyMillis();
  std::string body = "{\"servers\":[";
  size_t number = 0;
  for (const auto& [id, server] : servers_) {
    size_t position = number++;
    if (position < first || position >= first + kPageSize) continue;
    body += std::string(position == first ? "" : ",") + "{\"target\":\"" + server->service +
            "\",\"address\":\"" + server->address.ToString() + "\",\"zone\":\"" + server->zone +
            "\",\"revision\":\"v1\",\"capacity\":12,\"status\":\"" +
            (server->draining ? "draining" : "accepting") + "\",\"warmup-left-ms\":" +
            std::to_string(std::max<base::Millis>(0, server->warm_at - now)) + ",\"id\":\"" + id +
            "\"}";
  }
  bool last = first + kPageSize >= servers_.size();
  body += "],\"next-token\":";
  body += last ? "null}" : "\"p-" + std::to_string(first + kPageSize) + "\"}";
  http::Message answer = MakeResponse(200, body);
  answer.headers.push_back({"Content-Type", "application/json"});
  return answer;
}

void SimulatedPlatform::AddServer(const std::string& service, const std::string& zone,
                                  base::Millis warmup_ms) {
  AddServer(service, zone, AllocateAddress(service), warmup_ms);
}

void SimulatedPlatform::AddServer(const std::string& service, const std::string& zone,
                                  const base::Address& address, base::Millis warmup_ms) {
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
  server->http->OnClientClosed([this, weak](http::HttpServer::Ticket ticket) {
    auto server = weak.lock();
    if (!server || server->executions.count(ticket) == 0) return;
    record_->OnConnectionClosed(server->executions[ticket], base::SteadyMillis());
    server->executions.erase(ticket);
  });
  server->http->Listen(server->address);
  if (warmup_ms > 0) {
    base::Millis now = base::SteadyMillis();
    server->warm_at = now + warmup_ms;
    record_->Add(Disturbance{Disturbance::Kind::kServerSlowStart, server->id, now,
                             std::to_string(warmup_ms)});
  }
  servers_[server->id] = server;
}

void SimulatedPlatform::RemoveServer(const std::string& id) {
  auto found = servers_.find(id);
  if (found == servers_.end()) return;
  base::Millis now = base::SteadyMillis();
  record_->AbortUnsent(id, now);
  record_->Add(Disturbance{Disturbance::Kind::kServerGone, id, now, ""});
  found->second->listening = false;
  found->second->http.reset();
  free_addresses_.push_back(
      {found->second->address, found->second->service, now + kAddressReuseDelayMs});
  After(kDelistDelayMs, [this, id] { servers_.erase(id); });
}

void SimulatedPlatform::OnRequest(const std::shared_ptr<Server>& server,
                                  http::HttpServer::Ticket ticket, const http::Message& request) {
  base::Millis now = base::SteadyMillis();
  if (request.Path() == "/health") {
    http::Message answer = MakeResponse(200, "");
    answer.headers.push_back({"Elderkeel-Server-Id", server->id});
    answer.headers.push_back(
        {"Elderkeel-Warmup-Ms", std::to_string(std::max<base::Millis>(0, server->warm_at - now))});
    server->http->Respond(ticket, answer);
    return;
  }
  const std::string* attempt = request.Find("Elderkeel-Attempt-Id");
  const std::string* expected = request.Find("Elderkeel-Expected-Server");
  bool wrong_server = !attempt || (expected && *expected != server->id);
  if (wrong_server) {
    http::Message answer = MakeResponse(421, "");
    if (attempt) answer.headers.push_back({"Elderkeel-Attempt-Id", *attempt});
    server->http->Respond(ticket, answer);
    return;
  }
  ServerFault fault = ServerFault::kNone;
  if (unsound_) fault = faults_.Draw(now - began_at_, server->id, *attempt);
  if (fault == ServerFault::kRejects) {
    http::Message answer = MakeResponse(503, "");
    answer.headers.push_back({"Elderkeel-Attempt-Id", *attempt});
    answer.headers.push_back({"Elderkeel-Not-Executed", "1"});
    server->http->Respond(ticket, answer);
    return;
  }
  Execute(server, ticket, request, fault);
}

void SimulatedPlatform::Execute(const std::shared_ptr<Server>& server,
                                http::HttpServer::Ticket ticket, const http::Message& request,
                                ServerFault fault) {
  base::Millis now = base::SteadyMillis();
  base::Millis work = WorkMs(request.Path());
  if (fault == ServerFault::kSlow) work += kSlowFaultMs;
  Execution execution;
  execution.attempt_id = *request.Find("Elderkeel-Attempt-Id");
  execution.server = server->id;
  execution.service = server->service;
  execution.method = request.method;
  execution.path = request.target;
  execution.began_at = now;
  execution.work_ends_at = now + work;
  execution.aborted_by_server = PreventsResponse(fault);
  size_t index = record_->Add(execution);
  server->executions[ticket] = index;
  if (fault == ServerFault::kHangs) return;
  std::weak_ptr<Server> weak = server;
  After(work, [this, weak, index, ticket, fault, attempt_id = execution.attempt_id] {
    auto running = weak.lock();
    if (!running || !running->http) return;
    running->executions.erase(ticket);
    SendResponse(running.get(), ticket, attempt_id, fault);
    if (!PreventsResponse(fault)) record_->OnResponded(index, base::SteadyMillis());
  });
}

void SimulatedPlatform::SendResponse(Server* server, http::HttpServer::Ticket ticket,
                                     const std::string& attempt_id, ServerFault fault) {
  if (fault == ServerFault::kResetsBeforeResponse) {
    server->http->Reset(ticket);
    return;
  }
  bool other = fault == ServerFault::kSendsOtherResponse;
  std::string id = other ? "x" + attempt_id : attempt_id;
  http::Message answer = MakeResponse(fault == ServerFault::kServerError ? 500 : 200, BodyOf(id));
  answer.headers.push_back({"Elderkeel-Attempt-Id", id});
  answer.headers.push_back({"Elderkeel-Server-Seal", SealOf(id, server->id)});
  if (fault == ServerFault::kDuplicatesResponse) {
    std::string duplicate = "HTTP/1.1 200 OK\r\nElderkeel-Attempt-Id: " + id +
                            "\r\nElderkeel-Server-Seal: " + SealOf(id, server->id) +
                            "\r\nContent-Length: " + std::to_string(answer.body.size()) +
                            "\r\n\r\n" + answer.body;
    server->http->BeginResponse(ticket, answer, static_cast<int64_t>(answer.body.size()));
    server->http->WriteBody(ticket, answer.body + duplicate);
    server->http->EndResponse(ticket);
    return;
  }
  if (fault != ServerFault::kResetsMidBody) {
    server->http->Respond(ticket, answer);
    return;
  }
  server->http->BeginResponse(ticket, answer, static_cast<int64_t>(answer.body.size()));
  server->http->WriteBody(ticket, answer.body.substr(0, answer.body.size() / 2));
  After(kMidBodyResetDelayMs, [this, ticket, id = server->id] {
    auto found = servers_.find(id);
    if (found != servers_.end() && found->second->http) found->second->http->Reset(ticket);
  });
}

base::Address SimulatedPlatform::AllocateAddress(const std::string& service) {
  base::Millis now = base::SteadyMillis();
  for (auto free = free_addresses_.begin(); unsound_ && free != free_addresses_.end(); ++free) {
    if (free->service == service || free->free_at > now) continue;
    base::Address address = free->address;
    free_addresses_.erase(free);
    return address;
  }
  return addresses_.Server(next_address_++);
}

void SimulatedPlatform::DrainOne(const std::string& zone) {
  Post([this, zone] {
    std::vector<std::shared_ptr<Server>> active = ActiveServers(zone);
    if (active.empty()) return;
    std::string id = active[0]->id, service = active[0]->service;
    active[0]->draining = true;
    record_->Add(Disturbance{Disturbance::Kind::kServerDrains, id, base::SteadyMillis(), ""});
    After(kDrainMs, [this, id] { RemoveServer(id); });
    AddServer(service, zone, kWarmupMs);
  });
}

void SimulatedPlatform::ReuseAddress(const std::string& zone) {
  Post([this, zone] {
    std::vector<std::shared_ptr<Server>> active = ActiveServers(zone);
    if (active.empty()) return;
    std::string other_service = active[0]->service == "reading" ? "writing" : "reading";
    std::string other_zone = zone == "z0" ? "z1" : "z0";
    RemoveServer(active[0]->id);
    // Keeps AllocateAddress() from giving the address to another server meanwhile.
    free_addresses_.pop_back();
    After(kAddressReuseDelayMs, [this, other_service, other_zone, address = active[0]->address] {
      AddServer(other_service, other_zone, address, 0);
    });
  });
}

std::vector<std::shared_ptr<SimulatedPlatform::Server>> SimulatedPlatform::ActiveServers(
    const std::string& zone) const {
  std::vector<std::shared_ptr<Server>> active;
  for (const auto& [id, server] : servers_) {
    if (server->zone == zone && !server->draining && server->listening) active.push_back(server);
  }
  return active;
}

void SimulatedPlatform::ReplaceZoneWithSlowStart(const std::string& zone) {
  Post([this, zone] {
    for (const std::shared_ptr<Server>& server : ActiveServers(zone)) {
      RemoveServer(server->id);
      AddServer(server->service, zone, kWarmupMs);
    }
  });
}

void SimulatedPlatform::CutPlatform(bool cut) {
  Post([this, cut] {
    cut_ = cut;
    slow_until_ = cut ? INT64_MAX : base::SteadyMillis() + kSlowAfterCutMs;
    record_->Add(
        Disturbance{cut ? Disturbance::Kind::kPlatformCut : Disturbance::Kind::kPlatformHealed,
                    "platform", base::SteadyMillis(), ""});
  });
}

}  // namespace elderkeel::soak
