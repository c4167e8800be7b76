#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/error.h"

namespace elderkeel::configuration {

// The parsed form of a patch that changes only the revision, routes and services.
struct ParsedPatch {
  // The upsert or removal of one route or service.
  struct ItemChange {
    bool is_route = true;  // false: a service
    std::string label;
    std::string item;  // the new JSON text; empty for a removal
  };
  int64_t revision = 0;
  std::vector<ItemChange> changes;  // in the order in which they apply
};

// An accepted configuration document with an index of its routes and services by label, so that the
// cost of a patch depends on the size of the patch and not of the document. Controllers hold the
// replicated configuration in this form, and so does the Disseminator with its copy of it.
//
// The text is byte for byte what was sent, or what ApplyPatch() would have returned. The index is
// built when it is first needed. A document that the index doesn't cover (labels that aren't
// unique) and a patch that ParsedPatch can't represent (lists other than routes and services) go
// through ApplyPatch() and a full parse. Not thread-safe, not even for const calls, since these
// fill caches.
class ParsedConfiguration {
 public:
  ParsedConfiguration() = default;
  // REQUIRES: `text` is a valid document, or empty for no configuration.
  explicit ParsedConfiguration(std::string text) : text_(std::move(text)) {}
  ParsedConfiguration(const ParsedConfiguration& other) : text_(other.text()) {}
  ParsedConfiguration(ParsedConfiguration&&) = default;
  ParsedConfiguration& operator=(ParsedConfiguration other) {
    text_ = std::move(other.text_);
    index_ = std::move(other.index_);
    max_bytes_ = other.max_bytes_;
    return *this;
  }

  bool empty() const { return text_.empty() && !(index_ && index_->covers_all); }
  // Returns the document. After a patch the first call serializes it anew.
  const std::string& text() const;
  // Returns an upper bound of the size of text() in bytes, without serializing the document.
  size_t MaxBytes() const { return text_.empty() ? max_bytes_ : text_.size(); }
  bool HasService(const std::string& label) const;
  // Returns the labels of all routes, in the order of the document.
  std::vector<std::string> RouteLabels() const;

  // Returns the parsed patch if applying it results in a valid document. Returns nullopt if it
  // doesn't or if that can't be determined without validating the full document.
  std::optional<ParsedPatch> CheckPatch(std::string_view patch) const;
  // REQUIRES: CheckPatch() returned `patch` for the current state of this document.
  void Apply(const ParsedPatch& patch);
  // Applies a patch that a controller has already validated. Error: kInvalidArgument if the patch
  // is malformed.
  base::Status ApplyUnchecked(std::string_view patch);

  // Serialized as the text only.
  template <class Archive>
  void save(Archive& archive) const {
    archive(text());
  }
  template <class Archive>
  void load(Archive& archive) {
    std::string text;
    archive(text);
    *this = ParsedConfiguration(std::move(text));
  }

 private:
  // One route or service.
  struct Item {
    std::string label;
    std::string text;  // JSON
  };
  // Routes or services, in the order of the document.
  struct ItemList {
    std::list<Item> items;
    // The keys refer to the labels of `items`.
    std::unordered_map<std::string_view, std::list<Item>::iterator> by_label;

    // Appends an item. Returns false if the label exists already; the item is still appended then.
    bool Add(std::string label, std::string text);
    // Replaces the text of the item with this label, or appends a new item.
    void Upsert(const std::string& label, std::string text);
    void Remove(const std::string& label);
    const Item* Find(const std::string& label) const;
  };
  // One member of the document. `text` holds the name, the colon and the value; for the route list
  // and the service list the value is in `list` instead.
  struct DocumentMember {
    std::string text;
    ItemList* list = nullptr;
  };
  // The locations of all routes, and how often routes name each service. Used to check patches;
  // built when the first one is checked.
  struct Relations {
    std::unordered_set<std::string> locations;              // host, NUL, path prefix
    std::unordered_map<std::string, int64_t> service_uses;  // by label of the service
  };
  struct Index {
    bool covers_all = false;  // false: patches require a full parse, and the rest is not used
    std::vector<DocumentMember> members;
    size_t revision_member = 0;  // position in `members`
    ItemList routes, services;
    std::optional<Relations> relations;
  };
  Index& EnsureIndex() const;
  void BuildIndex(Index* index) const;
  Relations& EnsureRelations() const;
  bool ResultIsValid(const ParsedPatch& patch, const std::string& changed_items) const;
  static void UpdateRelations(const std::string& route_text, int64_t sign, Relations* relations);

  mutable std::string text_;  // empty if it must be serialized from the index
  mutable std::unique_ptr<Index> index_;
  size_t max_bytes_ = 0;  // upper bound of the text's size; used while text_ is empty
};

}  // namespace elderkeel::configuration
