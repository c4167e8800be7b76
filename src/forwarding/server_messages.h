#pragma once

#include <string>

#include "base/clock.h"
#include "http/http.h"

// Serialization of requests to servers, and checks of the servers' answers.
namespace elderkeel::forwarding {

// Returns the bytes of `request` as sent to the server `server_id`: the client's method, target,
// headers and body, without hop-by-hop headers, and with Elderkeel-Remaining-Ms (`remaining_ms`, at
// least 1) and Elderkeel-Expected-Server. The body is sent with Content-Length.
std::string SerializeRequest(const http::Message& request, const std::string& server_id,
                             base::Millis remaining_ms);

// Returns why a successful answer must not be passed on to the client, as text for logs and
// records; empty if it may be, or if the status is no success. `attempt_id`: of the request.
std::string FindAnswerFault(const http::Message& answer, const std::string& attempt_id);

// Whether the server declares that it did not execute the request.
bool IsMarkedNotExecuted(const http::Message& answer);

inline bool IsSuccess(int status) { return status / 100 == 2; }
// Whether the status is passed on to the client without a retry: another server would give the same
// answer.
bool IsFinalStatus(int status);
// Whether the status means to a client that the request was not executed (503, 429, 408). 421 means
// that too, but IsMarkedNotExecuted() covers it.
bool PromisesNotExecuted(int status);

}  // namespace elderkeel::forwarding
