#include "forwarding/version_routing.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::forwarding {
namespace {

constexpr base::Millis kMinLeaseMs = 500;  // of the lease to send to an unproven version

rollout::CanaryPolicy::Options PolicyOptions(const base::Settings& settings) {
  rollout::CanaryPolicy::Options options;
  options.share = settings.canary_share;
  options.lease = std::max<base::Millis>(kMinLeaseMs, settings.rollback_ms / 2);
  return options;
}

}  // namespace

VersionRouting::VersionRouting(const base::Settings& settings, base::NameIndex* services,
                               LoadBalancer* balancer)
    : services_(services), balancer_(balancer), policy_(PolicyOptions(settings)) {}

std::vector<uint32_t> VersionRouting::Adopt(base::Millis now, const rollout::Rollouts& rollouts) {
  policy_.Adopt(now, rollouts);
  version_ = rollouts.version();
  for (const auto& [service, version] : rollouts.in_force()) rules_[service];
  for (const auto& [service, rollout] : rollouts.rollouts()) rules_[service];
  return ApplyRules(now);
}

std::vector<uint32_t> VersionRouting::ApplyRules(base::Millis now) {
  std::vector<uint32_t> excluded;
  for (auto& [service, applied] : rules_) {
    rollout::VersionPolicy rule = policy_.RuleOf(now, service);
    if (rule == applied) continue;
    applied = rule;
    for (uint32_t server :
         balancer_->SetVersions(services_->Intern(service), rule, policy_.CanaryShare())) {
      excluded.push_back(server);
    }
  }
  return excluded;
}

void VersionRouting::OnLeaseRenewal(base::Millis now, const rollout::LeaseRenewal& renewal) {
  policy_.OnLeaseRenewal(now, renewal);
}

void VersionRouting::OnRequest(uint32_t service) {
  if (policy_.active()) policy_.CountRequest(services_->Name(service));
}

// A request selected for the secondary version goes there if that has a server available. A retry
// goes to the old version while that takes requests, since it has proven good: this is the primary
// version until the promotion begins, and the secondary one while traffic is shifting.
uint32_t VersionRouting::ChooseServer(base::Millis now, const PendingRequest& pending,
                                      const Choose& choose) const {
  if (!policy_.active()) return choose(false);
  const std::string& service = services_->Name(pending.service);
  bool secondary = pending.tried_servers.empty()
                       ? policy_.TakesSecondary(now, service, base::Hash(pending.attempt_id))
                       : policy_.RetriesToSecondary(now, service);
  uint32_t server = secondary ? choose(true) : LoadBalancer::kNoServer;
  if (server == LoadBalancer::kNoServer) server = choose(false);
  // While traffic is shifting, requests that one version has no capacity for go to the other.
  if (server == LoadBalancer::kNoServer && policy_.RetriesToSecondary(now, service)) {
    server = choose(true);
  }
  return server;
}

void VersionRouting::OnAttemptBegun(uint32_t server) {
  if (!policy_.active()) return;
  policy_.CountAttempt(services_->Name(balancer_->at(server).service),
                       balancer_->VersionOf(server));
}

void VersionRouting::OnAttemptEnded(const PendingRequest& pending, const Attempt& attempt,
                                    rollout::CanaryPolicy::Outcome outcome, base::Millis duration) {
  if (!policy_.active()) return;
  rollout::CanaryPolicy::SentRequest sent_request;
  sent_request.service = services_->Name(balancer_->at(attempt.server).service);
  if (!policy_.RolloutOf(sent_request.service)) return;
  sent_request.version = balancer_->VersionOf(attempt.server);
  sent_request.server = balancer_->at(attempt.server).id;
  sent_request.route = pending.route->label;
  sent_request.outcome = outcome;
  sent_request.latency_counts = attempt.counts_latency;
  sent_request.is_late = duration > attempt.late_after_ms;
  policy_.CountOutcome(base::SteadyMillis(), sent_request);
}

std::vector<AddressedReport> VersionRouting::MakeReports(base::Millis now) {
  std::vector<AddressedReport> reports;
  for (const std::string& service : policy_.ActiveServices()) {
    const rollout::Rollout& rollout = *policy_.RolloutOf(service);
    AddressedReport addressed;
    addressed.report = policy_.MakeReport(now, service);
    addressed.observers = rollout.observers;
    uint32_t index = services_->Intern(service);
    addressed.report.new_in_flight = balancer_->InFlight(index, rollout.order.version);
    addressed.report.old_in_flight = balancer_->InFlight(index, rollout.previous_version);
    reports.push_back(std::move(addressed));
  }
  return reports;
}

}  // namespace elderkeel::forwarding
