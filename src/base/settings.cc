#include "base/settings.h"

#include <arpa/inet.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "base/log.h"

namespace elderkeel::base {
namespace {

enum class Kind { kText, kInteger, kNumber, kFlag, kAddress, kList };

// A field of the settings file: its rule in the schema and how it is stored in Settings.
struct Field {
  const char* name;
  Kind kind;
  double minimum;  // bounds of integers and numbers
  double maximum;
  bool required;
  std::function<void(Settings*, const rapidjson::Value&)> assign;
};

Address ToAddress(const rapidjson::Value& v) {
  Result<Address> parsed = ParseAddress(v.GetString());
  return parsed ? *parsed : Address{};
}

#define TEXT(name, member, required)                                  \
  {                                                                   \
    name, Kind::kText, 0, 0, required,                                \
        [](Settings* s, const auto& v) { s->member = v.GetString(); } \
  }
#define INTEGER(name, member, minimum, maximum)                      \
  {                                                                  \
    name, Kind::kInteger, minimum, maximum, false,                   \
        [](Settings* s, const auto& v) { s->member = v.GetInt64(); } \
  }
#define NUMBER(name, member, minimum, maximum)                        \
  {                                                                   \
    name, Kind::kNumber, minimum, maximum, false,                     \
        [](Settings* s, const auto& v) { s->member = v.GetDouble(); } \
  }
#define FLAG(name, member)                                                                      \
  {                                                                                             \
    name, Kind::kFlag, 0, 0, false, [](Settings* s, const auto& v) { s->member = v.GetBool(); } \
  }
#define ADDRESS(name, member)                                        \
  {                                                                  \
    name, Kind::kAddress, 0, 0, false,                               \
        [](Settings* s, const auto& v) { s->member = ToAddress(v); } \
  }

const std::vector<Field>& Fields() {
  static const std::vector<Field> kFields = {
      TEXT("node-name", node_name, true),
      TEXT("role", role, false),
      TEXT("ip", ip, true),
      TEXT("zone", zone, true),
      TEXT("region", region, false),
      TEXT("entry", entry, false),
      TEXT("rollout", rollout, false),
      TEXT("contracts", contracts, false),
      TEXT("data-dir", data_dir, false),
      ADDRESS("listeners.front", front),
      ADDRESS("listeners.readiness", readiness),
      ADDRESS("listeners.control", control),
      ADDRESS("listeners.directory", directory),
      ADDRESS("platform.address", platform),
      FLAG("bootstrap", bootstrap),
      INTEGER("limits.memory-mb", memory_mb, 16, 1 << 20),
      INTEGER("limits.max-fds", max_fds, 64, 1 << 22),
      NUMBER("platform.rate-per-s", platform_rate_per_s, 0.1, 1e6),
      INTEGER("platform.max-lag-ms", platform_lag_ms, 0, 600000),
      INTEGER("bounds.contact-ms", contact_ms, 1, 600000),
      INTEGER("bounds.ack-ms", ack_ms, 1, 600000),
      INTEGER("bounds.drain-ms", drain_ms, 1, 600000),
      NUMBER("bounds.grace-s", grace_s, 0.1, 600),
      INTEGER("bounds.apply-ms", apply_ms, 1, 600000),
      NUMBER("bounds.retry-ratio", retry_ratio, 0, 10),
      NUMBER("bounds.retry-window-s", retry_window_s, 0.1, 3600),
      NUMBER("bounds.retry-slack", retry_slack, 0, 1e6),
      INTEGER("bounds.evacuate-ms", evacuate_ms, 1, 600000),
      NUMBER("bounds.warmup-excess", warmup_excess, 0, 100),
      NUMBER("bounds.warmup-slack", warmup_slack, 0, 1e6),
      NUMBER("bounds.ttl_max_s", ttl_max_s, 0, 3600),
      NUMBER("bounds.canary-share", canary_share, 0, 1),
      INTEGER("bounds.canary-slack", canary_slack, 0, 1000000),
      INTEGER("bounds.rollback-ms", rollback_ms, 1, 600000),
      INTEGER("tolerance.machines", tolerance_machines, 0, 1000),
      INTEGER("tolerance.zones", tolerance_zones, 0, 1000),
      INTEGER("tolerance.region-list", tolerance_regions, 0, 1000),
      TEXT("elderkeel.log-level", log_level, false),
      INTEGER("elderkeel.poll-ms", poll_ms, 0, 60000),
      INTEGER("elderkeel.stale-catalog-ms", stale_catalog_ms, 500, 600000),
      INTEGER("elderkeel.heartbeat-ms", heartbeat_ms, 20, 10000),
      INTEGER("elderkeel.digest-ms", digest_ms, 20, 10000),
      INTEGER("elderkeel.raft-heartbeat-ms", raft_heartbeat_ms, 10, 10000),
      INTEGER("elderkeel.election-ms", election_ms, 50, 60000),
      INTEGER("elderkeel.connect-ms", connect_ms, 10, 60000),
      INTEGER("elderkeel.held-body-bytes", max_buffered_body_bytes, 1024, 1 << 28),
      INTEGER("elderkeel.wait-share-percent", max_queue_wait_percent, 0, 100),
      FLAG("elderkeel.second-sends", hedging_enabled),
      TEXT("elderkeel.telemetry-sink", telemetry_sink, false),
      TEXT("elderkeel.telemetry-file", telemetry_file, false),
      INTEGER("elderkeel.telemetry-flush-ms", telemetry_flush_ms, 10, 60000),
      {"port-range", Kind::kList, 0, 0, true,
       [](Settings* s, const auto& v) {
         s->port_first = static_cast<uint16_t>(std::atoi(v[0].GetString()));
         s->port_last = static_cast<uint16_t>(std::atoi(v[v.Size() - 1].GetString()));
       }},
      {"seed-list", Kind::kList, 0, 0, false,
       [](Settings* s, const auto& v) {
         for (const auto& item : v.GetArray()) {
           Result<Address> parsed = ParseAddress(item.GetString());
           if (parsed) s->seeds.push_back(*parsed);
         }
       }},
  };
  return kFields;
}

rapidjson::Document BuildSchema() {
  rapidjson::Document schema(rapidjson::kObjectType);
  auto& a = schema.GetAllocator();
  rapidjson::Value properties(rapidjson::kObjectType);
  rapidjson::Value required(rapidjson::kArrayType);
  for (const Field& field : Fields()) {
    rapidjson::Value rule(rapidjson::kObjectType);
    switch (field.kind) {
      case Kind::kText:
        rule.AddMember("type", "string", a);
        if (field.required) rule.AddMember("minLength", 1, a);
        break;
      case Kind::kAddress:
        rule.AddMember("type", "string", a);
        rule.AddMember("pattern", "^[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]+$", a);
        break;
      case Kind::kInteger:
        rule.AddMember("type", "integer", a);
        rule.AddMember("minimum", static_cast<int64_t>(field.minimum), a);
        rule.AddMember("maximum", static_cast<int64_t>(field.maximum), a);
        break;
      case Kind::kNumber:
        rule.AddMember("type", "number", a);
        rule.AddMember("minimum", field.minimum, a);
        rule.AddMember("maximum", field.maximum, a);
        break;
      case Kind::kFlag:
        rule.AddMember("type", "boolean", a);
        break;
      case Kind::kList:
        rule.AddMember("type", "array", a);
        break;
    }
    properties.AddMember(rapidjson::Value(field.name, a), rule, a);
    if (field.required) required.PushBack(rapidjson::Value(field.name, a), a);
  }
  schema.AddMember("type", "object", a);
  schema.AddMember("properties", properties, a);
  schema.AddMember("required", required, a);
  return schema;
}

// Removes spaces, tabs and carriage returns at both ends.
std::string Trim(const std::string& text) {
  size_t first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

// Returns the trimmed parts of `text` between separators, without empty ones.
std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    part = Trim(part);
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

// Converts a value to the type of its field. A value that can't be converted stays a string, so
// that the validation reports the wrong type.
rapidjson::Value ToJson(const Field& field, const std::string& text,
                        rapidjson::Document::AllocatorType& a) {
  char* end = nullptr;
  switch (field.kind) {
    case Kind::kInteger: {
      long long n = std::strtoll(text.c_str(), &end, 10);
      if (!text.empty() && *end == '\0') return rapidjson::Value(static_cast<int64_t>(n));
      double d = std::strtod(text.c_str(), &end);
      if (!text.empty() && *end == '\0' && d == static_cast<double>(static_cast<int64_t>(d))) {
        return rapidjson::Value(static_cast<int64_t>(d));
      }
      break;
    }
    case Kind::kNumber: {
      double n = std::strtod(text.c_str(), &end);
      if (!text.empty() && *end == '\0') return rapidjson::Value(n);
      break;
    }
    case Kind::kFlag:
      if (text == "true" || text == "false") return rapidjson::Value(text == "true");
      break;
    case Kind::kList: {
      rapidjson::Value list(rapidjson::kArrayType);
      for (const std::string& part : Split(text, ',')) {
        list.PushBack(rapidjson::Value(part.c_str(), a), a);
      }
      return list;
    }
    default:
      break;
  }
  return rapidjson::Value(text.c_str(), a);
}

tl::unexpected<Error> InvalidSetting(const std::string& reason) {
  return Failure(ErrorCode::kInvalidArgument, "settings", "", reason);
}

}  // namespace

bool Settings::VersionsByOrder() const {
  std::vector<std::string> parts = Split(contracts, ',');
  return std::find(parts.begin(), parts.end(), "rollout") != parts.end();
}

Result<Address> ParseAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return Failure(ErrorCode::kInvalidArgument, "address", text, "has no port");
  Address address{text.substr(0, colon), 0};
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return Failure(ErrorCode::kInvalidArgument, "address", text, "is not an IPv4 address");
  }
  char* end = nullptr;
  long port = std::strtol(text.c_str() + colon + 1, &end, 10);
  if (end == text.c_str() + colon + 1 || *end != '\0' || port < 1 || port > 65535) {
    return Failure(ErrorCode::kInvalidArgument, "address", text,
                   "the port is not a number from 1 to 65535");
  }
  address.port = static_cast<uint16_t>(port);
  return address;
}

