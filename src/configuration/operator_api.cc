#include "configuration/operator_api.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <vector>

#include "base/settings.h"

namespace elderkeel::configuration {
namespace {
constexpr size_t kMaxJobs = 128;
constexpr size_t kMaxJobBytes = 32u << 20;  // of bodies; a single one may be larger
constexpr size_t kMaxOrderBytes = 4096;

// A number as If-Match carries it, with or without quotes; -1 when it is none.
int64_t MatchOf(const std::string* header) {
  if (!header) return -1;
  std::string_view text = *header;
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  return wire::ParseDecimal(text);
}

// Takes an order for a roll-out from `body`; what is wrong with it, if anything is.
std::string ReadOrder(const std::string& body, rollout::RolloutOrder* order) {
  static const rapidjson::Document schema = [] {
    rapidjson::Document d;
    d.Parse(R"({
      "type": "object",
      "required": ["target", "target-revision", "over-s"],
      "properties": {
        "target": {"type": "string", "minLength": 1, "maxLength": 256},
        "target-revision": {"type": "string", "minLength": 1, "maxLength": 128},
        "over-s": {"type": "number", "minimum": 0, "exclusiveMinimum": true, "maximum": 86400}
      }})");
    return d;
  }();
  if (body.size() > kMaxOrderBytes) return "the body is too large";
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (d.HasParseError() || !d.IsObject()) return "the body is no JSON object";
  std::string fault = base::SchemaFault(schema, d);
  if (!fault.empty()) return fault;
  order->service = d["target"].GetString();
  order->version = d["target-revision"].GetString();
  order->over_ms = std::max<int64_t>(1, static_cast<int64_t>(d["over-s"].GetDouble() * 1000));
  return "";
}

}  // namespace

void OperatorApi::Reply(uint64_t ticket, int status, const std::string& reason) {
  wire::Message answer = wire::OwnAnswer(status, reason);
  if (status == 200) {
    answer.body = "{\"revision\":" + std::to_string(state_->revision()) + "}";
  }
  if (status == 503) answer.headers.push_back({"Retry-After", "0.3"});
  if (status == 405) answer.headers.push_back({"Allow", reason});
  answer_(ticket, answer);
}

void OperatorApi::Elsewhere(uint64_t ticket, const std::string& target) {
  auto leader = log_->leader_control();
  if (!leader || leader->empty()) {
    Reply(ticket, 503, "no leader is known");
    return;
  }
  wire::Message answer = wire::OwnAnswer(307, "the leader is elsewhere");
  answer.headers.push_back({"Location", "http://" + *leader + target});
  answer_(ticket, answer);
}

bool OperatorApi::Understand(const wire::Message& request, Job* job) {
  if (request.Path().rfind(kZoneDrain, 0) == 0) {
    job->kind = Job::Kind::kOrder;
    job->order.zone = request.Path().substr(kZoneDrain.size());
    job->order.drain = request.method == "POST";
    if (request.method != "POST" && request.method != "DELETE") {
      Reply(job->ticket, 405, "POST, DELETE");
      return false;
    }
    return true;
  }
  if (request.Path() != "/elderkeel/config") return UnderstandRollout(request, job);
  if (request.method == "GET") return true;
  job->kind = Job::Kind::kChange;
  job->change.patch = request.method == "PATCH";
  if (!job->change.patch && request.method != "PUT") {
    Reply(job->ticket, 405, "GET, PUT, PATCH");
    return false;
  }
  job->change.if_match = MatchOf(request.Find("If-Match"));
  if (job->change.if_match < 0) {
    Reply(job->ticket, 400, "If-Match: is missing or no number");
    return false;
  }
  Register::Verdict size = Register::CheckSize(request.body.size());
  if (size.status != 0) {
    Reply(job->ticket, size.status, size.reason);
    return false;
  }
  job->change.body = request.body;
  return true;
}

bool OperatorApi::UnderstandRollout(const wire::Message& request, Job* job) {
  std::string_view path = request.Path();
  bool one = path.size() >= kRollouts.size();
  if (request.method != (one ? "GET" : "POST")) {
    Reply(job->ticket, 405, one ? "GET" : "POST");
    return false;
  }
  if (one) {
    job->kind = Job::Kind::kRolloutRead;
    job->rollout.service = path.substr(kRollouts.size());
    return true;
  }
  job->kind = Job::Kind::kRollout;
  std::string fault = ReadOrder(request.body, &job->rollout);
  if (!fault.empty()) {
    Reply(job->ticket, 400, fault);
    return false;
  }
  return true;
}

