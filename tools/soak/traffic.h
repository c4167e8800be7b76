#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/record.h"
#include "soak/schedule.h"
#include "soak/world.h"

namespace elderkeel::soak {

// The platform's choice of proxies: it asks each whether it is ready, each second; two misses take
// it out, and if fewer than half of a zone are in, it uses all of them. On a thread of its own.
class Readiness {
 public:
  Readiness(const Options& options, const Addresses& addresses);
  ~Readiness();
  // A proxy of the zone for a new connection.
  int Choose(int zone, uint64_t random) const;
  bool AllReady() const;

 private:
  void Run();
  const Options& options_;
  const Addresses& addresses_;
  std::vector<std::atomic<int>> misses_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// Clients, each on a thread of its own: one request after the other, on a connection that is kept
// until the proxy closes it. One request in eight takes its server 0.3 to 2.2 s. If clients vary,
// one of four leaves within 0.3 s from one request in four, and one of four lets its connection
// rest, up to four fifths of the idle time-out, before one request in sixteen.
class Clients {
 public:
  Clients(const Options& options, const Addresses& addresses, const Readiness& readiness,
          Record* record);
  ~Clients();
  // Each client ends with its request under way.
  void Stop() { stop_ = true; }
  bool ended() const { return running_ == 0; }

 private:
  void Run(int number);
  // Waits, or until all are to stop.
  void Rest(base::Millis span) const;
  const Options& options_;
  const Addresses& addresses_;
  const Readiness& readiness_;
  Record* record_;
  std::atomic<bool> stop_{false};
  std::atomic<int> running_;
  std::vector<std::thread> threads_;
};

// One operator, on a thread of its own: sends the first configuration until it is taken, then one
// change after the other, which shortens a route's time, takes a route away or brings it back.
class Operator {
 public:
  Operator(const Options& options, const Addresses& addresses, Record* record);
  ~Operator();
  // The first configuration has been acknowledged.
  bool configured() const { return configured_; }
  // The revision that is read back; -1 if none is.
  int64_t ReadBack();

 private:
  void Run();
  std::string Document(int64_t revision) const;
  // The status of a clear answer, from whichever controller gives it; 0 if none does.
  int Send(const std::string& method, int64_t base, const std::string& body, std::string* answer);

  const Options& options_;
  const Addresses& addresses_;
  Record* record_;
  std::atomic<bool> configured_{false};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace elderkeel::soak
