#include "configuration/register.h"

#include <algorithm>

#include "base/random.h"

namespace elderkeel::configuration {
namespace {
constexpr size_t kTaken = 256;
constexpr const char* kNothing = R"({"revision":0,"route-list":[],"service-list":[]})";
}  // namespace

uint64_t Change::Digest() const {
  return base::Hash(body, static_cast<uint64_t>(if_match) * 2 + (patch ? 1 : 0) + 1);
}

// What `change` would put in force, or why it can't.
Register::Candidate Register::Consider(const Change& change, Verdict* verdict) const {
  *verdict = {0, ""};
  if (judged_ && change.if_match == revision_ && judged_->change == change) {
    return {judged_->revision, std::nullopt, change.body};
  }
  if (change.patch && change.if_match == revision_) {
    auto fold = text_.Check(change.body);
    if (fold && fold->revision > revision_) return {fold->revision, std::move(fold), ""};
  }
  // From here on whatever is wrong is found in the same order, whichever way led here.
  auto refuse = [verdict](const Refusal& refusal) {
    *verdict = {refusal.status, refusal.reason};
    return Candidate();
  };
  if (change.patch || change.if_match != revision_) {
    Refusal refusal = CheckReadable(change.body);
    if (!refusal.reason.empty()) return refuse(refusal);
  }
  if (change.if_match != revision_) {
    return refuse({412, "version " + std::to_string(revision_) + " is current"});
  }
  Candidate candidate;
  if (change.patch) {
    Patched patched = ApplyPatch(text_.empty() ? std::string(kNothing) : text(), change.body);
    if (!patched.refusal.reason.empty()) return refuse(patched.refusal);
    candidate.text = std::move(patched.text);
  } else {
    candidate.text = change.body;
  }
  Refusal refusal = CheckValid(candidate.text, &candidate.revision);
  if (!refusal.reason.empty()) {
    Refusal unreadable = change.patch ? Refusal() : CheckReadable(change.body);
    return refuse(unreadable.reason.empty() ? refusal : unreadable);
  }
  if (candidate.revision <= revision_) {
    return refuse({400, "revision: is not above " + std::to_string(revision_)});
  }
  return candidate;
}

Register::Verdict Register::Judge(const Change& change) const {
  if (std::find(taken_.begin(), taken_.end(), change.Digest()) != taken_.end()) return {200, ""};
  Verdict verdict;
  Candidate candidate = Consider(change, &verdict);
  if (verdict.status == 0 && !change.patch) judged_ = Judged{candidate.revision, change};
  return verdict;
}

bool Register::Apply(const Change& change) {
  uint64_t digest = change.Digest();
  if (std::find(taken_.begin(), taken_.end(), digest) != taken_.end()) return false;
  Verdict verdict;
  Candidate candidate = Consider(change, &verdict);
  if (verdict.status != 0) return false;
  base_ = change.patch ? revision_ : 0;
  if (candidate.fold) {
    text_.Apply(*candidate.fold);
  } else {
    text_ = IndexedDocument(std::move(candidate.text));
  }
  revision_ = candidate.revision;
  judged_.reset();
  newest_ = change;
  taken_.push_back(digest);
  if (taken_.size() > kTaken) taken_.erase(taken_.begin());
  return true;
}

}  // namespace elderkeel::configuration
