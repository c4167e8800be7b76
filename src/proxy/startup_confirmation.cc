#include "proxy/startup_confirmation.h"

#include <algorithm>
#include <vector>

#include "base/log.h"
#include "base/random.h"

namespace elderkeel::proxy {
namespace {
constexpr base::Millis kAskEveryMs = 250;
constexpr base::Millis kConfirmEveryMs = 100;  // the leader answers all proxies that just started
constexpr base::Millis kProbeEveryMs = 25;
constexpr base::Millis kProbeForMs = 3000;  // by then controllers with a leader have confirmed
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
  bool waited_enough = now - started_at_ > kProbeForMs;
  bool done = router_->able() && (lifecycle_->confirmed() || waited_enough);
  if (done || lifecycle_->leaving()) return;
  ask_at_ = std::min(ask_at_, now + kProbeEveryMs);
  Tick(now);
  probe_timer_.Start(loop_, kProbeEveryMs, [this] { Probe(); });
}

dissemination::Versions StartupConfirmation::OwnVersions() const {
  const dissemination::Disseminator& disseminator = node_->disseminator();
  return {disseminator.revision(), disseminator.drained_zones().version(),
          disseminator.rollouts().version()};
}

void StartupConfirmation::Review(base::Millis now) {
  if (!lifecycle_->confirmed() && confirmation_.Holds(now, OwnVersions())) {
    lifecycle_->SetConfirmed();
    node_->VouchForLog(confirmation_.known_at());
    base::Info("configuration.confirmed", {{"revision", node_->disseminator().revision()}});
  }
  if (router_->able()) lifecycle_->SetServable(now);
  router_->SetServing(lifecycle_->IsServing(now));
}

void StartupConfirmation::Tick(base::Millis now) {
  Review(now);
  if (lifecycle_->confirmed() || now < ask_at_) return;
  ask_at_ = now + kAskEveryMs;
  std::vector<base::Address> controllers = node_->Controllers();
  if (controllers.empty()) return;
  const base::Address& to = controllers[next_controller_++ % controllers.size()];
  if (now >= confirm_at_) {
    confirm_at_ = now + kConfirmEveryMs;
    node_->mesh().Send(to, transport::Kind::kConfirm, confirmation_.Ask(now));
  }
  // What it lacks it asks of the first that says to have it: the whole of it is large, and must not
  // come from several at once.
  if (LacksState()) node_->RequestDigest(to);
}

bool StartupConfirmation::LacksState() const {
  dissemination::Versions held = OwnVersions();
  const dissemination::Versions& wanted = confirmation_.wanted();
  return held.revision < std::max<int64_t>(1, wanted.revision) ||
         held.zone_drains < wanted.zone_drains || held.rollouts < wanted.rollouts ||
         !node_->disseminator().has_endpoints() ||
         (settings_->VersionsByOrder() && !router_->versions_known());
}

void StartupConfirmation::OnReply(base::Millis now, const dissemination::ConfirmReply& reply) {
  if (auto leader = confirmation_.OnReply(now, reply)) {
    node_->mesh().Send(*leader, transport::Kind::kConfirm, dissemination::Confirm{reply.nonce});
  }
  Review(now);
}

}  // namespace elderkeel::proxy
