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

// An event in this process; `controller status` shows the most recent ones.
struct Event {
  base::Millis at;
  std::string name;
  std::string detail;
};

// The data that the parts of a controller share: its settings, its cluster node, its replica of the
// log and the state that results from the log's entries. Owned by Controller; outlives the parts.
// Used on the event loop's thread only.
struct Context {
  Context(base::Loop* event_loop, base::Settings initial_settings, uint64_t own_boot_id)
      : loop(event_loop), settings(std::move(initial_settings)), boot_id(own_boot_id) {}

  static constexpr size_t kMaxEvents = 64;

  base::Loop* loop;
  base::Settings settings;
  const uint64_t boot_id;  // random, not 0; another one at each start of the process
  ControlState state;
  base::Journal<Event> events{kMaxEvents};
  std::unique_ptr<cluster::ClusterNode> node;
  std::unique_ptr<consensus::Replica> replica;
  bool stopping = false;

  // Returns a number that identifies a read of the log or a query to nodes. Unique in this process.
  uint64_t NextToken() { return next_token++; }
  // Adds an event to those that `controller status` shows.
  void RecordEvent(std::string name, std::string detail) {
    events.Append({base::SteadyMillis(), std::move(name), std::move(detail)});
  }

  bool IsLeader() const { return replica->running() && replica->raft().is_leader(); }
  // Whether this controller leads and has committed an entry in its term.
  bool HasCommittedInTerm() const {
    return replica->running() && replica->raft().HasCommittedInTerm();
  }
  // Whether this controller leads and a majority answered it within the election timeout, or it
  // follows a leader that sent something within twice that time.
  // REQUIRES: the replica is running.
  bool IsInContactWithLeader(base::Millis now) const {
    const consensus::RaftNode& raft = replica->raft();
    if (raft.is_leader()) return raft.HasCommittedInTerm() && raft.LeaderInContact(now);
    base::Millis last_contact = raft.last_leader_contact();
    return last_contact != 0 && now - last_contact < settings.election_ms * 2;
  }
  // Whether this controller takes no part in the log and redirects callers: it has no disk, and
  // membership has another controller with one that is alive or only suspected.
  bool IsExcludedFromLog() const {
    return settings.data_dir.empty() && node->membership().NearestDurable(true).has_value();
  }

  uint64_t next_token = 1;
};

}  // namespace elderkeel::controller
