#pragma once

#include <string>
#include <vector>

#include "soak/record.h"

namespace elderkeel::soak {

// The bounds of the rules, in milliseconds, as in the settings of the processes.
struct Bounds {
  base::Millis grace_ms = 6000;
  base::Millis drain_ms = 3000;
  base::Millis contact_ms = 4000;
  double warmup_per_s = 6;
  double warmup_excess = 1.5;
  double warmup_slack = 8;
};

struct Violation {
  std::string rule;
  base::Millis at = 0;
  std::string text;
};

// Each checker judges one rule over a whole record, with the excuses of the rule's wording. Pure.
// docs/soak.md names the sentences.
std::vector<Violation> CheckLost(const RecordData& record, const Bounds& bounds);
// Of connections that are kept, at any time.
std::vector<Violation> CheckKeptConnections(const RecordData& record, const Bounds& bounds);
std::vector<Violation> CheckGone(const RecordData& record, const Bounds& bounds);
std::vector<Violation> CheckDenied(const RecordData& record, const Bounds& bounds);
std::vector<Violation> CheckTwice(const RecordData& record);
std::vector<Violation> CheckRefused(const RecordData& record);
std::vector<Violation> CheckMixed(const RecordData& record);
std::vector<Violation> CheckUnasked(const RecordData& record);
std::vector<Violation> CheckRoute(const RecordData& record);
std::vector<Violation> CheckDrain(const RecordData& record, const Bounds& bounds);
std::vector<Violation> CheckSlowStart(const RecordData& record, const Bounds& bounds);
std::vector<Violation> CheckConfiguration(const RecordData& record);
std::vector<Violation> CheckProcesses(const RecordData& record, const Bounds& bounds);

// All of them.
std::vector<Violation> CheckAll(const RecordData& record, const Bounds& bounds);

// The share of the processes' time in the run that was judged: not lost to stalls.
double JudgedShare(const RecordData& record, size_t processes);

// What a server answers to a request, so that a foreign or spoilt answer shows.
std::string SealOf(const std::string& attempt_id, const std::string& server);
std::string BodyOf(const std::string& attempt_id);

}  // namespace elderkeel::soak
