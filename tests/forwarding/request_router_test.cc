#include "forwarding/request_router.h"

#include <gtest/gtest.h>

#include <thread>

#include "forwarding/request_router_fixture.h"

namespace elderkeel::forwarding {
namespace {

TEST_F(RequestRouterTest, ForwardsRequestsUnchangedWithDeadlineAndExpectedServer) {
  auto* server = AddServer("i-1", [](const std::string& r) { return SuccessAnswer(r); });
  Configure();
  std::string answer = Exchange(
      "POST /post/x?y=%20z HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a7\r\n"
      "Elderkeel-Remaining-Ms: 500\r\nConnection: X-Hop, Elderkeel-Attempt-Id\r\nX-Hop: "
      "1\r\nX-Kept: 2\r\n"
      "Elderkeel-Expected-Server: forged\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
  EXPECT_EQ(Status(answer), 200);
  EXPECT_NE(answer.find("Elderkeel-Server-Seal: seal"), std::string::npos);
  EXPECT_EQ(answer.substr(answer.size() - 5), "hello");
  ASSERT_EQ(server->requests.size(), 1u);
  const std::string& sent = server->requests[0];
  EXPECT_EQ(sent.rfind("POST /post/x?y=%20z HTTP/1.1\r\n", 0), 0u);
  EXPECT_EQ(HeaderOf(sent, "Elderkeel-Attempt-Id"), "a7");
  EXPECT_EQ(HeaderOf(sent, "Elderkeel-Expected-Server"), "i-1");
  EXPECT_EQ(HeaderOf(sent, "X-Kept"), "2");
  EXPECT_EQ(HeaderOf(sent, "X-Hop"), "");
  EXPECT_EQ(HeaderOf(sent, "Content-Length"), "2");
  EXPECT_LE(std::stoi(HeaderOf(sent, "Elderkeel-Remaining-Ms")), 500);
  EXPECT_EQ(sent.substr(sent.size() - 4), "\r\nhi");
}

// For each way in which a server can fail: an idempotent request is retried at a second server that
// works; a non-idempotent one only if the first server certainly didn't execute it. Guards against
// executing a non-idempotent request twice, and against passing on an answer to another request.
TEST_F(RequestRouterTest, RetriesOnlyWhatCannotRunTwiceAfterEachKindOfFailure) {
  struct Case {
    const char* name;
    FakeServer::Script bad;
    int get_status, post_status;
    size_t post_arrivals;  // of the "post" request, at both servers together
  };
  auto plain = [](const char* text) {
    return [text](const std::string&) { return std::string(text); };
  };
  // `text` with the request's attempt id, or with a different one, after the status line.
  auto with_id = [](const char* text, bool own_id) {
    return [text, own_id](const std::string& r) {
      std::string id = own_id ? HeaderOf(r, "Elderkeel-Attempt-Id") : "another";
      std::string answer = text;
      return answer.insert(answer.find("\r\n") + 2, "Elderkeel-Attempt-Id: " + id + "\r\n");
    };
  };
  const char* busy = "HTTP/1.1 503 Busy\r\nElderkeel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  std::vector<Case> cases = {
      {"success", [](const std::string& r) { return SuccessAnswer(r); }, 200, 200, 1},
      {"not executed", with_id(busy, true), 200, 200, 2},
      // Neither answer is about this request, which may therefore have been executed.
      {"another request not executed", with_id(busy, false), 200, 504, 1},
      {"not executed, without an id", plain(busy), 200, 502, 1},
      {"misdirected", with_id("HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", true), 200, 200, 2},
      {"late answer to another request, then its own",
       [](const std::string& r) {
         return SuccessAnswer("Elderkeel-Attempt-Id: other\r\n") + SuccessAnswer(r);
       },
       200, 200, 1},
      {"two answers to another request",
       [](const std::string& r) {
         std::string other = SuccessAnswer("Elderkeel-Attempt-Id: other\r\n");
         return other + other + SuccessAnswer(r);
       },
       200, 502, 1},
      {"reset", plain("RESET"), 200, 502, 1},
      {"cut short",
       plain("HTTP/1.1 200 OK\r\nElderkeel-Server-Seal: s\r\nContent-Length: 50\r\n\r\nhalfCUT"),
       200, 502, 1},
      {"bytes that are no HTTP answer", plain("%%%% what is this\r\n\r\n"), 200, 502, 1},
      {"no seal",
       [](const std::string& r) {
         return "HTTP/1.1 200 OK\r\nElderkeel-Attempt-Id: " + HeaderOf(r, "Elderkeel-Attempt-Id") +
                "\r\nContent-Length: 2\r\n\r\nhi";
       },
       200, 502, 1},
      {"answer to another request",
       [](const std::string&) { return SuccessAnswer("Elderkeel-Attempt-Id: other\r\n"); }, 200,
       504, 1},
      {"encoded body",
       [](const std::string& r) {
         std::string good = SuccessAnswer(r);
         return good.insert(17, "Content-Encoding: gzip\r\n");
       },
       200, 502, 1},
      {"answer delimited by the end of the connection",
       [](const std::string& r) {
         return "HTTP/1.1 200 OK\r\nElderkeel-Server-Seal: s\r\nElderkeel-Attempt-Id: " +
                HeaderOf(r, "Elderkeel-Attempt-Id") + "\r\n\r\nhiCUT";
       },
       200, 502, 1},
      {"server failure", with_id("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", true), 200, 500,
       1},
      // 503 would mean "not executed" to the client, but the server didn't mark the answer so.
      {"503 that may have been executed",
       with_id("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true), 200, 502, 1},
      {"final client error", with_id("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", true),
       409, 409, 1},
      {"bytes after the answer",
       [](const std::string& r) { return SuccessAnswer(r) + "HTTP/1.1 200 OK\r\n"; }, 200, 200, 1},
  };
  for (const Case& c : cases) {
    for (const char* kind : {"get", "post"}) {
      settings_.front.port += 1;
      router_ = std::make_unique<RequestRouter>(&loop_, settings_, &recorder_);
      while (!router_->Listen().has_value()) {
        settings_.front.port += 1;
        router_ = std::make_unique<RequestRouter>(&loop_, settings_, &recorder_);
      }
      router_->SetServing(true);
      endpoints_.servers.clear();
      auto* bad = AddServer("i-bad", c.bad);
      auto* good = AddServer("i-good", [](const std::string& r) { return SuccessAnswer(r); });
      Configure();
      for (int i = 0; i < 3; ++i) Exchange(RequestText("get", "warm-" + std::to_string(i)));
      // These requests fill the retry budget, but their failures may have ejected the bad server.
      // Under a new id it starts without that history.
      endpoints_.servers[0].id = "i-bad-2";
      router_->Adopt(endpoints_);
      size_t before = bad->requests.size() + good->requests.size();
      std::string answer = Exchange(RequestText(kind));
      std::string want =
          kind == std::string("get") ? std::to_string(c.get_status) : std::to_string(c.post_status);
      EXPECT_EQ(std::to_string(Status(answer)), want) << c.name << " " << kind << ": " << answer;
      if (kind == std::string("post")) {
        EXPECT_EQ(bad->requests.size() + good->requests.size() - before, c.post_arrivals) << c.name;
      }
    }
  }
}

TEST_F(RequestRouterTest, RejectsRequestsUntilItsStateIsConfirmed) {
  auto* server = AddServer("i-1", [](const std::string& r) { return SuccessAnswer(r); });
  Configure();
  router_->SetServing(false);
  EXPECT_EQ(Status(Exchange(RequestText("get"))), 503);
  EXPECT_TRUE(server->requests.empty());
  router_->SetServing(true);
  EXPECT_EQ(Status(Exchange(RequestText("get"))), 200);
}

// Guards against a 404 for a route that a newer configuration has: while its configuration may be
// out of date, the router answers 503 instead.
TEST_F(RequestRouterTest, AnswersUnknownRouteWith503WhileConfigurationMayBeOutOfDate) {
  AddServer("i-1", [](const std::string& r) { return SuccessAnswer(r); });
  Configure();
  bool recent = false;
  router_->SetNotFoundGuard([&] { return recent; });
  std::string unknown = "GET /got/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\n\r\n";
  std::string answer = Exchange(unknown);
  EXPECT_EQ(Status(answer), 503);
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_EQ(Status(Exchange(RequestText("get"))), 200);  // known routes are served
  recent = true;
  EXPECT_EQ(Status(Exchange(unknown)), 404);
}

TEST_F(RequestRouterTest, RejectsInvalidRequestsWithoutForwardingThem) {
  auto* server = AddServer("i-1", [](const std::string& r) { return SuccessAnswer(r); });
  std::string big(700, 'x');
  EXPECT_EQ(Status(Exchange(RequestText("get"))), 503);  // no configuration yet
  Configure();
  struct Case {
    const char* name;
    std::string bytes;
    int status;
  } cases[] = {
      {"unknown host", "GET /get/ HTTP/1.1\r\nHost: other\r\nElderkeel-Attempt-Id: a\r\n\r\n", 404},
      {"unknown path", "GET /got/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\n\r\n",
       404},
      {"no attempt id", "GET /get/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 400},
      {"two attempt ids",
       "GET /get/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\nElderkeel-Attempt-Id: "
       "b\r\n\r\n",
       400},
      {"bad deadline",
       "GET /get/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: "
       "a\r\nElderkeel-Remaining-Ms: soon\r\n\r\n",
       400},
      {"connect", "CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n", 405},
      {"absolute-form target",
       "GET http://h.example/get/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\n\r\n",
       400},
      {"unknown method", "FROB /get/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 501},
      {"request smuggling",
       "POST /post/ HTTP/1.1\r\nHost: h.example\r\nElderkeel-Attempt-Id: a\r\nContent-Length: "
       "5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /get/ HTTP/1.1\r\n",
       400},
      {"head too large", "GET /get/" + big + " HTTP/1.1\r\nHost: h.example\r\n\r\n", 431},
      {"body too large", "POST /post/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1001\r\n\r\n",
       413},
      {"head too slow", "GET /get/ HTTP/1.1\r\nHost:", 408},
  };
  for (const Case& c : cases) EXPECT_EQ(Status(Exchange(c.bytes)), c.status) << c.name;
  EXPECT_TRUE(server->requests.empty());
}

TEST_F(RequestRouterTest, AnswersPipelinedRequestsInOrder) {
  AddServer("i-1", [](const std::string& r) {
    return SuccessAnswer(r, HeaderOf(r, "Elderkeel-Attempt-Id"));
  });
  Configure();
  std::string answer = Exchange(RequestText("get", "first") + RequestText("post", "second") +
                                RequestText("get", "third"));
  size_t first = answer.find("\r\n\r\nfirst"), second = answer.find("\r\n\r\nsecond"),
         third = answer.find("\r\n\r\nthird");
  ASSERT_NE(third, std::string::npos) << answer;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
}

TEST_F(RequestRouterTest, WaitsForASilentServerUntilTheDeadline) {
  settings_.hedging_enabled = false;
  AddServer("i-1", [](const std::string&) { return std::string(); });
  Configure();
  base::Millis begun = base::SteadyMillis();
  EXPECT_EQ(Status(Exchange(RequestText("post", "a", "300"))), 504);
  base::Millis took = base::SteadyMillis() - begun;
  EXPECT_GE(took, 290);
  EXPECT_LT(took, 600);
}

TEST_F(RequestRouterTest, HedgesAnIdempotentRequestThatIsLate) {
  auto* silent = AddServer("i-1", [](const std::string&) { return std::string(); });
  auto* healthy = AddServer("i-2", [](const std::string& r) { return SuccessAnswer(r); });
  Configure(1000, 200);
  for (int i = 0; i < 3; ++i) Exchange(RequestText("get", "w" + std::to_string(i)));
  endpoints_.servers[0].id = "i-1-again";
  router_->Adopt(endpoints_);
  size_t before = silent->requests.size();
  EXPECT_EQ(Status(Exchange(RequestText("get", "late"))), 200);
  EXPECT_EQ(silent->requests.size(), before + 1);
  EXPECT_FALSE(healthy->requests.empty());
}

TEST_F(RequestRouterTest, StreamsLargeAnswersAndResetsTheClientIfCut) {
  settings_.max_buffered_body_bytes = 1000;
  std::string large(300000, 'x');
  bool cut = false, chunks = false;
  AddServer("i-1", [&](const std::string& r) {
    std::string good = SuccessAnswer(r, large);
    if (chunks) {
      size_t at = good.find("Content-Length");
      good.erase(at, good.find("\r\n", at) - at);
      good.insert(at, "Transfer-Encoding: chunked");
      good.insert(good.size() - large.size(), "493e0\r\n");
      good += "\r\n0\r\n\r\n";
    }
    return cut ? good.substr(0, 200000) + "CUT" : good;
  });
  Configure();
  for (bool in_chunks : {false, true}) {
    chunks = in_chunks;
    cut = false;
    std::string answer = Exchange(RequestText("get", "whole"));
    EXPECT_EQ(CountAnswers(answer), 1) << answer.substr(0, 300);
    EXPECT_GT(answer.size(), large.size());
    EXPECT_EQ(answer.find("chunked") != std::string::npos, in_chunks);
    cut = true;
    answer = Exchange(RequestText("get", "cut"));
    EXPECT_GT(answer.size(), 1000u);
    EXPECT_EQ(CountAnswers(answer), 0);  // the client must not take it for complete
  }
}

// Guards against an incident in which a suspended proxy, once resumed, sent all requests that had
// accumulated to the servers, although their clients had disconnected.
TEST_F(RequestRouterTest, AfterASuspensionSendsNothingForClientsThatDisconnected) {
  auto* server = AddServer("i-1", [](const std::string& r) { return SuccessAnswer(r); });
  Configure();
  std::vector<int> clients;
  for (int i = 0; i < 5; ++i) {
    int fd = transport::StartConnect(settings_.front, 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    std::string bytes = RequestText(i % 2 ? "post" : "get", "gone-" + std::to_string(i));
    EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    if (i < 4) {
      shutdown(fd, SHUT_WR);
      close(fd);
    } else {
      clients.push_back(fd);
    }
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(600));  // the loop does not run
  Exchange("GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n");
  EXPECT_EQ(Status(Exchange(RequestText("get", "after"))), 200);
  // One request whose client is still connected, and the one sent after the suspension.
  EXPECT_EQ(server->requests.size(), 2u);
  for (int fd : clients) close(fd);
}

TEST_F(RequestRouterTest, RetriesANonIdempotentRequestAfterAnUnreachableServer) {
  AddEndpoint("i-gone", "127.0.0.1:1");
  auto* healthy = AddServer("i-2", [](const std::string& r) { return SuccessAnswer(r); });
  Configure();
  EXPECT_EQ(Status(Exchange(RequestText("post"))), 200);
  EXPECT_EQ(healthy->requests.size(), 1u);
}

TEST_F(RequestRouterTest, ReusesConnectionsAndRecordsWhyARequestFailed) {
  auto* server = AddServer("i-1", [](const std::string& r) { return SuccessAnswer(r); });
  Configure();
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(Status(Exchange(RequestText("get", "r" + std::to_string(i)))), 200);
  EXPECT_EQ(server->connections, 1);
  endpoints_.servers[0].draining = true;
  router_->Adopt(endpoints_);
  std::string answer = Exchange(RequestText("get", "nobody-there"));
  EXPECT_EQ(Status(answer), 503);
  EXPECT_FALSE(HeaderOf(answer, "Retry-After").empty());
  recorder_.Flush();
  std::lock_guard<std::mutex> lock(mutex_);
  EXPECT_NE(records_.find("attempt=nobody-there status=503 step=admission reason=\"the service has "
                          "no server\" route=get service=s"),
            std::string::npos)
      << records_;
}

}  // namespace
}  // namespace elderkeel::forwarding
