#pragma once

#include <string>
#include <vector>

#include "soak/checkers.h"
#include "soak/record.h"
#include "soak/schedule.h"

namespace elderkeel::soak {

// A run without violations is inconclusive if JudgedShare() is below this share.
constexpr double kMinJudgedShare = 0.75;

// Prints to stdout one line per rule, the latencies, the share of the time that was judged, and
// each violation.
void PrintTable(const RecordData& data, double judged, const std::vector<Violation>& violations);

// Writes the schedule, the stalls and each violation with the disturbances around it, as JSON, to
// the file `options.report`, so that a violation can be analysed without repeating the run.
// `command` is the command line of the run.
void WriteReport(const Options& options, const std::string& command,
                 const std::vector<Event>& schedule, const RecordData& data,
                 const std::vector<Violation>& violations);

}  // namespace elderkeel::soak
