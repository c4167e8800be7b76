#include "proxy/startup_confirmation.h"

#include <algorithm>
#include <vector>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::proxy {
namespace {
constexpr base::Millis kRequestIntervalMs = 250;
// Limits the load on the leader, which answers all proxies that have just started.
constexpr base::Millis kConfirmIntervalMs = 100;
constexpr base::Millis kProbeIntervalMs = 25;
constexpr base::Millis kProbePeriodMs = 3000;  // controllers that have a leader confirm within it
}  // namespace

StartupConfirmation::StartupConfirmation(base::Loop* loop, const base::Settings* settings,
                                         cluster::ClusterNode* node,
                                         forwarding::RequestRouter* router,
                                         lifecycle::Lifecycle* lifecycle)
    : loop_(loop),
      settings_(settings),
      node_(node),
      router_(router),
      lifecycle_(lifecycle),
      confirmation_(base::RandomSeed()) {}

void StartupConfirmation::Start() {
  started_at_ = base::SteadyMillis();
  Probe();
}

void StartupConfirmation::Probe() {
  base::Millis now = base::SteadyMillis();
  bool timed_out = now - started_at_ > kProbePeriodMs;
  bool done = router_->HasRequiredState() && (lifecycle_->confirmed() || timed_out);
  if (done || lifecycle_->leaving()) return;
  next_request_at_ = std::min(next_request_at_, now + kProbeIntervalMs);
  Tick(now);
  probe_timer_.Start(loop_, kProbeIntervalMs, [this] { Probe(); });
}

dissemination::Versions StartupConfirmation::OwnVersions() const {
  const dissemination::Disseminator& disseminator = node_->disseminator();
  return {disseminator.revision(), disseminator.drained_zones().version(),
          disseminator.rollouts().version()};
}

void StartupConfirmation::UpdateServing(base::Millis now) {
  if (!lifecycle_->confirmed() && confirmation_.IsCurrent(now, OwnVersions())) {
    lifecycle_->SetConfirmed();
    node_->ConfirmLogCurrent(confirmation_.confirmed_at());
    base::Info("configuration.confirmed", {{"revision", node_->disseminator().revision()}});
  }
  if (router_->HasRequiredState()) lifecycle_->SetServable(now);
  router_->SetServing(lifecycle_->IsServing(now));
}

void StartupConfirmation::Tick(base::Millis now) {
  UpdateServing(now);
  if (lifecycle_->confirmed() || now < next_request_at_) return;
  next_request_at_ = now + kRequestIntervalMs;
  std::vector<base::Address> controllers = node_->ControllersToContact();
  if (controllers.empty()) return;
  const base::Address& to = controllers[next_controller_++ % controllers.size()];
  if (now >= next_confirm_at_) {
    next_confirm_at_ = now + kConfirmIntervalMs;
    node_->mesh().Send(to, transport::MessageKind::kConfirm, confirmation_.NewRequest(now));
  }
  // Missing state is requested by digest: the node asks only the first peer that reports to have it
  // for the state itself, which is large and must not be sent by several peers at once.
  if (LacksState()) node_->RequestDigest(to);
}

bool StartupConfirmation::LacksState() const {
  dissemination::Versions own = OwnVersions();
  const dissemination::Versions& wanted = confirmation_.newest_confirmed();
  return own.revision < std::max<int64_t>(1, wanted.revision) ||
         own.zone_drains < wanted.zone_drains || own.rollouts < wanted.rollouts ||
         !node_->disseminator().has_endpoints() ||
         (settings_->VersionsByOrder() && !router_->has_rollout_state());
}

void StartupConfirmation::OnReply(base::Millis now, const dissemination::ConfirmReply& reply) {
  if (auto leader = confirmation_.OnReply(now, reply)) {
    node_->mesh().Send(*leader, transport::MessageKind::kConfirm,
                       dissemination::ConfirmRequest{reply.nonce});
  }
  UpdateServing(now);
}

}  // namespace elderkeel::proxy
