#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "base/loop.h"
#include "configuration/routing_table.h"
#include "forwarding/load_balancer.h"
#include "http/http_client.h"
#include "telemetry/recorder.h"

namespace elderkeel::forwarding {

// Probes ejected servers when the load balancer asks for it, and hands it the results.
class HealthProber {
 public:
  // Called after each result, with the server's service.
  using Done = std::function<void(uint32_t service)>;

  // All outlive this object.
  HealthProber(base::Loop* loop, LoadBalancer* balancer, telemetry::Recorder* recorder, Done done)
      : loop_(loop), balancer_(balancer), recorder_(recorder), done_(std::move(done)) {}

  // Begins the probes that are due; `table`: the one in force, null before the first.
  void Tick(base::Millis now, const configuration::RoutingTable* table);

 private:
  void Probe(uint32_t server, const configuration::RoutingTable* table);
  void OnOutcome(uint32_t server, const http::HttpConnection::Outcome& outcome);

  base::Loop* loop_;
  LoadBalancer* balancer_;
  telemetry::Recorder* recorder_;
  Done done_;
  std::unordered_map<uint32_t, std::unique_ptr<http::HttpCall>> probes_;  // by server
};

}  // namespace elderkeel::forwarding
