// The scale run: real controllers and proxies on loopback, and hollow nodes, many to a process,
// that take part in everything but requests: ring, news, digests with a report of demand, counts of
// a roll-out. At several sizes it measures what the real processes spend, and prints the figures
// and their slopes. Not part of CI; docs/CAPACITY.md holds what it gave. It stops by itself.
//
//   scale_run BIN [SIZES, such as 60,120,240] [REPEATS]

#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "base/log.h"
#include "base/random.h"
#include "cluster/cluster_node.h"
#include "configuration/routing_table.h"
#include "configuration/validation.h"
#include "rollout/canary_policy.h"
#include "wire/http_client.h"
#include "wire/http_server.h"

namespace elderkeel {
namespace {

constexpr int kControllers = 5, kProxies = 2, kHosts = 8, kServices = 170, kRoutes = 400;
constexpr int kWindowMs = 8000;
constexpr uint16_t kPort = 17200;  // first of the nodes' own; the interfaces follow behind

// What hollow nodes tell the measuring process: how many have adopted each step, and when the last.
struct Shared {
  std::atomic<int64_t> revision_at, catalog_at, rollout_at;
  std::atomic<int> revisions, endpoint_updates, rollouts;
  std::atomic<int64_t> wanted_revision;
  std::atomic<uint64_t> wanted_sequence, wanted_rollouts;
};
Shared* shared = nullptr;

std::string Ip(int node) {  // 127.40.0.1 and on
  return "127.40." + std::to_string(node / 200) + "." + std::to_string(node % 200 + 1);
}
std::string Zone(int node) { return "z" + std::to_string(node % kControllers + 1); }
std::string Control(int node) { return Ip(node) + ":" + std::to_string(kPort + 20); }

std::string SettingsText(int node, const std::string& data_dir) {
  std::ostringstream f;
  f << "node-name=n" << node << "\nip=" << Ip(node) << "\nzone=" << Zone(node) << "\nregion=r"
    << node % kControllers % 2 << "\nport-range=" << kPort << "," << kPort + 9 << "\nseed-list=";
  for (int k = 0; k < 3; ++k) f << (k ? "," : "") << Control(k);
  f << "\nbootstrap=true\ncontracts=rollout\nlisteners.control=" << Control(node)
    << "\nlisteners.front=" << Ip(node) << ":" << kPort + 21 << "\nlisteners.readiness=" << Ip(node)
    << ":" << kPort + 22 << "\nplatform.address=127.0.0.1:" << kPort + 23
    << "\nplatform.rate-per-s=500\ntolerance.machines=2\nbounds.drain-ms=4000\n";
  for (int z = 0; z < kControllers; ++z) f << "zones.z" << z + 1 << "=r" << z % 2 << "\n";
  if (!data_dir.empty()) f << "data-dir=" << data_dir << "\n";
  return f.str();
}

std::string Configuration(int64_t revision) {
  std::ostringstream f;
  f << R"({"revision":)" << revision << R"(,"route-list":[)";
  for (int r = 0; r < kRoutes; ++r) {
    f << (r ? "," : "") << R"({"label":"r-)" << r << R"(","host":"h)" << r
      << R"(.example","path-prefix":"/p/","variant":"idempotent","timeout-ms":1000,)"
      << R"("target-latency-ms":400,"priority":1,"target":"s)" << r % kServices
      << R"(","max-attempts":2})";
  }
  f << R"(],"service-list":[)";
  for (int s = 0; s < kServices; ++s) {
    f << (s ? "," : "") << R"({"label":"s)" << s
      << R"(","health-path":"/health","max-conns":100,"protocol":"h1","tls":false})";
  }
  return f.str() + "]}";
}

