#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/random.h"
#include "http/http_client.h"
#include "http/http_server.h"

// Runs the real programs as processes on loopback addresses: three controllers with data folders
// and two proxies. The test itself simulates the platform and one server.

namespace elderkeel {

// Starts, stops and calls the programs. A thread runs the simulated platform and server for as long
// as the fixture exists; the destructor kills all processes that still run.
class Programs : public ::testing::Test {
 protected:
  static constexpr int kControllers = 3, kProxies = 2;

  Programs()
      : dir_(std::filesystem::temp_directory_path() /
             ("elderkeel-" + std::to_string(base::RandomSeed()))) {
    std::filesystem::create_directories(dir_);
    // A port range per process id, below the kernel's ephemeral ports, so that test processes don't
    // collide.
    port_ = static_cast<uint16_t>(12000 + getpid() % 1000 * 16);
    platform_thread_ = std::thread([this] { RunPlatformAndServer(); });
    while (!platform_ready_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  ~Programs() override {
    for (auto& [name, pid] : running_) kill(pid, SIGKILL);
    for (auto& [name, pid] : running_) waitpid(pid, nullptr, 0);
    platform_loop_->Post([this] { platform_loop_->Stop(); });
    platform_thread_.join();
    std::filesystem::remove_all(dir_);
  }

  // Serves the platform's endpoint list under /servers and answers all other requests as the server
  // does. Runs on a thread of its own.
  void RunPlatformAndServer() {
    base::Loop loop;
    http::HttpServer::Options options;
    options.limits = [] { return http::Limits(); };
    http::HttpServer* server = nullptr;
    std::vector<std::unique_ptr<base::Timer>> response_timers;
    http::HttpServer listener(
        &loop, options, [&](http::HttpServer::Ticket ticket, http::Message&& request) {
          http::Message answer;
          answer.status = 200;
          base::Millis work_ms = 0;
          if (request.Path() == "/servers") {
            answer.headers.push_back({"Content-Type", "application/json"});
            answer.body =
                R"({"servers":[{"target":"s","address":")" + PlatformAddress() +
                R"(","zone":"z1","revision":"v1","capacity":)" + std::to_string(capacity_) +
                R"(,"status":"accepting","warmup-left-ms":0,"id":"i-1"}],"next-token":null})";
          } else {
            answer.headers.push_back(
                {"Elderkeel-Attempt-Id", *request.Find("Elderkeel-Attempt-Id")});
            answer.headers.push_back({"Elderkeel-Server-Seal", "s"});
            answer.body = "from " + std::string(request.Path());
            work_ms = WorkMs(request.Path());
            RecordRun(*request.Find("Elderkeel-Attempt-Id"), base::SteadyMillis() + work_ms);
          }
          if (work_ms == 0) {
            server->Respond(ticket, answer);
            return;
          }
          response_timers.push_back(std::make_unique<base::Timer>());
          response_timers.back()->Start(&loop, work_ms, [=] { server->Respond(ticket, answer); });
        });
    server = &listener;
    listener.Listen({"127.0.0.1", port_});
    platform_loop_ = &loop;
    platform_ready_ = true;
    loop.Run();
  }
  // Returns how long the server works on a request, in ms: N for a path that ends in "/work-N", 0
  // for all others.
  static base::Millis WorkMs(std::string_view path) {
    constexpr std::string_view kWorkSuffix = "/work-";
    size_t at = path.rfind(kWorkSuffix);
    if (at == std::string_view::npos) return 0;
    return std::max<base::Millis>(0, http::ParseDecimal(path.substr(at + kWorkSuffix.size())));
  }
  void RecordRun(const std::string& attempt_id, base::Millis ends) {
    std::lock_guard<std::mutex> lock(mutex_);
    runs_[attempt_id] = ends;
  }
  // Returns when the server finishes, or finished, a request, as SteadyMillis(); -1 if it never
  // received the request.
  base::Millis RunEndsAt(const std::string& attempt_id) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto run = runs_.find(attempt_id);
    return run == runs_.end() ? -1 : run->second;
  }
  std::string PlatformAddress() const { return "127.0.0.1:" + std::to_string(port_); }

  std::string Ip(int i) const { return "127.0.1." + std::to_string(i + 1); }
  base::Address Control(int i) const { return {Ip(i), static_cast<uint16_t>(port_ + 1)}; }
  base::Address RequestRouter(int i) const { return {Ip(i), static_cast<uint16_t>(port_ + 2)}; }
  base::Address Ready(int i) const { return {Ip(i), static_cast<uint16_t>(port_ + 3)}; }

