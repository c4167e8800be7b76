#include "proxy/shutdown.h"

namespace elderkeel::proxy {

bool AdvanceShutdown(lifecycle::Lifecycle::Phase phase, forwarding::RequestRouter* front) {
  using Phase = lifecycle::Lifecycle::Phase;
  switch (phase) {
    case Phase::kServing:
    case Phase::kNotReady:
      return false;
    case Phase::kDraining:
      front->CloseIdle();
      return false;
    case Phase::kRejecting:
      front->RejectNew();
      front->CloseIdle();
      return false;
    case Phase::kAnswering:
      front->RejectNew();
      front->FinishAll();
      front->CloseIdle();
      return false;
    case Phase::kStopped:
      front->RejectNew();
      front->FinishAll();
      return true;
  }
  return true;
}

}  // namespace elderkeel::proxy
