#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/names.h"
#include "wire/http.h"

namespace elderkeel::configuration {

// Why a configuration is refused, and with which status.
struct Refusal {
  int status = 400;
  std::string reason;
};

// Checks that `text` can be read whole and is a JSON object; empty reason when it is.
Refusal CheckReadable(std::string_view text);
// The revision that a readable document names; 0 if it names none.
int64_t RevisionOf(std::string_view text);
// Whether a readable document lists such a service.
bool HasService(std::string_view text, const std::string& label);
// The labels of all routes of a readable document.
std::vector<std::string> RouteLabels(std::string_view text);
// Checks everything but how it stands to the current one; empty reason when it is valid. Then
// `revision`, if given, is what the document names.
Refusal CheckValid(std::string_view text, int64_t* revision = nullptr);
// The document that a PATCH makes of `base`; both must be readable.
struct Patched {
  std::string text;
  Refusal refusal;
};
Patched ApplyPatch(std::string_view base, std::string_view patch);

struct Target {
  uint32_t service;  // dense index
  uint32_t weight;
};

struct Route {
  std::string label;
  std::string host;
  std::string prefix;
  bool idempotent = false;
  int64_t timeout_ms = 0;
  int64_t target_latency_ms = 0;
  int priority = 0;
  int max_attempts = 1;
  std::vector<Target> targets;
  uint64_t weight_sum = 0;
  std::vector<uint32_t> regions;  // dense; those it may be served in; empty for all
};

struct Service {
  std::string label;
  std::string health_path;
  int max_conns = 0;
  double warmup_per_s = 0;  // requests a second that a cold server carries; 0 if not stated
};

// A map that is cheap to copy and change a little: copies share all parts but those that one of
// them changes.
template <class T>
class SharedMap {
 public:
  const T* Find(const std::string& key) const {
    const auto& part = parts_[PartOf(key)];
    if (!part) return nullptr;
    auto at = part->find(key);
    return at == part->end() ? nullptr : &at->second;
  }
  void Set(const std::string& key, T value) { Own(key)[key] = std::move(value); }
  void Erase(const std::string& key) {
    if (Find(key)) Own(key).erase(key);
  }

 private:
  using Part = std::unordered_map<std::string, T>;
  static constexpr size_t kParts = 512;
  static size_t PartOf(const std::string& key) {
    return std::hash<std::string>()(key) / 7 % kParts;
  }
  Part& Own(const std::string& key) {
    auto& part = parts_[PartOf(key)];
    if (!part) {
      part = std::make_shared<Part>();
    } else if (part.use_count() > 1) {
      part = std::make_shared<Part>(*part);
    }
    return *part;
  }

  std::vector<std::shared_ptr<Part>> parts_{kParts};
};

// A configuration made ready for routing. Never changed once built; requests hold on to the one
// that was in force when their head was read.
class RoutingTable {
 public:
  int64_t revision() const { return revision_; }
  const wire::Limits& limits() const { return limits_; }
  // The routes that are new, or not as they were, since the table that this one was made from: all
  // of them if it was made from a document.
  const std::vector<std::shared_ptr<const Route>>& changed() const { return changed_; }
  // Indexed by the dense index of the service; null where this version does not know it.
  const Service* service(uint32_t index) const {
    return index < services_.size() ? services_[index].get() : nullptr;
  }
  // The route of `host` with the longest prefix that begins `path`.
  const Route* Match(std::string_view host, std::string_view path) const;
  // The service for a request, by weight; `key` decides, so that it can be computed anew.
  uint32_t Pick(const Route& route, uint64_t key) const;

  // From a valid document; names are mapped through `names`, which outlives all tables.
  static std::shared_ptr<const RoutingTable> Build(std::string_view text, base::Names* names,
                                                   base::Names* regions);
  // From the table of a valid document and a patch that leads to another valid one; costs what the
  // patch holds. Null if the patch can't be read. The names are those that `base` was built with.
  static std::shared_ptr<const RoutingTable> Patch(const RoutingTable& base, std::string_view patch,
                                                   base::Names* names, base::Names* regions);

 private:
  class Builder;

  int64_t revision_ = 0;
  wire::Limits limits_;
  using SharedRoute = std::shared_ptr<const Route>;
  std::vector<SharedRoute> changed_;
  SharedMap<SharedRoute> by_label_;
  SharedMap<SharedRoute> by_place_;  // by host, NUL, prefix
  std::vector<std::shared_ptr<const Service>> services_;
};

}  // namespace elderkeel::configuration
