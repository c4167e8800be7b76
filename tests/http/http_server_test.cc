#include "http/http_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace elderkeel::http {
namespace {

// A server whose requests the test answers by their tickets, and clients that are plain sockets.
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
  // Sends `count` pipelined requests on a new connection and waits until the handler has received
  // them.
  int SendRequests(size_t count) {
    int fd = transport::StartConnect(address_, 0);
    clients_.push_back(fd);
    std::string bytes;
    for (size_t i = 0; i < count; ++i) bytes += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    size_t expected_tickets = tickets_.size() + count;
    EXPECT_TRUE(RunUntil([&] {
      return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
             static_cast<ssize_t>(bytes.size());
    }));
    EXPECT_TRUE(RunUntil([&] { return tickets_.size() == expected_tickets; }));
    return fd;
  }
  // Sends a request with a body on a new connection.
  int SendRequestWithBody(size_t body_bytes) {
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
  // Returns the bytes that have arrived, without waiting.
  std::string Receive(int fd) {
    std::string all;
    char buffer[4096];
    for (ssize_t n; (n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0;) {
      all.append(buffer, static_cast<size_t>(n));
    }
    return all;
  }
  // Waits for `expected` responses and returns all bytes received.
  std::string AwaitResponses(int fd, size_t expected) {
    std::string all;
    auto count = [&all] {
      size_t n = 0;
      for (size_t at = 0; (at = all.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++n;
      return n;
    };
    EXPECT_TRUE(RunUntil([&] {
      all += Receive(fd);
      return count() >= expected;
    })) << all;
    return all;
  }

  base::Loop loop_;
  base::Address address_;
  std::vector<HttpServer::Ticket> tickets_;
  std::vector<int> clients_;
  HttpServer server_;
};

// Guards against lost responses at shutdown: if the process ends or closes a connection right after
// its last response, bytes that the client has sent meanwhile reset the connection, and the client
// may lose the response.
TEST_F(HttpServerTest, ConnectionStaysBusyUntilTheClientClosesAfterTheLastResponse) {
  server_.SetDraining(true);
  int client = SendRequests(1);
  server_.Respond(tickets_[0], OwnAnswer(200, "whole"));
  std::string answer = AwaitResponses(client, 1);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_EQ(server_.busy(), 1u);
  server_.CloseIdle();
  EXPECT_EQ(server_.busy(), 1u);
  shutdown(client, SHUT_RDWR);
  EXPECT_TRUE(RunUntil([&] { return server_.busy() == 0; }, 500));
}

TEST_F(HttpServerTest, LingerEndsIfTheClientNeverCloses) {
  server_.SetDraining(true);
  int client = SendRequests(1);
  server_.Respond(tickets_[0], OwnAnswer(200, "whole"));
  AwaitResponses(client, 1);
  EXPECT_TRUE(RunUntil([&] { return server_.busy() == 0; }, 3000));
}

// During shutdown, only the last response that is due on a connection carries Connection: close;
// otherwise the client would not receive the others.
TEST_F(HttpServerTest, AnswerAllKeepsTheOrderOfPipelinedRequests) {
  server_.SetDraining(true);
  int first = SendRequests(3), second = SendRequests(1);
  server_.Respond(tickets_[1], OwnAnswer(200, "own"));  // is sent after the first one
  server_.RespondToAll(OwnAnswer(503, "end"));
  std::string responses = AwaitResponses(first, 3);
  size_t own = responses.find("HTTP/1.1 200");
  EXPECT_LT(responses.find("HTTP/1.1 503"), own) << responses;
  EXPECT_GT(responses.rfind("HTTP/1.1 503"), own) << responses;
  EXPECT_GT(responses.find("Connection: close"), responses.rfind("HTTP/1.1 503")) << responses;
  EXPECT_NE(AwaitResponses(second, 1).find("HTTP/1.1 503"), std::string::npos);
  // The request was answered by RespondToAll().
  EXPECT_FALSE(server_.Respond(tickets_[0], OwnAnswer(200, "late")));
}

// Guards against uploads that take a proxy beyond its memory limit: bodies that were read
// completely and waited for a server did not count towards max_buffered_bytes.
TEST_F(HttpServerTest, BodiesCountTowardsTheLimitUntilAnswered) {
  int first = SendRequestWithBody(800);
  ASSERT_TRUE(RunUntil([&] { return tickets_.size() == 1; }));
  EXPECT_EQ(server_.buffered_bytes(), 800u);
  std::string refused = AwaitResponses(SendRequestWithBody(800), 1);
  EXPECT_NE(refused.find("HTTP/1.1 503"), std::string::npos) << refused;
  EXPECT_NE(refused.find("Retry-After"), std::string::npos) << refused;
  EXPECT_EQ(tickets_.size(), 1u);
  SendRequests(1);  // requests without a body are not limited
  EXPECT_TRUE(server_.Respond(tickets_[0], OwnAnswer(200, "whole")));
  AwaitResponses(first, 1);
  EXPECT_TRUE(RunUntil([&] { return server_.buffered_bytes() == 0; }));
  SendRequestWithBody(800);
  EXPECT_TRUE(RunUntil([&] { return tickets_.size() == 3; }));
}

TEST_F(HttpServerTest, BodiesOfDisconnectedClientsNoLongerCount) {
  int client = SendRequestWithBody(800);
  ASSERT_TRUE(RunUntil([&] { return tickets_.size() == 1; }));
  linger reset_on_close{1, 0};
  setsockopt(client, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close(client);
  clients_.pop_back();
  EXPECT_TRUE(RunUntil([&] { return server_.buffered_bytes() == 0; }));
}

}  // namespace
}  // namespace elderkeel::http
