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

// One attempt in flight.
struct Attempt {
  uint64_t id = 0;       // unique in this process
  size_t log_entry = 0;  // index in the request's AttemptLog
  uint32_t server = 0;
  base::Millis sent_at = 0;
  base::Millis late_after_ms = 0;  // duration; an attempt that takes longer counts as late
  bool counts_latency = false;  // its latency counts for the server's version; false in slow start
  std::unique_ptr<http::HttpConnection> connection;
};

// A client's request, from its admission to its final answer.
struct PendingRequest {
  PendingRequest(bool idempotent, int max_attempts) : attempt_log(idempotent, max_attempts) {}

  http::HttpServer::Ticket ticket = 0;
  http::Message request;
  std::shared_ptr<const configuration::RoutingTable> table;  // in force at admission
  const configuration::Route* route = nullptr;               // owned by `table`
  uint32_t route_index = 0;
  uint32_t service = 0;
  std::string attempt_id;  // the client's Elderkeel-Attempt-Id
  int64_t arrived_ns = 0;
  base::Millis deadline = 0;
  base::Millis wait_until = 0;  // end of the time in the queue
  base::Millis hedge_at = 0;    // when a hedged attempt is due; 0 for never
  bool queued = false;
  int64_t waited_ns = 0;  // from arrival to the first attempt

  AttemptLog attempt_log;
  std::vector<Attempt> attempts;        // in flight
  std::vector<uint32_t> tried_servers;  // servers of all attempts so far
  uint64_t streaming_attempt = 0;  // id of the attempt whose answer is being streamed; 0 for none
  // A server's failure answer, passed on to the client if no attempt succeeds.
  std::unique_ptr<http::Message> server_failure;
  // For the request's record: the server of the attempt that was sent or ended last, and the step
  // and reason of the attempt that failed last.
  uint32_t last_server = UINT32_MAX;
  telemetry::Step last_step = telemetry::Step::kNone;
  std::string last_reason;
  base::Timer timer;  // for the earliest of deadline, wait_until and hedge_at
};

}  // namespace elderkeel::forwarding