std::map<std::string, std::string> ParseLines(const std::string& text) {
  std::map<std::string, std::string> lines;
  std::stringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    line = Trim(line);
    size_t equals = line.find('=');
    if (line.empty() || line[0] == '#' || equals == std::string::npos) continue;
    lines[Trim(line.substr(0, equals))] = Trim(line.substr(equals + 1));
  }
  return lines;
}

std::string SchemaError(const rapidjson::Document& schema, const rapidjson::Value& document) {
  rapidjson::SchemaDocument compiled(schema);
  rapidjson::SchemaValidator validator(compiled);
  if (document.Accept(validator)) return "";
  rapidjson::StringBuffer where;
  validator.GetInvalidDocumentPointer().StringifyUriFragment(where);
  std::string path = where.GetString();
  std::string field = path.size() > 2 ? path.substr(2) : "document";
  std::string rule =
      validator.GetInvalidSchemaKeyword() ? validator.GetInvalidSchemaKeyword() : "unknown";
  if (rule == "required") {
    // The RapidJSON release in use reports only that the rule `required` failed, so the missing
    // field is looked up.
    const rapidjson::Value* object = validator.GetInvalidDocumentPointer().Get(document);
    const rapidjson::Value* rules = validator.GetInvalidSchemaPointer().Get(schema);
    if (object && object->IsObject() && rules && rules->IsObject() &&
        rules->HasMember("required")) {
      for (const auto& name : (*rules)["required"].GetArray()) {
        if (!object->HasMember(name)) {
          return (path.size() > 2 ? field + "/" : "") + name.GetString() + ": is missing";
        }
      }
    }
    return field + ": a required field is missing";
  }
  if (rule == "type") return field + ": has the wrong type";
  if (rule == "minimum" || rule == "exclusiveMinimum") return field + ": is too small";
  if (rule == "maximum") return field + ": is too large";
  if (rule == "pattern") return field + ": has the wrong form";
  return field + ": breaks the rule '" + rule + "'";
}

