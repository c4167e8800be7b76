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

Register::Verdict Register::Judge(const Change& change) const {
  auto at =
      std::lower_bound(taken_.begin(), taken_.end(), change.if_match,
                       [](const Taken& t, int64_t if_match) { return t.if_match < if_match; });
  if (at != taken_.end() && at->if_match == change.if_match && at->identity == change.Identify()) {
    return {200, ""};
  }
  Verdict verdict;
  Candidate(change, &verdict);
  if (verdict.status == 412 && change.if_match < known_from_) {
    return {503, "so old a change may be one that was taken"};
  }
  return verdict;
}

bool Register::Apply(const Change& change) {
  Verdict verdict;
  std::string text = Candidate(change, &verdict);
  if (verdict.status != 0) return false;
  base_ = change.patch ? revision_ : 0;
  text_ = std::move(text);
  revision_ = RevisionOf(text_);
  patch_ = change.patch ? change.body : "";
  taken_.push_back({change.if_match, change.Identify()});
  if (taken_.size() > kTaken) {
    taken_.erase(taken_.begin());
    known_from_ = taken_.front().if_match;
  }
  return true;
}

}  // namespace elderkeel::configuration
