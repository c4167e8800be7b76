#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace elderkeel::soak {

// What a server that is not sound does with a request.
enum class ServerFault {
  kNone,
  kTurnsAway,     // 503, and says that it did not run it
  kOwnFailure,    // runs it and answers 500
  kSlow,          // takes much longer
  kCutsBefore,    // runs it and breaks the connection off before the first byte
  kCutsMidway,    // and in the middle of the body
  kHangs,         // runs it and never answers
  kAnswersTwice,  // the same answer once more, behind its own
  kAnswersOther,  // with the answer to another request
};

// Whether the fault leaves the caller without a whole answer of the server's own.
bool BreaksOff(ServerFault fault);

// Servers are unsound in spells, each of one kind, and within a spell not with every request. The
// seed fixes which server when, and which requests.
class ServerFaults {
 public:
  explicit ServerFaults(uint64_t seed) : seed_(seed) {}
  // `now`: milliseconds since the run began.
  ServerFault Draw(base::Millis now, const std::string& server,
                   const std::string& attempt_id) const;

 private:
  uint64_t seed_;
};

}  // namespace elderkeel::soak