Result<Settings> ParseSettings(const std::string& text) {
  static const rapidjson::Document kSchema = BuildSchema();
  std::map<std::string, std::string> lines = ParseLines(text);
  rapidjson::Document document(rapidjson::kObjectType);
  for (const Field& field : Fields()) {
    auto at = lines.find(field.name);
    // An optional field with an empty value is treated as absent.
    if (at == lines.end() || (at->second.empty() && !field.required)) continue;
    document.AddMember(rapidjson::StringRef(field.name),
                       ToJson(field, at->second, document.GetAllocator()), document.GetAllocator());
  }
  std::string fault = SchemaError(kSchema, document);
  if (!fault.empty()) return InvalidSetting(fault);

  Settings settings;
  for (const Field& field : Fields()) {
    if (!document.HasMember(field.name)) continue;
    const rapidjson::Value& value = document[field.name];
    if (field.kind == Kind::kAddress && !ParseAddress(value.GetString())) {
      return InvalidSetting(std::string(field.name) + ": is not an address and port");
    }
    if (std::string(field.name) == "port-range" && value.Size() != 2) {
      return InvalidSetting("port-range: needs a first and a last port");
    }
    field.assign(&settings, value);
  }
  for (const auto& [name, value] : lines) {
    if (name.rfind("zones.", 0) == 0) settings.zones[name.substr(6)] = value;
  }
  if (lines.count("seed-list") && settings.seeds.size() != Split(lines["seed-list"], ',').size()) {
    return InvalidSetting("seed-list: holds something that is not an address and port");
  }
  if (settings.region.empty()) settings.region = settings.RegionOf(settings.zone);
  if (settings.poll_ms > 0 && settings.poll_ms < 50)
    return InvalidSetting("elderkeel.poll-ms: is too small");
  in_addr parsed{};
  if (inet_pton(AF_INET, settings.ip.c_str(), &parsed) != 1) {
    return InvalidSetting("ip: is not an IPv4 address");
  }
  if (ParseLogLevel(settings.log_level, LogLevel::kDebug) !=
      ParseLogLevel(settings.log_level, LogLevel::kError)) {
    return InvalidSetting("elderkeel.log-level: is none of debug, info, warn, error");
  }
  if (settings.telemetry_sink != "stdout" && settings.telemetry_sink != "file") {
    return InvalidSetting("elderkeel.telemetry-sink: is none of stdout, file");
  }
  if (settings.telemetry_sink == "file" && settings.telemetry_file.empty()) {
    return InvalidSetting("elderkeel.telemetry-file: is missing for the sink 'file'");
  }
  if (settings.port_first == 0 || settings.port_last < settings.port_first + 1) {
    return InvalidSetting("port-range: needs at least two ports");
  }
  return settings;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Failure(ErrorCode::kIoError, "read", path, "cannot be opened");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Result<Settings> LoadSettings(const std::string& path) {
  Result<std::string> text = ReadFile(path);
  if (!text) return Failure(text.error());
  return ParseSettings(*text);
}

std::string SettingsPath() {
  const char* path = std::getenv("ELDERKEEL_SETTINGS");
  return path && *path ? path : "/etc/elderkeel/settings.conf";
}

}  // namespace elderkeel::base
