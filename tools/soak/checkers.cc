#include "soak/checkers.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace elderkeel::soak {
namespace {

using Kind = Disturbance::Kind;
using RunsByAttempt = std::multimap<std::string, const ServerRun*>;

constexpr base::Millis kLastCuttableRequestMs = 3000;  // after SIGTERM
constexpr base::Millis kAfterGraceMs = 1000;           // so long a SIGTERM counts as planned work
constexpr base::Millis kDeadlineSlackMs = 100;  // an answer at the deadline may come so much sooner

constexpr base::Millis kNoticeGoneMs = 500;  // after a client has left
constexpr size_t kLateAfterGoneAllowed = 3;  // requests: "a few"
constexpr size_t kKeptClosedAllowed = 3;     // connections
constexpr size_t kDeniedAllowed = 5;         // requests, and one in so many more
constexpr size_t kOneInDeniedAllowed = 500;

RunsByAttempt IndexRuns(const RecordData& record) {
  RunsByAttempt runs;
  for (const ServerRun& run : record.runs) runs.emplace(run.attempt_id, &run);
  return runs;
}

// Whether between two moments one of the processes that matter, or the machine itself, had no
// processor.
bool AnyStall(const RecordData& record, base::Millis first, base::Millis last,
              const std::function<bool(const std::string&)>& matters) {
  return std::any_of(record.stalls.begin(), record.stalls.end(), [&](const Stall& stall) {
    bool within = stall.at <= last && stall.at + stall.for_ms >= first;
    return within && (stall.process.empty() || matters(stall.process));
  });
}

bool IsController(const std::string& process) { return process[0] == 'c'; }
bool IsProxy(const std::string& process) { return process[0] == 'p'; }

// Whether anything unplanned happened anywhere, or the process had no processor.
bool AnyUnplanned(const RecordData& record, base::Millis first, base::Millis last,
                  const std::string& process) {
  bool unplanned = std::any_of(
      record.disturbances.begin(), record.disturbances.end(),
      [&](const Disturbance& d) { return IsUnplanned(d.kind) && d.at >= first && d.at <= last; });
  return unplanned || AnyStall(record, first, last,
                               [&](const std::string& stalled) { return stalled == process; });
}

bool DisturbsProcess(const Disturbance& d) {
  return d.kind == Kind::kTerminate || d.kind == Kind::kStart || d.kind == Kind::kExit ||
         IsUnplanned(d.kind);
}

// Whether nothing befell the process, or the whole fleet unplanned, from `contact-ms` before the
// first moment to the last.
bool InTouch(const RecordData& record, const Bounds& bounds, const std::string& process,
             base::Millis first, base::Millis last) {
  base::Millis from = first - bounds.contact_ms;
  bool disturbed = std::any_of(
      record.disturbances.begin(), record.disturbances.end(), [&](const Disturbance& d) {
        return d.target == process && DisturbsProcess(d) && d.at >= from && d.at <= last;
      });
  return !disturbed && !AnyUnplanned(record, from, last, process);
}

bool IsServed(const Request& request) { return !request.seal.empty(); }

// The SIGTERM of the request's proxy around which the request ended; null if none.
const Disturbance* TerminationAround(const RecordData& record, const Bounds& bounds,
                                     const Request& request) {
  const Disturbance* found = nullptr;
  for (const Disturbance& d : record.disturbances) {
    if (d.kind != Kind::kTerminate || d.target != request.proxy) continue;
    bool around =
        request.ended_at >= d.at && request.ended_at <= d.at + bounds.grace_ms + kAfterGraceMs;
    // A second signal begins nothing new: the first of an end counts.
    if (around && !found) found = &d;
  }
  return found;
}

}  // namespace

std::string SealOf(const std::string& attempt_id, const std::string& server) {
  return attempt_id + "@" + server;
}

std::string BodyOf(const std::string& attempt_id) { return "served " + attempt_id; }

std::vector<Violation> CheckLost(const RecordData& record, const Bounds& bounds) {
  std::vector<Violation> violations;
  RunsByAttempt runs = IndexRuns(record);
  for (const Request& request : record.requests) {
    auto [first, last] = runs.equal_range(request.attempt_id);
    if (IsServed(request) || first == last || request.left_at >= 0) continue;
    const Disturbance* term = TerminationAround(record, bounds, request);
    if (!term) continue;
    base::Millis calm_from = request.sent_at - bounds.contact_ms;
    if (AnyUnplanned(record, calm_from, request.ended_at, request.proxy)) continue;
    if (request.ended_at >= request.deadline - kDeadlineSlackMs) continue;
    bool excused = false;
    for (auto run = first; run != last; ++run) {
      bool at_work_late = run->second->work_ends_at >= term->at + bounds.grace_ms * 5 / 6;
      bool sent_in_time = request.sent_at <= term->at + kLastCuttableRequestMs;
      excused |= run->second->server_broke_off || (at_work_late && sent_in_time);
    }
    if (excused) continue;
    violations.push_back({"LOST", request.ended_at,
                          request.attempt_id + " at " + request.proxy + ", sent " +
                              std::to_string(request.sent_at - term->at) + " ms and ended " +
                              std::to_string(request.ended_at - term->at) +
                              " ms after SIGTERM, its server ends at " +
                              std::to_string(first->second->work_ends_at - term->at) +
                              " ms: status " + std::to_string(request.status) + " " +
                              request.reason});
  }
  return violations;
}

