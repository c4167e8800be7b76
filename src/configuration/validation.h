#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

// Which documents are valid configurations. All errors are kInvalidArgument; their reason names the
// field and is what the operator is answered.
namespace elderkeel::configuration {

// Whether `text` can be read as a whole and is a JSON object.
base::Status CheckReadable(std::string_view text);

// Checks everything but how the document stands to the current one. The revision that it names.
base::Result<int64_t> Validate(std::string_view text);

// Whether a document has the form of a configuration; says nothing on how its items go together.
bool MatchesSchema(const rapidjson::Document& document);

// Where a route of valid form goes: the services as often as it names them, and the sum of their
// weights. No services if it doesn't say, or says it in both ways.
struct RouteTargets {
  std::vector<std::string> services;
  int64_t weight = 0;
};
RouteTargets TargetsOf(const rapidjson::Value& route);

// The revision that a readable document names; 0 if it names none.
int64_t RevisionOf(std::string_view text);
// Whether a readable document lists such a service.
bool HasService(std::string_view text, const std::string& label);
// The labels of all routes of a readable document.
std::vector<std::string> RouteLabels(std::string_view text);

}  // namespace elderkeel::configuration
