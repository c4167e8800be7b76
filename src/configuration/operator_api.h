#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/verdict.h"
#include "configuration/configuration_state.h"
#include "configuration/operator_call.h"
#include "configuration/replicated_log.h"
#include "http/http.h"
#include "rollout/rollouts.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::configuration {

// The operator's interface, as a pure state machine: calls go in, answers and proposals come out.
//
// Changes are taken one at a time: a verdict never rests on an entry that is not committed, and
// every verdict is confirmed with a majority first (docs/consensus.md, reads). Each call is
// answered within `patience`, by a 503 if need be, since callers then try elsewhere. An order that
// waits here while its opposite takes effect, or whose caller has gone, may be the late copy of one
// that was acknowledged elsewhere: it is not proposed any more.
class OperatorApi {
 public:
  using Answer = std::function<void(uint64_t ticket, const http::Message&)>;

  // The states are those that the log's entries are applied to; all pointers outlive this object.
  OperatorApi(ReplicatedLog* log, const ConfigurationState* state,
              const zone_drain::DrainedZones* drained_zones, const rollout::Rollouts* rollouts,
              Answer answer, base::Millis patience = 850)
      : log_(log),
        state_(state),
        drained_zones_(drained_zones),
        rollouts_(rollouts),
        answer_(std::move(answer)),
        patience_(patience) {}

  void OnRequest(base::Millis now, uint64_t ticket, const http::Message& request);
  // The caller closed its connection: what was not proposed yet will not be.
  void OnCallerGone(uint64_t ticket);
  void OnReadFinished(base::Millis now, uint64_t token, bool confirmed);
  // The entry at `index` was applied to the states.
  void OnApplied(base::Millis now, uint64_t index);
  // Leadership came, went or became able to answer; it may also have gone and come back since the
  // last call.
  void OnRoleChanged();
  void Tick(base::Millis now);
  // Tokens from here on are this interface's; lower ones belong to others.
  static constexpr uint64_t kFirstToken = 1ull << 32;

 private:
  struct PendingCall {
    uint64_t ticket = 0;
    OperatorCall call;
    bool read_requested = false;  // a majority is asked for confirmation
    bool confirmed = false;
    base::Millis deadline = 0;
    // Of the order to drain a zone or take it back: how the zone was when last seen, and whether it
    // went the other way while the call waited.
    bool drained = false;
    bool opposed = false;
    // Of the order of a roll-out: the number of the service's newest one on arrival; 0 for none.
    uint64_t newest_rollout = 0;
  };
  using PendingCalls = std::map<uint64_t, PendingCall>;  // by token: the order of arrival

  // The entry that is proposed and not applied yet, and the call that it is for.
  struct InFlight {
    uint64_t index = 0;
    uint64_t token = 0;
  };

  void Serve(base::Millis now);
  // Serves one confirmed call: true if it was answered.
  bool ServeCall(base::Millis now, uint64_t token, const PendingCall& pending);
  void RequestRead(uint64_t token);
  base::Verdict Evaluate(const OperatorCall& call) const;
  base::Verdict EvaluateDrain(const zone_drain::DrainOrder& order) const;
  base::Verdict EvaluateRollout(const rollout::RolloutOrder& order) const;
  // Whether another order of the same thing came in between.
  bool IsSuperseded(const PendingCall& pending) const;
  uint64_t NewestRollout(const std::string& service) const;
  std::optional<uint64_t> Propose(const OperatorCall& call);
  void NoteDrains();

  void AnswerStatus(uint64_t ticket, int status, const std::string& reason);
  void AnswerConfiguration(uint64_t ticket);
  void AnswerRollout(uint64_t ticket, const std::string& service);
  void RedirectToLeader(uint64_t ticket, const std::string& target);

  ReplicatedLog* log_;
  const ConfigurationState* state_;
  const zone_drain::DrainedZones* drained_zones_;
  const rollout::Rollouts* rollouts_;
  Answer answer_;
  base::Millis patience_;
  uint64_t term_ = 0;  // in which all pending calls came and were confirmed
  uint64_t next_token_ = kFirstToken;
  PendingCalls calls_;
  std::optional<InFlight> in_flight_;
};

}  // namespace elderkeel::configuration
