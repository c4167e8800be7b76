#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace elderkeel::soak {

// How a faulty server treats a request.
enum class ServerFault {
  kNone,
  kRejects,               // responds with 503 and states that it did not execute the request
  kServerError,           // executes the request and responds with 500
  kSlow,                  // executes the request with an added delay
  kResetsBeforeResponse,  // executes the request and resets the connection without a response
  kResetsMidBody,         // executes the request and resets the connection within the body
  kHangs,                 // executes the request and never responds
  kDuplicatesResponse,    // sends its response twice on the connection
  kSendsOtherResponse,    // sends a response that names another request
};

// Whether the fault leaves the caller without a complete response to its request.
bool PreventsResponse(ServerFault fault);

// Decides which requests a faulty server affects, and how. Time is divided into periods; in some of
// them a server has one kind of fault, which affects some of its requests. The seed determines the
// periods, the kinds and the requests.
class ServerFaults {
 public:
  explicit ServerFaults(uint64_t seed) : seed_(seed) {}
  // `now`: milliseconds since the run began. The same arguments always return the same fault.
  ServerFault Draw(base::Millis now, const std::string& server,
                   const std::string& attempt_id) const;

 private:
  uint64_t seed_;
};

}  // namespace elderkeel::soak
