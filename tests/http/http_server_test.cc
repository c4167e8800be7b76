#include "http/http_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace elderkeel::http {
namespace {

// A server that answers when the test says so, and clients as bare sockets.
class HttpServerTest : public ::testing::Test {
 protected:
  HttpServerTest()
      : server_(&loop_, MakeOptions(),
                [this](HttpServer::Ticket ticket, Message&&) { tickets_.push_back(ticket); }) {
    address_.ip = "127.0.0.1";
    for (address_.port = 23000; address_.port < 24000; ++address_.port) {
      if (server_.Listen(address_).has_value()) return;
    }
  }
  ~HttpServerTest() override {
    for (int fd : clients_) close(fd);
  }
  static constexpr size_t kMaxBufferedBytes = 1000;
  static HttpServer::Options MakeOptions() {
    HttpServer::Options options;
    options.limits = [] { return Limits(); };
    options.pipeline = 4;
    options.may_run_out_of_order = [](const Message&) { return true; };
    options.max_buffered_bytes = kMaxBufferedBytes;
    return options;
  }
  template <class Condition>
  bool RunUntil(Condition condition, base::Millis at_most = 5000) {
    base::Millis end = base::SteadyMillis() + at_most;
    base::Timer wake;
    while (!condition()) {
      if (base::SteadyMillis() >= end) return false;
      wake.Start(&loop_, 2, [] {});
      event_base_loop(loop_.base(), EVLOOP_ONCE);
    }
    return true;
  }
  // Sends `count` requests in one piece on a new connection, and waits until they are read.
  int Ask(size_t count) {
    int fd = transport::StartConnect(address_, 0);
    clients_.push_back(fd);
    std::string bytes;
    for (size_t i = 0; i < count; ++i) bytes += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    size_t wanted = tickets_.size() + count;
    EXPECT_TRUE(RunUntil([&] {
      return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
             static_cast<ssize_t>(bytes.size());
    }));
    EXPECT_TRUE(RunUntil([&] { return tickets_.size() == wanted; }));
    return fd;
  }
  // Sends a request with a body on a new connection.
  int Post(size_t body_bytes) {
    int fd = transport::StartConnect(address_, 0);
    clients_.push_back(fd);
    std::string bytes =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    bytes.append(body_bytes, 'b');
    EXPECT_TRUE(RunUntil([&] {
      return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
             static_cast<ssize_t>(bytes.size());
    }));
    return fd;
  }
  std::string Receive(int fd) {
    std::string all;
    char buffer[4096];
    for (ssize_t n; (n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0;) {
      all.append(buffer, static_cast<size_t>(n));
    }
    return all;
  }
  // Waits until so many answers have come on the connection.
  std::string Await(int fd, size_t answers) {
    std::string all;
    auto count = [&all] {
      size_t n = 0;
      for (size_t at = 0; (at = all.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++n;
      return n;
    };
    EXPECT_TRUE(RunUntil([&] {
      all += Receive(fd);
      return count() >= answers;
    })) << all;
    return all;
  }

  base::Loop loop_;
  base::Address address_;
  std::vector<HttpServer::Ticket> tickets_;
  std::vector<int> clients_;
  HttpServer server_;
};

// A process ended, or closed what it took for idle, right behind its last answer: what the client
// had sent meanwhile reset the connection and could take the answer with it.
TEST_F(HttpServerTest, IsBusyUntilTheClientHasClosedBehindTheLastAnswer) {
  server_.SetLeaving(true);
  int client = Ask(1);
  server_.Answer(tickets_[0], OwnAnswer(200, "whole"));
  std::string answer = Await(client, 1);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_EQ(server_.busy(), 1u);
  server_.CloseIdle();
  EXPECT_EQ(server_.busy(), 1u);
  shutdown(client, SHUT_RDWR);
  EXPECT_TRUE(RunUntil([&] { return server_.busy() == 0; }, 500));
}

TEST_F(HttpServerTest, WaitsForAClientThatNeverClosesForALimitedTime) {
  server_.SetLeaving(true);
  int client = Ask(1);
  server_.Answer(tickets_[0], OwnAnswer(200, "whole"));
  Await(client, 1);
  EXPECT_TRUE(RunUntil([&] { return server_.busy() == 0; }, 3000));
}

// While leaving, only the last of the answers that are owed ends the connection.
TEST_F(HttpServerTest, AnswersAllThatWaitAtOnceInTheirOrder) {
  server_.SetLeaving(true);
  int first = Ask(3), second = Ask(1);
  server_.Answer(tickets_[1], OwnAnswer(200, "own"));  // waits for its turn
  server_.AnswerAll(OwnAnswer(503, "end"));
  std::string answers = Await(first, 3);
  size_t own = answers.find("HTTP/1.1 200");
  EXPECT_LT(answers.find("HTTP/1.1 503"), own) << answers;
  EXPECT_GT(answers.rfind("HTTP/1.1 503"), own) << answers;
  EXPECT_GT(answers.find("Connection: close"), answers.rfind("HTTP/1.1 503")) << answers;
  EXPECT_NE(Await(second, 1).find("HTTP/1.1 503"), std::string::npos);
  // Who answers late finds nobody.
  EXPECT_FALSE(server_.Answer(tickets_[0], OwnAnswer(200, "late")));
}

// Bodies that were read whole and waited for a server were in no sum: uploads took a proxy beyond
// the memory that the platform allows it.
TEST_F(HttpServerTest, BodiesCountUntilTheyAreAnswered) {
  int first = Post(800);
  ASSERT_TRUE(RunUntil([&] { return tickets_.size() == 1; }));
  EXPECT_EQ(server_.buffered_bytes(), 800u);
  std::string refused = Await(Post(800), 1);
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos) << refused;
  EXPECT_NE(refused.find("Retry-After"), std::string::npos) << refused;
  EXPECT_EQ(tickets_.size(), 1u);
  Ask(1);  // what has no body takes no part in it
  EXPECT_TRUE(server_.Answer(tickets_[0], OwnAnswer(200, "whole")));
  Await(first, 1);
  EXPECT_TRUE(RunUntil([&] { return server_.buffered_bytes() == 0; }));
  Post(800);
  EXPECT_TRUE(RunUntil([&] { return tickets_.size() == 3; }));
}

TEST_F(HttpServerTest, BodiesOfClientsThatLeaveCountNoMore) {
  int client = Post(800);
  ASSERT_TRUE(RunUntil([&] { return tickets_.size() == 1; }));
  linger hard{1, 0};
  setsockopt(client, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close(client);
  clients_.pop_back();
  EXPECT_TRUE(RunUntil([&] { return server_.buffered_bytes() == 0; }));
}

}  // namespace
}  // namespace elderkeel::http
