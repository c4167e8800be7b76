// Model: the invariants, checked after each step.
#include <algorithm>
#include <utility>

#include "consensus/model.h"

namespace elderkeel::model {

void Model::CheckApplied(State* s, int i, Index index, uint64_t applied_digest) {
  auto at = s->history->applied_digests.find(index);
  if (at != s->history->applied_digests.end()) {
    if (at->second != applied_digest) {
      ReportFault("state machine safety", i,
                  "applied different entries up to " + std::to_string(index));
    }
    return;
  }
  auto history = std::make_shared<History>(*s->history);
  history->applied_digests[index] = applied_digest;
  s->history = history;
}

size_t Model::CountCopies(const State& s, Index index, Term term,
                          const std::vector<Member>* voters) const {
  std::set<MemberId> holders;
  auto count = [&](const Node& n) {
    MemberId id = n.disk.hard_state.self;
    bool counts = !voters || std::any_of(voters->begin(), voters->end(),
                                         [&](const Member& v) { return v.id == id; });
    if (counts && HasEntry(n.disk, index, term)) holders.insert(id);
  };
  for (const auto& n : s.nodes) count(*n);
  for (const auto& n : s.history->wiped) count(*n);
  return holders.size();
}

void Model::RecordHistory(State* s, int i, const Node& before, const Node& n) {
  bool led = before.is_leader() && n.up && before.raft->term() == n.raft->term();
  if (!n.is_leader() && !led) return;
  Term term = n.raft->term();
  auto history = std::make_shared<History>(*s->history);
  if (n.is_leader()) {
    auto [at, first] = history->leaders.try_emplace(term, n.raft->self().id);
    if (!first && at->second != n.raft->self().id) {
      ReportFault(
          "election safety", i,
          "leads term " + std::to_string(term) + ", which " + std::to_string(at->second) + " led");
    }
  }
  Index from = before.up ? before.raft->commit() : n.raft->commit();
  for (Index index = from + 1; index <= n.raft->commit(); ++index) {
    const Entry* e = EntryAt(n.raft->log(), index);
    if (!e) continue;
    const auto& voters = n.raft->voters();
    size_t copies = CountCopies(*s, index, e->term, &voters);
    size_t required =
        std::max(voters.size() / 2 + 1, std::min(options_.tolerance.machines + 1, voters.size()));
    if (copies < required) {
      ReportFault("enough synced copies", i,
                  "committed " + std::to_string(index) + " on " + std::to_string(copies) +
                      " disks of " + std::to_string(required));
    }
    History::Committed a{e->term, DigestOf(*e), term, CountCopies(*s, index, e->term, nullptr)};
    auto [at, first] = history->committed.try_emplace(index, a);
    if (!first && at->second.digest != a.digest) {
      ReportFault("no acknowledged entry missing", i,
                  "committed another entry at " + std::to_string(index));
    }
  }
  s->history = history;
}

void Model::CheckInvariants(const State& s, int i, const Node& before, const Node& n) {
  // The entries that a node acknowledged to the leader of a term stay on its disk as long as the
  // disk has that term.
  if (!n.disk.empty && n.acknowledged_index &&
      n.acknowledged_leader_term == n.disk.hard_state.term &&
      !HasEntry(n.disk, n.acknowledged_index, n.acknowledged_entry_term)) {
    ReportFault("persistent promise", i,
                "lost " + std::to_string(n.acknowledged_index) +
                    ", which it had acknowledged to the leader");
  }
  for (const auto& [index, a] : s.history->committed) {
    if (CountCopies(s, index, a.term, nullptr) < a.copies) {
      ReportFault("no acknowledged entry missing", i,
                  "removed a copy of " + std::to_string(index) + " from its disk");
    }
  }
  if (!n.up) return;
  const auto& log = n.raft->log();
  if (before.is_leader() && n.is_leader() && before.raft->term() == n.raft->term()) {
    for (const Entry& e : before.raft->log()) {
      const Entry* now = EntryAt(log, e.index);
      if (e.index > n.raft->last_index() || (now && DigestOf(*now) != DigestOf(e)) ||
          (!now && e.index > n.raft->snapshot_index())) {
        ReportFault("leader append-only", i,
                    "as leader changed its entry " + std::to_string(e.index));
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
        ReportFault("log matching", i,
                    "differs from node " + std::to_string(k + 1) + " at " + std::to_string(at));
      }
    }
  }
  if (!n.is_leader()) return;
  for (const auto& [index, a] : s.history->committed) {
    if (a.leader_term > n.raft->term() || index <= n.raft->snapshot_index()) continue;
    const Entry* e = EntryAt(log, index);
    if (e && DigestOf(*e) == a.digest) continue;
    ReportFault(
        a.leader_term < n.raft->term() ? "leader completeness" : "no acknowledged entry missing", i,
        "leads term " + std::to_string(n.raft->term()) + " without " + std::to_string(index) +
            ", committed in term " + std::to_string(a.leader_term));
  }
  CheckVoters(s, i, n);
}

void Model::CheckVoters(const State& s, int i, const Node& n) {
  // Any voter set in a leader's log, from the last committed one on, may be in use by some node.
  Index committed = s.history->committed.empty() ? 1 : s.history->committed.rbegin()->first;
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
      if (!MajoritiesOverlap(sets[a], sets[b])) {
        ReportFault("voter sets meet", i,
                    "changes from one voter set to another whose majorities need not overlap");
      }
    }
  }
  // Two leaders may exist if a majority of the voters of each has no later term than its own.
  auto has_majority = [&](const Node& leader) {
    size_t with = 0;
    for (const auto& o : s.nodes) {
      Term term = o->up ? o->raft->term() : o->disk.hard_state.term;
      if (leader.raft->IsVoter(o->disk.hard_state.self) && term <= leader.raft->term()) ++with;
    }
    return with >= leader.raft->voters().size() / 2 + 1;
  };
  for (const auto& o : s.nodes) {
    if (o.get() == &n || !o->is_leader() || !has_majority(*o) || !has_majority(n)) continue;
    if (!MajoritiesOverlap(o->raft->voters(), n.raft->voters())) {
      ReportFault(
          "voter sets meet", i,
          "leads at the same time as another leader, and their majorities need not overlap");
    }
  }
}

void Model::ReportFault(const std::string& invariant, int node, const std::string& description) {
  if (!fault_ || !fault_->empty() || options_.ignored_invariants.count(invariant)) return;
  *fault_ = invariant + ": node " + std::to_string(node) + " " + description;
}

}  // namespace elderkeel::model
