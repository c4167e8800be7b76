// What the controller tells of itself and of the proxies: status, diagnoses, roll-outs.
#include "base/log.h"
#include "controller/controller.h"
#include "controller/json_text.h"

namespace elderkeel::controller {
namespace {
constexpr size_t kMaxInquiries = 16;
constexpr base::Millis kInquiryMs = 1500;
}  // namespace

// Asks every proxy in sight for its records. It needs no majority: whoever does not answer is
// named.
void Controller::Diagnose(wire::HttpServer::Ticket ticket,
                          const base::Result<diagnosis::Question>& question) {
  if (!question) {
    control_->Answer(ticket, wire::OwnAnswer(400, question.error().reason));
    return;
  }
  Ask(ticket, *question);
}

void Controller::Ask(wire::HttpServer::Ticket ticket, const diagnosis::Question& question) {
  if (!replica_->started()) {
    control_->Answer(ticket, wire::OwnAnswer(503, "this controller has only just started"));
    return;
  }
  if (inquiries_.size() >= kMaxInquiries) {
    control_->Answer(ticket, wire::OwnAnswer(503, "too many questions at once"));
    return;
  }
  std::vector<diagnosis::Target> targets;
  // The dead are asked too, after the others: a suspicion may be wrong, and if they are silent the
  // answer says so.
  for (bool reachable : {true, false}) {
    for (const auto& [id, node] : peers_->members().nodes()) {
      if (node.program != membership::Program::kProxy || node.state == membership::State::kLeft)
        continue;
      if (!question.zone.empty() && node.zone != question.zone) continue;
      if (node.reachable() == reachable) {
        targets.push_back({node.address().ToString(), node.zone});
      }
    }
  }
  inquiries_.push_back({ticket, diagnosis::Inquiry(next_token_++, question, std::move(targets),
                                                   base::SteadyMillis() + kInquiryMs)});
  FinishInquiries(base::SteadyMillis());
}

void Controller::FinishInquiries(base::Millis now) {
  for (size_t i = 0; i < inquiries_.size();) {
    if (!inquiries_[i].inquiry.Done(now)) {
      for (const std::string& address : inquiries_[i].inquiry.Next(now)) {
        if (auto to = base::ParseAddress(address)) {
          peers_->mesh().Send(*to, wire::Kind::kQuery, inquiries_[i].inquiry.query());
        }
      }
      ++i;
      continue;
    }
    wire::Message answer;
    answer.status = 200;
    answer.headers.push_back({"Content-Type", "application/json"});
    const diagnosis::Inquiry& inquiry = inquiries_[i].inquiry;
    answer.body = inquiry.about() == diagnosis::Question::About::kNode ? StatusJson(inquiry)
                                                                       : inquiry.Report();
    control_->Answer(inquiries_[i].ticket, answer);
    inquiries_.erase(inquiries_.begin() + static_cast<long>(i));
  }
}

std::string Controller::RolloutsJson(std::string_view service) const {
  base::Millis now = base::SteadyMillis();
  const rollout::Rollouts& state = state_.rollouts;
  if (!service.empty() && !state.Of(std::string(service))) return "";
  JsonText json;
  JsonText::Writer& w = json.writer;
  auto text = [&](const char* key, const std::string& value) { json.Text(key, value); };
  auto number = [&](const char* key, int64_t value) { json.Number(key, value); };
  auto address = [&](uint64_t id) {
    auto at = peers_->members().nodes().find(id);
    return at == peers_->members().nodes().end() ? "unknown" : at->second.address().ToString();
  };
  std::map<uint32_t, std::string> labels;
  for (const std::string& label : state_.configuration.document().RouteLabels()) {
    labels[rollout::RouteKey(label)] = label;
  }
  auto counts = [&](const char* key, const rollout::VersionCounters& c) {
    w.Key(key);
    w.StartObject();
    number("answers", c.answers);
    number("failed", c.failed);
    number("broken-off", c.broken);
    number("timed", c.timed);
    number("late", c.late);
    w.EndObject();
  };
  w.StartObject();
  text("node", settings_.node_name);
  w.Key("settled");
  w.Bool(is_leader() && HearsLeader(now));
  w.Key("by-order");
  w.Bool(settings_.VersionsByOrder());
  w.Key("in-force");
  w.StartObject();
  for (const auto& [name, version] : state.in_force()) {
    if (service.empty() || name == service) text(name.c_str(), version);
  }
  w.EndObject();
  w.Key("rollouts");
  w.StartArray();
  for (const auto& [name, rollout] : state.rollouts()) {
    if (!service.empty() && name != service) continue;
    bool ended = rollout::Ended(rollout.stage);
    w.StartObject();
    text("service", name);
    text("version", rollout.order.version);
    text("from", rollout.from.empty() ? "unknown" : rollout.from);
    text("status", rollout::StatusName(rollout.stage));
    text("stage", rollout::StageName(rollout.stage));
    text("reason", rollout.reason);
    number("number", static_cast<int64_t>(rollout.number));
    number("over-ms", rollout.order.over_ms);
    number("elapsed-ms", ended ? rollout.elapsed_ms : coordinator_.Age(now, rollout));
    w.Key("watchers");
    w.StartArray();
    for (uint64_t observer : rollout.observers) {
      w.StartObject();
      text("address", address(observer));
      auto told = coordinator_.VotesOn(rollout.number).find(observer);
      bool known = told != coordinator_.VotesOn(rollout.number).end();
      text("vote", known ? rollout::OpinionName(told->second.vote.opinion) : "unknown");
      if (known) {
        const rollout::Vote& vote = told->second.vote;
        number("ago-ms", now - told->second.at);
        text("why", vote.why);
        number("proxies-heard", vote.heard);
        number("proxies-in-sight", vote.known_proxies);
        number("requests", static_cast<int64_t>(vote.requests));
        number("sent-to-new", static_cast<int64_t>(vote.exposed));
        number("not-confirmed", vote.unconfirmed);
        number("not-heard", vote.not_reporting);
        w.Key("missing");
        w.StartArray();
        for (uint64_t id : vote.missing) w.String(address(id).c_str());
        w.EndArray();
        w.Key("routes");
        w.StartArray();
        for (const rollout::Row& row : vote.rows) {
          w.StartObject();
          text("route", labels.count(row.route) ? labels[row.route] : std::to_string(row.route));
          counts("old", row.old_version);
          counts("new", row.new_version);
          w.EndObject();
        }
        w.EndArray();
      }
      w.EndObject();
    }
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return json.Take();
}

// What the log's machine knows.
void Controller::WriteLog(JsonText* json) const {
  base::Millis now = base::SteadyMillis();
  const consensus::RaftNode& m = replica_->raft();
  JsonText::Writer& w = json->writer;
  auto text = [&](const char* key, const std::string& value) { json->Text(key, value); };
  auto number = [&](const char* key, int64_t value) { json->Number(key, value); };
  text("role", consensus::RoleName(m.role()));
  number("term", static_cast<int64_t>(m.term()));
  number("commit", static_cast<int64_t>(m.commit()));
  auto leader = m.leader();
  w.Key("leader");
  if (leader) {
    w.String(leader->address().ToString().c_str());
  } else {
    w.Null();
  }
  w.Key("settled");
  bool heard = HearsLeader(now);
  w.Bool(heard);
  if (!heard) text("unknown", "no majority is heard: what follows is this controller's own view");
  w.Key("voters");
  w.StartArray();
  for (const consensus::Member& v : m.voters()) {
    w.StartObject();
    text("address", v.address().ToString());
    text("control", v.control);
    if (is_leader()) number("silent-ms", m.LastContact(v.id) < 0 ? -1 : now - m.LastContact(v.id));
    w.EndObject();
  }
  w.EndArray();
}

std::string Controller::StatusJson(const diagnosis::Inquiry& nodes) const {
  base::Millis now = base::SteadyMillis();
  JsonText json;
  JsonText::Writer& w = json.writer;
  auto text = [&](const char* key, const std::string& value) { json.Text(key, value); };
  auto number = [&](const char* key, int64_t value) { json.Number(key, value); };
  w.StartObject();
  text("node", settings_.node_name);
  w.Key("store");
  w.StartObject();
  text("state", consensus::StoreStateName(replica_->store_state()));
  text("reason", replica_->store_error());
  w.EndObject();
  if (replica_->running()) WriteLog(&json);
  number("revision", state_.configuration.revision());
  w.Key("evacuation");
  w.StartObject();
  number("version", static_cast<int64_t>(peers_->disseminator().drained_zones().version()));
  w.Key("zones");
  w.StartArray();
  for (const std::string& zone : peers_->disseminator().drained_zones().zones())
    w.String(zone.c_str());
  w.EndArray();
  w.EndObject();
  w.Key("rollouts");
  w.StartArray();
  for (const auto& [service, rollout] : state_.rollouts.rollouts()) {
    w.StartObject();
    text("service", service);
    text("version", rollout.order.version);
    text("stage", rollout::StageName(rollout.stage));
    text("reason", rollout.reason);
    w.EndObject();
  }
  w.EndArray();
  w.Key("duty");
  w.StartObject();
  number("epoch", static_cast<int64_t>(state_.catalog_reader.epoch));
  w.Key("holder");
  std::string owner;
  std::vector<consensus::Member> voters;
  if (replica_->running()) voters = replica_->raft().voters();
  for (const consensus::Member& v : voters) {
    if (v.id == state_.catalog_reader.owner) owner = v.address().ToString();
  }
  if (owner.empty()) {
    w.Null();
  } else {
    w.String(owner.c_str());
  }
  w.EndObject();
  w.Key("catalog");
  w.StartObject();
  number("epoch", static_cast<int64_t>(peers_->disseminator().endpoints().epoch));
  number("sequence", static_cast<int64_t>(peers_->disseminator().endpoints().sequence));
  number("servers", static_cast<int64_t>(peers_->disseminator().endpoints().servers.size()));
  number("age-ms", peers_->disseminator().endpoints_read_age(now));
  number("verified-ms", peers_->disseminator().endpoints_age(now));
  w.EndObject();
  w.Key("nodes");
  w.StartArray();
  for (const auto& [id, node] : peers_->members().nodes()) {
    w.StartObject();
    text("address", node.address().ToString());
    text("program", node.program == membership::Program::kProxy ? "proxy" : "controller");
    text("zone", node.zone);
    text("state", membership::StateName(node.state));
    if (node.program == membership::Program::kProxy) {
      const diagnosis::Reply* reply = nodes.Of(node.address().ToString());
      // What a silent node serves by is not known, whatever was heard before.
      std::string line = reply && !reply->lines.empty() ? reply->lines[0] : "";
      text("revision", line.empty() ? "unknown" : diagnosis::ValueOf(line, "revision"));
      text("ready", line.empty() ? "unknown" : diagnosis::ValueOf(line, "ready"));
      text("state-line", line);
    }
    w.EndObject();
  }
  w.EndArray();
  w.Key("events");
  w.StartArray();
  for (const Event& event : journal_.recent()) {
    w.StartObject();
    number("ago-ms", now - event.at);
    text("event", event.what);
    text("detail", event.detail);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return json.Take();
}

}  // namespace elderkeel::controller