// An order that is in force already needs no entry: it may be one that is sent again.
Register::Verdict OperatorApi::Judge(const Job& job) const {
  if (job.kind == Job::Kind::kChange) return state_->Judge(job.change);
  if (job.kind == Job::Kind::kRollout) {
    rollout::Rollouts::Verdict verdict = rollouts_->Judge(job.rollout);
    if (verdict.status == 0 && !log_->HasService(job.rollout.service)) {
      return {404, "target: there is no such service"};
    }
    return {verdict.status, verdict.reason};
  }
  bool drained = drained_zones_->IsDrained(job.order.zone);
  if (drained && job.order.drain) return {200, ""};
  // A zone whose last server is gone can still be taken back.
  if (!drained && !log_->HasZone(job.order.zone)) return {404, "no such zone"};
  return {drained == job.order.drain ? 200 : 0, ""};
}

uint64_t OperatorApi::NewestRollout(const std::string& service) const {
  const rollout::Rollout* rollout = rollouts_->Of(service);
  return rollout ? rollout->number : 0;
}

bool OperatorApi::Overtaken(const Job& job) const {
  if (job.kind == Job::Kind::kOrder) return job.opposed;
  return job.kind == Job::Kind::kRollout && NewestRollout(job.rollout.service) != job.newest;
}

void OperatorApi::OnRequest(base::Millis now, uint64_t ticket, const wire::Message& request) {
  Job job;
  job.ticket = ticket;
  if (!Understand(request, &job)) return;
  if (!log_->is_leader()) {
    Elsewhere(ticket, request.target);
    return;
  }
  if (jobs_.size() >= kMaxJobs) {
    Reply(ticket, 503, "too many calls at once");
    return;
  }
  size_t bytes = job.change.body.size();
  for (const auto& [token, other] : jobs_) bytes += other.change.body.size();
  if (bytes > kMaxJobBytes && bytes > job.change.body.size()) {
    Reply(ticket, 503, "too many bytes at once");
    return;
  }
  job.drained = drained_zones_->IsDrained(job.order.zone);
  job.newest = NewestRollout(job.rollout.service);
  job.deadline = now + patience_;
  uint64_t token = next_token_++;
  jobs_[token] = std::move(job);
  Ask(token);
}

// A leader that has not yet committed an entry of its own term asks again at the next tick.
void OperatorApi::Ask(uint64_t token) {
  if (!log_->HasCommittedInTerm()) return;
  bool asked = log_->Read(token);
  auto at = jobs_.find(token);
  if (at != jobs_.end()) at->second.asked = asked;
}

void OperatorApi::Gone(uint64_t ticket) {
  for (auto at = jobs_.begin(); at != jobs_.end(); ++at) {
    if (at->second.ticket != ticket) continue;
    if (!in_flight_ || in_flight_->token != at->first) jobs_.erase(at);
    return;
  }
}

void OperatorApi::ReadDone(base::Millis now, uint64_t token, bool confirmed) {
  auto at = jobs_.find(token);
  if (at == jobs_.end()) return;
  if (!confirmed) {
    uint64_t ticket = at->second.ticket;
    jobs_.erase(at);
    Reply(ticket, 503, "leadership was lost");
    return;
  }
  at->second.confirmed = true;
  Serve(now);
}

std::optional<uint64_t> OperatorApi::Propose(const Job& job) {
  switch (job.kind) {
    case Job::Kind::kOrder:
      return log_->Propose(job.order);
    case Job::Kind::kRollout:
      return log_->Propose(job.rollout);
    default:
      return log_->Propose(job.change);
  }
}

