#include <gtest/gtest.h>

#include <optional>

#include "forwarding/request_router.h"
#include "forwarding/stand_in.h"
#include "http/http_client.h"

// No answer goes to the wrong caller, and what may run once is not sent again unless it is shown
// that it didn't run: each misbehaviour of a server, with each class of status.

namespace elderkeel {
namespace {

using stand_in::Client;
using stand_in::Deed;
using stand_in::Server;

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
// With some turns more, so that what came due at the end is handled also after a stall.
void RunFor(base::Loop* loop, base::Millis ms) {
  RunUntil(
      loop, [] { return false; }, ms);
  for (int i = 0; i < 5; ++i) event_base_loop(loop->base(), EVLOOP_NONBLOCK);
}

// What the first send of the request comes to.
enum class Verdict {
  kAnswered,  // the answer counts, with its status
  kNotRun,    // shown not to have run
  kMaybeRun,  // it may have run, and this is known at once
  kUnknown,   // nothing is heard until the deadline
  kEither,    // kNotRun or kMaybeRun, as the connection happened to break
};

struct Case {
  const char* name;
  Deed deed;
  Verdict verdict;
  bool reuse;  // whether the connection carries the next request
  enum class When {
    kRequest,  // does it to the request, on a connection that carried one before
    kBefore,   // to the request before it
    kFresh,    // on a new connection
    kPart,     // in the middle of a large request
  } when = When::kRequest;
  bool every_status = true;
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
    router_->Adopt(configuration::RoutingTable::Build(
        stand_in::ConfigurationText(2000, 60, idle_ms_), router_->names(), router_->regions()));
  }
  void List(const std::vector<Server*>& servers) {
    discovery::EndpointSnapshot endpoints{1, ++sequence_, {}};
    for (Server* s : servers) {
      // The first one is preferred: it is in this proxy's zone.
      endpoints.servers.push_back({s->id(), "s", s->address().ToString(),
                                   s == servers.front() ? "a" : "b", "v", 4, false, 0, 0});
    }
    router_->Adopt(endpoints);
  }
  // The status that a client of its own gets, 0 for a closed connection; checks whose answer it is.
  int Ask(bool idempotent, const std::string& attempt, int remaining_ms, size_t bytes = 4) {
    Client client(&loop_, settings_.front);
    client.Send(stand_in::RequestText(idempotent, attempt, remaining_ms, bytes));
    EXPECT_TRUE(RunUntil(
        &loop_, [&] { return client.closed || client.no_answer || !client.answers.empty(); },
        remaining_ms + 1000))
        << attempt;
    EXPECT_FALSE(client.no_answer) << attempt;
    if (client.answers.empty()) return 0;
    EXPECT_EQ(client.answers.size(), 1u) << attempt;
    const http::Message& answer = client.answers[0];
    if (answer.Find("Elderkeel-Server-Seal")) {
      const std::string* id = answer.Find(stand_in::kAttempt);
      EXPECT_TRUE(id && *id == attempt) << attempt;
      EXPECT_EQ(answer.body, Server::BodyOf(attempt));
    }
    return answer.status;
  }
  static int Count(const Server& server, const std::string& attempt, bool only_runs) {
    int n = 0;
    for (const Server::Arrival& a : server.arrivals) {
      n += a.attempt == attempt && (a.ran || !only_runs);
    }
    return n;
  }
  static int ConnectionOf(const Server& server, const std::string& attempt) {
    for (const Server::Arrival& a : server.arrivals) {
      if (a.attempt == attempt) return a.connection;
    }
    return 0;
  }

  // Some requests at a server that is well, so that there is budget for further sends.
  void Deposit() {
    Server other(&loop_, "i-other", 24000);
    List({&other});
    for (int i = 0; i < 5; ++i) Ask(true, "earn", 2000);
  }
  void Play(const Case& c, int status, bool idempotent);
  void PlayAll(bool idempotent);

