#pragma once

#include <string>

#include "base/settings.h"

namespace elderkeel::diagnosis {

// The operator commands `status`, `failures`, `rollout` and `diagnose`. Each calls a controller,
// prints the answer as text or JSON, and returns one of these exit codes.
constexpr int kSuccess = 0;
// Answered, but data is unknown or lost, there is no majority, or the HTTP status is 404.
constexpr int kDegraded = 1;
constexpr int kUsage = 2;  // invalid command line
// No controller answered, or the HTTP status is neither 200 nor 404.
constexpr int kUnreachable = 3;

// `control`: the control address of a controller. `query` and `service` restrict the answer. With
// `json` the answer is printed as received.
int ShowStatus(const base::Address& control, bool json);
int ShowFailures(const base::Address& control, const std::string& query, bool json);
int ShowRollouts(const base::Address& control, const std::string& service, bool json);
int ShowDiagnosis(const base::Address& control, const std::string& query, bool json);

// Format a controller's JSON answer as text. Set `degraded` if the exit code is kDegraded. Separate
// from the call so that tests can check the texts.
std::string StatusText(const std::string& json, bool* degraded);
std::string RolloutsText(const std::string& json, bool* degraded);
std::string DiagnosisText(const std::string& json, bool* degraded);

}  // namespace elderkeel::diagnosis
