// RequestRouter: attempts, retries, hedges, and the queue.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "forwarding/protocol_headers.h"
#include "forwarding/request_router.h"
#include "forwarding/server_messages.h"

namespace elderkeel::forwarding {
namespace {

using http::Message;
using telemetry::Step;

constexpr base::Millis kMinRemainingMs = 2;  // with less, an attempt can't succeed in time
// Bytes of a streamed answer that the client hasn't taken, from which on reading is paused.
constexpr size_t kMaxUnsentBytes = 256 << 10;
constexpr double kMeanLatencyWeight = 0.05;  // of one latency in its route's mean
// Multiples of the route's mean latency: an attempt that takes longer than the first is late; a
// hedge is due after the second, or after half of the route's target latency if that is longer.
constexpr double kLateFactor = 3.2;
constexpr double kHedgeFactor = 2;

// Returns the time from an attempt to its hedge.
base::Millis HedgeDelay(double mean_ms, const configuration::Route& route) {
  auto by_mean = static_cast<base::Millis>(mean_ms * kHedgeFactor);
  return std::max<base::Millis>(by_mean, route.target_latency_ms / 2);
}

// Removes the attempt at `position` from those in flight and returns it.
Attempt TakeAttempt(PendingRequest* pending, std::vector<Attempt>::iterator position) {
  Attempt attempt = std::move(*position);
  pending->attempts.erase(position);
  return attempt;
}

}  // namespace

uint32_t RequestRouter::ChooseServer(base::Millis now, const PendingRequest& pending) {
  LoadBalancer::Request request{pending.service, MeanLatencyMs(pending.route_index),
                                pending.route->idempotent, pending.tried_servers,
                                pending.route->regions};
  return version_routing_.ChooseServer(
      now, pending, [&](bool secondary) { return balancer_.Choose(now, request, secondary); });
}

void RequestRouter::Dispatch(PendingRequest* pending) {
  if (pending->deadline - base::SteadyMillis() < kMinRemainingMs) {
    FailRequest(pending, {Step::kDeadline, "too little time left for an attempt"}, true);
    return;
  }
  if (pending->attempt_log.arrivals() == 0) {
    DispatchFirst(pending);
  } else {
    Retry(pending);
  }
}

void RequestRouter::DispatchFirst(PendingRequest* pending) {
  base::Millis now = base::SteadyMillis();
  uint32_t server = ChooseServer(now, *pending);
  if (server != LoadBalancer::kNoServer && SendTo(pending, server)) return;
  if (!balancer_.HasUsable(pending->service, pending->route->regions)) {
    FailRequest(pending, {Step::kAdmission, "the service has no server"}, false);
  } else if (now >= pending->wait_until) {
    FailRequest(pending, {Step::kWait, "no server had capacity in time"}, false);
  } else {
    Enqueue(pending);
  }
}

// A retry is sent at once or not at all; it is never queued.
void RequestRouter::Retry(PendingRequest* pending) {
  uint32_t server = ChooseServer(base::SteadyMillis(), *pending);
  if (server == LoadBalancer::kNoServer || !retry_budget_.TryWithdraw(pending->service)) {
    HandleAttemptFailure(pending);
    return;
  }
  if (!SendTo(pending, server)) HandleAttemptFailure(pending);
}

bool RequestRouter::SendTo(PendingRequest* pending, uint32_t server) {
  const ServerState& state = balancer_.at(server);
  const configuration::Service* service = table_ ? table_->service(state.service) : nullptr;
  auto connection = connections_.Acquire(server, service, pending->route->idempotent);
  if (!connection) return false;
  base::Millis now = base::SteadyMillis();
  if (pending->queued) queue_.Remove(pending);
  if (pending->attempts.empty() && pending->waited_ns == 0) {
    pending->waited_ns = base::SteadyNanos() - pending->arrived_ns;
  }
  Attempt attempt;
  attempt.id = next_attempt_id_++;
  attempt.log_entry = pending->attempt_log.Begin();
  attempt.server = server;
  attempt.sent_at = now;
  attempt.late_after_ms =
      static_cast<base::Millis>(MeanLatencyMs(pending->route_index) * kLateFactor) + 1;
  attempt.counts_latency = now >= state.slow_start_until;
  version_routing_.OnAttemptBegun(server);
  pending->tried_servers.push_back(server);
  pending->last_server = server;
  balancer_.OnAttemptBegun(now, server);
  load_sharing_.OnAttemptBegun(now, state.service);
  StartAttempt(pending, attempt, connection.get());
  attempt.connection = std::move(connection);
  ScheduleHedge(pending, attempt);
  pending->attempts.push_back(std::move(attempt));
  ArmTimer(pending);
  return true;
}

void RequestRouter::StartAttempt(PendingRequest* pending, const Attempt& attempt,
                                 http::HttpConnection* connection) {
  Ticket ticket = pending->ticket;
  uint64_t id = attempt.id;
  connection->Expect(kAttemptIdHeader, pending->attempt_id);
  connection->OnUnmatchedResponse([this, ticket] {
    // The server answered an earlier request first. Its answer to this one may still follow, but an
    // idempotent request is hedged without waiting for it.
    PendingRequest* waiting = Find(ticket);
    if (!waiting || waiting->hedge_at == 0) return;
    waiting->hedge_at = base::SteadyMillis();
    ArmTimer(waiting);
  });
  connection->OnOversizedBody([this, ticket, id](const Message& so_far, int64_t length) {
    return StreamAnswer(ticket, id, so_far, length);
  });
  if (base::IsLogged(base::LogLevel::kDebug)) {
    base::Debug("attempt.sent", {{"attempt_id", pending->attempt_id},
                                 {"send", id},
                                 {"server", balancer_.at(attempt.server).id}});
  }
  std::string bytes = SerializeRequest(pending->request, balancer_.at(attempt.server).id,
                                       pending->deadline - base::SteadyMillis());
  connection->Send(
      std::move(bytes), pending->request.method == "HEAD",
      [this, ticket, id](Outcome&& outcome) { OnOutcome(ticket, id, std::move(outcome)); });
}

void RequestRouter::ScheduleHedge(PendingRequest* pending, const Attempt& attempt) {
  if (!settings_.hedging_enabled || !pending->route->idempotent || pending->hedge_at != 0) return;
  if (!pending->attempt_log.MayAttempt()) return;
  base::Millis after = HedgeDelay(MeanLatencyMs(pending->route_index), *pending->route);
  // An attempt at a secondary version, which may be one under trial, is hedged only once it counts
  // as late: an earlier hedge would hide how slow the version is.
  bool secondary =
      balancer_.at(attempt.server).version_role == ServerState::VersionRole::kSecondary;
  if (secondary) after = std::max(after, attempt.late_after_ms);
  pending->hedge_at = attempt.sent_at + after;
}

void RequestRouter::SendHedge(PendingRequest* pending) {
  pending->hedge_at = 0;
  if (pending->attempts.size() != 1 || !pending->attempt_log.MayAttempt()) return;
  uint32_t server = ChooseServer(base::SteadyMillis(), *pending);
  if (server == LoadBalancer::kNoServer || balancer_.at(server).in_flight > 0) return;
  if (!retry_budget_.TryWithdrawForHedge(pending->service)) return;
  if (!SendTo(pending, server)) retry_budget_.Refund(pending->service);
  pending->hedge_at = 0;
}

// Streams an answer that is too large to buffer to the client, no faster than the client reads it.
// From its first byte on no other attempt can replace it; if it is cut off, the client's connection
// is reset. Returns null if the answer may not be streamed.
http::HttpConnection::BodySink RequestRouter::StreamAnswer(Ticket ticket, uint64_t attempt,
                                                           const Message& so_far, int64_t length) {
  PendingRequest* pending = Find(ticket);
  if (!pending || !IsSuccess(so_far.status)) return nullptr;
  if (!FindAnswerFault(so_far, pending->attempt_id).empty()) return nullptr;
  if (!server_.BeginResponse(ticket, so_far, length)) return nullptr;
  pending->streaming_attempt = attempt;
  pending->hedge_at = 0;
  AbandonAttempts(pending, attempt);
  server_.WriteBody(ticket, so_far.body);
  return [this, ticket](std::string_view bytes) {
    server_.WriteBody(ticket, bytes);
    if (server_.Unsent(ticket) >= kMaxUnsentBytes) PauseAttempts(ticket, true);
  };
}

void RequestRouter::PauseAttempts(Ticket ticket, bool pause) {
  PendingRequest* pending = Find(ticket);
  if (!pending) return;
  for (Attempt& attempt : pending->attempts) attempt.connection->Pause(pause);
}

RequestRouter::AttemptResult RequestRouter::ClassifyOutcome(const PendingRequest& pending,
                                                            const Outcome& outcome) {
  using Result = http::HttpConnection::Result;
  if (outcome.ending == Result::kNotSent) {
    return {AttemptOutcome::kNotSent, Signal::kUnreachable, Step::kConnect, outcome.reason};
  }
  if (outcome.ending == Result::kBroken) {
    return {AttemptOutcome::kMaybeExecuted, Signal::kInvalidAnswer, Step::kAnswer, outcome.reason};
  }
  const Message& answer = outcome.response;
  if (IsMarkedNotExecuted(answer)) {
    Signal signal = answer.status == 421 ? Signal::kWrongServer : Signal::kOverloaded;
    std::string reason = "rejected by the server with " + std::to_string(answer.status);
    return {AttemptOutcome::kNotExecuted, signal, Step::kAnswer, std::move(reason)};
  }
  std::string fault = FindAnswerFault(answer, pending.attempt_id);
  if (!fault.empty()) {
    return {AttemptOutcome::kMaybeExecuted, Signal::kInvalidAnswer, Step::kAnswer,
            std::move(fault)};
  }
  return {};
}

void RequestRouter::EndAttempt(base::Millis now, PendingRequest* pending, Attempt* attempt,
                               const AttemptResult& result, int status) {
  using VersionOutcome = rollout::CanaryPolicy::Outcome;
  base::Millis took = now - attempt->sent_at;
  bool maybe_run = result.outcome == AttemptOutcome::kMaybeExecuted;
  bool run = result.outcome == AttemptOutcome::kExecuted;
  if (maybe_run) {
    connections_.Discard(attempt->server, std::move(attempt->connection));
    version_routing_.OnAttemptEnded(*pending, *attempt, VersionOutcome::kBroken, took);
  } else {
    connections_.Release(attempt->server, std::move(attempt->connection));
  }
  if (run) {
    bool failed = status / 100 == 5;
    version_routing_.OnAttemptEnded(
        *pending, *attempt, failed ? VersionOutcome::kFailed : VersionOutcome::kComplete, took);
  }
  balancer_.OnAttemptEnded(now, attempt->server, attempt->sent_at, result.signal,
                           run ? static_cast<double>(took) : -1,
                           MeanLatencyMs(pending->route_index));
  OnAttemptEnded(now, attempt->server);
  pending->attempt_log.End(attempt->log_entry, result.outcome);
}

void RequestRouter::OnAttemptEnded(base::Millis now, uint32_t server) {
  const ServerState& state = balancer_.at(server);
  load_sharing_.OnAttemptEnded(now, state.service);
  // The idle connections to an ejected server are likely to be broken too; a request sent on one
  // that hangs would get no answer and no error.
  if (state.ejected_until > 0) connections_.CloseIdle(server);
}

void RequestRouter::OnOutcome(Ticket ticket, uint64_t attempt_id, Outcome&& outcome) {
  PendingRequest* pending = Find(ticket);
  if (!pending) return;
  auto position =
      std::find_if(pending->attempts.begin(), pending->attempts.end(),
                   [&](const Attempt& in_flight) { return in_flight.id == attempt_id; });
  if (position == pending->attempts.end()) return;
  Attempt attempt = TakeAttempt(pending, position);
  pending->last_server = attempt.server;
  AttemptResult result = ClassifyOutcome(*pending, outcome);
  int status = outcome.response.status;
  const ServerState& state = balancer_.at(attempt.server);
  // Only attempts at the primary version count for the route's mean. Except at the start of a
  // promotion, that version gets most of the requests.
  bool counts = state.version_role == ServerState::VersionRole::kPrimary;
  base::Millis now = base::SteadyMillis();
  if (base::IsLogged(base::LogLevel::kDebug)) {
    base::Debug("attempt.ended", {{"attempt_id", pending->attempt_id},
                                  {"send", attempt.id},
                                  {"server", state.id},
                                  {"status", status},
                                  {"reason", result.reason}});
  }
  EndAttempt(now, pending, &attempt, result, status);
  uint32_t service = state.service;
  bool run = result.outcome == AttemptOutcome::kExecuted;
  if (pending->streaming_attempt == attempt.id) {
    FinishStream(pending, status, result);
  } else if (run && IsFinalStatus(status)) {
    if (IsSuccess(status) && counts) {
      double& mean_ms = MeanLatencyMs(pending->route_index);
      auto latency_ms = static_cast<double>(now - attempt.sent_at);
      mean_ms += kMeanLatencyWeight * (latency_ms - mean_ms);
    }
    bool success = IsSuccess(status);
    Finish(pending, outcome.response,
           {Step::kAnswer, success ? "" : "the server returned a non-2xx status"}, !success);
  } else {
    if (run) OnServerFailure(pending, outcome.response, &result);
    pending->last_step = result.step;
    pending->last_reason = result.reason;
    if (pending->attempt_log.MayAttempt() && pending->attempt_log.pending() == 0) {
      Dispatch(pending);
    } else {
      HandleAttemptFailure(pending);
    }
  }
  PumpQueue(service);
}

// Keeps the server's failure answer for the client in case no attempt succeeds. A status that means
// "not executed" isn't kept: the server didn't mark the answer so, and may have executed the
// request.
void RequestRouter::OnServerFailure(PendingRequest* pending, const Message& answer,
                                    AttemptResult* result) {
  result->reason = "the server returned status " + std::to_string(answer.status);
  if (!PromisesNotExecuted(answer.status)) {
    pending->server_failure = std::make_unique<Message>(answer);
  }
}

void RequestRouter::FinishStream(PendingRequest* pending, int status, const AttemptResult& result) {
  bool complete = result.outcome == AttemptOutcome::kExecuted;
  Record(*pending, complete ? status : 0, {Step::kAnswer, complete ? "" : result.reason},
         !complete);
  if (complete) {
    server_.EndResponse(pending->ticket);
  } else {
    server_.Reset(pending->ticket);
  }
  Erase(pending);
}

// Called when no further attempt is sent for now. If none is in flight either, the client gets the
// final answer: a server's failure answer if there was one, else one of the proxy's own.
void RequestRouter::HandleAttemptFailure(PendingRequest* pending) {
  if (pending->attempt_log.pending() > 0 || pending->queued) {
    ArmTimer(pending);
    return;
  }
  Cause cause{pending->last_step, pending->last_reason};
  if (pending->server_failure) {
    Message answer = std::move(*pending->server_failure);
    Finish(pending, answer, cause, true);
    return;
  }
  FailRequest(pending, cause, false);
}

void RequestRouter::AbandonAttempts(PendingRequest* pending, uint64_t except) {
  base::Millis now = base::SteadyMillis();
  std::vector<Attempt> attempts = std::move(pending->attempts);
  pending->attempts.clear();
  for (Attempt& attempt : attempts) {
    if (attempt.id == except) {
      pending->attempts.push_back(std::move(attempt));
      continue;
    }
    base::Millis took = now - attempt.sent_at;
    // An attempt abandoned after `late_after_ms` counts as one that was answered late.
    if (took > attempt.late_after_ms) {
      version_routing_.OnAttemptEnded(*pending, attempt, rollout::CanaryPolicy::Outcome::kComplete,
                                      took);
    }
    balancer_.OnAttemptAbandoned(now, attempt.server, attempt.sent_at,
                                 MeanLatencyMs(pending->route_index));
    connections_.Discard(attempt.server, std::move(attempt.connection));
    OnAttemptEnded(now, attempt.server);
  }
}

void RequestRouter::Enqueue(PendingRequest* pending) {
  if (!queue_.Add(pending)) {
    FailRequest(pending, {Step::kWait, "the service's request queue is full"}, false);
    return;
  }
  ArmTimer(pending);
}

void RequestRouter::PumpQueue(uint32_t service) {
  RequestQueue::Waiting* waiting = queue_.WaitingFor(service);
  if (!waiting) return;
  base::Millis now = base::SteadyMillis();
  for (auto next = waiting->begin(); next != waiting->end();) {
    PendingRequest* pending = *next++;
    uint32_t server = ChooseServer(now, *pending);
    if (server != LoadBalancer::kNoServer) {
      if (!SendTo(pending, server)) return;
      continue;
    }
    // The request stays queued. A later one may still find a server, unless this one could have
    // used any server: non-idempotent requests and those limited to regions can use fewer.
    if (pending->route->idempotent && pending->route->regions.empty()) return;
  }
}

void RequestRouter::PumpAllQueues() {
  for (uint32_t service = 0; service < queue_.services(); ++service) PumpQueue(service);
}

void RequestRouter::ArmTimer(PendingRequest* pending) {
  base::Millis next = pending->deadline;
  if (pending->queued) next = std::min(next, pending->wait_until);
  if (pending->hedge_at > 0 && !pending->attempts.empty()) {
    next = std::min(next, pending->hedge_at);
  }
  Ticket ticket = pending->ticket;
  pending->timer.Start(loop_, next - base::SteadyMillis(), [this, ticket] { OnTimer(ticket); });
}

void RequestRouter::OnTimer(Ticket ticket) {
  PendingRequest* pending = Find(ticket);
  if (!pending) return;
  base::Millis now = base::SteadyMillis();
  if (now >= pending->deadline) {
    if (!pending->attempts.empty()) pending->last_server = pending->attempts.back().server;
    FailRequest(pending, {Step::kDeadline, "deadline exceeded"}, true);
    return;
  }
  if (pending->queued && now >= pending->wait_until) {
    FailRequest(pending, {Step::kWait, "no server had capacity in time"}, false);
    return;
  }
  if (pending->hedge_at > 0 && now >= pending->hedge_at) SendHedge(pending);
  ArmTimer(pending);
}

}  // namespace elderkeel::forwarding
