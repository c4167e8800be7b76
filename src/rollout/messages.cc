#include "rollout/messages.h"

#include "base/random.h"

namespace elderkeel::rollout {

VersionCounters VersionCounters::Since(const VersionCounters& before) const {
  auto more = [](uint32_t now, uint32_t then) { return now > then ? now - then : 0; };
  VersionCounters since;
  since.answers = more(answers, before.answers);
  since.failed = more(failed, before.failed);
  since.broken = more(broken, before.broken);
  since.late = more(late, before.late);
  since.timed = more(timed, before.timed);
  since.seen = seen;
  since.broken_at = broken_at;
  since.late_at = late_at;
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
