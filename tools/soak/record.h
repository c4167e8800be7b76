#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "soak/stall_watch.h"

namespace elderkeel::soak {

// What happened in a run, as the clients, the servers, the platform and the operator saw it. All
// times are of the machine's steady clock, in milliseconds.

// A request, as its client saw it.
struct Request {
  std::string attempt_id = "";
  std::string proxy = "";
  std::string method = "";
  std::string path = "";
  bool effectful = false;
  base::Millis sent_at = 0;
  base::Millis deadline = 0;
  base::Millis ended_at = 0;
  base::Millis left_at = -1;  // the client closed its connection before the answer; -1 for not
  bool kept = false;          // on a connection that had served a request before
  bool any_byte_sent = false;
  int status = 0;         // 0 where no whole answer came
  std::string seal = "";  // of the answer
  std::string body = "";
  std::string reason = "";  // where no whole answer came
};

// What one server did for one request.
struct ServerRun {
  std::string attempt_id = "";
  std::string server = "";
  std::string service = "";
  std::string method = "";
  std::string path = "";
  base::Millis began_at = 0;
  base::Millis answered_at = -1;  // -1 for not
  base::Millis dropped_at = -1;   // its connection was closed before the answer; -1 for not
  base::Millis work_ends_at = 0;  // when its work would end
  bool server_broke_off = false;  // the server itself ended before, or gave no whole answer
};

// Trouble, planned work and changes.
struct Disturbance {
  enum class Kind {
    kTerminate,  // SIGTERM, by the platform
    kKill,
    kFreeze,
    kThaw,
    kReload,  // SIGHUP with changed settings
    kStart,
    kExit,          // the process is gone
    kServerDrains,  // the list shows it
    kServerGone,
    kServerCold,  // starts, and is in slow start
    kPlatformCut,
    kPlatformHealed,
  };
  Kind kind = Kind::kStart;
  std::string target = "";
  base::Millis at = 0;
  std::string detail = "";
};

const char* KindName(Disturbance::Kind kind);
// No planned work: rules with an excuse for it don't hold around it.
bool IsUnplanned(Disturbance::Kind kind);

// An operator's change of the configuration.
struct Change {
  int64_t revision = 0;
  base::Millis sent_at = 0;
  int status = 0;  // 0 for no clear answer
};

struct RecordData {
  std::vector<Request> requests;
  std::vector<ServerRun> runs;
  std::vector<Disturbance> disturbances;
  std::vector<Change> changes;
  int64_t revision_at_end = -1;  // as read back; -1 for none
  std::vector<Stall> stalls;
  base::Millis began_at = 0;
  base::Millis ended_at = 0;
};

// Collects from all threads.
class Record {
 public:
  void Add(Request request) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.requests.push_back(std::move(request));
  }
  // Returns the run's number, for OnAnswered().
  size_t Add(ServerRun run) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.runs.push_back(std::move(run));
    return data_.runs.size() - 1;
  }
  void OnAnswered(size_t run, base::Millis now) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.runs[run].answered_at = now;
  }
  void OnDropped(size_t run, base::Millis now) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.runs[run].dropped_at = now;
  }
  void Add(Disturbance disturbance) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.disturbances.push_back(std::move(disturbance));
  }
  void Add(Stall stall) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.stalls.push_back(stall);
  }
  void Add(Change change) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.changes.push_back(change);
  }
  // A server ends: it broke off all runs whose answers have not gone out.
  void BreakOff(const std::string& server, base::Millis now) {
    std::lock_guard<std::mutex> lock(mutex_);
    for (ServerRun& run : data_.runs) {
      bool sent = run.answered_at >= 0 && run.answered_at + kSendMs <= now;
      if (run.server == server && !sent) run.server_broke_off = true;
    }
  }
  size_t requests() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return data_.requests.size();
  }
  // REQUIRES: all threads that add have ended.
  RecordData& data() { return data_; }

 private:
  static constexpr base::Millis kSendMs = 50;  // for an answer to leave the server's process

  mutable std::mutex mutex_;
  RecordData data_;
};

}  // namespace elderkeel::soak
