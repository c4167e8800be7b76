#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "http/http.h"
#include "membership/membership.h"

namespace elderkeel::directory {

constexpr int64_t kTtlS = 1;  // of an answer

// Where a client stands and which host it wants, from the query of its call.
struct Resolution {
  std::string label;
  std::string region;
  std::string zone;

  static base::Result<Resolution> Parse(std::string_view query);
};

// Answers where clients may go: the addresses of proxies that can serve, near ones first. Derived
// from the membership at each call; pure but for the order in which addresses are drawn.
class Directory {
 public:
  struct Options {
    size_t most = 64;  // addresses in an answer
    int64_t ttl_s = kTtlS;
    int64_t ttl_most_s = kTtlS;    // of an answer that sends a client to another region
    base::Millis patience = 1000;  // a directory just started waits so long to hear of its zone
  };

  Directory(Options options, const membership::Membership* members, uint64_t seed, base::Millis now)
      : options_(options), members_(members), random_(seed), started_(now) {}

  static constexpr std::string_view kPath = "/elderkeel/resolution";
  http::Message Answer(base::Millis now, const http::Message& request);

  struct Choice {
    std::vector<const membership::Node*>
        nodes;               // empty only if no proxy is known, or too little as yet
    bool elsewhere = false;  // the client's region can't serve it
  };
  Choice Choose(base::Millis now, const Resolution& resolution);

 private:
  // Regions of whose controllers none is alive: of their proxies nothing is known for sure.
  std::set<std::string> DarkRegions() const;

  Options options_;
  const membership::Membership* members_;
  base::Random random_;
  base::Millis started_;
};

}  // namespace elderkeel::directory
