#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/loop.h"
#include "base/settings.h"
#include "http/http_server.h"
#include "soak/record.h"
#include "soak/schedule.h"
#include "soak/server_faults.h"

namespace elderkeel::soak {

// Where everything of one run listens, on loopback.
struct Addresses {
  explicit Addresses(int run);
  std::string Ip(int number) const;
  base::Address Control(int controller) const { return {Ip(1 + controller), base_port}; }
  base::Address Front(int proxy) const { return {Ip(50 + proxy), uint16_t(base_port + 1)}; }
  base::Address Readiness(int proxy) const { return {Ip(50 + proxy), uint16_t(base_port + 2)}; }
  // The platform, as the controllers and as the proxies reach it.
  base::Address PlatformOfControllers() const { return {Ip(250), base_port}; }
  base::Address PlatformOfProxies() const { return {Ip(251), base_port}; }
  base::Address Server(int number) const {
    return {"127.2." + std::to_string(run) + "." + std::to_string(1 + number % 250),
            uint16_t(base_port + 3 + number / 250)};
  }
  int run;
  uint16_t base_port;
};

// The platform's list and the servers on it, played on a thread of its own. Servers take the time
// that a request's path asks for and go on with it though the caller leaves; with
// `Options::unsound` they have faults.
class World {
 public:
  World(const Options& options, const Addresses& addresses, Record* record);
  ~World();

  // Begins with some sound servers of each service in each zone.
  void Start();
  // One server of the zone drains, serves on, ends, and another takes its place.
  void DrainOne(const std::string& zone);
  // A server of the zone crashes, and its address goes to a server of the other service.
  void ReuseAddress(const std::string& zone);
  // The servers of the zone end, and cold ones take their places.
  void ReplaceZoneCold(const std::string& zone);
  // Of the thread on which platform and servers run.
  pid_t thread_id() const { return thread_id_; }
  // Controllers get no answers of the platform; those to the proxies are slow.
  void CutPlatform(bool cut);

 private:
  struct Server;
  void Run();
  void Post(std::function<void()> work);
  // At an address as TakeAddress() chooses it; at that one.
  void AddServer(const std::string& service, const std::string& zone, base::Millis cold_ms);
  void AddServer(const std::string& service, const std::string& zone, const base::Address& address,
                 base::Millis cold_ms);
  // The servers of the zone that neither drain nor have ended.
  std::vector<std::shared_ptr<Server>> Serving(const std::string& zone) const;
  void RemoveServer(const std::string& id);
  std::unique_ptr<http::HttpServer> MakePlatform(bool of_proxies);
  http::Message ListPage(const http::Message& request) const;
  void OnRequest(const std::shared_ptr<Server>& server, http::HttpServer::Ticket ticket,
                 const http::Message& request);
  // Notes the run, and answers when its work is done, as the fault says.
  void RunRequest(const std::shared_ptr<Server>& server, http::HttpServer::Ticket ticket,
                  const http::Message& request, ServerFault fault);
  void GiveAnswer(Server* server, http::HttpServer::Ticket ticket, const std::string& attempt_id,
                  ServerFault fault);
  // A new one or, where servers are unsound, at times that of an ended server of another service.
  base::Address TakeAddress(const std::string& service);
  void After(base::Millis wait, std::function<void()> work);

  Addresses addresses_;
  Record* record_;
  std::thread thread_;
  std::atomic<pid_t> thread_id_{0};  // known once loop_ is
  std::atomic<base::Loop*> loop_{nullptr};
  // On the thread of the loop from here on.
  std::map<std::string, std::shared_ptr<Server>> servers_;
  std::unique_ptr<http::HttpServer> platform_of_controllers_, platform_of_proxies_;
  std::map<uint64_t, std::unique_ptr<base::Timer>> timers_;
  uint64_t next_timer_ = 1;
  int next_server_ = 0;
  int next_address_ = 0;
  const bool unsound_;
  const ServerFaults faults_;
  base::Millis began_at_ = 0;
  // Of servers that have ended, the oldest first.
  struct FreeAddress {
    base::Address address;
    std::string service;
    base::Millis free_at;
  };
  std::deque<FreeAddress> free_addresses_;
  bool cut_ = false;
  base::Millis slow_until_ = 0;
};

}  // namespace elderkeel::soak
