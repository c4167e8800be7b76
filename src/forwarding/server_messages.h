#pragma once

#include <string>

#include "base/clock.h"
#include "http/http.h"

// What goes to a server, and what its answers say.
namespace elderkeel::forwarding {

// The bytes of `request` as they go to the server `server_id`: method, target, body and headers as
// the client sent them, without the headers of one connection, with the time left and the server
// expected.
std::string SerializeRequest(const http::Message& request, const std::string& server_id,
                             base::Millis remaining_ms);

// Empty if a success may go to the client as it is; else what is wrong with it. `attempt_id`: of
// the request that it must answer.
std::string FaultOfAnswer(const http::Message& answer, const std::string& attempt_id);

// Whether the server says that it did not run the request.
bool SaysNotRun(const http::Message& answer);

inline bool IsSuccess(int status) { return status / 100 == 2; }
// A status that goes to the client as the server's answer: another server would say the same.
bool IsFinal(int status);
// A status by which a server promises that it did not run the request, 421 apart.
bool IsPromise(int status);

}  // namespace elderkeel::forwarding
