// RequestRouter: sending attempts, and what follows from how they end.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "forwarding/headers.h"
#include "forwarding/request_router.h"
#include "forwarding/server_messages.h"

namespace elderkeel::forwarding {
namespace {

using http::Message;
using telemetry::Step;

constexpr base::Millis kMinRemainingMs = 2;    // an attempt with less is pointless
constexpr size_t kMaxUnsentBytes = 256 << 10;  // of a streamed answer, towards the client
constexpr double kMeanWeight = 0.05;           // of one latency in its route's mean
constexpr double kLateMeans = 3.2;             // what takes longer than so many means is late
constexpr double kHedgeMeans = 2;              // a hedge is due after so many means

base::Millis HedgeAfter(double mean_ms, const configuration::Route& route) {
  auto by_mean = static_cast<base::Millis>(mean_ms * kHedgeMeans);
  return std::max<base::Millis>(by_mean, route.target_latency_ms / 2);
}

Attempt TakeAttempt(PendingRequest* pending, std::vector<Attempt>::iterator position) {
  Attempt attempt = std::move(*position);
  pending->attempts.erase(position);
  return attempt;
}

}  // namespace

uint32_t RequestRouter::ChooseServer(base::Millis now, const PendingRequest& pending) {
  LoadBalancer::Request request{pending.service, MeanOf(pending.route_index),
                                pending.route->idempotent, pending.tried, pending.route->regions};
  return version_routing_.ChooseServer(
      now, pending, [&](bool secondary) { return balancer_.Choose(now, request, secondary); });
}

void RequestRouter::Dispatch(PendingRequest* pending) {
  if (pending->deadline - base::SteadyMillis() < kMinRemainingMs) {
    FailRequest(pending, {Step::kDeadline, "no time left"}, true);
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
  if (server != LoadBalancer::kNone && SendTo(pending, server)) return;
  if (!balancer_.HasUsable(pending->service, pending->route->regions)) {
    FailRequest(pending, {Step::kAdmission, "the service has no server"}, false);
  } else if (now >= pending->wait_until) {
    FailRequest(pending, {Step::kWait, "no server had room in time"}, false);
  } else {
    Enqueue(pending);
  }
}

// A retry is sent at once or not at all.
void RequestRouter::Retry(PendingRequest* pending) {
  uint32_t server = ChooseServer(base::SteadyMillis(), *pending);
  if (server == LoadBalancer::kNone || !budget_.TryWithdraw(pending->service)) {
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
  attempt.id = next_attempt_++;
  attempt.log_entry = pending->attempt_log.Begin();
  attempt.server = server;
  attempt.sent_at = now;
  attempt.late_after = static_cast<base::Millis>(MeanOf(pending->route_index) * kLateMeans) + 1;
  attempt.timed = now >= state.slow_start_until;
  version_routing_.OnAttemptBegun(server);
  pending->tried.push_back(server);
  pending->last_server = server;
  balancer_.Begin(now, server);
  load_sharing_.OnAttemptBegun(now, state.service);
  StartAttempt(pending, attempt, connection.get());
  attempt.connection = std::move(connection);
  ScheduleHedge(pending, attempt);
  pending->attempts.push_back(std::move(attempt));
  Arm(pending);
  return true;
}

void RequestRouter::StartAttempt(PendingRequest* pending, const Attempt& attempt,
                                 http::HttpConnection* connection) {
  Ticket ticket = pending->ticket;
  uint64_t id = attempt.id;
  connection->Expect(kAttemptIdHeader, pending->attempt_id);
  connection->OnStray([this, ticket] {
    // Its own answer may follow; what may be repeated need not wait for it.
    PendingRequest* waiting = Find(ticket);
    if (!waiting || waiting->hedge_at == 0) return;
    waiting->hedge_at = base::SteadyMillis();
    Arm(waiting);
  });
  connection->OnLarge([this, ticket, id](const Message& so_far, int64_t length) {
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
  if (!settings_.second_sends || !pending->route->idempotent || pending->hedge_at != 0) return;
  if (!pending->attempt_log.MayAttempt()) return;
  base::Millis after = HedgeAfter(MeanOf(pending->route_index), *pending->route);
  // A version that is not proven shows how slow it is before its request gets another attempt.
  bool unproven = balancer_.at(attempt.server).version_role == ServerState::VersionRole::kSecondary;
  if (unproven) after = std::max(after, attempt.late_after);
  pending->hedge_at = attempt.sent_at + after;
}

void RequestRouter::SendHedge(PendingRequest* pending) {
  pending->hedge_at = 0;
  if (pending->attempts.size() != 1 || !pending->attempt_log.MayAttempt()) return;
  uint32_t server = ChooseServer(base::SteadyMillis(), *pending);
  if (server == LoadBalancer::kNone || balancer_.at(server).in_flight > 0) return;
  if (!budget_.TryWithdrawForHedge(pending->service)) return;
  if (!SendTo(pending, server)) budget_.Refund(pending->service);
  pending->hedge_at = 0;
}

// An answer too large to be held goes to the client as it comes, no faster than the client takes
// it. From its first byte on there is no other attempt; if it is cut, the client's connection is
// reset.
http::HttpConnection::BodySink RequestRouter::StreamAnswer(Ticket ticket, uint64_t attempt,
                                                           const Message& so_far, int64_t length) {
  PendingRequest* pending = Find(ticket);
  if (!pending || !IsSuccess(so_far.status)) return nullptr;
  if (!FaultOfAnswer(so_far, pending->attempt_id).empty()) return nullptr;
  if (!server_.BeginAnswer(ticket, so_far, length)) return nullptr;
  pending->streaming = attempt;
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

RequestRouter::Verdict RequestRouter::Judge(const PendingRequest& pending, const Outcome& outcome) {
  using Ending = http::HttpConnection::Ending;
  if (outcome.ending == Ending::kNotSent) {
    return {AttemptOutcome::kNotSent, Signal::kUnreachable, Step::kConnect, outcome.reason};
  }
  if (outcome.ending == Ending::kBroken) {
    return {AttemptOutcome::kMaybeRun, Signal::kBroken, Step::kAnswer, outcome.reason};
  }
  const Message& answer = outcome.answer;
  if (SaysNotRun(answer)) {
    Signal signal = answer.status == 421 ? Signal::kMisplaced : Signal::kFull;
    std::string reason = "turned away with " + std::to_string(answer.status);
    return {AttemptOutcome::kNotRun, signal, Step::kAnswer, std::move(reason)};
  }
  std::string fault = FaultOfAnswer(answer, pending.attempt_id);
  if (!fault.empty()) {
    return {AttemptOutcome::kMaybeRun, Signal::kBroken, Step::kAnswer, std::move(fault)};
  }
  return {};
}

void RequestRouter::SettleAttempt(base::Millis now, PendingRequest* pending, Attempt* attempt,
                                  const Verdict& verdict, int status) {
  using VersionOutcome = rollout::CanaryPolicy::Outcome;
  base::Millis took = now - attempt->sent_at;
  bool maybe_run = verdict.outcome == AttemptOutcome::kMaybeRun;
  bool run = verdict.outcome == AttemptOutcome::kRun;
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
  balancer_.End(now, attempt->server, attempt->sent_at, verdict.signal,
                run ? static_cast<double>(took) : -1, MeanOf(pending->route_index));
  NoteAttemptEnded(now, attempt->server);
  pending->attempt_log.End(attempt->log_entry, verdict.outcome);
}

void RequestRouter::NoteAttemptEnded(base::Millis now, uint32_t server) {
  const ServerState& state = balancer_.at(server);
  load_sharing_.OnAttemptEnded(now, state.service);
  // Other connections to an ejected server are no better, and those that hang would show it only by
  // their silence.
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
  Verdict verdict = Judge(*pending, outcome);
  int status = outcome.answer.status;
  const ServerState& state = balancer_.at(attempt.server);
  // The mean is of the version that most requests go to.
  bool counts = state.version_role == ServerState::VersionRole::kPrimary;
  base::Millis now = base::SteadyMillis();
  if (base::IsLogged(base::LogLevel::kDebug)) {
    base::Debug("attempt.ended", {{"attempt_id", pending->attempt_id},
                                  {"send", attempt.id},
                                  {"server", state.id},
                                  {"status", status},
                                  {"reason", verdict.reason}});
  }
  SettleAttempt(now, pending, &attempt, verdict, status);
  uint32_t service = state.service;
  bool run = verdict.outcome == AttemptOutcome::kRun;
  if (pending->streaming == attempt.id) {
    FinishStream(pending, status, verdict);
  } else if (run && IsFinal(status)) {
    if (IsSuccess(status) && counts) {
      double& mean_ms = MeanOf(pending->route_index);
      auto latency_ms = static_cast<double>(now - attempt.sent_at);
      mean_ms += kMeanWeight * (latency_ms - mean_ms);
    }
    bool success = IsSuccess(status);
    Finish(pending, outcome.answer, {Step::kAnswer, success ? "" : "the server's answer"},
           !success);
  } else {
    if (run) OnServerAnswer(pending, outcome.answer, &verdict);
    pending->last_step = verdict.step;
    pending->last_reason = verdict.reason;
    if (pending->attempt_log.MayAttempt() && pending->attempt_log.pending() == 0) {
      Dispatch(pending);
    } else {
      HandleAttemptFailure(pending);
    }
  }
  PumpQueue(service);
}

// The server's own failure goes to the client if nothing better is to be had; but a status that
// promises "not run" would be untrue.
void RequestRouter::OnServerAnswer(PendingRequest* pending, const Message& answer,
                                   Verdict* verdict) {
  verdict->reason = "the server's own " + std::to_string(answer.status);
  if (!IsPromise(answer.status)) pending->server_failure = std::make_unique<Message>(answer);
}

void RequestRouter::FinishStream(PendingRequest* pending, int status, const Verdict& verdict) {
  bool complete = verdict.outcome == AttemptOutcome::kRun;
  Record(*pending, complete ? status : 0, {Step::kAnswer, complete ? "" : verdict.reason},
         !complete);
  if (complete) {
    server_.EndAnswer(pending->ticket);
  } else {
    server_.Reset(pending->ticket);
  }
  Erase(pending);
}

// Nothing more is sent for now: if nothing is in flight either, the request has its final answer.
void RequestRouter::HandleAttemptFailure(PendingRequest* pending) {
  if (pending->attempt_log.pending() > 0 || pending->queued) {
    Arm(pending);
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
    // One that had time enough and gave no answer tells as much as one that answered late.
    if (took > attempt.late_after) {
      version_routing_.OnAttemptEnded(*pending, attempt, rollout::CanaryPolicy::Outcome::kComplete,
                                      took);
    }
    balancer_.OnAttemptAbandoned(now, attempt.server, attempt.sent_at,
                                 MeanOf(pending->route_index));
    connections_.Discard(attempt.server, std::move(attempt.connection));
    NoteAttemptEnded(now, attempt.server);
  }
}

void RequestRouter::Enqueue(PendingRequest* pending) {
  if (!queue_.Add(pending)) {
    FailRequest(pending, {Step::kWait, "too many wait"}, false);
    return;
  }
  Arm(pending);
}

void RequestRouter::PumpQueue(uint32_t service) {
  RequestQueue::Waiting* waiting = queue_.Of(service);
  if (!waiting) return;
  base::Millis now = base::SteadyMillis();
  for (auto next = waiting->begin(); next != waiting->end();) {
    PendingRequest* pending = *next++;
    uint32_t server = ChooseServer(now, *pending);
    if (server != LoadBalancer::kNone) {
      if (!SendTo(pending, server)) return;
      continue;
    }
    // What can't be sent keeps waiting; those behind it that are less restricted may still find a
    // server, but not if this one was not restricted at all.
    if (pending->route->idempotent && pending->route->regions.empty()) return;
  }
}

void RequestRouter::PumpAllQueues() {
  for (uint32_t service = 0; service < queue_.services(); ++service) PumpQueue(service);
}

void RequestRouter::Arm(PendingRequest* pending) {
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
    FailRequest(pending, {Step::kDeadline, "the time was over"}, true);
    return;
  }
  if (pending->queued && now >= pending->wait_until) {
    FailRequest(pending, {Step::kWait, "no server had room in time"}, false);
    return;
  }
  if (pending->hedge_at > 0 && now >= pending->hedge_at) SendHedge(pending);
  Arm(pending);
}

}  // namespace elderkeel::forwarding
