#include "rollout/rollouts.h"

#include <algorithm>

namespace elderkeel::rollout {
namespace {
constexpr size_t kMaxServices = 4096;
}  // namespace

const char* StageName(Stage stage) {
  switch (stage) {
    case Stage::kCanary:
      return "canary";
    case Stage::kPromoting:
      return "promoting";
    case Stage::kCompleted:
      return "completed";
    case Stage::kReverting:
      return "reverting";
    case Stage::kReverted:
      return "reverted";
  }
  return "unknown";
}

const char* StatusName(Stage stage) {
  return stage == Stage::kCompleted  ? "completed"
         : stage == Stage::kReverted ? "reverted"
                                     : "in_progress";
}

const Rollout* Rollouts::NewestOf(const std::string& service) const {
  auto at = rollouts_.find(service);
  return at == rollouts_.end() ? nullptr : &at->second;
}

std::string Rollouts::InForce(const std::string& service) const {
  auto at = in_force_.find(service);
  return at == in_force_.end() ? "" : at->second;
}

bool Rollouts::Active() const {
  return std::any_of(rollouts_.begin(), rollouts_.end(),
                     [](const auto& r) { return !IsFinal(r.second.stage); });
}

Rollout* Rollouts::Find(uint64_t number) {
  for (auto& [service, rollout] : rollouts_) {
    if (rollout.number == number) return &rollout;
  }
  return nullptr;
}

// An order equal to the newest one is a repeated call, even after that roll-out has ended: a caller
// that got no answer sends its order again, and that must not start a second roll-out.
base::Verdict Rollouts::Evaluate(const RolloutOrder& order) const {
  const Rollout* known = NewestOf(order.service);
  if (known && known->order == order) return {200, ""};
  if (known && !IsFinal(known->stage)) {
    return {409, "a roll-out of " + known->order.version + " is under way"};
  }
  if (!known && rollouts_.size() >= kMaxServices) return {503, "limit of 4096 services reached"};
  return {};
}

bool Rollouts::Apply(const Step& step) {
  bool changed = false;
  switch (step.kind) {
    case Step::Kind::kDetected:
      for (const auto& [service, version] : step.detected) {
        const Rollout* known = NewestOf(service);
        // A roll-out under way determines the version in force, unless none was known when it
        // started.
        if (known && !IsFinal(known->stage) && !InForce(service).empty()) continue;
        if (in_force_.size() >= kMaxServices && !in_force_.count(service)) continue;
        std::string& in_force = in_force_[service];
        if (in_force == version) continue;
        in_force = version;
        changed = true;
        if (known && !IsFinal(known->stage)) rollouts_[service].previous_version = version;
      }
      break;
    case Step::Kind::kOrder: {
      if (Evaluate(step.order).status != 0) break;
      Rollout next;
      next.number = ++newest_number_;
      next.order = step.order;
      next.previous_version = InForce(step.order.service);
      next.observers = step.observers;
      next.reason = "ordered";
      if (next.previous_version == step.order.version) {
        next.stage = Stage::kCompleted;
        next.reason = "was in force already";
      }
      rollouts_[step.order.service] = std::move(next);
      changed = true;
      break;
    }
    case Step::Kind::kStage: {
      Rollout* rollout = Find(step.number);
      if (!rollout || IsFinal(rollout->stage)) break;
      // Once a roll-out is reverting, the same order never moves traffic to its version again.
      if (rollout->stage == Stage::kReverting && step.stage != Stage::kReverted) break;
      if (rollout->stage == step.stage || step.stage == Stage::kCanary) break;
      if (step.stage == Stage::kCompleted && rollout->stage != Stage::kPromoting) break;
      rollout->stage = step.stage;
      rollout->reason = step.reason;
      rollout->elapsed_ms = step.elapsed_ms;
      if (step.stage == Stage::kCompleted) {
        in_force_[rollout->order.service] = rollout->order.version;
      }
      changed = true;
      break;
    }
    case Step::Kind::kObservers: {
      Rollout* rollout = Find(step.number);
      if (!rollout || IsFinal(rollout->stage) || rollout->observers == step.observers) break;
      rollout->observers = step.observers;
      changed = true;
      break;
    }
  }
  if (changed) ++version_;
  return changed;
}

std::vector<std::pair<std::string, std::string>> DetectVersions(
    const Rollouts& state, const discovery::EndpointSnapshot& endpoints) {
  std::map<std::string, std::map<std::string, int>> counts;
  for (const discovery::Server& server : endpoints.servers) {
    if (!server.draining && !server.revision.empty()) ++counts[server.service][server.revision];
  }
  std::vector<std::pair<std::string, std::string>> found;
  for (const auto& [service, versions] : counts) {
    std::string known = state.InForce(service);
    if (!known.empty() && versions.count(known)) continue;
    const Rollout* rollout = state.NewestOf(service);
    bool active = rollout && !IsFinal(rollout->stage);
    // A roll-out under way alone determines the version in force, even when the old version has
    // no server left.
    if (active && !known.empty()) continue;
    const std::pair<const std::string, int>* best = nullptr;
    for (const auto& entry : versions) {
      if (rollout && rollout->stage != Stage::kCompleted && rollout->order.version == entry.first) {
        continue;
      }
      if (!best || entry.second > best->second) best = &entry;
    }
    if (best) found.emplace_back(service, best->first);
  }
  return found;
}

}  // namespace elderkeel::rollout
