#include "forwarding/connection_pool.h"

#include <algorithm>
#include <utility>

namespace elderkeel::forwarding {
namespace {

constexpr base::Millis kDefaultKeepAliveMs = 8000;  // for servers that state no keep-alive time
// A non-idempotent request doesn't use a connection that has been idle for longer than the first
// limit or half of the keep-alive time, as the server may be closing it, nor one idle for less than
// the second limit, as bytes of an earlier answer may still arrive on it.
constexpr base::Millis kMaxIdleForNonIdempotentMs = 300;
constexpr base::Millis kMinIdleForNonIdempotentMs = 15;
constexpr size_t kMaxHeaderBytes = 64 << 10;
// Part of a server's connections that all proxies together use; the rest is for proxies that have
// just started and aren't counted yet.
constexpr double kUsableConnectionsShare = 0.8;
constexpr double kMinConnectionsPerServer = 2;
constexpr size_t kUnknownServiceMaxConnections = 4;

base::Millis KeepAliveMs(const http::HttpConnection& connection) {
  return connection.keep_alive_ms() > 0 ? connection.keep_alive_ms() : kDefaultKeepAliveMs;
}

}  // namespace

ConnectionPool::ServerPool& ConnectionPool::PoolOf(uint32_t server) {
  if (server >= pools_.size()) pools_.resize(server + 1);
  return pools_[server];
}

ConnectionPool::Connection ConnectionPool::TakeIdle(uint32_t server, bool idempotent) {
  std::vector<Connection>& idle = PoolOf(server).idle;
  base::Millis now = base::SteadyMillis();
  for (size_t i = idle.size(); i-- > 0;) {
    base::Millis max_idle_ms = std::min(KeepAliveMs(*idle[i]) / 2, kMaxIdleForNonIdempotentMs);
    base::Millis idle_ms = now - idle[i]->idle_since();
    if (!idempotent && (idle_ms > max_idle_ms || idle_ms < kMinIdleForNonIdempotentMs)) continue;
    Connection connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<long>(i));
    if (connection->Usable()) return connection;
    Discard(server, std::move(connection));
  }
  return nullptr;
}

size_t ConnectionPool::MaxConnections(const configuration::Service* service) const {
  if (!service) return kUnknownServiceMaxConnections;
  double share = service->max_conns * kUsableConnectionsShare / static_cast<double>(proxies_);
  return static_cast<size_t>(std::max(kMinConnectionsPerServer, share));
}

ConnectionPool::Connection ConnectionPool::Acquire(uint32_t server,
                                                   const configuration::Service* service,
                                                   bool idempotent) {
  if (Connection connection = TakeIdle(server, idempotent)) return connection;
  ServerPool& pool = PoolOf(server);
  if (pool.open >= MaxConnections(service)) {
    if (pool.idle.empty()) return nullptr;
    Discard(server, std::move(pool.idle.front()));
    pool.idle.erase(pool.idle.begin());
  }
  http::Limits limits;
  limits.header_bytes = kMaxHeaderBytes;
  limits.body_bytes = static_cast<size_t>(settings_->max_buffered_body_bytes);
  ++pool.open;
  return std::make_unique<http::HttpConnection>(loop_, balancer_->at(server).address,
                                                settings_->connect_ms, limits);
}

void ConnectionPool::Release(uint32_t server, Connection connection) {
  const ServerState& state = balancer_->at(server);
  bool excluded = state.version_role == ServerState::VersionRole::kExcluded;
  if (connection->closed() || !state.listed || state.draining || excluded) {
    Discard(server, std::move(connection));
    return;
  }
  connection->OnIdleClosed(
      [this, server, lost = connection.get()] { OnIdleConnectionLost(server, lost); });
  PoolOf(server).idle.push_back(std::move(connection));
}

void ConnectionPool::OnIdleConnectionLost(uint32_t server, const http::HttpConnection* lost) {
  std::vector<Connection>& idle = PoolOf(server).idle;
  auto found = std::find_if(idle.begin(), idle.end(),
                            [lost](const Connection& kept) { return kept.get() == lost; });
  if (found == idle.end()) return;
  Connection connection = std::move(*found);
  idle.erase(found);
  Discard(server, std::move(connection));
}

void ConnectionPool::Discard(uint32_t server, Connection connection) {
  if (!connection) return;
  --PoolOf(server).open;
  std::shared_ptr<http::HttpConnection> discarded(std::move(connection));
  loop_->Defer([discarded] {});
}

void ConnectionPool::CloseIdle(uint32_t server) {
  if (server >= pools_.size()) return;
  std::vector<Connection> idle = std::move(pools_[server].idle);
  pools_[server].idle.clear();
  for (Connection& connection : idle) Discard(server, std::move(connection));
}

void ConnectionPool::CloseExpired(base::Millis now) {
  for (uint32_t server = 0; server < pools_.size(); ++server) {
    std::vector<Connection>& idle = pools_[server].idle;
    for (size_t i = 0; i < idle.size();) {
      bool expired = now - idle[i]->idle_since() > KeepAliveMs(*idle[i]) * 9 / 10;
      if (!idle[i]->closed() && !expired) {
        ++i;
        continue;
      }
      Connection old = std::move(idle[i]);
      idle.erase(idle.begin() + static_cast<long>(i));
      Discard(server, std::move(old));
    }
  }
}

}  // namespace elderkeel::forwarding
