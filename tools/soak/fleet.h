#pragma once

#include <sys/types.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "soak/record.h"
#include "soak/schedule.h"
#include "soak/simulated_platform.h"
#include "soak/stall_detector.h"

namespace elderkeel::soak {

// Runs the proxy and controller processes of a soak run, in the role of the platform: starts them,
// sends SIGTERM and, after the grace time, SIGKILL, and restarts processes that have exited.
// Records each of these events. Not thread-safe: the main thread of the soak makes all calls.
class Fleet {
 public:
  // `folder` receives the settings and data of the processes, `logs` their output. `options`,
  // `addresses` and `record` must outlive the fleet.
  Fleet(const Options& options, const Addresses& addresses, std::string folder, std::string logs,
        Record* record);
  // Kills and reaps the processes that still run.
  ~Fleet();

  void StartAll();
  // These functions signal the process of this name and have no effect if it doesn't run.
  // Terminate() sends SIGTERM and starts the grace time; SignalAgain() sends a further SIGTERM and
  // a SIGHUP to a process within its grace time; Freeze() stops a process for `for_ms`; Reload()
  // changes the settings file and sends SIGHUP.
  void Terminate(const std::string& name);
  void SignalAgain(const std::string& name);
  void Kill(const std::string& name);
  void Freeze(const std::string& name, base::Millis for_ms);
  void Reload(const std::string& name);
  // Includes a thread of the soak itself in the stall check. A stall of that thread counts as a
  // stall of all processes, because platform and servers run on it.
  void MonitorOwnThread(pid_t own_thread) { own_wait_meter_ = WaitMeter::OfOwnThread(own_thread); }
  // Reaps exited processes, resumes, kills and restarts the processes that are due, and records
  // stalls. The caller calls it about every 10 ms.
  void Poll();
  // Sends SIGTERM to all processes and blocks until all have exited; those that exceed the grace
  // time are killed.
  void StopAll();

  // The zone of a process, z0 or z1, by the number in its name.
  static std::string ZoneOf(const std::string& name);
  std::vector<std::string> Proxies() const;

 private:
  struct Process {
    std::string name;
    pid_t pid = -1;               // -1 while none runs
    base::Millis kill_at = -1;    // end of the grace time; -1 without a SIGTERM
    base::Millis start_at = -1;   // time of the restart; -1 for none
    base::Millis resume_at = -1;  // time of the SIGCONT; -1 while not frozen
    int starts = 0;               // only the first start bootstraps the cluster
    WaitMeter wait_meter;
  };

  void Start(Process* process);
  void WriteSettings(const Process& process, bool bootstrap, int64_t connect_ms);
  void AddDisturbance(Disturbance::Kind kind, const std::string& name,
                      const std::string& detail = "");
  // Null if the process is unknown or doesn't run.
  Process* FindRunning(const std::string& name);
  // Records the processes that waited for a processor for at least StallDetector::kMinMs since the
  // last check.
  void RecordStalls(base::Millis now);
  void OnExit(Process* process, int status);

  const Options& options_;
  const Addresses& addresses_;
  std::string folder_;
  std::string logs_;
  Record* record_;
  std::map<std::string, Process> processes_;
  bool stopping_ = false;
  int reloads_ = 0;
  base::Millis next_stall_check_at_ = 0;
  WaitMeter own_wait_meter_;
};

}  // namespace elderkeel::soak
