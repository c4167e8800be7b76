// Stand-ins and process control for the review's scripts: a platform, servers, clients and an
// operator on loopback addresses, and the project's own programs as child processes. Plain threads
// and sockets, no library beyond the system's.
#pragma once

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Millis = int64_t;

inline Millis Now() {
  timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}
inline void SleepMs(Millis ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void SleepUntil(Millis at) { SleepMs(at - Now()); }

// --- record.txt ---

class Record {
 public:
  void Open(const std::string& path) {
    file_ = fopen(path.c_str(), "w");
    start_ = Now();
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> lock(mutex_);
    char text[1024];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    fprintf(file_, "%8.3f  %s\n", static_cast<double>(Now() - start_) / 1000, text);
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
  Millis start_ = 0;
};
inline Record record;

// A case that can't run ends with 2.
[[noreturn]] inline void GiveUp(const std::string& why);

// --- sockets ---

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

inline int Listen(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in a = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) < 0 || listen(fd, 512) < 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int Connect(const std::string& ip, int port, Millis timeout) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in a = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) < 0) {
    if (errno != EINPROGRESS) {
      close(fd);
      return -1;
    }
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&p, 1, static_cast<int>(timeout)) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

// --- HTTP, as much as the stand-ins need ---

struct Message {
  std::string first;  // request line or status line
  std::string method, target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool whole = false;
  std::string end;  // why it is not whole: "closed", "reset", "silence"

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    }
    return "";
  }
  std::string Path() const { return target.substr(0, target.find('?')); }
};

// Reads one message with a length or in chunks; `rest` keeps what is behind it.
inline Message ReadMessage(int fd, std::string* rest, Millis until) {
  Message m;
  auto more = [&]() -> bool {
    Millis left = until - Now();
    pollfd p{fd, POLLIN, 0};
    int ready = left <= 0 ? 0 : poll(&p, 1, static_cast<int>(left));
    if (ready <= 0) {
      m.end = "silence";
      return false;
    }
    char bytes[65536];
    ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) {
      m.end = n == 0 ? "closed" : "reset";
      return false;
    }
    rest->append(bytes, static_cast<size_t>(n));
    return true;
  };
  size_t end;
  while ((end = rest->find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return m;
  }
  std::string head = rest->substr(0, end);
  rest->erase(0, end + 4);
  size_t line = head.find("\r\n");
  m.first = head.substr(0, line);
  while (line != std::string::npos) {
    size_t next = head.find("\r\n", line + 2);
    std::string h = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
    size_t colon = h.find(':');
    if (colon != std::string::npos) {
      size_t v = h.find_first_not_of(" \t", colon + 1);
      m.headers.emplace_back(h.substr(0, colon), v == std::string::npos ? "" : h.substr(v));
    }
    line = next;
  }
  if (m.first.compare(0, 5, "HTTP/") == 0) {
    m.status = atoi(m.first.c_str() + 9);
  } else {
    size_t a = m.first.find(' '), b = m.first.rfind(' ');
    if (a != std::string::npos && b > a) {
      m.method = m.first.substr(0, a);
      m.target = m.first.substr(a + 1, b - a - 1);
    }
  }
  if (strcasecmp(m.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      size_t eol;
      while ((eol = rest->find("\r\n")) == std::string::npos) {
        if (!more()) return m;
      }
      size_t size = strtoul(rest->c_str(), nullptr, 16);
      while (rest->size() < eol + 2 + size + 2) {
        if (!more()) return m;
      }
      m.body.append(*rest, eol + 2, size);
      rest->erase(0, eol + 2 + size + 2);
      if (size == 0) break;
    }
  } else {
    size_t length = strtoul(m.Get("Content-Length").c_str(), nullptr, 10);
    while (rest->size() < length) {
      if (!more()) return m;
    }
    m.body = rest->substr(0, length);
    rest->erase(0, length);
  }
  m.whole = true;
  return m;
}

inline std::string MakeAnswer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One thread for each connection. The handler returns the bytes of the answer; empty closes.
class HttpStandIn {
 public:
  using Handler = std::function<std::string(int fd, const Message&)>;

