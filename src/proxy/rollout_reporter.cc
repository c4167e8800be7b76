#include "proxy/rollout_reporter.h"

#include <algorithm>
#include <string>

namespace elderkeel::proxy {
namespace {
constexpr base::Millis kReportIntervalMs = 250;
constexpr base::Millis kShiftingReportIntervalMs = 100;  // while traffic shifts to a new version
constexpr base::Millis kLeaseRenewalIntervalMs = 600;
}  // namespace

void RolloutReporter::Tick(base::Millis now) {
  if (!router_->rolling_out() || now < next_report_at_) return;
  const membership::Membership& membership = node_->membership();
  // Each observer receives the reports of all proxies. The interval is at least 1 ms per proxy,
  // which limits an observer to about one report per millisecond for each roll-out.
  size_t proxies = membership.CountNotLeft(membership::Program::kProxy);
  base::Millis interval = router_->IsShifting() ? kShiftingReportIntervalMs : kReportIntervalMs;
  next_report_at_ = now + std::max(interval, static_cast<base::Millis>(proxies));
  bool wants_renewal = now >= next_renewal_at_;
  if (wants_renewal) next_renewal_at_ = now + kLeaseRenewalIntervalMs;
  for (auto& [report, observers] : router_->MakeProxyReports()) {
    report.node = membership.self().id;
    report.boot_id = membership.self().boot_id;
    report.wants_renewal = wants_renewal;
    if (wants_renewal) report.reported_at = now;
    std::string bytes = transport::Encode(report);
    for (uint64_t observer : observers) {
      auto node = membership.nodes().find(observer);
      if (node == membership.nodes().end()) continue;
      node_->SendDatagramOrStream(node->second.address(), transport::MessageKind::kProxyReport,
                                  bytes);
    }
  }
}

}  // namespace elderkeel::proxy
