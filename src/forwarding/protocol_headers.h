#pragma once

// HTTP headers of the protocol between clients, proxies and servers.
namespace elderkeel::forwarding {

// Identifies a request; set by the client, repeated by the server in its answer.
constexpr const char* kAttemptIdHeader = "Elderkeel-Attempt-Id";
// Milliseconds until the request's deadline; set by the client, and by the proxy for the server.
constexpr const char* kRemainingHeader = "Elderkeel-Remaining-Ms";
// Id of the server that the proxy sends the request to.
constexpr const char* kExpectedServerHeader = "Elderkeel-Expected-Server";
// Set by a server on its own answers; a success without it isn't passed on to the client.
constexpr const char* kSealHeader = "Elderkeel-Server-Seal";
// Id of the server that answers a health probe.
constexpr const char* kServerIdHeader = "Elderkeel-Server-Id";
// Milliseconds of slow start that a probed server has left.
constexpr const char* kWarmupHeader = "Elderkeel-Warmup-Ms";
// Set by a server on the answer to a request that it rejected without executing it.
constexpr const char* kNotExecutedHeader = "Elderkeel-Not-Executed";
// Retry-After value, in seconds, of a 503 to a request that wasn't executed.
constexpr const char* kRetryAfterSeconds = "0.1";
constexpr const char* kProtocolHeaderPrefix = "Elderkeel-";

}  // namespace elderkeel::forwarding
