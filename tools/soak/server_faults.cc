#include "soak/server_faults.h"

#include <iterator>

#include "base/random.h"

namespace elderkeel::soak {
namespace {

constexpr base::Millis kSpellMs = 2000;
constexpr uint64_t kOneInSick = 3;  // spells of a server
constexpr uint64_t kOneInHit = 3;   // requests within a spell
constexpr ServerFault kFaults[] = {ServerFault::kTurnsAway,    ServerFault::kOwnFailure,
                                   ServerFault::kSlow,         ServerFault::kCutsBefore,
                                   ServerFault::kCutsMidway,   ServerFault::kHangs,
                                   ServerFault::kAnswersTwice, ServerFault::kAnswersOther};

}  // namespace

bool BreaksOff(ServerFault fault) {
  return fault == ServerFault::kCutsBefore || fault == ServerFault::kCutsMidway ||
         fault == ServerFault::kHangs || fault == ServerFault::kAnswersOther;
}

ServerFault ServerFaults::Draw(base::Millis now, const std::string& server,
                               const std::string& attempt_id) const {
  uint64_t spell = static_cast<uint64_t>(now / kSpellMs);
  base::Random of_spell(base::Hash(server, seed_ * 1000003 + spell));
  if (of_spell.Below(kOneInSick) != 0) return ServerFault::kNone;
  ServerFault fault = kFaults[of_spell.Below(std::size(kFaults))];
  base::Random of_request(base::Hash(attempt_id, of_spell.Next()));
  return of_request.Below(kOneInHit) == 0 ? fault : ServerFault::kNone;
}

}  // namespace elderkeel::soak
