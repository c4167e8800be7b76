#include "diagnosis/console.h"

#include <rapidjson/document.h>

#include <cstdio>
#include <iostream>

#include "base/loop.h"
#include "wire/http_client.h"

namespace elderkeel::diagnosis {
namespace {

constexpr base::Millis kTimeoutMs = 3000;

base::Result<std::string> Get(const base::Address& control, const std::string& target) {
  base::Loop loop;
  wire::Limits limits;
  limits.header_bytes = 64 << 10;
  limits.body_bytes = 16 << 20;
  wire::HttpCall call(&loop, control, kTimeoutMs, limits);
  wire::HttpConnection::Outcome result;
  call.Start("GET " + target + " HTTP/1.1\r\nHost: " + control.ToString() +
                 "\r\nConnection: close\r\n\r\n",
             [&](wire::HttpConnection::Outcome&& outcome) {
               result = std::move(outcome);
               loop.Stop();
             });
  loop.Run();
  if (result.ending != wire::HttpConnection::Ending::kAnswer) {
    return base::Error{"call", control.ToString(), result.reason};
  }
  if (result.answer.status != 200) {
    return base::Error{"call", control.ToString(),
                       "status " + std::to_string(result.answer.status) + " " + result.answer.body};
  }
  return result.answer.body;
}

std::string Text(const rapidjson::Value& o, const char* key, const char* otherwise = "unknown") {
  auto at = o.FindMember(key);
  if (at == o.MemberEnd() || at->value.IsNull()) return otherwise;
  if (at->value.IsString()) return at->value.GetString();
  if (at->value.IsInt64()) return std::to_string(at->value.GetInt64());
  if (at->value.IsUint64()) return std::to_string(at->value.GetUint64());
  if (at->value.IsBool()) return at->value.GetBool() ? "yes" : "no";
  return otherwise;
}

int Show(const base::Address& control, const std::string& target, bool json,
         std::string (*render)(const std::string&, bool*)) {
  auto body = Get(control, target);
  if (!body) {
    std::cerr << "no answer: " << body.error().ToString() << "\n";
    return kUnreachable;
  }
  bool degraded = false;
  std::string text = render(*body, &degraded);
  std::cout << (json ? *body + "\n" : text);
  return degraded ? kDegraded : kWell;
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

std::string DiagnosisText(const std::string& json, bool* degraded) {
  rapidjson::Document d;
  d.Parse(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject() || !d.HasMember("records")) {
    *degraded = true;
    return "the answer can't be read\n";
  }
  std::string out = "conclusion  " + Text(d, "conclusion") + "\n";
  // No failure is good news; no record of what was asked for is none.
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

int ShowDiagnosis(const base::Address& control, const std::string& query, bool json) {
  return Show(control, "/elderkeel/diagnose?" + query, json, &DiagnosisText);
}

}  // namespace elderkeel::diagnosis
