#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "configuration/document.h"
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

  uint64_t Digest() const;
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

  // 413 with the figure for what is larger than is taken.
  static Verdict CheckSize(size_t bytes);
  // Whether `change` may be proposed. What was committed is not refused for its size any more.
  Verdict Judge(const Change& change) const;
  // True if it took effect.
  bool Apply(const Change& change);

  int64_t revision() const { return revision_; }
  // The revision that the newest change was built on; 0 if that change was a whole configuration.
  int64_t base() const { return base_; }
  const std::string& text() const { return text_; }
  const Change& newest() const { return newest_; }
  bool empty() const { return text_.empty(); }

  template <class A>
  void serialize(A& a) {
    a(revision_, base_, text_, newest_, taken_);
  }

 private:
  std::string Candidate(const Change& change, Verdict* verdict) const;

  int64_t revision_ = 0;
  int64_t base_ = 0;
  std::string text_;
  Change newest_;
  std::vector<uint64_t> taken_;  // digests of the last changes that took effect
};

}  // namespace elderkeel::configuration
