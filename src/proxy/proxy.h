#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "base/loop.h"
#include "base/settings.h"
#include "cluster/cluster_node.h"
#include "diagnosis/diagnosis.h"
#include "forwarding/request_router.h"
#include "http/http_server.h"
#include "lifecycle/lifecycle.h"
#include "proxy/fallback_reader.h"
#include "proxy/rollout_reporter.h"
#include "proxy/shutdown.h"
#include "proxy/startup_confirmation.h"
#include "telemetry/recorder.h"

namespace elderkeel::proxy {

// The process of the data plane. It creates the router, the cluster node and their helpers,
// connects them, passes messages and ticks to them, answers readiness checks, and carries out the
// graceful shutdown. Runs on the event loop's thread.
class Proxy {
 public:
  Proxy(base::Loop* loop, base::Settings settings, std::string settings_path);
  ~Proxy();

  // Opens the listeners and starts all parts. Fails if an address can't be listened on.
  base::Status Start();
  // Begins a graceful shutdown, as on SIGTERM. The event loop stops when it is complete. Further
  // calls have no effect.
  void Terminate();

 private:
  // Parts of Start().
  void MakeRouter();
  void MakeNode();
  base::Status StartReadinessServer();
  std::unique_ptr<telemetry::Sink> MakeSink() const;

  void ApplyConfiguration();
  void OnNodesChanged();
  void OnMessage(const base::Address& from, transport::MessageKind kind, std::string_view payload);
  void OnQuery(const base::Address& from, const diagnosis::Query& query);
  diagnosis::Reply DescribeState(uint64_t nonce) const;
  http::Message AnswerReadiness(const http::Message& request) const;
  void Tick();
  // Carries out the current phase of the shutdown, and schedules itself for the next one.
  void RunShutdownPhase();

  base::Loop* loop_;
  base::Settings settings_;
  std::string settings_path_;
  lifecycle::Lifecycle lifecycle_;
  std::unique_ptr<telemetry::Recorder> recorder_;
  std::unique_ptr<forwarding::RequestRouter> router_;
  std::unique_ptr<cluster::ClusterNode> node_;
  std::unique_ptr<StartupConfirmation> confirmation_;
  std::unique_ptr<FallbackReader> fallback_reader_;
  std::unique_ptr<RolloutReporter> rollout_reporter_;
  std::unique_ptr<http::HttpServer> readiness_server_;
  bool nodes_changed_ = true;  // since the router's view of the nodes was updated
  base::Timer tick_timer_;
  ShutdownLog shutdown_log_;
  base::Timer shutdown_timer_;
};

}  // namespace elderkeel::proxy
