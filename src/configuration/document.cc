#include "configuration/document.h"

#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cctype>
#include <set>

#include "base/settings.h"
#include "configuration/json.h"

namespace elderkeel::configuration {
namespace {

using rapidjson::Document;
using rapidjson::Value;

constexpr int kMaxDepth = 32;
constexpr unsigned kParse = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag |
                            rapidjson::kParseFullPrecisionFlag;

// RapidJSON walks values recursively once they are parsed; a document too deep for that is refused
// before it is looked at.
bool TooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxDepth) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

const Document& Schema() {
  static const Document schema = [] {
    Document d;
    d.Parse(R"({
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
    return d;
  }();
  return schema;
}

Refusal Bad(std::string reason) { return Refusal{400, std::move(reason)}; }

Refusal CrossCheck(const Document& d) {
  std::set<std::string> services;
  for (const Value& s : d["service-list"].GetArray()) {
    if (!services.insert(s["label"].GetString()).second) {
      return Bad(std::string("service-list: label stands twice: ") + s["label"].GetString());
    }
  }
  std::set<std::string> labels;
  std::set<std::pair<std::string, std::string>> places;
  for (const Value& r : d["route-list"].GetArray()) {
    std::string label = r["label"].GetString();
    if (!labels.insert(label).second) return Bad("route-list: label stands twice: " + label);
    if (!places.insert({Lower(r["host"].GetString()), r["path-prefix"].GetString()}).second) {
      return Bad("route " + label + ": another route has the same host and prefix");
    }
    Targets targets = TargetsOf(r);
    if (targets.services.empty()) {
      return Bad("route " + label + ": needs target or weighted-targets");
    }
    for (const std::string& service : targets.services) {
      if (!services.count(service)) return Bad("route " + label + ": unknown service " + service);
    }
    if (targets.weight == 0) return Bad("route " + label + ": weights add up to 0");
  }
  return Refusal{0, ""};
}

int64_t Whole(const Value& object, const char* name, int64_t otherwise) {
  auto at = object.FindMember(name);
  if (at == object.MemberEnd() || !at->value.IsNumber()) return otherwise;
  return at->value.IsInt64() ? at->value.GetInt64() : static_cast<int64_t>(at->value.GetDouble());
}

}  // namespace

bool ReadObject(std::string_view text, Document* document) {
  if (TooDeep(text)) return false;
  document->Parse<kParse>(text.data(), text.size());
  return !document->HasParseError() && document->IsObject();
}

std::string WriteJson(const Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return std::string(buffer.GetString(), buffer.GetSize());
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

bool HasForm(const Document& document) {
  static const rapidjson::SchemaDocument compiled(Schema());
  rapidjson::SchemaValidator validator(compiled);
  return document.Accept(validator);
}

Targets TargetsOf(const Value& route) {
  Targets targets;
  bool one = route.HasMember("target"), many = route.HasMember("weighted-targets");
  if (one == many) return targets;
  if (one) return {{route["target"].GetString()}, 1};
  for (const Value& t : route["weighted-targets"].GetArray()) {
    targets.services.push_back(t["target"].GetString());
    targets.weight += t["weight"].GetInt64();
  }
  return targets;
}

Refusal CheckReadable(std::string_view text) {
  Document d;
  if (TooDeep(text)) return Bad("nested too deep");
  d.Parse<kParse>(text.data(), text.size());
  if (d.HasParseError()) return Bad("not JSON, or cut short");
  if (!d.IsObject()) return Bad("not an object");
  return Refusal{0, ""};
}

int64_t RevisionOf(std::string_view text) {
  Document d;
  if (!ReadObject(text, &d)) return 0;
  return Whole(d, "revision", 0);
}

Refusal CheckValid(std::string_view text, int64_t* revision) {
  Document d;
  if (!ReadObject(text, &d)) return Bad("can't be read whole");
  std::string fault = base::SchemaFault(Schema(), d);
  if (!fault.empty()) return Bad(fault);
  if (revision) *revision = Whole(d, "revision", 0);
  return CrossCheck(d);
}

Patched ApplyPatch(std::string_view base, std::string_view patch) {
  Document d, p;
  if (!ReadObject(base, &d) || !ReadObject(patch, &p)) return {"", Bad("can't be read whole")};
  auto& a = d.GetAllocator();
  auto revision = p.FindMember("revision");
  if (revision == p.MemberEnd() || !revision->value.IsInt64()) {
    return {"", Bad("revision: is missing or no whole number")};
  }
  if (!d.HasMember("revision")) d.AddMember("revision", 0, a);
  d["revision"].SetInt64(revision->value.GetInt64());

  auto remove = p.FindMember("remove");
  if (remove != p.MemberEnd()) {
    if (!remove->value.IsObject()) return {"", Bad("remove: is no object")};
    for (auto& list : remove->value.GetObject()) {
      if (!list.value.IsArray()) return {"", Bad("remove: holds something that is no list")};
      std::set<std::string> names;
      for (const Value& name : list.value.GetArray()) {
        if (!name.IsString()) return {"", Bad("remove: holds something that is no name")};
        names.insert(name.GetString());
      }
      auto at = d.FindMember(list.name);
      if (at == d.MemberEnd() || !at->value.IsArray()) continue;
      Value kept(rapidjson::kArrayType);
      for (Value& item : at->value.GetArray()) {
        auto label = item.IsObject() ? item.FindMember("label") : item.MemberEnd();
        bool gone = item.IsObject() && label != item.MemberEnd() && label->value.IsString() &&
                    names.count(label->value.GetString());
        if (!gone) kept.PushBack(item, a);
      }
      at->value = kept;
    }
  }

  auto upsert = p.FindMember("upsert");
  if (upsert != p.MemberEnd()) {
    if (!upsert->value.IsObject()) return {"", Bad("upsert: is no object")};
    for (auto& list : upsert->value.GetObject()) {
      if (!list.value.IsArray()) return {"", Bad("upsert: holds something that is no list")};
      auto at = d.FindMember(list.name);
      if (at == d.MemberEnd()) {
        d.AddMember(Value(list.name, a), Value(rapidjson::kArrayType), a);
        at = d.FindMember(list.name);
      }
      if (!at->value.IsArray()) return {"", Bad("upsert: names something that is no list")};
      std::unordered_map<std::string, rapidjson::SizeType> places;
      for (rapidjson::SizeType i = 0; i < at->value.Size(); ++i) {
        const Value& item = at->value[i];
        if (item.IsObject() && item.HasMember("label") && item["label"].IsString()) {
          places[item["label"].GetString()] = i;
        }
      }
      for (const Value& item : list.value.GetArray()) {
        if (!item.IsObject() || !item.HasMember("label") || !item["label"].IsString()) {
          return {"", Bad("upsert: holds an item without a label")};
        }
        Value copy(item, a);
        auto place = places.find(item["label"].GetString());
        if (place != places.end()) {
          at->value[place->second] = copy;
        } else {
          places[item["label"].GetString()] = at->value.Size();
          at->value.PushBack(copy, a);
        }
      }
    }
  }
  return {WriteJson(d), Refusal{0, ""}};
}

std::vector<std::string> RouteLabels(std::string_view text) {
  std::vector<std::string> labels;
  Document d;
  if (!ReadObject(text, &d) || !d.HasMember("route-list") || !d["route-list"].IsArray())
    return labels;
  for (const Value& route : d["route-list"].GetArray()) {
    if (route.IsObject() && route.HasMember("label") && route["label"].IsString()) {
      labels.push_back(route["label"].GetString());
    }
  }
  return labels;
}

bool HasService(std::string_view text, const std::string& label) {
  Document d;
  if (!ReadObject(text, &d)) return false;
  auto services = d.FindMember("service-list");
  if (services == d.MemberEnd() || !services->value.IsArray()) return false;
  for (const Value& service : services->value.GetArray()) {
    if (service.IsObject() && service.HasMember("label") && service["label"] == label) return true;
  }
  return false;
}

const Route* RoutingTable::Match(std::string_view host, std::string_view path) const {
  std::string place = Lower(std::string(host.substr(0, host.find(':'))));
  place += '\0';
  size_t prefix = place.size();
  place += path;
  // A prefix ends with a slash, so only the cuts behind slashes can match; the longest first.
  while (place.size() > prefix) {
    size_t slash = place.rfind('/');
    if (slash == std::string::npos || slash < prefix) return nullptr;
    place.resize(slash + 1);
    if (const SharedRoute* route = by_place_.Find(place)) return route->get();
    place.resize(slash);
  }
  return nullptr;
}

uint32_t RoutingTable::Pick(const Route& route, uint64_t key) const {
  if (route.targets.size() == 1) return route.targets[0].service;
  uint64_t at = key % route.weight_sum;
  for (const Target& target : route.targets) {
    if (at < target.weight) return target.service;
    at -= target.weight;
  }
  return route.targets.back().service;
}

// Makes routes and services of their JSON.
class RoutingTable::Builder {
 public:
  Builder(RoutingTable* table, base::Names* names, base::Names* regions)
      : table_(table), names_(names), regions_(regions) {}

  void Add(const Value& s) {
    uint32_t index = names_->Intern(s["label"].GetString());
    if (index >= table_->services_.size()) table_->services_.resize(index + 1);
    Service service;
    service.label = s["label"].GetString();
    service.health_path = s.HasMember("health-path") ? s["health-path"].GetString() : "/";
    service.max_conns = static_cast<int>(Whole(s, "max-conns", 64));
    if (s.HasMember("warmup-per-s")) service.warmup_per_s = s["warmup-per-s"].GetDouble();
    table_->services_[index] = std::make_shared<const Service>(std::move(service));
  }

  void RemoveService(const std::string& label) {
    uint32_t index = names_->Find(label);
    if (index < table_->services_.size()) table_->services_[index].reset();
  }

  void AddRoute(const Value& r) {
    Route route;
    route.label = r["label"].GetString();
    route.host = Lower(r["host"].GetString());
    route.prefix = r["path-prefix"].GetString();
    route.idempotent = std::string_view(r["variant"].GetString()) == "idempotent";
    route.timeout_ms = Whole(r, "timeout-ms", 1000);
    route.target_latency_ms = Whole(r, "target-latency-ms", route.timeout_ms);
    route.priority = static_cast<int>(Whole(r, "priority", 0));
    route.max_attempts = static_cast<int>(Whole(r, "max-attempts", 1));
    if (r.HasMember("allowed-regions")) {
      for (const Value& region : r["allowed-regions"].GetArray()) {
        route.regions.push_back(regions_->Intern(region.GetString()));
      }
    }
    auto add = [&](const char* name, uint32_t weight) {
      if (weight == 0) return;
      route.targets.push_back({names_->Intern(name), weight});
      route.weight_sum += weight;
    };
    if (r.HasMember("target")) {
      add(r["target"].GetString(), 1);
    } else {
      for (const Value& t : r["weighted-targets"].GetArray()) {
        add(t["target"].GetString(), static_cast<uint32_t>(t["weight"].GetInt64()));
      }
    }
    auto shared = std::make_shared<const Route>(std::move(route));
    table_->by_label_.Set(shared->label, shared);
    table_->by_place_.Set(PlaceOf(*shared), shared);
    table_->changed_.push_back(std::move(shared));
  }

  void RemoveRoute(const std::string& label) {
    const SharedRoute* route = table_->by_label_.Find(label);
    if (!route) return;
    table_->by_place_.Erase(PlaceOf(**route));
    table_->by_label_.Erase(label);
  }

 private:
  static std::string PlaceOf(const Route& route) {
    std::string place = route.host;
    place += '\0';
    return place + route.prefix;
  }

  RoutingTable* table_;
  base::Names* names_;
  base::Names* regions_;
};

std::shared_ptr<const RoutingTable> RoutingTable::Build(std::string_view text, base::Names* names,
                                                        base::Names* regions) {
  Document d;
  if (!ReadObject(text, &d)) return nullptr;
  auto table = std::make_shared<RoutingTable>();
  table->revision_ = Whole(d, "revision", 0);
  if (d.HasMember("limits") && d["limits"].IsObject()) {
    const Value& l = d["limits"];
    wire::Limits& limits = table->limits_;
    limits.header_bytes = static_cast<size_t>(Whole(l, "max-header-bytes", 16384));
    limits.body_bytes = static_cast<size_t>(Whole(l, "max-body-bytes", 64 << 20));
    limits.header_ms = Whole(l, "header-timeout-ms", limits.header_ms);
    limits.idle_ms = Whole(l, "idle-timeout-ms", limits.idle_ms);
  }
  Builder builder(table.get(), names, regions);
  for (const Value& s : d["service-list"].GetArray()) builder.Add(s);
  for (const Value& r : d["route-list"].GetArray()) builder.AddRoute(r);
  return table;
}

std::shared_ptr<const RoutingTable> RoutingTable::Patch(const RoutingTable& base,
                                                        std::string_view patch, base::Names* names,
                                                        base::Names* regions) {
  Document p;
  if (!ReadObject(patch, &p)) return nullptr;
  auto table = std::make_shared<RoutingTable>(base);
  table->revision_ = Whole(p, "revision", 0);
  table->changed_.clear();
  Builder builder(table.get(), names, regions);
  auto each = [&p](const char* part, const char* list, auto use) {
    auto at = p.FindMember(part);
    if (at == p.MemberEnd()) return;
    for (const auto& member : at->value.GetObject()) {
      if (member.name != list) continue;
      for (const Value& item : member.value.GetArray()) use(item);
    }
  };
  each("remove", "service-list", [&](const Value& s) { builder.RemoveService(s.GetString()); });
  each("upsert", "service-list", [&](const Value& s) { builder.Add(s); });
  // All that leave their place do so before any takes one; of what is put twice the last counts.
  std::unordered_map<std::string, const Value*> last;
  each("remove", "route-list", [&](const Value& r) { builder.RemoveRoute(r.GetString()); });
  each("upsert", "route-list", [&](const Value& r) {
    builder.RemoveRoute(r["label"].GetString());
    last[r["label"].GetString()] = &r;
  });
  for (const auto& [label, route] : last) builder.AddRoute(*route);
  return table;
}

}  // namespace elderkeel::configuration
