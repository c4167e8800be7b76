#include "proxy/shutdown.h"

#include <gtest/gtest.h>

#include <deque>

#include "forwarding/request_router_fixture.h"

namespace elderkeel::proxy {
namespace {

using forwarding::HeaderOf;
using forwarding::OpenConnection;
using forwarding::SuccessAnswer;
using Phase = lifecycle::Lifecycle::Phase;

std::string NoAnswer(const std::string&) { return ""; }

class ShutdownTest : public forwarding::RequestRouterTest {
 protected:
  static constexpr base::Millis kGraceMs = 6000;

  // Starts a server that does not answer until the test sends its answers.
  forwarding::FakeServer* ServeWithoutAnswers(int64_t capacity = 100) {
    forwarding::FakeServer* server = AddServer("i-1", NoAnswer);
    endpoints_.servers.back().capacity = capacity;
    Configure(9000, 9000);
    return server;
  }
  std::string AskFor(const std::string& id, const std::string& kind = "get") {
    return RequestText(kind, id, "9000");
  }
  // Carries out the phase `elapsed` milliseconds after SIGTERM; true if the process may end.
  bool AdvanceAt(base::Millis elapsed) {
    lifecycle::Lifecycle::Options options;
    options.grace = kGraceMs;
    lifecycle::Lifecycle lifecycle(options);
    lifecycle.Leave(0);
    return AdvanceShutdown(lifecycle.PhaseAt(elapsed, router_->busy()), router_.get());
  }
  void LeaveAccepting() { router_->BeginShutdown(base::SteadyMillis() + 60000); }
  void LeaveRejecting() { router_->BeginShutdown(base::SteadyMillis()); }
  bool WaitForRequests(const forwarding::FakeServer& server, size_t count) {
    return RunUntil([&] { return server.requests.size() >= count; });
  }
  bool WaitForAnswers(OpenConnection* connection, int count) {
    return RunUntil([&] {
      connection->Receive();
      return CountAnswers(connection->answers()) >= count;
    });
  }
};

// Requests in flight were answered 502 at four fifths of the grace time, though their servers would
// have answered before the last sixth of it.
TEST_F(ShutdownTest, WaitsForServersUntilTheLastSixthOfTheGraceTime) {
  forwarding::FakeServer* server = ServeWithoutAnswers();
  OpenConnection client = Open(AskFor("early"));
  ASSERT_TRUE(WaitForRequests(*server, 1));
  LeaveAccepting();
  for (base::Millis elapsed = 0; elapsed <= kGraceMs * 5 / 6; elapsed += 100) {
    EXPECT_FALSE(AdvanceAt(elapsed)) << elapsed;
  }
  server->SendLate(0, SuccessAnswer(server->requests[0]));
  ASSERT_TRUE(WaitForAnswers(&client, 1));
  EXPECT_EQ(Status(client.answers()), 200) << client.answers();
  EXPECT_NE(client.answers().find("Connection: close"), std::string::npos);
}

// Requests that came more than three seconds after SIGTERM were sent to servers. The shutdown may
// not fail such late requests, so they must be rejected instead.
TEST_F(ShutdownTest, RejectsLateRequestsOnOpenConnections) {
  forwarding::FakeServer* server = ServeWithoutAnswers();
  OpenConnection used = Open(AskFor("before"));
  ASSERT_TRUE(WaitForRequests(*server, 1));
  OpenConnection idle(settings_.front);
  LeaveRejecting();
  ASSERT_TRUE(RunUntil([&] { return idle.TrySend(AskFor("late", "post")); }));
  ASSERT_TRUE(WaitForAnswers(&idle, 1));
  EXPECT_EQ(Status(idle.answers()), 503) << idle.answers();
  EXPECT_NE(idle.answers().find("Retry-After: "), std::string::npos);
  // Late requests behind one that is in flight wait for their turn, and are answered as well.
  ASSERT_TRUE(used.TrySend(AskFor("behind-1") + AskFor("behind-2", "post")));
  RunUntil([end = base::SteadyMillis() + 50] { return base::SteadyMillis() > end; });
  server->SendLate(0, SuccessAnswer(server->requests[0]));
  ASSERT_TRUE(WaitForAnswers(&used, 3));
  EXPECT_EQ(Status(used.answers()), 200) << used.answers();
  EXPECT_NE(used.answers().rfind("HTTP/1.1 503"), used.answers().find("HTTP/1.1 503"));
  EXPECT_EQ(server->requests.size(), 1u);
}

// A request that a client had sent behind one in flight was read, and lost when the connection
// closed with the answer to the first one.
TEST_F(ShutdownTest, AnswersARequestThatWasReadBehindOneInFlight) {
  forwarding::FakeServer* server = ServeWithoutAnswers();
  OpenConnection client = Open(AskFor("first"));
  ASSERT_TRUE(WaitForRequests(*server, 1));
  LeaveAccepting();
  ASSERT_TRUE(client.TrySend(AskFor("second")));
  ASSERT_TRUE(WaitForRequests(*server, 2));
  server->SendLate(0, SuccessAnswer(server->requests[0]));
  ASSERT_TRUE(WaitForAnswers(&client, 1));
  EXPECT_EQ(client.answers().find("Connection: close"), std::string::npos) << client.answers();
  server->SendLate(1, SuccessAnswer(server->requests[1]));
  ASSERT_TRUE(WaitForAnswers(&client, 2));
  EXPECT_NE(client.answers().find("Connection: close"), std::string::npos) << client.answers();
}

// Failing one request freed a slot at its server for a waiting request, which was sent there and
// failed at once.
TEST_F(ShutdownTest, SendsNoWaitingRequestWhileFailingRequestsInFlight) {
  forwarding::FakeServer* server = ServeWithoutAnswers(2);
  std::deque<OpenConnection> clients;
  for (int i = 0; i < 24; ++i) clients.push_back(Open(AskFor(std::to_string(i), "post")));
  ASSERT_TRUE(WaitForRequests(*server, 2));
  ASSERT_TRUE(RunUntil([&] { return router_->busy() == clients.size(); }));
  LeaveAccepting();
  size_t waiting = 0;
  EXPECT_FALSE(AdvanceAt(kGraceMs * 23 / 24));
  for (OpenConnection& client : clients) {
    ASSERT_TRUE(WaitForAnswers(&client, 1));
    waiting += Status(client.answers()) == 503;
  }
  EXPECT_EQ(waiting, clients.size() - 2);
  EXPECT_EQ(server->requests.size(), 2u);
}

// A process that was suspended throughout the answering phase ended in the same pass in which it
// wrote the last answers, and they were lost.
TEST_F(ShutdownTest, SendsTheLastAnswersAfterASuspensionOfTheProcess) {
  forwarding::FakeServer* server = ServeWithoutAnswers();
  OpenConnection client = Open(AskFor("a"));
  ASSERT_TRUE(WaitForRequests(*server, 1));
  LeaveAccepting();
  EXPECT_FALSE(AdvanceAt(kGraceMs * 2));
  ASSERT_TRUE(WaitForAnswers(&client, 1));
  EXPECT_EQ(Status(client.answers()), 502);
  EXPECT_TRUE(AdvanceAt(kGraceMs * 2));
}

// Failing a request whose answer is streamed closes its connection, which ends the requests behind
// it as well. These were then failed a second time.
TEST_F(ShutdownTest, FailsStreamsAndTheRequestsBehindThemOnce) {
  constexpr size_t kBehind = 5;
  settings_.max_buffered_body_bytes = 2048;
  forwarding::FakeServer* server = ServeWithoutAnswers();
  std::deque<OpenConnection> clients;
  for (int i = 0; i < 4; ++i) {
    std::string requests = AskFor("stream");
    for (size_t k = 0; k < kBehind; ++k) requests += AskFor("behind");
    size_t before = server->requests.size();
    clients.push_back(Open(requests));
    ASSERT_TRUE(WaitForRequests(*server, before + 1 + kBehind));
    std::string answer = SuccessAnswer(server->requests[before], std::string(90000, 'x'));
    server->SendLate(before, answer.substr(0, 50000));
    ASSERT_TRUE(RunUntil([&] {
      clients.back().Receive();
      return clients.back().answers().size() > 40000;
    }));
  }
  LeaveAccepting();
  EXPECT_FALSE(AdvanceAt(kGraceMs));
  for (OpenConnection& client : clients) {
    ASSERT_TRUE(RunUntil([&] {
      client.Receive();
      return client.closed();
    }));
    EXPECT_EQ(CountAnswers(client.answers()), 0);
  }
  EXPECT_TRUE(AdvanceAt(kGraceMs));
}

// An answer that is being streamed when the unanswered requests are failed must be continued,
// whether its server or its client is slow.
TEST_F(ShutdownTest, ContinuesAnAnswerThatIsBeingStreamed) {
  settings_.max_buffered_body_bytes = 2048;
  forwarding::FakeServer* server = ServeWithoutAnswers();
  OpenConnection client = Open(AskFor("stream"));
  ASSERT_TRUE(WaitForRequests(*server, 1));
  constexpr size_t kBodyBytes = 3000000;
  std::string answer = SuccessAnswer(server->requests[0], std::string(kBodyBytes, 'x'));
  server->SendLate(0, answer.substr(0, 50000));
  LeaveAccepting();
  ASSERT_TRUE(RunUntil([&] {
    client.Receive(1);
    return !client.answers().empty();
  }));
  EXPECT_FALSE(AdvanceAt(kGraceMs * 23 / 24));
  server->SendLate(0, answer.substr(50000));
  ASSERT_TRUE(RunUntil([&] {
    client.Receive(20000);
    EXPECT_FALSE(AdvanceAt(kGraceMs * 23 / 24)) << client.answers().size();
    // Parsed only once it may be complete: parsing it at each step takes seconds.
    bool may_be_complete = client.answers().size() > kBodyBytes;
    return (may_be_complete && CountAnswers(client.answers()) == 1) || HasFailure();
  }));
}

// A request that begins in time but whose body is complete only after accept_until must be answered
// 503, and not sent to a server.
TEST_F(ShutdownTest, RejectsARequestWhoseBodyIsCompleteTooLate) {
  forwarding::FakeServer* server = ServeWithoutAnswers();
  std::string request = AskFor("long", "post");
  OpenConnection client = Open(request.substr(0, request.size() - 2));
  ASSERT_TRUE(RunUntil([&] { return router_->busy() == 1; }));
  LeaveRejecting();
  EXPECT_FALSE(AdvanceAt(kGraceMs * 5 / 6));
  ASSERT_TRUE(client.TrySend(request.substr(request.size() - 2)));
  ASSERT_TRUE(WaitForAnswers(&client, 1));
  EXPECT_EQ(Status(client.answers()), 503);
  EXPECT_TRUE(server->requests.empty());
}

// A request that was accepted in time may be retried at a second server, even after accept_until.
TEST_F(ShutdownTest, RetriesARequestLateThatWasAcceptedInTime) {
  forwarding::FakeServer* near = AddServer("i-1", NoAnswer);
  endpoints_.servers.back().capacity = 100;
  forwarding::FakeServer* far = AddServer("i-2", NoAnswer);
  Configure(9000, 9000);
  std::deque<OpenConnection> clients;  // several, so that the budget has a retry
  for (const char* id : {"a", "b", "c", "d"}) clients.push_back(Open(AskFor(id)));
  ASSERT_TRUE(WaitForRequests(*near, 4));
  LeaveRejecting();
  EXPECT_FALSE(AdvanceAt(kGraceMs * 5 / 6));
  near->SendLate(0, "HTTP/1.1 500 Failed\r\nElderkeel-Attempt-Id: " +
                        HeaderOf(near->requests[0], "Elderkeel-Attempt-Id") +
                        "\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(WaitForRequests(*far, 1));
  EXPECT_FALSE(AdvanceAt(kGraceMs * 5 / 6 + 100));
  far->SendLate(0, SuccessAnswer(far->requests[0]));
  for (size_t number : {1, 2, 3}) near->SendLate(number, SuccessAnswer(near->requests[number]));
  for (OpenConnection& client : clients) {
    ASSERT_TRUE(WaitForAnswers(&client, 1));
    EXPECT_EQ(Status(client.answers()), 200) << client.answers();
  }
}

// A request in flight must be completed even if a new configuration shortens its timeout or removes
// its route and service, and a new list of endpoints removes its server.
TEST_F(ShutdownTest, KeepsARequestWhoseRouteServiceAndServerAreRemoved) {
  forwarding::FakeServer* server = ServeWithoutAnswers();
  OpenConnection shortened = Open(AskFor("a")), removed = Open(AskFor("b", "post"));
  ASSERT_TRUE(WaitForRequests(*server, 2));
  Configure(50, 50);
  RunUntil([end = base::SteadyMillis() + 150] { return base::SteadyMillis() > end; });
  router_->Adopt(
      configuration::RoutingTable::Build(R"({"revision":2,"route-list":[],"service-list":[]})",
                                         router_->service_names(), router_->regions()));
  LeaveAccepting();
  router_->Adopt(discovery::EndpointSnapshot{1, 2, {}});
  EXPECT_FALSE(AdvanceAt(kGraceMs * 5 / 6));
  for (size_t number : {0, 1}) server->SendLate(number, SuccessAnswer(server->requests[number]));
  ASSERT_TRUE(WaitForAnswers(&shortened, 1));
  ASSERT_TRUE(WaitForAnswers(&removed, 1));
  EXPECT_EQ(Status(shortened.answers()), 200) << shortened.answers();
  EXPECT_EQ(Status(removed.answers()), 200) << removed.answers();
}

// Clients connect to a stopping proxy until it ends, each with one request, and its server never
// answers. Each request that was sent to the server must be answered before the end, and late
// requests must be rejected without being sent to it.
TEST_F(ShutdownTest, AStoppingProxyAnswersEveryRequestThatItAccepts) {
  forwarding::FakeServer* server = ServeWithoutAnswers();
  struct Client {
    int fd = -1;
    std::string id;
    base::Millis begun = 0;  // since the shutdown began
    bool sent = false;
    std::string answer = "";
  };
  lifecycle::Lifecycle::Options options;
  options.grace = 1200;
  options.notice = 500;
  lifecycle::Lifecycle lifecycle(options);
  base::Millis begin = base::SteadyMillis();
  lifecycle.Leave(begin);
  router_->BeginShutdown(lifecycle.accept_until());
  std::vector<Client> clients;
  base::Timer tick, wake;
  bool ended = false;
  tick.Repeat(&loop_, 20, [&] {
    ended |=
        AdvanceShutdown(lifecycle.PhaseAt(base::SteadyMillis(), router_->busy()), router_.get());
  });
  auto receive = [](Client* client) {
    char buffer[4096];
    for (ssize_t n; (n = recv(client->fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0;) {
      client->answer.append(buffer, static_cast<size_t>(n));
    }
  };
  base::Millis next = begin;
  while (!ended && base::SteadyMillis() - begin < 3000) {
    base::Millis now = base::SteadyMillis();
    if (now >= next) {
      next = now + 15;
      clients.push_back({transport::StartConnect(settings_.front, 0),
                         "late-" + std::to_string(clients.size()), now - begin});
    }
    wake.Start(&loop_, 2, [] {});
    event_base_loop(loop_.base(), EVLOOP_ONCE);
    for (Client& client : clients) {
      std::string bytes = RequestText("post", client.id, "9000");
      if (!client.sent) client.sent = send(client.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
      receive(&client);
    }
  }
  EXPECT_TRUE(ended);
  router_.reset();  // as when the process ends
  int offered = 0, rejected = 0;
  for (Client& client : clients) {
    receive(&client);
    bool ran = std::any_of(
        server->requests.begin(), server->requests.end(),
        [&](const std::string& r) { return HeaderOf(r, "Elderkeel-Attempt-Id") == client.id; });
    offered += ran;
    rejected += Status(client.answer) == 503;
    if (ran) {
      EXPECT_EQ(CountAnswers(client.answer), 1) << client.id << " at " << client.begun << " ms";
      EXPECT_LT(begin + client.begun, lifecycle.accept_until()) << client.id;
    }
    close(client.fd);
  }
  EXPECT_GT(offered, 10);
  EXPECT_GT(rejected, 5);
}

}  // namespace
}  // namespace elderkeel::proxy
