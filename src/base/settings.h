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

// Reads `a.b.c.d:port`; nothing else, since names are not looked up.
Result<Address> ParseAddress(const std::string& text);

// The settings of one process, read from lines of the form a.b=value and checked by a schema.
// Fields that are not known are ignored. docs/settings.md lists them all.
struct Settings {
  std::string node_name;
  std::string role;
  std::string ip;
  std::string zone;
  std::string region;
  std::string entry;      // how clients find this fleet: `directory`, or by the platform's choice
  std::string rollout;    // the kind of deployment; empty for the first kind, a gateway
  std::string contracts;  // the parts of the platform's rules that are in force, joined by commas
  std::string data_dir;
  std::map<std::string, std::string> zones;  // each zone's region
  std::vector<Address> seeds;
  Address front, readiness, control, directory;
  uint16_t port_first = 0, port_last = 0;
  bool bootstrap = false;
  int64_t memory_mb = 256;
  int64_t max_fds = 1024;

  Address platform;
  double platform_rate_per_s = 10;
  int64_t platform_lag_ms = 1000;

  int64_t contact_ms = 4000;
  int64_t ack_ms = 5000;
  int64_t drain_ms = 3000;
  double grace_s = 6;
  int64_t apply_ms = 3000;
  double retry_ratio = 0.1;
  double retry_window_s = 10;
  double retry_slack = 10;
  int64_t evacuate_ms = 5000;
  double warmup_excess = 1.5;  // a cold server may get so many times its stated rate
  double warmup_slack = 8;     // and so many requests on top, in any second
  double ttl_max_s = 5;        // of the directory's answers
  double canary_share = 0.1;   // of a service's requests that may reach a version not proven
  int64_t canary_slack = 50;   // and so many on top
  int64_t rollback_ms = 5000;  // from when a version is plainly bad until nothing is sent there

  // What may be lost at once without loss of what was acknowledged.
  int64_t tolerance_machines = 1;
  int64_t tolerance_zones = 0;
  int64_t tolerance_regions = 0;

  // Ours, with defaults that suit a fleet of tens of nodes in one region.
  std::string log_level = "info";
  int64_t poll_ms =
      0;  // how often the catalog reader reads the platform's list; 0: as `PollMs` says
  int64_t stale_catalog_ms = 6000;  // with no update of the list for so long, a node reads it
  int64_t heartbeat_ms = 250;       // ring heartbeats
  int64_t digest_ms = 400;          // digest exchange with a random peer
  int64_t raft_heartbeat_ms = 120;
  int64_t election_ms = 600;          // an election starts after one to two times this silence
  int64_t connect_ms = 250;           // time for a connection to a server to come up
  int64_t held_body_bytes = 1 << 20;  // answers up to this size are held whole
  int64_t wait_share_percent = 25;    // of a route's aim: the longest wait for a server's slot
  bool second_sends = true;           // a second send of a slow repeatable request, under budget
  std::string telemetry_sink = "stdout";
  std::string telemetry_file;
  int64_t telemetry_flush_ms = 500;

  // A change of the list has `drain_ms` from when it can be read until the last proxy must know it.
  // A third of that goes by until the next reading at worst; a reading that fails has another try.
  int64_t PollMs() const {
    return poll_ms > 0 ? poll_ms : std::clamp<int64_t>(drain_ms * 3 / 10, 250, 10000);
  }
  int64_t GraceMs() const { return static_cast<int64_t>(grace_s * 1000); }
  // Within so long whatever was acknowledged is known everywhere: half of the shortest time that
  // the platform allows for any of it.
  int64_t PropagationMs() const {
    return std::min({apply_ms, drain_ms, evacuate_ms, rollback_ms}) / 2;
  }
  std::string RegionOf(const std::string& of_zone) const {
    auto at = zones.find(of_zone);
    return at == zones.end() ? std::string() : at->second;
  }
  // Servers of a version get traffic only by an operator's order. Elsewhere versions mean nothing.
  bool VersionsByOrder() const;
  uint16_t ControllerPort() const { return port_first; }
  uint16_t ProxyPort() const { return static_cast<uint16_t>(port_first + 1); }
};

// Parses and checks; the error names the field in `peer` position-free form: reason "field: why".
Result<Settings> ParseSettings(const std::string& text);
Result<Settings> LoadSettings(const std::string& path);
// The file that ELDERKEEL_SETTINGS names, or the usual place.
std::string SettingsPath();

// What a settings line holds, before checks: for `check` and for tests.
std::map<std::string, std::string> ParseLines(const std::string& text);

// The first field that breaks `schema` in `document`, as "field: why"; empty when it holds.
std::string SchemaError(const rapidjson::Document& schema, const rapidjson::Value& document);

Result<std::string> ReadFile(const std::string& path);

}  // namespace elderkeel::base
