#pragma once

#include <array>
#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/document.h"
#include "configuration/indexed_document.h"
#include "wire/frame.h"

namespace elderkeel::configuration {

// A change, and the document that it makes, are taken up to this size. What is taken is carried to
// every controller and proxy, in one frame (wire::kMaxFrame) with room for what is added on the
// way.
constexpr size_t kMaxDocumentBytes = 4u << 20;
static_assert(kMaxDocumentBytes <= wire::kMaxFrame / 2);

// A change as the operator sent it: the whole of a configuration, or a patch.
struct Change {
  bool patch = false;
  int64_t if_match = 0;
  std::string body;

  // 128 bits of SHA-256 over all of it: whether two calls carry the same change.
  using Identity = std::array<uint8_t, 16>;
  Identity Identify() const;
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
    // 200 already taken, 4xx refused, 0 may be proposed; 503 if it can't be told any more whether
    // it was taken.
    int status = 0;
    std::string reason;
  };
  // So many changes are told again, the newest; of older ones none is refused as stale.
  static constexpr size_t kTaken = 4096;

  // 413 with the figure for what is larger than is taken.
  static Verdict CheckSize(size_t bytes);
  // Whether `change` may be proposed. What was committed is not refused for its size any more.
  Verdict Judge(const Change& change) const;
  // True if it took effect.
  bool Apply(const Change& change);

  int64_t revision() const { return revision_; }
  // The revision that the newest change was built on; 0 if that change was a whole configuration.
  int64_t base() const { return base_; }
  const std::string& text() const { return text_.text(); }
  const IndexedDocument& document() const { return text_; }
  // The newest change as it was sent, if it was a patch; else empty, and `text` is what was sent.
  const std::string& patch() const { return patch_; }
  bool empty() const { return text_.empty(); }

  template <class A>
  void save(A& a) const {
    a(kFormat, revision_, base_, text_, patch_, known_from_, taken_);
  }
  // Also what was saved before identities were kept, when the revision stood first.
  template <class A>
  void load(A& a) {
    a(revision_);
    if (revision_ == kFormat) {
      a(revision_, base_, text_, patch_, known_from_, taken_);
      return;
    }
    Change newest;
    std::vector<uint64_t> digests;
    a(base_, text_, newest, digests);
    patch_ = newest.patch ? newest.body : "";
    taken_.clear();
    if (revision_ > 0) taken_.push_back({newest.if_match, newest.Identify()});
    known_from_ = newest.if_match;
  }

 private:
  static constexpr int64_t kFormat = -1;  // no revision is below 0
  // A change that took effect. Revisions rise, so at most one change on each base ever does, and a
  // rival is told from it by base before identities are compared.
  struct Taken {
    int64_t if_match = 0;
    Change::Identity identity{};
    template <class A>
    void serialize(A& a) {
      a(if_match, identity);
    }
  };
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
  std::string patch_;
  int64_t known_from_ = 0;  // every taken change with this If-Match or a higher one is in `taken_`
  std::vector<Taken> taken_;  // the last changes that took effect, by rising If-Match
  // A whole configuration that was found good for the revision in force, and the revision it names:
  // applying it needs no second look. Follows from the rest, so it isn't part of the state.
  struct Judged {
    int64_t revision = 0;
    Change change;
  };
  mutable std::optional<Judged> judged_;
};

}  // namespace elderkeel::configuration