  base::Loop loop_;
  base::Settings settings_;
  telemetry::Recorder recorder_;
  std::unique_ptr<forwarding::RequestRouter> router_;
  uint64_t sequence_ = 0;
  int64_t idle_ms_ = 3000;
};

void AtMostOnce::Play(const Case& c, int status, bool idempotent) {
  using When = Case::When;
  SCOPED_TRACE(std::string(c.name) + " " + std::to_string(status) +
               (idempotent ? " repeatable" : " once"));
  Open();
  Server bad(&loop_, "i-bad", 24000), good(&loop_, "i-good", 24000);
  Deposit();
  auto play = [&](const char* attempt) {
    bad.choose = [=](const http::Message& request) {
      const std::string* id = request.Find(stand_in::kAttempt);
      return id && *id == attempt ? Server::Play{c.deed, status, 0} : Server::Play();
    };
  };
  List({&bad});
  if (c.when == When::kRequest) play("watched");
  if (c.when == When::kBefore) play("before");
  if (c.when != When::kFresh) {
    EXPECT_EQ(Ask(true, "before", 2000), c.when == When::kBefore ? status : 200);
    // What may run once needs a connection that has settled; what is done while idle is done then.
    if (!idempotent || c.when == When::kBefore) RunFor(&loop_, 18);
  } else {
    bad.on_connection = [&] { return c.deed; };
    if (c.verdict == Verdict::kAnswered) play("watched");
  }
  bool armed = c.when == When::kPart;
  if (armed) bad.on_part = [&] { return c.deed; };
  List({&bad, &good});

  bool unknown = c.verdict == Verdict::kUnknown;
  int got = Ask(idempotent, "watched", unknown && !idempotent ? 120 : 2000,
                c.when == When::kPart ? 600000 : 4);
  int at_bad = Count(bad, "watched", false), runs = Count(bad, "watched", true);
  int all_runs = runs + Count(good, "watched", true);
  // What a server answers with its own status counts; but for those that promise "not run".
  Verdict verdict = c.verdict;
  int answered = c.when == When::kBefore ? 200 : status;
  if (verdict == Verdict::kAnswered && answered == 421) verdict = Verdict::kNotRun;
  bool promise = answered == 503 || answered == 429 || answered == 408;
  if (verdict == Verdict::kEither) {
    EXPECT_TRUE(got == 200 || (!idempotent && got == 502)) << got;
  } else if (verdict == Verdict::kAnswered && answered < 500 && !promise) {
    EXPECT_EQ(got, answered);
    EXPECT_EQ(runs, 1);
  } else if (idempotent || verdict == Verdict::kNotRun) {
    EXPECT_EQ(got, 200);
  } else if (verdict == Verdict::kAnswered) {
    EXPECT_EQ(got, promise ? 502 : answered);
  } else {
    EXPECT_EQ(got, unknown ? 504 : 502);
  }
  EXPECT_LE(at_bad, 1);
  if (!idempotent) {
    EXPECT_LE(all_runs, 1);
    EXPECT_EQ(got == 200 ? 1 : 0, got == 200 ? all_runs : 0);
    if (verdict != Verdict::kNotRun && verdict != Verdict::kEither) {
      EXPECT_EQ(Count(good, "watched", false), 0) << "sent again";
    }
  }

  // The next request gets its own answer too, on the same connection or on another.
  if (got != 0 && answered == 421 && verdict == Verdict::kNotRun) return;  // it is taken for gone
  RunFor(&loop_, c.deed == Deed::kTwiceLater ? 10 : 1);
  bad.on_connection = bad.on_part = [] { return Deed::kWell; };
  List({&bad});
  EXPECT_EQ(Ask(true, "next", 2000), 200);
  int on = ConnectionOf(bad, "watched");
  if (on != 0) {
    EXPECT_EQ(ConnectionOf(bad, "next") == on, c.reuse);
  }
  if (c.when == When::kBefore) {
    EXPECT_NE(ConnectionOf(bad, "before"), on);
  }
}

using When = Case::When;
const Case kCases[] = {
    {"well", Deed::kWell, Verdict::kAnswered, true},
    {"interim answers first", Deed::kInterim, Verdict::kAnswered, true},
    {"twice", Deed::kTwice, Verdict::kAnswered, false},
    {"twice, later", Deed::kTwiceLater, Verdict::kAnswered, false},
    {"in pieces around the next", Deed::kPieces, Verdict::kAnswered, false},
    {"another's, then its own", Deed::kOtherThenOwn, Verdict::kAnswered, false},
    {"bytes after it", Deed::kExtra, Verdict::kAnswered, false},
    {"another's id", Deed::kOtherId, Verdict::kUnknown, false},
    {"no id", Deed::kNoId, Verdict::kMaybeRun, false},
    {"two ids", Deed::kTwoIds, Verdict::kMaybeRun, false},
    {"not executed", Deed::kNotExecuted, Verdict::kNotRun, true},
    {"not executed, another's", Deed::kOtherNotExecuted, Verdict::kUnknown, false},
    {"not executed, nobody's", Deed::kNoIdNotExecuted, Verdict::kMaybeRun, false},
    {"behind a piece of a first line", Deed::kGluedReason, Verdict::kMaybeRun, false},
    {"behind a piece of a header", Deed::kGluedValue, Verdict::kMaybeRun, false},
    {"cut in the head", Deed::kCutHead, Verdict::kMaybeRun, false},
    {"cut in the body", Deed::kCutBody, Verdict::kMaybeRun, false},
    {"reset after it", Deed::kReset, Verdict::kMaybeRun, false, When::kRequest, false},
    {"half-closed after it", Deed::kHalfClose, Verdict::kMaybeRun, false, When::kRequest, false},
    {"silent after it", Deed::kNoAnswer, Verdict::kUnknown, false, When::kRequest, false},
    {"reset in the middle", Deed::kResetMiddle, Verdict::kMaybeRun, false, When::kPart, false},
    {"half-closed in the middle", Deed::kHalfCloseMiddle, Verdict::kMaybeRun, false, When::kPart,
     false},
    {"silent in the middle", Deed::kNoAnswerInTheMiddle, Verdict::kUnknown, false, When::kPart,
     false},
    {"reset before it", Deed::kResetFirst, Verdict::kEither, false, When::kFresh, false},
    {"half-closed before it", Deed::kHalfCloseFirst, Verdict::kEither, false, When::kFresh, false},
    {"silent before it", Deed::kNoAnswerAtAll, Verdict::kUnknown, false, When::kFresh, false},
    {"another's answer before it", Deed::kOtherFirst, Verdict::kAnswered, false, When::kFresh,
     false},
    {"nobody's answer before it", Deed::kNoIdFirst, Verdict::kMaybeRun, false, When::kFresh, false},
    {"idle connection reset", Deed::kResetIdle, Verdict::kAnswered, true, When::kBefore, false},
    {"idle connection brings an answer", Deed::kNoiseIdle, Verdict::kAnswered, true, When::kBefore,
     false},
    {"the one before answered twice", Deed::kTwiceLater, Verdict::kAnswered, true, When::kBefore,
     false},
    {"the one before in pieces", Deed::kPieces, Verdict::kAnswered, true, When::kBefore, false},
};

void AtMostOnce::PlayAll(bool idempotent) {
  for (const Case& c : kCases) {
    for (int status : {200, 409, 500, 503, 429, 408, 421}) {
      if (status == 200 || c.every_status) Play(c, status, idempotent);
    }
  }
}

TEST_F(AtMostOnce, EachMisbehaviourForWhatMayBeRepeated) { PlayAll(true); }

TEST_F(AtMostOnce, EachMisbehaviourForWhatMayRunOnce) { PlayAll(false); }

TEST_F(AtMostOnce, AnAddressThatAnotherServiceHas) {
  for (bool pooled : {true, false}) {
    for (bool idempotent : {true, false}) {
      SCOPED_TRACE(std::string(pooled ? "pooled" : "new") + (idempotent ? " repeatable" : " once"));
      Open();
      Server bad(&loop_, "i-bad", 24000), good(&loop_, "i-good", 24000);
      Deposit();
      List({&bad});
      if (pooled) {
        EXPECT_EQ(Ask(true, "before", 2000), 200);
        RunFor(&loop_, 18);
      }
      List({&bad, &good});
      bad.SetId("i-of-another-service");
      EXPECT_EQ(Ask(idempotent, "watched", 2000), 200);
      EXPECT_EQ(Count(bad, "watched", false), 1);
      EXPECT_EQ(Count(bad, "watched", true), 0);
      EXPECT_EQ(Count(good, "watched", true), 1);
      // In a new life at the same address it gets a connection of its own.
      bad.SetId("i-new");
      List({&bad});
      EXPECT_EQ(Ask(idempotent, "new", 2000), 200);
      EXPECT_NE(ConnectionOf(bad, "new"), ConnectionOf(bad, "watched"));
    }
  }
}

// Clients that leave while their request runs: its late answer reaches nobody, neither who comes
// next nor what follows on the server's connection; and it isn't sent again.
TEST_F(AtMostOnce, ClientsThatLeave) {
  enum Way { kReset, kClose, kLateAfterDeadline };
  for (Way way : {kReset, kClose, kLateAfterDeadline}) {
    for (bool idempotent : {true, false}) {
      SCOPED_TRACE(std::to_string(way) + (idempotent ? " repeatable" : " once"));
      Open();
      Server one(&loop_, "i-1", 24000), two(&loop_, "i-2", 24000);
      one.choose = two.choose = [](const http::Message& request) {
        bool late = *request.Find(stand_in::kAttempt) == "left";
        return late ? Server::Play{Deed::kLate, 200, 60} : Server::Play();
      };
      List({&one, &two});
      int remaining = way == kLateAfterDeadline ? 30 : 2000;
      auto client = std::make_unique<Client>(&loop_, settings_.front);
      client->Send(stand_in::RequestText(idempotent, "left", remaining));
      ASSERT_TRUE(RunUntil(
          &loop_, [&] { return !one.arrivals.empty(); }, 1000));
      if (way == kReset) client->Reset();
      if (way == kClose) client.reset();
      if (way == kLateAfterDeadline) {
        ASSERT_TRUE(RunUntil(
            &loop_, [&] { return !client->answers.empty(); }, 1000));
        EXPECT_EQ(client->answers[0].status, 504);
      }
      // New clients on what may be the same descriptors, and the same one again, while the answer
      // comes.
      for (int i = 0; i < 8; ++i) {
        EXPECT_EQ(Ask(idempotent, "after-" + std::to_string(i), 2000), 200);
        RunFor(&loop_, 10);
      }
      if (way == kLateAfterDeadline) {
        client->Send(stand_in::RequestText(idempotent, "again", 2000));
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

// Answers keep the order of the requests, whichever server is quicker; what may run once waits for
// its turn, and isn't begun at all if the client leaves before.
TEST_F(AtMostOnce, PipelinedRequests) {
  for (bool leaves : {false, true}) {
    Open();
    Server one(&loop_, "i-1", 24000), two(&loop_, "i-2", 24000);
    one.choose = two.choose = [](const http::Message& request) {
      return *request.Find(stand_in::kAttempt) == "a" ? Server::Play{Deed::kLate, 200, 40}
                                                      : Server::Play();
    };
    List({&one, &two});
    Client client(&loop_, settings_.front);
    client.Send(stand_in::RequestText(true, "a", 2000) + stand_in::RequestText(true, "b", 2000) +
                stand_in::RequestText(false, "c", 2000) + stand_in::RequestText(true, "d", 2000));
    RunFor(&loop_, 15);
    EXPECT_EQ(Count(one, "c", false) + Count(two, "c", false), 0);
    if (leaves) {
      client.Reset();
      RunFor(&loop_, 60);
      EXPECT_EQ(Count(one, "c", false) + Count(two, "c", false), 0);
      EXPECT_EQ(Ask(true, "e", 2000), 200);
      continue;
    }
    ASSERT_TRUE(RunUntil(
        &loop_, [&] { return client.answers.size() == 4; }, 1000));
    const char* order[] = {"a", "b", "c", "d"};
    for (int i = 0; i < 4; ++i) EXPECT_EQ(client.answers[i].body, Server::BodyOf(order[i]));
    EXPECT_EQ(Count(one, "c", true) + Count(two, "c", true), 1);
  }
}

// What is refused for want of memory has not run: the client is told when to come again.
TEST_F(AtMostOnce, ARequestThatIsGivenUpUnreadSaysWhenToRetry) {
  settings_.memory_mb = 0;
  Open();
  Client client(&loop_, settings_.front);
  std::string request = stand_in::RequestText(false, "large", 2000, 100000);
  client.Send(request.substr(0, 50000));
  ASSERT_TRUE(RunUntil(
      &loop_, [&] { return !client.answers.empty(); }, 1000));
  EXPECT_EQ(client.answers[0].status, 503);
  EXPECT_NE(client.answers[0].Find("Retry-After"), nullptr);
}

TEST_F(AtMostOnce, AConnectionThatRestedFourFifthsOfTheIdleTime) {
  idle_ms_ = 500;
  Open();
  Server one(&loop_, "i-1", 24000);
  List({&one});
  Client client(&loop_, settings_.front);
  for (size_t i = 0; i < 3; ++i) {
    std::string id = "r" + std::to_string(i);
    client.Send(stand_in::RequestText(i == 1, id, 2000));
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
