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
    return Invalid("revision: is missing or not an integer");
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
  if (!remove->value.IsObject()) return Invalid("remove: is not an object");
  for (const auto& member : remove->value.GetObject()) {
    if (!member.value.IsArray()) return Invalid("remove: holds a member that is not an array");
    std::set<std::string> labels;
    for (const Value& label : member.value.GetArray()) {
      if (!label.IsString()) return Invalid("remove: holds a label that is not a string");
      labels.insert(label.GetString());
    }
    auto list = document->FindMember(member.name);
    if (list == document->MemberEnd() || !list->value.IsArray()) continue;
    RemoveLabels(labels, &list->value, &document->GetAllocator());
  }
  return {};
}

// Replaces the item that has the same label, or appends the item if there is none.
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
  if (!upsert->value.IsObject()) return Invalid("upsert: is not an object");
  Allocator& allocator = document->GetAllocator();
  for (const auto& member : upsert->value.GetObject()) {
    if (!member.value.IsArray()) return Invalid("upsert: holds a member that is not an array");
    auto list = document->FindMember(member.name);
    if (list == document->MemberEnd()) {
      document->AddMember(Value(member.name, allocator), Value(rapidjson::kArrayType), allocator);
      list = document->FindMember(member.name);
    }
    if (!list->value.IsArray()) return Invalid("upsert: names a member that is not an array");
    base::Status upserted = UpsertItems(member.value, &list->value, &allocator);
    if (!upserted) return upserted;
  }
  return {};
}

}  // namespace

base::Result<std::string> ApplyPatch(std::string_view base, std::string_view patch) {
  Document document, changes;
  if (!ParseObject(base, &document) || !ParseObject(patch, &changes)) {
    return Invalid("the document or the patch is not a JSON object, or is nested too deep");
  }
  for (auto step : {SetRevision, Remove, Upsert}) {
    base::Status done = step(changes, &document);
    if (!done) return base::Failure(done.error());
  }
  return WriteJson(document);
}

}  // namespace elderkeel::configuration
