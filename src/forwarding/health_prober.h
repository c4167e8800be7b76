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

// Probes the ejected servers that the load balancer returns as due, and passes it the results.
class HealthProber {
 public:
  // Called after the result of each probe that was sent, with the server's service.
  using Done = std::function<void(uint32_t service)>;

  // `loop`, `balancer` and `recorder` must outlive this object.
  HealthProber(base::Loop* loop, LoadBalancer* balancer, telemetry::Recorder* recorder, Done done)
      : loop_(loop), balancer_(balancer), recorder_(recorder), done_(std::move(done)) {}

  // Starts the probes that are due. `table` is the routing table in force, or null before the first
  // one. A probe fails at once if the table lacks the server's service.
  void Tick(base::Millis now, const configuration::RoutingTable* table);

 private:
  void Probe(uint32_t server, const configuration::RoutingTable* table);
  void OnOutcome(uint32_t server, const http::HttpConnection::Outcome& outcome);

  base::Loop* loop_;
  LoadBalancer* balancer_;
  telemetry::Recorder* recorder_;
  Done done_;
  std::unordered_map<uint32_t, std::unique_ptr<http::HttpCall>> probes_;  // in flight, by server
};

}  // namespace elderkeel::forwarding
