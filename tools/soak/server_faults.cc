#include "soak/server_faults.h"

#include <iterator>

#include "base/random.h"

namespace elderkeel::soak {
namespace {

constexpr base::Millis kPeriodMs = 2000;
constexpr uint64_t kOneInFaultyPeriods = 3;   // of the periods of a server
constexpr uint64_t kOneInFaultyRequests = 3;  // of the requests within a faulty period
constexpr ServerFault kFaults[] = {ServerFault::kRejects,
                                   ServerFault::kServerError,
                                   ServerFault::kSlow,
                                   ServerFault::kResetsBeforeResponse,
                                   ServerFault::kResetsMidBody,
                                   ServerFault::kHangs,
                                   ServerFault::kDuplicatesResponse,
                                   ServerFault::kSendsOtherResponse};

}  // namespace

bool PreventsResponse(ServerFault fault) {
  return fault == ServerFault::kResetsBeforeResponse || fault == ServerFault::kResetsMidBody ||
         fault == ServerFault::kHangs || fault == ServerFault::kSendsOtherResponse;
}

ServerFault ServerFaults::Draw(base::Millis now, const std::string& server,
                               const std::string& attempt_id) const {
  uint64_t period = static_cast<uint64_t>(now / kPeriodMs);
  base::Random period_random(base::Hash(server, seed_ * 1000003 + period));
  if (period_random.Below(kOneInFaultyPeriods) != 0) return ServerFault::kNone;
  ServerFault fault = kFaults[period_random.Below(std::size(kFaults))];
  base::Random request_random(base::Hash(attempt_id, period_random.Next()));
  return request_random.Below(kOneInFaultyRequests) == 0 ? fault : ServerFault::kNone;
}

}  // namespace elderkeel::soak
