#include "controller/diagnosis_service.h"

#include <utility>

namespace elderkeel::controller {
namespace {
constexpr size_t kMaxPendingFleetQueries = 16;
constexpr base::Millis kFleetQueryTimeoutMs = 1500;
}  // namespace

void DiagnosisService::Ask(Ticket ticket, const diagnosis::Question& question) {
  if (!context_->replica->started()) {
    answer_(ticket,
            http::OwnAnswer(
                503, "this controller is still starting: it has not discovered all seeds yet"));
    return;
  }
  if (pending_.size() >= kMaxPendingFleetQueries) {
    answer_(ticket,
            http::OwnAnswer(
                503, "too many status and diagnosis requests are in progress; retry shortly"));
    return;
  }
  base::Millis now = base::SteadyMillis();
  pending_.push_back(
      {ticket, diagnosis::FleetQuery(context_->NextToken(), question, TargetsOf(question),
                                     now + kFleetQueryTimeoutMs)});
  Tick(now);
}

// Includes the proxies that membership reports as dead, after the reachable ones: membership may be
// wrong about them, and the answer names those that do not reply.
std::vector<diagnosis::Target> DiagnosisService::TargetsOf(
    const diagnosis::Question& question) const {
  std::vector<diagnosis::Target> targets;
  for (bool reachable : {true, false}) {
    for (const auto& [id, node] : context_->node->membership().nodes()) {
      bool left = node.state == membership::State::kLeft;
      if (node.program != membership::Program::kProxy || left) continue;
      if (!question.zone.empty() && node.zone != question.zone) continue;
      if (node.reachable() == reachable) targets.push_back({node.address().ToString(), node.zone});
    }
  }
  return targets;
}

void DiagnosisService::OnReply(const base::Address& from, const diagnosis::Reply& reply) {
  for (PendingFleetQuery& pending : pending_) pending.query.AddReply(from.ToString(), reply);
  Tick(base::SteadyMillis());
}

void DiagnosisService::Tick(base::Millis now) {
  for (auto pending = pending_.begin(); pending != pending_.end();) {
    if (pending->query.Done(now)) {
      answer_(pending->ticket, MakeAnswer(pending->query));
      pending = pending_.erase(pending);
      continue;
    }
    for (const std::string& target : pending->query.Next(now)) {
      auto address = base::ParseAddress(target);
      if (!address) continue;
      context_->node->mesh().Send(*address, transport::MessageKind::kQuery, pending->query.query());
    }
    ++pending;
  }
}

http::Message DiagnosisService::MakeAnswer(const diagnosis::FleetQuery& query) const {
  http::Message answer;
  answer.status = 200;
  answer.headers.push_back({"Content-Type", "application/json"});
  bool status = query.about() == diagnosis::Question::About::kNode;
  answer.body = status ? write_status_(query) : query.Report();
  return answer;
}

}  // namespace elderkeel::controller
