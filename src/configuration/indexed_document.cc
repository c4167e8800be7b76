#include "configuration/indexed_document.h"

#include <map>

#include "configuration/json.h"

namespace elderkeel::configuration {
namespace {

using rapidjson::Document;
using rapidjson::Value;

// Labels are compared up to the first NUL elsewhere; what holds one is left to that code.
bool MayHoldNul(std::string_view json) { return json.find("\\u0000") != std::string_view::npos; }

// The label of a route or a service, if it has one.
const char* LabelOf(const Value& item) {
  if (!item.IsObject()) return nullptr;
  auto label = item.FindMember("label");
  return label != item.MemberEnd() && label->value.IsString() ? label->value.GetString() : nullptr;
}

// Where requests meet a route; no other may have the same.
std::string PlaceOf(const Value& route) {
  std::string place = Lower(route["host"].GetString());
  place += '\0';
  return place + route["path-prefix"].GetString();
}

}  // namespace

bool IndexedDocument::List::Add(std::string label, std::string text) {
  items.push_back({std::move(label), std::move(text)});
  return by_label.emplace(items.back().label, std::prev(items.end())).second;
}

void IndexedDocument::List::Put(const std::string& label, std::string text) {
  auto at = by_label.find(label);
  if (at == by_label.end()) {
    Add(label, std::move(text));
  } else {
    at->second->text = std::move(text);
  }
}

void IndexedDocument::List::Remove(const std::string& label) {
  auto at = by_label.find(label);
  if (at == by_label.end()) return;
  auto item = at->second;
  by_label.erase(at);  // its key is the item's
  items.erase(item);
}

const std::string& IndexedDocument::text() const {
  if (!text_.empty() || empty()) return text_;
  size_t size = 2;
  for (const Member& member : index_->members) {
    size += member.text.size() + 3;
    if (!member.list) continue;
    for (const Item& item : member.list->items) size += item.text.size() + 1;
  }
  text_.reserve(size);
  text_ = "{";
  bool first = true;
  for (const Member& member : index_->members) {
    if (!first) text_ += ',';
    first = false;
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

IndexedDocument::Index& IndexedDocument::Indexed() const {
  if (index_) return *index_;
  index_ = std::make_unique<Index>();
  Index& index = *index_;
  Document d;
  if (MayHoldNul(text_) || !ReadObject(text_, &d)) return index;
  bool revision = false, routes = false, services = false, unique = true;
  for (const auto& member : d.GetObject()) {
    std::string_view name(member.name.GetString(), member.name.GetStringLength());
    Member kept{WriteJson(member.name) + ":", nullptr};
    // Of members that stand twice the first counts.
    if (name == "route-list" && !routes) {
      routes = true;
      kept.list = &index.routes;
    } else if (name == "service-list" && !services) {
      services = true;
      kept.list = &index.services;
    } else if (name == "revision" && !revision) {
      revision = true;
      index.revision_at = index.members.size();
    }
    if (kept.list) {
      if (!member.value.IsArray()) return index;
      for (const Value& item : member.value.GetArray()) {
        const char* label = LabelOf(item);
        if (!label) return index;
        unique &= kept.list->Add(label, WriteJson(item));
      }
    } else {
      kept.text += WriteJson(member.value);
    }
    index.members.push_back(std::move(kept));
  }
  index.covers = revision && routes && services && unique;
  return index;
}

bool IndexedDocument::HasService(const std::string& label) const {
  const Index& index = Indexed();
  if (!index.covers) return configuration::HasService(text(), label);
  return index.services.by_label.count(label) > 0;
}

std::vector<std::string> IndexedDocument::RouteLabels() const {
  const Index& index = Indexed();
  if (!index.covers) return configuration::RouteLabels(text());
  std::vector<std::string> labels;
  for (const Item& item : index.routes.items) labels.push_back(item.label);
  return labels;
}

IndexedDocument::Relations& IndexedDocument::Related() const {
  Index& index = Indexed();
  if (index.relations) return *index.relations;
  Relations& relations = index.relations.emplace();
  for (const Item& item : index.routes.items) {
    Document route;
    ReadObject(item.text, &route);
    relations.places.insert(PlaceOf(route));
    for (const std::string& target : TargetsOf(route).services) ++relations.uses[target];
  }
  return relations;
}

// As ApplyPatch reads it: what is removed goes before what is put, wherever it stands.
std::optional<IndexedDocument::Fold> IndexedDocument::Read(std::string_view patch) {
  Document p;
  if (MayHoldNul(patch) || !ReadObject(patch, &p)) return std::nullopt;
  Fold fold;
  auto revision = p.FindMember("revision");
  if (revision == p.MemberEnd() || !revision->value.IsInt64()) return std::nullopt;
  fold.revision = revision->value.GetInt64();
  for (bool remove : {true, false}) {
    auto part = p.FindMember(remove ? "remove" : "upsert");
    if (part == p.MemberEnd()) continue;
    if (!part->value.IsObject()) return std::nullopt;
    for (const auto& list : part->value.GetObject()) {
      bool route = list.name == "route-list";
      if ((!route && list.name != "service-list") || !list.value.IsArray()) return std::nullopt;
      for (const Value& item : list.value.GetArray()) {
        const char* label = remove ? (item.IsString() ? item.GetString() : nullptr) : LabelOf(item);
        if (!label) return std::nullopt;
        fold.steps.push_back({route, label, remove ? "" : WriteJson(item)});
      }
    }
  }
  return fold;
}

std::optional<IndexedDocument::Fold> IndexedDocument::Check(std::string_view patch) const {
  if (empty()) return std::nullopt;
  const Index& index = Indexed();
  if (!index.covers) return std::nullopt;
  auto fold = Read(patch);
  if (!fold || fold->revision < 1) return std::nullopt;
  // What each item that the patch touches is in the end; empty for gone.
  std::map<std::string, const std::string*> routes, services;
  for (const Fold::Step& step : fold->steps)
    (step.route ? routes : services)[step.label] = &step.item;
  // The form of an item rests on nothing but itself, so those that are new are checked by
  // themselves.
  std::string changed = R"({"revision":1)";
  for (bool route : {true, false}) {
    changed += route ? R"(,"route-list":[)" : R"(,"service-list":[)";
    bool first = true;
    for (const auto& [label, item] : route ? routes : services) {
      if (item->empty()) continue;
      if (!first) changed += ',';
      first = false;
      changed += *item;
    }
    changed += ']';
  }
  Document d;
  if (!ReadObject(changed + "}", &d) || !HasForm(d)) return std::nullopt;

  const Relations& relations = Related();
  std::unordered_set<std::string> freed, placed;
  std::unordered_map<std::string, int64_t> uses;
  for (const auto& [label, item] : routes) {
    auto at = index.routes.by_label.find(label);
    if (at == index.routes.by_label.end()) continue;
    Document old;
    ReadObject(at->second->text, &old);
    freed.insert(PlaceOf(old));
    for (const std::string& target : TargetsOf(old).services) --uses[target];
  }
  for (const Value& route : d["route-list"].GetArray()) {
    std::string place = PlaceOf(route);
    if (relations.places.count(place) && !freed.count(place)) return std::nullopt;
    if (!placed.insert(place).second) return std::nullopt;
    Targets targets = TargetsOf(route);
    if (targets.weight == 0) return std::nullopt;
    for (const std::string& target : targets.services) ++uses[target];
  }
  auto listed = [&](const std::string& service) {
    auto touched = services.find(service);
    if (touched != services.end()) return !touched->second->empty();
    return index.services.by_label.count(service) > 0;
  };
  // Every service that is named in the end is listed: those of the routes that changed, and those
  // that are removed.
  for (const auto& [label, item] : services) uses.emplace(label, 0);
  for (const auto& [service, more] : uses) {
    auto before = relations.uses.find(service);
    int64_t after = more + (before == relations.uses.end() ? 0 : before->second);
    if (after > 0 && !listed(service)) return std::nullopt;
  }
  return fold;
}

void IndexedDocument::Apply(const Fold& fold) {
  Index& index = Indexed();
  constexpr size_t kRevision = 20;  // digits that a number has at most
  most_ = SizeAtMost() + kRevision;
  for (const Fold::Step& step : fold.steps) most_ += step.item.size() + 1;
  auto relate = [&](const std::string& text, int64_t by) {
    Document route;
    ReadObject(text, &route);
    if (by > 0) {
      index.relations->places.insert(PlaceOf(route));
    } else {
      index.relations->places.erase(PlaceOf(route));
    }
    for (const std::string& target : TargetsOf(route).services) {
      if ((index.relations->uses[target] += by) == 0) index.relations->uses.erase(target);
    }
  };
  // All that leave their place do so before any takes one.
  std::unordered_set<std::string> touched;
  for (const Fold::Step& step : fold.steps) {
    if (!step.route || !index.relations || !touched.insert(step.label).second) continue;
    auto at = index.routes.by_label.find(step.label);
    if (at != index.routes.by_label.end()) relate(at->second->text, -1);
  }
  for (const Fold::Step& step : fold.steps) {
    List& list = step.route ? index.routes : index.services;
    if (step.item.empty()) {
      list.Remove(step.label);
    } else {
      list.Put(step.label, step.item);
    }
  }
  for (const std::string& label : touched) {
    auto at = index.routes.by_label.find(label);
    if (at != index.routes.by_label.end()) relate(at->second->text, 1);
  }
  index.members[index.revision_at].text = "\"revision\":" + std::to_string(fold.revision);
  std::string().swap(text_);
}

std::string IndexedDocument::Patch(std::string_view patch) {
  if (!empty() && Indexed().covers) {
    if (auto fold = Read(patch)) {
      Apply(*fold);
      return "";
    }
  }
  Patched patched = ApplyPatch(text(), patch);
  if (patched.refusal.reason.empty()) *this = IndexedDocument(std::move(patched.text));
  return patched.refusal.reason;
}

}  // namespace elderkeel::configuration
