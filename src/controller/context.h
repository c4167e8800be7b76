#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/journal.h"
#include "base/loop.h"
#include "base/settings.h"
#include "cluster/cluster_node.h"
#include "consensus/replica.h"
#include "controller/control_state.h"

namespace elderkeel::controller {

// Something that happened in this process; `controller status` shows the last of them.
struct Event {
  base::Millis at;
  std::string name;
  std::string detail;
};

// What the parts of a controller share: its settings, its place in the cluster, its replica of the
// log and the state that the log's entries lead to. Owned by Controller, outlives its parts; used
// on the event loop's thread alone.
struct Context {
  Context(base::Loop* event_loop, base::Settings initial_settings, uint64_t own_boot_id)
      : loop(event_loop), settings(std::move(initial_settings)), boot_id(own_boot_id) {}

  base::Loop* loop;
  base::Settings settings;
  const uint64_t boot_id;  // drawn anew at each start of the process
  ControlState state;
  base::Journal<Event> events{64};
  std::unique_ptr<cluster::ClusterNode> node;
  std::unique_ptr<consensus::Replica> replica;
  bool stopping = false;

  // Numbers reads of the log and queries to nodes.
  uint64_t NextToken() { return next_token++; }
  void Note(std::string name, std::string detail) {
    events.Append({base::SteadyMillis(), std::move(name), std::move(detail)});
  }

  bool IsLeader() const { return replica->running() && replica->raft().is_leader(); }
  bool HasCommittedInTerm() const {
    return replica->running() && replica->raft().HasCommittedInTerm();
  }
  // Whether this controller's state is that of a live majority, or of a leader heard lately.
  // REQUIRES: the replica is running.
  bool IsInContactWithLeader(base::Millis now) const {
    const consensus::RaftNode& raft = replica->raft();
    if (raft.is_leader()) return raft.HasCommittedInTerm() && raft.LeaderInContact(now);
    base::Millis last = raft.last_leader_contact();
    return last != 0 && now - last < settings.election_ms * 2;
  }
  // Without a disk, where others have one: it has no part in the log and redirects callers.
  bool IsIdle() const {
    return settings.data_dir.empty() && node->membership().NearestDurable(true).has_value();
  }

  uint64_t next_token = 1;
};

}  // namespace elderkeel::controller
