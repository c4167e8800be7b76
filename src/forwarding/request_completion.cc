// RequestRouter: final answers, and the removal of requests.

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "forwarding/protocol_headers.h"
#include "forwarding/request_router.h"

namespace elderkeel::forwarding {
namespace {

using http::Message;
using telemetry::Step;

}  // namespace

void RequestRouter::FailRequest(PendingRequest* pending, const Cause& cause, bool deadline) {
  if (pending->streaming_attempt != 0) {
    Record(*pending, 0, cause, true);
    server_.Reset(pending->ticket);
    Erase(pending);
    return;
  }
  // An attempt in flight is pending in the log and rules out 503: its server may still execute it.
  int status = deadline ? 504 : 502;
  if (pending->attempt_log.IsCertainlyNotExecuted()) status = 503;
  Message answer = http::OwnAnswer(status, cause.reason);
  if (status == 503) answer.headers.push_back({"Retry-After", kRetryAfterSeconds});
  Finish(pending, answer, cause, true);
}

void RequestRouter::Finish(PendingRequest* pending, const Message& answer, const Cause& cause,
                           bool failed) {
  Record(*pending, answer.status, cause, failed);
  server_.Respond(pending->ticket, answer);
  Erase(pending);
}

void RequestRouter::Record(const PendingRequest& pending, int status, const Cause& cause,
                           bool failed) {
  telemetry::RequestRecord record;
  record.SetAttempt(pending.attempt_id);
  record.SetReason(cause.reason);
  record.revision = pending.table->revision();
  record.route = pending.route_index;
  record.service = pending.service;
  record.server = pending.last_server;
  if (pending.last_server != LoadBalancer::kNoServer) {
    record.version = balancer_.at(pending.last_server).version;
  }
  record.total_us = static_cast<uint32_t>((base::SteadyNanos() - pending.arrived_ns) / 1000);
  record.waited_us = static_cast<uint32_t>(pending.waited_ns / 1000);
  record.status = static_cast<uint16_t>(status);
  record.sends = static_cast<uint8_t>(pending.attempt_log.attempts());
  record.step = cause.step;
  recorder_->Request(record, failed);
}

void RequestRouter::Erase(PendingRequest* pending) {
  if (pending->queued) queue_.Remove(pending);
  bool had_attempts = !pending->attempts.empty();
  uint32_t service = pending->service;
  AbandonAttempts(pending);
  pending->timer.Cancel();
  auto found = requests_.find(pending->ticket);
  // Destruction is deferred: a callback of the request's timer may be on the stack.
  std::shared_ptr<PendingRequest> erased(std::move(found->second));
  requests_.erase(found);
  loop_->Defer([erased] {});
  if (had_attempts) PumpQueue(service);
}

void RequestRouter::OnClientDisconnected(Ticket ticket) {
  PendingRequest* pending = Find(ticket);
  if (!pending) return;
  Record(*pending, 0, {Step::kClient, "the client disconnected"}, true);
  Erase(pending);
}

void RequestRouter::FailUnanswered() {
  FailInFlight([](const PendingRequest& pending) { return pending.streaming_attempt == 0; });
}

bool RequestRouter::FailAll() {
  return FailInFlight([](const PendingRequest&) { return true; });
}

bool RequestRouter::FailInFlight(const std::function<bool(const PendingRequest&)>& predicate) {
  std::vector<Ticket> queued, sent;
  for (const auto& [ticket, pending] : requests_) {
    if (predicate(*pending)) (pending->queued ? queued : sent).push_back(ticket);
  }
  // Queued requests first: otherwise they would be sent as soon as the others free capacity.
  for (const std::vector<Ticket>& tickets : {queued, sent}) {
    for (Ticket ticket : tickets) {
      // Failing one request may close its connection and so erase the others on it.
      if (PendingRequest* pending = Find(ticket)) {
        FailRequest(pending, {Step::kDeadline, kShuttingDown}, false);
      }
    }
  }
  return !queued.empty() || !sent.empty();
}

}  // namespace elderkeel::forwarding
