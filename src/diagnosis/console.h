#pragma once

#include <string>

#include "base/settings.h"

namespace elderkeel::diagnosis {

// The operator's verbs `status` and `diagnose`: a call to a controller, shown as text or JSON.
// What they return is the exit code.
constexpr int kSuccess = 0;
constexpr int kDegraded = 1;  // answered, but something is unknown, lost or without a majority
constexpr int kUsage = 2;
constexpr int kUnreachable = 3;  // no controller answered

int ShowStatus(const base::Address& control, bool json);
int ShowFailures(const base::Address& control, const std::string& query, bool json);
int ShowRollouts(const base::Address& control, const std::string& service, bool json);
int ShowDiagnosis(const base::Address& control, const std::string& query, bool json);

// As text; `degraded` tells the exit code. Apart from the call, so that it can be tested.
std::string StatusText(const std::string& json, bool* degraded);
std::string RolloutsText(const std::string& json, bool* degraded);
std::string DiagnosisText(const std::string& json, bool* degraded);

}  // namespace elderkeel::diagnosis
