#include "proxy/rollout_reporter.h"

#include <algorithm>
#include <string>

namespace elderkeel::proxy {
namespace {
constexpr base::Millis kReportEveryMs = 250;
constexpr base::Millis kShiftingReportEveryMs = 100;  // while traffic moves to a new version
constexpr base::Millis kRenewLeaseEveryMs = 600;
}  // namespace

void RolloutReporter::Tick(base::Millis now) {
  if (!router_->rolling_out() || now < next_report_at_) return;
  const membership::Membership& membership = node_->membership();
  // The observers receive from all proxies; with many, each reports more seldom.
  size_t proxies = membership.CountNotLeft(membership::Program::kProxy);
  base::Millis every = router_->IsShifting() ? kShiftingReportEveryMs : kReportEveryMs;
  next_report_at_ = now + std::max(every, static_cast<base::Millis>(proxies));
  bool wants_renewal = now >= renew_lease_at_;
  if (wants_renewal) renew_lease_at_ = now + kRenewLeaseEveryMs;
  for (auto& [report, observers] : router_->MakeProxyReports()) {
    report.node = membership.self().id;
    report.boot_id = membership.self().boot_id;
    report.wants_renewal = wants_renewal;
    if (wants_renewal) report.asked_at = now;
    std::string bytes = transport::Encode(report);
    for (uint64_t observer : observers) {
      auto node = membership.nodes().find(observer);
      if (node == membership.nodes().end()) continue;
      node_->SendSmall(node->second.address(), transport::Kind::kProxyReport, bytes);
    }
  }
}

}  // namespace elderkeel::proxy
