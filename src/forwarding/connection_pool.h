#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/loop.h"
#include "base/settings.h"
#include "configuration/routing_table.h"
#include "forwarding/load_balancer.h"
#include "http/http_client.h"

namespace elderkeel::forwarding {

// Connections to servers, kept while idle and used again. All connections to one server, busy ones
// included, stay within this proxy's share of what the service's configuration allows.
class ConnectionPool {
 public:
  using Connection = std::unique_ptr<http::HttpConnection>;

  // All outlive this object.
  ConnectionPool(base::Loop* loop, const base::Settings* settings, const LoadBalancer* balancer)
      : loop_(loop), settings_(settings), balancer_(balancer) {}

  // How many proxies share the servers.
  void SetProxies(size_t proxies) { proxies_ = proxies; }

  // A connection for one request; null if there may be no more. `service`: of the server, null if
  // the configuration does not know it. `idempotent`: the request may be repeated.
  Connection Acquire(uint32_t server, const configuration::Service* service, bool idempotent);
  // Keeps a connection whose request has been answered, if it can be used again.
  void Release(uint32_t server, Connection connection);
  // Closes a connection. It may be on the stack of its own callback.
  void Discard(uint32_t server, Connection connection);
  // Closes what lies idle to one server.
  void CloseIdle(uint32_t server);
  // Closes what has been idle for nearly as long as its server keeps it.
  void CloseExpired(base::Millis now);

 private:
  struct ServerPool {
    std::vector<Connection> idle;  // the last used at the back
    size_t open = 0;               // busy ones included
  };
  ServerPool& Of(uint32_t server);
  Connection TakeIdle(uint32_t server, bool idempotent);
  size_t MaxConnections(const configuration::Service* service) const;
  void OnIdleLost(uint32_t server, const http::HttpConnection* lost);

  base::Loop* loop_;
  const base::Settings* settings_;
  const LoadBalancer* balancer_;
  size_t proxies_ = 1;
  std::vector<ServerPool> pools_;  // by server
};

}  // namespace elderkeel::forwarding
