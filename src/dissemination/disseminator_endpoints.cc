// The endpoints, as the catalog reader publishes them.
#include <algorithm>

#include "dissemination/disseminator.h"

namespace elderkeel::dissemination {
namespace {
constexpr size_t kSmallServers = 48;    // changed servers that may be sent unasked
constexpr size_t kHistory = 64;         // steps of the list that are remembered
constexpr size_t kTouchedLimit = 2048;  // servers that all these steps may name
}  // namespace

size_t Disseminator::FirstStepFrom(const EndpointsWanted& wanted) const {
  if (!wanted.exact || !exact_) return history_.size();
  for (size_t i = history_.size(); i-- > 0;) {
    const Step& step = history_[i];
    if (step.epoch == wanted.has.epoch && step.sequence == wanted.has.sequence) return i;
  }
  return history_.size();
}

void Disseminator::FillServers(base::Millis now, size_t first, EndpointUpdate* update) const {
  if (first == history_.size()) {
    update->servers = endpoints_.servers;
  } else {
    update->complete = false;
    update->base_epoch = history_[first].epoch;
    update->base_sequence = history_[first].sequence;
    std::set<std::string> touched;
    for (size_t i = first; i < history_.size(); ++i) {
      touched.insert(history_[i].touched.begin(), history_[i].touched.end());
    }
    for (const std::string& id : touched) {
      auto at = std::lower_bound(endpoints_.servers.begin(), endpoints_.servers.end(), id,
                                 [](const discovery::Server& server, const std::string& want) {
                                   return server.id < want;
                                 });
      if (at != endpoints_.servers.end() && at->id == id) {
        update->servers.push_back(*at);
      } else {
        update->gone.push_back(id);
      }
    }
  }
  for (discovery::Server& server : update->servers) {
    server.warmup_left_ms = static_cast<int32_t>(std::max<base::Millis>(0, server.warm_at - now));
  }
}

bool Disseminator::SendEndpoints(base::Millis now, const base::Address& to,
                                 const EndpointsWanted& wanted) {
  size_t first = FirstStepFrom(wanted);
  bool whole = first == history_.size();
  // Before the whole list is copied.
  if (whole && !wanted.asked_for_it && endpoints_.servers.size() > kSmallServers) return false;
  EndpointUpdate update;
  update.epoch = endpoints_.epoch;
  update.sequence = endpoints_.sequence;
  update.exact = exact_;
  update.age_ms = static_cast<int32_t>(std::min<base::Millis>(endpoints_read_age(now), INT32_MAX));
  update.asked_at = wanted.asked_at == 0 ? EndpointUpdate::kUnasked : wanted.asked_at;
  update.succeeds = succeeds_;
  FillServers(now, first, &update);
  if (update.servers.size() + update.gone.size() > kSmallServers) {
    if (!wanted.asked_for_it) return false;
    if (RecentlySent(now, to, endpoints_.epoch << 32 | endpoints_.sequence << 1 | 1)) return true;
  }
  out_.endpoint_updates.emplace_back(to, std::move(update));
  return true;
}

// Takes another list in place of this one, and remembers the step if both are exact.
void Disseminator::Replace(discovery::EndpointSnapshot endpoints, bool exact) {
  if (exact && exact_ && has_endpoints()) {
    history_.push_back({endpoints_.epoch, endpoints_.sequence,
                        discovery::Differences(endpoints_.servers, endpoints.servers)});
    size_t touched = 0;
    for (const Step& step : history_) touched += step.touched.size();
    while (!history_.empty() && (history_.size() > kHistory || touched > kTouchedLimit)) {
      touched -= history_.front().touched.size();
      history_.pop_front();
    }
  } else {
    history_.clear();
  }
  endpoints_ = std::move(endpoints);
  exact_ = exact;
  has_endpoints_ = true;
  fetch_endpoints_ = Fetch();
  out_.endpoints_adopted = true;
  endpoints_freshness_.Advance(VerifiableEndpointVersion());
}

bool Disseminator::Publish(base::Millis now, base::Millis asked_at,
                           discovery::EndpointSnapshot endpoints) {
  EndpointVersion version{endpoints.epoch, endpoints.sequence};
  if (!IsNewerList(version, asked_at)) return false;
  bool vouched = endpoints.epoch > 0;
  if (version.epoch != endpoints_.epoch) succeeds_ = OwnEndpointVersion();
  Replace(std::move(endpoints), vouched);
  read_at_ = read_before_ = asked_at;
  Forward(now, Topic::kEndpoints, nullptr);
  if (vouched) return true;
  for (const membership::Node* node : membership_->ReachableOthers()) {
    if (node->zone == membership_->self().zone) {
      SendEndpoints(now, node->address(), {{}, false, true});
    }
  }
  return true;
}

void Disseminator::Confirm(base::Millis now, base::Millis asked_at, uint64_t epoch) {
  if (epoch != endpoints_.epoch) return;
  read_at_ = std::max(read_at_, asked_at);
  // One node of each other zone is sent what the newest is: a message that was lost on its way
  // there would else wait for a digest exchange that happens to cross zones.
  for (const membership::Node* node : ForwardTargets(true, 0)) {
    out_.digests.emplace_back(node->address(), OwnDigest(now));
  }
}

bool Disseminator::AdoptOwnReading(base::Millis asked_at, std::vector<discovery::Server> servers) {
  if (has_endpoints_ && asked_at <= std::max(read_at_, read_before_)) return false;
  bool same = has_endpoints_ && discovery::SameServers(endpoints_.servers, servers);
  if (!same) {
    Replace({endpoints_.epoch, endpoints_.sequence, std::move(servers)}, false);
    read_before_ = asked_at;
  }
  read_at_ = asked_at;
  return true;
}

// A reader's lists are ordered by its sequence. Where that says nothing the moments decide: the
// list of a later reader, or of the reader beside an own reading, may have been asked for earlier.
bool Disseminator::IsNewerList(const EndpointVersion& version, base::Millis read_at) const {
  if (!has_endpoints_) return true;
  if (HasOwnReading()) return read_at > read_before_ && !version.Lacks(OwnEndpointVersion());
  if (version.epoch == endpoints_.epoch) return version.sequence > endpoints_.sequence;
  return version.epoch > endpoints_.epoch && read_at > read_before_;
}

bool Disseminator::BuildsOnOwnList(const EndpointUpdate& update) const {
  return !update.complete && has_endpoints_ && exact_ && update.base_epoch == endpoints_.epoch &&
         update.base_sequence == endpoints_.sequence;
}

bool Disseminator::SucceedsOwnList(const EndpointUpdate& update) const {
  return exact_ && update.epoch > endpoints_.epoch && update.succeeds.epoch == endpoints_.epoch &&
         update.succeeds.sequence >= endpoints_.sequence;
}

base::Millis Disseminator::EarliestReading(base::Millis now, const EndpointUpdate& update) const {
  base::Millis age = std::max<int32_t>(0, update.age_ms);
  bool asked = update.asked_at > 0 && update.asked_at <= now;
  if (asked) return update.asked_at - age;
  // From a sender that does not say for what question.
  if (update.asked_at == 0) return now - age;
  // It may have been on its way since this process started.
  return started_at_ - age;
}

bool Disseminator::IsSuccessor(const EndpointUpdate& update) const {
  EndpointVersion version{update.epoch, update.sequence};
  bool later = has_endpoints_ && !HasOwnReading() && OwnEndpointVersion().Lacks(version);
  return later &&
         (version.epoch == endpoints_.epoch || BuildsOnOwnList(update) || SucceedsOwnList(update));
}

bool Disseminator::IsNewerUpdate(base::Millis now, const EndpointUpdate& update) const {
  if (IsSuccessor(update)) return true;
  EndpointVersion version{update.epoch, update.sequence};
  // A program that does not say what it answers orders readers by their epochs alone.
  if (update.asked_at == 0 && !HasOwnReading() && OwnEndpointVersion().Lacks(version)) return true;
  return IsNewerList(version, EarliestReading(now, update));
}

std::vector<discovery::Server> Disseminator::Merge(base::Millis now,
                                                   const EndpointUpdate& update) const {
  auto anchored = [now](discovery::Server server) {
    server.Anchor(now);
    return server;
  };
  std::vector<discovery::Server> servers;
  if (update.complete) {
    for (const discovery::Server& server : update.servers) servers.push_back(anchored(server));
    return servers;
  }
  std::map<std::string, discovery::Server> changed;
  for (const discovery::Server& server : update.servers) changed[server.id] = anchored(server);
  std::set<std::string> gone(update.gone.begin(), update.gone.end());
  for (const discovery::Server& server : endpoints_.servers) {
    if (gone.count(server.id)) continue;
    changed.emplace(server.id, server);  // keeps what changed
  }
  for (auto& [id, server] : changed) servers.push_back(std::move(server));
  return servers;
}

void Disseminator::OnEndpointUpdate(base::Millis now, const base::Address& from,
                                    const EndpointUpdate& update) {
  EndpointVersion version{update.epoch, update.sequence};
  bool usable = update.complete || BuildsOnOwnList(update);
  if (!usable || !IsNewerUpdate(now, update)) {
    if (usable && update.asked_at > 0) {
      not_known_newer_ = version;
      return;
    }
    // The answer to a question says more than an update that nobody asked for.
    base::Millis latest = now - std::max<int32_t>(0, update.age_ms);
    RequestMissing(now, from, PeerState{{}, version, true, latest});
    return;
  }
  base::Millis read_at = EarliestReading(now, update);
  if (IsSuccessor(update)) read_at = std::max(read_at, read_at_);
  succeeds_ = update.succeeds;
  Replace({update.epoch, update.sequence, Merge(now, update)}, update.exact);
  read_at_ = read_at;
  read_before_ = now;
  out_.endpoints_from = from;
  Forward(now, Topic::kEndpoints, &from);
}

}  // namespace elderkeel::dissemination
