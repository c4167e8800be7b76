#include "soak/report.h"

#include <rapidjson/ostreamwrapper.h>
#include <rapidjson/prettywriter.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>

namespace elderkeel::soak {
namespace {
// The report lists the disturbances from 2 * kContextMs before a violation to kContextMs after it.
constexpr base::Millis kContextMs = 3000;
}  // namespace

void WriteReport(const Options& options, const std::string& command,
                 const std::vector<Event>& schedule, const RecordData& data,
                 const std::vector<Violation>& violations) {
  std::ofstream file(options.report);
  rapidjson::OStreamWrapper stream(file);
  rapidjson::PrettyWriter<rapidjson::OStreamWrapper> json(stream);
  auto text = [&](const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.c_str());
  };
  auto number = [&](const char* key, int64_t value) {
    json.Key(key);
    json.Int64(value);
  };
  json.StartObject();
  text("command", command);
  number("seed", static_cast<int64_t>(options.seed));
  // All times in this report are relative to this one, which is on the clock of `steady_ms` in the
  // logs of the processes.
  number("began_at_steady_ms", data.began_at);
  json.Key("stalls");
  json.StartArray();
  for (const Stall& stall : data.stalls) {
    json.StartObject();
    number("at_ms", stall.at - data.began_at);
    number("for_ms", stall.for_ms);
    text("process", stall.process.empty() ? "all" : stall.process);
    number("waited_ms", stall.waited_ms);
    json.EndObject();
  }
  json.EndArray();
  json.Key("schedule");
  json.StartArray();
  for (const Event& event : schedule) {
    json.StartObject();
    number("at_ms", event.at);
    text("kind", KindName(event.kind));
    text("target", event.target);
    number("for_ms", event.for_ms);
    json.EndObject();
  }
  json.EndArray();
  json.Key("violations");
  json.StartArray();
  for (const Violation& violation : violations) {
    json.StartObject();
    text("rule", violation.rule);
    number("at_ms", violation.at - data.began_at);
    text("what", violation.text);
    json.Key("around");
    json.StartArray();
    for (const Disturbance& d : data.disturbances) {
      if (d.at < violation.at - 2 * kContextMs || d.at > violation.at + kContextMs) continue;
      json.String((std::to_string(d.at - data.began_at) + " " + KindName(d.kind) + " " + d.target +
                   " " + d.detail)
                      .c_str());
    }
    json.EndArray();
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
}

void PrintTable(const RecordData& data, double judged, const std::vector<Violation>& violations) {
  std::map<std::string, size_t> broken = {
      {"LOST", 0}, {"TWICE", 0},  {"REFUSED", 0}, {"MIXED", 0},    {"UNASKED", 0}, {"ROUTE", 0},
      {"GONE", 0}, {"DENIED", 0}, {"DRAIN", 0},   {"FAILBACK", 0}, {"CONFIG", 0},  {"END", 0}};
  for (const Violation& violation : violations) ++broken[violation.rule];
  std::vector<base::Millis> latencies;
  for (const Request& request : data.requests) {
    if (!request.seal.empty()) latencies.push_back(request.ended_at - request.sent_at);
  }
  std::sort(latencies.begin(), latencies.end());
  auto quantile = [&](double share) {
    if (latencies.empty()) return base::Millis{-1};
    return latencies[static_cast<size_t>(static_cast<double>(latencies.size() - 1) * share)];
  };
  size_t acknowledged =
      static_cast<size_t>(std::count_if(data.changes.begin(), data.changes.end(),
                                        [](const Change& change) { return change.status == 200; }));
  std::printf("requests %zu, served %zu, runs %zu, changes acknowledged %zu of %zu\n",
              data.requests.size(), latencies.size(), data.executions.size(), acknowledged,
              data.changes.size());
  std::printf(
      "latency of served requests, including the work of the servers: median %lld, 99%% %lld, "
      "99.9%% %lld ms\n",
      static_cast<long long>(quantile(0.5)), static_cast<long long>(quantile(0.99)),
      static_cast<long long>(quantile(0.999)));
  std::printf("judged: %.1f %% of the processes' time; %zu CPU stalls%s\n", 100 * judged,
              data.stalls.size(), judged < kMinJudgedShare ? ": too little to be conclusive" : "");
  for (const auto& [rule, count] : broken) {
    std::printf("%-9s %s\n", rule.c_str(),
                count == 0 ? "held" : (std::to_string(count) + " broken").c_str());
  }
  for (const Violation& violation : violations) {
    std::printf("%s at %lld ms: %s\n", violation.rule.c_str(),
                static_cast<long long>(violation.at - data.began_at), violation.text.c_str());
  }
}

}  // namespace elderkeel::soak