void OperatorApi::Tell(const Job& job) {
  wire::Message answer;
  answer.status = 200;
  answer.headers.push_back({"Content-Type", "application/json"});
  if (job.kind == Job::Kind::kRolloutRead) {
    const rollout::Rollout* rollout = rollouts_->Of(job.rollout.service);
    if (!rollout) return Reply(job.ticket, 404, "no roll-out of this service was ordered");
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
    w.StartObject();
    w.Key("status");
    w.String(rollout::StatusName(rollout->stage));
    w.Key("target-revision");
    w.String(rollout->order.version.c_str());
    w.EndObject();
    answer.body.assign(buffer.GetString(), buffer.GetSize());
  } else if (state_->empty()) {
    return Reply(job.ticket, 404, "no configuration yet");
  } else {
    answer.headers.push_back({"ETag", "\"" + std::to_string(state_->revision()) + "\""});
    answer.body = state_->text();
  }
  answer_(job.ticket, answer);
}

void OperatorApi::Serve(base::Millis now) {
  for (auto at = jobs_.begin(); at != jobs_.end();) {
    uint64_t token = at->first;
    Job& job = at->second;
    if (!job.confirmed || (in_flight_ && in_flight_->token == token)) {
      ++at;
      continue;
    }
    if (job.kind == Job::Kind::kRead || job.kind == Job::Kind::kRolloutRead) {
      Tell(job);
      at = jobs_.erase(at);
      continue;
    }
    if (in_flight_) {
      ++at;  // one change at a time: its verdict would rest on an entry that is not committed
      continue;
    }
    Register::Verdict verdict = Judge(job);
    // Which zones there are may be news; one that is evacuated is known whatever became of it.
    if (job.kind == Job::Kind::kOrder && !drained_zones_->IsDrained(job.order.zone) &&
        !log_->HasZone(job.order.zone)) {
      verdict = {404, "no such zone"};
    }
    if (verdict.status == 0 && now >= job.deadline) verdict = {503, "no majority in time"};
    if (verdict.status == 0 && Overtaken(job)) verdict = {503, "another order came in between"};
    if (verdict.status != 0) {
      Reply(job.ticket, verdict.status, verdict.reason);
      at = jobs_.erase(at);
      continue;
    }
    auto index = Propose(job);
    if (!index) {
      Reply(job.ticket, 503, "the log takes nothing now");
      at = jobs_.erase(at);
      continue;
    }
    in_flight_ = InFlight{*index, token};
    ++at;
  }
}

void OperatorApi::Applied(base::Millis now, uint64_t index) {
  for (auto& [token, job] : jobs_) {
    if (job.kind != Job::Kind::kOrder) continue;
    bool drained = drained_zones_->IsDrained(job.order.zone);
    if (drained != job.drained && drained != job.order.drain) job.opposed = true;
    job.drained = drained;
  }
  if (!in_flight_ || index < in_flight_->index) return;
  uint64_t token = in_flight_->token;
  bool ours = index == in_flight_->index;
  in_flight_.reset();
  auto at = jobs_.find(token);
  if (at != jobs_.end()) {
    const Job& job = at->second;
    bool in_force = job.kind == Job::Kind::kOrder &&
                    drained_zones_->IsDrained(job.order.zone) == job.order.drain;
    Register::Verdict verdict = in_force ? Register::Verdict{200, ""} : Judge(job);
    uint64_t ticket = job.ticket;
    jobs_.erase(at);
    Reply(ticket, ours && verdict.status != 0 ? verdict.status : 503,
          verdict.reason.empty() ? "the change was overtaken" : verdict.reason);
  }
  Serve(now);
}

void OperatorApi::RoleChanged(base::Millis) {
  if (log_->is_leader() && log_->term() == term_) return;
  term_ = log_->term();
  in_flight_.reset();
  std::map<uint64_t, Job> jobs;
  jobs.swap(jobs_);
  // What was proposed may still be committed by another leader: no clear answer can be given.
  for (auto& [token, job] : jobs) Reply(job.ticket, 503, "leadership was lost");
}

void OperatorApi::Tick(base::Millis now) {
  std::vector<uint64_t> late;
  for (auto& [token, job] : jobs_) {
    if (now >= job.deadline) late.push_back(token);
  }
  for (uint64_t token : late) {
    uint64_t ticket = jobs_[token].ticket;
    jobs_.erase(token);
    Reply(ticket, 503, "no majority in time");
  }
  if (!log_->HasCommittedInTerm()) return;
  std::vector<uint64_t> unread;
  for (auto& [token, job] : jobs_) {
    if (!job.asked) unread.push_back(token);
  }
  for (uint64_t token : unread) {
    if (jobs_.count(token)) Ask(token);
  }
}

}  // namespace elderkeel::configuration
