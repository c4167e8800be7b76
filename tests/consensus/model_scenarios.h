#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "consensus/model_search.h"

namespace elderkeel::model {

// Where a search begins and what it may do: a script brings the members to where something can go
// wrong, so that the bound is spent there.
struct Scenario {
  std::string name;
  Options options;
  std::function<void(Script*)> begin;
  StepBudget budget;
  int depth;  // that CI walks
};

inline StepBudget Allow(std::initializer_list<std::pair<StepKind, int>> some) {
  StepBudget budget{};
  budget[static_cast<size_t>(StepKind::kDeliver)] = -1;
  budget[static_cast<size_t>(StepKind::kPersist)] = -1;
  for (const auto& [kind, times] : some) budget[static_cast<size_t>(kind)] = times;
  return budget;
}

inline Options Members(int founders, int spares = 0, size_t machines = 1, bool instant = false) {
  Options o;
  o.founders = founders;
  o.spares = spares;
  o.tolerance.machines = machines;
  o.instant_disk = instant;
  return o;
}

inline const std::vector<Scenario>& Scenarios() {
  using K = StepKind;
  static const std::vector<Scenario> all = {
      {"election", Members(3), [](Script* s) { s->PersistAll(); },
       Allow({{K::kTick, 2}, {K::kCrash, 1}, {K::kRestart, 1}}), 10},
      // Two candidates of one term before anybody voted.
      {"two-candidates", Members(3),
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
       Allow({{K::kCrash, 1}, {K::kRestart, 1}, {K::kTick, 1}}), 9},
      {"replication", Members(3),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
       },
       Allow({{K::kTick, 2},
              {K::kSleep, 1},
              {K::kPropose, 1},
              {K::kCrash, 1},
              {K::kRestart, 1},
              {K::kDrop, 1},
              {K::kDuplicate, 1}}),
       5},
      // A leader that was cut off with an entry of its own leads again, while one that led in
      // between has an entry of a later term there: the case of figure 8 of the Raft paper. The
      // answer that tells of a second copy is under way; the leader's own entry of its term isn't
      // synced yet.
      {"earlier-term", Members(3, 0, 0),
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
         while (s->fault.empty() && !s->at(2).is_leader()) {  // and no further
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
           if (s->Under(1, 3) + s->Under(3, 1) == 0) s->Do({K::kTick, 1, 0, 0});
           if (s->Under(1, 3) > 0) s->Deliver(1, 3);
           s->PersistAll();
           if (s->Under(3, 1) > 0) s->Deliver(3, 1);
         }
         s->Deliver(1, 3);
         s->Deliver(3, 1);
         s->Deliver(1, 3);
         s->PersistAll(3);
         while (s->fault.empty() && s->Under(1, 2) > 0) s->Do({K::kDrop, 1, 2, 0});
         s->Do({K::kRestart, 2, 0, 0});  // and hears of the new term
         s->Do({K::kTick, 2, 0, 0});
         s->Do({K::kDrop, 2, 1, 0});
         s->Deliver(2, 3);
         s->Deliver(3, 2);
         s->PersistAll(2);
       },
       Allow({{K::kTick, 1}, {K::kCrash, 1}, {K::kRestart, 1}}), 10},
      // One that missed what was committed and one that has it are left.
      {"late-voter", Members(3),
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
       Allow({{K::kTick, 2}, {K::kRestart, 1}, {K::kCrash, 1}}), 9},
      // All three disks are needed for what is tolerated, though two are a majority.
      {"tolerance", Members(3, 0, 2),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
       },
       Allow({{K::kPropose, 1}, {K::kCrash, 1}, {K::kRestart, 1}}), 7},
      // Entries arrive twice, the second time behind later ones.
      {"late-append", Members(3),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
         s->Do({K::kPropose, 1, 0, 0});
         s->Do({K::kPropose, 1, 0, 0});
         s->Do({K::kDuplicate, 1, 2, 0});
       },
       Allow({{K::kTick, 1}, {K::kCrash, 1}, {K::kRestart, 1}}), 5},
      // A snapshot is sent to a member that the leader takes for late, by a rejection that is late.
      {"late-snapshot", Members(3, 0, 0),
       [](Script* s) {
         s->PersistAll();
         s->Elect(1);
         for (int k = 0; k < 40; ++k) s->Do({K::kPropose, 1, 0, 0});
         s->Do({K::kDuplicate, 1, 3, 1});  // before the one sent first: rejected
         while (s->fault.empty() && s->Under(1, 3) > 0) s->Deliver(1, 3);
         s->PersistAll(3);
         while (s->fault.empty() && s->Under(3, 1) > 2)
           s->Do({K::kDrop, 3, 1, 1});  // the rejection and the last one
         while (s->fault.empty() && s->Under(1, 2) > 1) s->Deliver(1, 2);
         s->PersistAll(2);
         s->PersistAll(1);
         while (s->fault.empty() && s->Under(2, 1) > 1) s->Do({K::kDrop, 2, 1, 0});
         s->Deliver(2, 1);
         s->PersistAll();
         // The news of the commit is slower than all else.
         while (s->fault.empty() && s->Under(1, 2) > 0) s->Do({K::kDrop, 1, 2, 0});
         while (s->fault.empty() && s->Under(1, 3) > 0) s->Do({K::kDrop, 1, 3, 0});
       },
       Allow({{K::kCompact, 1}, {K::kCrash, 1}, {K::kTick, 1}}), 5},
      // A learner of the first one's zone is caught up and takes its place when that is silent, or
      // is wiped and comes back under another identity.
      {"replacement", Members(3, 1, 1, true),
       [](Script* s) {
         s->Elect(2);
         s->Do({K::kRestart, 4, 0, 0});
         s->Do({K::kJoin, 4, 2, 0});
         s->DeliverAll();
       },
       Allow({{K::kTick, 2},
              {K::kWipe, 1},
              {K::kRestart, 1},
              {K::kJoin, 1},
              {K::kCrash, 1},
              {K::kTransfer, 1}}),
       5},
      // Two learners are caught up and wait for the next heartbeat.
      {"two-joiners", Members(3, 2, 1, true),
       [](Script* s) {
         s->Elect(1);
         s->Do({K::kRestart, 4, 0, 0});
         s->Do({K::kRestart, 5, 0, 0});
         s->Do({K::kJoin, 4, 1, 0});
         s->Do({K::kJoin, 5, 1, 0});
         s->DeliverAll();
       },
       Allow({{K::kTick, 3}, {K::kPropose, 1}}), 5},
      {"five", Members(5, 0, 2, true), [](Script* s) { s->Elect(1); },
       Allow({{K::kTick, 1}, {K::kPropose, 1}, {K::kCrash, 1}, {K::kDrop, 1}}), 5},
  };
  return all;
}

inline const Scenario* FindScenario(const std::string& name) {
  for (const Scenario& s : Scenarios()) {
    if (s.name == name) return &s;
  }
  return nullptr;
}

}  // namespace elderkeel::model
