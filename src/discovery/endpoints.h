#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "transport/frame.h"

namespace elderkeel::discovery {

// A server as the platform's list shows it.
struct Server {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::string revision;
  int32_t capacity = 1;
  bool draining = false;
  int32_t warmup_left_ms = 0;  // when this was read or sent
  base::Millis warm_at = 0;    // the same on this process's own clock; not sent

  // Fixes on this process's clock when its slow start ends, by what was just read or received.
  void Anchor(base::Millis now) { warm_at = warmup_left_ms > 0 ? now + warmup_left_ms : 0; }
  // The same, and not longer in slow start than was known: a slow start that only goes on is no
  // change.
  bool Same(const Server& o) const {
    return id == o.id && service == o.service && address == o.address && zone == o.zone &&
           revision == o.revision && capacity == o.capacity && draining == o.draining &&
           (o.warmup_left_ms == 0 || o.warm_at <= warm_at + kWarmSlackMs);
  }
  template <class A>
  void serialize(A& a) {
    a(transport::Short(id), transport::Short(service), transport::Short(address),
      transport::Short(zone), transport::Short(revision), capacity, draining, warmup_left_ms);
  }

  static constexpr base::Millis kWarmSlackMs = 400;
};

// The list as one catalog reader read it. `epoch` rises with each reader, `sequence` with each
// change that a reader sees.
struct EndpointSnapshot {
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::vector<Server> servers;  // by id

  bool NewerThan(uint64_t e, uint64_t s) const { return epoch != e ? epoch > e : sequence > s; }
};

struct Page {
  std::vector<Server> servers;
  std::string next;  // empty on the last page
};
// A page of the platform's list. Error: kProtocolError, for anything that is not complete and of
// the right types.
base::Result<Page> ParsePage(std::string_view text);

// Whether the newer of two readings shows what the older one showed.
bool SameServers(const std::vector<Server>& older, const std::vector<Server>& newer);
// The ids that differ between two readings, both sorted by id.
std::vector<std::string> Differences(const std::vector<Server>& older,
                                     const std::vector<Server>& newer);

// Reads the list page by page. Pure: the caller does the calls. A list of which a page could not be
// read is no list.
class EndpointListReader {
 public:
  // The target of the first call.
  std::string Start();
  // Takes a page's answer. The target of the next call; empty when the reading is complete. Errors:
  // kUnavailable, kProtocolError.
  base::Result<std::string> Take(int status, std::string_view body);
  // What was read; `now` anchors how long servers stay in slow start.
  std::vector<Server> Finish(base::Millis now);
  bool active() const { return active_; }
  void Abort() { active_ = false; }

 private:
  // Sorts by id and makes one of entries of the same server; says what is wrong, if anything is.
  std::string Merge();

  bool active_ = false;
  int pages_ = 0;
  std::vector<Server> servers_;
};

}  // namespace elderkeel::discovery
