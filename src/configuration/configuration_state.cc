#include "configuration/configuration_state.h"

#include <algorithm>
#include <utility>

#include "configuration/patch.h"
#include "configuration/validation.h"

namespace elderkeel::configuration {
namespace {

// The document that a patch is applied to before there is a configuration.
constexpr const char* kEmptyDocument = R"({"revision":0,"route-list":[],"service-list":[]})";

tl::unexpected<base::Verdict> Reject(int status, std::string reason) {
  return tl::unexpected<base::Verdict>({status, std::move(reason)});
}
tl::unexpected<base::Verdict> Reject(const base::Error& error) { return Reject(400, error.reason); }

}  // namespace

// Returns what `change` would put in force, or the verdict that rejects it. A full document
// that Evaluate() has just found valid is not validated again, and a patch that names only routes
// and services is checked by itself. Everything else, and each rejection, goes through
// PrepareFullCandidate().
tl::expected<ConfigurationState::Candidate, base::Verdict> ConfigurationState::PrepareCandidate(
    const Change& change) const {
  if (change.if_match == revision_) {
    if (validated_ && validated_->change == change) {
      return Candidate{validated_->revision, std::nullopt, change.body};
    }
    if (change.patch) {
      auto patch = document_.CheckPatch(change.body);
      if (patch && patch->revision > revision_) {
        int64_t revision = patch->revision;
        return Candidate{revision, std::move(patch), ""};
      }
    }
  }
  return PrepareFullCandidate(change);
}

// Validates the full resulting document. All rejections come from here, so a change with several
// faults is rejected for the same one whether or not the cheaper check of the patch was tried
// first.
tl::expected<ConfigurationState::Candidate, base::Verdict> ConfigurationState::PrepareFullCandidate(
    const Change& change) const {
  if (change.patch || change.if_match != revision_) {
    base::Status parsed = CheckSyntax(change.body);
    if (!parsed) return Reject(parsed.error());
  }
  if (change.if_match != revision_) {
    return Reject(412, "If-Match: revision " + std::to_string(revision_) + " is current");
  }
  Candidate candidate;
  if (change.patch) {
    auto patched =
        ApplyPatch(document_.empty() ? std::string(kEmptyDocument) : text(), change.body);
    if (!patched) return Reject(patched.error());
    candidate.text = std::move(*patched);
  } else {
    candidate.text = change.body;
  }
  auto revision = Validate(candidate.text);
  if (!revision) {
    // A syntax error is reported in preference to any other fault.
    base::Status parsed = change.patch ? base::Status() : CheckSyntax(change.body);
    return Reject(parsed ? revision.error() : parsed.error());
  }
  candidate.revision = *revision;
  if (candidate.revision <= revision_) {
    return Reject(400, "revision: must be greater than " + std::to_string(revision_));
  }
  return candidate;
}

base::Verdict ConfigurationState::CheckSize(size_t bytes) {
  if (bytes <= kMaxDocumentBytes) return {};
  return {413, "the document has " + std::to_string(bytes) + " bytes, but the limit is " +
                   std::to_string(kMaxDocumentBytes) + " bytes"};
}

bool ConfigurationState::WasApplied(const Change& change) const {
  auto found = std::lower_bound(
      applied_.begin(), applied_.end(), change.if_match,
      [](const AppliedChange& applied, int64_t if_match) { return applied.if_match < if_match; });
  return found != applied_.end() && found->if_match == change.if_match &&
         found->identity == change.Identify();
}

base::Verdict ConfigurationState::CheckCandidateSize(const Candidate& candidate,
                                                     const Change& change) const {
  if (!candidate.patch) return CheckSize(candidate.text.size());
  // The exact size requires serializing the document, so that is done only near the limit.
  bool near_limit = document_.MaxBytes() + change.body.size() > kMaxDocumentBytes;
  if (!near_limit) return {};
  auto patched = ApplyPatch(text(), change.body);
  return CheckSize(patched ? patched->size() : 0);
}

base::Verdict ConfigurationState::Evaluate(const Change& change) const {
  if (WasApplied(change)) return {200, ""};
  base::Verdict size = CheckSize(change.body.size());
  if (!size.may_propose()) return size;
  auto candidate = PrepareCandidate(change);
  if (!candidate) {
    // A 412 would be wrong for the repetition of a change that was applied and has since left
    // applied_. No change with a negative If-Match is ever applied.
    bool too_old = change.if_match >= 0 && change.if_match < oldest_known_if_match_;
    if (candidate.error().status == 412 && too_old) {
      return {503, "the change is too old to determine whether it was already applied"};
    }
    return candidate.error();
  }
  base::Verdict verdict = CheckCandidateSize(*candidate, change);
  if (verdict.may_propose() && !change.patch) {
    validated_ = ValidatedChange{candidate->revision, change};
  }
  return verdict;
}

bool ConfigurationState::Apply(const Change& change) {
  auto candidate = PrepareCandidate(change);
  if (!candidate) return false;
  base_revision_ = change.patch ? revision_ : 0;
  if (candidate->patch) {
    document_.Apply(*candidate->patch);
  } else {
    document_ = ParsedConfiguration(std::move(candidate->text));
  }
  revision_ = candidate->revision;
  validated_.reset();
  patch_ = change.patch ? change.body : "";
  applied_.push_back({change.if_match, change.Identify()});
  if (applied_.size() > kMaxApplied) {
    applied_.erase(applied_.begin());
    oldest_known_if_match_ = applied_.front().if_match;
  }
  return true;
}

}  // namespace elderkeel::configuration