  void Start(const std::string& ip, int port, Handler handler) {
    ip_ = ip;
    port_ = port;
    handler_ = std::move(handler);
    int fd = Listen(ip, port);
    if (fd < 0) GiveUp("can't listen on " + ip + ":" + std::to_string(port));
    std::thread([this, fd] {
      for (;;) {
        int c = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (c < 0) continue;
        int one = 1;
        setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread([this, c] { Serve(c); }).detach();
      }
    }).detach();
  }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  void Serve(int c) {
    std::string rest;
    for (;;) {
      Message m = ReadMessage(c, &rest, Now() + 60000);
      if (!m.whole) break;
      std::string answer = handler_(c, m);
      if (answer.empty() || !SendAll(c, answer)) break;
    }
    close(c);
  }

  std::string ip_;
  int port_ = 0;
  Handler handler_;
};

// One call on a connection of its own.
inline Message Call(const std::string& ip, int port, const std::string& bytes, Millis timeout) {
  Message none;
  int fd = Connect(ip, port, std::min<Millis>(timeout, 1000));
  if (fd < 0) {
    none.end = "no connection";
    return none;
  }
  Millis until = Now() + timeout;
  std::string rest;
  Message answer;
  if (SendAll(fd, bytes)) {
    answer = ReadMessage(fd, &rest, until);
  } else {
    answer = ReadMessage(fd, &rest, until);
  }
  close(fd);
  return answer;
}

