#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/error.h"

namespace elderkeel::diagnosis {

// What is asked of the fleet's records: about a request, a server, or a version; or of each node,
// how it is (kNode: one line of its state instead of records); or which requests failed
// (kFailures).
struct Question {
  enum class About : uint8_t { kAttempt, kServer, kRevision, kNode, kFailures };
  About about = About::kAttempt;
  std::string value;   // for failures: the route, or empty for all
  std::string zone;    // for failures: of the proxies to ask; empty for all
  int64_t last_s = 0;  // for failures: not older than this; 0 for any age

  // From the query of a call: attempt=..., server=... or revision=...
  static base::Result<Question> Parse(std::string_view query);
  // From the query of a call for failures: route=..., zone=... and last-s=..., all of them
  // optional.
  static base::Result<Question> ParseFailures(std::string_view query);
  bool Matches(std::string_view line) const;
};

struct Query {
  uint64_t nonce = 0;
  Question::About about = Question::About::kAttempt;
  std::string value;
  int64_t last_s = 0;
  template <class A>
  void serialize(A& a) {
    a(nonce, about, value, last_s);
  }
};

// A node's records on the matter. `wall_us`: the node's time of day when its steady clock was 0, so
// that records of several nodes can be set side by side, as well as their clocks agree.
struct Reply {
  uint64_t nonce = 0;
  std::string node;
  int64_t wall_us = 0;
  bool cut = false;  // there was more than a reply holds
  std::vector<std::string> lines;
  uint64_t missing = 0;  // records of failures that the node has lost, or had no room to keep
  template <class A>
  void serialize(A& a) {
    a(nonce, node, wall_us, cut, lines, missing);
  }
};

// The lines of `text` that the question is about, the newest of them if they are many.
Reply Select(const Question& question, std::string_view text);
// The same for failures: those of the route that are young enough at `now_us` of the node's clock.
Reply SelectFailures(const Question& question, std::string_view text, int64_t now_us);

// The value of `key` in a line of key=value pairs; empty if it is not there.
std::string ValueOf(std::string_view line, std::string_view key);

// A node that a question is for.
struct Target {
  std::string address;
  std::string zone;
};

// What may have become of the request that a record is about: "not run", "may have run" or
// "answered". Whoever was left waiting must be told which.
std::string OutcomeOf(std::string_view line);

// One question under way: whom it is for, who was asked, and who has answered. Only so many nodes
// are asked at once, in the order given, and one deadline ends the whole. Pure.
class FleetQuery {
 public:
  FleetQuery(uint64_t nonce, Question question, std::vector<Target> targets, base::Millis deadline)
      : nonce_(nonce),
        question_(std::move(question)),
        targets_(std::move(targets)),
        deadline_(deadline) {}

  // Whom to ask now.
  std::vector<std::string> Next(base::Millis now);
  void Take(const std::string& from, Reply reply) {
    if (reply.nonce == nonce_) replies_[from] = std::move(reply);
  }
  bool Done(base::Millis now) const {
    return now >= deadline_ || replies_.size() >= targets_.size();
  }
  // What each of them is asked.
  Query query() const { return {nonce_, question_.about, question_.value, question_.last_s}; }
  Question::About about() const { return question_.about; }
  // What the node at `address` answered; null if it did not.
  const Reply* Of(const std::string& address) const {
    auto at = replies_.find(address);
    return at == replies_.end() ? nullptr : &at->second;
  }
  // JSON: the records in order of time, a line of conclusion, who did not answer, and who was not
  // asked before the time was over.
  std::string Report() const;

 private:
  uint64_t nonce_;
  Question question_;
  std::vector<Target> targets_;
  std::vector<base::Millis> asked_at_;  // of the first of them: those that were asked
  base::Millis deadline_;
  std::map<std::string, Reply> replies_;
};

}  // namespace elderkeel::diagnosis
