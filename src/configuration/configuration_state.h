#pragma once

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/verdict.h"
#include "configuration/change.h"
#include "configuration/parsed_configuration.h"
#include "transport/frame.h"

namespace elderkeel::configuration {

// A change, and the document that it makes, are taken up to this size. What is taken is carried to
// every controller and proxy, in one frame (transport::kMaxFrame) with room for what is added on
// the way.
constexpr size_t kMaxDocumentBytes = 4u << 20;
static_assert(kMaxDocumentBytes <= transport::kMaxFrame / 2);

// The accepted configuration and what led to it, as a state machine above the log: the same entries
// give the same state on every controller. Each change is judged again when its entry is applied,
// so of two that were built on one version only the first in the log takes effect.
class ConfigurationState {
 public:
  // So many changes are recognized when they are repeated, the newest; of older ones none is
  // rejected as stale.
  static constexpr size_t kMaxApplied = 4096;

  // 413 with the figure for what is larger than is taken.
  static base::Verdict CheckSize(size_t bytes);
  // Whether `change` may be proposed. What was committed is not rejected for its size any more.
  base::Verdict Evaluate(const Change& change) const;
  // True if it took effect.
  bool Apply(const Change& change);

  int64_t revision() const { return revision_; }
  // The revision that the newest change was built on; 0 if that change was a whole configuration.
  int64_t base() const { return base_; }
  const std::string& text() const { return document_.text(); }
  const ParsedConfiguration& document() const { return document_; }
  // The newest change as it was sent, if it was a patch; else empty, and `text` is what was sent.
  const std::string& patch() const { return patch_; }
  bool empty() const { return document_.empty(); }

  template <class Archive>
  void save(Archive& archive) const {
    archive(kFormat, revision_, base_, document_, patch_, known_from_, applied_);
  }
  // Also what was saved before identities were kept, when the revision stood first.
  template <class Archive>
  void load(Archive& archive) {
    archive(revision_);
    if (revision_ == kFormat) {
      archive(revision_, base_, document_, patch_, known_from_, applied_);
      return;
    }
    Change newest;
    std::vector<uint64_t> digests;
    archive(base_, document_, newest, digests);
    patch_ = newest.patch ? newest.body : "";
    applied_.clear();
    if (revision_ > 0) applied_.push_back({newest.if_match, newest.Identify()});
    known_from_ = newest.if_match;
  }

 private:
  static constexpr int64_t kFormat = -1;  // no revision is below 0
  // A change that took effect. Revisions rise, so at most one change on each base ever does, and a
  // rival is told from it by base before identities are compared.
  struct AppliedChange {
    int64_t if_match = 0;
    Change::Identity identity{};
    template <class Archive>
    void serialize(Archive& archive) {
      archive(if_match, identity);
    }
  };
  // What a change that may be proposed would put in force: a patch of the document, or another
  // text.
  struct Candidate {
    int64_t revision = 0;
    std::optional<ParsedPatch> patch;
    std::string text;
  };
  // A whole configuration that was found valid for the revision in force, and the revision it
  // names: applying it needs no second look. Follows from the rest, so it isn't part of the state.
  struct ValidatedChange {
    int64_t revision = 0;
    Change change;
  };
  tl::expected<Candidate, base::Verdict> Consider(const Change& change) const;
  tl::expected<Candidate, base::Verdict> ConsiderWhole(const Change& change) const;
  bool WasApplied(const Change& change) const;
  base::Verdict CheckCandidateSize(const Candidate& candidate, const Change& change) const;

  int64_t revision_ = 0;
  int64_t base_ = 0;
  ParsedConfiguration document_;
  std::string patch_;
  int64_t known_from_ =
      0;  // every applied change with this If-Match or a higher one is in applied_
  std::vector<AppliedChange> applied_;  // the last changes that took effect, by rising If-Match
  mutable std::optional<ValidatedChange> validated_;
};

}  // namespace elderkeel::configuration
