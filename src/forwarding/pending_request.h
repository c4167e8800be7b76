#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/loop.h"
#include "configuration/routing_table.h"
#include "forwarding/attempt_log.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "telemetry/recorder.h"

namespace elderkeel::forwarding {

// One attempt of a request that is in flight.
struct Attempt {
  uint64_t id = 0;       // of all attempts of this process
  size_t log_entry = 0;  // in the request's AttemptLog
  uint32_t server = 0;
  base::Millis sent_at = 0;
  base::Millis late_after = 0;  // how long it may take without being late
  bool timed = false;           // its time says something of its server's version
  std::unique_ptr<http::HttpConnection> connection;
};

// A request that a client waits for, from its head on until its final answer.
struct PendingRequest {
  PendingRequest(bool idempotent, int max_attempts) : attempt_log(idempotent, max_attempts) {}

  http::HttpServer::Ticket ticket = 0;
  http::Message request;
  std::shared_ptr<const configuration::RoutingTable> table;  // pinned when the head was read
  const configuration::Route* route = nullptr;               // of that table
  uint32_t route_index = 0;
  uint32_t service = 0;
  std::string attempt_id;  // as the client sent it
  int64_t arrived_ns = 0;
  base::Millis deadline = 0;
  base::Millis wait_until = 0;  // when waiting for a server ends
  base::Millis hedge_at = 0;    // when a hedged attempt is due; 0 for never
  bool queued = false;
  int64_t waited_ns = 0;  // before its first attempt

  AttemptLog attempt_log;
  std::vector<Attempt> attempts;  // those in flight
  std::vector<uint32_t> tried;    // servers
  uint64_t streaming = 0;         // the attempt whose answer is passed on as it comes; 0 for none
  std::unique_ptr<http::Message> server_failure;  // a server's own, if nothing better comes
  uint32_t last_server = UINT32_MAX;
  telemetry::Step last_step = telemetry::Step::kNone;
  std::string last_reason;
  base::Timer timer;
};

}  // namespace elderkeel::forwarding