std::vector<Violation> CheckKeptConnections(const RecordData& record, const Bounds& bounds) {
  RunsByAttempt runs = IndexRuns(record);
  size_t closed = 0;
  const Request* last = nullptr;
  for (const Request& request : record.requests) {
    bool cut = request.kept && request.status == 0 && request.any_byte_sent;
    bool in_time = request.ended_at < request.deadline - kDeadlineSlackMs;
    if (!cut || !in_time || request.left_at >= 0) continue;
    auto [first, end] = runs.equal_range(request.attempt_id);
    bool sound = first != end && std::none_of(first, end, [](const auto& run) {
                   return run.second->server_broke_off;
                 });
    if (!sound || !InTouch(record, bounds, request.proxy, request.sent_at, request.ended_at)) {
      continue;
    }
    ++closed;
    last = &request;
  }
  if (closed <= kKeptClosedAllowed) return {};
  return {{"LOST", last->ended_at,
           std::to_string(closed) +
               " kept connections were closed without an answer to what was "
               "passed on, the last with " +
               last->attempt_id}};
}

std::vector<Violation> CheckGone(const RecordData& record, const Bounds& bounds) {
  RunsByAttempt runs = IndexRuns(record);
  size_t late = 0, long_ones = 0, still_at_work = 0;
  base::Millis at = 0;
  for (const Request& request : record.requests) {
    if (request.left_at < 0) continue;
    base::Millis noticed = request.left_at + kNoticeGoneMs;
    if (!InTouch(record, bounds, request.proxy, request.sent_at, noticed)) continue;
    auto [first, last] = runs.equal_range(request.attempt_id);
    for (auto run = first; run != last; ++run) {
      late += run->second->began_at > noticed;
      bool lasts = run->second->work_ends_at > noticed && !run->second->server_broke_off;
      if (request.effectful || !lasts) continue;
      ++long_ones;
      bool dropped = run->second->dropped_at >= 0 && run->second->dropped_at <= noticed;
      still_at_work += !dropped;
      at = request.left_at;
    }
  }
  std::vector<Violation> violations;
  if (late > kLateAfterGoneAllowed) {
    violations.push_back({"GONE", at, std::to_string(late) + " reached a server late"});
  }
  if (still_at_work * 4 > long_ones) {
    violations.push_back({"GONE", at,
                          "servers were still at work on " + std::to_string(still_at_work) +
                              " of " + std::to_string(long_ones)});
  }
  return violations;
}

std::vector<Violation> CheckDenied(const RecordData& record, const Bounds& bounds) {
  const std::set<int> promises = {408, 421, 429};
  size_t denied = 0;
  const Request* last = nullptr;
  for (const Request& request : record.requests) {
    bool own = request.seal.empty() && request.status >= 300 && request.status < 500;
    if (!own || promises.count(request.status) > 0) continue;
    if (!InTouch(record, bounds, request.proxy, request.sent_at, request.ended_at)) continue;
    ++denied;
    last = &request;
  }
  if (denied <= kDeniedAllowed + record.requests.size() / kOneInDeniedAllowed) return {};
  return {{"DENIED", last->ended_at,
           std::to_string(denied) + " proper requests were denied, the last with " +
               std::to_string(last->status)}};
}

std::vector<Violation> CheckTwice(const RecordData& record) {
  std::vector<Violation> violations;
  RunsByAttempt runs = IndexRuns(record);
  for (const Request& request : record.requests) {
    if (!request.effectful || runs.count(request.attempt_id) < 2) continue;
    violations.push_back({"TWICE", request.sent_at, request.attempt_id + " ran more than once"});
  }
  return violations;
}

std::vector<Violation> CheckRefused(const RecordData& record) {
  std::vector<Violation> violations;
  RunsByAttempt runs = IndexRuns(record);
  const std::set<int> promises = {408, 421, 429, 503};
  for (const Request& request : record.requests) {
    bool promised = promises.count(request.status) > 0;
    if (!request.effectful || !promised || runs.count(request.attempt_id) == 0) continue;
    violations.push_back(
        {"REFUSED", request.ended_at,
         request.attempt_id + " ran and was answered " + std::to_string(request.status)});
  }
  return violations;
}

