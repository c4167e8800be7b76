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

// The loopback addresses of everything that listens in one run. Each run number has addresses of
// its own, so that several soaks can run at once.
struct Addresses {
  explicit Addresses(int run);
  std::string Ip(int number) const;
  base::Address Control(int controller) const { return {Ip(1 + controller), base_port}; }
  base::Address ProxyListener(int proxy) const { return {Ip(50 + proxy), uint16_t(base_port + 1)}; }
  base::Address Readiness(int proxy) const { return {Ip(50 + proxy), uint16_t(base_port + 2)}; }
  // The platform's list has one address for the controllers and one for the proxies, so that one
  // side can be cut off alone.
  base::Address PlatformOfControllers() const { return {Ip(250), base_port}; }
  base::Address PlatformOfProxies() const { return {Ip(251), base_port}; }
  base::Address Server(int number) const {
    return {"127.2." + std::to_string(run) + "." + std::to_string(1 + number % 250),
            uint16_t(base_port + 3 + number / 250)};
  }
  int run;
  uint16_t base_port;
};

// Simulates the platform's server list and the servers on it, on a thread of its own with an event
// loop. A server works on a request for the time that the request's path gives, also after the
// caller has disconnected; with `Options::unsound` servers have faults. The public functions are
// called on the main thread and post their work to the loop; they don't wait for it.
class SimulatedPlatform {
 public:
  SimulatedPlatform(const Options& options, const Addresses& addresses, Record* record);
  ~SimulatedPlatform();

  // Starts the list and six warm servers of each service: "reading" in z0 and "writing" in z1.
  void Start();
  // Lists one server of the zone as draining and starts a replacement in slow start. The draining
  // server serves requests for another 14 s and then ends.
  void DrainOne(const std::string& zone);
  // Ends a server of the zone without a drain; 2 s later a server of the other service, in the
  // other zone, starts at its address.
  void ReuseAddress(const std::string& zone);
  // Replaces all servers of the zone that don't drain by new ones in slow start.
  void ReplaceZoneWithSlowStart(const std::string& zone);
  // The thread that runs the platform and the servers.
  pid_t thread_id() const { return thread_id_; }
  // While cut, the platform answers controllers with 503. Its answers to proxies are delayed by
  // 0.9 s from the start of the cut until 2 s after its end.
  void CutPlatform(bool cut);

 private:
  struct Server;
  void Run();
  void Post(std::function<void()> work);
  // Starts a server at an address from AllocateAddress(), or at `address`. A positive `warmup_ms`
  // is the duration of its slow start.
  void AddServer(const std::string& service, const std::string& zone, base::Millis warmup_ms);
  void AddServer(const std::string& service, const std::string& zone, const base::Address& address,
                 base::Millis warmup_ms);
  // The servers of the zone that neither drain nor have ended.
  std::vector<std::shared_ptr<Server>> ActiveServers(const std::string& zone) const;
  // Ends a server at once; the list shows it for another 300 ms.
  void RemoveServer(const std::string& id);
  std::unique_ptr<http::HttpServer> MakePlatform(bool of_proxies);
  http::Message ListPage(const http::Message& request) const;
  void OnRequest(const std::shared_ptr<Server>& server, http::HttpServer::Ticket ticket,
                 const http::Message& request);
  // Records the execution and responds when its work is done, as `fault` specifies.
  void Execute(const std::shared_ptr<Server>& server, http::HttpServer::Ticket ticket,
               const http::Message& request, ServerFault fault);
  void SendResponse(Server* server, http::HttpServer::Ticket ticket, const std::string& attempt_id,
                    ServerFault fault);
  // A new address or, with `Options::unsound`, that of an ended server of another service if one is
  // free.
  base::Address AllocateAddress(const std::string& service);
  // Calls `work` on the loop after `wait`.
  void After(base::Millis wait, std::function<void()> work);

  Addresses addresses_;
  Record* record_;
  std::thread thread_;
  std::atomic<pid_t> thread_id_{0};  // set before loop_
  std::atomic<base::Loop*> loop_{nullptr};
  // The members below are accessed only on the thread of the loop, except for the constants and
  // initial values that the constructor sets.
  std::map<std::string, std::shared_ptr<Server>> servers_;
  std::unique_ptr<http::HttpServer> platform_of_controllers_, platform_of_proxies_;
  std::map<uint64_t, std::unique_ptr<base::Timer>> timers_;
  uint64_t next_timer_ = 1;
  int next_server_ = 0;
  int next_address_ = 0;
  const bool unsound_;
  const ServerFaults faults_;
  base::Millis began_at_ = 0;
  // Addresses of ended servers, the oldest first.
  struct FreeAddress {
    base::Address address;
    std::string service;
    base::Millis free_at;
  };
  std::deque<FreeAddress> free_addresses_;
  bool cut_ = false;             // for the controllers
  base::Millis slow_until_ = 0;  // for the proxies
};

}  // namespace elderkeel::soak
