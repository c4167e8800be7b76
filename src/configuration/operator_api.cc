#include "configuration/operator_api.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <utility>
#include <vector>

namespace elderkeel::configuration {
namespace {

constexpr size_t kMaxCalls = 128;            // pending calls
constexpr size_t kMaxCallBytes = 32u << 20;  // sum of the pending bodies; a lone call may exceed it
constexpr const char* kRetryAfterS = "0.3";

size_t BodyBytes(const OperatorCall& call) {
  const Change* change = std::get_if<Change>(&call);
  return change ? change->body.size() : 0;
}

http::Message JsonAnswer() {
  http::Message answer;
  answer.status = 200;
  answer.headers.push_back({"Content-Type", "application/json"});
  return answer;
}

}  // namespace

void OperatorApi::AnswerStatus(uint64_t ticket, int status, const std::string& reason) {
  http::Message answer = http::OwnAnswer(status, reason);
  if (status == 200) {
    answer.body = "{\"revision\":" + std::to_string(state_->revision()) + "}";
  }
  if (status == 503) answer.headers.push_back({"Retry-After", kRetryAfterS});
  if (status == 405) answer.headers.push_back({"Allow", reason});
  answer_(ticket, answer);
}

void OperatorApi::AnswerConfiguration(uint64_t ticket) {
  if (state_->empty()) return AnswerStatus(ticket, 404, "no configuration has been committed yet");
  http::Message answer = JsonAnswer();
  answer.headers.push_back({"ETag", "\"" + std::to_string(state_->revision()) + "\""});
  answer.body = state_->text();
  answer_(ticket, answer);
}

void OperatorApi::AnswerRollout(uint64_t ticket, const std::string& service) {
  const rollout::Rollout* rollout = rollouts_->NewestOf(service);
  if (!rollout) return AnswerStatus(ticket, 404, "no roll-out of this service was ordered");
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("status");
  writer.String(rollout::StatusName(rollout->stage));
  writer.Key("target-revision");
  writer.String(rollout->order.version.c_str());
  writer.EndObject();
  http::Message answer = JsonAnswer();
  answer.body.assign(buffer.GetString(), buffer.GetSize());
  answer_(ticket, answer);
}

void OperatorApi::RedirectToLeader(uint64_t ticket, const std::string& target) {
  auto leader = log_->leader_control_address();
  if (!leader || leader->empty()) {
    AnswerStatus(ticket, 503, "no leader is known");
    return;
  }
  http::Message answer = http::OwnAnswer(307, "another controller is the leader");
  answer.headers.push_back({"Location", "http://" + *leader + target});
  answer_(ticket, answer);
}

void OperatorApi::OnRequest(base::Millis now, uint64_t ticket, const http::Message& request) {
  auto call = ParseOperatorCall(request);
  if (!call) return AnswerStatus(ticket, call.error().status, call.error().reason);
  if (!log_->is_leader()) return RedirectToLeader(ticket, request.target);
  if (calls_.size() >= kMaxCalls) return AnswerStatus(ticket, 503, "too many pending calls");
  size_t own_bytes = BodyBytes(*call);
  size_t bytes = own_bytes;
  for (const auto& [token, other] : calls_) bytes += BodyBytes(other.call);
  if (bytes > kMaxCallBytes && bytes > own_bytes) {
    return AnswerStatus(ticket, 503, "the bodies of the pending calls are too large in total");
  }
  PendingCall pending;
  pending.ticket = ticket;
  pending.deadline = now + call_timeout_;
  if (const auto* drain = std::get_if<zone_drain::DrainOrder>(&*call)) {
    pending.drained = drained_zones_->IsDrained(drain->zone);
  }
  if (const auto* order = std::get_if<rollout::RolloutOrder>(&*call)) {
    pending.newest_rollout = NewestRollout(order->service);
  }
  pending.call = std::move(*call);
  uint64_t token = next_token_++;
  calls_[token] = std::move(pending);
  RequestRead(token);
}

// A leader that has not yet committed an entry in its term can't confirm reads; Tick() retries.
void OperatorApi::RequestRead(uint64_t token) {
  if (!log_->HasCommittedInTerm()) return;
  bool requested = log_->ConfirmRead(token);
  auto pending = calls_.find(token);
  if (pending != calls_.end()) pending->second.read_requested = requested;
}

void OperatorApi::OnCallerDisconnected(uint64_t ticket) {
  for (auto pending = calls_.begin(); pending != calls_.end(); ++pending) {
    if (pending->second.ticket != ticket) continue;
    bool proposed = in_flight_ && in_flight_->token == pending->first;
    if (!proposed) calls_.erase(pending);
    return;
  }
}

void OperatorApi::OnReadFinished(base::Millis now, uint64_t token, bool confirmed) {
  auto pending = calls_.find(token);
  if (pending == calls_.end()) return;
  if (!confirmed) {
    uint64_t ticket = pending->second.ticket;
    calls_.erase(pending);
    AnswerStatus(ticket, 503, "leadership was lost");
    return;
  }
  pending->second.confirmed = true;
  Serve(now);
}

// An order that is already in force, such as a repeated one, is answered without a new entry.
base::Verdict OperatorApi::EvaluateDrain(const zone_drain::DrainOrder& order) const {
  bool drained = drained_zones_->IsDrained(order.zone);
  if (drained && order.drain) return {200, ""};
  // A drained zone can be restored even after its last server has disappeared.
  if (!drained && !log_->HasZone(order.zone)) return {404, "no such zone"};
  return {drained == order.drain ? 200 : 0, ""};
}

base::Verdict OperatorApi::EvaluateRollout(const rollout::RolloutOrder& order) const {
  base::Verdict verdict = rollouts_->Evaluate(order);
  if (verdict.may_propose() && !log_->HasService(order.service)) {
    return {404, "target: there is no such service"};
  }
  return verdict;
}

base::Verdict OperatorApi::Evaluate(const OperatorCall& call) const {
  if (const auto* change = std::get_if<Change>(&call)) return state_->Evaluate(*change);
  if (const auto* order = std::get_if<rollout::RolloutOrder>(&call)) return EvaluateRollout(*order);
  return EvaluateDrain(std::get<zone_drain::DrainOrder>(call));
}

uint64_t OperatorApi::NewestRollout(const std::string& service) const {
  const rollout::Rollout* rollout = rollouts_->NewestOf(service);
  return rollout ? rollout->number : 0;
}

bool OperatorApi::IsSuperseded(const PendingCall& pending) const {
  if (std::holds_alternative<zone_drain::DrainOrder>(pending.call)) return pending.opposed;
  const auto* order = std::get_if<rollout::RolloutOrder>(&pending.call);
  return order && NewestRollout(order->service) != pending.newest_rollout;
}

std::optional<uint64_t> OperatorApi::Propose(const OperatorCall& call) {
  if (const auto* change = std::get_if<Change>(&call)) return log_->Propose(*change);
  if (const auto* order = std::get_if<rollout::RolloutOrder>(&call)) return log_->Propose(*order);
  return log_->Propose(std::get<zone_drain::DrainOrder>(call));
}

void OperatorApi::Serve(base::Millis now) {
  for (auto pending = calls_.begin(); pending != calls_.end();) {
    bool proposed = in_flight_ && in_flight_->token == pending->first;
    bool answered =
        pending->second.confirmed && !proposed && ServeCall(now, pending->first, pending->second);
    pending = answered ? calls_.erase(pending) : std::next(pending);
  }
}

bool OperatorApi::ServeCall(base::Millis now, uint64_t token, const PendingCall& pending) {
  if (std::holds_alternative<ReadConfiguration>(pending.call)) {
    AnswerConfiguration(pending.ticket);
    return true;
  }
  if (const auto* read = std::get_if<ReadRollout>(&pending.call)) {
    AnswerRollout(pending.ticket, read->service);
    return true;
  }
  // One change at a time: the verdict of the next one would depend on an uncommitted entry.
  if (in_flight_) return false;
  base::Verdict verdict = Evaluate(pending.call);
  if (verdict.may_propose() && now >= pending.deadline) {
    verdict = {503, "no quorum confirmed the call in time"};
  }
  if (verdict.may_propose() && IsSuperseded(pending)) {
    verdict = {503, "superseded by another order for the same zone or service"};
  }
  if (verdict.may_propose()) {
    auto index = Propose(pending.call);
    if (index) {
      in_flight_ = InFlight{*index, token};
      return false;
    }
    verdict = {503, "the log accepts no proposals at the moment"};
  }
  AnswerStatus(pending.ticket, verdict.status, verdict.reason);
  return true;
}

void OperatorApi::UpdateDrainStates() {
  for (auto& [token, pending] : calls_) {
    const auto* order = std::get_if<zone_drain::DrainOrder>(&pending.call);
    if (!order) continue;
    bool drained = drained_zones_->IsDrained(order->zone);
    if (drained != pending.drained && drained != order->drain) pending.opposed = true;
    pending.drained = drained;
  }
}

void OperatorApi::OnApplied(base::Millis now, uint64_t index) {
  UpdateDrainStates();
  if (!in_flight_ || index < in_flight_->index) return;
  uint64_t token = in_flight_->token;
  bool own_entry = index == in_flight_->index;
  in_flight_.reset();
  auto found = calls_.find(token);
  if (found != calls_.end()) {
    PendingCall pending = std::move(found->second);
    calls_.erase(found);
    const auto* drain = std::get_if<zone_drain::DrainOrder>(&pending.call);
    bool in_force = drain && drained_zones_->IsDrained(drain->zone) == drain->drain;
    base::Verdict verdict = in_force ? base::Verdict{200, ""} : Evaluate(pending.call);
    // The outcome is definite only if the call's own entry was applied; a later index may mean that
    // another entry was committed in its place.
    bool definite = own_entry && !verdict.may_propose();
    AnswerStatus(pending.ticket, definite ? verdict.status : 503,
                 verdict.reason.empty() ? "the change was superseded" : verdict.reason);
  }
  Serve(now);
}

void OperatorApi::OnRoleChanged() {
  if (log_->is_leader() && log_->term() == term_) return;
  term_ = log_->term();
  in_flight_.reset();
  PendingCalls calls;
  calls.swap(calls_);
  // Another leader may still commit the proposed entry, so its outcome is unknown here.
  for (const auto& [token, pending] : calls) {
    AnswerStatus(pending.ticket, 503, "leadership was lost");
  }
}

void OperatorApi::Tick(base::Millis now) {
  std::vector<uint64_t> expired;
  for (const auto& [token, pending] : calls_) {
    if (now >= pending.deadline) expired.push_back(token);
  }
  for (uint64_t token : expired) {
    uint64_t ticket = calls_[token].ticket;
    calls_.erase(token);
    AnswerStatus(ticket, 503, "no quorum confirmed the call in time");
  }
  if (!log_->HasCommittedInTerm()) return;
  std::vector<uint64_t> unrequested;
  for (const auto& [token, pending] : calls_) {
    if (!pending.read_requested) unrequested.push_back(token);
  }
  for (uint64_t token : unrequested) {
    if (calls_.count(token)) RequestRead(token);
  }
}

}  // namespace elderkeel::configuration
