#include "configuration/configuration_state.h"

#include <algorithm>
#include <utility>

#include "configuration/patch.h"
#include "configuration/validation.h"

namespace elderkeel::configuration {
namespace {

// What a patch is applied to before there is any configuration.
constexpr const char* kEmptyDocument = R"({"revision":0,"route-list":[],"service-list":[]})";

tl::unexpected<base::Verdict> Reject(int status, std::string reason) {
  return tl::unexpected<base::Verdict>({status, std::move(reason)});
}
tl::unexpected<base::Verdict> Reject(const base::Error& error) { return Reject(400, error.reason); }

}  // namespace

// What `change` would put in force, or why it can't.
tl::expected<ConfigurationState::Candidate, base::Verdict> ConfigurationState::Consider(
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
  return ConsiderWhole(change);
}

// Whatever is wrong is found in the same order here, whether the short way was tried before or not.
tl::expected<ConfigurationState::Candidate, base::Verdict> ConfigurationState::ConsiderWhole(
    const Change& change) const {
  if (change.patch || change.if_match != revision_) {
    base::Status readable = CheckReadable(change.body);
    if (!readable) return Reject(readable.error());
  }
  if (change.if_match != revision_) {
    return Reject(412, "version " + std::to_string(revision_) + " is current");
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
    // What can't be read at all is said so first.
    base::Status readable = change.patch ? base::Status() : CheckReadable(change.body);
    return Reject(readable ? revision.error() : readable.error());
  }
  candidate.revision = *revision;
  if (candidate.revision <= revision_) {
    return Reject(400, "revision: is not above " + std::to_string(revision_));
  }
  return candidate;
}

base::Verdict ConfigurationState::CheckSize(size_t bytes) {
  if (bytes <= kMaxDocumentBytes) return {};
  return {413, "the document has " + std::to_string(bytes) + " bytes, more than the " +
                   std::to_string(kMaxDocumentBytes) + " that are taken"};
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
  // Only near the bound must the document be written to know its size.
  bool near = document_.MaxBytes() + change.body.size() > kMaxDocumentBytes;
  if (!near) return {};
  auto patched = ApplyPatch(text(), change.body);
  return CheckSize(patched ? patched->size() : 0);
}

base::Verdict ConfigurationState::Evaluate(const Change& change) const {
  if (WasApplied(change)) return {200, ""};
  base::Verdict size = CheckSize(change.body.size());
  if (!size.may_propose()) return size;
  auto candidate = Consider(change);
  if (!candidate) {
    // No change on a version below 0 was ever applied.
    bool forgotten = change.if_match >= 0 && change.if_match < known_from_;
    if (candidate.error().status == 412 && forgotten) {
      return {503, "so old a change may be one that was taken"};
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
  auto candidate = Consider(change);
  if (!candidate) return false;
  base_ = change.patch ? revision_ : 0;
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
    known_from_ = applied_.front().if_match;
  }
  return true;
}

}  // namespace elderkeel::configuration