// A hollow node: everything of a proxy that goes between nodes.
class Hollow {
 public:
  Hollow(base::Loop* loop, int node) : settings_(*base::ParseSettings(SettingsText(node, ""))) {
    cluster::ClusterNode::Callbacks hooks;
    hooks.configuration_adopted = [this] {
      if (node_->disseminator().revision() != shared->wanted_revision) return;
      shared->revision_at = base::SteadyMillis();
      ++shared->revisions;
    };
    hooks.endpoints_adopted = [this] {
      if (node_->disseminator().endpoints().servers.empty()) return;
      if (node_->disseminator().endpoints().servers[0].capacity !=
          static_cast<int>(shared->wanted_sequence))
        return;
      shared->catalog_at = base::SteadyMillis();
      ++shared->endpoint_updates;
    };
    hooks.rollouts_adopted = [this] {
      canary_policy_.Adopt(base::SteadyMillis(), node_->disseminator().rollouts());
      if (!canary_policy_.active()) return;
      shared->rollout_at = base::SteadyMillis();
      ++shared->rollouts;
    };
    hooks.load_report = [this] {
      load::LoadReport report;
      for (int z = 0; z < kControllers; ++z) {
        load::ZoneLoad zone;
        zone.zone = load::Key("z" + std::to_string(z + 1));
        for (uint32_t s = 0; s < 8; ++s) zone.means.push_back({s, 1.0f});
        report.push_back(zone);
      }
      return report;
    };
    hooks.message = [this](const base::Address& from, wire::Kind kind, std::string_view payload) {
      if (kind != wire::Kind::kLeaseRenewal) return;
      if (auto renewal = wire::Decode<rollout::LeaseRenewal>(payload)) {
        canary_policy_.OnLeaseRenewal(base::SteadyMillis(), *renewal);
        node_->OnRolloutVersion(from, renewal->version);
      }
    };
    node_ =
        std::make_unique<cluster::ClusterNode>(loop, settings_, membership::Program::kProxy, hooks);
    if (!node_->Start()) std::fprintf(stderr, "hollow node %d can't start\n", node);
    tick_.Repeat(loop, 100, [this] { Tick(); });
  }

 private:
  void Tick() {
    base::Millis now = base::SteadyMillis();
    if (!node_->disseminator().has_endpoints() && now > ask_at_) {
      ask_at_ = now + 400;
      auto controllers = node_->Controllers();
      if (!controllers.empty()) {
        node_->RequestDigest(controllers[base::Hash(settings_.ip) % controllers.size()]);
      }
    }
    if (!canary_policy_.active() || now < report_at_) return;
    size_t proxies = node_->membership().CountNotLeft(membership::Program::kProxy);
    report_at_ = now + std::max<base::Millis>(250, static_cast<base::Millis>(proxies));
    for (const std::string& service : canary_policy_.ActiveServices()) {
      for (int i = 0; i < 20; ++i) {
        canary_policy_.CountRequest(service);
        std::string route = "r-" + std::to_string(i % 3);
        canary_policy_.CountOutcome(now, {service, i ? "v1" : "v2", std::to_string(i), route,
                                          rollout::CanaryPolicy::Outcome::kComplete, true, false});
      }
      rollout::ProxyReport report = canary_policy_.MakeReport(now, service);
      report.node = node_->membership().self().id;
      report.boot_id = 1;
      report.wants_renewal = now % 1000 < 500;
      std::string bytes = wire::Encode(report);
      for (uint64_t observer : canary_policy_.RolloutOf(service)->observers) {
        auto at = node_->membership().nodes().find(observer);
        if (at == node_->membership().nodes().end()) continue;
        node_->SendSmall(at->second.address(), wire::Kind::kProxyReport, bytes);
      }
    }
  }

  base::Settings settings_;
  rollout::CanaryPolicy canary_policy_{rollout::CanaryPolicy::Options()};
  std::unique_ptr<cluster::ClusterNode> node_;
  base::Timer tick_;
  base::Millis report_at_ = 0, ask_at_ = 0;
};

