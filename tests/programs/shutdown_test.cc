#include <gtest/gtest.h>

#include "programs/programs_fixture.h"
#include "soak/stall_watch.h"

// Programs that end while they are used: clients go on until the process is gone.

namespace elderkeel {
namespace {

constexpr base::Millis kLossSlackMs = 200;  // within which a request that was read is answered

// One call or request, as its sender saw it.
struct Sent {
  std::string attempt_id = "";
  base::Millis at = 0;
  bool answered = false;
  http::Message answer = {};
};

// How long the machine itself stood still, at most.
base::Millis LongestStall(const soak::StallWatch& watch) {
  base::Millis longest = 0;
  for (const soak::Stall& stall : watch.stalls()) longest = std::max(longest, stall.for_ms);
  return longest;
}

class ProgramsThatEnd : public Programs {
 protected:
  // A client that sends one request after the other until the process is gone, on a connection that
  // it keeps for as long as the proxy does. One in five takes its server 0.3 to 2.2 s.
  void UseUntilGone(int client, std::vector<Sent>* sent) {
    base::Random random(static_cast<uint64_t>(client) + 1);
    for (int number = 0; !gone_; ++number) {
      base::Loop loop;
      http::HttpConnection connection(&loop, RequestRouter(0), 1000, http::Limits());
      for (bool keep = true; keep && !gone_; ++number) {
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
  // A configuration whose route lets requests last, and its service take many.
  std::string Patient(int64_t revision, const std::string& prefix) {
    std::string document = Document(revision, prefix);
    document.replace(document.find("\"timeout-ms\":1000"), 17, "\"timeout-ms\":3000");
    document.replace(document.find("\"max-conns\":20"), 14, "\"max-conns\":200");
    return document;
  }
  // True if the connection can be used again.
  bool Exchange(base::Loop* loop, http::HttpConnection* connection, base::Millis work_ms,
                Sent* request) {
    bool done = false;
    connection->Send("GET /a/work-" + std::to_string(work_ms) +
                         " HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: " +
                         request->attempt_id + "\r\nElderkeel-Remaining-Ms: 3000\r\n\r\n",
                     false, [&](http::HttpConnection::Outcome&& outcome) {
                       request->answered = outcome.ending == http::HttpConnection::Ending::kAnswer;
                       request->answer = std::move(outcome.answer);
                       done = true;
                     });
    base::Timer wake;
    while (!done) {
      wake.Start(loop, 20, [] {});
      event_base_loop(loop->base(), EVLOOP_ONCE);
    }
    return request->answered && request->answer.keep_alive && connection->Usable();
  }
  // Rule LOST: the server ran it, and its answer didn't come, though nothing excuses that.
  bool IsLost(const Sent& request, base::Millis term_at, base::Millis grace_ms) {
    base::Millis ends = RunEnds(request.attempt_id);
    bool served = request.answered && request.answer.Find("Elderkeel-Server-Seal") != nullptr;
    if (ends < 0 || served) return false;
    bool cuttable = request.at <= term_at + 3000 && ends >= term_at + grace_ms * 5 / 6;
    return !cuttable && ends < request.at + 3000;
  }
  std::atomic<bool> gone_{false};
};

// Requests that were sent from three seconds after SIGTERM on were passed on and then cut, and so
// were some whose servers would have answered in time. Beside the signal: a second one, changed
// settings, and a configuration without the route that is used.
TEST_F(ProgramsThatEnd, AProxyThatIsUsedUntilItIsGoneLosesNothing) {
  constexpr base::Millis kGraceMs = 6000;
  constexpr int kClients = 16;
  capacity_ = 100;
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, true);
  Start("proxy", "p0", 0, true);
  ASSERT_EQ(Operate("PUT", 0, Patient(3, "/a/")).status, 200);
  ASSERT_TRUE(Eventually([&] { return Ask(0, "/a/x") == 200; }));
  soak::StallWatch stalls;
  std::vector<std::vector<Sent>> sent(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back([&, i] { UseUntilGone(i, &sent[i]); });
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  base::Millis term_at = base::SteadyMillis();
  pid_t proxy = running_["p0"];
  kill(proxy, SIGTERM);
  std::thread trouble([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    std::ofstream(Settings("p0", 0, false), std::ios::app) << "elderkeel.connect-ms=300\n";
    kill(proxy, SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    kill(proxy, SIGTERM);
    EXPECT_EQ(Operate("PUT", 3, Patient(4, "/b/")).status, 200);
    EXPECT_EQ(Operate("PUT", 4, Patient(5, "/a/")).status, 200);
  });
  int status = 0;
  waitpid(proxy, &status, 0);
  base::Millis took = base::SteadyMillis() - term_at;
  running_.erase("p0");
  gone_ = true;
  trouble.join();
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
                << " ms, its server ends at " << RunEnds(request.attempt_id) - term_at
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

// A controller went as soon as its log was elsewhere, with calls unanswered whose answers take up
// to 1.5 s, since nodes that are asked are silent.
TEST_F(ProgramsThatEnd, AControllerAnswersTheCallsThatItHasRead) {
  for (int i = 0; i < kControllers; ++i) Start("controller", "c" + std::to_string(i), i, true);
  for (int i = 0; i < kProxies; ++i) Start("proxy", "p" + std::to_string(i), i, true);
  ASSERT_EQ(Operate("PUT", 0, Document(3, "/a/")).status, 200);
  ASSERT_TRUE(Eventually([&] { return Ask(0, "/a/x") == 200 && Ask(1, "/a/x") == 200; }));
  for (int i = 0; i < kProxies; ++i) kill(running_["p" + std::to_string(i)], SIGSTOP);
  soak::StallWatch stalls;
  std::vector<Sent> calls(60);
  std::vector<std::thread> callers;
  pid_t controller = running_["c0"];
  running_.erase("c0");
  kill(controller, SIGTERM);
  std::thread waiter([&] {
    waitpid(controller, nullptr, 0);
    gone_ = true;
  });
  for (Sent& call : calls) {
    if (gone_) break;
    call.at = base::SteadyMillis();
    callers.emplace_back([&, this] {
      call.answer = Call(Control(0), "GET", "/elderkeel/status", "Connection: close\r\n", "", 0);
      call.answered = call.answer.status != 0;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  waiter.join();
  base::Millis gone_at = base::SteadyMillis();
  for (std::thread& caller : callers) caller.join();
  // The process takes no more calls from the first refused connection on; its exit takes its time,
  // under the sanitizers above all.
  for (const Sent& call : calls) {
    if (call.answer.reason == "connect refused") gone_at = std::min(gone_at, call.at);
  }
  size_t lost = 0, answered = 0;
  for (const Sent& call : calls) {
    answered += call.answered;
    bool read = call.at > 0 && call.at < gone_at - kLossSlackMs;
    if (!read || call.answered) continue;
    ++lost;
    std::cout << "a call " << gone_at - call.at
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
