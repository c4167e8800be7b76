#include "diagnosis/console.h"

#include <rapidjson/document.h>

#include <cstdio>
#include <iostream>

#include "base/loop.h"
#include "http/http_client.h"

namespace elderkeel::diagnosis {
namespace {

constexpr base::Millis kTimeoutMs = 3000;

// Sends GET `target` to a controller and returns the body. Follows up to `hops` redirects to
// another controller (status 307).
base::Result<std::string> Get(const base::Address& control, const std::string& target,
                              int hops = 2) {
  base::Loop loop;
  http::Limits limits;
  limits.header_bytes = 64 << 10;
  limits.body_bytes = 16 << 20;
  http::HttpCall call(&loop, control, kTimeoutMs, limits);
  http::HttpConnection::Outcome result;
  call.Start("GET " + target + " HTTP/1.1\r\nHost: " + control.ToString() +
                 "\r\nConnection: close\r\n\r\n",
             [&](http::HttpConnection::Outcome&& outcome) {
               result = std::move(outcome);
               loop.Stop();
             });
  loop.Run();
  if (result.ending != http::HttpConnection::Result::kResponse) {
    return base::Failure(base::ErrorCode::kUnavailable, "call", control.ToString(), result.reason);
  }
  if (const std::string* location = result.response.Find("Location");
      result.response.status == 307 && location && hops > 0) {
    // Location has the form http://ADDRESS/TARGET.
    size_t begin = location->find("://"), end = location->find('/', begin + 3);
    if (begin != std::string::npos && end != std::string::npos) {
      auto next = base::ParseAddress(location->substr(begin + 3, end - begin - 3));
      if (next) return Get(*next, target, hops - 1);
    }
  }
  if (result.response.status != 200) {
    return base::Failure(
        result.response.status == 404 ? base::ErrorCode::kNotFound : base::ErrorCode::kUnavailable,
        "call", control.ToString(),
        "HTTP status " + std::to_string(result.response.status) + " " + result.response.body);
  }
  return result.response.body;
}

// Returns the member `key` of `o` as text, or `fallback` if it is absent, null or of another type.
std::string Text(const rapidjson::Value& o, const char* key, const char* fallback = "unknown") {
  auto at = o.FindMember(key);
  if (at == o.MemberEnd() || at->value.IsNull()) return fallback;
  if (at->value.IsString()) return at->value.GetString();
  if (at->value.IsInt64()) return std::to_string(at->value.GetInt64());
  if (at->value.IsUint64()) return std::to_string(at->value.GetUint64());
  if (at->value.IsBool()) return at->value.GetBool() ? "yes" : "no";
  return fallback;
}

// Prints the answer to GET `target` and returns the exit code.
int Show(const base::Address& control, const std::string& target, bool json,
         std::string (*render)(const std::string&, bool*)) {
  auto body = Get(control, target);
  if (!body) {
    std::cerr << "the call to the controller failed: " << body.error().ToString() << "\n";
    return body.error().code == base::ErrorCode::kNotFound ? kDegraded : kUnreachable;
  }
  bool degraded = false;
  std::string text = render(*body, &degraded);
  std::cout << (json ? *body + "\n" : text);
  return degraded ? kDegraded : kSuccess;
}

}  // namespace

std::string StatusText(const std::string& json, bool* degraded) {
  rapidjson::Document d;
  d.Parse(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject()) {
    *degraded = true;
    return "the answer can't be read\n";
  }
  std::string out;
  auto line = [&](const std::string& text) { out += text + "\n"; };
  bool settled = d.HasMember("settled") && d["settled"].IsBool() && d["settled"].GetBool();
  *degraded = !settled;
  line("asked       " + Text(d, "node") + " (" + Text(d, "role") + ", term " + Text(d, "term") +
       ")");
  if (d.HasMember("store") && d["store"].IsObject()) {
    std::string reason = Text(d["store"], "reason", "");
    line("store       " + Text(d["store"], "state") + (reason.empty() ? "" : ": " + reason));
  }
  line("leader      " + Text(d, "leader") + (settled ? "" : "   no majority is heard"));
  if (!settled) line("unknown     " + Text(d, "unknown", "whether anything below is the newest"));
  line("revision    " + Text(d, "revision"));
  if (d.HasMember("duty") && d["duty"].IsObject()) {
    line("duty        held by " + Text(d["duty"], "holder", "nobody known") + ", epoch " +
         Text(d["duty"], "epoch"));
  }
  if (d.HasMember("catalog") && d["catalog"].IsObject()) {
    std::string age = Text(d["catalog"], "age-ms");
    line("catalog     " + Text(d["catalog"], "servers") + " servers, read " +
         (age == "-1" ? std::string("never") : age + " ms ago"));
  }
  if (d.HasMember("evacuation") && d["evacuation"].IsObject()) {
    std::string zones;
    if (d["evacuation"].HasMember("zones") && d["evacuation"]["zones"].IsArray()) {
      for (const auto& zone : d["evacuation"]["zones"].GetArray()) {
        zones += (zones.empty() ? "" : ", ") + std::string(zone.GetString());
      }
    }
    line("evacuated   " + (zones.empty() ? std::string("no zone") : zones));
  }
  if (d.HasMember("rollouts") && d["rollouts"].IsArray()) {
    for (const auto& r : d["rollouts"].GetArray()) {
      line("roll-out    " + Text(r, "service") + " to " + Text(r, "version") + ": " +
           Text(r, "stage") + ", " + Text(r, "reason"));
    }
  }
  line("voters");
  if (d.HasMember("voters") && d["voters"].IsArray()) {
    for (const auto& v : d["voters"].GetArray()) {
      std::string silent = Text(v, "silent-ms", "");
      line("  " + Text(v, "address") + "  control " + Text(v, "control") +
           (silent.empty()   ? ""
            : silent == "-1" ? "  never heard"
                             : "  silent for " + silent + " ms"));
    }
  }
  line("nodes");
  if (d.HasMember("nodes") && d["nodes"].IsArray()) {
    for (const auto& n : d["nodes"].GetArray()) {
      std::string state = Text(n, "state"), revision = Text(n, "revision", "");
      if (state != "alive" || revision == "unknown") *degraded = true;
      line("  " + Text(n, "address") + "  " + Text(n, "program") + "  " + Text(n, "zone") + "  " +
           state +
           (revision.empty() ? "" : "  revision " + revision + "  ready " + Text(n, "ready")));
    }
  }
  line("last events");
  if (d.HasMember("events") && d["events"].IsArray()) {
    for (const auto& e : d["events"].GetArray()) {
      line("  " + Text(e, "ago-ms") + " ms ago  " + Text(e, "event") + "  " +
           Text(e, "detail", ""));
    }
  }
  return out;
}

std::string RolloutsText(const std::string& json, bool* degraded) {
  rapidjson::Document d;
  d.Parse(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject() || !d.HasMember("rollouts") || !d["rollouts"].IsArray()) {
    *degraded = true;
    return "the answer can't be read\n";
  }
  std::string out;
  auto line = [&](const std::string& text) { out += text + "\n"; };
  *degraded = Text(d, "settled") != "yes";
  line("asked       " + Text(d, "node"));
  if (*degraded) line("unknown     the votes, and whether what follows is the newest: no leader");
  if (Text(d, "by-order") != "yes") {
    line("note        versions get traffic without an order here: `contracts` lacks `rollout`");
  }
  if (d.HasMember("in-force") && d["in-force"].IsObject()) {
    for (const auto& v : d["in-force"].GetObject()) {
      line("in force    " + std::string(v.name.GetString()) + "  " + v.value.GetString());
    }
  }
  for (const auto& r : d["rollouts"].GetArray()) {
    line("roll-out    " + Text(r, "service") + " from " + Text(r, "from") + " to " +
         Text(r, "version") + ": " + Text(r, "status") + " (" + Text(r, "stage") + "), " +
         Text(r, "elapsed-ms") + " ms of " + Text(r, "over-ms"));
    line("  reason    " + Text(r, "reason"));
    if (!r.HasMember("watchers") || !r["watchers"].IsArray()) continue;
    const rapidjson::Value* newest = nullptr;
    for (const auto& w : r["watchers"].GetArray()) {
      std::string ago = Text(w, "ago-ms", "");
      line("  watcher   " + Text(w, "address") + "  " + Text(w, "vote") +
           (ago.empty() ? "" : ", " + ago + " ms ago") +
           (Text(w, "why", "").empty() ? "" : ": " + Text(w, "why", "")));
      bool newer = !newest || std::stoll("0" + ago) < std::stoll("0" + Text(*newest, "ago-ms"));
      if (!ago.empty() && newer) newest = &w;
    }
    if (!newest) continue;
    line("  sent      " + Text(*newest, "sent-to-new") + " of " + Text(*newest, "requests") +
         " requests to the new version; " + Text(*newest, "proxies-heard") + " of " +
         Text(*newest, "proxies-in-sight") + " proxies heard");
    if (Text(*newest, "not-confirmed") != "0" || Text(*newest, "not-heard") != "0") {
      std::string names;
      if (newest->HasMember("missing") && (*newest)["missing"].IsArray()) {
        for (const auto& m : (*newest)["missing"].GetArray()) {
          names += std::string(" ") + m.GetString();
        }
      }
      line("  waits for " + Text(*newest, "not-confirmed") + " that have not confirmed, " +
           Text(*newest, "not-heard") + " that are not heard:" + names);
    }
    if (!newest->HasMember("routes") || !(*newest)["routes"].IsArray()) continue;
    for (const auto& route : (*newest)["routes"].GetArray()) {
      for (const char* version : {"old", "new"}) {
        if (!route.HasMember(version)) continue;
        const auto& c = route[version];
        line("  route     " + Text(route, "route") + "  " + version + ": " + Text(c, "answers") +
             " answers, " + Text(c, "failed") + " failed, " + Text(c, "broken-off") +
             " broken off, " + Text(c, "late") + " late of " + Text(c, "timed"));
      }
    }
  }
  return out;
}

std::string DiagnosisText(const std::string& json, bool* degraded) {
  rapidjson::Document d;
  d.Parse(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject() || !d.HasMember("records")) {
    *degraded = true;
    return "the answer can't be read\n";
  }
  std::string out = "conclusion  " + Text(d, "conclusion") + "\n";
  // An empty list of failures is a normal result. For other queries, an empty result is degraded.
  bool failures = d.HasMember("missing");
  *degraded = d["records"].Empty() && !failures;
  if (failures && Text(d, "missing") != "0") {
    *degraded = true;
    out += "unknown     " + Text(d, "missing") + " failures whose records are no longer kept\n";
  }
  auto unknown = [&](const char* key, const char* why) {
    if (!d.HasMember(key) || !d[key].IsArray() || d[key].Empty()) return;
    *degraded = true;
    out += std::string("unknown     what these nodes recorded, since they ") + why + ":";
    for (const auto& s : d[key].GetArray()) out += std::string(" ") + s.GetString();
    out += "\n";
  };
  unknown("silent", "did not answer");
  unknown("not-asked", "were not asked in time");
  if (Text(d, "cut") == "yes")
    out += "unknown     older records: there were more than an answer holds\n";
  for (const auto& r : d["records"].GetArray()) {
    std::string outcome = Text(r, "outcome", "");
    out += Text(r, "time") + "  " + Text(r, "zone", "") + "  " + Text(r, "node") + "  " +
           (outcome.empty() ? "" : "[" + outcome + "]  ") + Text(r, "record") + "\n";
  }
  return out;
}

int ShowStatus(const base::Address& control, bool json) {
  return Show(control, "/elderkeel/status", json, &StatusText);
}

int ShowFailures(const base::Address& control, const std::string& query, bool json) {
  return Show(control, "/elderkeel/failures" + (query.empty() ? "" : "?" + query), json,
              &DiagnosisText);
}

int ShowRollouts(const base::Address& control, const std::string& service, bool json) {
  return Show(control, "/elderkeel/rollout-report" + (service.empty() ? "" : "?service=" + service),
              json, &RolloutsText);
}

int ShowDiagnosis(const base::Address& control, const std::string& query, bool json) {
  return Show(control, "/elderkeel/diagnose?" + query, json, &DiagnosisText);
}

}  // namespace elderkeel::diagnosis
