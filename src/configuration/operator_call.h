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

// The calls of the operator's interface, read from HTTP requests.
namespace elderkeel::configuration {

struct ReadConfiguration {};
struct ReadRollout {
  std::string service;
};
using OperatorCall = std::variant<ReadConfiguration, Change, zone_drain::DrainOrder,
                                  rollout::RolloutOrder, ReadRollout>;

constexpr std::string_view kConfigurationPath = "/elderkeel/config";
constexpr std::string_view kDrainPrefix = "/elderkeel/evacuation/";  // a zone follows
constexpr std::string_view kRolloutsPath = "/elderkeel/rollouts";
constexpr std::string_view kRolloutPrefix = "/elderkeel/rollouts/";  // a service follows

// Whether the path belongs to the operator's interface.
bool IsOperatorPath(std::string_view path);

// The call that a request makes. REQUIRES: its path belongs to the interface. The error has the
// status to answer: 400, 405 (its reason lists the methods allowed), 413.
tl::expected<OperatorCall, base::Verdict> ParseOperatorCall(const http::Message& request);

}  // namespace elderkeel::configuration
