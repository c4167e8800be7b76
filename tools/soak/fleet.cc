#include "soak/fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

namespace elderkeel::soak {
namespace {

using Kind = Disturbance::Kind;

constexpr base::Millis kGraceMs = 6000;
constexpr base::Millis kRestartMs = 500;  // after the end of a process
constexpr base::Millis kPollMs = 10;
constexpr base::Millis kStallCheckMs = 500;
// Values of elderkeel.connect-ms; each Reload() switches to the other one.
constexpr int kConnectMs[] = {150, 300};

}  // namespace

Fleet::Fleet(const Options& options, const Addresses& addresses, std::string folder,
             std::string logs, Record* record)
    : options_(options),
      addresses_(addresses),
      folder_(std::move(folder)),
      logs_(std::move(logs)),
      record_(record) {
  for (int i = 0; i < options.controllers; ++i) {
    std::string name = "c" + std::to_string(i);
    processes_[name].name = name;
  }
  for (int i = 0; i < options.proxies; ++i) {
    std::string name = "p" + std::to_string(i);
    processes_[name].name = name;
  }
}

Fleet::~Fleet() {
  for (auto& [name, process] : processes_) {
    if (process.pid < 0) continue;
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
  }
}

std::string Fleet::ZoneOf(const std::string& name) {
  return "z" + std::to_string(std::stoi(name.substr(1)) % 2);
}

std::vector<std::string> Fleet::Proxies() const {
  std::vector<std::string> proxies;
  for (const auto& [name, process] : processes_) {
    if (name[0] == 'p') proxies.push_back(name);
  }
  return proxies;
}

void Fleet::WriteSettings(const Process& process, bool bootstrap, int64_t connect_ms) {
  int number = std::stoi(process.name.substr(1));
  bool controller = process.name[0] == 'c';
  base::Address control = addresses_.Control(number);
  std::ofstream file(folder_ + "/" + process.name + ".conf");
  file << "node-name=" << process.name << "\nzone=" << ZoneOf(process.name) << "\nregion=r"
       << "\nzones.z0=r\nzones.z1=r\nbootstrap=" << (bootstrap ? "true" : "false")
       << "\nport-range=" << addresses_.base_port + 10 << "," << addresses_.base_port + 19
       << "\nseed-list=";
  for (int i = 0; i < std::min(3, options_.controllers); ++i) {
    file << (i ? "," : "") << addresses_.Control(i).ToString();
  }
  file << "\ncontracts=base,drain,config,cost,retry,recover,health,pool,places"
       << "\ntolerance.machines=1\nbounds.grace-s=6\nbounds.drain-ms=3000"
       << "\nbounds.contact-ms=4000\nbounds.apply-ms=3000\nbounds.retry-ratio=0.2"
       << "\nbounds.retry-slack=100\nbounds.warmup-excess=1.5\nbounds.warmup-slack=8"
       << "\nplatform.rate-per-s=52\nplatform.max-lag-ms=800\nlimits.memory-mb=260"
       << "\nlimits.max-fds=4100\nelderkeel.log-level=debug\nelderkeel.connect-ms=" << connect_ms
       << "\n";
  if (controller) {
    file << "ip=" << control.ip << "\nlisteners.control=" << control.ToString()
         << "\nplatform.address=" << addresses_.PlatformOfControllers().ToString()
         << "\ndata-dir=" << folder_ << "/data-" << process.name << "\n";
  } else {
    file << "ip=" << addresses_.ProxyListener(number).ip
         << "\nlisteners.front=" << addresses_.ProxyListener(number).ToString()
         << "\nlisteners.readiness=" << addresses_.Readiness(number).ToString()
         << "\nplatform.address=" << addresses_.PlatformOfProxies().ToString() << "\n";
  }
}

void Fleet::AddDisturbance(Kind kind, const std::string& name, const std::string& detail) {
  record_->Add(Disturbance{kind, name, base::SteadyMillis(), detail});
}

void Fleet::Start(Process* process) {
  WriteSettings(*process, process->starts == 0, kConnectMs[0]);
  ++process->starts;
  process->start_at = process->kill_at = process->resume_at = -1;
  std::string program = options_.programs + (process->name[0] == 'c' ? "/controller" : "/proxy");
  std::string settings = folder_ + "/" + process->name + ".conf";
  std::string log = logs_ + "/" + process->name + ".log";
  process->pid = fork();
  if (process->pid == 0) {
    // A process group of its own keeps Ctrl-C from the process: the soak receives it and shuts the
    // processes down in order. The kernel kills the process if the soak dies.
    setpgid(0, 0);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(program.c_str(), program.c_str(), "run", "--settings", settings.c_str(), nullptr);
    _exit(127);
  }
  process->wait_meter = WaitMeter::OfProcess(process->pid);
  AddDisturbance(Kind::kStart, process->name);
}

void Fleet::StartAll() {
  for (auto& [name, process] : processes_) Start(&process);
}

Fleet::Process* Fleet::FindRunning(const std::string& name) {
  auto found = processes_.find(name);
  return found == processes_.end() || found->second.pid < 0 ? nullptr : &found->second;
}

void Fleet::Terminate(const std::string& name) {
  Process* process = FindRunning(name);
  if (!process || process->kill_at >= 0) return;
  AddDisturbance(Kind::kTerminate, name);
  kill(process->pid, SIGTERM);
  process->kill_at = base::SteadyMillis() + kGraceMs;
}

void Fleet::SignalAgain(const std::string& name) {
  Process* process = FindRunning(name);
  if (!process || process->kill_at < 0) return;
  kill(process->pid, SIGTERM);
  Reload(name);
}

void Fleet::Kill(const std::string& name) {
  Process* process = FindRunning(name);
  if (!process) return;
  AddDisturbance(Kind::kKill, name);
  kill(process->pid, SIGKILL);
}

void Fleet::Freeze(const std::string& name, base::Millis for_ms) {
  Process* process = FindRunning(name);
  if (!process || process->resume_at >= 0) return;
  AddDisturbance(Kind::kFreeze, name);
  kill(process->pid, SIGSTOP);
  process->resume_at = base::SteadyMillis() + for_ms;
}

void Fleet::Reload(const std::string& name) {
  Process* process = FindRunning(name);
  if (!process) return;
  WriteSettings(*process, false, kConnectMs[++reloads_ % 2]);
  AddDisturbance(Kind::kReload, name);
  kill(process->pid, SIGHUP);
}

void Fleet::OnExit(Process* process, int status) {
  std::string detail = WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                                         : "signal " + std::to_string(WTERMSIG(status));
  AddDisturbance(Kind::kExit, process->name, detail);
  process->pid = -1;
  process->kill_at = process->resume_at = -1;
  if (!stopping_) process->start_at = base::SteadyMillis() + kRestartMs;
}

void Fleet::RecordStalls(base::Millis now) {
  if (now < next_stall_check_at_) return;
  next_stall_check_at_ = now + kStallCheckMs;
  auto add_stall = [&](const std::string& name, base::Millis waited_ms) {
    if (waited_ms < StallDetector::kMinMs) return;
    record_->Add(Stall{now - kStallCheckMs, kStallCheckMs, name, waited_ms});
  };
  for (auto& [name, process] : processes_) {
    if (process.pid >= 0) add_stall(name, process.wait_meter.TakeWaitedMs());
  }
  add_stall("", own_wait_meter_.TakeWaitedMs());
}

void Fleet::Poll() {
  base::Millis now = base::SteadyMillis();
  RecordStalls(now);
  for (auto& [name, process] : processes_) {
    int status = 0;
    if (process.pid >= 0 && waitpid(process.pid, &status, WNOHANG) == process.pid) {
      OnExit(&process, status);
    }
    if (process.pid >= 0 && process.resume_at >= 0 && now >= process.resume_at) {
      process.resume_at = -1;
      kill(process.pid, SIGCONT);
      AddDisturbance(Kind::kResume, name);
    }
    // Kills later than the platform would, so that the record shows which processes exceeded the
    // grace time.
    if (process.pid >= 0 && process.kill_at >= 0 && now >= process.kill_at + kRestartMs) {
      kill(process.pid, SIGKILL);
    }
    if (process.pid < 0 && process.start_at >= 0 && now >= process.start_at) Start(&process);
  }
}

void Fleet::StopAll() {
  stopping_ = true;
  for (auto& [name, process] : processes_) {
    process.start_at = -1;
    if (process.resume_at >= 0 && process.pid >= 0) kill(process.pid, SIGCONT);
    process.resume_at = -1;
    Terminate(name);
  }
  auto running = [this] {
    return std::any_of(processes_.begin(), processes_.end(),
                       [](const auto& process) { return process.second.pid >= 0; });
  };
  while (running()) {
    Poll();
    usleep(kPollMs * 1000);
  }
}

}  // namespace elderkeel::soak
