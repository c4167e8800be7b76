#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "base/random.h"
#include "wire/http_client.h"
#include "wire/http_server.h"

// The programs themselves, as processes on loopback addresses: three controllers with disks, two
// proxies, and a platform and servers played by the test.

namespace elderkeel {
namespace {

class Programs : public ::testing::Test {
 protected:
  static constexpr int kControllers = 3, kProxies = 2;

  Programs()
      : dir_(std::filesystem::temp_directory_path() /
             ("elderkeel-" + std::to_string(base::RandomSeed()))) {
    std::filesystem::create_directories(dir_);
    // A range of ports of this run's own, below those that the kernel hands out.
    port_ = static_cast<uint16_t>(12000 + getpid() % 1000 * 16);
    world_ = std::thread([this] { PlayWorld(); });
    while (!world_ready_) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  ~Programs() override {
    for (auto& [name, pid] : running_) kill(pid, SIGKILL);
    for (auto& [name, pid] : running_) waitpid(pid, nullptr, 0);
    world_loop_->Post([this] { world_loop_->Stop(); });
    world_.join();
    std::filesystem::remove_all(dir_);
  }

  void PlayWorld() {
    base::Loop loop;
    wire::HttpServer::Options options;
    options.limits = [] { return wire::Limits(); };
    wire::HttpServer* server = nullptr;
    wire::HttpServer both(
        &loop, options, [&](wire::HttpServer::Ticket ticket, wire::Message&& request) {
          wire::Message answer;
          answer.status = 200;
          if (request.Path() == "/servers") {
            answer.headers.push_back({"Content-Type", "application/json"});
            answer.body =
                R"({"servers":[{"target":"s","address":")" + WorldAddress() +
                R"(","zone":"z1","revision":"v1","capacity":4,"status":"accepting","warmup-left-ms":0,"id":"i-1"}],"next-token":null})";
          } else {
            answer.headers.push_back(
                {"Elderkeel-Attempt-Id", *request.Find("Elderkeel-Attempt-Id")});
            answer.headers.push_back({"Elderkeel-Server-Seal", "s"});
            answer.body = "from " + std::string(request.Path());
          }
          server->Answer(ticket, answer);
        });
    server = &both;
    both.Listen({"127.0.0.1", port_});
    world_loop_ = &loop;
    world_ready_ = true;
    loop.Run();
  }
  std::string WorldAddress() const { return "127.0.0.1:" + std::to_string(port_); }

  std::string Ip(int i) const { return "127.0.1." + std::to_string(i + 1); }
  base::Address Control(int i) const { return {Ip(i), static_cast<uint16_t>(port_ + 1)}; }
  base::Address RequestRouter(int i) const { return {Ip(i), static_cast<uint16_t>(port_ + 2)}; }
  base::Address Ready(int i) const { return {Ip(i), static_cast<uint16_t>(port_ + 3)}; }

  std::string Settings(const std::string& name, int i, bool bootstrap) {
    std::string path = (dir_ / (name + ".conf")).string();
    std::ofstream f(path);
    f << "node-name=" << name << "\nip=" << Ip(i) << "\nzone=z" << i % 3 + 1
      << "\nport-range=" << port_ + 4 << "," << port_ + 9 << "\nseed-list=";
    for (int k = 0; k < kControllers; ++k) f << (k ? "," : "") << Control(k).ToString();
    f << "\nbootstrap=" << (bootstrap ? "true" : "false")
      << "\nlisteners.control=" << Control(i).ToString()
      << "\nlisteners.front=" << RequestRouter(i).ToString()
      << "\nlisteners.readiness=" << Ready(i).ToString() << "\nplatform.address=" << WorldAddress()
      << "\nplatform.rate-per-s=50\n";
    if (name[0] == 'c') f << "data-dir=" << (dir_ / ("data-" + name)).string() << "\n";
    return path;
  }

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
  int Stop(const std::string& name, int signal) {
    pid_t pid = running_[name];
    running_.erase(name);
    kill(pid, signal);
    int status = 0;
    waitpid(pid, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // Runs a verb to its end; its output goes to `text`.
  int Verb(const std::vector<std::string>& arguments, std::string* text) {
    std::string output = (dir_ / ("verb-" + std::to_string(verbs_++))).string();
    std::vector<std::string> all = {std::string(ELDERKEEL_BIN) + "/" + arguments[0]};
    all.insert(all.end(), arguments.begin() + 1, arguments.end());
    int status = 0;
    waitpid(Spawn(all, output), &status, 0);
    *text = *base::ReadFile(output);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  wire::Message Call(base::Address to, const std::string& method, const std::string& target,
                     const std::string& headers = "", const std::string& body = "",
                     int redirects = 2) {
    base::Loop loop;
    wire::HttpCall call(&loop, to, 2000, wire::Limits());
    wire::Message answer;
    call.Start(method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n" + headers +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
               [&](wire::HttpConnection::Outcome&& outcome) {
                 answer = std::move(outcome.answer);
                 if (outcome.ending != wire::HttpConnection::Ending::kAnswer) answer.status = 0;
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
  // As the operator does: any controller, the next one after a failure.
  wire::Message Operate(const std::string& method, int64_t match, const std::string& body,
                        int first = 0) {
    wire::Message answer;
    for (int k = 0; k < 60; ++k) {
      answer = Call(Control((first + k) % kControllers), method, "/elderkeel/config",
                    match >= 0 ? "If-Match: " + std::to_string(match) + "\r\n" : "", body);
      if (answer.status != 0 && answer.status < 500 && answer.status != 307) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return answer;
  }
  std::string Document(int64_t revision, const std::string& prefix) {
    return R"({"revision":)" + std::to_string(revision) +
           R"(,"route-list":[{"label":"r","host":"h.example","path-prefix":")" + prefix +
           R"(","variant":"idempotent","timeout-ms":1000,"max-attempts":2,"target":"s"}],"service-list":[{"label":"s","max-conns":20}]})";
  }
  template <class Condition>
  bool Eventually(Condition condition) {
    for (int i = 0; i < 300; ++i) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }
  int Ask(int proxy, const std::string& path) {
    return Call(RequestRouter(proxy), "GET", path,
                "Elderkeel-Attempt-Id: id-" + std::to_string(proxy) + "\r\n")
        .status;
  }

  std::filesystem::path dir_;
  uint16_t port_;
  std::thread world_;
  std::atomic<bool> world_ready_{false};
  base::Loop* world_loop_ = nullptr;
  std::map<std::string, pid_t> running_;
  int verbs_ = 0;
};

TEST_F(Programs, TheFullPathThroughLossAndReturn) {
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, true);
  for (int i = 0; i < kProxies; ++i) Start("proxy", "p" + std::to_string(i), i, true);
  ASSERT_EQ(Operate("PUT", 0, Document(3, "/a/")).status, 200);
  // A change that is larger than replication carries is refused, and stands in nobody's way.
  wire::Message large = Operate("PUT", 3, Document(9, "/a/") + std::string(9u << 20, ' '));
  EXPECT_EQ(large.status, 413);
  EXPECT_NE(large.body.find(std::to_string(4u << 20)), std::string::npos) << large.body;
  for (int i = 0; i < kProxies; ++i) {
    EXPECT_TRUE(Eventually([&] { return Call(Ready(i), "GET", "/elderkeel/ready").status == 200; }))
        << i;
    EXPECT_EQ(Ask(i, "/a/x"), 200);
    EXPECT_TRUE(Eventually([&] { return Ask(i, "/b/x") == 404; }));
  }

  // Two changes on one version, sent to different controllers: one wins.
  int first = 0, second = 0;
  std::thread rival([&] { second = Operate("PUT", 3, Document(5, "/b/"), 1).status; });
  first = Operate("PUT", 3, Document(4, "/b/"), 2).status;
  rival.join();
  EXPECT_EQ(std::min(first, second), 200);
  EXPECT_EQ(std::max(first, second), 412);
  int64_t current = first == 200 ? 4 : 5;
  EXPECT_EQ(Operate("PUT", current, Document(current, "/b/")).status, 400);
  EXPECT_EQ(Operate("PUT", current, "{\"revision\":").status, 400);
  EXPECT_TRUE(Eventually([&] { return Ask(0, "/b/x") == 200 && Ask(1, "/b/x") == 200; }));
  EXPECT_TRUE(Eventually([&] { return Ask(0, "/a/x") == 404; }));

  // The leader dies; the others go on. It comes back and knows what it missed.
  std::string text, leader;
  ASSERT_TRUE(Eventually([&] {
    Verb({"controller", "status", "--control", Control(0).ToString()}, &text);
    size_t at = text.find("leader      127.0.1.");
    if (at == std::string::npos) return false;
    leader = "c" + std::to_string(text[at + 20] - '1');
    return true;
  })) << text;
  EXPECT_EQ(Stop(leader, SIGKILL), -SIGKILL);
  ASSERT_EQ(
      Operate(
          "PATCH", current,
          R"({"revision":9,"upsert":{"route-list":[{"label":"r2","host":"h.example","path-prefix":"/c/","variant":"effectful","timeout-ms":900,"target":"s"}]}})")
          .status,
      200);
  EXPECT_TRUE(Eventually([&] { return Ask(0, "/c/x") == 200 && Ask(1, "/c/x") == 200; }));
  EXPECT_EQ(Ask(0, "/b/x"), 200);
  Start("controller", leader, leader[1] - '0', false);
  EXPECT_TRUE(Eventually([&] {
    wire::Message answer = Operate("GET", -1, "", leader[1] - '0');
    return answer.status == 200 && answer.body.find("\"revision\":9") != std::string::npos;
  }));

  // All controllers die at once: proxies serve on, and what was acknowledged is there again.
  for (int i = 0; i < kControllers; ++i) Stop("c" + std::to_string(i), SIGKILL);
  EXPECT_EQ(Ask(0, "/c/x"), 200);
  EXPECT_EQ(Verb({"controller", "status", "--control", Control(0).ToString()}, &text), 3);
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, false);
  EXPECT_NE(Operate("GET", -1, "").body.find("\"revision\":9"), std::string::npos);

  // The records tell what became of a request, and say which node could not be asked.
  // A proxy says that a route does not exist once it knows again that it is up to date.
  EXPECT_TRUE(Eventually([&] { return Ask(1, "/nowhere/") == 404; }));
  EXPECT_TRUE(Eventually([&] {
    return Verb({"controller", "diagnose", "--control", Control(0).ToString(), "--attempt", "id-1"},
                &text) == 0 &&
           text.find("conclusion  p1 answered 404") != std::string::npos;
  })) << text;

  // Settings that are not valid are logged and the old ones stay; valid ones are taken.
  std::string settings = Settings("p0", 0, false);
  std::ofstream(settings, std::ios::app) << "elderkeel.connect-ms=never\n";
  kill(running_["p0"], SIGHUP);
  auto logged = [&](const char* text) {
    return base::ReadFile((dir_ / "p0.log").string())->find(text) != std::string::npos;
  };
  EXPECT_TRUE(Eventually([&] { return logged("event=settings.rejected step=settings"); }));
  Settings("p0", 0, false);
  std::ofstream(settings, std::ios::app) << "elderkeel.connect-ms=300\n";
  EXPECT_TRUE(Eventually([&] { return logged("event=settings.applied"); }));  // without a signal
  EXPECT_EQ(Ask(0, "/c/x"), 200);

  EXPECT_EQ(Stop("p1", SIGTERM), 0);
  EXPECT_EQ(Stop("c1", SIGTERM), 0);
  EXPECT_EQ(Ask(0, "/c/x"), 200);
}