// The platform's list, as a stand-in: `servers` servers, 50 a page.
class Platform {
 public:
  explicit Platform(int servers) : balancer_(servers) {
    thread_ = std::thread([this] { Run(); });
    while (!loop_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  ~Platform() {
    loop_.load()->Post([this] { loop_.load()->Stop(); });
    thread_.join();
  }
  std::atomic<int> capacity{1};  // of the first server; a change of it is a change of the list
  std::atomic<int> calls{0};

 private:
  void Run() {
    base::Loop loop;
    wire::HttpServer::Options options;
    options.limits = [] { return wire::Limits(); };
    wire::HttpServer* self = nullptr;
    wire::HttpServer server(&loop, options, [&](wire::HttpServer::Ticket t, wire::Message&& m) {
      ++calls;
      size_t at = m.target.find("page-token=");
      int first = at == std::string::npos ? 0 : std::atoi(m.target.c_str() + at + 11);
      std::ostringstream body;
      body << R"({"servers":[)";
      int last = std::min(balancer_, first + 50);
      for (int i = first; i < last; ++i) {
        body << (i > first ? "," : "") << R"({"id":"i-)" << 100000 + i << R"(","target":"s)"
             << i % kServices << R"(","address":"127.0.0.1:9","zone":")" << Zone(i)
             << R"(","revision":"v1","status":"accepting","capacity":)" << (i ? 3 : capacity.load())
             << R"(,"warmup-left-ms":0})";
      }
      body << R"(],"next-token":)";
      if (last < balancer_) {
        body << '"' << last << "\"}";
      } else {
        body << "null}";
      }
      wire::Message answer;
      answer.status = 200;
      answer.body = body.str();
      self->Answer(t, answer);
    });
    self = &server;
    if (!server.Listen({"127.0.0.1", static_cast<uint16_t>(kPort + 23)})) std::abort();
    loop_ = &loop;
    loop.Run();
  }
  int balancer_;
  std::thread thread_;
  std::atomic<base::Loop*> loop_{nullptr};
};

wire::Message Call(int node, const std::string& method, const std::string& target,
                   const std::string& headers, const std::string& body) {
  for (int hop = 0; hop < 3; ++hop) {
    base::Loop loop;
    wire::Limits limits;
    limits.body_bytes = 32 << 20;
    wire::HttpCall call(&loop, {Ip(node), static_cast<uint16_t>(kPort + 20)}, 4000, limits);
    wire::Message answer;
    call.Start(method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
               [&](wire::HttpConnection::Outcome&& outcome) {
                 answer = std::move(outcome.answer);
                 loop.Stop();
               });
    loop.Run();
    const std::string* location = answer.Find("Location");
    if (answer.status != 307 || !location) return answer;
    for (int k = 0; k < kControllers; ++k) {
      if (location->find(Control(k) + "/") != std::string::npos) node = k;
    }
  }
  return {};
}

struct Spent {
  double cpu_s = 0, rss_mb = 0;
};
Spent Of(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skip;
  long user = 0, kernel = 0;
  for (int i = 0; i < 11; ++i) rest >> skip;
  rest >> user >> kernel;
  Spent spent;
  spent.cpu_s = static_cast<double>(user + kernel) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) spent.rss_mb = std::atof(line.c_str() + 6) / 1024;
  }
  return spent;
}
double LoopbackBytes() {
  std::ifstream dev("/proc/net/dev");
  for (std::string line; std::getline(dev, line);) {
    size_t at = line.find("lo:");
    if (at != std::string::npos) return std::atof(line.c_str() + at + 3);
  }
  return 0;
}

