#include "configuration/parsed_configuration.h"

#include <rapidjson/document.h>

#include <map>
#include <utility>

#include "configuration/json.h"
#include "configuration/patch.h"
#include "configuration/validation.h"

namespace elderkeel::configuration {
namespace {

using rapidjson::Document;
using rapidjson::Value;

// Returns whether a string in `json` may contain a NUL. ApplyPatch() and validation treat labels as
// C strings, which end at the first NUL, so such texts are left to them.
bool MayContainNul(std::string_view json) { return json.find("\\u0000") != std::string_view::npos; }

// Returns the host in lower case and the path prefix of a route, which must be unique in a
// document.
std::string LocationOf(const Value& route) {
  std::string location = ToLower(route["host"].GetString());
  location += '\0';
  return location + route["path-prefix"].GetString();
}

// Appends the changes in one list of a patch, which either removes or upserts. Returns false if the
// list is neither of routes nor of services, or if an item is malformed.
bool ParseChanges(const Value& name, const Value& list, bool remove, ParsedPatch* patch) {
  bool is_route = name == "route-list";
  bool known = is_route || name == "service-list";
  if (!known || !list.IsArray()) return false;
  for (const Value& item : list.GetArray()) {
    const char* removed = item.IsString() ? item.GetString() : nullptr;
    const char* label = remove ? removed : LabelOf(item);
    if (!label) return false;
    patch->changes.push_back({is_route, label, remove ? "" : WriteJson(item)});
  }
  return true;
}

// Parses a patch as ApplyPatch() does: removals come before upserts, whatever their order in the
// text. Returns nullopt if ParsedPatch can't represent the patch.
std::optional<ParsedPatch> ParsePatch(std::string_view text) {
  Document document;
  if (MayContainNul(text) || !ParseObject(text, &document)) return std::nullopt;
  ParsedPatch patch;
  auto revision = document.FindMember("revision");
  if (revision == document.MemberEnd() || !revision->value.IsInt64()) return std::nullopt;
  patch.revision = revision->value.GetInt64();
  for (bool remove : {true, false}) {
    auto part = document.FindMember(remove ? "remove" : "upsert");
    if (part == document.MemberEnd()) continue;
    if (!part->value.IsObject()) return std::nullopt;
    for (const auto& list : part->value.GetObject()) {
      if (!ParseChanges(list.name, list.value, remove, &patch)) return std::nullopt;
    }
  }
  return patch;
}

// The JSON text of each changed route or service after the patch, by label; empty if it is removed.
using FinalItems = std::map<std::string, const std::string*>;

FinalItems FinalItemsOf(const ParsedPatch& patch, bool routes) {
  FinalItems items;
  for (const ParsedPatch::ItemChange& change : patch.changes) {
    if (change.is_route == routes) items[change.label] = &change.item;
  }
  return items;
}

// Appends the items that remain to `json`, after `name`, which opens the array.
void AppendList(const char* name, const FinalItems& items, std::string* json) {
  *json += name;
  bool first = true;
  for (const auto& [label, item] : items) {
    if (item->empty()) continue;
    if (!first) *json += ',';
    first = false;
    *json += *item;
  }
  *json += ']';
}

// Returns a document that holds only the items that a patch upserts. Whether an item matches the
// schema doesn't depend on other items, so the new ones can be checked separately.
std::string DocumentOfChanges(const FinalItems& routes, const FinalItems& services) {
  std::string json = R"({"revision":1)";
  AppendList(R"(,"route-list":[)", routes, &json);
  AppendList(R"(,"service-list":[)", services, &json);
  return json + "}";
}

// The change in the number of uses of each service by routes.
using ServiceUses = std::unordered_map<std::string, int64_t>;

// Returns whether each of `routes` has targets with a positive sum of weights and a location that
// no other route has: neither another of `routes` nor one in `taken` that isn't in `freed`. Adds
// the services that the routes use to `uses`.
bool CheckRoutes(const Value& routes, const std::unordered_set<std::string>& taken,
                 const std::unordered_set<std::string>& freed, ServiceUses* uses) {
  std::unordered_set<std::string> added;
  for (const Value& route : routes.GetArray()) {
    std::string location = LocationOf(route);
    if (taken.count(location) && !freed.count(location)) return false;
    if (!added.insert(location).second) return false;
    RouteTargets targets = TargetsOf(route);
    if (targets.weight_sum == 0) return false;
    for (const std::string& service : targets.services) ++(*uses)[service];
  }
  return true;
}

}  // namespace

bool ParsedConfiguration::ItemList::Add(std::string label, std::string text) {
  items.push_back({std::move(label), std::move(text)});
  return by_label.emplace(items.back().label, std::prev(items.end())).second;
}

void ParsedConfiguration::ItemList::Upsert(const std::string& label, std::string text) {
  auto found = by_label.find(label);
  if (found == by_label.end()) {
    Add(label, std::move(text));
  } else {
    found->second->text = std::move(text);
  }
}

void ParsedConfiguration::ItemList::Remove(const std::string& label) {
  auto found = by_label.find(label);
  if (found == by_label.end()) return;
  auto item = found->second;
  by_label.erase(found);  // before the item, since the key refers to its label
  items.erase(item);
}

const ParsedConfiguration::Item* ParsedConfiguration::ItemList::Find(
    const std::string& label) const {
  auto found = by_label.find(label);
  return found == by_label.end() ? nullptr : &*found->second;
}

const std::string& ParsedConfiguration::text() const {
  if (!text_.empty() || empty()) return text_;
  size_t size = 2;
  for (const DocumentMember& member : index_->members) {
    size += member.text.size() + 3;
    if (!member.list) continue;
    for (const Item& item : member.list->items) size += item.text.size() + 1;
  }
  text_.reserve(size);
  text_ = "{";
  for (const DocumentMember& member : index_->members) {
    if (&member != &index_->members.front()) text_ += ',';
    text_ += member.text;
    if (!member.list) continue;
    text_ += '[';
    for (const Item& item : member.list->items) {
      if (&item != &member.list->items.front()) text_ += ',';
      text_ += item.text;
    }
    text_ += ']';
  }
  text_ += '}';
  return text_;
}

ParsedConfiguration::Index& ParsedConfiguration::EnsureIndex() const {
  if (!index_) {
    index_ = std::make_unique<Index>();
    BuildIndex(index_.get());
  }
  return *index_;
}

void ParsedConfiguration::BuildIndex(Index* index) const {
  Document document;
  if (MayContainNul(text_) || !ParseObject(text_, &document)) return;
  bool revision = false, routes = false, services = false, unique = true;
  for (const auto& member : document.GetObject()) {
    std::string_view name(member.name.GetString(), member.name.GetStringLength());
    DocumentMember indexed{WriteJson(member.name) + ":", nullptr};
    // Of duplicate members the first counts, as in ApplyPatch().
    if (name == "route-list" && !routes) {
      routes = true;
      indexed.list = &index->routes;
    } else if (name == "service-list" && !services) {
      services = true;
      indexed.list = &index->services;
    } else if (name == "revision" && !revision) {
      revision = true;
      index->revision_member = index->members.size();
    }
    if (indexed.list) {
      if (!member.value.IsArray()) return;
      for (const Value& item : member.value.GetArray()) {
        const char* label = LabelOf(item);
        if (!label) return;
        unique &= indexed.list->Add(label, WriteJson(item));
      }
    } else {
      indexed.text += WriteJson(member.value);
    }
    index->members.push_back(std::move(indexed));
  }
  index->covers_all = revision && routes && services && unique;
}

bool ParsedConfiguration::HasService(const std::string& label) const {
  const Index& index = EnsureIndex();
  if (!index.covers_all) return configuration::HasService(text(), label);
  return index.services.Find(label) != nullptr;
}

std::vector<std::string> ParsedConfiguration::RouteLabels() const {
  const Index& index = EnsureIndex();
  if (!index.covers_all) return configuration::RouteLabels(text());
  std::vector<std::string> labels;
  for (const Item& item : index.routes.items) labels.push_back(item.label);
  return labels;
}

// Adds the location and the service uses of a route to `relations` if `sign` is 1, and removes them
// if it is -1.
void ParsedConfiguration::UpdateRelations(const std::string& route_text, int64_t sign,
                                          Relations* relations) {
  Document route;
  if (!ParseObject(route_text, &route)) return;
  if (sign > 0) {
    relations->locations.insert(LocationOf(route));
  } else {
    relations->locations.erase(LocationOf(route));
  }
  for (const std::string& service : TargetsOf(route).services) {
    if ((relations->service_uses[service] += sign) == 0) relations->service_uses.erase(service);
  }
}

ParsedConfiguration::Relations& ParsedConfiguration::EnsureRelations() const {
  Index& index = EnsureIndex();
  if (!index.relations) {
    Relations& relations = index.relations.emplace();
    for (const Item& item : index.routes.items) UpdateRelations(item.text, 1, &relations);
  }
  return *index.relations;
}

std::optional<ParsedPatch> ParsedConfiguration::CheckPatch(std::string_view text) const {
  if (empty() || !EnsureIndex().covers_all) return std::nullopt;
  auto patch = ParsePatch(text);
  if (!patch || patch->revision < 1) return std::nullopt;
  std::string changed = DocumentOfChanges(FinalItemsOf(*patch, true), FinalItemsOf(*patch, false));
  if (!ResultIsValid(*patch, changed)) return std::nullopt;
  return patch;
}

// Returns whether the document after the patch is valid: the upserted items match the schema, no
// two routes have the same location, and every service that a route names is listed.
// `changed_items` is the document that DocumentOfChanges() returns for the patch.
bool ParsedConfiguration::ResultIsValid(const ParsedPatch& patch,
                                        const std::string& changed_items) const {
  Document changed;
  if (!ParseObject(changed_items, &changed) || !MatchesSchema(changed)) return false;
  const Index& index = EnsureIndex();
  const Relations& relations = EnsureRelations();
  FinalItems routes = FinalItemsOf(patch, true);
  FinalItems services = FinalItemsOf(patch, false);

  std::unordered_set<std::string> freed;  // locations that changed or removed routes had before
  ServiceUses uses;
  for (const auto& [label, item] : routes) {
    const Item* before = index.routes.Find(label);
    if (!before) continue;
    Document route;
    if (!ParseObject(before->text, &route)) return false;
    freed.insert(LocationOf(route));
    for (const std::string& service : TargetsOf(route).services) --uses[service];
  }
  if (!CheckRoutes(changed["route-list"], relations.locations, freed, &uses)) return false;
  auto is_listed = [&](const std::string& service) {
    auto touched = services.find(service);
    if (touched != services.end()) return !touched->second->empty();
    return index.services.Find(service) != nullptr;
  };
  // Adds the changed and removed services to those that the changed routes use.
  for (const auto& [label, item] : services) uses.emplace(label, 0);
  for (const auto& [service, delta] : uses) {
    auto before = relations.service_uses.find(service);
    int64_t after = delta + (before == relations.service_uses.end() ? 0 : before->second);
    if (after > 0 && !is_listed(service)) return false;
  }
  return true;
}

void ParsedConfiguration::Apply(const ParsedPatch& patch) {
  Index& index = EnsureIndex();
  constexpr size_t kMaxRevisionDigits = 20;
  max_bytes_ = MaxBytes() + kMaxRevisionDigits;
  for (const ParsedPatch::ItemChange& change : patch.changes) max_bytes_ += change.item.size() + 1;
  // All changed routes release their old locations before any takes its new one, since two routes
  // may swap locations.
  std::unordered_set<std::string> touched;
  for (const ParsedPatch::ItemChange& change : patch.changes) {
    if (!change.is_route || !index.relations || !touched.insert(change.label).second) continue;
    const Item* before = index.routes.Find(change.label);
    if (before) UpdateRelations(before->text, -1, &*index.relations);
  }
  for (const ParsedPatch::ItemChange& change : patch.changes) {
    ItemList& list = change.is_route ? index.routes : index.services;
    if (change.item.empty()) {
      list.Remove(change.label);
    } else {
      list.Upsert(change.label, change.item);
    }
  }
  for (const std::string& label : touched) {
    const Item* after = index.routes.Find(label);
    if (after) UpdateRelations(after->text, 1, &*index.relations);
  }
  index.members[index.revision_member].text = "\"revision\":" + std::to_string(patch.revision);
  std::string().swap(text_);
}

base::Status ParsedConfiguration::ApplyUnchecked(std::string_view patch) {
  if (!empty() && EnsureIndex().covers_all) {
    if (auto parsed = ParsePatch(patch)) {
      Apply(*parsed);
      return {};
    }
  }
  auto patched = ApplyPatch(text(), patch);
  if (!patched) return base::Failure(patched.error());
  *this = ParsedConfiguration(std::move(*patched));
  return {};
}

}  // namespace elderkeel::configuration