std::vector<Violation> CheckMixed(const RecordData& record) {
  std::vector<Violation> violations;
  RunsByAttempt runs = IndexRuns(record);
  for (const Request& request : record.requests) {
    if (request.status / 100 != 2) continue;
    auto [first, last] = runs.equal_range(request.attempt_id);
    bool own = std::any_of(first, last, [&](const auto& run) {
      return request.seal == SealOf(request.attempt_id, run.second->server);
    });
    if (own && request.body == BodyOf(request.attempt_id)) continue;
    violations.push_back(
        {"MIXED", request.ended_at,
         request.attempt_id + " got \"" + request.body + "\", seal \"" + request.seal + "\""});
  }
  return violations;
}

std::vector<Violation> CheckUnasked(const RecordData& record) {
  std::map<std::string, const Request*> sent;
  for (const Request& request : record.requests) sent[request.attempt_id] = &request;
  std::vector<Violation> violations;
  for (const ServerRun& run : record.runs) {
    auto request = sent.find(run.attempt_id);
    bool asked = request != sent.end() && request->second->method == run.method &&
                 request->second->path == run.path;
    if (asked) continue;
    violations.push_back(
        {"UNASKED", run.began_at,
         run.server + " ran " + run.method + " " + run.path + " as " + run.attempt_id});
  }
  return violations;
}

std::vector<Violation> CheckRoute(const RecordData& record) {
  auto service_of = [](const std::string& path) {
    return path.rfind("/write/", 0) == 0 ? "writing" : "reading";
  };
  std::vector<Violation> violations;
  for (const ServerRun& run : record.runs) {
    if (run.service == service_of(run.path)) continue;
    violations.push_back(
        {"ROUTE", run.began_at,
         run.server + " of " + run.service + " ran " + run.path + " as " + run.attempt_id});
  }
  return violations;
}

std::vector<Violation> CheckDrain(const RecordData& record, const Bounds& bounds) {
  std::map<std::string, base::Millis> drains_at;
  for (const Disturbance& d : record.disturbances) {
    if (d.kind == Kind::kServerDrains) drains_at[d.target] = d.at;
  }
  std::map<std::string, std::string> proxies;  // by attempt
  for (const Request& request : record.requests) proxies[request.attempt_id] = request.proxy;
  std::vector<Violation> violations;
  for (const ServerRun& run : record.runs) {
    auto drain = drains_at.find(run.server);
    if (drain == drains_at.end()) continue;
    // The time doesn't run while the platform is cut off, and binds machines in touch only.
    base::Millis from = drain->second;
    bool cut = false;
    for (const Disturbance& d : record.disturbances) {
      if (d.at > run.began_at) continue;
      if (d.kind == Kind::kPlatformCut) cut = true;
      if (d.kind == Kind::kPlatformHealed) cut = false;
      if (d.kind == Kind::kPlatformHealed || DisturbsProcess(d)) {
        from = std::max(from, d.at + bounds.contact_ms);
      }
    }
    if (cut || run.began_at <= from + bounds.drain_ms) continue;
    // The news comes from whichever controller reads the list.
    const std::string& proxy = proxies[run.attempt_id];
    auto matters = [&](const std::string& process) {
      return process == proxy || IsController(process);
    };
    if (AnyStall(record, drain->second, run.began_at, matters)) continue;
    violations.push_back({"DRAIN", run.began_at,
                          run.server + " began " + run.attempt_id + " " +
                              std::to_string(run.began_at - drain->second) +
                              " ms after the list showed it as draining"});
  }
  return violations;
}

std::vector<Violation> CheckSlowStart(const RecordData& record, const Bounds& bounds) {
  std::map<std::string, base::Millis> warm_at;
  for (const Disturbance& d : record.disturbances) {
    if (d.kind == Kind::kServerCold) warm_at[d.target] = d.at + std::stoll(d.detail);
  }
  std::map<std::string, std::vector<base::Millis>> begun;
  for (const ServerRun& run : record.runs) {
    auto warm = warm_at.find(run.server);
    if (warm != warm_at.end() && run.began_at < warm->second) {
      begun[run.server].push_back(run.began_at);
    }
  }
  double most = bounds.warmup_per_s * bounds.warmup_excess + bounds.warmup_slack;
  std::vector<Violation> violations;
  for (auto& [server, times] : begun) {
    std::sort(times.begin(), times.end());
    size_t worst = 0;
    base::Millis at = 0;
    for (size_t first = 0, last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= 1000) ++first;
      if (last - first + 1 > worst) {
        worst = last - first + 1;
        at = times[last];
      }
    }
    if (static_cast<double>(worst) <= most || AnyStall(record, at - 1000, at, IsProxy)) continue;
    violations.push_back(
        {"FAILBACK", at,
         server + " got " + std::to_string(worst) + " requests in a second in its slow start"});
  }
  return violations;
}

