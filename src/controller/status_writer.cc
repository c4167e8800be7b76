#include "controller/status_writer.h"

#include "controller/json_writer.h"

namespace elderkeel::controller {
namespace {

void WriteStore(const consensus::Replica& replica, JsonWriter* json) {
  json->BeginObject("store");
  json->Text("state", consensus::StoreStateName(replica.store_state()));
  json->Text("reason", replica.store_error());
  json->EndObject();
}

void WriteVoters(const consensus::RaftNode& raft, base::Millis now, JsonWriter* json) {
  json->BeginArray("voters");
  for (const consensus::Member& voter : raft.voters()) {
    json->BeginObject();
    json->Text("address", voter.address().ToString());
    json->Text("control", voter.control);
    if (raft.is_leader()) {
      base::Millis last_contact = raft.LastContact(voter.id);
      json->Number("silent-ms", last_contact < 0 ? -1 : now - last_contact);
    }
    json->EndObject();
  }
  json->EndArray();
}

// The state of the replica of the log. REQUIRES: the replica is running.
void WriteReplica(const Context& context, base::Millis now, JsonWriter* json) {
  const consensus::RaftNode& raft = context.replica->raft();
  json->Text("role", consensus::RoleName(raft.role()));
  json->Number("term", raft.term());
  json->Number("commit", raft.commit());
  auto leader = raft.leader();
  json->TextOrNull("leader", leader ? leader->address().ToString() : "");
  bool in_contact = context.IsInContactWithLeader(now);
  json->Flag("settled", in_contact);
  if (!in_contact) {
    json->Text(
        "unknown",
        "no contact with a quorum: this is the controller's own view and may be out of date");
  }
  WriteVoters(raft, now, json);
}

void WriteDrainedZones(const zone_drain::DrainedZones& drained_zones, JsonWriter* json) {
  json->BeginObject("evacuation");
  json->Number("version", drained_zones.version());
  json->BeginArray("zones");
  for (const std::string& zone : drained_zones.zones()) json->TextItem(zone);
  json->EndArray();
  json->EndObject();
}

void WriteRolloutSummaries(const rollout::Rollouts& rollouts, JsonWriter* json) {
  json->BeginArray("rollouts");
  for (const auto& [service, rollout] : rollouts.rollouts()) {
    json->BeginObject();
    json->Text("service", service);
    json->Text("version", rollout.order.version);
    json->Text("stage", rollout::StageName(rollout.stage));
    json->Text("reason", rollout.reason);
    json->EndObject();
  }
  json->EndArray();
}

void WriteCatalogReader(const Context& context, JsonWriter* json) {
  const singleton::Assignment& assignment = context.state.catalog_reader;
  std::string owner;
  if (context.replica->running()) {
    for (const consensus::Member& voter : context.replica->raft().voters()) {
      if (voter.id == assignment.owner) owner = voter.address().ToString();
    }
  }
  json->BeginObject("duty");
  json->Number("epoch", assignment.epoch);
  json->TextOrNull("holder", owner);
  json->EndObject();
}

void WriteEndpoints(const dissemination::Disseminator& disseminator, base::Millis now,
                    JsonWriter* json) {
  const discovery::EndpointSnapshot& endpoints = disseminator.endpoints();
  json->BeginObject("catalog");
  json->Number("epoch", endpoints.epoch);
  json->Number("sequence", endpoints.sequence);
  json->Number("servers", static_cast<uint64_t>(endpoints.servers.size()));
  json->Number("age-ms", disseminator.endpoints_read_age(now));
  json->Number("verified-ms", disseminator.endpoints_age(now));
  json->EndObject();
}

void WriteNode(const membership::Node& node, const diagnosis::FleetQuery& replies,
               JsonWriter* json) {
  bool is_proxy = node.program == membership::Program::kProxy;
  json->BeginObject();
  json->Text("address", node.address().ToString());
  json->Text("program", is_proxy ? "proxy" : "controller");
  json->Text("zone", node.zone);
  json->Text("state", membership::StateName(node.state));
  if (is_proxy) {
    const diagnosis::Reply* reply = replies.FindReply(node.address().ToString());
    // The state of a proxy that did not reply is unknown: what it reported earlier may be outdated.
    std::string line = reply && !reply->lines.empty() ? reply->lines[0] : "";
    json->Text("revision", line.empty() ? "unknown" : diagnosis::ValueOf(line, "revision"));
    json->Text("ready", line.empty() ? "unknown" : diagnosis::ValueOf(line, "ready"));
    json->Text("state-line", line);
  }
  json->EndObject();
}

void WriteEvents(const base::Journal<Event>& events, base::Millis now, JsonWriter* json) {
  json->BeginArray("events");
  for (const Event& event : events.recent()) {
    json->BeginObject();
    json->Number("ago-ms", now - event.at);
    json->Text("event", event.name);
    json->Text("detail", event.detail);
    json->EndObject();
  }
  json->EndArray();
}

void WriteCounters(const char* key, const rollout::VersionCounters& counters, JsonWriter* json) {
  json->BeginObject(key);
  json->Number("answers", static_cast<int64_t>(counters.answers));
  json->Number("failed", static_cast<int64_t>(counters.failed));
  json->Number("broken-off", static_cast<int64_t>(counters.broken));
  json->Number("timed", static_cast<int64_t>(counters.latency_samples));
  json->Number("late", static_cast<int64_t>(counters.late));
  json->EndObject();
}

// Writes roll-outs with their observers' votes.
class RolloutWriter {
 public:
  RolloutWriter(const Context& context, const rollout::RolloutCoordinator& coordinator,
                base::Millis now, JsonWriter* json)
      : context_(context), coordinator_(coordinator), now_(now), json_(json) {
    for (const std::string& label : context.state.configuration.document().RouteLabels()) {
      route_labels_[rollout::RouteKey(label)] = label;
    }
  }

