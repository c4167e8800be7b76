#include <gtest/gtest.h>

#include <optional>

#include "forwarding/request_router.h"
#include "forwarding/test_server.h"
#include "http/http_client.h"

// At-most-once execution with one misbehaving server: for each misbehaviour and each class of
// status, no client gets another request's answer, and a non-idempotent request is sent again only
// if it certainly didn't run.

namespace elderkeel {
namespace {

using test_server::Behavior;
using test_server::Client;
using test_server::Server;

// Runs the loop until `done` returns true; returns false if it doesn't within `at_most` ms.
template <class Condition>
bool RunUntil(base::Loop* loop, Condition done, base::Millis at_most) {
  base::Millis end = base::SteadyMillis() + at_most;
  base::Timer tick;
  while (!done()) {
    if (base::SteadyMillis() >= end) return false;
    tick.Start(loop, 2, [] {});
    event_base_loop(loop->base(), EVLOOP_ONCE);
  }
  return true;
}
// Runs the loop for `ms`, then some iterations more, so that events due by then are handled even if
// the process was stalled.
void RunFor(base::Loop* loop, base::Millis ms) {
  RunUntil(
      loop, [] { return false; }, ms);
  for (int i = 0; i < 5; ++i) event_base_loop(loop->base(), EVLOOP_NONBLOCK);
}

// What the proxy can conclude from the first attempt of the request.
enum class Expected {
  kAnswered,  // the answer is valid, with its status
  kNotRun,    // it certainly didn't run
  kMaybeRun,  // it may have run; the attempt fails at once
  kNoAnswer,  // it may have run; no valid answer arrives until the deadline
  kEither,    // kNotRun or kMaybeRun, depending on when the connection breaks
};

struct Case {
  const char* name;
  Behavior behavior;
  Expected expected;
  bool reuse;  // whether the next request uses the same connection
  // When the server misbehaves.
  enum class When {
    kRequest,  // on the request, on a connection that carried one before
    kBefore,   // on the request before it
    kFresh,    // on a new connection
    kPart,     // in the middle of a large request
  } when = When::kRequest;
  bool every_status = true;  // false: with status 200 only
};

class AtMostOnce : public ::testing::Test {
 protected:
  AtMostOnce()
      : recorder_(telemetry::Recorder::Options(),
                  telemetry::MakeCallSink([](std::string) { return true; })) {
    settings_.zone = "a";
    settings_.retry_ratio = 1;
    settings_.retry_slack = 100;
    settings_.connect_ms = 500;
  }

  void Open() {
    for (uint16_t port = 23000; port < 24000; ++port) {
      settings_.front = {"127.0.0.1", port};
      router_ = std::make_unique<forwarding::RequestRouter>(&loop_, settings_, &recorder_);
      router_->SetServing(true);
      if (router_->Listen().has_value()) break;
    }
    router_->Adopt(
        configuration::RoutingTable::Build(test_server::ConfigurationText(2000, 60, idle_ms_),
                                           router_->service_names(), router_->regions()));
  }
  void AdoptEndpoints(const std::vector<Server*>& servers) {
    discovery::EndpointSnapshot endpoints{1, ++sequence_, {}};
    for (Server* s : servers) {
      // The proxy prefers the first server: it is in the proxy's own zone.
      endpoints.servers.push_back({s->id(), "s", s->address().ToString(),
                                   s == servers.front() ? "a" : "b", "v", 4, false, 0, 0});
    }
    router_->Adopt(endpoints);
  }
  // Sends a request on a new connection. Returns the status of its answer, 0 if the connection was
  // closed; checks that a server's answer is the one to this request.
  int SendRequest(bool idempotent, const std::string& attempt, int remaining_ms, size_t bytes = 4) {
    Client client(&loop_, settings_.front);
    client.Send(test_server::RequestText(idempotent, attempt, remaining_ms, bytes));
    EXPECT_TRUE(RunUntil(
        &loop_, [&] { return client.closed || client.invalid_answer || !client.answers.empty(); },
        remaining_ms + 1000))
        << attempt;
    EXPECT_FALSE(client.invalid_answer) << attempt;
    if (client.answers.empty()) return 0;
    EXPECT_EQ(client.answers.size(), 1u) << attempt;
    const http::Message& answer = client.answers[0];
    if (answer.Find("Elderkeel-Server-Seal")) {
      const std::string* id = answer.Find(test_server::kAttempt);
      EXPECT_TRUE(id && *id == attempt) << attempt;
      EXPECT_EQ(answer.body, Server::BodyOf(attempt));
    }
    return answer.status;
  }
  // The number of arrivals of `attempt` at the server, or of those that ran.
  static int Count(const Server& server, const std::string& attempt, bool only_runs) {
    int n = 0;
    for (const Server::Arrival& a : server.arrivals) {
      n += a.attempt == attempt && (a.ran || !only_runs);
    }
    return n;
  }
  // The number of the connection on which `attempt` arrived first; 0 if it didn't arrive.
  static int ConnectionOf(const Server& server, const std::string& attempt) {
    for (const Server::Arrival& a : server.arrivals) {
      if (a.attempt == attempt) return a.connection;
    }
    return 0;
  }

