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

// Serves the HTTP API for operators on a controller. It is a state machine without I/O: the
// controller passes in requests and events of the replicated log on its event loop, and the class
// sends answers through a callback and proposals to the log.
//
// Changes are processed one at a time, so that a verdict never depends on an uncommitted entry.
// Before any verdict a quorum confirms that this controller still leads (docs/consensus.md, reads).
// Each call is answered within `call_timeout` milliseconds, with 503 if necessary; callers then
// retry at another controller. A pending order that is opposed or superseded meanwhile, or whose
// caller has disconnected, may be a delayed copy of one that another controller has acknowledged.
// It is not proposed, since it could undo a newer order.
class OperatorApi {
 public:
  // Sends the answer to the request with this ticket. Called at most once per request.
  using Answer = std::function<void(uint64_t ticket, const http::Message&)>;

  // The states are those that the log's entries are applied to. REQUIRES: all pointers outlive this
  // object.
  OperatorApi(ReplicatedLog* log, const ConfigurationState* state,
              const zone_drain::DrainedZones* drained_zones, const rollout::Rollouts* rollouts,
              Answer answer, base::Millis call_timeout = 850)
      : log_(log),
        state_(state),
        drained_zones_(drained_zones),
        rollouts_(rollouts),
        answer_(std::move(answer)),
        call_timeout_(call_timeout) {}

  // Handles a request to a path of this API. `ticket` identifies it in the answer, which may be
  // sent before this returns.
  void OnRequest(base::Millis now, uint64_t ticket, const http::Message& request);
  // The caller closed its connection: drops its call unless the call has already been proposed.
  void OnCallerDisconnected(uint64_t ticket);
  // Ends the read that ReplicatedLog::ConfirmRead() began. `confirmed` is false if leadership was
  // lost.
  void OnReadFinished(base::Millis now, uint64_t token, bool confirmed);
  // The entry at `index` was applied to the states.
  void OnApplied(base::Millis now, uint64_t index);
  // Leadership was gained or lost, or the leader has committed its first entry in this term.
  // Several such changes may have happened since the last call. Answers all pending calls with 503
  // unless this controller still leads in the same term.
  void OnRoleChanged();
  // Answers calls that are past their deadline with 503 and retries read confirmations. Called
  // periodically.
  void Tick(base::Millis now);
  // The first read token of this class; lower ones belong to other users of the log.
  static constexpr uint64_t kFirstToken = 1ull << 32;

 private:
  // A call that has no answer yet.
  struct PendingCall {
    uint64_t ticket = 0;
    OperatorCall call;
    bool read_requested = false;  // the log has accepted the read confirmation
    bool confirmed = false;       // the read was confirmed, so the call may be served
    base::Millis deadline = 0;
    // For an order to drain or restore a zone: whether the zone was drained after the last applied
    // entry, and whether an opposite order has taken effect while this call was pending.
    bool drained = false;
    bool opposed = false;
    // For a roll-out order: the number of the service's newest roll-out on arrival; 0 for none.
    uint64_t newest_rollout = 0;
  };
  using PendingCalls = std::map<uint64_t, PendingCall>;  // by token, so in order of arrival

  // The entry that is proposed but not yet applied, and the call that it belongs to.
  struct InFlight {
    uint64_t index = 0;
    uint64_t token = 0;
  };

  // Serves all confirmed calls in order of arrival, as far as possible.
  void Serve(base::Millis now);
  // Serves one confirmed call. Returns whether it was answered.
  bool ServeCall(base::Millis now, uint64_t token, const PendingCall& pending);
  void RequestRead(uint64_t token);
  base::Verdict Evaluate(const OperatorCall& call) const;
  base::Verdict EvaluateDrain(const zone_drain::DrainOrder& order) const;
  base::Verdict EvaluateRollout(const rollout::RolloutOrder& order) const;
  // Returns whether an opposite order for the zone, or another order for the service, has taken
  // effect since the call arrived, so that proposing it could undo that order.
  bool IsSuperseded(const PendingCall& pending) const;
  // Returns the number of the service's newest roll-out; 0 for none.
  uint64_t NewestRollout(const std::string& service) const;
  std::optional<uint64_t> Propose(const OperatorCall& call);
  // Updates `drained` and `opposed` of the pending calls after an entry was applied.
  void UpdateDrainStates();

  // Answers with `status`, and with what goes with it: the revision for 200, Retry-After for 503,
  // and Allow for 405, whose `reason` lists the methods.
  void AnswerStatus(uint64_t ticket, int status, const std::string& reason);
  void AnswerConfiguration(uint64_t ticket);
  void AnswerRollout(uint64_t ticket, const std::string& service);
  void RedirectToLeader(uint64_t ticket, const std::string& target);

  ReplicatedLog* log_;
  const ConfigurationState* state_;
  const zone_drain::DrainedZones* drained_zones_;
  const rollout::Rollouts* rollouts_;
  Answer answer_;
  base::Millis call_timeout_;
  uint64_t term_ = 0;  // the term in which all pending calls arrived and were confirmed
  uint64_t next_token_ = kFirstToken;
  PendingCalls calls_;
  std::optional<InFlight> in_flight_;
};

}  // namespace elderkeel::configuration