std::vector<Violation> CheckConfiguration(const RecordData& record) {
  int64_t acknowledged = 0;
  std::set<int64_t> sent;
  std::vector<Violation> violations;
  for (const Change& change : record.changes) {
    sent.insert(change.revision);
    if (change.status != 200) continue;
    if (change.revision <= acknowledged) {
      violations.push_back({"CONFIG", change.sent_at,
                            "revision " + std::to_string(change.revision) +
                                " was acknowledged after " + std::to_string(acknowledged)});
    }
    acknowledged = std::max(acknowledged, change.revision);
  }
  if (record.revision_at_end < acknowledged || sent.count(record.revision_at_end) == 0) {
    violations.push_back({"CONFIG", record.ended_at,
                          "read back " + std::to_string(record.revision_at_end) +
                              ", acknowledged " + std::to_string(acknowledged)});
  }
  return violations;
}

std::vector<Violation> CheckProcesses(const RecordData& record, const Bounds& bounds) {
  struct Told {
    bool ended = false;  // by SIGTERM or SIGKILL
    base::Millis terminated_at = -1;
  };
  std::map<std::string, Told> told;
  std::vector<Violation> violations;
  for (const Disturbance& d : record.disturbances) {
    Told& process = told[d.target];
    if (d.kind == Kind::kStart) process = Told();
    if (d.kind == Kind::kKill) process.ended = true;
    if (d.kind == Kind::kTerminate) {
      process.ended = true;
      if (process.terminated_at < 0) process.terminated_at = d.at;
    }
    if (d.kind != Kind::kExit) continue;
    if (!process.ended) {
      violations.push_back({"END", d.at, d.target + " ended by itself: " + d.detail});
    } else if (process.terminated_at >= 0 && d.at > process.terminated_at + bounds.grace_ms &&
               !AnyUnplanned(record, process.terminated_at - bounds.contact_ms, d.at, d.target)) {
      violations.push_back({"END", d.at, d.target + " was still there after its grace time"});
    }
  }
  return violations;
}

double JudgedShare(const RecordData& record, size_t processes) {
  auto run_ms = static_cast<double>(record.ended_at - record.began_at);
  if (run_ms <= 0 || processes == 0) return 0;
  double lost_ms = 0;
  for (const Stall& stall : record.stalls) {
    base::Millis from = std::max(stall.at, record.began_at);
    base::Millis until = std::min(stall.at + stall.for_ms, record.ended_at);
    double span_ms = static_cast<double>(std::max<base::Millis>(0, until - from));
    lost_ms += stall.process.empty() ? span_ms * static_cast<double>(processes) : span_ms;
  }
  return std::max(0.0, 1 - lost_ms / (run_ms * static_cast<double>(processes)));
}

std::vector<Violation> CheckAll(const RecordData& record, const Bounds& bounds) {
  std::vector<Violation> all;
  for (const std::vector<Violation>& found :
       {CheckLost(record, bounds), CheckKeptConnections(record, bounds), CheckGone(record, bounds),
        CheckDenied(record, bounds), CheckTwice(record), CheckRefused(record), CheckMixed(record),
        CheckUnasked(record), CheckRoute(record), CheckDrain(record, bounds),
        CheckSlowStart(record, bounds), CheckConfiguration(record),
        CheckProcesses(record, bounds)}) {
    all.insert(all.end(), found.begin(), found.end());
  }
  return all;
}

const char* KindName(Disturbance::Kind kind) {
  switch (kind) {
    case Kind::kTerminate:
      return "terminate";
    case Kind::kKill:
      return "kill";
    case Kind::kFreeze:
      return "freeze";
    case Kind::kThaw:
      return "thaw";
    case Kind::kReload:
      return "reload";
    case Kind::kStart:
      return "start";
    case Kind::kExit:
      return "exit";
    case Kind::kServerDrains:
      return "server_drains";
    case Kind::kServerGone:
      return "server_gone";
    case Kind::kServerCold:
      return "server_cold";
    case Kind::kPlatformCut:
      return "platform_cut";
    case Kind::kPlatformHealed:
      return "platform_healed";
  }
  return "unknown";
}

bool IsUnplanned(Disturbance::Kind kind) {
  return kind == Kind::kKill || kind == Kind::kFreeze || kind == Kind::kThaw;
}

}  // namespace elderkeel::soak
