#include "configuration/patch.h"

#include <rapidjson/document.h>

#include <set>
#include <unordered_map>

#include "configuration/json.h"

namespace elderkeel::configuration {
namespace {

using rapidjson::Document;
using rapidjson::Value;
using Allocator = Document::AllocatorType;

tl::unexpected<base::Error> Invalid(const char* reason) {
  return base::Failure(base::ErrorCode::kInvalidArgument, "configuration.patch", "", reason);
}

base::Status SetRevision(const Document& patch, Document* document) {
  auto revision = patch.FindMember("revision");
  if (revision == patch.MemberEnd() || !revision->value.IsInt64()) {
    return Invalid("revision: is missing or no whole number");
  }
  if (!document->HasMember("revision")) {
    document->AddMember("revision", 0, document->GetAllocator());
  }
  (*document)["revision"].SetInt64(revision->value.GetInt64());
  return {};
}

// Removes the items with these labels from one list.
void RemoveLabels(const std::set<std::string>& labels, Value* list, Allocator* allocator) {
  Value kept(rapidjson::kArrayType);
  for (Value& item : list->GetArray()) {
    const char* label = LabelOf(item);
    if (!label || !labels.count(label)) kept.PushBack(item, *allocator);
  }
  *list = kept;
}

base::Status Remove(const Document& patch, Document* document) {
  auto remove = patch.FindMember("remove");
  if (remove == patch.MemberEnd()) return {};
  if (!remove->value.IsObject()) return Invalid("remove: is no object");
  for (const auto& member : remove->value.GetObject()) {
    if (!member.value.IsArray()) return Invalid("remove: holds something that is no list");
    std::set<std::string> labels;
    for (const Value& label : member.value.GetArray()) {
      if (!label.IsString()) return Invalid("remove: holds something that is no name");
      labels.insert(label.GetString());
    }
    auto list = document->FindMember(member.name);
    if (list == document->MemberEnd() || !list->value.IsArray()) continue;
    RemoveLabels(labels, &list->value, &document->GetAllocator());
  }
  return {};
}

// Puts each item in the place of the one with its label, or at the end.
base::Status UpsertItems(const Value& items, Value* list, Allocator* allocator) {
  std::unordered_map<std::string, rapidjson::SizeType> positions;  // by label
  for (rapidjson::SizeType i = 0; i < list->Size(); ++i) {
    if (const char* label = LabelOf((*list)[i])) positions[label] = i;
  }
  for (const Value& item : items.GetArray()) {
    const char* label = LabelOf(item);
    if (!label) return Invalid("upsert: holds an item without a label");
    Value copy(item, *allocator);
    auto [position, added] = positions.emplace(label, list->Size());
    if (added) {
      list->PushBack(copy, *allocator);
    } else {
      (*list)[position->second] = copy;
    }
  }
  return {};
}

base::Status Upsert(const Document& patch, Document* document) {
  auto upsert = patch.FindMember("upsert");
  if (upsert == patch.MemberEnd()) return {};
  if (!upsert->value.IsObject()) return Invalid("upsert: is no object");
  Allocator& allocator = document->GetAllocator();
  for (const auto& member : upsert->value.GetObject()) {
    if (!member.value.IsArray()) return Invalid("upsert: holds something that is no list");
    auto list = document->FindMember(member.name);
    if (list == document->MemberEnd()) {
      document->AddMember(Value(member.name, allocator), Value(rapidjson::kArrayType), allocator);
      list = document->FindMember(member.name);
    }
    if (!list->value.IsArray()) return Invalid("upsert: names something that is no list");
    base::Status put = UpsertItems(member.value, &list->value, &allocator);
    if (!put) return put;
  }
  return {};
}

}  // namespace

base::Result<std::string> ApplyPatch(std::string_view base, std::string_view patch) {
  Document document, changes;
  if (!ParseObject(base, &document) || !ParseObject(patch, &changes)) {
    return Invalid("can't be read whole");
  }
  for (auto step : {SetRevision, Remove, Upsert}) {
    base::Status done = step(changes, &document);
    if (!done) return base::Failure(done.error());
  }
  return WriteJson(document);
}

}  // namespace elderkeel::configuration
