#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "consensus/model_search.h"

namespace elderkeel::model {

// The start and the bounds of a search. A script takes the cluster to a state in which a fault is
// plausible, so that the search spends its bound there.
struct Scenario {
  std::string name;  // as given to the tool model_check
  Options options;
  std::function<void(Script*)> setup;  // takes the first steps
  StepBudget budget;
  int depth;  // of the search in ModelCheckerTest
};

// A budget with these steps, and with messages and writes without limit.
inline StepBudget MakeBudget(std::initializer_list<std::pair<StepKind, int>> limits) {
  StepBudget budget{};
  budget[static_cast<size_t>(StepKind::kDeliver)] = -1;
  budget[static_cast<size_t>(StepKind::kPersist)] = -1;
  for (const auto& [kind, times] : limits) budget[static_cast<size_t>(kind)] = times;
  return budget;
}

// `tolerated_machines`: how many machines may be lost at once.
inline Options MakeOptions(int initial_voters, int spares = 0, size_t tolerated_machines = 1,
                           bool instant_disk = false) {
  Options o;
  o.initial_voters = initial_voters;
  o.spares = spares;
  o.tolerance.machines = tolerated_machines;
  o.instant_disk = instant_disk;
  return o;
}

// The scenarios, for ModelCheckerTest and the tool model_check.
inline const std::vector<Scenario>& Scenarios() {
  using K = StepKind;
  static const std::vector<Scenario> all = {
      {"election", MakeOptions(3), [](Script* s) { s->PersistAll(); },
       MakeBudget({{K::kTick, 2}, {K::kCrash, 1}, {K::kRestart, 1}}), 10},
      // Two candidates of the same term, before any other node has voted.
      {"two-candidates", MakeOptions(3),
       [](Script* s) {
         s->PersistAll();
         s->Do({K::kTick, 1, 0, 0});
         s->Do({K::kTick, 2, 0, 0});
         s->Do({K::kDrop, 1, 2, 0});
         s->Do({K::kDrop, 2, 1, 0});
         s->Deliver(1, 3);
         s->Deliver(2, 3);
         s->Deliver(3, 1);
         s->Deliver(3, 2);
       },
       MakeBudget({{K::kCrash, 1}, {K::kRestart, 1}, {K::kTick, 1}}), 9},
      {"replication", MakeOptions(3),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
       },
       MakeBudget({{K::kTick, 2},
                   {K::kSleep, 1},
                   {K::kPropose, 1},
                   {K::kCrash, 1},
                   {K::kRestart, 1},
                   {K::kDrop, 1},
                   {K::kDuplicate, 1}}),
       5},
      // Figure 8 of the Raft paper. Node 1 lost its followers with an entry that only it had, and
      // leads again; node 2, which led in between, has an entry of a later term at the same index.
      // The reply that confirms a second copy of node 1's old entry is in flight, and node 1 hasn't
      // synced its first entry of its new term yet.
      {"earlier-term", MakeOptions(3, 0, 0),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
         s->Do({K::kCut, 1, 2, 0});
         s->Do({K::kCut, 1, 3, 0});
         s->Do({K::kPropose, 1, 0, 0});
         s->PersistAll();
         s->Do({K::kCrash, 1, 0, 0});
         s->Do({K::kSleep, 3, 0, 0});
         s->Do({K::kTick, 2, 0, 0});
         while (s->fault.empty() && !s->at(2).is_leader()) {  // stop at the step that elects it
           s->PersistAll();
           s->Deliver(s->state.network[0].from, s->state.network[0].to);
         }
         s->Do({K::kCut, 2, 3, 0});
         s->PersistAll();
         s->Do({K::kCrash, 2, 0, 0});
         s->Do({K::kHeal, 1, 2, 0});
         s->Do({K::kHeal, 1, 3, 0});
         s->Do({K::kHeal, 2, 3, 0});
         s->Do({K::kRestart, 1, 0, 0});
         s->Do({K::kSleep, 3, 0, 0});
         while (s->fault.empty() && !s->at(1).is_leader()) {
           s->PersistAll();
           if (s->CountInFlight(1, 3) + s->CountInFlight(3, 1) == 0) s->Do({K::kTick, 1, 0, 0});
           if (s->CountInFlight(1, 3) > 0) s->Deliver(1, 3);
           s->PersistAll();
           if (s->CountInFlight(3, 1) > 0) s->Deliver(3, 1);
         }
         s->Deliver(1, 3);
         s->Deliver(3, 1);
         s->Deliver(1, 3);
         s->PersistAll(3);
         while (s->fault.empty() && s->CountInFlight(1, 2) > 0) s->Do({K::kDrop, 1, 2, 0});
         s->Do({K::kRestart, 2, 0, 0});  // node 2 then receives the new term from node 3
         s->Do({K::kTick, 2, 0, 0});
         s->Do({K::kDrop, 2, 1, 0});
         s->Deliver(2, 3);
         s->Deliver(3, 2);
         s->PersistAll(2);
       },
       MakeBudget({{K::kTick, 1}, {K::kCrash, 1}, {K::kRestart, 1}}), 10},
      // Two nodes are left: one missed a committed entry, the other has it.
      {"late-voter", MakeOptions(3),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
         s->Do({K::kCut, 1, 3, 0});
         s->Do({K::kPropose, 1, 0, 0});
         s->DeliverAll();
         s->Do({K::kCrash, 1, 0, 0});
         s->Do({K::kHeal, 1, 3, 0});
         s->Do({K::kSleep, 2, 0, 0});
         s->Do({K::kSleep, 3, 0, 0});
       },
       MakeBudget({{K::kTick, 2}, {K::kRestart, 1}, {K::kCrash, 1}}), 9},
      // Two nodes are a majority, but tolerating the loss of two machines requires all three disks.
      {"tolerance", MakeOptions(3, 0, 2),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
       },
       MakeBudget({{K::kPropose, 1}, {K::kCrash, 1}, {K::kRestart, 1}}), 7},
      // The same entries arrive twice, the second time after later ones.
      {"late-append", MakeOptions(3),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
         s->Do({K::kPropose, 1, 0, 0});
         s->Do({K::kPropose, 1, 0, 0});
         s->Do({K::kDuplicate, 1, 2, 0});
       },
       MakeBudget({{K::kTick, 1}, {K::kCrash, 1}, {K::kRestart, 1}}), 5},
      // A late rejection makes the leader rewind an up-to-date follower and send it a snapshot.
      {"late-snapshot", MakeOptions(3, 0, 0),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
         for (int k = 0; k < 40; ++k) s->Do({K::kPropose, 1, 0, 0});
         s->Do({K::kDuplicate, 1, 3, 1});  // arrives before the message sent first: rejected
         while (s->fault.empty() && s->CountInFlight(1, 3) > 0) s->Deliver(1, 3);
         s->PersistAll(3);
         while (s->fault.empty() && s->CountInFlight(3, 1) > 2)
           s->Do({K::kDrop, 3, 1, 1});  // the rejection and the last reply remain
         while (s->fault.empty() && s->CountInFlight(1, 2) > 1) s->Deliver(1, 2);
         s->PersistAll(2);
         s->PersistAll(1);
         while (s->fault.empty() && s->CountInFlight(2, 1) > 1) s->Do({K::kDrop, 2, 1, 0});
         s->Deliver(2, 1);
         s->PersistAll();
         // The followers haven't received the new commit index.
         while (s->fault.empty() && s->CountInFlight(1, 2) > 0) s->Do({K::kDrop, 1, 2, 0});
         while (s->fault.empty() && s->CountInFlight(1, 3) > 0) s->Do({K::kDrop, 1, 3, 0});
       },
       MakeBudget({{K::kCompact, 1}, {K::kCrash, 1}, {K::kTick, 1}}), 5},
      // Node 4, a learner in the zone of node 1, is caught up. It replaces node 1 when that is
      // silent, or was wiped and rejoins under another id.
      {"replacement", MakeOptions(3, 1, 1, true),
       [](Script* s) {
         s->Elect(2);
         s->Do({K::kRestart, 4, 0, 0});
         s->Do({K::kJoin, 4, 2, 0});
         s->DeliverAll();
       },
       MakeBudget({{K::kTick, 2},
                   {K::kWipe, 1},
                   {K::kRestart, 1},
                   {K::kJoin, 1},
                   {K::kCrash, 1},
                   {K::kTransfer, 1}}),
       5},
      // Two learners are caught up; the leader reviews its voters at its next tick.
      {"two-joiners", MakeOptions(3, 2, 1, true),
       [](Script* s) {
         s->Elect(1);
         s->Do({K::kRestart, 4, 0, 0});
         s->Do({K::kRestart, 5, 0, 0});
         s->Do({K::kJoin, 4, 1, 0});
         s->Do({K::kJoin, 5, 1, 0});
         s->DeliverAll();
       },
       MakeBudget({{K::kTick, 3}, {K::kPropose, 1}}), 5},
      // Five voters tolerate the loss of two machines.
      {"five", MakeOptions(5, 0, 2, true), [](Script* s) { s->Elect(1); },
       MakeBudget({{K::kTick, 1}, {K::kPropose, 1}, {K::kCrash, 1}, {K::kDrop, 1}}), 5},
  };
  return all;
}

// Null if there is no scenario of this name.
inline const Scenario* FindScenario(const std::string& name) {
  for (const Scenario& s : Scenarios()) {
    if (s.name == name) return &s;
  }
  return nullptr;
}

}  // namespace elderkeel::model
