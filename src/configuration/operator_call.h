#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "base/verdict.h"
#include "configuration/change.h"
#include "http/http.h"
#include "rollout/rollouts.h"
#include "zone_drain/drained_zones.h"

// The calls of the HTTP API for operators, and how they are parsed from requests.
namespace elderkeel::configuration {

// Reads the current configuration.
struct ReadConfiguration {};
// Reads the stage of the newest roll-out of a service.
struct ReadRollout {
  std::string service;
};
using OperatorCall = std::variant<ReadConfiguration, Change, zone_drain::DrainOrder,
                                  rollout::RolloutOrder, ReadRollout>;

constexpr std::string_view kConfigurationPath = "/elderkeel/config";
constexpr std::string_view kDrainPrefix = "/elderkeel/evacuation/";  // a zone follows
constexpr std::string_view kRolloutsPath = "/elderkeel/rollouts";
constexpr std::string_view kRolloutPrefix = "/elderkeel/rollouts/";  // a service follows

// Returns whether `path` belongs to the operator API.
bool IsOperatorPath(std::string_view path);

// Parses a request into a call. The error holds the status to answer: 400, 405 (its reason lists
// the allowed methods) or 413. REQUIRES: IsOperatorPath(request.Path()).
tl::expected<OperatorCall, base::Verdict> ParseOperatorCall(const http::Message& request);

}  // namespace elderkeel::configuration
