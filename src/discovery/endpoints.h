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

// A server as listed by the platform.
struct Server {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::string revision;
  int32_t capacity = 1;
  bool draining = false;
  int32_t slow_start_left_ms = 0;     // left of its slow start when this was read or sent
  base::Millis slow_start_until = 0;  // end of its slow start on this process's clock; not sent

  // Sets `slow_start_until` from `slow_start_left_ms`, which was just read or received.
  void SetSlowStartEnd(base::Millis now) {
    slow_start_until = slow_start_left_ms > 0 ? now + slow_start_left_ms : 0;
  }
  // Whether the newer entry `o` shows no change. A slow start that merely progresses is no change;
  // one that ends later than before, by more than the slack, is.
  bool IsUnchanged(const Server& o) const {
    return id == o.id && service == o.service && address == o.address && zone == o.zone &&
           revision == o.revision && capacity == o.capacity && draining == o.draining &&
           (o.slow_start_left_ms == 0 ||
            o.slow_start_until <= slow_start_until + kSlowStartSlackMs);
  }
  template <class A>
  void serialize(A& a) {
    a(transport::ShortString(id), transport::ShortString(service), transport::ShortString(address),
      transport::ShortString(zone), transport::ShortString(revision), capacity, draining,
      slow_start_left_ms);
  }

  // Reading and sending a list shift the computed end of a slow start; this much is ignored.
  static constexpr base::Millis kSlowStartSlackMs = 400;
};

// The server list as published by a catalog reader. `epoch` increases with each assignment of a
// reader, `sequence` with each change that the reader sees.
struct EndpointSnapshot {
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::vector<Server> servers;  // sorted by id

  bool IsNewerThan(uint64_t e, uint64_t s) const { return epoch != e ? epoch > e : sequence > s; }
};

// One page of the platform's server list.
struct Page {
  std::vector<Server> servers;
  std::string next;  // token of the next page; empty on the last page
};
// Parses a page of the platform's list. Error: kProtocolError if the page is truncated, lacks a
// required field, has one of the wrong type, or has an address that is not IPv4 with a port.
base::Result<Page> ParsePage(std::string_view text);

// Whether the newer of two readings shows no change.
bool IsUnchanged(const std::vector<Server>& older, const std::vector<Server>& newer);
// The ids that differ between two readings, both sorted by id.
std::vector<std::string> ChangedServerIds(const std::vector<Server>& older,
                                          const std::vector<Server>& newer);

// Reads the server list page by page. The caller makes the HTTP calls. If any page can't be read,
// the whole reading fails: a partial list would look as if servers were gone.
class EndpointListReader {
 public:
  // Begins a reading and returns the request target of the first call.
  std::string Start();
  // Adds a page from the HTTP answer of a call. Returns the target of the next call; empty when the
  // reading is complete. Errors: kUnavailable if the status isn't 200; kProtocolError if the page
  // is invalid, there are too many pages, or pages contradict each other. An error ends the
  // reading.
  base::Result<std::string> AddPage(int status, std::string_view body);
  // Ends the reading and returns the servers, sorted by id. Slow starts are counted from `now`.
  // REQUIRES: AddPage returned an empty target.
  std::vector<Server> Finish(base::Millis now);
  // Whether a reading is under way.
  bool active() const { return active_; }
  void Abort() { active_ = false; }

 private:
  // Sorts the servers by id and merges entries of the same server. Returns the reason of a failure;
  // empty on success.
  std::string MergeDuplicates();

  bool active_ = false;
  int pages_ = 0;  // added so far, without the last
  std::vector<Server> servers_;
};

}  // namespace elderkeel::discovery