void Sleep(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
// Waits until `count` hollow nodes have it; the time from `since` to the last of them, or -1.
double Until(const std::atomic<int>& count, const std::atomic<int64_t>& last, int hollow,
             int64_t since, int patience_ms) {
  for (int waited = 0; waited < patience_ms && count < hollow; waited += 10) Sleep(10);
  return count >= hollow ? static_cast<double>(last - since) : -1;
}

using Figures = std::vector<std::pair<std::string, double>>;

Figures Measure(const std::string& bin, int hollow, int servers) {
  std::memset(static_cast<void*>(shared), 0, sizeof *shared);
  auto dir = std::filesystem::temp_directory_path() /
             ("elderkeel-scale-" + std::to_string(base::RandomSeed()));
  std::filesystem::create_directories(dir);
  Platform platform(servers);
  std::vector<pid_t> all, controllers, proxies, hosts;
  auto spawn = [&](const std::string& program, int node) {
    std::string name = program + std::to_string(node);
    std::string path = (dir / name).string();
    std::ofstream(path + ".conf") << SettingsText(
        node, program == "controller" ? (dir / ("data-" + name)).string() : "");
    pid_t pid = fork();
    if (pid == 0) {
      int fd = open((path + ".log").c_str(), O_WRONLY | O_CREAT, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      execl((bin + "/" + program).c_str(), program.c_str(), "run", "--settings",
            (path + ".conf").c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    all.push_back(pid);
    (program == "controller" ? controllers : proxies).push_back(pid);
  };
  for (int i = 0; i < kControllers; ++i) spawn("controller", i);
  Sleep(1500);
  for (int i = 0; i < kProxies; ++i) spawn("proxy", kControllers + i);
  for (int host = 0; host < kHosts; ++host) {
    pid_t pid = fork();
    if (pid == 0) {
      base::SetLogLevel(base::LogLevel::kError);
      alarm(300);
      base::Loop loop;
      std::vector<std::unique_ptr<Hollow>> nodes;
      for (int k = host; k < hollow; k += kHosts) {
        nodes.push_back(std::make_unique<Hollow>(&loop, kControllers + kProxies + k));
      }
      loop.Run();
      _exit(0);
    }
    all.push_back(pid);
    hosts.push_back(pid);
  }
  Figures figures;
  auto add = [&](const char* name, double value) { figures.push_back({name, value}); };
  // The mean of several processes, or of the one that spent most.
  auto window = [&](const char* what, int ms, const std::function<void()>& work) {
    auto cpu = [&](const std::vector<pid_t>& pids) {
      std::vector<double> spent;
      for (pid_t pid : pids) spent.push_back(Of(pid).cpu_s);
      return spent;
    };
    auto c = cpu(controllers), p = cpu(proxies), h = cpu(hosts);
    double bytes = LoopbackBytes();
    int64_t begin = base::SteadyMillis();
    if (work) work();
    while (base::SteadyMillis() < begin + ms) Sleep(20);
    double seconds = static_cast<double>(base::SteadyMillis() - begin) / 1000;
    double nodes = kControllers + kProxies + hollow;
    add((std::string(what) + ".bytes_per_s_a_node").c_str(),
        (LoopbackBytes() - bytes) / seconds / nodes);
    auto c2 = cpu(controllers), p2 = cpu(proxies), h2 = cpu(hosts);
    double host = 0;
    for (size_t i = 0; i < h.size(); ++i) host = std::max(host, (h2[i] - h[i]) / seconds);
    // Near 100 the hollow nodes are late for want of processor, and the run says nothing.
    add((std::string(what) + ".busiest_host_core_percent").c_str(), host * 100);
    double mean = 0, most = 0, proxy = 0;
    for (size_t i = 0; i < c.size(); ++i) {
      mean += (c2[i] - c[i]) / seconds / static_cast<double>(c.size());
      most = std::max(most, (c2[i] - c[i]) / seconds);
    }
    for (size_t i = 0; i < p.size(); ++i) {
      proxy += (p2[i] - p[i]) / seconds / static_cast<double>(p.size());
    }
    add((std::string(what) + ".controller_core_percent").c_str(), mean * 100);
    add((std::string(what) + ".busiest_controller_core_percent").c_str(), most * 100);
    add((std::string(what) + ".proxy_core_percent").c_str(), proxy * 100);
  };
  // All know each other and have the first list and configuration.
  int64_t began = base::SteadyMillis();
  shared->wanted_revision = 10;
  while (Call(0, "PUT", "/elderkeel/config", "If-Match: 0\r\n", Configuration(10)).status != 200 &&
         base::SteadyMillis() < began + 20000) {
    Sleep(200);
  }
  add("first_configuration_ms",
      Until(shared->revisions, shared->revision_at, hollow, began, 20000));
  Sleep(6000);
  window("idle", kWindowMs, nullptr);
  // Changes of one route, one a second: in force on the last node after so long.
  double slowest = 0;
  window("changes", kWindowMs, [&] {
    for (int64_t revision = 11; revision < 17; ++revision) {
      shared->revisions = 0;
      shared->wanted_revision = revision;
      std::string patch = R"({"revision":)" + std::to_string(revision) +
                          R"(,"upsert":{"route-list":[{"label":"r-1","host":"h1.example",)" +
                          R"("path-prefix":"/p/","variant":"idempotent","timeout-ms":)" +
                          std::to_string(1000 + revision) +
                          R"(,"target-latency-ms":400,"priority":1,"target":"s1"}]}})";
      int64_t sent = base::SteadyMillis();
      wire::Message answer = Call(0, "PATCH", "/elderkeel/config",
                                  "If-Match: " + std::to_string(revision - 1) + "\r\n", patch);
      double took = answer.status == 200
                        ? Until(shared->revisions, shared->revision_at, hollow, sent, 6000)
                        : -1;
      slowest = took < 0 || slowest < 0 ? -1 : std::max(slowest, took);
      Sleep(std::max(0, static_cast<int>(sent + 1000 - base::SteadyMillis())));
    }
  });
  add("change_to_last_node_ms", slowest);
  shared->wanted_sequence = 2;
  int64_t changed = base::SteadyMillis();
  platform.capacity = 2;
  add("list_change_to_last_node_ms",
      Until(shared->endpoint_updates, shared->catalog_at, hollow, changed, 10000));
  int calls = platform.calls;
  Sleep(3000);
  add("platform_calls_per_s", (platform.calls - calls) / 3.0);
  window("rollout", kWindowMs, [&] {
    int64_t sent = base::SteadyMillis();
    Call(0, "POST", "/elderkeel/rollouts", "Content-Type: application/json\r\n",
         R"({"target":"s3","target-revision":"v2","over-s":30})");
    add("order_to_last_node_ms", Until(shared->rollouts, shared->rollout_at, hollow, sent, 6000));
  });
  double memory = 0, proxy_memory = 0;
  for (pid_t pid : controllers) memory = std::max(memory, Of(pid).rss_mb);
  for (pid_t pid : proxies) proxy_memory = std::max(proxy_memory, Of(pid).rss_mb);
  add("controller_peak_mb", memory);
  add("proxy_peak_mb", proxy_memory);
  for (pid_t pid : all) kill(pid, SIGKILL);
  for (pid_t pid : all) waitpid(pid, nullptr, 0);
  std::filesystem::remove_all(dir);
  return figures;
}

}  // namespace
}  // namespace elderkeel

int main(int argc, char** argv) {
  using namespace elderkeel;
  if (argc < 2) {
    std::fprintf(stderr, "usage: scale_run BIN [SIZES] [REPEATS]\n");
    return 2;
  }
  shared = static_cast<Shared*>(
      mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0));
  signal(SIGPIPE, SIG_IGN);
  std::vector<int> sizes;
  std::istringstream list(argc > 2 ? argv[2] : "60,120,240");
  for (std::string size; std::getline(list, size, ',');) sizes.push_back(std::atoi(size.c_str()));
  int repeats = argc > 3 ? std::atoi(argv[3]) : 2;
  std::map<std::string, std::vector<std::pair<double, double>>> points;
  std::vector<std::string> order;
  for (int repeat = 0; repeat < repeats; ++repeat) {
    for (int hollow : sizes) {
      if (hollow < 1 || hollow > 600) return 2;
      double load[1] = {0};
      getloadavg(load, 1);
      int servers = hollow * 5;
      std::printf("run hollow=%d servers=%d repeat=%d load=%.1f\n", hollow, servers, repeat,
                  load[0]);
      for (const auto& [name, value] : Measure(argv[1], hollow, servers)) {
        std::printf("  %s=%.3f\n", name.c_str(), value);
        if (!points.count(name)) order.push_back(name);
        if (value >= 0) points[name].push_back({hollow + kControllers + kProxies, value});
      }
      std::fflush(stdout);
    }
  }
  // value = a + b x nodes, by least squares; the spread is the largest distance of a point from it.
  for (const std::string& name : order) {
    double n = 0, x = 0, y = 0, xx = 0, xy = 0, far = 0;
    for (auto [nodes, value] : points[name]) {
      n += 1, x += nodes, y += value, xx += nodes * nodes, xy += nodes * value;
    }
    double slope = n * xx - x * x != 0 ? (n * xy - x * y) / (n * xx - x * x) : 0;
    double base = (y - slope * x) / n;
    for (auto [nodes, value] : points[name]) {
      far = std::max(far, std::abs(value - base - slope * nodes));
    }
    std::printf("slope %s base=%.4f per_node=%.6f spread=%.4f points=%d\n", name.c_str(), base,
                slope, far, static_cast<int>(n));
  }
  return 0;
}