  void Write(const std::string& service, const rollout::Rollout& rollout) {
    bool ended = rollout::IsFinal(rollout.stage);
    json_->BeginObject();
    json_->Text("service", service);
    json_->Text("version", rollout.order.version);
    json_->Text("from", rollout.previous_version.empty() ? "unknown" : rollout.previous_version);
    json_->Text("status", rollout::StatusName(rollout.stage));
    json_->Text("stage", rollout::StageName(rollout.stage));
    json_->Text("reason", rollout.reason);
    json_->Number("number", rollout.number);
    json_->Number("over-ms", rollout.order.time_limit_ms);
    json_->Number("elapsed-ms", ended ? rollout.elapsed_ms : coordinator_.Age(now_, rollout));
    json_->BeginArray("watchers");
    for (uint64_t observer : rollout.observers) WriteObserver(observer, rollout.number);
    json_->EndArray();
    json_->EndObject();
  }

 private:
  std::string AddressOf(uint64_t id) const {
    const auto& nodes = context_.node->membership().nodes();
    auto node = nodes.find(id);
    return node == nodes.end() ? "unknown" : node->second.address().ToString();
  }

  void WriteObserver(uint64_t observer, uint64_t rollout_number) {
    const auto& votes = coordinator_.VotesOn(rollout_number);
    auto received = votes.find(observer);
    json_->BeginObject();
    json_->Text("address", AddressOf(observer));
    if (received == votes.end()) {
      json_->Text("vote", "unknown");
    } else {
      json_->Text("vote", rollout::OpinionName(received->second.vote.opinion));
      json_->Number("ago-ms", now_ - received->second.at);
      WriteVote(received->second.vote);
    }
    json_->EndObject();
  }

  void WriteVote(const rollout::Vote& vote) {
    json_->Text("why", vote.reason);
    json_->Number("proxies-heard", static_cast<int64_t>(vote.reporting));
    json_->Number("proxies-in-sight", static_cast<int64_t>(vote.known_proxies));
    json_->Number("requests", vote.requests);
    json_->Number("sent-to-new", vote.exposed);
    json_->Number("not-confirmed", static_cast<int64_t>(vote.unconfirmed));
    json_->Number("not-heard", static_cast<int64_t>(vote.not_reporting));
    json_->BeginArray("missing");
    for (uint64_t id : vote.missing) json_->TextItem(AddressOf(id));
    json_->EndArray();
    json_->BeginArray("routes");
    for (const rollout::Row& row : vote.rows) {
      auto label = route_labels_.find(row.route);
      json_->BeginObject();
      json_->Text("route",
                  label == route_labels_.end() ? std::to_string(row.route) : label->second);
      WriteCounters("old", row.old_version, json_);
      WriteCounters("new", row.new_version, json_);
      json_->EndObject();
    }
    json_->EndArray();
  }

  const Context& context_;
  const rollout::RolloutCoordinator& coordinator_;
  base::Millis now_;
  JsonWriter* json_;
  std::map<uint32_t, std::string> route_labels_;  // by rollout::RouteKey
};

}  // namespace

std::string WriteStatus(const Context& context, const diagnosis::FleetQuery& nodes,
                        base::Millis now) {
  const dissemination::Disseminator& disseminator = context.node->disseminator();
  JsonWriter json;
  json.BeginObject();
  json.Text("node", context.settings.node_name);
  WriteStore(*context.replica, &json);
  if (context.replica->running()) WriteReplica(context, now, &json);
  json.Number("revision", context.state.configuration.revision());
  WriteDrainedZones(disseminator.drained_zones(), &json);
  WriteRolloutSummaries(context.state.rollouts, &json);
  WriteCatalogReader(context, &json);
  WriteEndpoints(disseminator, now, &json);
  json.BeginArray("nodes");
  for (const auto& [id, node] : context.node->membership().nodes()) WriteNode(node, nodes, &json);
  json.EndArray();
  WriteEvents(context.events, now, &json);
  json.EndObject();
  return json.text();
}

std::string WriteRollouts(const Context& context, const rollout::RolloutCoordinator& coordinator,
                          std::string_view service, base::Millis now) {
  const rollout::Rollouts& rollouts = context.state.rollouts;
  if (!service.empty() && !rollouts.NewestOf(std::string(service))) return "";
  auto is_requested = [service](const std::string& name) {
    return service.empty() || name == service;
  };
  JsonWriter json;
  json.BeginObject();
  json.Text("node", context.settings.node_name);
  json.Flag("settled", context.IsLeader() && context.IsInContactWithLeader(now));
  json.Flag("by-order", context.settings.VersionsByOrder());
  json.BeginObject("in-force");
  for (const auto& [name, version] : rollouts.in_force()) {
    if (is_requested(name)) json.Text(name.c_str(), version);
  }
  json.EndObject();
  json.BeginArray("rollouts");
  RolloutWriter writer(context, coordinator, now, &json);
  for (const auto& [name, rollout] : rollouts.rollouts()) {
    if (is_requested(name)) writer.Write(name, rollout);
  }
  json.EndArray();
  json.EndObject();
  return json.text();
}

}  // namespace elderkeel::controller
