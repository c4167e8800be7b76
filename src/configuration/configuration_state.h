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

// The maximum size of a change and of the resulting document, in bytes. An accepted document is
// sent to every controller and proxy in one frame, so half of transport::kMaxFrameBytes stays free
// for what the messages add to it.
constexpr size_t kMaxDocumentBytes = 4u << 20;
static_assert(kMaxDocumentBytes <= transport::kMaxFrameBytes / 2);

// The accepted configuration and the changes that led to it, as a deterministic state machine on
// top of the replicated log: the same entries produce the same state on every controller. Each
// change is validated again when its entry is applied, so of two changes that are based on one
// revision only the first in the log takes effect.
class ConfigurationState {
 public:
  // The number of most recent changes whose repetition is recognized. A repetition of an older
  // change can't be distinguished from a stale one, so it is answered with 503 instead of 412.
  static constexpr size_t kMaxApplied = 4096;

  // Returns status 413, with the limit in the reason, if `bytes` exceeds kMaxDocumentBytes.
  static base::Verdict CheckSize(size_t bytes);
  // Returns whether `change` may be proposed, or the status to answer: 200 if it has already been
  // applied, 400 if it is invalid, 412 if it is not based on the current revision, 413 if it or the
  // resulting document is too large, 503 if it is too old to determine whether it was applied.
  // Apply() checks no sizes, so it rejects no committed change for its size.
  base::Verdict Evaluate(const Change& change) const;
  // Applies a committed change. Returns whether it took effect.
  bool Apply(const Change& change);

  int64_t revision() const { return revision_; }
  // The revision that the newest change was based on; 0 if that change was a full document.
  int64_t base_revision() const { return base_revision_; }
  const std::string& text() const { return document_.text(); }
  const ParsedConfiguration& document() const { return document_; }
  // The newest change as it was sent, if it was a patch; else empty, and text() is what was sent.
  const std::string& patch() const { return patch_; }
  bool empty() const { return document_.empty(); }

  template <class Archive>
  void save(Archive& archive) const {
    archive(kFormat, revision_, base_revision_, document_, patch_, oldest_known_if_match_,
            applied_);
  }
  // Also reads the older format, which starts with the revision instead of kFormat and stores
  // 64-bit digests of the applied changes instead of their identities.
  template <class Archive>
  void load(Archive& archive) {
    archive(revision_);
    if (revision_ == kFormat) {
      archive(revision_, base_revision_, document_, patch_, oldest_known_if_match_, applied_);
      return;
    }
    Change newest;
    std::vector<uint64_t> digests;
    archive(base_revision_, document_, newest, digests);
    patch_ = newest.patch ? newest.body : "";
    applied_.clear();
    if (revision_ > 0) applied_.push_back({newest.if_match, newest.Identify()});
    oldest_known_if_match_ = newest.if_match;
  }

 private:
  // Distinguishes this format from the older one, which starts with a revision: none is negative.
  static constexpr int64_t kFormat = -1;
  // A change that took effect. Revisions only increase, so at most one change per base revision
  // takes effect. `if_match` therefore finds the only entry whose identity needs comparing.
  struct AppliedChange {
    int64_t if_match = 0;
    Change::Identity identity{};
    template <class Archive>
    void serialize(Archive& archive) {
      archive(if_match, identity);
    }
  };
  // The result of a change that passed validation: a patch of the current document, or else the
  // full text of the new document.
  struct Candidate {
    int64_t revision = 0;
    std::optional<ParsedPatch> patch;
    std::string text;
  };
  // The last full document that was found valid on top of the current revision, and the revision
  // that it names. Apply() doesn't validate the same change again. This is a cache, so it is not
  // serialized.
  struct ValidatedChange {
    int64_t revision = 0;
    Change change;
  };
  tl::expected<Candidate, base::Verdict> PrepareCandidate(const Change& change) const;
  tl::expected<Candidate, base::Verdict> PrepareFullCandidate(const Change& change) const;
  bool WasApplied(const Change& change) const;
  base::Verdict CheckCandidateSize(const Candidate& candidate, const Change& change) const;

  int64_t revision_ = 0;
  int64_t base_revision_ = 0;
  ParsedConfiguration document_;
  std::string patch_;
  // Every applied change with this If-Match or a higher one is in applied_.
  int64_t oldest_known_if_match_ = 0;
  std::vector<AppliedChange> applied_;  // the last kMaxApplied changes, by ascending If-Match
  mutable std::optional<ValidatedChange> validated_;
};

}  // namespace elderkeel::configuration
