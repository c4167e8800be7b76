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

constexpr int64_t kDefaultTtlS = 1;  // default time to live of an answer

// The query of a client's call: the host that it wants to reach, and where the client is located.
struct Resolution {
  std::string label;
  std::string region;
  std::string zone;

  // Parses the part of the target behind the '?'. Unknown parameters are ignored. An error if a
  // parameter is malformed or given twice, if there is no label, or neither region nor zone.
  static base::Result<Resolution> Parse(std::string_view query);
};

// Answers clients' calls with the addresses of proxies that can serve them, nearest first. A
// controller's directory server calls it for each request. Its answers are computed from the
// membership at each call; only the random generator that picks the addresses keeps state between
// calls.
class Directory {
 public:
  struct Options {
    size_t max_addresses = 64;  // in an answer
    int64_t ttl_s = kDefaultTtlS;
    int64_t other_region_ttl_s =
        kDefaultTtlS;  // of an answer that sends a client to another region
    // For this long after the start, requests are answered 503 if no usable proxy is known, since
    // the membership may not list the usable ones yet. Later, other proxies are named instead.
    base::Millis startup_wait = 1000;
  };

  Directory(Options options, const membership::Membership* members, uint64_t seed, base::Millis now)
      : options_(options), members_(members), random_(seed), started_(now) {}

  static constexpr std::string_view kPath = "/elderkeel/resolution";
  // Returns the answer to a client's call: 200 with addresses and their time to live, 400 if the
  // query is not valid, 404 or 405 for another path or method, 503 if there is no proxy to name.
  http::Message Answer(base::Millis now, const http::Message& request);

  struct Choice {
    // Empty only if no proxy is known, or if none is usable and the directory has just started.
    std::vector<const membership::Node*> nodes;
    bool in_other_region = false;  // no proxy of the client's own region is usable
  };
  // Chooses the proxies to name in an answer.
  Choice Choose(base::Millis now, const Resolution& resolution);

 private:
  // Regions that have controllers but none that is alive. The states of their proxies can't be
  // relied on.
  std::set<std::string> UnreachableRegions() const;

  Options options_;
  const membership::Membership* members_;
  base::Random random_;
  base::Millis started_;
};

}  // namespace elderkeel::directory
