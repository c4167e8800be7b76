#pragma once

#include <string>

namespace elderkeel::base {

// What a replicated state says to a change that an operator asks for.
struct Verdict {
  // 0: the change may be proposed. Else the HTTP status to answer: 200 if it took effect before (a
  // repeated call), 4xx if it is rejected, 503 if it can't be judged now.
  int status = 0;
  std::string reason;

  bool may_propose() const { return status == 0; }
};

}  // namespace elderkeel::base
