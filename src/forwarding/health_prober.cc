#include "forwarding/health_prober.h"

#include <algorithm>
#include <string>
#include <utility>

#include "forwarding/protocol_headers.h"

namespace elderkeel::forwarding {
namespace {
constexpr base::Millis kTimeoutMs = 1000;     // of a complete probe
constexpr size_t kMaxHeaderBytes = 64 << 10;  // of a probe's answer
}  // namespace

void HealthProber::Tick(base::Millis now, const configuration::RoutingTable* table) {
  for (uint32_t server : balancer_->DueProbes(now)) Probe(server, table);
}

void HealthProber::Probe(uint32_t server, const configuration::RoutingTable* table) {
  const ServerState& state = balancer_->at(server);
  const configuration::Service* service = table ? table->service(state.service) : nullptr;
  if (!service) {
    balancer_->OnProbeResult(base::SteadyMillis(), server, false);
    return;
  }
  http::Limits limits;
  limits.header_bytes = kMaxHeaderBytes;
  auto call = std::make_unique<http::HttpCall>(loop_, state.address, kTimeoutMs, limits);
  std::string bytes = "GET " + service->health_path +
                      " HTTP/1.1\r\nHost: " + state.address.ToString() + "\r\n" +
                      kExpectedServerHeader + ": " + state.id + "\r\nConnection: close\r\n\r\n";
  call->Start(std::move(bytes), [this, server](http::HttpConnection::Outcome&& outcome) {
    OnOutcome(server, outcome);
  });
  probes_[server] = std::move(call);
}

void HealthProber::OnOutcome(uint32_t server, const http::HttpConnection::Outcome& outcome) {
  const http::Message& answer = outcome.response;
  const std::string* id = answer.Find(kServerIdHeader);
  bool healthy = outcome.ending == http::HttpConnection::Result::kResponse &&
                 answer.status == 200 && id && *id == balancer_->at(server).id;
  base::Millis now = base::SteadyMillis();
  if (const std::string* left = answer.Find(kWarmupHeader); healthy && left) {
    balancer_->ExtendSlowStart(now, server, std::max<int64_t>(0, http::ParseDecimal(*left)));
  }
  balancer_->OnProbeResult(now, server, healthy);
  telemetry::ControlRecord record;
  record.type = telemetry::ControlRecord::EventType::kProbe;
  record.server = server;
  record.healthy = healthy;
  recorder_->Control(record);
  // This may run within a callback of the call itself, which must not be destroyed before that
  // returns.
  std::shared_ptr<http::HttpCall> finished_call(std::move(probes_[server]));
  probes_.erase(server);
  loop_->Defer([finished_call] {});
  done_(balancer_->at(server).service);
}

}  // namespace elderkeel::forwarding
