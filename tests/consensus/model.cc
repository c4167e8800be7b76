// Model: which steps are possible, and what each does.
#include "consensus/model.h"

#include <algorithm>
#include <utility>

namespace elderkeel::model {

Model::Model(Options options) : options_(std::move(options)) {
  for (int i = 0; i < options_.initial_voters; ++i) initial_voters_.push_back(MemberOf(i, 0));
}

State Model::Initial() {
  State s;
  s.nodes.resize(static_cast<size_t>(options_.initial_voters + options_.spares));
  for (size_t i = 0; i < s.nodes.size(); ++i) {
    auto node = std::make_shared<Node>();
    s.nodes[i] = node;
    if (static_cast<int>(i) < options_.initial_voters)
      StartNode(&s, static_cast<int>(i), node.get(), true);
    UpdateDigest(node.get());
  }
  return s;
}

std::vector<Step> Model::EnabledSteps(const State& s) const {
  std::vector<Step> steps;
  auto may = [&](StepKind kind) { return s.budget[static_cast<size_t>(kind)] != 0; };
  int size = static_cast<int>(s.nodes.size());
  std::set<std::tuple<int, int, uint64_t>> seen;
  std::map<std::pair<int, int>, int> count;
  for (const SentMessage& m : s.network) {
    int nth = count[{m.from, m.to}]++;
    if (!seen.insert({m.from, m.to, m.digest}).second) continue;
    bool arrives = s.nodes[static_cast<size_t>(m.to - 1)]->up;
    if (arrives) steps.push_back({StepKind::kDeliver, m.from, m.to, nth});
    if (may(StepKind::kDrop)) steps.push_back({StepKind::kDrop, m.from, m.to, nth});
    if (arrives && may(StepKind::kDuplicate)) {
      steps.push_back({StepKind::kDuplicate, m.from, m.to, nth});
    }
  }
  for (int i = 1; i <= size; ++i) {
    const Node& n = *s.nodes[static_cast<size_t>(i - 1)];
    auto add = [&](StepKind kind, int other = 0, int nth = 0) {
      if (may(kind)) steps.push_back({kind, i, other, nth});
    };
    if (!n.up) {
      add(StepKind::kRestart);
      continue;
    }
    if (!n.writes.empty()) {
      steps.push_back({StepKind::kPersist, i, 0, 0});
      add(StepKind::kRefuse);
    }
    add(StepKind::kTick);
    add(StepKind::kSleep);
    for (int kept = 0; kept <= static_cast<int>(n.writes.size()); ++kept) {
      add(StepKind::kCrash, 0, kept);
    }
    add(StepKind::kWipe);
    if (n.raft->HasCommittedInTerm()) add(StepKind::kPropose);
    if (n.raft->is_leader()) add(StepKind::kTransfer);
    if (n.raft->commit() > n.raft->snapshot_index() && !n.raft->storage_failed()) {
      add(StepKind::kCompact);
    }
    for (int k = 1; k <= size; ++k) {
      const Node& other = *s.nodes[static_cast<size_t>(k - 1)];
      if (k != i && other.is_leader() && !n.raft->IsVoter(n.raft->self().id)) {
        add(StepKind::kJoin, k);
      }
      if (k <= i) continue;
      add(s.cut_links.count({i, k}) ? StepKind::kHeal : StepKind::kCut, k);
    }
  }
  return steps;
}

bool Model::Apply(State* s, const Step& step, std::string* fault) {
  fault_ = fault;
  int i =
      step.kind == StepKind::kDeliver || step.kind == StepKind::kDuplicate ? step.other : step.node;
  if (i < 1 || i > static_cast<int>(s->nodes.size())) return false;
  size_t at = static_cast<size_t>(i - 1);
  std::shared_ptr<const Node> before = s->nodes[at];
  if (step.kind == StepKind::kCut || step.kind == StepKind::kHeal) {
    std::pair<int, int> pair{std::min(step.node, step.other), std::max(step.node, step.other)};
    if (step.kind == StepKind::kHeal) return s->cut_links.erase(pair) > 0;
    s->network.erase(std::remove_if(s->network.begin(), s->network.end(),
                                    [&](const SentMessage& m) {
                                      return std::minmax(m.from, m.to) ==
                                             std::minmax(pair.first, pair.second);
                                    }),
                     s->network.end());
    return s->cut_links.insert(pair).second;
  }
  std::shared_ptr<const Message> message;
  if (step.kind <= StepKind::kDuplicate) {
    int nth = 0;
    auto found = std::find_if(s->network.begin(), s->network.end(), [&](const SentMessage& m) {
      return m.from == step.node && m.to == step.other && nth++ == step.nth;
    });
    if (found == s->network.end()) return false;
    if (step.kind != StepKind::kDrop && !before->up) return false;
    message = found->message;
    if (step.kind != StepKind::kDuplicate) s->network.erase(found);
    if (step.kind == StepKind::kDrop) return true;
  }
  if (step.kind == StepKind::kRestart ? before->up : !before->up) return false;
  auto node = std::make_shared<Node>(*before);
  Node& n = *node;
  s->nodes[at] = node;
  switch (step.kind) {
    case StepKind::kDeliver:
    case StepKind::kDuplicate:
      n.raft->Receive(n.now, *message, AddressOf(step.node - 1));
      break;
    case StepKind::kTick: {
      bool is_leader = n.raft->is_leader();
      Millis until =
          is_leader ? RaftNodeProbe::heartbeat_at(*n.raft) : RaftNodeProbe::election_at(*n.raft);
      // In increments of half an election timeout, which the node doesn't take for a suspension.
      do {
        n.now = std::min(std::max(n.now, until), n.now + options_.timing.election_timeout / 2);
        n.raft->Tick(n.now);
        ProcessEffects(s, i, &n);
      } while (n.now < until && n.raft->is_leader() == is_leader);
      break;
    }
    case StepKind::kSleep:
      n.now += 10000;
      n.raft->Tick(n.now);
      break;
    case StepKind::kPersist:
    case StepKind::kRefuse: {
      if (n.writes.empty()) return false;
      WriteRequest write = std::move(n.writes.front());
      n.writes.erase(n.writes.begin());
      bool ok = step.kind == StepKind::kPersist;
      if (ok) ApplyWrite(&n.disk, write);
      if (!ok && !options_.writes_after_failure) n.writes.clear();
      n.raft->OnWriteFinished(n.now, write.sequence, ok);
      break;
    }
    case StepKind::kCrash:
      if (step.nth > static_cast<int>(n.writes.size())) return false;
      for (int k = 0; k < step.nth; ++k) ApplyWrite(&n.disk, n.writes[static_cast<size_t>(k)]);
      StopNode(&n);
      break;
    case StepKind::kRestart:
      StartNode(s, i - 1, &n, false);
      break;
    case StepKind::kWipe: {
      auto history = std::make_shared<History>(*s->history);
      history->wiped.push_back(before);
      s->history = history;
      StopNode(&n);
      n.disk = RestoredState();
      n.acknowledged_leader_term = n.acknowledged_index = n.acknowledged_entry_term = 0;
      ++n.wipes;
      break;
    }
    case StepKind::kJoin: {
      // The request comes from `node`, but the step changes only the leader, `other`.
      s->nodes[at] = before;
      size_t leader = static_cast<size_t>(step.other - 1);
      if (leader >= s->nodes.size() || !s->nodes[leader]->is_leader()) return false;
      Member member = before->raft->self();
      before = s->nodes[leader];
      auto joined = std::make_shared<Node>(*before);
      s->nodes[leader] = joined;
      joined->raft->AddLearner(joined->now, member);
      ProcessEffects(s, step.other, joined.get());
      UpdateDigest(joined.get());
      CheckInvariants(*s, step.other, *before, *joined);
      return true;
    }
    case StepKind::kTransfer:
      if (!n.raft->is_leader()) return false;
      n.raft->TransferLeadership(n.now);
      break;
    case StepKind::kPropose:
      if (!n.raft->Propose(n.now, "c" + std::to_string(s->proposals + 1))) return false;
      ++s->proposals;
      break;
    case StepKind::kCompact:
      if (n.raft->storage_failed() || n.raft->commit() <= n.raft->snapshot_index()) return false;
      n.raft->Compact(n.raft->commit(), std::to_string(n.applied_digest));
      break;
    default:
      return false;
  }
  if (n.up) ProcessEffects(s, i, &n);
  UpdateDigest(&n);
  RecordHistory(s, i, *before, n);
  CheckInvariants(*s, i, *before, n);
  return true;
}

std::string Model::Describe(const State& s, const Step& step) const {
  std::string text = kStepNames[static_cast<size_t>(step.kind)];
  text += " " + std::to_string(step.node);
  if (step.kind <= StepKind::kDuplicate) {
    text += ">" + std::to_string(step.other) + " #" + std::to_string(step.nth);
    int nth = 0;
    for (const SentMessage& m : s.network) {
      if (m.from != step.node || m.to != step.other || nth++ != step.nth) continue;
      static const char* const kNames[] = {
          "PreVote",       "PreVoteReply",       "RequestVote",     "RequestVoteReply",
          "AppendEntries", "AppendEntriesReply", "InstallSnapshot", "TimeoutNow"};
      const Message& b = *m.message;
      text += std::string(" ") + kNames[static_cast<size_t>(b.type)] +
              " term=" + std::to_string(b.term) + " index=" + std::to_string(b.index) +
              " log_term=" + std::to_string(b.log_term) + " commit=" + std::to_string(b.commit) +
              (b.granted ? " granted" : "") + " to=" + std::to_string(b.to);
      for (const Entry& e : b.entries) {
        text += " [" + std::to_string(e.index) + "@" + std::to_string(e.term) +
                (e.kind == consensus::EntryKind::kVoters ? " voters]" : "]");
      }
      for (const Snapshot& b2 : b.snapshot) {
        text += " snapshot=" + std::to_string(b2.index) + "@" + std::to_string(b2.term);
      }
    }
  } else if (step.other) {
    text += " with " + std::to_string(step.other);
  } else if (step.kind == StepKind::kCrash) {
    text += " keeps " + std::to_string(step.nth) + " of " +
            std::to_string(s.nodes[static_cast<size_t>(step.node - 1)]->writes.size());
  }
  return text;
}

std::string Model::ZoneOf(int i) const {
  return std::string(1, static_cast<char>('a' + i % options_.zones));
}

Member Model::MemberOf(int i, int wipes) const {
  Member m;
  m.id = static_cast<MemberId>(i + 1 + 10 * wipes);
  m.ip = AddressOf(i).ip;
  m.port = 7200;
  m.zone = ZoneOf(i);
  return m;
}

void Model::StartNode(State* s, int i, Node* n, bool initial_voter) {
  const auto& log = n->disk.entries;
  for (size_t k = 0; k + 1 < log.size(); ++k) {
    if (log[k].index + 1 != log[k + 1].index) ReportFault("readable log", i + 1, "has a gap");
  }
  if (!log.empty() && log.front().index > n->disk.snapshot.index + 1) {
    ReportFault("readable log", i + 1,
                "is missing entries between its snapshot and its first entry");
  }
  RaftNode::Options o;
  o.self = MemberOf(i, n->wipes);
  o.timing = options_.timing;
  o.tolerance = options_.tolerance;
  o.seed = static_cast<uint64_t>(1 + i * 100 + n->incarnations);
  if (initial_voter) {
    o.initial_voters = initial_voters_;
    o.cluster = 77;
  }
  n->up = true;
  ++n->incarnations;
  n->applied_digest = 0;
  n->raft.emplace(o, n->disk, n->now);
  for (int k = 0; k < options_.initial_voters + options_.spares; ++k) {
    n->raft->SetZone(AddressOf(k).ip, ZoneOf(k));
  }
  ProcessEffects(s, i + 1, n);
}

void Model::StopNode(Node* n) {
  n->up = false;
  n->writes.clear();
  n->raft.reset();
  n->applied_digest = 0;
}

void Model::ProcessEffects(State* s, int i, Node* n) {
  for (;;) {
    RaftNode::Effects effects = n->raft->TakeEffects();
    bool any = !effects.messages.empty() || !effects.writes.empty() || !effects.committed.empty() ||
               !effects.installed.empty() || effects.role_changed;
    if (!any) {
      if (!options_.instant_disk || n->writes.empty()) return;
      WriteRequest write = std::move(n->writes.front());
      n->writes.erase(n->writes.begin());
      ApplyWrite(&n->disk, write);
      n->raft->OnWriteFinished(n->now, write.sequence, true);
      continue;
    }
    for (WriteRequest& write : effects.writes) n->writes.push_back(std::move(write));
    for (auto& out : effects.messages) Send(s, i, n, std::move(out));
    for (const Snapshot& snapshot : effects.installed) {
      n->applied_digest = snapshot.state.empty() ? 0 : std::stoull(snapshot.state);
      CheckApplied(s, i, snapshot.index, n->applied_digest);
    }
    for (const Entry& entry : effects.committed) {
      n->applied_digest = Digest().Add(n->applied_digest, DigestOf(entry)).value();
      CheckApplied(s, i, entry.index, n->applied_digest);
    }
  }
}

void Model::Send(State* s, int i, Node* n, consensus::OutgoingMessage out) {
  const Message& m = out.message;
  const consensus::HardState& hard_state = n->disk.hard_state;
  // Persistent promise: what a message promises to other members is on the sender's disk before the
  // message is sent.
  if (m.type == MessageType::kRequestVote ||
      (m.type == MessageType::kRequestVoteReply && m.granted)) {
    MemberId vote = m.type == MessageType::kRequestVote ? m.from : m.to;
    if (n->disk.empty || hard_state.term < m.term ||
        (hard_state.term == m.term && hard_state.voted_for != vote)) {
      ReportFault("persistent promise", i, "sent a vote that isn't on its disk");
    }
  }
  if (m.type == MessageType::kAppendEntriesReply && m.granted) {
    if (n->disk.empty || hard_state.term < m.term) {
      ReportFault("persistent promise", i, "replied in a term that isn't on its disk");
    }
    // A deferred reply may belong to an earlier term; no leader counts it any more.
    if (m.term == n->raft->term() && m.index > 0) {
      const Entry* e = EntryAt(n->raft->log(), m.index);
      Term term = e ? e->term : 0;
      bool known = e || m.index <= n->raft->snapshot_index();
      if (!known || !HasEntry(n->disk, m.index, term)) {
        ReportFault("persistent promise", i,
                    "acknowledged " + std::to_string(m.index) + ", which isn't on its disk");
      }
      if (n->acknowledged_leader_term != m.term || m.index > n->acknowledged_index) {
        n->acknowledged_leader_term = m.term;
        n->acknowledged_index = m.index;
        n->acknowledged_entry_term = term;
      }
    }
  }
  int to = 0;
  for (int k = 0; k < static_cast<int>(s->nodes.size()); ++k) {
    if (AddressOf(k) == out.to) to = k + 1;
  }
  if (to == 0 || s->cut_links.count(std::minmax(i, to))) return;
  auto message = std::make_shared<const Message>(std::move(out.message));
  uint64_t digest = DigestOf(*message);
  s->network.push_back({i, to, std::move(message), digest});
}

void Model::UpdateDigest(Node* n) {
  Digest d;
  d.Add(n->up, n->wipes, n->applied_digest, n->acknowledged_leader_term, n->acknowledged_index,
        n->acknowledged_entry_term, n->disk.empty, n->disk.commit);
  AddTo(&d, n->disk.hard_state);
  AddTo(&d, n->disk.snapshot);
  AddTo(&d, n->disk.entries);
  d.Add(n->writes.size());
  for (const WriteRequest& write : n->writes) AddTo(&d, write);
  if (n->up) d.Add(RaftNodeProbe::DigestOf(*n->raft, n->now));
  n->digest = d.value();
}

}  // namespace elderkeel::model
