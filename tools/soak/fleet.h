#pragma once

#include <sys/types.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "soak/record.h"
#include "soak/schedule.h"
#include "soak/stall_watch.h"
#include "soak/world.h"

namespace elderkeel::soak {

// The processes of a run, and what the platform does with them: it starts them, sends SIGTERM and,
// when the grace time is over, SIGKILL, and starts again what has ended. On one thread.
class Fleet {
 public:
  // `folder`: for settings and data; `logs`: for what the processes print.
  Fleet(const Options& options, const Addresses& addresses, std::string folder, std::string logs,
        Record* record);
  ~Fleet();

  void StartAll();
  // Signals; nothing happens where no process runs.
  void Terminate(const std::string& name);
  void SignalAgain(const std::string& name);
  void Kill(const std::string& name);
  void Freeze(const std::string& name, base::Millis for_ms);
  void Reload(const std::string& name);
  // A thread of the soak itself without which nothing can be judged.
  void Watch(pid_t own_thread) { own_wait_meter_ = WaitMeter::OfOwnThread(own_thread); }
  // Takes in who has ended, and does what is due.
  void Poll();
  // Ends all of them, in order as far as they do so in their grace time.
  void StopAll();

  static std::string ZoneOf(const std::string& name);
  std::vector<std::string> Proxies() const;

 private:
  struct Process {
    std::string name;
    pid_t pid = -1;  // -1 while none runs
    base::Millis kill_at = -1;
    base::Millis start_at = -1;
    base::Millis thaw_at = -1;
    int starts = 0;
    WaitMeter wait_meter;
  };

  void Start(Process* process);
  void WriteSettings(const Process& process, bool bootstrap, int64_t connect_ms);
  void Note(Disturbance::Kind kind, const std::string& name, const std::string& detail = "");
  Process* Running(const std::string& name);
  // Notes whom the machine gave no processor for long.
  void NoteStalls(base::Millis now);
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
