#include "diagnosis/diagnosis.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <map>
#include <set>

#include "http/http.h"

namespace elderkeel::diagnosis {
namespace {

constexpr size_t kMaxLines = 400;    // in a reply
constexpr size_t kMaxInFlight = 32;  // nodes that were asked and have not replied
// After this time, a node that has not replied no longer counts as in flight. A later reply is
// still accepted.
constexpr base::Millis kReplyTimeoutMs = 300;

// A record line with the time and the place of the node that wrote it.
struct FoundRecord {
  int64_t wall_us;
  std::string node;
  std::string zone;
  std::string line;
};

// Formats a time in us since the Unix epoch as UTC.
std::string TimeOfDay(int64_t us) {
  time_t seconds = us / 1000000;
  tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  size_t n = strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  snprintf(text + n, sizeof text - n, ".%06dZ", static_cast<int>(us % 1000000));
  return text;
}

// Returns a sentence that sums up the records. It states nothing that is not in them.
std::string Summarize(const Question& question, const std::vector<FoundRecord>& found) {
  if (found.empty()) {
    return question.about == Question::About::kFailures ? "no record of a failure"
                                                        : "no matching record";
  }
  switch (question.about) {
    case Question::About::kAttempt: {
      const std::string& line = found.back().line;
      std::string status = ValueOf(line, "status"), sends = ValueOf(line, "sends");
      std::string text =
          found.back().node + (status == "0" ? " sent no answer" : " answered " + status);
      text += " after " + sends + (sends == "1" ? " send" : " sends");
      if (ValueOf(line, "server") != "none") text += ", the last to " + ValueOf(line, "server");
      std::string reason = ValueOf(line, "reason");
      if (!reason.empty()) text += "; decided at step " + ValueOf(line, "step") + ": " + reason;
      return text;
    }
    case Question::About::kServer: {
      size_t requests = 0, failed = 0;
      std::set<std::string> nodes;
      for (const FoundRecord& f : found) {
        std::string event = ValueOf(f.line, "event");
        if (event.rfind("request.", 0) != 0) continue;
        ++requests;
        std::string status = ValueOf(f.line, "status");
        if (status.empty() || status[0] != '2') {
          ++failed;
          nodes.insert(f.node);
        }
      }
      return std::to_string(requests) + " requests ended there, " + std::to_string(failed) +
             " of them without success, seen by " + std::to_string(nodes.size()) + " nodes";
    }
    case Question::About::kRevision: {
      std::set<std::string> adopted;
      size_t requests = 0;
      for (const FoundRecord& f : found) {
        if (ValueOf(f.line, "event") == "version.adopted") {
          adopted.insert(f.node);
        } else {
          ++requests;
        }
      }
      return std::to_string(adopted.size()) + " nodes recorded its adoption, " +
             std::to_string(requests) + " requests were handled with it";
    }
    case Question::About::kFailures: {
      std::map<std::string, size_t> routes;
      std::set<std::string> nodes;
      for (const FoundRecord& f : found) {
        ++routes[ValueOf(f.line, "route")];
        nodes.insert(f.node);
      }
      std::string text = std::to_string(found.size()) + " requests failed on " +
                         std::to_string(nodes.size()) + " nodes:";
      for (const auto& [route, count] : routes) text += " " + route + " " + std::to_string(count);
      return text;
    }
    case Question::About::kNode:
      break;
  }
  return "";
}

}  // namespace

std::string ValueOf(std::string_view line, std::string_view key) {
  std::string wanted = std::string(key) + "=";
  size_t at = 0;
  while (at < line.size()) {
    // A value may be quoted and contain spaces; a key contains neither.
    size_t equals = line.find('=', at);
    if (equals == std::string_view::npos) return "";
    bool found = line.substr(at, equals + 1 - at) == wanted;
    std::string value;
    size_t i = equals + 1;
    if (i < line.size() && line[i] == '"') {
      for (++i; i < line.size() && line[i] != '"'; ++i) {
        if (line[i] == '\\' && i + 1 < line.size()) ++i;
        value.push_back(line[i]);
      }
      ++i;
    } else {
      while (i < line.size() && line[i] != ' ') value.push_back(line[i++]);
    }
    if (found) return value;
    at = i + 1;
  }
  return "";
}

namespace {
// Whether `value` is valid in a query. Escapes are not decoded, so characters that would need them
// are rejected.
bool IsPlainValue(std::string_view value) {
  return !value.empty() && value.size() <= 64 &&
         std::all_of(value.begin(), value.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f && c != '&' && c != '%'; });
}
}  // namespace

base::Result<Question> Question::ParseFailures(std::string_view query) {
  Question question;
  question.about = About::kFailures;
  while (!query.empty()) {
    size_t end = query.find('&');
    std::string_view pair = query.substr(0, end);
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    size_t equals = pair.find('=');
    std::string_view key = pair.substr(0, equals);
    std::string value(equals == std::string_view::npos ? "" : pair.substr(equals + 1));
    if (!IsPlainValue(value)) {
      return base::Failure(
          base::ErrorCode::kInvalidArgument, "failures", "",
          std::string(key) +
              ": is empty, longer than 64 bytes, or contains a space, &, % or a byte that is not "
              "printable ASCII");
    }
    if (key == "route") {
      question.value = value;
    } else if (key == "zone") {
      question.zone = value;
    } else if (key == "last-s") {
      question.last_s = http::ParseDecimal(value);
      if (question.last_s < 1)
        return base::Failure(base::ErrorCode::kInvalidArgument, "failures", "",
                             "last-s: is not a number of seconds above 0");
    } else {
      return base::Failure(base::ErrorCode::kInvalidArgument, "failures", "",
                           "the query may only contain route, zone and last-s");
    }
  }
  return question;
}

