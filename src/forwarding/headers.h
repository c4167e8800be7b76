#pragma once

// Headers of the protocol between clients, proxies and servers.
namespace elderkeel::forwarding {

constexpr const char* kAttemptIdHeader = "Elderkeel-Attempt-Id";
constexpr const char* kRemainingHeader = "Elderkeel-Remaining-Ms";
constexpr const char* kExpectedServerHeader = "Elderkeel-Expected-Server";
constexpr const char* kSealHeader = "Elderkeel-Server-Seal";
constexpr const char* kServerIdHeader = "Elderkeel-Server-Id";
constexpr const char* kWarmupHeader = "Elderkeel-Warmup-Ms";
constexpr const char* kNotExecutedHeader = "Elderkeel-Not-Executed";
// Of an answer that says "not run": when to try again, in seconds.
constexpr const char* kRetryAfter = "0.1";
constexpr const char* kOwnHeaderPrefix = "Elderkeel-";

}  // namespace elderkeel::forwarding
