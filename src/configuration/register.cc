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

// The document that `change` would put in force, or why it can't.
std::string Register::Candidate(const Change& change, Verdict* verdict) const {
  Refusal refusal = CheckReadable(change.body);
  if (!refusal.reason.empty()) {
    *verdict = {refusal.status, refusal.reason};
    return "";
  }
  if (change.if_match != revision_) {
    *verdict = {412, "version " + std::to_string(revision_) + " is current"};
    return "";
  }
  std::string text;
  if (change.patch) {
    Patched patched = ApplyPatch(text_.empty() ? kNothing : text_, change.body);
    if (!patched.refusal.reason.empty()) {
      *verdict = {patched.refusal.status, patched.refusal.reason};
      return "";
    }
    text = std::move(patched.text);
  } else {
    text = change.body;
  }
  refusal = CheckValid(text);
  if (!refusal.reason.empty()) {
    *verdict = {refusal.status, refusal.reason};
    return "";
  }
  if (RevisionOf(text) <= revision_) {
    *verdict = {400, "revision: is not above " + std::to_string(revision_)};
    return "";
  }
  *verdict = {0, ""};
  return text;
}

Register::Verdict Register::CheckSize(size_t bytes) {
  if (bytes <= kMaxDocumentBytes) return {};
  return {413, "the document has " + std::to_string(bytes) + " bytes, more than the " +
                   std::to_string(kMaxDocumentBytes) + " that are taken"};
}

Register::Verdict Register::Judge(const Change& change) const {
  if (std::find(taken_.begin(), taken_.end(), change.Digest()) != taken_.end()) return {200, ""};
  Verdict verdict = CheckSize(change.body.size());
  if (verdict.status != 0) return verdict;
  std::string text = Candidate(change, &verdict);
  return verdict.status != 0 ? verdict : CheckSize(text.size());
}

bool Register::Apply(const Change& change) {
  uint64_t digest = change.Digest();
  if (std::find(taken_.begin(), taken_.end(), digest) != taken_.end()) return false;
  Verdict verdict;
  std::string text = Candidate(change, &verdict);
  if (verdict.status != 0) return false;
  base_ = change.patch ? revision_ : 0;
  text_ = std::move(text);
  revision_ = RevisionOf(text_);
  newest_ = change;
  taken_.push_back(digest);
  if (taken_.size() > kTaken) taken_.erase(taken_.begin());
  return true;
}

}  // namespace elderkeel::configuration
