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

// Keeps connections to servers open between requests, for RequestRouter.
//
// Invariant: opening a connection never raises the number of connections to its server, busy ones
// included, above this proxy's share of the service's `max-conns` (at least two).
class ConnectionPool {
 public:
  using Connection = std::unique_ptr<http::HttpConnection>;

  // All arguments must outlive this object.
  ConnectionPool(base::Loop* loop, const base::Settings* settings, const LoadBalancer* balancer)
      : loop_(loop), settings_(settings), balancer_(balancer) {}

  // Sets how many proxies share the servers' connections. REQUIRES: proxies >= 1.
  void SetProxies(size_t proxies) { proxies_ = proxies; }

  // Returns a connection for one request, idle or new; null if the limit is reached. `service` is
  // the server's, null if the configuration doesn't contain it. `idempotent`: whether the request
  // may be executed more than once.
  Connection Acquire(uint32_t server, const configuration::Service* service, bool idempotent);
  // Takes back a connection whose request has ended. Keeps it as idle, or discards it if it is
  // closed or if its server is unlisted, draining or excluded by its version.
  void Release(uint32_t server, Connection connection);
  // Closes a connection. Its destruction is deferred: a callback of it may be on the stack.
  void Discard(uint32_t server, Connection connection);
  // Closes the idle connections to one server.
  void CloseIdle(uint32_t server);
  // Closes connections that have been idle for nearly the server's keep-alive time.
  void CloseExpired(base::Millis now);

 private:
  struct ServerPool {
    std::vector<Connection> idle;  // most recently used last
    size_t open = 0;               // idle and busy
  };
  ServerPool& PoolOf(uint32_t server);
  Connection TakeIdle(uint32_t server, bool idempotent);
  size_t MaxConnections(const configuration::Service* service) const;
  void OnIdleConnectionLost(uint32_t server, const http::HttpConnection* lost);

  base::Loop* loop_;
  const base::Settings* settings_;
  const LoadBalancer* balancer_;
  size_t proxies_ = 1;
  std::vector<ServerPool> pools_;  // by server index
};

}  // namespace elderkeel::forwarding
