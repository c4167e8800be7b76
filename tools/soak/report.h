#pragma once

#include <string>
#include <vector>

#include "soak/checkers.h"
#include "soak/record.h"
#include "soak/schedule.h"

namespace elderkeel::soak {

// Below this share of the time a run that broke no rule proves nothing.
constexpr double kMinJudgedShare = 0.75;

// Prints a line a rule, the latencies, what share of the time was judged, and each violation.
void PrintTable(const RecordData& data, double judged, const std::vector<Violation>& violations);

// Writes what is needed to understand each violation without another run, as JSON, to
// `options.report`.
void WriteReport(const Options& options, const std::string& command,
                 const std::vector<Event>& schedule, const RecordData& data,
                 const std::vector<Violation>& violations);

}  // namespace elderkeel::soak
