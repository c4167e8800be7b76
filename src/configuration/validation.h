#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

// Decides which documents are valid configurations. All errors are kInvalidArgument; the reason
// names the field and is sent to the operator.
namespace elderkeel::configuration {

// Checks that `text` is a JSON object that is nested no deeper than kMaxJsonDepth.
base::Status CheckSyntax(std::string_view text);

// Checks everything that doesn't depend on the current configuration. Returns the revision that the
// document names.
base::Result<int64_t> Validate(std::string_view text);

// Returns whether a document matches the JSON schema of configurations. Doesn't check that its
// items are consistent with each other.
bool MatchesSchema(const rapidjson::Document& document);

// The services that a route names, each as often as it is named, and the sum of their weights.
struct RouteTargets {
  std::vector<std::string> services;
  int64_t weight_sum = 0;  // 1 for a single target
};
// Returns no services unless the route has exactly one of "target" and "weighted-targets".
// REQUIRES: the route matches the schema.
RouteTargets TargetsOf(const rapidjson::Value& route);

// Returns the revision that a document names; 0 if it names none or is not a JSON object.
int64_t RevisionOf(std::string_view text);
// Returns whether a document lists the service; false if it is not a JSON object.
bool HasService(std::string_view text, const std::string& label);
// Returns the labels of all routes of a document; empty if it is not a JSON object.
std::vector<std::string> RouteLabels(std::string_view text);

}  // namespace elderkeel::configuration
