#pragma once

#include <string>

namespace elderkeel::base {

// The result of checking an operator's change against the replicated state.
struct Verdict {
  // 0 if the change may be proposed. Otherwise the HTTP status to answer with: 200 if the change is
  // already in effect (a repeated call), 4xx if it is rejected, 503 if it can't be checked now.
  int status = 0;
  std::string reason;  // text of the answer

  bool may_propose() const { return status == 0; }
};

}  // namespace elderkeel::base
