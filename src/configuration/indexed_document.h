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

#include "configuration/document.h"

namespace elderkeel::configuration {

// An accepted document, its routes and services found by their labels, so that a patch costs what
// the patch holds and not what the document holds. Its text is what was sent, or what ApplyPatch
// would have made of it, byte for byte. The index is made when it is first needed; a document or a
// patch that it does not cover (other lists than routes and services, labels that aren't unique)
// goes through ApplyPatch as a whole. Not to be used by two threads at once, not even to read.
class IndexedDocument {
 public:
  IndexedDocument() = default;
  // `text` is a valid document, or empty for none.
  explicit IndexedDocument(std::string text) : text_(std::move(text)) {}
  IndexedDocument(const IndexedDocument& other) : text_(other.text()) {}
  IndexedDocument(IndexedDocument&&) = default;
  IndexedDocument& operator=(IndexedDocument other) {
    text_ = std::move(other.text_);
    index_ = std::move(other.index_);
    most_ = other.most_;
    return *this;
  }

  bool empty() const { return text_.empty() && !(index_ && index_->covers); }
  // Written anew after a patch, when it is next asked for.
  const std::string& text() const;
  // Bytes that the text has at most, without writing it.
  size_t SizeAtMost() const { return text_.empty() ? most_ : text_.size(); }
  bool HasService(const std::string& label) const;
  std::vector<std::string> RouteLabels() const;

  // What a patch does to routes and services, in order.
  struct Fold {
    struct Step {
      bool route = true;  // or a service
      std::string label;
      std::string item;  // its new text; empty to remove it
    };
    int64_t revision = 0;
    std::vector<Step> steps;
  };
  // The fold of a patch that leads from a valid document to a valid one; none if it does not, or if
  // only the whole document can tell.
  std::optional<Fold> Check(std::string_view patch) const;
  // `fold` must be of this document as it is.
  void Apply(const Fold& fold);
  // Applies a patch that was checked elsewhere. The reason if it can't be applied; empty otherwise.
  std::string Patch(std::string_view patch);

  // As its text alone.
  template <class A>
  void save(A& a) const {
    a(text());
  }
  template <class A>
  void load(A& a) {
    std::string text;
    a(text);
    *this = IndexedDocument(std::move(text));
  }

 private:
  struct Item {
    std::string label;
    std::string text;
  };
  struct List {
    std::list<Item> items;
    std::unordered_map<std::string_view, std::list<Item>::iterator> by_label;  // keys: the items'

    bool Add(std::string label, std::string text);
    void Put(const std::string& label, std::string text);
    void Remove(const std::string& label);
  };
  // One member of the document: its text with the name, and its list if it is one of the two.
  struct Member {
    std::string text;
    List* list = nullptr;
  };
  // Where routes stand and which services they name; for checks alone.
  struct Relations {
    std::unordered_set<std::string> places;
    std::unordered_map<std::string, int64_t> uses;
  };
  struct Index {
    bool covers = false;  // false: patches go through the whole document
    std::vector<Member> members;
    size_t revision_at = 0;  // in members
    List routes, services;
    std::optional<Relations> relations;
  };

  Index& Indexed() const;
  Relations& Related() const;
  static std::optional<Fold> Read(std::string_view patch);

  mutable std::string text_;  // empty if it must be written from the index
  mutable std::unique_ptr<Index> index_;
  size_t most_ = 0;  // bytes that the text has at most while it isn't written
};

}  // namespace elderkeel::configuration
