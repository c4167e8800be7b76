#include "configuration/validation.h"

#include <rapidjson/schema.h>

#include <set>
#include <utility>

#include "base/settings.h"
#include "configuration/json.h"

namespace elderkeel::configuration {
namespace {

using rapidjson::Document;
using rapidjson::Value;

// The JSON schema of configurations.
const Document& Schema() {
  static const Document kSchema = [] {
    Document document;
    document.Parse(R"({
      "type": "object",
      "required": ["revision", "route-list", "service-list"],
      "properties": {
        "revision": {"type": "integer", "minimum": 1},
        "route-list": {"type": "array", "items": {
          "type": "object",
          "required": ["label", "host", "path-prefix", "variant", "timeout-ms"],
          "properties": {
            "label": {"type": "string", "minLength": 1},
            "host": {"type": "string", "minLength": 1},
            "path-prefix": {"type": "string", "pattern": "^/(.*/)?$"},
            "variant": {"enum": ["idempotent", "effectful"]},
            "timeout-ms": {"type": "number", "minimum": 1, "maximum": 86400000},
            "target-latency-ms": {"type": "number", "minimum": 0},
            "priority": {"type": "integer", "minimum": 0, "maximum": 1000},
            "max-attempts": {"type": "integer", "minimum": 1, "maximum": 1000},
            "target": {"type": "string", "minLength": 1},
            "allowed-regions": {"type": "array", "items": {"type": "string", "minLength": 1}},
            "weighted-targets": {"type": "array", "minItems": 1, "items": {
              "type": "object",
              "required": ["target", "weight"],
              "properties": {
                "target": {"type": "string", "minLength": 1},
                "weight": {"type": "integer", "minimum": 0, "maximum": 1000000}
              }}}
          }}},
        "service-list": {"type": "array", "items": {
          "type": "object",
          "required": ["label"],
          "properties": {
            "label": {"type": "string", "minLength": 1},
            "health-path": {"type": "string", "pattern": "^/"},
            "max-conns": {"type": "integer", "minimum": 1, "maximum": 1000000},
            "warmup-s": {"type": "number", "minimum": 0},
            "warmup-per-s": {"type": "number", "minimum": 0},
            "protocol": {"enum": ["h1"]},
            "tls": {"enum": [false]}
          }}},
        "limits": {"type": "object", "properties": {
          "max-header-bytes": {"type": "integer", "minimum": 256, "maximum": 1048576},
          "max-body-bytes": {"type": "integer", "minimum": 0, "maximum": 1073741824},
          "header-timeout-ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
          "idle-timeout-ms": {"type": "integer", "minimum": 1, "maximum": 3600000}
        }}
      }})");
    return document;
  }();
  return kSchema;
}

tl::unexpected<base::Error> Invalid(std::string reason) {
  return base::Failure(base::ErrorCode::kInvalidArgument, "configuration.validate", "",
                       std::move(reason));
}

base::Status CheckRoute(const Value& route, const std::set<std::string>& services) {
  std::string label = route["label"].GetString();
  RouteTargets targets = TargetsOf(route);
  if (targets.services.empty()) {
    return Invalid("route " + label + ": needs exactly one of target and weighted-targets");
  }
  for (const std::string& service : targets.services) {
    if (services.count(service)) continue;
    return Invalid(
        std::string("route ").append(label).append(": unknown service ").append(service));
  }
  if (targets.weight_sum == 0) return Invalid("route " + label + ": weights add up to 0");
  return {};
}

// Checks that the labels and locations in a document are unique and that the targets of its routes
// exist. REQUIRES: the document matches the schema.
base::Status CrossCheck(const Document& document) {
  std::set<std::string> services;
  for (const Value& service : document["service-list"].GetArray()) {
    std::string label = service["label"].GetString();
    if (!services.insert(label).second) {
      return Invalid("service-list: duplicate label: " + label);
    }
  }
  std::set<std::string> labels;
  std::set<std::pair<std::string, std::string>> locations;  // host in lower case, path prefix
  for (const Value& route : document["route-list"].GetArray()) {
    std::string label = route["label"].GetString();
    if (!labels.insert(label).second) return Invalid("route-list: duplicate label: " + label);
    std::string host = ToLower(route["host"].GetString());
    if (!locations.insert({host, route["path-prefix"].GetString()}).second) {
      return Invalid("route " + label + ": another route has the same host and prefix");
    }
    base::Status checked = CheckRoute(route, services);
    if (!checked) return checked;
  }
  return {};
}

}  // namespace

base::Status CheckSyntax(std::string_view text) {
  Document document;
  return ParseObject(text, &document);
}

base::Result<int64_t> Validate(std::string_view text) {
  Document document;
  if (!ParseObject(text, &document)) return Invalid("not a JSON object, or nested too deep");
  std::string fault = base::SchemaError(Schema(), document);
  if (!fault.empty()) return Invalid(fault);
  base::Status checked = CrossCheck(document);
  if (!checked) return base::Failure(checked.error());
  return IntegerOr(document, "revision", 0);
}

bool MatchesSchema(const Document& document) {
  static const rapidjson::SchemaDocument kCompiled(Schema());
  rapidjson::SchemaValidator validator(kCompiled);
  return document.Accept(validator);
}

RouteTargets TargetsOf(const Value& route) {
  RouteTargets targets;
  bool single = route.HasMember("target");
  bool weighted = route.HasMember("weighted-targets");
  if (single == weighted) return targets;
  if (single) return {{route["target"].GetString()}, 1};
  for (const Value& target : route["weighted-targets"].GetArray()) {
    targets.services.emplace_back(target["target"].GetString());
    targets.weight_sum += target["weight"].GetInt64();
  }
  return targets;
}

int64_t RevisionOf(std::string_view text) {
  Document document;
  if (!ParseObject(text, &document)) return 0;
  return IntegerOr(document, "revision", 0);
}

std::vector<std::string> RouteLabels(std::string_view text) {
  std::vector<std::string> labels;
  Document document;
  if (!ParseObject(text, &document)) return labels;
  auto routes = document.FindMember("route-list");
  if (routes == document.MemberEnd() || !routes->value.IsArray()) return labels;
  for (const Value& route : routes->value.GetArray()) {
    if (const char* label = LabelOf(route)) labels.emplace_back(label);
  }
  return labels;
}

bool HasService(std::string_view text, const std::string& label) {
  Document document;
  if (!ParseObject(text, &document)) return false;
  auto services = document.FindMember("service-list");
  if (services == document.MemberEnd() || !services->value.IsArray()) return false;
  for (const Value& service : services->value.GetArray()) {
    if (service.IsObject() && service.HasMember("label") && service["label"] == label) return true;
  }
  return false;
}

}  // namespace elderkeel::configuration
