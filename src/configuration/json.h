#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

// How this module reads and writes JSON; nobody else needs it.
namespace elderkeel::configuration {

// Parses `text`, which must be a JSON object and not be nested deeper than kMaxJsonDepth: RapidJSON
// walks values recursively. Error: kInvalidArgument, with the reason.
constexpr int kMaxJsonDepth = 32;
base::Status ParseObject(std::string_view text, rapidjson::Document* document);

std::string WriteJson(const rapidjson::Value& value);

// ASCII letters only.
std::string ToLower(std::string text);

// The whole number that a member of an object holds, or `otherwise` if there is none.
int64_t IntegerOr(const rapidjson::Value& object, const char* name, int64_t otherwise);

// The label of a route or a service; null if it has none.
const char* LabelOf(const rapidjson::Value& item);

}  // namespace elderkeel::configuration
