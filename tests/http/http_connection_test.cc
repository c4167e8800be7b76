#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "http/http_client.h"

namespace elderkeel::http {
namespace {

using Result = HttpConnection::Result;

// A connection whose remote end is a blocking socket that the test reads and writes.
class HttpConnectionTest : public ::testing::Test {
 protected:
  HttpConnectionTest() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    EXPECT_EQ(listen(listener_, 8), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    limits_.body_bytes = 1000;
    connection_ = std::make_unique<HttpConnection>(
        &loop_, base::Address{"127.0.0.1", ntohs(address.sin_port)}, 1000, limits_);
    RunUntil([this] { return connection_->connected(); });
    peer_ = accept(listener_, nullptr, nullptr);
  }
  ~HttpConnectionTest() override {
    if (peer_ >= 0) close(peer_);
    close(listener_);
  }
  template <class Condition>
  bool RunUntil(Condition done, base::Millis at_most = 1000) {
    base::Millis end = base::SteadyMillis() + at_most;
    base::Timer tick;
    while (!done() && base::SteadyMillis() < end) {
      tick.Start(&loop_, 2, [] {});
      event_base_loop(loop_.base(), EVLOOP_ONCE);
    }
    return done();
  }
  void Write(const std::string& bytes) {
    EXPECT_EQ(send(peer_, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  std::string ReadAll() {
    char buffer[4096];
    ssize_t n = recv(peer_, buffer, sizeof buffer, 0);
    return n > 0 ? std::string(buffer, static_cast<size_t>(n)) : "";
  }
  void Request(const std::string& id, const std::string& method = "GET") {
    outcome_.reset();
    connection_->Expect("Id", id);
    connection_->Send(method + " / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n", method == "HEAD",
                      [this](HttpConnection::Outcome&& o) { outcome_ = std::move(o); });
  }
  static std::string ResponseText(const std::string& id, const std::string& body,
                                  const std::string& first = "HTTP/1.1 200 OK\r\n") {
    return first + "Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  bool AwaitOutcome() {
    return RunUntil([this] { return outcome_.has_value(); });
  }

  base::Loop loop_;
  Limits limits_;
  int listener_;
  int peer_ = -1;
  std::unique_ptr<HttpConnection> connection_;
  std::optional<HttpConnection::Outcome> outcome_;
};

// Guards against passing the response to one request to the client of another one.
TEST_F(HttpConnectionTest, ResponseIsAcceptedOnlyWithExactlyOneMatchingId) {
  struct Case {
    const char* name;
    std::string ids;
    bool accepted;
  } cases[] = {{"matching", "Id: a\r\n", true},
               {"missing", "", false},
               {"matching twice", "Id: a\r\nId: a\r\n", false},
               {"matching, then another", "Id: a\r\nId: b\r\n", false},
               {"another, then matching", "Id: b\r\nId: a\r\n", false}};
  for (int status : {200, 404, 421, 429, 500, 503}) {
    for (const Case& c : cases) {
      SCOPED_TRACE(std::string(c.name) + " " + std::to_string(status));
      close(peer_);
      connection_ = std::make_unique<HttpConnection>(&loop_, connection_->address(), 1000, limits_);
      ASSERT_TRUE(RunUntil([this] { return connection_->connected(); }));
      peer_ = accept(listener_, nullptr, nullptr);
      Request("a");
      RunUntil([] { return false; }, 5);
      Write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + c.ids + "Content-Length: 0\r\n\r\n");
      ASSERT_TRUE(AwaitOutcome());
      EXPECT_EQ(outcome_->ending == Result::kResponse, c.accepted);
      EXPECT_EQ(connection_->Usable(), c.accepted);
    }
  }
}

// An idle connection is closed, reset or receives bytes before the event loop has processed that.
// It must not count as usable, and a request that is sent on it nevertheless may end with kNotSent
// only if the kernel took no byte of it; otherwise a retry could run it twice.
TEST_F(HttpConnectionTest, ChangesOfAnIdleConnectionAreDetectedAtTheNextRequest) {
  enum Change { kReset, kClosed, kBytes };
  for (Change change : {kReset, kClosed, kBytes}) {
    SCOPED_TRACE(change);
    if (peer_ >= 0) close(peer_);
    connection_ = std::make_unique<HttpConnection>(&loop_, connection_->address(), 1000, limits_);
    ASSERT_TRUE(RunUntil([this] { return connection_->connected(); }));
    peer_ = accept(listener_, nullptr, nullptr);
    EXPECT_TRUE(connection_->Usable());
    if (change == kBytes) {
      Write(ResponseText("other", "x"));
    } else {
      linger reset_on_close{1, 0};
      if (change == kReset)
        setsockopt(peer_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
      close(peer_);
      peer_ = -1;
    }
    usleep(2000);
    EXPECT_FALSE(connection_->Usable());
    Request("a");
    if (change == kBytes) {
      // The bytes answer another request. The matching response may still follow, but the
      // connection is not used again.
      RunUntil([] { return false; }, 10);
      EXPECT_FALSE(outcome_.has_value());
      Write(ResponseText("a", "mine"));
      ASSERT_TRUE(AwaitOutcome());
      EXPECT_EQ(outcome_->response.body, "mine");
      EXPECT_TRUE(connection_->closed());
      continue;
    }
    ASSERT_TRUE(AwaitOutcome());
    EXPECT_EQ(outcome_->ending, change == kReset ? Result::kNotSent : Result::kBroken);
  }
}

// The receiver of a streamed body may pause the connection at the last bytes. Reading must resume
// for the next response; otherwise that one would never arrive.
TEST_F(HttpConnectionTest, PauseEndsWithTheResponse) {
  std::string large(3000, 'x');
  connection_->OnOversizedBody([this](const Message&, int64_t) -> HttpConnection::BodySink {
    return [this](std::string_view) { connection_->Pause(true); };
  });
  Request("a");
  RunUntil([] { return false; }, 5);
  std::string answer = ResponseText("a", large);
  Write(answer.substr(0, 2000));
  RunUntil([] { return false; }, 5);
  Write(answer.substr(2000));
  ASSERT_TRUE(AwaitOutcome());
  ASSERT_EQ(outcome_->ending, Result::kResponse);
  ASSERT_TRUE(connection_->Usable());
  ReadAll();
  Request("b");
  RunUntil([] { return false; }, 5);
  EXPECT_FALSE(ReadAll().empty());
  Write(ResponseText("b", "next"));
  ASSERT_TRUE(AwaitOutcome()) << "reading did not resume";
  EXPECT_EQ(outcome_->response.body, "next");
}

// Responses with status 1xx, 204 and 304 have no body, even with a Content-Length. Reading one
// would consume the start of the next response.
TEST_F(HttpConnectionTest, ContentLengthWithoutBodyConsumesNothingOfTheNextResponse) {
  int n = 0;
  for (const char* first : {"HTTP/1.1 304 Not Modified\r\n", "HTTP/1.1 204 No Content\r\n"}) {
    std::string id = "a" + std::to_string(++n);
    Request(id);
    RunUntil([] { return false; }, 5);
    ReadAll();
    Write(std::string(first) + "Id: " + id + "\r\nContent-Length: 7\r\n\r\n");
    ASSERT_TRUE(AwaitOutcome()) << first;
    EXPECT_EQ(outcome_->ending, Result::kResponse);
    EXPECT_EQ(outcome_->response.body, "");
    EXPECT_TRUE(connection_->Usable());
  }
  Request("b");
  RunUntil([] { return false; }, 5);
  Write("HTTP/1.1 103 Early\r\nId: other\r\nContent-Length: 9\r\n\r\n" + ResponseText("b", "mine"));
  ASSERT_TRUE(AwaitOutcome());
  EXPECT_EQ(outcome_->response.body, "mine");
}

}  // namespace
}  // namespace elderkeel::http
