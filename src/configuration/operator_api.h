#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "configuration/register.h"
#include "rollout/rollouts.h"
#include "wire/http.h"
#include "zone_drain/drained_zones.h"

namespace elderkeel::configuration {

// What the operator's interface needs of the log.
class Log {
 public:
  virtual ~Log() = default;
  // Leads, and has committed an entry of its own term.
  virtual bool HasCommittedInTerm() const = 0;
  virtual bool is_leader() const = 0;
  virtual uint64_t term() const = 0;
  // Where the operator reaches the leader, if another leads.
  virtual std::optional<std::string> leader_control() const = 0;
  // Confirms with a majority that this still leads; ReadDone(token) follows, once. False if it does
  // not lead or is not settled: ask again.
  virtual bool Read(uint64_t token) = 0;
  // The index of the entry; Applied(index) follows if it is committed.
  virtual std::optional<uint64_t> Propose(const Change& change) = 0;
  virtual std::optional<uint64_t> Propose(const zone_drain::DrainOrder& order) = 0;
  virtual std::optional<uint64_t> Propose(const rollout::RolloutOrder& order) = 0;
  // Whether there is such a zone.
  virtual bool HasZone(const std::string& zone) const = 0;
  // Whether the newest configuration has such a service.
  virtual bool HasService(const std::string& service) const = 0;
};

// The operator's interface. Changes are taken one at a time: a verdict never rests on an entry that
// is not committed, and every verdict is confirmed with a majority first. Each call is answered
// within `patience`, by a 503 if need be, since callers then try elsewhere. An order that waits
// here while its opposite takes effect, or whose caller has gone, may be the late copy of one that
// was acknowledged elsewhere: it is not proposed any more.
class OperatorApi {
 public:
  using Answer = std::function<void(uint64_t ticket, const wire::Message&)>;

  OperatorApi(Log* log, const Register* state, const zone_drain::DrainedZones* drained_zones,
              const rollout::Rollouts* rollouts, Answer answer, base::Millis patience = 850)
      : log_(log),
        state_(state),
        drained_zones_(drained_zones),
        rollouts_(rollouts),
        answer_(std::move(answer)),
        patience_(patience) {}

  static bool Owns(std::string_view path) {
    return path == "/elderkeel/config" || path.rfind(kZoneDrain, 0) == 0 ||
           path == kRollouts.substr(0, kRollouts.size() - 1) || path.rfind(kRollouts, 0) == 0;
  }
  static constexpr std::string_view kRollouts = "/elderkeel/rollouts/";
  static constexpr std::string_view kZoneDrain = "/elderkeel/evacuation/";

  void OnRequest(base::Millis now, uint64_t ticket, const wire::Message& request);
  // The caller closed its connection: what was not proposed yet will not be.
  void Gone(uint64_t ticket);
  void ReadDone(base::Millis now, uint64_t token, bool confirmed);
  // An entry was applied to the register.
  void Applied(base::Millis now, uint64_t index);
  // Leadership came, went or settled; it may also have gone and come back since the last call.
  void RoleChanged(base::Millis now);
  void Tick(base::Millis now);
  // Tokens from here on are this interface's; lower ones belong to others.
  static constexpr uint64_t kFirstToken = 1ull << 32;

 private:
  struct Job {
    uint64_t ticket = 0;
    enum class Kind { kRead, kChange, kOrder, kRollout, kRolloutRead } kind = Kind::kRead;
    bool asked = false;  // a majority is asked for confirmation
    bool confirmed = false;
    Change change;
    zone_drain::DrainOrder order;
    bool opposed = false;  // the zone went the other way while this waited
    bool drained = false;  // how the zone was when last seen
    rollout::RolloutOrder rollout;
    uint64_t newest = 0;  // the number of the service's newest roll-out on arrival; 0 for none
    base::Millis deadline = 0;
  };

  void Serve(base::Millis now);
  void Ask(uint64_t token);
  // Another order of the same thing came in between.
  bool Overtaken(const Job& job) const;
  uint64_t NewestRollout(const std::string& service) const;
  void Reply(uint64_t ticket, int status, const std::string& reason);
  // Fills in the job of a request; false if the request was answered at once.
  bool Understand(const wire::Message& request, Job* job);
  bool UnderstandRollout(const wire::Message& request, Job* job);
  Register::Verdict Judge(const Job& job) const;
  std::optional<uint64_t> Propose(const Job& job);
  // The answer to a job that only reads.
  void Tell(const Job& job);
  void Elsewhere(uint64_t ticket, const std::string& target);

  Log* log_;
  const Register* state_;
  const zone_drain::DrainedZones* drained_zones_;
  const rollout::Rollouts* rollouts_;
  Answer answer_;
  base::Millis patience_;
  uint64_t term_ = 0;  // in which all jobs came and were confirmed
  uint64_t next_token_ = kFirstToken;
  std::map<uint64_t, Job> jobs_;  // by token, which is the order of arrival
  struct InFlight {
    uint64_t index = 0;
    uint64_t token = 0;
  };
  std::optional<InFlight> in_flight_;
};

}  // namespace elderkeel::configuration