// A controller that has a data folder and can't open its store there has no part in the log until
// it can. It says so, and sends callers on.
TEST_F(Programs, AControllerWhoseStoreCannotBeOpenedHasNoPartUntilItCan) {
  std::ofstream(dir_ / "data-c2") << "a file where the folder is to be";
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, true);
  ASSERT_EQ(Operate("PUT", 0, Document(3, "/a/")).status, 200);
  auto status = [&](int i) { return Call(Control(i), "GET", "/elderkeel/status").body; };
  auto count = [](const std::string& text, const std::string& what) {
    size_t times = 0;
    for (size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) {
      ++times;
    }
    return times;
  };
  EXPECT_TRUE(Eventually([&] { return count(status(2), R"("store":{"state":"unopened")") == 1; }))
      << status(2);
  EXPECT_EQ(Call(Control(2), "GET", "/elderkeel/config", "", "", 0).status, 307);
  std::string text;
  EXPECT_EQ(Verb({"controller", "status", "--control", Control(2).ToString()}, &text), 1);
  EXPECT_NE(text.find("store       unopened: "), std::string::npos) << text;
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));  // some more tries
  std::string log = *base::ReadFile((dir_ / "c2.log").string());
  EXPECT_EQ(count(log, "event=store.unopened"), 1u) << log;
  EXPECT_EQ(count(log, "event=log.opened"), 0u) << log;
  EXPECT_EQ(count(status(2), "store.unopened"), 1u);

  std::filesystem::remove(dir_ / "data-c2");
  EXPECT_TRUE(Eventually([&] {
    std::string now = status(2);
    return count(now, R"("store":{"state":"disk","reason":"")") == 1 &&
           count(now, R"("settled":true)") == 1;
  })) << status(2);
  EXPECT_EQ(count(status(2), "store.opened"), 1u);
}

