#include <gtest/gtest.h>

#include "programs/programs_fixture.h"

namespace elderkeel {
namespace {

// Takes the real programs through configuration changes, the loss of the leader and of all
// controllers, diagnosis, changed settings and a shutdown. Guards against programs that work in the
// simulation only.
TEST_F(Programs, KeepServingAndAcknowledgedChangesThroughLossAndReturnOfControllers) {
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, true);
  for (int i = 0; i < kProxies; ++i) Start("proxy", "p" + std::to_string(i), i, true);
  ASSERT_EQ(CallAnyController("PUT", 0, Document(3, "/a/")).status, 200);
  // A change that exceeds the limit of replication is rejected and doesn't block later changes.
  http::Message large =
      CallAnyController("PUT", 3, Document(9, "/a/") + std::string(9u << 20, ' '));
  EXPECT_EQ(large.status, 413);
  EXPECT_NE(large.body.find(std::to_string(4u << 20)), std::string::npos) << large.body;
  for (int i = 0; i < kProxies; ++i) {
    EXPECT_TRUE(Eventually([&] { return Call(Ready(i), "GET", "/elderkeel/ready").status == 200; }))
        << i;
    EXPECT_EQ(SendRequest(i, "/a/x"), 200);
    EXPECT_TRUE(Eventually([&] { return SendRequest(i, "/b/x") == 404; }));
  }

  // Of two changes of the same revision, sent to different controllers, one is accepted.
  int first = 0, second = 0;
  std::thread rival([&] { second = CallAnyController("PUT", 3, Document(5, "/b/"), 1).status; });
  first = CallAnyController("PUT", 3, Document(4, "/b/"), 2).status;
  rival.join();
  EXPECT_EQ(std::min(first, second), 200);
  EXPECT_EQ(std::max(first, second), 412);
  int64_t current = first == 200 ? 4 : 5;
  EXPECT_EQ(CallAnyController("PUT", current, Document(current, "/b/")).status, 400);
  EXPECT_EQ(CallAnyController("PUT", current, "{\"revision\":").status, 400);
  EXPECT_TRUE(
      Eventually([&] { return SendRequest(0, "/b/x") == 200 && SendRequest(1, "/b/x") == 200; }));
  EXPECT_TRUE(Eventually([&] { return SendRequest(0, "/a/x") == 404; }));

  // The leader is killed and the others go on. After its restart it catches up.
  std::string text, leader;
  ASSERT_TRUE(Eventually([&] {
    RunCommand({"controller", "status", "--control", Control(0).ToString()}, &text);
    size_t at = text.find("leader      127.0.1.");
    if (at == std::string::npos) return false;
    leader = "c" + std::to_string(text[at + 20] - '1');
    return true;
  })) << text;
  EXPECT_EQ(Stop(leader, SIGKILL), -SIGKILL);
  ASSERT_EQ(
      CallAnyController(
          "PATCH", current,
          R"({"revision":9,"upsert":{"route-list":[{"label":"r2","host":"h.example","path-prefix":"/c/","variant":"effectful","timeout-ms":900,"target":"s"}]}})")
          .status,
      200);
  EXPECT_TRUE(
      Eventually([&] { return SendRequest(0, "/c/x") == 200 && SendRequest(1, "/c/x") == 200; }));
  EXPECT_EQ(SendRequest(0, "/b/x"), 200);
  Start("controller", leader, leader[1] - '0', false);
  EXPECT_TRUE(Eventually([&] {
    http::Message answer = CallAnyController("GET", -1, "", leader[1] - '0');
    return answer.status == 200 && answer.body.find("\"revision\":9") != std::string::npos;
  }));

  // All controllers are killed at once. The proxies keep serving, and after the restart the
  // controllers still have the acknowledged changes.
  for (int i = 0; i < kControllers; ++i) Stop("c" + std::to_string(i), SIGKILL);
  EXPECT_EQ(SendRequest(0, "/c/x"), 200);
  EXPECT_EQ(RunCommand({"controller", "status", "--control", Control(0).ToString()}, &text), 3);
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, false);
  EXPECT_NE(CallAnyController("GET", -1, "").body.find("\"revision\":9"), std::string::npos);

  // A proxy answers 404 for an unknown route once its configuration is confirmed as current again.
  // The diagnosis reports the outcome of that request from the proxy's records.
  EXPECT_TRUE(Eventually([&] { return SendRequest(1, "/nowhere/") == 404; }));
  EXPECT_TRUE(Eventually([&] {
    return RunCommand(
               {"controller", "diagnose", "--control", Control(0).ToString(), "--attempt", "id-1"},
               &text) == 0 &&
           text.find("conclusion  p1 answered 404") != std::string::npos;
  })) << text;

  // Invalid settings are logged and the old ones stay in force; valid ones are applied.
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
  EXPECT_EQ(SendRequest(0, "/c/x"), 200);

  EXPECT_EQ(Stop("p1", SIGTERM), 0);
  EXPECT_EQ(Stop("c1", SIGTERM), 0);
  EXPECT_EQ(SendRequest(0, "/c/x"), 200);
}

// A controller that can't open the store in its data folder must not join the Raft group without
// it, or it could vote twice in a term. It reports the state, redirects callers, and joins once it
// can open the store.
TEST_F(Programs, AControllerWhoseStoreCannotBeOpenedStaysOutOfTheGroupUntilItCan) {
  std::ofstream(dir_ / "data-c2") << "a file where the folder is to be";
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, true);
  ASSERT_EQ(CallAnyController("PUT", 0, Document(3, "/a/")).status, 200);
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
  EXPECT_EQ(RunCommand({"controller", "status", "--control", Control(2).ToString()}, &text), 1);
  EXPECT_NE(text.find("store       unopened: "), std::string::npos) << text;
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));  // several more attempts
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

// Guards the exit status and the texts of the command line, on which operators' scripts rely.
TEST_F(Programs, TheCommandLineReportsHelpVersionAndInvalidInput) {
  std::string text;
  EXPECT_EQ(RunCommand({"proxy", "--help"}, &text), 0);
  EXPECT_NE(text.find("run"), std::string::npos);
  EXPECT_EQ(RunCommand({"controller", "--version"}, &text), 0);
  EXPECT_EQ(text, "elderkeel controller " ELDERKEEL_VERSION "\n");
  EXPECT_EQ(RunCommand({"proxy", "frobnicate"}, &text), 2);
  std::string settings = Settings("c9", 0, false);
  EXPECT_EQ(RunCommand({"controller", "check", "--settings", settings}, &text), 0);
  std::ofstream(settings, std::ios::app) << "elderkeel.poll-ms=soon\n";
  EXPECT_EQ(RunCommand({"proxy", "run", "--settings", settings}, &text), 2);
  EXPECT_EQ(text, settings + ": elderkeel.poll-ms: has the wrong type\n");
  std::string configuration = (dir_ / "configuration.json").string();
  std::ofstream(configuration) << Document(3, "/a");
  EXPECT_EQ(RunCommand({"controller", "check", "--configuration", configuration}, &text), 2);
  EXPECT_NE(text.find("route-list/0/path-prefix: has the wrong form"), std::string::npos) << text;
}

}  // namespace
}  // namespace elderkeel
