#include <gtest/gtest.h>

#include "programs/programs_fixture.h"
#include "soak/stall_detector.h"

// Tests of the shutdown of programs under load: clients send requests until the process has exited.

namespace elderkeel {
namespace {

// Calls that are sent within this time before the controller exits may stay unanswered. The tests
// don't judge lost requests if the machine stalled for longer than this.
constexpr base::Millis kLossSlackMs = 200;

// One call or request and its outcome, as its sender observed it.
struct Sent {
  std::string attempt_id = "";
  base::Millis at = 0;
  bool answered = false;
  http::Message answer = {};
};

// Returns the longest stall of the machine itself, in ms.
base::Millis LongestStall(const soak::StallDetector& watch) {
  base::Millis longest = 0;
  for (const soak::Stall& stall : watch.stalls()) longest = std::max(longest, stall.for_ms);
  return longest;
}

class ProgramsThatEnd : public Programs {
 protected:
  // Sends requests one after the other until the process has exited, on a connection that is reused
  // for as long as the proxy keeps it open. The server works 0.3 to 2.2 s on one request in five.
  void SendUntilExit(int client, std::vector<Sent>* sent) {
    base::Random random(static_cast<uint64_t>(client) + 1);
    for (int number = 0; !exited_; ++number) {
      base::Loop loop;
      http::HttpConnection connection(&loop, RequestRouter(0), 1000, http::Limits());
      for (bool keep = true; keep && !exited_; ++number) {
        base::Millis work_ms = static_cast<base::Millis>(
            random.Next() % 5 == 0 ? 300 + random.Next() % 1900 : 5 + random.Next() % 40);
        Sent request;
        request.attempt_id = std::to_string(client) + "-" + std::to_string(number);
        request.at = base::SteadyMillis();
        keep = Exchange(&loop, &connection, work_ms, &request);
        sent->push_back(request);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  // A configuration whose route allows 3 s per request and whose service allows 200 connections.
  std::string SlowRequestDocument(int64_t revision, const std::string& prefix) {
    std::string document = Document(revision, prefix);
    document.replace(document.find("\"timeout-ms\":1000"), 17, "\"timeout-ms\":3000");
    document.replace(document.find("\"max-conns\":20"), 14, "\"max-conns\":200");
    return document;
  }
  // Sends one request and waits for its outcome. Returns whether the connection can be reused.
  bool Exchange(base::Loop* loop, http::HttpConnection* connection, base::Millis work_ms,
                Sent* request) {
    bool done = false;
    connection->Send(
        "GET /a/work-" + std::to_string(work_ms) +
            " HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: " + request->attempt_id +
            "\r\nElderkeel-Remaining-Ms: 3000\r\n\r\n",
        false, [&](http::HttpConnection::Outcome&& outcome) {
          request->answered = outcome.ending == http::HttpConnection::Result::kResponse;
          request->answer = std::move(outcome.response);
          done = true;
        });
    base::Timer wake;
    while (!done) {
      wake.Start(loop, 20, [] {});
      event_base_loop(loop->base(), EVLOOP_ONCE);
    }
    return request->answered && request->answer.keep_alive && connection->Usable();
  }
  // Rule LOST: the server executed the request, but its answer didn't reach the client. Exempt are
  // requests whose work exceeds their time-out of 3 s, and those sent up to 3 s after SIGTERM whose
  // work lasts into the last sixth of the grace time.
  bool IsLost(const Sent& request, base::Millis term_at, base::Millis grace_ms) {
    base::Millis ends = RunEndsAt(request.attempt_id);
    bool served = request.answered && request.answer.Find("Elderkeel-Server-Seal") != nullptr;
    if (ends < 0 || served) return false;
    bool cuttable = request.at <= term_at + 3000 && ends >= term_at + grace_ms * 5 / 6;
    return !cuttable && ends < request.at + 3000;
  }
  std::atomic<bool> exited_{false};
};

// A proxy forwarded requests that arrived later than three seconds after SIGTERM and then cut them
// off, as well as some that their servers would have answered in time. During the shutdown the test
// also sends a second signal, changes the settings, and removes the route for a while.
TEST_F(ProgramsThatEnd, AProxyThatIsUsedUntilItExitsLosesNoRequest) {
  constexpr base::Millis kGraceMs = 6000;
  constexpr int kClients = 16;
  capacity_ = 100;
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, true);
  Start("proxy", "p0", 0, true);
  ASSERT_EQ(CallAnyController("PUT", 0, SlowRequestDocument(3, "/a/")).status, 200);
  ASSERT_TRUE(Eventually([&] { return SendRequest(0, "/a/x") == 200; }));
  soak::StallDetector stalls;
  std::vector<std::vector<Sent>> sent(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back([&, i] { SendUntilExit(i, &sent[i]); });
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  base::Millis term_at = base::SteadyMillis();
  pid_t proxy = running_["p0"];
  kill(proxy, SIGTERM);
  std::thread disturbance([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    std::ofstream(Settings("p0", 0, false), std::ios::app) << "elderkeel.connect-ms=300\n";
    kill(proxy, SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    kill(proxy, SIGTERM);
    EXPECT_EQ(CallAnyController("PUT", 3, SlowRequestDocument(4, "/b/")).status, 200);
    EXPECT_EQ(CallAnyController("PUT", 4, SlowRequestDocument(5, "/a/")).status, 200);
  });
  int status = 0;
  waitpid(proxy, &status, 0);
  base::Millis took = base::SteadyMillis() - term_at;
  running_.erase("p0");
  exited_ = true;
  disturbance.join();
  for (std::thread& client : clients) client.join();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  size_t after = 0, served = 0, lost = 0;
  for (const std::vector<Sent>& requests : sent) {
    for (const Sent& request : requests) {
      if (request.at < term_at) continue;
      ++after;
      served += request.answered && request.answer.status == 200;
      if (!IsLost(request, term_at, kGraceMs)) continue;
      ++lost;
      std::cout << "lost: " << request.attempt_id << " sent at " << request.at - term_at
                << " ms, its server ends at " << RunEndsAt(request.attempt_id) - term_at
                << " ms, status " << request.answer.status << "\n";
    }
  }
  EXPECT_GT(served, 100u);
  EXPECT_GT(after, served);
  if (LongestStall(stalls) > kLossSlackMs) {
    std::cout << "the machine stood still for " << LongestStall(stalls) << " ms: not judged\n";
    return;
  }
  EXPECT_EQ(lost, 0u);
  EXPECT_LT(took, kGraceMs);
}

// A controller exited as soon as it had handed over its part in the log, and left calls unanswered
// that it had read. Such a call can take up to 1.5 s, since it queries nodes that don't reply.
TEST_F(ProgramsThatEnd, AControllerAnswersTheCallsThatItHasReadBeforeItExits) {
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, true);
  for (int i = 0; i < kProxies; ++i) Start("proxy", "p" + std::to_string(i), i, true);
  ASSERT_EQ(CallAnyController("PUT", 0, Document(3, "/a/")).status, 200);
  ASSERT_TRUE(
      Eventually([&] { return SendRequest(0, "/a/x") == 200 && SendRequest(1, "/a/x") == 200; }));
  for (int i = 0; i < kProxies; ++i) kill(running_["p" + std::to_string(i)], SIGSTOP);
  soak::StallDetector stalls;
  std::vector<Sent> calls(60);
  std::vector<std::thread> callers;
  pid_t controller = running_["c0"];
  running_.erase("c0");
  kill(controller, SIGTERM);
  std::thread waiter([&] {
    waitpid(controller, nullptr, 0);
    exited_ = true;
  });
  for (Sent& call : calls) {
    if (exited_) break;
    call.at = base::SteadyMillis();
    callers.emplace_back([&, this] {
      call.answer = Call(Control(0), "GET", "/elderkeel/status", "Connection: close\r\n", "", 0);
      call.answered = call.answer.status != 0;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  waiter.join();
  base::Millis exited_at = base::SteadyMillis();
  for (std::thread& caller : callers) caller.join();
  // The process accepts no calls from the first refused connection on. The exit itself can take
  // much longer, in particular under the sanitizers.
  for (const Sent& call : calls) {
    if (call.answer.reason == "connect refused") exited_at = std::min(exited_at, call.at);
  }
  size_t lost = 0, answered = 0;
  for (const Sent& call : calls) {
    answered += call.answered;
    bool read = call.at > 0 && call.at < exited_at - kLossSlackMs;
    if (!read || call.answered) continue;
    ++lost;
    std::cout << "a call " << exited_at - call.at
              << " ms before the end got no answer: " << call.answer.reason << "\n";
  }
  EXPECT_GT(answered, 10u);
  if (LongestStall(stalls) > kLossSlackMs) {
    std::cout << "the machine stood still for " << LongestStall(stalls) << " ms: not judged\n";
    return;
  }
  EXPECT_EQ(lost, 0u);
}

}  // namespace
}  // namespace elderkeel
