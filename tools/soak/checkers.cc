#include "soak/checkers.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace elderkeel::soak {
namespace {

using Kind = Disturbance::Kind;
using ExecutionsByAttempt = std::multimap<std::string, const Execution*>;

// Requests sent up to this time after SIGTERM may be cut off if their work lasts into the last
// sixth of the grace time.
constexpr base::Millis kMaxExcusedSendMs = 3000;
// CheckLost() covers requests that end up to this time after the end of the grace time.
constexpr base::Millis kAfterGraceMs = 1000;
// A proxy may send its time-out response this much before the deadline.
constexpr base::Millis kDeadlineSlackMs = 100;

// Time within which a client's disconnect must have reached proxy and server.
constexpr base::Millis kDisconnectNoticeMs = 500;
constexpr size_t kMaxLateExecutions = 3;  // the rule allows "a few"
constexpr size_t kMaxClosedReusedConnections = 3;
// CheckDenied() allows this many denied requests, and one more for each kRequestsPerExtraDenied
// requests of the run.
constexpr size_t kMaxDenied = 5;
constexpr size_t kRequestsPerExtraDenied = 500;

ExecutionsByAttempt IndexExecutions(const RecordData& record) {
  ExecutionsByAttempt executions;
  for (const Execution& execution : record.executions)
    executions.emplace(execution.attempt_id, &execution);
  return executions;
}

// Whether the whole machine or a process for which `is_relevant` returns true stalled between
// `first` and `last`.
bool HasStall(const RecordData& record, base::Millis first, base::Millis last,
              const std::function<bool(const std::string&)>& is_relevant) {
  return std::any_of(record.stalls.begin(), record.stalls.end(), [&](const Stall& stall) {
    bool within = stall.at <= last && stall.at + stall.for_ms >= first;
    return within && (stall.process.empty() || is_relevant(stall.process));
  });
}

bool IsController(const std::string& process) { return process[0] == 'c'; }
bool IsProxy(const std::string& process) { return process[0] == 'p'; }

// Whether an unplanned disturbance of any process, or a stall of this process or of the whole
// machine, happened between `first` and `last`.
bool HasUnplanned(const RecordData& record, base::Millis first, base::Millis last,
                  const std::string& process) {
  bool unplanned = std::any_of(
      record.disturbances.begin(), record.disturbances.end(),
      [&](const Disturbance& d) { return IsUnplanned(d.kind) && d.at >= first && d.at <= last; });
  return unplanned || HasStall(record, first, last,
                               [&](const std::string& stalled) { return stalled == process; });
}

// Whether the disturbance can interrupt the process's contact with the other processes.
bool DisturbsProcess(const Disturbance& d) {
  return d.kind == Kind::kTerminate || d.kind == Kind::kStart || d.kind == Kind::kExit ||
         IsUnplanned(d.kind);
}

// Whether from `contact-ms` before `first` until `last` the process was neither disturbed nor
// stalled, and no process had an unplanned disturbance.
bool IsUndisturbed(const RecordData& record, const Bounds& bounds, const std::string& process,
                   base::Millis first, base::Millis last) {
  base::Millis from = first - bounds.contact_ms;
  bool disturbed = std::any_of(
      record.disturbances.begin(), record.disturbances.end(), [&](const Disturbance& d) {
        return d.target == process && DisturbsProcess(d) && d.at >= from && d.at <= last;
      });
  return !disturbed && !HasUnplanned(record, from, last, process);
}

// Whether the client received a response of the server, rather than the proxy's own.
bool IsServed(const Request& request) { return !request.seal.empty(); }

// The SIGTERM to the request's proxy whose shutdown the request ended in; null if none.
const Disturbance* FindTermination(const RecordData& record, const Bounds& bounds,
                                   const Request& request) {
  const Disturbance* found = nullptr;
  for (const Disturbance& d : record.disturbances) {
    if (d.kind != Kind::kTerminate || d.target != request.proxy) continue;
    bool around =
        request.ended_at >= d.at && request.ended_at <= d.at + bounds.grace_ms + kAfterGraceMs;
    // A second SIGTERM doesn't restart the grace time, so the first one of a shutdown counts.
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
  ExecutionsByAttempt executions = IndexExecutions(record);
  for (const Request& request : record.requests) {
    auto [first, last] = executions.equal_range(request.attempt_id);
    if (IsServed(request) || first == last || request.client_closed_at >= 0) continue;
    const Disturbance* term = FindTermination(record, bounds, request);
    if (!term) continue;
    base::Millis undisturbed_from = request.sent_at - bounds.contact_ms;
    if (HasUnplanned(record, undisturbed_from, request.ended_at, request.proxy)) continue;
    if (request.ended_at >= request.deadline - kDeadlineSlackMs) continue;
    bool excused = false;
    for (auto execution = first; execution != last; ++execution) {
      bool lasts_into_grace_end =
          execution->second->work_ends_at >= term->at + bounds.grace_ms * 5 / 6;
      bool sent_in_time = request.sent_at <= term->at + kMaxExcusedSendMs;
      excused |= execution->second->aborted_by_server || (lasts_into_grace_end && sent_in_time);
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

std::vector<Violation> CheckReusedConnections(const RecordData& record, const Bounds& bounds) {
  ExecutionsByAttempt executions = IndexExecutions(record);
  size_t closed_connections = 0;
  const Request* last = nullptr;
  for (const Request& request : record.requests) {
    bool closed = request.on_reused_connection && request.status == 0 && request.any_byte_sent;
    bool in_time = request.ended_at < request.deadline - kDeadlineSlackMs;
    if (!closed || !in_time || request.client_closed_at >= 0) continue;
    auto [first, end] = executions.equal_range(request.attempt_id);
    bool server_completed = first != end && std::none_of(first, end, [](const auto& execution) {
                              return execution.second->aborted_by_server;
                            });
    if (!server_completed ||
        !IsUndisturbed(record, bounds, request.proxy, request.sent_at, request.ended_at)) {
      continue;
    }
    ++closed_connections;
    last = &request;
  }
  if (closed_connections <= kMaxClosedReusedConnections) return {};
  return {{"LOST", last->ended_at,
           std::to_string(closed_connections) +
               " reused connections were closed without a response to a forwarded "
               "request, the last with " +
               last->attempt_id}};
}

std::vector<Violation> CheckGone(const RecordData& record, const Bounds& bounds) {
  ExecutionsByAttempt executions = IndexExecutions(record);
  size_t late = 0, lasting = 0, not_cancelled = 0;
  base::Millis at = 0;
  for (const Request& request : record.requests) {
    if (request.client_closed_at < 0) continue;
    base::Millis notice_until = request.client_closed_at + kDisconnectNoticeMs;
    if (!IsUndisturbed(record, bounds, request.proxy, request.sent_at, notice_until)) continue;
    auto [first, last] = executions.equal_range(request.attempt_id);
    for (auto execution = first; execution != last; ++execution) {
      late += execution->second->began_at > notice_until;
      bool lasts =
          execution->second->work_ends_at > notice_until && !execution->second->aborted_by_server;
      if (request.effectful || !lasts) continue;
      ++lasting;
      bool dropped = execution->second->connection_closed_at >= 0 &&
                     execution->second->connection_closed_at <= notice_until;
      not_cancelled += !dropped;
      at = request.client_closed_at;
    }
  }
  std::vector<Violation> violations;
  if (late > kMaxLateExecutions) {
    violations.push_back(
        {"GONE", at,
         std::to_string(late) + " executions began too late after the client disconnected"});
  }
  if (not_cancelled * 4 > lasting) {
    violations.push_back({"GONE", at,
                          "requests that servers continued after the client disconnected: " +
                              std::to_string(not_cancelled) + " of " + std::to_string(lasting)});
  }
  return violations;
}

std::vector<Violation> CheckDenied(const RecordData& record, const Bounds& bounds) {
  const std::set<int> not_executed_statuses = {408, 421, 429};
  size_t denied = 0;
  const Request* last = nullptr;
  for (const Request& request : record.requests) {
    bool own = request.seal.empty() && request.status >= 300 && request.status < 500;
    if (!own || not_executed_statuses.count(request.status) > 0) continue;
    if (!IsUndisturbed(record, bounds, request.proxy, request.sent_at, request.ended_at)) continue;
    ++denied;
    last = &request;
  }
  if (denied <= kMaxDenied + record.requests.size() / kRequestsPerExtraDenied) return {};
  return {{"DENIED", last->ended_at,
           std::to_string(denied) + " valid requests were denied, the last with " +
               std::to_string(last->status)}};
}

std::vector<Violation> CheckTwice(const RecordData& record) {
  std::vector<Violation> violations;
  ExecutionsByAttempt executions = IndexExecutions(record);
  for (const Request& request : record.requests) {
    if (!request.effectful || executions.count(request.attempt_id) < 2) continue;
    violations.push_back({"TWICE", request.sent_at, request.attempt_id + " ran more than once"});
  }
  return violations;
}

std::vector<Violation> CheckRefused(const RecordData& record) {
  std::vector<Violation> violations;
  ExecutionsByAttempt executions = IndexExecutions(record);
  const std::set<int> not_executed_statuses = {408, 421, 429, 503};
  for (const Request& request : record.requests) {
    bool states_not_executed = not_executed_statuses.count(request.status) > 0;
    if (!request.effectful || !states_not_executed || executions.count(request.attempt_id) == 0)
      continue;
    violations.push_back(
        {"REFUSED", request.ended_at,
         request.attempt_id + " ran and was answered " + std::to_string(request.status)});
  }
  return violations;
}

std::vector<Violation> CheckMixed(const RecordData& record) {
  std::vector<Violation> violations;
  ExecutionsByAttempt executions = IndexExecutions(record);
  for (const Request& request : record.requests) {
    if (request.status / 100 != 2) continue;
    auto [first, last] = executions.equal_range(request.attempt_id);
    bool own = std::any_of(first, last, [&](const auto& execution) {
      return request.seal == SealOf(request.attempt_id, execution.second->server);
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
  for (const Execution& execution : record.executions) {
    auto request = sent.find(execution.attempt_id);
    bool asked = request != sent.end() && request->second->method == execution.method &&
                 request->second->path == execution.path;
    if (asked) continue;
    violations.push_back({"UNASKED", execution.began_at,
                          execution.server + " ran " + execution.method + " " + execution.path +
                              " as " + execution.attempt_id});
  }
  return violations;
}

std::vector<Violation> CheckRoute(const RecordData& record) {
  auto service_of = [](const std::string& path) {
    return path.rfind("/write/", 0) == 0 ? "writing" : "reading";
  };
  std::vector<Violation> violations;
  for (const Execution& execution : record.executions) {
    if (execution.service == service_of(execution.path)) continue;
    violations.push_back({"ROUTE", execution.began_at,
                          execution.server + " of " + execution.service + " ran " + execution.path +
                              " as " + execution.attempt_id});
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
  for (const Execution& execution : record.executions) {
    auto drain = drains_at.find(execution.server);
    if (drain == drains_at.end()) continue;
    // The limit doesn't apply while the platform is cut off. The drain time restarts `contact_ms`
    // after the end of such a cut and after each disturbance of a process, since the limit covers
    // only processes that are in contact with the others.
    base::Millis from = drain->second;
    bool cut = false;
    for (const Disturbance& d : record.disturbances) {
      if (d.at > execution.began_at) continue;
      if (d.kind == Kind::kPlatformCut) cut = true;
      if (d.kind == Kind::kPlatformHealed) cut = false;
      if (d.kind == Kind::kPlatformHealed || DisturbsProcess(d)) {
        from = std::max(from, d.at + bounds.contact_ms);
      }
    }
    if (cut || execution.began_at <= from + bounds.drain_ms) continue;
    // Any controller may be the one that reads the list and informs the proxy.
    const std::string& proxy = proxies[execution.attempt_id];
    auto is_relevant = [&](const std::string& process) {
      return process == proxy || IsController(process);
    };
    if (HasStall(record, drain->second, execution.began_at, is_relevant)) continue;
    violations.push_back({"DRAIN", execution.began_at,
                          execution.server + " began " + execution.attempt_id + " " +
                              std::to_string(execution.began_at - drain->second) +
                              " ms after the list showed it as draining"});
  }
  return violations;
}

std::vector<Violation> CheckSlowStart(const RecordData& record, const Bounds& bounds) {
  std::map<std::string, base::Millis> warm_at;
  for (const Disturbance& d : record.disturbances) {
    if (d.kind == Kind::kServerSlowStart) warm_at[d.target] = d.at + std::stoll(d.detail);
  }
  std::map<std::string, std::vector<base::Millis>> starts;
  for (const Execution& execution : record.executions) {
    auto warm = warm_at.find(execution.server);
    if (warm != warm_at.end() && execution.began_at < warm->second) {
      starts[execution.server].push_back(execution.began_at);
    }
  }
  double max_starts = bounds.warmup_per_s * bounds.warmup_excess + bounds.warmup_slack;
  std::vector<Violation> violations;
  for (auto& [server, times] : starts) {
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
    if (static_cast<double>(worst) <= max_starts || HasStall(record, at - 1000, at, IsProxy))
      continue;
    violations.push_back(
        {"FAILBACK", at,
         server + " got " + std::to_string(worst) + " requests in a second during its slow start"});
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
                          "read revision " + std::to_string(record.revision_at_end) +
                              ", acknowledged " + std::to_string(acknowledged)});
  }
  return violations;
}

std::vector<Violation> CheckProcesses(const RecordData& record, const Bounds& bounds) {
  struct Signals {
    bool ended = false;  // SIGTERM or SIGKILL was sent since the last start
    base::Millis terminated_at = -1;
  };
  std::map<std::string, Signals> signals;
  std::vector<Violation> violations;
  for (const Disturbance& d : record.disturbances) {
    Signals& process = signals[d.target];
    if (d.kind == Kind::kStart) process = Signals();
    if (d.kind == Kind::kKill) process.ended = true;
    if (d.kind == Kind::kTerminate) {
      process.ended = true;
      if (process.terminated_at < 0) process.terminated_at = d.at;
    }
    if (d.kind != Kind::kExit) continue;
    if (!process.ended) {
      violations.push_back(
          {"END", d.at, d.target + " exited without a signal from the run: " + d.detail});
    } else if (process.terminated_at >= 0 && d.at > process.terminated_at + bounds.grace_ms &&
               !HasUnplanned(record, process.terminated_at - bounds.contact_ms, d.at, d.target)) {
      violations.push_back({"END", d.at, d.target + " was still running after its grace period"});
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
       {CheckLost(record, bounds), CheckReusedConnections(record, bounds),
        CheckGone(record, bounds), CheckDenied(record, bounds), CheckTwice(record),
        CheckRefused(record), CheckMixed(record), CheckUnasked(record), CheckRoute(record),
        CheckDrain(record, bounds), CheckSlowStart(record, bounds), CheckConfiguration(record),
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
    case Kind::kResume:
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
    case Kind::kServerSlowStart:
      return "server_cold";
    case Kind::kPlatformCut:
      return "platform_cut";
    case Kind::kPlatformHealed:
      return "platform_healed";
  }
  return "unknown";
}

bool IsUnplanned(Disturbance::Kind kind) {
  return kind == Kind::kKill || kind == Kind::kFreeze || kind == Kind::kResume;
}

}  // namespace elderkeel::soak
