#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/loop.h"
#include "discovery/endpoints.h"
#include "http/http_client.h"

namespace elderkeel::discovery {

// What the platform's list showed. A reading is as old as its question, not as its answer.
struct Reading {
  std::vector<Server> servers;
  base::Millis asked_at = 0;  // when the first page was asked for
};

// Reads the platform's list over HTTP, one reading at a time.
class PlatformClient {
 public:
  using Done = std::function<void(base::Result<Reading>)>;

  PlatformClient(base::Loop* loop, const base::Address& address) : loop_(loop), address_(address) {}

  bool busy() const { return list_reader_.active(); }
  void Read(Done done);
  // Calls made so far; each one is counted against a rate that all nodes share.
  uint64_t calls() const { return calls_; }

 private:
  void Call(const std::string& target);

  base::Loop* loop_;
  base::Address address_;
  EndpointListReader list_reader_;
  Done done_;
  std::unique_ptr<http::HttpConnection> connection_;
  base::Timer timer_;
  base::Millis asked_at_ = 0;  // of the reading under way
  uint64_t calls_ = 0;
  uint64_t current_ = 0;  // the call whose outcome counts
};

}  // namespace elderkeel::discovery
