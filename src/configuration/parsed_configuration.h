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

// What a patch says, as far as it names routes and services alone.
struct ParsedPatch {
  struct ItemChange {
    bool is_route = true;  // or a service
    std::string label;
    std::string item;  // its new JSON text; empty to remove it
  };
  int64_t revision = 0;
  std::vector<ItemChange> changes;  // in order
};

// An accepted configuration, its routes and services found by their labels, so that a patch costs
// what the patch holds and not what the document holds. Its text is what was sent, or what
// ApplyPatch would have made of it, byte for byte. The index is made when it is first needed; a
// document or a patch that it does not cover (other lists than routes and services, labels that
// aren't unique) goes through ApplyPatch as a whole. Not to be used by two threads at once, not
// even to read.
class ParsedConfiguration {
 public:
  ParsedConfiguration() = default;
  // `text` is a valid document, or empty for none.
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
  // Written anew after a patch, when it is next asked for.
  const std::string& text() const;
  // An upper bound of the text's size, without writing it.
  size_t MaxBytes() const { return text_.empty() ? max_bytes_ : text_.size(); }
  bool HasService(const std::string& label) const;
  std::vector<std::string> RouteLabels() const;

  // The patch, if it leads from this valid document to a valid one; none if it does not, or if only
  // the whole document can tell.
  std::optional<ParsedPatch> CheckPatch(std::string_view patch) const;
  // REQUIRES: CheckPatch gave it for this document as it is.
  void Apply(const ParsedPatch& patch);
  // Applies a patch that was checked elsewhere. Error: kInvalidArgument.
  base::Status ApplyUnchecked(std::string_view patch);

  // As its text alone.
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
  struct Item {
    std::string label;
    std::string text;
  };
  // Routes or services, in the order of the document.
  struct ItemList {
    std::list<Item> items;
    std::unordered_map<std::string_view, std::list<Item>::iterator> by_label;  // keys: the items'

    // False if the label is there already.
    bool Add(std::string label, std::string text);
    void Put(const std::string& label, std::string text);
    void Remove(const std::string& label);
    const Item* Find(const std::string& label) const;
  };
  // One member of the document: its text with the name, and its list if it is one of the two.
  struct DocumentMember {
    std::string text;
    ItemList* list = nullptr;
  };
  // Where routes stand and how often routes name each service; for checks alone.
  struct Relations {
    std::unordered_set<std::string> locations;
    std::unordered_map<std::string, int64_t> service_uses;
  };
  struct Index {
    bool covers_all = false;  // false: patches go through the whole document
    std::vector<DocumentMember> members;
    size_t revision_member = 0;  // in members
    ItemList routes, services;
    std::optional<Relations> relations;
  };
  Index& EnsureIndex() const;
  void BuildIndex(Index* index) const;
  Relations& EnsureRelations() const;
  bool KeepsRelations(const ParsedPatch& patch, const std::string& changed_items) const;
  static void Relate(const std::string& route_text, int64_t sign, Relations* relations);

  mutable std::string text_;  // empty if it must be written from the index
  mutable std::unique_ptr<Index> index_;
  size_t max_bytes_ = 0;  // of the text while it isn't written
};

}  // namespace elderkeel::configuration
