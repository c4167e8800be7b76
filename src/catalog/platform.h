#pragma once

#include <functional>
#include <memory>

#include "base/loop.h"
#include "catalog/catalog.h"
#include "wire/http_client.h"

namespace elderkeel::catalog {

// Reads the platform's list over HTTP, one reading at a time.
class Platform {
 public:
  using Done = std::function<void(base::Result<std::vector<Server>>)>;

  Platform(base::Loop* loop, const base::Address& address) : loop_(loop), address_(address) {}

  bool busy() const { return reading_.active(); }
  void Read(Done done);
  // Calls made so far; each one is counted against a rate that all nodes share.
  uint64_t calls() const { return calls_; }

 private:
  void Call(const std::string& target);

  base::Loop* loop_;
  base::Address address_;
  Reading reading_;
  Done done_;
  std::unique_ptr<wire::HttpConnection> connection_;
  base::Timer timer_;
  uint64_t calls_ = 0;
  uint64_t current_ = 0;  // the call whose outcome counts
};

}  // namespace elderkeel::catalog