  // Sends requests to a healthy server, so that the retry budget allows retries.
  void FillRetryBudget() {
    Server other(&loop_, "i-other", 24000);
    AdoptEndpoints({&other});
    for (int i = 0; i < 5; ++i) SendRequest(true, "earn", 2000);
  }
  // Runs one case and checks statuses, arrivals and runs at both servers.
  void RunCase(const Case& c, int status, bool idempotent);
  void RunAllCases(bool idempotent);

  base::Loop loop_;
  base::Settings settings_;
  telemetry::Recorder recorder_;
  std::unique_ptr<forwarding::RequestRouter> router_;
  uint64_t sequence_ = 0;
  int64_t idle_ms_ = 3000;
};

void AtMostOnce::RunCase(const Case& c, int status, bool idempotent) {
  using When = Case::When;
  SCOPED_TRACE(std::string(c.name) + " " + std::to_string(status) +
               (idempotent ? " repeatable" : " once"));
  Open();
  Server bad(&loop_, "i-bad", 24000), good(&loop_, "i-good", 24000);
  FillRetryBudget();
  auto misbehave_on = [&](const char* attempt) {
    bad.choose = [=](const http::Message& request) {
      const std::string* id = request.Find(test_server::kAttempt);
      return id && *id == attempt ? Server::Response{c.behavior, status, 0} : Server::Response();
    };
  };
  AdoptEndpoints({&bad});
  if (c.when == When::kRequest) misbehave_on("watched");
  if (c.when == When::kBefore) misbehave_on("before");
  if (c.when != When::kFresh) {
    EXPECT_EQ(SendRequest(true, "before", 2000), c.when == When::kBefore ? status : 200);
    // A non-idempotent request uses a connection only after 15 ms of idle time. Misbehaviour on the
    // idle connection happens 5 ms after the answer, so before the request is sent.
    if (!idempotent || c.when == When::kBefore) RunFor(&loop_, 18);
  } else {
    bad.on_connection = [&] { return c.behavior; };
    if (c.expected == Expected::kAnswered) misbehave_on("watched");
  }
  bool armed = c.when == When::kPart;
  if (armed) bad.on_part = [&] { return c.behavior; };
  AdoptEndpoints({&bad, &good});

  bool no_answer = c.expected == Expected::kNoAnswer;
  int got = SendRequest(idempotent, "watched", no_answer && !idempotent ? 120 : 2000,
                        c.when == When::kPart ? 600000 : 4);
  int at_bad = Count(bad, "watched", false), runs = Count(bad, "watched", true);
  int all_runs = runs + Count(good, "watched", true);
  // A valid answer is final, except with a status that means "not executed".
  Expected expected = c.expected;
  int answered = c.when == When::kBefore ? 200 : status;
  if (expected == Expected::kAnswered && answered == 421) expected = Expected::kNotRun;
  bool promise = answered == 503 || answered == 429 || answered == 408;
  if (expected == Expected::kEither) {
    EXPECT_TRUE(got == 200 || (!idempotent && got == 502)) << got;
  } else if (expected == Expected::kAnswered && answered < 500 && !promise) {
    EXPECT_EQ(got, answered);
    EXPECT_EQ(runs, 1);
  } else if (idempotent || expected == Expected::kNotRun) {
    EXPECT_EQ(got, 200);
  } else if (expected == Expected::kAnswered) {
    EXPECT_EQ(got, promise ? 502 : answered);
  } else {
    EXPECT_EQ(got, no_answer ? 504 : 502);
  }
  EXPECT_LE(at_bad, 1);
  if (!idempotent) {
    EXPECT_LE(all_runs, 1);
    EXPECT_EQ(got == 200 ? 1 : 0, got == 200 ? all_runs : 0);
    if (expected != Expected::kNotRun && expected != Expected::kEither) {
      EXPECT_EQ(Count(good, "watched", false), 0) << "sent again";
    }
  }

  // The next request gets its own answer, on the same connection only if that may be reused.
  if (got != 0 && answered == 421 && expected == Expected::kNotRun) return;  // it is ejected
  RunFor(&loop_, c.behavior == Behavior::kTwiceLater ? 10 : 1);
  bad.on_connection = bad.on_part = [] { return Behavior::kAnswer; };
  AdoptEndpoints({&bad});
  EXPECT_EQ(SendRequest(true, "next", 2000), 200);
  int watched_connection = ConnectionOf(bad, "watched");
  if (watched_connection != 0) {
    EXPECT_EQ(ConnectionOf(bad, "next") == watched_connection, c.reuse);
  }
  if (c.when == When::kBefore) {
    EXPECT_NE(ConnectionOf(bad, "before"), watched_connection);
  }
}

using When = Case::When;
const Case kCases[] = {
    {"success", Behavior::kAnswer, Expected::kAnswered, true},
    {"interim answers first", Behavior::kInterim, Expected::kAnswered, true},
    {"answer twice", Behavior::kTwice, Expected::kAnswered, false},
    {"answer twice, the second later", Behavior::kTwiceLater, Expected::kAnswered, false},
    {"half of an earlier answer after it, the rest with the next", Behavior::kPieces,
     Expected::kAnswered, false},
    {"another request's answer, then its own", Behavior::kOtherThenOwn, Expected::kAnswered, false},
    {"surplus bytes after the answer", Behavior::kExtra, Expected::kAnswered, false},
    {"another request's id", Behavior::kOtherId, Expected::kNoAnswer, false},
    {"no id", Behavior::kNoId, Expected::kMaybeRun, false},
    {"two ids", Behavior::kTwoIds, Expected::kMaybeRun, false},
    {"not executed", Behavior::kNotExecuted, Expected::kNotRun, true},
    {"not executed, with another request's id", Behavior::kOtherNotExecuted, Expected::kNoAnswer,
     false},
    {"not executed, without an id", Behavior::kNoIdNotExecuted, Expected::kMaybeRun, false},
    {"after a piece of a status line", Behavior::kCutStatusLineFirst, Expected::kMaybeRun, false},
    {"after a piece of a header", Behavior::kCutHeaderFirst, Expected::kMaybeRun, false},
    {"head cut off", Behavior::kCutHead, Expected::kMaybeRun, false},
    {"body cut off", Behavior::kCutBody, Expected::kMaybeRun, false},
    {"reset after the request", Behavior::kReset, Expected::kMaybeRun, false, When::kRequest,
     false},
    {"half-closed after the request", Behavior::kHalfClose, Expected::kMaybeRun, false,
     When::kRequest, false},
    {"no answer after the request", Behavior::kNoAnswer, Expected::kNoAnswer, false, When::kRequest,
     false},
    {"reset within the request", Behavior::kResetMiddle, Expected::kMaybeRun, false, When::kPart,
     false},
    {"half-closed within the request", Behavior::kHalfCloseMiddle, Expected::kMaybeRun, false,
     When::kPart, false},
    {"no answer, request read in part", Behavior::kNoAnswerInTheMiddle, Expected::kNoAnswer, false,
     When::kPart, false},
    {"reset before the request", Behavior::kResetFirst, Expected::kEither, false, When::kFresh,
     false},
    {"half-closed before the request", Behavior::kHalfCloseFirst, Expected::kEither, false,
     When::kFresh, false},
    {"no answer on a new connection", Behavior::kNoAnswerAtAll, Expected::kNoAnswer, false,
     When::kFresh, false},
    {"another request's answer before the request", Behavior::kOtherFirst, Expected::kAnswered,
     false, When::kFresh, false},
    {"answer without an id before the request", Behavior::kNoIdFirst, Expected::kMaybeRun, false,
     When::kFresh, false},
    {"idle connection reset", Behavior::kResetIdle, Expected::kAnswered, true, When::kBefore,
     false},
    {"answer on an idle connection", Behavior::kOtherIdle, Expected::kAnswered, true, When::kBefore,
     false},
    {"previous request answered twice", Behavior::kTwiceLater, Expected::kAnswered, true,
     When::kBefore, false},
    {"previous answer followed by half of an earlier one", Behavior::kPieces, Expected::kAnswered,
     true, When::kBefore, false},
};

void AtMostOnce::RunAllCases(bool idempotent) {
  for (const Case& c : kCases) {
    for (int status : {200, 409, 500, 503, 429, 408, 421}) {
      if (status == 200 || c.every_status) RunCase(c, status, idempotent);
    }
  }
}

TEST_F(AtMostOnce, IdempotentRequestsGetTheirOwnAnswerDespiteEachMisbehaviour) {
  RunAllCases(true);
}

TEST_F(AtMostOnce, NonIdempotentRequestsRunAtMostOnceDespiteEachMisbehaviour) {
  RunAllCases(false);
}

// A server's address taken over by a server of another service: that one rejects the request with
// 421 without executing it, so that it is sent to another server.
TEST_F(AtMostOnce, RequestToAnAddressTakenOverByAnotherServiceRunsOnceElsewhere) {
  for (bool pooled : {true, false}) {
    for (bool idempotent : {true, false}) {
      SCOPED_TRACE(std::string(pooled ? "pooled" : "new") + (idempotent ? " repeatable" : " once"));
      Open();
      Server bad(&loop_, "i-bad", 24000), good(&loop_, "i-good", 24000);
      FillRetryBudget();
      AdoptEndpoints({&bad});
      if (pooled) {
        EXPECT_EQ(SendRequest(true, "before", 2000), 200);
        RunFor(&loop_, 18);
      }
      AdoptEndpoints({&bad, &good});
      bad.SetId("i-of-another-service");
      EXPECT_EQ(SendRequest(idempotent, "watched", 2000), 200);
      EXPECT_EQ(Count(bad, "watched", false), 1);
      EXPECT_EQ(Count(bad, "watched", true), 0);
      EXPECT_EQ(Count(good, "watched", true), 1);
      // A new server of the service at the same address gets a new connection.
      bad.SetId("i-new");
      AdoptEndpoints({&bad});
      EXPECT_EQ(SendRequest(idempotent, "new", 2000), 200);
      EXPECT_NE(ConnectionOf(bad, "new"), ConnectionOf(bad, "watched"));
    }
  }
}

// A client disconnects, or its deadline passes, while its request runs. The late answer must not
// reach a later client or a later request on the server's connection, and the request isn't sent
// again.
TEST_F(AtMostOnce, LateAnswerAfterTheClientLeftReachesNoOtherRequest) {
  enum Way { kReset, kClose, kLateAfterDeadline };
  for (Way way : {kReset, kClose, kLateAfterDeadline}) {
    for (bool idempotent : {true, false}) {
      SCOPED_TRACE(std::to_string(way) + (idempotent ? " repeatable" : " once"));
      Open();
      Server one(&loop_, "i-1", 24000), two(&loop_, "i-2", 24000);
      one.choose = two.choose = [](const http::Message& request) {
        bool late = *request.Find(test_server::kAttempt) == "left";
        return late ? Server::Response{Behavior::kLate, 200, 60} : Server::Response();
      };
      AdoptEndpoints({&one, &two});
      int remaining = way == kLateAfterDeadline ? 30 : 2000;
      auto client = std::make_unique<Client>(&loop_, settings_.front);
      client->Send(test_server::RequestText(idempotent, "left", remaining));
      ASSERT_TRUE(RunUntil(
          &loop_, [&] { return !one.arrivals.empty(); }, 1000));
      if (way == kReset) client->Reset();
      if (way == kClose) client.reset();
      if (way == kLateAfterDeadline) {
        ASSERT_TRUE(RunUntil(
            &loop_, [&] { return !client->answers.empty(); }, 1000));
        EXPECT_EQ(client->answers[0].status, 504);
      }
      // Requests of new clients, which may reuse the file descriptors, and of the same client,
      // while the answer arrives.
      for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(SendRequest(idempotent, "after-" + std::to_string(i), 2000), 200);
        RunFor(&loop_, 10);
      }
      if (way == kLateAfterDeadline) {
        client->Send(test_server::RequestText(idempotent, "again", 2000));
        ASSERT_TRUE(RunUntil(
            &loop_, [&] { return client->answers.size() == 2; }, 1000));
        EXPECT_EQ(client->answers[1].body, Server::BodyOf("again"));
      }
      EXPECT_EQ(Count(one, "left", false), 1);
      if (!idempotent) {
        EXPECT_EQ(Count(two, "left", false), 0);
      }
    }
  }
}

// Pipelined requests are answered in order, whichever server is faster. A non-idempotent one isn't
// sent before those ahead of it are answered, and not at all if the client disconnects before that.
TEST_F(AtMostOnce, PipelinedNonIdempotentRequestWaitsForThoseAheadOfIt) {
  for (bool leaves : {false, true}) {
    Open();
    Server one(&loop_, "i-1", 24000), two(&loop_, "i-2", 24000);
    one.choose = two.choose = [](const http::Message& request) {
      return *request.Find(test_server::kAttempt) == "a"
                 ? Server::Response{Behavior::kLate, 200, 40}
                 : Server::Response();
    };
    AdoptEndpoints({&one, &two});
    Client client(&loop_, settings_.front);
    client.Send(
        test_server::RequestText(true, "a", 2000) + test_server::RequestText(true, "b", 2000) +
        test_server::RequestText(false, "c", 2000) + test_server::RequestText(true, "d", 2000));
    RunFor(&loop_, 15);
    EXPECT_EQ(Count(one, "c", false) + Count(two, "c", false), 0);
    if (leaves) {
      client.Reset();
      RunFor(&loop_, 60);
      EXPECT_EQ(Count(one, "c", false) + Count(two, "c", false), 0);
      EXPECT_EQ(SendRequest(true, "e", 2000), 200);
      continue;
    }
    ASSERT_TRUE(RunUntil(
        &loop_, [&] { return client.answers.size() == 4; }, 1000));
    const char* order[] = {"a", "b", "c", "d"};
    for (int i = 0; i < 4; ++i) EXPECT_EQ(client.answers[i].body, Server::BodyOf(order[i]));
    EXPECT_EQ(Count(one, "c", true) + Count(two, "c", true), 1);
  }
}

// A request whose body exceeds the memory for request bodies is rejected before it is read in full.
// It didn't run, so the client gets 503 with Retry-After.
TEST_F(AtMostOnce, RequestRejectedForLackOfMemoryGetsRetryAfter) {
  settings_.memory_mb = 0;
  Open();
  Client client(&loop_, settings_.front);
  std::string request = test_server::RequestText(false, "large", 2000, 100000);
  client.Send(request.substr(0, 50000));
  ASSERT_TRUE(RunUntil(
      &loop_, [&] { return !client.answers.empty(); }, 1000));
  EXPECT_EQ(client.answers[0].status, 503);
  EXPECT_NE(client.answers[0].Find("Retry-After"), nullptr);
}

// A client connection idle for four fifths of the idle timeout still carries a request; it is
// closed only once the timeout has passed.
TEST_F(AtMostOnce, ClientConnectionIsUsableUntilTheIdleTimeout) {
  idle_ms_ = 500;
  Open();
  Server one(&loop_, "i-1", 24000);
  AdoptEndpoints({&one});
  Client client(&loop_, settings_.front);
  for (size_t i = 0; i < 3; ++i) {
    std::string id = "r" + std::to_string(i);
    client.Send(test_server::RequestText(i == 1, id, 2000));
    ASSERT_TRUE(RunUntil(
        &loop_, [&] { return client.answers.size() == i + 1; }, 1000))
        << i;
    EXPECT_EQ(client.answers[i].body, Server::BodyOf(id));
    RunFor(&loop_, idle_ms_ * 4 / 5);
    EXPECT_FALSE(client.closed);
  }
  EXPECT_TRUE(RunUntil(
      &loop_, [&] { return client.closed; }, 1000));
}

}  // namespace
}  // namespace elderkeel
