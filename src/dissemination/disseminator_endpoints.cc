// The part of `Disseminator` that distributes the list of endpoints.
#include <algorithm>

#include "dissemination/disseminator.h"

namespace elderkeel::dissemination {
namespace {
constexpr size_t kMaxUnsolicitedServers = 48;  // in an update that the peer did not request
constexpr size_t kMaxHistorySteps = 64;
constexpr size_t kMaxHistoryServers = 2048;  // changed servers in all steps together
}  // namespace

size_t Disseminator::FirstStepFrom(const PeerEndpoints& peer) const {
  if (!peer.unmodified || !unmodified_) return history_.size();
  for (size_t i = history_.size(); i-- > 0;) {
    const Step& step = history_[i];
    if (step.epoch == peer.has.epoch && step.sequence == peer.has.sequence) return i;
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
    std::set<std::string> changed_ids;
    for (size_t i = first; i < history_.size(); ++i) {
      changed_ids.insert(history_[i].changed_ids.begin(), history_[i].changed_ids.end());
    }
    for (const std::string& id : changed_ids) {
      auto at = std::lower_bound(endpoints_.servers.begin(), endpoints_.servers.end(), id,
                                 [](const discovery::Server& server, const std::string& want) {
                                   return server.id < want;
                                 });
      if (at != endpoints_.servers.end() && at->id == id) {
        update->servers.push_back(*at);
      } else {
        update->removed.push_back(id);
      }
    }
  }
  for (discovery::Server& server : update->servers) {
    server.slow_start_left_ms =
        static_cast<int32_t>(std::max<base::Millis>(0, server.slow_start_until - now));
  }
}

bool Disseminator::SendEndpoints(base::Millis now, const base::Address& to,
                                 const PeerEndpoints& peer) {
  size_t first = FirstStepFrom(peer);
  bool complete = first == history_.size();
  // This check repeats the one below to avoid copying a complete list that is not sent.
  if (complete && !peer.requested && endpoints_.servers.size() > kMaxUnsolicitedServers) {
    return false;
  }
  EndpointUpdate update;
  update.epoch = endpoints_.epoch;
  update.sequence = endpoints_.sequence;
  update.unmodified = unmodified_;
  update.age_ms = static_cast<int32_t>(std::min<base::Millis>(endpoints_read_age(now), INT32_MAX));
  update.requested_at = peer.requested_at == 0 ? EndpointUpdate::kUnsolicited : peer.requested_at;
  update.predecessor = predecessor_;
  FillServers(now, first, &update);
  if (update.servers.size() + update.removed.size() > kMaxUnsolicitedServers) {
    if (!peer.requested) return false;
    if (RecentlySent(now, to, endpoints_.epoch << 32 | endpoints_.sequence << 1 | 1)) return true;
  }
  out_.endpoint_updates.emplace_back(to, std::move(update));
  return true;
}

void Disseminator::Replace(discovery::EndpointSnapshot endpoints, bool unmodified) {
  if (unmodified && unmodified_ && has_endpoints()) {
    history_.push_back({endpoints_.epoch, endpoints_.sequence,
                        discovery::ChangedServerIds(endpoints_.servers, endpoints.servers)});
    size_t changed = 0;
    for (const Step& step : history_) changed += step.changed_ids.size();
    while (!history_.empty() &&
           (history_.size() > kMaxHistorySteps || changed > kMaxHistoryServers)) {
      changed -= history_.front().changed_ids.size();
      history_.pop_front();
    }
  } else {
    history_.clear();
  }
  endpoints_ = std::move(endpoints);
  unmodified_ = unmodified;
  has_endpoints_ = true;
  fetch_endpoints_ = Fetch();
  out_.endpoints_adopted = true;
  endpoints_freshness_.Advance(VerifiableEndpointVersion());
}

bool Disseminator::Publish(base::Millis now, base::Millis requested_at,
                           discovery::EndpointSnapshot endpoints) {
  EndpointVersion version{endpoints.epoch, endpoints.sequence};
  if (!IsNewerList(version, requested_at)) return false;
  bool by_reader = endpoints.epoch > 0;
  if (version.epoch != endpoints_.epoch) predecessor_ = OwnEndpointVersion();
  Replace(std::move(endpoints), by_reader);
  read_at_ = read_before_ = requested_at;
  Forward(now, Topic::kEndpoints, nullptr);
  if (by_reader) return true;
  for (const membership::Node* node : membership_->ReachableOthers()) {
    if (node->zone == membership_->self().zone) {
      SendEndpoints(now, node->address(), {{}, false, true});
    }
  }
  return true;
}

void Disseminator::ConfirmListUnchanged(base::Millis now, base::Millis requested_at,
                                        uint64_t epoch) {
  if (epoch != endpoints_.epoch) return;
  read_at_ = std::max(read_at_, requested_at);
  // One node of each other zone is sent the newest version: otherwise an update that was lost on
  // the way there would be missing until a digest exchange happens to cross zones.
  for (const membership::Node* node : ForwardTargets(true, 0)) {
    out_.digests.emplace_back(node->address(), OwnDigest(now));
  }
}

bool Disseminator::AdoptOwnReading(base::Millis requested_at,
                                   std::vector<discovery::Server> servers) {
  if (has_endpoints_ && requested_at <= std::max(read_at_, read_before_)) return false;
  bool same = has_endpoints_ && discovery::IsUnchanged(endpoints_.servers, servers);
  if (!same) {
    Replace({endpoints_.epoch, endpoints_.sequence, std::move(servers)}, false);
    read_before_ = requested_at;
  }
  read_at_ = requested_at;
  return true;
}

// Lists of one reader are ordered by its sequence. In all other cases the times of the reads
// decide, since a higher version may have been read earlier: the list of a later reader, and the
// reader's list compared with an own reading.
bool Disseminator::IsNewerList(const EndpointVersion& version, base::Millis read_at) const {
  if (!has_endpoints_) return true;
  if (HasOwnReading()) return read_at > read_before_ && !version.IsOlderThan(OwnEndpointVersion());
  if (version.epoch == endpoints_.epoch) return version.sequence > endpoints_.sequence;
  return version.epoch > endpoints_.epoch && read_at > read_before_;
}

bool Disseminator::BuildsOnOwnList(const EndpointUpdate& update) const {
  return !update.complete && has_endpoints_ && unmodified_ &&
         update.base_epoch == endpoints_.epoch && update.base_sequence == endpoints_.sequence;
}

bool Disseminator::SucceedsOwnList(const EndpointUpdate& update) const {
  return unmodified_ && update.epoch > endpoints_.epoch &&
         update.predecessor.epoch == endpoints_.epoch &&
         update.predecessor.sequence >= endpoints_.sequence;
}

base::Millis Disseminator::EarliestReading(base::Millis now, const EndpointUpdate& update) const {
  base::Millis age = std::max<int32_t>(0, update.age_ms);
  bool requested = update.requested_at > 0 && update.requested_at <= now;
  if (requested) return update.requested_at - age;
  // The sender runs a program version that does not report the request's time.
  if (update.requested_at == 0) return now - age;
  // An unsolicited update may have been in transit since this process started.
  return started_at_ - age;
}

bool Disseminator::IsSuccessor(const EndpointUpdate& update) const {
  EndpointVersion version{update.epoch, update.sequence};
  bool later = has_endpoints_ && !HasOwnReading() && OwnEndpointVersion().IsOlderThan(version);
  return later &&
         (version.epoch == endpoints_.epoch || BuildsOnOwnList(update) || SucceedsOwnList(update));
}

bool Disseminator::IsNewerUpdate(base::Millis now, const EndpointUpdate& update) const {
  if (IsSuccessor(update)) return true;
  EndpointVersion version{update.epoch, update.sequence};
  // Program versions that do not report the request's time order readers by their epochs alone.
  if (update.requested_at == 0 && !HasOwnReading() && OwnEndpointVersion().IsOlderThan(version)) {
    return true;
  }
  return IsNewerList(version, EarliestReading(now, update));
}

std::vector<discovery::Server> Disseminator::Merge(base::Millis now,
                                                   const EndpointUpdate& update) const {
  auto anchored = [now](discovery::Server server) {
    server.SetSlowStartEnd(now);
    return server;
  };
  std::vector<discovery::Server> servers;
  if (update.complete) {
    for (const discovery::Server& server : update.servers) servers.push_back(anchored(server));
    return servers;
  }
  std::map<std::string, discovery::Server> changed;
  for (const discovery::Server& server : update.servers) changed[server.id] = anchored(server);
  std::set<std::string> gone(update.removed.begin(), update.removed.end());
  for (const discovery::Server& server : endpoints_.servers) {
    if (gone.count(server.id)) continue;
    changed.emplace(server.id, server);  // does not overwrite a changed server
  }
  for (auto& [id, server] : changed) servers.push_back(std::move(server));
  return servers;
}

void Disseminator::OnEndpointUpdate(base::Millis now, const base::Address& from,
                                    const EndpointUpdate& update) {
  EndpointVersion version{update.epoch, update.sequence};
  bool usable = update.complete || BuildsOnOwnList(update);
  if (!usable || !IsNewerUpdate(now, update)) {
    if (usable && update.requested_at > 0) {
      declined_ = version;
      return;
    }
    // Requests the list if it may be newer: either the changes apply to another list than this
    // node's, or the update is unsolicited, and a requested one gives a tighter bound on when it
    // was read.
    base::Millis latest = now - std::max<int32_t>(0, update.age_ms);
    RequestMissing(now, from, PeerState{{}, version, true, latest});
    return;
  }
  base::Millis read_at = EarliestReading(now, update);
  if (IsSuccessor(update)) read_at = std::max(read_at, read_at_);
  predecessor_ = update.predecessor;
  Replace({update.epoch, update.sequence, Merge(now, update)}, update.unmodified);
  read_at_ = read_at;
  read_before_ = now;
  out_.endpoints_sender = from;
  Forward(now, Topic::kEndpoints, &from);
}

}  // namespace elderkeel::dissemination
