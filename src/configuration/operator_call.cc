#include "configuration/operator_call.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <utility>

#include "base/settings.h"
#include "configuration/configuration_state.h"

namespace elderkeel::configuration {
namespace {

// The maximum size of the body of a roll-out order. A reason in ParseRolloutOrder() states the
// number.
constexpr size_t kMaxOrderBytes = 4096;

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

tl::unexpected<base::Verdict> Reject(int status, std::string reason) {
  return tl::unexpected<base::Verdict>({status, std::move(reason)});
}

// Parses the number in an If-Match header, with or without quotes. Returns -1 if there is no header
// or it holds no number.
int64_t ParseIfMatch(const std::string* header) {
  if (!header) return -1;
  std::string_view text = *header;
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  return http::ParseDecimal(text);
}

tl::expected<OperatorCall, base::Verdict> ParseConfigurationCall(const http::Message& request) {
  if (request.method == "GET") return ReadConfiguration{};
  Change change;
  change.patch = request.method == "PATCH";
  if (!change.patch && request.method != "PUT") return Reject(405, "GET, PUT, PATCH");
  change.if_match = ParseIfMatch(request.Find("If-Match"));
  if (change.if_match < 0) return Reject(400, "If-Match: is missing or not a number");
  base::Verdict size = ConfigurationState::CheckSize(request.body.size());
  if (!size.may_propose()) return tl::unexpected<base::Verdict>(size);
  change.body = request.body;
  return change;
}

tl::expected<OperatorCall, base::Verdict> ParseDrainCall(const http::Message& request) {
  if (request.method != "POST" && request.method != "DELETE") return Reject(405, "POST, DELETE");
  zone_drain::DrainOrder order;
  order.zone = request.Path().substr(kDrainPrefix.size());
  order.drain = request.method == "POST";
  return order;
}

const rapidjson::Document& RolloutOrderSchema() {
  static const rapidjson::Document kSchema = [] {
    rapidjson::Document parsed;
    parsed.Parse(R"({
      "type": "object",
      "required": ["target", "target-revision", "over-s"],
      "properties": {
        "target": {"type": "string", "minLength": 1, "maxLength": 256},
        "target-revision": {"type": "string", "minLength": 1, "maxLength": 128},
        "over-s": {"type": "number", "minimum": 0, "exclusiveMinimum": true, "maximum": 86400}
      }})");
    return parsed;
  }();
  return kSchema;
}

tl::expected<OperatorCall, base::Verdict> ParseRolloutOrder(const std::string& body) {
  if (body.size() > kMaxOrderBytes) return Reject(400, "the body exceeds 4096 bytes");
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject()) {
    return Reject(400, "the body is not a JSON object");
  }
  std::string fault = base::SchemaError(RolloutOrderSchema(), document);
  if (!fault.empty()) return Reject(400, fault);
  rollout::RolloutOrder order;
  order.service = document["target"].GetString();
  order.version = document["target-revision"].GetString();
  auto time_limit_ms = static_cast<int64_t>(document["over-s"].GetDouble() * 1000);
  order.time_limit_ms = std::max<int64_t>(1, time_limit_ms);
  return order;
}

tl::expected<OperatorCall, base::Verdict> ParseRolloutCall(const http::Message& request) {
  std::string_view path = request.Path();
  if (StartsWith(path, kRolloutPrefix)) {
    if (request.method != "GET") return Reject(405, "GET");
    return ReadRollout{std::string(path.substr(kRolloutPrefix.size()))};
  }
  if (request.method != "POST") return Reject(405, "POST");
  return ParseRolloutOrder(request.body);
}

}  // namespace

bool IsOperatorPath(std::string_view path) {
  return path == kConfigurationPath || StartsWith(path, kDrainPrefix) || path == kRolloutsPath ||
         StartsWith(path, kRolloutPrefix);
}

tl::expected<OperatorCall, base::Verdict> ParseOperatorCall(const http::Message& request) {
  if (StartsWith(request.Path(), kDrainPrefix)) return ParseDrainCall(request);
  if (request.Path() == kConfigurationPath) return ParseConfigurationCall(request);
  return ParseRolloutCall(request);
}

}  // namespace elderkeel::configuration
