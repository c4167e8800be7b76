#pragma once

#include <rapidjson/document.h>

#include <string>
#include <string_view>
#include <vector>

// How this directory reads and writes JSON; nobody else needs it.
namespace elderkeel::configuration {

// False if `text` isn't a JSON object whole, or is nested too deep to be walked.
bool ReadObject(std::string_view text, rapidjson::Document* document);
std::string WriteJson(const rapidjson::Value& value);
std::string Lower(std::string text);
// Whether a document has the form of a configuration; says nothing on how its items go together.
bool HasForm(const rapidjson::Document& document);
// Where a route of valid form goes: the services as often as it names them, and the sum of their
// weights. No services if it doesn't say, or says it in both ways.
struct Targets {
  std::vector<std::string> services;
  int64_t weight = 0;
};
Targets TargetsOf(const rapidjson::Value& route);

}  // namespace elderkeel::configuration
