#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/record.h"
#include "soak/schedule.h"
#include "soak/simulated_platform.h"

namespace elderkeel::soak {

// Selects proxies for new connections, as the platform's load balancer does. It probes the
// readiness of each proxy once per second on a thread of its own and removes a proxy after two
// failed probes. If fewer than half of a zone's proxies remain, it uses all proxies of the zone.
// Choose() and AllReady() are thread-safe.
class ReadinessProber {
 public:
  ReadinessProber(const Options& options, const Addresses& addresses);
  ~ReadinessProber();
  // The number of a proxy of the zone for a new connection; `random` selects among the candidates.
  int Choose(int zone, uint64_t random) const;
  // Whether the last probe of every proxy succeeded.
  bool AllReady() const;

 private:
  void Run();
  const Options& options_;
  const Addresses& addresses_;
  std::vector<std::atomic<int>> failed_probes_;  // consecutive, by proxy
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// Simulates the clients, each on a thread of its own. A client sends one request after the other on
// a connection that it reuses until the proxy closes it. One request in eight takes its server 0.3
// to 2.2 s. With `Options::varied`, one client in four disconnects within 0.3 s from one request in
// four, and one client in four lets its connection idle, for up to four fifths of the idle
// time-out, before one request in sixteen.
class Clients {
 public:
  Clients(const Options& options, const Addresses& addresses, const ReadinessProber& readiness,
          Record* record);
  ~Clients();
  // Each client ends when its request in flight has ended. Doesn't block.
  void Stop() { stop_ = true; }
  // Whether all clients have ended.
  bool ended() const { return running_ == 0; }

 private:
  void Run(int number);
  // Blocks for `span`, or until Stop() is called.
  void Idle(base::Millis span) const;
  const Options& options_;
  const Addresses& addresses_;
  const ReadinessProber& readiness_;
  Record* record_;
  std::atomic<bool> stop_{false};
  std::atomic<int> running_;
  std::vector<std::thread> threads_;
};

// Simulates an operator on a thread of its own: submits configurations one after the other, each
// with the last acknowledged revision as its base. The revisions alternate the time-out of one
// route, and add and remove another route.
class Operator {
 public:
  Operator(const Options& options, const Addresses& addresses, Record* record);
  ~Operator();
  // Whether a configuration has been acknowledged.
  bool configured() const { return configured_; }
  // Stops the changes and reads the revision in force from the controllers; -1 if none answers.
  int64_t ReadBack();

 private:
  void Run();
  // The JSON document of the revision.
  std::string Document(int64_t revision) const;
  // Sends the request to one controller after the other, following redirects, and returns the first
  // definite status (below 500 and not 404); 0 if no attempt returns one. `answer`, if not null,
  // receives the response body.
  int Send(const std::string& method, int64_t base, const std::string& body, std::string* answer);

  const Options& options_;
  const Addresses& addresses_;
  Record* record_;
  std::atomic<bool> configured_{false};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace elderkeel::soak
