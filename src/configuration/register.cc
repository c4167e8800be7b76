#include "configuration/register.h"

#include <nettle/sha2.h>

#include <algorithm>

namespace elderkeel::configuration {
namespace {
constexpr const char* kNothing = R"({"revision":0,"route-list":[],"service-list":[]})";
}  // namespace

Change::Identity Change::Identify() const {
  std::array<uint8_t, 9> head{};
  head[0] = patch ? 1 : 0;
  for (size_t i = 0; i < 8; ++i) {
    head[i + 1] = static_cast<uint8_t>(static_cast<uint64_t>(if_match) >> (8 * i));
  }
  sha256_ctx sha;
  sha256_init(&sha);
  sha256_update(&sha, head.size(), head.data());
  sha256_update(&sha, body.size(), reinterpret_cast<const uint8_t*>(body.data()));
  Identity identity;
  sha256_digest(&sha, identity.size(), identity.data());
  return identity;
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

Register::Verdict Register::CheckSize(size_t bytes) {
  if (bytes <= kMaxDocumentBytes) return {};
  return {413, "the document has " + std::to_string(bytes) + " bytes, more than the " +
                   std::to_string(kMaxDocumentBytes) + " that are taken"};
}

Register::Verdict Register::Judge(const Change& change) const {
  auto at =
      std::lower_bound(taken_.begin(), taken_.end(), change.if_match,
                       [](const Taken& t, int64_t if_match) { return t.if_match < if_match; });
  if (at != taken_.end() && at->if_match == change.if_match && at->identity == change.Identify()) {
    return {200, ""};
  }
  Verdict verdict = CheckSize(change.body.size());
  if (verdict.status != 0) return verdict;
  Candidate candidate = Consider(change, &verdict);
  // No change on a version below 0 was ever taken.
  if (verdict.status == 412 && change.if_match >= 0 && change.if_match < known_from_) {
    return {503, "so old a change may be one that was taken"};
  }
  if (verdict.status != 0) return verdict;
  if (candidate.fold) {
    // Only near the bound must the document be written to know its size.
    bool near = text_.SizeAtMost() + change.body.size() > kMaxDocumentBytes;
    if (near) verdict = CheckSize(ApplyPatch(text(), change.body).text.size());
  } else {
    verdict = CheckSize(candidate.text.size());
  }
  if (verdict.status == 0 && !change.patch) judged_ = Judged{candidate.revision, change};
  return verdict;
}

bool Register::Apply(const Change& change) {
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
  patch_ = change.patch ? change.body : "";
  taken_.push_back({change.if_match, change.Identify()});
  if (taken_.size() > kTaken) {
    taken_.erase(taken_.begin());
    known_from_ = taken_.front().if_match;
  }
  return true;
}

}  // namespace elderkeel::configuration
