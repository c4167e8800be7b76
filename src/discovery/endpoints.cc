#include "discovery/endpoints.h"

#include <rapidjson/document.h>

#include <algorithm>

#include "base/settings.h"

namespace elderkeel::discovery {
namespace {

constexpr int kMaxPages = 1000;

const rapidjson::Document& PageSchema() {
  static const rapidjson::Document kSchema = [] {
    rapidjson::Document d;
    d.Parse(R"({
      "type": "object",
      "required": ["servers"],
      "properties": {
        "servers": {"type": "array", "items": {
          "type": "object",
          "required": ["id", "target", "address", "status"],
          "properties": {
            "id": {"type": "string", "minLength": 1},
            "target": {"type": "string", "minLength": 1},
            "address": {"type": "string"},
            "zone": {"type": "string"},
            "revision": {"type": "string"},
            "capacity": {"type": "number", "minimum": 0},
            "status": {"type": "string"},
            "warmup-left-ms": {"type": "number"}
          }}}
      }})");
    return d;
  }();
  return kSchema;
}

std::string PercentEncode(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : text) {
    if (std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~') {
      out.push_back(static_cast<char>(c));
    } else {
      out.push_back('%');
      out.push_back(kHex[c >> 4]);
      out.push_back(kHex[c & 15]);
    }
  }
  return out;
}

}  // namespace

base::Result<Page> ParsePage(std::string_view text) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (d.HasParseError() || !d.IsObject())
    return base::Failure(base::ErrorCode::kProtocolError, "catalog", "",
                         "page of the server list is not a JSON object");
  std::string fault = base::SchemaError(PageSchema(), d);
  if (!fault.empty()) return base::Failure(base::ErrorCode::kProtocolError, "catalog", "", fault);
  Page page;
  for (const auto& s : d["servers"].GetArray()) {
    Server server;
    auto text_of = [&](const char* name) {
      return s.HasMember(name) ? std::string(s[name].GetString()) : std::string();
    };
    auto number_of = [&](const char* name, int fallback) {
      return s.HasMember(name) ? static_cast<int32_t>(s[name].GetDouble()) : fallback;
    };
    server.id = text_of("id");
    server.service = text_of("target");
    server.address = text_of("address");
    server.zone = text_of("zone");
    server.revision = text_of("revision");
    server.capacity = std::max(1, number_of("capacity", 1));
    server.draining = text_of("status") != "accepting";
    server.slow_start_left_ms = number_of("warmup-left-ms", 0);
    if (!base::ParseAddress(server.address)) {
      return base::Failure(base::ErrorCode::kProtocolError, "catalog", server.id,
                           "address of the server is not an IPv4 address with a port");
    }
    page.servers.push_back(std::move(server));
  }
  auto next = d.FindMember("next-token");
  if (next != d.MemberEnd() && next->value.IsString()) page.next = next->value.GetString();
  return page;
}

bool IsUnchanged(const std::vector<Server>& older, const std::vector<Server>& newer) {
  return std::equal(older.begin(), older.end(), newer.begin(), newer.end(),
                    [](const Server& x, const Server& y) { return x.IsUnchanged(y); });
}

std::vector<std::string> ChangedServerIds(const std::vector<Server>& older,
                                          const std::vector<Server>& newer) {
  std::vector<std::string> ids;
  auto a = older.begin();
  auto b = newer.begin();
  while (a != older.end() || b != newer.end()) {
    if (b == newer.end() || (a != older.end() && a->id < b->id)) {
      ids.push_back((a++)->id);
    } else if (a == older.end() || b->id < a->id) {
      ids.push_back((b++)->id);
    } else {
      if (!a->IsUnchanged(*b)) ids.push_back(a->id);
      ++a, ++b;
    }
  }
  return ids;
}

std::string EndpointListReader::Start() {
  active_ = true;
  pages_ = 0;
  servers_.clear();
  return "/servers";
}

base::Result<std::string> EndpointListReader::AddPage(int status, std::string_view body) {
  if (status != 200) {
    active_ = false;
    return base::Failure(base::ErrorCode::kUnavailable, "catalog", "platform",
                         "server list request got HTTP status " + std::to_string(status));
  }
  auto page = ParsePage(body);
  if (!page) {
    active_ = false;
    return base::Failure(page.error());
  }
  servers_.insert(servers_.end(), page->servers.begin(), page->servers.end());
  if (page->next.empty()) {
    if (std::string fault = MergeDuplicates(); !fault.empty()) {
      active_ = false;
      return base::Failure(base::ErrorCode::kProtocolError, "catalog", "platform", fault);
    }
    return std::string();
  }
  if (++pages_ > kMaxPages) {
    active_ = false;
    return base::Failure(base::ErrorCode::kProtocolError, "catalog", "platform",
                         "server list has more than 1000 pages");
  }
  return "/servers?page-token=" + PercentEncode(page->next);
}

std::vector<Server> EndpointListReader::Finish(base::Millis now) {
  active_ = false;
  for (Server& server : servers_) server.SetSlowStartEnd(now);
  return std::move(servers_);
}

// The list may change while it is read, so that a server appears on two pages. The later entry is
// kept, but a server that drains in either entry is draining, because draining is final. If the two
// entries differ in service or address, the reading fails.
std::string EndpointListReader::MergeDuplicates() {
  std::stable_sort(servers_.begin(), servers_.end(),
                   [](const Server& a, const Server& b) { return a.id < b.id; });
  std::vector<Server> merged;
  for (Server& server : servers_) {
    if (merged.empty() || merged.back().id != server.id) {
      merged.push_back(std::move(server));
      continue;
    }
    Server& before = merged.back();
    if (before.service != server.service || before.address != server.address) {
      return "pages of the server list disagree on the service or address of " + server.id;
    }
    server.draining |= before.draining;
    before = std::move(server);
  }
  servers_ = std::move(merged);
  return "";
}

}  // namespace elderkeel::discovery