TEST_F(Programs, AnOrdinaryCommandLine) {
  std::string text;
  EXPECT_EQ(Verb({"proxy", "--help"}, &text), 0);
  EXPECT_NE(text.find("run"), std::string::npos);
  EXPECT_EQ(Verb({"controller", "--version"}, &text), 0);
  EXPECT_EQ(text, "elderkeel controller " ELDERKEEL_VERSION "\n");
  EXPECT_EQ(Verb({"proxy", "frobnicate"}, &text), 2);
  std::string settings = Settings("c9", 0, false);
  EXPECT_EQ(Verb({"controller", "check", "--settings", settings}, &text), 0);
  std::ofstream(settings, std::ios::app) << "elderkeel.poll-ms=soon\n";
  EXPECT_EQ(Verb({"proxy", "run", "--settings", settings}, &text), 2);
  EXPECT_EQ(text, settings + ": elderkeel.poll-ms: has the wrong type\n");
  std::string configuration = (dir_ / "configuration.json").string();
  std::ofstream(configuration) << Document(3, "/a");
  EXPECT_EQ(Verb({"controller", "check", "--configuration", configuration}, &text), 2);
  EXPECT_NE(text.find("route-list/0/path-prefix: has the wrong form"), std::string::npos) << text;
}

}  // namespace
}  // namespace elderkeel
