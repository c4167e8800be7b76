#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "http/http_client.h"

namespace elderkeel::http {
namespace {

using Ending = HttpConnection::Ending;

// A connection to a listener whose other end the test holds itself, as a blocking socket.
class ConnectionTest : public ::testing::Test {
 protected:
  ConnectionTest() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof any;
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&any), sizeof any), 0);
    EXPECT_EQ(listen(listener_, 8), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&any), &size);
    limits_.body_bytes = 1000;
    connection_ = std::make_unique<HttpConnection>(
        &loop_, base::Address{"127.0.0.1", ntohs(any.sin_port)}, 1000, limits_);
    Turn([this] { return connection_->connected(); });
    peer_ = accept(listener_, nullptr, nullptr);
  }
  ~ConnectionTest() override {
    if (peer_ >= 0) close(peer_);
    close(listener_);
  }
  template <class Condition>
  bool Turn(Condition done, base::Millis at_most = 1000) {
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
  static std::string Answer(const std::string& id, const std::string& body,
                            const std::string& first = "HTTP/1.1 200 OK\r\n") {
    return first + "Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  bool Ended() {
    return Turn([this] { return outcome_.has_value(); });
  }

  base::Loop loop_;
  Limits limits_;
  int listener_;
  int peer_ = -1;
  std::unique_ptr<HttpConnection> connection_;
  std::optional<HttpConnection::Outcome> outcome_;
};

TEST_F(ConnectionTest, AnAnswerCountsOnlyWithOneIdAndThatItsOwn) {
  struct Case {
    const char* name;
    std::string ids;
    bool counts;
  } cases[] = {{"its own", "Id: a\r\n", true},
               {"none", "", false},
               {"its own twice", "Id: a\r\nId: a\r\n", false},
               {"its own, then another's", "Id: a\r\nId: b\r\n", false},
               {"another's, then its own", "Id: b\r\nId: a\r\n", false}};
  for (int status : {200, 404, 421, 429, 500, 503}) {
    for (const Case& c : cases) {
      SCOPED_TRACE(std::string(c.name) + " " + std::to_string(status));
      close(peer_);
      connection_ = std::make_unique<HttpConnection>(&loop_, connection_->address(), 1000, limits_);
      ASSERT_TRUE(Turn([this] { return connection_->connected(); }));
      peer_ = accept(listener_, nullptr, nullptr);
      Request("a");
      Turn([] { return false; }, 5);
      Write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + c.ids + "Content-Length: 0\r\n\r\n");
      ASSERT_TRUE(Ended());
      EXPECT_EQ(outcome_->ending == Ending::kAnswer, c.counts);
      EXPECT_EQ(connection_->Usable(), c.counts);
    }
  }
}

// The connection broke, or brought bytes, while nobody looked: nothing may be sent on it, and what
// was sent all the same is said to be not sent only if the kernel took no byte.
TEST_F(ConnectionTest, WhatBecameOfAnIdleConnectionIsSeenAtTheNextRequest) {
  enum What { kReset, kClosed, kBytes };
  for (What what : {kReset, kClosed, kBytes}) {
    SCOPED_TRACE(what);
    if (peer_ >= 0) close(peer_);
    connection_ = std::make_unique<HttpConnection>(&loop_, connection_->address(), 1000, limits_);
    ASSERT_TRUE(Turn([this] { return connection_->connected(); }));
    peer_ = accept(listener_, nullptr, nullptr);
    EXPECT_TRUE(connection_->Usable());
    if (what == kBytes) {
      Write(Answer("other", "x"));
    } else {
      linger hard{1, 0};
      if (what == kReset) setsockopt(peer_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close(peer_);
      peer_ = -1;
    }
    usleep(2000);
    EXPECT_FALSE(connection_->Usable());
    Request("a");
    if (what == kBytes) {
      // Of another request; its own answer still may come, but the connection is spoilt.
      Turn([] { return false; }, 10);
      EXPECT_FALSE(outcome_.has_value());
      Write(Answer("a", "mine"));
      ASSERT_TRUE(Ended());
      EXPECT_EQ(outcome_->answer.body, "mine");
      EXPECT_TRUE(connection_->closed());
      continue;
    }
    ASSERT_TRUE(Ended());
    EXPECT_EQ(outcome_->ending, what == kReset ? Ending::kNotSent : Ending::kBroken);
  }
}

// Whoever takes a large body may pause at its very last bytes; the next answer is read all the
// same.
TEST_F(ConnectionTest, APauseEndsWithItsAnswer) {
  std::string large(3000, 'x');
  connection_->OnLarge([this](const Message&, int64_t) -> HttpConnection::BodySink {
    return [this](std::string_view) { connection_->Pause(true); };
  });
  Request("a");
  Turn([] { return false; }, 5);
  std::string answer = Answer("a", large);
  Write(answer.substr(0, 2000));
  Turn([] { return false; }, 5);
  Write(answer.substr(2000));
  ASSERT_TRUE(Ended());
  ASSERT_EQ(outcome_->ending, Ending::kAnswer);
  ASSERT_TRUE(connection_->Usable());
  ReadAll();
  Request("b");
  Turn([] { return false; }, 5);
  EXPECT_FALSE(ReadAll().empty());
  Write(Answer("b", "next"));
  ASSERT_TRUE(Ended()) << "nothing is read any more";
  EXPECT_EQ(outcome_->answer.body, "next");
}

// Statuses whose answers have no body, whatever length their head states.
TEST_F(ConnectionTest, ALengthWithoutABodyTakesNothingFromTheNextAnswer) {
  int n = 0;
  for (const char* first : {"HTTP/1.1 304 Not Modified\r\n", "HTTP/1.1 204 No Content\r\n"}) {
    std::string id = "a" + std::to_string(++n);
    Request(id);
    Turn([] { return false; }, 5);
    ReadAll();
    Write(std::string(first) + "Id: " + id + "\r\nContent-Length: 7\r\n\r\n");
    ASSERT_TRUE(Ended()) << first;
    EXPECT_EQ(outcome_->ending, Ending::kAnswer);
    EXPECT_EQ(outcome_->answer.body, "");
    EXPECT_TRUE(connection_->Usable());
  }
  Request("b");
  Turn([] { return false; }, 5);
  Write("HTTP/1.1 103 Early\r\nId: other\r\nContent-Length: 9\r\n\r\n" + Answer("b", "mine"));
  ASSERT_TRUE(Ended());
  EXPECT_EQ(outcome_->answer.body, "mine");
}

}  // namespace
}  // namespace elderkeel::http