base::Result<Question> Question::Parse(std::string_view query) {
  size_t equals = query.find('=');
  std::string_view key = query.substr(0, equals);
  Question question;
  if (equals != std::string_view::npos) question.value = std::string(query.substr(equals + 1));
  if (key == "attempt") {
    question.about = About::kAttempt;
  } else if (key == "server") {
    question.about = About::kServer;
  } else if (key == "revision") {
    question.about = About::kRevision;
  } else {
    return base::Failure(base::ErrorCode::kInvalidArgument, "diagnose", "",
                         "the query must be attempt=ID, server=ID or revision=NUMBER");
  }
  if (!IsPlainValue(question.value))
    return base::Failure(
        base::ErrorCode::kInvalidArgument, "diagnose", "",
        "the value is empty, longer than 64 bytes, or contains a space, &, % or a byte that is "
        "not printable ASCII");
  return question;
}

bool Question::Matches(std::string_view line) const {
  switch (about) {
    case About::kAttempt:
      return ValueOf(line, "attempt") == value;
    case About::kServer:
      return ValueOf(line, "server") == value;
    case About::kRevision:
      return ValueOf(line, "revision") == value ||
             (ValueOf(line, "event") == "version.adopted" && ValueOf(line, "number") == value);
    case About::kFailures:
      return value.empty() || ValueOf(line, "route") == value;
    case About::kNode:
      return true;
  }
  return false;
}

Reply Select(const Question& question, std::string_view text) {
  Reply reply;
  while (!text.empty()) {
    size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    if (question.Matches(line)) reply.lines.emplace_back(line);
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  if (reply.lines.size() > kMaxLines) {
    reply.cut = true;
    reply.lines.erase(reply.lines.begin(), reply.lines.end() - kMaxLines);
  }
  return reply;
}

Reply SelectFailures(const Question& question, std::string_view text, int64_t now_us) {
  Reply reply = Select(question, text);
  if (question.last_s > 0) {
    auto too_old = [&](const std::string& line) {
      return std::atoll(ValueOf(line, "at_us").c_str()) < now_us - question.last_s * 1000000;
    };
    reply.lines.erase(std::remove_if(reply.lines.begin(), reply.lines.end(), too_old),
                      reply.lines.end());
  }
  return reply;
}

std::string OutcomeOf(std::string_view line) {
  std::string status = ValueOf(line, "status");
  if (status.empty()) return "";
  if (ValueOf(line, "sends") == "0" || status == "503" || status == "429" || status == "408" ||
      status == "421") {
    return "not run";
  }
  // The proxy itself answers with 502 and 504; any other status was sent by a server.
  return status == "0" || status == "502" || status == "504" ? "may have run" : "answered";
}

std::vector<std::string> FleetQuery::Next(base::Millis now) {
  size_t in_flight = 0;
  for (size_t i = 0; i < asked_at_.size(); ++i) {
    in_flight += replies_.count(targets_[i].address) == 0 && now - asked_at_[i] < kReplyTimeoutMs;
  }
  std::vector<std::string> next;
  for (; asked_at_.size() < targets_.size() && in_flight < kMaxInFlight; ++in_flight) {
    next.push_back(targets_[asked_at_.size()].address);
    asked_at_.push_back(now);
  }
  return next;
}

std::string FleetQuery::Report() const {
  std::map<std::string, std::string> zones;
  for (const Target& target : targets_) zones[target.address] = target.zone;
  std::vector<FoundRecord> found;
  bool cut = false;
  uint64_t missing = 0;
  for (const auto& [from, reply] : replies_) {
    cut |= reply.cut;
    missing += reply.missing;
    for (const std::string& line : reply.lines) {
      int64_t at = std::atoll(ValueOf(line, "at_us").c_str());
      auto zone = zones.find(from);
      found.push_back(
          {reply.wall_us + at, reply.node, zone == zones.end() ? "" : zone->second, line});
    }
  }
  std::sort(found.begin(), found.end(),
            [](const FoundRecord& a, const FoundRecord& b) { return a.wall_us < b.wall_us; });
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.StartObject();
  w.Key("conclusion");
  w.String(Summarize(question_, found).c_str());
  w.Key("asked");
  w.Uint64(asked_at_.size());
  // Writes the targets from `first` to before `last` that have not replied.
  auto write_unanswered = [&](const char* key, size_t first, size_t last) {
    w.Key(key);
    w.StartArray();
    for (size_t i = first; i < last; ++i) {
      if (!replies_.count(targets_[i].address)) w.String(targets_[i].address.c_str());
    }
    w.EndArray();
  };
  write_unanswered("silent", 0, asked_at_.size());
  write_unanswered("not-asked", asked_at_.size(), targets_.size());
  w.Key("cut");
  w.Bool(cut);
  if (question_.about == Question::About::kFailures) {
    w.Key("missing");
    w.Uint64(missing);
  }
  w.Key("records");
  w.StartArray();
  for (const FoundRecord& f : found) {
    w.StartObject();
    w.Key("time");
    w.String(TimeOfDay(f.wall_us).c_str());
    w.Key("node");
    w.String(f.node.c_str());
    w.Key("zone");
    w.String(f.zone.c_str());
    if (std::string outcome = OutcomeOf(f.line); !outcome.empty()) {
      w.Key("outcome");
      w.String(outcome.c_str());
    }
    w.Key("record");
    w.String(f.line.c_str());
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize());
}

}  // namespace elderkeel::diagnosis
