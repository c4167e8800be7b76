#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "soak/stall_detector.h"

namespace elderkeel::soak {

// The events of a run as the clients, the servers, the platform and the operator recorded them. The
// checkers evaluate them after the run. All times are milliseconds of the machine's steady clock.

// One request as recorded by its client.
struct Request {
  std::string attempt_id = "";
  std::string proxy = "";
  std::string method = "";
  std::string path = "";
  bool effectful = false;
  base::Millis sent_at = 0;
  base::Millis deadline = 0;
  base::Millis ended_at = 0;
  // When the client closed its connection before the response; -1 if it did not.
  base::Millis client_closed_at = -1;
  bool on_reused_connection = false;  // the connection had served a request before
  bool any_byte_sent = false;
  int status = 0;         // 0 without a complete response
  std::string seal = "";  // the response's Elderkeel-Server-Seal; empty without one
  std::string body = "";
  std::string reason = "";  // why there is no complete response
};

// One execution of a request by one server, as recorded by that server.
struct Execution {
  std::string attempt_id = "";
  std::string server = "";
  std::string service = "";
  std::string method = "";
  std::string path = "";
  base::Millis began_at = 0;
  base::Millis responded_at = -1;          // -1 without a response
  base::Millis connection_closed_at = -1;  // closed before the response; -1 if it was not
  base::Millis work_ends_at = 0;           // planned end of the work
  bool aborted_by_server = false;          // the server ended, or sent no complete response
};

// A fault, planned operation or state change of a process, a server or the platform.
struct Disturbance {
  enum class Kind {
    kTerminate,  // SIGTERM, by the platform
    kKill,
    kFreeze,  // SIGSTOP
    kResume,  // SIGCONT
    kReload,  // SIGHUP with changed settings
    kStart,
    kExit,             // `detail`: the exit code or signal
    kServerDrains,     // the platform's list shows the server as draining
    kServerGone,       // the server has ended
    kServerSlowStart,  // the server starts with a slow start of `detail` milliseconds
    kPlatformCut,      // the platform answers the controllers with errors only
    kPlatformHealed,   // the platform answers the controllers with the list again
  };
  Kind kind = Kind::kStart;
  std::string target = "";  // name of the process, id of the server, or "platform"
  base::Millis at = 0;
  std::string detail = "";
};

// The kind's name in the report.
const char* KindName(Disturbance::Kind kind);
// Whether the disturbance is an unplanned fault of a process. Rules that allow an exception for
// unplanned faults don't apply around it.
bool IsUnplanned(Disturbance::Kind kind);

// An operator's change of the configuration.
struct Change {
  int64_t revision = 0;
  base::Millis sent_at = 0;
  int status = 0;  // 0 if no controller gave a definite answer: the change may have been committed
};

// Everything that was recorded in a run.
struct RecordData {
  std::vector<Request> requests;
  std::vector<Execution> executions;
  std::vector<Disturbance> disturbances;
  std::vector<Change> changes;
  int64_t revision_at_end = -1;  // read from the controllers after the run; -1 if unreadable
  std::vector<Stall> stalls;
  base::Millis began_at = 0;  // of the client traffic
  base::Millis ended_at = 0;
};

// Collects the events of a run. Thread-safe, except for data().
class Record {
 public:
  void Add(Request request) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.requests.push_back(std::move(request));
  }
  // Returns the execution's index, for OnResponded() and OnConnectionClosed().
  size_t Add(Execution execution) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.executions.push_back(std::move(execution));
    return data_.executions.size() - 1;
  }
  void OnResponded(size_t execution, base::Millis now) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.executions[execution].responded_at = now;
  }
  void OnConnectionClosed(size_t execution, base::Millis now) {
    std::lock_guard<std::mutex> lock(mutex_);
    data_.executions[execution].connection_closed_at = now;
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
  // Called when a server ends. Marks its executions as aborted whose response may not have been
  // sent completely: those without a response and those that responded less than kResponseSendMs
  // ago.
  void AbortUnsent(const std::string& server, base::Millis now) {
    std::lock_guard<std::mutex> lock(mutex_);
    for (Execution& execution : data_.executions) {
      bool sent = execution.responded_at >= 0 && execution.responded_at + kResponseSendMs <= now;
      if (execution.server == server && !sent) execution.aborted_by_server = true;
    }
  }
  // The number of requests so far.
  size_t requests() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return data_.requests.size();
  }
  // REQUIRES: no other thread adds events while the caller reads or changes the vectors. The other
  // fields belong to the main thread.
  RecordData& data() { return data_; }

 private:
  // Time within which a response leaves the server's process.
  static constexpr base::Millis kResponseSendMs = 50;

  mutable std::mutex mutex_;
  RecordData data_;
};

}  // namespace elderkeel::soak
