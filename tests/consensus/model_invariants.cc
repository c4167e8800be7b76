// Model: the invariants, checked after each step.
#include <algorithm>
#include <utility>

#include "consensus/model.h"

namespace elderkeel::model {

void Model::Applied(State* s, int i, Index index, uint64_t chain) {
  auto at = s->history->chains.find(index);
  if (at != s->history->chains.end()) {
    if (at->second != chain) {
      Fault("state machine safety", i, "applied something else at " + std::to_string(index));
    }
    return;
  }
  auto history = std::make_shared<History>(*s->history);
  history->chains[index] = chain;
  s->history = history;
}

size_t Model::Copies(const State& s, Index index, Term term,
                     const std::vector<Member>* voters) const {
  std::set<MemberId> holders;
  auto count = [&](const Node& n) {
    MemberId id = n.disk.hard_state.self;
    bool votes = !voters || std::any_of(voters->begin(), voters->end(),
                                        [&](const Member& v) { return v.id == id; });
    if (votes && Holds(n.disk, index, term)) holders.insert(id);
  };
  for (const auto& n : s.nodes) count(*n);
  for (const auto& n : s.history->lost) count(*n);
  return holders.size();
}

void Model::Remember(State* s, int i, const Node& before, const Node& n) {
  bool led = before.is_leader() && n.up && before.raft->term() == n.raft->term();
  if (!n.is_leader() && !led) return;
  Term term = n.raft->term();
  auto history = std::make_shared<History>(*s->history);
  if (n.is_leader()) {
    auto [at, first] = history->leaders.try_emplace(term, n.raft->self().id);
    if (!first && at->second != n.raft->self().id) {
      Fault(
          "election safety", i,
          "leads term " + std::to_string(term) + ", which " + std::to_string(at->second) + " led");
    }
  }
  Index from = before.up ? before.raft->commit() : n.raft->commit();
  for (Index index = from + 1; index <= n.raft->commit(); ++index) {
    const Entry* e = EntryAt(n.raft->log(), index);
    if (!e) continue;
    const auto& voters = n.raft->voters();
    size_t copies = Copies(*s, index, e->term, &voters);
    size_t wanted =
        std::max(voters.size() / 2 + 1, std::min(options_.tolerance.machines + 1, voters.size()));
    if (copies < wanted) {
      Fault("enough synced copies", i,
            "acknowledged " + std::to_string(index) + " on " + std::to_string(copies) +
                " disks of " + std::to_string(wanted));
    }
    History::Acknowledged a{e->term, DigestOf(*e), term, Copies(*s, index, e->term, nullptr)};
    auto [at, first] = history->acknowledged.try_emplace(index, a);
    if (!first && at->second.digest != a.digest) {
      Fault("no acknowledged entry missing", i,
            "acknowledged another entry at " + std::to_string(index));
    }
  }
  s->history = history;
}

void Model::Check(const State& s, int i, const Node& before, const Node& n) {
  // What it promised the leader of a term stays on its disk as long as it knows no later term.
  if (!n.disk.empty && n.promised && n.promised_in == n.disk.hard_state.term &&
      !Holds(n.disk, n.promised, n.promised_term)) {
    Fault("persistent promise", i,
          "lost " + std::to_string(n.promised) + ", which it told that it holds");
  }
  for (const auto& [index, a] : s.history->acknowledged) {
    if (Copies(s, index, a.term, nullptr) < a.copies) {
      Fault("no acknowledged entry missing", i,
            "took a copy of " + std::to_string(index) + " from its disk");
    }
  }
  if (!n.up) return;
  const auto& log = n.raft->log();
  if (before.is_leader() && n.is_leader() && before.raft->term() == n.raft->term()) {
    for (const Entry& e : before.raft->log()) {
      const Entry* now = EntryAt(log, e.index);
      if (e.index > n.raft->last_index() || (now && DigestOf(*now) != DigestOf(e)) ||
          (!now && e.index > n.raft->snapshot_index())) {
        Fault("leader append-only", i, "as leader changed " + std::to_string(e.index));
      }
    }
  }
  for (size_t k = 0; k < s.nodes.size(); ++k) {
    const Node& o = *s.nodes[k];
    if (!o.up || static_cast<int>(k) == i - 1 || log.empty() || o.raft->log().empty()) {
      continue;
    }
    bool matched = false;
    const auto& theirs = o.raft->log();
    for (Index at = std::min(log.back().index, theirs.back().index);
         at >= std::max(log.front().index, theirs.front().index) && at > 0; --at) {
      const Entry& a = *EntryAt(log, at);
      const Entry& b = *EntryAt(theirs, at);
      matched |= a.term == b.term;
      if (matched && DigestOf(a) != DigestOf(b)) {
        Fault("log matching", i,
              "differs from " + std::to_string(k + 1) + " at " + std::to_string(at));
      }
    }
  }
  if (!n.is_leader()) return;
  for (const auto& [index, a] : s.history->acknowledged) {
    if (a.in > n.raft->term() || index <= n.raft->snapshot_index()) continue;
    const Entry* e = EntryAt(log, index);
    if (e && DigestOf(*e) == a.digest) continue;
    Fault(a.in < n.raft->term() ? "leader completeness" : "no acknowledged entry missing", i,
          "leads term " + std::to_string(n.raft->term()) + " without " + std::to_string(index) +
              ", acknowledged in term " + std::to_string(a.in));
  }
  CheckVoters(s, i, n);
}

void Model::CheckVoters(const State& s, int i, const Node& n) {
  // Of the voter sets in a leader's log, from the last committed one on, any may be the one that
  // somebody goes by.
  Index committed = s.history->acknowledged.empty() ? 1 : s.history->acknowledged.rbegin()->first;
  std::vector<std::vector<Member>> sets{RaftNodeProbe::snapshot(*n.raft).voters};
  for (const Entry& e : n.raft->log()) {
    if (e.kind != consensus::EntryKind::kVoters) continue;
    auto voters = transport::Decode<std::vector<Member>>(e.data);
    if (!voters) continue;
    if (e.index <= committed || e.index <= n.raft->snapshot_index()) sets.clear();
    sets.push_back(*voters);
  }
  for (size_t a = 0; a < sets.size(); ++a) {
    for (size_t b = a + 1; b < sets.size(); ++b) {
      if (!MajoritiesMeet(sets[a], sets[b])) {
        Fault("voter sets meet", i, "goes from one voter set to another that need not meet it");
      }
    }
  }
  // Two leaders, neither of which a majority of its voters has left behind.
  auto in_force = [&](const Node& leader) {
    size_t with = 0;
    for (const auto& o : s.nodes) {
      Term term = o->up ? o->raft->term() : o->disk.hard_state.term;
      if (leader.raft->IsVoter(o->disk.hard_state.self) && term <= leader.raft->term()) ++with;
    }
    return with >= leader.raft->voters().size() / 2 + 1;
  };
  for (const auto& o : s.nodes) {
    if (o.get() == &n || !o->is_leader() || !in_force(*o) || !in_force(n)) continue;
    if (!MajoritiesMeet(o->raft->voters(), n.raft->voters())) {
      Fault("voter sets meet", i, "leads beside another one by voters that need not meet");
    }
  }
}

void Model::Fault(const std::string& invariant, int node, const std::string& what) {
  if (!fault_ || !fault_->empty() || options_.ignored.count(invariant)) return;
  *fault_ = invariant + ": node " + std::to_string(node) + " " + what;
}

}  // namespace elderkeel::model
