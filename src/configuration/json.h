#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

// JSON helpers of the configuration module; internal to it.
namespace elderkeel::configuration {

// The maximum nesting of objects and arrays. RapidJSON writes and validates values recursively, so
// deeper nesting could exhaust the stack. A reason in ParseObject() states the number.
constexpr int kMaxJsonDepth = 32;

// Parses `text` into `document`. Error: kInvalidArgument, with the reason, if `text` is not a JSON
// object or is nested deeper than kMaxJsonDepth.
base::Status ParseObject(std::string_view text, rapidjson::Document* document);

// Serializes `value` without whitespace.
std::string WriteJson(const rapidjson::Value& value);

// Converts ASCII letters to lower case and leaves all other bytes as they are.
std::string ToLower(std::string text);

// Returns the member `name` of `object` as an integer, truncated towards zero, or `fallback` if
// there is no such member or it is not a number.
int64_t IntegerOr(const rapidjson::Value& object, const char* name, int64_t fallback);

// Returns the label of a route or a service, or null if it has no label that is a string. The
// result is valid as long as `item`.
const char* LabelOf(const rapidjson::Value& item);

}  // namespace elderkeel::configuration