inline std::string MakeRequest(const std::string& method, const std::string& target,
                               const std::string& host, const std::string& headers,
                               const std::string& body) {
  return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers +
         (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
         body;
}

inline std::string NewId() {
  static std::atomic<uint64_t> next{1};
  char text[40];
  snprintf(text, sizeof text, "%08x%08llx", static_cast<unsigned>(getpid()),
           static_cast<unsigned long long>(next++));
  return text;
}

// --- the fleet ---

struct ServerEntry {
  std::string id, target, address, zone = "z1", revision = "v1", status = "accepting";
  int capacity = 4;
  Millis warm_at = 0;
};

class Fleet {
 public:
  int controllers = 3, proxies = 2;
  std::string folder;  // temporary; removed at the end
  std::string net;     // "127.A.B."
  int port = 0;
  std::string extra;  // lines for every settings file
  std::function<int(int)> zone_of = [](int i) { return i % 3 + 1; };  // of a machine

  std::string Ip(int i) const { return net + std::to_string(i + 1); }
  int control() const { return port; }
  int front() const { return port + 1; }
  int readiness() const { return port + 2; }
  std::string platform_ip() const { return net + "200"; }
  std::string server_ip(int i) const { return net + std::to_string(100 + i); }

  // Addresses of this run's own, on ports that are free.
  void Prepare(const std::string& name) {
    srand(static_cast<unsigned>(getpid() * 7919 + time(nullptr)));
    char path[] = "/tmp/review-XXXXXX";
    if (!mkdtemp(path)) GiveUp("no temporary folder");
    folder = path;
    (void)name;
    for (int t = 0; t < 50; ++t) {
      net = "127." + std::to_string(20 + rand() % 200) + "." + std::to_string(rand() % 250) + ".";
      port = 10000 + rand() % 20000;
      bool free = true;
      for (int k = 0; k < 20 && free; ++k) {
        int fd = Listen(Ip(0), port + k);
        free = fd >= 0;
        if (fd >= 0) close(fd);
      }
      if (free) return;
    }
    GiveUp("no free ports");
  }

  std::string SettingsPath(const std::string& name) const { return folder + "/" + name + ".conf"; }

  void WriteSettings(const std::string& name, int i, bool bootstrap) {
    FILE* f = fopen(SettingsPath(name).c_str(), "w");
    if (!f) GiveUp("can't write settings");
    fprintf(f, "node-name=%s\nmachine-class=edge\nip=%s\nzone=z%d\nregion=r1\n", name.c_str(),
            Ip(i).c_str(), zone_of(i));
    fprintf(f, "zones.z1=r1\nzones.z2=r1\nzones.z3=r1\nport-range=%d,%d\n", port + 4, port + 15);
    fprintf(f, "seed-list=");
    for (int k = 0; k < std::min(controllers, 3); ++k) {
      fprintf(f, "%s%s:%d", k ? "," : "", Ip(k).c_str(), control());
    }
    fprintf(f, "\nbootstrap=%s\n", bootstrap ? "true" : "false");
    fprintf(f, "listeners.front=%s:%d\nlisteners.readiness=%s:%d\nlisteners.control=%s:%d\n",
            Ip(i).c_str(), front(), Ip(i).c_str(), readiness(), Ip(i).c_str(), control());
    fprintf(f, "platform.address=%s:%d\nplatform.rate-per-s=50\nplatform.max-lag-ms=800\n",
            platform_ip().c_str(), port);
    fprintf(f,
            "discovery=platform\nentry=vip_entry\ncontracts=base,drain,config,cost,retry,recover,"
            "health\ntolerance.machines=1\ntolerance.zones=0\ntolerance.region-list=0\n"
            "limits.memory-mb=260\nlimits.max-fds=4100\nbounds.contact-ms=4000\n"
            "bounds.ack-ms=5000\nbounds.drain-ms=3000\nbounds.grace-s=6\nbounds.apply-ms=3000\n"
            "bounds.retry-ratio=0.2\nbounds.retry-window-s=10\nbounds.retry-slack=68\n"
            "bounds.sync-s=4\nbounds.loss-slack-ms=200\nbounds.recover-s=15\n");
    if (name[0] == 'c') fprintf(f, "data-dir=%s/data-%s\n", folder.c_str(), name.c_str());
    fputs(extra.c_str(), f);
    fclose(f);
  }

  // `run` of the deploy file: "target/controller run" or "target/proxy run", from the repository's
  // root, with ELDERKEEL_SETTINGS.
  void Start(const std::string& name, int i, bool bootstrap) {
    WriteSettings(name, i, bootstrap);
    std::string program = name[0] == 'c' ? "target/controller" : "target/proxy";
    std::string settings = SettingsPath(name), log = folder + "/" + name + ".log";
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("ELDERKEEL_SETTINGS", settings.c_str(), 1);
      execl(program.c_str(), program.c_str(), "run", static_cast<char*>(nullptr));
      _exit(127);
    }
    std::lock_guard<std::mutex> lock(mutex_);
    pids_[name] = pid;
  }
  pid_t pid(const std::string& name) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto at = pids_.find(name);
    return at == pids_.end() ? 0 : at->second;
  }
  void Signal(const std::string& name, int signal) {
    pid_t p = pid(name);
    if (p > 0) kill(p, signal);
  }
  // -1 while it runs, else its wait status.
  int Poll(const std::string& name) {
    pid_t p = pid(name);
    int status = 0;
    if (p <= 0 || waitpid(p, &status, WNOHANG) != p) return -1;
    std::lock_guard<std::mutex> lock(mutex_);
    pids_.erase(name);
    return status;
  }
  void Kill(const std::string& name) {
    pid_t p = pid(name);
    if (p <= 0) return;
    kill(p, SIGCONT);
    kill(p, SIGKILL);
    waitpid(p, nullptr, 0);
    std::lock_guard<std::mutex> lock(mutex_);
    pids_.erase(name);
  }
  void EndAll() {
    std::map<std::string, pid_t> all;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      all = pids_;
    }
    for (auto& [name, p] : all) Kill(name);
    if (!folder.empty() && !getenv("KEEP")) {
      std::string command = "rm -rf '" + folder + "'";
      if (system(command.c_str()) != 0) perror("rm");
    }
  }

  // --- the platform ---

  void StartPlatform() {
    platform_.Start(platform_ip(), port, [this](int, const Message& m) {
      if (m.Path() != "/servers") return MakeAnswer(404, "", "");
      std::string body = "{\"servers\":[";
      std::lock_guard<std::mutex> lock(mutex_);
      ++platform_reads;
      bool first = true;
      for (const ServerEntry& s : servers_) {
        body += std::string(first ? "" : ",") + "{\"target\":\"" + s.target + "\",\"address\":\"" +
                s.address + "\",\"zone\":\"" + s.zone + "\",\"revision\":\"" + s.revision +
                "\",\"capacity\":" + std::to_string(s.capacity) + ",\"status\":\"" + s.status +
                "\",\"warmup-left-ms\":" + std::to_string(std::max<Millis>(0, s.warm_at - Now())) +
                ",\"id\":\"" + s.id + "\"}";
        first = false;
      }
      body += "],\"next-token\":null}";
      return MakeAnswer(200, "Content-Type: application/json\r\n", body);
    });
  }
  void SetServers(std::vector<ServerEntry> servers) {
    std::lock_guard<std::mutex> lock(mutex_);
    servers_ = std::move(servers);
  }
  std::atomic<int> platform_reads{0};

  // --- the operator ---

  // Sends an order as the pages say: any node, 307 twice, on to another after a failure, a 5xx or
  // a second of silence. Returns the first clear status, or 0 after `for_ms`.
  int Order(const std::string& method, const std::string& target, const std::string& headers,
            const std::string& body, Millis for_ms, Message* last = nullptr) {
    Millis until = Now() + for_ms;
    for (int k = 0; Now() < until; ++k) {
      std::string ip = Ip(k % controllers);
      int at = control();
      for (int hop = 0; hop < 3; ++hop) {
        Message m = Call(ip, at,
                         MakeRequest(method, target, ip + ":" + std::to_string(at),
                                     headers + "Connection: close\r\n", body),
                         1000);
        if (last) *last = m;
        if (m.whole && m.status == 307) {
          std::string to = m.Get("Location");  // http://IP:PORT/path
          size_t colon = to.find(':', 7), slash = to.find('/', 7);
          if (colon == std::string::npos || slash == std::string::npos) break;
          ip = to.substr(7, colon - 7);
          at = atoi(to.c_str() + colon + 1);
          continue;
        }
        if (m.whole && (m.status < 500 && m.status != 408 && m.status != 429)) return m.status;
        break;
      }
      SleepMs(std::min<Millis>(100 + 50 * k, 500));
    }
    return 0;
  }
  int PutConfiguration(int64_t if_match, const std::string& body, Millis for_ms) {
    int status =
        Order("PUT", "/elderkeel/config",
              "If-Match: " + std::to_string(if_match) + "\r\nContent-Type: application/json\r\n",
              body, for_ms);
    record.Line("operator: PUT on version %lld: %d", static_cast<long long>(if_match), status);
    return status;
  }
  bool IsReady(int i) {
    Message m =
        Call(Ip(i), readiness(),
             MakeRequest("GET", "/elderkeel/ready", Ip(i), "Connection: close\r\n", ""), 900);
    return m.whole && m.status == 200;
  }
  bool WaitReady(Millis for_ms) {
    Millis until = Now() + for_ms;
    for (int i = 0; i < proxies; ++i) {
      while (!IsReady(ProxyAt(i))) {
        if (Now() > until) return false;
        SleepMs(100);
      }
    }
    return true;
  }
  // Controllers on machines 0, 1, ..., proxies on the machines behind them.
  int ProxyAt(int k) const { return controllers + k; }
  void StartAll() {
    for (int i = 0; i < controllers; ++i) Start("c" + std::to_string(i + 1), i, true);
    for (int k = 0; k < proxies; ++k) Start("p" + std::to_string(k + 1), ProxyAt(k), true);
  }

 private:
  std::mutex mutex_;
  std::map<std::string, pid_t> pids_;
  std::vector<ServerEntry> servers_;
  HttpStandIn platform_;
};

inline Fleet fleet;

inline void GiveUp(const std::string& why) {
  record.Line("can't run: %s", why.c_str());
  fprintf(stderr, "can't run: %s\n", why.c_str());
  fleet.EndAll();
  _exit(2);
}

// To be called first: record, signals, a bound on the whole.
inline bool Begin(const char* name, const char* record_path, int most_s) {
  record.Open(record_path);
  signal(SIGPIPE, SIG_IGN);
  std::thread([most_s] {
    SleepMs(most_s * 1000);
    GiveUp("over time");
  }).detach();
  fleet.Prepare(name);
  const char* trouble = getenv("TROUBLE");
  return !(trouble && strcmp(trouble, "0") == 0);
}
[[noreturn]] inline void Finish(bool broken, const std::string& why) {
  record.Line("%s: %s", broken ? "BROKEN" : "held", why.c_str());
  printf("%s: %s\n", broken ? "BROKEN" : "held", why.c_str());
  fflush(stdout);
  fleet.EndAll();
  _exit(broken ? 1 : 0);
}

// Whether the other side has ended or reset this connection (nothing is read).
inline bool PeerLeft(int fd) {
  char byte;
  ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace review
