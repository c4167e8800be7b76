#pragma once

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"

namespace elderkeel::base {

// An IPv4 address and a port.
struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
  bool operator==(const Address& other) const { return ip == other.ip && port == other.port; }
  bool operator!=(const Address& other) const { return !(*this == other); }
  bool operator<(const Address& other) const {
    return ip != other.ip ? ip < other.ip : port < other.port;
  }
};

// Parses `a.b.c.d:port`. Host names are an error, since no names are resolved.
Result<Address> ParseAddress(const std::string& text);

// The settings of one process, parsed from lines of the form a.b=value and validated against a
// schema. Unknown fields are ignored. docs/settings.md lists all fields. A suffix gives the unit of
// a member: _ms, _s, _mb, _bytes, _percent.
struct Settings {
  std::string node_name;
  std::string role;
  std::string ip;
  std::string zone;
  std::string region;
  std::string entry;      // how clients find the proxies: `directory`, else chosen by the platform
  std::string rollout;    // the kind of deployment; empty for a gateway
  std::string contracts;  // comma-separated list of the platform's rules that are in force
  std::string data_dir;
  std::map<std::string, std::string> zones;  // zone -> region
  std::vector<Address> seeds;                // nodes to contact first in order to join the fleet
  // Listeners: client requests, readiness checks, the operator API, and the directory.
  Address front, readiness, control, directory;
  uint16_t port_first = 0, port_last = 0;  // the port range, inclusive
  bool bootstrap = false;
  int64_t memory_mb = 256;
  int64_t max_fds = 1024;

  // The platform's API, from which the list of servers is read, and its rate limit for all nodes
  // together, in requests per second.
  Address platform;
  double platform_rate_per_s = 10;
  int64_t platform_lag_ms = 1000;

  // Bounds that the platform sets for this fleet.
  int64_t contact_ms = 4000;
  int64_t ack_ms = 5000;
  int64_t drain_ms = 3000;
  // From SIGTERM until the platform kills the process.
  double grace_s = 6;
  int64_t apply_ms = 3000;
  // Retries and hedges of all nodes together: at most `retry_ratio` per request plus `retry_slack`.
  double retry_ratio = 0.1;
  double retry_window_s = 10;
  double retry_slack = 10;
  int64_t evacuate_ms = 5000;
  double warmup_excess = 1.5;  // limit for a server in slow start, as a multiple of its stated rate
  double warmup_slack = 8;     // plus this many requests, in any one second
  double ttl_max_s = 5;        // longest time to live of the directory's answers
  double canary_share = 0.1;   // share of a service's requests that may reach an unproven version
  int64_t canary_slack = 50;   // plus this many requests
  int64_t rollback_ms = 5000;  // from when a version is clearly failing until it gets no requests

  // How many machines, zones and regions may fail at once without loss of acknowledged data.
  int64_t tolerance_machines = 1;
  int64_t tolerance_zones = 0;
  int64_t tolerance_regions = 0;

  // elderkeel's own settings. The defaults suit a fleet of tens of nodes in one region.
  std::string log_level = "info";
  // Interval at which the catalog reader polls the platform's list; 0: PollMs() derives it.
  int64_t poll_ms = 0;
  // A node whose list has not been updated for this long reads the platform's list itself.
  int64_t stale_catalog_ms = 6000;
  int64_t heartbeat_ms = 250;  // interval of the heartbeats between ring neighbours
  int64_t digest_ms = 400;     // interval of the digest exchange with a random peer
  int64_t raft_heartbeat_ms = 120;
  int64_t election_ms = 600;                  // the election timeout is one to two times this
  int64_t connect_ms = 250;                   // timeout for connecting to a server
  int64_t max_buffered_body_bytes = 1 << 20;  // answers up to this size are buffered completely
  int64_t max_queue_wait_percent = 25;  // longest wait for a server, as share of the target latency
  bool hedging_enabled = true;          // hedge slow idempotent requests, within the retry budget
  std::string telemetry_sink = "stdout";
  std::string telemetry_file;
  int64_t telemetry_flush_ms = 500;

  // The interval of polling the platform's list. All proxies must have applied a change of the list
  // at most `drain_ms` after it becomes readable. The default is 30 % of that, within 250 to
  // 10000 ms, which leaves time for another poll if one fails.
  int64_t PollMs() const {
    return poll_ms > 0 ? poll_ms : std::clamp<int64_t>(drain_ms * 3 / 10, 250, 10000);
  }
  int64_t GraceMs() const { return static_cast<int64_t>(grace_s * 1000); }
  // The time within which an acknowledged change reaches all nodes: half of the shortest bound that
  // the platform sets for any kind of change.
  int64_t PropagationMs() const {
    return std::min({apply_ms, drain_ms, evacuate_ms, rollback_ms}) / 2;
  }
  // Returns the region of a zone; empty if the zone is unknown.
  std::string RegionOf(const std::string& of_zone) const {
    auto at = zones.find(of_zone);
    return at == zones.end() ? std::string() : at->second;
  }
  // Whether a version of a service gets traffic only after an operator starts its roll-out. If
  // false, versions don't affect routing.
  bool VersionsByOrder() const;
  uint16_t ControllerPort() const { return port_first; }
  uint16_t ProxyPort() const { return static_cast<uint16_t>(port_first + 1); }
};

// Parses and validates settings. The reason of an error has the form "field: problem".
Result<Settings> ParseSettings(const std::string& text);
Result<Settings> LoadSettings(const std::string& path);
// Returns the path in the environment variable ELDERKEEL_SETTINGS, or the default path.
std::string SettingsPath();

// Splits `text` into its key=value lines, without validation. Blank lines, comments (#) and lines
// without '=' are skipped; the last line of a key wins.
std::map<std::string, std::string> ParseLines(const std::string& text);

// Validates `document` against the JSON schema `schema`. Returns the first violation as
// "field: problem", or an empty string if there is none.
std::string SchemaError(const rapidjson::Document& schema, const rapidjson::Value& document);

// Returns the contents of a file, or kIoError if it can't be opened.
Result<std::string> ReadFile(const std::string& path);

}  // namespace elderkeel::base
