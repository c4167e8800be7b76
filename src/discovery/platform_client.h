#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/loop.h"
#include "discovery/endpoints.h"
#include "http/http_client.h"

namespace elderkeel::discovery {

// The result of reading the platform's server list. Its age counts from the first request, not from
// the last answer.
struct Reading {
  std::vector<Server> servers;
  base::Millis requested_at = 0;  // when the first page was requested
};

// Reads the platform's server list over HTTP, one reading at a time.
class PlatformClient {
 public:
  using Done = std::function<void(base::Result<Reading>)>;

  PlatformClient(base::Loop* loop, const base::Address& address) : loop_(loop), address_(address) {}

  // Whether a reading is under way.
  bool busy() const { return list_reader_.active(); }
  // Reads the list and passes it, or an error, to `done`. Does nothing if a reading is under way.
  void Read(Done done);
  // Calls made so far. Each one counts against the platform's rate limit, which all nodes share.
  uint64_t calls() const { return calls_; }

 private:
  void Call(const std::string& target);

  base::Loop* loop_;
  base::Address address_;
  EndpointListReader list_reader_;
  Done done_;
  std::unique_ptr<http::HttpConnection> connection_;
  base::Timer timer_;
  base::Millis requested_at_ = 0;  // when the reading under way began
  uint64_t calls_ = 0;
  uint64_t current_call_ = 0;  // outcomes of other calls are ignored
};

}  // namespace elderkeel::discovery
