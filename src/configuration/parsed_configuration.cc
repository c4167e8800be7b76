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

// Labels are compared up to the first NUL elsewhere; what holds one is left to that code.
bool MayHoldNul(std::string_view json) { return json.find("\\u0000") != std::string_view::npos; }

// Where requests meet a route; no other may have the same.
std::string LocationOf(const Value& route) {
  std::string location = ToLower(route["host"].GetString());
  location += '\0';
  return location + route["path-prefix"].GetString();
}

// Adds what one list of a patch removes or puts. False if it is none.
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

// As ApplyPatch reads it: what is removed goes before what is put, wherever it stands.
std::optional<ParsedPatch> ParsePatch(std::string_view text) {
  Document document;
  if (MayHoldNul(text) || !ParseObject(text, &document)) return std::nullopt;
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

// What each item that the patch touches is in the end, by label; empty for gone.
using FinalItems = std::map<std::string, const std::string*>;
FinalItems FinalItemsOf(const ParsedPatch& patch, bool routes) {
  FinalItems items;
  for (const ParsedPatch::ItemChange& change : patch.changes) {
    if (change.is_route == routes) items[change.label] = &change.item;
  }
  return items;
}

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

// A document of the items that a patch puts. The form of an item rests on nothing but itself, so
// those that are new are checked by themselves.
std::string DocumentOfChanges(const FinalItems& routes, const FinalItems& services) {
  std::string json = R"({"revision":1)";
  AppendList(R"(,"route-list":[)", routes, &json);
  AppendList(R"(,"service-list":[)", services, &json);
  return json + "}";
}

// How many routes use each service, more or less than before.
using ServiceUses = std::unordered_map<std::string, int64_t>;

// Whether all routes of the list find their location free: `taken` before, but for those `freed`.
// Counts the services that they use.
bool PlaceRoutes(const Value& routes, const std::unordered_set<std::string>& taken,
                 const std::unordered_set<std::string>& freed, ServiceUses* uses) {
  std::unordered_set<std::string> placed;
  for (const Value& route : routes.GetArray()) {
    std::string location = LocationOf(route);
    if (taken.count(location) && !freed.count(location)) return false;
    if (!placed.insert(location).second) return false;
    RouteTargets targets = TargetsOf(route);
    if (targets.weight == 0) return false;
    for (const std::string& service : targets.services) ++(*uses)[service];
  }
  return true;
}

}  // namespace

bool ParsedConfiguration::ItemList::Add(std::string label, std::string text) {
  items.push_back({std::move(label), std::move(text)});
  return by_label.emplace(items.back().label, std::prev(items.end())).second;
}

void ParsedConfiguration::ItemList::Put(const std::string& label, std::string text) {
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
  by_label.erase(found);  // its key is the item's
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
  if (MayHoldNul(text_) || !ParseObject(text_, &document)) return;
  bool revision = false, routes = false, services = false, unique = true;
  for (const auto& member : document.GetObject()) {
    std::string_view name(member.name.GetString(), member.name.GetStringLength());
    DocumentMember kept{WriteJson(member.name) + ":", nullptr};
    // Of members that stand twice the first counts.
    if (name == "route-list" && !routes) {
      routes = true;
      kept.list = &index->routes;
    } else if (name == "service-list" && !services) {
      services = true;
      kept.list = &index->services;
    } else if (name == "revision" && !revision) {
      revision = true;
      index->revision_member = index->members.size();
    }
    if (kept.list) {
      if (!member.value.IsArray()) return;
      for (const Value& item : member.value.GetArray()) {
        const char* label = LabelOf(item);
        if (!label) return;
        unique &= kept.list->Add(label, WriteJson(item));
      }
    } else {
      kept.text += WriteJson(member.value);
    }
    index->members.push_back(std::move(kept));
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

// Adds what a route needs of the relations, or with `sign` -1 takes it away.
void ParsedConfiguration::Relate(const std::string& route_text, int64_t sign,
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
    for (const Item& item : index.routes.items) Relate(item.text, 1, &relations);
  }
  return *index.relations;
}

std::optional<ParsedPatch> ParsedConfiguration::CheckPatch(std::string_view text) const {
  if (empty() || !EnsureIndex().covers_all) return std::nullopt;
  auto patch = ParsePatch(text);
  if (!patch || patch->revision < 1) return std::nullopt;
  std::string changed = DocumentOfChanges(FinalItemsOf(*patch, true), FinalItemsOf(*patch, false));
  if (!KeepsRelations(*patch, changed)) return std::nullopt;
  return patch;
}

// Whether the document that a patch leads to is valid: the items that it puts have the right form,
// no two routes have the same location, and every service that a route names is listed.
bool ParsedConfiguration::KeepsRelations(const ParsedPatch& patch,
                                         const std::string& changed_items) const {
  Document changed;
  if (!ParseObject(changed_items, &changed) || !MatchesSchema(changed)) return false;
  const Index& index = EnsureIndex();
  const Relations& relations = EnsureRelations();
  FinalItems routes = FinalItemsOf(patch, true);
  FinalItems services = FinalItemsOf(patch, false);

  std::unordered_set<std::string> freed;  // locations
  ServiceUses uses;
  for (const auto& [label, item] : routes) {
    const Item* before = index.routes.Find(label);
    if (!before) continue;
    Document route;
    if (!ParseObject(before->text, &route)) return false;
    freed.insert(LocationOf(route));
    for (const std::string& service : TargetsOf(route).services) --uses[service];
  }
  if (!PlaceRoutes(changed["route-list"], relations.locations, freed, &uses)) return false;
  auto is_listed = [&](const std::string& service) {
    auto touched = services.find(service);
    if (touched != services.end()) return !touched->second->empty();
    return index.services.Find(service) != nullptr;
  };
  // Services of the routes that changed, and those that are removed.
  for (const auto& [label, item] : services) uses.emplace(label, 0);
  for (const auto& [service, more] : uses) {
    auto before = relations.service_uses.find(service);
    int64_t after = more + (before == relations.service_uses.end() ? 0 : before->second);
    if (after > 0 && !is_listed(service)) return false;
  }
  return true;
}

void ParsedConfiguration::Apply(const ParsedPatch& patch) {
  Index& index = EnsureIndex();
  constexpr size_t kMaxRevisionDigits = 20;
  max_bytes_ = MaxBytes() + kMaxRevisionDigits;
  for (const ParsedPatch::ItemChange& change : patch.changes) max_bytes_ += change.item.size() + 1;
  // All that leave their location do so before any takes one.
  std::unordered_set<std::string> touched;
  for (const ParsedPatch::ItemChange& change : patch.changes) {
    if (!change.is_route || !index.relations || !touched.insert(change.label).second) continue;
    const Item* before = index.routes.Find(change.label);
    if (before) Relate(before->text, -1, &*index.relations);
  }
  for (const ParsedPatch::ItemChange& change : patch.changes) {
    ItemList& list = change.is_route ? index.routes : index.services;
    if (change.item.empty()) {
      list.Remove(change.label);
    } else {
      list.Put(change.label, change.item);
    }
  }
  for (const std::string& label : touched) {
    const Item* after = index.routes.Find(label);
    if (after) Relate(after->text, 1, &*index.relations);
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
