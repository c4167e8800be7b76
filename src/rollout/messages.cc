#include "rollout/messages.h"

#include "base/random.h"

namespace elderkeel::rollout {

VersionCounters VersionCounters::Since(const VersionCounters& before) const {
  // A counter that is lower than before counts as no increase.
  auto increase = [](uint32_t now, uint32_t earlier) { return now > earlier ? now - earlier : 0; };
  VersionCounters since;
  since.answers = increase(answers, before.answers);
  since.failed = increase(failed, before.failed);
  since.broken = increase(broken, before.broken);
  since.late = increase(late, before.late);
  since.latency_samples = increase(latency_samples, before.latency_samples);
  since.servers_seen = servers_seen;
  since.servers_broken = servers_broken;
  since.servers_late = servers_late;
  return since;
}

uint32_t RouteKey(const std::string& label) { return static_cast<uint32_t>(base::Hash(label)); }

const char* OpinionName(Opinion opinion) {
  switch (opinion) {
    case Opinion::kAbstains:
      return "abstains";
    case Opinion::kGood:
      return "good";
    case Opinion::kBad:
      return "bad";
  }
  return "unknown";
}

}  // namespace elderkeel::rollout