  // Writes the settings file of a program and returns its path.
  std::string Settings(const std::string& name, int i, bool bootstrap) {
    std::string path = (dir_ / (name + ".conf")).string();
    std::ofstream f(path);
    f << "node-name=" << name << "\nip=" << Ip(i) << "\nzone=z" << i % 3 + 1
      << "\nport-range=" << port_ + 4 << "," << port_ + 9 << "\nseed-list=";
    for (int k = 0; k < kControllers; ++k) f << (k ? "," : "") << Control(k).ToString();
    f << "\nbootstrap=" << (bootstrap ? "true" : "false")
      << "\nlisteners.control=" << Control(i).ToString()
      << "\nlisteners.front=" << RequestRouter(i).ToString()
      << "\nlisteners.readiness=" << Ready(i).ToString()
      << "\nplatform.address=" << PlatformAddress() << "\nplatform.rate-per-s=50\n";
    if (name[0] == 'c') f << "data-dir=" << (dir_ / ("data-" + name)).string() << "\n";
    return path;
  }

  // Starts a process; its output is appended to the file `output`.
  pid_t Spawn(const std::vector<std::string>& arguments, const std::string& output) {
    pid_t pid = fork();
    if (pid != 0) return pid;
    int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    std::vector<char*> argv;
    for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(127);
  }
  void Start(const std::string& program, const std::string& name, int i, bool bootstrap) {
    running_[name] = Spawn({std::string(ELDERKEEL_BIN) + "/" + program, "run", "--settings",
                            Settings(name, i, bootstrap)},
                           (dir_ / (name + ".log")).string());
  }
  // Sends a signal, waits for the exit and returns the exit status, or minus the signal that killed
  // the process.
  int Stop(const std::string& name, int signal) {
    pid_t pid = running_[name];
    running_.erase(name);
    kill(pid, signal);
    int status = 0;
    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // Runs a command of a program to its end and returns its exit status, -1 if a signal ended it.
  // Its output goes to `text`.
  int RunCommand(const std::vector<std::string>& arguments, std::string* text) {
    std::string output = (dir_ / ("verb-" + std::to_string(commands_run_++))).string();
    std::vector<std::string> all = {std::string(ELDERKEEL_BIN) + "/" + arguments[0]};
    all.insert(all.end(), arguments.begin() + 1, arguments.end());
    int status = 0;
    waitpid(Spawn(all, output), &status, 0);
    *text = *base::ReadFile(output);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  // Sends one request and follows up to `redirects` redirects (307). The answer has status 0 and a
  // reason if the call failed.
  http::Message Call(base::Address to, const std::string& method, const std::string& target,
                     const std::string& headers = "", const std::string& body = "",
                     int redirects = 2) {
    base::Loop loop;
    http::HttpCall call(&loop, to, 2000, http::Limits());
    http::Message answer;
    call.Start(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n" + headers +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
               [&](http::HttpConnection::Outcome&& outcome) {
                 answer = std::move(outcome.response);
                 if (outcome.ending != http::HttpConnection::Result::kResponse) {
                   answer.status = 0;
                   answer.reason = outcome.reason;
                 }
                 loop.Stop();
               });
    loop.Run();
    if (answer.status == 307 && redirects > 0) {
      std::string location = *answer.Find("Location");
      std::string address = location.substr(7, location.find('/', 7) - 7);
      return Call(*base::ParseAddress(address), method, target, headers, body, redirects - 1);
    }
    return answer;
  }
  // Calls /elderkeel/config as an operator does: starts at controller `first` and goes on to the
  // next one after a failure, for up to 60 attempts. A `match` below 0 sends no If-Match.
  http::Message CallAnyController(const std::string& method, int64_t match, const std::string& body,
                                  int first = 0) {
    http::Message answer;
    for (int k = 0; k < 60; ++k) {
      answer = Call(Control((first + k) % kControllers), method, "/elderkeel/config",
                    match >= 0 ? "If-Match: " + std::to_string(match) + "\r\n" : "", body);
      if (answer.status != 0 && answer.status < 500 && answer.status != 307) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return answer;
  }
  // A configuration with one route and one service.
  std::string Document(int64_t revision, const std::string& prefix) {
    return R"({"revision":)" + std::to_string(revision) +
           R"(,"route-list":[{"label":"r","host":"h.example","path-prefix":")" + prefix +
           R"(","variant":"idempotent","timeout-ms":1000,"max-attempts":2,"target":"s"}],"service-list":[{"label":"s","max-conns":20}]})";
  }
  // Whether the condition becomes true within 15 s.
  template <class Condition>
  bool Eventually(Condition condition) {
    for (int i = 0; i < 300; ++i) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }
  // Sends a GET through a proxy and returns the status, 0 if the call failed.
  int SendRequest(int proxy, const std::string& path) {
    return Call(RequestRouter(proxy), "GET", path,
                "Elderkeel-Attempt-Id: id-" + std::to_string(proxy) + "\r\n")
        .status;
  }

  std::filesystem::path dir_;
  uint16_t port_;
  std::thread platform_thread_;
  std::atomic<bool> platform_ready_{false};
  base::Loop* platform_loop_ = nullptr;
  std::atomic<int> capacity_{4};  // of the server, as the platform reports it
  std::map<std::string, pid_t> running_;
  std::mutex mutex_;
  std::map<std::string, base::Millis> runs_;  // by attempt id, see RunEndsAt()
  int commands_run_ = 0;
};

}  // namespace elderkeel
