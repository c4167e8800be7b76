#include "configuration/routing_table.h"

#include <rapidjson/document.h>

#include <unordered_map>
#include <utility>

#include "configuration/json.h"

namespace elderkeel::configuration {
namespace {

using rapidjson::Document;
using rapidjson::Value;

// Defaults for members that the configuration omits.
constexpr int64_t kDefaultMaxConns = 64;
constexpr int64_t kDefaultTimeoutMs = 1000;
constexpr int64_t kDefaultHeaderBytes = 16384;
constexpr int64_t kDefaultBodyBytes = 64 << 20;

// Returns the key of a route in by_location_.
std::string LocationOf(const Route& route) {
  std::string location = route.host;
  location += '\0';
  return location + route.prefix;
}

Service MakeService(const Value& json) {
  Service service;
  service.label = json["label"].GetString();
  service.health_path = json.HasMember("health-path") ? json["health-path"].GetString() : "/";
  service.max_conns = static_cast<int>(IntegerOr(json, "max-conns", kDefaultMaxConns));
  if (json.HasMember("warmup-per-s")) service.warmup_per_s = json["warmup-per-s"].GetDouble();
  return service;
}

http::Limits MakeLimits(const Value& json) {
  http::Limits limits;
  limits.header_bytes =
      static_cast<size_t>(IntegerOr(json, "max-header-bytes", kDefaultHeaderBytes));
  limits.body_bytes = static_cast<size_t>(IntegerOr(json, "max-body-bytes", kDefaultBodyBytes));
  limits.header_timeout_ms = IntegerOr(json, "header-timeout-ms", limits.header_timeout_ms);
  limits.idle_timeout_ms = IntegerOr(json, "idle-timeout-ms", limits.idle_timeout_ms);
  return limits;
}

// Calls `use` with each item of the array `list` in the member `part` of `patch`, if there are any.
template <class Use>
void ForEachItem(const Document& patch, const char* part, const char* list, Use use) {
  auto lists = patch.FindMember(part);
  if (lists == patch.MemberEnd()) return;
  for (const auto& member : lists->value.GetObject()) {
    if (member.name != list) continue;
    for (const Value& item : member.value.GetArray()) use(item);
  }
}

}  // namespace

const Route* RoutingTable::Match(std::string_view host, std::string_view path) const {
  std::string location = ToLower(std::string(host.substr(0, host.find(':'))));
  location += '\0';
  size_t prefix = location.size();
  location += path;
  // A prefix ends with a slash, so only parts of the path that end with a slash can match. They are
  // tried from the longest to the shortest.
  while (location.size() > prefix) {
    size_t slash = location.rfind('/');
    if (slash == std::string::npos || slash < prefix) return nullptr;
    location.resize(slash + 1);
    if (const SharedRoute* route = by_location_.Find(location)) return route->get();
    location.resize(slash);
  }
  return nullptr;
}

uint32_t RoutingTable::PickService(const Route& route, uint64_t key) const {
  if (route.targets.size() == 1) return route.targets[0].service;
  uint64_t point = key % route.weight_sum;
  for (const WeightedTarget& target : route.targets) {
    if (point < target.weight) return target.service;
    point -= target.weight;
  }
  return route.targets.back().service;
}

// Adds routes and services to a table and removes them. REQUIRES: the JSON values passed are items
// of a valid configuration.
class RoutingTable::Builder {
 public:
  Builder(RoutingTable* table, base::NameIndex* names, base::NameIndex* regions)
      : table_(table), names_(names), regions_(regions) {}

  void AddService(const Value& json) {
    Service service = MakeService(json);
    uint32_t index = names_->Intern(service.label);
    if (index >= table_->services_.size()) table_->services_.resize(index + 1);
    table_->services_[index] = std::make_shared<const Service>(std::move(service));
  }

  void RemoveService(const std::string& label) {
    uint32_t index = names_->Find(label);
    if (index < table_->services_.size()) table_->services_[index].reset();
  }

