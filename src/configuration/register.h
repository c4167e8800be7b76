#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/document.h"
#include "configuration/indexed_document.h"

namespace elderkeel::configuration {

// A change as the operator sent it: the whole of a configuration, or a patch.
struct Change {
  bool patch = false;
  int64_t if_match = 0;
  std::string body;

  uint64_t Digest() const;
  bool operator==(const Change& other) const {
    return patch == other.patch && if_match == other.if_match && body == other.body;
  }
  template <class A>
  void serialize(A& a) {
    a(patch, if_match, body);
  }
};

// The accepted configuration and what led to it, folded from the log. The same entries give the
// same register on every controller: each change is judged again when its entry is applied, so of
// two that were built on one version only the first in the log takes effect.
class Register {
 public:
  struct Verdict {
    int status = 0;  // 200 already taken, 4xx refused, 0 may be proposed
    std::string reason;
  };

  Verdict Judge(const Change& change) const;
  // True if it took effect.
  bool Apply(const Change& change);

  int64_t revision() const { return revision_; }
  // The revision that the newest change was built on; 0 if that change was a whole configuration.
  int64_t base() const { return base_; }
  const std::string& text() const { return text_.text(); }
  const IndexedDocument& document() const { return text_; }
  const Change& newest() const { return newest_; }
  bool empty() const { return text_.empty(); }

  template <class A>
  void serialize(A& a) {
    a(revision_, base_, text_, newest_, taken_);
  }

 private:
  // What a change that may be proposed would put in force: a fold of the document, or another text.
  struct Candidate {
    int64_t revision = 0;
    std::optional<IndexedDocument::Fold> fold;
    std::string text;
  };
  Candidate Consider(const Change& change, Verdict* verdict) const;

  int64_t revision_ = 0;
  int64_t base_ = 0;
  IndexedDocument text_;
  Change newest_;
  std::vector<uint64_t> taken_;  // digests of the last changes that took effect
  // A whole configuration that was found good for the revision in force, and the revision it names:
  // applying it needs no second look. Follows from the rest, so it isn't part of the state.
  struct Judged {
    int64_t revision = 0;
    Change change;
  };
  mutable std::optional<Judged> judged_;
};

}  // namespace elderkeel::configuration
