#include "proxy/shutdown.h"

namespace elderkeel::proxy {

bool AdvanceShutdown(lifecycle::Lifecycle::Phase phase, forwarding::RequestRouter* router) {
  using Phase = lifecycle::Lifecycle::Phase;
  switch (phase) {
    case Phase::kServing:
    case Phase::kNotReady:
      return false;
    case Phase::kDraining:
      router->CloseIdle();
      return false;
    case Phase::kRejecting:
      router->RejectNew();
      router->CloseIdle();
      return false;
    case Phase::kAnswering:
      router->RejectNew();
      router->FinishAll();
      router->CloseIdle();
      return false;
    case Phase::kStopped:
      router->RejectNew();
      router->FinishAll();
      return true;
  }
  return true;
}

}  // namespace elderkeel::proxy