  void AddRoute(const Value& json) {
    auto route = std::make_shared<const Route>(MakeRoute(json));
    table_->by_label_.Set(route->label, route);
    table_->by_location_.Set(LocationOf(*route), route);
    table_->changed_routes_.push_back(std::move(route));
  }

  void RemoveRoute(const std::string& label) {
    const SharedRoute* route = table_->by_label_.Find(label);
    if (!route) return;
    table_->by_location_.Erase(LocationOf(**route));
    table_->by_label_.Erase(label);
  }

 private:
  Route MakeRoute(const Value& json) {
    Route route;
    route.label = json["label"].GetString();
    route.host = ToLower(json["host"].GetString());
    route.prefix = json["path-prefix"].GetString();
    route.idempotent = std::string_view(json["variant"].GetString()) == "idempotent";
    route.timeout_ms = IntegerOr(json, "timeout-ms", kDefaultTimeoutMs);
    route.target_latency_ms = IntegerOr(json, "target-latency-ms", route.timeout_ms);
    route.priority = static_cast<int>(IntegerOr(json, "priority", 0));
    route.max_attempts = static_cast<int>(IntegerOr(json, "max-attempts", 1));
    if (json.HasMember("allowed-regions")) {
      for (const Value& region : json["allowed-regions"].GetArray()) {
        route.regions.push_back(regions_->Intern(region.GetString()));
      }
    }
    if (json.HasMember("target")) {
      AddTarget(json["target"].GetString(), 1, &route);
      return route;
    }
    for (const Value& target : json["weighted-targets"].GetArray()) {
      AddTarget(target["target"].GetString(), static_cast<uint32_t>(target["weight"].GetInt64()),
                &route);
    }
    return route;
  }

  void AddTarget(const char* service, uint32_t weight, Route* route) {
    if (weight == 0) return;
    route->targets.push_back({names_->Intern(service), weight});
    route->weight_sum += weight;
  }

  RoutingTable* table_;
  base::NameIndex* names_;
  base::NameIndex* regions_;
};

std::shared_ptr<const RoutingTable> RoutingTable::Build(std::string_view text,
                                                        base::NameIndex* names,
                                                        base::NameIndex* regions) {
  Document document;
  if (!ParseObject(text, &document)) return nullptr;
  auto table = std::make_shared<RoutingTable>();
  table->revision_ = IntegerOr(document, "revision", 0);
  if (document.HasMember("limits") && document["limits"].IsObject()) {
    table->limits_ = MakeLimits(document["limits"]);
  }
  Builder builder(table.get(), names, regions);
  for (const Value& service : document["service-list"].GetArray()) builder.AddService(service);
  for (const Value& route : document["route-list"].GetArray()) builder.AddRoute(route);
  return table;
}

std::shared_ptr<const RoutingTable> RoutingTable::Patch(const RoutingTable& base,
                                                        std::string_view patch,
                                                        base::NameIndex* names,
                                                        base::NameIndex* regions) {
  Document changes;
  if (!ParseObject(patch, &changes)) return nullptr;
  auto table = std::make_shared<RoutingTable>(base);
  table->revision_ = IntegerOr(changes, "revision", 0);
  table->changed_routes_.clear();
  Builder builder(table.get(), names, regions);
  ForEachItem(changes, "remove", "service-list",
              [&](const Value& label) { builder.RemoveService(label.GetString()); });
  ForEachItem(changes, "upsert", "service-list",
              [&](const Value& service) { builder.AddService(service); });
  // All changed routes release their old locations before any takes its new one, since two routes
  // may swap locations. Of a route that is upserted twice the last value counts.
  std::unordered_map<std::string, const Value*> final_routes;
  ForEachItem(changes, "remove", "route-list",
              [&](const Value& label) { builder.RemoveRoute(label.GetString()); });
  ForEachItem(changes, "upsert", "route-list", [&](const Value& route) {
    builder.RemoveRoute(route["label"].GetString());
    final_routes[route["label"].GetString()] = &route;
  });
  for (const auto& [label, route] : final_routes) builder.AddRoute(*route);
  return table;
}

}  // namespace elderkeel::configuration
