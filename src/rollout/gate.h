#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/messages.h"
#include "rollout/rollouts.h"

namespace elderkeel::rollout {

// Which versions of one service may be sent to, as this proxy knows it now.
struct Rule {
  bool known = false;  // else any
  std::string main;    // empty: any but `side` and `barred`
  std::string side;    // gets those requests that `TakesSide` says; empty: none
  std::string barred;  // never, whatever else is left
  bool few = false;    // only a few servers of `side`
  uint64_t number = 0;
  bool operator==(const Rule& o) const {
    return known == o.known && main == o.main && side == o.side && barred == o.barred &&
           few == o.few && number == o.number;
  }
};

// One proxy's part in roll-outs: which version a request goes to, within this proxy's share of what
// a version that is not proven may get, and the counts that the watchers compare. Pure.
class Gate {
 public:
  struct Options {
    double share = 0.1;         // of a service's requests that may go to an unproven version
    base::Millis lease = 2500;  // without a watcher's word for so long, no unproven version
    base::Millis ramp = 1000;   // in which the traffic moves over when a version is promoted
  };
  explicit Gate(Options options) : options_(options) {}

  void Adopt(base::Millis now, const Rollouts& rollouts);
  // A watcher answered.
  void Heard(base::Millis now, const Touch& touch);
  // Which versions of the service may be sent to now.
  Rule RuleOf(base::Millis now, const std::string& service) const;

  bool active() const { return !active_.empty(); }
  // Whether any is being promoted.
  bool moving() const;
  // Services with a roll-out under way.
  std::vector<std::string> ActiveServices() const;
  // Null where none is under way.
  const Rollout* RolloutOf(const std::string& service) const;

  // What part of a service's requests a canary is meant to get.
  double CanaryShare() const;
  // A request for the service came in.
  void Earn(const std::string& service);
  // Whether a request, by a hash of its id, goes to the side version first.
  bool TakesSide(base::Millis now, const std::string& service, uint64_t key) const;
  // Whether a further try may go to the side version: while the traffic moves, to the old one.
  bool SideForFurther(base::Millis now, const std::string& service) const;

  void Sent(const std::string& service, const std::string& version);
  enum class Ending : uint8_t { kWhole, kFailed, kBroken };
  struct Send {
    std::string service;
    std::string version;
    std::string server;
    std::string route;
    Ending ending = Ending::kWhole;
    bool timed = false;  // its time says something
    bool late = false;
  };
  void Count(base::Millis now, const Send& send);

  // What the watchers are told. The caller fills in who it is and what is in flight.
  Tally Tell(base::Millis now, const std::string& service) const;

 private:
  struct Part {
    Rollout rollout;
    base::Millis since = 0;     // of the order, here
    base::Millis stage_at = 0;  // of the stage, here
    base::Millis heard_at = 0;
    double credit = 0;  // sends to the new version that this proxy may make
    uint32_t requests = 0;
    uint32_t exposed = 0;
    std::map<std::string, Row> rows;  // by the route's label
    // Of the new version, here, in this stage; which servers were bad, by a hash.
    uint32_t answers = 0, bad = 0;
    uint64_t bad_at = 0;
    base::Millis braked_until = 0;  // while promoting: back at the old version until then
  };
  // What this proxy's own answers say, long before a verdict can be here.
  static bool PlainlyBad(const Part& part);
  // Whether anything may go to the new version from here: in touch with a watcher, and not braked.
  bool MayTry(base::Millis now, const Part& part) const {
    bool braked = part.rollout.stage == Stage::kPromoting && now < part.braked_until;
    return now - part.heard_at < options_.lease && !braked;
  }
  // From 0, before the traffic moves, to 1.
  double Moved(base::Millis now, const Part& part) const;

  Options options_;
  uint64_t version_ = 0;
  std::map<std::string, std::string> in_force_;
  std::map<std::string, std::string> reverted_;  // versions that the newest roll-out turned down
  std::map<std::string, Part> active_;           // by service
};

}  // namespace elderkeel::rollout
