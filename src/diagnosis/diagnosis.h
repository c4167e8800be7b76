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

// A query for records of the fleet: those of a request (kAttempt), a server or a revision of the
// configuration, or the failed requests (kFailures). kNode asks each node for one line about its
// state instead of records.
struct Question {
  enum class About : uint8_t { kAttempt, kServer, kRevision, kNode, kFailures };
  About about = About::kAttempt;
  std::string value;   // the id to search for; for kFailures the route, or empty for all routes
  std::string zone;    // for kFailures: zone of the proxies to ask; empty for all zones
  int64_t last_s = 0;  // for kFailures: maximum age in seconds; 0 for any age

  // Parses the query of a diagnose call: attempt=..., server=... or revision=... Any other key, or
  // a value that is empty, too long or has characters that need escapes, is kInvalidArgument.
  static base::Result<Question> Parse(std::string_view query);
  // Parses the query of a failures call: route=..., zone=... and last-s=..., all optional. Errors
  // as for Parse; last-s must be at least 1.
  static base::Result<Question> ParseFailures(std::string_view query);
  // Whether a record line belongs to the result; ignores `zone` and `last_s`.
  bool Matches(std::string_view line) const;
};

// The message that sends a question to a node. `nonce` matches the replies to the question.
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

// A node's reply to a Query: the matching record lines. `wall_us` is the node's wall clock, in us
// since the Unix epoch, when its steady clock was 0. It lets records of several nodes be ordered by
// time, as precisely as the wall clocks of the nodes agree.
struct Reply {
  uint64_t nonce = 0;
  std::string node;
  int64_t wall_us = 0;
  bool cut = false;  // older lines were left out, since there were more than a reply may hold
  std::vector<std::string> lines;
  uint64_t missing = 0;  // records of failures that the node lost or no longer keeps
  template <class A>
  void serialize(A& a) {
    a(nonce, node, wall_us, cut, lines, missing);
  }
};

// Returns the lines of `text` that match the question; if there are too many, the newest of them.
Reply Select(const Question& question, std::string_view text);
// Like Select, for failures: also leaves out lines older than the question's `last_s`. `now_us`:
// the node's steady clock.
Reply SelectFailures(const Question& question, std::string_view text, int64_t now_us);

// Returns the unquoted value of `key` in a line of key=value pairs; empty if the key is absent.
std::string ValueOf(std::string_view line, std::string_view key);

// A node to send a question to.
struct Target {
  std::string address;
  std::string zone;
};

// Returns the outcome of the request that a record is about: "not run" (no server executed it),
// "may have run" or "answered"; empty for records of other kinds. A client whose request failed
// needs it to decide whether a retry is safe.
std::string OutcomeOf(std::string_view line);

// A question in progress: its targets, which of them were asked, and their replies. Targets are
// asked in the given order, with a bound on the number in flight, until the deadline. It does no
// I/O and reads no clock: the caller sends the query to the nodes that Next returns and passes the
// replies to AddReply.
class FleetQuery {
 public:
  FleetQuery(uint64_t nonce, Question question, std::vector<Target> targets, base::Millis deadline)
      : nonce_(nonce),
        question_(std::move(question)),
        targets_(std::move(targets)),
        deadline_(deadline) {}

  // Returns the addresses of the nodes to ask now, and counts them as asked.
  std::vector<std::string> Next(base::Millis now);
  // Adds a reply. A reply with another nonce belongs to another question and is ignored.
  void AddReply(const std::string& from, Reply reply) {
    if (reply.nonce == nonce_) replies_[from] = std::move(reply);
  }
  // Whether all targets have replied or the deadline has passed.
  bool Done(base::Millis now) const {
    return now >= deadline_ || replies_.size() >= targets_.size();
  }
  // The message for each target.
  Query query() const { return {nonce_, question_.about, question_.value, question_.last_s}; }
  Question::About about() const { return question_.about; }
  // Returns the reply of the node at `address`; null if there is none.
  const Reply* FindReply(const std::string& address) const {
    auto at = replies_.find(address);
    return at == replies_.end() ? nullptr : &at->second;
  }
  // Returns, as JSON, the records ordered by time, a sentence that sums them up, the nodes that did
  // not reply, and the nodes that were not asked before the deadline.
  std::string Report() const;

 private:
  uint64_t nonce_;
  Question question_;
  std::vector<Target> targets_;
  std::vector<base::Millis> asked_at_;  // times for the first targets, which have been asked
  base::Millis deadline_;
  std::map<std::string, Reply> replies_;  // by address
};

}  // namespace elderkeel::diagnosis
